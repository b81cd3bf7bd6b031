use std::time::{Duration, Instant};

use super::{StartupWait, CHECK_INTERVAL};

const MAX_WAIT: Duration = Duration::from_millis(125);

/// When the configuration arrives, and is read in the next turn of the event loop.
const ARRIVAL: Duration = Duration::from_millis(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs the checks of a request in an event loop that stalls once. In each turn the check comes before
/// the configuration is read, if it has arrived. Returns when the request is refused, if it is.
fn refused_after(arrival: Duration, stall_from: Duration, stall: Duration) -> Option<Duration> {
    let received_at = Instant::now();
    let mut wait = StartupWait::new(received_at, MAX_WAIT);
    let mut now = Duration::ZERO;
    let mut is_read = false;
    while !is_read {
        if !wait.continues(received_at + now) {
            return Some(now);
        }
        is_read = now >= arrival;
        let next = now + CHECK_INTERVAL;
        now = match now <= stall_from && stall_from < next {
            true => next.max(stall_from + stall),
            false => next,
        };
    }
    None
}

/// Guards against refusing a request whose configuration has arrived in a stall in which its wait
/// ended: a stall at each moment, of each length.
#[test]
fn no_stall_hides_a_configuration_that_has_arrived() {
    for stall_from_ms in 0..125 {
        for stall_ms in [0, 20, 60, 90, 120, 150, 180] {
            let refused_after = refused_after(ARRIVAL, ms(stall_from_ms), ms(stall_ms));
            let is_too_long = ms(stall_from_ms + stall_ms) >= 2 * MAX_WAIT;
            assert!(
                refused_after.is_none() || is_too_long,
                "stall of {stall_ms} ms from {stall_from_ms} ms: refused after {refused_after:?}"
            );
        }
    }
}

/// Guards against the same refusal if the stall comes between the receipt of a request and its first
/// check.
#[test]
fn a_stall_before_the_first_check_counts() {
    let received_at = Instant::now();
    let mut wait = StartupWait::new(received_at, MAX_WAIT);
    assert!(wait.continues(received_at + MAX_WAIT + ms(10)));
    assert!(!wait.continues(received_at + MAX_WAIT + ms(10) + CHECK_INTERVAL));
}

/// Guards against callers that wait in vain at a node that does not get its configuration.
#[test]
fn a_node_without_configuration_refuses_at_the_end_of_the_wait() {
    let never = Duration::from_secs(3_600);
    assert_eq!(refused_after(never, never, Duration::ZERO), Some(MAX_WAIT));
    // One stall adds one check.
    let refused_after = refused_after(never, ms(100), ms(70));
    assert_eq!(refused_after, Some(ms(170) + CHECK_INTERVAL));
}

/// Guards against a wait without end on a machine that stalls all the time.
#[test]
fn stalls_extend_the_wait_to_twice_its_length_at_most() {
    let received_at = Instant::now();
    let mut wait = StartupWait::new(received_at, MAX_WAIT);
    let mut now = Duration::ZERO;
    while wait.continues(received_at + now) {
        now += ms(40);
    }
    assert!(now < 2 * MAX_WAIT + ms(40), "{now:?}");
}
