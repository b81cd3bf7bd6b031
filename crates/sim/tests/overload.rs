//! Load of several times the usual: the requests answered in time must not become fewer as more are
//! made.

use sim::{run, Report, Rules, Scenario};

const SEEDS: std::ops::Range<u64> = 100..102;

/// Multiples of the usual request rate.
const RATE_FACTORS: [f64; 5] = [2.0, 2.4, 3.0, 4.0, 6.0];

/// Minimum goodput as a ratio of the best under any load, or of the requests made if these are fewer.
const MIN_GOODPUT_RATIO: f64 = 0.85;

/// Returns how many requests were made in the burst, and how many of them were answered in time.
fn burst(scenario: &Scenario) -> (u32, u32) {
    let mut sum = Report::default();
    SEEDS.for_each(|seed| sum.add(&run(scenario, &Rules::default(), seed)));
    (sum.burst_requests, sum.burst_in_time)
}

/// Guards against goodput that falls as load rises: slots that are as busy as before do work that is
/// late, since callers that have been retrying count as new, dozens of waiting requests take the
/// same free slot, and upstreams are filled beyond what they do best at.
#[yare::parameterized(
    slower_when_nearly_full = { 6, 1.7 },
    never_slower = { 6, 1.0 },
    two_slots = { 2, 1.7 },
    many_slots = { 16, 1.4 },
)]
fn goodput_does_not_fall_as_load_rises(slots: u32, nearly_full_slowdown: f64) {
    let by_load = RATE_FACTORS.map(|rate_factor| {
        burst(&Scenario::patient_callers(rate_factor, slots, nearly_full_slowdown))
    });
    let best = by_load.iter().map(|(_, in_time)| *in_time).max().unwrap_or_default();
    for (made, in_time) in by_load {
        let min = MIN_GOODPUT_RATIO * f64::from(best.min(made));
        assert!(f64::from(in_time) >= min, "{in_time} of {made}: {by_load:?}");
    }
}
