use std::time::Instant;

use proptest::prelude::*;

use super::{Change, Entry, Event, Roster};
use crate::tests::{entry, ms, up, BORN_MS};

fn ids(changes: &[Change]) -> Vec<(&str, &'static str)> {
    let id = |change: &Change| match change {
        Change::Put(_) => None,
        Change::Drop { upstream, why, .. } => Some((upstream.id.to_string().leak() as &str, *why)),
    };
    changes.iter().filter_map(id).collect()
}

fn roster(count: u16, now: Instant) -> Roster {
    let mut roster = Roster::default();
    roster.whole((1..=count).map(|n| Event::Put(entry(n, "a"))).collect(), now);
    roster
}

fn gone(numbers: &[u16]) -> Vec<Event> {
    numbers.iter().map(|n| Event::Gone(format!("u{n}").into())).collect()
}

#[test]
fn an_upstream_that_leaves_or_vanishes_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = roster(10, now);
    let leaving = Event::Put(Entry { leaving: true, ..entry(1, "a") });
    assert_eq!(ids(&roster.apply(vec![leaving], now)), [("u1", "leaving")]);
    assert_eq!(ids(&roster.apply(gone(&[2]), now)), [("u2", "unlisted")]);
    assert_eq!(roster.len(), 8);
}

/// Symptom: after an outage of the store a node has no upstreams for two seconds.
/// Sequence: the store is away; entries lapse; it answers again before they are renewed.
/// Cause: taking the lapse for a departure.
#[test]
fn entries_that_lapse_with_the_store_are_kept_until_they_are_back() {
    let now = Instant::now();
    let mut roster = roster(4, now);
    roster.store_lost(now);
    let back = now + ms(5_000);
    roster.store_answers(back);
    assert!(roster.apply(gone(&[1, 2, 3, 4]), back).is_empty());
    assert!(roster.expire(back + ms(1_900)).is_empty());
    roster.apply(vec![Event::Put(entry(1, "a"))], back + ms(1_900));
    assert_eq!(roster.expire(back + ms(2_300)).len(), 3, "those that did not come back are gone");
    assert_eq!(roster.len(), 1);
}

/// Symptom: an upstream that leaves gets requests again, or those that live get none.
/// Sequence: the store comes back from a copy some seconds old. One upstream is listed as it was before it
/// said that it leaves, one that has left is listed still, one that started since is missing; those that
/// live write again within two seconds.
/// Cause: taking the older list for news.
#[test]
fn an_older_list_changes_nothing_until_it_could_be_written_again() {
    let now = Instant::now();
    let mut roster = roster(4, now);
    let leaves = Event::Put(Entry { leaving: true, ..entry(1, "a") });
    roster.apply(vec![leaves.clone()], now);
    roster.apply(gone(&[2]), now);
    let back = now + ms(3_000);
    roster.store_went_back(back);
    let older = [1, 2, 3].map(|n| Event::Put(entry(n, "a")));
    assert!(roster.whole(older.into(), back).is_empty());
    assert_eq!(roster.len(), 2, "the third, and the fourth that is missing");

    roster.apply(vec![leaves, Event::Put(entry(4, "a"))], back + ms(1_000));
    assert!(roster.expire(back + ms(1_900)).is_empty());
    let changes = roster.expire(back + ms(2_300));
    assert!(matches!(&changes[..], [Change::Put(entry)] if entry.id == "u2"), "{changes:?}");
    assert_eq!(roster.len(), 3, "nobody has written that the second is gone");
}

/// After the store went back, a newer list, read or passed on, no longer holds an upstream that was let go.
#[yare::parameterized(read = { false }, passed_on = { true })]
fn an_upstream_that_a_newer_list_does_not_hold_is_not_taken_back(is_passed_on: bool) {
    let now = Instant::now();
    let mut roster = roster(3, now);
    let leaves = Event::Put(Entry { leaving: true, ..entry(2, "a") });
    roster.apply(vec![leaves], now);
    let back = now + ms(1_000);
    roster.store_went_back(back);
    roster.whole([1, 2, 3].map(|n| Event::Put(entry(n, "a"))).into(), back);
    let listed = [entry(1, "a"), entry(3, "a")];
    let later = back + ms(1_000);
    let changes = match is_passed_on {
        true => roster.adopt(listed.into(), later),
        false => roster.whole(listed.map(Event::Put).into(), later),
    };
    assert!(changes.iter().all(|change| matches!(change, Change::Put(_))), "{changes:?}");
    assert!(roster.expire(back + ms(2_300)).is_empty());
    assert_eq!(roster.len(), 2);
}

/// Symptom: a node that was cut off sends requests to an upstream that left twelve seconds ago.
/// Sequence: the node is cut off from the store; an upstream drains and leaves; the cut heals;
/// the node reads the list and finds the entry missing.
/// Cause: keeping the entry for two seconds from the first answer, as after an outage of the store,
/// when the last call without an answer was made long before.
#[test]
fn an_entry_that_vanished_behind_a_cut_is_kept_from_the_last_unanswered_call_only() {
    let now = Instant::now();
    let mut roster = roster(10, now);
    roster.store_lost(now);
    let answered = now + ms(1_500);
    roster.store_answers(answered);
    let listed = (2..=10).map(|n| Event::Put(entry(n, "a"))).collect();
    assert!(roster.whole(listed, answered).iter().all(|c| matches!(c, Change::Put(_))));
    assert!(roster.expire(now + ms(2_100)).is_empty());
    assert_eq!(ids(&roster.expire(now + ms(2_200))), [("u1", "not back")]);
}

/// Symptom: three thousand upstreams that start together are told of three times to every node.
/// Sequence: an upstream writes with each heartbeat how much longer it is slow.
/// Cause: passing on what follows from what was said before; and the reverse, missing a restart.
#[yare::parameterized(
    slow_for_less_long = { 1_500, "a", 4, false },
    not_slow_any_more = { 0, "a", 4, false },
    slow_anew = { 4_000, "a", 4, true },
    in_another_zone = { 1_500, "b", 4, true },
    with_more_slots = { 1_500, "a", 5, true },
)]
fn warming_up_is_told_once(cold_ms: u64, zone: &str, slots: u32, told: bool) {
    let now = Instant::now();
    let mut roster = Roster::default();
    let put =
        |cold_ms, zone, slots| Event::Put(Entry { cold_for: ms(cold_ms), slots, ..entry(1, zone) });
    assert_eq!(roster.apply(vec![put(3_000, "a", 4)], now).len(), 1);
    let changes = roster.apply(vec![put(cold_ms, zone, slots)], now + ms(1_500));
    assert_eq!(!changes.is_empty(), told);
    assert_eq!(roster.entries().next().map(|e| e.cold_for), Some(ms(cold_ms)));
}

#[test]
fn many_entries_that_vanish_at_once_are_kept_for_a_moment() {
    let now = Instant::now();
    let mut roster = roster(6, now);
    assert!(roster.apply(gone(&[1, 2, 3]), now).is_empty());
    assert!(roster.expire(now + ms(1_200)).is_empty());
    assert_eq!(roster.expire(now + ms(1_400)).len(), 3);
}

/// A later start of the same upstream.
fn later_start(n: u16) -> Entry {
    Entry { born_ms: BORN_MS + 500, ..entry(n, "a") }
}

/// Symptom: an upstream that started again gets no requests for seconds, or far too many.
/// Sequence: it crashes and starts again under its id; its entry tells the later start.
/// Cause: what was believed of the earlier start (failures, load, requests under way) is kept.
#[test]
fn an_upstream_that_starts_again_is_let_go_and_listed_anew() {
    let now = Instant::now();
    let mut roster = roster(2, now);
    let changes = roster.apply(vec![Event::Put(later_start(1))], now);
    assert_eq!(ids(&changes), [("u1", "restarted")]);
    assert!(matches!(&changes[0], Change::Drop { upstream, .. } if *upstream == up("u1")));
    assert_eq!(changes[1], Change::Put(later_start(1)));
    assert_eq!(roster.len(), 2);
}

/// Symptom: requests go to an upstream that does not run any more, or keep away from one that does.
/// Sequence: a write of the earlier start is performed seconds late, or a peer's older list comes.
/// Cause: taking whatever came last for what is newest.
#[yare::parameterized(
    ready = { false, false },
    leaving = { true, false },
    ready_after_it_left = { false, true },
    leaving_after_it_left = { true, true },
)]
fn an_entry_of_an_earlier_start_changes_nothing(leaving: bool, has_left: bool) {
    let now = Instant::now();
    let mut roster = roster(1, now);
    roster.apply(vec![Event::Put(later_start(1))], now);
    if has_left {
        roster.apply(vec![Event::Put(Entry { leaving: true, ..later_start(1) })], now);
    }
    let held: Vec<Entry> = roster.entries().cloned().collect();
    let late = || Entry { leaving, ..entry(1, "a") };
    assert_eq!(roster.apply(vec![Event::Put(late())], now + ms(3_000)), []);
    assert_eq!(roster.adopt_changes(vec![Event::Put(late())], now), []);
    assert_eq!(roster.adopt(vec![late()], now), []);
    assert_eq!(roster.whole(vec![Event::Put(late())], now), []);
    assert_eq!(roster.entries().cloned().collect::<Vec<Entry>>(), held);
}

/// Symptom: what is kept for upstreams that left grows for as long as the process lives.
/// Sequence: upstreams come and go under new ids, for days.
/// Cause: remembering the starts of all that ever were.
#[test]
fn starts_of_upstreams_that_left_are_forgotten_after_a_while() {
    let now = Instant::now();
    let mut roster = roster(20, now);
    roster.apply(
        (1..=20).map(|n| Event::Put(Entry { leaving: true, ..entry(n, "a") })).collect(),
        now,
    );
    assert_eq!(roster.left.len(), 20);
    roster.expire(now + ms(59_000));
    assert_eq!(roster.left.len(), 20);
    roster.expire(now + ms(60_000));
    assert!(roster.left.is_empty());
}

/// Symptom: requests go to an address that another writer's bytes once named.
/// Sequence: the entry of an upstream that is held is written over with bytes that cannot be read,
/// also right after an outage of the store, when entries that vanish are kept.
/// Cause: passing such an entry over as if nothing had been written.
#[test]
fn an_upstream_whose_entry_cannot_be_used_is_let_go_at_once() {
    let now = Instant::now();
    let mut roster = roster(4, now);
    roster.store_lost(now);
    roster.store_answers(now + ms(100));
    let spoilt = Event::Unusable("u1".into());
    let changes = roster.apply(vec![spoilt], now + ms(200));
    assert_eq!(ids(&changes), [("u1", "unusable entry")]);
    let rows = vec![
        Event::Put(entry(2, "a")),
        Event::Unusable("u3".into()),
        Event::Put(entry(4, "a")),
        Event::Unusable("nobody".into()),
    ];
    assert_eq!(ids(&roster.whole(rows, now + ms(300))), [("u3", "unusable entry")]);
    let mut held: Vec<String> = roster.entries().map(|e| e.id.to_string()).collect();
    held.sort();
    assert_eq!(held, ["u2", "u4"]);
}

/// What may come of one upstream, in any order: starts, departures, late entries, spoilt ones.
fn event() -> impl Strategy<Value = Event> {
    let put = (1u16..4, 0u64..4, any::<bool>()).prop_map(|(n, born, leaving)| {
        Event::Put(Entry { born_ms: BORN_MS + born, leaving, ..entry(n, "a") })
    });
    let id = |n: u16| -> crate::UpstreamId { format!("u{n}").into() };
    let gone = (1u16..4).prop_map(move |n| Event::Gone(id(n)));
    let spoilt = (1u16..4).prop_map(move |n| Event::Unusable(id(n)));
    prop_oneof![4 => put, 1 => gone, 1 => spoilt]
}

proptest! {
    /// Whatever comes and in whatever order: no start is held after a later one was seen, each
    /// change follows from the one before it, and a peer that takes the changes holds the same.
    #[test]
    fn starts_only_go_forward_here_and_at_peers(events in prop::collection::vec(event(), 1..40)) {
        let now = Instant::now();
        let (mut here, mut peer) = (Roster::default(), Roster::default());
        let mut newest = std::collections::HashMap::<crate::UpstreamId, u64>::new();
        let mut listed = std::collections::HashMap::new();
        for event in events {
            if let Event::Put(entry) = &event {
                let seen = newest.entry(entry.id.clone()).or_default();
                *seen = (*seen).max(entry.born_ms);
            }
            for change in here.adopt_changes(vec![event], now) {
                let passed_on = match change {
                    Change::Put(entry) => {
                        prop_assert_eq!(entry.born_ms, newest[&entry.id]);
                        let before = listed.insert(entry.id.clone(), entry.incarnation());
                        prop_assert!(before.is_none_or(|before| before == entry.incarnation()));
                        Event::Put(entry)
                    }
                    Change::Drop { upstream, .. } => {
                        prop_assert_eq!(listed.remove(&upstream.id), Some(upstream.clone()));
                        Event::Gone(upstream.id)
                    }
                };
                peer.adopt_changes(vec![passed_on], now);
            }
        }
        let held = |roster: &Roster| {
            let mut held: Vec<_> = roster.entries().map(Entry::incarnation).collect();
            held.sort();
            held
        };
        prop_assert_eq!(held(&here), held(&peer));
    }
}
