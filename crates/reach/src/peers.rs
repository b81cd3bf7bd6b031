//! Which peers take the requests of a node that is partitioned from the upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::Rng;
use smol_str::SmolStr;

/// Time for which a peer counts as partitioned after it last said so. Nodes repeat it well before.
const CLAIM_TTL: Duration = Duration::from_secs(10);

/// Time for which a peer that declined a request, or did not respond, gets none.
const DECLINE_TTL: Duration = Duration::from_secs(1);

/// Interval at which a partitioned node tells its peers again that it is.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(4);

/// What a node knows of its peers' paths to the upstreams, and what it has told them of its own.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    partitioned_until: HashMap<SocketAddr, Instant>,
    declined_until: HashMap<SocketAddr, Instant>,
    /// What this node last told, and when.
    announced: Option<(bool, Instant)>,
}

/// A peer that could take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
}

impl Peers {
    /// Records what a peer says of its paths.
    pub fn record_claim(&mut self, peer: SocketAddr, is_partitioned: bool, now: Instant) {
        match is_partitioned {
            true => self.partitioned_until.insert(peer, now + CLAIM_TTL),
            false => self.partitioned_until.remove(&peer),
        };
    }

    /// Records that a peer declined a request, or did not respond to the offer of one.
    pub fn record_declined(&mut self, peer: SocketAddr, now: Instant) {
        self.declined_until.insert(peer, now + DECLINE_TTL);
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.partitioned_until.retain(|_, until| *until > now);
        self.declined_until.retain(|_, until| *until > now);
    }

    /// Returns true if the peer has said that it is partitioned from the upstreams.
    pub fn is_partitioned(&self, peer: SocketAddr, now: Instant) -> bool {
        self.partitioned_until.get(&peer).is_some_and(|until| *until > now)
    }

    /// Returns the number of peers that are partitioned from the upstreams.
    pub fn partitioned_count(&self, now: Instant) -> usize {
        self.partitioned_until.values().filter(|until| **until > now).count()
    }

    /// Returns true if the peers are to be told now whether this node is partitioned.
    pub fn take_due_announcement(&mut self, is_partitioned: bool, now: Instant) -> bool {
        let is_due = match self.announced {
            None => is_partitioned,
            Some((told, _)) if told != is_partitioned => true,
            Some((told, at)) => told && now.saturating_duration_since(at) >= ANNOUNCE_INTERVAL,
        };
        if is_due {
            self.announced = Some((is_partitioned, now));
        }
        is_due
    }

    /// Returns the peers that may take a request of this node, in the order in which to offer it.
    ///
    /// Those of the own zone come first only if they outnumber the partitioned nodes there, this one
    /// included: the last nodes of a zone could not take the load of all others.
    pub fn ranked<R: Rng>(
        &self,
        candidates: impl Iterator<Item = Candidate>,
        own_zone: &str,
        now: Instant,
        rng: &mut R,
    ) -> Vec<SocketAddr> {
        let (partitioned, mut free): (Vec<Candidate>, Vec<Candidate>) =
            candidates.partition(|peer| self.is_partitioned(peer.addr, now));
        let partitioned_in_zone = 1 + partitioned.iter().filter(|p| p.zone == own_zone).count();
        let free_in_zone = free.iter().filter(|p| p.zone == own_zone).count();
        let has_declined =
            |addr: SocketAddr| self.declined_until.get(&addr).is_some_and(|until| *until > now);
        free.retain(|peer| !has_declined(peer.addr));
        free.shuffle(rng);
        if free_in_zone > partitioned_in_zone {
            free.sort_by_key(|peer| peer.zone != own_zone);
        }
        free.into_iter().map(|peer| peer.addr).collect()
    }
}

#[cfg(test)]
mod tests;
