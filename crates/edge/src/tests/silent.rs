//! Upstreams that go silent when they are full: the stand-in, in the dialect of these tests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use emu::upstream::{LoadReport, Mode, UpstreamConfig};
use http::{HeaderValue, StatusCode};
use monoio::net::TcpListener;
use place::{Change, Entry, Load};
use web::Handler;

use super::fake::{
    self, get, header_names, incarnation, ms, run, start, table_with_objective, Caller, EntryNode,
    Step, BORN_MS,
};

/// Slots of an upstream. With so many, the first requests in the queue are expected to wait for so
/// short a time that they are sent.
const SLOTS: usize = 16;

/// Requests that are all that an upstream can run and queue at once.
const FULL: usize = SLOTS + 1;

/// Time that a request takes. A machine that stands still for half of it does not matter.
const SERVICE_TIME: Duration = Duration::from_millis(220);

/// Latency objective: the first requests in the queue can still be in time.
const OBJECTIVE: Duration = Duration::from_millis(1_200);

/// Deadline of requests: an upstream that was full is idle and probed before.
const DEADLINE_MS: u64 = 2_200;

/// Time after which an upstream that was full is idle: half as long again as twice the longest
/// service time.
const IDLE_AFTER: Duration = Duration::from_millis(1_000);

/// An upstream stand-in that speaks as the upstreams of these tests do.
struct Upstream {
    emulated: emu::upstream::Upstream,
}

impl Handler for Upstream {
    fn max_connections(&self) -> usize {
        1_000
    }

    async fn handle(&self, mut request: web::Request, peer: SocketAddr) -> web::Response {
        let names = header_names();
        let id = request.headers().get(&names.request_id).cloned();
        if let Some(id) = &id {
            let name = http::HeaderName::from_static(emu::upstream::REQUEST_ID);
            request.headers_mut().insert(name, id.clone());
        }
        if request.uri().path() == "/healthz" {
            *request.uri_mut() = http::Uri::from_static("/load");
        }
        let mut response = self.emulated.handle(request, peer).await;
        let load = self.load(peer).await;
        let headers = response.headers_mut();
        headers.insert(names.load, HeaderValue::try_from(load).expect("a header value"));
        headers.insert(names.signature, HeaderValue::from_static("s"));
        headers.extend(id.map(|id| (names.request_id, id)));
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(names.not_run, HeaderValue::from_static("1"));
        }
        response
    }
}

impl Upstream {
    async fn load(&self, peer: SocketAddr) -> String {
        let request = http::Request::get("/load").body(bytes::Bytes::new()).expect("a request");
        let response = self.emulated.handle(request, peer).await;
        let report: LoadReport = serde_json::from_slice(response.body()).expect("a load report");
        format!("{}/{}", report.in_flight, report.slots)
    }

    /// Starts a stand-in that is silent when full if `silent` is true.
    fn start(silent: bool) -> (Rc<Upstream>, SocketAddr) {
        let emulated = emu::upstream::Upstream::new(UpstreamConfig {
            slots: SLOTS,
            max_connections: 1_000,
            queue_limit: FULL - SLOTS,
            light_service_time: SERVICE_TIME,
            heavy_service_time: SERVICE_TIME,
            cold_start: Duration::ZERO,
            load_refresh_interval: Duration::ZERO,
        });
        emulated.set_mode(Mode { silent_when_full: silent, ..Default::default() });
        let upstream = Rc::new(Upstream { emulated });
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        monoio::spawn(web::serve(listener, upstream.clone()));
        (upstream, addr)
    }
}

/// Parses the load that [`Upstream`] reports.
fn parse_load(text: &str) -> Option<Load> {
    let (in_flight, slots) = text.split_once('/')?;
    let (in_flight, slots): (u32, u32) = (in_flight.parse().ok()?, slots.parse().ok()?);
    let running = in_flight.min(slots);
    Some(Load { running, waiting: in_flight - running, slots, slowness: 1.0 })
}

/// Lists an upstream at the entry node.
fn list(entry_node: &EntryNode, id: &str, addr: SocketAddr) {
    let entry = Entry {
        id: id.into(),
        born_ms: BORN_MS,
        service: "desk".into(),
        addr,
        zone: "a".into(),
        slots: SLOTS as u32,
        leaving: false,
        cold_for: Duration::ZERO,
    };
    let state = &mut *entry_node.node.state.borrow_mut();
    state.roster.apply(vec![place::Event::Put(entry.clone())], Instant::now());
    state.apply_change(&Change::Put(entry), Instant::now());
}

/// Starts an entry node in front of one upstream, `u0`.
fn start_node(addr: SocketAddr) -> EntryNode {
    let entry_node = start(&[]);
    {
        let settings = &mut entry_node.node.state.borrow_mut().settings;
        settings.parse_load = parse_load;
        settings.max_probes_per_upstream_per_s = 1_000.0;
    }
    let table = table_with_objective(2, Default::default(), OBJECTIVE);
    entry_node.node.state.borrow_mut().apply_table(table);
    list(&entry_node, "u0", addr);
    entry_node
}

/// Fills the slots and the queue of an upstream with requests of others.
async fn fill(addr: SocketAddr) {
    for _ in 0..FULL {
        monoio::spawn(async move {
            let mut conn = web::Conn::connect(addr, ms(500)).await.expect("connects");
            let request = http::Request::get("/get/other").body(bytes::Bytes::new());
            let _ = conn.send(request.expect("a request"), ms(8_000)).await;
        });
    }
    monoio::time::sleep(ms(30)).await;
}

fn post(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: {id}\r\nx-deadline: {deadline_ms}\r\n\
         Content-Length: 4\r\n\r\nseed"
    )
}

fn counters(entry_node: &EntryNode) -> crate::state::Counters {
    entry_node.node.state.borrow().counters
}

fn is_silent(entry_node: &EntryNode) -> bool {
    let state = entry_node.node.state.borrow();
    state.pools["desk"].silence().is_silent(Instant::now())
}

/// Records that a request vanished at `u0`, whose queue was full: the second is proof.
fn record_vanished(entry_node: &EntryNode) {
    let now = Instant::now();
    let state = &mut *entry_node.node.state.borrow_mut();
    let silence = state.pools.get_mut("desk").expect("desk").silence_mut();
    let full = Load { running: SLOTS as u32, waiting: 1, slots: SLOTS as u32, slowness: 1.0 };
    silence.record_report(&incarnation("u0"), full, now);
    let id = silence.record_sent(&incarnation("u0"), Some(full), 500, now);
    assert!(!silence.record_vanished(id, now));
    silence.record_ended(id);
}

/// Waits for up to 2 s until `is_so`.
async fn until(is_so: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_so() {
        assert!(started_at.elapsed() < ms(2_000), "not so in time");
        monoio::time::sleep(ms(10)).await;
    }
}

/// Guards against an idempotent request that waits for its deadline: its upstream was full, does not
/// hold it and will never answer it, and another one has become free.
#[test]
fn a_vanished_idempotent_request_is_sent_again() {
    run(async {
        let (first, addr) = Upstream::start(true);
        let (second, second_addr) = Upstream::start(true);
        let entry_node = start_node(addr);
        record_vanished(&entry_node);
        fill(addr).await;
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&get("/get/1", "7").replace("x-deadline: 500", "x-deadline: 2400")).await;
        until(|| counters(&entry_node).vanished == 1).await;
        assert_eq!(first.emulated.ignored(), 1);
        list(&entry_node, "u1", second_addr);
        let response = caller.read().await.expect("a response");
        assert_eq!(response.status, 200);
        assert_eq!((first.emulated.executions("7"), second.emulated.executions("7")), (0, 1));
        assert_eq!((counters(&entry_node).vanished, counters(&entry_node).hedges), (1, 0));
        assert!(is_silent(&entry_node));
        // The connection that was silent is closed; the one that was probed over is kept.
        assert_eq!(entry_node.node.conns.open_count(&incarnation("u0")), 1);
    });
}

/// Guards against a false answer to a request that must not run twice: its response may only have
/// been lost, so that neither is it sent again nor may its caller be told before the deadline.
#[test]
fn a_vanished_request_that_must_not_run_twice_is_unknown_at_its_deadline() {
    run(async {
        let (first, addr) = Upstream::start(true);
        let (second, second_addr) = Upstream::start(true);
        let entry_node = start_node(addr);
        record_vanished(&entry_node);
        fill(addr).await;
        let (mut caller, sent_at) = (Caller::connect(entry_node.addr).await, Instant::now());
        caller.write(&post("7", DEADLINE_MS)).await;
        monoio::time::sleep(ms(20)).await;
        list(&entry_node, "u1", second_addr);
        let response = caller.read().await.expect("a response");
        assert_eq!(response.status, 504);
        assert!(sent_at.elapsed() >= ms(DEADLINE_MS), "{:?}", sent_at.elapsed());
        assert_eq!(first.emulated.ignored(), 1);
        assert_eq!((first.emulated.executions("7"), second.emulated.executions("7")), (0, 0));
        assert_eq!(counters(&entry_node).vanished, 1);
        assert!(is_silent(&entry_node));
    });
}

/// Guards against treating services with more caution than they need: an upstream that refuses what
/// it cannot queue is not silent.
#[test]
fn a_service_that_refuses_when_full_is_not_silent() {
    run(async {
        let (_, addr) = Upstream::start(false);
        let entry_node = start_node(addr);
        fill(addr).await;
        let response = Caller::connect(entry_node.addr).await.ask(&post("7", DEADLINE_MS)).await;
        assert_eq!(response.status, 503);
        let refuses = || {
            let state = entry_node.node.state.borrow();
            state.pools["desk"].silence().refuses(Instant::now())
        };
        assert!(refuses(), "the refusal is on record");
        monoio::time::sleep(IDLE_AFTER).await;
        assert_eq!(counters(&entry_node).vanished, 0);
        assert!(!is_silent(&entry_node));
    });
}

/// Returns an entry node in front of `upstream`, to which a request is under way, and
/// which then reported, in the response to another request, that it holds none.
async fn start_after_idle_report(upstream: &fake::Upstream) -> (EntryNode, Caller) {
    let entry_node = start(&[upstream]);
    let mut caller = Caller::connect(entry_node.addr).await;
    caller.write(&get("/get/1", "7").replace("x-deadline: 500", "x-deadline: 1500")).await;
    monoio::time::sleep(ms(100)).await;
    let load = Load { running: 0, waiting: 0, slots: 4, slowness: 1.0 };
    entry_node.node.state.borrow_mut().pools.get_mut("desk").expect("desk").record_report(
        &incarnation("u0"),
        Some(load),
        Instant::now(),
    );
    (entry_node, caller)
}

/// Guards against a response that is cut, and its caller told 502, while its body still arrives.
#[test]
fn a_response_that_is_arriving_is_not_cut() {
    run(async {
        let head =
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 6\r\n\r\none";
        let script = vec![Step::Write(head.into()), Step::Wait(ms(400)), Step::Write("two".into())];
        let upstream = fake::Upstream::start(vec![script, vec![fake::ok_response("again")]]);
        let (entry_node, mut caller) = start_after_idle_report(&upstream).await;
        let response = caller.read().await.expect("a response");
        assert_eq!(
            (
                response.status,
                response.body.as_str(),
                counters(&entry_node).vanished,
                upstream.runs()
            ),
            (200, "onetwo", 0, 1)
        );
    });
}

/// Guards against 502 to a caller whose response comes late: no other upstream can take the request,
/// so that giving up the send gains nothing.
#[test]
fn a_vanished_request_that_cannot_be_sent_again_is_awaited() {
    run(async {
        let script = vec![Step::Wait(ms(400)), fake::ok_response("late")];
        let upstream = fake::Upstream::start(vec![script, vec![fake::ok_response("again")]]);
        let (entry_node, mut caller) = start_after_idle_report(&upstream).await;
        let response = caller.read().await.expect("a response");
        assert_eq!(
            (
                response.status,
                response.body.as_str(),
                counters(&entry_node).vanished,
                upstream.runs()
            ),
            (200, "late", 1, 1)
        );
    });
}

/// Sends a request to an upstream whose queue is full and whose response is `status`, after `wait`.
async fn ask_full(status: &str, wait: Duration) -> EntryNode {
    let response = format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-not-run: 1\r\nx-load: 20/4\r\n\
         content-length: 0\r\n\r\n"
    );
    let upstream = fake::Upstream::start(vec![vec![Step::Wait(wait), Step::Write(response)]]);
    let entry_node = start(&[&upstream]);
    entry_node.node.state.borrow_mut().settings.parse_load = parse_load;
    let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
    assert_eq!((response.status, upstream.runs()), (503, 1));
    entry_node
}

/// Guards against a silent service taken for one that refuses: a quota, another service's upstream
/// or a deadline that passed in the queue says nothing about room.
#[yare::parameterized(
    at_once = { "503 Full", 0, true },
    after_a_while = { "503 Too late", 200, false },
    quota = { "429 Slow down", 0, false },
    misdirected = { "421 Not here", 0, false },
)]
fn only_a_503_that_comes_at_once_is_a_refusal(status: &str, wait_ms: u64, is_refusal: bool) {
    run(async {
        let entry_node = ask_full(status, ms(wait_ms)).await;
        let state = entry_node.node.state.borrow();
        assert_eq!(state.pools["desk"].silence().refuses(Instant::now()), is_refusal);
    });
}

/// Guards against the queue of another service's upstream being taken for one of this service.
#[test]
fn the_load_of_a_misdirected_request_is_not_recorded() {
    run(async {
        let entry_node = ask_full("421 Not here", Duration::ZERO).await;
        assert_eq!(entry_node.node.state.borrow().pools["desk"].reports_load(), None);
    });
}
