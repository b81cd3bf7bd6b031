//! Ranking of watchers by rendezvous hashing.
//!
//! Every node ranks alike without talking, and a change of one entry node
//! moves only the upstreams it watched or will watch. The hash is SipHash-1-3
//! with fixed keys from the `siphasher` crate: unlike the standard library's
//! hasher it is promised not to change, so nodes of two releases agree.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use smol_str::SmolStr;

fn weight(upstream: SocketAddr, entry: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    upstream.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

/// Returns the `count` watchers of `upstream` among `entries`.
///
/// The first is of the upstream's own zone where there is one, to keep probes
/// off the links between zones; the others are the heaviest elsewhere, so
/// that the loss of a zone's entry nodes does not leave the upstream unwatched.
pub fn watchers(
    upstream: SocketAddr,
    zone: &str,
    entries: &[(SocketAddr, SmolStr)],
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, &(SocketAddr, SmolStr))> =
        entries.iter().map(|entry| (weight(upstream, entry.0), entry)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let local = ranked.iter().position(|(_, (_, entry_zone))| entry_zone == zone);
    let mut chosen = Vec::with_capacity(count);
    if let Some(index) = local {
        chosen.push(ranked.remove(index).1 .0);
    }
    let (mut elsewhere, mut rest) = (Vec::new(), Vec::new());
    for (_, (addr, entry_zone)) in ranked {
        match entry_zone == zone {
            true => rest.push(*addr),
            false => elsewhere.push(*addr),
        }
    }
    chosen.extend(elsewhere);
    chosen.extend(rest);
    chosen.truncate(count);
    chosen
}
