//! Which entry nodes callers are told to use.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use wire::Standing;

use crate::state::State;

/// Nodes of the caller's own zone from which on no others are named: bytes
/// between zones are paid for, and one node alone is no choice when it fails.
const ENOUGH_IN_ZONE: usize = 2;

/// Addresses in one answer at most.
const MOST: usize = 64;

/// Returns the addresses for a caller in `zone`; empty when this node knows none.
///
/// Where there are more than fit, each answer names others, by chance: were it always the same
/// ones, the nodes beyond would get no callers at all.
///
/// Peers that are alive and hold a configuration are named, those suspected
/// only when there are not enough others. A node that believes most of its
/// peers dead is more likely cut off itself, but then it names itself and
/// whoever it still reaches, which is what its caller can use too.
pub fn addresses(state: &mut State, zone: &str) -> Vec<SocketAddr> {
    let front = |peer: &SocketAddr| SocketAddr::new(peer.ip(), state.settings.front_addr.port());
    let serving = |standing: Standing| {
        state
            .peers
            .iter()
            .filter(move |(_, peer)| peer.standing == standing && peer.config_head > 0)
            .map(move |(addr, peer)| (front(addr), peer.zone == zone))
    };
    let mut known: Vec<(SocketAddr, bool)> = serving(Standing::Alive).collect();
    if state.is_ready() {
        known.push((state.settings.front_addr, state.settings.zone == zone));
    }
    if known.len() < ENOUGH_IN_ZONE {
        known.extend(serving(Standing::Suspect));
    }
    let in_zone = known.iter().filter(|(_, own)| *own).count();
    if in_zone >= ENOUGH_IN_ZONE {
        known.retain(|(_, own)| *own);
    }
    let named = known.choose_multiple(&mut state.rng, MOST);
    named.map(|(addr, _)| *addr).collect()
}
