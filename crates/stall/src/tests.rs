use std::time::{Duration, Instant};

use super::{Detector, Schedstat, Stall, ThreadTimes, MIN_STALL};

const INTERVAL: Duration = Duration::from_millis(20);

fn times(on_cpu_ms: u64, run_delay_ms: u64) -> ThreadTimes {
    ThreadTimes {
        on_cpu: Duration::from_millis(on_cpu_ms),
        run_delay: Duration::from_millis(run_delay_ms),
    }
}

/// Guards against a detector that compares with the start, and so reports a stall again and again.
#[test]
fn a_stall_is_reported_once_with_the_times_spent_in_it() {
    let mut detector = Detector::default();
    let start = Instant::now();
    assert_eq!(detector.record_run(INTERVAL, start, times(5, 7)), None);
    let late = start + INTERVAL + MIN_STALL;
    let stall = Stall { late: MIN_STALL, spent: times(1, 90) };
    assert_eq!(detector.record_run(INTERVAL, late, times(6, 97)), Some(stall));
    assert_eq!(detector.record_run(INTERVAL, late + INTERVAL, times(6, 97)), None);
}

#[test]
fn a_short_delay_is_no_stall() {
    let mut detector = Detector::default();
    let start = Instant::now();
    detector.record_run(INTERVAL, start, times(0, 0));
    let late = start + INTERVAL + MIN_STALL - Duration::from_millis(1);
    assert_eq!(detector.record_run(INTERVAL, late, times(0, 99)), None);
}

#[test]
fn the_times_of_this_thread_grow_while_it_computes() {
    let schedstat = Schedstat::of_this_thread().expect("the operating system has statistics");
    let before = schedstat.read().expect("times");
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(20) {}
    let spent = schedstat.read().expect("times").since(before);
    assert!(spent.on_cpu + spent.run_delay >= Duration::from_millis(10), "{spent:?}");
}
