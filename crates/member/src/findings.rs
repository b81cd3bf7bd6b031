//! Dissemination of findings about requests that crash upstreams.
//!
//! The crate `quarantine` interprets findings; this module only distributes them. A new finding is
//! sent to a few peers immediately and, if it matters to all nodes, piggybacked on pings like other
//! updates. A peer that quarantines other requests than this node is sent all findings.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::{Finding, NewFinding};
use rand::seq::IteratorRandom;
use wire::{Packet, Sender};

use crate::{queue, Event, Members, Outgoing};

/// Number of peers that are sent an update immediately when it is new to this node.
///
/// Each of them does the same. With a fanout of 4, one node in fifty receives no such packet, and
/// the rest of a fleet of 312 has the update after five hops of a few milliseconds each.
const IMMEDIATE_FANOUT: usize = 4;

/// Minimum interval between two transfers of all findings to a peer whose digest differs.
///
/// While a finding spreads, the digests of most nodes differ for a moment.
const MIN_FULL_TRANSFER_INTERVAL: Duration = Duration::from_millis(700);

impl Members {
    /// Sets the digest of the requests that this node quarantines, reported in each later packet.
    pub fn set_held_digest(&mut self, held_digest: u64) {
        self.local.held_digest = held_digest;
    }

    /// Broadcasts a finding about a request that crashed upstreams.
    ///
    /// Returns packets that send it to a few peers immediately. One that must reach all nodes is
    /// also queued to be piggybacked on pings.
    pub fn broadcast_finding(&mut self, new_finding: NewFinding) -> Vec<Outgoing> {
        if new_finding.must_reach_all {
            self.queue.push_finding(new_finding.finding.clone());
        }
        self.send_immediately(Packet { findings: vec![new_finding.finding], ..self.bare_packet() })
    }

    /// Addresses a packet to a few reachable peers, chosen at random.
    pub(crate) fn send_immediately(&mut self, packet: Packet) -> Vec<Outgoing> {
        if self.leaving {
            return Vec::new();
        }
        let reachable_peers: Vec<SocketAddr> = self.reachable_peers().collect();
        let recipients =
            reachable_peers.into_iter().choose_multiple(&mut self.rng, IMMEDIATE_FANOUT);
        recipients.into_iter().map(|to| Outgoing { to, packet: packet.clone() }).collect()
    }

    /// Returns packets that send `findings`, all that this node has, to one peer.
    ///
    /// For a short while afterwards the peer causes no [`Event::DigestMismatch`].
    pub fn send_findings(
        &mut self,
        to: SocketAddr,
        findings: Vec<Finding>,
        now: Instant,
    ) -> Vec<Outgoing> {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.findings_sent_at = Some(now);
        }
        let parts = queue::split_findings(&self.local, findings);
        let outgoing =
            |findings| Outgoing { to, packet: Packet { findings, ..self.bare_packet() } };
        parts.into_iter().map(outgoing).collect()
    }

    /// Emits events for the findings of a packet, and for a sender whose digest differs from this
    /// node's.
    pub(crate) fn handle_findings(&mut self, from: &Sender, findings: Vec<Finding>, now: Instant) {
        self.events.extend(findings.into_iter().map(Event::Finding));
        if from.held_digest != self.local.held_digest && self.may_send_findings(from.addr, now) {
            self.events
                .push(Event::DigestMismatch { addr: from.addr, held_digest: from.held_digest });
        }
    }

    fn may_send_findings(&self, to: SocketAddr, now: Instant) -> bool {
        let sent_at = self.peers.get(&to).and_then(|peer| peer.findings_sent_at);
        sent_at.is_none_or(|at| now.duration_since(at) >= MIN_FULL_TRANSFER_INTERVAL)
    }
}
