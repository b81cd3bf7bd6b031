//! Decides whether two nodes handle requests by the same configuration.
//!
//! The load pattern: the upstreams of a zone fail while a change is being rolled out. Nodes that have
//! the change get requests from nodes that do not have it yet. A caller sees one node; if a request
//! is handled by the newer configuration of a peer and the next one by the node itself, the change
//! seems to be taken back. Therefore a request passes between nodes with the same configuration only.

/// How far a node has read the history of a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The node has read everything up to here.
    pub up_to: u64,
    /// The newest change that was read.
    pub newest: u64,
}

impl Position {
    /// Returns true if the node at `other` has read a change that the node at this position has not.
    pub fn lacks_change_of(self, other: Position) -> bool {
        other.newest > self.up_to
    }
}

/// The configuration that a node handles requests by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigInForce {
    /// Its version.
    pub version: u64,
    /// How far the node has read the topic, which has more than the versioned part: evacuations.
    pub position: Position,
}

/// How the configuration of a node compares to that of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Agreement {
    /// Both handle requests alike.
    Same,
    /// The other node has a change that this one lacks.
    Behind,
    /// This node has a change that the other one lacks, and has all of the other one's.
    Ahead,
}

impl ConfigInForce {
    /// Compares the configuration of this node to that of `other`.
    pub fn compare(self, other: ConfigInForce) -> Agreement {
        match () {
            () if self.version < other.version => Agreement::Behind,
            () if self.position.lacks_change_of(other.position) => Agreement::Behind,
            () if self.version > other.version => Agreement::Ahead,
            () if other.position.lacks_change_of(self.position) => Agreement::Ahead,
            () => Agreement::Same,
        }
    }
}

#[cfg(test)]
mod tests;
