use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{WarmUp, ASSUMED_COLD_TTL};
use crate::tests::{criteria, entry, pool};
use crate::{Candidate, ConnectionPlan, Entry, Incarnation, Pool, SelectionCriteria};

/// Requests that are allowed in any second: a multiple of the rate, and a constant number.
const MAX_RATE_RATIO: f64 = 1.5;
const MAX_EXTRA_REQUESTS: f64 = 8.0;

/// Simulated time for one cold upstream; no upstream stays cold for longer.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

const SECOND: Duration = Duration::from_secs(1);

fn upstream() -> Incarnation {
    Incarnation { id: "u".into(), born_ms: 1 }
}

/// Returns the times of all windows of `nodes` nodes, each of which assumes a node count of
/// `known`.
fn windows(nodes: usize, known: usize, requests_per_s: f64, seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut all = Vec::new();
    for _ in 0..nodes {
        let node_seed = rng.random();
        let since = start - Duration::from_secs_f64(rng.random_range(0.0..100.0));
        let warm_up = WarmUp { requests_per_s, node_count: Some(known), since };
        // The worst case: the node uses each of its windows, at a random time within it.
        let mut used = None;
        let mut at = Duration::ZERO;
        while at < SIMULATED_TIME {
            let window = warm_up.window(node_seed, &upstream(), start + at);
            if window.is_some() && window != used {
                all.push(at);
                used = window;
            }
            at += Duration::from_millis(rng.random_range(5..60));
        }
    }
    all.sort_unstable();
    all
}

fn max_in_a_second(windows: &[Duration]) -> usize {
    let count_from = |from: &Duration| {
        let end = windows.partition_point(|at| *at < *from + SECOND);
        end - windows.partition_point(|at| at < from)
    };
    windows.iter().map(count_from).max().unwrap_or_default()
}

/// Guards against crashing upstreams that have just started: a hundred or more nodes each send a
/// cold upstream as much as they may. The total is too high if nodes accumulate their shares, or if
/// each may send at least one request.
#[yare::parameterized(
    few_nodes = { 16, 3.1 },
    a_hundred = { 105, 3.1 },
    a_slow_service = { 105, 2.0 },
    three_hundred = { 312, 3.1 },
    a_quick_service = { 312, 40.0 },
)]
fn all_nodes_together_keep_to_the_rate_of_a_cold_upstream(nodes: usize, requests_per_s: f64) {
    let bound = requests_per_s * MAX_RATE_RATIO + MAX_EXTRA_REQUESTS;
    let mut sent = 0;
    for seed in 0..6 {
        let windows = windows(nodes, nodes, requests_per_s, seed);
        let max = max_in_a_second(&windows);
        assert!(max as f64 <= bound, "seed {seed}: {max} in a second, allowed {bound}");
        sent += windows.len();
    }
    let mean_per_s = sent as f64 / 6.0 / SIMULATED_TIME.as_secs_f64();
    assert!(
        (0.6 * requests_per_s..=requests_per_s).contains(&mean_per_s),
        "{mean_per_s} a second of {requests_per_s}"
    );
}

/// Guards against crashing cold upstreams while nodes are partitioned: both sides keep sending, so
/// each must divide the rate by the number of all nodes and not only of the reachable ones.
#[test]
fn partitioned_nodes_do_not_send_more() {
    let (one, other) = (windows(87, 105, 3.1, 1), windows(18, 105, 3.1, 2));
    let mut all = [one, other].concat();
    all.sort_unstable();
    assert!(max_in_a_second(&all) as f64 <= 3.1 * MAX_RATE_RATIO + MAX_EXTRA_REQUESTS);
}

fn cold_pool(cold: u16, now: Instant) -> Pool {
    let mut pool = pool(4, now);
    for n in 1..=cold {
        pool.put(&Entry { cold_for: Duration::from_secs(3), ..entry(n, "a") }, now);
    }
    pool
}

fn rank(pool: &Pool, warm_up: WarmUp, now: Instant) -> Vec<Candidate> {
    let criteria = SelectionCriteria { warm_up: Some(warm_up), ..criteria() };
    pool.rank(criteria, |_| ConnectionPlan::Reuse, now, &mut StdRng::seed_from_u64(1))
}

/// A single node holds all windows and uses each once.
#[test]
fn a_cold_upstream_gets_one_request_per_window() {
    let now = Instant::now();
    let mut pool = cold_pool(1, now);
    let warm_up = WarmUp { requests_per_s: 2.0, node_count: Some(1), since: now };
    let is_cold = |pool: &Pool, c: &Candidate| pool.upstreams()[c.index].may_be_cold(now);
    let ranked = rank(&pool, warm_up, now);
    let cold =
        ranked.iter().find(|c| is_cold(&pool, c)).expect("the node holds the window").clone();
    pool.record_chosen(&cold);
    assert!(!rank(&pool, warm_up, now).iter().any(|c| is_cold(&pool, c)), "not twice");
    let later = now + Duration::from_millis(700);
    assert!(rank(&pool, warm_up, later).iter().any(|c| is_cold(&pool, c)), "the next window");
    let warm = now + Duration::from_secs(4);
    assert_eq!(rank(&pool, WarmUp { node_count: None, ..warm_up }, warm).len(), 4);
}

/// A node that has just started would otherwise assume that it is the only one.
#[test]
fn a_node_without_a_node_count_sends_cold_upstreams_nothing() {
    let now = Instant::now();
    let pool = cold_pool(4, now);
    let warm_up = WarmUp { requests_per_s: 100.0, node_count: None, since: now };
    assert!(rank(&pool, warm_up, now).is_empty());
}

/// Guards against crashing the upstreams of a zone right after its evacuation ends: they may have
/// become cold shortly before and not reported it yet.
#[test]
fn upstreams_of_a_restored_zone_are_treated_as_cold() {
    let now = Instant::now();
    let mut pool = pool(4, now);
    let warm_up = WarmUp { requests_per_s: 3.0, node_count: None, since: now };
    assert_eq!(rank(&pool, warm_up, now).len(), 4);
    pool.set_evacuated_zones(&["a".into()].into(), now);
    assert!(rank(&pool, warm_up, now).is_empty());
    pool.set_evacuated_zones(&[].into(), now);
    assert!(rank(&pool, warm_up, now).is_empty(), "they may be cold");
    pool.set_cold_for(&pool.upstreams()[0].incarnation.clone(), None, now);
    assert_eq!(rank(&pool, warm_up, now).len(), 1, "it reports that it is not cold");
    assert_eq!(rank(&pool, warm_up, now + ASSUMED_COLD_TTL).len(), 4);
}
