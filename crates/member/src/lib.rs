//! Membership of entry nodes, and dissemination of what they learn.
//!
//! [`Members`] is a SWIM-style failure detector. Each node pings one peer per interval. A peer that
//! does not respond is pinged through other peers, then suspected, and then declared dead unless it
//! refutes this with a higher incarnation. Membership updates, [`wire::HealthReport`]s,
//! [`Finding`]s and [`Notice`]s are piggybacked on these packets, each a limited number of times
//! ([`queue`]), so that the cost per node does not grow with the fleet. Findings are also sent
//! immediately to a few peers, and to a peer whose digest differs: a node that was partitioned has
//! missed them.
//!
//! It owns no socket and no clock: the calling task feeds it datagrams and the time, and sends the
//! packets that it returns. No mutual exclusion depends on this view: a wrong view (of a paused or
//! partitioned node) costs latency but breaks no guarantee. The probe budget is therefore based on
//! the platform's list (crate `watch`).

mod findings;
mod health_reports;
mod isolation;
mod notices;
mod queue;
mod reunion;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use notice::Notice;
use quarantine::Finding;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::Rng;
use smol_str::SmolStr;
use wire::{Body, HealthReport, Incarnation, MemberUpdate, Packet, PingSeq, Sender, Standing};

pub use crate::isolation::Isolation;

use crate::health_reports::HealthReports;
use crate::queue::BroadcastQueue;

/// Number of peers that are asked to ping a peer that did not respond directly.
const INDIRECT_PING_HELPERS: usize = 2;

/// On average, one in this many pings goes to another zone, if there are peers in the own zone.
///
/// Traffic between zones is billed. With targets chosen regardless of zone, four fifths of the
/// pings in a fleet of five zones crossed zones, with their piggybacked updates: 52 MB in a minute
/// with two starts of 312 nodes. One cross-zone ping per node every two seconds is enough to carry
/// updates between zones, and does not change how often each node is pinged.
const PINGS_PER_CROSS_ZONE_PING: u32 = 4;

/// Number of peers that are sent a newer head immediately, among those not known to have it.
///
/// A peer that is behind then reads the change from the platform and notifies as many peers itself.
const HEADS_FANOUT: usize = 6;

/// Maximum number of unacknowledged pings on behalf of peers; beyond it the oldest is dropped.
const MAX_RELAYED_PINGS: usize = 64;

/// Intervals, timeouts and TTLs of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval at which the node pings one peer.
    pub ping_interval: Duration,
    /// Time without an acknowledgement after which other peers are asked to ping the target.
    pub ack_timeout: Duration,
    /// Time after which a suspect that has not refuted the suspicion is declared dead.
    pub suspicion_timeout: Duration,
    /// Time after which a dead or left node that the platform does not list is removed.
    pub dead_peer_ttl: Duration,
    /// Time after which a health report that its watcher has not repeated expires.
    pub health_report_ttl: Duration,
}

impl Default for Timing {
    /// Returns the production values.
    ///
    /// A node is declared dead about 4 s after it stops: one or two intervals until some peer pings
    /// it, one interval without an acknowledgement, and 3 s of suspicion.
    fn default() -> Self {
        Timing {
            ping_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_secs(3),
            dead_peer_ttl: Duration::from_secs(600),
            health_report_ttl: Duration::from_secs(30),
        }
    }
}

/// A packet to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination address.
    pub to: SocketAddr,
    /// Packet to encode and send.
    pub packet: Packet,
}

/// A change that the caller of [`Members`] acts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer's standing changed, or the peer is new.
    PeerChanged {
        /// Address of the peer.
        addr: SocketAddr,
        /// Its zone.
        zone: SmolStr,
        /// Its standing from now on.
        standing: Standing,
    },
    /// A peer that died or left long ago was removed.
    PeerRemoved {
        /// Address of the peer.
        addr: SocketAddr,
    },
    /// A peer reports up to which commits it has the config and the list of upstreams.
    PeerHeads {
        /// Address of the peer.
        addr: SocketAddr,
        /// Highest commit of the config that the peer has.
        config_head: u64,
        /// Highest commit of the list of upstreams that the peer has.
        list_head: u64,
    },
    /// Another node's health report on an upstream is new or repeated, or has expired (then
    /// `Healthy`).
    HealthReport(HealthReport),
    /// Another node sent a finding about a request that crashed upstreams.
    Finding(Finding),
    /// Another node sent what an upstream states about itself.
    Notice(Notice),
    /// A peer's digest of quarantined requests differs from this node's, as last given to
    /// [`Members::set_held_digest`], and the peer was not sent all findings recently.
    DigestMismatch {
        /// Address of the peer.
        addr: SocketAddr,
        /// Digest of the requests that the peer quarantines.
        held_digest: u64,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    standing: Standing,
    zone: SmolStr,
    standing_since: Instant,
    config_head: u64,
    list_head: u64,
    /// Whether the peer itself has sent its heads; false for a peer known only from other nodes.
    heads_received: bool,
    /// When the peer was last sent all findings.
    findings_sent_at: Option<Instant>,
}

/// The node's own last ping, while its acknowledgement has not arrived.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    target: SocketAddr,
    seq: PingSeq,
    sent_at: Instant,
    helpers_asked: bool,
}

/// A ping sent on behalf of the peer `requester`, which gets the acknowledgement under its own
/// sequence number `requester_seq`.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    local_seq: PingSeq,
    requester: SocketAddr,
    requester_seq: PingSeq,
}

/// Membership state of one node.
pub struct Members {
    local: Sender,
    timing: Timing,
    rng: SmallRng,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Entry nodes that the platform lists, with their zones: pinged to join the fleet and to heal
    /// a partition.
    listed: BTreeMap<SocketAddr, SmolStr>,
    queue: BroadcastQueue,
    health_reports: HealthReports,
    /// Peers of the own zone that are still to be pinged in this round, each once.
    same_zone_round: Vec<SocketAddr>,
    /// The same for peers of other zones.
    cross_zone_round: Vec<SocketAddr>,
    pending_ping: Option<PendingPing>,
    next_ping_at: Option<Instant>,
    next_seq: PingSeq,
    relayed_pings: Vec<RelayedPing>,
    leaving: bool,
    notice_limiter: notices::NoticeLimiter,
    events: Vec<Event>,
}

impl Members {
    /// Creates the state of a node that has no peers yet.
    ///
    /// `incarnation` should be the wall clock in Unix milliseconds. Peers that did not notice a
    /// quick restart then see a new incarnation and send the node their full state. If the wall
    /// clock has stepped back, the node learns of its previous incarnation from peers and raises
    /// its own above it.
    pub fn new(
        addr: SocketAddr,
        zone: SmolStr,
        incarnation: Incarnation,
        timing: Timing,
        rng: SmallRng,
    ) -> Members {
        Members {
            local: Sender { addr, incarnation, zone, config_head: 0, list_head: 0, held_digest: 0 },
            timing,
            rng,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            queue: BroadcastQueue::default(),
            health_reports: HealthReports::default(),
            same_zone_round: Vec::new(),
            cross_zone_round: Vec::new(),
            pending_ping: None,
            next_ping_at: None,
            next_seq: 0,
            relayed_pings: Vec::new(),
            leaving: false,
            notice_limiter: notices::NoticeLimiter::default(),
            events: Vec::new(),
        }
    }

    /// Replaces the platform's list of entry nodes with their zones; this node itself is skipped.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = (SocketAddr, SmolStr)>) {
        let local_addr = self.local.addr;
        self.listed = listed.into_iter().filter(|(addr, _)| *addr != local_addr).collect();
    }

    /// Sets the highest commit of the config that this node has, reported in each later packet.
    pub fn set_config_head(&mut self, head: u64) {
        self.local.config_head = head;
    }

    /// Sets the highest commits of the config and of the list of upstreams that this node has.
    ///
    /// If either has advanced and `notify` is set, returns packets that notify a few peers
    /// immediately. Pings alone would take about a second, and a peer whose own source of changes
    /// is down must notice sooner. Only nodes that read the change from the platform itself should
    /// set `notify`: when every node of a fleet of 300 notified six peers of every change, these
    /// packets were most of the traffic between zones.
    pub fn set_heads(&mut self, config_head: u64, list_head: u64, notify: bool) -> Vec<Outgoing> {
        let has_advanced = config_head > self.local.config_head || list_head > self.local.list_head;
        self.local.config_head = config_head;
        self.local.list_head = list_head;
        if !has_advanced || !notify || self.leaving {
            return Vec::new();
        }
        // Peers that are known to have both heads need no notification.
        let is_behind = |peer: &Peer| {
            peer.standing <= Standing::Suspect
                && (peer.config_head < config_head || peer.list_head < list_head)
        };
        let peers = self.peers.iter().filter(|(_, peer)| is_behind(peer)).map(|(addr, _)| *addr);
        let recipients = peers.choose_multiple(&mut self.rng, HEADS_FANOUT);
        recipients.into_iter().map(|to| self.build_packet(to, Body::Gossip)).collect()
    }

    /// Records this node's own verdict on an upstream and queues it as a health report for all
    /// peers.
    ///
    /// `unix_ms` is the wall clock: the sequence numbers of the reports start at it.
    pub fn report_health(
        &mut self,
        upstream: SocketAddr,
        verdict: wire::Verdict,
        unix_ms: u64,
        now: Instant,
    ) {
        let report =
            self.health_reports.record_own(upstream, self.local.addr, verdict, unix_ms, now);
        self.queue.push_health_report(report);
    }

    /// Returns the standing of the peer at `addr`, or `None` for an unknown peer.
    pub fn standing(&self, addr: SocketAddr) -> Option<Standing> {
        self.peers.get(&addr).map(|peer| peer.standing)
    }

    /// Returns the addresses of the peers that are alive or suspect.
    pub fn reachable_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.iter().filter(|(_, p)| p.standing <= Standing::Suspect).map(|(addr, _)| *addr)
    }

    /// Returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Advances the state to `now` and returns the packets to send.
    ///
    /// Pings peers, directly and through others, declares overdue suspects dead, removes expired
    /// peers, and repeats or expires health reports. Must be called several times per
    /// [`Timing::ack_timeout`].
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if self.leaving {
            return out;
        }
        self.declare_dead(now);
        self.remove_expired(now);
        for due in self.health_reports.tick(self.local.addr, now, self.timing.health_report_ttl) {
            match due {
                health_reports::Due::Repeat(report) => self.queue.push_health_report(report),
                health_reports::Due::Expired(report) => {
                    self.events.push(Event::HealthReport(report))
                }
            }
        }
        self.send_indirect_pings(now, &mut out);
        if self.next_ping_at.is_none_or(|at| at <= now) {
            self.next_ping_at = Some(now + self.timing.ping_interval);
            self.suspect_unresponsive(now);
            if let Some(target) = self.next_ping_target() {
                out.push(self.start_ping(target, now));
            }
            out.extend(self.ping_missing_seed());
        }
        out
    }

    /// Handles a packet received from `from` and returns the packets to send.
    ///
    /// Ignores a packet whose sender address is not `from`.
    pub fn receive(&mut self, from: SocketAddr, packet: Packet, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        // The sender address in the packet must match the source of the datagram: otherwise a
        // reply would go to a node that did not ask for it.
        if from != packet.sender.addr || from == self.local.addr {
            return out;
        }
        let is_new_incarnation = self.record_sender(&packet.sender, now);
        for update in &packet.members {
            let was_unreachable = self.is_unreachable(update.addr);
            self.merge_update(update, now);
            if was_unreachable && !self.is_unreachable(update.addr) {
                self.introduce_fleet_to(update.addr, &mut out);
            }
        }
        out.extend(self.notice_of_death(from));
        for report in &packet.health_reports {
            if report.watcher != self.local.addr && self.health_reports.merge(*report, now) {
                self.queue.push_health_report(*report);
                self.events.push(Event::HealthReport(*report));
            }
        }
        self.events.extend(packet.notices.into_iter().map(Event::Notice));
        self.handle_findings(&packet.sender, packet.findings, now);
        if is_new_incarnation && !self.leaving {
            self.send_full_state(from, &mut out);
        }
        match packet.body {
            Body::Ping(seq) if !self.leaving => out.push(self.build_packet(from, Body::Ack(seq))),
            Body::Ack(seq) => self.handle_ack(from, seq, &mut out),
            Body::PingReq(requester_seq, target) if !self.leaving && target != self.local.addr => {
                let local_seq = self.take_seq();
                if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
                    self.relayed_pings.remove(0);
                }
                self.relayed_pings.push(RelayedPing { local_seq, requester: from, requester_seq });
                out.push(self.build_packet(target, Body::Ping(local_seq)));
            }
            Body::Ping(_) | Body::PingReq(..) | Body::Gossip => {}
        }
        out
    }

    /// Returns packets that tell every reachable peer that this node leaves.
    ///
    /// Afterwards the node starts no pings and acknowledges none. Without this announcement, peers
    /// would keep listing the node to callers until they declare it dead, seconds after it stopped.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.leaving = true;
        let update = MemberUpdate {
            addr: self.local.addr,
            incarnation: self.local.incarnation,
            standing: Standing::Left,
            zone: self.local.zone.clone(),
        };
        let peers: Vec<SocketAddr> = self.reachable_peers().collect();
        peers
            .into_iter()
            .map(|to| Outgoing {
                to,
                packet: Packet { members: vec![update.clone()], ..self.bare_packet() },
            })
            .collect()
    }

    /// Records that the sender of a packet is alive, and its heads.
    ///
    /// Returns true when the sender was unknown or has a higher incarnation than before.
    fn record_sender(&mut self, sender: &Sender, now: Instant) -> bool {
        let known = self.peers.get(&sender.addr).map(|p| (p.incarnation, p.standing));
        match known {
            // The packet clears this node's own suspicion; the peer refutes that of other nodes
            // itself. A dead or left member only returns with a higher incarnation: a delayed
            // datagram of its previous incarnation must not revive it.
            Some((incarnation, Standing::Suspect)) if sender.incarnation == incarnation => {
                self.set_standing(sender.addr, Standing::Alive, now);
            }
            _ => {}
        }
        // A new incarnation starts without config, so its heads may be lower than before.
        let is_new_incarnation =
            known.is_none_or(|(incarnation, _)| sender.incarnation > incarnation);
        self.merge_update(
            &MemberUpdate {
                addr: sender.addr,
                incarnation: sender.incarnation,
                standing: Standing::Alive,
                zone: sender.zone.clone(),
            },
            now,
        );
        match self.peers.get_mut(&sender.addr) {
            Some(peer)
                if is_new_incarnation
                    || !peer.heads_received
                    || sender.config_head > peer.config_head
                    || sender.list_head > peer.list_head =>
            {
                peer.config_head = sender.config_head;
                peer.list_head = sender.list_head;
                peer.heads_received = true;
                self.events.push(Event::PeerHeads {
                    addr: sender.addr,
                    config_head: sender.config_head,
                    list_head: sender.list_head,
                });
            }
            _ => {}
        }
        is_new_incarnation
    }

    /// Merges one membership update: the higher (incarnation, standing) wins.
    fn merge_update(&mut self, update: &MemberUpdate, now: Instant) {
        if update.addr == self.local.addr {
            return self.refute(update);
        }
        let is_newer = match self.peers.get_mut(&update.addr) {
            Some(peer)
                if (update.incarnation, update.standing) > (peer.incarnation, peer.standing) =>
            {
                peer.incarnation = update.incarnation;
                if !update.zone.is_empty() {
                    peer.zone = update.zone.clone();
                }
                if peer.standing != update.standing {
                    peer.standing = update.standing;
                    peer.standing_since = now;
                }
                true
            }
            Some(_) => false,
            // The death of a node that was never known needs no entry.
            None if update.standing >= Standing::Dead => false,
            None => {
                self.peers.insert(
                    update.addr,
                    Peer {
                        incarnation: update.incarnation,
                        standing: update.standing,
                        zone: update.zone.clone(),
                        standing_since: now,
                        config_head: 0,
                        list_head: 0,
                        heads_received: false,
                        findings_sent_at: None,
                    },
                );
                true
            }
        };
        if is_newer {
            self.announce(update.addr);
        }
    }

    /// Raises this node's incarnation to refute an update that calls it suspect, dead or left, or
    /// that has a higher incarnation than its own.
    fn refute(&mut self, update: &MemberUpdate) {
        let needs_refuting =
            update.standing != Standing::Alive || update.incarnation > self.local.incarnation;
        if needs_refuting && update.incarnation >= self.local.incarnation && !self.leaving {
            self.local.incarnation = update.incarnation + 1;
            self.queue.push_member(MemberUpdate {
                addr: self.local.addr,
                incarnation: self.local.incarnation,
                standing: Standing::Alive,
                zone: self.local.zone.clone(),
            });
        }
    }

    /// Queues the peer's state for all peers and emits an event.
    fn announce(&mut self, addr: SocketAddr) {
        let Some(peer) = self.peers.get(&addr) else { return };
        self.events.push(Event::PeerChanged {
            addr,
            zone: peer.zone.clone(),
            standing: peer.standing,
        });
        self.queue.push_member(member_update(addr, peer));
    }

    fn set_standing(&mut self, addr: SocketAddr, standing: Standing, now: Instant) {
        match self.peers.get_mut(&addr) {
            Some(peer) if peer.standing != standing => {
                peer.standing = standing;
                peer.standing_since = now;
                self.announce(addr);
            }
            _ => {}
        }
    }

    fn declare_dead(&mut self, now: Instant) {
        let overdue: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.standing == Standing::Suspect
                    && now.duration_since(p.standing_since) >= self.timing.suspicion_timeout
            })
            .map(|(addr, _)| *addr)
            .collect();
        for addr in overdue {
            self.set_standing(addr, Standing::Dead, now);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let (listed, ttl) = (&self.listed, self.timing.dead_peer_ttl);
        let expired: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(addr, peer)| {
                peer.standing >= Standing::Dead
                    && !listed.contains_key(addr)
                    && now.duration_since(peer.standing_since) >= ttl
            })
            .map(|(addr, _)| *addr)
            .collect();
        for addr in expired {
            self.peers.remove(&addr);
            self.events.push(Event::PeerRemoved { addr });
        }
    }

    /// Suspects the target of the last ping if no acknowledgement has arrived.
    fn suspect_unresponsive(&mut self, now: Instant) {
        let Some(ping) = self.pending_ping.take() else { return };
        if self.standing(ping.target) == Some(Standing::Alive) {
            self.set_standing(ping.target, Standing::Suspect, now);
        }
    }

    fn send_indirect_pings(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let unacknowledged = match &mut self.pending_ping {
            Some(ping)
                if !ping.helpers_asked
                    && now.duration_since(ping.sent_at) >= self.timing.ack_timeout =>
            {
                ping.helpers_asked = true;
                *ping
            }
            _ => return,
        };
        let helpers = self
            .peers
            .iter()
            .filter(|(addr, p)| p.standing == Standing::Alive && **addr != unacknowledged.target)
            .map(|(addr, _)| *addr)
            .choose_multiple(&mut self.rng, INDIRECT_PING_HELPERS);
        for helper in helpers {
            out.push(
                self.build_packet(helper, Body::PingReq(unacknowledged.seq, unacknowledged.target)),
            );
        }
    }

    /// Chooses the target of the next ping.
    ///
    /// Every reachable peer of the own zone, and of the other zones, has its turn once per round,
    /// in random order. Now and then the target is an unreachable node.
    fn next_ping_target(&mut self) -> Option<SocketAddr> {
        if let Some(target) = self.unreachable_ping_target() {
            return Some(target);
        }
        let same_zone = !self.rng.random_ratio(1, PINGS_PER_CROSS_ZONE_PING);
        self.next_in_round(same_zone).or_else(|| self.next_in_round(!same_zone))
    }

    /// Returns the next peer of the round in the own zone (`same_zone`) or in the other zones.
    fn next_in_round(&mut self, same_zone: bool) -> Option<SocketAddr> {
        let mut round = std::mem::take(if same_zone {
            &mut self.same_zone_round
        } else {
            &mut self.cross_zone_round
        });
        if round.is_empty() {
            let is_candidate = |peer: &Peer| {
                peer.standing <= Standing::Suspect && (peer.zone == self.local.zone) == same_zone
            };
            let candidates = self.peers.iter().filter(|(_, peer)| is_candidate(peer));
            round = candidates.map(|(addr, _)| *addr).collect();
            round.shuffle(&mut self.rng);
        }
        let mut next = None;
        while let (None, Some(addr)) = (next, round.pop()) {
            next = self.standing(addr).is_some_and(|s| s <= Standing::Suspect).then_some(addr);
        }
        *(if same_zone { &mut self.same_zone_round } else { &mut self.cross_zone_round }) = round;
        next
    }

    fn start_ping(&mut self, target: SocketAddr, now: Instant) -> Outgoing {
        let seq = self.take_seq();
        self.pending_ping = Some(PendingPing { target, seq, sent_at: now, helpers_asked: false });
        let mut out = self.build_packet(target, Body::Ping(seq));
        // A node considered suspect or dead must learn of it in order to refute it.
        match self.peers.get(&target) {
            Some(peer) if peer.standing != Standing::Alive => {
                out.packet.members.push(member_update(target, peer));
            }
            _ => {}
        }
        out
    }

    fn handle_ack(&mut self, from: SocketAddr, seq: PingSeq, out: &mut Vec<Outgoing>) {
        if self.pending_ping.is_some_and(|ping| ping.seq == seq) {
            self.pending_ping = None;
        }
        if let Some(index) = self.relayed_pings.iter().position(|relay| relay.local_seq == seq) {
            let relay = self.relayed_pings.swap_remove(index);
            if relay.requester != from {
                out.push(self.build_packet(relay.requester, Body::Ack(relay.requester_seq)));
            }
        }
    }

    /// Sends all live members and all health reports other than healthy ones to a new node, in as
    /// many packets as needed.
    fn send_full_state(&mut self, to: SocketAddr, out: &mut Vec<Outgoing>) {
        let members: Vec<MemberUpdate> = self
            .peers
            .iter()
            .filter(|(addr, p)| **addr != to && p.standing < Standing::Dead)
            .map(|(addr, p)| member_update(*addr, p))
            .collect();
        let unhealthy_reports = self.health_reports.unhealthy();
        for (members, health_reports) in queue::split_state(&self.local, members, unhealthy_reports)
        {
            let packet = Packet { members, health_reports, ..self.bare_packet() };
            out.push(Outgoing { to, packet });
        }
    }

    fn build_packet(&mut self, to: SocketAddr, body: Body) -> Outgoing {
        let mut packet = Packet { body, ..self.bare_packet() };
        self.queue.fill(&mut packet, self.peers.len());
        Outgoing { to, packet }
    }

    /// Returns a packet that holds only the description of this node.
    fn bare_packet(&self) -> Packet {
        Packet {
            sender: self.local.clone(),
            body: Body::Gossip,
            members: Vec::new(),
            health_reports: Vec::new(),
            findings: Vec::new(),
            notices: Vec::new(),
        }
    }

    fn take_seq(&mut self) -> PingSeq {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }
}

fn member_update(addr: SocketAddr, peer: &Peer) -> MemberUpdate {
    MemberUpdate {
        addr,
        incarnation: peer.incarnation,
        standing: peer.standing,
        zone: peer.zone.clone(),
    }
}

#[cfg(test)]
mod tests;
