//! What upstreams that warm up get, all entry nodes together.
//!
//! The load pattern: a zone's upstreams come back together, cold, while the others are crowded. Each
//! of a hundred nodes sends a cold one a request, since it looks empty, and it crashes under what a
//! warm one would bear: it comes back cold once more. A share for each node is a small part of one
//! request a second, and saved up by a hundred nodes it would come at once.
//!
//! Time is therefore cut into turns, in each of which an upstream bears one request, and a node holds
//! one turn in as many as there are nodes, by a hash of its own number: it saves nothing up, and what
//! all nodes send adds up to the rate although nobody knows who else holds a turn. It does not matter
//! which nodes live or reach each other, nor that their clocks differ.

use std::hash::Hasher;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::Incarnation;

/// Part of what an upstream bears that nodes hold turns for. Turns that nodes hold by chance within one
/// second may be twice as many at rates of a few a second.
const RATE_PART: f64 = 0.75;

/// Time for which the upstreams of a zone that was evacuated until now are taken to be cold, whatever
/// is known of them: they may have become so at its end, and tell that with their next heartbeat.
pub(crate) const DOUBTED_FOR: Duration = Duration::from_secs(3);

/// A turn of a node at an upstream.
pub(crate) type Turn = u64;

/// What a node has to keep to at the upstreams of a service that are cold.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Requests that a cold upstream bears in a second, of all nodes together.
    pub per_s: f64,
    /// Nodes that may send some, those that do not answer this one included; `None` while this node
    /// does not know: it sends nothing then.
    pub nodes: Option<usize>,
    /// When this node began to count turns.
    pub since: Instant,
}

impl WarmUp {
    /// Returns this node's turn at an upstream if it has one now.
    pub(crate) fn turn(
        &self,
        node_seed: u64,
        upstream: &Incarnation,
        now: Instant,
    ) -> Option<Turn> {
        let per_s = self.per_s * RATE_PART;
        let turn = (now.saturating_duration_since(self.since).as_secs_f64() * per_s) as Turn;
        let mut hasher = SipHasher13::new_with_keys(node_seed, turn);
        hasher.write_u64(upstream.born_ms);
        hasher.write(upstream.id.as_bytes());
        let nodes = self.nodes?.max(1) as u64;
        (per_s > 0.0 && hasher.finish().is_multiple_of(nodes)).then_some(turn)
    }
}

#[cfg(test)]
mod tests;
