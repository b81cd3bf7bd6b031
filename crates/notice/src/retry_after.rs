//! The backoff that one upstream has asked this node for.
//!
//! An upstream that refuses requests at once looks idle, so load balancing alone would send it more
//! than any other. Once the backoff ends, all requests withheld from it would arrive at the same
//! moment, from every node.

use std::time::{Duration, Instant};

use crate::Field;

/// Longest backoff honored for one response. An upstream that needs more is sent a request after
/// this time and can ask again.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Backoff for a response whose value cannot be parsed, such as a date.
const INVALID_VALUE_BACKOFF: Duration = Duration::from_secs(1);

/// Most by which a backoff is lengthened, relative to its length. The jitter differs between nodes
/// so that they do not resume at the same moment.
const MAX_JITTER_RATIO: f64 = 0.25;

/// Time after which another request may follow the first one after a backoff, if that got no
/// response.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A backoff, kept until a response has shown that the upstream takes requests again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    until: Instant,
    /// When the last request after the backoff was sent.
    trial_sent_at: Option<Instant>,
}

impl Backoff {
    /// Returns the backoff that a response asks for; `None` when it asks for none.
    pub(crate) fn requested(field: Field<Duration>) -> Option<Duration> {
        match field {
            Field::Absent | Field::Value(Duration::ZERO) => None,
            Field::Value(requested) => Some(requested.min(MAX_BACKOFF)),
            Field::Invalid => Some(INVALID_VALUE_BACKOFF),
        }
    }

    /// Creates a backoff of `requested`, lengthened by `jitter`, which ranges from 0 to 1 and is
    /// this node's own.
    pub(crate) fn new(requested: Duration, jitter: f64, now: Instant) -> Backoff {
        Backoff {
            until: now + requested.mul_f64(1.0 + MAX_JITTER_RATIO * jitter),
            trial_sent_at: None,
        }
    }

    /// Merges a further backoff into this one; the later end counts.
    pub(crate) fn extend(&mut self, other: Backoff) {
        *self = Backoff { until: self.until.max(other.until), trial_sent_at: None };
    }

    /// Returns when the backoff ends.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Returns true when a request may be sent: one after the backoff, and others once that got
    /// a response or [`TRIAL_TIMEOUT`] has passed.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.is_over(now) && self.trial_sent_at.is_none_or(|at| now >= at + TRIAL_TIMEOUT)
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Instant) {
        self.trial_sent_at = Some(now);
    }

    /// Returns true once the backoff ended so long ago that it need not be kept, although no
    /// response has shown that the upstream takes requests again.
    pub(crate) fn has_expired(&self, now: Instant) -> bool {
        now >= self.until + MAX_BACKOFF
    }
}
