//! Decides whether requests may be handled by data that may be outdated.
//!
//! The load pattern: whatever a node reads through goes silent, its lease expires, and the node reads
//! the platform itself. That read outlasts the bound where hundreds of nodes read at once, the link
//! is slow, the data is large, or the node gets little processor time. Requests keep arriving
//! meanwhile, and routes that were dropped or moved must not be used for them.

use std::time::Duration;

use crate::StalenessBound;

/// Multiple of the bound after which a node that cannot read the platform uses its data even though
/// peers have newer data.
const MAX_BEHIND_FACTOR: u32 = 2;

/// What a node knows of its data on one topic.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// Time since the data was last known to be complete; `None` if it never was.
    pub age: Option<Duration>,
    /// Time within which changes must be in force.
    pub bound: StalenessBound,
    /// Whether the last attempt to read the platform failed.
    pub read_failed: bool,
    /// Whether a peer has newer data.
    pub is_behind: bool,
}

impl Knowledge {
    /// Returns true if requests may be handled by the data.
    ///
    /// Data within the bound may be used. Older data may be used while the platform is unavailable,
    /// as there is nothing better: unless a peer has newer data, which this node is about to get
    /// from it. A node that gets it from nobody is partitioned, and serves its callers as it can.
    pub fn is_usable(self) -> bool {
        match self.age {
            // Data that was never complete is replaced or completed while the node starts.
            None => true,
            Some(age) if age < self.bound.duration() => true,
            Some(_) if !self.read_failed => false,
            Some(age) => !self.is_behind || age >= self.bound.duration() * MAX_BEHIND_FACTOR,
        }
    }
}

#[cfg(test)]
mod tests;
