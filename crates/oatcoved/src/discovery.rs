//! Discovery answers: which entry addresses a caller should use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wire::Standing;

use crate::view::View;

/// One entry address in a discovery answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
}

/// What `GET /v1/entries` answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry addresses, the caller's zone first.
    pub entries: Vec<Entry>,
    /// How long the caller may keep this answer, in seconds.
    pub ttl_s: u64,
}

/// Returns the entries for a caller in `zone`: own zone first, then the others.
///
/// The list is the platform's, which lags both ways: entry nodes that
/// membership knows alive are added, those it knows to have left or died are
/// taken out, and suspected ones come last. A node that believes most of the
/// others dead is more likely cut off itself than right, and then only leaves
/// out those that said themselves that they left.
pub fn entries(view: &View, zone: Option<&str>) -> Entries {
    let mut known: BTreeMap<SocketAddr, SmolStr> =
        view.entries.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
    for (addr, peer) in &view.peers {
        if peer.standing == Some(Standing::Alive) {
            known.insert(*addr, peer.zone.clone());
        }
    }
    let me = view.settings.listen_addr;
    known.remove(&me);
    let standing = |addr: &SocketAddr| view.peers.get(addr).and_then(|peer| peer.standing);
    let dead = known.keys().filter(|addr| standing(addr) == Some(Standing::Dead)).count();
    let trusted = 2 * dead <= known.len();
    known.retain(|addr, _| match standing(addr) {
        Some(Standing::Left) => false,
        Some(Standing::Dead) => !trusted,
        _ => true,
    });
    // The answering node names itself even before the VM list shows it, so that a caller that
    // reached it is never told to go nowhere; once stopping, only if there is nobody else.
    if !view.stopping || known.is_empty() {
        known.insert(me, view.settings.zone.clone());
    }
    let mut list: Vec<Entry> = known.into_iter().map(|(addr, zone)| Entry { addr, zone }).collect();
    list.sort_by_key(|entry| {
        let doubtful = standing(&entry.addr).is_some_and(|s| s >= Standing::Suspect);
        (doubtful, Some(entry.zone.as_str()) != zone, entry.addr)
    });
    Entries { entries: list, ttl_s: view.settings.entries_ttl.as_secs() }
}

#[cfg(test)]
mod tests;
