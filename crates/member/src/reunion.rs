//! Brings the parts of a fleet together that do not know each other.
//!
//! The load pattern: a partition heals, or nodes that stopped come back, some of them the seeds that all
//! others would find each other through. Until its parts have met, each takes itself for the whole
//! fleet and grants whole quotas. Nodes that are unreachable are therefore pinged too, and a node that
//! comes back is told of all others.

use std::net::SocketAddr;

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use wire::{Body, Packet, Standing};

use crate::{member_update, Members, Outgoing, Peer};

/// On average, one in this many pings goes to a listed node that is dead or unknown, if there is
/// one.
///
/// Without these pings a healed partition stays split: each side considers the other dead, and no
/// node sends the first packet.
const PINGS_PER_RECONNECT: u32 = 4;

/// On average, one in this many pings goes to a peer that died or left, listed or not, if there is
/// one.
///
/// The listed nodes may all be gone when a partition heals, or when a node that left comes back.
const PINGS_PER_REMEMBERED_PEER_PING: u32 = 16;

/// Number of nodes that ping a missing seed in each interval, besides their regular pings. A part of the
/// fleet that has just started knows only its seeds, and must be found within half a second: until
/// then both parts take themselves for the whole.
const PINGS_TO_MISSING_SEEDS: f64 = 12.0;

/// Number of nodes that send all they know of the fleet to a node which has come back, as soon as they
/// hear of it.
const INTRODUCTIONS: f64 = 4.0;

impl Members {
    /// Returns a ping, besides the regular one, to a listed node that died or left. It may be back,
    /// with others that know no more of this part of the fleet than it does.
    pub(super) fn ping_missing_seed(&mut self) -> Option<Outgoing> {
        let missing: Vec<SocketAddr> =
            self.listed.keys().copied().filter(|addr| self.is_unreachable(*addr)).collect();
        let target = *missing.choose(&mut self.rng)?;
        if !self.is_among(PINGS_TO_MISSING_SEEDS) {
            return None;
        }
        let body = Body::Ping(self.take_seq());
        let members = self.peers.get(&target).map(|peer| member_update(target, peer));
        let members = members.into_iter().collect();
        Some(Outgoing { to: target, packet: Packet { body, members, ..self.bare_packet() } })
    }

    /// Sends all live members to a node that has come back, as a peer says: it may not know this part
    /// of the fleet.
    pub(super) fn introduce_fleet_to(&mut self, addr: SocketAddr, out: &mut Vec<Outgoing>) {
        if !self.leaving && self.is_among(INTRODUCTIONS) {
            self.send_full_state(addr, out);
        }
    }

    /// Returns true with such a probability that it is true at about `count` nodes of the fleet.
    fn is_among(&mut self, count: f64) -> bool {
        let probability = count / self.reachable_peers().count().max(1) as f64;
        self.rng.random_bool(probability.min(1.0))
    }

    /// Returns true for a known node that died or left.
    pub(super) fn is_unreachable(&self, addr: SocketAddr) -> bool {
        self.standing(addr).is_some_and(|standing| standing >= Standing::Dead)
    }

    /// Returns an unreachable node if it is the turn of one: a listed node that is dead or unknown, or
    /// a remembered one that died or left.
    pub(super) fn unreachable_ping_target(&mut self) -> Option<SocketAddr> {
        let (peers, rng) = (&self.peers, &mut self.rng);
        let is_unreachable = |peer: &Peer| peer.standing >= Standing::Dead;
        let is_isolated = peers.values().all(is_unreachable);
        let listed = self.listed.keys().filter(|addr| peers.get(addr).is_none_or(is_unreachable));
        let remembered = peers.iter().filter(|(_, peer)| is_unreachable(peer));
        if is_isolated {
            return listed.copied().chain(remembered.map(|(addr, _)| *addr)).choose(rng);
        }
        let (listed, remembered) =
            (listed.copied().choose(rng), remembered.map(|(addr, _)| *addr).choose(rng));
        match (listed, remembered) {
            (Some(addr), _) if rng.random_ratio(1, PINGS_PER_RECONNECT) => Some(addr),
            (_, Some(addr)) if rng.random_ratio(1, PINGS_PER_REMEMBERED_PEER_PING) => Some(addr),
            _ => None,
        }
    }

    /// Returns a packet that tells the sender of a packet that it counts as dead or left, so that it
    /// refutes this. Without it, the parts of a healed partition would meet pair by pair.
    pub(super) fn notice_of_death(&self, sender: SocketAddr) -> Option<Outgoing> {
        let peer = self.peers.get(&sender).filter(|peer| peer.standing >= Standing::Dead)?;
        let members = vec![member_update(sender, peer)];
        Some(Outgoing { to: sender, packet: Packet { members, ..self.bare_packet() } })
    }
}
