//! Calls that nodes with different configs send through each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use emu::closed_port::ClosedPort;
use http::Method;
use store::proto;
use web::Handler;

use super::partitioned::{introduce, start_node};
use super::{outcome, request, upstream, upstream_config, PEER};
use crate::follow;
use crate::proxy::Node;

const SERVICE: &str = "svc";

/// Version of the template that a node with a change has; all others have version 1.
const NEWER: proto::Version = 9;

fn row(key: &str, version: proto::Version, value: &str) -> proto::Row {
    proto::Row { key: key.into(), version, value: value.to_owned(), change_id: "c".into() }
}

/// Applies a newer template of the service.
fn apply_newer_template(node: &Node) {
    let template = row(SERVICE, NEWER, "service: svc\ndefaults:\n  timeout_ms: 300\n");
    let view = &mut *node.view.borrow_mut();
    follow::apply_templates(view, proto::Rows { head: NEWER, rows: vec![template] });
}

fn apply_evacuation(node: &Node, zone: &str) {
    let key = format!("{}{zone}", store::EVACUATED_PREFIX);
    let value = serde_json::to_string(&proto::Evacuation::default()).expect("serializes");
    let rows = vec![row(&key, NEWER, &value)];
    follow::apply_drains(&mut node.view.borrow_mut(), proto::Rows { head: NEWER, rows });
}

fn template_version(node: &Node) -> proto::Version {
    node.view.borrow().config_in_force(SERVICE).version
}

/// Starts a node that reaches no upstream.
fn start_partitioned() -> (Rc<Node>, Vec<ClosedPort>) {
    let closed: Vec<ClosedPort> =
        (0..4).map(|_| ClosedPort::new().expect("a port is free")).collect();
    let addrs: Vec<SocketAddr> = closed.iter().map(ClosedPort::addr).collect();
    (start_node(&addrs).0, closed)
}

/// Makes calls to a node one after the other, until one is served or this many are not.
async fn is_served(node: &Node, calls: usize) -> bool {
    for id in 0..calls {
        let call = request(Method::GET, "/s/svc/list", &format!("c{id}"));
        if outcome(&node.handle(call, PEER).await) == "done" {
            return true;
        }
    }
    false
}

/// Guards against a call that is served through a peer by a newer template, while the node that its
/// caller knows goes on with its older one.
#[test]
fn a_node_has_the_template_by_which_a_peer_serves_its_calls() {
    web::runtime().block_on(async {
        let (reachable, _upstream) = upstream(upstream_config(5, 100));
        let (partitioned, _closed) = start_partitioned();
        let (newer, addr) = start_node(&[reachable]);
        apply_newer_template(&newer);
        introduce(&partitioned, addr);
        assert!(is_served(&partitioned, 5).await, "{:?}", newer.view.borrow().counters);
        assert_eq!(template_version(&partitioned), NEWER);
        assert_eq!(newer.view.borrow().counters.offers_outdated, 1);
    });
}

/// Guards against a node that sends calls to a zone from which a peer has kept its call.
#[test]
fn a_node_has_the_evacuations_by_which_a_peer_serves_its_calls() {
    web::runtime().block_on(async {
        let (reachable, _upstream) = upstream(upstream_config(5, 100));
        let (partitioned, _closed) = start_partitioned();
        let (newer, addr) = start_node(&[reachable]);
        apply_evacuation(&newer, "z-9");
        introduce(&partitioned, addr);
        assert!(is_served(&partitioned, 5).await, "{:?}", newer.view.borrow().counters);
        assert!(partitioned.view.borrow().is_evacuated("z-9"));
    });
}

/// Guards against a caller that is told of an unknown service, or served by an outdated template,
/// because its call went through a peer that lacks a change.
#[test]
fn a_peer_that_lacks_a_change_takes_no_calls() {
    web::runtime().block_on(async {
        let (reachable, _upstream) = upstream(upstream_config(5, 100));
        let (partitioned, _closed) = start_partitioned();
        apply_newer_template(&partitioned);
        let (older, older_addr) = start_node(&[reachable]);
        older.view.borrow_mut().templates.clear();
        let (same, same_addr) = start_node(&[reachable]);
        apply_newer_template(&same);
        introduce(&partitioned, older_addr);
        introduce(&partitioned, same_addr);
        let started_at = Instant::now();
        for _ in 0..10 {
            assert!(is_served(&partitioned, 1).await, "{:?}", older.view.borrow().counters);
            // The older peer is asked again.
            partitioned.view.borrow_mut().peer_paths = reach::Peers::default();
        }
        let counters = older.view.borrow().counters.clone();
        assert!(counters.offers_declined > 0, "{counters:?} after {:?}", started_at.elapsed());
        assert_eq!(counters.done, 0, "{counters:?}");
    });
}

/// A peer whose config is newer, and cannot be read.
struct UnreadablePeer;

impl Handler for UnreadablePeer {
    async fn handle(&self, request: web::Request, _peer: SocketAddr) -> web::Response {
        let mut response = web::reply(http::StatusCode::SERVICE_UNAVAILABLE, "busy\n");
        if request.headers().contains_key(crate::OFFER) {
            let newer = http::HeaderValue::from_static("newer");
            response.headers_mut().insert(crate::OFFER, newer);
        }
        response
    }
}

/// Guards against callers who get no response, or that of a peer which has not run their call, while
/// the newer config of that peer cannot be read and others have the same as this node.
#[test]
fn a_newer_peer_whose_config_cannot_be_read_is_passed_over() {
    web::runtime().block_on(async {
        let (reachable, _upstream) = upstream(upstream_config(5, 100));
        let (partitioned, _closed) = start_partitioned();
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        introduce(&partitioned, listener.local_addr().expect("addr"));
        monoio::spawn(web::serve(listener, Rc::new(UnreadablePeer)));
        let (_same, same_addr) = start_node(&[reachable]);
        introduce(&partitioned, same_addr);
        for _ in 0..10 {
            assert!(is_served(&partitioned, 1).await, "{:?}", partitioned.view.borrow().counters);
        }
        assert_eq!(partitioned.view.borrow().counters.caught_up, 0);
    });
}
