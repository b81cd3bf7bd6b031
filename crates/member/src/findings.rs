//! Findings on requests that crash upstreams, as they travel.
//!
//! What they say is the business of the crate `quarantine`. Here each is told to a few peers as soon as
//! it is news, rides on pings like other news, and a peer that holds back other requests than this
//! node is told all.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::{Finding, NewFinding};
use rand::seq::IteratorRandom;
use wire::{Packet, Sender};

use crate::{queue, Event, Members, Outgoing};

/// Peers told at once of what is news to this node: each of them does the same. With four, one node in
/// fifty is told by none, and a fleet of 312 knows after five steps of a few milliseconds.
const TOLD_AT_ONCE: usize = 4;

/// A peer whose digest differs is told all findings this often at most: while news is spreading, the
/// digests of most nodes differ for a moment.
const TOLD_ALL_EVERY: Duration = Duration::from_millis(700);

impl Members {
    /// Tells peers from now on, with each packet, the digest of the requests that this node holds back.
    pub fn set_held_digest(&mut self, held_digest: u64) {
        self.me.held_digest = held_digest;
    }

    /// Spreads what is known of a request that crashed upstreams: a few peers are told at once, and
    /// what is of weight rides on pings too.
    pub fn spread(&mut self, news: NewFinding) -> Vec<Outgoing> {
        if news.must_reach_all {
            self.queue.push_finding(news.finding.clone());
        }
        self.tell_a_few(Packet { findings: vec![news.finding], ..self.news() })
    }

    /// Sends a packet to a few peers.
    pub(crate) fn tell_a_few(&mut self, packet: Packet) -> Vec<Outgoing> {
        if self.leaving {
            return Vec::new();
        }
        let reachable: Vec<SocketAddr> = self.reachable().collect();
        let told = reachable.into_iter().choose_multiple(&mut self.rng, TOLD_AT_ONCE);
        told.into_iter().map(|to| Outgoing { to, packet: packet.clone() }).collect()
    }

    /// Tells a peer all findings.
    pub fn tell_all(
        &mut self,
        to: SocketAddr,
        findings: Vec<Finding>,
        now: Instant,
    ) -> Vec<Outgoing> {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.told_all_at = Some(now);
        }
        let parts = queue::split_findings(&self.me, findings);
        let outgoing = |findings| Outgoing { to, packet: Packet { findings, ..self.news() } };
        parts.into_iter().map(outgoing).collect()
    }

    /// Takes the findings of a packet, and notices that its sender knows something else.
    pub(crate) fn hear_findings(&mut self, from: &Sender, findings: Vec<Finding>, now: Instant) {
        self.events.extend(findings.into_iter().map(Event::Finding));
        if from.held_digest != self.me.held_digest && self.may_tell_all(from.addr, now) {
            self.events.push(Event::Differs { addr: from.addr, held_digest: from.held_digest });
        }
    }

    fn may_tell_all(&self, to: SocketAddr, now: Instant) -> bool {
        let told_at = self.peers.get(&to).and_then(|peer| peer.told_all_at);
        told_at.is_none_or(|at| now.duration_since(at) >= TOLD_ALL_EVERY)
    }
}
