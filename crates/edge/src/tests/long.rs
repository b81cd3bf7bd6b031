//! Bodies longer than what is kept in memory, both ways.

use super::fake::{answer, get, run, start, Act, Caller, Upstream};

/// Longer than what is received in full before it is passed on.
const LONG: usize = 300_000;

fn long_body() -> String {
    (0..LONG).map(|n| char::from(b'a' + (n % 26) as u8)).collect()
}

fn post(framing: &str) -> String {
    format!("POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nx-deadline: 3000\r\n{framing}\r\n\r\n")
}

#[test]
fn a_long_request_is_passed_on_as_it_comes() {
    run(async {
        let upstream = Upstream::start(vec![vec![answer("got it")]]);
        let entered = start(&[&upstream]);
        let body = long_body();
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&post(&format!("Content-Length: {LONG}"))).await;
        assert_eq!(caller.ask(&body).await.body, "got it");
        caller.write(&post("Transfer-Encoding: chunked")).await;
        for part in body.as_bytes().chunks(50_000) {
            let chunk = web::h1::encode_chunk(part);
            caller.write(std::str::from_utf8(&chunk).expect("text")).await;
        }
        assert_eq!(caller.ask("0\r\n\r\n").await.body, "got it");
        for seen in upstream.seen.borrow().iter() {
            assert!(seen.body == body.as_bytes(), "{} bytes", seen.body.len());
        }
        assert_eq!(upstream.runs(), 2);
    });
}

/// Symptom: an upstream takes the rest of one request for the beginning of the next.
/// Sequence: it answers before a long body is in and keeps the connection.
/// Cause: reusing a connection on which the rest of a body is still due.
#[test]
fn a_connection_with_half_a_request_on_it_is_not_used_again() {
    run(async {
        let early = "HTTP/1.1 400 No\r\nx-early: 1\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nno";
        let upstream = Upstream::start(vec![vec![Act::Write(early.into())], vec![answer("two")]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&post(&format!("Content-Length: {LONG}"))).await;
        caller.write(&"a".repeat(100_000)).await;
        let got = caller.read().await.expect("an answer");
        assert_eq!((got.status, got.body.as_str()), (400, "no"));
        assert_eq!(got.headers["connection"], "close", "the caller's body is not read to its end");
        let mut other = Caller::connect(entered.addr).await;
        assert_eq!(other.ask(&get("/get/1", "8")).await.body, "two");
        assert_eq!(upstream.connections.get(), 2);
    });
}

/// Symptom: half a page is shown as if it were all of it.
/// Sequence: an upstream breaks off a long answer of which part was passed on already.
/// Cause: ending the answer to the caller in an orderly way.
#[yare::parameterized(
    with_length = { "content-length: 300000\r\n\r\n", true, false },
    chunked = { "transfer-encoding: chunked\r\n\r\n493e0\r\n", true, false },
    complete = { "content-length: 300000\r\n\r\n", false, true },
    until_close = { "\r\n", false, true },
)]
fn a_long_answer_looks_complete_only_when_it_is(framing: &str, cut: bool, whole: bool) {
    run(async {
        let head = format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-signature: s\r\n{framing}");
        let body = long_body();
        let sent = if cut { &body[..200_000] } else { &body };
        let script = vec![Act::Write(head), Act::Write(sent.to_owned()), Act::Close];
        let upstream = Upstream::start(vec![script]);
        let entered = start(&[&upstream]);
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((got.status, got.whole), (200, whole));
        assert!(body.starts_with(&got.body));
        assert_eq!(got.body.len() == LONG, whole);
    });
}
