//! Requests that vanish at upstreams that are full, and say nothing.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::silence::{SendId, Silence, MAX_TRANSIT};
use place::Incarnation;
use route::ServiceName;

use super::call::{Call, Choice, Tried};
use super::Node;
use crate::exchange::Outcome;
use crate::probe;
use crate::state::SharedState;

/// Reason of [`Outcome::Lost`] when the upstream does not hold the request and has not answered.
const VANISHED: &str = "vanished";

/// A request whose upstream is asked whether it holds it, once the request has taken this many times
/// its predicted latency: as late as it would be hedged.
const MIN_LATENCY_RATIO: f64 = 1.4;

/// Shortest time after which the upstream is asked: the request has arrived for sure by then.
const MIN_PAUSE: Duration = Duration::from_millis(60);

/// An unanswered request, from when all of it was sent until the head of its response is there or
/// this guard is dropped.
pub(super) struct Unanswered {
    state: SharedState,
    service: ServiceName,
    upstream: Incarnation,
    id: Cell<Option<SendId>>,
}

impl Unanswered {
    pub(super) fn new(state: &SharedState, call: &Call<'_>, choice: &Choice) -> Unanswered {
        let (service, upstream) = (call.service.clone(), choice.upstream.clone());
        Unanswered { state: state.clone(), service, upstream, id: Cell::new(None) }
    }

    /// Records that all of the request was sent.
    pub(super) fn start(&self, size_bytes: usize) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let Some(pool) = state.pools.get_mut(&self.service) else { return };
        let index = pool.position(&self.upstream);
        let report = index.and_then(|index| pool.upstreams()[index].report(now));
        let load = report.map(|(load, _)| load);
        let id = pool.silence_mut().record_sent(&self.upstream, load, size_bytes, now);
        self.id.set(Some(id));
    }

    /// Returns true if the request was sent and no response to it has begun to arrive.
    pub(super) fn is_unanswered(&self) -> bool {
        self.id.get().is_some()
    }

    /// Returns what `read` makes of the state of the request's service; `None` before it was sent.
    fn read<T>(&self, read: impl FnOnce(&mut Silence, SendId) -> T) -> Option<T> {
        let id = self.id.get()?;
        let state = &mut *self.state.borrow_mut();
        Some(read(state.pools.get_mut(&self.service)?.silence_mut(), id))
    }
}

impl Unanswered {
    /// Records that the request was answered or given up.
    pub(super) fn end(&self) {
        self.read(Silence::record_ended);
        self.id.set(None);
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.end();
    }
}

impl Node {
    /// Records that an upstream refused a request at once for lack of room, which those that go
    /// silent when full do not.
    pub(super) fn record_refusal(&self, service: &ServiceName, upstream: &Incarnation) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let Some(pool) = state.pools.get_mut(service) else { return };
        let index = pool.position(upstream);
        let report = index.and_then(|index| pool.upstreams()[index].report(now));
        pool.silence_mut().record_refusal(report.map(|(load, _)| load), now);
    }

    /// Waits for the outcome of a send. If its upstream turns out not to hold the request, the
    /// request may run again and another send of it is granted, this one is given up. Else its
    /// response, which may only be late, is worth more than none.
    pub(super) async fn unless_vanished(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        tried: &RefCell<Tried>,
        unanswered: &Unanswered,
        sending: impl std::future::Future<Output = Outcome>,
    ) -> Outcome {
        let mut sending = std::pin::pin!(sending);
        monoio::select! {
            outcome = &mut sending => return outcome,
            () = self.watch(call, choice, unanswered) => {}
        }
        call.log_line("vanished").field("upstream", choice.upstream.id()).log();
        // Whether a request that must not run twice has run is not known: its response may have
        // been lost.
        if !call.is_idempotent() {
            return sending.await;
        }
        monoio::select! {
            outcome = &mut sending => outcome,
            () = self.wait_for_grant(call, tried, unanswered) => Outcome::Lost(VANISHED),
        }
    }

    /// Returns once another send of a vanished request is granted.
    async fn wait_for_grant(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
        unanswered: &Unanswered,
    ) {
        while !self.grant_second_send(call, tried, unanswered).await {
            monoio::time::sleep(MIN_PAUSE).await;
        }
    }

    /// Returns once a request has vanished. Asks its upstream now and then, if it may have been full
    /// when it got the request.
    async fn watch(self: &Rc<Node>, call: &Call<'_>, choice: &Choice, unanswered: &Unanswered) {
        let mut pause = choice.predicted_latency.mul_f64(MIN_LATENCY_RATIO).max(MIN_PAUSE);
        loop {
            monoio::time::sleep(pause).await;
            let now = Instant::now();
            let is_suspect = unanswered.read(|silence, id| silence.is_suspect(id, now));
            if is_suspect == Some(true) && self.take_from_probe_budget(&call.service, 1) == 1 {
                let upstreams = vec![choice.upstream.clone()];
                probe::probe_all(self, &call.service, upstreams, call.route.objective).await;
            }
            if unanswered.read(|silence, id| silence.has_vanished(id)) == Some(true) {
                break;
            }
            pause = choice.predicted_latency.max(MIN_PAUSE);
        }
        monoio::time::sleep(MAX_TRANSIT).await;
        let is_new = unanswered.read(|silence, id| silence.record_vanished(id, Instant::now()));
        let Some(is_new) = is_new else {
            // Its response has begun to arrive.
            return std::future::pending().await;
        };
        self.state.borrow_mut().counters.vanished += 1;
        if is_new {
            trace::Line::new("service_silent").field("service", call.service.as_str()).log();
        }
    }
}
