//! The task that owns the membership socket and state.
//!
//! It listens for UDP on the same address and port as callers use over TCP,
//! so a peer's address in the VM list is all another node needs. Other tasks
//! send it [`Input`]s; what it learns goes into the [`View`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::net::udp::UdpSocket;
use rand::SeedableRng;
use smol_str::SmolStr;

use crate::view::View;

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
    /// The platform lists these entry nodes.
    Listed(Vec<(SocketAddr, SmolStr)>),
    /// This node learned something of an upstream by watching it.
    Verdict(SocketAddr, wire::Verdict),
    /// This node holds config up to this commit.
    ConfigHead(u64),
    /// There is news of calls that crash upstreams, or of what upstreams state about themselves.
    News,
    /// This node is stopping.
    Leave,
}

/// Binds the membership socket.
///
/// # Errors
///
/// Whatever the operating system says, such as the port being in use.
pub fn bind(addr: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(addr)
}

/// Runs the membership of this node until its inputs end.
pub async fn run(socket: UdpSocket, view: Rc<RefCell<View>>, tx: Tx<Input>, mut rx: Rx<Input>) {
    let socket = Rc::new(socket);
    monoio::spawn(read(socket.clone(), tx.clone()));
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
        let mut out = handle(&mut members, &view, input, now);
        for event in members.take_events() {
            match event {
                member::Event::DigestMismatch { addr, held_digest } => {
                    let known = view.borrow().quarantine.findings_for_peer(held_digest);
                    out.extend(members.send_findings(addr, known, now));
                }
                event => apply(&mut view.borrow_mut(), event),
            }
        }
        out.extend(tell_findings(&mut members, &mut view.borrow_mut().quarantine));
        out.extend(tell_notices(&mut members, &mut view.borrow_mut().notices));
        for member::Outgoing { to, packet } in out {
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

/// Tells peers what is news of calls that crash upstreams.
fn tell_findings(
    members: &mut member::Members,
    ledger: &mut quarantine::Quarantine,
) -> Vec<member::Outgoing> {
    let now = unix_ms();
    ledger.expire(now);
    let news = ledger.take_new_findings(now);
    members.set_held_digest(ledger.digest());
    news.into_iter().flat_map(|news| members.broadcast_finding(news)).collect()
}

/// Tells peers what is news of what upstreams state about themselves.
fn tell_notices(
    members: &mut member::Members,
    notices: &mut notice::Backpressure,
) -> Vec<member::Outgoing> {
    let now = Instant::now();
    notices.expire(now);
    let news = notices.take_new_notices();
    news.into_iter().flat_map(|news| members.broadcast_notice(news, now)).collect()
}

fn handle(
    members: &mut member::Members,
    view: &RefCell<View>,
    input: Input,
    now: Instant,
) -> Vec<member::Outgoing> {
    match input {
        Input::Tick => members.tick(now),
        Input::News => Vec::new(),
        Input::Datagram(from, bytes) => {
            view.borrow_mut().counters.peer_bytes_received += bytes.len() as u64;
            match wire::Packet::decode(&bytes) {
                Ok(packet) => members.receive(from, packet, now),
                Err(err) => {
                    view.borrow_mut().counters.peer_packets_refused += 1;
                    log::debug!("peer={from} packet refused: {err}");
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

/// Applies what the membership learned to the view.
pub fn apply(view: &mut View, event: member::Event) {
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
            view.notices.nodes_changed();
        }
        member::Event::PeerRemoved { addr } => {
            view.peers.remove(&addr);
            view.notices.nodes_changed();
        }
        member::Event::PeerHeads { addr, config_head, list_head: _ } => {
            view.peers.entry(addr).or_default().config_head = config_head;
        }
        member::Event::HealthReport(note) => view.report(note.upstream, note.watcher, note.verdict),
        member::Event::Finding(finding) => {
            view.quarantine.merge_remote(&finding, unix_ms());
        }
        member::Event::Notice(notice) => {
            view.hear_peer_notice(&notice);
        }
        member::Event::DigestMismatch { .. } => {}
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
            Err(err) => {
                log::debug!("membership receive failed: {err}");
                monoio::time::sleep(TICK).await;
            }
        }
    }
}

async fn tick(tx: Tx<Input>) {
    while tx.send(Input::Tick).is_ok() {
        monoio::time::sleep(TICK).await;
    }
}

/// Returns the time of day.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
