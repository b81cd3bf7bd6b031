//! Decides how long a response is waited for that is arriving.
//!
//! The load pattern: hundreds of callers ask for a large response over links that are slow, or that
//! carry other traffic too. A timeout for the whole response gives it up while it arrives. The caller
//! then begins again from nothing, which loads the links further, and takes a slow link for a server
//! that does not respond.

use std::time::Duration;

/// Interval at which the arrival of a response is checked.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum number of bytes that arrive in an interval: 64 kbit/s. With less the response is given up.
const MIN_BYTES_PER_INTERVAL: u64 = 4_096;

/// Maximum time for a whole response, from the request on.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(10);

/// The arrival of one response.
#[derive(Debug, Default)]
pub(crate) struct Arrival {
    /// Bytes received at the last check.
    received: u64,
    has_begun: bool,
}

impl Arrival {
    /// Returns true if the response is still waited for, `elapsed` after the request was sent and
    /// after `received` bytes. The first check is due when the response must have begun, each
    /// further one an interval later.
    pub(crate) fn continues(&mut self, received: u64, elapsed: Duration) -> bool {
        let min_bytes = if self.has_begun { MIN_BYTES_PER_INTERVAL } else { 1 };
        let arrived = received.saturating_sub(self.received);
        (self.received, self.has_begun) = (received, true);
        arrived >= min_bytes && elapsed < MAX_RESPONSE_TIME
    }
}

#[cfg(test)]
mod tests;
