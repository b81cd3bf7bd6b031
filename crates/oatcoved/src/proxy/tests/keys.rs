//! Calls whose team is told by a key.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use http::{HeaderValue, Method, StatusCode};
use team::{DigestText, KeyDigest};
use web::Handler;

use super::{node, outcome, request, upstream, upstream_config, PEER};

/// Returns a template in which team `north` has the key `north-key` and `south` has `south-key`.
fn template() -> String {
    let digest = |key: &str| DigestText(KeyDigest::of(key.as_bytes()));
    format!(
        "service: svc\nteams:\n  north: {{keys: [\"{}\"]}}\n  south: {{keys: [\"{}\"]}}\n",
        digest("north-key"),
        digest("south-key")
    )
}

fn call(authorization: &[&str]) -> web::Request {
    let mut call = request(Method::GET, "/s/svc/light", "k");
    for value in authorization {
        let value = HeaderValue::from_str(value).expect("valid header value");
        call.headers_mut().append(http::header::AUTHORIZATION, value);
    }
    call
}

/// Starts an upstream that responds to each request and records the headers that it was sent.
fn recording_upstream() -> (SocketAddr, Rc<RefCell<Vec<http::HeaderMap>>>) {
    struct Recorder(Rc<RefCell<Vec<http::HeaderMap>>>);
    impl web::Handler for Recorder {
        async fn handle(&self, request: web::Request, _peer: SocketAddr) -> web::Response {
            self.0.borrow_mut().push(request.headers().clone());
            web::reply(StatusCode::OK, "ok\n")
        }
    }
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr");
    let seen = Rc::<RefCell<Vec<http::HeaderMap>>>::default();
    monoio::spawn(web::serve(listener, Rc::new(Recorder(seen.clone()))));
    (addr, seen)
}

/// Guards against calls that run without a valid key.
#[yare::parameterized(
    no_key = { &[] },
    unknown_key = { &["Bearer west-key"] },
    doubled = { &["Bearer north-key", "Bearer south-key"] },
    other_scheme = { &["Basic north-key"] },
)]
fn calls_without_a_valid_key_do_not_run(authorization: &[&str]) {
    web::runtime().block_on(async {
        let (addr, seen) = recording_upstream();
        let node = node(&template(), &[addr]);
        let response = node.handle(call(authorization), PEER).await;
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
        assert_eq!(outcome(&response), "not-run");
        assert!(response.headers().contains_key(http::header::WWW_AUTHENTICATE));
        assert!(seen.borrow().is_empty());
    });
}

/// Guards against a caller that names another team than its own, and against an upstream that gets
/// to see a key.
#[test]
fn upstreams_are_told_the_team_of_the_key() {
    web::runtime().block_on(async {
        let (addr, seen) = recording_upstream();
        let node = node(&template(), &[addr]);
        let mut claim = call(&["bearer south-key"]);
        for team in ["north", "admin"] {
            claim.headers_mut().append(crate::TEAM, HeaderValue::from_static(team));
        }
        assert_eq!(outcome(&node.handle(claim, PEER).await), "done");
        let seen = seen.borrow();
        let teams: Vec<_> = seen[0].get_all(crate::TEAM).iter().collect();
        assert_eq!(teams, ["south"]);
        assert!(!seen[0].contains_key(http::header::AUTHORIZATION));
    });
}

/// Guards against a change for services whose teams have no keys: their callers name their team,
/// and credentials are for the upstream.
#[test]
fn without_keys_headers_are_passed_on() {
    web::runtime().block_on(async {
        let (addr, seen) = recording_upstream();
        let node = node("service: svc\nteams:\n  north: {}\n", &[addr]);
        let mut claim = call(&["Basic abc"]);
        claim.headers_mut().insert(crate::TEAM, HeaderValue::from_static("north"));
        assert_eq!(outcome(&node.handle(claim, PEER).await), "done");
        assert_eq!(seen.borrow()[0][http::header::AUTHORIZATION], "Basic abc");
        assert_eq!(seen.borrow()[0][crate::TEAM], "north");
    });
}

/// Guards against a revoked key that goes on working, and a new one that does not.
#[test]
fn keys_come_and_go_with_the_template() {
    web::runtime().block_on(async {
        let (addr, _) = upstream(upstream_config(1, 8));
        let node = node(&template(), &[addr]);
        let keys = ["Bearer north-key", "Bearer new-key"];
        let statuses = async || {
            let mut statuses = Vec::new();
            for key in keys {
                statuses.push(node.handle(call(&[key]), PEER).await.status().as_u16());
            }
            statuses
        };
        assert_eq!(statuses().await, [200, 401]);
        let old = DigestText(KeyDigest::of(b"north-key")).to_string();
        let new = DigestText(KeyDigest::of(b"new-key")).to_string();
        let row = store::proto::Row {
            key: "svc".into(),
            version: 2,
            value: template().replace(&old, &new),
            change_id: "c".into(),
        };
        let rows = store::proto::Rows { head: 2, rows: vec![row] };
        crate::follow::apply_templates(&mut node.view.borrow_mut(), rows);
        assert_eq!(statuses().await, [401, 200]);
    });
}
