//! Request and response bodies longer than what is buffered in memory.

use monoio::net::TcpStream;

use super::fake::{get, ok_response, read_to_end, run, start, write_raw, Caller, Step, Upstream};

/// Length of a body that is streamed, not buffered.
const LONG_BYTES: usize = 300_000;

fn long_body() -> String {
    (0..LONG_BYTES).map(|n| char::from(b'a' + (n % 26) as u8)).collect()
}

fn post(framing: &str) -> String {
    format!("POST /get/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nx-deadline: 3000\r\n{framing}\r\n\r\n")
}

#[test]
fn a_long_request_is_streamed() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("got it")]]);
        let entry_node = start(&[&upstream]);
        let body = long_body();
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&post(&format!("Content-Length: {LONG_BYTES}"))).await;
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

/// Guards against reusing a connection on which the rest of a request body is still due: the
/// upstream responds before it has received a long body, keeps the connection open, and would parse
/// that rest as the next request.
#[test]
fn a_connection_with_a_partial_request_is_not_reused() {
    run(async {
        let early = "HTTP/1.1 400 No\r\nx-early: 1\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nno";
        let upstream =
            Upstream::start(vec![vec![Step::Write(early.into())], vec![ok_response("two")]]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&post(&format!("Content-Length: {LONG_BYTES}"))).await;
        caller.write(&"a".repeat(100_000)).await;
        let response = caller.read().await.expect("a response");
        assert_eq!((response.status, response.body.as_str()), (400, "no"));
        assert_eq!(
            response.headers["connection"], "close",
            "the caller's body is not read to its end"
        );
        let mut other = Caller::connect(entry_node.addr).await;
        assert_eq!(other.ask(&get("/get/1", "8")).await.body, "two");
        assert_eq!(upstream.connections.get(), 2);
    });
}

/// Guards against ending a response properly that its upstream cut off after part of it was passed
/// on: the caller would take half of a page for all of it.
#[yare::parameterized(
    with_length = { "content-length: 300000\r\n\r\n", true, false },
    chunked = { "transfer-encoding: chunked\r\n\r\n493e0\r\n", true, false },
    complete = { "content-length: 300000\r\n\r\n", false, true },
    until_close = { "\r\n", false, true },
)]
fn a_long_response_looks_complete_only_if_it_is(framing: &str, cut: bool, complete: bool) {
    run(async {
        let head = format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-signature: s\r\n{framing}");
        let body = long_body();
        let sent = if cut { &body[..200_000] } else { &body };
        let script = vec![Step::Write(head), Step::Write(sent.to_owned()), Step::Close];
        let upstream = Upstream::start(vec![script]);
        let entry_node = start(&[&upstream]);
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        assert_eq!((response.status, response.complete), (200, complete));
        assert!(body.starts_with(&response.body));
        assert_eq!(response.body.len() == LONG_BYTES, complete);
    });
}

/// Guards against a caller that takes chunk sizes for a part of the body, or half of a body for all of
/// it: HTTP/1.0 has no chunks, and such a caller takes the end of the connection for that of the body.
#[yare::parameterized(
    complete = { LONG_BYTES, true, "200" },
    cut = { 200_000, false, "502" },
    longer_than_what_is_received_first = { 5 * LONG_BYTES, true, "502" },
)]
fn a_long_response_without_length_reaches_an_older_caller_whole(
    sent_bytes: usize,
    is_ended: bool,
    status: &str,
) {
    run(async {
        let head =
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";
        let body = long_body().repeat(5)[..sent_bytes].to_owned();
        let end = if is_ended { "\r\n0\r\n\r\n" } else { "" };
        let chunk = format!("{sent_bytes:x}\r\n{body}{end}");
        let script = vec![Step::Write(head.to_owned()), Step::Write(chunk), Step::Close];
        let upstream = Upstream::start(vec![script]);
        let entry_node = start(&[&upstream]);
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        write_raw(&mut stream, &get("/get/1", "7").replace("HTTP/1.1", "HTTP/1.0")).await;
        let received = read_to_end(stream).await;
        let (head, received_body) = received.split_once("\r\n\r\n").expect("a head");
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        assert!(!head.contains("transfer-encoding"), "{head}");
        assert_eq!(received_body == body, status == "200", "{} bytes", received_body.len());
    });
}
