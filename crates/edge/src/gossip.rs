//! The task that owns the membership socket and state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::net::udp::UdpSocket;
use rand::SeedableRng;

use crate::forward::Node;
use crate::state::Peer;
use crate::unix_ms;

/// How often the membership state advances; well below its shortest timeout.
const TICK: Duration = Duration::from_millis(100);

/// Longest datagram read; longer ones are cut and refused.
const READ_BYTES: usize = 2_048;

/// What other tasks tell the membership task.
#[derive(Debug)]
pub enum Input {
    /// A datagram arrived.
    Datagram(SocketAddr, Vec<u8>),
    /// Time passed.
    Tick,
    /// There is news of requests that crash upstreams, or of what upstreams state about themselves.
    News,
    /// This node is stopping.
    Leave,
}

/// Runs the membership of this node until its inputs end.
pub async fn run(socket: UdpSocket, node: Rc<Node>, tx: Tx<Input>, mut rx: Rx<Input>) {
    let socket = Rc::new(socket);
    monoio::spawn(read(socket.clone(), tx.clone()));
    monoio::spawn(tick(tx.clone()));
    node.tells_by(tx);
    let mut members = {
        let settings = &node.state.borrow().settings;
        let mut members = member::Members::new(
            settings.peer_addr,
            settings.zone.clone(),
            unix_ms(),
            member::Timing::default(),
            rand::rngs::SmallRng::from_os_rng(),
        );
        let others = settings.seed_addrs.iter().filter(|addr| **addr != settings.peer_addr);
        members.set_listed(others.map(|addr| (*addr, "".into())));
        members
    };
    while let Some(input) = rx.recv().await {
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
                member::Event::Finding(finding) => node.hear_finding(&finding, "a peer"),
                member::Event::Notice(notice) => node.hear_peer_notice(&notice),
                member::Event::DigestMismatch { addr, held_digest } => {
                    let known = node.state.borrow().quarantine.findings_for_peer(held_digest);
                    out.extend(members.send_findings(addr, known, now));
                }
                event => apply(&node, event),
            }
        }
        out.extend(tell_findings(&mut members, &node));
        out.extend(tell_notices(&mut members, &node));
        for member::Outgoing { to, packet } in out {
            let bytes = packet.encode();
            count_sent(&node, to, bytes.len() as u64);
            // A datagram that cannot be sent is one that is lost: the protocol expects that.
            let _ = socket.send_to(bytes, to).await;
        }
    }
}

fn count_sent(node: &Node, to: SocketAddr, bytes: u64) {
    let state = &mut *node.state.borrow_mut();
    let is_near = state.peers.get(&to).is_some_and(|peer| peer.zone == state.settings.zone);
    state.counters.membership_bytes += bytes;
    state.counters.membership_far_bytes += if is_near { 0 } else { bytes };
}

/// Tells peers what is news of requests that crash upstreams.
fn tell_findings(members: &mut member::Members, node: &Node) -> Vec<member::Outgoing> {
    let ledger = &mut node.state.borrow_mut().quarantine;
    let news = ledger.take_new_findings(unix_ms());
    members.set_held_digest(ledger.digest());
    news.into_iter().flat_map(|news| members.broadcast_finding(news)).collect()
}

/// Tells peers what is news of what upstreams state about themselves.
fn tell_notices(members: &mut member::Members, node: &Node) -> Vec<member::Outgoing> {
    let (news, now) = (node.state.borrow_mut().backpressure.take_new_notices(), Instant::now());
    news.into_iter().flat_map(|news| members.broadcast_notice(news, now)).collect()
}

fn handle(members: &mut member::Members, input: Input, now: Instant) -> Vec<member::Outgoing> {
    match input {
        Input::Tick => members.tick(now),
        Input::News => Vec::new(),
        Input::Datagram(from, bytes) => match wire::Packet::decode(&bytes) {
            Ok(packet) => members.receive(from, packet, now),
            Err(err) => {
                trace::Line::new("peer_packet_refused")
                    .field("peer", from)
                    .field("error", err.to_string())
                    .log();
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
        let (result, mut buf) = socket.recv_from(vec![0; READ_BYTES]).await;
        match result {
            Ok((length, from)) => {
                buf.truncate(length);
                if tx.send(Input::Datagram(from, buf)).is_err() {
                    return;
                }
            }
            // An ICMP "port unreachable" of an earlier send shows here on some systems.
            Err(_) => monoio::time::sleep(TICK).await,
        }
    }
}

async fn tick(tx: Tx<Input>) {
    while tx.send(Input::Tick).is_ok() {
        monoio::time::sleep(TICK).await;
    }
}
