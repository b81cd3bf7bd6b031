//! The request path: discovery, status, relay and forwarding of calls to upstreams.
//!
//! A call to `/s/{service}/{path}` goes to one upstream of `service` as
//! `/{path}`. What the caller is told about its call is exact:
//! `x-oatcove-outcome: not-run` only when no upstream can have run it (none
//! was connected to, or each refused it with 503 and `Retry-After`);
//! `unknown` when bytes may have reached an upstream and no whole answer came
//! back. Only calls whose method the template names idempotent are sent again
//! after bytes may have reached an upstream.
//!
//! [`forward`] takes one call to its answer, [`attempt`] sends it to one
//! upstream, [`answer`] builds what goes back to the caller, [`held`] keeps calls that crash
//! upstreams from them.

mod answer;
mod attempt;
mod forward;
mod held;

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
use crate::view::View;

/// What this node takes on for one service.
#[derive(Default)]
struct Intake {
    limiter: limit::Limiter,
    retries: limit::RetryBudget,
}

/// The entry node's HTTP handler.
pub struct Node {
    view: Rc<RefCell<View>>,
    idle: attempt::IdleConns,
    intakes: RefCell<HashMap<SmolStr, Intake>>,
    rng: RefCell<rand::rngs::SmallRng>,
    next_id: Cell<u64>,
    metrics: Metrics,
    gossip: Tx<gossip::Input>,
}

impl Node {
    /// Creates the handler over `view`, recording in `metrics`; `gossip` is told of news for peers.
    pub fn new(view: Rc<RefCell<View>>, metrics: Metrics, gossip: Tx<gossip::Input>) -> Node {
        Node {
            view,
            idle: attempt::IdleConns::default(),
            intakes: RefCell::new(HashMap::new()),
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
                let since = query("since").and_then(|v| v.parse().ok());
                match crate::relay::rows(&self.view.borrow(), &p[9..], since.unwrap_or(0)) {
                    Some(rows) => json(&rows),
                    None => web::reply(StatusCode::NOT_FOUND, "no such table is relayed\n"),
                }
            }
            (&http::Method::GET, "/metrics") => self.scrape(),
            (&http::Method::GET, "/v1/status") => json(&self.view.borrow().status()),
            (_, p) if p.starts_with("/s/") => {
                let rest = &p[3..];
                let (service, tail) = rest.split_once('/').unwrap_or((rest, ""));
                let tail = match request.uri().query() {
                    Some(query) => format!("/{tail}?{query}"),
                    None => format!("/{tail}"),
                };
                let _in_flight = InFlight::start(&self.view);
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

/// Counts a call in flight while it lives; a caller that goes away drops its call midway.
struct InFlight(Rc<RefCell<View>>);

impl InFlight {
    fn start(view: &Rc<RefCell<View>>) -> InFlight {
        view.borrow_mut().in_flight += 1;
        InFlight(view.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.borrow_mut().in_flight -= 1;
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

fn json<T: serde::Serialize>(value: &T) -> web::Response {
    web::json(StatusCode::OK, serde_json::to_vec(value).expect("encodes"))
}

#[cfg(test)]
mod tests;
