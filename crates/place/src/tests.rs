use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::{
    admit, Ask, Change, End, Entry, Event, Load, Policy, Pool, Reach, Room, Roster, Verdict,
};

const WORK: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(300);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(n: u16, zone: &str) -> Entry {
    Entry {
        id: format!("u{n}").into(),
        service: "desk".into(),
        addr: SocketAddr::from(([10, 0, 0, 1], n)),
        zone: zone.into(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

fn load(running: u32, waiting: u32, slowness: f64) -> Option<Load> {
    Some(Load { running, waiting, slots: 4, slowness })
}

/// A pool of `count` upstreams in zone `a`.
fn pool(count: u16, now: Instant) -> Pool {
    let mut pool = Pool::default();
    (1..=count).for_each(|n| pool.put(&entry(n, "a"), now));
    pool
}

fn ask<'a>() -> Ask<'a> {
    Ask {
        policy: Policy::Reports,
        work: WORK,
        objective_left: OBJECTIVE,
        zone: "a",
        tried: &[],
        repeatable: true,
    }
}

/// Returns the ids of the upstreams for a request, best first.
fn ranked(pool: &Pool, ask: Ask<'_>, now: Instant) -> Vec<String> {
    let candidates = pool.rank(ask, |_| Reach::Kept, now, &mut StdRng::seed_from_u64(1));
    candidates.iter().map(|c| pool.upstreams()[c.index].id.to_string()).collect()
}

/// Symptom: one request in four is four times slower although most machines are idle.
/// Sequence: machines change speed every 300 ms; one reported a moment ago that it is slow.
/// Cause: choosing by averages, or by none of it.
#[test]
fn a_machine_that_just_said_it_is_slow_comes_last() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.take_report("u1", load(0, 0, 4.0), now);
    pool.take_report("u2", load(0, 0, 1.0), now);
    pool.take_report("u3", load(0, 0, 4.0), now);
    assert_eq!(ranked(&pool, ask(), now + ms(10))[0], "u2");
}

/// Symptom: an upstream that was slow once gets no requests any more.
/// Sequence: it reported itself slow; nobody asks it again for a second.
/// Cause: trusting an old report like a new one.
#[test]
fn an_old_report_says_nothing() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report("u1", load(0, 0, 4.0), now);
    let later = now + ms(3_000);
    let candidates = pool.rank(ask(), |_| Reach::Kept, later, &mut StdRng::seed_from_u64(1));
    let took: Vec<Duration> = candidates.iter().map(|c| c.prediction.took).collect();
    assert!(took[0].abs_diff(took[1]) < ms(1), "{took:?}");
    assert_eq!(pool.to_ask(&candidates, 3, 3).len(), 2);
}

#[test]
fn nobody_is_asked_when_a_fresh_report_is_as_good_as_it_gets() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.take_report("u1", load(0, 0, 1.0), now);
    let candidates = pool.rank(ask(), |_| Reach::Kept, now + ms(10), &mut StdRng::seed_from_u64(1));
    assert!(pool.to_ask(&candidates, 3, 3).is_empty());
}

/// Symptom: bytes between zones cost more than the requests earn.
/// Sequence: upstreams of both zones are idle and equally fast.
/// Cause: zones not told apart; and the reverse, a slow own zone that is never left.
#[test]
fn the_own_zone_is_preferred_until_it_is_slow() {
    let now = Instant::now();
    let mut pool = pool(1, now);
    pool.put(&entry(2, "b"), now);
    for id in ["u1", "u2"] {
        pool.take_report(id, load(0, 0, 1.0), now);
    }
    assert_eq!(ranked(&pool, ask(), now)[0], "u1");
    pool.take_report("u1", load(0, 0, 4.0), now);
    assert_eq!(ranked(&pool, ask(), now)[0], "u2");
}

/// Symptom: two nearly simultaneous requests queue at the same upstream.
/// Sequence: a report shows one free slot; a request is sent there; another comes before a new report.
/// Cause: not counting what was sent since the report.
#[test]
fn what_was_sent_since_a_report_counts() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report("u1", load(1, 0, 1.0), now);
    pool.take_report("u2", load(2, 0, 1.0), now);
    assert_eq!(ranked(&pool, ask(), now)[0], "u1");
    (0..3).for_each(|_| pool.sent("u1"));
    assert_eq!(ranked(&pool, ask(), now)[0], "u2");
}

/// Symptom: nearly half of all requests to one upstream fail, for as long as it lives.
/// Sequence: it reports no load and passes its health check; its requests fail.
/// Cause: going by what it says instead of by its record.
#[test]
fn an_upstream_that_fails_requests_is_ejected_and_tried_again() {
    let mut now = Instant::now();
    let mut pool = pool(3, now);
    let fail = |pool: &mut Pool, now| {
        pool.sent("u1");
        pool.ended("u1", End::Failed, now);
    };
    fail(&mut pool, now);
    assert!(ranked(&pool, ask(), now).contains(&"u1".to_owned()), "one failure is no verdict");
    fail(&mut pool, now);
    assert!(!ranked(&pool, ask(), now).contains(&"u1".to_owned()));
    now += ms(10_000);
    assert!(ranked(&pool, ask(), now).contains(&"u1".to_owned()), "on trial");
    pool.sent("u1");
    assert!(!ranked(&pool, ask(), now).contains(&"u1".to_owned()), "one trial at a time");
    pool.ended("u1", End::Failed, now);
    assert!(!ranked(&pool, ask(), now).contains(&"u1".to_owned()), "the trial failed");
    now += ms(10_000);
    pool.sent("u1");
    pool.ended("u1", End::Answered, now);
    assert!(ranked(&pool, ask(), now).contains(&"u1".to_owned()));
}

/// Symptom: a claim fails for good at an upstream that everyone knows to be ill.
/// Sequence: an ejected upstream is due for its trial; a request that must not run twice comes.
/// Cause: making a trial of a request whose failure cannot be mended.
#[test]
fn a_request_that_cannot_be_repeated_is_no_trial() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    for _ in 0..2 {
        pool.sent("u1");
        pool.ended("u1", End::Failed, now);
    }
    let later = now + ms(10_000);
    let once = Ask { repeatable: false, ..ask() };
    assert!(!ranked(&pool, once, later).contains(&"u1".to_owned()));
}

/// Symptom: a service that is slow becomes one that is down.
/// Sequence: every upstream fails requests under overload.
/// Cause: ejecting all of them.
#[test]
fn at_most_half_of_the_upstreams_are_ejected() {
    let now = Instant::now();
    let mut pool = pool(4, now);
    for n in 1..=4 {
        for _ in 0..5 {
            pool.sent(&format!("u{n}"));
            pool.ended(&format!("u{n}"), End::Failed, now);
        }
    }
    assert_eq!(ranked(&pool, ask(), now).len(), 2);
}

#[test]
fn an_upstream_slow_beyond_its_report_is_found_out() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report("u1", load(0, 0, 1.0), now);
    pool.take_report("u2", load(1, 0, 1.2), now);
    assert_eq!(ranked(&pool, ask(), now)[0], "u1");
    (0..3).for_each(|_| pool.took_ratio("u1", 5.0, now));
    assert_eq!(ranked(&pool, ask(), now)[0], "u2");
}

fn verdict(load: Option<Load>, room: Room) -> Verdict {
    let now = Instant::now();
    let mut pool = pool(1, now);
    pool.take_report("u1", load, now);
    let mut rng = StdRng::seed_from_u64(1);
    let ask = Ask { objective_left: room.objective_left, ..ask() };
    let best = pool.rank(ask, |_| Reach::Kept, now, &mut rng).remove(0);
    admit(&best, room, &mut rng)
}

const ROOM: Room = Room {
    deadline_left: Duration::from_millis(1_000),
    objective_left: OBJECTIVE,
    most_urgent: true,
};

/// Symptom: under overload every request is late, urgent ones too.
/// Sequence: all slots are busy and requests of both ranks wait.
/// Cause: queueing what will be late anyway in front of what need not be.
#[yare::parameterized(
    room = { load(0, 0, 1.0), ROOM, true },
    queue_that_fits = { load(4, 1, 1.0), ROOM, true },
    urgent_and_late = { load(4, 6, 1.0), ROOM, true },
    less_urgent_that_waits_a_little = { load(4, 0, 1.0), Room { most_urgent: false, ..ROOM }, true },
    less_urgent_and_likely_late = { load(4, 1, 1.0), Room { most_urgent: false, ..ROOM }, false },
    less_urgent_and_late = { load(4, 6, 1.0), Room { most_urgent: false, ..ROOM }, false },
    less_urgent_at_a_slow_idle_machine = { load(0, 0, 4.0), Room { most_urgent: false, ..ROOM }, true },
    hopeless = { load(4, 12, 4.0), ROOM, false },
)]
fn requests_are_sent_or_refused(load: Option<Load>, room: Room, sent: bool) {
    assert_eq!(verdict(load, room) == Verdict::Send, sent);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0a7c_0e03),
        ..ProptestConfig::default()
    })]

    /// Symptom: a refused caller comes back when its time is over, or at once.
    /// Sequence: any load, any time left.
    /// Cause: a time to come back made of the queue alone.
    #[test]
    fn a_refused_caller_can_still_be_served(
        running in 0u32..10,
        waiting in 0u32..100,
        slowness in 0.5f64..8.0,
        left_ms in 1u64..5_000,
        most_urgent: bool,
    ) {
        let room = Room { deadline_left: ms(left_ms), objective_left: ms(left_ms / 2), most_urgent };
        if let Verdict::Refuse { come_back } = verdict(load(running, waiting, slowness), room) {
            prop_assert!(come_back >= ms(50));
            prop_assert!(come_back <= ms(50).max(room.deadline_left.mul_f64(0.3)));
        }
    }
}

fn ids(changes: &[Change]) -> Vec<(&str, &'static str)> {
    let id = |change: &Change| match change {
        Change::Put(_) => None,
        Change::Drop { id, why, .. } => Some((id.to_string().leak() as &str, *why)),
    };
    changes.iter().filter_map(id).collect()
}

fn roster(count: u16, now: Instant) -> Roster {
    let mut roster = Roster::default();
    roster.whole((1..=count).map(|n| entry(n, "a")).collect(), now);
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
    let listed = (2..=10).map(|n| entry(n, "a")).collect();
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

/// Symptom: nearly every request opens a connection, and predictions are guesses.
/// Sequence: a hundred nodes with a few requests a second each share two hundred upstreams.
/// Cause: every node comparing a random part of all of them for every request.
#[test]
fn a_node_keeps_to_a_few_upstreams_and_all_nodes_together_use_all() {
    let now = Instant::now();
    let mut used = std::collections::HashSet::new();
    for node in 0..40 {
        let mut pool = Pool::of_node(node);
        (1..=100).for_each(|n| pool.put(&entry(n, "a"), now));
        let mut compared = std::collections::HashSet::new();
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let candidates = pool.rank(ask(), |_| Reach::Kept, now, &mut rng);
            compared.extend(candidates.iter().map(|c| pool.upstreams()[c.index].id.clone()));
        }
        assert!(compared.len() <= 12, "{}", compared.len());
        used.extend(compared);
    }
    assert!(used.len() >= 95, "{}", used.len());
}

#[test]
fn a_node_whose_few_upstreams_are_all_slow_compares_more() {
    let now = Instant::now();
    let mut pool = Pool::of_node(1);
    (1..=30).for_each(|n| pool.put(&entry(n, "a"), now));
    let few: Vec<String> = ranked(&pool, ask(), now);
    assert_eq!(few.len(), 12);
    few.iter().for_each(|id| pool.take_report(id, load(4, 9, 4.0), now));
    assert!(ranked(&pool, ask(), now).len() > 12);
}

/// Symptom: the upstreams of a node change wholesale when one comes or goes.
/// Sequence: an upstream leaves.
/// Cause: an order by position instead of by each upstream's own number.
#[test]
fn the_few_upstreams_of_a_node_are_stable() {
    let now = Instant::now();
    let mut pool = Pool::of_node(1);
    (1..=30).for_each(|n| pool.put(&entry(n, "a"), now));
    let before: std::collections::HashSet<String> = ranked(&pool, ask(), now).into_iter().collect();
    pool.remove(before.iter().next().expect("twelve"));
    let after: std::collections::HashSet<String> = ranked(&pool, ask(), now).into_iter().collect();
    assert_eq!(before.intersection(&after).count(), 11);
}

/// Symptom: upstreams reset connections, and claims sent on them are lost.
/// Sequence: a node has its share of an upstream's connections in use, or the upstream's queue is
/// long; another upstream is a little slower.
/// Cause: opening one more connection whenever none is idle.
#[test]
fn connections_that_an_upstream_would_reset_are_not_opened() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report("u1", load(0, 0, 1.0), now);
    pool.take_report("u2", load(1, 0, 1.2), now);
    let first = |pool: &Pool, reach: Reach| {
        let reach = |id: &crate::UpstreamId| if id == "u1" { reach } else { Reach::New };
        let ranked = pool.rank(ask(), reach, now, &mut StdRng::seed_from_u64(1));
        pool.upstreams()[ranked[0].index].id.to_string()
    };
    assert_eq!(first(&pool, Reach::New), "u1");
    assert_eq!(first(&pool, Reach::Not), "u2");
    pool.take_report("u1", load(0, 1, 1.0), now);
    assert_eq!(first(&pool, Reach::New), "u2");
    assert_eq!(first(&pool, Reach::Kept), "u1");
}

/// Symptom: in a burst a node opens ten connections a second to upstreams that it never used, and
/// most of them are reset or wait for a slot.
/// Sequence: all upstreams that the node knows report full queues; it has heard nothing of others.
/// Cause: an upstream that nothing is known of was taken for empty, and so for the best.
#[test]
fn an_upstream_not_heard_of_is_as_full_as_the_others() {
    let now = Instant::now();
    let mut pool = pool(40, now);
    for _ in 0..10 {
        (1..=10).for_each(|n| pool.take_report(&format!("u{n}"), load(4, 6, 1.0), now));
    }
    let known: Vec<String> = (1..=10).map(|n| format!("u{n}")).collect();
    let reach = |id: &crate::UpstreamId| match known.iter().any(|k| k == id) {
        true => Reach::Kept,
        false => Reach::New,
    };
    let candidates = pool.rank(ask(), reach, now + ms(20), &mut StdRng::seed_from_u64(1));
    let best = &pool.upstreams()[candidates[0].index];
    assert!(known.iter().any(|k| *k == best.id), "{} came first", best.id);
    let unknown =
        candidates.iter().find(|c| !known.iter().any(|k| *k == pool.upstreams()[c.index].id));
    assert!(
        unknown.is_none_or(|c| !c.prediction.wait.is_zero()),
        "no wait expected at {unknown:?}"
    );
}

/// Symptom: a request costs up to six new connections before it is even sent.
/// Sequence: a node that has just started, or whose upstreams are all slow, asks for reports.
/// Cause: questions over new connections were as free as others.
#[test]
fn few_upstreams_are_asked_over_new_connections() {
    let now = Instant::now();
    let pool = pool(8, now);
    let reach = |id: &crate::UpstreamId| if id == "u1" { Reach::Kept } else { Reach::New };
    let candidates = pool.rank(ask(), reach, now, &mut StdRng::seed_from_u64(1));
    let asked = pool.to_ask(&candidates, 3, 1);
    let new = asked.iter().filter(|index| pool.upstreams()[**index].id != "u1").count();
    assert_eq!((asked.len(), new), (2, 1));
    assert_eq!(pool.to_ask(&candidates, 3, 0).len(), 1);
}

/// Symptom: requests pile up at some upstreams of a service that does not report its load.
/// Sequence: no upstream ever reports; two requests are under way at one of them.
/// Cause: taking all for as full as a mean that nobody reported, whatever this node has sent.
#[test]
fn without_reports_the_nodes_own_requests_tell_upstreams_apart() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.take_report("u1", None, now);
    (0..2).for_each(|_| pool.sent("u1"));
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let ranked = pool.rank(ask(), |_| Reach::Kept, now, &mut rng);
        let last = ranked.last().expect("three candidates");
        assert_eq!(pool.upstreams()[last.index].id, "u1");
    }
}
