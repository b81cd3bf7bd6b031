//! What callers are told, and what upstreams run, when sends go wrong.

use std::time::{Duration, Instant};

use super::fake::{
    answer, get, ms, post, read_to_end, refusal, run, start, up, write_raw, Act, Caller, Entered,
    Upstream,
};

fn text(text: &str) -> Act {
    Act::Write(text.to_owned())
}

#[test]
fn a_request_reaches_an_upstream_as_the_caller_sent_it() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        let got = caller
            .ask(
                "GET /get/a%20b?c=d HTTP/1.1\r\nHost: Seeds.Example:80\r\nx-id: 7\r\n\
                 x-deadline: 400\r\nx-expect: forged\r\nConnection: keep-alive, x-hop\r\n\
                 x-hop: 1\r\nx-other: 2\r\n\r\n",
            )
            .await;
        assert_eq!((got.status, got.body.as_str()), (200, "beans"));
        assert_eq!(got.headers["x-signature"], "s");
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

/// Symptom: a claim takes effect twice.
/// Sequence: an upstream runs it and its answer is lost: the connection closes, breaks off midway
/// or carries something that is no answer.
/// Cause: sending again what may have run.
#[yare::parameterized(
    closed = { vec![Act::Close] },
    cut = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 9\r\n\r\nbe"), Act::Close] },
    garbage = { vec![text("\u{1}\u{2}\u{3}"), Act::Close] },
    unsigned = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok")] },
    encoded = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok")] },
    ambiguous = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok")] },
)]
fn a_request_that_may_have_run_is_not_sent_again(script: Vec<Act>) {
    run(async {
        let first = Upstream::start(vec![script]);
        let second = Upstream::start(vec![vec![answer("again")]]);
        let entered = start(&[&first, &second]);
        let got = Caller::connect(entered.addr).await.ask(&post("7")).await;
        assert_eq!((first.runs(), second.runs()), (1, 0));
        assert_eq!(got.status, 502, "a status that promises nothing");
        assert!(!got.headers.contains_key("retry-after"));
        assert!(!got.headers.contains_key("x-signature"));
    });
}

/// Symptom: a board stays blank although another upstream could have answered.
/// Sequence: as above, with a request that may run twice.
/// Cause: giving up after the first failure.
#[yare::parameterized(
    closed = { vec![Act::Close] },
    cut = { vec![text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 9\r\n\r\nbe"), Act::Close] },
    error = { vec![text("HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n")] },
    silent = { vec![Act::Wait(ms(5_000))] },
)]
fn an_idempotent_request_is_sent_to_a_second_upstream(script: Vec<Act>) {
    run(async {
        let first = Upstream::start(vec![script]);
        let second = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start(&[&first, &second]);
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((got.status, got.body.as_str()), (200, "beans"));
        assert_eq!((first.runs(), second.runs()), (1, 1));
    });
}

/// Symptom: a caller is told 502 by the node though the upstream had answered.
/// Sequence: an upstream answers a read with an error of its own; the budget of second sends is
/// used up.
/// Cause: forgetting the answer once a second send was meant.
#[test]
fn an_upstreams_error_is_passed_on_when_no_second_send_is_allowed() {
    run(async {
        let error =
            "HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 3\r\n\r\nwhy";
        let first = Upstream::start(vec![vec![text(error)]]);
        let second = Upstream::start(vec![vec![text(error)]]);
        let entered = start(&[&first, &second]);
        while entered.node.state.borrow_mut().try_second_send(&"desk".into()) {}
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((got.status, got.body.as_str()), (500, "why"));
        assert!(got.headers.contains_key("x-signature"));
        assert_eq!(first.runs() + second.runs(), 1);
    });
}

/// Symptom: a caller is told that a request did not run though it may have.
/// Sequence: a read is overdue and hedged; the first upstream closes its connection without an
/// answer; the second one refuses.
/// Cause: telling what the last send came to, not what both did.
#[test]
fn a_hedge_that_is_refused_does_not_hide_what_the_first_send_came_to() {
    run(async {
        let first = Upstream::start(vec![vec![Act::Wait(ms(300)), Act::Close]]);
        let second = Upstream::start(vec![vec![Act::Wait(ms(120)), refusal("503 Full")]]);
        let entered = start(&[&first, &second]);
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((first.runs(), second.runs()), (1, 1));
        assert_eq!(got.status, 502);
    });
}

/// Symptom: upstreams reset connections beyond their bound.
/// Sequence: five requests at once; an upstream takes two connections from this node.
/// Cause: a connection for each request that finds none idle.
#[test]
fn a_node_keeps_to_its_share_of_an_upstreams_connections() {
    run(async {
        let upstream = Upstream::start(vec![vec![Act::Wait(ms(150)), answer("beans")]]);
        let entered = start(&[&upstream]);
        {
            let mut state = entered.node.state.borrow_mut();
            let mut table = state.table.as_deref().cloned().expect("a table");
            table.version += 1;
            let service = table.services.get_mut("desk").expect("the service");
            service.max_connections = 2;
            assert!(state.apply_table(table));
        }
        let mut callers = Vec::new();
        for id in 0..5 {
            let mut caller = Caller::connect(entered.addr).await;
            caller.write(&post(&id.to_string())).await;
            callers.push(caller);
        }
        let mut statuses = Vec::new();
        for mut caller in callers {
            statuses.push(caller.read().await.expect("an answer").status);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 503, 503, 503]);
        assert_eq!((upstream.connections.get(), upstream.runs()), (2, 2));
    });
}

/// Symptom: a claim fails although the upstream said that it did not run it.
/// Sequence: the first upstream is full, or another one has its address now.
/// Cause: treating a refusal like a lost answer.
#[yare::parameterized(
    full = { "503 Full" },
    too_many = { "429 Too Many Requests" },
    another = { "421 Misdirected Request" },
)]
fn a_refused_request_is_sent_to_another_upstream(status: &str) {
    run(async {
        let first = Upstream::start(vec![vec![refusal(status)]]);
        let second = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start(&[&first, &second]);
        let got = Caller::connect(entered.addr).await.ask(&post("7")).await;
        assert_eq!((got.status, got.body.as_str()), (200, "beans"));
        let listed = entered.node.state.borrow().pools["desk"].position(&up("u0")).is_some();
        assert_eq!(listed, !status.starts_with("421"), "gone once another has its address");
    });
}

#[test]
fn a_request_refused_everywhere_is_told_at_once_when_to_come_back() {
    run(async {
        let first = Upstream::start(vec![vec![refusal("503 Full")]]);
        let second = Upstream::start(vec![vec![refusal("503 Full")]]);
        let entered = start(&[&first, &second]);
        let asked_at = std::time::Instant::now();
        let got = Caller::connect(entered.addr).await.ask(&post("7")).await;
        assert_eq!(got.status, 503);
        let seconds: f64 = got.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(seconds > 0.0 && seconds < 0.4, "{seconds}");
        assert!(asked_at.elapsed() < ms(400));
    });
}

/// Symptom: a gardener gets another gardener's answer.
/// Sequence: an upstream sends a second answer to an earlier request, late, when the next request
/// on the connection is already waiting for its own.
/// Cause: taking whatever comes first for the answer.
#[test]
fn a_late_answer_to_another_request_reaches_nobody() {
    run(async {
        let stray =
            "HTTP/1.1 200 OK\r\nx-id: 6\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nother";
        let upstream = Upstream::start(vec![vec![answer("one")], vec![text(stray), answer("two")]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "6")).await.body, "one");
        assert_eq!(caller.ask(&post("7")).await.body, "two");
        assert_eq!(caller.ask(&post("8")).await.body, "two");
        assert_eq!(upstream.connections.get(), 2, "the connection is not used again");
    });
}

/// Symptom: as above.
/// Sequence: the second answer comes at once, behind the first, before the next request.
/// Cause: reusing a connection with bytes on it that nobody asked for.
#[test]
fn a_surplus_answer_retires_its_connection() {
    run(async {
        let twice = vec![answer("one"), answer("one")];
        let upstream = Upstream::start(vec![twice, vec![answer("two")]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "6")).await.body, "one");
        monoio::time::sleep(ms(20)).await;
        assert_eq!(caller.ask(&get("/get/1", "7")).await.body, "two");
        assert_eq!(upstream.connections.get(), 2);
    });
}

/// Symptom: upstreams work for callers that are long gone.
/// Sequence: a caller leaves while an upstream works.
/// Cause: noticing it only when the answer is written. A request that must not run twice is left
/// to end: half of a claim may be worse than all of it.
#[yare::parameterized(
    idempotent = { "/get/1", 1 },
    at_most_once = { "/post/1", 0 },
)]
fn a_caller_that_leaves_cancels_what_may_be_cancelled(path: &str, abandoned: u32) {
    run(async {
        let upstream = Upstream::start(vec![vec![Act::Wait(ms(200)), answer("late")]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&get(path, "7")).await;
        monoio::time::sleep(ms(30)).await;
        drop(caller);
        monoio::time::sleep(ms(100)).await;
        assert_eq!(upstream.abandoned.get(), abandoned);
        assert_eq!(entered.node.state.borrow().in_flight, u64::from(abandoned == 0));
        monoio::time::sleep(ms(200)).await;
        assert_eq!(entered.node.state.borrow().in_flight, 0);
    });
}

#[test]
fn a_request_without_an_answer_ends_with_its_deadline() {
    run(async {
        let upstream = Upstream::start(vec![vec![Act::Wait(ms(5_000))]]);
        let entered = start(&[&upstream]);
        let asked_at = std::time::Instant::now();
        let got = Caller::connect(entered.addr).await.ask(&post("7")).await;
        assert_eq!(got.status, 504);
        assert!(asked_at.elapsed() >= ms(490));
    });
}

#[yare::parameterized(
    no_route = { "GET /none HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\n\r\n", 404 },
    no_host = { "GET /get/1 HTTP/1.1\r\nx-id: 7\r\n\r\n", 400 },
    no_id = { "GET /get/1 HTTP/1.1\r\nHost: seeds.example\r\n\r\n", 400 },
    two_ids = { "GET /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nx-id: 8\r\n\r\n", 400 },
    too_long = { "POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nContent-Length: 99999999\r\n\r\n", 413 },
    broken_chunk = { "POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400 },
)]
fn requests_that_cannot_be_served_reach_no_upstream(request: &str, status: u16) {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start(&[&upstream]);
        assert_eq!(Caller::connect(entered.addr).await.ask(request).await.status, status);
        assert_eq!(upstream.runs(), 0);
    });
}

/// Symptom: callers are told that a route does not exist right after a node started.
/// Sequence: a request comes before the first configuration.
/// Cause: taking no configuration for one without routes.
#[test]
fn a_node_without_configuration_asks_callers_to_come_back() {
    run(async {
        let entered = start(&[]);
        entered.node.state.borrow_mut().table = None;
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!(got.status, 503);
        assert!(got.headers.contains_key("retry-after"));
    });
}

/// Symptom: an upstream runs a request that hid in the body of another.
/// Sequence: a caller pipelines a second request behind a refused one on the same connection.
/// Cause: reading on after the end of the first can no longer be told.
#[test]
fn nothing_is_read_behind_an_ambiguous_request() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start(&[&upstream]);
        let mut stream =
            monoio::net::TcpStream::connect_addr(entered.addr).await.expect("connects");
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

/// Symptom: requests fail although another upstream is idle, and the budget of second sends is
/// used up while an upstream is down.
/// Sequence: an upstream is gone and refuses connections.
/// Cause: counting a connection that was never made as a send.
#[test]
fn an_upstream_that_cannot_be_reached_costs_no_second_send() {
    run(async {
        let second = Upstream::start(vec![vec![answer("beans")]]);
        let gone = Upstream { addr: unused_addr(), ..Upstream::start(Vec::new()) };
        let entered = start(&[&gone, &second]);
        for id in 0..5 {
            let got = Caller::connect(entered.addr).await.ask(&post(&id.to_string())).await;
            assert_eq!(got.status, 200);
        }
        assert_eq!(entered.node.state.borrow().counters.second_sends, 0);
    });
}

fn unused_addr() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("bound")
}

/// Starts an entry node as if `ago` before now, which holds its configuration only after `table_after`.
fn start_without_config(upstream: &Upstream, ago: Duration, table_after: Duration) -> Entered {
    let entered = start(&[upstream]);
    let table = entered.node.state.borrow_mut().table.take();
    entered.node.state.borrow_mut().started_at = Instant::now() - ago;
    let node = entered.node.clone();
    monoio::spawn(async move {
        monoio::time::sleep(table_after).await;
        node.state.borrow_mut().table = table;
    });
    entered
}

/// Symptom: after all entry nodes lost power, callers that are there when they are back get 503,
/// and many of them have no further try.
/// Sequence: a node listens; a request comes; the configuration is read 60 ms later.
/// Cause: refusing what can be served in a moment.
#[test]
fn a_request_waits_for_a_node_that_is_just_starting() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start_without_config(&upstream, ms(0), ms(60));
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((got.status, got.body.as_str()), (200, "beans"));
    });
}

/// Symptom: after a restart of all nodes callers are refused half a second long, though each node could
/// serve them a moment later.
/// Sequence: the platform answers slowly; the configuration is read 600 ms after the start. Halfway
/// there a caller comes that has four seconds, and one that has 200 ms, whose attempt is lost before
/// the node is ready.
/// Cause: a wait of the same length for all.
#[yare::parameterized(
    with_time = { "4000", 200, ms(300), ms(600) },
    without_time = { "200", 503, ms(0), ms(150) },
)]
fn a_request_waits_for_a_starting_node_by_the_time_that_it_has(
    deadline_ms: &str,
    status: u16,
    at_least: Duration,
    at_most: Duration,
) {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start_without_config(&upstream, ms(300), ms(300));
        let asked_at = Instant::now();
        let request = get("/get/1", "7").replace("500", deadline_ms);
        let got = Caller::connect(entered.addr).await.ask(&request).await;
        let took = asked_at.elapsed();
        assert_eq!(got.status, status);
        assert!((at_least..at_most).contains(&took), "{took:?}");
    });
}

/// Symptom: callers of a node that was started during an outage wait until their deadline.
/// Sequence: a node that started a second ago holds no configuration; a request comes.
/// Cause: waiting for what may never come.
#[test]
fn a_node_that_holds_nothing_refuses_at_once() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("beans")]]);
        let entered = start(&[&upstream]);
        entered.node.state.borrow_mut().table = None;
        entered.node.state.borrow_mut().started_at = Instant::now() - ms(1_000);
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!(got.status, 503);
        assert!(got.headers.contains_key("retry-after"));
        assert_eq!(upstream.runs(), 0);
    });
}
