//! One send of a request to one upstream, and what its end tells of that upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use place::RequestOutcome;
use web::h1;

use super::call::{Call, Choice, SendMade};
use super::Node;
use crate::exchange::{self, Answer, AnswerTo, Outcome, Outgoing, Sent};
use crate::state::Outstanding;
use crate::{as_ms, start_of};

/// An upstream is told a deadline that is earlier by this, so that its own
/// answer at the deadline still reaches the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Longest time for a connection to an upstream to be made: a hundred times
/// the round trip between zones; a lost opening packet takes seconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Node {
    pub(super) async fn send_with<F>(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        framing: Option<(http::HeaderName, HeaderValue)>,
        body: &Bytes,
        rest: F,
    ) -> Outcome
    where
        F: AsyncFnOnce(&mut h1::Writer) -> Sent,
    {
        call.sends.borrow_mut().push(SendMade {
            upstream: choice.upstream.id.clone(),
            at_ms: as_ms(call.arrived.elapsed()),
            predicted_ms: as_ms(choice.predicted),
            report_age_ms: choice.report_age.map(as_ms),
        });
        let counted = Outstanding::start(&self.state, &call.service, &choice.upstream);
        self.state
            .borrow_mut()
            .backpressure
            .record_send(start_of(&choice.upstream), Instant::now());
        let (known, _under_way) = self.begin(call, &choice.upstream);
        let sent_at = Instant::now();
        let timeout = CONNECT_TIMEOUT.min(call.left());
        let (upstream, addr) = (&choice.upstream, choice.addr);
        let connecting = async {
            match call.repeatable() {
                true => self.connection(upstream, addr, timeout).await,
                false => self.sure_connection(&call.service, upstream, addr, timeout).await,
            }
        };
        let conn = match connecting.await {
            Ok(conn) => conn,
            Err(err) => {
                self.unconnected(&choice.upstream, &err);
                call.line("connect_failed")
                    .field("upstream", choice.upstream.id())
                    .field("error", err.to_string())
                    .log();
                counted.finish(RequestOutcome::Failed);
                return Outcome::NotSent;
            }
        };
        let names = self.state.borrow().settings.headers.clone();
        let headers = upstream_headers(call, choice, &names, framing);
        let mut bytes = h1::write_request(&call.head.method, &call.head.target, &headers);
        bytes.extend_from_slice(body);
        let (method, request_id) = (call.head.method.clone(), call.request_id.clone());
        let outgoing = Outgoing { method, bytes, request_id };
        self.state.borrow_mut().counters.far_sends += u64::from(choice.far);
        let kept = conn.used;
        let asked_at = Instant::now();
        let hear = |head: &h1::ResponseHead, to: AnswerTo| {
            let states_all = to == AnswerTo::This && head.status.is_success();
            let asked_at = states_all.then_some(asked_at);
            self.hear_notice(&choice.upstream, head.status, &head.headers, asked_at);
        };
        let (outcome, conn) = exchange::run(conn, outgoing, &names, hear, rest).await;
        match conn {
            Some(conn) => self.conns.put(&choice.upstream, conn),
            // It was the one used last: those that rested longer are gone too.
            None if kept && matches!(outcome, Outcome::Lost(exchange::BROKE)) => {
                self.conns.close(&choice.upstream);
            }
            None => {}
        }
        self.learn(call, choice, &outcome, sent_at.elapsed());
        counted.finish(match &outcome {
            Outcome::Answered(answer) if answer.head.status.is_server_error() => {
                RequestOutcome::Failed
            }
            Outcome::Answered(_) => RequestOutcome::Answered,
            Outcome::NotRun(..) => RequestOutcome::Refused,
            Outcome::NotSent => RequestOutcome::Failed,
            Outcome::Lost(exchange::CALLER_LEFT) => RequestOutcome::Cancelled,
            Outcome::Lost(_) => RequestOutcome::Failed,
        });
        if matches!(outcome, Outcome::Lost(why) if exchange::ends_connection(why)) {
            self.lost(call, choice, known, sent_at.elapsed()).await;
        }
        outcome
    }

    /// Takes what the end of a send tells of the upstream.
    fn learn(&self, call: &Call<'_>, choice: &Choice, outcome: &Outcome, took: Duration) {
        let (upstream, service) = (&choice.upstream, &call.service);
        match outcome {
            Outcome::Answered(answer) => {
                self.take_load(service, upstream, &answer.head.headers);
                if !answer.head.status.is_server_error() {
                    self.ran(call);
                    self.learn_work(call, choice, answer, took);
                    return;
                }
                call.line("upstream_error")
                    .field("upstream", upstream.id())
                    .field("status", answer.head.status.as_u16())
                    .log();
            }
            Outcome::NotRun(status, headers) => {
                self.take_load(service, upstream, headers);
                call.line("not_run_by_upstream")
                    .field("upstream", upstream.id())
                    .field("status", status.as_u16())
                    .log();
                if *status == StatusCode::MISDIRECTED_REQUEST {
                    // Another upstream has the address: this one is gone, listed or not.
                    self.has_ended(upstream);
                    self.conns.close(upstream);
                    if let Some(pool) = self.state.borrow_mut().pools.get_mut(service) {
                        pool.remove(upstream);
                    }
                }
            }
            Outcome::NotSent => {}
            Outcome::Lost(why) => {
                call.line("answer_lost")
                    .field("upstream", upstream.id())
                    .field("reason", why)
                    .field("took_ms", as_ms(took))
                    .log();
            }
        }
    }

    /// Takes what an answer tells of the work that requests of its kind are, and of their size.
    fn learn_work(&self, call: &Call<'_>, choice: &Choice, answer: &Answer, took: Duration) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        state
            .work_estimates
            .record_size(&call.route.name, call.body_start.len() + answer.known_bytes());
        if !choice.unhindered {
            return;
        }
        let Some(pool) = state.pools.get_mut(&call.service) else { return };
        let still_unhindered = pool
            .position(&choice.upstream)
            .and_then(|index| pool.upstreams()[index].report(now))
            .is_some_and(|(load, _)| load.is_at_usual_speed());
        if still_unhindered {
            let ratio = took.as_secs_f64() / choice.predicted.as_secs_f64().max(0.001);
            pool.record_latency_ratio(&choice.upstream, ratio, now);
            state.work_estimates.record_work(&call.route.name, call.route.objective, took);
        }
    }
}

/// Returns the headers of a request as the upstream gets them.
fn upstream_headers(
    call: &Call<'_>,
    choice: &Choice,
    names: &crate::HeaderNames,
    framing: Option<(http::HeaderName, HeaderValue)>,
) -> HeaderMap {
    let mut headers = call.head.headers.clone();
    web::strip_connection_headers(&mut headers);
    let left_ms = call.left().saturating_sub(DEADLINE_MARGIN).as_millis().max(1) as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(left_ms));
    headers.insert(&names.request_id, call.request_id.clone());
    match HeaderValue::from_str(&choice.upstream.id) {
        Ok(id) => drop(headers.insert(&names.expect_upstream, id)),
        Err(_) => drop(headers.remove(&names.expect_upstream)),
    }
    if let Some((name, value)) = framing {
        headers.insert(name, value);
    }
    headers
}
