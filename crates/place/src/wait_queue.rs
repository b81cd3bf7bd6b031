//! The order in which requests to one service wait at a node.
//!
//! The load pattern: all upstreams are full, and several requests wait at each of hundreds of
//! nodes. If each of them looked for a free slot by itself, dozens would see the same slot become
//! free and send to it, all but one into a queue. Only the first in the queue looks for one.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Time for which room counts as scarce after a request has found none. At a node that gets a few
/// requests a second, one of the next would have shown that there still is none.
const SCARCITY_TIME: Duration = Duration::from_secs(1);

/// Urgency of a request: lower values go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the caller's team, which goes before that of the route.
    pub team: u32,
    /// Priority of the route.
    pub route: u32,
}

/// The position of a request in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    urgency: Urgency,
    number: u64,
}

/// Requests that wait, the most urgent first, and those of the same urgency in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeSet<QueuePosition>,
    next_number: u64,
    /// When a request that could have been in time last found no room.
    no_room_at: Option<Instant>,
}

impl WaitQueue {
    /// Adds a request and returns its position.
    pub fn join(&mut self, urgency: Urgency) -> QueuePosition {
        let position = QueuePosition { urgency, number: self.next_number };
        self.next_number += 1;
        self.waiting.insert(position);
        position
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }

    /// Records that a request that could have been in time found no room.
    pub fn record_no_room(&mut self, now: Instant) {
        self.no_room_at = Some(now);
    }

    /// Returns true if requests that could be in time have lately found no room.
    pub fn is_room_scarce(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SCARCITY_TIME;
        !self.is_empty() || self.no_room_at.is_some_and(is_recent)
    }

    /// Returns the number of requests before this position.
    pub fn ahead_of(&self, position: QueuePosition) -> u32 {
        self.waiting.range(..position).count() as u32
    }

    /// Returns the number of requests before one that would join now.
    pub fn ahead_of_new(&self, urgency: Urgency) -> u32 {
        self.ahead_of(QueuePosition { urgency, number: self.next_number })
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
