//! Waits until no entry node has a call to a drained upstream in flight.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use smol_str::SmolStr;
use store::proto;

/// Maximum time that [`wait_until_drained`] waits.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between two polls of all entry nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one status request to an entry node.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of an entry node's status that shows calls in flight, per service.
#[derive(Debug, Deserialize)]
struct Status {
    peers: BTreeMap<SocketAddr, SmolStr>,
    upstreams: BTreeMap<SmolStr, Vec<Upstream>>,
}

#[derive(Debug, Deserialize)]
struct Upstream {
    addr: SocketAddr,
    leaving: bool,
    outstanding: u32,
}

impl Status {
    /// Returns true if the node sends no new calls to `upstream` and has none in flight there, or
    /// does not list it.
    fn is_drained(&self, upstream: SocketAddr) -> bool {
        let listed = self.upstreams.values().flatten().filter(|u| u.addr == upstream);
        listed.into_iter().all(|u| u.leaving && u.outstanding == 0)
    }
}

/// Waits until every entry node reports `upstream` as leaving with no call in flight, and returns
/// how long that took. An entry node that does not list the upstream counts as drained.
///
/// Polls the entry nodes that the platform lists and, as that list lags, also their peers that are
/// alive or suspected. A node that does not respond counts as not drained, unless another node
/// reports it as dead or as having left.
///
/// # Errors
///
/// Returns the entry nodes that still have calls in flight, or do not respond, after
/// [`DRAIN_TIMEOUT`].
pub async fn wait_until_drained(
    store: &store::Store,
    upstream: SocketAddr,
) -> Result<Duration, Vec<SocketAddr>> {
    let started = Instant::now();
    let mut not_drained = Vec::new();
    while started.elapsed() < DRAIN_TIMEOUT {
        let listed = store.vms().await.unwrap_or_default();
        let listed = listed
            .into_iter()
            .filter(|vm| vm.role == proto::VmRole::Entry && vm.state == proto::VmState::Live);
        match poll_nodes(listed.map(|vm| vm.addr).collect(), upstream).await {
            Ok(()) => return Ok(started.elapsed()),
            Err(nodes) => not_drained = nodes,
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    Err(not_drained)
}

/// Polls `pending` nodes and the peers that they report, once each; returns those that are not
/// drained as an error.
async fn poll_nodes(
    mut pending: BTreeSet<SocketAddr>,
    upstream: SocketAddr,
) -> Result<(), Vec<SocketAddr>> {
    let (mut not_drained, mut unresponsive) = (Vec::new(), Vec::new());
    let (mut polled, mut gone) = (BTreeSet::new(), BTreeSet::new());
    while let Some(node) = pending.pop_first() {
        polled.insert(node);
        let status = fetch_status(node).await.ok();
        let Some(status) = status.and_then(|b| serde_json::from_slice::<Status>(&b).ok()) else {
            unresponsive.push(node);
            continue;
        };
        if !status.is_drained(upstream) {
            not_drained.push(node);
        }
        for (peer, standing) in &status.peers {
            match standing.as_str() {
                "Alive" | "Suspect" if !polled.contains(peer) => drop(pending.insert(*peer)),
                "Dead" | "Left" => drop(gone.insert(*peer)),
                _ => {}
            }
        }
    }
    let has_response = polled.len() > unresponsive.len();
    not_drained.extend(unresponsive.into_iter().filter(|node| !gone.contains(node)));
    match has_response && not_drained.is_empty() {
        true => Ok(()),
        false => Err(not_drained),
    }
}

/// Reads an entry node's status as JSON text.
///
/// # Errors
///
/// Returns the error of [`web::fetch`] if the node cannot be reached or does not respond in time.
pub async fn fetch_status(entry: SocketAddr) -> Result<Bytes, web::Error> {
    let get = http::Method::GET;
    web::fetch(entry, get, "/v1/status", Bytes::new(), STATUS_TIMEOUT)
        .await
        .map(|response| response.into_body())
}
