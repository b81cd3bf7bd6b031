//! Entry nodes that know each other, with a busy caller each.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::fake::{ms, start, Caller, EntryNode, Upstream};
use super::fleet::{addr, serving};

/// Entry nodes in front of the same upstreams.
const NODES: u8 = 8;

/// Starts nodes that know each other and have been up for a while.
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

/// Has a caller of each node make requests one after the other; returns how many were served.
pub async fn ask_all(nodes: &[EntryNode], request: fn(&str) -> String, until: Instant) -> usize {
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
