//! Takes one request to its answer: route, sends, hedges, outcome.
//!
//! [`choose`] picks the upstream of each send, [`send`] makes it and learns from its end, [`call`]
//! is what they know of the request.

mod call;
mod choose;
mod send;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use place::Incarnation;
use route::{Route, ServiceName, Table};
use web::h1;

pub use self::send::CONNECT_TIMEOUT;

use self::call::{as_ms, Call, Choice, NoChoice, Tried};
use self::choose::Patience;
use crate::conns::{Conn, Conns};
use crate::exchange::{Answer, Outcome, Sent};
use crate::metrics::Metrics;
use crate::probe;
use crate::relay;
use crate::reply::Own;
use crate::state::Shared;

/// A request is hedged once it has taken this many times its prediction: below,
/// the ordinary spread of the work would use the budget up.
const HEDGE_FROM: f64 = 1.4;

/// A request whose objective no hedge can save is hedged only after this many
/// times its prediction, or when a hedge can just still end in time: its
/// upstream has likely gone silent.
const HEDGE_LOST_FROM: f64 = 4.0;

/// A connection that rested for less than this is taken to be known to its upstream still. Some
/// forget connections after 0.3 s; a request between zones is on its way for 2 ms.
const SURE_FOR: Duration = Duration::from_millis(100);

/// Upstreams tried for one request at most, those that could not be reached included.
const UPSTREAMS_TRIED_MOST: usize = 4;

/// When to come back after upstreams refused a request that the node would have sent on. What they
/// refuse says nothing of the others, and an attempt more earns the fleet a second send.
const COME_BACK: Duration = Duration::from_millis(10);

/// Time from the start of the process in which a request waits for the configuration and the list
/// of upstreams. Both are read within 0.25 s (110 kB over a link of 10 Mbit/s, after a start of
/// 0.05 s). Refused, each caller of a fleet that was restarted as a whole would use up a try of the
/// few that it has, and come back later than the node is ready.
const START_WAIT: Duration = Duration::from_millis(400);

/// How often a waiting request looks.
const START_LOOK: Duration = Duration::from_millis(5);

/// When to come back to a node that has no configuration or no upstreams.
const COME_BACK_NOT_READY: Duration = Duration::from_millis(300);

/// When to come back to another node.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(20);

/// The entry node's request path.
pub struct Node {
    /// What the node believes.
    pub state: Shared,
    /// Connections to upstreams.
    pub conns: Conns,
    /// Peers that read the platform through this node.
    pub subscribers: relay::Subscribers,
    /// What is measured.
    pub metrics: Metrics,
    probe_budgets: RefCell<HashMap<ServiceName, probe::Budget>>,
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
    /// Returns how many bytes of it were received.
    fn received_bytes(&self) -> usize {
        match self {
            Body::Whole(body) | Body::Long { first: body, .. } => body.len(),
        }
    }
}

/// What is known of a request that has no answer to pass on yet.
enum SoFar {
    /// No upstream can have run it.
    NotRun,
    /// One may have run it.
    MayHaveRun,
    /// One answered with an error of its own, which is passed on when nothing better comes.
    Error(Answer),
}

impl SoFar {
    /// A send may have run and has no answer.
    fn lost(self) -> SoFar {
        match self {
            SoFar::Error(answer) => SoFar::Error(answer),
            SoFar::NotRun | SoFar::MayHaveRun => SoFar::MayHaveRun,
        }
    }
}

/// What goes back to the caller.
pub enum Reply {
    /// An upstream's answer.
    Upstream(Answer),
    /// The node's own.
    Own(Own),
}

/// Returns true for an answer that is passed on even if the request could be sent again.
fn is_final(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if !answer.head.status.is_server_error())
}

/// Returns what two sends of a request that both ended badly, or the later one well, come to.
///
/// A refusal of one says nothing of the other, which may have run.
fn either(earlier: Outcome, later: Outcome) -> Outcome {
    let may_have_run =
        |outcome: &Outcome| matches!(outcome, Outcome::Answered(_) | Outcome::Lost(_));
    match may_have_run(&earlier) && !may_have_run(&later) {
        true => earlier,
        false => later,
    }
}

impl Node {
    /// Creates the request path over `state`, measured by `metrics`.
    pub fn new(state: Shared, metrics: Metrics) -> Node {
        Node {
            metrics,
            state,
            conns: Conns::default(),
            subscribers: relay::Subscribers::default(),
            probe_budgets: RefCell::default(),
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
        let reports = pools.get(service).and_then(|pool| pool.reports()) == Some(true);
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
        let read = state.settings.read_load;
        let value = headers.get(&state.settings.headers.load);
        let load = value.and_then(|value| value.to_str().ok()).and_then(read);
        if let Some(pool) = state.pools.get_mut(service) {
            pool.take_report(upstream, load, Instant::now());
        }
    }

    /// Takes a request that had arrived at `arrived` to its answer.
    pub async fn forward(
        self: &Rc<Node>,
        head: &h1::RequestHead,
        body: Body<'_>,
        arrived: Instant,
    ) -> Reply {
        self.until_started().await;
        let (table, names) = {
            let mut state = self.state.borrow_mut();
            state.counters.requests += 1;
            (state.table.clone(), state.settings.headers.clone())
        };
        let Some(table) = table else {
            trace::Line::new("no_config").field("request", id_of(head, &names)).log();
            return Reply::Own(Own::not_run(COME_BACK_NOT_READY, "no configuration yet"));
        };
        let Some(route) = table.find(&head.host, head.path()) else {
            trace::Line::new("no_route")
                .field("request", id_of(head, &names))
                .field("host", head.host.as_str())
                .field("path", head.path())
                .field("config", table.version)
                .log();
            return Reply::Own(Own::failed(StatusCode::NOT_FOUND, "no such route"));
        };
        let mut ids = head.headers.get_all(&names.request_id).iter();
        let (Some(request_id), None) = (ids.next().cloned(), ids.next()) else {
            let text = "exactly one request id is required";
            return Reply::Own(Own::failed(StatusCode::BAD_REQUEST, text));
        };
        let stated = head.headers.get(&names.deadline_ms).and_then(|v| v.to_str().ok());
        let stated = stated.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        let allowed = stated.map_or(route.timeout, |stated| stated.min(route.timeout));
        let deadline = arrived + allowed;
        let stopping = self.state.borrow().stopping;
        if stopping.is_some_and(|stopping| stopping.is_too_late(deadline, arrived)) {
            trace::Line::new("refused")
                .field("request", id_of(head, &names))
                .field("reason", "stopping")
                .log();
            return Reply::Own(Own::not_run(COME_BACK_ELSEWHERE, "this node is stopping"));
        }
        let tried_for = stated.map_or(Duration::ZERO, |stated| {
            self.state.borrow_mut().attempts.tried_for(&route.name, stated)
        });
        let body_bytes = body.received_bytes();
        let service = self.next_service(route);
        let most_urgent = table.is_most_urgent(route, &service);
        let sends = RefCell::default();
        let call = Call {
            head,
            request_id,
            route,
            service,
            most_urgent,
            arrived,
            tried_for,
            deadline,
            body_bytes,
            sends,
        };
        let reply = match monoio::time::timeout(allowed, self.sends(&call, &table, body)).await {
            Ok(reply) => reply,
            Err(_) => {
                call.line("timed_out").log();
                Reply::Own(Own::failed(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))
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

    /// Waits while the node has just started and holds nothing to serve by.
    async fn until_started(&self) {
        let may_wait = || {
            let state = self.state.borrow();
            let holds_all = state.table.is_some() && !state.roster.is_empty();
            !holds_all && state.started_at.elapsed() < START_WAIT
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
                let turns = state.turns.entry(route.name.clone()).or_default();
                turns.next(&route.targets, &mut state.rng)
            }
        };
        route.targets[index].service.clone()
    }

    fn count(&self, call: &Call<'_>, reply: &Reply) {
        if matches!(reply, Reply::Upstream(_)) && call.objective_left().is_zero() {
            call.line("late").log();
        }
        let outcome = match reply {
            Reply::Upstream(_) => "answered",
            Reply::Own(own) if own.come_back.is_some() => "refused",
            Reply::Own(_) => "failed",
        };
        self.metrics.request(call.arrived.elapsed(), outcome);
        let counters = &mut self.state.borrow_mut().counters;
        match reply {
            Reply::Upstream(_) => counters.answered += 1,
            Reply::Own(own) if own.come_back.is_some() => counters.refused += 1,
            Reply::Own(_) => counters.failed += 1,
        }
    }

    /// Sends the request to upstreams until one answers or no further send is allowed.
    async fn sends(self: &Rc<Node>, call: &Call<'_>, table: &Rc<Table>, body: Body<'_>) -> Reply {
        let whole = match body {
            Body::Whole(whole) => whole,
            Body::Long { first, reader, decoder } => {
                return self.send_long(call, table, first, reader, decoder).await
            }
        };
        let mut tried = Tried::default();
        let mut so_far = SoFar::NotRun;
        loop {
            let choice = match self.choose(call, &tried.upstreams, Patience::Waits).await {
                Ok(choice) => choice,
                Err(why) => return self.no_choice(call, table, why, so_far),
            };
            if tried.upstreams.is_empty() {
                self.state.borrow_mut().first_send(&call.service);
            } else if tried.arrived > 0 && !self.state.borrow_mut().second_send(&call.service) {
                call.line("second_send_over_budget").log();
                return give_up(so_far, COME_BACK);
            }
            let outcome = self.send_hedged(call, choice, &mut tried, &whole).await;
            let attempts_left = tried.arrived < call.route.attempts;
            match outcome {
                Outcome::NotSent if tried.upstreams.len() < UPSTREAMS_TRIED_MOST => {}
                Outcome::NotSent => return give_up(so_far, COME_BACK),
                Outcome::Answered(answer) if !answer.head.status.is_server_error() => {
                    return Reply::Upstream(answer)
                }
                Outcome::Answered(answer) if !call.repeatable() || !attempts_left => {
                    return Reply::Upstream(answer)
                }
                Outcome::Answered(answer) => so_far = SoFar::Error(answer),
                Outcome::NotRun(..) if attempts_left => {}
                Outcome::NotRun(..) => return give_up(so_far, COME_BACK),
                Outcome::Lost(_) => {
                    so_far = so_far.lost();
                    if !call.repeatable() || !attempts_left {
                        return give_up(so_far, COME_BACK);
                    }
                }
            }
        }
    }

    fn no_choice(&self, call: &Call<'_>, table: &Table, why: NoChoice, so_far: SoFar) -> Reply {
        let line = call.line("refused").field("config", table.version);
        let (line, come_back) = match why {
            NoChoice::NoUpstream => (line.field("reason", "no upstream"), COME_BACK_NOT_READY),
            NoChoice::Refused { come_back, best, predicted, wait, report_age } => {
                let line = line
                    .field("reason", "would be too late")
                    .field("best", best.id())
                    .field("predicted_ms", as_ms(predicted))
                    .field("wait_ms", as_ms(wait))
                    .field("report_age_ms", report_age.map(as_ms));
                (line, come_back)
            }
        };
        line.field("come_back_ms", as_ms(come_back)).log();
        give_up(so_far, come_back)
    }

    /// Sends once, and once more beside it when the answer is overdue and the request repeatable.
    async fn send_hedged(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: Choice,
        tried: &mut Tried,
        body: &Bytes,
    ) -> Outcome {
        tried.upstreams.push(choice.upstream.clone());
        tried.arrived += 1;
        let mut first = pin!(self.send(call, &choice, body));
        let at = |factor: f64| call.arrived + choice.predicted.mul_f64(factor);
        let last_chance = call.deadline - choice.predicted.mul_f64(HEDGE_FROM).min(call.left());
        for (factor, due) in
            [(HEDGE_FROM, at(HEDGE_FROM)), (HEDGE_LOST_FROM, at(HEDGE_LOST_FROM).min(last_chance))]
        {
            let timer = due.saturating_duration_since(Instant::now());
            monoio::select! {
                outcome = &mut first => return tried.ended(outcome),
                () = monoio::time::sleep(timer) => {}
            }
            self.overdue(call, &choice, factor);
            let hedgeable = call.repeatable() && tried.arrived < call.route.attempts;
            let hopeless = factor < HEDGE_LOST_FROM && call.objective_left() < choice.predicted;
            if !hedgeable || hopeless {
                continue;
            }
            // An answer that comes while another upstream is looked for is not kept waiting.
            let other = monoio::select! {
                outcome = &mut first => return tried.ended(outcome),
                other = self.choose(call, &tried.upstreams, Patience::None) => other,
            };
            let Ok(other) = other else { continue };
            if !self.state.borrow_mut().second_send(&call.service) {
                continue;
            }
            self.state.borrow_mut().counters.hedges += 1;
            call.line("hedged")
                .field("upstream", choice.upstream.id())
                .field("other", other.upstream.id())
                .log();
            tried.upstreams.push(other.upstream.clone());
            tried.arrived += 1;
            let mut second = pin!(self.send(call, &other, body));
            return monoio::select! {
                outcome = &mut first => match is_final(&outcome) {
                    true => outcome,
                    false => either(outcome, second.await),
                },
                outcome = &mut second => match is_final(&outcome) {
                    true => outcome,
                    false => either(outcome, first.await),
                },
            };
        }
        tried.ended(first.await)
    }

    /// Records that an upstream has not answered for `factor` times what was predicted.
    fn overdue(&self, call: &Call<'_>, choice: &Choice, factor: f64) {
        if !choice.unhindered {
            return;
        }
        if let Some(pool) = self.state.borrow_mut().pools.get_mut(&call.service) {
            pool.took_ratio(&choice.upstream, factor, Instant::now());
        }
    }

    /// Sends a request with a whole body to the chosen upstream.
    async fn send(&self, call: &Call<'_>, choice: &Choice, body: &Bytes) -> Outcome {
        let length = call.head.framing != h1::Framing::Empty;
        let length = length.then(|| HeaderValue::from(body.len()));
        let rest = async |_: &mut h1::Writer| Sent::All;
        let framing = length.map(|length| (http::header::CONTENT_LENGTH, length));
        self.send_with(call, choice, framing, body, rest).await
    }

    /// Sends a request whose body is still coming in; never a second time.
    async fn send_long(
        self: &Rc<Node>,
        call: &Call<'_>,
        table: &Rc<Table>,
        first: Bytes,
        reader: &mut h1::Reader,
        decoder: &mut h1::Decoder,
    ) -> Reply {
        let choice = match self.choose(call, &[], Patience::Waits).await {
            Ok(choice) => choice,
            Err(why) => return self.no_choice(call, table, why, SoFar::NotRun),
        };
        self.state.borrow_mut().first_send(&call.service);
        let chunked = !matches!(call.head.framing, h1::Framing::Length(_));
        let (framing, first) = match call.head.framing {
            h1::Framing::Length(length) => {
                ((http::header::CONTENT_LENGTH, HeaderValue::from(length)), first)
            }
            _ => {
                let coding = HeaderValue::from_static("chunked");
                ((http::header::TRANSFER_ENCODING, coding), h1::encode_chunk(&first).into())
            }
        };
        let rest = async |writer: &mut h1::Writer| loop {
            let bytes = match reader.body_piece(decoder).await {
                Ok(Some(piece)) if chunked => h1::encode_chunk(&piece),
                Ok(Some(piece)) => piece.to_vec(),
                Ok(None) if chunked => {
                    let last = writer.write(h1::LAST_CHUNK.to_vec()).await;
                    return last.map_or(Sent::UpstreamBroke, |()| Sent::All);
                }
                Ok(None) => return Sent::All,
                Err(_) => return Sent::CallerLeft,
            };
            if writer.write(bytes).await.is_err() {
                return Sent::UpstreamBroke;
            }
        };
        match self.send_with(call, &choice, Some(framing), &first, rest).await {
            Outcome::Answered(answer) => Reply::Upstream(answer),
            Outcome::NotRun(..) | Outcome::NotSent => give_up(SoFar::NotRun, COME_BACK),
            Outcome::Lost(why) => Reply::Own(Own::failed(StatusCode::BAD_GATEWAY, why)),
        }
    }
}

fn id_of<'a>(head: &'a h1::RequestHead, names: &crate::HeaderNames) -> &'a str {
    let id = head.headers.get(&names.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or("?")
}

/// Ends a request that gets no further send.
fn give_up(so_far: SoFar, come_back: Duration) -> Reply {
    match so_far {
        SoFar::NotRun => Reply::Own(Own::not_run(come_back, "not run; come back later")),
        SoFar::MayHaveRun => {
            let text = "no answer; the request may have run";
            Reply::Own(Own::failed(StatusCode::BAD_GATEWAY, text))
        }
        SoFar::Error(answer) => Reply::Upstream(answer),
    }
}
