use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::{Ask, End, Entry, Incarnation, Load, Policy, Pool, Reach};

const WORK: Duration = Duration::from_millis(100);
pub const OBJECTIVE: Duration = Duration::from_millis(300);

/// When the upstreams of the tests started.
pub const BORN_MS: u64 = 1_000;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn entry(n: u16, zone: &str) -> Entry {
    Entry {
        id: format!("u{n}").into(),
        born_ms: BORN_MS,
        service: "desk".into(),
        addr: SocketAddr::from(([10, 0, 0, 1], n)),
        zone: zone.into(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

/// The start of an upstream that [`entry`] describes.
pub fn up(id: impl Into<crate::UpstreamId>) -> Incarnation {
    Incarnation { id: id.into(), born_ms: BORN_MS }
}

pub fn load(running: u32, waiting: u32, slowness: f64) -> Option<Load> {
    Some(Load { running, waiting, slots: 4, slowness })
}

/// A pool of `count` upstreams in zone `a`.
pub fn pool(count: u16, now: Instant) -> Pool {
    let mut pool = Pool::default();
    (1..=count).for_each(|n| pool.put(&entry(n, "a"), now));
    pool
}

pub fn ask<'a>() -> Ask<'a> {
    Ask {
        policy: Policy::Reports,
        work: WORK,
        objective_left: OBJECTIVE,
        zone: "a",
        cross_zone_cost: 0.06,
        homes: None,
        warm_up: None,
        tried: &[],
        repeatable: true,
    }
}

/// Returns the ids of the upstreams for a request, best first.
fn ranked(pool: &Pool, ask: Ask<'_>, now: Instant) -> Vec<String> {
    let candidates = pool.rank(ask, |_| Reach::Kept, now, &mut StdRng::seed_from_u64(1));
    candidates.iter().map(|c| pool.upstreams()[c.index].incarnation.id.to_string()).collect()
}

/// Symptom: one request in four is four times slower although most machines are idle.
/// Sequence: machines change speed every 300 ms; one reported a moment ago that it is slow.
/// Cause: choosing by averages, or by none of it.
#[test]
fn a_machine_that_just_said_it_is_slow_comes_last() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.take_report(&up("u1"), load(0, 0, 4.0), now);
    pool.take_report(&up("u2"), load(0, 0, 1.0), now);
    pool.take_report(&up("u3"), load(0, 0, 4.0), now);
    assert_eq!(ranked(&pool, ask(), now + ms(10))[0], "u2");
}

/// Symptom: an upstream that was slow once gets no requests any more.
/// Sequence: it reported itself slow; nobody asks it again for a second.
/// Cause: trusting an old report like a new one.
#[test]
fn an_old_report_says_nothing() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report(&up("u1"), load(0, 0, 4.0), now);
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
    pool.take_report(&up("u1"), load(0, 0, 1.0), now);
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
        pool.take_report(&up(id), load(0, 0, 1.0), now);
    }
    assert_eq!(ranked(&pool, ask(), now)[0], "u1");
    pool.take_report(&up("u1"), load(0, 0, 4.0), now);
    assert_eq!(ranked(&pool, ask(), now)[0], "u2");
}

/// Symptom: two nearly simultaneous requests queue at the same upstream.
/// Sequence: a report shows one free slot; a request is sent there; another comes before a new report.
/// Cause: not counting what was sent since the report.
#[test]
fn what_was_sent_since_a_report_counts() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report(&up("u1"), load(1, 0, 1.0), now);
    pool.take_report(&up("u2"), load(2, 0, 1.0), now);
    assert_eq!(ranked(&pool, ask(), now)[0], "u1");
    (0..3).for_each(|_| pool.sent(&up("u1")));
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
        pool.sent(&up("u1"));
        pool.ended(&up("u1"), End::Failed, now);
    };
    fail(&mut pool, now);
    assert!(ranked(&pool, ask(), now).contains(&"u1".to_owned()), "one failure is no verdict");
    fail(&mut pool, now);
    assert!(!ranked(&pool, ask(), now).contains(&"u1".to_owned()));
    now += ms(10_000);
    assert!(ranked(&pool, ask(), now).contains(&"u1".to_owned()), "on trial");
    pool.sent(&up("u1"));
    assert!(!ranked(&pool, ask(), now).contains(&"u1".to_owned()), "one trial at a time");
    pool.ended(&up("u1"), End::Failed, now);
    assert!(!ranked(&pool, ask(), now).contains(&"u1".to_owned()), "the trial failed");
    now += ms(10_000);
    pool.sent(&up("u1"));
    pool.ended(&up("u1"), End::Answered, now);
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
        pool.sent(&up("u1"));
        pool.ended(&up("u1"), End::Failed, now);
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
            pool.sent(&up(format!("u{n}")));
            pool.ended(&up(format!("u{n}")), End::Failed, now);
        }
    }
    assert_eq!(ranked(&pool, ask(), now).len(), 2);
}

#[test]
fn an_upstream_slow_beyond_its_report_is_found_out() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.take_report(&up("u1"), load(0, 0, 1.0), now);
    pool.take_report(&up("u2"), load(1, 0, 1.2), now);
    assert_eq!(ranked(&pool, ask(), now)[0], "u1");
    (0..3).for_each(|_| pool.took_ratio(&up("u1"), 5.0, now));
    assert_eq!(ranked(&pool, ask(), now)[0], "u2");
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
            compared.extend(
                candidates.iter().map(|c| pool.upstreams()[c.index].incarnation.id.clone()),
            );
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
    few.iter().for_each(|id| pool.take_report(&up(id), load(4, 9, 4.0), now));
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
    pool.remove(&up(before.iter().next().expect("twelve")));
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
    pool.take_report(&up("u1"), load(0, 0, 1.0), now);
    pool.take_report(&up("u2"), load(1, 0, 1.2), now);
    let first = |pool: &Pool, reach: Reach| {
        let reach = |upstream: &Incarnation| if upstream.id == "u1" { reach } else { Reach::New };
        let ranked = pool.rank(ask(), reach, now, &mut StdRng::seed_from_u64(1));
        pool.upstreams()[ranked[0].index].incarnation.id.to_string()
    };
    assert_eq!(first(&pool, Reach::New), "u1");
    assert_eq!(first(&pool, Reach::Not), "u2");
    pool.take_report(&up("u1"), load(0, 1, 1.0), now);
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
        (1..=10).for_each(|n| pool.take_report(&up(format!("u{n}")), load(4, 6, 1.0), now));
    }
    let known: Vec<String> = (1..=10).map(|n| format!("u{n}")).collect();
    let reach = |upstream: &Incarnation| match known.iter().any(|k| *k == upstream.id) {
        true => Reach::Kept,
        false => Reach::New,
    };
    let candidates = pool.rank(ask(), reach, now + ms(20), &mut StdRng::seed_from_u64(1));
    let best = &pool.upstreams()[candidates[0].index];
    assert!(known.iter().any(|k| *k == best.incarnation.id), "{} came first", best.incarnation.id);
    let unknown = candidates
        .iter()
        .find(|c| !known.iter().any(|k| *k == pool.upstreams()[c.index].incarnation.id));
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
    let reach = |upstream: &Incarnation| if upstream.id == "u1" { Reach::Kept } else { Reach::New };
    let candidates = pool.rank(ask(), reach, now, &mut StdRng::seed_from_u64(1));
    let asked = pool.to_ask(&candidates, 3, 1);
    let new = asked.iter().filter(|index| pool.upstreams()[**index].incarnation.id != "u1").count();
    assert_eq!((asked.len(), new), (2, 1));
    assert_eq!(pool.to_ask(&candidates, 3, 0).len(), 1);
}

/// Symptom: nearly half of the connections that a fleet opens are second ones to the same upstream.
/// Sequence: a request of this node runs at an upstream for a second, on the only connection to it;
/// others come meanwhile, and ask that upstream too.
/// Cause: asking over whatever connection could be had. It may still be sent to.
#[test]
fn no_connection_is_opened_beside_one_in_use_to_ask() {
    let now = Instant::now();
    let pool = pool(8, now);
    let reach =
        |upstream: &Incarnation| if upstream.id == "u1" { Reach::Kept } else { Reach::NewBeside };
    let candidates = pool.rank(ask(), reach, now, &mut StdRng::seed_from_u64(1));
    assert_eq!(candidates.len(), 8);
    let asked = pool.to_ask(&candidates, 3, 2);
    let asked: Vec<_> = asked.iter().map(|i| &*pool.upstreams()[*i].incarnation.id).collect();
    assert_eq!(asked, ["u1"]);
}

/// Symptom: requests pile up at some upstreams of a service that does not report its load.
/// Sequence: no upstream ever reports; two requests are under way at one of them.
/// Cause: taking all for as full as a mean that nobody reported, whatever this node has sent.
#[test]
fn without_reports_the_nodes_own_requests_tell_upstreams_apart() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.take_report(&up("u1"), None, now);
    (0..2).for_each(|_| pool.sent(&up("u1")));
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let ranked = pool.rank(ask(), |_| Reach::Kept, now, &mut rng);
        let last = ranked.last().expect("three candidates");
        assert_eq!(pool.upstreams()[last.index].incarnation.id, "u1");
    }
}

/// Symptom: an upstream that started again is taken to be full, or ejected, without reason.
/// Sequence: requests are under way there when it crashes; it starts again under its id; then the
/// requests end, and what they tell (failures, a report, how long they took) arrives.
/// Cause: counting by id what belongs to the earlier start.
#[test]
fn what_an_earlier_start_did_says_nothing_of_the_later_one() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    let (earlier, later) = (up("u1"), Incarnation { born_ms: BORN_MS + 900, ..up("u1") });
    (0..3).for_each(|_| pool.sent(&earlier));
    pool.take_report(&earlier, load(4, 9, 4.0), now);
    pool.remove(&earlier);
    pool.put(&Entry { born_ms: later.born_ms, ..entry(1, "a") }, now);
    let fresh = ranked(&pool, ask(), now);
    pool.sent(&later);
    for _ in 0..3 {
        pool.ended(&earlier, End::Failed, now);
        pool.took_ratio(&earlier, 9.0, now);
    }
    pool.unreachable(&earlier, now);
    pool.take_report(&earlier, load(4, 9, 4.0), now);
    let upstream = &pool.upstreams()[pool.position(&later).expect("listed")];
    assert_eq!(upstream.outstanding, 1, "its own request only");
    assert_eq!((upstream.is_ejected(now), upstream.report(now)), (false, None));
    assert!(fresh.contains(&"u1".to_owned()));
    assert_eq!(pool.position(&earlier), None);
}
