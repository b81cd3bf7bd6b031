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
    let entered = all.iter().map(|me| {
        let entered = start(upstreams);
        let state = &mut *entered.node.state.borrow_mut();
        state.settings.peer_addr = *me;
        state.started_at -= Duration::from_secs(60);
        let others = all.iter().filter(|peer| *peer != me);
        state.peers.extend(others.map(|peer| (*peer, serving("a"))));
        EntryNode { node: entered.node.clone(), addr: entered.addr }
    });
    entered.collect()
}

/// Sends requests to each node one after the other until `until`; returns how many were served.
pub async fn send_requests(
    nodes: &[EntryNode],
    request: fn(&str) -> String,
    until: Instant,
) -> usize {
    let callers = nodes.iter().map(|entered| {
        let addr = entered.addr;
        monoio::spawn(async move {
            let mut caller = Caller::connect(addr).await;
            let mut served = 0;
            for id in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let got = caller.ask(&request(&format!("{addr}-{id}"))).await;
                served += usize::from(got.status == 200);
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
