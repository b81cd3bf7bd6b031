//! Membership of entry nodes, and the spreading of what they learn.
//!
//! [`Members`] is a SWIM-style failure detector: each period it pings one
//! peer; a peer that does not answer is asked for through others, then
//! suspected, then declared dead unless it refutes with a higher incarnation.
//! News of members, [`wire::HealthReport`]s, [`Finding`]s and [`Notice`]s ride on these packets, each sent a
//! few times ([`queue`]), so the cost per node does not grow with the fleet. Findings are also told to
//! a few peers at once, and to a peer whose digest differs: one that was cut off has missed them.
//!
//! It owns no socket and no clock: the task that does feeds it datagrams and
//! the time, and sends what it returns. Nothing here decides who may act
//! alone: a wrong belief (a paused or partitioned node) costs latency, never
//! a promise. The probe budget rests on the platform's list instead (crate
//! `watch`).

mod findings;
mod notes;
mod notices;
mod queue;

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

use crate::notes::Notes;
use crate::queue::Queue;

/// Helpers asked to ping a peer that did not answer directly.
const INDIRECT_HELPERS: usize = 2;

/// One in this many pings goes to a listed node believed dead or not known
/// yet. Without it a healed partition stays split: each side believes the
/// other dead, and no one would talk first.
const HEAL_ONE_IN: u32 = 4;

/// One in this many pings goes to another zone, as long as there are peers in the own one.
///
/// Bytes between zones are paid for. With peers chosen regardless of zone, four fifths of the pings
/// of five zones and of the news on them crossed between these: 52 MB in a minute with two starts of
/// 312 nodes. News still crosses with each node's every other second ping of another zone, and each
/// node is pinged as often as before.
const FAR_ONE_IN: u32 = 4;

/// Peers told at once of a newer head, among those not known to have seen it. One that is behind
/// then asks the platform itself and tells as many.
const TOLD_OF_HEADS: usize = 6;

/// Pings relayed for others and not answered yet, beyond which the oldest is forgotten.
const MAX_RELAYS: usize = 64;

/// Times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// One peer is pinged this often.
    pub period: Duration,
    /// A ping not answered after this long is tried through helpers.
    pub ack_timeout: Duration,
    /// A suspect that does not refute within this long is declared dead.
    pub suspect_for: Duration,
    /// A dead or left node that the platform does not list is forgotten after this long.
    pub forget_after: Duration,
    /// A note not repeated for this long no longer counts.
    pub note_ttl: Duration,
}

impl Default for Timing {
    /// A dead node is declared dead about 4 s after it stops: the next ping
    /// of it (within a period or two), an unanswered period, 3 s of suspicion.
    fn default() -> Self {
        Timing {
            period: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(200),
            suspect_for: Duration::from_secs(3),
            forget_after: Duration::from_secs(600),
            note_ttl: Duration::from_secs(30),
        }
    }
}

/// A packet to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where it goes.
    pub to: SocketAddr,
    /// What to send.
    pub packet: Packet,
}

/// A change others act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer's standing changed, or the peer is new.
    Peer {
        /// Address of the peer.
        addr: SocketAddr,
        /// Its zone.
        zone: SmolStr,
        /// What is believed of it now.
        standing: Standing,
    },
    /// A peer that died or left long ago is no longer kept.
    Forgotten {
        /// Address it had.
        addr: SocketAddr,
    },
    /// A peer holds config and the list of upstreams up to these commits.
    Heads {
        /// Address of the peer.
        addr: SocketAddr,
        /// Highest commit of the config it holds.
        config_head: u64,
        /// Highest commit of the list of upstreams it holds.
        list_head: u64,
    },
    /// Another node's note on an upstream is new, changed or lapsed (then `Healthy`).
    Note(HealthReport),
    /// Another node knows this of a request that crashed upstreams.
    Finding(Finding),
    /// Another node tells what an upstream states about itself.
    Notice(Notice),
    /// A peer holds back other requests than this node did when it last said so, and was not told
    /// of late what this node knows.
    Differs {
        /// Address of the peer.
        addr: SocketAddr,
        /// Its digest.
        held_digest: u64,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    standing: Standing,
    zone: SmolStr,
    /// When the standing last changed.
    since: Instant,
    config_head: u64,
    list_head: u64,
    /// Whether its heads are its own word in this incarnation.
    heard: bool,
    /// When it was told all findings.
    told_all_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Ping {
    target: SocketAddr,
    seq: PingSeq,
    sent_at: Instant,
    asked_helpers: bool,
}

#[derive(Clone, Copy, Debug)]
struct Relay {
    my_seq: PingSeq,
    requester: SocketAddr,
    their_seq: PingSeq,
}

/// One node's membership state.
pub struct Members {
    me: Sender,
    timing: Timing,
    rng: SmallRng,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Entry nodes the platform lists, with their zones: whom to join and to heal with.
    listed: BTreeMap<SocketAddr, SmolStr>,
    queue: Queue,
    notes: Notes,
    /// Peers of the own zone still to be pinged in this round, each once.
    near_round: Vec<SocketAddr>,
    /// The same for those of other zones.
    far_round: Vec<SocketAddr>,
    ping: Option<Ping>,
    next_ping_at: Option<Instant>,
    next_seq: PingSeq,
    relays: Vec<Relay>,
    leaving: bool,
    told_at_once: notices::ToldAtOnce,
    events: Vec<Event>,
}

impl Members {
    /// Creates the state of a node that knows nobody yet.
    ///
    /// `incarnation` is best the time of day in milliseconds: peers that did
    /// not notice a quick restart then see a new life and tell it all they
    /// know. Should the time of day have stepped back, the node hears of its
    /// former life and takes a higher number itself.
    pub fn new(
        addr: SocketAddr,
        zone: SmolStr,
        incarnation: Incarnation,
        timing: Timing,
        rng: SmallRng,
    ) -> Members {
        Members {
            me: Sender { addr, incarnation, zone, config_head: 0, list_head: 0, held_digest: 0 },
            timing,
            rng,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            queue: Queue::default(),
            notes: Notes::default(),
            near_round: Vec::new(),
            far_round: Vec::new(),
            ping: None,
            next_ping_at: None,
            next_seq: 0,
            relays: Vec::new(),
            leaving: false,
            told_at_once: notices::ToldAtOnce::default(),
            events: Vec::new(),
        }
    }

    /// Takes the platform's list of entry nodes; this node itself is skipped.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = (SocketAddr, SmolStr)>) {
        let me = self.me.addr;
        self.listed = listed.into_iter().filter(|(addr, _)| *addr != me).collect();
    }

    /// Tells peers from now on that this node holds config up to `head`.
    pub fn set_config_head(&mut self, head: u64) {
        self.me.config_head = head;
    }

    /// Records up to which commits this node holds the config and the list of upstreams, and with
    /// `tell` tells a few peers at once when either is news.
    ///
    /// Pings alone would tell of a change within about a second; a peer whose own source of
    /// changes is dead must notice sooner than that. Where every node of a fleet of 300 told six
    /// others of every change, that alone was most of the bytes between zones: only nodes that
    /// have the change from the platform itself should tell.
    pub fn set_heads(&mut self, config_head: u64, list_head: u64, tell: bool) -> Vec<Outgoing> {
        let news = config_head > self.me.config_head || list_head > self.me.list_head;
        self.me.config_head = config_head;
        self.me.list_head = list_head;
        if !news || !tell || self.leaving {
            return Vec::new();
        }
        // Peers known to have seen as much need not be told.
        let behind = |peer: &Peer| {
            peer.standing <= Standing::Suspect
                && (peer.config_head < config_head || peer.list_head < list_head)
        };
        let peers = self.peers.iter().filter(|(_, peer)| behind(peer)).map(|(addr, _)| *addr);
        let told = peers.choose_multiple(&mut self.rng, TOLD_OF_HEADS);
        told.into_iter().map(|to| self.pack(to, Body::Gossip)).collect()
    }

    /// Spreads what this node learned by watching an upstream.
    pub fn set_note(
        &mut self,
        upstream: SocketAddr,
        verdict: wire::Verdict,
        unix_ms: u64,
        now: Instant,
    ) {
        let note = self.notes.own(upstream, self.me.addr, verdict, unix_ms, now);
        self.queue.push_note(note);
    }

    /// Returns the standing of the peer at `addr`, if it is known.
    pub fn standing(&self, addr: SocketAddr) -> Option<Standing> {
        self.peers.get(&addr).map(|peer| peer.standing)
    }

    /// Returns the peers that are alive or suspected.
    pub fn reachable(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.iter().filter(|(_, p)| p.standing <= Standing::Suspect).map(|(addr, _)| *addr)
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Advances to `now`: pings, asks helpers, declares deaths, repeats notes.
    ///
    /// To be called several times per [`Timing::ack_timeout`].
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if self.leaving {
            return out;
        }
        self.declare_deaths(now);
        self.forget(now);
        for note in self.notes.tick(self.me.addr, now, self.timing.note_ttl) {
            match note {
                notes::Due::Repeat(note) => self.queue.push_note(note),
                notes::Due::Lapsed(note) => self.events.push(Event::Note(note)),
            }
        }
        self.ask_helpers(now, &mut out);
        if self.next_ping_at.is_none_or(|at| at <= now) {
            self.next_ping_at = Some(now + self.timing.period);
            self.suspect_silent(now);
            if let Some(target) = self.next_target() {
                out.push(self.ping(target, now));
            }
        }
        out
    }

    /// Takes a datagram that came from `from`.
    pub fn receive(&mut self, from: SocketAddr, packet: Packet, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        // The sender's own word for its address must match where the datagram came from: a
        // reply to any other address would go to a node that never asked.
        if from != packet.sender.addr || from == self.me.addr {
            return out;
        }
        let newcomer = self.hear_sender(&packet.sender, now);
        for update in &packet.members {
            self.hear(update, now);
        }
        for note in &packet.health_reports {
            if note.watcher != self.me.addr && self.notes.hear(*note, now) {
                self.queue.push_note(*note);
                self.events.push(Event::Note(*note));
            }
        }
        self.events.extend(packet.notices.into_iter().map(Event::Notice));
        self.hear_findings(&packet.sender, packet.findings, now);
        if newcomer && !self.leaving {
            self.greet(from, &mut out);
        }
        match packet.body {
            Body::Ping(seq) if !self.leaving => out.push(self.pack(from, Body::Ack(seq))),
            Body::Ack(seq) => self.acked(from, seq, &mut out),
            Body::PingReq(their_seq, target) if !self.leaving && target != self.me.addr => {
                let my_seq = self.take_seq();
                if self.relays.len() >= MAX_RELAYS {
                    self.relays.remove(0);
                }
                self.relays.push(Relay { my_seq, requester: from, their_seq });
                out.push(self.pack(target, Body::Ping(my_seq)));
            }
            Body::Ping(_) | Body::PingReq(..) | Body::Gossip => {}
        }
        out
    }

    /// Tells every reachable peer that this node leaves; it answers nothing afterwards.
    ///
    /// Without it, peers would list the node to callers until it is declared
    /// dead, seconds after it is gone.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.leaving = true;
        let update = MemberUpdate {
            addr: self.me.addr,
            incarnation: self.me.incarnation,
            standing: Standing::Left,
            zone: self.me.zone.clone(),
        };
        let peers: Vec<SocketAddr> = self.reachable().collect();
        peers
            .into_iter()
            .map(|to| Outgoing {
                to,
                packet: Packet { members: vec![update.clone()], ..self.news() },
            })
            .collect()
    }

    /// Takes direct evidence: the sender is alive at its incarnation. Returns true for a newcomer.
    fn hear_sender(&mut self, sender: &Sender, now: Instant) -> bool {
        let known = self.peers.get(&sender.addr).map(|p| (p.incarnation, p.standing));
        match known {
            // It answered us, so we stop suspecting it; others are refuted by itself. A dead or
            // left member is back only with a higher incarnation: a late datagram of its former
            // life must not raise it.
            Some((incarnation, Standing::Suspect)) if sender.incarnation == incarnation => {
                self.set_standing(sender.addr, Standing::Alive, now);
            }
            _ => {}
        }
        // A new life starts without config: its head counts anew.
        let newcomer = known.is_none_or(|(incarnation, _)| sender.incarnation > incarnation);
        self.hear(
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
                if newcomer
                    || !peer.heard
                    || sender.config_head > peer.config_head
                    || sender.list_head > peer.list_head =>
            {
                peer.config_head = sender.config_head;
                peer.list_head = sender.list_head;
                peer.heard = true;
                self.events.push(Event::Heads {
                    addr: sender.addr,
                    config_head: sender.config_head,
                    list_head: sender.list_head,
                });
            }
            _ => {}
        }
        newcomer
    }

    /// Takes one member update: the higher (incarnation, standing) wins.
    fn hear(&mut self, update: &MemberUpdate, now: Instant) {
        if update.addr == self.me.addr {
            return self.refute(update);
        }
        let news = match self.peers.get_mut(&update.addr) {
            Some(peer)
                if (update.incarnation, update.standing) > (peer.incarnation, peer.standing) =>
            {
                peer.incarnation = update.incarnation;
                if !update.zone.is_empty() {
                    peer.zone = update.zone.clone();
                }
                if peer.standing != update.standing {
                    peer.standing = update.standing;
                    peer.since = now;
                }
                true
            }
            Some(_) => false,
            // News of a death of someone never known is nothing to keep.
            None if update.standing >= Standing::Dead => false,
            None => {
                self.peers.insert(
                    update.addr,
                    Peer {
                        incarnation: update.incarnation,
                        standing: update.standing,
                        zone: update.zone.clone(),
                        since: now,
                        config_head: 0,
                        list_head: 0,
                        heard: false,
                        told_all_at: None,
                    },
                );
                true
            }
        };
        if news {
            self.announce(update.addr);
        }
    }

    /// Answers news of this node's own suspicion or death with a higher incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        let wrong = update.standing != Standing::Alive || update.incarnation > self.me.incarnation;
        if wrong && update.incarnation >= self.me.incarnation && !self.leaving {
            self.me.incarnation = update.incarnation + 1;
            self.queue.push_member(MemberUpdate {
                addr: self.me.addr,
                incarnation: self.me.incarnation,
                standing: Standing::Alive,
                zone: self.me.zone.clone(),
            });
        }
    }

    /// Queues the peer's state for spreading and reports it.
    fn announce(&mut self, addr: SocketAddr) {
        let Some(peer) = self.peers.get(&addr) else { return };
        self.events.push(Event::Peer { addr, zone: peer.zone.clone(), standing: peer.standing });
        self.queue.push_member(member_update(addr, peer));
    }

    fn set_standing(&mut self, addr: SocketAddr, standing: Standing, now: Instant) {
        match self.peers.get_mut(&addr) {
            Some(peer) if peer.standing != standing => {
                peer.standing = standing;
                peer.since = now;
                self.announce(addr);
            }
            _ => {}
        }
    }

    fn declare_deaths(&mut self, now: Instant) {
        let overdue: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.standing == Standing::Suspect
                    && now.duration_since(p.since) >= self.timing.suspect_for
            })
            .map(|(addr, _)| *addr)
            .collect();
        for addr in overdue {
            self.set_standing(addr, Standing::Dead, now);
        }
    }

    fn forget(&mut self, now: Instant) {
        let (listed, after) = (&self.listed, self.timing.forget_after);
        let forgotten: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(addr, peer)| {
                peer.standing >= Standing::Dead
                    && !listed.contains_key(addr)
                    && now.duration_since(peer.since) >= after
            })
            .map(|(addr, _)| *addr)
            .collect();
        for addr in forgotten {
            self.peers.remove(&addr);
            self.events.push(Event::Forgotten { addr });
        }
    }

    /// Suspects the target of the last ping if it never answered.
    fn suspect_silent(&mut self, now: Instant) {
        let Some(ping) = self.ping.take() else { return };
        if self.standing(ping.target) == Some(Standing::Alive) {
            self.set_standing(ping.target, Standing::Suspect, now);
        }
    }

    fn ask_helpers(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let due = match &mut self.ping {
            Some(ping)
                if !ping.asked_helpers
                    && now.duration_since(ping.sent_at) >= self.timing.ack_timeout =>
            {
                ping.asked_helpers = true;
                *ping
            }
            _ => return,
        };
        let helpers = self
            .peers
            .iter()
            .filter(|(addr, p)| p.standing == Standing::Alive && **addr != due.target)
            .map(|(addr, _)| *addr)
            .choose_multiple(&mut self.rng, INDIRECT_HELPERS);
        for helper in helpers {
            out.push(self.pack(helper, Body::PingReq(due.seq, due.target)));
        }
    }

    /// Returns whom to ping next: every reachable peer of the own zone, and of others, once per round
    /// in random order, and now and then a listed node that is believed dead or not known.
    fn next_target(&mut self) -> Option<SocketAddr> {
        let (peers, rng) = (&self.peers, &mut self.rng);
        let lost = self
            .listed
            .keys()
            .filter(|addr| peers.get(addr).is_none_or(|p| p.standing >= Standing::Dead))
            .copied()
            .choose(rng);
        let alone = peers.values().all(|p| p.standing >= Standing::Dead);
        match lost {
            Some(addr) if alone || rng.random_ratio(1, HEAL_ONE_IN) => return Some(addr),
            _ => {}
        }
        let near = !self.rng.random_ratio(1, FAR_ONE_IN);
        self.next_of_round(near).or_else(|| self.next_of_round(!near))
    }

    /// Returns the next peer of the round in the own zone (`near`) or in the others.
    fn next_of_round(&mut self, near: bool) -> Option<SocketAddr> {
        let mut round =
            std::mem::take(if near { &mut self.near_round } else { &mut self.far_round });
        if round.is_empty() {
            let is_wanted = |peer: &Peer| {
                peer.standing <= Standing::Suspect && (peer.zone == self.me.zone) == near
            };
            let wanted = self.peers.iter().filter(|(_, peer)| is_wanted(peer));
            round = wanted.map(|(addr, _)| *addr).collect();
            round.shuffle(&mut self.rng);
        }
        let mut next = None;
        while let (None, Some(addr)) = (next, round.pop()) {
            next = self.standing(addr).is_some_and(|s| s <= Standing::Suspect).then_some(addr);
        }
        *(if near { &mut self.near_round } else { &mut self.far_round }) = round;
        next
    }

    fn ping(&mut self, target: SocketAddr, now: Instant) -> Outgoing {
        let seq = self.take_seq();
        self.ping = Some(Ping { target, seq, sent_at: now, asked_helpers: false });
        let mut out = self.pack(target, Body::Ping(seq));
        // A node believed suspect or dead must hear of it to refute it.
        match self.peers.get(&target) {
            Some(peer) if peer.standing != Standing::Alive => {
                out.packet.members.push(member_update(target, peer));
            }
            _ => {}
        }
        out
    }

    fn acked(&mut self, from: SocketAddr, seq: PingSeq, out: &mut Vec<Outgoing>) {
        if self.ping.is_some_and(|ping| ping.seq == seq) {
            self.ping = None;
        }
        if let Some(index) = self.relays.iter().position(|relay| relay.my_seq == seq) {
            let relay = self.relays.swap_remove(index);
            if relay.requester != from {
                out.push(self.pack(relay.requester, Body::Ack(relay.their_seq)));
            }
        }
    }

    /// Sends a newcomer everything known, in as many packets as it takes.
    fn greet(&mut self, to: SocketAddr, out: &mut Vec<Outgoing>) {
        let members: Vec<MemberUpdate> = self
            .peers
            .iter()
            .filter(|(addr, p)| **addr != to && p.standing < Standing::Dead)
            .map(|(addr, p)| member_update(*addr, p))
            .collect();
        let bad_news = self.notes.bad();
        for (members, health_reports) in queue::split(&self.me, members, bad_news) {
            let packet = Packet { members, health_reports, ..self.news() };
            out.push(Outgoing { to, packet });
        }
    }

    fn pack(&mut self, to: SocketAddr, body: Body) -> Outgoing {
        let mut packet = Packet { body, ..self.news() };
        self.queue.fill(&mut packet, self.peers.len());
        Outgoing { to, packet }
    }

    /// Returns a packet that tells nothing but what this node is.
    fn news(&self) -> Packet {
        Packet {
            sender: self.me.clone(),
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
