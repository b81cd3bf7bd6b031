//! Which nodes send to a rate-limited upstream, and at what rate each.
//!
//! An upstream may tell hundreds of nodes that it takes one request per second from all of them
//! together. If each node sends one per second, it gets hundreds; if each node accumulates a small
//! fraction of a request, the requests of all nodes arrive in one burst.
//!
//! Therefore a few nodes own each upstream and share its limit, and the others send it nothing.
//! Every node computes the same owners on its own, so no node needs to know what another has sent.
//! While nodes disagree about which nodes exist, there may be too many owners; the tolerance of
//! upstreams covers that.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::Start;
use siphasher::sip::SipHasher13;

use crate::PerKs;

/// Minimum number of owners of an upstream, if there are as many nodes: one may have died
/// unnoticed.
const MIN_OWNERS: usize = 2;

/// Longest time for which an idle owner accumulates unused requests; it can always accumulate one.
const MAX_BURST_DURATION: Duration = Duration::from_millis(250);

/// The nodes that may send, as one of them knows them, and the zones of upstreams.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// Address and availability zone of this node.
    pub me: (SocketAddr, &'a str),
    /// Addresses and availability zones of the other live nodes.
    pub others: Vec<(SocketAddr, &'a str)>,
    /// Availability zones of upstreams. Nodes of other zones send to an upstream when their own
    /// zone's upstreams are full.
    pub zones: HashMap<Start, &'a str>,
}

impl Fleet<'_> {
    /// Returns the requests per second that this node may send to an upstream that takes `per_ks`
    /// from all nodes together; `None` when this node is not an owner.
    pub fn share(&self, start: Start, per_ks: PerKs) -> Option<f64> {
        let own_rank = self.rank(self.me, start);
        let is_ahead = |other: &&(SocketAddr, &str)| self.rank(**other, start) < own_rank;
        let ahead = self.others.iter().filter(is_ahead).count();
        let per_s = per_ks as f64 / 1e3;
        let owners = (per_s as usize).max(MIN_OWNERS).min(1 + self.others.len());
        (ahead < owners).then(|| per_s / owners as f64)
    }

    /// Returns a node's rank for an upstream; the lowest ranks own it. Nodes in the upstream's zone
    /// rank first.
    fn rank(&self, (addr, zone): (SocketAddr, &str), start: Start) -> (bool, u64) {
        let mut hasher = SipHasher13::new();
        (start, addr).hash(&mut hasher);
        (self.zones.get(&start) != Some(&zone), hasher.finish())
    }
}

/// A token bucket that bounds what this node sends to one limited upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    per_s: f64,
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket with rate 0. It starts empty because this node may replace another
    /// owner that has just sent.
    pub(crate) fn new(now: Instant) -> Bucket {
        Bucket { per_s: 0.0, tokens: 0.0, updated_at: now }
    }

    fn tokens(&self, now: Instant) -> f64 {
        let capacity = (self.per_s * MAX_BURST_DURATION.as_secs_f64()).max(1.0);
        let added = now.saturating_duration_since(self.updated_at).as_secs_f64() * self.per_s;
        (self.tokens + added).min(capacity)
    }

    /// Sets the rate in requests per second; `None` means that nothing may be sent.
    pub(crate) fn set_rate(&mut self, per_s: Option<f64>, now: Instant) {
        let per_s = per_s.unwrap_or(0.0);
        let tokens = if per_s > 0.0 { self.tokens(now) } else { 0.0 };
        *self = Bucket { per_s, tokens, updated_at: now };
    }

    /// Returns true when a request may be sent now.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Returns when the next request may be sent; `None` when the rate is 0.
    pub(crate) fn allows_at(&self, now: Instant) -> Option<Instant> {
        let wait_s = (1.0 - self.tokens(now)).max(0.0) / self.per_s;
        Duration::try_from_secs_f64(wait_s).ok().map(|wait| now + wait)
    }

    /// Takes the token of one request.
    pub(crate) fn take(&mut self, now: Instant) {
        self.tokens = self.tokens(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the rate in requests per second.
    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }
}

#[cfg(test)]
mod tests;
