//! The request rate limit that one upstream has stated, as this node knows it.

use std::time::{Duration, Instant};

use quarantine::UnixMs;

use crate::share::Bucket;
use crate::{Moment, PerKs};

/// How long a limit stays in force after this node last received it. A limit may keep every node
/// from sending, and then no response can show that it has ended.
pub(crate) const LIMIT_TTL: Duration = Duration::from_secs(30);

/// Interval at which a node that keeps receiving an unchanged limit repeats it to its peers.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum interval between notices of a changing limit.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The effect of an upstream's own statement on its limit.
pub(crate) struct LimitUpdate {
    /// Whether the limit in force has changed.
    pub(crate) is_change: bool,
    /// Whether the limit must be sent to peers now.
    pub(crate) must_announce: bool,
}

/// The limit of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// `None` after the limit has ended. The entry is kept so that older notices of peers are
    /// ignored.
    per_ks: Option<PerKs>,
    stated_unix_ms: UnixMs,
    /// When this node last received the limit.
    received_at: Instant,
    /// When the limit was last sent to peers, or received from one.
    announced_at: Option<Instant>,
    bucket: Bucket,
}

impl Limit {
    pub(crate) fn new(now: Instant) -> Limit {
        Limit {
            per_ks: None,
            stated_unix_ms: 0,
            received_at: now,
            announced_at: None,
            bucket: Bucket::new(now),
        }
    }

    /// Returns the limit in force.
    pub(crate) fn current(&self, now: Instant) -> Option<PerKs> {
        self.per_ks.filter(|_| !self.has_expired(now))
    }

    pub(crate) fn has_expired(&self, now: Instant) -> bool {
        now >= self.received_at + LIMIT_TTL
    }

    pub(crate) fn received_at(&self) -> Instant {
        self.received_at
    }

    pub(crate) fn stated_unix_ms(&self) -> UnixMs {
        self.stated_unix_ms
    }

    /// Applies a statement of the upstream itself.
    pub(crate) fn update(&mut self, per_ks: Option<PerKs>, now: Moment) -> LimitUpdate {
        let is_change = self.current(now.at) != per_ks;
        // The clock that stamped the previous statement, this node's or another's, may have been
        // ahead. The new statement must still count as the later one.
        self.stated_unix_ms = now.unix_ms.max(self.stated_unix_ms.saturating_add(1));
        self.per_ks = per_ks;
        self.received_at = now.at;
        let interval = match is_change {
            true => MIN_CHANGE_INTERVAL,
            false => REPEAT_INTERVAL,
        };
        let is_due = self.announced_at.is_none_or(|at| now.at >= at + interval);
        let must_announce = match per_ks {
            Some(_) => is_due,
            None => is_change,
        };
        if must_announce {
            self.announced_at = Some(now.at);
        }
        LimitUpdate { is_change, must_announce }
    }

    /// Applies a peer's notice; returns whether the limit has changed, or `None` when the notice is
    /// not newer than what this node knows.
    pub(crate) fn apply_notice(
        &mut self,
        per_ks: Option<PerKs>,
        stated_unix_ms: UnixMs,
        now: Instant,
    ) -> Option<bool> {
        if stated_unix_ms <= self.stated_unix_ms {
            return None;
        }
        let is_change = self.current(now) != per_ks;
        self.stated_unix_ms = stated_unix_ms;
        self.per_ks = per_ks;
        self.received_at = now;
        self.announced_at = Some(now);
        Some(is_change)
    }

    /// Sets this node's rate to its share, in requests per second, of the limit for all nodes
    /// together.
    pub(crate) fn update_share(&mut self, share: impl Fn(PerKs) -> Option<f64>, now: Instant) {
        self.bucket.set_rate(self.per_ks.and_then(share), now);
    }

    /// Returns true when a request may be sent now.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.current(now).is_none() || self.bucket.allows(now)
    }

    /// Returns when the next request may be sent; `None` when this node has no share of the limit.
    pub(crate) fn allows_at(&self, now: Instant) -> Option<Instant> {
        self.bucket.allows_at(now)
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Instant) {
        if self.current(now).is_some() {
            self.bucket.take(now);
        }
    }

    /// Returns this node's rate in requests per second.
    pub(crate) fn share_per_s(&self) -> f64 {
        self.bucket.per_s()
    }
}
