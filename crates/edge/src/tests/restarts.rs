//! Requests while upstreams are restarted under the same id.

use std::time::Instant;

use place::{Event, Incarnation};

use super::fake::{
    get, incarnation, ms, ok_response, post, run, start, Caller, EntryNode, Step, Upstream, BORN_MS,
};
use crate::follow;

/// Restarts the upstream `u0` at `addr`, as the platform's list reports it.
fn restart(entry_node: &EntryNode, addr: std::net::SocketAddr) -> Incarnation {
    let listed: Vec<place::Entry> =
        entry_node.node.state.borrow().roster.entries().cloned().collect();
    let mut entry = listed.into_iter().find(|entry| entry.id == "u0").expect("listed");
    (entry.born_ms, entry.addr) = (BORN_MS + 700, addr);
    let later = entry.incarnation();
    follow::apply_upstreams(&entry_node.node, vec![Event::Put(entry)], Instant::now());
    later
}

/// Guards against a request that fails over a connection to an earlier incarnation of its upstream:
/// the upstream was restarted under its id, and a connection belongs to one incarnation only.
#[test]
fn connections_to_an_earlier_incarnation_are_not_used() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "1")).await.status, 200);
        let later = restart(&entry_node, upstream.addr);
        assert!(
            !entry_node.node.conns.has_idle(&incarnation("u0"))
                && !entry_node.node.conns.has_idle(&later)
        );
        assert_eq!(caller.ask(&get("/get/1", "2")).await.status, 200);
        assert_eq!(upstream.connections.get(), 2);
        assert!(entry_node.node.conns.has_idle(&later));
    });
}

/// Guards against a claim that runs twice, and against an upstream that has just started and is
/// considered failing. A claim is in flight at an upstream that crashes and is restarted under its
/// id; the connection to the earlier incarnation breaks only afterwards. The later one must not
/// be taken for it.
#[test]
fn requests_to_an_earlier_incarnation_are_neither_retried_nor_counted_against_the_later() {
    run(async {
        let earlier = Upstream::start(vec![vec![Step::Wait(ms(150)), Step::Close]]);
        let later = Upstream::start(vec![vec![ok_response("again")]]);
        let entry_node = start(&[&earlier]);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&post("1")).await;
        monoio::time::sleep(ms(50)).await;
        let incarnation = restart(&entry_node, later.addr);
        let response = caller.read().await.expect("a response");
        assert_eq!(response.status, 502, "it may have run");
        assert_eq!((earlier.runs(), later.runs()), (1, 0));
        let state = entry_node.node.state.borrow();
        let pool = &state.pools["desk"];
        let upstream = &pool.upstreams()[pool.position(&incarnation).expect("listed")];
        assert_eq!((upstream.outstanding, upstream.is_ejected(Instant::now())), (0, false));
    });
}

/// Guards against a request that crashes its upstream again and again without a crash being
/// counted: the process is back under its id and address before a connection could be refused. The
/// list reports the new start time.
#[test]
fn a_crash_counts_even_if_the_upstream_is_back_at_once() {
    run(async {
        let earlier = Upstream::start(vec![vec![Step::Wait(ms(20)), Step::Close]]);
        let entry_node = start(&[&earlier]);
        let mut caller = Caller::connect(entry_node.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "1")).await.status, 502);
        let has_findings = || !entry_node.node.state.borrow().quarantine.is_empty();
        assert!(!has_findings(), "connections are still accepted");
        restart(&entry_node, earlier.addr);
        assert!(has_findings());
    });
}
