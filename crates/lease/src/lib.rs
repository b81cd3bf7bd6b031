//! For how long a node relies on what it, or a peer, has read of the platform.
//!
//! A change that the platform took must be in force everywhere within a [`Bound`]. A node cannot tell
//! that it has missed one: a wait for changes may go silent without an error, and a peer that lives may
//! read nothing. What it can tell is as of when it last knew everything; a [`Lease`] keeps that, and
//! ends early enough for the node to read the platform itself within the bound. A node that reads
//! through a peer gets the age of the peer's lease with each answer, counted from when it asked: how
//! long that answer was on its way cannot make it look newer.
//!
//! The load pattern: few nodes of hundreds wait at the platform, and the rest hear of changes from them.

use std::time::{Duration, Instant};

/// Shortest bound that is kept to: below it, nodes would ask the platform and each other all the time.
const BOUND_LEAST: Duration = Duration::from_secs(1);

/// Longest wait for changes: an answer that holds nothing is paid for like any other.
const WAIT_MOST: Duration = Duration::from_secs(25);

/// Parts of a bound, in percent.
const WAIT_PERCENT: u32 = 40;
const PATIENCE_PERCENT: u32 = 20;
const ASK_PERCENT: u32 = 12;
const RELIED_ON_PERCENT: u32 = 80;

/// Time within which a change that the platform took must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(Duration);

impl Bound {
    /// Creates a bound; one shorter than a second counts as a second.
    pub fn new(within: Duration) -> Bound {
        Bound(within.max(BOUND_LEAST))
    }

    /// Returns how long one wait for changes at the platform may last.
    pub fn wait(self) -> Duration {
        self.percent(WAIT_PERCENT).min(WAIT_MOST)
    }

    /// Returns for how long the answer of a wait may be late before the wait is given up.
    pub fn patience(self) -> Duration {
        self.percent(PATIENCE_PERCENT)
    }

    /// Returns how often a node that reads through a peer asks it as of when it knows everything.
    pub fn ask_every(self) -> Duration {
        self.percent(ASK_PERCENT)
    }

    /// Returns the age from which on what was read is no longer relied on. The rest of the bound is for
    /// reading the platform.
    pub fn relied_on(self) -> Duration {
        self.percent(RELIED_ON_PERCENT)
    }

    /// Returns as of when an answer tells everything that came at `now` to a wait begun at `asked_at`.
    ///
    /// An empty one says that nothing had changed by the end of the wait. Of another one only its
    /// arrival is known; it was on its way for less than the patience, or the wait would have been
    /// given up.
    pub fn as_of(self, asked_at: Instant, now: Instant, is_empty: bool) -> Instant {
        let sent_at = match is_empty {
            true => asked_at + self.wait(),
            false => now.checked_sub(self.patience()).unwrap_or(asked_at),
        };
        sent_at.clamp(asked_at, now.max(asked_at))
    }

    fn percent(self, percent: u32) -> Duration {
        self.0 * percent / 100
    }
}

/// As of when a node knows everything that the platform took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    as_of: Option<Instant>,
}

impl Lease {
    /// Takes that everything up to `as_of` is known; an earlier moment than the one held changes nothing.
    pub fn renew(&mut self, as_of: Instant) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Returns how long ago everything was known; `None` when that never was.
    pub fn age(self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.as_of?))
    }

    /// Returns true while what was read may be relied on.
    pub fn is_valid(self, bound: Bound, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound.relied_on())
    }
}

#[cfg(test)]
mod tests;
