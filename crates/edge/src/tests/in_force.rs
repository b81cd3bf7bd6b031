//! A configuration that the platform has accepted is in force on every node in time.

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
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for nodes to determine the readers.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Publishes version 9 and returns how many of `nodes` apply it in time.
async fn count_in_force(platform: &Platform, nodes: &[Rc<Node>]) -> usize {
    platform.config.set(9);
    let published_at = Instant::now();
    let in_force = || nodes.iter().filter(|node| node.state.borrow().config_version() == 9).count();
    while in_force() < nodes.len() && published_at.elapsed() < IN_FORCE_TIMEOUT {
        monoio::time::sleep(ms(10)).await;
    }
    in_force()
}

/// The long polls of all readers go silent without an error, and no node is ahead.
#[test]
fn silent_long_polls_of_all_readers_do_not_delay_a_configuration() {
    run(async {
        let platform = platform();
        let nodes = fleet(&platform);
        monoio::time::sleep(PEER_DISCOVERY_TIME).await;
        platform.stalls.set(1);
        assert_eq!(count_in_force(&platform, &nodes).await, nodes.len());
    });
}

/// A node of a large fleet has lost the platform and is in backoff; the platform is back, and
/// peers show it.
#[test]
fn a_node_in_backoff_notices_that_peers_are_ahead() {
    run(async {
        let platform = platform();
        let (node, _) = start(&platform);
        for n in 1..=200 {
            node.state.borrow_mut().peers.insert(addr(n), serving("a"));
        }
        monoio::time::sleep(PEER_DISCOVERY_TIME).await;
        platform.rejects.set(true);
        monoio::time::sleep(ms(100)).await;
        platform.rejects.set(false);
        let ahead = Peer { config_head: 9, ..serving("b") };
        node.state.borrow_mut().peers.insert(addr(9), ahead);
        assert_eq!(count_in_force(&platform, &[node]).await, 1);
    });
}

/// A node has read everything and looks for a reader for longer than the bound allows.
#[test]
fn a_node_that_looks_for_a_reader_applies_a_configuration_in_time() {
    run(async {
        let platform = platform();
        let (node, _) = start(&platform);
        // It knows of readers, none of which is reachable.
        for n in 1..=3 {
            let unreachable = SocketAddr::from(([127, 0, 0, 1], n));
            node.state.borrow_mut().peers.insert(unreachable, serving("a"));
        }
        while node.state.borrow().config_version() == 0 {
            monoio::time::sleep(ms(1)).await;
        }
        assert_eq!(count_in_force(&platform, &[node]).await, 1);
    });
}

/// A node that its reader dropped connects to another reader, which accepts the connection and
/// sends nothing until the bound has passed.
#[test]
fn a_silent_reader_does_not_delay_a_configuration() {
    run(async {
        let platform = platform();
        let silent = TcpListener::bind("127.0.0.1:0").expect("binds");
        let mut state = state_at(addr(250), &[]);
        state.reads_directly = false;
        state.peers.insert(silent.local_addr().expect("bound"), serving("a"));
        for n in 1..=2 {
            state.peers.insert(SocketAddr::from(([127, 0, 0, 1], n)), serving("a"));
        }
        // The leases have almost expired.
        let renewed_at = Instant::now() - ms(1_590);
        state.config_progress.lease.renew(renewed_at);
        state.list_progress.lease.renew(renewed_at);
        platform.config.set(9);
        let node = Rc::new(Node::new(Rc::new(RefCell::new(state)), metrics()));
        for topic in [Topic::Config, Topic::Upstreams] {
            monoio::spawn(follow::run(platform.clone(), topic, node.clone()));
        }
        monoio::spawn(relay::run(node.clone()));
        while node.state.borrow().config_version() != 9 {
            let late = renewed_at.elapsed() > IN_FORCE_TIMEOUT;
            assert!(!late, "the version published right after {renewed_at:?} is not in force");
            monoio::time::sleep(ms(5)).await;
        }
    });
}

/// Both long polls have gone silent, and only the one for the configuration recovers.
#[test]
fn a_configuration_is_reread_while_the_list_is_unavailable() {
    run(async {
        let platform = platform();
        let (node, _) = start(&platform);
        monoio::time::sleep(PEER_DISCOVERY_TIME).await;
        platform.stalls.set(1);
        platform.list_is_silent.set(true);
        assert_eq!(count_in_force(&platform, &[node]).await, 1);
    });
}

/// The platform responds for the configuration, but not for the list of upstreams.
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
        // Its reader is gone, and it reads the platform directly from now on.
        node.state.borrow_mut().reads_directly = true;
        assert_eq!(count_in_force(&platform, &[node]).await, 1);
    });
}
