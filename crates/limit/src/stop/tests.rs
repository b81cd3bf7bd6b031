use std::time::{Duration, Instant};

use super::Stopping;

/// Guards against a request that is cut when a stopping node exits, and against one that is rejected
/// although it ends before.
#[yare::parameterized(
    early_and_short = { 100, 1_000, 0, false },
    early_with_a_long_deadline = { 100, 20_000, 0, false },
    early_and_likely_to_end = { 4_000, 20_000, 2_900, false },
    early_and_unlikely_to_end = { 4_000, 20_000, 3_100, true },
    likely_late_but_bounded_by_its_deadline = { 4_000, 5_900, 5_000, false },
    late_and_short = { 8_000, 1_900, 0, false },
    late_and_too_long = { 8_000, 2_100, 0, true },
    after_the_exit = { 10_100, 100, 0, true },
)]
fn requests_that_would_be_cut_are_rejected(
    after_ms: u64,
    deadline_ms: u64,
    expected_ms: u64,
    is_rejected: bool,
) {
    let ms = Duration::from_millis;
    let requested_at = Instant::now();
    let stopping = Stopping { requested_at, exits_at: requested_at + ms(10_000) };
    let now = requested_at + ms(after_ms);
    assert_eq!(stopping.must_reject(now + ms(deadline_ms), ms(expected_ms), now), is_rejected);
}
