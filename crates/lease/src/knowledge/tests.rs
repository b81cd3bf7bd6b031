use std::time::Duration;

use super::{Knowledge, LastRead, Reads};
use crate::StalenessBound;

const BOUND: Duration = Duration::from_millis(2_000);

/// Returns whether data may be used after `read_count` reads that ended in the same way.
fn is_usable(age_ms: u64, (last_read, read_count): (LastRead, u32), is_behind: bool) -> bool {
    let age = Some(Duration::from_millis(age_ms));
    let mut reads = Reads::default();
    (0..read_count).for_each(|_| reads.record(last_read));
    Knowledge { age, bound: StalenessBound::new(BOUND), reads, is_behind }.is_usable()
}

/// Guards against requests that are handled by data older than the bound while the platform
/// responds, and against refusals while the data is within the bound or the platform is unavailable.
#[yare::parameterized(
    within_the_bound = { 1_999, LastRead::Answered, false, true },
    within_the_bound_and_behind = { 1_999, LastRead::TimedOut, true, true },
    being_read = { 2_000, LastRead::Answered, false, false },
    being_read_for_long = { 60_000, LastRead::Answered, false, false },
    platform_silent = { 2_000, LastRead::TimedOut, false, true },
    slow_node = { 2_000, LastRead::TimedOut, true, false },
    slow_node_for_long = { 60_000, LastRead::TimedOut, true, false },
    platform_rejects_all = { 2_000, LastRead::Rejected, false, true },
    platform_serves_peers = { 2_000, LastRead::Rejected, true, false },
    platform_serves_peers_for_long = { 60_000, LastRead::Rejected, true, false },
    partitioned = { 60_000, LastRead::TimedOut, false, true },
)]
fn old_data_is_used_only_while_there_is_no_better(
    age_ms: u64,
    last_read: LastRead,
    is_behind: bool,
    expected: bool,
) {
    assert_eq!(is_usable(age_ms, (last_read, 2), is_behind), expected);
}

/// Guards against data older than the bound that is used since a single read failed.
#[yare::parameterized(
    rejected = { LastRead::Rejected },
    timed_out = { LastRead::TimedOut },
)]
fn one_failed_read_is_no_evidence_against_the_platform(last_read: LastRead) {
    assert!(is_usable(1_999, (last_read, 1), false));
    assert!(!is_usable(2_000, (last_read, 1), false));
    assert!(is_usable(2_000, (last_read, 2), false));
    let mut reads = Reads::default();
    for ended in [last_read, last_read, LastRead::Answered, last_read] {
        reads.record(ended);
    }
    assert_eq!((reads.evidence(), reads.last()), (LastRead::Answered, last_read));
}

/// Guards against a starting node that refuses what it got from a peer a moment ago.
#[test]
fn data_that_was_never_complete_is_left_to_the_start() {
    let bound = StalenessBound::new(BOUND);
    let knowledge = Knowledge { age: None, bound, reads: Reads::default(), is_behind: true };
    assert!(knowledge.is_usable());
}
