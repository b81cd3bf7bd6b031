use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Crowding;

/// Returns what is learned of upstreams with `slots` slots at which work takes `slowdown(running)`
/// times as long, from responses that vary by half.
fn learned(slots: u32, slowdown: impl Fn(u32) -> f64, seed: u64) -> Crowding {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut crowding = Crowding::default();
    for _ in 0..600 {
        let running = rng.random_range(1..=slots);
        let work = rng.random_range(0.5..1.5);
        let utilization = f64::from(running) / f64::from(slots);
        crowding.record(utilization, work * slowdown(running));
    }
    crowding
}

/// Guards against a burst in which full upstreams do less work than before it, and against leaving
/// slots free where another request costs the others less than it gains.
#[yare::parameterized(
    six_slots_slow_near_full = { 6, |running| if running > 4 { 1.8 } else { 1.0 }, 4..=4 },
    two_slots_that_help = { 2, |running| if running > 1 { 1.5 } else { 1.0 }, 2..=2 },
    two_slots_that_do_not = { 2, |running| if running > 1 { 2.6 } else { 1.0 }, 1..=1 },
    never_slow = { 16, |_| 1.0, 14..=16 },
    slow_only_when_full = { 8, |running| if running == 8 { 2.0 } else { 1.0 }, 6..=7 },
    slow_from_half = { 8, |running| if running > 4 { 2.5 } else { 1.0 }, 4..=4 },
)]
fn an_upstream_gets_as_much_as_it_does_best_at(
    slots: u32,
    slowdown: fn(u32) -> f64,
    expected: std::ops::RangeInclusive<u32>,
) {
    for seed in 0..20 {
        let crowding = learned(slots, slowdown, seed);
        let concurrency = crowding.best_concurrency(slots);
        assert!(expected.contains(&concurrency), "seed {seed}: {concurrency} {crowding:?}");
        let of_full = crowding.slowdown(1.0);
        assert!((of_full / slowdown(slots) - 1.0).abs() < 0.25, "seed {seed}: {of_full}");
    }
}

/// Guards against slots left free on a guess: a node that has just started, or whose upstreams
/// report no load, has not seen what they do when they are full.
#[test]
fn all_slots_are_used_until_more_is_known() {
    let mut crowding = Crowding::default();
    assert_eq!(crowding.best_concurrency(6), 6);
    (0..1_000).for_each(|_| crowding.record(0.3, 1.0));
    assert_eq!(crowding.best_concurrency(6), 6);
    assert_eq!(crowding.slowdown(0.5), 1.0);
    assert_eq!(crowding.slowdown(1.0), 1.5);
}

/// Guards against slots that stay free for good after a disruption in which full upstreams were
/// slow for other reasons.
#[test]
fn a_slowdown_that_has_ended_is_forgotten() {
    let mut crowding = learned(6, |running| if running > 4 { 4.0 } else { 1.0 }, 1);
    assert_eq!(crowding.best_concurrency(6), 4);
    (0..500).for_each(|_| crowding.record(1.0, 1.0));
    assert_eq!(crowding.best_concurrency(6), 6);
}
