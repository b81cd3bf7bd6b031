//! Upstreams that say in their answers that they leave, while the list says nothing.

use std::time::{Duration, Instant};

use place::{Change, Entry};

use super::callers::{ask_all, nodes};
use super::fake::{
    answer, get, long_post, ms, post, run, start, up, Act, Caller, Entered, Upstream, BORN_MS,
};

/// Time in which what was sent before the word arrives.
const UNDER_WAY: Duration = Duration::from_millis(100);

fn leaving() -> Act {
    Act::Write(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\n\
         content-length: 0\r\n\r\n"
            .to_owned(),
    )
}

/// Returns how many requests an upstream got later than the `index`-th and what was under way then.
fn after(upstream: &Upstream, index: usize) -> usize {
    let seen = upstream.seen.borrow();
    let told = seen.get(index).expect("it was asked before").at;
    seen.iter().filter(|seen| seen.at > told + UNDER_WAY).count()
}

/// Guards against a word that only counts once the platform's list repeats it.
#[yare::parameterized(
    by_requests_that_may_be_repeated = { |id| get("/get/1", id) },
    by_requests_that_may_not = { post },
    by_long_bodies = { long_post },
)]
fn an_upstream_that_said_it_leaves_gets_nothing_more(request: fn(&str) -> String) {
    run(async move {
        let one = Upstream::start(vec![vec![leaving()]]);
        let other = Upstream::start(vec![vec![Act::Wait(ms(5)), answer("")]]);
        let nodes = nodes(&[&one, &other]);
        let served = ask_all(&nodes[..1], request, Instant::now() + ms(2_500)).await;
        assert_eq!(after(&one, 0), 0);
        assert!(served > 50, "the others are served by the other upstream: {served}");
    });
}

/// Guards against a word that counts only where its answer is one for the caller.
#[yare::parameterized(
    an_error = { "500 Internal Server Error", "x-signature: s\r\ncontent-length: 0\r\n", false },
    a_refusal = { "503 Service Unavailable", "x-not-run: 1\r\ncontent-length: 0\r\n", false },
    one_that_is_not_signed = { "200 OK", "content-length: 0\r\n", false },
    one_that_breaks_off = { "200 OK", "x-signature: s\r\ncontent-length: 9\r\n", true },
    one_to_an_earlier_request = { "200 OK", "x-id: 0\r\nx-signature: s\r\ncontent-length: 0\r\n", true },
)]
fn any_answer_may_say_that_its_upstream_leaves(status: &str, headers: &str, closes: bool) {
    let id = if headers.starts_with("x-id") { "" } else { "x-id: {id}\r\n" };
    let said = Act::Write(format!("HTTP/1.1 {status}\r\n{id}x-leaving: 1\r\n{headers}\r\n"));
    run(async move {
        let script = if closes { vec![said, Act::Close] } else { vec![said] };
        let one = Upstream::start(vec![script]);
        let entered = start(&[&one]);
        Caller::connect(entered.addr).await.ask(&get("/get/1", "1")).await;
        let start = crate::start_of(&up("u0"));
        assert!(entered.node.state.borrow().backpressure.is_leaving(start, Instant::now()));
    });
}

/// Guards against the word of another upstream that has the address by now.
#[test]
fn an_answer_of_another_upstream_says_nothing_of_this_one() {
    run(async {
        let one = Upstream::start(vec![vec![Act::Write(
            "HTTP/1.1 421 Misdirected Request\r\nx-id: {id}\r\nx-leaving: 1\r\n\
             content-length: 0\r\n\r\n"
                .to_owned(),
        )]]);
        let entered = start(&[&one]);
        Caller::connect(entered.addr).await.ask(&get("/get/1", "1")).await;
        assert!(entered.node.state.borrow().backpressure.is_empty());
    });
}

/// Guards against a hedge to an upstream that leaves.
#[test]
fn a_hedge_does_not_go_to_an_upstream_that_said_it_leaves() {
    run(async {
        // Near and slow: what is overdue there is sent to the other one too.
        let near = Upstream::start(vec![vec![Act::Wait(ms(350)), answer("")]]);
        let other = Upstream::start(vec![vec![leaving()]]);
        let entered = start(&[&near, &other]);
        for id in 0..12 {
            Caller::connect(entered.addr).await.ask(&get("/get/1", &id.to_string())).await;
        }
        assert_eq!(after(&other, 0), 0);
        assert!(near.runs() > 2, "the near one is asked again and again");
    });
}

fn list(entered: &Entered, upstream: &Upstream, born_ms: u64) {
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
    entered.node.state.borrow_mut().apply_change(&Change::Put(entry), Instant::now());
}

/// Guards against an entry that lapses and comes back, as after an outage or from an older copy of the
/// store, and against a word that binds the next start.
#[test]
fn a_word_outlasts_the_entry_and_ends_with_the_start() {
    run(async {
        let one = Upstream::start(vec![vec![leaving()]]);
        let entered = start(&[&one]);
        let ask =
            async |id: &str| Caller::connect(entered.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.status, 200);
        let drop = Change::Drop {
            service: "desk".into(),
            upstream: up("u0"),
            addr: one.addr,
            reason: "unlisted",
        };
        entered.node.state.borrow_mut().apply_change(&drop, Instant::now());
        list(&entered, &one, BORN_MS);
        let asked_at = Instant::now();
        assert_eq!(ask("2").await.status, 503);
        assert!(asked_at.elapsed() < ms(50), "at once: there is no other upstream");
        list(&entered, &one, BORN_MS + 1);
        assert_eq!(ask("3").await.status, 200);
    });
}

/// Guards against taking requests for the cause of an end that was planned.
#[test]
fn an_end_that_was_announced_is_no_evidence() {
    run(async {
        let one = Upstream::start(vec![vec![leaving()]]);
        let entered = start(&[&one]);
        Caller::connect(entered.addr).await.ask(&get("/get/1", "1")).await;
        let lost = quarantine::LostRequest {
            content: quarantine::ContentKey::of([b"/get/1".as_slice()]),
            known: quarantine::FindingVersion::default(),
            ran_ms: 5,
        };
        let start = crate::start_of(&up("u0"));
        let now = Instant::now();
        entered.node.state.borrow_mut().crash_detector.record_lost_response(start, lost, now);
        entered.node.has_ended(&up("u0"));
        assert!(entered.node.state.borrow().quarantine.findings().is_empty());
    });
}
