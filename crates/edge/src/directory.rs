//! Which entry nodes callers are told to use.

use std::net::SocketAddr;

use place::Zone;
use rand::seq::IndexedRandom;
use wire::Standing;

use crate::state::State;

/// Nodes near the caller from which on no others are named: bytes between zones
/// are paid for, and one node alone is no choice when it fails.
const ENOUGH: usize = 2;

/// Addresses in one answer at most.
const MOST: usize = 64;

/// Who asks, and for what.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asker<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
    /// The host that its requests are for.
    pub host: &'a str,
}

/// Returns the addresses for a caller; empty when this node knows none.
///
/// Where there are more than fit, each answer names others, by chance: were it always the same
/// ones, the nodes beyond would get no callers at all.
///
/// Peers that are alive and hold a configuration are named, those suspected
/// only when there are not enough others. A node that believes most of its
/// peers dead is more likely cut off itself, but then it names itself and
/// whoever it still reaches, which is what its caller can use too.
///
/// Nodes of the caller's zone are preferred, then those of its region, then those of regions in which
/// the requests of the host may run: through others, its bodies would pass a region that they have
/// nothing to do with.
pub fn addresses(state: &mut State, asker: Asker<'_>) -> Vec<SocketAddr> {
    let front = |peer: &SocketAddr| SocketAddr::new(peer.ip(), state.settings.front_addr.port());
    let serving = |standing: Standing| {
        state
            .peers
            .iter()
            .filter(move |(_, peer)| peer.standing == standing && peer.config_head > 0)
            .map(move |(addr, peer)| (front(addr), &peer.zone))
    };
    let mut known: Vec<(SocketAddr, &Zone)> = serving(Standing::Alive).collect();
    if state.is_ready() {
        known.push((state.settings.front_addr, &state.settings.zone));
    }
    if known.len() < ENOUGH {
        known.extend(serving(Standing::Suspect));
    }
    let host = asker.host.to_ascii_lowercase();
    let homes = state.table.as_ref().and_then(|table| table.allowed_regions_of(&host));
    let nearness = |zone: &Zone| {
        let region = state.settings.regions.get(zone);
        match &homes {
            _ if zone == asker.zone => Nearness::SameZone,
            _ if region.is_some_and(|region| region == asker.region) => Nearness::SameRegion,
            Some(homes) if !region.is_some_and(|region| homes.contains(region)) => Nearness::Far,
            _ => Nearness::Home,
        }
    };
    let known: Vec<(SocketAddr, Nearness)> =
        known.into_iter().map(|(addr, zone)| (addr, nearness(zone))).collect();
    let within = |farthest: Nearness| known.iter().filter(|(_, near)| *near <= farthest).count();
    let allowed = [Nearness::SameZone, Nearness::SameRegion, Nearness::Home];
    let farthest = match allowed.into_iter().find(|farthest| within(*farthest) >= ENOUGH) {
        Some(farthest) => farthest,
        None if within(Nearness::Home) > 0 => Nearness::Home,
        None => Nearness::Far,
    };
    let is_meant = |(_, near): &&(SocketAddr, Nearness)| *near <= farthest;
    let named: Vec<SocketAddr> = known.iter().filter(is_meant).map(|(addr, _)| *addr).collect();
    named.choose_multiple(&mut state.rng, MOST).copied().collect()
}

/// How near a node is to a caller, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    SameZone,
    SameRegion,
    /// In another region in which its requests may run.
    Home,
    Far,
}
