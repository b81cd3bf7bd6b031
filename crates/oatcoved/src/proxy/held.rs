//! Keeps calls that crash upstreams from them.
//!
//! The decisions are those of the crate `quarantine`; here is what they need to know: which upstreams
//! ended, and which calls were under way there.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use quarantine::{ContentKey, Decision, FindingVersion, LostRequest, Start};

use super::forward::Call;
use super::Node;
use crate::gossip;

/// Longest time that a call waits to know whether the upstream that lost it has crashed. An address
/// refuses a connection within a round trip; one that is cut off does not answer at all.
const LOOK_FOR: Duration = Duration::from_millis(50);

/// A suspected call counted as under way at an upstream while this lives.
pub(super) struct UnderWay<'a> {
    node: &'a Node,
    content: ContentKey,
    start: Start,
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.node.view.borrow_mut().quarantine.end_attempt(self.content, self.start);
    }
}

/// Returns what a call asks: the same under each id that its caller gives it.
pub(super) fn content(request: &web::Request, service: &str, path: &str) -> ContentKey {
    let team = request.headers().get(crate::TEAM).map_or(&[][..], |team| team.as_bytes());
    let line = [request.method().as_str(), service, path].map(str::as_bytes);
    let caller = web::credentials(request.headers());
    let rest = [team, request.body().as_ref()];
    ContentKey::of(line.into_iter().chain(caller).chain(rest))
}

/// Where a suspected call does not run, so that a crash tells which call it was.
pub(super) struct Apart {
    /// All upstreams but the one that is set aside for it, if one is.
    pub(super) elsewhere: Option<Vec<SocketAddr>>,
    /// Upstreams at which another suspected call of this node runs, or that are set aside for one.
    pub(super) taken: Vec<SocketAddr>,
}

impl Node {
    /// Returns what is to be done with a call. Which node tries one again whose time is over: the
    /// first by address of those that are alive.
    pub(super) fn verdict(&self, call: &Call<'_>) -> Decision {
        let view = self.view.borrow();
        if view.quarantine.is_empty() {
            return Decision::Allow;
        }
        let me = view.settings.listen_addr;
        let alive = |peer: &crate::view::Peer| peer.standing == Some(wire::Standing::Alive);
        let may_try = || !view.peers.iter().any(|(addr, peer)| *addr < me && alive(peer));
        view.quarantine.decide(call.content(), may_try, gossip::unix_ms())
    }

    /// Returns when to come back for a call that is not to be sent; `None` for others.
    pub(super) fn held_back(&self, call: &Call<'_>) -> Option<Duration> {
        let Decision::Reject(come_back) = self.verdict(call) else { return None };
        self.view.borrow_mut().counters.refused_crashing += 1;
        Some(come_back)
    }

    /// Returns true for a call that has crashed upstreams one after the other.
    pub(super) fn is_likely(&self, call: &Call<'_>) -> bool {
        let ledger = &self.view.borrow().quarantine;
        !ledger.is_empty() && ledger.has_repeated_crashes(call.content())
    }

    /// Returns what is known of a call that is being sent, and counts it if it is suspected.
    pub(super) fn begin_send(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
    ) -> (FindingVersion, Option<UnderWay<'_>>) {
        let ledger = &mut self.view.borrow_mut().quarantine;
        if ledger.is_empty() {
            return (FindingVersion::default(), None);
        }
        let (content, start) = (call.content(), start_of(addr));
        let is_suspected = ledger.decide(content, || true, gossip::unix_ms()) == Decision::Isolate;
        let under_way = is_suspected.then(|| {
            ledger.begin_attempt(content, start);
            UnderWay { node: self, content, start }
        });
        (ledger.version(content), under_way)
    }

    /// Returns where a suspected call is to run apart from other such calls; `None` for any other.
    pub(super) fn apart(&self, call: &Call<'_>) -> Option<Apart> {
        if self.verdict(call) != Decision::Isolate {
            return None;
        }
        let view = self.view.borrow();
        let pool = view.pools.get(&call.service)?;
        let addrs = pool.upstreams.iter().map(|upstream| upstream.addr);
        let starts: Vec<Start> = addrs.clone().map(start_of).collect();
        let (content, places) = (call.content(), view.quarantine.reservations(&starts));
        let is_taken = |addr: &SocketAddr| {
            let start = start_of(*addr);
            !view.quarantine.has_no_suspects(start) || places.is_reserved_for_other(start, content)
        };
        let is_elsewhere = |addr: &SocketAddr| !places.is_reserved_for(start_of(*addr), content);
        Some(Apart {
            elsewhere: places
                .start_for(content)
                .map(|_| addrs.clone().filter(is_elsewhere).collect()),
            taken: addrs.clone().filter(is_taken).collect(),
        })
    }

    /// Takes that an upstream ran a call to its end.
    pub(super) fn ran(&self, call: &Call<'_>) {
        let is_empty = self.view.borrow().quarantine.is_empty();
        let cleared = !is_empty
            && self.view.borrow_mut().quarantine.record_response(call.content(), gossip::unix_ms());
        if cleared {
            self.wake_gossip();
        }
    }

    /// Records that the answer to a call was lost with its connection, and finds out whether its
    /// upstream has crashed: only then a new connection to its address is refused.
    pub(super) async fn lost(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
        known: FindingVersion,
        ran: Duration,
    ) {
        let lost = LostRequest { content: call.content(), known, ran_ms: ran.as_millis() as u64 };
        let has_ended = self.view.borrow_mut().ends.record_lost_response(
            start_of(addr),
            lost.clone(),
            Instant::now(),
        );
        if has_ended {
            return self.ended_under(addr, &[lost]);
        }
        let connecting = monoio::time::timeout(LOOK_FOR, TcpStream::connect_addr(addr));
        let refused = |err: &io::Error| err.kind() == io::ErrorKind::ConnectionRefused;
        if matches!(connecting.await, Ok(Err(err)) if refused(&err)) {
            let lost = self
                .view
                .borrow_mut()
                .ends
                .record_refused_connection(start_of(addr), Instant::now());
            self.ended_under(addr, &lost);
        }
    }

    /// Takes that an upstream ended while calls were under way there.
    fn ended_under(&self, addr: SocketAddr, lost: &[LostRequest]) {
        if lost.is_empty() {
            return;
        }
        let now = gossip::unix_ms();
        let view = &mut *self.view.borrow_mut();
        view.counters.upstreams_ended += 1;
        log::warn!("upstream={addr} ended under calls {lost:?}");
        // One that was let go before, or said so, was about to leave: it ended as planned.
        let said_so = view.notices.is_leaving(view.start_at(addr), Instant::now());
        if said_so || !view.pools.values().any(|pool| pool.position(addr).is_some()) {
            return;
        }
        for lost in lost {
            let held = view.quarantine.record_crash(lost.content, lost.known, start_of(addr), now);
            if let Some(finding) = held {
                log::warn!("a call is held back, it crashes upstreams: {finding:?}");
            }
        }
        self.wake_gossip();
    }

    pub(super) fn wake_gossip(&self) {
        // The task ends only with the process.
        let _ = self.gossip.send(gossip::Input::News);
    }
}

/// Returns the key of the upstream at `addr`. The list does not tell its starts apart: crashes in
/// sequence count all the same.
fn start_of(addr: SocketAddr) -> Start {
    Start::of(&addr.to_string(), 0)
}
