//! Config and VM list from a peer while the platform does not answer this node.
//!
//! The platform can turn some nodes away while it serves others and the
//! operators; then a change would be in force everywhere but on those nodes,
//! and a node replaced during an outage would start with nothing, since VMs
//! keep nothing. So every node answers the platform's own read routes from
//! what it holds, and a node whose reads fail asks a peer that holds more.
//! Rows keep the versions the platform gave them, so the rule that an older
//! row never replaces a newer one holds whoever delivers it. Writes never go
//! through a peer.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use rand::Rng;
use store::proto;

use crate::view::View;

/// Returns a peer worth asking for config: one that holds more than this node.
///
/// A node that holds nothing yet and has heard from nobody asks its seeds.
pub fn config_source<R: Rng>(view: &View, rng: &mut R) -> Option<SocketAddr> {
    let held = view.held_head();
    let ahead = reachable(view).filter(|(_, head)| *head > held).map(|(addr, _)| addr);
    match ahead.choose(rng) {
        None if held == 0 => view.settings.seed_addrs.iter().copied().choose(rng),
        found => found,
    }
}

/// Returns any peer that answers, or a seed.
pub fn any_source<R: Rng>(view: &View, rng: &mut R) -> Option<SocketAddr> {
    let peer = reachable(view).map(|(addr, _)| addr).choose(rng);
    peer.or_else(|| view.settings.seed_addrs.iter().copied().choose(rng))
}

fn reachable(view: &View) -> impl Iterator<Item = (SocketAddr, proto::Version)> + '_ {
    let alive = view.peers.iter().filter(|(_, p)| p.standing == Some(wire::Standing::Alive));
    alive.map(|(addr, peer)| (*addr, peer.config_head))
}

/// Answers a read of `table` after commit `since` from what this node holds.
///
/// The head given is the one up to which this node has read the table.
pub fn rows(view: &View, table: &str, since: proto::Version) -> Option<proto::Rows> {
    let (head, rows): (_, Vec<&proto::Row>) = match table {
        store::TEMPLATES => {
            (view.config_head, view.templates.values().map(|held| &held.row).collect())
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
