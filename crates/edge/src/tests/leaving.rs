//! Upstreams that state in their responses that they are leaving, before the platform's list does.

use std::time::{Duration, Instant};

use place::{Change, Entry};

use super::callers::{nodes, send_requests};
use super::fake::{
    get, incarnation, long_post, ms, ok_response, post, run, start, Caller, EntryNode, Step,
    Upstream, BORN_MS,
};

/// Time in which requests sent before the statement still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(100);

fn leaving_response() -> Step {
    Step::Write(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\n\
         content-length: 0\r\n\r\n"
            .to_owned(),
    )
}

/// Returns how many requests an upstream received after the `index`-th, without those that were in
/// flight at that time.
fn received_after(upstream: &Upstream, index: usize) -> usize {
    let seen = upstream.seen.borrow();
    let stated_at = seen.get(index).expect("the upstream received a request").at;
    seen.iter().filter(|seen| seen.at > stated_at + IN_FLIGHT_TIME).count()
}

/// Guards against a statement that has no effect until the platform's list repeats it.
#[yare::parameterized(
    by_idempotent_requests = { |id| get("/get/1", id) },
    by_non_idempotent_requests = { post },
    by_long_bodies = { long_post },
)]
fn an_upstream_that_stated_it_is_leaving_gets_no_more_requests(request: fn(&str) -> String) {
    run(async move {
        let one = Upstream::start(vec![vec![leaving_response()]]);
        let other = Upstream::start(vec![vec![Step::Wait(ms(5)), ok_response("")]]);
        let nodes = nodes(&[&one, &other]);
        let served = send_requests(&nodes[..1], request, Instant::now() + ms(2_500)).await;
        assert_eq!(received_after(&one, 0), 0);
        assert!(served > 50, "the other upstream serves the remaining requests: {served}");
    });
}

/// Guards against statements that count only in responses which are passed on to the caller.
#[yare::parameterized(
    an_error = { "500 Internal Server Error", "x-signature: s\r\ncontent-length: 0\r\n", false },
    a_refusal = { "503 Service Unavailable", "x-not-run: 1\r\ncontent-length: 0\r\n", false },
    unsigned = { "200 OK", "content-length: 0\r\n", false },
    truncated = { "200 OK", "x-signature: s\r\ncontent-length: 9\r\n", true },
    to_an_earlier_request = {
        "200 OK", "x-id: 0\r\nx-signature: s\r\ncontent-length: 0\r\n", true
    },
)]
fn any_response_may_state_that_its_upstream_is_leaving(status: &str, headers: &str, closes: bool) {
    let id = if headers.starts_with("x-id") { "" } else { "x-id: {id}\r\n" };
    let statement = Step::Write(format!("HTTP/1.1 {status}\r\n{id}x-leaving: 1\r\n{headers}\r\n"));
    run(async move {
        let script = if closes { vec![statement, Step::Close] } else { vec![statement] };
        let one = Upstream::start(vec![script]);
        let entry_node = start(&[&one]);
        Caller::connect(entry_node.addr).await.ask(&get("/get/1", "1")).await;
        let start = crate::start_of(&incarnation("u0"));
        assert!(entry_node.node.state.borrow().backpressure.is_leaving(start, Instant::now()));
    });
}

/// Guards against applying the statement of another upstream that has the address now.
#[test]
fn a_response_of_another_upstream_does_not_count() {
    run(async {
        let one = Upstream::start(vec![vec![Step::Write(
            "HTTP/1.1 421 Misdirected Request\r\nx-id: {id}\r\nx-leaving: 1\r\n\
             content-length: 0\r\n\r\n"
                .to_owned(),
        )]]);
        let entry_node = start(&[&one]);
        Caller::connect(entry_node.addr).await.ask(&get("/get/1", "1")).await;
        assert!(entry_node.node.state.borrow().backpressure.is_empty());
    });
}

/// Guards against hedges to an upstream that is leaving.
#[test]
fn no_hedge_goes_to_an_upstream_that_stated_it_is_leaving() {
    run(async {
        // In the node's own zone and slow: its requests are hedged to the other upstream.
        let same_zone = Upstream::start(vec![vec![Step::Wait(ms(350)), ok_response("")]]);
        let other = Upstream::start(vec![vec![leaving_response()]]);
        let entry_node = start(&[&same_zone, &other]);
        for id in 0..12 {
            Caller::connect(entry_node.addr).await.ask(&get("/get/1", &id.to_string())).await;
        }
        assert_eq!(received_after(&other, 0), 0);
        assert!(same_zone.runs() > 2, "the upstream in the own zone keeps getting requests");
    });
}

fn list(entry_node: &EntryNode, upstream: &Upstream, born_ms: u64) {
    let entry = Entry {
        id: "u0".into(),
        born_ms,
        service: "desk".into(),
        addr: upstream.addr,
        zone: "a".into(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
    };
    entry_node.node.state.borrow_mut().apply_change(&Change::Put(entry), Instant::now());
}

/// Guards against losing a statement when the upstream's entry is removed and listed again, as
/// after an outage or a rollback of the store, and against applying it to the upstream's next
/// incarnation.
#[test]
fn a_statement_outlasts_the_entry_and_ends_with_the_incarnation() {
    run(async {
        let one = Upstream::start(vec![vec![leaving_response()]]);
        let entry_node = start(&[&one]);
        let ask =
            async |id: &str| Caller::connect(entry_node.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.status, 200);
        let drop = Change::Drop {
            service: "desk".into(),
            upstream: incarnation("u0"),
            addr: one.addr,
            reason: "unlisted",
        };
        entry_node.node.state.borrow_mut().apply_change(&drop, Instant::now());
        list(&entry_node, &one, BORN_MS);
        let sent_at = Instant::now();
        assert_eq!(ask("2").await.status, 503);
        assert!(sent_at.elapsed() < ms(50), "refused at once: there is no other upstream");
        list(&entry_node, &one, BORN_MS + 1);
        assert_eq!(ask("3").await.status, 200);
    });
}

/// Guards against blaming requests for an end of their upstream that was announced.
#[test]
fn an_announced_end_is_not_a_crash() {
    run(async {
        let one = Upstream::start(vec![vec![leaving_response()]]);
        let entry_node = start(&[&one]);
        Caller::connect(entry_node.addr).await.ask(&get("/get/1", "1")).await;
        let lost = quarantine::LostRequest {
            content: quarantine::ContentKey::of([b"/get/1".as_slice()]),
            known: quarantine::FindingVersion::default(),
            ran_ms: 5,
        };
        let start = crate::start_of(&incarnation("u0"));
        let now = Instant::now();
        entry_node.node.state.borrow_mut().crash_detector.record_lost_response(start, lost, now);
        entry_node.node.record_upstream_ended(&incarnation("u0"));
        assert!(entry_node.node.state.borrow().quarantine.findings().is_empty());
    });
}
