//! A cluster of entry nodes that are members of one fleet, with upstreams that crash when they run
//! a certain request.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::{mpsc::unbounded, oneshot};
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, TcpStream};
use place::{Entry, Event};
use route::ClientLimits;
use web::h1;

use super::fake::{metrics, ms, settings, table, Caller};
use crate::follow::SourceError;
use crate::forward::Node;
use crate::history::Cursor;
use crate::holds::{Hold, Holds, StoredHold};
use crate::state::{self, State};
use crate::{follow, gossip, holds, serve};

/// Slots of each upstream, which is also the maximum number of requests that one crash loses.
pub const SLOTS: usize = 4;

/// Time that an upstream works on the crashing request before it crashes, and on other requests.
const CRASH_DELAY: Duration = Duration::from_millis(60);
const SERVICE_TIME: Duration = Duration::from_millis(25);

/// Service time of requests whose path contains `long`.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(200);

/// Time after which an ended upstream is back at its address, under a new id.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time that a caller allows for a request including its retry; each attempt states what is left.
const DEADLINE: Duration = Duration::from_millis(500);

/// What the upstreams of a cluster observed.
#[derive(Default)]
pub struct Seen {
    /// When each crash happened.
    pub crashes: Vec<Instant>,
    /// When the crashing request reached an upstream.
    pub arrivals: Vec<Instant>,
    /// Paths of the other requests, and ids of the upstreams that ran them.
    pub ran: Vec<(String, String)>,
}

/// One run of an upstream. Dropping its senders ends its listener and its connections.
struct Instance {
    id: String,
    end_senders: RefCell<Vec<oneshot::Sender<()>>>,
    running: Cell<u32>,
}

impl Instance {
    fn end_signal(&self) -> oneshot::Receiver<()> {
        let (end_sender, ended) = oneshot::channel();
        self.end_senders.borrow_mut().push(end_sender);
        ended
    }

    fn end(&self) {
        self.end_senders.borrow_mut().clear();
    }
}

/// Entry nodes that are members of one fleet, and their upstreams.
pub struct Cluster {
    pub nodes: Vec<Rc<Node>>,
    pub fronts: Vec<SocketAddr>,
    pub seen: RefCell<Seen>,
    /// Requests whose target contains this crash the upstream that runs them.
    crash_marker: &'static str,
    started: Cell<u32>,
    instances: RefCell<Vec<Rc<Instance>>>,
    /// Where its nodes reach each other.
    network: Network,
}

/// Addresses of the nodes of a cluster: the third octet, and their port.
#[derive(Clone, Copy)]
struct Network {
    number: u8,
    port: u16,
}

impl Network {
    /// Returns the addresses of the cluster with this number, at a free port: two runs of the same
    /// tests may be active at once.
    fn new(number: u8) -> Network {
        let first =
            std::net::UdpSocket::bind((Ipv4Addr::new(127, 0, number, 1), 0)).expect("binds");
        Network { number, port: first.local_addr().expect("bound").port() }
    }

    fn addr(self, node: u8) -> SocketAddr {
        SocketAddr::from(([127, 0, self.number, node + 1], self.port))
    }
}

impl Cluster {
    /// Starts `nodes` nodes on addresses from 127.0.`network`.1 in front of `upstreams` upstreams.
    pub fn start(
        network: u8,
        nodes: u8,
        upstreams: usize,
        crash_marker: &'static str,
    ) -> Rc<Cluster> {
        let network = Network::new(network);
        let started = (0..nodes).map(|n| start_node(network.addr(n), network.addr(0)));
        let (nodes, fronts) = started.unzip();
        let (seen, started, instances) = Default::default();
        let cluster =
            Rc::new(Cluster { nodes, fronts, seen, crash_marker, started, instances, network });
        for _ in 0..upstreams {
            cluster.start_upstream("127.0.0.1:0".parse().expect("an address"));
        }
        cluster
    }

    /// Starts an upstream at `addr` and adds it to the lists of all nodes.
    fn start_upstream(self: &Rc<Cluster>, addr: SocketAddr) {
        let listener = TcpListener::bind(addr).expect("binds");
        let addr = listener.local_addr().expect("bound");
        self.started.set(self.started.get() + 1);
        let id = format!("u{}", self.started.get());
        let instance =
            Instance { id: id.clone(), end_senders: RefCell::default(), running: Cell::new(0) };
        let entry = Entry {
            id: id.into(),
            born_ms: super::fake::BORN_MS,
            service: "desk".into(),
            addr,
            zone: "a".into(),
            slots: SLOTS as u32,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        self.update_lists(Event::Put(entry));
        let (cluster, instance) = (self.clone(), Rc::new(instance));
        self.instances.borrow_mut().push(instance.clone());
        monoio::spawn(async move {
            cluster.serve_until_end(listener, &instance).await;
            cluster.instances.borrow_mut().retain(|other| !Rc::ptr_eq(other, &instance));
            monoio::time::sleep(RESTART_DELAY).await;
            cluster.update_lists(Event::Gone(instance.id.as_str().into()));
            cluster.start_upstream(addr);
        });
    }

    fn update_lists(&self, event: Event) {
        for node in &self.nodes {
            follow::apply_upstreams(node, vec![event.clone()], Instant::now());
        }
    }

    /// Accepts connections until the upstream ends.
    async fn serve_until_end(self: &Rc<Cluster>, listener: TcpListener, instance: &Rc<Instance>) {
        let mut ended = instance.end_signal();
        loop {
            let stream = monoio::select! {
                _ = &mut ended => return,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => return,
                },
            };
            let (cluster, instance) = (self.clone(), instance.clone());
            let mut ended = instance.end_signal();
            monoio::spawn(async move {
                monoio::select! {
                    _ = &mut ended => {}
                    () = cluster.serve_connection(stream, &instance) => {}
                }
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream, instance: &Instance) {
        let (mut reader, mut writer) = h1::split(stream);
        while let Ok(head) = reader.request_head(64 * 1024).await {
            let mut decoder = h1::Decoder::new(head.framing);
            let budget = web::BufferBudget::unlimited();
            if reader.body(&mut decoder, 1024 * 1024, &budget).await.is_err() {
                return;
            }
            let text = |name: &str| {
                let value = head.headers.get(name).and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            let id = text("x-id");
            if text("x-expect") != instance.id {
                let rejection = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n";
                if writer.write(rejection.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            instance.running.set(instance.running.get() + 1);
            if head.target.contains(self.crash_marker) {
                self.seen.borrow_mut().arrivals.push(Instant::now());
                monoio::time::sleep(CRASH_DELAY).await;
                self.seen.borrow_mut().crashes.push(Instant::now());
                instance.end();
                return;
            }
            let ran = (head.path().to_owned(), instance.id.clone());
            self.seen.borrow_mut().ran.push(ran);
            let is_long = head.path().contains("long");
            monoio::time::sleep(if is_long { LONG_SERVICE_TIME } else { SERVICE_TIME }).await;
            instance.running.set(instance.running.get() - 1);
            let response = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nbeans"
            );
            if writer.write(response.into_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Ends `count` upstreams.
    pub fn end_upstreams(&self, count: usize) {
        self.instances.borrow().iter().take(count).for_each(|instance| instance.end());
    }

    /// Removes all upstreams from the lists of all nodes.
    pub fn unlist_all_upstreams(&self) {
        let ids: Vec<String> =
            self.instances.borrow().iter().map(|instance| instance.id.clone()).collect();
        ids.iter().for_each(|id| self.update_lists(Event::Gone(id.as_str().into())));
    }

    /// Starts one more node, whose list of upstreams is empty.
    pub fn start_another_node(&self) -> Rc<Node> {
        let number = self.nodes.len() as u8;
        start_node(self.network.addr(number), self.network.addr(0)).0
    }

    /// Returns true when each node has quarantined exactly `count` requests.
    pub fn all_nodes_quarantine(&self, count: usize) -> bool {
        let quarantined_count =
            |node: &Rc<Node>| node.state.borrow().quarantine.quarantined().count();
        self.nodes.iter().all(|node| quarantined_count(node) == count)
    }

    /// Returns the findings of each node.
    pub fn findings(&self) -> Vec<Vec<quarantine::Finding>> {
        let findings = |node: &Rc<Node>| {
            node.state.borrow().quarantine.findings().into_iter().cloned().collect()
        };
        self.nodes.iter().map(findings).collect()
    }

    /// Returns when the third crash happened, or `None` before it.
    pub fn third_crash(&self) -> Option<Instant> {
        self.seen.borrow().crashes.get(2).copied()
    }
}

/// Time after the timeout of a long poll at which its caller gives up on a silent platform.
const SILENT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// A simulated platform that stores one finding and counts calls.
#[derive(Clone, Default)]
pub struct Platform {
    pub stored: Rc<RefCell<Vec<StoredHold>>>,
    pub calls: Rc<Cell<u32>>,
    /// Incrementing this makes all pending long polls hang until they time out.
    pub stalls: Rc<Cell<u32>>,
    version: Rc<Cell<Cursor>>,
}

impl Platform {
    /// Has a node store its findings here, as a node that reads the platform directly.
    pub fn serve(&self, node: &Rc<Node>) {
        {
            let state = &mut *node.state.borrow_mut();
            state.reads_directly = true;
            state.config_progress = state::ReadProgress {
                up_to: 7,
                newest: 7,
                has_read: true,
                ..state::ReadProgress::default()
            };
            state.list_progress = state.config_progress;
        }
        monoio::spawn(holds::run(self.clone(), node.clone()));
    }

    /// Writes a finding as an operator does.
    pub fn put(&self, finding: quarantine::Finding) {
        let why = Some("fixed".to_owned());
        self.write(Hold { finding, written_by: "ana".into(), at_unix_ms: 0, why });
    }

    /// Replaces the stored finding.
    pub fn write(&self, hold: Hold) {
        self.version.set(self.version.get() + 1);
        let stored = StoredHold { hold, written_at: self.version.get() };
        *self.stored.borrow_mut() = vec![stored];
    }

    fn batch(&self) -> holds::Batch {
        holds::Batch { holds: self.stored.borrow().clone(), cursor: self.version.get() }
    }
}

impl Holds for Platform {
    async fn all(&self) -> Result<holds::Batch, SourceError> {
        self.calls.set(self.calls.get() + 1);
        Ok(self.batch())
    }

    async fn changes(
        &self,
        cursor: Cursor,
        long_poll_timeout: Duration,
    ) -> Result<holds::Batch, SourceError> {
        self.calls.set(self.calls.get() + 1);
        let (started_at, stalls) = (Instant::now(), self.stalls.get());
        while self.version.get() == cursor && started_at.elapsed() < long_poll_timeout {
            monoio::time::sleep(ms(10)).await;
        }
        if self.stalls.get() > stalls {
            monoio::time::sleep(
                (long_poll_timeout + SILENT_PLATFORM_TIMEOUT).saturating_sub(started_at.elapsed()),
            )
            .await;
            return Err(SourceError::Unavailable("timed out".into()));
        }
        Ok(self.batch())
    }

    async fn save(&self, hold: &Hold, expected: Cursor) -> Result<bool, SourceError> {
        self.calls.set(self.calls.get() + 1);
        let is_unchanged =
            self.stored.borrow().first().map_or(0, |stored| stored.written_at) == expected;
        if is_unchanged {
            self.write(hold.clone());
        }
        Ok(is_unchanged)
    }
}

fn start_node(at: SocketAddr, seed: SocketAddr) -> (Rc<Node>, SocketAddr) {
    let mut settings = settings();
    settings.peer_addr = at;
    settings.seed_addrs = vec![seed];
    // Retry budget: a fifth of the first sends, and sixty more.
    settings.retry_slack = 60.0;
    let mut state = State::new(settings);
    state.apply_table(table(1, ClientLimits::default()));
    let node = Rc::new(Node::new(Rc::new(RefCell::new(state)), metrics()));
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let front = listener.local_addr().expect("bound");
    monoio::spawn(serve::run(listener, node.clone()));
    let socket = UdpSocket::bind(at).expect("binds");
    let (tx, rx) = unbounded::channel();
    monoio::spawn(gossip::run(socket, node.clone(), tx, rx));
    (node, front)
}

/// Result of one request as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct CallerResult {
    /// When it was first sent.
    pub at: Instant,
    /// Status of the last attempt; 0 when it got no response.
    pub status: u16,
    /// How long the last attempt took.
    pub elapsed: Duration,
}

/// Requests `path` at the node with the index `first`, and retries once at the next one if that
/// fails, as callers do.
pub async fn call_with_retry(
    cluster: &Cluster,
    first: usize,
    path: &str,
    id: &str,
) -> CallerResult {
    let at = Instant::now();
    let mut result = CallerResult { at, status: 0, elapsed: Duration::ZERO };
    for attempt in 0..2 {
        let started_at = Instant::now();
        let left = DEADLINE.saturating_sub(at.elapsed());
        let front = cluster.fronts[(first + attempt) % cluster.fronts.len()];
        let (status, retry_after) = attempt_at(front, path, &format!("{id}-{attempt}"), left).await;
        (result.status, result.elapsed) = (status, started_at.elapsed());
        if status == 200 {
            break;
        }
        let left = DEADLINE.saturating_sub(at.elapsed());
        monoio::time::sleep(retry_after.min(left / 3)).await;
    }
    result
}

/// Makes one attempt; returns its status and its `Retry-After`.
async fn attempt_at(front: SocketAddr, path: &str, id: &str, left: Duration) -> (u16, Duration) {
    let mut caller = Caller::connect(front).await;
    let deadline_ms = left.as_millis();
    caller
        .write(&format!(
            "GET {path} HTTP/1.1\r\nHost: seeds.example\r\nx-id: {id}\r\n\
             x-deadline: {deadline_ms}\r\nConnection: close\r\n\r\n"
        ))
        .await;
    match monoio::time::timeout(left, caller.read()).await {
        Ok(Some(response)) => {
            let retry_after =
                response.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            (response.status, Duration::from_secs_f64(retry_after.unwrap_or(0.0)))
        }
        Ok(None) | Err(_) => (0, ms(0)),
    }
}
