//! One request on its way: what it asks, what was chosen for it, what was sent.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::HeaderValue;
use place::{Incarnation, UpstreamId};
use quarantine::ContentKey;
use route::{RetryPolicy, Route, ServiceName};
use serde::Serialize;
use web::h1;

use super::content;
use crate::as_ms;
use crate::exchange::Outcome;

/// One request on its way.
pub(super) struct Call<'a> {
    pub(super) head: &'a h1::RequestHead,
    pub(super) request_id: HeaderValue,
    /// What it asks, once somebody wanted to know: [`Call::content`].
    pub(super) content: OnceCell<ContentKey>,
    /// Its body as far as it was received when it came.
    pub(super) body_start: Bytes,
    pub(super) route: &'a Route,
    /// Version of the configuration that it is handled by.
    pub(super) config: route::Version,
    pub(super) service: ServiceName,
    pub(super) most_urgent: bool,
    pub(super) arrived: Instant,
    /// Whether its caller has left.
    pub(super) caller_left: Rc<Cell<bool>>,
    /// How long its caller had been trying by then.
    pub(super) tried_for: Duration,
    pub(super) deadline: Instant,
    /// The sends so far, for the log.
    pub(super) sends: RefCell<Vec<SendMade>>,
}

/// One send of a request and what decided on it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SendMade {
    pub(super) upstream: UpstreamId,
    pub(super) at_ms: u64,
    pub(super) predicted_ms: u64,
    /// Age of the report that the prediction rests on; `None` when there was none.
    pub(super) report_age_ms: Option<u64>,
}

/// An upstream chosen for a request.
pub(super) struct Choice {
    pub(super) upstream: Incarnation,
    pub(super) addr: SocketAddr,
    /// Whether it is in another zone.
    pub(super) far: bool,
    pub(super) predicted: Duration,
    pub(super) report_age: Option<Duration>,
    /// Whether it reported a moment ago that it is not slowed, and has room without being crowded. The
    /// request's time then tells how much work it is: near full the same work takes half as long
    /// again, and would be counted twice, in the work and in the prediction.
    pub(super) unhindered: bool,
}

/// Upstreams that a request was meant for.
#[derive(Default)]
pub(super) struct Tried {
    pub(super) upstreams: Vec<Incarnation>,
    /// How many of them it may have reached.
    pub(super) arrived: u32,
}

impl Tried {
    /// Takes how the only send under way ended.
    pub(super) fn ended(&mut self, outcome: Outcome) -> Outcome {
        if matches!(outcome, Outcome::NotSent) {
            self.arrived -= 1;
        }
        outcome
    }
}

/// Why no upstream was chosen.
pub(super) enum NoChoice {
    /// There is none that may get it.
    NoUpstream { come_back: Duration },
    /// Nobody waits for the answer any more.
    CallerLeft,
    /// It crashes upstreams.
    HeldBack { come_back: Duration },
    /// The best one would answer too late.
    Refused {
        come_back: Duration,
        best: Incarnation,
        predicted: Duration,
        wait: Duration,
        report_age: Option<Duration>,
    },
}

impl Call<'_> {
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time within which an answer is worth most to its caller.
    pub(super) fn objective_left(&self) -> Duration {
        let left = self.route.objective.saturating_sub(self.tried_for);
        (self.arrived + left).saturating_duration_since(Instant::now())
    }

    pub(super) fn repeatable(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }

    /// Returns what it asks: the same under each id that its caller gives it. Requests in no
    /// trouble never need to know, and are spared the digest.
    pub(super) fn content(&self) -> ContentKey {
        *self.content.get_or_init(|| content::of(self.head, &self.body_start))
    }

    /// Begins a log line about the request.
    pub(super) fn line(&self, event: &'static str) -> trace::Line {
        trace::Line::new(event)
            .field("request", self.request_id.to_str().unwrap_or("?"))
            .field("content", self.content())
            .field("route", self.route.name.as_str())
            .field("service", self.service.as_str())
            .field("config", self.config)
            .field("age_ms", as_ms(self.arrived.elapsed()))
            .field("tried_ms", as_ms(self.tried_for))
            .field("left_ms", as_ms(self.left()))
            .field("sends", &*self.sends.borrow())
    }
}
