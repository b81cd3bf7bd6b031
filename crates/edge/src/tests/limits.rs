//! Upstreams that state a limit on the rate of requests from all nodes together.

use std::time::{Duration, Instant};

use super::callers::{nodes, send_requests};
use super::fake::{get, long_post, ms, ok_response, post, run, Step, Upstream};

/// Time after the first response with a limit from which the limit must be in force.
const LIMIT_EFFECTIVE_AFTER: Duration = Duration::from_secs(3);

/// Window in which requests are counted; its maximum is `MAX_LIMIT_RATIO` times the limit, plus
/// `SLACK_REQUESTS`.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_LIMIT_RATIO: f64 = 1.5;
const SLACK_REQUESTS: f64 = 5.0;

fn limited_response(per_s: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-signature: s\r\nx-limit: {per_s}\r\n\
         content-length: 0\r\n\r\n"
    ))
}

/// Returns the maximum number of requests that an upstream received in any window from `from` on.
fn max_per_window(upstream: &Upstream, from: Instant) -> usize {
    let seen = upstream.seen.borrow();
    let at: Vec<Instant> = seen.iter().map(|seen| seen.at).filter(|at| *at >= from).collect();
    let in_window = |begin: Instant, at: Instant| at >= begin && at < begin + WINDOW;
    let within = |begin: Instant| at.iter().filter(|at| in_window(begin, **at)).count();
    at.iter().map(|begin| within(*begin)).max().unwrap_or(0)
}

/// Guards against a limit that is ignored for some kind of request, or that each node applies
/// separately instead of sharing it.
#[yare::parameterized(
    by_idempotent_requests = { |id| get("/get/1", id) },
    by_non_idempotent_requests = { post },
    by_long_bodies = { long_post },
)]
fn an_upstream_that_stated_a_limit_gets_no_more_requests(request: fn(&str) -> String) {
    run(async move {
        let limited = Upstream::start(vec![vec![Step::Wait(ms(5)), limited_response("1")]]);
        let other = Upstream::start(vec![vec![Step::Wait(ms(5)), ok_response("")]]);
        let nodes = nodes(&[&limited, &other]);
        let started_at = Instant::now();
        let served =
            send_requests(&nodes, request, started_at + LIMIT_EFFECTIVE_AFTER + 2 * WINDOW).await;
        let first = limited.seen.borrow().first().expect("it is nearest to all nodes").at;
        let from = first + LIMIT_EFFECTIVE_AFTER;
        let max = max_per_window(&limited, from);
        assert!(
            max as f64 <= MAX_LIMIT_RATIO * WINDOW.as_secs_f64() + SLACK_REQUESTS,
            "{max} requests"
        );
        let received = limited.seen.borrow().iter().filter(|seen| seen.at >= from).count();
        assert!(received as f64 >= WINDOW.as_secs_f64(), "half of the limit is used: {received}");
        assert!(served > 1_000, "the other upstream serves the remaining requests: {served}");
    });
}
