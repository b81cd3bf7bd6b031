//! Responses that arrive where the response to another request, or to a probe, is expected.

use std::time::Duration;

use super::fake::{
    get, incarnation, ms, ok_response, post, run, start, with_idle_connection, Caller, Step,
    Upstream,
};
use crate::probe;

/// Time that an upstream takes for a probe: its response arrives after a late copy was read.
const PROBE_TIME: Duration = Duration::from_millis(10);

/// Returns a response to a probe, which echoes no request id and is not signed.
fn probe_response(status: &str) -> Step {
    Step::Write(format!("HTTP/1.1 {status}\r\nx-load: 0,0,4\r\ncontent-length: 0\r\n\r\n"))
}

/// Returns a second copy of the response to request 1.
fn late_copy() -> Step {
    let head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-signature: s\r\n";
    Step::Write(format!("{head}content-length: 3\r\n\r\none"))
}

/// Guards against a refusal of a request that ran: the probe that verifies a connection takes a late
/// copy of an earlier response for its own, and the request takes the response to the probe.
#[yare::parameterized(unhealthy = { "503 Draining" }, healthy = { "200 OK" })]
fn a_late_copy_is_not_the_response_to_a_verifying_probe(status: &str) {
    run(async {
        let upstream = Upstream::start(vec![
            vec![ok_response("one")],
            vec![late_copy(), Step::Wait(PROBE_TIME), probe_response(status)],
            vec![ok_response("two")],
        ]);
        let entry_node = with_idle_connection(&upstream).await;
        let response = Caller::connect(entry_node.addr).await.ask(&post("2")).await;
        assert_eq!((response.status, response.body.as_str()), (200, "two"));
        assert_eq!(upstream.runs(), 3, "the request, the probe and the request");
        assert_eq!(upstream.connections.get(), 2, "the connection is not used again");
    });
}

/// Guards against the same for a probe for load reports, whose connection any request may use next.
#[test]
fn a_late_copy_is_not_the_response_to_a_probe_for_load() {
    run(async {
        let upstream = Upstream::start(vec![
            vec![ok_response("one")],
            vec![late_copy(), Step::Wait(PROBE_TIME), probe_response("503 Draining")],
        ]);
        let entry_node = with_idle_connection(&upstream).await;
        let upstreams = vec![incarnation("u0")];
        probe::probe_all(&entry_node.node, &"desk".into(), upstreams, ms(1_000)).await;
        monoio::time::sleep(2 * PROBE_TIME).await;
        assert_eq!(upstream.runs(), 2, "the request and the probe");
        assert!(!entry_node.node.conns.has_idle(&incarnation("u0")), "the connection was kept");
    });
}

/// Guards against a refusal of a request that ran: a response that echoes no id belongs to a probe
/// or to nobody.
#[yare::parameterized(
    unhealthy = { "503 Draining", &post("2") },
    healthy = { "200 OK", &post("2") },
    idempotent = { "503 Draining", &get("/get/1", "2") },
)]
fn a_response_without_an_id_is_not_that_of_a_request(status: &str, request: &str) {
    run(async {
        let upstream = Upstream::start(vec![
            vec![ok_response("one")],
            vec![probe_response(status), Step::Wait(PROBE_TIME), ok_response("two")],
            vec![ok_response("three")],
        ]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "1")).await.body, "one");
        let response = caller.ask(request).await;
        assert_eq!((response.status, response.body.as_str()), (200, "two"));
        assert_eq!(caller.ask(&get("/get/1", "3")).await.body, "three");
        assert_eq!(upstream.connections.get(), 2, "the connection is not used again");
    });
}

/// Guards against a refusal of a request that may have run: an upstream fails with a status that
/// promises callers that it has not, and does not say so itself.
#[yare::parameterized(
    timeout = { "408 Request Timeout" },
    too_many = { "429 Too Many Requests" },
    unavailable = { "503 Service Unavailable" },
)]
fn a_failure_that_may_have_run_is_not_passed_on_as_a_refusal(status: &str) {
    run(async {
        let failure = format!("HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-signature: s\r\n");
        let failure = Step::Write(format!("{failure}content-length: 0\r\n\r\n"));
        let upstream = Upstream::start(vec![vec![failure]]);
        let entry_node = start(&[&upstream]);
        let response = Caller::connect(entry_node.addr).await.ask(&post("1")).await;
        assert_eq!((response.status, upstream.runs()), (502, 1));
        assert!(!response.headers.contains_key("x-signature"), "the status is not the upstream's");
    });
}
