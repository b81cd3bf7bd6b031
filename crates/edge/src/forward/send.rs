//! One send of a request to one upstream, and what its outcome says about that upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use place::RequestOutcome;
use web::h1;

use super::call::{Call, Choice, SendRecord};
use super::silence::Unanswered;
use super::Node;
use crate::exchange::{self, Outcome, OutgoingRequest, Response, ResponseTo, SendResult};
use crate::state::Outstanding;
use crate::{as_ms, start_of};

/// The deadline passed to an upstream is earlier by this, so that a response that it makes right at
/// its deadline still reaches the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Length of the pieces in which a body is sent. Each is copied, so that a large body sent at once
/// would take its memory twice.
pub(super) const SEND_PIECE_BYTES: usize = 64 * 1024;

/// Timeout for connecting to an upstream: a hundred times the round trip between zones. A lost SYN
/// packet would take seconds to be sent again.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Node {
    /// Sends a request to the chosen upstream and records the outcome. `write_rest` sends what
    /// follows `body`; `framing` is the header that states the length or the coding of both.
    /// `unanswered` ends with the head of the response.
    pub(super) async fn send_with<F>(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        framing: Option<(http::HeaderName, HeaderValue)>,
        body: &Bytes,
        unanswered: &Unanswered,
        write_rest: F,
    ) -> Outcome
    where
        F: AsyncFnOnce(&mut h1::Writer) -> SendResult,
    {
        call.sends.borrow_mut().push(SendRecord {
            upstream: choice.upstream.id.clone(),
            at_ms: as_ms(call.received_at.elapsed()),
            predicted_ms: as_ms(choice.predicted_latency),
            report_age_ms: choice.report_age.map(as_ms),
        });
        let outstanding = Outstanding::start(&self.state, &call.service, &choice.upstream);
        self.state
            .borrow_mut()
            .backpressure
            .record_send(start_of(&choice.upstream), Instant::now());
        let (version, _guard) = self.begin_attempt(call, &choice.upstream);
        let started_at = Instant::now();
        call.last_send.set(Some((choice.addr, started_at)));
        let timeout = CONNECT_TIMEOUT.min(call.deadline_left());
        let (upstream, addr) = (&choice.upstream, choice.addr);
        let connecting = async {
            match call.is_idempotent() {
                true => self.connection(upstream, addr, timeout).await,
                false => self.verified_connection(&call.service, upstream, addr, timeout).await,
            }
        };
        let conn = match connecting.await {
            Ok(conn) => conn,
            Err(err) => {
                self.record_unconnected(addr);
                self.record_connect_failure(&choice.upstream, &err);
                call.log_line("connect_failed")
                    .field("upstream", choice.upstream.id())
                    .field("error", err.to_string())
                    .log();
                outstanding.finish(RequestOutcome::Failed);
                return Outcome::NotSent;
            }
        };
        let names = self.state.borrow().settings.headers.clone();
        let headers = upstream_headers(call, choice, &names, framing);
        let mut bytes = h1::write_request(&call.head.method, &call.head.target, &headers);
        bytes.extend_from_slice(body);
        let (method, request_id) = (call.head.method.clone(), call.request_id.clone());
        let outgoing = OutgoingRequest { method, bytes, request_id };
        self.state.borrow_mut().counters.far_sends += u64::from(choice.is_cross_zone);
        if let Some(token) = &call.token {
            token.spend();
        }
        let was_reused = conn.used;
        let requested_at = Instant::now();
        let on_response_head = |head: &h1::ResponseHead, to: ResponseTo| {
            self.record_path_response();
            if to == ResponseTo::Current {
                unanswered.end();
            }
            let is_full_statement = to == ResponseTo::Current && head.status.is_success();
            let requested_at = is_full_statement.then_some(requested_at);
            self.apply_signals(&choice.upstream, head.status, &head.headers, requested_at);
        };
        let (outcome, conn) =
            exchange::run(conn, outgoing, &names, on_response_head, write_rest).await;
        match conn {
            Some(conn) => self.conns.put(&choice.upstream, conn),
            // It was the most recently used one: those that were idle for longer are gone too.
            None if was_reused && matches!(outcome, Outcome::Lost(exchange::CONNECTION_BROKEN)) => {
                self.conns.close(&choice.upstream);
            }
            None => {}
        }
        self.record_outcome(call, choice, &outcome, started_at.elapsed());
        outstanding.finish(match &outcome {
            Outcome::Answered(response) if response.head.status.is_server_error() => {
                RequestOutcome::Failed
            }
            Outcome::Answered(_) => RequestOutcome::Answered,
            Outcome::NotRun(..) => RequestOutcome::Refused,
            Outcome::NotSent => RequestOutcome::Failed,
            Outcome::Lost(exchange::CALLER_LEFT) => RequestOutcome::Cancelled,
            Outcome::Lost(_) => RequestOutcome::Failed,
        });
        if matches!(outcome, Outcome::Lost(why) if exchange::is_connection_loss(why)) {
            self.record_path_failure(addr);
            self.detect_crash(call, choice, version, started_at.elapsed()).await;
        }
        outcome
    }

    /// Records what the outcome of a send says about the upstream.
    fn record_outcome(
        &self,
        call: &Call<'_>,
        choice: &Choice,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        let (upstream, service) = (&choice.upstream, &call.service);
        match outcome {
            Outcome::Answered(response) => {
                self.record_load(service, upstream, &response.head.headers);
                if !response.head.status.is_server_error() {
                    self.record_completed(call);
                    self.record_work(call, choice, response, elapsed);
                    return;
                }
                call.log_line("upstream_error")
                    .field("upstream", upstream.id())
                    .field("status", response.head.status.as_u16())
                    .log();
            }
            Outcome::NotRun(status, headers) => {
                // The load of a misdirected request is that of another upstream.
                if *status != StatusCode::MISDIRECTED_REQUEST {
                    self.record_load(service, upstream, headers);
                }
                let size_bytes = call.body_start.len();
                let is_at_once = place::silence::is_at_once(elapsed, size_bytes);
                if *status == StatusCode::SERVICE_UNAVAILABLE && is_at_once {
                    self.record_refusal(service, upstream);
                }
                call.log_line("not_run_by_upstream")
                    .field("upstream", upstream.id())
                    .field("status", status.as_u16())
                    .log();
                if *status == StatusCode::MISDIRECTED_REQUEST {
                    // The address belongs to another upstream: this one is gone, listed or not.
                    self.record_upstream_ended(upstream);
                    self.conns.close(upstream);
                    if let Some(pool) = self.state.borrow_mut().pools.get_mut(service) {
                        pool.remove(upstream);
                    }
                }
            }
            Outcome::NotSent => {}
            Outcome::Lost(why) => {
                call.log_line("answer_lost")
                    .field("upstream", upstream.id())
                    .field("reason", why)
                    .field("took_ms", as_ms(elapsed))
                    .log();
            }
        }
    }

    /// Records the work and the size of a request, as estimates for others of its route.
    fn record_work(
        &self,
        call: &Call<'_>,
        choice: &Choice,
        response: &Response,
        elapsed: Duration,
    ) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        state
            .work_estimates
            .record_size(&call.route.name, call.body_start.len() + response.known_bytes());
        let Some(pool) = state.pools.get_mut(&call.service) else { return };
        let work = state.work_estimates.work(&call.route.name, call.route.objective);
        let work_ratio = elapsed.as_secs_f64() / work.as_secs_f64().max(0.001);
        pool.record_crowding(&choice.upstream, work_ratio, now);
        let still_at_usual_speed = pool
            .position(&choice.upstream)
            .and_then(|index| pool.upstreams()[index].report(now))
            .is_some_and(|(load, _)| load.is_at_usual_speed());
        if choice.latency_measures_work && still_at_usual_speed {
            let ratio = elapsed.as_secs_f64() / choice.predicted_latency.as_secs_f64().max(0.001);
            pool.record_latency_ratio(&choice.upstream, ratio, now);
            state.work_estimates.record_work(&call.route.name, call.route.objective, elapsed);
        }
    }
}

/// Writes what follows the first piece of a body.
pub(super) async fn write_pieces(writer: &mut h1::Writer, rest: &Bytes) -> SendResult {
    for piece in rest.chunks(SEND_PIECE_BYTES) {
        if writer.write(piece.to_vec()).await.is_err() {
            return SendResult::UpstreamClosed;
        }
    }
    SendResult::Complete
}

/// Returns the headers that are sent to the upstream.
fn upstream_headers(
    call: &Call<'_>,
    choice: &Choice,
    names: &crate::HeaderNames,
    framing: Option<(http::HeaderName, HeaderValue)>,
) -> HeaderMap {
    let mut headers = call.head.headers.clone();
    web::strip_connection_headers(&mut headers);
    let left_ms = call.deadline_left().saturating_sub(DEADLINE_MARGIN).as_millis().max(1) as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(left_ms));
    headers.insert(&names.request_id, call.request_id.clone());
    if call.has_teams {
        set_team(&mut headers, call, names);
    }
    match HeaderValue::from_str(&choice.upstream.id) {
        Ok(id) => drop(headers.insert(&names.expect_upstream, id)),
        Err(_) => drop(headers.remove(&names.expect_upstream)),
    }
    if let Some((name, value)) = framing {
        headers.insert(name, value);
    }
    headers
}

/// Replaces the caller's credentials by the name of its team, whatever team the caller names.
fn set_team(headers: &mut HeaderMap, call: &Call<'_>, names: &crate::HeaderNames) {
    headers.remove(http::header::AUTHORIZATION);
    headers.remove(&names.team);
    if let Some(team) = &call.team {
        let name = HeaderValue::from_bytes(team.name.as_bytes());
        headers.insert(&names.team, name.expect("names of teams are checked"));
    }
}
