use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::{
    ConnectionPlan, Entry, Incarnation, Load, Policy, Pool, RequestOutcome, SelectionCriteria,
};

const WORK: Duration = Duration::from_millis(100);
pub const OBJECTIVE: Duration = Duration::from_millis(300);

/// Start time of the upstreams in the tests.
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

/// Returns the incarnation of the upstream that [`entry`] describes.
pub fn up(id: impl Into<crate::UpstreamId>) -> Incarnation {
    Incarnation { id: id.into(), born_ms: BORN_MS }
}

pub fn load(running: u32, waiting: u32, slowness: f64) -> Option<Load> {
    Some(Load { running, waiting, slots: 4, slowness })
}

/// Returns a pool of `count` upstreams in zone `a`.
pub fn pool(count: u16, now: Instant) -> Pool {
    let mut pool = Pool::default();
    (1..=count).for_each(|n| pool.put(&entry(n, "a"), now));
    pool
}

pub fn criteria<'a>() -> SelectionCriteria<'a> {
    SelectionCriteria {
        policy: Policy::Reports,
        work: WORK,
        objective_left: OBJECTIVE,
        zone: "a",
        cross_zone_cost: 0.06,
        allowed_zones: None,
        warm_up: None,
        tried: &[],
        repeatable: true,
    }
}

/// Returns the ids of the ranked upstreams, best first.
fn ranked(pool: &Pool, criteria: SelectionCriteria<'_>, now: Instant) -> Vec<String> {
    let candidates =
        pool.rank(criteria, |_| ConnectionPlan::Reuse, now, &mut StdRng::seed_from_u64(1));
    candidates.iter().map(|c| pool.upstreams()[c.index].incarnation.id.to_string()).collect()
}

/// Guards against one request in four being four times slower although most machines are idle:
/// machines change speed every 300 ms, so ranking by averages misses that one has just reported to
/// be slow.
#[test]
fn an_upstream_that_just_reported_to_be_slow_is_ranked_last() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.record_report(&up("u1"), load(0, 0, 4.0), now);
    pool.record_report(&up("u2"), load(0, 0, 1.0), now);
    pool.record_report(&up("u3"), load(0, 0, 4.0), now);
    assert_eq!(ranked(&pool, criteria(), now + ms(10))[0], "u2");
}

/// Guards against never using an upstream again that once reported to be slow and has not been
/// probed since, because an old report is trusted like a new one.
#[test]
fn an_old_report_is_ignored() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.record_report(&up("u1"), load(0, 0, 4.0), now);
    let later = now + ms(3_000);
    let candidates =
        pool.rank(criteria(), |_| ConnectionPlan::Reuse, later, &mut StdRng::seed_from_u64(1));
    let latencies: Vec<Duration> = candidates.iter().map(|c| c.prediction.latency).collect();
    assert!(latencies[0].abs_diff(latencies[1]) < ms(1), "{latencies:?}");
    assert_eq!(pool.probe_targets(&candidates, 3, 3).len(), 2);
}

#[test]
fn nothing_is_probed_if_the_best_upstream_has_a_good_fresh_report() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.record_report(&up("u1"), load(0, 0, 1.0), now);
    let candidates = pool.rank(
        criteria(),
        |_| ConnectionPlan::Reuse,
        now + ms(10),
        &mut StdRng::seed_from_u64(1),
    );
    assert!(pool.probe_targets(&candidates, 3, 3).is_empty());
}

/// Guards against traffic between zones that costs more than the requests are worth when upstreams
/// of both zones are idle and equally fast. Conversely, a slow own zone must not be preferred.
#[test]
fn the_own_zone_is_preferred_until_it_is_slow() {
    let now = Instant::now();
    let mut pool = pool(1, now);
    pool.put(&entry(2, "b"), now);
    for id in ["u1", "u2"] {
        pool.record_report(&up(id), load(0, 0, 1.0), now);
    }
    assert_eq!(ranked(&pool, criteria(), now)[0], "u1");
    pool.record_report(&up("u1"), load(0, 0, 4.0), now);
    assert_eq!(ranked(&pool, criteria(), now)[0], "u2");
}

/// Guards against two nearly simultaneous requests queueing at the same upstream: a report shows
/// one free slot, a request is sent there, and another one arrives before the next report.
#[test]
fn requests_sent_since_a_report_are_counted() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.record_report(&up("u1"), load(1, 0, 1.0), now);
    pool.record_report(&up("u2"), load(2, 0, 1.0), now);
    assert_eq!(ranked(&pool, criteria(), now)[0], "u1");
    (0..3).for_each(|_| pool.record_sent(&up("u1")));
    assert_eq!(ranked(&pool, criteria(), now)[0], "u2");
}

/// Guards against sending requests to a broken upstream for as long as it runs: it reports no load
/// and passes its health check, but nearly half of its requests fail.
#[test]
fn a_failing_upstream_is_ejected_and_gets_trial_requests() {
    let mut now = Instant::now();
    let mut pool = pool(3, now);
    let fail = |pool: &mut Pool, now| {
        pool.record_sent(&up("u1"));
        pool.record_outcome(&up("u1"), RequestOutcome::Failed, now);
    };
    fail(&mut pool, now);
    assert!(
        ranked(&pool, criteria(), now).contains(&"u1".to_owned()),
        "one failure does not eject"
    );
    fail(&mut pool, now);
    assert!(!ranked(&pool, criteria(), now).contains(&"u1".to_owned()));
    now += ms(10_000);
    assert!(ranked(&pool, criteria(), now).contains(&"u1".to_owned()), "on trial");
    pool.record_sent(&up("u1"));
    assert!(!ranked(&pool, criteria(), now).contains(&"u1".to_owned()), "one trial at a time");
    pool.record_outcome(&up("u1"), RequestOutcome::Failed, now);
    assert!(!ranked(&pool, criteria(), now).contains(&"u1".to_owned()), "the trial failed");
    now += ms(10_000);
    pool.record_sent(&up("u1"));
    pool.record_outcome(&up("u1"), RequestOutcome::Answered, now);
    assert!(ranked(&pool, criteria(), now).contains(&"u1".to_owned()));
}

/// Guards against the permanent failure of a request that must not run twice: it arrives when an
/// ejected upstream is due for a trial, and cannot be sent again if the trial fails.
#[test]
fn a_request_that_cannot_be_repeated_is_not_used_as_a_trial() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    for _ in 0..2 {
        pool.record_sent(&up("u1"));
        pool.record_outcome(&up("u1"), RequestOutcome::Failed, now);
    }
    let later = now + ms(10_000);
    let once = SelectionCriteria { repeatable: false, ..criteria() };
    assert!(!ranked(&pool, once, later).contains(&"u1".to_owned()));
}

/// Guards against turning a slow service into an unavailable one: under overload every upstream
/// fails requests, and all of them would be ejected.
#[test]
fn at_most_half_of_the_upstreams_are_ejected() {
    let now = Instant::now();
    let mut pool = pool(4, now);
    for n in 1..=4 {
        for _ in 0..5 {
            pool.record_sent(&up(format!("u{n}")));
            pool.record_outcome(&up(format!("u{n}")), RequestOutcome::Failed, now);
        }
    }
    assert_eq!(ranked(&pool, criteria(), now).len(), 2);
}

#[test]
fn an_upstream_slower_than_its_report_is_detected() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.record_report(&up("u1"), load(0, 0, 1.0), now);
    pool.record_report(&up("u2"), load(1, 0, 1.2), now);
    assert_eq!(ranked(&pool, criteria(), now)[0], "u1");
    (0..3).for_each(|_| pool.record_latency_ratio(&up("u1"), 5.0, now));
    assert_eq!(ranked(&pool, criteria(), now)[0], "u2");
}

/// Guards against opening a connection for nearly every request and predicting without recent
/// reports. It happens when a hundred nodes with a few requests a second each share two hundred
/// upstreams, and each node compares a random subset for every request.
#[test]
fn each_node_uses_a_few_upstreams_and_all_nodes_together_use_all() {
    let now = Instant::now();
    let mut used = std::collections::HashSet::new();
    for node in 0..40 {
        let mut pool = Pool::with_node_seed(node);
        (1..=100).for_each(|n| pool.put(&entry(n, "a"), now));
        let mut compared = std::collections::HashSet::new();
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let candidates = pool.rank(criteria(), |_| ConnectionPlan::Reuse, now, &mut rng);
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
fn a_node_compares_more_upstreams_if_its_usual_ones_are_slow() {
    let now = Instant::now();
    let mut pool = Pool::with_node_seed(1);
    (1..=30).for_each(|n| pool.put(&entry(n, "a"), now));
    let usual: Vec<String> = ranked(&pool, criteria(), now);
    assert_eq!(usual.len(), 12);
    usual.iter().for_each(|id| pool.record_report(&up(id), load(4, 9, 4.0), now));
    assert!(ranked(&pool, criteria(), now).len() > 12);
}

/// Guards against replacing most of the upstreams that a node uses when a single upstream is
/// removed, which happens if the order depends on list positions instead of each upstream's hash.
#[test]
fn the_upstreams_compared_by_a_node_are_stable() {
    let now = Instant::now();
    let mut pool = Pool::with_node_seed(1);
    (1..=30).for_each(|n| pool.put(&entry(n, "a"), now));
    let before: std::collections::HashSet<String> =
        ranked(&pool, criteria(), now).into_iter().collect();
    pool.remove(&up(before.iter().next().expect("twelve")));
    let after: std::collections::HashSet<String> =
        ranked(&pool, criteria(), now).into_iter().collect();
    assert_eq!(before.intersection(&after).count(), 11);
}

/// Guards against losing requests that must not run twice on connections that upstreams reset: a
/// node must not open one more connection to an upstream whose connection share is in use or whose
/// queue is long if another upstream is only a little slower.
#[test]
fn connections_that_an_upstream_would_reset_are_not_opened() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    pool.record_report(&up("u1"), load(0, 0, 1.0), now);
    pool.record_report(&up("u2"), load(1, 0, 1.2), now);
    let first = |pool: &Pool, connection: ConnectionPlan| {
        let connection = |upstream: &Incarnation| {
            if upstream.id == "u1" {
                connection
            } else {
                ConnectionPlan::Open
            }
        };
        let ranked = pool.rank(criteria(), connection, now, &mut StdRng::seed_from_u64(1));
        pool.upstreams()[ranked[0].index].incarnation.id.to_string()
    };
    assert_eq!(first(&pool, ConnectionPlan::Open), "u1");
    assert_eq!(first(&pool, ConnectionPlan::Unavailable), "u2");
    pool.record_report(&up("u1"), load(0, 1, 1.0), now);
    assert_eq!(first(&pool, ConnectionPlan::Open), "u2");
    assert_eq!(first(&pool, ConnectionPlan::Reuse), "u1");
}

/// Guards against opening ten connections a second in a burst to upstreams that the node never
/// used, most of which are reset or wait for a slot: if all upstreams with reports have full
/// queues, one without a report must not be assumed to be empty and ranked best.
#[test]
fn an_upstream_without_a_report_is_assumed_as_full_as_the_others() {
    let now = Instant::now();
    let mut pool = pool(40, now);
    for _ in 0..10 {
        (1..=10).for_each(|n| pool.record_report(&up(format!("u{n}")), load(4, 6, 1.0), now));
    }
    let known: Vec<String> = (1..=10).map(|n| format!("u{n}")).collect();
    let connection = |upstream: &Incarnation| match known.iter().any(|k| *k == upstream.id) {
        true => ConnectionPlan::Reuse,
        false => ConnectionPlan::Open,
    };
    let candidates = pool.rank(criteria(), connection, now + ms(20), &mut StdRng::seed_from_u64(1));
    let best = &pool.upstreams()[candidates[0].index];
    assert!(known.iter().any(|k| *k == best.incarnation.id), "{} came first", best.incarnation.id);
    let unknown = candidates
        .iter()
        .find(|c| !known.iter().any(|k| *k == pool.upstreams()[c.index].incarnation.id));
    assert!(
        unknown.is_none_or(|c| !c.prediction.queue_time.is_zero()),
        "no wait expected at {unknown:?}"
    );
}

/// Guards against opening up to six connections for probes before a request is sent: a node that
/// has just started, or whose upstreams are all slow, probes for reports.
#[test]
fn few_upstreams_are_probed_over_new_connections() {
    let now = Instant::now();
    let pool = pool(8, now);
    let connection = |upstream: &Incarnation| {
        if upstream.id == "u1" {
            ConnectionPlan::Reuse
        } else {
            ConnectionPlan::Open
        }
    };
    let candidates = pool.rank(criteria(), connection, now, &mut StdRng::seed_from_u64(1));
    let probed = pool.probe_targets(&candidates, 3, 1);
    let new =
        probed.iter().filter(|index| pool.upstreams()[**index].incarnation.id != "u1").count();
    assert_eq!((probed.len(), new), (2, 1));
    assert_eq!(pool.probe_targets(&candidates, 3, 0).len(), 1);
}

/// Guards against nearly half of all opened connections being second ones to the same upstream: a
/// request of this node runs there for a second on the only connection, and other requests that
/// arrive meanwhile probe the upstream too. Requests may still be sent to it.
#[test]
fn no_additional_connection_is_opened_for_a_probe() {
    let now = Instant::now();
    let pool = pool(8, now);
    let connection = |upstream: &Incarnation| {
        if upstream.id == "u1" {
            ConnectionPlan::Reuse
        } else {
            ConnectionPlan::OpenAdditional
        }
    };
    let candidates = pool.rank(criteria(), connection, now, &mut StdRng::seed_from_u64(1));
    assert_eq!(candidates.len(), 8);
    let probed = pool.probe_targets(&candidates, 3, 2);
    let probed: Vec<_> = probed.iter().map(|i| &*pool.upstreams()[*i].incarnation.id).collect();
    assert_eq!(probed, ["u1"]);
}

/// Guards against requests accumulating at some upstreams of a service that never reports its load,
/// which happens if all are assumed to have the same mean utilization whatever this node has sent.
#[test]
fn without_reports_upstreams_are_ranked_by_outstanding_requests() {
    let now = Instant::now();
    let mut pool = pool(3, now);
    pool.record_report(&up("u1"), None, now);
    (0..2).for_each(|_| pool.record_sent(&up("u1")));
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let ranked = pool.rank(criteria(), |_| ConnectionPlan::Reuse, now, &mut rng);
        let last = ranked.last().expect("three candidates");
        assert_eq!(pool.upstreams()[last.index].incarnation.id, "u1");
    }
}

/// Guards against treating a restarted upstream as full or ejected without reason: requests are in
/// flight when it crashes and restarts under the same id, and their failures, reports and
/// latencies, which belong to the earlier start, arrive afterwards.
#[test]
fn results_of_an_earlier_start_do_not_affect_the_later_one() {
    let now = Instant::now();
    let mut pool = pool(2, now);
    let (earlier, later) = (up("u1"), Incarnation { born_ms: BORN_MS + 900, ..up("u1") });
    (0..3).for_each(|_| pool.record_sent(&earlier));
    pool.record_report(&earlier, load(4, 9, 4.0), now);
    pool.remove(&earlier);
    pool.put(&Entry { born_ms: later.born_ms, ..entry(1, "a") }, now);
    let fresh = ranked(&pool, criteria(), now);
    pool.record_sent(&later);
    for _ in 0..3 {
        pool.record_outcome(&earlier, RequestOutcome::Failed, now);
        pool.record_latency_ratio(&earlier, 9.0, now);
    }
    pool.record_connect_failure(&earlier, now);
    pool.record_report(&earlier, load(4, 9, 4.0), now);
    let upstream = &pool.upstreams()[pool.position(&later).expect("listed")];
    assert_eq!(upstream.outstanding, 1, "only its own request counts");
    assert_eq!((upstream.is_ejected(now), upstream.report(now)), (false, None));
    assert!(fresh.contains(&"u1".to_owned()));
    assert_eq!(pool.position(&earlier), None);
}
