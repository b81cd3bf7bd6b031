use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wire::{Extension, NodeRoom, SilentService, Standing};

use super::{apply, extension, VALUE_TTL};
use crate::directory::{self, Lookup};
use crate::state::{Peer, State};
use crate::tests::fake::{self, ms};
use crate::Capacity;

const LARGE: Capacity = Capacity { cores: 0.5, link_bytes_per_s: 25e6, memory_bytes: 5e8 };
const SMALL: Capacity = Capacity { cores: 0.07, link_bytes_per_s: 1.25e6, memory_bytes: 1e8 };

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

/// Returns the state of node `n`, which knows nodes 1 to `nodes` and has upstreams of a service.
fn node(n: u8, nodes: u8, capacity: Option<Capacity>) -> State {
    let mut settings = fake::settings();
    (settings.peer_addr, settings.front_addr, settings.capacity) = (addr(n), addr(n), capacity);
    let mut state = State::new(settings);
    state.pools.insert("desk".into(), place::Pool::default());
    for peer in (1..=nodes).filter(|peer| *peer != n) {
        let peer_state = Peer {
            zone: "a".into(),
            standing: Standing::Alive,
            config_head: 1,
            list_head: 1,
            heads_received: true,
        };
        state.peers.insert(addr(peer), peer_state);
    }
    state
}

fn value(n: u8, seq: u64, requests_per_s: u32) -> NodeRoom {
    NodeRoom { addr: addr(n), seq, requests_per_s }
}

fn told(rooms: Vec<NodeRoom>) -> Extension {
    Extension { sender: addr(9), rooms, silent_services: Vec::new() }
}

/// Guards against datagrams that no node needs, in a fleet whose settings give no capacities.
#[test]
fn without_capacity_or_silent_services_nothing_is_told() {
    assert_eq!(extension(&mut node(1, 3, None)), None);
}

/// Guards against small nodes that get as many callers as large ones: what they can take spreads
/// from node to node, and node 30 tells its callers of large ones more often.
#[test]
fn callers_are_told_of_large_nodes_more_often() {
    const NODES: u8 = 30;
    let capacity = |n: u8| Some(if n <= 2 { LARGE } else { SMALL });
    let mut states: Vec<State> = (1..=NODES).map(|n| node(n, NODES, capacity(n))).collect();
    // Each node tells two others in each of ten rounds, five seconds of pings.
    for round in 1..=10 {
        for from in 0..states.len() {
            let extension = extension(&mut states[from]).expect("something to tell");
            for step in [round, 3 * round] {
                let to = (from + step) % states.len();
                apply(&mut states[to], &extension);
            }
        }
    }
    let state = states.last_mut().expect("a node");
    assert_eq!(state.rooms.by_ip().len(), usize::from(NODES));
    let mut counts = [0; NODES as usize + 1];
    for caller in 0..200u8 {
        let lookup =
            Lookup { zone: "a", addr: Some([192, 168, 0, caller].into()), ..Lookup::default() };
        for node in directory::addresses(state, lookup) {
            if let SocketAddr::V4(node) = node {
                counts[usize::from(node.ip().octets()[3])] += 1;
            }
        }
    }
    let (least_large, most_small) = (counts[1].min(counts[2]), counts[3..].iter().max());
    assert!(Some(least_large) > most_small.map(|most| 2 * most).as_ref().copied(), "{counts:?}");
    assert!(counts[3..usize::from(NODES)].iter().all(|count| *count > 0), "{counts:?}");
}

/// Guards against callers that lose their connections with each look-up, and against callers behind
/// one address that are all told the same nodes.
#[test]
fn a_caller_is_told_the_same_nodes_and_others_of_its_address_are_not() {
    let mut state = node(30, 30, Some(SMALL));
    apply(
        &mut state,
        &told((1..=29).map(|n| value(n, 1, if n <= 2 { 1_000 } else { 100 })).collect()),
    );
    let lookup = Lookup { zone: "a", addr: Some([192, 168, 0, 1].into()), ..Lookup::default() };
    state.settings.directory_ttl = Duration::from_secs(60);
    let first = directory::addresses(&mut state, lookup);
    let other = directory::addresses(&mut state, lookup);
    assert_ne!(first, other);
    // The next period begins.
    state.settings.directory_ttl = Duration::ZERO;
    assert_eq!(directory::addresses(&mut state, lookup), first);
}

/// Guards against an old value that replaces a newer one on a longer way, and against one that is
/// never replaced since the clock of its node was set back.
#[test]
fn the_newest_value_of_a_node_counts() {
    let (mut state, now) = (node(1, 3, None), Instant::now());
    let room = |state: &State| state.rooms.by_ip()[&addr(2).ip()];
    state.rooms.record(value(2, 7, 100), now);
    state.rooms.record(value(2, 6, 50), now + ms(1));
    assert_eq!(room(&state), 100.0);
    state.rooms.record(value(2, 8, 70), now + ms(2));
    assert_eq!(room(&state), 70.0);
    state.rooms.record(value(2, 1, 30), now + VALUE_TTL + ms(3));
    assert_eq!(room(&state), 30.0);
}

/// Guards against each node of a large fleet losing requests of its own before it knows that a
/// service is silent, and against nodes that keep that knowledge alive among themselves.
#[test]
fn silent_services_are_told_with_the_time_left() {
    let (mut state, now) = (node(1, 3, None), Instant::now());
    let silent = SilentService { service: "desk".into(), left_s: 30 };
    let unknown = SilentService { service: "other".into(), left_s: 30 };
    let heard = Extension { silent_services: vec![silent, unknown], ..told(Vec::new()) };
    apply(&mut state, &heard);
    let silence = state.pools["desk"].silence();
    assert!(silence.is_silent(now) && !silence.is_silent(now + ms(31_000)));
    let telling = extension(&mut state).expect("something to tell");
    assert!(telling.silent_services.len() == 1 && telling.silent_services[0].left_s <= 30);
    assert!(telling.rooms.is_empty());
}
