//! Detection and quarantine of calls that crash upstreams.
//!
//! The crate `quarantine` makes the decisions. This module tells it which upstreams ended and which
//! calls were running there.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quarantine::{ContentKey, Decision, FindingVersion, LostRequest, Start};
use rand::seq::IteratorRandom;

use super::forward::Call;
use super::Node;
use crate::gossip;

/// Timeout of the connection attempt that checks, after a response was lost, whether its upstream
/// has ended. The address of a process that has ended refuses a connection within a round trip,
/// while an unreachable one does not respond at all.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Upstreams that are checked before a refused connection counts as a crash.
const MAX_UPSTREAMS_CHECKED: usize = 2;

/// Counts a suspected call as running at an upstream until it is dropped.
pub(super) struct SuspectedAttempt<'a> {
    node: &'a Node,
    content: ContentKey,
    start: Start,
}

impl Drop for SuspectedAttempt<'_> {
    fn drop(&mut self) {
        self.node.view.borrow_mut().quarantine.end_attempt(self.content, self.start);
    }
}

/// Returns the content key of a call, which does not depend on its request id.
pub(super) fn content(request: &web::Request, service: &str, path: &str) -> ContentKey {
    let team = request.headers().get(crate::TEAM).map_or(&[][..], |team| team.as_bytes());
    let line = [request.method().as_str(), service, path].map(str::as_bytes);
    let caller = web::credentials(request.headers());
    let team_and_body = [team, request.body().as_ref()];
    ContentKey::of(line.into_iter().chain(caller).chain(team_and_body))
}

/// Upstreams that a suspected call avoids, so that a crash shows which call caused it.
pub(super) struct IsolationPlan {
    /// All upstreams but the one that is reserved for the call; `None` if none is.
    pub(super) unreserved: Option<Vec<SocketAddr>>,
    /// Upstreams that run another suspected call of this node or are reserved for another.
    pub(super) occupied: Vec<SocketAddr>,
}

impl Node {
    /// Returns whether a call is allowed, isolated or rejected. Of the nodes that this node sees as
    /// alive, only the one with the lowest address runs the trial of a call whose quarantine has
    /// expired.
    pub(super) fn quarantine_decision(&self, call: &Call<'_>) -> Decision {
        let view = self.view.borrow();
        if view.quarantine.is_empty() {
            return Decision::Allow;
        }
        let own_addr = view.settings.listen_addr;
        let is_alive = |peer: &crate::view::Peer| peer.standing == Some(wire::Standing::Alive);
        let may_run_trial =
            || !view.peers.iter().any(|(addr, peer)| *addr < own_addr && is_alive(peer));
        view.quarantine.decide(call.content(), may_run_trial, gossip::unix_ms())
    }

    /// Returns the time after which the caller of a quarantined call may retry, and counts the call
    /// as refused; `None` if the call may be sent.
    pub(super) fn quarantine_retry_after(&self, call: &Call<'_>) -> Option<Duration> {
        let Decision::Reject(retry_after) = self.quarantine_decision(call) else { return None };
        self.view.borrow_mut().counters.refused_crashing += 1;
        Some(retry_after)
    }

    /// Returns true for a call that has repeatedly crashed upstreams.
    pub(super) fn has_repeated_crashes(&self, call: &Call<'_>) -> bool {
        let quarantine = &self.view.borrow().quarantine;
        !quarantine.is_empty() && quarantine.has_repeated_crashes(call.content())
    }

    /// Returns the version of the finding on a call that is being sent, and counts a suspected call
    /// as running at `addr`.
    pub(super) fn begin_attempt(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
    ) -> (FindingVersion, Option<SuspectedAttempt<'_>>) {
        let quarantine = &mut self.view.borrow_mut().quarantine;
        if quarantine.is_empty() {
            return (FindingVersion::default(), None);
        }
        let (content, start) = (call.content(), start_of(addr));
        let is_isolated =
            quarantine.decide(content, || true, gossip::unix_ms()) == Decision::Isolate;
        let suspected_attempt = is_isolated.then(|| {
            quarantine.begin_attempt(content, start);
            SuspectedAttempt { node: self, content, start }
        });
        (quarantine.version(content), suspected_attempt)
    }

    /// Returns the upstreams that a suspected call avoids in order to run without other suspected
    /// calls; `None` for any other call.
    pub(super) fn isolation_plan(&self, call: &Call<'_>) -> Option<IsolationPlan> {
        if self.quarantine_decision(call) != Decision::Isolate {
            return None;
        }
        let view = self.view.borrow();
        let pool = view.pools.get(&call.service)?;
        let addrs = pool.upstreams.iter().map(|upstream| upstream.addr);
        let starts: Vec<Start> = addrs.clone().map(start_of).collect();
        let (content, reservations) = (call.content(), view.quarantine.reservations(&starts));
        let is_occupied = |addr: &SocketAddr| {
            let start = start_of(*addr);
            !view.quarantine.has_no_suspects(start)
                || reservations.is_reserved_for_other(start, content)
        };
        let is_unreserved =
            |addr: &SocketAddr| !reservations.is_reserved_for(start_of(*addr), content);
        Some(IsolationPlan {
            unreserved: reservations
                .start_for(content)
                .map(|_| addrs.clone().filter(is_unreserved).collect()),
            occupied: addrs.clone().filter(is_occupied).collect(),
        })
    }

    /// Records that an upstream responded to a call.
    pub(super) fn record_response(&self, call: &Call<'_>) {
        let is_empty = self.view.borrow().quarantine.is_empty();
        let is_changed = !is_empty
            && self.view.borrow_mut().quarantine.record_response(call.content(), gossip::unix_ms());
        if is_changed {
            self.wake_gossip();
        }
    }

    /// Records that the response to a call was lost with its connection, and checks whether the
    /// upstream has ended: only then is a new connection to its address refused.
    pub(super) async fn record_lost_response(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
        known: FindingVersion,
        elapsed: Duration,
    ) {
        let lost =
            LostRequest { content: call.content(), known, ran_ms: elapsed.as_millis() as u64 };
        let has_ended = self.view.borrow_mut().crash_detector.record_lost_response(
            start_of(addr),
            lost.clone(),
            Instant::now(),
        );
        let lost = match has_ended {
            true => vec![lost],
            false if refuses_connections(addr).await => self
                .view
                .borrow_mut()
                .crash_detector
                .record_refused_connection(start_of(addr), Instant::now()),
            false => return,
        };
        match self.reaches_another(&call.service, addr).await {
            true => self.record_upstream_end(addr, &lost),
            false => log::warn!("upstream={addr} refuses connections, and so do others: {lost:?}"),
        }
    }

    /// Returns true if another upstream of the service accepts a connection, or there is none. In a
    /// partition from all upstreams, connections are closed and refused as in a crash.
    async fn reaches_another(&self, service: &str, addr: SocketAddr) -> bool {
        let others: Vec<SocketAddr> = {
            let view = self.view.borrow();
            let upstreams = view.pools.get(service).into_iter().flat_map(|pool| &pool.upstreams);
            let others = upstreams.map(|upstream| upstream.addr).filter(|other| *other != addr);
            others.choose_multiple(&mut *self.rng.borrow_mut(), MAX_UPSTREAMS_CHECKED)
        };
        for other in &others {
            if web::connect(*other, CRASH_CHECK_TIMEOUT).await.is_ok() {
                return true;
            }
        }
        others.is_empty()
    }

    /// Records that an upstream ended while it ran calls, and that the calls crashed it unless the
    /// end was planned.
    fn record_upstream_end(&self, addr: SocketAddr, lost: &[LostRequest]) {
        if lost.is_empty() {
            return;
        }
        let now = gossip::unix_ms();
        let view = &mut *self.view.borrow_mut();
        view.counters.upstreams_ended += 1;
        log::warn!("upstream={addr} ended while it ran calls {lost:?}");
        // An upstream that is no longer in a pool or that announced its stop has ended as planned.
        let is_leaving = view.backpressure.is_leaving(view.start_at(addr), Instant::now());
        if is_leaving || !view.pools.values().any(|pool| pool.position(addr).is_some()) {
            return;
        }
        for lost in lost {
            let new_finding =
                view.quarantine.record_crash(lost.content, lost.known, start_of(addr), now);
            if let Some(finding) = new_finding {
                log::warn!("a call is quarantined because it crashes upstreams: {finding:?}");
            }
        }
        self.wake_gossip();
    }

    /// Notifies the membership task that there are updates to broadcast.
    pub(super) fn wake_gossip(&self) {
        // Sending fails only once the membership task has ended, which it does only with the
        // process.
        let _ = self.gossip.send(gossip::Input::UpdatesPending);
    }
}

/// Returns true if the address refuses connections, as it does when its process has ended.
async fn refuses_connections(addr: SocketAddr) -> bool {
    let connected = web::connect(addr, CRASH_CHECK_TIMEOUT).await;
    connected.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns the incarnation of the upstream at `addr` for crash detection and quarantine. Unlike
/// [`crate::view::View::start_at`], it depends on the address only. It is the same after a restart,
/// since the VM list does not show restarts. Repeated crashes are counted nevertheless.
fn start_of(addr: SocketAddr) -> Start {
    Start::of(&addr.to_string(), 0)
}
