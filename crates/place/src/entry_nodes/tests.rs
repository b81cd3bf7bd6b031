use std::collections::HashMap;
use std::net::SocketAddr;

use super::{choose, room_per_s, MIN_NODES};

const LARGE: usize = 2;

fn node(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 256) as u8, (n % 256) as u8], 80))
}

/// Returns a zone of two large nodes and many small ones, of 0.5 and 0.07 cores and links of 200 and
/// 10 Mbit/s.
fn zone() -> Vec<(SocketAddr, Option<f64>)> {
    let room = |n: usize| match n < LARGE {
        true => room_per_s(0.5, 25e6, 4.0),
        false => room_per_s(0.07, 1.25e6, 4.0),
    };
    (0..77).map(|n| (node(n), Some(room(n)))).collect()
}

/// Returns how often each node is picked when callers pick one of the nodes of their lists.
fn picks(nodes: &[(SocketAddr, Option<f64>)]) -> HashMap<SocketAddr, f64> {
    let mut picks = HashMap::new();
    for caller in 0..4_000 {
        let list = choose(nodes, caller, 64).expect("uneven");
        for addr in &list {
            *picks.entry(*addr).or_insert(0.0) += 1.0 / list.len() as f64;
        }
    }
    picks
}

/// Guards against small nodes that get as many callers as large ones, and against a herd onto the
/// large ones: each gets as many as it can take, and no node gets none.
#[test]
fn callers_are_spread_by_what_nodes_can_take() {
    let nodes = zone();
    let picks = picks(&nodes);
    let total: f64 = nodes.iter().map(|(_, room)| room.expect("known")).sum();
    for (addr, room) in &nodes {
        let (share, fair) = (picks[addr] / 4_000.0, room.expect("known") / total);
        assert!((0.6..1.5).contains(&(share / fair)), "{addr}: {share:.4} of {fair:.4}");
    }
}

/// Guards against callers that lose their connections with each look-up, and against a change of one
/// node's room that moves callers of all others.
#[test]
fn a_caller_keeps_its_nodes() {
    let nodes = zone();
    let mut changed = nodes.clone();
    changed[5].1 = changed[5].1.map(|room| room * 0.5);
    let mut kept = 0;
    for caller in 0..100 {
        let list = choose(&nodes, caller, 64).expect("uneven");
        assert_eq!(choose(&nodes, caller, 64).as_ref(), Some(&list));
        let after = choose(&changed, caller, 64).expect("uneven");
        kept +=
            usize::from(list.iter().filter(|addr| after.contains(addr)).count() + 1 >= list.len());
    }
    assert_eq!(kept, 100);
}

/// Guards against short lists where there is nothing to choose: after a few failures a caller would
/// have no node left.
#[yare::parameterized(
    alike = { vec![Some(100.0); 50] },
    nearly_alike = { (0..50).map(|n| Some(100.0 + f64::from(n))).collect() },
    not_known = { vec![None; 50] },
    few = { (0..MIN_NODES as u32).map(|n| Some(10f64.powi(n as i32))).collect() },
)]
fn nodes_that_are_alike_or_few_are_not_chosen_from(rooms: Vec<Option<f64>>) {
    let nodes: Vec<(SocketAddr, Option<f64>)> =
        rooms.into_iter().enumerate().map(|(n, room)| (node(n), room)).collect();
    assert_eq!(choose(&nodes, 7, 64), None);
}

/// Guards against a node that gets no callers any more since it was busy once.
#[test]
fn a_busy_node_keeps_a_little_room() {
    assert_eq!(room_per_s(0.5, 25e6, 0.0), 1_000.0);
    assert_eq!(room_per_s(0.5, 25e6, 400.0), 600.0);
    assert_eq!(room_per_s(0.5, 25e6, 5_000.0), 100.0);
    let mut nodes = zone();
    nodes[0].1 = Some(100.0);
    let picks = picks(&nodes);
    assert!(picks[&node(0)] > 0.0 && picks[&node(0)] < 0.3 * picks[&node(1)], "{picks:?}");
}
