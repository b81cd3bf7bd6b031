//! Upstreams that refuse requests and state a backoff with `Retry-After`.

use std::time::{Duration, Instant};

use super::allowed_regions::{start_with_regions, table_with_regions};
use super::callers::{nodes, send_requests};
use super::fake::{get, long_post, ms, ok_response, post, run, start, Caller, Step, Upstream};

/// Time after the first response in which requests sent before it still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Requests that an upstream may get from a node during its backoff.
const MAX_REQUESTS_DURING_BACKOFF: usize = 2;

fn refuse_for(seconds: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-id: {{id}}\r\nx-not-run: 1\r\n\
         retry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn respond() -> Vec<Step> {
    vec![Step::Wait(ms(5)), ok_response("")]
}

/// Returns how many requests an upstream received between `from` and `to` after its first.
fn received_between(upstream: &Upstream, from: Duration, to: Duration) -> usize {
    let seen = upstream.seen.borrow();
    let first = seen.first().expect("a first request").at;
    seen.iter().filter(|seen| (first + from..first + to).contains(&seen.at)).count()
}

/// Guards against an upstream that refuses requests at once, therefore looks idle, and gets the
/// most of them.
#[yare::parameterized(
    idempotent_requests = { |id| get("/get/1", id) },
    non_idempotent_requests = { post },
    streamed_bodies = { long_post },
)]
fn an_upstream_in_backoff_gets_no_requests(request: fn(&str) -> String) {
    run(async move {
        let backing_off = Upstream::start(vec![refuse_for("2")]);
        let other = Upstream::start(vec![respond()]);
        let nodes = nodes(&[&backing_off, &other]);
        let served = send_requests(&nodes[..1], request, Instant::now() + ms(3_500)).await;
        let received = received_between(&backing_off, IN_FLIGHT_TIME, ms(2_000));
        assert!(received <= MAX_REQUESTS_DURING_BACKOFF, "{received} requests");
        assert!(backing_off.runs() >= 2, "it gets requests again after its backoff");
        assert!(served > 70, "the others are served by the other upstream: {served}");
        let counters = nodes[0].node.state.borrow().counters;
        assert!(counters.refused <= 2, "no request is refused because of a known backoff");
    });
}

/// Guards against callers who wait, or retry only to be refused again, while all upstreams are in
/// backoff.
#[test]
fn callers_are_told_at_once_when_the_first_backoff_ends() {
    run(async {
        let (one, other) =
            (Upstream::start(vec![refuse_for("3")]), Upstream::start(vec![refuse_for("1")]));
        let entry_node = start(&[&one, &other]);
        let ask =
            async |id: &str| Caller::connect(entry_node.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.status, 503);
        let sent_at = Instant::now();
        let response = ask("2").await;
        assert!(sent_at.elapsed() < ms(50), "at once");
        let retry_after = response.headers["retry-after"].to_str().expect("text").parse::<f64>();
        let retry_after = retry_after.expect("seconds");
        assert!((0.8..1.6).contains(&retry_after), "after the shorter backoff: {retry_after} s");
        assert_eq!(one.runs() + other.runs(), 2);
    });
}

/// Guards against callers who are told to retry at the end of the backoff of an upstream that their
/// requests may not go to.
#[yare::parameterized(
    outside_its_allowed_regions = { &["south"], &[] },
    in_an_evacuated_zone = { &[], &["a"] },
)]
fn callers_retry_when_an_upstream_that_may_serve_them_is_available(
    allowed_regions: &[&str],
    evacuated: &[&str],
) {
    let (allowed_regions, evacuated) =
        (allowed_regions.to_vec(), evacuated.iter().map(|zone| (*zone).into()).collect());
    run(async move {
        let (one, other) =
            (Upstream::start(vec![refuse_for("1")]), Upstream::start(vec![refuse_for("3")]));
        let entry_node = start_with_regions(&[&one, &other], &[]);
        let ask =
            async |id: &str| Caller::connect(entry_node.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.status, 503);
        {
            let state = &mut *entry_node.node.state.borrow_mut();
            state.apply_table(table_with_regions(3, &allowed_regions));
            state.update_evacuations(|evacuations| evacuations.adopt_snapshot(evacuated));
        }
        let response = ask("2").await;
        let retry_after = response.headers["retry-after"].to_str().expect("text").parse::<f64>();
        let retry_after = retry_after.expect("seconds");
        assert!(retry_after > 2.5, "after the backoff of the other: {retry_after} s");
    });
}

/// Guards against a burst at the end of a backoff: a single request first shows whether the
/// upstream serves again.
#[test]
fn one_request_shows_whether_a_backoff_is_over() {
    run(async {
        let slow = vec![Step::Wait(ms(200)), ok_response("")];
        let upstream = Upstream::start(vec![refuse_for("1"), slow, respond()]);
        let other = Upstream::start(vec![respond()]);
        let nodes = nodes(&[&upstream, &other]);
        let ends_at = Instant::now() + ms(2_500);
        // Continuous callers: each request would be sent there once the backoff is over.
        let (a, b) = (&nodes[..1], &nodes[..1]);
        let request = |id: &str| get("/get/1", id);
        monoio::join!(send_requests(a, request, ends_at), send_requests(b, request, ends_at));
        let seen = upstream.seen.borrow();
        let after_backoff: Vec<Instant> = seen.iter().skip(1).map(|seen| seen.at).collect();
        assert!(after_backoff.len() > 2, "it serves again");
        let gap = after_backoff[1] - after_backoff[0];
        assert!(
            gap >= ms(190),
            "the second came {gap:?} after the first, before that was answered"
        );
    });
}
