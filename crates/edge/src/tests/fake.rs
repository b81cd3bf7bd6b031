//! Test fixtures: an entry node, scripted upstreams, and a caller that sends raw bytes.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderName, Method};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use place::{Change, Entry};
use route::{ClientLimits, RetryPolicy, Route, Service, Table, Target};
use web::h1;

use crate::forward::Node;
use crate::state::State;
use crate::{HeaderNames, Settings};

/// First sends that deposit more into a node's retry budget than a test needs.
const INITIAL_FIRST_SENDS: usize = 40;

/// Interval at which an upstream checks a flag of its test.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which tests check whether their event loop has stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest stall that tests print.
const MIN_PRINTED_STALL: Duration = Duration::from_millis(10);

/// Maximum time that a test waits for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Unix start time of the tests' upstreams, in milliseconds.
pub const BORN_MS: u64 = 1_000;

/// Returns the incarnation of the listed upstream `id`.
pub fn incarnation(id: &str) -> place::Incarnation {
    place::Incarnation { id: id.into(), born_ms: BORN_MS }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-id"),
        deadline_ms: HeaderName::from_static("x-deadline"),
        signature: HeaderName::from_static("x-signature"),
        expect_upstream: HeaderName::from_static("x-expect"),
        not_run: HeaderName::from_static("x-not-run"),
        load: HeaderName::from_static("x-load"),
        cold_ms: HeaderName::from_static("x-cold-ms"),
        notices: notice::HeaderNames {
            limit: HeaderName::from_static("x-limit"),
            leaving: HeaderName::from_static("x-leaving"),
        },
        team: http::HeaderName::from_static("x-team"),
    }
}

pub fn settings() -> Settings {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Settings {
        node_id: "n1".into(),
        zone: "a".into(),
        regions: HashMap::new(),
        front_addr: addr,
        peer_addr: addr,
        quota_addr: None,
        quota_bounds: quota::Bounds { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 },
        seed_addrs: Vec::new(),
        bootstrap: false,
        headers: header_names(),
        policy: place::Policy::Reports,
        parse_load: |_| None,
        config_bound: lease::StalenessBound::new(Duration::from_secs(2)),
        list_bound: lease::StalenessBound::new(Duration::from_secs(2)),
        directory_ttl: Duration::from_secs(3),
        stop_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        max_probes_per_upstream_per_s: 0.0,
        cross_zone_cost_per_kib: 0.04,
        capacity: None,
    }
}

/// Returns a table with an idempotent route `/get/` and an at-most-once route `/post/`.
pub fn table(version: route::Version, limits: ClientLimits) -> Table {
    table_with_times(version, limits, ms(600), ms(300))
}

/// Same as [`table`], with routes of this timeout.
pub fn table_with_timeout(
    version: route::Version,
    limits: ClientLimits,
    timeout: Duration,
) -> Table {
    table_with_times(version, limits, timeout, ms(300))
}

/// Same as [`table`], with a latency objective, and twice that as timeout.
pub fn table_with_objective(
    version: route::Version,
    limits: ClientLimits,
    objective: Duration,
) -> Table {
    table_with_times(version, limits, 2 * objective, objective)
}

/// Same as [`table`], with a route `/v1/` of version 1, `/v2/` of version 2 and so on.
pub fn table_with_version_route(version: route::Version, limits: ClientLimits) -> Table {
    table_with_prefixes(version, limits, ms(600), ms(300), &["/get/", &format!("/v{version}/")])
}

fn table_with_times(
    version: route::Version,
    limits: ClientLimits,
    timeout: Duration,
    objective: Duration,
) -> Table {
    table_with_prefixes(version, limits, timeout, objective, &["/get/"])
}

/// Returns a table with idempotent routes of these prefixes and an at-most-once route `/post/`.
fn table_with_prefixes(
    version: route::Version,
    limits: ClientLimits,
    timeout: Duration,
    objective: Duration,
    idempotent_prefixes: &[&str],
) -> Table {
    let route = |prefix: &str, retry_policy| Route {
        name: prefix.into(),
        prefix: prefix.into(),
        retry_policy,
        targets: vec![Target { service: "desk".into(), weight: 1.0 }],
        attempts: 2,
        timeout,
        objective,
        priority: 0,
        allowed_regions: Vec::new(),
    };
    let routes = idempotent_prefixes
        .iter()
        .map(|prefix| route(prefix, RetryPolicy::Idempotent))
        .chain([route("/post/", RetryPolicy::AtMostOnce)])
        .map(|route| ("seeds.example".into(), route))
        .collect();
    let service = Service {
        name: "desk".into(),
        probe_path: "/healthz".into(),
        max_connections: 100,
        warm_up_per_s: None,
    };
    Table::new(version, limits, vec![service], routes)
}

pub fn metrics() -> crate::metrics::Metrics {
    crate::metrics::Metrics::new().expect("metrics are set up")
}

/// A step of an upstream's script for one request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes this text, with `{id}` replaced by the request's id.
    Write(String),
    /// Waits.
    Wait(Duration),
    /// Waits until the test sets this.
    WaitUntil(Rc<Cell<bool>>),
    /// Closes the connection.
    Close,
}

/// Returns a complete valid response with `body`.
pub fn ok_response(body: &str) -> Step {
    let length = body.len();
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-signature: s\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

/// Returns a response that states that the request was not run.
pub fn refusal(status: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub head: h1::RequestHead,
    pub body: Vec<u8>,
    pub at: Instant,
}

/// An upstream that runs the next script for each request, and the last one for all further ones.
pub struct Upstream {
    pub addr: SocketAddr,
    pub seen: Rc<RefCell<Vec<SeenRequest>>>,
    /// Number of connections closed by the other side while a script waited.
    pub abandoned: Rc<Cell<u32>>,
    pub connections: Rc<Cell<u32>>,
}

impl Upstream {
    pub fn start(scripts: Vec<Vec<Step>>) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = Upstream {
            addr: listener.local_addr().expect("bound"),
            seen: Rc::default(),
            abandoned: Rc::default(),
            connections: Rc::default(),
        };
        let (seen, abandoned) = (upstream.seen.clone(), upstream.abandoned.clone());
        let connections = upstream.connections.clone();
        let scripts = Rc::new(RefCell::new(VecDeque::from(scripts)));
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let (seen, abandoned) = (seen.clone(), abandoned.clone());
                monoio::spawn(serve(stream, scripts.clone(), seen, abandoned));
            }
        });
        upstream
    }

    pub fn runs(&self) -> usize {
        self.seen.borrow().len()
    }
}

async fn serve(
    stream: TcpStream,
    scripts: Rc<RefCell<VecDeque<Vec<Step>>>>,
    seen: Rc<RefCell<Vec<SeenRequest>>>,
    abandoned: Rc<Cell<u32>>,
) {
    let (mut reader, mut writer) = h1::split(stream);
    while let Ok(head) = reader.request_head(64 * 1024).await {
        let id = head.headers.get("x-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
        let script = {
            let mut scripts = scripts.borrow_mut();
            match scripts.len() {
                0 | 1 => scripts.front().cloned().unwrap_or_default(),
                _ => scripts.pop_front().unwrap_or_default(),
            }
        };
        let early = matches!(script.first(), Some(Step::Write(text)) if text.contains("x-early"));
        let mut body = Vec::new();
        let mut decoder = h1::Decoder::new(head.framing);
        if !early {
            loop {
                match reader.body_piece(&mut decoder).await {
                    Ok(Some(piece)) => body.extend_from_slice(&piece),
                    Ok(None) => break,
                    Err(_) => return,
                }
            }
        }
        seen.borrow_mut().push(SeenRequest { head, body, at: Instant::now() });
        for step in script {
            match step {
                Step::Write(text) => {
                    let bytes = text.replace("{id}", &id).into_bytes();
                    if writer.write(bytes).await.is_err() {
                        return;
                    }
                }
                Step::Wait(time) => {
                    if let Ok(Ok(false) | Err(_)) = monoio::time::timeout(time, reader.fill()).await
                    {
                        abandoned.set(abandoned.get() + 1);
                        return;
                    }
                }
                Step::WaitUntil(is_set) => {
                    while !is_set.get() {
                        monoio::time::sleep(FLAG_CHECK_INTERVAL).await;
                    }
                }
                Step::Close => return,
            }
        }
    }
}

/// An entry node and its address for callers.
pub struct EntryNode {
    pub node: Rc<Node>,
    pub addr: SocketAddr,
}

/// Starts an entry node in front of `upstreams`.
pub fn start(upstreams: &[&Upstream]) -> EntryNode {
    start_with(upstreams, |_| {})
}

/// Same as [`start`], with changed settings.
pub fn start_with(upstreams: &[&Upstream], configure: impl FnOnce(&mut Settings)) -> EntryNode {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("bound");
    let mut settings = settings();
    configure(&mut settings);
    let mut state = State::new(settings);
    state.apply_table(table(1, ClientLimits::default()));
    for (n, upstream) in upstreams.iter().enumerate() {
        let entry = Entry {
            id: format!("u{n}").into(),
            born_ms: BORN_MS,
            service: "desk".into(),
            addr: upstream.addr,
            // The first one is in the node's own zone, so it is tried first.
            zone: if n == 0 { "a".into() } else { "b".into() },
            slots: 4,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        state.roster.apply(vec![place::Event::Put(entry.clone())], Instant::now());
        state.apply_change(&Change::Put(entry), Instant::now());
    }
    // Fills the retry budget as earlier requests would.
    (0..INITIAL_FIRST_SENDS).for_each(|_| state.record_first_send(&"desk".into()));
    let node = Rc::new(Node::new(Rc::new(RefCell::new(state)), metrics()));
    monoio::spawn(crate::serve::run(listener, node.clone()));
    EntryNode { node, addr }
}

/// Returns an entry node that may probe its one upstream and has one idle connection to it.
pub async fn with_idle_connection(upstream: &Upstream) -> EntryNode {
    let entry_node = start(&[upstream]);
    {
        let state = &mut *entry_node.node.state.borrow_mut();
        state.settings.max_probes_per_upstream_per_s = 50.0;
        let load = place::Load { running: 0, waiting: 0, slots: 4, slowness: 1.0 };
        let pool = state.pools.get_mut("desk").expect("a pool");
        pool.record_report(&incarnation("u0"), Some(load), Instant::now());
    }
    let response = Caller::connect(entry_node.addr).await.ask(&post("1")).await;
    assert_eq!(response.status, 200);
    monoio::time::sleep(ms(150)).await;
    entry_node
}

/// A response as a caller received it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
}

/// A caller's connection.
pub struct Caller {
    reader: h1::Reader,
    writer: h1::Writer,
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Caller {
        Caller::over(TcpStream::connect_addr(addr).await.expect("connects"))
    }

    /// Returns a caller that uses an open connection.
    pub fn over(stream: TcpStream) -> Caller {
        let (reader, writer) = h1::split(stream);
        Caller { reader, writer }
    }

    pub async fn write(&mut self, text: &str) {
        self.writer.write(text.as_bytes().to_vec()).await.expect("writes");
    }

    /// Reads one response; returns `None` if the connection ends without one.
    pub async fn read(&mut self) -> Option<Response> {
        monoio::time::timeout(READ_TIMEOUT, self.read_response()).await.expect("answered in time")
    }

    async fn read_response(&mut self) -> Option<Response> {
        let head = self.reader.response_head(&Method::GET).await.ok()?;
        let mut decoder = h1::Decoder::new(head.framing);
        let mut body = Vec::new();
        let complete = loop {
            match self.reader.body_piece(&mut decoder).await {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Response { status: head.status.as_u16(), headers: head.headers, body, complete })
    }

    /// Sends a request and reads its response.
    pub async fn ask(&mut self, request: &str) -> Response {
        self.write(request).await;
        self.read().await.expect("a response")
    }
}

/// Returns a request without a body.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: seeds.example\r\nx-id: {id}\r\nx-deadline: 500\r\n\r\n")
}

/// Returns a request that must not run twice.
pub fn post(id: &str) -> String {
    format!(
        "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: {id}\r\nx-deadline: 500\r\n\
         Content-Length: 4\r\n\r\nseed"
    )
}

/// Returns a request that must not run twice, with a body long enough to be streamed.
pub fn long_post(id: &str) -> String {
    let body = "seed".repeat(50_000);
    format!(
        "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: {id}\r\nx-deadline: 500\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Runs a test on the runtime that the programs use. A failed test shows the stalls of its thread.
pub fn run<F: std::future::Future<Output = ()>>(test: F) {
    web::runtime().block_on(async {
        monoio::spawn(print_stalls());
        test.await
    });
}

/// Prints stalls that are too short for [`stall::Detector`], but not for the times that tests measure.
async fn print_stalls() {
    let Ok(schedstat) = stall::Schedstat::of_this_thread() else { return };
    let read = || (Instant::now(), schedstat.read().unwrap_or_default());
    let (mut last_run, mut last_times) = read();
    loop {
        monoio::time::sleep(STALL_CHECK_INTERVAL).await;
        let (now, times) = read();
        let late = now.duration_since(last_run).saturating_sub(STALL_CHECK_INTERVAL);
        if late >= MIN_PRINTED_STALL {
            println!("event loop {late:?} late: {:?}", times.since(last_times));
        }
        (last_run, last_times) = (now, times);
    }
}

/// Reads a raw connection to its end.
pub async fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    loop {
        let (read, bytes) = stream.read(vec![0; 4_096]).await;
        match read {
            Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..length])),
            Ok(_) | Err(_) => return text,
        }
    }
}

pub async fn write_raw(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes().to_vec()).await.0.expect("writes");
}
