//! Refers nodes that have just started to each other.
//!
//! When a fleet of hundreds starts, all nodes do so within 0.3 s and know three addresses each. If
//! these three served everyone, sending a hundred lists of 30 KB would take 1.2 s over a link of
//! 20 Mbit/s; reading from the platform costs three calls a node. Instead, a node serves the list
//! to a few new nodes of each availability zone and refers the next ones to these: a tree in which
//! no link carries more than a dozen lists, most of them within a zone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Maximum number of new nodes of a zone that this node serves itself: two, so that one remains if
/// the other dies.
const MAX_SERVED_PER_ZONE: usize = 2;

/// Maximum number of new nodes that are referred to the same node. With four, 62 nodes of a zone
/// that connect to three seeds are at most three steps from their seed; each step takes 60 ms over
/// a link of 20 Mbit/s.
const FAN_OUT: usize = 4;

/// Time for which other nodes are referred to a new node. The nodes of a fleet start at most 0.3 s
/// apart, and one that started earlier than this reads through its own zone's reader by now.
const REFERRAL_TTL: Duration = Duration::from_secs(1);

/// Nodes that started recently and subscribed to this one.
#[derive(Debug, Default)]
pub(super) struct NewNodes {
    by_zone: HashMap<SmolStr, Vec<NewNode>>,
}

#[derive(Clone, Copy, Debug)]
struct NewNode {
    addr: SocketAddr,
    connected_at: Instant,
}

impl NewNodes {
    /// Adds a new node; returns the address of the node that it is referred to, or `None` if this
    /// node serves it.
    ///
    /// A node that connects again is served here: the node that it was referred to did not serve
    /// it.
    pub(super) fn refer(
        &mut self,
        addr: SocketAddr,
        zone: &SmolStr,
        now: Instant,
    ) -> Option<SocketAddr> {
        let zone = self.by_zone.entry(zone.clone()).or_default();
        let is_new = |n: &NewNode| now.saturating_duration_since(n.connected_at) < REFERRAL_TTL;
        if !zone.iter().all(is_new) {
            // All at once: a referral must never lead to a node that connected later.
            zone.clear();
        }
        if zone.iter().any(|node| node.addr == addr) {
            return None;
        }
        let before = zone.len();
        zone.push(NewNode { addr, connected_at: now });
        before.checked_sub(MAX_SERVED_PER_ZONE).map(|rank| zone[rank / FAN_OUT].addr)
    }
}

#[cfg(test)]
mod tests;
