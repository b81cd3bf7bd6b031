//! The task that owns the membership socket and state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::net::udp::UdpSocket;
use rand::SeedableRng;

use crate::forward::Node;
use crate::state::Peer;
use crate::{unix_ms, Settings};

/// Interval at which the membership state advances; well below its shortest timeout.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum length of a datagram in bytes; longer ones are truncated and rejected.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Time for which nodes that were found at the platform are contacted.
const CONTACTS_TTL: Duration = Duration::from_secs(60);

/// Inputs of the membership task from other tasks.
#[derive(Debug)]
pub enum Input {
    /// A datagram was received.
    Datagram(SocketAddr, Vec<u8>),
    /// The tick interval has elapsed.
    Tick,
    /// Findings about requests that crash upstreams, or notices of upstreams, wait to be broadcast.
    UpdatesPending,
    /// The settings name other seeds than before.
    SeedsChanged,
    /// These nodes may be reachable where the seeds are not.
    Contacts(Vec<SocketAddr>),
    /// This node is stopping.
    Leave,
}

/// Runs the membership of this node until its inputs end.
pub async fn run(socket: UdpSocket, node: Rc<Node>, tx: Tx<Input>, mut rx: Rx<Input>) {
    let socket = Rc::new(socket);
    monoio::spawn(read(socket.clone(), tx.clone()));
    monoio::spawn(tick(tx.clone()));
    node.set_gossip_sender(tx);
    let mut contacts = Contacts::default();
    let mut members = {
        let settings = &node.state.borrow().settings;
        let mut members = member::Members::new(
            settings.peer_addr,
            settings.zone.clone(),
            unix_ms(),
            member::Timing::default(),
            rand::rngs::SmallRng::from_os_rng(),
        );
        contacts.list(&mut members, settings);
        members
    };
    while let Some(input) = rx.recv().await {
        if let Input::Datagram(from, _) = &input {
            node.state.borrow_mut().record_heard_from(*from, Instant::now());
        }
        if apply_hints(&node, &input) || apply_path_claim(&node, &input) {
            continue;
        }
        match input {
            Input::Tick => {
                announce_paths(&socket, &node).await;
                if contacts.expire(Instant::now()) {
                    contacts.list(&mut members, &node.state.borrow().settings);
                }
            }
            Input::SeedsChanged => contacts.list(&mut members, &node.state.borrow().settings),
            Input::Contacts(ref addrs) => {
                contacts.add(addrs, Instant::now());
                contacts.list(&mut members, &node.state.borrow().settings);
            }
            Input::Datagram(..) | Input::UpdatesPending | Input::Leave => {}
        }
        let (config_head, list_head, direct) = {
            let state = node.state.borrow();
            match state.is_ready() {
                true => {
                    (state.config_progress.newest, state.list_progress.newest, state.reads_directly)
                }
                false => (0, 0, false),
            }
        };
        let mut out = members.set_heads(config_head, list_head, direct);
        let now = Instant::now();
        out.extend(handle(&mut members, input, now));
        for event in members.take_events() {
            match event {
                member::Event::Finding(finding) => node.merge_finding(&finding, "a peer"),
                member::Event::Notice(notice) => node.apply_peer_notice(&notice),
                member::Event::DigestMismatch { addr, held_digest } => {
                    let findings = node.state.borrow().quarantine.findings_for_peer(held_digest);
                    out.extend(members.send_findings(addr, findings, now));
                }
                event => apply(&node, event),
            }
        }
        out.extend(broadcast_findings(&mut members, &node));
        out.extend(broadcast_notices(&mut members, &node));
        for member::Outgoing { to, packet } in out {
            if matches!(packet.body, wire::Body::Ping(_)) {
                send_hints(&socket, &node, to).await;
            }
            let bytes = packet.encode();
            count_sent(&node, to, bytes.len() as u64);
            // A datagram that cannot be sent counts as lost, which the protocol tolerates.
            let _ = socket.send_to(bytes, to).await;
        }
    }
}

/// Nodes to contact besides the seeds.
///
/// They stay for a while after the node has met some of them: the others may have met each other
/// only.
#[derive(Default)]
struct Contacts {
    addrs: BTreeSet<SocketAddr>,
    added_at: Option<Instant>,
}

impl Contacts {
    fn add(&mut self, addrs: &[SocketAddr], now: Instant) {
        self.addrs.extend(addrs);
        self.added_at = Some(now);
    }

    /// Forgets the nodes once they were added long ago; returns true if there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= CONTACTS_TTL;
        let expires = self.added_at.is_some_and(is_old);
        if expires {
            *self = Contacts::default();
        }
        expires
    }

    /// Has the membership contact these nodes and the seeds until it knows them to be alive.
    fn list(&self, members: &mut member::Members, settings: &Settings) {
        let addrs = settings.seed_addrs.iter().chain(&self.addrs);
        members.set_listed(addrs.map(|addr| (*addr, "".into())));
    }
}

/// Tells a peer which services are silent, if there are any.
async fn send_hints(socket: &UdpSocket, node: &Node, to: SocketAddr) {
    let hints = crate::silent_services::hints(&mut node.state.borrow_mut());
    let Some(bytes) = hints.map(|hints| hints.encode()) else { return };
    count_sent(node, to, bytes.len() as u64);
    let _ = socket.send_to(bytes, to).await;
}

/// Applies a datagram that holds hints; returns false for any other.
fn apply_hints(node: &Node, input: &Input) -> bool {
    let Input::Datagram(from, bytes) = input else { return false };
    if !wire::Hints::are_in(bytes) {
        return false;
    }
    match wire::Hints::decode(bytes) {
        Ok(hints) if hints.sender == *from => {
            crate::silent_services::apply(&mut node.state.borrow_mut(), &hints);
        }
        Ok(_) => {}
        Err(err) => log_refused(*from, &err),
    }
    true
}

/// Tells all peers whether this node is partitioned from all upstreams, when that has changed, and
/// from time to time while it is. A datagram that is lost is made up for by the next one, or by the
/// end of the claim's validity.
async fn announce_paths(socket: &UdpSocket, node: &Node) {
    let (claim, peers) = {
        let state = &mut *node.state.borrow_mut();
        let is_partitioned = state.paths.is_unreachable();
        if !state.peer_paths.take_due_announcement(is_partitioned, Instant::now()) {
            return;
        }
        let is_reachable = |peer: &Peer| peer.standing <= wire::Standing::Suspect;
        let peers = state.peers.iter().filter(|(_, peer)| is_reachable(peer));
        let peers: Vec<SocketAddr> = peers.map(|(addr, _)| *addr).collect();
        (wire::PathClaim { sender: state.settings.peer_addr, is_partitioned }, peers)
    };
    for peer in peers {
        let bytes = claim.encode();
        count_sent(node, peer, bytes.len() as u64);
        let _ = socket.send_to(bytes, peer).await;
    }
}

/// Applies a datagram that holds a path claim; returns false for any other.
fn apply_path_claim(node: &Node, input: &Input) -> bool {
    let Input::Datagram(from, bytes) = input else { return false };
    if !wire::PathClaim::is_in(bytes) {
        return false;
    }
    match wire::PathClaim::decode(bytes) {
        Ok(claim) if claim.sender == *from => {
            let peers = &mut node.state.borrow_mut().peer_paths;
            let now = Instant::now();
            if peers.is_partitioned(*from, now) != claim.is_partitioned {
                trace::Line::new("peer_paths")
                    .field("peer", from)
                    .field("partitioned", claim.is_partitioned)
                    .log();
            }
            peers.record_claim(*from, claim.is_partitioned, now);
        }
        Ok(_) => {}
        Err(err) => log_refused(*from, &err),
    }
    true
}

fn log_refused(from: SocketAddr, err: &wire::DecodeError) {
    trace::Line::new("peer_packet_refused")
        .field("peer", from)
        .field("error", err.to_string())
        .log();
}

fn count_sent(node: &Node, to: SocketAddr, bytes: u64) {
    let state = &mut *node.state.borrow_mut();
    let is_same_zone = state.peers.get(&to).is_some_and(|peer| peer.zone == state.settings.zone);
    state.counters.membership_bytes += bytes;
    state.counters.membership_far_bytes += if is_same_zone { 0 } else { bytes };
}

/// Broadcasts new findings about requests that crash upstreams.
fn broadcast_findings(members: &mut member::Members, node: &Node) -> Vec<member::Outgoing> {
    let quarantine = &mut node.state.borrow_mut().quarantine;
    let findings = quarantine.take_new_findings(unix_ms());
    members.set_held_digest(quarantine.digest());
    findings.into_iter().flat_map(|finding| members.broadcast_finding(finding)).collect()
}

/// Broadcasts new notices of what upstreams state about themselves.
fn broadcast_notices(members: &mut member::Members, node: &Node) -> Vec<member::Outgoing> {
    let (notices, now) = (node.state.borrow_mut().backpressure.take_new_notices(), Instant::now());
    notices.into_iter().flat_map(|notice| members.broadcast_notice(notice, now)).collect()
}

fn handle(members: &mut member::Members, input: Input, now: Instant) -> Vec<member::Outgoing> {
    match input {
        Input::Tick => members.tick(now),
        Input::UpdatesPending | Input::SeedsChanged | Input::Contacts(_) => Vec::new(),
        Input::Datagram(from, bytes) => match wire::Packet::decode(&bytes) {
            Ok(packet) => members.receive(from, packet, now),
            Err(err) => {
                log_refused(from, &err);
                Vec::new()
            }
        },
        Input::Leave => members.leave(),
    }
}

fn apply(node: &Node, event: member::Event) {
    let state = &mut *node.state.borrow_mut();
    let peers = &mut state.peers;
    match event {
        member::Event::PeerChanged { addr, zone, standing } => {
            trace::Line::new("peer")
                .field("peer", addr)
                .field("zone", zone.as_str())
                .field("standing", format!("{standing:?}"))
                .log();
            let peer = peers.entry(addr).or_insert_with(|| Peer {
                zone: zone.clone(),
                standing,
                config_head: 0,
                list_head: 0,
                heads_received: false,
                heard_at: None,
            });
            peer.zone = zone;
            peer.standing = standing;
            state.backpressure.nodes_changed();
        }
        member::Event::PeerRemoved { addr } => {
            peers.remove(&addr);
            state.backpressure.nodes_changed();
        }
        member::Event::PeerHeads { addr, config_head, list_head } => {
            if let Some(peer) = peers.get_mut(&addr) {
                peer.config_head = config_head;
                peer.list_head = list_head;
                peer.heads_received = true;
            }
        }
        member::Event::HealthReport(_)
        | member::Event::Finding(_)
        | member::Event::Notice(_)
        | member::Event::DigestMismatch { .. } => {}
    }
}

async fn read(socket: Rc<UdpSocket>, tx: Tx<Input>) {
    loop {
        let (result, mut buf) = socket.recv_from(vec![0; MAX_DATAGRAM_BYTES]).await;
        match result {
            Ok((length, from)) => {
                buf.truncate(length);
                if tx.send(Input::Datagram(from, buf)).is_err() {
                    return;
                }
            }
            // On some systems an ICMP "port unreachable" for an earlier send is reported here.
            Err(_) => monoio::time::sleep(TICK_INTERVAL).await,
        }
    }
}

async fn tick(tx: Tx<Input>) {
    while tx.send(Input::Tick).is_ok() {
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}
