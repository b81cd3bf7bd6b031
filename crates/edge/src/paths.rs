//! This node's own paths to the upstreams: records what the outcomes of sends and probes say about
//! them, and checks them by probes where that is not enough.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use place::Incarnation;
use rand::seq::IteratorRandom;
use reach::Change;
use route::ServiceName;

use crate::forward::Node;
use crate::probe::NewConnection;
use crate::state::State;
use crate::{as_ms, probe};

impl Node {
    /// Records that an upstream accepted a connection.
    pub(crate) fn record_connected(&self) {
        self.state.borrow_mut().paths.record_connected();
    }

    /// Records that an upstream responded to a request or a probe, with whatever status.
    pub(crate) fn record_path_response(&self) {
        let state = &mut *self.state.borrow_mut();
        log_change(state.paths.record_response(Instant::now()), state);
    }

    /// Records that an upstream did not respond to a request or a probe, or ended the connection.
    pub(crate) fn record_path_failure(&self, addr: SocketAddr) {
        let state = &mut *self.state.borrow_mut();
        let listed = listed_upstreams(state);
        let change = state.paths.record_failure(addr, listed, Instant::now());
        log_change(change, state);
        self.close_after_loss(change);
    }

    /// Records that an upstream accepted no connection.
    pub(crate) fn record_unconnected(&self, addr: SocketAddr) {
        let state = &mut *self.state.borrow_mut();
        let listed = listed_upstreams(state);
        let change = state.paths.record_connect_failure(addr, listed, Instant::now());
        log_change(change, state);
        self.close_after_loss(change);
    }

    /// Closes idle connections when the last path is lost: an upstream may close its end meanwhile,
    /// and a request sent on such a connection after the partition is lost.
    fn close_after_loss(&self, change: Option<Change>) {
        if matches!(change, Some(Change::Lost(_))) {
            self.conns.close_all();
        }
    }

    /// Checks the paths after a send that is overdue, at a service whose upstreams are not probed
    /// before each request anyway. Where upstreams may not be probed at all, a send that is very
    /// `late` counts as a failure of its upstream itself, if no other one has responded since either.
    pub(crate) fn check_paths_after_overdue(
        self: &Rc<Node>,
        service: &ServiceName,
        addr: SocketAddr,
        late: bool,
        sent_at: Instant,
    ) {
        let (reports_load, may_probe, is_silent) = {
            let state = self.state.borrow();
            let reports_load = state.pools.get(service).and_then(|pool| pool.reports_load());
            let may_probe = state.settings.max_probes_per_upstream_per_s > 0.0;
            (reports_load == Some(true), may_probe, !state.paths.has_responded_since(sent_at))
        };
        match () {
            () if reports_load || !is_silent => {}
            () if !may_probe && late => self.record_path_failure(addr),
            () if !may_probe => {}
            () => {
                let is_due = self.state.borrow_mut().paths.take_overdue_check(Instant::now());
                if is_due {
                    monoio::spawn(check_some(self.clone()));
                }
            }
        }
    }

    /// Returns up to `count` different upstreams, at random, with their services.
    pub(crate) fn random_upstreams(&self, count: usize) -> Vec<(ServiceName, Incarnation)> {
        if count == 0 {
            return Vec::new();
        }
        let state = &mut *self.state.borrow_mut();
        let upstreams = state.pools.iter().flat_map(|(service, pool)| {
            pool.upstreams().iter().map(move |upstream| (service, &upstream.incarnation))
        });
        let chosen = upstreams.choose_multiple(&mut state.rng, count);
        chosen.into_iter().map(|(service, upstream)| (service.clone(), upstream.clone())).collect()
    }
}

/// Checks the path to an upstream and, if that fails, those to as many others as it takes to tell a
/// partition from the failure of one upstream.
async fn check_some(node: Rc<Node>) {
    let mut upstreams = node.random_upstreams(reach::MIN_FAILED_UPSTREAMS).into_iter();
    let is_allowed = |service: &ServiceName| node.take_from_probe_budget(service, 1) == 1;
    let Some((service, upstream)) = upstreams.next().filter(|(service, _)| is_allowed(service))
    else {
        return;
    };
    if probe::check_path(node.clone(), service, upstream, NewConnection::IfNoneIsIdle).await {
        return;
    }
    for (service, upstream) in upstreams.filter(|(service, _)| is_allowed(service)) {
        let check = probe::check_path(node.clone(), service, upstream, NewConnection::Always);
        monoio::spawn(check);
    }
}

/// Checks whether a partition has ended, if a check is due. Such checks do not count against the
/// budget of probes, since they arrive nowhere until one of them succeeds.
pub(crate) fn housekeeping(node: &Rc<Node>, now: Instant) {
    let is_due = {
        let state = &mut *node.state.borrow_mut();
        state.peer_paths.expire(now);
        state.paths.take_due_check(now)
    };
    for (service, upstream) in node.random_upstreams(usize::from(is_due)) {
        let check = probe::check_path(node.clone(), service, upstream, NewConnection::Always);
        monoio::spawn(check);
    }
}

fn listed_upstreams(state: &State) -> usize {
    state.pools.values().map(|pool| pool.upstreams().len()).sum()
}

fn log_change(change: Option<Change>, state: &State) {
    match change {
        None => {}
        Some(Change::Lost(silent_for)) => trace::Line::new("upstreams_unreachable")
            .field("listed", listed_upstreams(state))
            .field("silent_ms", silent_for.map(as_ms))
            .field("connects_fail", state.paths.is_unconnectable())
            .field("in_flight", state.in_flight)
            .log(),
        Some(Change::Regained(after)) => {
            trace::Line::new("upstreams_reachable").field("after_ms", as_ms(after)).log();
        }
    }
}
