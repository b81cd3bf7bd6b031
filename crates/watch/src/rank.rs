//! Ranks watchers by rendezvous hashing.
//!
//! Every node computes the same ranking without communication, and adding or
//! removing an entry node reassigns only the upstreams that it will watch or
//! has watched. The hash is SipHash-1-3 with fixed keys from the `siphasher`
//! crate, which, unlike the standard library's hasher, guarantees that its
//! result does not change, so nodes of different releases agree.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use smol_str::SmolStr;

fn score(upstream: SocketAddr, entry: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    upstream.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

/// Returns the `count` watchers of `upstream` among `entries`.
///
/// The first is in the upstream's own `zone` if that has an entry node, to
/// keep probes within the zone. The others are the highest ranked ones outside
/// it, so that losing all entry nodes of a zone does not leave the upstream
/// unwatched; those of the zone follow when there are too few. Returns fewer
/// than `count` watchers if there are fewer entry nodes.
pub fn watchers(
    upstream: SocketAddr,
    zone: &str,
    entries: &[(SocketAddr, SmolStr)],
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, &(SocketAddr, SmolStr))> =
        entries.iter().map(|entry| (score(upstream, entry.0), entry)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let local = ranked.iter().position(|(_, (_, entry_zone))| entry_zone == zone);
    let mut chosen = Vec::with_capacity(count);
    if let Some(index) = local {
        chosen.push(ranked.remove(index).1 .0);
    }
    let (mut elsewhere, mut same_zone) = (Vec::new(), Vec::new());
    for (_, (addr, entry_zone)) in ranked {
        match entry_zone == zone {
            true => same_zone.push(*addr),
            false => elsewhere.push(*addr),
        }
    }
    chosen.extend(elsewhere);
    chosen.extend(same_zone);
    chosen.truncate(count);
    chosen
}
