//! Requests that nodes with different configurations or lists of upstreams send through each other.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use route::ClientLimits;

use super::fake::{
    get, ms, ok_response, run, table_with_version_route, Caller, EntryNode, Upstream,
};
use super::partitioned::{introduce, start_node, Failure, Unreachable};
use crate::history::Cursor;

/// Configuration of a node that lacks a change, and of one that has it.
const OLDER: route::Version = 7;
const NEWER: route::Version = 9;

/// Maximum time for which a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Puts a version in force that was read up to the position of the same number.
fn apply(entry_node: &EntryNode, version: route::Version) {
    let state = &mut *entry_node.node.state.borrow_mut();
    state.apply_table(table_with_version_route(version, ClientLimits::default()));
    set_config_position(state, version);
}

fn set_config_position(state: &mut crate::state::State, position: Cursor) {
    let progress = &mut state.config_progress;
    (progress.has_read, progress.up_to, progress.newest) = (true, position, position);
}

/// Starts a node that reaches an upstream, and one of another version that reaches none and knows the
/// first one.
fn start_pair(
    upstream: &Upstream,
    unreachable: &Unreachable,
    in_touch: route::Version,
    partitioned: route::Version,
) -> (EntryNode, EntryNode) {
    let in_touch_node = start_node(&[upstream.addr]);
    let partitioned_node = start_node(&unreachable.addrs().collect::<Vec<_>>());
    apply(&in_touch_node, in_touch);
    apply(&partitioned_node, partitioned);
    introduce(&partitioned_node, &in_touch_node);
    (in_touch_node, partitioned_node)
}

/// Returns the status of the response to a request.
async fn status_of(addr: SocketAddr, path: String, id: String) -> u16 {
    Caller::connect(addr).await.ask(&get(&path, &id)).await.status
}

/// Guards against a node that sends a request through a peer with a newer configuration, and then
/// handles others by its own older one.
#[yare::parameterized(
    connections_are_refused = { Failure::Refused },
    nothing_is_answered = { Failure::Unanswered },
)]
fn a_node_that_was_served_by_a_newer_configuration_does_not_go_back(failure: Failure) {
    run(async move {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let unreachable = Unreachable::new(failure);
        let (_in_touch, partitioned) = start_pair(&upstream, &unreachable, NEWER, OLDER);
        let started_at = Instant::now();
        let (mut has_run, mut n) = (false, 0);
        let mut requests_after_run = 0;
        while requests_after_run < 20 && started_at.elapsed() < MAX_WAIT {
            (n, requests_after_run) = (n + 1, requests_after_run + usize::from(has_run));
            let ask = |path: String| status_of(partitioned.addr, path, format!("r{n}"));
            has_run |= ask("/get/1".to_owned()).await == 200;
            let newer = ask(format!("/v{NEWER}/1")).await;
            let older = ask(format!("/v{OLDER}/1")).await;
            assert!(!has_run || newer != 404, "request {n}: a route of the newer version is gone");
            assert!(!has_run || older == 404, "request {n}: the older version's route is back");
        }
        assert!(has_run, "never served");
        assert_eq!(partitioned.node.state.borrow().config_version(), NEWER);
    });
}
