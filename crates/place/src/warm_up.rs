//! Rate limit for cold upstreams, shared by all entry nodes without coordination.
//!
//! The load pattern: the upstreams of a zone start together, cold, while the others are nearly
//! full. Each of a hundred nodes sends a request to a cold upstream because it looks empty. The
//! upstream crashes under a load that a warm one would bear, and starts cold again. A fixed share
//! for each node does not help: it is a small fraction of one request a second, and if a hundred
//! nodes accumulate their shares, their requests arrive at once.
//!
//! Time is therefore divided into windows, in each of which an upstream can take one request. A
//! node holds one window in as many as there are nodes, selected by a hash of its own seed. No node
//! accumulates a share, and what all nodes send adds up to the configured rate although no node
//! knows which others hold a window. It does not matter which nodes are alive or reach each other,
//! nor that their clocks differ.

use std::hash::Hasher;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::Incarnation;

/// Ratio of the rate that an upstream can take for which windows are assigned. At rates of a few
/// requests a second, the nodes may by chance hold twice the mean number of windows within one
/// second.
const TARGET_RATE_RATIO: f64 = 0.75;

/// Time for which all upstreams of a zone whose evacuation has ended are treated as cold, whatever
/// is known of them. They may have become cold just before, and report that only with their next
/// heartbeat.
pub(crate) const ASSUMED_COLD_TTL: Duration = Duration::from_secs(3);

/// Number of a time window in which a node may send one request to a cold upstream.
pub(crate) type Window = u64;

/// Limit on the requests to the cold upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Requests that a cold upstream can take in a second, from all nodes together.
    pub requests_per_s: f64,
    /// Number of nodes that may send requests, including those that this node cannot reach. `None`
    /// if this node does not know it yet: it then sends cold upstreams nothing.
    pub node_count: Option<usize>,
    /// When the first window of this node began.
    pub since: Instant,
}

impl WarmUp {
    /// Returns the current window if this node holds it for `upstream`.
    pub(crate) fn window(
        &self,
        node_seed: u64,
        upstream: &Incarnation,
        now: Instant,
    ) -> Option<Window> {
        let windows_per_s = self.requests_per_s * TARGET_RATE_RATIO;
        let window =
            (now.saturating_duration_since(self.since).as_secs_f64() * windows_per_s) as Window;
        let mut hasher = SipHasher13::new_with_keys(node_seed, window);
        hasher.write_u64(upstream.born_ms);
        hasher.write(upstream.id.as_bytes());
        let node_count = self.node_count?.max(1) as u64;
        (windows_per_s > 0.0 && hasher.finish().is_multiple_of(node_count)).then_some(window)
    }
}

#[cfg(test)]
mod tests;
