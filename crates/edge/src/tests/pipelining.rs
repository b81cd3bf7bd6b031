//! Callers that send further requests before the first is answered.

use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use proptest::prelude::*;

use super::fake::{
    answer, get, ms, post, read_to_end, run, start, up, write_raw, Act, Caller, Entered, Upstream,
};
use crate::state::Stopping;

/// Requests of one connection that are under way at once, at most.
const AT_ONCE: usize = 8;

/// An entry node in front of one upstream that has room for all that a test sends.
fn start_roomy(upstream: &Upstream) -> Entered {
    let entered = start(&[upstream]);
    report(&entered, 0, 100);
    entered
}

/// Has the first upstream report that it works on `running` requests, of `slots` at once.
fn report(entered: &Entered, running: u32, slots: u32) {
    let load = place::Load { running, waiting: 0, slots, slowness: 1.0 };
    let state = &mut *entered.node.state.borrow_mut();
    let pool = state.pools.get_mut("desk").expect("a pool");
    pool.record_report(&up("u0"), Some(load), Instant::now());
}

/// An answer whose body is the request's id, which must have four characters.
fn echo() -> Act {
    answer("{id}")
}

fn slow(wait: u64) -> Vec<Act> {
    vec![Act::Wait(ms(wait)), echo()]
}

async fn until(done: impl Fn() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < Duration::from_secs(3), "waited for too long");
        monoio::time::sleep(ms(5)).await;
    }
}

/// Symptom: one request in seven is late although upstreams are idle.
/// Sequence: a caller sends two requests one behind the other; the first is slow.
/// Cause: the second is read only when the first has ended.
#[test]
fn a_request_behind_a_slow_one_is_forwarded_at_once_and_answered_in_its_turn() {
    run(async {
        let upstream = Upstream::start(vec![slow(300), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        let sent_at = Instant::now();
        caller.write(&(get("/get/1", "one1") + &get("/get/2", "two2"))).await;
        until(|| upstream.runs() == 2).await;
        assert!(sent_at.elapsed() < ms(200), "{:?}", sent_at.elapsed());
        let first = caller.read().await.expect("an answer");
        let second = caller.read().await.expect("an answer");
        assert_eq!((first.body.as_str(), second.body.as_str()), ("one1", "two2"));
        assert_eq!(second.headers["x-id"], "two2");
    });
}

/// Symptom: a claim runs twice.
/// Sequence: it is sent behind another request, whose answer closes the connection; the caller
/// takes what it sent behind as not read and sends it again.
/// Cause: running it before the answers in front of it are written.
/// The other direction: a request behind a claim must see what the claim did.
#[test]
fn a_request_that_must_not_run_twice_runs_alone() {
    run(async {
        let upstream = Upstream::start(vec![slow(120), slow(120), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&(get("/get/1", "one1") + &post("two2") + &get("/get/3", "thr3"))).await;
        monoio::time::sleep(ms(60)).await;
        assert_eq!(upstream.runs(), 1, "the claim waits for the answer before it");
        assert_eq!(caller.read().await.expect("an answer").body, "one1");
        until(|| upstream.runs() == 2).await;
        monoio::time::sleep(ms(60)).await;
        assert_eq!(upstream.runs(), 2, "nothing overtakes the claim");
        assert_eq!(caller.read().await.expect("an answer").body, "two2");
        assert_eq!(caller.read().await.expect("an answer").body, "thr3");
    });
}

/// Symptom: upstreams work for callers that left.
/// Sequence: a caller sends several requests and leaves before any was answered.
/// Cause: watching the caller only while nothing of it is buffered.
#[test]
fn a_caller_that_leaves_ends_all_that_may_run_again() {
    run(async {
        let upstream = Upstream::start(vec![slow(2_000)]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        let requests: String = (1..=3).map(|n| get("/get/1", &format!("id-{n}"))).collect();
        caller.write(&requests).await;
        until(|| upstream.runs() == 3).await;
        drop(caller);
        until(|| upstream.abandoned.get() == 3).await;
        until(|| entered.node.state.borrow().counters.abandoned == 3).await;
        assert_eq!(entered.node.state.borrow().in_flight, 0);
    });
}

/// The claim is left to end, and what the caller sent behind it is never begun.
#[test]
fn a_caller_that_leaves_during_a_claim_does_not_cancel_it() {
    run(async {
        let upstream = Upstream::start(vec![slow(200)]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&(post("one1") + &get("/get/2", "two2"))).await;
        until(|| upstream.runs() == 1).await;
        drop(caller);
        until(|| entered.node.state.borrow().counters.abandoned == 1).await;
        assert_eq!((upstream.abandoned.get(), upstream.runs()), (0, 1));
        assert_eq!(entered.node.state.borrow().in_flight, 0);
    });
}

/// Symptom: a claim takes effect that its caller has given up, seconds later.
/// Sequence: all slots are busy; a claim waits at the node for one; its caller leaves; a slot is free.
/// Cause: leaving every claim to end, also one that was not sent yet.
#[test]
fn a_claim_that_waits_for_room_is_not_sent_when_its_caller_leaves() {
    run(async {
        let upstream = Upstream::start(vec![vec![echo()]]);
        let entered = start(&[&upstream]);
        report(&entered, 4, 4);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&post("one1")).await;
        monoio::time::sleep(ms(40)).await;
        assert_eq!((upstream.runs(), entered.node.state.borrow().in_flight), (0, 1), "it waits");
        drop(caller);
        monoio::time::sleep(ms(20)).await;
        report(&entered, 0, 4);
        until(|| entered.node.state.borrow().in_flight == 0).await;
        assert_eq!(upstream.runs(), 0);
        let counters = entered.node.state.borrow().counters;
        assert_eq!((counters.abandoned, counters.refused), (1, 0), "nobody was refused");
    });
}

/// Symptom: a burst of a moment is refused although upstreams are free again at once.
/// Sequence: all slots are busy when a request comes; 30 ms later one is free.
/// Cause: refusing, or queueing at one upstream, as soon as all are full.
#[test]
fn a_request_waits_for_room_at_the_node() {
    run(async {
        let upstream = Upstream::start(vec![vec![echo()]]);
        let entered = start(&[&upstream]);
        report(&entered, 4, 4);
        let mut caller = Caller::connect(entered.addr).await;
        let sent_at = Instant::now();
        caller.write(&get("/get/1", "one1")).await;
        monoio::time::sleep(ms(30)).await;
        assert_eq!(upstream.runs(), 0, "it waits");
        report(&entered, 0, 4);
        assert_eq!(caller.read().await.expect("an answer").body, "one1");
        assert!(sent_at.elapsed() < ms(120), "{:?}", sent_at.elapsed());
    });
}

/// Symptom: a request runs although its caller was told to send it elsewhere.
/// Sequence: a caller asks for the connection to be closed behind a request, and sends one more.
/// Cause: reading on behind the last request.
#[test]
fn nothing_behind_the_last_request_runs() {
    run(async {
        let upstream = Upstream::start(vec![slow(80)]);
        let entered = start_roomy(&upstream);
        let mut stream = TcpStream::connect_addr(entered.addr).await.expect("connects");
        let last = get("/get/1", "one1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        write_raw(&mut stream, &(last + &get("/get/2", "two2"))).await;
        let text = read_to_end(stream).await;
        assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
        assert!(text.contains("connection: close") && text.ends_with("one1"), "{text}");
        assert_eq!(upstream.runs(), 1);
    });
}

/// Symptom: a caller takes the refusal of its broken request for the answer to the one before.
/// Sequence: bytes that are no request come behind a request that is under way.
/// Cause: answering what is broken at once.
#[test]
fn what_is_no_request_is_answered_behind_those_before_it() {
    run(async {
        let upstream = Upstream::start(vec![slow(80)]);
        let entered = start_roomy(&upstream);
        let mut stream = TcpStream::connect_addr(entered.addr).await.expect("connects");
        let broken = "GET /get/2 HTTP/1.1\r\nno header\r\n\r\n";
        let requests = get("/get/1", "one1") + broken + &get("/get/3", "thr3");
        write_raw(&mut stream, &requests).await;
        let text = read_to_end(stream).await;
        let statuses: Vec<&str> = text.matches("HTTP/1.1 200").collect();
        assert_eq!(statuses.len(), 1, "{text}");
        let (good, bad) = (text.find("HTTP/1.1 200"), text.find("HTTP/1.1 400"));
        assert!(good.is_some() && good < bad, "{text}");
        assert_eq!(upstream.runs(), 1, "nothing behind it is read as a request");
    });
}

/// Symptom: requests that were passed on get no answer when a node stops.
/// Sequence: several are under way on one connection; the node is told to stop; the first answer
/// closes the connection.
/// Cause: asking the caller to close with whatever answer comes next.
#[test]
fn a_node_that_stops_answers_all_that_it_passed_on() {
    run(async {
        let upstream = Upstream::start(vec![slow(100), slow(200), slow(150), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut stream = TcpStream::connect_addr(entered.addr).await.expect("connects");
        let requests: String = (1..=3).map(|n| get("/get/1", &format!("id-{n}"))).collect();
        write_raw(&mut stream, &requests).await;
        until(|| upstream.runs() == 3).await;
        let now = Instant::now();
        entered.node.state.borrow_mut().stopping =
            Some(Stopping { requested_at: now, exits_at: now + Duration::from_secs(5) });
        write_raw(&mut stream, &get("/get/4", "id-4")).await;
        let text = read_to_end(stream).await;
        for id in ["id-1", "id-2", "id-3"] {
            assert!(text.contains(&format!("x-id: {id}")), "{id} was passed on: {text}");
        }
        let answers: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
        let closing = answers.iter().filter(|answer| answer.contains("connection: close"));
        assert_eq!(closing.count(), 1, "{text}");
        assert!(answers.last().is_some_and(|last| last.contains("connection: close")), "{text}");
        assert_eq!(upstream.runs(), answers.len(), "what has no answer did not run");
    });
}

/// Symptom: one caller fills a node's memory, or all slots of a small service.
/// Sequence: it sends a hundred requests without reading an answer.
/// Cause: reading ahead without a bound.
#[test]
fn only_so_many_requests_of_a_connection_are_under_way() {
    run(async {
        let upstream = Upstream::start(vec![slow(100)]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        let count = 3 * AT_ONCE;
        let long_wait = |n| get("/get/1", &format!("i{n:03}")).replace("500", "4000");
        let requests: String = (0..count).map(long_wait).collect();
        caller.write(&requests).await;
        let sent_at = Instant::now();
        until(|| upstream.runs() == AT_ONCE).await;
        assert!(sent_at.elapsed() < ms(90), "before the first was answered");
        monoio::time::sleep(ms(30)).await;
        assert_eq!(upstream.runs(), AT_ONCE);
        for n in 0..count {
            assert_eq!(caller.read().await.expect("an answer").body, format!("i{n:03}"));
        }
    });
}

/// Symptom: an upstream works on for a caller that has given up.
/// Sequence: a request waits behind a claim for 200 ms of the 500 ms that its caller waits.
/// Cause: counting its time from when it was read, not from when it arrived.
#[test]
fn time_spent_behind_another_request_counts() {
    run(async {
        let upstream = Upstream::start(vec![slow(200), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&(post("one1") + &get("/get/2", "two2"))).await;
        caller.read().await.expect("an answer");
        caller.read().await.expect("an answer");
        let seen = upstream.seen.borrow()[1].clone();
        let left_ms: u64 = seen.head.headers["x-deadline"].to_str().unwrap().parse().unwrap();
        assert!((150..=300).contains(&left_ms), "{left_ms}");
    });
}

/// Symptom: a request is answered "no answer in time" long after its route's time is over.
/// Sequence: it waits behind a claim for 150 ms of the 500 ms that it may take; its upstream hangs.
/// Cause: beginning its timeout when it is forwarded, not when it arrived.
#[test]
fn a_request_behind_a_claim_times_out_by_when_it_arrived() {
    run(async {
        let upstream = Upstream::start(vec![slow(150), slow(3_000)]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        let sent_at = Instant::now();
        caller.write(&(post("one1") + &get("/get/2", "two2"))).await;
        assert_eq!(caller.read().await.expect("an answer").status, 200);
        assert_eq!(caller.read().await.expect("an answer").status, 504);
        let took = sent_at.elapsed();
        assert!((ms(495)..ms(600)).contains(&took), "{took:?}");
    });
}

/// Symptom: an upstream works on a request that nobody waits for, and its caller is not told that it
/// may send it again.
/// Sequence: it waits behind a claim until its own time is over; then its turn comes.
/// Cause: forwarding without a look at the time left; answering what was never sent as if it
/// might have run.
#[test]
fn a_request_whose_time_passed_behind_a_claim_is_refused_unsent() {
    run(async {
        let upstream = Upstream::start(vec![slow(400), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        let short = get("/get/2", "two2").replace("500", "200");
        caller.write(&(post("one1") + &short)).await;
        assert_eq!(caller.read().await.expect("an answer").status, 200);
        let second = caller.read().await.expect("an answer");
        assert_eq!((second.status, second.headers.contains_key("retry-after")), (503, true));
        assert_eq!(upstream.runs(), 1);
    });
}

/// Symptom: an answer is cut, or mixed with another's bytes.
/// Sequence: a long answer is ready while the answer before it is not.
/// Cause: writing what is ready.
#[test]
fn a_long_answer_streams_when_its_turn_comes() {
    run(async {
        let long = "b".repeat(300 * 1024);
        let upstream = Upstream::start(vec![slow(150), vec![answer(&long)], vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut caller = Caller::connect(entered.addr).await;
        let requests = get("/get/1", "one1") + &get("/get/2", "two2") + &get("/get/3", "thr3");
        caller.write(&requests).await;
        assert_eq!(caller.read().await.expect("an answer").body, "one1");
        let second = caller.read().await.expect("an answer");
        assert!(second.whole && second.body == long, "{} bytes", second.body.len());
        assert_eq!(caller.read().await.expect("an answer").body, "thr3");
    });
}

/// A caller that waits for the word to send its body gets it behind the answers before it.
#[test]
fn the_word_to_go_on_comes_in_its_turn() {
    run(async {
        let upstream = Upstream::start(vec![slow(80), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let mut stream = TcpStream::connect_addr(entered.addr).await.expect("connects");
        let post = post("two2").replace("\r\n\r\nseed", "\r\nExpect: 100-continue\r\n\r\n");
        write_raw(&mut stream, &(get("/get/1", "one1") + &post)).await;
        monoio::time::sleep(ms(120)).await;
        let last = get("/get/3", "thr3").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        write_raw(&mut stream, &("seed".to_owned() + &last)).await;
        let text = read_to_end(stream).await;
        let places: Vec<Option<usize>> = ["one1\n", "HTTP/1.1 100", "x-id: two2", "x-id: thr3"]
            .iter()
            .map(|part| text.find(part.trim_end()))
            .collect();
        assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{text}");
    });
}

/// Symptom: a connection is closed under a request that has just been sent.
/// Sequence: answers take longer than a connection may be idle.
/// Cause: counting the time of requests under way as idle.
#[test]
fn a_connection_is_not_idle_while_something_is_under_way() {
    run(async {
        let upstream = Upstream::start(vec![slow(450), vec![echo()]]);
        let entered = start_roomy(&upstream);
        let limits = route::ClientLimits { idle_timeout: ms(1), ..Default::default() };
        let table = super::fake::table(2, limits);
        entered.node.state.borrow_mut().apply_table(table);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&get("/get/1", "one1")).await;
        assert_eq!(caller.read().await.expect("an answer").body, "one1");
        // The slack of the idle time counts from the answer.
        monoio::time::sleep(ms(250)).await;
        caller.write(&get("/get/2", "two2")).await;
        assert_eq!(caller.read().await.expect("an answer").body, "two2");
        assert!(caller.read().await.is_none(), "closed once it was idle");
    });
}

/// One request of a history: whether it may run twice, and how long it takes.
fn request() -> impl Strategy<Value = (bool, u64)> {
    (prop::bool::weighted(0.8), 0u64..25)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Whatever the order in which upstreams end their work, each caller gets its own answers in
    /// the order of its requests, none runs twice, and a claim overlaps with nothing.
    #[test]
    fn every_interleaving_gives_each_caller_its_own_answers(
        callers in prop::collection::vec(prop::collection::vec(request(), 1..14), 1..4),
    ) {
        run(async move {
            let waits = callers.iter().flatten().map(|(_, wait)| slow(*wait)).collect();
            let upstream = Upstream::start(waits);
            let entered = start_roomy(&upstream);
            let mut sent = Vec::new();
            for (c, requests) in callers.iter().enumerate() {
                let mut caller = Caller::connect(entered.addr).await;
                let ids: Vec<String> =
                    (0..requests.len()).map(|n| format!("{c}-{n:02}")).collect();
                let text: String = ids
                    .iter()
                    .zip(requests)
                    .map(|(id, (repeatable, _))| match repeatable {
                        true => get("/get/1", id).replace("500", "4000"),
                        false => post(id).replace("500", "4000"),
                    })
                    .collect();
                caller.write(&text).await;
                sent.push((caller, ids));
            }
            for (caller, ids) in &mut sent {
                for id in ids {
                    let got = caller.read().await.expect("an answer");
                    assert_eq!((got.status, &got.body), (200, &*id));
                }
            }
            let mut ran: Vec<String> = upstream.seen.borrow().iter().map(|seen| {
                seen.head.headers["x-id"].to_str().expect("text").to_owned()
            }).collect();
            let total = ran.len();
            ran.sort();
            ran.dedup();
            assert_eq!((ran.len(), total), (callers.iter().flatten().count(), ran.len()));
        });
    }
}
