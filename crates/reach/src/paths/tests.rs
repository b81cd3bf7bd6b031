use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Change, Paths};

const LISTED: usize = 30;

fn upstream(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn partitioned(start: Instant) -> Paths {
    let mut paths = Paths::default();
    for n in 0..3 {
        paths.record_connect_failure(upstream(n), LISTED, start);
    }
    assert!(paths.is_unreachable() && paths.is_unconnectable());
    paths
}

/// Guards against a partition that is never noticed: each failure alone looks like a crash.
#[test]
fn three_upstreams_that_fail_in_sequence_mean_a_partition() {
    let start = Instant::now();
    let mut paths = Paths::default();
    assert_eq!(paths.record_response(start), None);
    assert_eq!(paths.record_failure(upstream(1), LISTED, after(start, 10)), None);
    assert_eq!(paths.record_failure(upstream(2), LISTED, after(start, 20)), None);
    let lost = Change::Lost(Some(Duration::from_millis(30)));
    assert_eq!(paths.record_failure(upstream(3), LISTED, after(start, 30)), Some(lost));
    assert_eq!(paths.record_failure(upstream(4), LISTED, after(start, 40)), None, "once");
    let regained = Change::Regained(Duration::from_millis(70));
    assert_eq!(paths.record_response(after(start, 100)), Some(regained));
    assert!(!paths.is_unreachable());
}

/// Guards against a node that gives up its upstreams because one of them crashed.
#[test]
fn one_upstream_that_fails_often_is_no_partition() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for ms in 0..100 {
        assert_eq!(paths.record_connect_failure(upstream(1), LISTED, after(start, ms)), None);
    }
    assert!(!paths.is_unreachable() && !paths.is_unconnectable());
}

/// Guards against a node that gives up its upstreams in a rollout, while others respond.
#[test]
fn upstreams_that_fail_between_responses_are_no_partition() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for n in 0..20 {
        let now = after(start, u64::from(n) * 10);
        assert_eq!(paths.record_failure(upstream(n), LISTED, now), None);
        if n % 2 == 1 {
            paths.record_response(now);
        }
    }
    assert!(!paths.is_unreachable());
}

/// Guards against a partition that is not noticed where fewer upstreams are listed than the
/// threshold, and against one that a single failure of the only upstream declares.
#[test]
fn three_failures_of_the_only_upstream_are_enough() {
    let now = Instant::now();
    let mut paths = Paths::default();
    assert_eq!(paths.record_failure(upstream(1), 1, now), None);
    assert_eq!(paths.record_failure(upstream(1), 1, now), None);
    assert_eq!(paths.record_failure(upstream(1), 1, now), Some(Change::Lost(None)));
}

/// Guards against a node that opens one connection after the other in vain, while its open ones
/// still work.
#[test]
fn responses_on_open_connections_do_not_show_that_new_ones_are_accepted() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for n in 0..3 {
        paths.record_connect_failure(upstream(n), LISTED, start);
        paths.record_response(start);
    }
    assert!(paths.is_unconnectable() && !paths.is_unreachable());
    paths.record_connected();
    assert!(!paths.is_unconnectable());
}

/// Guards against a node that stays partitioned because it does not check, or floods upstreams with
/// checks.
#[test]
fn a_partitioned_node_checks_at_an_interval() {
    let start = Instant::now();
    let mut paths = partitioned(start);
    let due = (0..100).filter(|n| paths.take_due_check(after(start, n * 10))).count();
    assert_eq!(due, 4, "one second");
    paths.record_response(after(start, 1_000));
    paths.record_connected();
    assert!(!paths.take_due_check(after(start, 2_000)));
}

/// Guards against a partition that is not noticed while connections stay open and nothing arrives,
/// and against a check for each of many overdue sends.
#[test]
fn an_overdue_send_without_any_response_since_leads_to_checks() {
    let start = Instant::now();
    let mut paths = Paths::default();
    paths.record_response(start);
    assert!(!paths.has_responded_since(after(start, 100)));
    assert!(paths.take_overdue_check(after(start, 500)));
    assert!(!paths.take_overdue_check(after(start, 510)), "checked just now");
    paths.record_response(after(start, 600));
    assert!(paths.has_responded_since(after(start, 100)));
}
