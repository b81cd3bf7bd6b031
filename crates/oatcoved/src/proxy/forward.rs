//! Takes one call to its answer: admission, attempts, hedging, outcome.

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
use super::{answer, held, Node};
use crate::notices;

/// A hedge is sent once a call has taken this many times the mean of its kind.
const HEDGE_AFTER: f64 = 3.0;

/// A hedge is never sent sooner than this after the call.
const HEDGE_AFTER_LEAST: Duration = Duration::from_millis(5);

/// Upstreams tried for one call, those that take no connection included. These use up no attempt:
/// while crashed upstreams were still listed, one call in thirty met two of them and was not run.
const UPSTREAMS_TRIED_MOST: usize = 4;

/// A call is slow when it took more than this many times what its kind takes
/// when nothing waits.
const SLOW_FROM: f64 = 4.0;

/// One call on its way.
pub(super) struct Call<'a> {
    request: &'a web::Request,
    /// What it asks, once somebody wanted to know: [`Call::content`].
    content: OnceCell<ContentKey>,
    request_id: HeaderValue,
    pub(super) service: SmolStr,
    path: &'a str,
    zone: SmolStr,
    params: Rc<config::Params>,
    /// Team whose share of the intake it counts against; empty for callers of no listed team.
    team: SmolStr,
    deadline: Instant,
    /// Connections this node may have to one upstream.
    connection_share: u32,
    idempotent: bool,
    kind: balance::CallKind,
}

impl Call<'_> {
    /// Returns what it asks: the same under each id that its caller gives it.
    pub(super) fn content(&self) -> ContentKey {
        *self.content.get_or_init(|| held::content(self.request, &self.service, self.path))
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// How the attempts of a call ended.
enum Ended {
    /// An upstream answered.
    Answered(web::Response),
    /// It was not sent, since it crashes upstreams; the caller may come back after this long.
    HeldBack(Duration),
    /// Every attempt was refused or not sent.
    NotRun {
        /// Whether any upstream refused for want of room.
        refused: bool,
    },
    /// Some attempt may have run, and no whole answer came.
    Unknown(Option<web::Error>),
}

/// A call counted against the intake until it ends.
///
/// Dropping it ends it: a caller that goes away drops its call midway, and a
/// count that never came down would in time refuse everyone.
struct TakenIn<'a> {
    node: &'a Node,
    service: &'a SmolStr,
    team: &'a SmolStr,
    began: Instant,
    ended: limit::Outcome,
}

impl TakenIn<'_> {
    fn end(mut self, ended: limit::Outcome) {
        self.ended = ended;
    }
}

impl Drop for TakenIn<'_> {
    fn drop(&mut self) {
        if let Some(intake) = self.node.intakes.borrow_mut().get_mut(self.service) {
            intake.limiter.release(self.team, self.ended, self.began, Instant::now());
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
        let arrived = Instant::now();
        self.view.borrow_mut().counters.calls += 1;
        let (response, outcome) = self.take_to_answer(request, service, path).await;
        self.metrics.call(arrived.elapsed(), outcome);
        response
    }

    /// Takes the call to its answer; also returns what the caller is told of it.
    async fn take_to_answer(
        &self,
        request: web::Request,
        service: &str,
        path: &str,
    ) -> (web::Response, &'static str) {
        let request_id = self.request_id(&request);
        let Some(call) = self.call(&request, &request_id, service, path) else {
            self.view.borrow_mut().counters.not_run += 1;
            let answer = answer::not_run(StatusCode::NOT_FOUND, "unknown service\n", &request_id);
            return (answer, answer::NOT_RUN);
        };
        let Some(taken_in) = self.begin(&call) else {
            let mut view = self.view.borrow_mut();
            view.counters.not_run += 1;
            view.counters.shed += 1;
            drop(view);
            let busy_for = self.busy_for(&call);
            let answer = answer::refused("this entry node is full\n", busy_for, &request_id);
            return (answer, answer::NOT_RUN);
        };
        let ended = self.attempts(&call).await;
        let took = taken_in.began.elapsed();
        taken_in.end(match &ended {
            Ended::Answered(_) if self.was_slow(&call, took) => limit::Outcome::Slow,
            Ended::Answered(_) => limit::Outcome::Served,
            Ended::NotRun { refused: true } => limit::Outcome::Refused,
            Ended::NotRun { refused: false } | Ended::HeldBack(_) | Ended::Unknown(_) => {
                limit::Outcome::Other
            }
        });
        let mut view = self.view.borrow_mut();
        match ended {
            Ended::Answered(response) => {
                view.counters.done += 1;
                (answer::done(response, &request_id), answer::DONE)
            }
            Ended::HeldBack(come_back) => {
                view.counters.not_run += 1;
                let text = "this call crashes the upstreams that run it\n";
                (answer::held_back(text, come_back, &request_id), answer::NOT_RUN)
            }
            Ended::NotRun { .. } => {
                view.counters.not_run += 1;
                let opens_in = view.opens_in(&call.service, Instant::now());
                drop(view);
                let text = "no upstream could take the call\n";
                let answer = match opens_in {
                    Some(opens_in) => answer::held_back(text, opens_in, &request_id),
                    None => answer::refused(text, self.busy_for(&call), &request_id),
                };
                (answer, answer::NOT_RUN)
            }
            Ended::Unknown(cause) => {
                view.counters.unknown += 1;
                let (status, cause) = match cause {
                    Some(web::Error::Timeout) | None => {
                        (StatusCode::GATEWAY_TIMEOUT, "timed out".into())
                    }
                    Some(err) => (StatusCode::BAD_GATEWAY, err.to_string()),
                };
                let text = format!("{cause}; the call may have run\n");
                (answer::unknown(status, &text, &request_id), answer::UNKNOWN)
            }
        }
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

    /// Resolves what the template says of a call; `None` when the service is not known.
    fn call<'a>(
        &self,
        request: &'a web::Request,
        request_id: &HeaderValue,
        service: &str,
        path: &'a str,
    ) -> Option<Call<'a>> {
        let view = self.view.borrow();
        let template = &view.templates.get(service)?.template;
        let team = request.headers().get(crate::TEAM).and_then(|v| v.to_str().ok());
        let params = template.params(team).clone();
        let listed = team.filter(|team| template.teams.contains_key(*team));
        let caller_ms = request.headers().get(crate::TIMEOUT_MS);
        let caller_ms = caller_ms.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
        let budget_ms = caller_ms.map_or(params.timeout_ms, |ms: u64| ms.min(params.timeout_ms));
        Some(Call {
            request,
            content: OnceCell::new(),
            request_id: request_id.clone(),
            service: service.into(),
            path,
            zone: view.settings.zone.clone(),
            team: listed.unwrap_or_default().into(),
            deadline: Instant::now() + Duration::from_millis(budget_ms),
            connection_share: connection_share(&params, view.entries.len()),
            idempotent: params.idempotent_methods.iter().any(|m| m == request.method().as_str()),
            kind: kind(request.method(), path),
            params,
        })
    }

    /// Lets the call in, or returns `None` when this node is full.
    fn begin<'a>(&'a self, call: &'a Call<'_>) -> Option<TakenIn<'a>> {
        let mut intakes = self.intakes.borrow_mut();
        let intake = intakes.entry(call.service.clone()).or_default();
        let began = Instant::now();
        if !intake.limiter.try_acquire(&call.team, began) {
            return None;
        }
        intake.retries.deposit(call.params.retry_budget_percent);
        Some(TakenIn {
            node: self,
            service: &call.service,
            team: &call.team,
            began,
            ended: limit::Outcome::Other,
        })
    }

    /// Sends the call until it is answered, may have run for good, or nothing is left to try.
    async fn attempts(&self, call: &Call<'_>) -> Ended {
        // Addresses, not indexes: membership can change between two attempts.
        let mut tried: Vec<SocketAddr> = Vec::new();
        let (mut lost, mut refused) = (None, false);
        let mut broken = None;
        let attempts_most = call.params.max_attempts.max(1) as usize;
        let tried_most = attempts_most.max(UPSTREAMS_TRIED_MOST);
        let mut not_sent = 0;
        while tried.len() < tried_most && tried.len() - not_sent < attempts_most {
            match self.held_back(call) {
                Some(come_back) if lost.is_none() && broken.is_none() => {
                    return Ended::HeldBack(come_back)
                }
                Some(_) => break,
                None => {}
            }
            let Some(addr) = self.pick_apart(call, &tried) else { break };
            if tried.len() > not_sent && !self.second_send(call) {
                break;
            }
            tried.push(addr);
            let result = match call.idempotent && call.params.hedge {
                true => self.hedged(call, addr, &mut tried).await,
                false => self.attempt(call, addr).await,
            };
            match result {
                // An upstream that says it is broken did run the call: only what may run
                // twice goes elsewhere, and its answer stands if nobody has a better one.
                Attempt::Answered(response) if call.idempotent && is_broken(&response) => {
                    broken = Some(response);
                }
                Attempt::Answered(response) => return Ended::Answered(response),
                Attempt::Refused => refused = true,
                Attempt::NotSent => not_sent += 1,
                // What has crashed two upstreams would likely crash a third.
                Attempt::Lost(err) if call.idempotent && !self.is_likely(call) => lost = Some(err),
                Attempt::Lost(err) => return Ended::Unknown(Some(err)),
            }
        }
        match (broken, lost) {
            (Some(response), _) => Ended::Answered(response),
            (None, Some(err)) => Ended::Unknown(Some(err)),
            (None, None) => Ended::NotRun { refused },
        }
    }

    /// Picks an upstream that was not tried; for a suspected call rather one without another such call.
    fn pick_apart(&self, call: &Call<'_>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let pick = |avoided: &[SocketAddr]| self.pick(call, &[avoided, tried].concat());
        let Some(apart) = self.apart(call) else { return self.pick(call, tried) };
        let set_aside = apart.elsewhere.and_then(|elsewhere| pick(&elsewhere));
        set_aside.or_else(|| pick(&apart.taken)).or_else(|| self.pick(call, tried))
    }

    /// Picks an upstream that was not tried, or `None` when there is none or no time is left.
    fn pick(&self, call: &Call<'_>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        if call.remaining().is_zero() {
            return None;
        }
        let mut view = self.view.borrow_mut();
        let now = Instant::now();
        let barred = view.barred(&call.service, now);
        let pool = view.pools.get_mut(&call.service)?;
        let ask = balance::SelectionCriteria {
            policy: policy(call.params.balance),
            zone: &call.zone,
            zone_affinity: call.params.zone_affinity,
            tried,
            excluded: &barred,
            max_outstanding: call.connection_share,
        };
        let index = pool.pick(ask, now, &mut *self.rng.borrow_mut())?;
        Some(pool.upstreams[index].addr)
    }

    /// Takes one more send of the call out of the service's retry budget.
    fn second_send(&self, call: &Call<'_>) -> bool {
        let mut intakes = self.intakes.borrow_mut();
        let intake = intakes.entry(call.service.clone()).or_default();
        let allowed = intake.retries.try_withdraw();
        let mut view = self.view.borrow_mut();
        match allowed {
            true => view.counters.retries += 1,
            false => view.counters.retries_over_budget += 1,
        }
        allowed
    }

    async fn attempt(&self, call: &Call<'_>, addr: SocketAddr) -> Attempt {
        let remaining = call.remaining();
        let request =
            answer::upstream_request(call.request, call.path, addr, &call.request_id, remaining);
        let outstanding = Outstanding::start(&self.view, &call.service, addr, call.kind);
        self.count_send(addr);
        let (known, _under_way) = self.begin_send(call, addr);
        let asked_at = Instant::now();
        let hear = |response: &web::Response| {
            let stated = notices::stated(addr, response);
            let asked_at = response.status().is_success().then_some(asked_at);
            if self.view.borrow_mut().hear_notice(addr, &stated, asked_at) {
                self.wake_gossip();
            }
        };
        let result = self.idle.send(addr, request, remaining, call.connection_share, hear).await;
        let took = outstanding.took();
        outstanding.finish(match &result {
            Attempt::Answered(response) if is_broken(response) => balance::Outcome::Failed,
            Attempt::Answered(_) => balance::Outcome::Answered,
            Attempt::Refused => balance::Outcome::Refused,
            // A caller that waits only briefly says nothing of the upstream: counted as
            // failures, its time-outs would eject upstreams that serve everyone else.
            Attempt::Lost(web::Error::Timeout)
                if 2 * took < Duration::from_millis(call.params.timeout_ms) =>
            {
                balance::Outcome::Cancelled
            }
            Attempt::NotSent | Attempt::Lost(_) => balance::Outcome::Failed,
        });
        log::debug!(
            "service={} request_id={} upstream={addr} took_us={}",
            call.service,
            call.request_id.to_str().unwrap_or("-"),
            took.as_micros()
        );
        match &result {
            Attempt::Answered(response) if !is_broken(response) => self.ran(call),
            Attempt::Lost(web::Error::Http(_) | web::Error::Send(_)) => {
                self.lost(call, addr, known, took).await;
            }
            _ => {}
        }
        result
    }

    /// Counts a send against what its upstream takes.
    fn count_send(&self, addr: SocketAddr) {
        let view = &mut *self.view.borrow_mut();
        let start = view.start_at(addr);
        view.notices.record_send(start, Instant::now());
    }

    /// Sends the call to `addr` and, if no answer comes in the usual time, to one more
    /// upstream beside it; the first answer counts and the other attempt is dropped.
    ///
    /// Only for idempotent calls, and only out of the retry budget.
    async fn hedged(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
        tried: &mut Vec<SocketAddr>,
    ) -> Attempt {
        let mut first = pin!(self.attempt(call, addr));
        // A second copy of a suspected call beside the first could crash a second upstream.
        let may_hedge = self.verdict(call) == Decision::Allow;
        let Some(after) = self.hedge_after(call).filter(|_| may_hedge) else {
            return first.await;
        };
        monoio::select! {
            result = &mut first => return result,
            _ = monoio::time::sleep(after) => {}
        }
        let beside = self.pick(call, tried).filter(|_| self.second_send(call));
        let Some(beside) = beside else { return first.await };
        tried.push(beside);
        self.view.borrow_mut().counters.hedges += 1;
        let mut second = pin!(self.attempt(call, beside));
        let (result, first_ended) = monoio::select! {
            result = &mut first => (result, true),
            result = &mut second => (result, false),
        };
        match (result, first_ended) {
            (Attempt::Answered(response), _) if !is_broken(&response) => {
                Attempt::Answered(response)
            }
            (result, true) => better(result, second.await),
            (result, false) => better(result, first.await),
        }
    }

    /// Returns how long to wait before a hedge, or `None` when one would come too late.
    fn hedge_after(&self, call: &Call<'_>) -> Option<Duration> {
        let view = self.view.borrow();
        let mean = view.pools.get(&call.service)?.mean_latency(call.kind)?;
        let after = mean.mul_f64(HEDGE_AFTER).max(HEDGE_AFTER_LEAST);
        (after < call.remaining()).then_some(after)
    }

    /// Returns true when a call took several times what its kind takes when nothing waits.
    fn was_slow(&self, call: &Call<'_>, took: Duration) -> bool {
        let view = self.view.borrow();
        let pool = view.pools.get(&call.service);
        let floor = pool.and_then(|pool| pool.baseline_latency(call.kind, Instant::now()));
        floor.is_some_and(|floor| took > floor.mul_f64(SLOW_FROM))
    }

    /// Returns how long the service is likely to stay busy: about one call's time.
    fn busy_for(&self, call: &Call<'_>) -> Duration {
        let view = self.view.borrow();
        let mean = view.pools.get(&call.service).and_then(|pool| pool.mean_latency(call.kind));
        mean.unwrap_or_default()
    }
}

/// Returns how many connections one of `entries` entry nodes may have to an upstream.
///
/// Upstreams reset connections beyond what they take from all callers
/// together; a call cut that way may have run. A connection is opened only
/// when none is idle, so a bound on calls outstanding bounds connections too.
fn connection_share(params: &config::Params, entries: usize) -> u32 {
    let share = params.connections_per_upstream / entries.max(1) as u64;
    u32::try_from(share.max(1)).unwrap_or(u32::MAX)
}

/// Returns the attempt that tells the caller more: an answer, then a possible run, then a refusal.
fn better(a: Attempt, b: Attempt) -> Attempt {
    let rank = |attempt: &Attempt| match attempt {
        Attempt::Answered(response) if !is_broken(response) => 4,
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

/// Returns true for answers that say the upstream is broken rather than the call wrong.
fn is_broken(response: &web::Response) -> bool {
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
    let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let mut hasher = siphasher::sip::SipHasher13::new();
    (method.as_str(), first).hash(&mut hasher);
    hasher.finish()
}
