//! A configuration that the platform has taken is in force at every node in time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpListener;

use super::fake::{metrics, ms, run};
use super::fleet::{addr, platform, serving, start, state_at, Platform};
use super::relay::fleet;
use crate::follow::{self, Topic};
use crate::forward::Node;
use crate::relay;
use crate::state::Peer;

/// Time within which a configuration must be in force.
const IN_FORCE: Duration = Duration::from_millis(2_000);

/// Time for nodes to find out who reads for whom.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Puts version 9 and returns how many of `nodes` handle requests by it in time.
async fn in_force_in_time(platform: &Platform, nodes: &[Rc<Node>]) -> usize {
    platform.config.set(9);
    let put_at = Instant::now();
    let in_force = || nodes.iter().filter(|node| node.state.borrow().config_version() == 9).count();
    while in_force() < nodes.len() && put_at.elapsed() < IN_FORCE {
        monoio::time::sleep(ms(10)).await;
    }
    in_force()
}

/// The waits of all readers go silent without a sign, and nobody has seen more.
#[test]
fn silent_waits_of_all_readers_do_not_keep_a_configuration_out_of_force() {
    run(async {
        let platform = platform();
        let nodes = fleet(&platform);
        monoio::time::sleep(SETTLED).await;
        platform.stalls.set(1);
        assert_eq!(in_force_in_time(&platform, &nodes).await, nodes.len());
    });
}

/// A node of a large fleet has lost the platform and pauses; the platform is back, and others say so.
#[test]
fn a_node_that_pauses_after_an_outage_hears_that_others_have_read_on() {
    run(async {
        let platform = platform();
        let (node, _) = start(&platform);
        for n in 1..=200 {
            node.state.borrow_mut().peers.insert(addr(n), serving("a"));
        }
        monoio::time::sleep(SETTLED).await;
        platform.refuses.set(true);
        monoio::time::sleep(ms(100)).await;
        platform.refuses.set(false);
        let ahead = Peer { config_head: 9, ..serving("b") };
        node.state.borrow_mut().peers.insert(addr(9), ahead);
        assert_eq!(in_force_in_time(&platform, &[node]).await, 1);
    });
}

/// A node has read everything and looks for a reader for longer than the bound allows.
#[test]
fn a_node_that_looks_for_a_reader_takes_a_configuration_in_time() {
    run(async {
        let platform = platform();
        let (node, _) = start(&platform);
        // Knows of readers, none of which can be reached.
        for n in 1..=3 {
            let unreachable = SocketAddr::from(([127, 0, 0, 1], n));
            node.state.borrow_mut().peers.insert(unreachable, serving("a"));
        }
        while node.state.borrow().config_version() == 0 {
            monoio::time::sleep(ms(1)).await;
        }
        assert_eq!(in_force_in_time(&platform, &[node]).await, 1);
    });
}

/// A node that its reader let go asks one that takes the connection and says nothing, until it is late.
#[test]
fn a_reader_that_says_nothing_does_not_keep_a_configuration_out_of_force() {
    run(async {
        let platform = platform();
        let silent = TcpListener::bind("127.0.0.1:0").expect("binds");
        let mut state = state_at(addr(250), &[]);
        state.reads_directly = false;
        state.peers.insert(silent.local_addr().expect("bound"), serving("a"));
        for n in 1..=2 {
            state.peers.insert(SocketAddr::from(([127, 0, 0, 1], n)), serving("a"));
        }
        // What is known is almost too old to be relied on.
        let known_at = Instant::now() - ms(1_590);
        state.config_progress.lease.renew(known_at);
        state.list_progress.lease.renew(known_at);
        platform.config.set(9);
        let node = Rc::new(Node::new(Rc::new(RefCell::new(state)), metrics()));
        for topic in [Topic::Config, Topic::Upstreams] {
            monoio::spawn(follow::run(platform.clone(), topic, node.clone()));
        }
        monoio::spawn(relay::run(node.clone()));
        while node.state.borrow().config_version() != 9 {
            let late = known_at.elapsed() > IN_FORCE;
            assert!(!late, "the version put right after {known_at:?} is not in force");
            monoio::time::sleep(ms(5)).await;
        }
    });
}

/// Both waits have gone silent, and only the one for the configuration is made good.
#[test]
fn a_configuration_is_read_anew_though_the_list_is_not_answered() {
    run(async {
        let platform = platform();
        let (node, _) = start(&platform);
        monoio::time::sleep(SETTLED).await;
        platform.stalls.set(1);
        platform.list_is_silent.set(true);
        assert_eq!(in_force_in_time(&platform, &[node]).await, 1);
    });
}

/// The list of upstreams is not answered where the configuration is.
#[test]
fn a_configuration_does_not_wait_for_the_list() {
    run(async {
        let platform = platform();
        let mut state = state_at(addr(1), &[]);
        state.reads_directly = false;
        let node = Rc::new(Node::new(Rc::new(RefCell::new(state)), metrics()));
        for topic in [Topic::Config, Topic::Upstreams] {
            monoio::spawn(follow::run(platform.clone(), topic, node.clone()));
        }
        platform.list_is_silent.set(true);
        monoio::time::sleep(ms(200)).await;
        // Its reader is gone, and it reads the platform itself from now on.
        node.state.borrow_mut().reads_directly = true;
        assert_eq!(in_force_in_time(&platform, &[node]).await, 1);
    });
}
