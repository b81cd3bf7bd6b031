use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{WarmUp, DOUBTED_FOR};
use crate::tests::{ask, entry, pool};
use crate::{Ask, Candidate, Entry, Incarnation, Pool, Reach};

/// What the users allow in any second: so many times the rate, and so many more.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 8.0;

/// For how long nodes watch one cold upstream: longer than any stays so.
const WATCHED_FOR: Duration = Duration::from_secs(60);

const SECOND: Duration = Duration::from_secs(1);

fn upstream() -> Incarnation {
    Incarnation { id: "u".into(), born_ms: 1 }
}

/// Returns when `nodes` nodes have their turns, each of which takes there to be `known` of them.
fn turns(nodes: usize, known: usize, per_s: f64, seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut all = Vec::new();
    for _ in 0..nodes {
        let node_seed = rng.random();
        let since = began - Duration::from_secs_f64(rng.random_range(0.0..100.0));
        let warm_up = WarmUp { per_s, nodes: Some(known), since };
        // The worst that a node may do: it uses each of its turns, at any moment of it.
        let mut used = None;
        let mut at = Duration::ZERO;
        while at < WATCHED_FOR {
            let turn = warm_up.turn(node_seed, &upstream(), began + at);
            if turn.is_some() && turn != used {
                all.push(at);
                used = turn;
            }
            at += Duration::from_millis(rng.random_range(5..60));
        }
    }
    all.sort_unstable();
    all
}

fn most_in_a_second(turns: &[Duration]) -> usize {
    let in_it = |from: &Duration| {
        let end = turns.partition_point(|at| *at < *from + SECOND);
        end - turns.partition_point(|at| at < from)
    };
    turns.iter().map(in_it).max().unwrap_or_default()
}

/// Symptom: upstreams that have just come back crash again.
/// Sequence: a hundred nodes, or three hundred, each send a cold one what they may.
/// Cause: a share of each node that is saved up, or one request at least for each.
#[yare::parameterized(
    few_nodes = { 16, 3.1 },
    a_hundred = { 105, 3.1 },
    a_slow_service = { 105, 2.0 },
    three_hundred = { 312, 3.1 },
    a_quick_service = { 312, 40.0 },
)]
fn all_nodes_together_send_what_a_cold_upstream_bears(nodes: usize, per_s: f64) {
    let bound = per_s * OVERSHOOT + SLACK;
    let mut sent = 0;
    for seed in 0..6 {
        let turns = turns(nodes, nodes, per_s, seed);
        let most = most_in_a_second(&turns);
        assert!(most as f64 <= bound, "seed {seed}: {most} in a second, allowed {bound}");
        sent += turns.len();
    }
    let mean_per_s = sent as f64 / 6.0 / WATCHED_FOR.as_secs_f64();
    assert!((0.6 * per_s..=per_s).contains(&mean_per_s), "{mean_per_s} a second of {per_s}");
}

/// Symptom: the same, while nodes are cut off from each other.
/// Sequence: each side goes on sending; nodes that do not hear from others still count them.
/// Cause: dealing the rate out among those that are reached.
#[test]
fn nodes_that_are_cut_off_do_not_send_more() {
    let (one, other) = (turns(87, 105, 3.1, 1), turns(18, 105, 3.1, 2));
    let mut all = [one, other].concat();
    all.sort_unstable();
    assert!(most_in_a_second(&all) as f64 <= 3.1 * OVERSHOOT + SLACK);
}

fn cold_pool(cold: u16, now: Instant) -> Pool {
    let mut pool = pool(4, now);
    for n in 1..=cold {
        pool.put(&Entry { cold_for: Duration::from_secs(3), ..entry(n, "a") }, now);
    }
    pool
}

fn rank(pool: &Pool, warm_up: WarmUp, now: Instant) -> Vec<Candidate> {
    let ask = Ask { warm_up: Some(warm_up), ..ask() };
    pool.rank(ask, |_| Reach::Kept, now, &mut StdRng::seed_from_u64(1))
}

/// A node alone has all turns, and uses each once.
#[test]
fn a_cold_upstream_gets_one_request_a_turn() {
    let now = Instant::now();
    let mut pool = cold_pool(1, now);
    let warm_up = WarmUp { per_s: 2.0, nodes: Some(1), since: now };
    let is_cold = |pool: &Pool, c: &Candidate| pool.upstreams()[c.index].may_be_cold(now);
    let ranked = rank(&pool, warm_up, now);
    let cold = ranked.iter().find(|c| is_cold(&pool, c)).expect("it has its turn").clone();
    pool.chosen(&cold);
    assert!(!rank(&pool, warm_up, now).iter().any(|c| is_cold(&pool, c)), "not twice");
    let later = now + Duration::from_millis(700);
    assert!(rank(&pool, warm_up, later).iter().any(|c| is_cold(&pool, c)), "the next turn");
    let warm = now + Duration::from_secs(4);
    assert_eq!(rank(&pool, WarmUp { nodes: None, ..warm_up }, warm).len(), 4);
}

/// A node that has just started would take itself for the only one.
#[test]
fn a_node_that_does_not_know_the_others_sends_cold_upstreams_nothing() {
    let now = Instant::now();
    let pool = cold_pool(4, now);
    let warm_up = WarmUp { per_s: 100.0, nodes: None, since: now };
    assert!(rank(&pool, warm_up, now).is_empty());
}

/// Symptom: a zone's upstreams crash as soon as its evacuation is over.
/// Sequence: they became cold shortly before, and have not yet said so.
/// Cause: believing what they said last.
#[test]
fn upstreams_of_a_zone_that_was_evacuated_until_now_may_be_cold() {
    let now = Instant::now();
    let mut pool = pool(4, now);
    let warm_up = WarmUp { per_s: 3.0, nodes: None, since: now };
    assert_eq!(rank(&pool, warm_up, now).len(), 4);
    pool.evacuate(&["a".into()].into(), now);
    assert!(rank(&pool, warm_up, now).is_empty());
    pool.evacuate(&[].into(), now);
    assert!(rank(&pool, warm_up, now).is_empty(), "they may be cold");
    pool.take_cold(&pool.upstreams()[0].incarnation.clone(), None, now);
    assert_eq!(rank(&pool, warm_up, now).len(), 1, "it says that it is not");
    assert_eq!(rank(&pool, warm_up, now + DOUBTED_FOR).len(), 4);
}
