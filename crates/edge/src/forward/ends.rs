//! Finds upstreams that crashed, and which requests were under way there.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use place::Incarnation;
use quarantine::{FindingVersion, LostRequest};

use super::call::{Call, Choice};
use super::Node;
use crate::{as_ms, start_of};

/// Longest time that a request waits to know whether the upstream that lost it has crashed. An
/// address refuses a connection within a round trip; one that is cut off does not answer at all.
const LOOK_FOR: Duration = Duration::from_millis(50);

impl Node {
    /// Records that the answer to a request was lost with its connection, and finds out whether its
    /// upstream has crashed: only then a new connection to its address is refused. One that goes on
    /// has lost an answer, or reset a connection.
    pub(super) async fn lost(
        self: &Rc<Node>,
        call: &Call<'_>,
        choice: &Choice,
        known: FindingVersion,
        took: Duration,
    ) {
        let lost = LostRequest { content: call.content(), known, ran_ms: as_ms(took) };
        let start = start_of(&choice.upstream);
        let has_ended = self.state.borrow_mut().crash_detector.record_lost_response(
            start,
            lost.clone(),
            Instant::now(),
        );
        if has_ended {
            return self.ended_under(&choice.upstream, &[lost]);
        }
        let (looked, looking) = oneshot::channel();
        let (node, upstream, addr) = (self.clone(), choice.upstream.clone(), choice.addr);
        // A task of its own: its request may be dropped meanwhile.
        monoio::spawn(async move {
            node.look_whether_ended(&upstream, addr).await;
            // Fails once nobody waits any more.
            let _ = looked.send(());
        });
        let _ = monoio::time::timeout(LOOK_FOR, looking).await;
    }

    async fn look_whether_ended(&self, upstream: &Incarnation, addr: std::net::SocketAddr) {
        self.state.borrow_mut().counters.connects += 1;
        match self.conns.open(upstream, addr, super::CONNECT_TIMEOUT).await {
            // It takes the place of the one that broke.
            Ok(conn) => self.conns.put(upstream, conn),
            Err(err) => self.unconnected(upstream, &err),
        }
    }

    /// Records that no connection to an upstream could be made. One whose address refuses it has
    /// ended: what was lost there shortly before was under way when it did.
    pub fn unconnected(&self, upstream: &Incarnation, err: &io::Error) {
        if err.kind() == io::ErrorKind::ConnectionRefused {
            self.has_ended(upstream);
        }
    }

    /// Records that an upstream has ended: its address refuses connections, or is
    /// another's now, or it has started again.
    pub(crate) fn has_ended(&self, upstream: &Incarnation) {
        let lost = self
            .state
            .borrow_mut()
            .crash_detector
            .record_refused_connection(start_of(upstream), Instant::now());
        if !lost.is_empty() {
            self.state.borrow_mut().counters.upstreams_ended += 1;
            self.ended_under(upstream, &lost);
        }
    }

    /// Takes that an upstream ended while requests were under way there.
    fn ended_under(&self, upstream: &Incarnation, lost: &[LostRequest]) {
        trace::Line::new("upstream_ended")
            .field("upstream", upstream.id())
            .field("under_way", lost)
            .log();
        // One that was let go before, or said so, was about to leave: it ended as planned.
        let was_unplanned = {
            let state = self.state.borrow();
            let is_listed = |pool: &place::Pool| pool.position(upstream).is_some();
            let said_so = state.backpressure.is_leaving(start_of(upstream), Instant::now());
            !said_so && state.pools.values().any(is_listed)
        };
        if was_unplanned {
            lost.iter().for_each(|lost| self.crashed(lost, start_of(upstream)));
        }
    }
}
