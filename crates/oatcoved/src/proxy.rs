//! The request path: discovery, status and forwarding of calls to upstreams.
//!
//! A call to `/s/{service}/{path}` goes to one upstream of `service` as
//! `/{path}`. What the caller is told about its call is exact:
//! `x-oatcove-outcome: not-run` only when no upstream can have run it (no
//! connection was made, or the upstream shed it with 503 and `Retry-After`);
//! `unknown` when bytes may have reached an upstream and no whole answer came
//! back. Only calls whose method the template names idempotent are tried
//! again after bytes may have reached an upstream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderValue, StatusCode};
use rand::SeedableRng;

use crate::view::View;

/// Deadline of opening one connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Idle connections kept per upstream.
const IDLE_PER_UPSTREAM: usize = 64;

/// Headers that concern one connection only and are never handed on.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What happened to one attempt.
enum Attempt {
    /// The upstream answered; the answer goes to the caller as it is.
    Answered(web::Response),
    /// The upstream refused before running; another may be tried.
    Refused,
    /// No bytes reached any upstream.
    NotSent,
    /// Bytes may have reached the upstream; no whole answer came.
    Lost(web::Error),
}

/// The entry node's HTTP handler.
pub struct Node {
    view: Rc<RefCell<View>>,
    idle: RefCell<HashMap<SocketAddr, Vec<web::Conn>>>,
    rng: RefCell<rand::rngs::SmallRng>,
    next_id: Cell<u64>,
}

impl Node {
    /// Creates the handler over `view`.
    pub fn new(view: Rc<RefCell<View>>) -> Node {
        Node {
            view,
            idle: RefCell::new(HashMap::new()),
            rng: RefCell::new(rand::rngs::SmallRng::from_os_rng()),
            next_id: Cell::new(0),
        }
    }

    fn request_id(&self, request: &web::Request) -> HeaderValue {
        match request.headers().get(crate::REQUEST_ID) {
            Some(id) => id.clone(),
            None => {
                let n = self.next_id.get() + 1;
                self.next_id.set(n);
                let node = self.view.borrow().settings.node_id.clone();
                HeaderValue::from_str(&format!("{node}-{n}")).expect("ids are ASCII")
            }
        }
    }

    async fn forward(&self, request: web::Request, service: &str, path: &str) -> web::Response {
        let started = Instant::now();
        let request_id = self.request_id(&request);
        let team = request.headers().get(crate::TEAM).and_then(|v| v.to_str().ok());
        let (params, zone) = {
            let mut view = self.view.borrow_mut();
            view.counters.calls += 1;
            let zone = view.settings.zone.clone();
            match view.templates.get(service) {
                Some(held) => (held.template.params(team).clone(), zone),
                None => {
                    view.counters.not_run += 1;
                    return outcome(
                        StatusCode::NOT_FOUND,
                        "not-run",
                        &request_id,
                        "unknown service\n",
                    );
                }
            }
        };
        let caller_ms = request
            .headers()
            .get(crate::TIMEOUT_MS)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse::<u64>().ok());
        let budget = Duration::from_millis(
            caller_ms.map_or(params.timeout_ms, |ms| ms.min(params.timeout_ms)),
        );
        let deadline = started + budget;
        let idempotent = params.idempotent_methods.iter().any(|m| m == request.method().as_str());
        // Addresses, not indexes: membership can change between two attempts.
        let mut tried: Vec<SocketAddr> = Vec::new();
        let mut may_have_run = false;
        for attempt in 1..=params.max_attempts.max(1) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let pick = {
                let view = self.view.borrow();
                let pool = view.pools.get(service);
                let now = Instant::now();
                pool.and_then(|p| {
                    p.pick(&zone, params.zone_affinity, &tried, now, &mut *self.rng.borrow_mut())
                })
                .map(|index| pool.expect("picked from it").upstreams[index].addr)
            };
            let Some(addr) = pick.filter(|_| !remaining.is_zero()) else { break };
            tried.push(addr);
            if attempt > 1 {
                self.view.borrow_mut().counters.retries += 1;
            }
            let upstream_request = upstream_request(&request, path, addr, &request_id, remaining);
            self.note_start(service, addr);
            let sent_at = Instant::now();
            let result = self.attempt(addr, upstream_request, remaining).await;
            let finished = match &result {
                Attempt::Answered(_) => balance::Finished::Answered(sent_at.elapsed()),
                Attempt::Refused => balance::Finished::Refused,
                Attempt::NotSent | Attempt::Lost(_) => balance::Finished::Failed,
            };
            self.note_finish(service, addr, finished);
            log::debug!(
                "service={service} request_id={} attempt={attempt} upstream={addr}",
                request_id.to_str().unwrap_or("-")
            );
            match result {
                Attempt::Answered(response) => {
                    self.view.borrow_mut().counters.done += 1;
                    return with_outcome(response, "done", &request_id);
                }
                Attempt::Refused | Attempt::NotSent => continue,
                Attempt::Lost(_) if idempotent => may_have_run = true,
                Attempt::Lost(err) => {
                    self.view.borrow_mut().counters.unknown += 1;
                    let status = match err {
                        web::Error::Timeout => StatusCode::GATEWAY_TIMEOUT,
                        _ => StatusCode::BAD_GATEWAY,
                    };
                    return outcome(
                        status,
                        "unknown",
                        &request_id,
                        &format!("{err}; the call may have run\n"),
                    );
                }
            }
        }
        // Every attempt was refused or not sent, or idempotent ones were lost and none is left.
        let mut view = self.view.borrow_mut();
        match may_have_run {
            true => {
                view.counters.unknown += 1;
                outcome(
                    StatusCode::GATEWAY_TIMEOUT,
                    "unknown",
                    &request_id,
                    "no attempt was answered\n",
                )
            }
            false => {
                view.counters.not_run += 1;
                let mut response = outcome(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "not-run",
                    &request_id,
                    "no upstream could take the call\n",
                );
                response
                    .headers_mut()
                    .insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
                response
            }
        }
    }

    async fn attempt(
        &self,
        addr: SocketAddr,
        request: web::Request,
        remaining: Duration,
    ) -> Attempt {
        let idle = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
        let mut conn = match idle {
            Some(conn) => conn,
            None => match web::Conn::connect(addr, CONNECT_TIMEOUT.min(remaining)).await {
                Ok(conn) => conn,
                Err(_) => return Attempt::NotSent,
            },
        };
        let request_id = request.headers().get(crate::REQUEST_ID).cloned();
        let has_body = !request.body().is_empty();
        match conn.send(request, remaining).await {
            // A surplus or late answer of an earlier call stands where this call's answer is
            // expected. A caller would get another caller's bytes and nothing would log it;
            // the request id that upstreams echo tells whose answer it is. The connection is
            // dropped, and what became of this call is not known.
            Ok(response)
                if response
                    .headers()
                    .get(crate::REQUEST_ID)
                    .is_some_and(|echoed| Some(echoed) != request_id.as_ref()) =>
            {
                Attempt::Lost(web::Error::Http("the answer is another call's".to_owned()))
            }
            Ok(response) => {
                let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
                    && response.headers().contains_key(http::header::RETRY_AFTER);
                self.keep_idle(addr, conn, &response);
                match refused {
                    true => Attempt::Refused,
                    false => Attempt::Answered(response),
                }
            }
            // Head and body are flushed together, so without a body a failed write means the
            // upstream has at most part of the head and cannot have run the call. With a body
            // the head may have arrived whole, and the upstream may have acted on it.
            Err(web::Error::Send(_)) if !has_body => Attempt::NotSent,
            Err(err) => Attempt::Lost(err),
        }
    }

    /// Keeps a connection whose last response was read whole, unless either side asked to close.
    fn keep_idle(&self, addr: SocketAddr, conn: web::Conn, response: &web::Response) {
        let closing = web::closes(response.headers());
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if !closing && list.len() < IDLE_PER_UPSTREAM {
            list.push(conn);
        }
    }

    fn note_start(&self, service: &str, addr: SocketAddr) {
        let mut view = self.view.borrow_mut();
        if let Some(pool) = view.pools.get_mut(service) {
            if let Some(index) = pool.position(addr) {
                pool.start(index);
            }
        }
    }

    fn note_finish(&self, service: &str, addr: SocketAddr, finished: balance::Finished) {
        let mut view = self.view.borrow_mut();
        if let Some(pool) = view.pools.get_mut(service) {
            if let Some(index) = pool.position(addr) {
                pool.finish(index, finished, Instant::now());
            }
        }
    }
}

impl web::Handler for Node {
    async fn handle(&self, request: web::Request, _peer: SocketAddr) -> web::Response {
        let mut response = self.route(request).await;
        if self.view.borrow().stopping {
            // The caller's next call must go to another entry node.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }
}

impl Node {
    async fn route(&self, request: web::Request) -> web::Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&http::Method::GET, "/v1/entries") => {
                let view = self.view.borrow();
                let service = web::query(request.uri(), "service");
                match service {
                    Some(name) if view.templates.contains_key(name) => {
                        let answer =
                            crate::discovery::entries(&view, web::query(request.uri(), "zone"));
                        web::json(StatusCode::OK, serde_json::to_vec(&answer).expect("encodes"))
                    }
                    Some(_) => web::reply(StatusCode::NOT_FOUND, "unknown service\n"),
                    None => web::reply(
                        StatusCode::BAD_REQUEST,
                        "query parameter `service` is required\n",
                    ),
                }
            }
            (&http::Method::GET, "/v1/vms") => {
                let vms: Vec<_> = self.view.borrow().vms.values().cloned().collect();
                web::json(StatusCode::OK, serde_json::to_vec(&vms).expect("encodes"))
            }
            (&http::Method::GET, p) if p.starts_with("/v1/rows/") => {
                let since = web::query(request.uri(), "since").and_then(|v| v.parse().ok());
                match crate::relay::rows(&self.view.borrow(), &p[9..], since.unwrap_or(0)) {
                    Some(rows) => {
                        web::json(StatusCode::OK, serde_json::to_vec(&rows).expect("encodes"))
                    }
                    None => web::reply(StatusCode::NOT_FOUND, "no such table is relayed\n"),
                }
            }
            (&http::Method::GET, "/v1/status") => {
                let status = self.view.borrow().status();
                web::json(StatusCode::OK, serde_json::to_vec(&status).expect("encodes"))
            }
            (_, p) if p.starts_with("/s/") => {
                let rest = &p[3..];
                let (service, tail) = rest.split_once('/').unwrap_or((rest, ""));
                let tail = match request.uri().query() {
                    Some(query) => format!("/{tail}?{query}"),
                    None => format!("/{tail}"),
                };
                let service = service.to_owned();
                self.view.borrow_mut().in_flight += 1;
                let response = self.forward(request, &service, &tail).await;
                self.view.borrow_mut().in_flight -= 1;
                response
            }
            _ => web::reply(StatusCode::NOT_FOUND, "no such route; calls go to /s/{service}/...\n"),
        }
    }
}

/// Builds the request sent to an upstream: same method, headers and body, the service prefix removed.
fn upstream_request(
    request: &web::Request,
    path: &str,
    addr: SocketAddr,
    request_id: &HeaderValue,
    remaining: Duration,
) -> web::Request {
    let mut builder = http::Request::builder().method(request.method().clone()).uri(path);
    for (name, value) in request.headers() {
        let own = [http::header::HOST, http::header::CONTENT_LENGTH].contains(name)
            || [crate::REQUEST_ID, crate::TIMEOUT_MS].contains(&name.as_str());
        if !own && !CONNECTION_HEADERS.contains(&name.as_str()) {
            builder = builder.header(name, value);
        }
    }
    builder
        .header(http::header::HOST, addr.to_string())
        .header(crate::REQUEST_ID, request_id)
        .header(crate::TIMEOUT_MS, remaining.as_millis().to_string())
        .body(request.body().clone())
        .expect("request builds")
}

fn with_outcome(
    mut response: web::Response,
    outcome: &'static str,
    request_id: &HeaderValue,
) -> web::Response {
    response.headers_mut().insert(crate::OUTCOME, HeaderValue::from_static(outcome));
    response.headers_mut().insert(crate::REQUEST_ID, request_id.clone());
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    for name in CONNECTION_HEADERS {
        response.headers_mut().remove(name);
    }
    response
}

fn outcome(
    status: StatusCode,
    outcome: &'static str,
    request_id: &HeaderValue,
    text: &str,
) -> web::Response {
    with_outcome(web::reply(status, text.to_owned()), outcome, request_id)
}

#[cfg(test)]
mod tests;
