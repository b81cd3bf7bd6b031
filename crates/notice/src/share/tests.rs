use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::Start;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Bucket, Fleet};

/// Tolerance of an upstream: in any window of `WINDOW_MS` it accepts up to `OVERSHOOT_RATIO` times
/// its limit plus `SLACK_REQUESTS`.
const WINDOW_MS: u64 = 4_000;
const OVERSHOOT_RATIO: f64 = 1.5;
const SLACK_REQUESTS: f64 = 5.0;

const SIMULATED_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// Longest time that a node takes to detect that another has ended.
const MAX_DETECTION_MS: u64 = 5_000;

const ZONES: usize = 3;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_600))
}

/// Simulates a fleet that has far more requests for one limited upstream than the limit allows.
struct Simulation {
    nodes: usize,
    per_s: f64,
    /// Number of nodes that end halfway; the others detect it one after another within five
    /// seconds.
    dying: usize,
    /// Ratio of the other nodes that a node does not know of.
    unknown_ratio: f64,
}

impl Simulation {
    /// Returns the times in milliseconds at which requests are sent, in order.
    fn run(&self, seed: u64) -> Vec<u64> {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Start::of("u", seed);
        let started_at = Instant::now();
        let at = |ms: u64| started_at + Duration::from_millis(ms);
        let ends_ms = |n: usize| if n < self.dying { SIMULATED_MS / 2 } else { u64::MAX };
        let mut sent = Vec::new();
        for me in 0..self.nodes {
            let mut known: Vec<(usize, u64)> = Vec::new();
            for other in (0..self.nodes).filter(|n| *n != me) {
                if !rng.random_bool(self.unknown_ratio) {
                    known.push((
                        other,
                        ends_ms(other).saturating_add(rng.random_range(0..MAX_DETECTION_MS)),
                    ));
                }
            }
            let zone = |n: usize| if n.is_multiple_of(ZONES) { "near" } else { "far" };
            let share = |ms: u64| {
                let alive = known.iter().filter(|(_, until_ms)| ms < *until_ms);
                let fleet = Fleet {
                    me: (addr(me), zone(me)),
                    others: alive.map(|(n, _)| (addr(*n), zone(*n))).collect(),
                    zones: [(start, "near")].into(),
                };
                fleet.share(start, (self.per_s * 1e3) as u64)
            };
            let mut bucket = Bucket::new(started_at);
            for ms in (0..ends_ms(me).min(SIMULATED_MS)).step_by(STEP_MS as usize) {
                let changes = ms == 0
                    || (SIMULATED_MS / 2..=SIMULATED_MS / 2 + MAX_DETECTION_MS).contains(&ms);
                if changes && ms % 500 == 0 {
                    bucket.set_rate(share(ms), at(ms));
                }
                // Each node alone has ten times as many requests as the whole fleet may send.
                let wants = rng.random_bool((self.per_s * 10.0 * STEP_MS as f64 / 1e3).min(1.0));
                if wants && bucket.allows(at(ms)) {
                    bucket.take(at(ms));
                    sent.push(ms);
                }
            }
        }
        sent.sort_unstable();
        sent
    }
}

/// Returns the maximum number of requests within a window; `sent` must be sorted.
fn max_in_window(sent: &[u64]) -> usize {
    let ends = |from: &u64| sent.partition_point(|at| *at < from + WINDOW_MS);
    sent.iter().enumerate().map(|(index, from)| ends(from) - index).max().unwrap_or(0)
}

/// Guards against nodes that together exceed what an upstream tolerates, and against keeping to a
/// limit by sending almost nothing.
#[yare::parameterized(
    sixteen_nodes_at_less_than_one = { 16, 0.3, 0, 0.0 },
    sixteen_nodes_at_one = { 16, 1.0, 0, 0.0 },
    sixteen_nodes_at_twenty = { 16, 20.0, 0, 0.0 },
    sixteen_nodes_at_three_hundred = { 16, 300.0, 0, 0.0 },
    a_hundred_nodes_at_one = { 105, 1.0, 0, 0.0 },
    three_hundred_nodes_at_less_than_one = { 312, 0.3, 0, 0.0 },
    three_hundred_nodes_at_one = { 312, 1.0, 0, 0.0 },
    three_hundred_nodes_at_twenty = { 312, 20.0, 0, 0.0 },
    a_half_of_them_ends = { 312, 1.0, 156, 0.0 },
    a_half_of_sixteen_ends = { 16, 1.1, 8, 0.0 },
    views_that_differ = { 105, 1.0, 0, 0.05 },
    views_that_differ_at_twenty = { 105, 20.0, 0, 0.05 },
)]
fn all_nodes_together_keep_to_a_limit(nodes: usize, per_s: f64, dying: usize, unknown_ratio: f64) {
    let simulation = Simulation { nodes, per_s, dying, unknown_ratio };
    for seed in 0..5 {
        let sent = simulation.run(seed);
        let peak = max_in_window(&sent);
        let bound = OVERSHOOT_RATIO * per_s * WINDOW_MS as f64 / 1e3 + SLACK_REQUESTS;
        assert!(peak as f64 <= bound, "seed {seed}: {peak} of {bound}");
        let used = sent.len() as f64 / (per_s * SIMULATED_MS as f64 / 1e3);
        assert!(used >= 0.5, "seed {seed}: {used} of the limit is used");
    }
}
