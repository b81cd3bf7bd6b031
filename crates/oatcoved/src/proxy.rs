//! The HTTP handler: discovery, status, relay to peers and forwarding of calls to upstreams.
//!
//! A call to `/s/{service}/{path}` is forwarded to an upstream of `service` as
//! `/{path}`. The outcome reported to the caller is exact. It is `not-run` only
//! if no upstream can have run the call: each one tried either did not receive
//! enough of it to run it, or refused it with 503 and `Retry-After`. It is
//! `unknown` if an upstream may have run the call and no complete response was
//! received. A call that an upstream may have run is retried only if the
//! template lists its method as idempotent.
//!
//! [`forward`] handles one call, [`attempt`] sends it to one upstream,
//! [`response`] builds requests and responses, [`crashes`] quarantines calls
//! that crash upstreams, and [`via_peer`] sends calls through another entry node
//! while this one reaches no upstream.

mod attempt;
mod crashes;
mod forward;
mod response;
mod via_peer;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use http::{HeaderValue, StatusCode};
use local_sync::mpsc::unbounded::Tx;
use rand::SeedableRng;
use smol_str::SmolStr;

use crate::gossip;
use crate::metrics::Metrics;
use crate::run_delay::RunDelayClock;
use crate::view::View;

/// Admission control and retry budget of one service.
#[derive(Default)]
struct ServiceLimits {
    limiter: limit::Limiter,
    retry_budget: limit::RetryBudget,
}

/// Memory that the bodies of callers' requests may take together, and again those of responses.
const MAX_BUFFERED_BYTES: usize = 96 * 1024 * 1024;

/// The entry node's HTTP handler.
pub struct Node {
    view: Rc<RefCell<View>>,
    idle: attempt::IdleConns,
    request_buffers: web::BufferBudget,
    response_buffers: web::BufferBudget,
    service_limits: RefCell<HashMap<SmolStr, ServiceLimits>>,
    run_delay: RunDelayClock,
    slow_calls: RefCell<limit::SlowCallDetector>,
    rng: RefCell<rand::rngs::SmallRng>,
    next_id: Cell<u64>,
    metrics: Metrics,
    gossip: Tx<gossip::Input>,
}

impl Node {
    /// Creates the handler, on the thread that will serve its calls. `gossip` is notified of updates
    /// that have to be broadcast to peers.
    pub fn new(view: Rc<RefCell<View>>, metrics: Metrics, gossip: Tx<gossip::Input>) -> Node {
        let response_buffers = web::BufferBudget::new(MAX_BUFFERED_BYTES);
        Node {
            view,
            idle: attempt::IdleConns::new(&response_buffers),
            request_buffers: web::BufferBudget::new(MAX_BUFFERED_BYTES),
            response_buffers,
            service_limits: RefCell::new(HashMap::new()),
            run_delay: RunDelayClock::of_this_thread(),
            slow_calls: RefCell::default(),
            rng: RefCell::new(rand::rngs::SmallRng::from_os_rng()),
            next_id: Cell::new(0),
            metrics,
            gossip,
        }
    }

    async fn route(&self, request: web::Request) -> web::Response {
        let path = request.uri().path().to_owned();
        let query = |key| web::query_param(request.uri(), key);
        match (request.method(), path.as_str()) {
            (&http::Method::GET, "/v1/entries") => self.entries(query("service"), query("zone")),
            (&http::Method::GET, "/v1/vms") => {
                let vms: Vec<_> = self.view.borrow().vms.values().cloned().collect();
                json(&vms)
            }
            (&http::Method::GET, p) if p.starts_with("/v1/rows/") => {
                let since = query("since").and_then(|value| value.parse().ok());
                match crate::relay::rows(&self.view.borrow(), &p[9..], since.unwrap_or(0)) {
                    Some(rows) => json(&rows),
                    None => web::reply(StatusCode::NOT_FOUND, "no such table is relayed\n"),
                }
            }
            (&http::Method::GET, "/metrics") => self.scrape(),
            (&http::Method::GET, "/v1/status") => json(&self.view.borrow().status()),
            (_, p) if p.starts_with("/s/") => {
                let target = &p[3..];
                let (service, tail) = target.split_once('/').unwrap_or((target, ""));
                let tail = match request.uri().query() {
                    Some(query) => format!("/{tail}?{query}"),
                    None => format!("/{tail}"),
                };
                let _in_flight = InFlightGuard::start(&self.view);
                self.forward(request, service, &tail).await
            }
            _ => web::reply(StatusCode::NOT_FOUND, "no such route; calls go to /s/{service}/...\n"),
        }
    }

    fn scrape(&self) -> web::Response {
        match self.metrics.scrape(&self.view.borrow()) {
            Ok(text) => web::reply(StatusCode::OK, text),
            Err(err) => {
                log::error!("{err}");
                web::reply(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n"))
            }
        }
    }

    fn entries(&self, service: Option<&str>, zone: Option<&str>) -> web::Response {
        let view = self.view.borrow();
        match service {
            Some(name) if view.templates.contains_key(name) => {
                json(&crate::discovery::entries(&view, zone))
            }
            Some(_) => web::reply(StatusCode::NOT_FOUND, "unknown service\n"),
            None => web::reply(StatusCode::BAD_REQUEST, "query parameter `service` is required\n"),
        }
    }
}

/// Counts a call as in flight until it is dropped. A call whose caller disconnects is dropped
/// before it ends.
struct InFlightGuard(Rc<RefCell<View>>);

impl InFlightGuard {
    fn start(view: &Rc<RefCell<View>>) -> InFlightGuard {
        view.borrow_mut().in_flight += 1;
        InFlightGuard(view.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().in_flight -= 1;
    }
}

impl web::Handler for Node {
    async fn handle(&self, request: web::Request, _peer: SocketAddr) -> web::Response {
        let mut response = self.route(request).await;
        if self.view.borrow().stopping.is_some() {
            // The caller must send its next call to another entry node.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }

    fn request_buffers(&self) -> web::BufferBudget {
        self.request_buffers.clone()
    }
}

fn json<T: serde::Serialize>(value: &T) -> web::Response {
    web::json(StatusCode::OK, serde_json::to_vec(value).expect("response bodies serialize to JSON"))
}

#[cfg(test)]
mod tests;
