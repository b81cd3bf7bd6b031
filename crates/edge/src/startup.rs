//! Decides for how long a request waits for data that its node reads: of a node that has just
//! started, or in place of outdated data.
//!
//! The load pattern: after a power loss all processes of a machine start at once, and each is often
//! without a processor for a tenth of a second. The configuration arrives in such a stall, and the
//! wait of a request ends in the same one. The node must read what has arrived before it refuses the
//! request, which its caller could repeat only a few times.

use std::time::{Duration, Instant};

/// Interval at which a waiting request checks whether the node has started.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A check that comes later than this after the last one follows a stall of the event loop.
const MAX_CHECK_GAP: Duration = CHECK_INTERVAL.saturating_mul(2);

/// The wait of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartupWait {
    /// When the wait ends in an event loop that does not stall.
    until: Instant,
    /// When it ends in any case.
    at_latest: Instant,
    /// When the last check was made or, before the first one, the request was received.
    last_check: Instant,
}

impl StartupWait {
    /// Creates the wait of a request that was received at `received_at`: `max_wait`, and as much
    /// again after stalls of the event loop.
    pub(crate) fn new(received_at: Instant, max_wait: Duration) -> StartupWait {
        let until = received_at + max_wait;
        StartupWait { until, at_latest: until + max_wait, last_check: received_at }
    }

    /// Records a check at `now` that found the node without its configuration or upstreams. Returns
    /// true while the request waits for the next check.
    pub(crate) fn continues(&mut self, now: Instant) -> bool {
        let last_check = std::mem::replace(&mut self.last_check, now);
        let has_stalled = now > last_check + MAX_CHECK_GAP;
        now < self.until || (has_stalled && now < self.at_latest)
    }
}

#[cfg(test)]
mod tests;
