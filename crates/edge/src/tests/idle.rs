//! Idle connections that upstreams drop without closing them.

use super::fake::{incarnation, ms, ok_response, run, with_idle_connection, Step, Upstream};

/// Guards against sending a non-idempotent request on an idle connection that its upstream dropped
/// silently, earlier than its keep-alive timeout: it is reset and answered 502, and the caller
/// cannot tell whether it took effect.
#[test]
fn a_non_idempotent_request_is_not_sent_on_a_dropped_connection() {
    run(async {
        let scripts = vec![vec![ok_response("one")], vec![Step::Close], vec![ok_response("two")]];
        let upstream = Upstream::start(scripts);
        let entry_node = with_idle_connection(&upstream).await;
        let (service, id) = ("desk".into(), incarnation("u0"));
        let node = &entry_node.node;
        let conn = node.verified_connection(&service, &id, upstream.addr, ms(200)).await;
        assert!(!conn.expect("connects").used, "the idle connection was used unverified");
        assert_eq!(upstream.connections.get(), 2);
        let seen = upstream.seen.borrow();
        assert_eq!(seen.last().expect("the upstream received a probe").head.target, "/healthz");
    });
}

#[test]
fn a_verified_idle_connection_is_used() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("one")]]);
        let entry_node = with_idle_connection(&upstream).await;
        let (service, id) = ("desk".into(), incarnation("u0"));
        let node = &entry_node.node;
        let conn = node.verified_connection(&service, &id, upstream.addr, ms(200)).await;
        assert!(conn.expect("connects").used);
        assert_eq!((upstream.connections.get(), upstream.runs()), (1, 2));
    });
}

/// Guards against losing a request per pooled connection when an upstream drops them all: once the
/// youngest is found dead, the older ones must not be tried.
#[test]
fn connections_idle_for_longer_than_a_dead_one_are_not_tried() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("one")], vec![Step::Close]]);
        let entry_node = with_idle_connection(&upstream).await;
        let (service, id) = ("desk".into(), incarnation("u0"));
        let node = &entry_node.node;
        let new = node.conns.open(&id, upstream.addr, ms(200)).await.expect("connects");
        let idle = node.conns.take(&id).await.expect("kept");
        node.conns.put(&id, new);
        node.conns.put(&id, idle);
        monoio::time::sleep(ms(150)).await;
        let conn = node.verified_connection(&service, &id, upstream.addr, ms(200)).await;
        conn.expect("connects");
        assert_eq!(upstream.connections.get(), 3, "an older connection was used");
        assert!(!node.conns.has_idle(&id));
    });
}
