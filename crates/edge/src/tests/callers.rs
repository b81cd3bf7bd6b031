//! Entry nodes that know each other, each with a caller that sends requests in a loop.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::fake::{ms, start, Caller, EntryNode, Upstream};
use super::fleet::{addr, serving};

/// Number of entry nodes in front of the same upstreams.
const NODES: u8 = 8;

/// Starts nodes that know each other and appear to have been up for a minute.
pub fn nodes(upstreams: &[&Upstream]) -> Vec<EntryNode> {
    let all: Vec<SocketAddr> = (1..=NODES).map(addr).collect();
    let entry_nodes = all.iter().map(|me| {
        let entry_node = start(upstreams);
        let state = &mut *entry_node.node.state.borrow_mut();
        state.settings.peer_addr = *me;
        state.started_at -= Duration::from_secs(60);
        let others = all.iter().filter(|peer| *peer != me);
        state.peers.extend(others.map(|peer| (*peer, serving("a"))));
        EntryNode { node: entry_node.node.clone(), addr: entry_node.addr }
    });
    entry_nodes.collect()
}

/// Sends requests to each node one after the other until `ends_at`; returns how many were served.
pub async fn send_requests(
    nodes: &[EntryNode],
    request: fn(&str) -> String,
    ends_at: Instant,
) -> usize {
    let callers = nodes.iter().map(|entry_node| {
        let addr = entry_node.addr;
        monoio::spawn(async move {
            let mut caller = Caller::connect(addr).await;
            let mut served = 0;
            for id in 0.. {
                if Instant::now() >= ends_at {
                    break;
                }
                let response = caller.ask(&request(&format!("{addr}-{id}"))).await;
                served += usize::from(response.status == 200);
                monoio::time::sleep(ms(20)).await;
            }
            served
        })
    });
    let mut served = 0;
    for caller in callers.collect::<Vec<_>>() {
        served += caller.await;
    }
    served
}
