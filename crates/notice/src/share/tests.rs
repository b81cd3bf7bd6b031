use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::Start;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Allowance, Fleet};

/// What an upstream bears beyond its limit, in a window.
const WINDOW_MS: u64 = 4_000;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

const PLAYED_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// Time within which nodes notice that another has ended.
const NOTICED_MS: u64 = 5_000;

const ZONES: usize = 3;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_600))
}

/// What a fleet sends one limited upstream while it would send it much more.
struct Played {
    nodes: usize,
    per_s: f64,
    /// Nodes that end at half time, which the others notice one after the other within five seconds.
    dying: usize,
    /// Share of the others that a node does not know of.
    unknown: f64,
}

impl Played {
    /// Returns when requests are sent, in milliseconds.
    fn play(&self, seed: u64) -> Vec<u64> {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Start::of("u", seed);
        let begun = Instant::now();
        let at = |ms: u64| begun + Duration::from_millis(ms);
        let ends_ms = |n: usize| if n < self.dying { PLAYED_MS / 2 } else { u64::MAX };
        let mut sent = Vec::new();
        for me in 0..self.nodes {
            let mut known: Vec<(usize, u64)> = Vec::new();
            for other in (0..self.nodes).filter(|n| *n != me) {
                if !rng.random_bool(self.unknown) {
                    known.push((
                        other,
                        ends_ms(other).saturating_add(rng.random_range(0..NOTICED_MS)),
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
            let mut allowance = Allowance::new(begun);
            for ms in (0..ends_ms(me).min(PLAYED_MS)).step_by(STEP_MS as usize) {
                let changes = ms == 0 || (PLAYED_MS / 2..=PLAYED_MS / 2 + NOTICED_MS).contains(&ms);
                if changes && ms % 500 == 0 {
                    allowance.set(share(ms), at(ms));
                }
                // Each node has a request for it ten times as often as the whole fleet may send.
                let wants = rng.random_bool((self.per_s * 10.0 * STEP_MS as f64 / 1e3).min(1.0));
                if wants && allowance.allows(at(ms)) {
                    allowance.take(at(ms));
                    sent.push(ms);
                }
            }
        }
        sent.sort_unstable();
        sent
    }
}

/// Returns the most sends within a window; `sent` is in order.
fn most_in_a_window(sent: &[u64]) -> usize {
    let ends = |from: &u64| sent.partition_point(|at| *at < from + WINDOW_MS);
    sent.iter().enumerate().map(|(index, from)| ends(from) - index).max().unwrap_or(0)
}

/// Guards against a sum over all nodes beyond what an upstream bears, and against a limit that is kept
/// by sending nothing.
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
fn all_nodes_together_keep_to_a_limit(nodes: usize, per_s: f64, dying: usize, unknown: f64) {
    let fleet = Played { nodes, per_s, dying, unknown };
    for seed in 0..5 {
        let sent = fleet.play(seed);
        let most = most_in_a_window(&sent);
        let bound = OVERSHOOT * per_s * WINDOW_MS as f64 / 1e3 + SLACK;
        assert!(most as f64 <= bound, "seed {seed}: {most} of {bound}");
        let used = sent.len() as f64 / (per_s * PLAYED_MS as f64 / 1e3);
        assert!(used >= 0.5, "seed {seed}: {used} of the limit is used");
    }
}
