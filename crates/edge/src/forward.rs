//! Forwards a request to upstreams: routing, sends, retries, hedges, outcome.
//!
//! [`retries`] decides on the sends of a request, [`choose`] picks the upstream of each, and
//! [`send`] performs it and records its outcome. [`call`] is the state of a request, [`content`]
//! its content key. [`identify`] finds the team of its caller. [`crash_detection`] detects upstreams
//! that crashed while running requests, and [`quarantined`] keeps such requests from other
//! upstreams. [`silence`] detects requests that upstreams neither hold nor answer. [`notices`]
//! applies the backpressure signals of responses. [`via_peer`] sends requests through a peer while
//! this node reaches no upstream.

mod call;
mod choose;
mod content;
mod crash_detection;
mod identify;
mod notices;
mod quarantined;
mod retries;
mod send;
mod silence;
mod via_peer;

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
use crate::exchange::Response;
use crate::follow::Topic;
use crate::gossip;
use crate::metrics::Metrics;
use crate::probe;
use crate::quotas;
use crate::relay;
use crate::reply::LocalReply;
use crate::startup::{self, StartupWait};
use crate::state::SharedState;
use crate::Settings;

/// A connection that was idle for less than this is assumed to be open at its upstream. Some
/// upstreams drop idle connections after 0.3 s; a request between zones takes 2 ms to arrive.
const MIN_IDLE_TO_VERIFY: Duration = Duration::from_millis(100);

/// Time since the start of the process during which requests wait for the configuration and the
/// list of upstreams. Both are read within 0.25 s (110 kB over a link of 10 Mbit/s, after a startup
/// of 0.05 s), and within 0.5 s from a platform that takes sixty times as long as usual. If
/// requests were refused instead after a restart of the whole fleet, each caller would use up one
/// of its few attempts and retry later than the node is ready.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(1);

/// Longest time for which the body of a request is received whose route is not known: it is rejected
/// after that.
const MAX_UNROUTED_WAIT: Duration = Duration::from_secs(5);

/// Longest wait for the node's data, as a ratio of the deadline that the caller states: some callers
/// abandon an attempt after a third of their deadline.
const MAX_DATA_WAIT_RATIO: f64 = 0.25;

/// `Retry-After` of a node that has no configuration or no upstreams.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(300);

/// Upper bound of the time for which an upstream may state that it is cold.
const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// `Retry-After` of requests that another node can serve at once.
const RETRY_AFTER_OTHER_NODE: Duration = Duration::from_millis(20);

/// The request path of an entry node.
pub struct Node {
    /// State that all tasks of the node share.
    pub state: SharedState,
    /// Connections to upstreams.
    pub conns: Conns,
    /// Peers that read the platform through this node.
    pub subscribers: relay::Subscribers,
    /// Reads of the configuration from peers that have a newer one.
    pub catch_ups: relay::CatchUps,
    /// Tokens of teams' quotas.
    pub quotas: quotas::Quotas,
    /// Metrics of the node.
    pub metrics: Metrics,
    probe_budgets: RefCell<HashMap<ServiceName, probe::Budget>>,
    /// Wakes the membership task when there are updates to broadcast.
    gossip: OnceCell<Tx<gossip::Input>>,
}

/// The caller of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// When its request was received.
    pub received_at: Instant,
    /// Whether it has disconnected. Sends in flight then run to their end, and no further ones are
    /// made.
    pub has_left: Rc<Cell<bool>>,
    /// How a peer has offered the request, if it came from one.
    pub accepted_offer: Option<Rc<relay::AcceptedOffer>>,
}

impl Caller {
    /// Returns a connected caller whose request was received at `received_at`.
    pub fn waiting_since(received_at: Instant) -> Caller {
        Caller { received_at, has_left: Rc::default(), accepted_offer: None }
    }
}

/// Body of a caller's request.
pub enum Body<'a> {
    /// Received in full, and short enough to be sent more than once.
    Full(Bytes),
    /// Its first bytes; the remainder is still to be received from the caller.
    Partial {
        /// What was received so far.
        first: Bytes,
        /// Reader of the caller's connection.
        reader: &'a mut h1::Reader,
        /// Decoder of the remaining body.
        decoder: &'a mut h1::Decoder,
    },
}

impl Body<'_> {
    /// Returns what was received of the body.
    fn received(&self) -> &Bytes {
        match self {
            Body::Full(body) | Body::Partial { first: body, .. } => body,
        }
    }
}

/// Response to the caller.
pub enum Reply {
    /// Response of an upstream, to be passed on.
    Upstream(Response),
    /// Response of the node itself.
    Local(LocalReply),
}

impl Node {
    /// Creates the request path over `state`, which records its measurements in `metrics`.
    pub fn new(state: SharedState, metrics: Metrics) -> Node {
        let quotas = quotas::Quotas::new(&state.borrow().settings);
        Node {
            metrics,
            state,
            quotas,
            conns: Conns::default(),
            subscribers: relay::Subscribers::default(),
            catch_ups: relay::CatchUps::default(),
            probe_budgets: RefCell::default(),
            gossip: OnceCell::new(),
        }
    }

    /// Applies the settings that may change while the process runs: all but names and the node's own
    /// addresses.
    pub fn reload(&self, settings: Settings) {
        let seeds_before = {
            let state = &mut *self.state.borrow_mut();
            let seeds_before = state.settings.seed_addrs.clone();
            state.reload(settings);
            seeds_before
        };
        let state = self.state.borrow();
        if state.settings.seed_addrs == seeds_before {
            return;
        }
        trace::Line::new("seeds_changed")
            .field("seeds", format!("{:?}", state.settings.seed_addrs))
            .log();
        self.quotas.set_seeds(&state.settings);
        self.send_to_gossip(gossip::Input::SeedsChanged);
    }

    /// Returns a connection to an upstream, an idle one or a new one.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or `TimedOut` after `timeout`.
    pub async fn connection(
        &self,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        match self.conns.take(upstream).await {
            Some(conn) => Ok(conn),
            None => self.new_connection(upstream, addr, timeout).await,
        }
    }

    /// Opens a connection to an upstream.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or `TimedOut` after `timeout`.
    pub(crate) async fn new_connection(
        &self,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        self.state.borrow_mut().counters.connects += 1;
        let conn = self.conns.open(upstream, addr, timeout).await?;
        self.record_connected();
        Ok(conn)
    }

    /// Returns a connection for a request that must not run twice. One that was idle for a while is
    /// verified by a probe first, if the budget of probes allows one.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or `TimedOut` after `timeout`.
    pub async fn verified_connection(
        &self,
        service: &ServiceName,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        let conn = self.connection(upstream, addr, timeout).await?;
        if !conn.used || conn.idle_time() < MIN_IDLE_TO_VERIFY || !self.may_verify(service) {
            return Ok(conn);
        }
        match probe::verify(self, service, upstream, conn).await {
            probe::Probed::Reusable(conn) => Ok(conn),
            probe::Probed::Mismatched => self.new_connection(upstream, addr, timeout).await,
            probe::Probed::Ended => {
                trace::Line::new("connection_forgotten").field("upstream", upstream.id()).log();
                self.conns.close(upstream);
                self.connection(upstream, addr, timeout).await
            }
        }
    }

    /// Takes one probe out of the budget; returns true when that succeeds and upstreams of the
    /// service report their load, which means that they respond to probes at once.
    fn may_verify(&self, service: &ServiceName) -> bool {
        let pools = &self.state.borrow().pools;
        let reports_load = pools.get(service).and_then(|pool| pool.reports_load()) == Some(true);
        reports_load && self.take_from_probe_budget(service, 1) == 1
    }

    /// Takes up to `wanted` probes out of the service's budget; returns how many were granted.
    pub(crate) fn take_from_probe_budget(&self, service: &ServiceName, wanted: usize) -> usize {
        let (refill_per_s, capacity) = probe::budget_limits(self, service);
        let mut budgets = self.probe_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.take(wanted, refill_per_s, capacity, Instant::now())
    }

    /// Records the load that a response of an upstream reports.
    pub fn record_load(&self, service: &ServiceName, upstream: &Incarnation, headers: &HeaderMap) {
        let mut state = self.state.borrow_mut();
        let parse_load = state.settings.parse_load;
        let value = headers.get(&state.settings.headers.load);
        let load = value.and_then(|value| value.to_str().ok()).and_then(parse_load);
        if let Some(pool) = state.pools.get_mut(service) {
            pool.record_report(upstream, load, Instant::now());
        }
    }

    /// Records for how long an upstream stays cold, as its response to a probe states; without a
    /// statement it is warm. Applies only to services with a limit on requests to cold upstreams.
    pub fn record_cold_time(
        &self,
        service: &ServiceName,
        upstream: &Incarnation,
        headers: &HeaderMap,
    ) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        if state.warm_up(service, now).is_none() {
            return;
        }
        let value = headers.get(&state.settings.headers.cold_ms);
        let cold_for = value.and_then(|value| value.to_str().ok()?.parse().ok());
        let cold_for = cold_for.filter(|ms| *ms > 0).map(Duration::from_millis);
        if let Some(pool) = state.pools.get_mut(service) {
            pool.set_cold_for(upstream, cold_for.map(|time| time.min(MAX_COLD_TIME)), now);
        }
    }

    /// Returns true if this node is stopping and would likely exit before a request ends.
    fn would_be_cut(&self, route: &Route, deadline: Instant) -> bool {
        let state = self.state.borrow();
        let expected_latency = || state.work_estimates.work(&route.name, route.objective);
        state.stopping.is_some_and(|stopping| {
            stopping.must_reject(deadline, expected_latency(), Instant::now())
        })
    }

    /// Forwards a request and returns the response to its caller.
    pub async fn forward(
        self: &Rc<Node>,
        head: &h1::RequestHead,
        body: Body<'_>,
        caller: Caller,
    ) -> Reply {
        let received_at = caller.received_at;
        let names = self.state.borrow().settings.headers.clone();
        let stated_deadline = head.headers.get(&names.deadline_ms).and_then(|v| v.to_str().ok());
        let stated_deadline =
            stated_deadline.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        let max_wait = stated_deadline.map_or(MAX_STARTUP_WAIT, |stated_deadline| {
            stated_deadline.mul_f64(MAX_DATA_WAIT_RATIO)
        });
        if !self.wait_for_config(received_at, max_wait).await {
            return Reply::Local(self.refuse_outdated(head, &names));
        }
        self.state.borrow_mut().record_handled(Instant::now());
        let offer = caller.accepted_offer.as_deref().map(|accepted| &accepted.offer);
        let Some(table) = self.table_for(&caller) else {
            trace::Line::new("no_config").field("request", request_id_of(head, &names)).log();
            return Reply::Local(LocalReply::not_run(
                RETRY_AFTER_NOT_READY,
                "no configuration yet",
            ));
        };
        let Some(route) = table.find(&head.host, head.path()) else {
            trace::Line::new("no_route")
                .field("request", request_id_of(head, &names))
                .field("host", head.host.as_str())
                .field("path", head.path())
                .field("config", table.version)
                .field("config_age_ms", self.state.borrow().config_age_ms(Instant::now()))
                .log();
            return Reply::Local(LocalReply::failed(StatusCode::NOT_FOUND, "no such route"));
        };
        let team = match self.identify(head, &table, route) {
            Ok(team) => team,
            Err(local_reply) => return Reply::Local(local_reply),
        };
        let retrying_for = stated_deadline.map_or(Duration::ZERO, |stated_deadline| {
            self.state.borrow_mut().retry_detector.retrying_for(
                &route.name,
                stated_deadline,
                received_at,
            )
        });
        let has_token = offer.is_some_and(|offer| offer.has_token);
        let token = match &team {
            Some(team) if !has_token => {
                match self.acquire_token(team, self.timeliness(route, retrying_for)).await {
                    Ok(token) => token,
                    Err(why) => {
                        let id = request_id_of(head, &names);
                        return Reply::Local(self.refuse_for_quota(id, table.version, team, why));
                    }
                }
            }
            Some(_) | None => None,
        };
        let mut ids = head.headers.get_all(&names.request_id).iter();
        let (Some(request_id), None) = (ids.next().cloned(), ids.next()) else {
            let text = "exactly one request id is required";
            return Reply::Local(LocalReply::failed(StatusCode::BAD_REQUEST, text));
        };
        let allowed = stated_deadline
            .map_or(route.timeout, |stated_deadline| stated_deadline.min(route.timeout));
        let deadline = received_at + allowed;
        if self.would_be_cut(route, deadline) {
            trace::Line::new("refused")
                .field("request", request_id_of(head, &names))
                .field("reason", "stopping")
                .log();
            return Reply::Local(LocalReply::not_run(
                RETRY_AFTER_OTHER_NODE,
                "this node is stopping",
            ));
        }
        let body_start = body.received().clone();
        let offered_service = offer.map(|offer| &offer.service);
        let is_target = |name: &&ServiceName| route.targets.iter().any(|t| t.service == **name);
        let service = match offered_service.filter(is_target) {
            Some(service) => service.clone(),
            None => self.next_service(route),
        };
        let attempts = offer.map_or(u32::MAX, |offer| offer.attempts);
        let most_urgent = table.is_most_urgent(route, &service)
            && team.as_ref().is_none_or(|team| table.teams.is_most_urgent(team));
        let config_age_ms = self.state.borrow().config_age_ms(received_at);
        let (last_send, sends) = (Cell::default(), RefCell::default());
        let call = Call {
            head,
            request_id,
            content: OnceCell::new(),
            body_start,
            route,
            config_version: table.version,
            config_age_ms,
            service,
            has_teams: !table.teams.is_empty(),
            team,
            token,
            most_urgent,
            received_at,
            caller_left: caller.has_left,
            retrying_for,
            attempts: attempts.min(route.attempts),
            offer,
            deadline,
            caller_deadline: received_at + stated_deadline.unwrap_or(route.timeout),
            last_send,
            sends,
        };
        // The deadline counts from when the request was received, so it includes time spent queued
        // behind a non-idempotent request of its connection or waiting for the node to start.
        let sending = self.send_with_retries(&call, body);
        let reply = match web::timeout(call.deadline_left(), sending).await {
            Ok(Reply::Upstream(response)) => {
                let awaited_until = Some(call.caller_deadline);
                Reply::Upstream(Response { awaited_until, ..response })
            }
            Ok(reply) => reply,
            Err(_) => {
                call.log_line("timed_out").log();
                self.record_timed_out(&call);
                match call.sends.borrow().is_empty() {
                    true => Reply::Local(LocalReply::not_run(
                        RETRY_AFTER_OTHER_NODE,
                        "not sent in time",
                    )),
                    false => Reply::Local(LocalReply::failed(
                        StatusCode::GATEWAY_TIMEOUT,
                        "no answer in time",
                    )),
                }
            }
        };
        if let (Reply::Local(LocalReply { retry_after: Some(_), .. }), Some(token)) =
            (&reply, &call.token)
        {
            token.unspend();
        }
        self.count_outcome(&call, &reply);
        reply
    }

    /// Returns the configuration that a request is handled by: the one in force or, if a peer has
    /// offered it, the one that was agreed on.
    fn table_for(&self, caller: &Caller) -> Option<Rc<route::Table>> {
        match &caller.accepted_offer {
            Some(accepted) => Some(accepted.table.clone()),
            None => self.state.borrow().table.clone(),
        }
    }

    /// Records that the deadline of a request has passed. If no upstream has responded since the
    /// request was last sent, that says as much of this node's paths as of the upstream.
    fn record_timed_out(&self, call: &Call<'_>) {
        let Some((addr, sent_at)) = call.last_send.get() else { return };
        let has_responded = self.state.borrow().paths.has_responded_since(sent_at);
        if !has_responded {
            self.record_path_failure(addr);
        }
    }

    /// Records that the caller of a request left before it got a response.
    pub fn record_caller_left(&self, head: &h1::RequestHead) {
        let mut state = self.state.borrow_mut();
        state.counters.abandoned += 1;
        let id = request_id_of(head, &state.settings.headers);
        trace::Line::new("caller_left").field("request", id).log();
    }

    /// Returns how long the caller of a request waits for its response at most.
    pub fn max_wait(&self, head: &h1::RequestHead) -> Duration {
        let state = self.state.borrow();
        let stated = head.headers.get(&state.settings.headers.deadline_ms);
        let stated = stated.and_then(|ms| ms.to_str().ok()?.parse().ok());
        let route = state.table.as_ref().and_then(|table| table.find(&head.host, head.path()));
        let route_timeout = route.map_or(MAX_UNROUTED_WAIT, |route| route.timeout);
        stated.map_or(route_timeout, Duration::from_millis).min(route_timeout)
    }

    /// Waits while the node has just started and lacks the configuration or the list of upstreams,
    /// or while its configuration may be outdated, about `max_wait` at most. Returns false if the
    /// configuration must not be used.
    async fn wait_for_config(&self, received_at: Instant, max_wait: Duration) -> bool {
        let has_all_data = || {
            let state = self.state.borrow();
            state.table.is_some() && !state.roster.is_empty()
        };
        let until = self.state.borrow().started_at + MAX_STARTUP_WAIT;
        let startup_wait = max_wait.min(until.saturating_duration_since(received_at));
        wait_while(received_at, startup_wait, || !has_all_data()).await;
        let is_usable = || self.state.borrow().is_usable(Topic::Config, Instant::now());
        wait_while(received_at, max_wait, || !is_usable()).await;
        is_usable()
    }

    /// Returns the response to a request that must not be handled by the configuration of this node.
    fn refuse_outdated(&self, head: &h1::RequestHead, names: &crate::HeaderNames) -> LocalReply {
        let state = &mut *self.state.borrow_mut();
        state.counters.requests += 1;
        state.counters.refused_outdated += 1;
        trace::Line::new("refused")
            .field("request", request_id_of(head, names))
            .field("reason", "configuration may be outdated")
            .field("config", state.config_version())
            .field("config_age_ms", state.config_age_ms(Instant::now()))
            .log();
        LocalReply::not_run(RETRY_AFTER_OTHER_NODE, "the configuration may be outdated")
    }

    /// Returns whether a request whose caller has been retrying for this long can still be in time.
    fn timeliness(&self, route: &Route, retrying_for: Duration) -> quota::Timeliness {
        let work = self.state.borrow().work_estimates.work(&route.name, route.objective);
        match retrying_for + work <= route.objective {
            true => quota::Timeliness::InTime,
            false => quota::Timeliness::Late,
        }
    }

    fn next_service(&self, route: &Route) -> ServiceName {
        let state = &mut *self.state.borrow_mut();
        let index = match route.targets.len() {
            1 => 0,
            _ => {
                let round_robin = state.round_robins.entry(route.name.clone()).or_default();
                round_robin.next(&route.targets, &mut state.rng)
            }
        };
        route.targets[index].service.clone()
    }

    /// Counts the outcome of a request. One whose caller has left is only counted by
    /// [`Node::record_caller_left`], as nobody was answered or refused.
    fn count_outcome(&self, call: &Call<'_>, reply: &Reply) {
        if call.caller_left.get() {
            return;
        }
        if matches!(reply, Reply::Upstream(_)) && call.objective_left().is_zero() {
            call.log_line("late").log();
        }
        let outcome = match reply {
            Reply::Upstream(_) => "answered",
            Reply::Local(local_reply) if local_reply.retry_after.is_some() => "refused",
            Reply::Local(_) => "failed",
        };
        self.metrics.record_request(call.received_at.elapsed(), outcome);
        let counters = &mut self.state.borrow_mut().counters;
        match reply {
            Reply::Upstream(_) => counters.answered += 1,
            Reply::Local(local_reply) if local_reply.retry_after.is_some() => counters.refused += 1,
            Reply::Local(_) => counters.failed += 1,
        }
    }
}

/// Has a request wait while a condition holds, until about `max_wait` after `received_at`.
async fn wait_while(received_at: Instant, max_wait: Duration, condition: impl Fn() -> bool) {
    let mut wait = StartupWait::new(received_at, max_wait);
    while condition() && wait.continues(Instant::now()) {
        monoio::time::sleep(startup::CHECK_INTERVAL).await;
    }
}

fn request_id_of<'a>(head: &'a h1::RequestHead, names: &crate::HeaderNames) -> &'a str {
    let id = head.headers.get(&names.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or("?")
}
