//! Records what the outcomes of calls and probes say about this node's own paths to the upstreams.

use std::net::SocketAddr;
use std::time::Instant;

use reach::Change;
use store::proto;

use crate::view::View;

/// Records that an upstream responded to a call or a probe, with whatever status.
pub fn record_response(view: &mut View) {
    if let Some(Change::Regained(after)) = view.paths.record_response(Instant::now()) {
        log::info!("node={} upstreams respond again after {after:?}", view.settings.node_id);
    }
}

/// Records that the upstream at `addr` accepted no connection, or did not respond on it.
pub fn record_failure(view: &mut View, addr: SocketAddr) {
    let is_upstream = |vm: &&proto::Vm| vm.role == proto::VmRole::Upstream;
    let listed = view.vms.values().filter(is_upstream).count();
    if let Some(Change::Lost(silent_for)) = view.paths.record_failure(addr, listed, Instant::now())
    {
        log::warn!(
            "node={} none of {listed} upstreams responds, the last response came {silent_for:?} ago",
            view.settings.node_id
        );
    }
}
