//! Takes one request to its answer: route, sends, hedges, outcome.
//!
//! [`sends`] decides on the sends of a request, [`choose`] picks the upstream of each, [`send`] makes
//! it and learns from its end, [`call`] is what they know of the request, [`content`] what it asks.
//! [`ends`] finds upstreams that crashed under requests, [`held`] keeps such requests from others.
//! [`notices`] takes what upstreams state about themselves in any answer.

mod call;
mod choose;
mod content;
mod ends;
mod held;
mod notices;
mod send;
mod sends;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use local_sync::mpsc::unbounded::Tx;
use place::Incarnation;
use route::{Route, ServiceName};
use web::h1;

#[cfg(test)]
pub(crate) use self::content::of as content_of;
pub use self::send::CONNECT_TIMEOUT;

use self::call::Call;
use crate::conns::{Conn, Conns};
use crate::exchange::Answer;
use crate::gossip;
use crate::metrics::Metrics;
use crate::probe;
use crate::relay;
use crate::reply::LocalReply;
use crate::state::SharedState;

/// A connection that rested for less than this is taken to be known to its upstream still. Some
/// forget connections after 0.3 s; a request between zones is on its way for 2 ms.
const SURE_FOR: Duration = Duration::from_millis(100);

/// Time from the start of the process in which a request waits for the configuration and the list
/// of upstreams. Both are read within 0.25 s (110 kB over a link of 10 Mbit/s, after a start of
/// 0.05 s), and within 0.5 s from a platform that takes sixty times as long as usual. Refused, each
/// caller of a fleet that was restarted as a whole would use up a try of the few that it has, and
/// come back later than the node is ready.
const START_WAIT: Duration = Duration::from_secs(1);

/// Part of the deadline that its caller states for which a request waits for that at most: after a
/// third of it callers were seen to give an attempt up.
const START_WAIT_PART: f64 = 0.25;

/// How often a waiting request looks.
const START_LOOK: Duration = Duration::from_millis(5);

/// When to come back to a node that has no configuration or no upstreams.
const COME_BACK_NOT_READY: Duration = Duration::from_millis(300);

/// Longest time that an upstream is believed to be cold by its own word.
const COLD_MOST: Duration = Duration::from_secs(3_600);

/// When to come back to another node.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(20);

/// The entry node's request path.
pub struct Node {
    /// What the node believes.
    pub state: SharedState,
    /// Connections to upstreams.
    pub conns: Conns,
    /// Peers that read the platform through this node.
    pub subscribers: relay::Subscribers,
    /// What is measured.
    pub metrics: Metrics,
    probe_budgets: RefCell<HashMap<ServiceName, probe::Budget>>,
    /// Wakes the membership task once there is news for it.
    gossip: OnceCell<Tx<gossip::Input>>,
}

/// What is known of the caller of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// When its request had arrived.
    pub asked_at: Instant,
    /// Whether it has left. What was sent for it is left to end then, and nothing more is sent.
    pub left: Rc<Cell<bool>>,
}

impl Caller {
    /// Returns a caller that waits for its answer since `asked_at`.
    pub fn waiting_since(asked_at: Instant) -> Caller {
        Caller { asked_at, left: Rc::default() }
    }
}

/// The body of a caller's request.
pub enum Body<'a> {
    /// All of it, short enough to be sent again.
    Whole(Bytes),
    /// Its beginning; the rest still comes from the caller.
    Long {
        /// What was received.
        first: Bytes,
        /// Where the rest comes from.
        reader: &'a mut h1::Reader,
        /// Takes the rest out of it.
        decoder: &'a mut h1::Decoder,
    },
}

impl Body<'_> {
    /// Returns what was received of it.
    fn received(&self) -> &Bytes {
        match self {
            Body::Whole(body) | Body::Long { first: body, .. } => body,
        }
    }
}

/// What goes back to the caller.
pub enum Reply {
    /// An upstream's answer.
    Upstream(Answer),
    /// The node's own.
    Own(LocalReply),
}

impl Node {
    /// Creates the request path over `state`, measured by `metrics`.
    pub fn new(state: SharedState, metrics: Metrics) -> Node {
        Node {
            metrics,
            state,
            conns: Conns::default(),
            subscribers: relay::Subscribers::default(),
            probe_budgets: RefCell::default(),
            gossip: OnceCell::new(),
        }
    }

    /// Returns a connection to an upstream, kept or new.
    ///
    /// # Errors
    ///
    /// Whatever the socket says, or that `timeout` passed.
    pub async fn connection(
        &self,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        match self.conns.take(upstream).await {
            Some(conn) => Ok(conn),
            None => {
                self.state.borrow_mut().counters.connects += 1;
                self.conns.open(upstream, addr, timeout).await
            }
        }
    }

    /// Returns a connection on which a request that must not run twice may be sent.
    ///
    /// # Errors
    ///
    /// Whatever the socket says, or that `timeout` passed.
    pub async fn sure_connection(
        &self,
        service: &ServiceName,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        let conn = self.connection(upstream, addr, timeout).await?;
        if !conn.used || conn.rested() < SURE_FOR || !self.may_verify(service) {
            return Ok(conn);
        }
        match probe::verify(self, service, upstream, conn).await {
            Some(conn) => Ok(conn),
            None => {
                trace::Line::new("connection_forgotten").field("upstream", upstream.id()).log();
                self.conns.close(upstream);
                self.connection(upstream, addr, timeout).await
            }
        }
    }

    /// Returns true when upstreams of the service answer questions at once and the budget of
    /// probes allows one.
    fn may_verify(&self, service: &ServiceName) -> bool {
        let pools = &self.state.borrow().pools;
        let reports = pools.get(service).and_then(|pool| pool.reports_load()) == Some(true);
        reports && self.take_probes(service, 1) == 1
    }

    /// Takes up to `wanted` probes out of the service's budget.
    fn take_probes(&self, service: &ServiceName, wanted: usize) -> usize {
        let (per_s, most) = probe::allowance(self, service);
        let mut budgets = self.probe_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.take(wanted, per_s, most, Instant::now())
    }

    /// Takes what an upstream's answer says of its load.
    pub fn take_load(&self, service: &ServiceName, upstream: &Incarnation, headers: &HeaderMap) {
        let mut state = self.state.borrow_mut();
        let read = state.settings.parse_load;
        let value = headers.get(&state.settings.headers.load);
        let load = value.and_then(|value| value.to_str().ok()).and_then(read);
        if let Some(pool) = state.pools.get_mut(service) {
            pool.record_report(upstream, load, Instant::now());
        }
    }

    /// Takes what an upstream's answer to a probe says of how long it is cold. One that says nothing is
    /// warm, where upstreams of its service have to be spared while they are not.
    pub fn take_cold(&self, service: &ServiceName, upstream: &Incarnation, headers: &HeaderMap) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        if state.warm_up(service, now).is_none() {
            return;
        }
        let value = headers.get(&state.settings.headers.cold_ms);
        let cold_for = value.and_then(|value| value.to_str().ok()?.parse().ok());
        let cold_for = cold_for.filter(|ms| *ms > 0).map(Duration::from_millis);
        if let Some(pool) = state.pools.get_mut(service) {
            pool.set_cold_for(upstream, cold_for.map(|time| time.min(COLD_MOST)), now);
        }
    }

    /// Takes a request to its answer.
    pub async fn forward(
        self: &Rc<Node>,
        head: &h1::RequestHead,
        body: Body<'_>,
        caller: Caller,
    ) -> Reply {
        let arrived = caller.asked_at;
        let names = self.state.borrow().settings.headers.clone();
        let stated = head.headers.get(&names.deadline_ms).and_then(|v| v.to_str().ok());
        let stated = stated.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        let may_wait = stated.map_or(START_WAIT, |stated| stated.mul_f64(START_WAIT_PART));
        self.until_started(arrived + may_wait.min(START_WAIT)).await;
        let table = {
            let mut state = self.state.borrow_mut();
            state.counters.requests += 1;
            state.table.clone()
        };
        let Some(table) = table else {
            trace::Line::new("no_config").field("request", id_of(head, &names)).log();
            return Reply::Own(LocalReply::not_run(COME_BACK_NOT_READY, "no configuration yet"));
        };
        let Some(route) = table.find(&head.host, head.path()) else {
            trace::Line::new("no_route")
                .field("request", id_of(head, &names))
                .field("host", head.host.as_str())
                .field("path", head.path())
                .field("config", table.version)
                .log();
            return Reply::Own(LocalReply::failed(StatusCode::NOT_FOUND, "no such route"));
        };
        let mut ids = head.headers.get_all(&names.request_id).iter();
        let (Some(request_id), None) = (ids.next().cloned(), ids.next()) else {
            let text = "exactly one request id is required";
            return Reply::Own(LocalReply::failed(StatusCode::BAD_REQUEST, text));
        };
        let allowed = stated.map_or(route.timeout, |stated| stated.min(route.timeout));
        let deadline = arrived + allowed;
        let stopping = self.state.borrow().stopping;
        if stopping.is_some_and(|stopping| stopping.must_reject(deadline, arrived)) {
            trace::Line::new("refused")
                .field("request", id_of(head, &names))
                .field("reason", "stopping")
                .log();
            return Reply::Own(LocalReply::not_run(COME_BACK_ELSEWHERE, "this node is stopping"));
        }
        let tried_for = stated.map_or(Duration::ZERO, |stated| {
            self.state.borrow_mut().retry_detector.retrying_for(&route.name, stated)
        });
        let body_start = body.received().clone();
        let service = self.next_service(route);
        let most_urgent = table.is_most_urgent(route, &service);
        let sends = RefCell::default();
        let call = Call {
            head,
            request_id,
            content: OnceCell::new(),
            body_start,
            route,
            config: table.version,
            service,
            most_urgent,
            arrived,
            caller_left: caller.left,
            tried_for,
            deadline,
            sends,
        };
        // Its time has been running since it arrived, also while it waited behind a claim on its
        // connection, or for a node that had just started.
        let sends = self.sends(&call, body);
        let reply = match monoio::time::timeout(call.left(), sends).await {
            Ok(reply) => reply,
            Err(_) => {
                call.line("timed_out").log();
                match call.sends.borrow().is_empty() {
                    true => {
                        Reply::Own(LocalReply::not_run(COME_BACK_ELSEWHERE, "not sent in time"))
                    }
                    false => Reply::Own(LocalReply::failed(
                        StatusCode::GATEWAY_TIMEOUT,
                        "no answer in time",
                    )),
                }
            }
        };
        self.count(&call, &reply);
        reply
    }

    /// Records that the caller of a request left before its answer.
    pub fn caller_left(&self, head: &h1::RequestHead) {
        let mut state = self.state.borrow_mut();
        state.counters.abandoned += 1;
        let id = id_of(head, &state.settings.headers);
        trace::Line::new("caller_left").field("request", id).log();
    }

    /// Waits while the node has just started and holds nothing to serve by, not beyond `until`.
    async fn until_started(&self, until: Instant) {
        let may_wait = || {
            let state = self.state.borrow();
            let holds_all = state.table.is_some() && !state.roster.is_empty();
            let until = until.min(state.started_at + START_WAIT);
            !holds_all && Instant::now() < until
        };
        while may_wait() {
            monoio::time::sleep(START_LOOK).await;
        }
    }

    fn next_service(&self, route: &Route) -> ServiceName {
        let state = &mut *self.state.borrow_mut();
        let index = match route.targets.len() {
            1 => 0,
            _ => {
                let turns = state.round_robins.entry(route.name.clone()).or_default();
                turns.next(&route.targets, &mut state.rng)
            }
        };
        route.targets[index].service.clone()
    }

    /// Counts how a request ended. One whose caller has left is counted as that alone, by
    /// [`Node::caller_left`]: nobody was answered or refused.
    fn count(&self, call: &Call<'_>, reply: &Reply) {
        if call.caller_left.get() {
            return;
        }
        if matches!(reply, Reply::Upstream(_)) && call.objective_left().is_zero() {
            call.line("late").log();
        }
        let outcome = match reply {
            Reply::Upstream(_) => "answered",
            Reply::Own(own) if own.retry_after.is_some() => "refused",
            Reply::Own(_) => "failed",
        };
        self.metrics.record_request(call.arrived.elapsed(), outcome);
        let counters = &mut self.state.borrow_mut().counters;
        match reply {
            Reply::Upstream(_) => counters.answered += 1,
            Reply::Own(own) if own.retry_after.is_some() => counters.refused += 1,
            Reply::Own(_) => counters.failed += 1,
        }
    }
}

fn id_of<'a>(head: &'a h1::RequestHead, names: &crate::HeaderNames) -> &'a str {
    let id = head.headers.get(&names.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or("?")
}
