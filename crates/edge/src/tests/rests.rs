//! Upstreams that refuse and ask for rest.

use std::time::{Duration, Instant};

use super::callers::{ask_all, nodes};
use super::fake::{get, long_post, ms, ok_response, post, run, start, Caller, Step, Upstream};
use super::homes::{start_with_homes, table_with_homes};

/// Time in which what was sent before the word arrives.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests that an upstream may get from a node while it rests.
const MOST: usize = 2;

fn rest(seconds: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-id: {{id}}\r\nx-not-run: 1\r\n\
         retry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn prompt() -> Vec<Step> {
    vec![Step::Wait(ms(5)), ok_response("")]
}

/// Returns how many requests came between `from` and `to` after the first.
fn between(upstream: &Upstream, from: Duration, to: Duration) -> usize {
    let seen = upstream.seen.borrow();
    let first = seen.first().expect("it was asked").at;
    seen.iter().filter(|seen| (first + from..first + to).contains(&seen.at)).count()
}

/// Guards against an upstream that refuses at once and, looking empty, is sent more than any other.
#[yare::parameterized(
    by_requests_that_may_be_repeated = { |id| get("/get/1", id) },
    by_requests_that_may_not = { post },
    by_long_bodies = { long_post },
)]
fn an_upstream_that_asked_for_rest_is_left_alone(request: fn(&str) -> String) {
    run(async move {
        let resting = Upstream::start(vec![rest("2")]);
        let other = Upstream::start(vec![prompt()]);
        let nodes = nodes(&[&resting, &other]);
        let served = ask_all(&nodes[..1], request, Instant::now() + ms(3_500)).await;
        let got = between(&resting, UNDER_WAY, ms(2_000));
        assert!(got <= MOST, "{got} requests");
        assert!(resting.runs() >= 2, "it is asked again after its rest");
        assert!(served > 70, "the others are served by the other upstream: {served}");
        let counters = nodes[0].node.state.borrow().counters;
        assert!(counters.refused <= 2, "refusals known beforehand cost nobody an answer");
    });
}

/// Guards against callers who wait, or are sent back to be refused again, while all upstreams rest.
#[test]
fn callers_are_told_at_once_when_the_first_upstream_has_rested() {
    run(async {
        let (one, other) = (Upstream::start(vec![rest("3")]), Upstream::start(vec![rest("1")]));
        let entered = start(&[&one, &other]);
        let ask =
            async |id: &str| Caller::connect(entered.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.status, 503);
        let asked_at = Instant::now();
        let got = ask("2").await;
        assert!(asked_at.elapsed() < ms(50), "at once");
        let come_back = got.headers["retry-after"].to_str().expect("text").parse::<f64>();
        let come_back = come_back.expect("seconds");
        assert!((0.8..1.6).contains(&come_back), "after the shorter rest: {come_back} s");
        assert_eq!(one.runs() + other.runs(), 2);
    });
}

/// Guards against callers who come back when an upstream has rested that their requests may not go to.
#[yare::parameterized(
    outside_its_homes = { &["south"], &[] },
    in_an_evacuated_zone = { &[], &["a"] },
)]
fn callers_come_back_for_an_upstream_that_may_serve_them(homes: &[&str], evacuated: &[&str]) {
    let (homes, evacuated) =
        (homes.to_vec(), evacuated.iter().map(|zone| (*zone).into()).collect());
    run(async move {
        let (one, other) = (Upstream::start(vec![rest("1")]), Upstream::start(vec![rest("3")]));
        let entered = start_with_homes(&[&one, &other], &[]);
        let ask =
            async |id: &str| Caller::connect(entered.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.status, 503);
        {
            let state = &mut *entered.node.state.borrow_mut();
            state.apply_table(table_with_homes(3, &homes));
            state.update_evacuations(|evacuations| evacuations.adopt_snapshot(evacuated));
        }
        let got = ask("2").await;
        let come_back = got.headers["retry-after"].to_str().expect("text").parse::<f64>();
        let come_back = come_back.expect("seconds");
        assert!(come_back > 2.5, "after the rest of the other: {come_back} s");
    });
}

/// Guards against a wave at the end of a rest: one request shows first whether it is over.
#[test]
fn one_request_shows_whether_a_rest_is_over() {
    run(async {
        let slow = vec![Step::Wait(ms(200)), ok_response("")];
        let upstream = Upstream::start(vec![rest("1"), slow, prompt()]);
        let other = Upstream::start(vec![prompt()]);
        let nodes = nodes(&[&upstream, &other]);
        let until = Instant::now() + ms(2_500);
        // Callers that come all the time: each would be sent there once its rest is over.
        let (a, b) = (&nodes[..1], &nodes[..1]);
        let request = |id: &str| get("/get/1", id);
        monoio::join!(ask_all(a, request, until), ask_all(b, request, until));
        let seen = upstream.seen.borrow();
        let after: Vec<Instant> = seen.iter().skip(1).map(|seen| seen.at).collect();
        assert!(after.len() > 2, "it serves again");
        let gap = after[1] - after[0];
        assert!(
            gap >= ms(190),
            "the second came {gap:?} after the first, before that was answered"
        );
    });
}
