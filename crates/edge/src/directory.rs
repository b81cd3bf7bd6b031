//! Selects the entry nodes that callers are told to use.

use std::net::SocketAddr;
use std::time::Instant;

use place::Zone;
use rand::seq::IndexedRandom;
use wire::Standing;

use crate::state::{Peer, State};

/// Number of nearby nodes that is enough to leave out farther ones: bytes between zones are paid
/// for, and a single node leaves no alternative if it fails.
const MIN_NEARBY_NODES: usize = 2;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Location of a caller, and the host that it looks up entry nodes for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lookup<'a> {
    /// The caller's availability zone.
    pub zone: &'a str,
    /// The caller's region.
    pub region: &'a str,
    /// The host of its requests.
    pub host: &'a str,
}

/// Returns the addresses for a caller; empty if this node knows none.
///
/// If there are more nodes than fit, each response contains a random choice: with a fixed choice,
/// the other nodes would get no callers at all.
///
/// The response contains peers that are alive and have a configuration, and suspected ones only if
/// there are not enough others. A node that considers most of its peers dead is more likely
/// partitioned itself, but then it returns itself and the peers that it still reaches, which its
/// caller can use too.
///
/// Nodes that are partitioned from all upstreams are left out, unless there are not enough others:
/// they can only serve through those.
///
/// Nodes of the caller's zone are preferred, then those of its region, then those of regions in
/// which the requests of the host may run: through any other node, request bodies would pass a
/// region in which the requests may not run.
pub fn addresses(state: &mut State, lookup: Lookup<'_>) -> Vec<SocketAddr> {
    let (now, peers, peer_paths) = (Instant::now(), &state.peers, &state.peer_paths);
    let front = |peer: &SocketAddr| SocketAddr::new(peer.ip(), state.settings.front_addr.port());
    let serving = |standing: Standing, is_partitioned: bool| {
        let serves = move |peer: &Peer| peer.standing == standing && peer.config_head > 0;
        let has_paths =
            move |addr: SocketAddr| peer_paths.is_partitioned(addr, now) == is_partitioned;
        peers
            .iter()
            .filter(move |(addr, peer)| serves(peer) && has_paths(**addr))
            .map(move |(addr, peer)| (front(addr), &peer.zone))
    };
    let this_node = |is_partitioned: bool| {
        let serves = state.is_ready() && state.paths.is_unreachable() == is_partitioned;
        serves.then_some((state.settings.front_addr, &state.settings.zone))
    };
    let mut nodes: Vec<(SocketAddr, &Zone)> = serving(Standing::Alive, false).collect();
    nodes.extend(this_node(false));
    if nodes.len() < MIN_NEARBY_NODES {
        nodes.extend(serving(Standing::Suspect, false));
    }
    if nodes.len() < MIN_NEARBY_NODES {
        nodes.extend(serving(Standing::Alive, true));
        nodes.extend(this_node(true));
    }
    let host = lookup.host.to_ascii_lowercase();
    let allowed_regions = state.table.as_ref().and_then(|table| table.allowed_regions_of(&host));
    let proximity_of = |zone: &Zone| {
        let region = state.settings.regions.get(zone);
        match &allowed_regions {
            _ if zone == lookup.zone => Proximity::SameZone,
            _ if region.is_some_and(|region| region == lookup.region) => Proximity::SameRegion,
            Some(allowed_regions)
                if !region.is_some_and(|region| allowed_regions.contains(region)) =>
            {
                Proximity::OtherRegion
            }
            _ => Proximity::AllowedRegion,
        }
    };
    let nodes: Vec<(SocketAddr, Proximity)> =
        nodes.into_iter().map(|(addr, zone)| (addr, proximity_of(zone))).collect();
    let within =
        |farthest: Proximity| nodes.iter().filter(|(_, proximity)| *proximity <= farthest).count();
    let preferred = [Proximity::SameZone, Proximity::SameRegion, Proximity::AllowedRegion];
    let farthest =
        match preferred.into_iter().find(|farthest| within(*farthest) >= MIN_NEARBY_NODES) {
            Some(farthest) => farthest,
            None if within(Proximity::AllowedRegion) > 0 => Proximity::AllowedRegion,
            None => Proximity::OtherRegion,
        };
    let is_selected = |(_, proximity): &&(SocketAddr, Proximity)| *proximity <= farthest;
    let selected: Vec<SocketAddr> =
        nodes.iter().filter(is_selected).map(|(addr, _)| *addr).collect();
    selected.choose_multiple(&mut state.rng, MAX_ADDRESSES).copied().collect()
}

/// Proximity of a node to a caller, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    SameZone,
    SameRegion,
    /// In another region in which the caller's requests may run.
    AllowedRegion,
    OtherRegion,
}
