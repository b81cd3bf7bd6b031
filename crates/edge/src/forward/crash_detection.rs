//! Detects upstreams that crashed, and the requests that were in flight there.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use place::Incarnation;
use quarantine::{FindingVersion, LostRequest};
use route::ServiceName;

use super::call::{Call, Choice};
use super::Node;
use crate::probe::NewConnection;
use crate::{as_ms, probe, start_of};

/// Longest time that a request waits to learn whether the upstream that lost its response has
/// crashed. An address without a listener refuses a connection within a round trip; an unreachable
/// one does not respond at all.
const MAX_CRASH_DETECTION_WAIT: Duration = Duration::from_millis(50);

impl Node {
    /// Records that the response to a request was lost with its connection, and finds out whether
    /// the upstream has crashed. Only then is a new connection to its address refused; an upstream
    /// that still runs has merely lost a response or reset a connection.
    pub(super) async fn detect_crash(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        known: FindingVersion,
        elapsed: Duration,
    ) {
        let lost = LostRequest { content: call.content(), known, ran_ms: as_ms(elapsed) };
        let start = start_of(&choice.upstream);
        let ended = self.state.borrow_mut().crash_detector.record_lost_response(
            start,
            lost.clone(),
            Instant::now(),
        );
        let (checked, checking) = oneshot::channel();
        let (node, upstream, addr) = (self.clone(), choice.upstream.clone(), choice.addr);
        // A task of its own, since the future of the request may be dropped meanwhile.
        monoio::spawn(async move {
            match ended {
                true => node.handle_refusal(&upstream, vec![lost]).await,
                false => node.try_reconnect(&upstream, addr).await,
            }
            // Fails when the request no longer waits.
            let _ = checked.send(());
        });
        let _ = monoio::time::timeout(MAX_CRASH_DETECTION_WAIT, checking).await;
    }

    async fn try_reconnect(self: &Rc<Node>, upstream: &Incarnation, addr: SocketAddr) {
        match self.new_connection(upstream, addr, super::CONNECT_TIMEOUT).await {
            // Replaces the broken connection in the pool.
            Ok(conn) => self.conns.put(upstream, conn),
            Err(err) => {
                self.record_unconnected(addr);
                if let Some(lost) = self.take_lost_requests(upstream, &err) {
                    self.handle_refusal(upstream, lost).await;
                }
            }
        }
    }

    /// Records that no connection to an upstream could be established. If its address refuses it,
    /// the upstream has ended, and requests lost there shortly before were in flight when it did.
    pub fn record_connect_failure(self: &Rc<Node>, upstream: &Incarnation, err: &io::Error) {
        let Some(lost) = self.take_lost_requests(upstream, err) else { return };
        if self.other_upstreams(upstream).is_empty() {
            return self.handle_upstream_ended(upstream, &lost);
        }
        let (node, upstream) = (self.clone(), upstream.clone());
        monoio::spawn(async move { node.handle_refusal(&upstream, lost).await });
    }

    /// Returns the requests that were lost with an upstream that refuses connections; `None` if it
    /// does not, or has lost none.
    fn take_lost_requests(
        &self,
        upstream: &Incarnation,
        err: &io::Error,
    ) -> Option<Vec<LostRequest>> {
        if err.kind() != io::ErrorKind::ConnectionRefused {
            return None;
        }
        let state = &mut *self.state.borrow_mut();
        let start = start_of(upstream);
        let lost = state.crash_detector.record_refused_connection(start, Instant::now());
        state.counters.upstreams_ended += u64::from(!lost.is_empty());
        (!lost.is_empty()).then_some(lost)
    }

    /// Handles an upstream whose address refuses connections. It counts as ended only if another one
    /// responds: in a partition from all upstreams, connections are reset and refused as well.
    async fn handle_refusal(self: &Rc<Node>, upstream: &Incarnation, lost: Vec<LostRequest>) {
        let others = self.other_upstreams(upstream);
        let mut responds = others.is_empty();
        for (service, other) in others {
            let check =
                probe::check_path(self.clone(), service, other, NewConnection::IfNoneIsIdle);
            responds = check.await;
            if responds {
                break;
            }
        }
        match responds {
            true => self.handle_upstream_ended(upstream, &lost),
            false => trace::Line::new("crash_not_confirmed")
                .field("upstream", upstream.id())
                .field("under_way", lost)
                .log(),
        }
    }

    /// Returns some other upstreams, with their services.
    fn other_upstreams(&self, upstream: &Incarnation) -> Vec<(ServiceName, Incarnation)> {
        let mut others = self.random_upstreams(reach::MIN_FAILED_UPSTREAMS);
        others.retain(|(_, other)| other != upstream);
        others
    }

    /// Records that an upstream has ended: its address refuses connections or belongs to another
    /// upstream now, or it was restarted.
    pub(crate) fn record_upstream_ended(&self, upstream: &Incarnation) {
        let lost = self
            .state
            .borrow_mut()
            .crash_detector
            .record_refused_connection(start_of(upstream), Instant::now());
        if !lost.is_empty() {
            self.state.borrow_mut().counters.upstreams_ended += 1;
            self.handle_upstream_ended(upstream, &lost);
        }
    }

    /// Handles an upstream that ended while `lost` were in flight there. Unless that was planned,
    /// they may have crashed it.
    fn handle_upstream_ended(&self, upstream: &Incarnation, lost: &[LostRequest]) {
        trace::Line::new("upstream_ended")
            .field("upstream", upstream.id())
            .field("under_way", lost)
            .log();
        // An upstream that was removed from the list before or announced its end has ended as
        // planned.
        let was_unplanned = {
            let state = self.state.borrow();
            let is_listed = |pool: &place::Pool| pool.position(upstream).is_some();
            let announced = state.backpressure.is_leaving(start_of(upstream), Instant::now());
            !announced && state.pools.values().any(is_listed)
        };
        if was_unplanned {
            lost.iter().for_each(|lost| self.record_crash(lost, start_of(upstream)));
        }
    }
}
