//! Owners that grant tokens, compared with shares of the rate that follow demand.
//!
//! The shares are those of an ideal exchange: every node learns the demand of all others at once,
//! [`EXCHANGE_TIME`] after it arose.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use team::Quota;

use super::bounds::most_allowed;
use super::fleet::{ms, Fleet, BOUNDS};

/// Time from a change of demand until all nodes have changed their shares.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);

/// Part of the rate that is divided equally, so that a node without demand has a share.
const EQUAL_PART: f64 = 0.1;

/// Time without requests before each load.
const REST: Duration = Duration::from_secs(20);

/// Requests by time and node.
type Load = Vec<(Duration, usize)>;

/// What became of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outcome {
    served: usize,
    /// Share of the requests that were refused.
    refused: f64,
    /// Maximum number served in a window, relative to the bound.
    of_bound: f64,
}

fn outcome(served: &[Duration], asked: usize, quota: Quota) -> Outcome {
    let in_window = |from: &Duration| {
        served.iter().filter(|at| *at >= from && **at - *from <= BOUNDS.window).count()
    };
    let most = served.iter().step_by(7).map(in_window).max().unwrap_or(0);
    Outcome {
        served: served.len(),
        refused: 1.0 - served.len() as f64 / asked as f64,
        of_bound: most as f64 / most_allowed(quota),
    }
}

fn with_owners(nodes: usize, quota: Quota, load: &Load) -> Outcome {
    let mut fleet = Fleet::start(nodes, quota, false, 1);
    fleet.run_until(REST);
    load.iter().for_each(|(at, node)| fleet.arrive(*node, *at));
    let end = load.last().map_or(Duration::ZERO, |(at, _)| *at);
    fleet.run_until(REST + end + ms(500));
    outcome(&fleet.used, load.len(), quota)
}

fn with_shares(nodes: usize, quota: Quota, load: &Load) -> Outcome {
    let equal = 1.0 / nodes as f64;
    // A bucket below one token would never grant any.
    let capacity = |share: f64| (quota.burst * share).max(1.0);
    let mut shares = vec![equal; nodes];
    let mut levels: Vec<f64> = shares.iter().map(|share| capacity(*share)).collect();
    let mut demand = vec![0.0; nodes];
    let (mut filled_at, mut exchanged_at, mut served) =
        (Duration::ZERO, Duration::ZERO, Vec::new());
    for (at, node) in load {
        let fill = |until: Duration, from: Duration, shares: &[f64], levels: &mut [f64]| {
            let added = quota.rate_per_s * (until - from).as_secs_f64();
            for (level, share) in levels.iter_mut().zip(shares) {
                *level = (*level + added * share).min(capacity(*share));
            }
        };
        while exchanged_at + EXCHANGE_TIME <= *at {
            exchanged_at += EXCHANGE_TIME;
            fill(exchanged_at, filled_at, &shares, &mut levels);
            filled_at = exchanged_at;
            let total: f64 = demand.iter().sum();
            for (share, demand) in shares.iter_mut().zip(&mut demand) {
                let by_demand = if total > 0.0 { *demand / total } else { equal };
                *share = EQUAL_PART * equal + (1.0 - EQUAL_PART) * by_demand;
                *demand *= 0.5;
            }
        }
        fill(*at, filled_at, &shares, &mut levels);
        filled_at = *at;
        demand[*node] += 1.0;
        if levels[*node] >= 1.0 {
            levels[*node] -= 1.0;
            served.push(*at);
        }
    }
    outcome(&served, load.len(), quota)
}

/// Returns requests at `rate_per_s` for `time_s`, at the nodes that `node` returns for a number and
/// a time.
fn load(rate_per_s: f64, time_s: f64, node: impl Fn(usize, f64, &mut SmallRng) -> usize) -> Load {
    let mut rng = SmallRng::seed_from_u64(9);
    let (mut at_s, mut load) = (0.0, Vec::new());
    while at_s < time_s {
        at_s += -rng.random_range(f64::EPSILON..1.0).ln() / rate_per_s;
        let node = node(load.len(), at_s, &mut rng);
        load.push((Duration::from_secs_f64(at_s), node));
    }
    load
}

fn quota(rate_per_s: f64) -> Quota {
    Quota { rate_per_s, burst: rate_per_s }
}

fn any(nodes: usize) -> impl Fn(usize, f64, &mut SmallRng) -> usize {
    move |_, _, rng| rng.random_range(0..nodes)
}

/// Guards against a design that serves a load worse than the other one, or exceeds the bound.
#[yare::parameterized(
    nodes_16 = { 16 },
    nodes_126 = { 126 },
    nodes_312 = { 312 },
)]
fn owners_serve_each_load_within_the_bound(nodes: usize) {
    let third = nodes / 3;
    let moves = move |_: usize, at_s: f64, rng: &mut SmallRng| {
        let zone = at_s as usize % 3;
        zone * third + rng.random_range(0..third)
    };
    let at_once = |count: usize, node: &dyn Fn(usize) -> usize| -> Load {
        (0..count).map(|n| (ms(n as u64 / 10), node(n))).collect()
    };
    let loads = [
        ("2/s, 1.25/s asked at one node", quota(2.0), load(1.25, 60.0, |_, _, _| 0)),
        (
            "2/s, 1.25/s asked at each node in turn",
            quota(2.0),
            load(1.25, 60.0, |n, _, _| n % nodes),
        ),
        ("200/s, 150/s asked, moving every second", quota(200.0), load(150.0, 20.0, moves)),
        ("burst of 100 from rest at one node", quota(100.0), at_once(100, &|_| 0)),
        ("burst of 100 from rest at all nodes", quota(100.0), at_once(100, &|n| n % nodes)),
        ("30/s, twice asked", quota(30.0), load(60.0, 30.0, any(nodes))),
        ("300/s, twice asked", quota(300.0), load(600.0, 30.0, any(nodes))),
        ("2/s, twenty times asked", quota(2.0), load(40.0, 30.0, any(nodes))),
        ("60/s, twenty times asked", quota(60.0), load(1_200.0, 30.0, any(nodes))),
    ];
    for (name, quota, load) in loads {
        let owners = with_owners(nodes, quota, &load);
        let shares = with_shares(nodes, quota, &load);
        println!(
            "{nodes} | {name} | {:.3} | {:.2} | {:.3} | {:.2}",
            owners.refused, owners.of_bound, shares.refused, shares.of_bound
        );
        assert!(owners.of_bound <= 1.0, "{name}: {owners:?}");
        let shares_keep_bound = shares.of_bound <= 1.0;
        assert!(
            !shares_keep_bound || owners.refused <= shares.refused + 0.01,
            "{name}: {owners:?}"
        );
    }
}
