//! Asks upstreams for their load just before a request is placed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method};
use place::Incarnation;
use route::ServiceName;
use smol_str::SmolStr;
use web::h1;

use crate::conns::Conn;
use crate::forward::{Node, CONNECT_TIMEOUT};

/// Longest time a request waits for reports, as a part of its objective.
const WAIT_PART: f64 = 0.08;

/// The same, at most.
const WAIT_MOST: Duration = Duration::from_millis(25);

/// A probe is given up after this long; its connection is then closed, as an
/// upstream that does not answer in a hundred times the usual has gone silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for a question that makes sure of a connection: upstreams that report their load
/// answer within 2 ms across zones.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(50);

/// Probes saved up while none are needed, per upstream of the service.
const SAVED_MOST: f64 = 2.0;

/// What is left of a node's part of the probes that a service may get.
///
/// The load pattern: at a burst every request finds the reports too old and
/// asks; at small upstreams the questions would then take the place of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    saved: f64,
    at: Option<Instant>,
}

impl Budget {
    /// Takes up to `wanted` probes out of the budget of `per_s`, of which `most` can be saved.
    pub fn take(&mut self, wanted: usize, per_s: f64, most: f64, now: Instant) -> usize {
        let passed = self.at.map_or(f64::MAX, |at| (now - at).as_secs_f64());
        self.at = Some(now);
        self.saved = (self.saved + passed * per_s).min(most);
        let taken = wanted.min(self.saved as usize);
        self.saved -= taken as f64;
        taken
    }
}

/// Asks the upstreams `ids` of `service` for their load, and waits a little for the answers.
pub async fn ask(
    node: &Rc<Node>,
    service: &ServiceName,
    upstreams: Vec<Incarnation>,
    objective: Duration,
) {
    if upstreams.is_empty() {
        return;
    }
    let wait = objective.mul_f64(WAIT_PART).min(WAIT_MOST);
    let (done, mut answers) = local_sync::mpsc::unbounded::channel::<()>();
    for upstream in upstreams {
        let (node, service, done) = (node.clone(), service.clone(), done.clone());
        monoio::spawn(async move {
            let probing = monoio::time::timeout(PROBE_TIMEOUT, probe(&node, &service, &upstream));
            if probing.await.is_err() {
                node.conns.close(&upstream);
            }
            drop(done);
        });
    }
    drop(done);
    // Ends when every probe has dropped its sender.
    let _ = monoio::time::timeout(wait, answers.recv()).await;
}

/// Where an upstream is asked.
struct Target {
    addr: SocketAddr,
    path: SmolStr,
}

impl Target {
    fn of(node: &Node, service: &ServiceName, upstream: &Incarnation) -> Option<Target> {
        let state = node.state.borrow();
        let service = state.table.as_ref()?.services.get(service)?;
        let pool = state.pools.get(&service.name)?;
        let addr = pool.upstreams()[pool.position(upstream)?].addr;
        Some(Target { addr, path: service.probe_path.clone() })
    }
}

/// Sends one probe and takes what the answer says of the upstream's load.
async fn probe(node: &Rc<Node>, service: &ServiceName, upstream: &Incarnation) {
    let Some(target) = Target::of(node, service, upstream) else { return };
    let conn = match node.connection(upstream, target.addr, CONNECT_TIMEOUT).await {
        Ok(conn) => conn,
        Err(err) => {
            node.unconnected(upstream, &err);
            trace::Line::new("probe_connect_failed")
                .field("upstream", upstream.id())
                .field("error", err.to_string())
                .log();
            if let Some(pool) = node.state.borrow_mut().pools.get_mut(service) {
                pool.record_connect_failure(upstream, Instant::now());
            }
            return;
        }
    };
    let kept = conn.used;
    match trade(node, service, upstream, &target, conn).await {
        Some(conn) => node.conns.put(upstream, conn),
        // The one used last is gone: those that rested longer are gone too.
        None if kept => node.conns.close(upstream),
        None => {}
    }
}

/// Makes sure that the upstream still knows a connection that rested: returns it after a question
/// was answered on it, `None` when it is of no use any more.
///
/// An upstream that forgets an idle connection resets what is sent next on it, and whether a
/// request was run cannot be told from a reset. A lost question harms nobody.
pub async fn verify(
    node: &Node,
    service: &ServiceName,
    upstream: &Incarnation,
    conn: Conn,
) -> Option<Conn> {
    let target = Target::of(node, service, upstream)?;
    let asking =
        monoio::time::timeout(VERIFY_TIMEOUT, trade(node, service, upstream, &target, conn));
    asking.await.ok().flatten()
}

/// Asks over `conn`; returns it if it can be used again.
async fn trade(
    node: &Node,
    service: &ServiceName,
    upstream: &Incarnation,
    target: &Target,
    mut conn: Conn,
) -> Option<Conn> {
    node.state.borrow_mut().counters.probes += 1;
    let mut headers = HeaderMap::new();
    let host = http::HeaderValue::try_from(target.addr.to_string()).expect("an address is a value");
    headers.insert(http::header::HOST, host);
    let request = h1::write_request(&Method::GET, &target.path, &headers);
    conn.writer.write(request).await.ok()?;
    let head = conn.reader.response_head(&Method::GET).await.ok()?;
    let mut decoder = h1::Decoder::new(head.framing);
    node.hear_notice(upstream, head.status, &head.headers, None);
    while conn.reader.body_piece(&mut decoder).await.ok()?.is_some() {}
    node.take_load(service, upstream, &head.headers);
    node.take_cold(service, upstream, &head.headers);
    let reusable = head.keep_alive && !conn.reader.has_buffered();
    conn.answered(&head.headers);
    reusable.then_some(conn)
}

/// Returns the probes per second that a node may send to a service, and how many it may save.
pub fn allowance(node: &Node, service: &str) -> (f64, f64) {
    let state = node.state.borrow();
    let upstreams = state.pools.get(service).map_or(0, place::Pool::in_service_count) as f64;
    let per_s =
        state.settings.max_probes_per_upstream_per_s * upstreams / state.fleet_size() as f64;
    (per_s, upstreams * SAVED_MOST)
}
