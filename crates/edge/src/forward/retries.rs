//! The sends of one request: retries one after the other, and hedges beside an overdue send.

use std::cell::RefCell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use quarantine::Decision;
use web::h1;

use super::call::{Call, Choice, NoChoice, Tried};
use super::choose::WaitPolicy;
use super::send::{write_pieces, SEND_PIECE_BYTES};
use super::silence::Unanswered;
use super::{Body, Node, Reply, RETRY_AFTER_OTHER_NODE};
use crate::as_ms;
use crate::exchange::{Outcome, Response, SendResult};
use crate::reply::LocalReply;

/// A request is hedged once it has taken this many times its predicted latency: with a smaller
/// ratio the ordinary variance of the work would use up the budget.
const MIN_HEDGE_LATENCY_RATIO: f64 = 1.4;

/// A request whose latency objective no hedge can meet is hedged only after this many times its
/// predicted latency, or when a hedge can only just end before the deadline: its upstream has
/// likely gone silent.
const MIN_LATE_HEDGE_LATENCY_RATIO: f64 = 4.0;

/// Upstreams tried for one request at most, unreachable ones included.
const MAX_UPSTREAMS_TRIED: usize = 4;

/// `Retry-After` when upstreams refused a request and the node may not send it again. Their refusal
/// says nothing about other upstreams, and each further attempt of the caller adds to the retry
/// budget of the fleet.
const RETRY_AFTER_UPSTREAM_REFUSAL: Duration = Duration::from_millis(10);

/// What the caller is told if no further send is allowed: nothing final came from the sends so far.
enum Fallback {
    /// No upstream can have run it.
    NotRun,
    /// An upstream may have run it.
    MayHaveRun,
    /// An upstream responded with a server error, which is passed on unless a better response
    /// comes.
    Error(Response),
}

impl Fallback {
    /// Returns the state after a send that may have run and got no response.
    fn after_lost_send(self) -> Fallback {
        match self {
            Fallback::Error(response) => Fallback::Error(response),
            Fallback::NotRun | Fallback::MayHaveRun => Fallback::MayHaveRun,
        }
    }
}

/// Why a request gets no further send.
enum NotChosen {
    /// No upstream was chosen.
    NoChoice(NoChoice),
    /// The retry budget is used up.
    OverBudget,
}

/// Returns true for a response that is passed on even if the request could be sent again.
fn is_final(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(response) if !response.head.status.is_server_error())
}

/// Combines the outcomes of two sends of a request, of which the earlier has no final response.
///
/// The refusal of one send says nothing about the other, which may have run.
fn combine(earlier: Outcome, later: Outcome) -> Outcome {
    let may_have_run =
        |outcome: &Outcome| matches!(outcome, Outcome::Answered(_) | Outcome::Lost(_));
    match may_have_run(&earlier) && !may_have_run(&later) {
        true => earlier,
        false => later,
    }
}

impl Node {
    /// Sends the request to upstreams until one responds or no further send is allowed.
    pub(super) async fn send_with_retries(
        self: &Rc<Node>,
        call: &Call<'_>,
        body: Body<'_>,
    ) -> Reply {
        let buffered = match body {
            Body::Full(buffered) => buffered,
            Body::Partial { first, reader, decoder } => {
                return self.send_streaming(call, first, reader, decoder).await
            }
        };
        let tried = RefCell::new(Tried::default());
        let mut fallback = Fallback::NotRun;
        loop {
            let granted = tried.borrow_mut().granted.take();
            if granted.is_none() && self.prefers_peer(call, &tried.borrow()) {
                match self.retry_via_peer(call, &tried, &buffered, fallback).await {
                    Ok(reply) => return reply,
                    // No peer takes it.
                    Err(unchanged) => fallback = unchanged,
                }
            }
            let choice = match granted {
                Some(choice) => choice,
                None => match self.choose_next(call, &tried).await {
                    Ok(choice) => choice,
                    Err(NotChosen::NoChoice(why)) if self.needs_peer(call, &tried.borrow()) => {
                        match self.retry_via_peer(call, &tried, &buffered, fallback).await {
                            Ok(reply) => return reply,
                            Err(fallback) => return self.refuse(call, why, fallback),
                        }
                    }
                    Err(NotChosen::NoChoice(why)) => return self.refuse(call, why, fallback),
                    Err(NotChosen::OverBudget) => {
                        return give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL)
                    }
                },
            };
            let outcome = self.send_hedged(call, choice, &tried, &buffered).await;
            let (reached, upstreams) = {
                let tried = tried.borrow();
                (tried.reached, tried.upstreams.len())
            };
            let attempts_left = reached < call.attempts;
            match outcome {
                Outcome::NotSent if upstreams < MAX_UPSTREAMS_TRIED => {}
                Outcome::NotSent => return give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL),
                Outcome::Answered(response) if !response.head.status.is_server_error() => {
                    return reply_of_upstream(call, response)
                }
                Outcome::Answered(response) if !call.is_idempotent() || !attempts_left => {
                    return reply_of_upstream(call, response)
                }
                Outcome::Answered(response) => fallback = Fallback::Error(response),
                Outcome::NotRun(..) if attempts_left => {}
                Outcome::NotRun(..) => return give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL),
                Outcome::Lost(_) => {
                    fallback = fallback.after_lost_send();
                    // A request that has crashed two upstreams would likely crash a third. Its
                    // caller is told that it may have run, and can retry.
                    if !call.is_idempotent() || !attempts_left || self.has_repeated_crashes(call) {
                        return give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL);
                    }
                }
            }
        }
    }

    /// Sends the request through a peer, within the retry budget, and returns the reply to its
    /// caller: the peer makes all further sends.
    ///
    /// # Errors
    ///
    /// Returns `fallback` if no peer takes the request.
    async fn retry_via_peer(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
        body: &Bytes,
        fallback: Fallback,
    ) -> Result<Reply, Fallback> {
        let Some(peer) = self.offer_to_peers(call, tried).await else { return Err(fallback) };
        let reached = tried.borrow().reached;
        if reached > 0 && !self.state.borrow_mut().try_second_send(&call.service) {
            call.log_line("second_send_over_budget").log();
            return Ok(give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL));
        }
        let outcome = self.send_to_peer(call, tried, peer, body).await;
        Ok(reply_of_peer(outcome, fallback))
    }

    /// Chooses the upstream for the first send, or for another one within the retry budget.
    async fn choose_next(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
    ) -> Result<Choice, NotChosen> {
        let (upstreams, reached) = {
            let tried = tried.borrow();
            (tried.upstreams.clone(), tried.reached)
        };
        let choosing = self.choose(call, &upstreams, WaitPolicy::Allowed);
        let choice = choosing.await.map_err(NotChosen::NoChoice)?;
        let mut state = self.state.borrow_mut();
        if upstreams.is_empty() {
            // That of an offered request may be counted by the peer that made the offer.
            if !call.offer.is_some_and(|offer| offer.is_counted) {
                state.record_first_send(&call.service);
            }
        } else if reached > 0 && !state.try_second_send(&call.service) {
            drop(state);
            call.log_line("second_send_over_budget").log();
            return Err(NotChosen::OverBudget);
        }
        Ok(choice)
    }

    /// Grants another send to a request that has vanished, which is to be sent to
    /// [`Tried::granted`]. Returns false if it gets none now: while a hedge is in flight, without
    /// attempts or retry budget left, or while no other upstream can take it.
    pub(super) async fn grant_second_send(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
        unanswered: &Unanswered,
    ) -> bool {
        let may_send = || {
            let tried = tried.borrow();
            unanswered.is_unanswered()
                && tried.in_flight <= 1
                && tried.reached < call.attempts
                && !self.has_repeated_crashes(call)
        };
        if !may_send() {
            return false;
        }
        let upstreams = tried.borrow().upstreams.clone();
        let Ok(choice) = self.choose(call, &upstreams, WaitPolicy::Allowed).await else {
            return false;
        };
        // A hedge may have been sent meanwhile, or the response may have begun to arrive.
        if !may_send() || !self.state.borrow_mut().try_second_send(&call.service) {
            return false;
        }
        tried.borrow_mut().granted = Some(choice);
        true
    }

    /// Logs why no upstream was chosen for a request, and returns the response to its caller.
    fn refuse(&self, call: &Call<'_>, why: NoChoice, fallback: Fallback) -> Reply {
        let line = call.log_line("refused");
        let (line, retry_after) = match why {
            NoChoice::CallerLeft => return give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL),
            NoChoice::OutdatedList => {
                self.state.borrow_mut().counters.refused_outdated += 1;
                (line.field("reason", "list may be outdated"), RETRY_AFTER_OTHER_NODE)
            }
            NoChoice::Quarantined { retry_after } => {
                self.state.borrow_mut().counters.refused_crashing += 1;
                (line.field("reason", "crashes upstreams"), retry_after)
            }
            NoChoice::NoUpstream { retry_after } => {
                let state = self.state.borrow();
                let (zones, now) = (state.evacuations.zones(), Instant::now());
                let line = line
                    .field("reason", "no upstream")
                    .field("evacuated", zones)
                    .field("limited", state.backpressure.limited_count(now))
                    .field("leaving", state.backpressure.leaving_count(now))
                    .field("resting", state.backpressure.backoff_count(now));
                (line, retry_after)
            }
            NoChoice::TooLate {
                retry_after,
                best,
                predicted_latency,
                queue_time,
                concurrency,
                ahead,
                report_age,
            } => {
                self.state.borrow_mut().counters.refused_too_late += 1;
                let line = line
                    .field("reason", "would be too late")
                    .field("best", best.id())
                    .field("predicted_ms", as_ms(predicted_latency))
                    .field("wait_ms", as_ms(queue_time))
                    .field("concurrency", concurrency)
                    .field("ahead", ahead)
                    .field("report_age_ms", report_age.map(as_ms));
                (line, retry_after)
            }
        };
        line.field("come_back_ms", as_ms(retry_after)).log();
        give_up(fallback, retry_after)
    }

    /// Sends the request once, and hedges when the response is overdue and the request is
    /// idempotent.
    async fn send_hedged(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: Choice,
        tried: &RefCell<Tried>,
        body: &Bytes,
    ) -> Outcome {
        let sent_at = Instant::now();
        tried.borrow_mut().record_send(&choice.upstream);
        let mut first = pin!(self.send(call, &choice, tried, body));
        let at = |factor: f64| call.received_at + choice.predicted_latency.mul_f64(factor);
        let last_hedge_at = call.deadline
            - choice.predicted_latency.mul_f64(MIN_HEDGE_LATENCY_RATIO).min(call.deadline_left());
        for (factor, due) in [
            (MIN_HEDGE_LATENCY_RATIO, at(MIN_HEDGE_LATENCY_RATIO)),
            (MIN_LATE_HEDGE_LATENCY_RATIO, at(MIN_LATE_HEDGE_LATENCY_RATIO).min(last_hedge_at)),
        ] {
            let timer = due.saturating_duration_since(Instant::now());
            monoio::select! {
                outcome = &mut first => return tried.borrow_mut().record_outcome(outcome),
                () = monoio::time::sleep(timer) => {}
            }
            self.record_overdue(call, &choice, factor, sent_at);
            // A concurrent copy of a suspected request could crash a second upstream.
            let may_hedge = call.is_idempotent()
                && tried.borrow().reached < call.attempts
                && self.quarantine_decision(call) == Decision::Allow;
            let is_futile = factor < MIN_LATE_HEDGE_LATENCY_RATIO
                && call.objective_left() < choice.predicted_latency;
            if !may_hedge || is_futile {
                continue;
            }
            if self.prefers_peer(call, &tried.borrow()) {
                let peer = monoio::select! {
                    outcome = &mut first => return tried.borrow_mut().record_outcome(outcome),
                    peer = self.offer_to_peers(call, tried) => peer,
                };
                let Some(peer) = peer else { continue };
                if !self.state.borrow_mut().try_hedge(&call.service) {
                    continue;
                }
                let second = pin!(self.send_to_peer(call, tried, peer, body));
                return first_final(first, second, tried).await;
            }
            // A response that comes while another upstream is being chosen is returned at once.
            let upstreams = tried.borrow().upstreams.clone();
            let other = monoio::select! {
                outcome = &mut first => return tried.borrow_mut().record_outcome(outcome),
                other = self.choose(call, &upstreams, WaitPolicy::Forbidden) => other,
            };
            let Ok(other) = other else { continue };
            if !self.state.borrow_mut().try_hedge(&call.service) {
                continue;
            }
            call.log_line("hedged")
                .field("upstream", choice.upstream.id())
                .field("other", other.upstream.id())
                .log();
            tried.borrow_mut().record_send(&other.upstream);
            let second = pin!(self.send(call, &other, tried, body));
            return first_final(first, second, tried).await;
        }
        let outcome = first.await;
        tried.borrow_mut().record_outcome(outcome)
    }

    /// Records that an upstream has not responded for `factor` times the predicted latency.
    fn record_overdue(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        factor: f64,
        sent_at: Instant,
    ) {
        self.check_paths_after_overdue(
            &call.service,
            choice.addr,
            factor >= MIN_LATE_HEDGE_LATENCY_RATIO,
            sent_at,
        );
        if !choice.latency_measures_work {
            return;
        }
        if let Some(pool) = self.state.borrow_mut().pools.get_mut(&call.service) {
            pool.record_latency_ratio(&choice.upstream, factor, Instant::now());
        }
    }

    /// Sends a request whose body was received in full to the chosen upstream.
    async fn send(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        tried: &RefCell<Tried>,
        body: &Bytes,
    ) -> Outcome {
        let length = call.head.framing != h1::Framing::Empty;
        let length = length.then(|| HeaderValue::from(body.len()));
        let unanswered = Unanswered::new(&self.state, call, choice);
        let mut rest = body.clone();
        let first = rest.split_to(rest.len().min(SEND_PIECE_BYTES));
        let write_rest = async |writer: &mut h1::Writer| {
            let result = write_pieces(writer, &rest).await;
            if result == SendResult::Complete {
                unanswered.start(body.len());
            }
            result
        };
        let framing = length.map(|length| (http::header::CONTENT_LENGTH, length));
        let sending = self.send_with(call, choice, framing, &first, &unanswered, write_rest);
        self.unless_vanished(call, choice, tried, &unanswered, sending).await
    }

    /// Sends a request whose body is still being received. It is never sent a second time.
    async fn send_streaming(
        self: &Rc<Node>,
        call: &Call<'_>,
        first: Bytes,
        reader: &mut h1::Reader,
        decoder: &mut h1::Decoder,
    ) -> Reply {
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
        let write_rest = async |writer: &mut h1::Writer| loop {
            let bytes = match reader.body_piece(decoder).await {
                Ok(Some(piece)) if chunked => h1::encode_chunk(&piece),
                Ok(Some(piece)) => piece.to_vec(),
                Ok(None) if chunked => {
                    let last = writer.write(h1::LAST_CHUNK.to_vec()).await;
                    return last.map_or(SendResult::UpstreamClosed, |()| SendResult::Complete);
                }
                Ok(None) => return SendResult::Complete,
                Err(_) => return SendResult::CallerLeft,
            };
            if writer.write(bytes).await.is_err() {
                return SendResult::UpstreamClosed;
            }
        };
        let tried = RefCell::new(Tried::default());
        if self.prefers_peer(call, &tried.borrow()) {
            if let Some(peer) = self.offer_to_peers(call, &tried).await {
                let framing = Some(framing);
                let sending =
                    self.send_to_peer_with(call, &tried, peer, framing, &first, write_rest);
                return reply_of_peer(sending.await, Fallback::NotRun);
            }
        }
        let choice = match self.choose(call, &[], WaitPolicy::Allowed).await {
            Ok(choice) => choice,
            Err(why) => return self.refuse(call, why, Fallback::NotRun),
        };
        if !call.offer.is_some_and(|offer| offer.is_counted) {
            self.state.borrow_mut().record_first_send(&call.service);
        }
        // It is never taken for vanished: a part of it may still be on its way.
        let unanswered = Unanswered::new(&self.state, call, &choice);
        let sending = self.send_with(call, &choice, Some(framing), &first, &unanswered, write_rest);
        match sending.await {
            Outcome::Answered(response) => reply_of_upstream(call, response),
            Outcome::NotRun(..) | Outcome::NotSent => {
                give_up(Fallback::NotRun, RETRY_AFTER_UPSTREAM_REFUSAL)
            }
            Outcome::Lost(why) => Reply::Local(LocalReply::failed(StatusCode::BAD_GATEWAY, why)),
        }
    }
}

/// Waits for two sends of a request; returns the first final outcome, or what both say together.
async fn first_final<A, B>(
    mut first: Pin<&mut A>,
    mut second: Pin<&mut B>,
    tried: &RefCell<Tried>,
) -> Outcome
where
    A: Future<Output = Outcome>,
    B: Future<Output = Outcome>,
{
    let outcome = monoio::select! {
        outcome = &mut first => match is_final(&outcome) {
            true => outcome,
            false => {
                tried.borrow_mut().in_flight = 1;
                combine(outcome, second.await)
            }
        },
        outcome = &mut second => match is_final(&outcome) {
            true => outcome,
            false => {
                tried.borrow_mut().in_flight = 1;
                combine(outcome, first.await)
            }
        },
    };
    tried.borrow_mut().in_flight = 0;
    outcome
}

/// Returns the reply to a request that an upstream has answered, without the statement that it did
/// not run. A status that makes that statement to the caller is not passed on for a request that
/// must not run twice.
fn reply_of_upstream(call: &Call<'_>, response: Response) -> Reply {
    match states_not_run(response.head.status) && !call.is_idempotent() {
        true => {
            call.log_line("refusal_not_passed_on")
                .field("status", response.head.status.as_u16())
                .log();
            let text = "the upstream failed; the request may have run";
            Reply::Local(LocalReply::failed(StatusCode::BAD_GATEWAY, text))
        }
        false => Reply::Upstream(response),
    }
}

/// Returns true for a status by which callers are told that their request did not run.
fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the response to a request that was sent through a peer, which has made all the sends
/// that the request may get.
fn reply_of_peer(outcome: Outcome, fallback: Fallback) -> Reply {
    match outcome {
        Outcome::Answered(response) => Reply::Upstream(response),
        Outcome::NotRun(_, headers) => give_up(fallback, retry_after_of(&headers)),
        Outcome::NotSent => give_up(fallback, RETRY_AFTER_UPSTREAM_REFUSAL),
        Outcome::Lost(_) => give_up(fallback.after_lost_send(), RETRY_AFTER_UPSTREAM_REFUSAL),
    }
}

/// Returns when a caller may retry, as a peer that refused the request states it.
fn retry_after_of(headers: &HeaderMap) -> Duration {
    let stated = headers.get(http::header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let stated_s = stated.and_then(|seconds| seconds.parse().ok());
    let stated = stated_s.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    stated.map_or(RETRY_AFTER_UPSTREAM_REFUSAL, |stated| stated.min(notice::MAX_RETRY_AFTER))
}

/// Returns the response to a request that gets no further send.
fn give_up(fallback: Fallback, retry_after: Duration) -> Reply {
    match fallback {
        Fallback::NotRun => {
            Reply::Local(LocalReply::not_run(retry_after, "not run; come back later"))
        }
        Fallback::MayHaveRun => {
            let text = "no answer; the request may have run";
            Reply::Local(LocalReply::failed(StatusCode::BAD_GATEWAY, text))
        }
        Fallback::Error(response) => Reply::Upstream(response),
    }
}
