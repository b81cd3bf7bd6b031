//! Which nodes send to an upstream that takes few requests, and how many each.
//!
//! The load pattern: hundreds of nodes are told by one upstream that it takes one request a second from
//! all of them. One a second each is hundreds; a part of it each, saved up, comes at once.
//!
//! A few nodes, which each node works out alike, therefore own an upstream and share its limit; the
//! others send it nothing. No node needs to hear what another has sent. While nodes differ in whom they
//! know there may be owners too many, for which there is room in what the upstream tolerates.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::Start;
use siphasher::sip::SipHasher13;

use crate::PerKs;

/// Owners of an upstream, if there are as many nodes: one may have died unnoticed.
const OWNERS_LEAST: usize = 2;

/// What an owner may save up while it has nothing to send, and at least one request.
const SAVED_FOR: Duration = Duration::from_millis(250);

/// The nodes that may send, as one of them knows them, and where upstreams are.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// This node and its availability zone.
    pub me: (SocketAddr, &'a str),
    /// The others that are alive.
    pub others: Vec<(SocketAddr, &'a str)>,
    /// Availability zones of upstreams. Nodes of other zones send there when theirs are full.
    pub zones: HashMap<Start, &'a str>,
}

impl Fleet<'_> {
    /// Returns the requests a second that this node may send to an upstream that takes `per_ks` from all
    /// nodes; `None` when it is no owner.
    pub fn share(&self, start: Start, per_ks: PerKs) -> Option<f64> {
        let mine = self.order(self.me, start);
        let is_ahead = |other: &&(SocketAddr, &str)| self.order(**other, start) < mine;
        let ahead = self.others.iter().filter(is_ahead).count();
        let per_s = per_ks as f64 / 1e3;
        let owners = (per_s as usize).max(OWNERS_LEAST).min(1 + self.others.len());
        (ahead < owners).then(|| per_s / owners as f64)
    }

    /// Returns how early a node owns an upstream, the least first.
    fn order(&self, (addr, zone): (SocketAddr, &str), start: Start) -> (bool, u64) {
        let mut hasher = SipHasher13::new();
        (start, addr).hash(&mut hasher);
        (self.zones.get(&start) != Some(&zone), hasher.finish())
    }
}

/// What an owner may send now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    per_s: f64,
    saved: f64,
    at: Instant,
}

impl Allowance {
    /// Creates the allowance of a node that has saved nothing: it may take another's place, which has
    /// just sent.
    pub(crate) fn new(now: Instant) -> Allowance {
        Allowance { per_s: 0.0, saved: 0.0, at: now }
    }

    fn saved(&self, now: Instant) -> f64 {
        let most = (self.per_s * SAVED_FOR.as_secs_f64()).max(1.0);
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * self.per_s;
        (self.saved + earned).min(most)
    }

    /// Takes how many requests a second it may send from now on.
    pub(crate) fn set(&mut self, per_s: Option<f64>, now: Instant) {
        let per_s = per_s.unwrap_or(0.0);
        let saved = if per_s > 0.0 { self.saved(now) } else { 0.0 };
        *self = Allowance { per_s, saved, at: now };
    }

    /// Returns true when it allows a request now.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.saved(now) >= 1.0
    }

    /// Returns when it allows the next one; `None` when it never does.
    pub(crate) fn allows_at(&self, now: Instant) -> Option<Instant> {
        let wait_s = (1.0 - self.saved(now)).max(0.0) / self.per_s;
        Duration::try_from_secs_f64(wait_s).ok().map(|wait| now + wait)
    }

    /// Takes one request out of it.
    pub(crate) fn take(&mut self, now: Instant) {
        self.saved = self.saved(now) - 1.0;
        self.at = now;
    }

    /// Returns the requests a second that this node may send.
    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }
}

#[cfg(test)]
mod tests;
