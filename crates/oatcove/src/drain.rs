//! Waiting until no entry node holds a call to a drained upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use smol_str::SmolStr;
use store::proto;

/// How long to wait for every entry node to let go of an upstream.
pub const WAIT: Duration = Duration::from_secs(60);

/// Pause between two rounds of asking.
const PAUSE: Duration = Duration::from_millis(50);

/// Deadline of one request to an entry node.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of an entry node's status that says what it holds.
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
    /// Returns true when the node sends `upstream` nothing new and waits for nothing from it.
    fn let_go_of(&self, upstream: SocketAddr) -> bool {
        let listed = self.upstreams.values().flatten().filter(|u| u.addr == upstream);
        listed.into_iter().all(|u| u.leaving && u.outstanding == 0)
    }
}

/// Waits until every entry node lists `upstream` as leaving with no call outstanding.
///
/// Asked are the entry nodes the platform lists and, since that list lags,
/// every peer that one of them believes reachable. A node that does not
/// answer holds the wait up, unless those that answer know it has left or died.
///
/// # Errors
///
/// Returns the entry nodes that still hold calls or do not answer after [`WAIT`].
pub async fn wait(store: &store::Store, upstream: SocketAddr) -> Result<Duration, Vec<SocketAddr>> {
    let started = Instant::now();
    let mut holding = Vec::new();
    while started.elapsed() < WAIT {
        let listed = store.vms().await.unwrap_or_default();
        let listed = listed
            .into_iter()
            .filter(|vm| vm.role == proto::VmRole::Entry && vm.state == proto::VmState::Live);
        match ask_all(listed.map(|vm| vm.addr).collect(), upstream).await {
            Ok(()) => return Ok(started.elapsed()),
            Err(still) => holding = still,
        }
        monoio::time::sleep(PAUSE).await;
    }
    Err(holding)
}

/// Asks `nodes` and the peers they name; returns those that have not let go.
async fn ask_all(
    mut to_ask: BTreeSet<SocketAddr>,
    upstream: SocketAddr,
) -> Result<(), Vec<SocketAddr>> {
    let (mut holding, mut silent) = (Vec::new(), Vec::new());
    let (mut asked, mut gone) = (BTreeSet::new(), BTreeSet::new());
    while let Some(node) = to_ask.pop_first() {
        asked.insert(node);
        let status = fetch_status(node).await.ok();
        let Some(status) = status.and_then(|b| serde_json::from_slice::<Status>(&b).ok()) else {
            silent.push(node);
            continue;
        };
        if !status.let_go_of(upstream) {
            holding.push(node);
        }
        for (peer, standing) in &status.peers {
            match standing.as_str() {
                "Alive" | "Suspect" if !asked.contains(peer) => drop(to_ask.insert(*peer)),
                "Dead" | "Left" => drop(gone.insert(*peer)),
                _ => {}
            }
        }
    }
    let answered = asked.len() > silent.len();
    holding.extend(silent.into_iter().filter(|node| !gone.contains(node)));
    match answered && holding.is_empty() {
        true => Ok(()),
        false => Err(holding),
    }
}

/// Reads an entry node's status, as JSON text.
///
/// # Errors
///
/// As [`web::fetch`].
pub async fn fetch_status(entry: SocketAddr) -> Result<Bytes, web::Error> {
    let get = http::Method::GET;
    web::fetch(entry, get, "/v1/status", Bytes::new(), ENTRY_TIMEOUT)
        .await
        .map(|response| response.into_body())
}
