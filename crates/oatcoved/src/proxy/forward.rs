//! Handling of one call: admission, attempts, hedging, outcome.

use std::cell::OnceCell;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderValue, StatusCode};
use quarantine::{ContentKey, Decision};
use smol_str::SmolStr;

use super::attempt::{Attempt, Outstanding};
use super::via_peer::{Offer, PeerResult};
use super::{crashes, response, via_peer, Node};
use crate::{notices, paths};

/// A hedge is sent once a call has taken this many times the mean latency of its kind.
const HEDGE_LATENCY_RATIO: f64 = 3.0;

/// Minimum delay between a call and its hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of upstreams tried for one call, including those that accept no connection,
/// unless the template allows more attempts. Upstreams that accept no connection do not count as
/// attempts: otherwise, while crashed upstreams are still listed, one call in thirty is sent to two
/// of them and is not run.
const MAX_UPSTREAMS_TRIED: usize = 4;

/// Upstreams that accepted no connection for a call before it is offered to peers.
const MAX_NOT_SENT: usize = 2;

/// Maximum time for which a call waits while the config may be outdated. A poll that the platform
/// answers takes a few milliseconds.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(200);

/// Interval at which a waiting call checks the config.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which the caller of a call that another entry node can handle at once may retry.
const RETRY_AFTER_OTHER_NODE: Duration = Duration::from_millis(20);

/// A call that is being handled.
pub(super) struct Call<'a> {
    pub(super) request: &'a web::Request,
    /// Content key, computed on first use by [`Call::content`].
    content: OnceCell<ContentKey>,
    pub(super) request_id: HeaderValue,
    pub(super) service: SmolStr,
    pub(super) path: &'a str,
    /// Availability zone of this node.
    zone: SmolStr,
    params: Rc<config::Params>,
    /// Team whose share of the limiter the call uses; empty if the template does not list the team.
    pub(super) team: SmolStr,
    /// Whether the team was told by a key, which upstreams do not get to see.
    pub(super) has_keys: bool,
    deadline: Instant,
    /// Maximum number of connections of this node to one upstream.
    connection_share: u32,
    /// How a peer has offered the call, if one did.
    offer: Option<Offer>,
    /// Whether the template lists the call's method as idempotent.
    idempotent: bool,
    kind: balance::CallKind,
}

impl Call<'_> {
    /// Returns the content key, which does not depend on the request id.
    pub(super) fn content(&self) -> ContentKey {
        *self.content.get_or_init(|| crashes::content(self.request, &self.service, self.path))
    }

    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Why a call is rejected before any decision on it.
enum Rejection {
    /// No template names the service.
    UnknownService,
    /// The service's callers need a key of one of its teams.
    Unauthorized(team::Unauthorized),
}

/// Result of all attempts of a call.
enum CallResult {
    /// An upstream responded.
    Answered(web::Response),
    /// A peer that the call was sent through responded, with an outcome of its own.
    RespondedByPeer(web::Response),
    /// No upstream ran the call, and it is not sent any more because it crashes upstreams. The
    /// caller may retry after this time.
    Quarantined(Duration),
    /// Every attempt was refused or not sent.
    NotRun {
        /// Whether any upstream refused the call because it was busy.
        refused: bool,
    },
    /// Some attempt may have run, and no complete response was received.
    Unknown(Option<web::Error>),
}

/// Counts a call as in flight in the limiter until it is dropped.
///
/// A call is also dropped when its caller disconnects. If such calls stayed
/// counted, the limiter would in time refuse every call.
struct AdmittedCall<'a> {
    node: &'a Node,
    service: &'a SmolStr,
    team: &'a SmolStr,
    started_at: Instant,
    /// Reading of [`Node::run_delay`] at `started_at`.
    run_delay_at_start: Duration,
    outcome: limit::Outcome,
}

impl AdmittedCall<'_> {
    fn finish(mut self, outcome: limit::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AdmittedCall<'_> {
    fn drop(&mut self) {
        if let Some(limits) = self.node.service_limits.borrow_mut().get_mut(self.service) {
            limits.limiter.release(self.team, self.outcome, self.started_at, Instant::now());
        }
    }
}

impl Node {
    /// Forwards a call to an upstream of `service` as `path`.
    pub(super) async fn forward(
        &self,
        request: web::Request,
        service: &str,
        path: &str,
    ) -> web::Response {
        let received_at = Instant::now();
        self.view.borrow_mut().counters.calls += 1;
        let (response, outcome) = self.handle_call(request, service, path).await;
        self.metrics.record_call(received_at.elapsed(), outcome);
        response
    }

    /// Handles a call and returns the response with its outcome.
    async fn handle_call(
        &self,
        request: web::Request,
        service: &str,
        path: &str,
    ) -> (web::Response, &'static str) {
        let request_id = self.request_id(&request);
        let offer = Offer::of(request.headers());
        let is_usable = self.wait_for_config().await;
        // Before the call is resolved: the service or key may be unknown to this node only.
        if let Some(response) = offer.and_then(|offer| self.decline(offer, service, &request_id)) {
            self.view.borrow_mut().counters.not_run += 1;
            return (response, response::NOT_RUN);
        }
        if !is_usable {
            let counters = &mut self.view.borrow_mut().counters;
            counters.not_run += 1;
            counters.refused_outdated += 1;
            let text = "the config of this entry node may be outdated\n";
            let response = response::refused_for(text, RETRY_AFTER_OTHER_NODE, &request_id);
            return (response, response::NOT_RUN);
        }
        let call = match self.resolve_call(&request, &request_id, service, path, offer) {
            Ok(call) => call,
            Err(rejection) => {
                let counters = &mut self.view.borrow_mut().counters;
                counters.not_run += 1;
                let response = match rejection {
                    Rejection::UnknownService => {
                        response::not_run(StatusCode::NOT_FOUND, "unknown service\n", &request_id)
                    }
                    Rejection::Unauthorized(why) => {
                        counters.unauthorized += 1;
                        log::info!("call {request_id:?} to {service} rejected: {}", why.reason());
                        response::unauthorized(&request_id)
                    }
                };
                return (response, response::NOT_RUN);
            }
        };
        if self.would_be_cut(&call) {
            let counters = &mut self.view.borrow_mut().counters;
            counters.not_run += 1;
            counters.refused_stopping += 1;
            let text = "this entry node is stopping\n";
            let response = response::refused_for(text, RETRY_AFTER_OTHER_NODE, &request_id);
            return (response, response::NOT_RUN);
        }
        let Some(admitted) = self.admit(&call) else {
            let mut view = self.view.borrow_mut();
            view.counters.not_run += 1;
            view.counters.shed += 1;
            drop(view);
            let expected_busy_time = self.expected_busy_time(&call);
            let response =
                response::refused("this entry node is full\n", expected_busy_time, &request_id);
            return (response, response::NOT_RUN);
        };
        let result = self.run_attempts(&call).await;
        let outcome = match &result {
            CallResult::Answered(_) if self.was_slow(&call, &admitted) => limit::Outcome::Slow,
            CallResult::Answered(_) => limit::Outcome::Served,
            CallResult::NotRun { refused: true } => limit::Outcome::Refused,
            CallResult::NotRun { refused: false }
            | CallResult::RespondedByPeer(_)
            | CallResult::Quarantined(_)
            | CallResult::Unknown(_) => limit::Outcome::Other,
        };
        admitted.finish(outcome);
        let mut view = self.view.borrow_mut();
        match result {
            CallResult::Answered(response) => {
                view.counters.done += 1;
                (response::done(response, &request_id), response::DONE)
            }
            CallResult::RespondedByPeer(response) => {
                let outcome = via_peer::outcome_of(&response);
                match outcome {
                    response::DONE => view.counters.done += 1,
                    response::NOT_RUN => view.counters.not_run += 1,
                    _ => view.counters.unknown += 1,
                }
                (response::of_peer(response, outcome, &request_id), outcome)
            }
            CallResult::Quarantined(retry_after) => {
                view.counters.not_run += 1;
                let text = "this call crashes the upstreams that run it\n";
                (response::refused_for(text, retry_after, &request_id), response::NOT_RUN)
            }
            CallResult::NotRun { .. } => {
                view.counters.not_run += 1;
                let retry_after = view.retry_after(&call.service, Instant::now());
                drop(view);
                let text = "no upstream could take the call\n";
                let response = match retry_after {
                    Some(retry_after) => response::refused_for(text, retry_after, &request_id),
                    None => response::refused(text, self.expected_busy_time(&call), &request_id),
                };
                (response, response::NOT_RUN)
            }
            CallResult::Unknown(cause) => {
                view.counters.unknown += 1;
                let (status, cause) = match cause {
                    Some(web::Error::Timeout) | None => {
                        (StatusCode::GATEWAY_TIMEOUT, "timed out".into())
                    }
                    Some(err) => (StatusCode::BAD_GATEWAY, err.to_string()),
                };
                let text = format!("{cause}; the call may have run\n");
                (response::unknown(status, &text, &request_id), response::UNKNOWN)
            }
        }
    }

    /// Returns true if this node is stopping and would likely exit before the call ends.
    fn would_be_cut(&self, call: &Call<'_>) -> bool {
        let stopping = self.view.borrow().stopping;
        let expected_latency = || self.expected_busy_time(call);
        stopping.is_some_and(|stopping| {
            stopping.must_reject(call.deadline, expected_latency(), Instant::now())
        })
    }

    /// Waits briefly while the config may be outdated; returns false if it must not be used.
    async fn wait_for_config(&self) -> bool {
        let is_usable = || self.view.borrow().is_config_usable(Instant::now());
        let since = Instant::now();
        while !is_usable() && since.elapsed() < MAX_CONFIG_WAIT {
            monoio::time::sleep(CONFIG_CHECK_INTERVAL).await;
        }
        is_usable()
    }

    fn request_id(&self, request: &web::Request) -> HeaderValue {
        match request.headers().get(crate::REQUEST_ID) {
            Some(id) => id.clone(),
            None => {
                let n = self.next_id.get() + 1;
                self.next_id.set(n);
                let node = self.view.borrow().settings.node_id.clone();
                HeaderValue::from_str(&format!("{node}-{n}"))
                    .unwrap_or_else(|_| HeaderValue::from(n))
            }
        }
    }

    /// Creates the call with the parameters of its template.
    ///
    /// Where teams have keys, the key tells the caller's team; otherwise the caller names it.
    fn resolve_call<'a>(
        &self,
        request: &'a web::Request,
        request_id: &HeaderValue,
        service: &str,
        path: &'a str,
        offer: Option<Offer>,
    ) -> Result<Call<'a>, Rejection> {
        let view = self.view.borrow();
        let template = view.templates.get(service).ok_or(Rejection::UnknownService)?;
        let template = &template.template;
        let has_keys = !template.access.is_empty();
        let caller = team::identify(&template.access, service, request.headers())
            .map_err(Rejection::Unauthorized)?;
        let team = match &caller {
            team::Caller::Team(team, _) => Some(team.name.as_str()),
            team::Caller::Anonymous => {
                request.headers().get(crate::TEAM).and_then(|v| v.to_str().ok())
            }
        };
        let params = template.params(team).clone();
        let listed_team = team.filter(|team| template.teams.contains_key(*team));
        let caller_timeout_ms = request.headers().get(crate::TIMEOUT_MS);
        let caller_timeout_ms =
            caller_timeout_ms.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
        let timeout_ms =
            caller_timeout_ms.map_or(params.timeout_ms, |ms: u64| ms.min(params.timeout_ms));
        Ok(Call {
            request,
            content: OnceCell::new(),
            request_id: request_id.clone(),
            service: service.into(),
            path,
            zone: view.settings.zone.clone(),
            team: listed_team.unwrap_or_default().into(),
            has_keys,
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            connection_share: connection_share(&params, view.entries.len()),
            offer,
            idempotent: params.idempotent_methods.iter().any(|m| m == request.method().as_str()),
            kind: kind(request.method(), path),
            params,
        })
    }

    /// Admits the call, or returns `None` if this node is full.
    fn admit<'a>(&'a self, call: &'a Call<'_>) -> Option<AdmittedCall<'a>> {
        let mut service_limits = self.service_limits.borrow_mut();
        let limits = service_limits.entry(call.service.clone()).or_default();
        let started_at = Instant::now();
        if !limits.limiter.try_acquire(&call.team, started_at) {
            return None;
        }
        // A call that a peer offers is counted there.
        if call.offer.is_none() {
            limits.retry_budget.deposit(call.params.retry_budget_percent);
        }
        Some(AdmittedCall {
            node: self,
            service: &call.service,
            team: &call.team,
            started_at,
            run_delay_at_start: self.run_delay.total(started_at),
            outcome: limit::Outcome::Other,
        })
    }

    /// Sends the call to upstreams until one responds, the call may have run and must not be
    /// retried, or nothing is left to try.
    async fn run_attempts(&self, call: &Call<'_>) -> CallResult {
        // Addresses rather than indexes, since the pool can change between two attempts.
        let mut tried: Vec<SocketAddr> = Vec::new();
        let (mut lost, mut refused) = (None, false);
        let mut failure = None;
        let offered_attempts = call.offer.map_or(u64::MAX, |offer| offer.attempts);
        let max_attempts = call.params.max_attempts.min(offered_attempts).max(1) as usize;
        let max_tried = max_attempts.max(MAX_UPSTREAMS_TRIED);
        let mut not_sent = 0;
        let mut peers_asked = false;
        while tried.len() < max_tried && tried.len() - not_sent < max_attempts {
            match self.quarantine_retry_after(call) {
                Some(retry_after) if lost.is_none() && failure.is_none() => {
                    return CallResult::Quarantined(retry_after)
                }
                Some(_) => break,
                None => {}
            }
            let needs_peer = self.is_partitioned() || not_sent >= MAX_NOT_SENT;
            if needs_peer && call.offer.is_none() && !peers_asked {
                peers_asked = true;
                let reached = tried.len() - not_sent;
                if reached > 0 && !self.withdraw_retry(call) {
                    break;
                }
                match self.send_via_peer(call, (max_attempts - reached) as u64).await {
                    PeerResult::Declined => {}
                    PeerResult::Responded(response)
                        if via_peer::outcome_of(&response) == response::NOT_RUN && reached > 0 =>
                    {
                        break
                    }
                    PeerResult::Responded(response) => {
                        return CallResult::RespondedByPeer(response)
                    }
                    PeerResult::Lost(err) => return CallResult::Unknown(Some(err)),
                }
            }
            let Some(addr) = self.pick_isolated(call, &tried) else { break };
            if tried.len() > not_sent && !self.withdraw_retry(call) {
                break;
            }
            tried.push(addr);
            let result = match call.idempotent && call.params.hedge {
                true => self.attempt_with_hedge(call, addr, &mut tried).await,
                false => self.attempt(call, addr).await,
            };
            match result {
                // An upstream that responds with a server error did run the call. So only an
                // idempotent call is retried, and this response is kept in case no other
                // upstream has a better one.
                Attempt::Answered(response)
                    if call.idempotent && is_upstream_failure(&response) =>
                {
                    failure = Some(response);
                }
                Attempt::Answered(response) => return CallResult::Answered(response),
                Attempt::Refused => refused = true,
                Attempt::NotSent => not_sent += 1,
                // A call that has crashed two upstreams would likely crash a third.
                Attempt::Lost(err) if call.idempotent && !self.has_repeated_crashes(call) => {
                    lost = Some(err)
                }
                Attempt::Lost(err) => return CallResult::Unknown(Some(err)),
            }
        }
        match (failure, lost) {
            (Some(response), _) => CallResult::Answered(response),
            (None, Some(err)) => CallResult::Unknown(Some(err)),
            (None, None) => CallResult::NotRun { refused },
        }
    }

    /// Picks an upstream that was not tried yet. For a suspected call, prefers one without another
    /// suspected call.
    fn pick_isolated(&self, call: &Call<'_>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let pick = |avoided: &[SocketAddr]| self.pick(call, &[avoided, tried].concat());
        let Some(isolation_plan) = self.isolation_plan(call) else { return self.pick(call, tried) };
        let reserved = isolation_plan.unreserved.and_then(|unreserved| pick(&unreserved));
        reserved.or_else(|| pick(&isolation_plan.occupied)).or_else(|| self.pick(call, tried))
    }

    /// Picks an upstream that was not tried yet; `None` if there is none or no time is left.
    fn pick(&self, call: &Call<'_>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        if call.remaining().is_zero() {
            return None;
        }
        let mut view = self.view.borrow_mut();
        let now = Instant::now();
        let unavailable = view.unavailable_upstreams(&call.service, now);
        let pool = view.pools.get_mut(&call.service)?;
        let criteria = balance::SelectionCriteria {
            policy: policy(call.params.balance),
            zone: &call.zone,
            zone_affinity: call.params.zone_affinity,
            tried,
            excluded: &unavailable,
            max_outstanding: call.connection_share,
        };
        let index = pool.pick(criteria, now, &mut *self.rng.borrow_mut())?;
        Some(pool.upstreams[index].addr)
    }

    /// Withdraws one retry from the service's budget. Returns false if the budget is exhausted.
    fn withdraw_retry(&self, call: &Call<'_>) -> bool {
        let mut service_limits = self.service_limits.borrow_mut();
        let limits = service_limits.entry(call.service.clone()).or_default();
        let allowed = limits.retry_budget.try_withdraw();
        let mut view = self.view.borrow_mut();
        match allowed {
            true => view.counters.retries += 1,
            false => view.counters.retries_over_budget += 1,
        }
        allowed
    }

    /// Sends the call to `addr`, and records the result for balancing, backpressure and quarantine.
    async fn attempt(&self, call: &Call<'_>, addr: SocketAddr) -> Attempt {
        let remaining = call.remaining();
        let request = response::upstream_request(call, addr, remaining);
        let outstanding = Outstanding::start(&self.view, &call.service, addr, call.kind);
        self.record_send(addr);
        let (finding_version, _suspected_attempt) = self.begin_attempt(call, addr);
        let request_sent_at = Instant::now();
        let on_response = |response: &web::Response| {
            paths::record_response(&mut self.view.borrow_mut());
            let signals = notices::read_signals(addr, response);
            // A response without success need not carry all signals, so it ends neither a limit nor
            // a backoff.
            let request_sent_at = response.status().is_success().then_some(request_sent_at);
            if self.view.borrow_mut().apply_signals(addr, &signals, request_sent_at) {
                self.wake_gossip();
            }
        };
        let result =
            self.idle.send(addr, request, remaining, call.connection_share, on_response).await;
        let elapsed = outstanding.elapsed();
        if matches!(result, Attempt::NotSent | Attempt::Lost(_)) {
            paths::record_failure(&mut self.view.borrow_mut(), addr);
        }
        outstanding.finish(match &result {
            Attempt::Answered(response) if is_upstream_failure(response) => {
                balance::Outcome::Failed
            }
            Attempt::Answered(_) => balance::Outcome::Answered,
            Attempt::Refused => balance::Outcome::Refused,
            // A timeout after less than half of the template's timeout is due to a short deadline
            // of the caller and no evidence against the upstream: counted as failures, such
            // timeouts would eject upstreams that serve all other callers.
            Attempt::Lost(web::Error::Timeout)
                if 2 * elapsed < Duration::from_millis(call.params.timeout_ms) =>
            {
                balance::Outcome::Cancelled
            }
            Attempt::NotSent | Attempt::Lost(_) => balance::Outcome::Failed,
        });
        log::debug!(
            "service={} request_id={} upstream={addr} took_us={}",
            call.service,
            call.request_id.to_str().unwrap_or("-"),
            elapsed.as_micros()
        );
        match &result {
            Attempt::Answered(response) if !is_upstream_failure(response) => {
                self.record_response(call)
            }
            Attempt::Lost(web::Error::Http(_) | web::Error::Send(_)) => {
                self.record_lost_response(call, addr, finding_version, elapsed).await;
            }
            _ => {}
        }
        result
    }

    /// Counts a send against the limit that its upstream has stated.
    fn record_send(&self, addr: SocketAddr) {
        let view = &mut *self.view.borrow_mut();
        let start = view.start_at(addr);
        view.backpressure.record_send(start, Instant::now());
    }

    /// Sends the call to `addr` and, if there is no response within the hedge delay, to a second
    /// upstream too. The first response is used and the other attempt is dropped.
    ///
    /// The call must be idempotent. The hedge counts against the retry budget.
    async fn attempt_with_hedge(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
        tried: &mut Vec<SocketAddr>,
    ) -> Attempt {
        let mut first = pin!(self.attempt(call, addr));
        // A second copy of a suspected call could crash a second upstream.
        let may_hedge = self.quarantine_decision(call) == Decision::Allow;
        let Some(delay) = self.hedge_delay(call).filter(|_| may_hedge) else {
            return first.await;
        };
        monoio::select! {
            result = &mut first => return result,
            _ = monoio::time::sleep(delay) => {}
        }
        let hedge_addr = self.pick(call, tried).filter(|_| self.withdraw_retry(call));
        let Some(hedge_addr) = hedge_addr else { return first.await };
        tried.push(hedge_addr);
        self.view.borrow_mut().counters.hedges += 1;
        let mut second = pin!(self.attempt(call, hedge_addr));
        let (result, first_ended) = monoio::select! {
            result = &mut first => (result, true),
            result = &mut second => (result, false),
        };
        match (result, first_ended) {
            (Attempt::Answered(response), _) if !is_upstream_failure(&response) => {
                Attempt::Answered(response)
            }
            (result, true) => more_informative(result, second.await),
            (result, false) => more_informative(result, first.await),
        }
    }

    /// Returns how long to wait before a hedge; `None` if the deadline would pass first, or if the
    /// latency of the call's kind is not known.
    fn hedge_delay(&self, call: &Call<'_>) -> Option<Duration> {
        let view = self.view.borrow();
        let mean = view.pools.get(&call.service)?.mean_latency(call.kind)?;
        let delay = mean.mul_f64(HEDGE_LATENCY_RATIO).max(MIN_HEDGE_DELAY);
        (delay < call.remaining()).then_some(delay)
    }

    /// Returns true if a call that was answered now took so long that its upstreams are likely full.
    fn was_slow(&self, call: &Call<'_>, admitted: &AdmittedCall<'_>) -> bool {
        let now = Instant::now();
        let view = self.view.borrow();
        let pool = view.pools.get(&call.service);
        let latency = limit::CallLatency {
            elapsed: now.duration_since(admitted.started_at),
            own_delay: self.run_delay.total(now).saturating_sub(admitted.run_delay_at_start),
            baseline: pool.and_then(|pool| pool.baseline_latency(call.kind, now)),
        };
        self.slow_calls.borrow_mut().record(latency)
    }

    /// Returns how long the service is expected to stay busy: the mean latency of the call's kind,
    /// or zero if that is not known.
    fn expected_busy_time(&self, call: &Call<'_>) -> Duration {
        let view = self.view.borrow();
        let mean = view.pools.get(&call.service).and_then(|pool| pool.mean_latency(call.kind));
        mean.unwrap_or_default()
    }
}

/// Returns the maximum number of connections to an upstream for each of `entries` entry nodes.
///
/// Upstreams reset connections beyond the number that they accept from all
/// callers together, and a call whose connection is reset may have run. A
/// connection is opened only if none is idle, so a limit on outstanding calls
/// limits the connections too.
fn connection_share(params: &config::Params, entries: usize) -> u32 {
    let share = params.connections_per_upstream / entries.max(1) as u64;
    u32::try_from(share.max(1)).unwrap_or(u32::MAX)
}

/// Returns the attempt whose result says more about the call. The order is: a response, a server
/// error, a possible run, a refusal, a call that was not sent.
fn more_informative(a: Attempt, b: Attempt) -> Attempt {
    let rank = |attempt: &Attempt| match attempt {
        Attempt::Answered(response) if !is_upstream_failure(response) => 4,
        Attempt::Answered(_) => 3,
        Attempt::Lost(_) => 2,
        Attempt::Refused => 1,
        Attempt::NotSent => 0,
    };
    if rank(&a) >= rank(&b) {
        a
    } else {
        b
    }
}

/// Returns true for server errors other than 501: they mean that the upstream failed, not that the
/// call is invalid.
fn is_upstream_failure(response: &web::Response) -> bool {
    response.status().is_server_error() && response.status() != StatusCode::NOT_IMPLEMENTED
}

fn policy(choice: config::Balance) -> balance::Policy {
    match choice {
        config::Balance::Adaptive => balance::Policy::Adaptive,
        config::Balance::RoundRobin => balance::Policy::RoundRobin,
        config::Balance::LeastOutstanding => balance::Policy::LeastOutstanding,
    }
}

/// Returns the kind of a call: its method and the first segment of its path.
fn kind(method: &http::Method, path: &str) -> balance::CallKind {
    let path = path.split(['?', '#']).next().unwrap_or(path);
    let first_segment = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let mut hasher = siphasher::sip::SipHasher13::new();
    (method.as_str(), first_segment).hash(&mut hasher);
    hasher.finish()
}
