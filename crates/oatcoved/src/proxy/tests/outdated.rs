//! Calls to a node whose config may be outdated.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use lease::LastRead;
use web::Handler;

use super::{node, outcome, request, upstream, upstream_config, PEER};
use crate::view::Peer;

/// Time within which a change of the config must be in force.
const BOUND: Duration = Duration::from_secs(6);

/// Guards against a call that is handled by a config older than the bound: the process was stopped,
/// and the call arrives before its next poll is answered.
#[test]
fn a_config_older_than_the_bound_is_not_used_while_the_platform_is_polled() {
    web::runtime().block_on(async {
        let (addr, upstream) = upstream(upstream_config(5, 100));
        let node = node("service: svc\n", &[addr]);
        let ask = async || node.handle(request(Method::GET, "/s/svc/light", "k"), PEER).await;
        node.view.borrow_mut().config_lease.renew(Instant::now() - BOUND);
        let response = ask().await;
        assert_eq!((response.status().as_u16(), outcome(&response)), (503, "not-run"));
        assert!(response.headers().contains_key("retry-after"));
        assert_eq!(node.view.borrow().counters.refused_outdated, 1);

        let record = |ended: LastRead| node.view.borrow_mut().config_polls.record(ended);
        record(LastRead::TimedOut);
        assert_eq!(outcome(&ask().await), "not-run", "one failed poll shows nothing");
        record(LastRead::TimedOut);
        assert_eq!(outcome(&ask().await), "done", "the platform is unavailable");

        record(LastRead::Answered);
        let polling = async {
            monoio::time::sleep(Duration::from_millis(50)).await;
            node.view.borrow_mut().config_lease.renew(Instant::now());
        };
        let (response, ()) = monoio::join!(ask(), polling);
        assert_eq!(outcome(&response), "done", "a call waits for the poll");
        drop(upstream);
    });
}

/// Guards against calls that are handled by an outdated config for as long as polls fail, although a
/// peer that has a newer one is heard from; and against a partitioned node that refuses its callers.
#[test]
fn failed_polls_do_not_keep_a_config_in_use_that_peers_have_replaced() {
    web::runtime().block_on(async {
        let (addr, upstream) = upstream(upstream_config(5, 100));
        let node = node("service: svc\n", &[addr]);
        let ask = async || node.handle(request(Method::GET, "/s/svc/light", "k"), PEER).await;
        let peer = SocketAddr::from(([10, 0, 0, 1], 1));
        let hear_at = |heard_at: Instant| {
            let config_head = u64::MAX;
            let state = Peer { config_head, heard_at: Some(heard_at), ..Peer::default() };
            node.view.borrow_mut().peers.insert(peer, state);
        };
        node.view.borrow_mut().config_lease.renew(Instant::now() - 3 * BOUND);
        (0..2).for_each(|_| node.view.borrow_mut().config_polls.record(LastRead::TimedOut));
        hear_at(Instant::now());
        assert_eq!(outcome(&ask().await), "not-run", "the platform serves a peer");
        hear_at(Instant::now() - BOUND - Duration::from_millis(1));
        assert_eq!(outcome(&ask().await), "done", "no peer is heard from");
        drop(upstream);
    });
}
