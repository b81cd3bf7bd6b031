use std::time::{Duration, Instant};

use super::Rate;

#[yare::parameterized(rare = { 0.5 }, usual = { 8.0 }, often = { 400.0 })]
fn a_steady_rate_is_estimated_within_a_tenth(per_s: f64) {
    let start = Instant::now();
    let mut rate = Rate::default();
    let at = |n: u32| start + Duration::from_secs_f64(f64::from(n) / per_s);
    let count = (per_s * 30.0) as u32;
    (0..=count).for_each(|n| rate.count(at(n)));
    let halfway = at(count) + Duration::from_secs_f64(0.5 / per_s);
    let estimate = rate.per_s(halfway);
    assert!((0.9 * per_s..1.1 * per_s).contains(&estimate), "{estimate} for {per_s}");
}

#[test]
fn old_events_decay() {
    let now = Instant::now();
    let mut rate = Rate::default();
    (0..1_000).for_each(|_| rate.count(now));
    assert!(rate.per_s(now + Duration::from_secs(60)) < 0.01);
    assert_eq!(Rate::default().per_s(now), 0.0);
}
