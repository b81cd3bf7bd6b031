//! Records what the outcomes of sends and probes say about this node's own paths to the upstreams.

use std::net::SocketAddr;
use std::time::Instant;

use reach::Change;

use crate::as_ms;
use crate::forward::Node;
use crate::state::State;

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
        log_change(state.paths.record_failure(addr, listed, Instant::now()), state);
    }

    /// Records that an upstream accepted no connection.
    pub(crate) fn record_unconnected(&self, addr: SocketAddr) {
        let state = &mut *self.state.borrow_mut();
        let listed = listed_upstreams(state);
        log_change(state.paths.record_connect_failure(addr, listed, Instant::now()), state);
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
