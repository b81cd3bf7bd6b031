//! Decides whether requests may be handled by data that may be outdated.
//!
//! The load pattern: whatever a node reads through goes silent, its lease expires, and the node reads
//! the platform itself. That read outlasts the bound where hundreds of nodes read at once, the link
//! is slow, the data is large, or the node gets little processor time. Requests keep arriving
//! meanwhile, and routes that were dropped or moved must not be used for them. Failed reads alone do
//! not tell a platform that is unavailable from a node that is slow; peers do: while one that this
//! node hears from has newer data, the platform is available.

use std::time::Duration;

use crate::StalenessBound;

/// Number of reads that must fail in sequence before they show that the platform does not serve this
/// node. A single one may be due to its connection, or to many nodes that read at the same moment.
const MIN_FAILED_READS: u32 = 2;

/// How an attempt of a node to read the platform ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastRead {
    /// The platform answered, or the node reads through a peer, or has not tried yet.
    #[default]
    Answered,
    /// The platform rejected the call, or the connection failed.
    Rejected,
    /// There was no response in time: the platform may be unavailable, or the node or its link slow.
    TimedOut,
}

/// How the latest attempts of a node to read the platform ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reads {
    last: LastRead,
    failed_in_sequence: u32,
}

impl Reads {
    /// Records how an attempt ended.
    pub fn record(&mut self, ended: LastRead) {
        self.last = ended;
        self.failed_in_sequence = match ended {
            LastRead::Answered => 0,
            LastRead::Rejected | LastRead::TimedOut => self.failed_in_sequence.saturating_add(1),
        };
    }

    /// Returns how the last attempt ended.
    pub fn last(self) -> LastRead {
        self.last
    }

    /// Returns the number of attempts that failed since the last one that the platform answered.
    pub fn failed_in_sequence(self) -> u32 {
        self.failed_in_sequence
    }

    /// Returns what the attempts show of the platform.
    fn evidence(self) -> LastRead {
        match self.failed_in_sequence >= MIN_FAILED_READS {
            true => self.last,
            false => LastRead::Answered,
        }
    }
}

/// What a node knows of its data on one topic.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// Time since the data was last known to be complete; `None` if it never was.
    pub age: Option<Duration>,
    /// Time within which changes must be in force.
    pub bound: StalenessBound,
    /// How the latest attempts to read the platform ended.
    pub reads: Reads,
    /// Whether a peer that was heard from lately has newer data. A partitioned node hears from none.
    pub is_behind: bool,
}

impl Knowledge {
    /// Returns true if requests may be handled by the data.
    ///
    /// Data within the bound may be used. Older data may be used while reads fail and no peer is known
    /// to have newer data, as there is nothing better.
    pub fn is_usable(self) -> bool {
        let bound = self.bound.duration();
        match (self.age, self.reads.evidence()) {
            // Data that was never complete is replaced or completed while the node starts.
            (None, _) => true,
            (Some(age), _) if age < bound => true,
            (Some(_), LastRead::Answered) => false,
            (Some(_), LastRead::Rejected | LastRead::TimedOut) => !self.is_behind,
        }
    }
}

#[cfg(test)]
mod tests;
