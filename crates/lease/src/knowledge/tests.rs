use std::time::Duration;

use super::Knowledge;
use crate::StalenessBound;

const BOUND: Duration = Duration::from_millis(2_000);

fn is_usable(age_ms: u64, read_failed: bool, is_behind: bool) -> bool {
    let age = Some(Duration::from_millis(age_ms));
    Knowledge { age, bound: StalenessBound::new(BOUND), read_failed, is_behind }.is_usable()
}

/// Guards against requests that are handled by data older than the bound while the platform
/// responds, and against refusals while the data is within the bound or the platform is unavailable.
#[yare::parameterized(
    within_the_bound = { 1_999, false, false, true },
    within_the_bound_and_behind = { 1_999, false, true, true },
    being_read = { 2_000, false, false, false },
    being_read_for_long = { 60_000, false, false, false },
    platform_unavailable = { 2_000, true, false, true },
    platform_unavailable_to_this_node = { 2_000, true, true, false },
    partitioned = { 4_000, true, true, true },
)]
fn old_data_is_used_only_while_there_is_no_better(
    age_ms: u64,
    read_failed: bool,
    is_behind: bool,
    expected: bool,
) {
    assert_eq!(is_usable(age_ms, read_failed, is_behind), expected);
}

/// Guards against a starting node that refuses what it got from a peer a moment ago.
#[test]
fn data_that_was_never_complete_is_left_to_the_start() {
    let bound = StalenessBound::new(BOUND);
    let knowledge = Knowledge { age: None, bound, read_failed: false, is_behind: true };
    assert!(knowledge.is_usable());
}
