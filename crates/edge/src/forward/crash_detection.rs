//! Detects upstreams that crashed, and the requests that were in flight there.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use place::Incarnation;
use quarantine::{FindingVersion, LostRequest};

use super::call::{Call, Choice};
use super::Node;
use crate::{as_ms, start_of};

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
        if ended {
            return self.handle_upstream_ended(&choice.upstream, &[lost]);
        }
        let (checked, checking) = oneshot::channel();
        let (node, upstream, addr) = (self.clone(), choice.upstream.clone(), choice.addr);
        // A task of its own, since the future of the request may be dropped meanwhile.
        monoio::spawn(async move {
            node.try_reconnect(&upstream, addr).await;
            // Fails when the request no longer waits.
            let _ = checked.send(());
        });
        let _ = monoio::time::timeout(MAX_CRASH_DETECTION_WAIT, checking).await;
    }

    async fn try_reconnect(&self, upstream: &Incarnation, addr: SocketAddr) {
        match self.new_connection(upstream, addr, super::CONNECT_TIMEOUT).await {
            // Replaces the broken connection in the pool.
            Ok(conn) => self.conns.put(upstream, conn),
            Err(err) => {
                self.record_unconnected(addr);
                self.record_connect_failure(upstream, &err);
            }
        }
    }

    /// Records that no connection to an upstream could be established. If its address refuses it,
    /// the upstream has ended, and requests lost there shortly before were in flight when it did.
    pub fn record_connect_failure(&self, upstream: &Incarnation, err: &io::Error) {
        if err.kind() == io::ErrorKind::ConnectionRefused {
            self.record_upstream_ended(upstream);
        }
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
