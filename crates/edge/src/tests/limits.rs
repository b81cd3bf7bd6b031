//! Upstreams that name how many requests they take from all nodes together.

use std::time::{Duration, Instant};

use super::callers::{nodes, send_requests};
use super::fake::{answer, get, long_post, ms, post, run, Act, Upstream};

/// From when on an upstream that has named its limit gets no more than the bound.
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);

/// Span in which requests are counted, and what an upstream may get in it beyond its limit.
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

fn limited(per_s: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-signature: s\r\nx-limit: {per_s}\r\n\
         content-length: 0\r\n\r\n"
    ))
}

/// Returns the most requests that an upstream got within the window, from `from` on.
fn most_in_a_window(upstream: &Upstream, from: Instant) -> usize {
    let seen = upstream.seen.borrow();
    let at: Vec<Instant> = seen.iter().map(|seen| seen.at).filter(|at| *at >= from).collect();
    let in_window = |begin: Instant, at: Instant| at >= begin && at < begin + WINDOW;
    let within = |begin: Instant| at.iter().filter(|at| in_window(begin, **at)).count();
    at.iter().map(|begin| within(*begin)).max().unwrap_or(0)
}

/// Guards against a limit that nobody keeps to, or each node for itself, by any kind of request.
#[yare::parameterized(
    by_requests_that_may_be_repeated = { |id| get("/get/1", id) },
    by_requests_that_may_not = { post },
    by_long_bodies = { long_post },
)]
fn an_upstream_that_named_a_limit_gets_no_more(request: fn(&str) -> String) {
    run(async move {
        let slow = Upstream::start(vec![vec![Act::Wait(ms(5)), limited("1")]]);
        let other = Upstream::start(vec![vec![Act::Wait(ms(5)), answer("")]]);
        let nodes = nodes(&[&slow, &other]);
        let begun = Instant::now();
        let served = send_requests(&nodes, request, begun + IN_FORCE_AFTER + 2 * WINDOW).await;
        let first = slow.seen.borrow().first().expect("it is nearest to all nodes").at;
        let from = first + IN_FORCE_AFTER;
        let most = most_in_a_window(&slow, from);
        assert!(most as f64 <= OVERSHOOT * WINDOW.as_secs_f64() + SLACK, "{most} requests");
        let got = slow.seen.borrow().iter().filter(|seen| seen.at >= from).count();
        assert!(got as f64 >= WINDOW.as_secs_f64(), "half of what it takes is used: {got}");
        assert!(served > 1_000, "the others are served by the other upstream: {served}");
    });
}
