//! Decides which requests a stopping entry node still accepts.
//!
//! The load pattern: callers have the address of a stopping node cached, and keep sending to it. A
//! request that is cut off when the process exits may have run, and its caller cannot tell; if it is
//! rejected at once, another node serves it.

use std::time::{Duration, Instant};

/// Multiple of the expected latency of a request that is allowed for.
const LATENCY_MARGIN: u32 = 2;

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// When the stop was requested.
    pub requested_at: Instant,
    /// When the process exits, even with requests in flight.
    pub exits_at: Instant,
}

impl Stopping {
    /// Returns true if a request that may take until `deadline`, and most likely takes
    /// `expected_latency`, must not be accepted any more. The expected latency is zero if it is not
    /// known.
    ///
    /// In the first half of the grace period, a request whose deadline is beyond the exit is still
    /// accepted if it most likely ends before: most take far less than their deadline.
    pub fn must_reject(&self, deadline: Instant, expected_latency: Duration, now: Instant) -> bool {
        let half = self.requested_at + (self.exits_at - self.requested_at) / 2;
        let likely_end = now + expected_latency * LATENCY_MARGIN;
        deadline > self.exits_at && (now > half || likely_end > self.exits_at)
    }
}

#[cfg(test)]
mod tests;
