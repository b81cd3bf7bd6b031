//! Discovery: which entry addresses a caller should use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wire::Standing;

use crate::view::View;

/// Number of entry nodes with a path to an upstream that are enough to leave out those without.
const MIN_ENTRIES_WITH_PATH: usize = 2;

/// One entry node in a discovery response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Availability zone of the entry node.
    pub zone: SmolStr,
}

/// Response body of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry nodes, those of the caller's zone first.
    pub entries: Vec<Entry>,
    /// How long the caller may cache this response, in seconds.
    pub ttl_s: u64,
}

/// Returns the entry nodes for a caller in `zone`: those of its zone first, then the others.
///
/// The platform's list lags behind: nodes that the membership reports as alive
/// are added, and those that have left or are dead are removed. Suspected nodes
/// come last. If more than half of the others seem dead, this node is more likely
/// partitioned itself, so it then removes only those that have announced that
/// they left.
///
/// Nodes that are partitioned from all upstreams are removed too, if enough others are left: they
/// can only serve calls through those.
pub fn entries(view: &View, zone: Option<&str>) -> Entries {
    let mut candidates: BTreeMap<SocketAddr, SmolStr> =
        view.entries.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
    for (addr, peer) in &view.peers {
        if peer.standing == Some(Standing::Alive) {
            candidates.insert(*addr, peer.zone.clone());
        }
    }
    let own_addr = view.settings.listen_addr;
    candidates.remove(&own_addr);
    let standing = |addr: &SocketAddr| view.peers.get(addr).and_then(|peer| peer.standing);
    let dead_count =
        candidates.keys().filter(|addr| standing(addr) == Some(Standing::Dead)).count();
    let trusts_dead_standings = 2 * dead_count <= candidates.len();
    candidates.retain(|addr, _| match standing(addr) {
        Some(Standing::Left) => false,
        Some(Standing::Dead) => !trusts_dead_standings,
        _ => true,
    });
    let now = Instant::now();
    let has_path = |addr: &SocketAddr| !view.peer_paths.is_partitioned(*addr, now);
    let others_with_path = candidates.keys().filter(|addr| has_path(addr)).count();
    let drops_partitioned = others_with_path >= MIN_ENTRIES_WITH_PATH;
    if drops_partitioned {
        candidates.retain(|addr, _| has_path(addr));
    }
    // This node includes itself even if the VM list does not contain it yet, so that a caller
    // that reached it never gets an empty list. While stopping, it does so only if it knows no
    // other node.
    let is_partitioned = drops_partitioned && view.paths.is_unreachable();
    if !(view.stopping.is_some() || is_partitioned) || candidates.is_empty() {
        candidates.insert(own_addr, view.settings.zone.clone());
    }
    let mut sorted: Vec<Entry> =
        candidates.into_iter().map(|(addr, zone)| Entry { addr, zone }).collect();
    sorted.sort_by_key(|entry| {
        let is_suspected = standing(&entry.addr).is_some_and(|s| s >= Standing::Suspect);
        (is_suspected, Some(entry.zone.as_str()) != zone, entry.addr)
    });
    Entries { entries: sorted, ttl_s: view.settings.entries_ttl.as_secs() }
}

#[cfg(test)]
mod tests;
