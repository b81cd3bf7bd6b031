//! Pipelining: callers that send further requests before the first is answered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use proptest::prelude::*;

use super::fake::{
    get, incarnation, ms, ok_response, post, read_to_end, run, start, table_with_objective,
    write_raw, Caller, EntryNode, Step, Upstream,
};

/// Maximum number of requests of one connection in flight.
const MAX_IN_FLIGHT: usize = 8;

/// Starts an entry node with one upstream that has capacity for all requests of a test.
fn start_with_capacity(upstream: &Upstream) -> EntryNode {
    let entry_node = start(&[upstream]);
    report_load(&entry_node, 0, 100);
    entry_node
}

/// Records a load report of the first upstream, with `running` requests in `slots` slots.
fn report_load(entry_node: &EntryNode, running: u32, slots: u32) {
    report_load_at(entry_node, running, slots, Instant::now());
}

/// Same as [`report_load`], as of a given time.
fn report_load_at(entry_node: &EntryNode, running: u32, slots: u32, reported_at: Instant) {
    let load = place::Load { running, waiting: 0, slots, slowness: 1.0 };
    let state = &mut *entry_node.node.state.borrow_mut();
    let pool = state.pools.get_mut("desk").expect("a pool");
    pool.record_report(&incarnation("u0"), Some(load), reported_at);
}

/// Returns a response whose body is the request's id, which must have four characters.
fn echo() -> Step {
    ok_response("{id}")
}

fn slow_echo(wait: u64) -> Vec<Step> {
    vec![Step::Wait(ms(wait)), echo()]
}

async fn wait_until(done: impl Fn() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < Duration::from_secs(3), "waited for too long");
        monoio::time::sleep(ms(5)).await;
    }
}

/// Guards against reading the second of two pipelined requests only after the first, slow one has
/// ended. One request in seven was late that way, although upstreams were idle.
#[test]
fn a_pipelined_request_is_forwarded_at_once_and_answered_in_order() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(300), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        let sent_at = Instant::now();
        caller.write(&(get("/get/1", "one1") + &get("/get/2", "two2"))).await;
        wait_until(|| upstream.runs() == 2).await;
        assert!(sent_at.elapsed() < ms(200), "{:?}", sent_at.elapsed());
        let first = caller.read().await.expect("a response");
        let second = caller.read().await.expect("a response");
        assert_eq!((first.body.as_str(), second.body.as_str()), ("one1", "two2"));
        assert_eq!(second.headers["x-id"], "two2");
    });
}

/// Guards against running a non-idempotent request before the earlier responses are written. If one
/// of these closes the connection, the caller takes the request as unread and sends it again, so it
/// runs twice. A request after a non-idempotent one waits too: it must see that one's effect.
#[test]
fn a_non_idempotent_request_runs_alone() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(120), slow_echo(120), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&(get("/get/1", "one1") + &post("two2") + &get("/get/3", "thr3"))).await;
        monoio::time::sleep(ms(60)).await;
        assert_eq!(upstream.runs(), 1, "the non-idempotent request waits for the earlier response");
        assert_eq!(caller.read().await.expect("a response").body, "one1");
        wait_until(|| upstream.runs() == 2).await;
        monoio::time::sleep(ms(60)).await;
        assert_eq!(upstream.runs(), 2, "no request overtakes it");
        assert_eq!(caller.read().await.expect("a response").body, "two2");
        assert_eq!(caller.read().await.expect("a response").body, "thr3");
    });
}

/// Guards against upstreams that work for a disconnected caller: it sends several requests and
/// disconnects before any is answered, which went unnoticed while bytes of these requests were
/// buffered.
#[test]
fn a_disconnect_cancels_all_idempotent_requests() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(2_000)]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        let requests: String = (1..=3).map(|n| get("/get/1", &format!("id-{n}"))).collect();
        caller.write(&requests).await;
        wait_until(|| upstream.runs() == 3).await;
        drop(caller);
        wait_until(|| upstream.abandoned.get() == 3).await;
        wait_until(|| entry_node.node.state.borrow().counters.abandoned == 3).await;
        assert_eq!(entry_node.node.state.borrow().in_flight, 0);
    });
}

/// The non-idempotent request is left to finish, and the request after it is never started.
#[test]
fn a_disconnect_does_not_cancel_a_non_idempotent_request() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(200)]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&(post("one1") + &get("/get/2", "two2"))).await;
        wait_until(|| upstream.runs() == 1).await;
        drop(caller);
        wait_until(|| entry_node.node.state.borrow().counters.abandoned == 1).await;
        assert_eq!((upstream.abandoned.get(), upstream.runs()), (0, 1));
        assert_eq!(entry_node.node.state.borrow().in_flight, 0);
    });
}

/// Guards against running a non-idempotent request seconds after its caller gave it up: it waits at
/// the node while all slots are busy, its caller disconnects, and then a slot becomes free. Only
/// requests that were sent are left to finish.
#[test]
fn a_waiting_non_idempotent_request_is_not_sent_after_a_disconnect() {
    const LONG_OBJECTIVE: Duration = Duration::from_secs(10);
    run(async {
        let upstream = Upstream::start(vec![vec![echo()]]);
        let entry_node = start(&[&upstream]);
        // The request waits for as long as the test takes on a slow machine: the report stays
        // fresh, and the objective is far away.
        let table = table_with_objective(2, route::ClientLimits::default(), LONG_OBJECTIVE);
        entry_node.node.state.borrow_mut().apply_table(table);
        report_load_at(&entry_node, 4, 4, Instant::now() + LONG_OBJECTIVE);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&post("one1").replace("500", "20000")).await;
        wait_until(|| entry_node.node.state.borrow().in_flight == 1).await;
        monoio::time::sleep(ms(40)).await;
        assert_eq!((upstream.runs(), entry_node.node.state.borrow().in_flight), (0, 1), "it waits");
        drop(caller);
        wait_until(|| entry_node.node.state.borrow().counters.abandoned == 1).await;
        report_load(&entry_node, 0, 4);
        wait_until(|| entry_node.node.state.borrow().in_flight == 0).await;
        monoio::time::sleep(ms(40)).await;
        assert_eq!(upstream.runs(), 0);
        let counters = entry_node.node.state.borrow().counters;
        assert_eq!((counters.abandoned, counters.refused), (1, 0), "nobody was refused");
    });
}

/// Guards against refusing a short burst, or queueing it at one upstream, as soon as all slots are
/// busy: here a slot is free 30 ms later.
#[test]
fn a_request_waits_at_the_node_for_capacity() {
    run(async {
        let upstream = Upstream::start(vec![vec![echo()]]);
        let entry_node = start(&[&upstream]);
        report_load(&entry_node, 4, 4);
        let mut caller = Caller::connect(entry_node.addr).await;
        let sent_at = Instant::now();
        caller.write(&get("/get/1", "one1")).await;
        monoio::time::sleep(ms(30)).await;
        assert_eq!(upstream.runs(), 0, "it waits");
        report_load(&entry_node, 0, 4);
        assert_eq!(caller.read().await.expect("a response").body, "one1");
        assert!(sent_at.elapsed() < ms(120), "{:?}", sent_at.elapsed());
    });
}

/// Guards against parsing further requests after one that asks for the connection to be closed.
/// Such a request would run although its caller sends it again elsewhere.
#[test]
fn nothing_after_the_last_request_runs() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(80)]);
        let entry_node = start_with_capacity(&upstream);
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let last = get("/get/1", "one1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        write_raw(&mut stream, &(last + &get("/get/2", "two2"))).await;
        let text = read_to_end(stream).await;
        assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
        assert!(text.contains("connection: close") && text.ends_with("one1"), "{text}");
        assert_eq!(upstream.runs(), 1);
    });
}

/// Guards against answering a malformed request at once while an earlier one is in flight: the
/// caller would take the error for the response to the earlier one.
#[test]
fn a_malformed_request_is_answered_after_earlier_ones() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(80)]);
        let entry_node = start_with_capacity(&upstream);
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let broken = "GET /get/2 HTTP/1.1\r\nno header\r\n\r\n";
        let requests = get("/get/1", "one1") + broken + &get("/get/3", "thr3");
        write_raw(&mut stream, &requests).await;
        let text = read_to_end(stream).await;
        let statuses: Vec<&str> = text.matches("HTTP/1.1 200").collect();
        assert_eq!(statuses.len(), 1, "{text}");
        let (good, bad) = (text.find("HTTP/1.1 200"), text.find("HTTP/1.1 400"));
        assert!(good.is_some() && good < bad, "{text}");
        assert_eq!(upstream.runs(), 1, "nothing after it is parsed as a request");
    });
}

/// Guards against a stopping node that closes a connection with the next response while more
/// requests are in flight on it: these were sent to upstreams and would get no response.
#[test]
fn a_stopping_node_answers_all_forwarded_requests() {
    run(async {
        let upstream =
            Upstream::start(vec![slow_echo(100), slow_echo(200), slow_echo(150), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let requests: String = (1..=3).map(|n| get("/get/1", &format!("id-{n}"))).collect();
        write_raw(&mut stream, &requests).await;
        wait_until(|| upstream.runs() == 3).await;
        let now = Instant::now();
        entry_node.node.state.borrow_mut().stopping =
            Some(limit::Stopping { requested_at: now, exits_at: now + Duration::from_secs(5) });
        write_raw(&mut stream, &get("/get/4", "id-4")).await;
        let text = read_to_end(stream).await;
        for id in ["id-1", "id-2", "id-3"] {
            assert!(text.contains(&format!("x-id: {id}")), "{id} was forwarded: {text}");
        }
        let responses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
        let closing = responses.iter().filter(|response| response.contains("connection: close"));
        assert_eq!(closing.count(), 1, "{text}");
        assert!(responses.last().is_some_and(|last| last.contains("connection: close")), "{text}");
        assert_eq!(upstream.runs(), responses.len(), "requests without a response did not run");
    });
}

/// Guards against unlimited reading ahead: a caller that sends many requests without reading a
/// response would fill the node's memory, or all slots of a small service.
#[test]
fn the_requests_in_flight_of_a_connection_are_limited() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(100)]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        let count = 3 * MAX_IN_FLIGHT;
        let get_with_long_deadline = |n| get("/get/1", &format!("i{n:03}")).replace("500", "4000");
        let requests: String = (0..count).map(get_with_long_deadline).collect();
        caller.write(&requests).await;
        let sent_at = Instant::now();
        wait_until(|| upstream.runs() == MAX_IN_FLIGHT).await;
        assert!(sent_at.elapsed() < ms(90), "before the first was answered");
        monoio::time::sleep(ms(30)).await;
        assert_eq!(upstream.runs(), MAX_IN_FLIGHT);
        for n in 0..count {
            assert_eq!(caller.read().await.expect("a response").body, format!("i{n:03}"));
        }
    });
}

/// Guards against the same, however slow the machine is: no response can come before the requests in
/// flight are counted.
#[test]
fn the_requests_in_flight_are_limited_while_none_is_answered() {
    const OBJECTIVE: Duration = Duration::from_secs(10);
    run(async {
        let may_answer = Rc::new(Cell::new(false));
        let upstream = Upstream::start(vec![vec![Step::WaitUntil(may_answer.clone()), echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let table = table_with_objective(2, Default::default(), OBJECTIVE);
        entry_node.node.state.borrow_mut().apply_table(table);
        let mut caller = Caller::connect(entry_node.addr).await;
        let count = 3 * MAX_IN_FLIGHT;
        let get_with_long_deadline = |n| get("/get/1", &format!("i{n:03}")).replace("500", "20000");
        let requests: String = (0..count).map(get_with_long_deadline).collect();
        caller.write(&requests).await;
        wait_until(|| upstream.runs() == MAX_IN_FLIGHT).await;
        monoio::time::sleep(ms(30)).await;
        assert_eq!(upstream.runs(), MAX_IN_FLIGHT);
        may_answer.set(true);
        for n in 0..count {
            assert_eq!(caller.read().await.expect("a response").body, format!("i{n:03}"));
        }
    });
}

/// Guards against upstreams that work for a caller that has given up: a request waits behind
/// another for 200 ms of its 500 ms deadline. The time counts from its receipt, not from when it is
/// parsed.
#[test]
fn time_spent_waiting_behind_another_request_counts() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(200), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&(post("one1") + &get("/get/2", "two2"))).await;
        caller.read().await.expect("a response");
        caller.read().await.expect("a response");
        let seen = upstream.seen.borrow()[1].clone();
        let left_ms: u64 = seen.head.headers["x-deadline"].to_str().unwrap().parse().unwrap();
        assert!((150..=300).contains(&left_ms), "{left_ms}");
    });
}

/// Guards against a timeout that starts when a request is forwarded, not when it is received: a
/// request waits behind another for 150 ms of its 500 ms, its upstream hangs, and its 504 comes
/// late.
#[test]
fn the_timeout_of_a_waiting_request_starts_when_it_is_received() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(150), slow_echo(3_000)]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        let sent_at = Instant::now();
        caller.write(&(post("one1") + &get("/get/2", "two2"))).await;
        assert_eq!(caller.read().await.expect("a response").status, 200);
        assert_eq!(caller.read().await.expect("a response").status, 504);
        let elapsed = sent_at.elapsed();
        assert!((ms(495)..ms(600)).contains(&elapsed), "{elapsed:?}");
    });
}

/// Guards against forwarding a request whose deadline passed while it waited behind another, and
/// against answering it as if it might have run: it was never sent, so its caller may retry.
#[test]
fn a_request_that_expired_while_waiting_is_refused_unsent() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(400), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        let short = get("/get/2", "two2").replace("500", "200");
        caller.write(&(post("one1") + &short)).await;
        assert_eq!(caller.read().await.expect("a response").status, 200);
        let second = caller.read().await.expect("a response");
        assert_eq!((second.status, second.headers.contains_key("retry-after")), (503, true));
        assert_eq!(upstream.runs(), 1);
    });
}

/// Guards against responses that are cut off or interleaved: a long response is ready before the
/// one that precedes it, and must not be written yet.
#[test]
fn a_long_response_is_streamed_in_order() {
    run(async {
        let long = "b".repeat(300 * 1024);
        let upstream =
            Upstream::start(vec![slow_echo(150), vec![ok_response(&long)], vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut caller = Caller::connect(entry_node.addr).await;
        let requests = get("/get/1", "one1") + &get("/get/2", "two2") + &get("/get/3", "thr3");
        caller.write(&requests).await;
        assert_eq!(caller.read().await.expect("a response").body, "one1");
        let second = caller.read().await.expect("a response");
        assert!(second.complete && second.body == long, "{} bytes", second.body.len());
        assert_eq!(caller.read().await.expect("a response").body, "thr3");
    });
}

/// A caller that waits for `100 Continue` receives it after the earlier responses.
#[test]
fn the_continue_response_is_written_in_order() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(80), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let post = post("two2").replace("\r\n\r\nseed", "\r\nExpect: 100-continue\r\n\r\n");
        write_raw(&mut stream, &(get("/get/1", "one1") + &post)).await;
        monoio::time::sleep(ms(120)).await;
        let last = get("/get/3", "thr3").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        write_raw(&mut stream, &("seed".to_owned() + &last)).await;
        let text = read_to_end(stream).await;
        let positions: Vec<Option<usize>> = ["one1\n", "HTTP/1.1 100", "x-id: two2", "x-id: thr3"]
            .iter()
            .map(|part| text.find(part.trim_end()))
            .collect();
        assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{text}");
    });
}

/// Guards against counting the time of requests in flight as idle: responses that take longer than
/// the idle timeout would have the connection closed under a request that was just sent.
#[test]
fn a_connection_is_not_idle_while_a_request_is_in_flight() {
    run(async {
        let upstream = Upstream::start(vec![slow_echo(450), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let limits = route::ClientLimits { idle_timeout: ms(1), ..Default::default() };
        let table = super::fake::table(2, limits);
        entry_node.node.state.borrow_mut().apply_table(table);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&get("/get/1", "one1")).await;
        assert_eq!(caller.read().await.expect("a response").body, "one1");
        // The slack of the idle timeout counts from the response.
        monoio::time::sleep(ms(250)).await;
        caller.write(&get("/get/2", "two2")).await;
        assert_eq!(caller.read().await.expect("a response").body, "two2");
        assert!(caller.read().await.is_none(), "closed once it was idle");
    });
}

/// Guards against the same, however slow the machine is: no deadline passes while the requests are in
/// flight.
#[test]
fn time_in_flight_is_not_idle_time() {
    const OBJECTIVE: Duration = Duration::from_secs(10);
    run(async {
        let upstream = Upstream::start(vec![slow_echo(800), vec![echo()]]);
        let entry_node = start_with_capacity(&upstream);
        let limits = route::ClientLimits { idle_timeout: ms(1), ..Default::default() };
        let table = table_with_objective(2, limits, OBJECTIVE);
        entry_node.node.state.borrow_mut().apply_table(table);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&get("/get/1", "one1").replace("500", "20000")).await;
        assert_eq!(caller.read().await.expect("a response").body, "one1");
        // Most of the idle timeout is left for a slow machine.
        monoio::time::sleep(ms(50)).await;
        caller.write(&get("/get/2", "two2").replace("500", "20000")).await;
        assert_eq!(caller.read().await.expect("a response").body, "two2");
        assert!(caller.read().await.is_none(), "closed once it was idle");
    });
}

/// Generates a request: whether it is idempotent, and how long it takes in milliseconds.
fn request() -> impl Strategy<Value = (bool, u64)> {
    (prop::bool::weighted(0.8), 0u64..25)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Whatever the order in which upstreams finish, each caller gets its own responses in the
    /// order of its requests, and no request runs twice.
    #[test]
    fn every_interleaving_gives_each_caller_its_own_responses(
        callers in prop::collection::vec(prop::collection::vec(request(), 1..14), 1..4),
    ) {
        run(async move {
            let waits = callers.iter().flatten().map(|(_, wait)| slow_echo(*wait)).collect();
            let upstream = Upstream::start(waits);
            let entry_node = start_with_capacity(&upstream);
            // On a busy machine requests may take long; none is to be refused for that.
            let table = table_with_objective(2, Default::default(), Duration::from_secs(2));
            entry_node.node.state.borrow_mut().apply_table(table);
            let mut sent = Vec::new();
            for (c, requests) in callers.iter().enumerate() {
                let mut caller = Caller::connect(entry_node.addr).await;
                let ids: Vec<String> =
                    (0..requests.len()).map(|n| format!("{c}-{n:02}")).collect();
                let text: String = ids
                    .iter()
                    .zip(requests)
                    .map(|(id, (idempotent, _))| match idempotent {
                        true => get("/get/1", id).replace("500", "4000"),
                        false => post(id).replace("500", "4000"),
                    })
                    .collect();
                caller.write(&text).await;
                sent.push((caller, ids));
            }
            for (caller, ids) in &mut sent {
                for id in ids {
                    let response = caller.read().await.expect("a response");
                    assert_eq!((response.status, &response.body), (200, &*id));
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
