//! Entry nodes that know each other, before upstreams that crash under one request.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::{mpsc::unbounded, oneshot};
use monoio::io::Splitable;
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, TcpStream};
use place::{Entry, Event};
use route::ClientLimits;
use web::h1;

use super::fake::{metrics, ms, settings, table, Caller};
use crate::follow::SourceError;
use crate::forward::Node;
use crate::history::Cursor;
use crate::holds::{Hold, Holds, Kept};
use crate::state::{self, State};
use crate::{follow, gossip, holds, serve};

/// Slots of each upstream: so many requests a crash can take with it.
pub const SLOTS: usize = 4;

/// How long an upstream works on the crashing request before it crashes, and on others.
const CRASHES_AFTER: Duration = Duration::from_millis(60);
const WORKS_FOR: Duration = Duration::from_millis(25);

/// The same for paths that end in `long`.
const WORKS_LONG_FOR: Duration = Duration::from_millis(200);

/// Time after which a crashed upstream is back at its address, under another id.
const BACK_AFTER: Duration = Duration::from_millis(300);

/// Time that a caller gives one attempt, and what it states.
const DEADLINE: Duration = Duration::from_millis(500);

/// What the upstreams of a cluster saw.
#[derive(Default)]
pub struct Seen {
    /// When each crash happened.
    pub crashes: Vec<Instant>,
    /// When the crashing request reached an upstream.
    pub arrivals: Vec<Instant>,
    /// Paths of the other requests, and ids of the upstreams that ran them.
    pub ran: Vec<(String, String)>,
}

/// One start of an upstream. Dropping what ends it closes its listener and its connections.
struct Life {
    id: String,
    ends: RefCell<Vec<oneshot::Sender<()>>>,
    running: Cell<u32>,
}

impl Life {
    fn until_end(&self) -> oneshot::Receiver<()> {
        let (ends, ended) = oneshot::channel();
        self.ends.borrow_mut().push(ends);
        ended
    }

    fn end(&self) {
        self.ends.borrow_mut().clear();
    }
}

/// Entry nodes that are members of one fleet, and their upstreams.
pub struct Cluster {
    pub nodes: Vec<Rc<Node>>,
    pub fronts: Vec<SocketAddr>,
    pub seen: RefCell<Seen>,
    /// Part of the path of requests that crash whichever upstream runs them.
    crashing: &'static str,
    started: Cell<u32>,
    lives: RefCell<Vec<Rc<Life>>>,
    /// Where its nodes reach each other: the third number of their addresses, and their port.
    net: Net,
}

/// Where the nodes of a cluster reach each other.
#[derive(Clone, Copy)]
struct Net {
    number: u8,
    port: u16,
}

impl Net {
    /// Addresses of the cluster with this number, at a port that nobody uses: the same tests may run
    /// twice beside each other.
    fn new(number: u8) -> Net {
        let first =
            std::net::UdpSocket::bind((Ipv4Addr::new(127, 0, number, 1), 0)).expect("binds");
        Net { number, port: first.local_addr().expect("bound").port() }
    }

    fn addr(self, node: u8) -> SocketAddr {
        SocketAddr::from(([127, 0, self.number, node + 1], self.port))
    }
}

impl Cluster {
    /// Starts `nodes` nodes on addresses 127.0.`net`.1 and on, before `upstreams` upstreams.
    pub fn start(net: u8, nodes: u8, upstreams: usize, crashing: &'static str) -> Rc<Cluster> {
        let net = Net::new(net);
        let started = (0..nodes).map(|n| start_node(net.addr(n), net.addr(0)));
        let (nodes, fronts) = started.unzip();
        let (seen, started, lives) = Default::default();
        let cluster = Rc::new(Cluster { nodes, fronts, seen, crashing, started, lives, net });
        for _ in 0..upstreams {
            cluster.start_upstream("127.0.0.1:0".parse().expect("an address"));
        }
        cluster
    }

    /// Starts an upstream at `addr` and has all nodes know of it.
    fn start_upstream(self: &Rc<Cluster>, addr: SocketAddr) {
        let listener = TcpListener::bind(addr).expect("binds");
        let addr = listener.local_addr().expect("bound");
        self.started.set(self.started.get() + 1);
        let id = format!("u{}", self.started.get());
        let life = Life { id: id.clone(), ends: RefCell::default(), running: Cell::new(0) };
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
        self.tell(Event::Put(entry));
        let (cluster, life) = (self.clone(), Rc::new(life));
        self.lives.borrow_mut().push(life.clone());
        monoio::spawn(async move {
            cluster.live(listener, &life).await;
            cluster.lives.borrow_mut().retain(|other| !Rc::ptr_eq(other, &life));
            monoio::time::sleep(BACK_AFTER).await;
            cluster.tell(Event::Gone(life.id.as_str().into()));
            cluster.start_upstream(addr);
        });
    }

    fn tell(&self, event: Event) {
        for node in &self.nodes {
            follow::apply_upstreams(node, vec![event.clone()], Instant::now());
        }
    }

    /// Takes connections until the upstream crashes.
    async fn live(self: &Rc<Cluster>, listener: TcpListener, life: &Rc<Life>) {
        let mut ended = life.until_end();
        loop {
            let stream = monoio::select! {
                _ = &mut ended => return,
                taken = listener.accept() => match taken {
                    Ok((stream, _)) => stream,
                    Err(_) => return,
                },
            };
            let (cluster, life) = (self.clone(), life.clone());
            let mut ended = life.until_end();
            monoio::spawn(async move {
                monoio::select! {
                    _ = &mut ended => {}
                    () = cluster.connection(stream, &life) => {}
                }
            });
        }
    }

    async fn connection(&self, stream: TcpStream, life: &Life) {
        let (read, write) = stream.into_split();
        let (mut reader, mut writer) = (h1::Reader::new(read), h1::Writer::new(write));
        while let Ok(head) = reader.request_head(64 * 1024).await {
            let mut decoder = h1::Decoder::new(head.framing);
            if reader.body(&mut decoder, 1024 * 1024).await.is_err() {
                return;
            }
            let text = |name: &str| {
                let value = head.headers.get(name).and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            let id = text("x-id");
            if text("x-expect") != life.id {
                let refusal = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n";
                if writer.write(refusal.into()).await.is_err() {
                    return;
                }
                continue;
            }
            life.running.set(life.running.get() + 1);
            if head.target.contains(self.crashing) {
                self.seen.borrow_mut().arrivals.push(Instant::now());
                monoio::time::sleep(CRASHES_AFTER).await;
                self.seen.borrow_mut().crashes.push(Instant::now());
                life.end();
                return;
            }
            let ran = (head.path().to_owned(), life.id.clone());
            self.seen.borrow_mut().ran.push(ran);
            let is_long = head.path().contains("long");
            monoio::time::sleep(if is_long { WORKS_LONG_FOR } else { WORKS_FOR }).await;
            life.running.set(life.running.get() - 1);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nbeans"
            );
            if writer.write(answer.into_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Has so many upstreams end by themselves.
    pub fn end_some(&self, count: usize) {
        self.lives.borrow().iter().take(count).for_each(|life| life.end());
    }

    /// Has the list say of all upstreams that they leave.
    pub fn let_all_go(&self) {
        let ids: Vec<String> = self.lives.borrow().iter().map(|life| life.id.clone()).collect();
        ids.iter().for_each(|id| self.tell(Event::Gone(id.as_str().into())));
    }

    /// Starts one more node, which knows of no upstreams.
    pub fn join_another(&self) -> Rc<Node> {
        let number = self.nodes.len() as u8;
        start_node(self.net.addr(number), self.net.addr(0)).0
    }

    /// Returns true when each node holds back so many requests.
    pub fn all_hold_back(&self, count: usize) -> bool {
        let held = |node: &Rc<Node>| node.state.borrow().quarantine.quarantined().count();
        self.nodes.iter().all(|node| held(node) == count)
    }

    /// Returns what each node knows of requests that crashed upstreams.
    pub fn findings(&self) -> Vec<Vec<quarantine::Finding>> {
        let known = |node: &Rc<Node>| {
            node.state.borrow().quarantine.findings().into_iter().cloned().collect()
        };
        self.nodes.iter().map(known).collect()
    }

    /// Returns when the third crash happened, once it has.
    pub fn third_crash(&self) -> Option<Instant> {
        self.seen.borrow().crashes.get(2).copied()
    }
}

/// Time after which a wait without an answer is given up.
const PATIENCE: Duration = Duration::from_secs(1);

/// A platform that keeps findings and counts the calls.
#[derive(Clone, Default)]
pub struct Platform {
    pub kept: Rc<RefCell<Vec<Kept>>>,
    pub calls: Rc<Cell<u32>>,
    /// Raised, waits under way go silent for good, without a sign.
    pub stalls: Rc<Cell<u32>>,
    version: Rc<Cell<Cursor>>,
}

impl Platform {
    /// Has a node keep what it finds here, as one that reads the platform itself.
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

    /// Writes a finding, as an operator does.
    pub fn put(&self, finding: quarantine::Finding) {
        let why = Some("fixed".to_owned());
        self.write(Hold { finding, written_by: "ana".into(), at_unix_ms: 0, why });
    }

    /// Has a finding in place of what is kept.
    pub fn write(&self, hold: Hold) {
        self.version.set(self.version.get() + 1);
        let kept = Kept { hold, written_at: self.version.get() };
        *self.kept.borrow_mut() = vec![kept];
    }

    fn batch(&self) -> holds::Batch {
        holds::Batch { kept: self.kept.borrow().clone(), cursor: self.version.get() }
    }
}

impl Holds for Platform {
    async fn all(&self) -> Result<holds::Batch, SourceError> {
        self.calls.set(self.calls.get() + 1);
        Ok(self.batch())
    }

    async fn changes(&self, cursor: Cursor, wait: Duration) -> Result<holds::Batch, SourceError> {
        self.calls.set(self.calls.get() + 1);
        let (began, stalls) = (Instant::now(), self.stalls.get());
        while self.version.get() == cursor && began.elapsed() < wait {
            monoio::time::sleep(ms(10)).await;
        }
        if self.stalls.get() > stalls {
            monoio::time::sleep((wait + PATIENCE).saturating_sub(began.elapsed())).await;
            return Err(SourceError::Unavailable("timed out".into()));
        }
        Ok(self.batch())
    }

    async fn keep(&self, hold: &Hold, over: Cursor) -> Result<bool, SourceError> {
        self.calls.set(self.calls.get() + 1);
        let is_as_read = self.kept.borrow().first().map_or(0, |kept| kept.written_at) == over;
        if is_as_read {
            self.write(hold.clone());
        }
        Ok(is_as_read)
    }
}

fn start_node(at: SocketAddr, seed: SocketAddr) -> (Rc<Node>, SocketAddr) {
    let mut settings = settings();
    settings.peer_addr = at;
    settings.seed_addrs = vec![seed];
    // Each service may get a fifth of the first sends again, and sixty more.
    settings.retry_slack = 60.0;
    let mut state = State::new(settings);
    state.apply_table(table(1, ClientLimits::default()));
    let node = Rc::new(Node::new(Rc::new(RefCell::new(state)), metrics()));
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let front = listener.local_addr().expect("bound");
    monoio::spawn(serve::run(listener, node.clone()));
    let socket = UdpSocket::bind(at).expect("binds");
    let (inputs, taken) = unbounded::channel();
    monoio::spawn(gossip::run(socket, node.clone(), inputs, taken));
    (node, front)
}

/// One request as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// When it was first sent.
    pub at: Instant,
    /// Status of the last attempt; 0 when its connection ended without an answer.
    pub status: u16,
    /// How long the last attempt took.
    pub took: Duration,
}

/// Asks for `path` at one node, and once more at the next if that fails, as callers do.
pub async fn ask(cluster: &Cluster, first: usize, path: &str, id: &str) -> Asked {
    let at = Instant::now();
    let mut asked = Asked { at, status: 0, took: Duration::ZERO };
    for attempt in 0..2 {
        let began = Instant::now();
        let left = DEADLINE.saturating_sub(at.elapsed());
        let front = cluster.fronts[(first + attempt) % cluster.fronts.len()];
        let (status, come_back) = attempt_at(front, path, &format!("{id}-{attempt}"), left).await;
        (asked.status, asked.took) = (status, began.elapsed());
        if status == 200 {
            break;
        }
        let left = DEADLINE.saturating_sub(at.elapsed());
        monoio::time::sleep(come_back.min(left / 3)).await;
    }
    asked
}

/// Makes one attempt; returns its status and when to come back.
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
        Ok(Some(got)) => {
            let after = got.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            (got.status, Duration::from_secs_f64(after.unwrap_or(0.0)))
        }
        Ok(None) | Err(_) => (0, ms(0)),
    }
}
