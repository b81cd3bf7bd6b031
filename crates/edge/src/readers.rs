//! Which nodes read the platform themselves, and through whom the others do.
//!
//! Every call to the platform is paid for, and a change costs one call of each
//! node that waits for it. A few nodes per zone wait at the platform; the
//! others hear of changes from one of these a few milliseconds later. A
//! reader that fails or falls behind is noticed by its own subscribers
//! ([`crate::follow::behind`]), who then read the platform themselves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use wire::Standing;

use crate::state::State;

/// Readers in the whole fleet at least: when one is cut off, two others still
/// hear of changes and tell its subscribers that they are behind.
const READERS_LEAST: usize = 3;

/// A reader that the platform does not answer for this long asks another reader.
const AWAY_FOR: Duration = Duration::from_secs(1);

/// The same for a node that holds nothing yet.
const AWAY_FOR_NEWCOMER: Duration = Duration::from_millis(200);

/// How a node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Itself.
    Direct,
    /// Through this peer.
    Via(SocketAddr),
}

/// Returns the readers by zone: the first by address among those that serve, or among those
/// that are alive as long as nobody serves.
fn readers(state: &State) -> BTreeMap<SmolStr, Vec<SocketAddr>> {
    let mut by_zone: BTreeMap<SmolStr, Vec<SocketAddr>> = BTreeMap::new();
    let nobody_serves = !state.is_ready() && state.peers.values().all(|p| p.config_head == 0);
    for (addr, peer) in &state.peers {
        if peer.standing == Standing::Alive && (peer.config_head > 0 || nobody_serves) {
            by_zone.entry(peer.zone.clone()).or_default().push(*addr);
        }
    }
    if state.is_ready() || nobody_serves {
        let own = by_zone.entry(state.settings.zone.clone()).or_default();
        own.push(state.settings.peer_addr);
    }
    let per_zone = READERS_LEAST.div_ceil(by_zone.len().max(1));
    for addrs in by_zone.values_mut() {
        addrs.sort_unstable();
        addrs.truncate(per_zone);
    }
    by_zone
}

/// Returns true when `peer` is a reader.
pub fn is_reader(state: &State, peer: SocketAddr) -> bool {
    readers(state).values().any(|addrs| addrs.contains(&peer))
}

/// Chooses how this node reads the platform now; peers in `avoided` failed it until then.
///
/// A node that starts reads the platform once itself, whoever else may: it
/// serves a few milliseconds later, and waiting for peers that start too would
/// cost their callers more than the calls cost.
pub fn choose(state: &mut State, avoided: &HashMap<SocketAddr, Instant>, now: Instant) -> Way {
    let me = state.settings.peer_addr;
    let usable =
        |addr: &SocketAddr| *addr != me && avoided.get(addr).is_none_or(|until| *until <= now);
    let candidates: Vec<SocketAddr> = match state.is_in_step() {
        // The platform does not answer a node that has nothing yet: any peer helps that serves.
        false if state.roster.store_away_for(now) >= AWAY_FOR_NEWCOMER => {
            let serving = state.peers.iter().filter(|(_, peer)| peer.config_head > 0);
            let serving: Vec<SocketAddr> = serving.map(|(addr, _)| *addr).filter(usable).collect();
            let seeds = state.settings.seed_addrs.iter().copied().filter(usable);
            if serving.is_empty() {
                seeds.collect()
            } else {
                serving
            }
        }
        false => Vec::new(),
        true => {
            let by_zone = readers(state);
            let is_reader = by_zone.values().any(|addrs| addrs.contains(&me));
            let away = state.roster.store_away_for(now) >= AWAY_FOR;
            let own = by_zone.get(&state.settings.zone).into_iter().flatten();
            match is_reader {
                false => own.copied().filter(usable).collect(),
                // The platform turns this reader away: another one may be served.
                true if away => by_zone.values().flatten().copied().filter(usable).collect(),
                true => Vec::new(),
            }
        }
    };
    match candidates.choose(&mut state.rng) {
        Some(peer) => Way::Via(*peer),
        None => Way::Direct,
    }
}
