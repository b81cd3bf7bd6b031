//! Tells calls that waited at upstreams from calls that this node itself delayed.

use std::time::Duration;

/// A call is slow if it took more than this many times what its kind takes when nothing waits.
const SLOW_LATENCY_RATIO: f64 = 4.0;

/// Weight of the newest call in the mean of this node's own delay.
const OWN_DELAY_WEIGHT: f64 = 0.05;

/// Latency of a call to which an upstream responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLatency {
    /// Time from admission to the response.
    pub elapsed: Duration,
    /// Part of `elapsed` during which this node was ready to run but had no processor.
    pub own_delay: Duration,
    /// What the call's kind takes when nothing waits; `None` if that is not known.
    pub baseline: Option<Duration>,
}

/// Decides which calls count as [`Outcome::Slow`](crate::Outcome::Slow).
///
/// On a busy machine, calls are late because the node or its neighbours wait for a processor.
/// If such calls counted as slow, the node would refuse calls although its upstreams are idle.
/// So the node's own delay is subtracted from a call, and its mean is added to the baseline: it is
/// an estimate of the delay of other processes that share the machine.
#[derive(Clone, Debug, Default)]
pub struct SlowCallDetector {
    /// Moving average of the own delay of calls.
    mean_own_delay_s: f64,
}

impl SlowCallDetector {
    /// Records the latency of a call and returns true if the call was slow; false if its baseline
    /// is not known.
    pub fn record(&mut self, latency: CallLatency) -> bool {
        let own_delay_s = latency.own_delay.as_secs_f64();
        let excess_s = latency.elapsed.saturating_sub(latency.own_delay).as_secs_f64();
        let is_slow = latency.baseline.is_some_and(|baseline| {
            excess_s > SLOW_LATENCY_RATIO * (baseline.as_secs_f64() + self.mean_own_delay_s)
        });
        self.mean_own_delay_s += OWN_DELAY_WEIGHT * (own_delay_s - self.mean_own_delay_s);
        is_slow
    }
}

#[cfg(test)]
mod tests;
