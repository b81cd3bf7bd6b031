//! A node that is partitioned from all upstreams, beside one that reaches them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, TcpStream};
use web::h1;

use super::fake::{self, get, ms, ok_response, post, Caller, EntryNode, Step, Upstream};
use super::fleet::{addr as peer_addr, own_addr, serving, state_at};
use crate::{directory, gossip, relay, stop};

/// Time after the start of a partition from which its callers must be served.
const STABILITY: Duration = Duration::from_secs(3);

/// Time for which calls are counted.
const COUNTED: Duration = Duration::from_secs(2);

/// Callers of each node, half of them with requests that must not run twice.
const CALLERS: usize = 4;

/// Upstreams that the partitioned node knows.
const UPSTREAMS: usize = 4;

/// How the connections of a partitioned node fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// New ones are refused.
    Refused,
    /// They are open, and nothing is answered.
    Unanswered,
}

/// Addresses that stand for the upstreams as a partitioned node sees them.
pub struct Unreachable {
    closed: Vec<emu::closed_port::ClosedPort>,
    silent: Vec<Upstream>,
}

impl Unreachable {
    pub fn new(failure: Failure) -> Unreachable {
        let silent = || Upstream::start(vec![vec![Step::Wait(Duration::from_secs(60))]]);
        let closed = || emu::closed_port::ClosedPort::new().expect("a port is free");
        let count = |wanted| if failure == wanted { UPSTREAMS } else { 0 };
        Unreachable {
            closed: (0..count(Failure::Refused)).map(|_| closed()).collect(),
            silent: (0..count(Failure::Unanswered)).map(|_| silent()).collect(),
        }
    }

    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let silent = self.silent.iter().map(|upstream| upstream.addr);
        self.closed.iter().map(|port| port.addr()).chain(silent)
    }
}

/// Starts a node whose upstreams have these addresses, with its housekeeping and its peer port.
pub fn start_node(upstreams: &[SocketAddr]) -> EntryNode {
    let peers = TcpListener::bind("127.0.0.1:0").expect("binds");
    let peer_addr = peers.local_addr().expect("bound");
    let entry_node = fake::start_with(&[], |settings| settings.peer_addr = peer_addr);
    let node = entry_node.node.clone();
    for (n, addr) in upstreams.iter().enumerate() {
        let entry = place::Entry {
            id: format!("u{n}").into(),
            born_ms: fake::BORN_MS,
            service: "desk".into(),
            addr: *addr,
            zone: "a".into(),
            slots: 4,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        let mut state = node.state.borrow_mut();
        state.roster.apply(vec![place::Event::Put(entry.clone())], Instant::now());
        state.apply_change(&place::Change::Put(entry), Instant::now());
    }
    monoio::spawn(relay::serve(peers, node.clone()));
    monoio::spawn(async move {
        stop::run_until_signal(&stop::Signals::default(), &node, |_, _| {}).await;
    });
    entry_node
}

pub fn introduce(a: &EntryNode, b: &EntryNode) {
    let peer_addr = b.node.state.borrow().settings.peer_addr;
    a.node.state.borrow_mut().peers.insert(peer_addr, serving("a"));
}

/// Calls a node one request after the other; returns how many of those sent from `from` on were
/// served, and how many there were.
async fn call(addr: SocketAddr, name: String, from: Instant, until: Instant) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    for n in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            break;
        }
        let id = format!("{name}-{n}");
        let request = if name.starts_with("post") { post(&id) } else { get("/get/1", &id) };
        let response = Caller::connect(addr).await.ask(&request).await;
        if sent_at >= from {
            sent += 1;
            served += usize::from(response.status == 200);
        }
        monoio::time::sleep(ms(20)).await;
    }
    (served, sent)
}

/// Calls a node by several callers; returns how many requests were served, and how many were sent.
async fn call_all(addr: SocketAddr, from: Instant, until: Instant) -> (usize, usize) {
    let name = |n: usize| format!("{}{addr}-{n}", if n < CALLERS / 2 { "get" } else { "post" });
    let callers = (0..CALLERS).map(|n| monoio::spawn(call(addr, name(n), from, until)));
    let (mut served, mut sent) = (0, 0);
    for caller in callers.collect::<Vec<_>>() {
        let counts = caller.await;
        (served, sent) = (served + counts.0, sent + counts.1);
    }
    (served, sent)
}

/// Guards against callers of a node without a path to any upstream who are refused or time out
/// although its peers reach the upstreams.
#[yare::parameterized(
    connections_are_refused = { Failure::Refused },
    nothing_is_answered = { Failure::Unanswered },
)]
fn callers_of_a_node_that_is_partitioned_from_all_upstreams_are_served(failure: Failure) {
    fake::run(async move {
        let upstream = Rc::new(Upstream::start(vec![vec![Step::Wait(ms(20)), ok_response("x")]]));
        let unreachable = Unreachable::new(failure);
        let partitioned = start_node(&unreachable.addrs().collect::<Vec<_>>());
        let in_touch = start_node(&[upstream.addr]);
        introduce(&partitioned, &in_touch);
        introduce(&in_touch, &partitioned);
        let from = Instant::now() + STABILITY;
        let until = from + COUNTED;
        let others = monoio::spawn(call_all(in_touch.addr, from, until));
        let (served, sent) = call_all(partitioned.addr, from, until).await;
        let (served_by_others, sent_to_others) = others.await;
        let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
        assert!(
            3.0 * share(served, sent) >= 2.0 * share(served_by_others, sent_to_others),
            "{served} of {sent}, the other node {served_by_others} of {sent_to_others}"
        );
    });
}

/// Returns the addresses that a node at 10.0.0.1 names to callers of its zone `a`, where the peers
/// with these numbers have said that they are partitioned.
fn named(partitioned: &[u8], is_partitioned_itself: bool) -> Vec<String> {
    let mut state = state_at(peer_addr(1), &[(2, "a"), (3, "a"), (4, "b"), (5, "b")]);
    state.settings.front_addr = peer_addr(1);
    let now = Instant::now();
    for n in partitioned {
        state.peer_paths.record_claim(peer_addr(*n), true, now);
    }
    for n in 0..if is_partitioned_itself { 3 } else { 0 } {
        state.paths.record_failure(peer_addr(200 + n), 3, now);
    }
    let lookup = directory::Lookup { zone: "a", ..directory::Lookup::default() };
    let addrs = directory::addresses(&mut state, lookup).into_iter();
    let mut addrs: Vec<String> = addrs.map(|addr| addr.ip().to_string()).collect();
    addrs.sort();
    addrs
}

/// Guards against callers that are sent to nodes which can serve them only through the others.
#[test]
fn nodes_without_a_path_to_any_upstream_are_not_named_to_callers() {
    assert_eq!(named(&[], false), ["10.0.0.1", "10.0.0.2", "10.0.0.3"]);
    assert_eq!(named(&[3], false), ["10.0.0.1", "10.0.0.2"]);
    assert_eq!(named(&[], true), ["10.0.0.2", "10.0.0.3"]);
    assert_eq!(named(&[2, 3], true), ["10.0.0.4", "10.0.0.5"], "the whole zone");
    let all = named(&[2, 3, 4, 5], true);
    assert_eq!(all, ["10.0.0.1", "10.0.0.2", "10.0.0.3"], "nobody is better off");
}

/// Guards against peers that never learn of a partition or of its end.
#[test]
fn peers_learn_of_a_partition_and_of_its_end() {
    fake::run(async {
        let start = |addr: SocketAddr| {
            let node = fake::start_with(&[], |settings| settings.peer_addr = addr).node;
            let socket = UdpSocket::bind(addr).expect("binds");
            let (tx, rx) = local_sync::mpsc::unbounded::channel();
            monoio::spawn(gossip::run(socket, node.clone(), tx, rx));
            node
        };
        let (a, b) = (start(own_addr(71)), start(own_addr(72)));
        a.state.borrow_mut().peers.insert(own_addr(72), serving("a"));
        let knows = |is_partitioned: bool| {
            let b = b.clone();
            async move {
                let started_at = Instant::now();
                let is_known =
                    || b.state.borrow().peer_paths.is_partitioned(own_addr(71), Instant::now());
                while is_known() != is_partitioned {
                    assert!(started_at.elapsed() < STABILITY, "not known: {is_partitioned}");
                    monoio::time::sleep(ms(20)).await;
                }
            }
        };
        for n in 0..3 {
            let failed = peer_addr(200 + n);
            a.state.borrow_mut().paths.record_failure(failed, 3, Instant::now());
        }
        knows(true).await;
        a.state.borrow_mut().paths.record_response(Instant::now());
        knows(false).await;
    });
}

/// Starts an upstream that refuses new connections while `is_cut` is set, and resets open ones while
/// `is_reset` is. Its address is one that no other test listens on meanwhile.
fn start_severable(
    addr: SocketAddr,
    is_cut: &Rc<Cell<bool>>,
    is_reset: &Rc<Cell<bool>>,
) -> SocketAddr {
    let (is_cut, is_reset) = (is_cut.clone(), is_reset.clone());
    let mut listener = TcpListener::bind(addr).expect("binds");
    monoio::spawn(async move {
        loop {
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    monoio::spawn(answer_until_reset(stream, is_reset.clone()));
                }
            };
            monoio::select! {
                () = accepting => {}
                () = until_set(&is_cut, true) => {}
            }
            drop(listener);
            until_set(&is_cut, false).await;
            listener = TcpListener::bind(addr).expect("binds again");
        }
    });
    addr
}

async fn until_set(flag: &Cell<bool>, value: bool) {
    while flag.get() != value {
        monoio::time::sleep(ms(2)).await;
    }
}

async fn answer_until_reset(stream: TcpStream, is_reset: Rc<Cell<bool>>) {
    let (mut reader, mut writer) = h1::split(stream);
    let answering = async {
        while let Ok(head) = reader.request_head(64 * 1024).await {
            let id = head.headers.get("x-id").and_then(|id| id.to_str().ok()).unwrap_or("");
            monoio::time::sleep(ms(60)).await;
            let text = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 1\r\n\r\nx"
            );
            if writer.write(text.into_bytes()).await.is_err() {
                return;
            }
        }
    };
    monoio::select! {
        () = answering => {}
        () = until_set(&is_reset, true) => {}
    }
}

/// Guards against a popular request that is quarantined in the whole fleet because a partition
/// resets its connections at several upstreams and refuses new ones, as a crash would.
#[test]
fn a_request_that_is_lost_in_a_partition_is_not_taken_for_one_that_crashes_upstreams() {
    fake::run(async {
        let is_cut = Rc::new(Cell::new(false));
        let start = |n: u8| start_severable(own_addr(80 + n), &is_cut, &is_cut);
        let entry_node = start_node(&(0..8).map(start).collect::<Vec<_>>());
        let call = |n: usize| {
            let addr = entry_node.addr;
            monoio::spawn(async move {
                let request = get("/get/popular", &format!("popular-{n}"));
                Caller::connect(addr).await.ask(&request).await.status
            })
        };
        for n in 0..200 {
            // Two partitions of 0.3 s, in series.
            is_cut.set((40..70).contains(&n) || (110..140).contains(&n));
            drop(call(n));
            monoio::time::sleep(ms(10)).await;
        }
        let findings: Vec<String> = {
            let state = entry_node.node.state.borrow();
            state.quarantine.findings().iter().map(|finding| format!("{finding:?}")).collect()
        };
        assert_eq!(call(201).await, 200, "{findings:?}");
        assert_eq!(
            entry_node.node.state.borrow().quarantine.quarantined().count(),
            0,
            "{findings:?}"
        );
    });
}

/// Guards against callers who are refused because open connections are in use and new ones are
/// refused, although a peer opens new ones.
#[test]
fn a_peer_takes_what_open_connections_cannot_carry() {
    const CALLERS_BEFORE: usize = 1;
    const CALLERS_WHILE: usize = 12;
    fake::run(async {
        let (is_cut, never) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let start = |n: u8| start_severable(own_addr(90 + n), &is_cut, &never);
        let partitioned = start_node(&(0..UPSTREAMS as u8).map(start).collect::<Vec<_>>());
        let reachable: Vec<Upstream> = (0..UPSTREAMS)
            .map(|_| Upstream::start(vec![vec![Step::Wait(ms(60)), ok_response("x")]]))
            .collect();
        let in_touch = start_node(&reachable.iter().map(|u| u.addr).collect::<Vec<_>>());
        introduce(&partitioned, &in_touch);
        let now = Instant::now();
        let calls = async |count: usize, from: Instant, until: Instant| {
            let name =
                |n: usize| format!("{}-{n}-{count}", if n < count / 2 { "post" } else { "get" });
            let callers =
                (0..count).map(|n| monoio::spawn(call(partitioned.addr, name(n), from, until)));
            let (mut served, mut sent) = (0, 0);
            for caller in callers.collect::<Vec<_>>() {
                let counts = caller.await;
                (served, sent) = (served + counts.0, sent + counts.1);
            }
            (served, sent)
        };
        calls(CALLERS_BEFORE, now, now + ms(500)).await;
        is_cut.set(true);
        let from = Instant::now() + STABILITY;
        let (served, sent) = calls(CALLERS_WHILE, from, from + COUNTED).await;
        let counters = |entry_node: &EntryNode| entry_node.node.state.borrow().counters;
        let seen = (counters(&partitioned), counters(&in_touch));
        assert!(sent - served <= 10 + sent / 50, "{served} of {sent}: {seen:?}");
    });
}
