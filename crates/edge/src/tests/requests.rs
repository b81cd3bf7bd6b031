//! What callers receive, and what upstreams run, when sends fail.

use std::time::{Duration, Instant};

use route::ClientLimits;

use super::fake::{
    get, incarnation, ms, ok_response, post, read_to_end, refusal, run, start,
    table_with_objective, write_raw, Caller, EntryNode, Step, Upstream,
};

fn text(text: &str) -> Step {
    Step::Write(text.to_owned())
}

#[test]
fn a_request_reaches_an_upstream_as_the_caller_sent_it() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        let response = caller
            .ask(
                "GET /get/a%20b?c=d HTTP/1.1\r\nHost: Seeds.Example:80\r\nx-id: 7\r\n\
                 x-deadline: 400\r\nx-expect: forged\r\nConnection: keep-alive, x-hop\r\n\
                 x-hop: 1\r\nx-other: 2\r\n\r\n",
            )
            .await;
        assert_eq!((response.status, response.body.as_str()), (200, "beans"));
        assert_eq!(response.headers["x-signature"], "s");
        let seen = upstream.seen.borrow()[0].clone();
        assert_eq!(seen.head.target, "/get/a%20b?c=d");
        assert_eq!(seen.head.headers["host"], "Seeds.Example:80");
        assert_eq!(seen.head.headers["x-expect"], "u0");
        assert_eq!(seen.head.headers["x-other"], "2");
        assert!(!seen.head.headers.contains_key("x-hop"));
        let left_ms: u64 = seen.head.headers["x-deadline"].to_str().unwrap().parse().unwrap();
        assert!((1..400).contains(&left_ms), "{left_ms}");
    });
}

/// Guards against running a non-idempotent request twice: an upstream runs it and its response is
/// lost (the connection closes, or carries a truncated or invalid response), so it must not be sent
/// again.
#[yare::parameterized(
    closed = { vec![Step::Close] },
    truncated = {
        vec![
            text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 9\r\n\r\nbe"),
            Step::Close
        ]
    },
    garbage = { vec![text("\u{1}\u{2}\u{3}"), Step::Close] },
    unsigned = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok")] },
    encoded = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok")] },
    ambiguous = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok")] },
)]
fn a_request_that_may_have_run_is_not_sent_again(script: Vec<Step>) {
    run(async {
        let first = Upstream::start(vec![script]);
        let second = Upstream::start(vec![vec![ok_response("again")]]);
        let entry_node = start(&[&first, &second]);
        let response = Caller::connect(entry_node.addr).await.ask(&post("7")).await;
        assert_eq!((first.runs(), second.runs()), (1, 0));
        assert_eq!(response.status, 502, "a status that does not tell whether the request ran");
        assert!(!response.headers.contains_key("retry-after"));
        assert!(!response.headers.contains_key("x-signature"));
    });
}

/// Guards against giving up on an idempotent request after the first lost response or error,
/// although another upstream could answer it.
#[yare::parameterized(
    closed = { vec![Step::Close] },
    truncated = {
        vec![
            text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 9\r\n\r\nbe"),
            Step::Close
        ]
    },
    error = {
        vec![text("HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n")]
    },
    silent = { vec![Step::Wait(ms(5_000))] },
)]
fn an_idempotent_request_is_sent_to_a_second_upstream(script: Vec<Step>) {
    run(async {
        let first = Upstream::start(vec![script]);
        let second = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&first, &second]);
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((response.status, response.body.as_str()), (200, "beans"));
        assert_eq!((first.runs(), second.runs()), (1, 1));
    });
}

/// Guards against a 502 of the node in place of the upstream's own response: an upstream answers a
/// read with an error, and the retry budget is exhausted. The response must be kept while a second
/// send is attempted.
#[test]
fn an_upstreams_error_is_passed_on_when_no_second_send_is_allowed() {
    run(async {
        let error =
            "HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 3\r\n\r\nwhy";
        let first = Upstream::start(vec![vec![text(error)]]);
        let second = Upstream::start(vec![vec![text(error)]]);
        let entry_node = start(&[&first, &second]);
        while entry_node.node.state.borrow_mut().try_second_send(&"desk".into()) {}
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((response.status, response.body.as_str()), (500, "why"));
        assert!(response.headers.contains_key("x-signature"));
        assert_eq!(first.runs() + second.runs(), 1);
    });
}

/// Guards against reporting that a request did not run although it may have: it is hedged, the
/// first upstream closes its connection without a response, and the second one refuses. The reply
/// must account for both sends, not only for the last.
#[test]
fn a_refused_hedge_does_not_hide_the_outcome_of_the_first_send() {
    run(async {
        let first = Upstream::start(vec![vec![Step::Wait(ms(300)), Step::Close]]);
        let second = Upstream::start(vec![vec![Step::Wait(ms(120)), refusal("503 Full")]]);
        let entry_node = start(&[&first, &second]);
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((first.runs(), second.runs()), (1, 1));
        assert_eq!(response.status, 502);
    });
}

/// Guards against opening a connection for each request that finds no idle one: upstreams reset
/// connections beyond their limit. Here five requests come at once, and the upstream accepts two
/// connections from this node.
#[test]
fn a_node_keeps_to_its_share_of_an_upstreams_connections() {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Wait(ms(150)), ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        {
            let mut state = entry_node.node.state.borrow_mut();
            let mut table = state.table.as_deref().cloned().expect("a table");
            table.version += 1;
            let service = table.services.get_mut("desk").expect("the service");
            service.max_connections = 2;
            assert!(state.apply_table(table));
        }
        let mut callers = Vec::new();
        for id in 0..5 {
            let mut caller = Caller::connect(entry_node.addr).await;
            caller.write(&post(&id.to_string())).await;
            callers.push(caller);
        }
        let mut statuses = Vec::new();
        for mut caller in callers {
            statuses.push(caller.read().await.expect("a response").status);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 503, 503, 503]);
        assert_eq!((upstream.connections.get(), upstream.runs()), (2, 2));
    });
}

/// Guards against treating a refusal like a lost response: the first upstream is full, or another
/// one has its address now, and states that it did not run the request.
#[yare::parameterized(
    full = { "503 Full" },
    too_many = { "429 Too Many Requests" },
    another = { "421 Misdirected Request" },
)]
fn a_refused_request_is_sent_to_another_upstream(status: &str) {
    run(async {
        let first = Upstream::start(vec![vec![refusal(status)]]);
        let second = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&first, &second]);
        let response = Caller::connect(entry_node.addr).await.ask(&post("7")).await;
        assert_eq!((response.status, response.body.as_str()), (200, "beans"));
        let listed =
            entry_node.node.state.borrow().pools["desk"].position(&incarnation("u0")).is_some();
        assert_eq!(
            listed,
            !status.starts_with("421"),
            "removed once another upstream has its address"
        );
    });
}

#[test]
fn a_request_refused_everywhere_gets_a_retry_time_at_once() {
    run(async {
        let first = Upstream::start(vec![vec![refusal("503 Full")]]);
        let second = Upstream::start(vec![vec![refusal("503 Full")]]);
        let entry_node = start(&[&first, &second]);
        let sent_at = std::time::Instant::now();
        let response = Caller::connect(entry_node.addr).await.ask(&post("7")).await;
        assert_eq!(response.status, 503);
        let seconds: f64 = response.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(seconds > 0.0 && seconds < 0.4, "{seconds}");
        assert!(sent_at.elapsed() < ms(400));
    });
}

/// Guards against delivering one caller's response to another: an upstream sends a second response
/// to an earlier request late, while the next request on the connection waits for its own.
#[test]
fn a_late_response_to_another_request_is_discarded() {
    run(async {
        let stray =
            "HTTP/1.1 200 OK\r\nx-id: 6\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nother";
        let upstream =
            Upstream::start(vec![vec![ok_response("one")], vec![text(stray), ok_response("two")]]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "6")).await.body, "one");
        assert_eq!(caller.ask(&post("7")).await.body, "two");
        assert_eq!(caller.ask(&post("8")).await.body, "two");
        assert_eq!(upstream.connections.get(), 2, "the connection is not used again");
    });
}

/// Guards against delivering one caller's response to another when an upstream sends a response
/// twice, before the next request: a connection with unexpected bytes on it must not be reused.
#[test]
fn a_surplus_response_retires_its_connection() {
    run(async {
        let twice = vec![ok_response("one"), ok_response("one")];
        let upstream = Upstream::start(vec![twice, vec![ok_response("two")]]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "6")).await.body, "one");
        monoio::time::sleep(ms(20)).await;
        assert_eq!(caller.ask(&get("/get/1", "7")).await.body, "two");
        assert_eq!(upstream.connections.get(), 2);
    });
}

/// Guards against upstreams that work for callers long disconnected: the disconnect must be noticed
/// while the upstream works, not when the response is written. A non-idempotent request is left to
/// finish: half of its effect may be worse than all of it.
#[yare::parameterized(
    idempotent = { "/get/1", ms(10_000), 1 },
    at_most_once = { "/post/1", ms(200), 0 },
)]
fn a_disconnect_cancels_only_idempotent_requests(path: &str, work_time: Duration, abandoned: u32) {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Wait(work_time), ok_response("late")]]);
        let entry_node = start(&[&upstream]);
        // Neither the deadline nor the objective passes while the upstream works.
        let table = table_with_objective(2, ClientLimits::default(), 2 * ms(10_000));
        entry_node.node.state.borrow_mut().apply_table(table);
        let mut caller = Caller::connect(entry_node.addr).await;
        let sent_at = Instant::now();
        caller.write(&get(path, "7").replace("500", "20000")).await;
        while upstream.runs() == 0 {
            assert!(sent_at.elapsed() < ms(5_000), "the request was not sent");
            monoio::time::sleep(ms(5)).await;
        }
        drop(caller);
        while entry_node.node.state.borrow().in_flight > 0 {
            assert!(sent_at.elapsed() < ms(9_000), "the disconnect was not noticed");
            monoio::time::sleep(ms(5)).await;
        }
        assert!(abandoned == 1 || sent_at.elapsed() >= work_time, "it was not left to finish");
        monoio::time::sleep(ms(100)).await;
        assert_eq!(upstream.abandoned.get(), abandoned);
        assert_eq!(entry_node.node.state.borrow().counters.abandoned, 1);
    });
}

#[test]
fn a_request_without_a_response_ends_at_its_deadline() {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Wait(ms(5_000))]]);
        let entry_node = start(&[&upstream]);
        let sent_at = std::time::Instant::now();
        let response = Caller::connect(entry_node.addr).await.ask(&post("7")).await;
        assert_eq!(response.status, 504);
        assert!(sent_at.elapsed() >= ms(490));
    });
}

#[yare::parameterized(
    no_route = { "GET /none HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\n\r\n", 404 },
    no_host = { "GET /get/1 HTTP/1.1\r\nx-id: 7\r\n\r\n", 400 },
    no_id = { "GET /get/1 HTTP/1.1\r\nHost: seeds.example\r\n\r\n", 400 },
    two_ids = { "GET /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nx-id: 8\r\n\r\n", 400 },
    too_long = {
        "POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nContent-Length: 99999999\r\n\r\n",
        413
    },
    broken_chunk = { "POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400 },
)]
fn requests_that_cannot_be_served_reach_no_upstream(request: &str, status: u16) {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        assert_eq!(Caller::connect(entry_node.addr).await.ask(request).await.status, status);
        assert_eq!(upstream.runs(), 0);
    });
}

/// Guards against answering that a route does not exist before a started node has its first
/// configuration: no configuration is not a configuration without routes.
#[test]
fn a_node_without_configuration_asks_callers_to_retry() {
    run(async {
        let entry_node = start(&[]);
        entry_node.node.state.borrow_mut().table = None;
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
    });
}

/// Guards against request smuggling, where an upstream runs a request hidden in the body of
/// another: when the end of a rejected request is ambiguous, nothing after it may be parsed.
#[test]
fn nothing_is_parsed_after_an_ambiguous_request() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let mut stream =
            monoio::net::TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let both = format!(
            "POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nContent-Length: 3\r\n\
             Transfer-Encoding: chunked\r\n\r\n{}",
            get("/get/1", "8")
        );
        write_raw(&mut stream, &both).await;
        let text = read_to_end(stream).await;
        assert!(text.starts_with("HTTP/1.1 400"), "{text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
        assert_eq!(upstream.runs(), 0);
    });
}

/// Guards against counting a refused connection as a send: while an upstream is down, the retry
/// budget would be used up, and requests would fail although another upstream is idle.
#[test]
fn an_upstream_that_cannot_be_reached_costs_no_second_send() {
    run(async {
        let second = Upstream::start(vec![vec![ok_response("beans")]]);
        let closed = emu::closed_port::ClosedPort::new().expect("a port is free");
        let gone = Upstream { addr: closed.addr(), ..Upstream::start(Vec::new()) };
        let entry_node = start(&[&gone, &second]);
        for id in 0..5 {
            let response = Caller::connect(entry_node.addr).await.ask(&post(&id.to_string())).await;
            assert_eq!(response.status, 200);
        }
        assert_eq!(entry_node.node.state.borrow().counters.second_sends, 0);
    });
}

/// Starts an entry node with a start time `ago` before now, which gets its configuration after
/// `table_after`.
fn start_without_config(upstream: &Upstream, ago: Duration, table_after: Duration) -> EntryNode {
    let entry_node = start(&[upstream]);
    let table = entry_node.node.state.borrow_mut().table.take();
    entry_node.node.state.borrow_mut().started_at = Instant::now() - ago;
    let node = entry_node.node.clone();
    monoio::spawn(async move {
        monoio::time::sleep(table_after).await;
        node.state.borrow_mut().table = table;
    });
    entry_node
}

/// Guards against refusing a request that can be served a moment later: a node accepts connections,
/// and its configuration is read 60 ms after a request. After a power loss of all entry nodes, many
/// callers that got 503 had no attempt left.
#[test]
fn a_request_waits_for_a_node_that_is_just_starting() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start_without_config(&upstream, ms(0), ms(60));
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((response.status, response.body.as_str()), (200, "beans"));
    });
}

/// Guards against a wait of the same length for all callers: after a restart of all nodes, they
/// were refused for half a second. Here the configuration is read 600 ms after the start, and a
/// request comes halfway: one with a deadline of four seconds can wait, one with 200 ms cannot.
#[yare::parameterized(
    with_time = { "4000", 200, ms(300), ms(600) },
    without_time = { "200", 503, ms(0), ms(150) },
)]
fn a_request_waits_for_a_starting_node_in_proportion_to_its_deadline(
    deadline_ms: &str,
    status: u16,
    at_least: Duration,
    at_most: Duration,
) {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start_without_config(&upstream, ms(300), ms(300));
        let sent_at = Instant::now();
        let request = get("/get/1", "7").replace("500", deadline_ms);
        let response = Caller::connect(entry_node.addr).await.ask(&request).await;
        let elapsed = sent_at.elapsed();
        assert_eq!(response.status, status);
        assert!((at_least..at_most).contains(&elapsed), "{elapsed:?}");
    });
}

/// Guards against callers that wait until their deadline at a node that was started during an
/// outage of the platform: a second after its start, it still has no configuration and may never
/// get one.
#[test]
fn a_node_still_without_configuration_refuses_at_once() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        entry_node.node.state.borrow_mut().table = None;
        entry_node.node.state.borrow_mut().started_at = Instant::now() - ms(1_000);
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(upstream.runs(), 0);
    });
}
