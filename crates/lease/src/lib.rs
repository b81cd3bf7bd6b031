//! Leases on data read from the platform, directly or through a peer.
//!
//! A change that the platform accepted must be in force on all nodes within a [`StalenessBound`]. A
//! node cannot detect that it missed a change: a long poll may go silent without an error, and a
//! peer may be alive and yet read nothing. What a node does know is the last time at which it had
//! read everything. A [`Lease`] keeps that time and expires early enough for the node to read the
//! platform itself within the bound. A node that reads through a peer gets the age of the peer's
//! lease with each response and counts it from the time of its request, so that a slow response
//! never makes the data look newer than it is.
//!
//! Of hundreds of nodes, a few long-poll the platform and relay the changes to the rest.

mod agreement;
mod knowledge;

use std::time::{Duration, Instant};

pub use self::agreement::{Agreement, ConfigInForce, Position};
pub use self::knowledge::{Knowledge, LastRead, Reads};

/// Shortest bound that can be met. Below it, nodes would query the platform and each other all the
/// time.
const MIN_BOUND: Duration = Duration::from_secs(1);

/// Maximum duration of a long poll. It is this long because an empty response costs as much as any
/// other.
const MAX_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// Shares of a bound, in percent.
const LONG_POLL_TIMEOUT_PERCENT: u32 = 40;
const MAX_AGE_AFTER_POLL_PERCENT: u32 = 60;
const LONG_POLL_GRACE_PERCENT: u32 = 20;
const PEER_QUERY_INTERVAL_PERCENT: u32 = 12;
const LEASE_TTL_PERCENT: u32 = 80;

/// Time within which a change that the platform accepted must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBound(Duration);

impl StalenessBound {
    /// Creates a bound; one shorter than a second is raised to a second.
    pub fn new(within: Duration) -> StalenessBound {
        StalenessBound(within.max(MIN_BOUND))
    }

    /// Returns the bound itself.
    pub fn duration(self) -> Duration {
        self.0
    }

    /// Returns the maximum duration of one long poll of the platform.
    pub fn long_poll_timeout(self) -> Duration {
        self.percent(LONG_POLL_TIMEOUT_PERCENT).min(MAX_LONG_POLL_TIMEOUT)
    }

    /// Returns the age that data may have at the end of a long poll. A response with changes renews
    /// the lease less than an empty one, so that the next poll begins with older data.
    pub fn max_age_after_poll(self) -> Duration {
        self.percent(MAX_AGE_AFTER_POLL_PERCENT)
    }

    /// Returns how long after the end of a long poll its response may arrive before the poll is
    /// given up.
    pub fn long_poll_grace(self) -> Duration {
        self.percent(LONG_POLL_GRACE_PERCENT)
    }

    /// Returns the interval at which a node that reads through a peer asks it for the age of its
    /// lease.
    pub fn peer_query_interval(self) -> Duration {
        self.percent(PEER_QUERY_INTERVAL_PERCENT)
    }

    /// Returns the age at which data is no longer relied on. The rest of the bound is left for
    /// reading the platform.
    pub fn lease_ttl(self) -> Duration {
        self.percent(LEASE_TTL_PERCENT)
    }

    fn percent(self, percent: u32) -> Duration {
        self.0 * percent / 100
    }
}

/// A long poll of the platform for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPoll {
    requested_at: Instant,
    timeout: Duration,
}

impl LongPoll {
    /// Creates a long poll that is sent at `now` for changes of data with this lease.
    ///
    /// The older the data already is, the shorter the poll: a response with changes does not tell
    /// what changed after it was sent.
    pub fn new(bound: StalenessBound, lease: Lease, now: Instant) -> LongPoll {
        let age = lease.age(now).unwrap_or_default();
        let left = bound.max_age_after_poll().saturating_sub(age);
        LongPoll { requested_at: now, timeout: bound.long_poll_timeout().min(left) }
    }

    /// Returns how long the platform waits for changes.
    pub fn timeout(self) -> Duration {
        self.timeout
    }

    /// Returns the time up to which a node knows everything after the response arrived at `now`.
    ///
    /// An empty response says that nothing had changed by the end of the poll. Any other response
    /// may have been sent at any time since the request, and in transit since: a node that stalls
    /// finds it in its socket only later.
    pub fn as_of(self, now: Instant, is_empty: bool) -> Instant {
        let ends_at = self.requested_at + self.timeout;
        match is_empty && now >= ends_at {
            true => ends_at,
            false => self.requested_at,
        }
    }
}

/// Time up to which a node knows everything that the platform accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    as_of: Option<Instant>,
}

impl Lease {
    /// Records that everything up to `as_of` is known. A time before the recorded one has no
    /// effect.
    pub fn renew(&mut self, as_of: Instant) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Returns how long ago everything was known, or `None` before the first renewal.
    pub fn age(self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.as_of?))
    }

    /// Returns true while the data may be relied on.
    pub fn is_valid(self, bound: StalenessBound, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound.lease_ttl())
    }
}

#[cfg(test)]
mod tests;
