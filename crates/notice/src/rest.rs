//! The rest that one upstream has asked this node for.
//!
//! The load pattern: an upstream that refuses at once looks empty, so it is sent more than any other;
//! and once it has rested, all that was kept from it comes at the same moment, from every node.

use std::time::{Duration, Instant};

use crate::Field;

/// Longest rest that is given for one answer: beyond it a request asks again.
const MOST: Duration = Duration::from_secs(300);

/// Rest that is given for an answer that asks for one in a way that cannot be read, such as a date.
const UNREADABLE: Duration = Duration::from_secs(1);

/// Part of a rest by which it is longer at most, another part for each node: they do not come back at
/// the same moment.
const SPREAD: f64 = 0.25;

/// Time after which the first request after a rest, if it had no answer, is followed by another.
const TRIAL_FOR: Duration = Duration::from_secs(1);

/// A rest, until an answer has shown that it is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest {
    until: Instant,
    /// When the first request after it was sent.
    tried_at: Option<Instant>,
}

impl Rest {
    /// Returns the rest that an answer asks for; `None` when it asks for none.
    pub(crate) fn asked(stated: Field<Duration>) -> Option<Duration> {
        match stated {
            Field::Absent | Field::Named(Duration::ZERO) => None,
            Field::Named(asked) => Some(asked.min(MOST)),
            Field::Unreadable => Some(UNREADABLE),
        }
    }

    /// Creates a rest of `asked`; `place` from 0 to 1 says which place this node has among those that
    /// come back.
    pub(crate) fn new(asked: Duration, place: f64, now: Instant) -> Rest {
        Rest { until: now + asked.mul_f64(1.0 + SPREAD * place), tried_at: None }
    }

    /// Takes a further one; the one that ends last counts.
    pub(crate) fn extend(&mut self, other: Rest) {
        *self = Rest { until: self.until.max(other.until), tried_at: None };
    }

    /// Returns when it ends.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Returns true when a request may be sent: one after the rest, and more once that was answered.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.is_over(now) && self.tried_at.is_none_or(|at| now >= at + TRIAL_FOR)
    }

    /// Records that a request is sent.
    pub(crate) fn sent(&mut self, now: Instant) {
        self.tried_at = Some(now);
    }

    /// Returns true once it need not be kept: nothing was sent to tell whether it is over.
    pub(crate) fn has_lapsed(&self, now: Instant) -> bool {
        now >= self.until + MOST
    }
}
