//! Which entry nodes a caller is told to use.

use std::hash::Hasher;
use std::net::SocketAddr;

/// Processor time that an entry node spends on a request, in seconds.
const CPU_S_PER_REQUEST: f64 = 0.0005;

/// Bytes of a request and its response that pass a node's link in each direction.
const BYTES_PER_REQUEST: f64 = 12_000.0;

/// Minimum share of what a node can take that it is told to have left. A node that is told to have
/// nothing left gets no callers, and has room again a moment later.
const MIN_ROOM_RATIO: f64 = 0.1;

/// Ratio of the largest room to the median from which nodes count as uneven.
const MIN_UNEVEN_RATIO: f64 = 1.5;

/// Minimum number of nodes that a caller is told: enough to go on after some of them failed it.
const MIN_NODES: usize = 8;

/// Returns the requests per second that a node can take beyond those that it gets, from the
/// processor time and the rate of the link that it may use.
pub fn room_per_s(cores: f64, link_bytes_per_s: f64, requests_per_s: f64) -> f64 {
    let most = (cores / CPU_S_PER_REQUEST).min(link_bytes_per_s / BYTES_PER_REQUEST);
    (most - requests_per_s).max(most * MIN_ROOM_RATIO)
}

/// Chooses the nodes that a caller is told, in proportion to the room of each; `None` if they are
/// alike, or too few for a choice. Nodes whose room is not known count as the median one.
///
/// The load pattern: a fleet has a few large nodes and many small ones. Callers pick one of the
/// nodes that they are told at random, so that a list of all nodes sends as much to a small link as
/// to one that is twenty times as wide.
///
/// A caller gets the shorter list the more uneven the nodes are: the largest node is in most lists,
/// and the others as much less often as their room is smaller. `caller` is a number specific to the caller:
/// by it, it gets the same nodes with each look-up, from any node that it asks, and keeps its
/// connections. Lists of different callers differ, so that no node is in all of them only because
/// it just had the most room.
pub fn choose(
    nodes: &[(SocketAddr, Option<f64>)],
    caller: u64,
    max_nodes: usize,
) -> Option<Vec<SocketAddr>> {
    let mut known: Vec<f64> = nodes.iter().filter_map(|(_, room)| *room).collect();
    known.sort_by(f64::total_cmp);
    let median = *known.get(known.len() / 2)?;
    let largest = *known.last()?;
    if largest < MIN_UNEVEN_RATIO * median || nodes.len() <= MIN_NODES {
        return None;
    }
    let room = |(_, room): &(SocketAddr, Option<f64>)| room.unwrap_or(median).max(1.0);
    let total: f64 = nodes.iter().map(room).sum();
    let count = ((total / largest) as usize).clamp(MIN_NODES, max_nodes);
    // Weighted rendezvous hashing: the smaller the key, the better.
    let key = |node: &(SocketAddr, Option<f64>)| -uniform(caller, node.0).ln() / room(node);
    let mut keyed: Vec<(f64, SocketAddr)> = nodes.iter().map(|node| (key(node), node.0)).collect();
    keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
    Some(keyed.into_iter().take(count).map(|(_, addr)| addr).collect())
}

/// Returns a number above 0 and up to 1 that is specific to a caller and a node.
fn uniform(caller: u64, node: SocketAddr) -> f64 {
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(caller, 0);
    match node.ip() {
        std::net::IpAddr::V4(ip) => hasher.write(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write_u16(node.port());
    (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 1.0)
}

#[cfg(test)]
mod tests;
