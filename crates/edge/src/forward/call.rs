//! State of one request while it is forwarded: its content, the chosen upstreams, its sends.

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
use team::Team;
use web::h1;

use super::content;
use crate::as_ms;
use crate::exchange::Outcome;
use crate::quotas;
use crate::relay::Offer;

/// A request that is being forwarded.
pub(super) struct Call<'a> {
    pub(super) head: &'a h1::RequestHead,
    pub(super) request_id: HeaderValue,
    /// Content key, computed on first use by [`Call::content`].
    pub(super) content: OnceCell<ContentKey>,
    /// The part of the body that had been received when forwarding began.
    pub(super) body_start: Bytes,
    pub(super) route: &'a Route,
    /// Version of the configuration that the request is handled by.
    pub(super) config_version: route::Version,
    /// Time since the configuration was last known to be the newest when the request was received;
    /// `None` if it never was.
    pub(super) config_age_ms: Option<u64>,
    pub(super) service: ServiceName,
    /// Whether callers are told apart by their keys.
    pub(super) has_teams: bool,
    /// The team that the caller belongs to, if it has a key.
    pub(super) team: Option<Rc<Team>>,
    /// The token of the team's quota, if it has one.
    pub(super) token: Option<quotas::Token>,
    pub(super) most_urgent: bool,
    pub(super) received_at: Instant,
    /// Whether the caller has left.
    pub(super) caller_left: Rc<Cell<bool>>,
    /// How long the caller had been retrying when the request was received.
    pub(super) retrying_for: Duration,
    /// Maximum number of upstreams that the request may reach.
    pub(super) attempts: u32,
    /// How a peer has offered the request, if one did.
    pub(super) offer: Option<&'a Offer>,
    pub(super) deadline: Instant,
    /// When the caller gives up; `deadline` may be earlier.
    pub(super) caller_deadline: Instant,
    /// The last send by this node: the upstream's address, and when it began.
    pub(super) last_send: Cell<Option<(SocketAddr, Instant)>>,
    /// Sends so far, for the log.
    pub(super) sends: RefCell<Vec<SendRecord>>,
}

/// One send of a request, and the prediction that it was based on.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SendRecord {
    pub(super) upstream: UpstreamId,
    pub(super) at_ms: u64,
    pub(super) predicted_ms: u64,
    /// Age of the load report behind the prediction; `None` when there was none.
    pub(super) report_age_ms: Option<u64>,
}

/// An upstream chosen for a request.
pub(super) struct Choice {
    pub(super) upstream: Incarnation,
    pub(super) addr: SocketAddr,
    /// Whether the upstream is in another zone.
    pub(super) is_cross_zone: bool,
    pub(super) predicted_latency: Duration,
    pub(super) report_age: Option<Duration>,
    /// Whether the latency of the request measures its work: a recent report says that the upstream
    /// runs at its usual speed, has a free slot and is not nearly full. Near full the same work
    /// takes half as long again, which would be counted twice, in the work and in the prediction.
    pub(super) latency_measures_work: bool,
}

/// Upstreams that were chosen for a request so far.
#[derive(Default)]
pub(super) struct Tried {
    pub(super) upstreams: Vec<Incarnation>,
    /// How many of them the request may have reached.
    pub(super) reached: u32,
    /// How many of its sends are in flight.
    pub(super) in_flight: u32,
    /// The upstream that gets it instead of one at which it vanished; the second send is withdrawn
    /// from the retry budget already.
    pub(super) granted: Option<Choice>,
    /// Whether it was offered to peers.
    pub(super) peers_asked: bool,
}

impl Tried {
    /// Records a send to an upstream that is about to begin.
    pub(super) fn record_send(&mut self, upstream: &Incarnation) {
        self.upstreams.push(upstream.clone());
        self.reached += 1;
        self.in_flight += 1;
    }

    /// Records the outcome of the only send in flight and returns it.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) -> Outcome {
        self.in_flight = 0;
        if matches!(outcome, Outcome::NotSent) {
            self.reached -= 1;
        }
        outcome
    }
}

/// Why no upstream was chosen.
pub(super) enum NoChoice {
    /// No upstream may get the request.
    NoUpstream { retry_after: Duration },
    /// The caller has left.
    CallerLeft,
    /// The request crashes upstreams.
    Quarantined { retry_after: Duration },
    /// The list of upstreams may be outdated.
    OutdatedList,
    /// Even the best upstream would respond too late.
    TooLate {
        retry_after: Duration,
        best: Incarnation,
        predicted_latency: Duration,
        queue_time: Duration,
        /// Requests that the best upstream is given at a time.
        concurrency: u32,
        /// Requests that wait at this node and go before it.
        ahead: u32,
        report_age: Option<Duration>,
    },
}

impl Call<'_> {
    pub(super) fn deadline_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time until the caller gives up, over all of its attempts.
    pub(super) fn caller_deadline_left(&self) -> Duration {
        self.caller_deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time left of the latency objective; the time for which the caller has been
    /// retrying counts against it.
    pub(super) fn objective_left(&self) -> Duration {
        let left = self.route.objective.saturating_sub(self.retrying_for);
        (self.received_at + left).saturating_duration_since(Instant::now())
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }

    /// Returns the content key: the same for all request ids that the caller uses. It is computed
    /// on first use, so that most requests are spared the digest.
    pub(super) fn content(&self) -> ContentKey {
        *self.content.get_or_init(|| content::of(self.head, &self.body_start))
    }

    /// Begins a log line about the request.
    pub(super) fn log_line(&self, event: &'static str) -> trace::Line {
        let line = trace::Line::new(event)
            .field("request", self.request_id.to_str().unwrap_or("?"))
            .field("content", self.content())
            .field("route", self.route.name.as_str())
            .field("service", self.service.as_str())
            .field("config", self.config_version)
            .field("config_age_ms", self.config_age_ms)
            .field("age_ms", as_ms(self.received_at.elapsed()))
            .field("tried_ms", as_ms(self.retrying_for))
            .field("left_ms", as_ms(self.deadline_left()))
            .field("sends", &*self.sends.borrow());
        match &self.team {
            Some(team) => line.field("team", team.name.as_str()),
            None => line,
        }
    }
}
