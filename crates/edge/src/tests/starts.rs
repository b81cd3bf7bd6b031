//! From whom a node that has just started gets what the platform holds.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;

use super::fake::{metrics, ms, run, settings};
use super::fleet::{addr, own_addr, platform, start, start_with, state_at};
use crate::forward::Node;
use crate::readers::{self, Way};
use crate::relay;
use crate::state::State;

async fn until_ready(node: &Node, within: Duration) {
    let asked_at = Instant::now();
    while !node.state.borrow().is_ready() {
        assert!(asked_at.elapsed() < within, "not ready after {within:?}");
        monoio::time::sleep(ms(5)).await;
    }
}

/// Symptom: each node that is restarted makes three calls to the platform, and serves after 0.1 s where
/// its link is slow.
/// Sequence: nodes are restarted one after the other; the seeds serve.
/// Cause: reading the platform whenever a node starts.
#[test]
fn a_restarted_node_gets_everything_from_a_seed_that_serves() {
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        let own = platform();
        let seeds = vec![seed.1];
        let (node, _) = start_with(&own, own_addr(4), |settings| settings.seed_addrs = seeds);
        until_ready(&node, ms(200)).await;
        monoio::time::sleep(ms(300)).await;
        assert_eq!((own.snapshots.get(), own.waits.get()), (0, 0));
        let counters = seed.0.state.borrow().counters;
        assert!(counters.relay_bytes > 0, "what is passed on is counted");
        assert_eq!(counters.relay_far_bytes, 0);
    });
}

/// Symptom: a seed's link is full for seconds when half of the fleet is restarted at once.
/// Sequence: more nodes ask it than it serves of a zone.
/// Cause: passing the whole list to each of them itself. The others must get it as soon.
#[test]
fn a_seed_names_newcomers_to_each_other() {
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        let own = platform();
        let nodes: Vec<Rc<Node>> = (10..20)
            .map(|n| {
                let seeds = vec![seed.1];
                start_with(&own, own_addr(n), |settings| settings.seed_addrs = seeds).0
            })
            .collect();
        for node in &nodes {
            until_ready(node, ms(400)).await;
        }
        assert_eq!(own.snapshots.get(), 0);
        assert_eq!(seed.0.subscribers.count(), 2, "the rest of the zone reads through these two");
    });
}

/// Symptom: two nodes are busy connecting to each other, thousands of times a second.
/// Sequence: a peer names itself, or another that names it again, whoever asks.
/// Cause: asking whomever a named peer names.
#[test]
fn a_node_does_not_follow_peers_that_name_each_other() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let peer = listener.local_addr().expect("bound");
        let frame = postcard::to_stdvec(&relay::Frame::Ask { peer }).expect("encodes");
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        let asked = Rc::new(Cell::new(0));
        let counted = asked.clone();
        monoio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                // Whatever became of it: the caller may be gone.
                let _ = stream.write_all(bytes.clone()).await;
            }
        });
        let own = platform();
        let (node, _) = start_with(&own, own_addr(6), |settings| settings.seed_addrs = vec![peer]);
        until_ready(&node, ms(500)).await;
        monoio::time::sleep(ms(300)).await;
        assert!(asked.get() <= 4, "asked {} times", asked.get());
    });
}

/// Symptom: a node that is restarted sends requests to upstreams that left.
/// Sequence: the platform turns its seed away, which keeps what it knew; the platform answers the node.
/// Cause: taking a list from whoever serves.
#[test]
fn a_restarted_node_does_not_believe_a_seed_that_the_platform_turns_away() {
    run(async {
        let seed = start(&platform());
        monoio::time::sleep(ms(100)).await;
        seed.0.state.borrow_mut().roster.store_lost(Instant::now());
        let own = platform();
        own.config.set(9);
        let seeds = vec![seed.1];
        let (node, _) = start_with(&own, own_addr(5), |settings| settings.seed_addrs = seeds);
        until_ready(&node, ms(400)).await;
        assert_eq!(node.state.borrow().config_version(), 9);
    });
}

/// Symptom: the largest price of a start of 300 nodes is bytes between zones.
/// Sequence: each node reads through any of three seeds while 3,000 upstreams register.
/// Cause: not asking the seed of the own zone once its zone is known.
#[yare::parameterized(
    zones_unknown = { &[], &[7, 8, 9] },
    one_is_near = { &[(7, "b"), (8, "a"), (9, "c")], &[8] },
    none_is_near = { &[(7, "b"), (9, "c")], &[7, 8, 9] },
)]
fn a_fleet_that_starts_reads_through_the_nearest_seed(known: &[(u8, &str)], expected: &[u8]) {
    let now = Instant::now();
    for in_step in [false, true] {
        let mut state = state_at(addr(5), known);
        state.settings.seed_addrs = [7, 8, 9].map(addr).to_vec();
        state.settings.bootstrap = true;
        (state.config_progress.has_read, state.reads_directly) = (in_step, false);
        let chosen = readers::choose(&mut state, &HashMap::new(), true, now);
        assert!(expected.iter().any(|n| chosen == Way::Via(addr(*n))), "{chosen:?}");
        assert_eq!(readers::has_nearer_seed(&state, addr(7), now), !expected.contains(&7));
    }
}

/// Symptom: a fleet that starts for the first time makes two calls a node, and one more for each
/// upstream that registers meanwhile.
/// Sequence: a node starts 0.3 s before the seeds that it was told of listen.
/// Cause: reading the platform as soon as one peer did not answer.
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
        until_ready(&node, ms(3_000)).await;
        assert_eq!(own.snapshots.get(), 0);
        assert!(seed.0.state.borrow().reads_directly);
    });
}

/// Symptom: after all nodes were killed at once, each is late by the time that it waits for others.
/// Sequence: a node is restarted; its seeds are restarted too and hold nothing yet.
/// Cause: waiting for peers that know no more.
#[test]
fn a_restarted_node_does_not_wait_for_seeds_that_hold_nothing() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let seed_at = listener.local_addr().expect("bound");
        let empty = Node::new(Rc::new(RefCell::new(State::new(settings()))), metrics());
        monoio::spawn(relay::serve(listener, Rc::new(empty)));
        let own = platform();
        let (node, _) = start_with(&own, own_addr(3), |settings| {
            settings.seed_addrs = vec![seed_at];
        });
        until_ready(&node, ms(1_000)).await;
        assert_eq!(own.snapshots.get(), 2);
    });
}
