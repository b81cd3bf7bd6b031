//! What a node reaches, judged by the outcomes of its sends and probes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Upstreams that must have failed in sequence before the node counts as partitioned from all of
/// them, or all upstreams if fewer are listed. One or two may have crashed.
pub const MIN_FAILED_UPSTREAMS: usize = 3;

/// Failures in sequence before the node counts as partitioned, however few upstreams are listed.
const MIN_FAILURES: u32 = 3;

/// Interval at which a node that is partitioned checks whether it still is.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a node reaches of its upstreams.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    /// Upstreams that failed to respond since one last did.
    failed: BTreeSet<SocketAddr>,
    /// Number of their failures.
    failures: u32,
    /// Upstreams that accepted no connection since one last did.
    unconnected: BTreeSet<SocketAddr>,
    responded_at: Option<Instant>,
    unreachable_since: Option<Instant>,
    unconnectable_since: Option<Instant>,
    checked_at: Option<Instant>,
}

/// A change of what a node reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No upstream responds any more. Holds the time since the last response, if there was one.
    Lost(Option<Duration>),
    /// An upstream responds again. Holds the time since the loss.
    Regained(Duration),
}

impl Paths {
    /// Returns true while no upstream responds.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns true while upstreams accept no new connections. Open ones may still work.
    pub fn is_unconnectable(&self) -> bool {
        self.unconnectable_since.is_some()
    }

    /// Returns the time since the node lost its last path; `None` while it has one.
    pub fn unreachable_for(&self, now: Instant) -> Option<Duration> {
        self.unreachable_since.map(|since| now.saturating_duration_since(since))
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self) {
        self.unconnected.clear();
        self.unconnectable_since = None;
    }

    /// Records that an upstream responded, with whatever status.
    pub fn record_response(&mut self, now: Instant) -> Option<Change> {
        self.failed.clear();
        self.failures = 0;
        self.responded_at = Some(now);
        let since = self.unreachable_since.take()?;
        Some(Change::Regained(now.saturating_duration_since(since)))
    }

    /// Records that an upstream accepted no connection; `listed` is the number of all upstreams.
    pub fn record_connect_failure(
        &mut self,
        upstream: SocketAddr,
        listed: usize,
        now: Instant,
    ) -> Option<Change> {
        self.unconnected.insert(upstream);
        if self.unconnected.len() >= threshold(listed) {
            self.unconnectable_since.get_or_insert(now);
        }
        self.record_failure(upstream, listed, now)
    }

    /// Records that an upstream did not respond to a request or a probe, or ended the connection
    /// first; `listed` is the number of all upstreams.
    pub fn record_failure(
        &mut self,
        upstream: SocketAddr,
        listed: usize,
        now: Instant,
    ) -> Option<Change> {
        self.failed.insert(upstream);
        self.failures = self.failures.saturating_add(1);
        let has_failed = self.failed.len() >= threshold(listed) && self.failures >= MIN_FAILURES;
        if self.is_unreachable() || !has_failed {
            return None;
        }
        self.unreachable_since = Some(now);
        let silent_for = self.responded_at.map(|at| now.saturating_duration_since(at));
        Some(Change::Lost(silent_for))
    }

    /// Returns true if any upstream has responded since `at`.
    pub fn has_responded_since(&self, at: Instant) -> bool {
        self.responded_at.is_some_and(|responded_at| responded_at >= at)
    }

    /// Returns true if the paths are to be checked now because a send is overdue and no upstream has
    /// responded since it began.
    pub fn take_overdue_check(&mut self, now: Instant) -> bool {
        let is_due = !self.is_unreachable() && self.may_check(now);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    /// Returns true if an upstream is to be checked over a new connection now, to find out whether
    /// a partition has ended. To be called a few times per check interval.
    pub fn take_due_check(&mut self, now: Instant) -> bool {
        let is_due = (self.is_unreachable() || self.is_unconnectable()) && self.may_check(now);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    fn may_check(&self, now: Instant) -> bool {
        self.checked_at.is_none_or(|at| now.saturating_duration_since(at) >= CHECK_INTERVAL)
    }
}

fn threshold(listed: usize) -> usize {
    MIN_FAILED_UPSTREAMS.min(listed).max(1)
}

#[cfg(test)]
mod tests;
