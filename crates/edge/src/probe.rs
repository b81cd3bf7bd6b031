//! Probes upstreams for their load just before an upstream is chosen for a request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method};
use place::Incarnation;
use route::ServiceName;
use smol_str::SmolStr;
use web::h1;

use crate::conns::Conn;
use crate::exchange;
use crate::forward::{Node, CONNECT_TIMEOUT};

/// Longest time that a request waits for load reports, as a ratio of its latency objective.
const MAX_REPORT_WAIT_RATIO: f64 = 0.08;

/// Longest time that a request waits for load reports, however long its objective is.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(25);

/// Timeout of a probe, after which its connection and the idle ones to the upstream are closed. An
/// upstream that has not responded after a hundred times the usual latency has gone silent.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a probe that verifies an idle connection: upstreams that report their load respond
/// within 2 ms across zones.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(50);

/// Unused probes that a budget keeps, per upstream of the service.
const MAX_SAVED_PROBES_PER_UPSTREAM: f64 = 2.0;

/// A node's share of the probes that a service may get, as a token bucket.
///
/// In a burst every request finds the load reports outdated and probes; at small upstreams the
/// probes would then displace work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Takes up to `wanted` probes and returns how many were granted. The budget refills at
    /// `refill_per_s` and holds at most `capacity` probes; it starts full.
    pub fn take(&mut self, wanted: usize, refill_per_s: f64, capacity: f64, now: Instant) -> usize {
        let elapsed = self.refilled_at.map_or(f64::MAX, |at| (now - at).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * refill_per_s).min(capacity);
        let taken = wanted.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }
}

/// Probes `upstreams` of `service` for their load, and waits for the responses for a small part of
/// `objective`. Probes that are still outstanding then go on in the background.
pub async fn probe_all(
    node: &Rc<Node>,
    service: &ServiceName,
    upstreams: Vec<Incarnation>,
    objective: Duration,
) {
    if upstreams.is_empty() {
        return;
    }
    let max_wait = objective.mul_f64(MAX_REPORT_WAIT_RATIO).min(MAX_REPORT_WAIT);
    let (done, mut finished) = local_sync::mpsc::unbounded::channel::<()>();
    for upstream in upstreams {
        let (node, service, done) = (node.clone(), service.clone(), done.clone());
        monoio::spawn(async move {
            let Some(target) = Target::of(&node, &service, &upstream) else { return };
            let probing =
                web::timeout(PROBE_TIMEOUT, probe_one(&node, &service, &upstream, &target));
            if probing.await.is_err() {
                node.record_path_failure(target.addr);
                node.conns.close(&upstream);
            }
            drop(done);
        });
    }
    drop(done);
    // Ends when every probe has dropped its sender.
    let _ = monoio::time::timeout(max_wait, finished.recv()).await;
}

/// What a probe leaves of its connection.
pub enum Probed {
    /// The upstream responded, and the connection can be reused.
    Reusable(Conn),
    /// The upstream responded, and sent something else that was not asked for. The connection is
    /// closed: more may follow.
    Mismatched,
    /// The upstream did not respond, or ends the connection.
    Ended,
}

/// Address and path of a probe.
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

/// Sends one probe and records the load that the response reports.
async fn probe_one(
    node: &Rc<Node>,
    service: &ServiceName,
    upstream: &Incarnation,
    target: &Target,
) {
    let conn = match node.connection(upstream, target.addr, CONNECT_TIMEOUT).await {
        Ok(conn) => conn,
        Err(err) => {
            node.record_unconnected(target.addr);
            node.record_connect_failure(upstream, &err);
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
    let was_reused = conn.used;
    match send_probe(node, service, upstream, target, conn).await {
        Probed::Reusable(conn) => node.conns.put(upstream, conn),
        // The most recently used connection is gone: those that were idle for longer are gone too.
        Probed::Ended if was_reused => node.conns.close(upstream),
        Probed::Ended | Probed::Mismatched => {}
    }
}

/// Which connection checks a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnection {
    /// A new one, even if another one is idle.
    Always,
    /// An idle one, if there is any.
    IfNoneIsIdle,
}

/// Finds out whether this node reaches an upstream, and returns whether it does.
pub async fn check_path(
    node: Rc<Node>,
    service: ServiceName,
    upstream: Incarnation,
    new_connection: NewConnection,
) -> bool {
    let Some(target) = Target::of(&node, &service, &upstream) else { return false };
    let started_at = Instant::now();
    let checking = async {
        let idle = match new_connection {
            NewConnection::Always => None,
            NewConnection::IfNoneIsIdle => node.conns.take(&upstream).await,
        };
        let conn = match idle {
            Some(conn) => conn,
            None => node.new_connection(&upstream, target.addr, CONNECT_TIMEOUT).await.ok()?,
        };
        Some(send_probe(&node, &service, &upstream, &target, conn).await)
    };
    if let Ok(Some(Probed::Reusable(conn))) = web::timeout(PROBE_TIMEOUT, checking).await {
        node.conns.put(&upstream, conn);
    }
    let has_responded = node.state.borrow().paths.has_responded_since(started_at);
    if !has_responded {
        node.record_path_failure(target.addr);
    }
    has_responded
}

/// Verifies by a probe that the upstream still holds an idle connection open.
///
/// An upstream that has dropped its state of an idle connection resets it at the next request, and
/// a reset does not tell whether that request was run. A lost probe does no harm.
pub async fn verify(
    node: &Node,
    service: &ServiceName,
    upstream: &Incarnation,
    conn: Conn,
) -> Probed {
    let Some(target) = Target::of(node, service, upstream) else { return Probed::Ended };
    let probing = web::timeout(VERIFY_TIMEOUT, send_probe(node, service, upstream, &target, conn));
    probing.await.unwrap_or(Probed::Ended)
}

/// Sends a probe over `conn` and records what the response reports.
async fn send_probe(
    node: &Node,
    service: &ServiceName,
    upstream: &Incarnation,
    target: &Target,
    mut conn: Conn,
) -> Probed {
    node.state.borrow_mut().counters.probes += 1;
    let mut headers = HeaderMap::new();
    let host = http::HeaderValue::try_from(target.addr.to_string())
        .expect("a socket address is a valid header value");
    headers.insert(http::header::HOST, host);
    let request = h1::write_request(&Method::GET, &target.path, &headers);
    let receiving = async {
        conn.writer.write(request).await?;
        receive_response(node, upstream, &mut conn.reader).await
    };
    let Ok((head, had_mismatched)) = receiving.await else { return Probed::Ended };
    node.record_load(service, upstream, &head.headers);
    node.record_cold_time(service, upstream, &head.headers);
    conn.record_response(&head.headers);
    match () {
        () if !head.keep_alive => Probed::Ended,
        () if had_mismatched || conn.reader.has_buffered() => Probed::Mismatched,
        () => Probed::Reusable(conn),
    }
}

/// Receives the response to a probe; also returns whether responses to requests came before it.
///
/// An upstream may send a late duplicate of the response to an earlier request. Taken for the
/// response to the probe, it would leave that one to the next request on the connection.
async fn receive_response(
    node: &Node,
    upstream: &Incarnation,
    reader: &mut h1::Reader,
) -> Result<(h1::ResponseHead, bool), h1::ReadError> {
    let names = node.state.borrow().settings.headers.clone();
    let mut had_mismatched = false;
    loop {
        let head = reader.response_head(&Method::GET).await?;
        node.record_path_response();
        let mut decoder = h1::Decoder::new(head.framing);
        let echoed = exchange::echoed_id(&head.headers, &names);
        let is_own = echoed.is_none();
        match echoed {
            None => node.apply_signals(upstream, head.status, &head.headers, None),
            Some(id) => {
                had_mismatched = true;
                trace::Line::new("probe_response_mismatched")
                    .field("upstream", upstream.id())
                    .field("request", id.to_str().unwrap_or("?"))
                    .field("status", head.status.as_u16())
                    .log();
            }
        }
        while reader.body_piece(&mut decoder).await?.is_some() {}
        if is_own {
            return Ok((head, had_mismatched));
        }
    }
}

/// Returns how many probes per second a node may send to a service, and how many unused ones it may
/// keep.
pub fn budget_limits(node: &Node, service: &str) -> (f64, f64) {
    let state = node.state.borrow();
    let upstreams = state.pools.get(service).map_or(0, place::Pool::in_service_count) as f64;
    let refill_per_s =
        state.settings.max_probes_per_upstream_per_s * upstreams / state.fleet_size() as f64;
    (refill_per_s, upstreams * MAX_SAVED_PROBES_PER_UPSTREAM)
}
