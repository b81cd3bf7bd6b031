//! Reads of the config and the VM list from peers while the platform is
//! unreachable.
//!
//! The platform may reject some nodes while it serves the others and the
//! operators. A change would then be in force everywhere but on those nodes.
//! A node that is replaced during an outage would start without config, since
//! VMs keep no state. Therefore every node serves the platform's read routes
//! from its own state, and a node whose reads fail reads from a peer that has
//! newer rows. Rows keep the versions that the platform assigned, so an older
//! row never replaces a newer one, no matter which node delivers it. Writes
//! never go through a peer.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use rand::Rng;
use store::proto;

use crate::view::View;

/// Returns a random alive peer whose config is newer than this node's.
///
/// If there is none and this node has no config yet, returns one of its seeds.
pub fn config_source<R: Rng>(view: &View, rng: &mut R) -> Option<SocketAddr> {
    let own_head = view.synced_head();
    let newer = alive_peers(view).filter(|(_, head)| *head > own_head).map(|(addr, _)| addr);
    match newer.choose(rng) {
        None if own_head == 0 => view.settings.seed_addrs.iter().copied().choose(rng),
        found => found,
    }
}

/// Returns a random alive peer, or a seed if no peer is alive.
pub fn any_source<R: Rng>(view: &View, rng: &mut R) -> Option<SocketAddr> {
    let peer = alive_peers(view).map(|(addr, _)| addr).choose(rng);
    peer.or_else(|| view.settings.seed_addrs.iter().copied().choose(rng))
}

/// Returns the address and the highest config commit of each alive peer.
fn alive_peers(view: &View) -> impl Iterator<Item = (SocketAddr, proto::Version)> + '_ {
    let alive = view.peers.iter().filter(|(_, p)| p.standing == Some(wire::Standing::Alive));
    alive.map(|(addr, peer)| (*addr, peer.config_head))
}

/// Returns the rows of `table` after commit `since` from this node's state; `None` for tables that
/// are not relayed.
///
/// The head returned is the commit up to which this node has read the table.
pub fn rows(view: &View, table: &str, since: proto::Version) -> Option<proto::Rows> {
    let (head, rows): (_, Vec<&proto::Row>) = match table {
        store::TEMPLATES => {
            (view.config_head, view.templates.values().map(|loaded| &loaded.row).collect())
        }
        store::DRAINS => {
            let drains = view.drains.values().map(|(_, row)| row);
            let zones = view.evacuations.values().map(|(_, row)| row);
            (view.drain_head, drains.chain(zones).collect())
        }
        _ => return None,
    };
    let rows = rows.into_iter().filter(|row| row.version > since).cloned().collect();
    Some(proto::Rows { head, rows })
}
