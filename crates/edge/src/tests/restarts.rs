//! Upstreams that start again under their ids, as the request path meets them.

use std::time::Instant;

use place::{Event, Incarnation};

use super::fake::{
    get, incarnation, ms, ok_response, post, run, start, Caller, EntryNode, Step, Upstream, BORN_MS,
};
use crate::follow;

/// The upstream `u0` starts again at `addr`, as the platform's list tells.
fn restart(entered: &EntryNode, addr: std::net::SocketAddr) -> Incarnation {
    let listed: Vec<place::Entry> = entered.node.state.borrow().roster.entries().cloned().collect();
    let mut entry = listed.into_iter().find(|entry| entry.id == "u0").expect("listed");
    (entry.born_ms, entry.addr) = (BORN_MS + 700, addr);
    let later = entry.incarnation();
    follow::apply_upstreams(&entered.node, vec![Event::Put(entry)], Instant::now());
    later
}

/// Symptom: a request fails that could have been served.
/// Sequence: an upstream starts again under its id; a connection to its earlier start is kept.
/// Cause: taking connections for those of the upstream, whichever start it is.
#[test]
fn connections_to_an_earlier_start_are_not_used() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "1")).await.status, 200);
        let later = restart(&entered, upstream.addr);
        assert!(!entered.node.conns.has(&incarnation("u0")) && !entered.node.conns.has(&later));
        assert_eq!(caller.ask(&get("/get/1", "2")).await.status, 200);
        assert_eq!(upstream.connections.get(), 2);
        assert!(entered.node.conns.has(&later));
    });
}

/// Symptom: a claim runs twice, or an upstream that has just started is taken to be failing.
/// Sequence: a claim is under way at an upstream that crashes and starts again under its id; the
/// connection to the earlier start breaks only afterwards.
/// Cause: taking the later start for the one that was asked.
#[test]
fn what_was_under_way_at_an_earlier_start_neither_runs_again_nor_counts_against_the_later() {
    run(async {
        let earlier = Upstream::start(vec![vec![Step::Wait(ms(150)), Step::Close]]);
        let later = Upstream::start(vec![vec![ok_response("again")]]);
        let entered = start(&[&earlier]);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&post("1")).await;
        monoio::time::sleep(ms(50)).await;
        let incarnation = restart(&entered, later.addr);
        let got = caller.read().await.expect("an answer");
        assert_eq!(got.status, 502, "it may have run");
        assert_eq!((earlier.runs(), later.runs()), (1, 0));
        let state = entered.node.state.borrow();
        let pool = &state.pools["desk"];
        let upstream = &pool.upstreams()[pool.position(&incarnation).expect("listed")];
        assert_eq!((upstream.outstanding, upstream.is_ejected(Instant::now())), (0, false));
    });
}

/// A request crashes its upstream again and again, and none of the crashes counts: the process is back
/// under its id, at its address, before a connection could be refused. The list tells of the new start.
#[test]
fn an_upstream_that_is_back_at_once_has_crashed_all_the_same() {
    run(async {
        let earlier = Upstream::start(vec![vec![Step::Wait(ms(20)), Step::Close]]);
        let entered = start(&[&earlier]);
        let mut caller = Caller::connect(entered.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "1")).await.status, 502);
        let knows_any = || !entered.node.state.borrow().quarantine.is_empty();
        assert!(!knows_any(), "connections are taken");
        restart(&entered, earlier.addr);
        assert!(knows_any());
    });
}
