//! The sends of one request: one after the other, or a second beside an overdue one.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use quarantine::Decision;
use web::h1;

use super::call::{Call, Choice, NoChoice, Tried};
use super::choose::Patience;
use super::{Body, Node, Reply};
use crate::as_ms;
use crate::exchange::{Answer, Outcome, Sent};
use crate::reply::LocalReply;

/// A request is hedged once it has taken this many times its prediction: below,
/// the ordinary spread of the work would use the budget up.
const HEDGE_FROM: f64 = 1.4;

/// A request whose objective no hedge can save is hedged only after this many
/// times its prediction, or when a hedge can just still end in time: its
/// upstream has likely gone silent.
const HEDGE_LOST_FROM: f64 = 4.0;

/// Upstreams tried for one request at most, those that could not be reached included.
const UPSTREAMS_TRIED_MOST: usize = 4;

/// When to come back after upstreams refused a request that the node would have sent on. What they
/// refuse says nothing of the others, and an attempt more earns the fleet a second send.
const COME_BACK: Duration = Duration::from_millis(10);

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
    /// Sends the request to upstreams until one answers or no further send is allowed.
    pub(super) async fn sends(self: &Rc<Node>, call: &Call<'_>, body: Body<'_>) -> Reply {
        let whole = match body {
            Body::Whole(whole) => whole,
            Body::Long { first, reader, decoder } => {
                return self.send_long(call, first, reader, decoder).await
            }
        };
        let mut tried = Tried::default();
        let mut so_far = SoFar::NotRun;
        loop {
            let choice = match self.choose(call, &tried.upstreams, Patience::Waits).await {
                Ok(choice) => choice,
                Err(why) => return self.no_choice(call, why, so_far),
            };
            if tried.upstreams.is_empty() {
                self.state.borrow_mut().record_first_send(&call.service);
            } else if tried.arrived > 0 && !self.state.borrow_mut().try_second_send(&call.service) {
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
                    // What has crashed two upstreams would likely crash a third. Its caller is told
                    // that it may have run, and comes back if it wants to.
                    if !call.repeatable() || !attempts_left || self.is_likely(call) {
                        return give_up(so_far, COME_BACK);
                    }
                }
            }
        }
    }

    fn no_choice(&self, call: &Call<'_>, why: NoChoice, so_far: SoFar) -> Reply {
        let line = call.line("refused");
        let (line, come_back) = match why {
            NoChoice::CallerLeft => return give_up(so_far, COME_BACK),
            NoChoice::HeldBack { come_back } => {
                self.state.borrow_mut().counters.refused_crashing += 1;
                (line.field("reason", "crashes upstreams"), come_back)
            }
            NoChoice::NoUpstream { come_back } => {
                let state = self.state.borrow();
                let (zones, now) = (state.evacuations.zones(), Instant::now());
                let line = line
                    .field("reason", "no upstream")
                    .field("evacuated", zones)
                    .field("limited", state.backpressure.limited_count(now))
                    .field("leaving", state.backpressure.leaving_count(now))
                    .field("resting", state.backpressure.backoff_count(now));
                (line, come_back)
            }
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
            // A second copy of a suspected request beside the first could crash a second upstream.
            let hedgeable = call.repeatable()
                && tried.arrived < call.route.attempts
                && self.verdict(call) == Decision::Allow;
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
            if !self.state.borrow_mut().try_hedge(&call.service) {
                continue;
            }
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
            pool.record_latency_ratio(&choice.upstream, factor, Instant::now());
        }
    }

    /// Sends a request with a whole body to the chosen upstream.
    async fn send(self: &Rc<Node>, call: &Call<'_>, choice: &Choice, body: &Bytes) -> Outcome {
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
        first: Bytes,
        reader: &mut h1::Reader,
        decoder: &mut h1::Decoder,
    ) -> Reply {
        let choice = match self.choose(call, &[], Patience::Waits).await {
            Ok(choice) => choice,
            Err(why) => return self.no_choice(call, why, SoFar::NotRun),
        };
        self.state.borrow_mut().record_first_send(&call.service);
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
            Outcome::Lost(why) => Reply::Own(LocalReply::failed(StatusCode::BAD_GATEWAY, why)),
        }
    }
}

/// Ends a request that gets no further send.
fn give_up(so_far: SoFar, come_back: Duration) -> Reply {
    match so_far {
        SoFar::NotRun => Reply::Own(LocalReply::not_run(come_back, "not run; come back later")),
        SoFar::MayHaveRun => {
            let text = "no answer; the request may have run";
            Reply::Own(LocalReply::failed(StatusCode::BAD_GATEWAY, text))
        }
        SoFar::Error(answer) => Reply::Upstream(answer),
    }
}
