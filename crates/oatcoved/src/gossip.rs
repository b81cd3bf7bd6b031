//! The membership task, which owns the membership socket and state.
//!
//! It receives UDP datagrams on the address and port that callers use over
//! TCP, so a node reaches a peer at its address in the VM list. Other tasks send
//! it [`Input`]s. It applies membership events to the [`View`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::net::udp::UdpSocket;
use rand::SeedableRng;
use smol_str::SmolStr;

use crate::view::{Peer, View};

/// Interval at which the membership state advances. It is well below the shortest timeout of the
/// membership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of a received datagram. A longer one is truncated, and then rejected by the
/// decoder.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Inputs of the membership task.
#[derive(Debug)]
pub enum Input {
    /// A datagram was received from this address.
    Datagram(SocketAddr, Vec<u8>),
    /// The tick interval has passed.
    Tick,
    /// The platform's VM list contains these entry nodes: address and availability zone.
    Listed(Vec<(SocketAddr, SmolStr)>),
    /// The verdict of this node's probes on an upstream has changed.
    Verdict(SocketAddr, wire::Verdict),
    /// This node has read the config up to this commit.
    ConfigHead(u64),
    /// Findings on calls that crash upstreams, or backpressure notices, may have to be broadcast.
    UpdatesPending,
    /// This node is stopping.
    Leave,
}

/// Binds the membership socket.
///
/// # Errors
///
/// The error of the operating system, for example if the port is in use.
pub fn bind(addr: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(addr)
}

/// Runs the membership of this node until its input channel is closed.
pub async fn run(socket: UdpSocket, view: Rc<RefCell<View>>, tx: Tx<Input>, mut rx: Rx<Input>) {
    let socket = Rc::new(socket);
    monoio::spawn(receive_datagrams(socket.clone(), tx.clone()));
    monoio::spawn(tick(tx));
    let mut members = {
        let settings = &view.borrow().settings;
        member::Members::new(
            settings.listen_addr,
            settings.zone.clone(),
            unix_ms(),
            member::Timing::default(),
            rand::rngs::SmallRng::from_os_rng(),
        )
    };
    while let Some(input) = rx.recv().await {
        let now = Instant::now();
        if let Input::Datagram(from, _) = &input {
            record_heard_from(&mut view.borrow_mut(), *from, now);
        }
        if apply_path_claim(&view, &input, now) {
            continue;
        }
        if matches!(input, Input::Tick) {
            announce_paths(&socket, &view, now).await;
        }
        let mut outgoing = handle_input(&mut members, &view, input, now);
        for event in members.take_events() {
            match event {
                member::Event::DigestMismatch { addr, held_digest } => {
                    let findings = view.borrow().quarantine.findings_for_peer(held_digest);
                    outgoing.extend(members.send_findings(addr, findings, now));
                }
                event => apply_event(&mut view.borrow_mut(), event),
            }
        }
        outgoing.extend(broadcast_findings(&mut members, &mut view.borrow_mut().quarantine));
        outgoing.extend(broadcast_notices(&mut members, &mut view.borrow_mut().backpressure));
        for member::Outgoing { to, packet } in outgoing {
            let (sent, bytes) = socket.send_to(packet.encode(), to).await;
            let mut view = view.borrow_mut();
            view.counters.peer_packets_sent += 1;
            view.counters.peer_bytes_sent += bytes.len() as u64;
            if let Err(err) = sent {
                log::debug!("node={} peer={to} send failed: {err}", view.settings.node_id);
            }
        }
    }
}

/// Tells all peers whether this node is partitioned from all upstreams, when that has changed, and
/// from time to time while it is.
async fn announce_paths(socket: &UdpSocket, view: &RefCell<View>, now: Instant) {
    let (claim, peers) = {
        let view = &mut *view.borrow_mut();
        view.peer_paths.expire(now);
        let is_partitioned = view.paths.is_unreachable();
        if !view.peer_paths.take_due_announcement(is_partitioned, now) {
            return;
        }
        let is_reachable =
            |peer: &Peer| peer.standing.is_some_and(|s| s <= wire::Standing::Suspect);
        let peers = view.peers.iter().filter(|(_, peer)| is_reachable(peer));
        let peers: Vec<SocketAddr> = peers.map(|(addr, _)| *addr).collect();
        (wire::PathClaim { sender: view.settings.listen_addr, is_partitioned }, peers)
    };
    for peer in peers {
        // A datagram that is lost is made up for by the next one, or by the end of the claim.
        let (_, bytes) = socket.send_to(claim.encode(), peer).await;
        let counters = &mut view.borrow_mut().counters;
        counters.peer_packets_sent += 1;
        counters.peer_bytes_sent += bytes.len() as u64;
    }
}

/// Applies a datagram that holds a path claim; returns false for any other.
fn apply_path_claim(view: &RefCell<View>, input: &Input, now: Instant) -> bool {
    let Input::Datagram(from, bytes) = input else { return false };
    if !wire::PathClaim::is_in(bytes) {
        return false;
    }
    let view = &mut *view.borrow_mut();
    match wire::PathClaim::decode(bytes) {
        Ok(claim) if claim.sender == *from => {
            view.peer_paths.record_claim(*from, claim.is_partitioned, now);
        }
        Ok(_) | Err(_) => {
            view.counters.peer_packets_refused += 1;
            log::debug!("peer={from} path claim rejected");
        }
    }
    true
}

/// Broadcasts new findings on calls that crash upstreams.
fn broadcast_findings(
    members: &mut member::Members,
    quarantine: &mut quarantine::Quarantine,
) -> Vec<member::Outgoing> {
    let now = unix_ms();
    quarantine.expire(now);
    let new_findings = quarantine.take_new_findings(now);
    members.set_held_digest(quarantine.digest());
    new_findings.into_iter().flat_map(|finding| members.broadcast_finding(finding)).collect()
}

/// Broadcasts new backpressure notices of upstreams.
fn broadcast_notices(
    members: &mut member::Members,
    backpressure: &mut notice::Backpressure,
) -> Vec<member::Outgoing> {
    let now = Instant::now();
    backpressure.expire(now);
    let new_notices = backpressure.take_new_notices();
    new_notices.into_iter().flat_map(|notice| members.broadcast_notice(notice, now)).collect()
}

fn handle_input(
    members: &mut member::Members,
    view: &RefCell<View>,
    input: Input,
    now: Instant,
) -> Vec<member::Outgoing> {
    match input {
        Input::Tick => members.tick(now),
        Input::UpdatesPending => Vec::new(),
        Input::Datagram(from, bytes) => {
            view.borrow_mut().counters.peer_bytes_received += bytes.len() as u64;
            match wire::Packet::decode(&bytes) {
                Ok(packet) => members.receive(from, packet, now),
                Err(err) => {
                    view.borrow_mut().counters.peer_packets_refused += 1;
                    log::debug!("peer={from} packet rejected: {err}");
                    Vec::new()
                }
            }
        }
        Input::Listed(listed) => {
            members.set_listed(listed);
            Vec::new()
        }
        Input::Verdict(upstream, verdict) => {
            members.report_health(upstream, verdict, unix_ms(), now);
            Vec::new()
        }
        Input::ConfigHead(head) => {
            members.set_config_head(head);
            Vec::new()
        }
        Input::Leave => members.leave(),
    }
}

/// Records that a membership packet of `peer` was received.
fn record_heard_from(view: &mut View, peer: SocketAddr, now: Instant) {
    if let Some(peer) = view.peers.get_mut(&peer) {
        peer.heard_at = Some(now);
    }
}

/// Applies a membership event to the view.
pub fn apply_event(view: &mut View, event: member::Event) {
    match event {
        member::Event::PeerChanged { addr, zone, standing } => {
            log::info!(
                "node={} zone={} peer={addr} peer_zone={zone} is {standing:?}",
                view.settings.node_id,
                view.settings.zone
            );
            let peer = view.peers.entry(addr).or_default();
            peer.zone = zone;
            peer.standing = Some(standing);
            view.backpressure.nodes_changed();
        }
        member::Event::PeerRemoved { addr } => {
            view.peers.remove(&addr);
            view.backpressure.nodes_changed();
        }
        member::Event::PeerHeads { addr, config_head, list_head: _ } => {
            view.peers.entry(addr).or_default().config_head = config_head;
        }
        member::Event::HealthReport(report) => {
            view.record_health_report(report.upstream, report.watcher, report.verdict)
        }
        member::Event::Finding(finding) => {
            view.quarantine.merge_remote(&finding, unix_ms());
        }
        member::Event::Notice(notice) => {
            view.apply_notice(&notice);
        }
        // Handled by `run`, which sends findings to the peer.
        member::Event::DigestMismatch { .. } => {}
    }
}

async fn receive_datagrams(socket: Rc<UdpSocket>, tx: Tx<Input>) {
    loop {
        let (result, mut buf) = socket.recv_from(vec![0; MAX_DATAGRAM_BYTES]).await;
        match result {
            Ok((length, from)) => {
                buf.truncate(length);
                if tx.send(Input::Datagram(from, buf)).is_err() {
                    return;
                }
            }
            // Some systems return the ICMP "port unreachable" of an earlier send here.
            Err(err) => {
                log::debug!("membership receive failed: {err}");
                monoio::time::sleep(TICK_INTERVAL).await;
            }
        }
    }
}

async fn tick(tx: Tx<Input>) {
    while tx.send(Input::Tick).is_ok() {
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
