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

/// A rest, until an answer has shown that it is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest {
    until: Instant,
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
        Rest { until: now + asked.mul_f64(1.0 + SPREAD * place) }
    }

    /// Takes a further one; the one that ends last counts.
    pub(crate) fn extend(&mut self, other: Rest) {
        *self = Rest { until: self.until.max(other.until) };
    }

    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    /// Returns true once it need not be kept: nothing was sent to tell whether it is over.
    pub(crate) fn has_lapsed(&self, now: Instant) -> bool {
        now >= self.until + MOST
    }
}
