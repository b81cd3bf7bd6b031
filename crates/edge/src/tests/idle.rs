//! Connections that upstreams forget while they rest.

use std::time::Instant;

use super::fake::{answer, ms, post, run, start, up, Act, Caller, Entered, Upstream};

/// An entry node that may ask its one upstream, with one connection to it that rested.
async fn with_rested_connection(upstream: &Upstream) -> Entered {
    let entered = start(&[upstream]);
    {
        let state = &mut *entered.node.state.borrow_mut();
        state.settings.max_probes_per_upstream_per_s = 50.0;
        let load = place::Load { running: 0, waiting: 0, slots: 4, slowness: 1.0 };
        let pool = state.pools.get_mut("desk").expect("a pool");
        pool.record_report(&up("u0"), Some(load), Instant::now());
    }
    let got = Caller::connect(entered.addr).await.ask(&post("1")).await;
    assert_eq!(got.status, 200);
    monoio::time::sleep(ms(150)).await;
    entered
}

/// Symptom: a claim is answered 502 and nobody knows whether it took effect.
/// Sequence: a connection rests for a while; its upstream forgets it without a word; a claim is
/// sent on it and reset.
/// Cause: trusting the time for which the upstream said that it keeps connections.
#[test]
fn a_claim_is_not_sent_on_a_connection_that_was_forgotten() {
    run(async {
        let scripts = vec![vec![answer("one")], vec![Act::Close], vec![answer("two")]];
        let upstream = Upstream::start(scripts);
        let entered = with_rested_connection(&upstream).await;
        let (service, id) = ("desk".into(), up("u0"));
        let node = &entered.node;
        let conn = node.sure_connection(&service, &id, upstream.addr, ms(200)).await;
        assert!(!conn.expect("connects").used, "the rested connection was trusted");
        assert_eq!(upstream.connections.get(), 2);
        let seen = upstream.seen.borrow();
        assert_eq!(seen.last().expect("asked").head.target, "/healthz");
    });
}

#[test]
fn a_rested_connection_that_answers_is_used() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("one")]]);
        let entered = with_rested_connection(&upstream).await;
        let (service, id) = ("desk".into(), up("u0"));
        let node = &entered.node;
        let conn = node.sure_connection(&service, &id, upstream.addr, ms(200)).await;
        assert!(conn.expect("connects").used);
        assert_eq!((upstream.connections.get(), upstream.runs()), (1, 2));
    });
}

/// Symptom: one restart of an upstream's connections costs a request per kept connection.
/// Sequence: three connections are kept; the upstream forgets them all; requests come one by one.
/// Cause: the older ones are tried after the youngest was found dead.
#[test]
fn connections_that_rested_longer_than_a_dead_one_are_not_tried() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("one")], vec![Act::Close]]);
        let entered = with_rested_connection(&upstream).await;
        let (service, id) = ("desk".into(), up("u0"));
        let node = &entered.node;
        let more = node.conns.open(&id, upstream.addr, ms(200)).await.expect("connects");
        let rested = node.conns.take(&id).await.expect("kept");
        node.conns.put(&id, more);
        node.conns.put(&id, rested);
        monoio::time::sleep(ms(150)).await;
        let conn = node.sure_connection(&service, &id, upstream.addr, ms(200)).await;
        conn.expect("connects");
        assert_eq!(upstream.connections.get(), 3, "an older connection was used");
        assert!(!node.conns.has(&id));
    });
}
