//! The limit that one upstream has named, as a node holds it.

use std::time::{Duration, Instant};

use quarantine::UnixMs;

use crate::share::Allowance;
use crate::{Moment, PerKs};

/// A limit stands for this long after it was last heard of: by then nobody sends there who could tell
/// that it has ended.
pub(crate) const STANDS_FOR: Duration = Duration::from_secs(30);

/// How often a node that goes on hearing of a limit tells its peers again.
pub(crate) const TOLD_AGAIN_EVERY: Duration = Duration::from_secs(10);

/// How often it tells them of other figures at most.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// What the upstream's own word makes of what was held.
pub(crate) struct Said {
    /// Whether the limit is another one.
    pub(crate) is_change: bool,
    /// Whether peers are to be told.
    pub(crate) is_told: bool,
}

/// The limit of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// `None` when it has ended: what others said before is no news.
    per_ks: Option<PerKs>,
    said_unix_ms: UnixMs,
    /// When this node last heard of it.
    heard_at: Instant,
    told_at: Option<Instant>,
    allowance: Allowance,
}

impl Limit {
    pub(crate) fn new(now: Instant) -> Limit {
        Limit {
            per_ks: None,
            said_unix_ms: 0,
            heard_at: now,
            told_at: None,
            allowance: Allowance::new(now),
        }
    }

    /// Returns the limit while it stands.
    pub(crate) fn standing(&self, now: Instant) -> Option<PerKs> {
        self.per_ks.filter(|_| !self.has_lapsed(now))
    }

    pub(crate) fn has_lapsed(&self, now: Instant) -> bool {
        now >= self.heard_at + STANDS_FOR
    }

    pub(crate) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    pub(crate) fn said_unix_ms(&self) -> UnixMs {
        self.said_unix_ms
    }

    /// Takes the upstream's own word.
    pub(crate) fn say(&mut self, per_ks: Option<PerKs>, now: Moment) -> Said {
        let is_change = self.standing(now.at) != per_ks;
        // Later than what was said before by a clock that was ahead, another node's or this one's.
        self.said_unix_ms = now.unix_ms.max(self.said_unix_ms.saturating_add(1));
        self.per_ks = per_ks;
        self.heard_at = now.at;
        let every = match is_change {
            true => TOLD_EVERY,
            false => TOLD_AGAIN_EVERY,
        };
        let is_due = self.told_at.is_none_or(|at| now.at >= at + every);
        let is_told = match per_ks {
            Some(_) => is_due,
            None => is_change,
        };
        if is_told {
            self.told_at = Some(now.at);
        }
        Said { is_change, is_told }
    }

    /// Takes a peer's word; returns whether the limit is another one, `None` when that is no news.
    pub(crate) fn hear_peer(
        &mut self,
        per_ks: Option<PerKs>,
        said_unix_ms: UnixMs,
        now: Instant,
    ) -> Option<bool> {
        if said_unix_ms <= self.said_unix_ms {
            return None;
        }
        let is_change = self.standing(now) != per_ks;
        self.said_unix_ms = said_unix_ms;
        self.per_ks = per_ks;
        self.heard_at = now;
        self.told_at = Some(now);
        Some(is_change)
    }

    /// Takes how many requests a second this node may send, by what all nodes may.
    pub(crate) fn deal(&mut self, share: impl Fn(PerKs) -> Option<f64>, now: Instant) {
        self.allowance.set(self.per_ks.and_then(share), now);
    }

    /// Returns true when a request may be sent now.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.standing(now).is_none() || self.allowance.allows(now)
    }

    /// Returns when it allows the next one; `None` when this node owns no part of it.
    pub(crate) fn allows_at(&self, now: Instant) -> Option<Instant> {
        self.allowance.allows_at(now)
    }

    /// Records that a request is sent.
    pub(crate) fn sent(&mut self, now: Instant) {
        if self.standing(now).is_some() {
            self.allowance.take(now);
        }
    }

    /// Returns the requests a second that this node may send.
    pub(crate) fn share_per_s(&self) -> f64 {
        self.allowance.per_s()
    }
}
