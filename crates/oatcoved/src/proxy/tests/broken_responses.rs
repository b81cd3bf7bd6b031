//! Upstreams that break responses off, or send malformed ones.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use web::Handler;

use super::{node, outcome, request, scripted_upstream, PEER};

/// Length of an upload, and of the part of it that the upstream reads.
const UPLOAD_BYTES: usize = 3_000_000;
const READ_BYTES: usize = 50_000;

/// Uploads in a test whose order of events differs from one to the next.
const TRIES: usize = 24;

/// Starts an upstream on a thread of its own that responds to an upload, of which it reads a part,
/// without a length and with `body_bytes` bytes, and resets the connection.
fn resetting_upstream(body_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts");
        stream.read_exact(&mut [0; READ_BYTES]).expect("reads");
        let response = [b"HTTP/1.1 200 OK\r\n\r\n", vec![b'a'; body_bytes].as_slice()].concat();
        // Fails if the node has closed the connection already.
        let _ = stream.write_all(&response);
        let linger = Some(Duration::ZERO);
        rustix::net::sockopt::set_socket_linger(&stream, linger).expect("sets the option");
    });
    addr
}

/// Guards against a part of a response that is passed on as all of it: an upstream responds to an upload
/// without a length, and resets the connection while the upload is written.
#[yare::parameterized(
    short = { 100 },
    long = { 200_000 },
)]
fn a_response_that_a_reset_ends_is_not_passed_on(body_bytes: usize) {
    web::runtime().block_on(async {
        for n in 0..TRIES {
            let template = "service: svc\ndefaults:\n  max_attempts: 1\n";
            let node = node(template, &[resetting_upstream(body_bytes)]);
            let mut upload = request(http::Method::POST, "/s/svc/a", &n.to_string());
            *upload.body_mut() = Bytes::from(vec![b'a'; UPLOAD_BYTES]);
            let response = node.handle(upload, PEER).await;
            let seen = (response.status(), outcome(&response));
            assert_eq!(seen, (StatusCode::BAD_GATEWAY, "unknown"));
        }
    });
}

/// Guards against a malformed response that a caller gets as one.
#[yare::parameterized(
    status_000 = { b"HTTP/1.1 000 OK\r\ncontent-length: 1\r\n\r\na" },
    status_099 = { b"HTTP/1.1 099 OK\r\ncontent-length: 1\r\n\r\na" },
    status_of_four_digits = { b"HTTP/1.1 2000 OK\r\ncontent-length: 1\r\n\r\na" },
    blank_in_name = { b"HTTP/1.1 200 OK\r\nx a: 1\r\ncontent-length: 1\r\n\r\na" },
    blank_in_length = { b"HTTP/1.1 200 OK\r\ncontent-length : 1\r\n\r\nabc" },
    tab_in_name = { b"HTTP/1.1 200 OK\r\nx\ta: 1\r\ncontent-length: 1\r\n\r\na" },
    nul_in_name = { b"HTTP/1.1 200 OK\r\nx\0a: 1\r\ncontent-length: 1\r\n\r\na" },
    control_byte_in_name = { b"HTTP/1.1 200 OK\r\nx\x01a: 1\r\ncontent-length: 1\r\n\r\na" },
    no_name = { b"HTTP/1.1 200 OK\r\n: 1\r\ncontent-length: 1\r\n\r\na" },
    no_colon = { b"HTTP/1.1 200 OK\r\nx-a\r\ncontent-length: 1\r\n\r\na" },
)]
fn a_malformed_response_is_not_passed_on(response: &'static [u8]) {
    web::runtime().block_on(async {
        let upstream = scripted_upstream(4_096, response);
        let node = node("service: svc\ndefaults:\n  max_attempts: 1\n", &[upstream]);
        let response = node.handle(request(http::Method::POST, "/s/svc/a", "k"), PEER).await;
        assert_eq!((response.status(), outcome(&response)), (StatusCode::BAD_GATEWAY, "unknown"));
        assert!(!response.headers().contains_key("x-a"));
    });
}
