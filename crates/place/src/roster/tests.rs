use std::time::Instant;

use proptest::prelude::*;

use super::{Change, Entry, Event, Roster};
use crate::tests::{entry, ms, up, BORN_MS};

fn dropped(changes: &[Change]) -> Vec<(&str, &'static str)> {
    let id = |change: &Change| match change {
        Change::Put(_) => None,
        Change::Drop { upstream, reason, .. } => {
            Some((upstream.id.to_string().leak() as &str, *reason))
        }
    };
    changes.iter().filter_map(id).collect()
}

fn roster(count: u16, now: Instant) -> Roster {
    let mut roster = Roster::default();
    roster.apply_snapshot((1..=count).map(|n| Event::Put(entry(n, "a"))).collect(), now);
    roster
}

fn gone(numbers: &[u16]) -> Vec<Event> {
    numbers.iter().map(|n| Event::Gone(format!("u{n}").into())).collect()
}

#[test]
fn an_upstream_that_is_leaving_or_unlisted_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = roster(10, now);
    let leaving = Event::Put(Entry { leaving: true, ..entry(1, "a") });
    assert_eq!(dropped(&roster.apply(vec![leaving], now)), [("u1", "leaving")]);
    assert_eq!(dropped(&roster.apply(gone(&[2]), now)), [("u2", "unlisted")]);
    assert_eq!(roster.len(), 8);
}

/// Guards against a node without upstreams for two seconds after an outage of the store: entries
/// expire during the outage, and the store answers again before they are renewed.
#[test]
fn entries_that_expire_in_a_store_outage_are_kept_until_renewed() {
    let now = Instant::now();
    let mut roster = roster(4, now);
    roster.store_lost(now);
    let back = now + ms(5_000);
    roster.store_answered(back);
    assert!(roster.apply(gone(&[1, 2, 3, 4]), back).is_empty());
    assert!(roster.expire(back + ms(1_900)).is_empty());
    roster.apply(vec![Event::Put(entry(1, "a"))], back + ms(1_900));
    assert_eq!(
        roster.expire(back + ms(2_300)).len(),
        3,
        "upstreams that were not listed again are dropped"
    );
    assert_eq!(roster.len(), 1);
}

/// Guards against sending requests to a leaving upstream, or none to a running one, after the store
/// was rolled back to a copy some seconds old. One upstream is listed without its announcement that
/// it is leaving, one that has left is still listed, and one that started since is missing. Running
/// upstreams write again within two seconds.
#[test]
fn an_older_list_is_not_applied_while_upstreams_may_write_again() {
    let now = Instant::now();
    let mut roster = roster(4, now);
    let leaves = Event::Put(Entry { leaving: true, ..entry(1, "a") });
    roster.apply(vec![leaves.clone()], now);
    roster.apply(gone(&[2]), now);
    let back = now + ms(3_000);
    roster.store_rolled_back(back);
    let older = [1, 2, 3].map(|n| Event::Put(entry(n, "a")));
    assert!(roster.apply_snapshot(older.into(), back).is_empty());
    assert_eq!(roster.len(), 2, "the third, and the fourth, which is missing from the list");

    roster.apply(vec![leaves, Event::Put(entry(4, "a"))], back + ms(1_000));
    assert!(roster.expire(back + ms(1_900)).is_empty());
    let changes = roster.expire(back + ms(2_300));
    assert!(matches!(&changes[..], [Change::Put(entry)] if entry.id == "u2"), "{changes:?}");
    assert_eq!(roster.len(), 3, "nobody has written that the second has left");
}

/// A dropped upstream is not brought back after a store rollback if a newer list, read from the
/// store or adopted from a peer, no longer has it.
#[yare::parameterized(read = { false }, adopted = { true })]
fn an_upstream_missing_from_a_newer_list_is_not_brought_back(is_adopted: bool) {
    let now = Instant::now();
    let mut roster = roster(3, now);
    let leaves = Event::Put(Entry { leaving: true, ..entry(2, "a") });
    roster.apply(vec![leaves], now);
    let back = now + ms(1_000);
    roster.store_rolled_back(back);
    roster.apply_snapshot([1, 2, 3].map(|n| Event::Put(entry(n, "a"))).into(), back);
    let listed = [entry(1, "a"), entry(3, "a")];
    let later = back + ms(1_000);
    let changes = match is_adopted {
        true => roster.adopt_snapshot(listed.into(), later),
        false => roster.apply_snapshot(listed.map(Event::Put).into(), later),
    };
    assert!(changes.iter().all(|change| matches!(change, Change::Put(_))), "{changes:?}");
    assert!(roster.expire(back + ms(2_300)).is_empty());
    assert_eq!(roster.len(), 2);
}

/// Guards against sending requests to an upstream that left twelve seconds ago. A node is
/// partitioned from the store, an upstream drains and leaves, the connection recovers, and the node
/// finds the entry missing. The entry must be kept for two seconds from the last unanswered
/// request, which may have been long before, and not from the first response.
#[test]
fn an_entry_missing_after_a_partition_is_kept_from_the_last_unanswered_request() {
    let now = Instant::now();
    let mut roster = roster(10, now);
    roster.store_lost(now);
    let answered = now + ms(1_500);
    roster.store_answered(answered);
    let listed = (2..=10).map(|n| Event::Put(entry(n, "a"))).collect();
    assert!(roster.apply_snapshot(listed, answered).iter().all(|c| matches!(c, Change::Put(_))));
    assert!(roster.expire(now + ms(2_100)).is_empty());
    assert_eq!(dropped(&roster.expire(now + ms(2_200))), [("u1", "not back")]);
}

/// Guards against announcing each upstream of a large simultaneous start to every node three times:
/// an upstream writes the remaining time of its warm-up with each heartbeat. Conversely, a new
/// warm-up must be announced.
#[yare::parameterized(
    shorter_warm_up = { 1_500, "a", 4, false },
    warm = { 0, "a", 4, false },
    new_warm_up = { 4_000, "a", 4, true },
    in_another_zone = { 1_500, "b", 4, true },
    with_more_slots = { 1_500, "a", 5, true },
)]
fn a_warm_up_is_announced_once(cold_ms: u64, zone: &str, slots: u32, announced: bool) {
    let now = Instant::now();
    let mut roster = Roster::default();
    let put =
        |cold_ms, zone, slots| Event::Put(Entry { cold_for: ms(cold_ms), slots, ..entry(1, zone) });
    assert_eq!(roster.apply(vec![put(3_000, "a", 4)], now).len(), 1);
    let changes = roster.apply(vec![put(cold_ms, zone, slots)], now + ms(1_500));
    assert_eq!(!changes.is_empty(), announced);
    assert_eq!(roster.entries().next().map(|e| e.cold_for), Some(ms(cold_ms)));
}

#[test]
fn many_entries_that_vanish_at_once_are_kept_for_a_short_time() {
    let now = Instant::now();
    let mut roster = roster(6, now);
    assert!(roster.apply(gone(&[1, 2, 3]), now).is_empty());
    assert!(roster.expire(now + ms(1_200)).is_empty());
    assert_eq!(roster.expire(now + ms(1_400)).len(), 3);
}

/// Returns an entry of a later start of the same upstream.
fn later_start(n: u16) -> Entry {
    Entry { born_ms: BORN_MS + 500, ..entry(n, "a") }
}

/// Guards against sending a restarted upstream no requests for seconds, or far too many: it crashes
/// and restarts under the same id, and what is known of the earlier start (failures, load, requests
/// in flight) must not be kept.
#[test]
fn a_restarted_upstream_is_dropped_and_added_again() {
    let now = Instant::now();
    let mut roster = roster(2, now);
    let changes = roster.apply(vec![Event::Put(later_start(1))], now);
    assert_eq!(dropped(&changes), [("u1", "restarted")]);
    assert!(matches!(&changes[0], Change::Drop { upstream, .. } if *upstream == up("u1")));
    assert_eq!(changes[1], Change::Put(later_start(1)));
    assert_eq!(roster.len(), 2);
}

/// Guards against sending requests to an incarnation that no longer runs, or none to the running
/// one: a write of an earlier start may be performed seconds late, and the list of a peer may be
/// older.
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
    let known: Vec<Entry> = roster.entries().cloned().collect();
    let late = || Entry { leaving, ..entry(1, "a") };
    assert_eq!(roster.apply(vec![Event::Put(late())], now + ms(3_000)), []);
    assert_eq!(roster.adopt_changes(vec![Event::Put(late())], now), []);
    assert_eq!(roster.adopt_snapshot(vec![late()], now), []);
    assert_eq!(roster.apply_snapshot(vec![Event::Put(late())], now), []);
    assert_eq!(roster.entries().cloned().collect::<Vec<Entry>>(), known);
}

/// Guards against unbounded growth: upstreams come and go under new ids for days, and the start of
/// each dropped one is remembered.
#[test]
fn last_starts_of_dropped_upstreams_expire() {
    let now = Instant::now();
    let mut roster = roster(20, now);
    roster.apply(
        (1..=20).map(|n| Event::Put(Entry { leaving: true, ..entry(n, "a") })).collect(),
        now,
    );
    assert_eq!(roster.last_starts.len(), 20);
    roster.expire(now + ms(59_000));
    assert_eq!(roster.last_starts.len(), 20);
    roster.expire(now + ms(60_000));
    assert!(roster.last_starts.is_empty());
}

/// Guards against sending requests to the old address of an upstream whose entry was overwritten by
/// another writer with bytes that cannot be decoded. This also holds right after an outage of the
/// store, when missing entries are kept.
#[test]
fn an_upstream_with_an_unusable_entry_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = roster(4, now);
    roster.store_lost(now);
    roster.store_answered(now + ms(100));
    let unusable = Event::Unusable("u1".into());
    let changes = roster.apply(vec![unusable], now + ms(200));
    assert_eq!(dropped(&changes), [("u1", "unusable entry")]);
    let rows = vec![
        Event::Put(entry(2, "a")),
        Event::Unusable("u3".into()),
        Event::Put(entry(4, "a")),
        Event::Unusable("nobody".into()),
    ];
    assert_eq!(dropped(&roster.apply_snapshot(rows, now + ms(300))), [("u3", "unusable entry")]);
    let mut known: Vec<String> = roster.entries().map(|e| e.id.to_string()).collect();
    known.sort();
    assert_eq!(known, ["u2", "u4"]);
}

/// Generates events in any order: starts, departures, late entries and unusable entries.
fn event() -> impl Strategy<Value = Event> {
    let put = (1u16..4, 0u64..4, any::<bool>()).prop_map(|(n, born, leaving)| {
        Event::Put(Entry { born_ms: BORN_MS + born, leaving, ..entry(n, "a") })
    });
    let id = |n: u16| -> crate::UpstreamId { format!("u{n}").into() };
    let gone = (1u16..4).prop_map(move |n| Event::Gone(id(n)));
    let unusable = (1u16..4).prop_map(move |n| Event::Unusable(id(n)));
    prop_oneof![4 => put, 1 => gone, 1 => unusable]
}

proptest! {
    /// For any sequence of events, no start is kept once a later one was seen, each change is
    /// consistent with the one before it, and a peer that adopts the changes has the same
    /// upstreams.
    #[test]
    fn starts_never_go_back_on_the_node_and_its_peers(
        events in prop::collection::vec(event(), 1..40)
    ) {
        let now = Instant::now();
        let (mut node, mut peer) = (Roster::default(), Roster::default());
        let mut newest = std::collections::HashMap::<crate::UpstreamId, u64>::new();
        let mut listed = std::collections::HashMap::new();
        for event in events {
            if let Event::Put(entry) = &event {
                let seen = newest.entry(entry.id.clone()).or_default();
                *seen = (*seen).max(entry.born_ms);
            }
            for change in node.adopt_changes(vec![event], now) {
                let forwarded = match change {
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
                peer.adopt_changes(vec![forwarded], now);
            }
        }
        let known = |roster: &Roster| {
            let mut known: Vec<_> = roster.entries().map(Entry::incarnation).collect();
            known.sort();
            known
        };
        prop_assert_eq!(known(&node), known(&peer));
    }
}
