use std::time::{Duration, Instant};

use super::Isolation;

/// Interval at which a node checks whether a lookup is due.
const INTERVAL: Duration = Duration::from_millis(250);

/// Returns the seconds at which lookups are due within `duration`, where the node is isolated at these
/// times.
fn lookups_s(duration: Duration, is_isolated: impl Fn(Duration) -> bool) -> Vec<f64> {
    let (mut isolation, start) = (Isolation::default(), Instant::now());
    let times = (0..).map(|n| INTERVAL * n).take_while(|time| *time <= duration);
    let is_due = |time: &Duration| isolation.take_due_lookup(is_isolated(*time), start + *time);
    times.filter(is_due).map(|time| time.as_secs_f64()).collect()
}

/// Guards against hundreds of isolated nodes that call the platform all the time, and against nodes
/// that call it although their seeds respond.
#[test]
fn lookups_are_due_while_a_node_is_isolated_at_growing_intervals() {
    assert_eq!(
        lookups_s(Duration::from_secs(40), |_| true),
        [2.0, 3.0, 5.0, 9.0, 17.0, 25.0, 33.0]
    );
    assert!(lookups_s(Duration::from_secs(40), |_| false).is_empty());
    assert!(lookups_s(Duration::from_secs(40), |at| at < Duration::from_secs(2)).is_empty());
    let twice = lookups_s(Duration::from_secs(6), |at| at != Duration::from_millis(2_500));
    assert_eq!(twice, [2.0, 4.75, 5.75], "a second isolation begins anew");
}
