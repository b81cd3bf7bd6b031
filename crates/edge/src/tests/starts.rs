//! From whom a node that has just started gets the platform's state.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{self, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;

use super::fake::{metrics, ms, run, settings};
use super::fleet::{addr, own_addr, platform, start, start_with, state_at, Platform};
use crate::forward::Node;
use crate::readers::{self, ReadPath};
use crate::relay;
use crate::state::State;

async fn wait_until_ready(node: &Node, within: Duration) {
    let started_at = Instant::now();
    while !node.state.borrow().is_ready() {
        assert!(started_at.elapsed() < within, "not ready after {within:?}");
        monoio::time::sleep(ms(5)).await;
    }
}

/// Guards against three platform calls by each restarted node, which also serves only after 0.1 s
/// over a slow link. Nodes are restarted one by one while the seeds serve, and must read through
/// the seeds.
#[test]
fn a_restarted_node_gets_everything_from_a_seed_that_serves() {
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        let own = platform();
        let seeds = vec![seed.1];
        let (node, _) = start_with(&own, own_addr(4), |settings| settings.seed_addrs = seeds);
        wait_until_ready(&node, ms(200)).await;
        monoio::time::sleep(ms(300)).await;
        assert_eq!((own.snapshots.get(), own.long_polls.get()), (0, 0));
        let counters = seed.0.state.borrow().counters;
        assert!(counters.relay_bytes > 0, "relayed bytes are counted");
        assert_eq!(counters.relay_far_bytes, 0);
    });
}

/// Takes the processor from all tasks for `stall`, then lets them run for one turn of the event loop.
async fn stall_one_turn(stall: Duration) {
    let mut timer = pin!(monoio::time::sleep(ms(1)));
    // Starts the timer, which is due after the stall.
    future::poll_fn(|context| Poll::Ready(timer.as_mut().poll(context).is_ready())).await;
    std::thread::sleep(stall);
    timer.await;
}

/// Starts ten nodes of a zone that know `seed`, and read `own` if they read the platform directly.
fn start_newcomers(seed: SocketAddr, own: &Platform, first_addr: u8) -> Vec<Rc<Node>> {
    let start_at = |n| start_with(own, own_addr(n), |settings| settings.seed_addrs = vec![seed]).0;
    (first_addr..first_addr + 10).map(start_at).collect()
}

/// Guards against a seed's link that is saturated for seconds when half of the fleet is restarted
/// at once: more nodes of a zone connect to it than it serves itself. The other nodes must get the
/// list as early.
#[test]
fn a_seed_names_newcomers_to_each_other() {
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        let own = platform();
        let nodes = start_newcomers(seed.1, &own, 10);
        for node in &nodes {
            wait_until_ready(node, ms(400)).await;
        }
        assert_eq!(own.snapshots.get(), 0);
        assert_eq!(seed.0.subscribers.count(), 2, "the rest of the zone reads through these two");
    });
}

/// Guards against nodes that are restarted on a busy machine and all read the platform: they get no
/// processor for longer than they look for a seed, and take that for seeds that do not respond.
#[test]
fn newcomers_that_stall_still_read_through_each_other() {
    const STALL: Duration = Duration::from_millis(45);
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        let own = platform();
        let nodes = start_newcomers(seed.1, &own, 30);
        let started_at = Instant::now();
        while !nodes.iter().all(|node| node.state.borrow().is_ready()) {
            assert!(started_at.elapsed() < ms(4_000), "not ready");
            stall_one_turn(STALL).await;
        }
        assert_eq!(own.snapshots.get(), 0);
        assert_eq!(seed.0.subscribers.count(), 2, "the rest of the zone reads through these two");
    });
}

/// Guards against two nodes that connect to each other thousands of times a second: a peer refers
/// every node to itself, or to one that refers it back.
#[test]
fn a_node_does_not_follow_peers_that_refer_to_each_other() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let peer = listener.local_addr().expect("bound");
        let frame = postcard::to_stdvec(&relay::Frame::Referral { peer }).expect("encodes");
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        let connections = Rc::new(Cell::new(0));
        let counted = connections.clone();
        monoio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                // The outcome does not matter: the caller may be gone.
                let _ = stream.write_all(bytes.clone()).await;
            }
        });
        let own = platform();
        let (node, _) = start_with(&own, own_addr(6), |settings| settings.seed_addrs = vec![peer]);
        wait_until_ready(&node, ms(500)).await;
        monoio::time::sleep(ms(300)).await;
        assert!(connections.get() <= 4, "{} connections", connections.get());
    });
}

/// Guards against a restarted node that sends requests to upstreams that left. The platform
/// rejects its seed, which keeps its old state, but responds to the node, which must not take the
/// list of another node merely because that one serves.
#[test]
fn a_restarted_node_ignores_a_seed_that_the_platform_rejects() {
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        seed.0.state.borrow_mut().roster.store_lost(Instant::now());
        let own = platform();
        own.config.set(9);
        let seeds = vec![seed.1];
        let (node, _) = start_with(&own, own_addr(5), |settings| settings.seed_addrs = seeds);
        wait_until_ready(&node, ms(400)).await;
        assert_eq!(node.state.borrow().config_version(), 9);
    });
}

/// Guards against bytes between zones, the largest cost of a start of 300 nodes: each node reads
/// through any of three seeds while 3,000 upstreams register, although it knows the seed of its
/// own zone.
#[yare::parameterized(
    zones_unknown = { &[], &[7, 8, 9] },
    one_in_the_same_zone = { &[(7, "b"), (8, "a"), (9, "c")], &[8] },
    none_in_the_same_zone = { &[(7, "b"), (9, "c")], &[7, 8, 9] },
)]
fn a_fleet_that_starts_reads_through_the_nearest_seed(known: &[(u8, &str)], expected: &[u8]) {
    let now = Instant::now();
    for has_read in [false, true] {
        let mut state = state_at(addr(5), known);
        state.settings.seed_addrs = [7, 8, 9].map(addr).to_vec();
        state.settings.bootstrap = true;
        (state.config_progress.has_read, state.reads_directly) = (has_read, false);
        let chosen = readers::choose(&mut state, &HashMap::new(), true, now);
        assert!(expected.iter().any(|n| chosen == ReadPath::Via(addr(*n))), "{chosen:?}");
        assert_eq!(readers::has_nearer_seed(&state, addr(7), now), !expected.contains(&7));
    }
}

/// Guards against two platform calls a node when a fleet starts for the first time, and one more
/// for each upstream that registers meanwhile. A node starts 0.3 s before its seeds listen, and
/// must not read the platform as soon as one peer does not respond.
#[test]
fn a_fleet_that_starts_reads_the_platform_through_its_seeds() {
    run(async {
        let seed_at = own_addr(1);
        let own = platform();
        let (node, _) = start_with(&own, own_addr(2), |settings| {
            settings.seed_addrs = vec![seed_at];
            settings.bootstrap = true;
        });
        monoio::time::sleep(ms(300)).await;
        let seed = start_with(&platform(), seed_at, |settings| {
            settings.seed_addrs = vec![seed_at];
            settings.bootstrap = true;
        });
        wait_until_ready(&node, ms(3_000)).await;
        assert_eq!(own.snapshots.get(), 0);
        assert!(seed.0.state.borrow().reads_directly);
    });
}

/// Guards against a delay of every node after all nodes were killed at once: a restarted node must
/// not wait for its seeds, which are restarted too and have no state yet.
#[test]
fn a_restarted_node_does_not_wait_for_seeds_without_state() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let seed_at = listener.local_addr().expect("bound");
        let empty = Node::new(Rc::new(RefCell::new(State::new(settings()))), metrics());
        monoio::spawn(relay::serve(listener, Rc::new(empty)));
        let own = platform();
        let (node, _) = start_with(&own, own_addr(3), |settings| {
            settings.seed_addrs = vec![seed_at];
        });
        wait_until_ready(&node, ms(1_000)).await;
        assert_eq!(own.snapshots.get(), 2);
    });
}
