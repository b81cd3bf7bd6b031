//! Upstreams that respond to an upload before they have received all of it.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use web::h1;

use super::fake::{header_names, ms, run, start, Caller, Upstream};
use crate::conns::Conn;
use crate::exchange::{self, Outcome, OutgoingRequest, SendResult};

/// A response without a length, which ends with its connection.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signature: s\r\n\r\nbeans";

/// Length of an upload, and of its part that is there when the upstream responds: more than what a
/// node receives before it sends the request on.
const UPLOAD_BYTES: usize = 1_000_000;
const FIRST_BYTES: usize = 100_000;

/// Interval at which a connection without an event loop is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Uploads in a test whose order of events the event loop decides by chance.
const TRIES: usize = 24;

/// Closes a connection by a reset.
fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
        .expect("sets the option");
}

/// Repeats an operation that does not block until it is done.
async fn until_ready<T>(mut operation: impl FnMut() -> std::io::Result<T>) -> T {
    loop {
        match operation() {
            Ok(done) => return done,
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                monoio::time::sleep(RETRY_INTERVAL).await;
            }
            Err(err) => panic!("{err}"),
        }
    }
}

/// An upstream whose connections the test acts on without the event loop.
struct RawUpstream {
    listener: TcpListener,
}

impl RawUpstream {
    fn start() -> RawUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        listener.set_nonblocking(true).expect("sets the option");
        RawUpstream { listener }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Accepts a connection and reads the first part of a request.
    async fn accept_request(&self) -> TcpStream {
        let (mut stream, _) = until_ready(|| self.listener.accept()).await;
        stream.set_nonblocking(true).expect("sets the option");
        let mut first = [0; 4_096];
        until_ready(|| stream.read(&mut first)).await;
        stream
    }
}

/// Sends the first part of an upload.
async fn begin_upload(addr: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(addr).expect("connects");
    caller.set_nonblocking(true).expect("sets the option");
    let head = format!(
        "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nx-deadline: 500\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let bytes = [head.as_bytes(), &[b'a'; FIRST_BYTES]].concat();
    let mut left = bytes.as_slice();
    while !left.is_empty() {
        let written = until_ready(|| caller.write(left)).await;
        left = &left[written..];
    }
    caller
}

async fn read_response(caller: TcpStream) -> super::fake::Response {
    let stream = monoio::net::TcpStream::from_std(caller).expect("is a socket");
    Caller::over(stream).read().await.expect("a response")
}

/// Sends an upload over one connection; `act` acts on its other end when the first part is sent. The
/// rest is written until that fails, before the response is read.
async fn exchange_with(act: impl FnOnce(TcpStream)) -> Outcome {
    let upstream = RawUpstream::start();
    let stream = monoio::net::TcpStream::connect_addr(upstream.addr()).await.expect("connects");
    let (peer, _) = upstream.listener.accept().expect("accepts");
    let request = OutgoingRequest {
        method: Method::POST,
        bytes: h1::write_request(&Method::POST, "/post/1", &HeaderMap::new()),
        request_id: HeaderValue::from_static("7"),
    };
    let write_rest = async |writer: &mut h1::Writer| {
        act(peer);
        while writer.write(b"seed".to_vec()).await.is_ok() {}
        SendResult::UpstreamClosed
    };
    let conn = Conn::to_peer(stream);
    exchange::run(conn, request, &header_names(), |_, _| {}, write_rest).await.0
}

/// Guards against a part of a response that is passed on as all of it: an upstream responds to an upload
/// without stating a length, and resets the connection while the upload is written.
#[test]
fn a_response_that_a_reset_ends_during_the_upload_is_lost() {
    run(async {
        let outcome = exchange_with(|mut peer| {
            peer.write_all(RESPONSE).expect("writes");
            reset(peer);
        });
        let outcome = outcome.await;
        assert!(matches!(outcome, Outcome::Lost(exchange::RESPONSE_TRUNCATED)));
    });
}

/// Guards against the same at a caller, whatever the node looks at first.
#[test]
fn a_caller_gets_no_response_that_a_reset_ended_during_its_upload() {
    run(async {
        let mut statuses = Vec::new();
        for _ in 0..TRIES {
            let raw = RawUpstream::start();
            let upstream = Upstream { addr: raw.addr(), ..Upstream::start(Vec::new()) };
            let entry_node = start(&[&upstream]);
            let mut caller = begin_upload(entry_node.addr).await;
            let mut peer = raw.accept_request().await;
            monoio::time::sleep(ms(20)).await;
            // The node finds the response, the reset and more of the upload at once.
            peer.write_all(RESPONSE).expect("writes");
            reset(peer);
            caller.write_all(&[b'a'; 1_000]).expect("writes");
            statuses.push(read_response(caller).await.status);
        }
        assert_eq!(statuses, [502; TRIES]);
    });
}

/// Accepts one connection, reads a part of an upload, and responds with `body_bytes` of body and a reset.
fn respond_in_part_and_reset(listener: &TcpListener, body_bytes: usize) {
    let (mut stream, _) = listener.accept().expect("accepts");
    stream.read_exact(&mut [0; 50_000]).expect("reads");
    let response = [RESPONSE, &vec![b'a'; body_bytes]].concat();
    // Fails if the node has closed the connection already.
    let _ = stream.write_all(&response);
    reset(stream);
}

/// Sends a chunked upload as fast as it is taken; returns what is received until the connection ends.
fn upload_in_chunks(addr: SocketAddr) -> String {
    let mut stream = TcpStream::connect(addr).expect("connects");
    let mut receiver = stream.try_clone().expect("clones");
    let receiving = std::thread::spawn(move || {
        let mut received = Vec::new();
        // A reset that follows the response is no concern here.
        let _ = receiver.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    });
    let head = "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\nx-deadline: 500\r\n\
                Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = h1::encode_chunk(&[b'a'; 10_000]);
    let mut result = stream.write_all(head.as_bytes());
    for _ in 0..UPLOAD_BYTES / 10_000 {
        result = result.and_then(|()| stream.write_all(&chunk));
    }
    // Fails if the node has closed the connection already.
    let _ = result.and_then(|()| stream.write_all(h1::LAST_CHUNK));
    receiving.join().expect("received")
}

/// Guards against the same where upstream, node and caller run at once; the head of a long response is
/// passed on before its end is known.
#[yare::parameterized(
    short = { 100 },
    long = { 200_000 },
)]
fn a_response_that_a_reset_ends_never_looks_complete(body_bytes: usize) {
    run(async {
        let mut complete = 0;
        for _ in 0..TRIES {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let addr = listener.local_addr().expect("bound");
            let upstream = Upstream { addr, ..Upstream::start(Vec::new()) };
            let entry_node = start(&[&upstream]);
            std::thread::spawn(move || respond_in_part_and_reset(&listener, body_bytes));
            let upload = std::thread::spawn(move || upload_in_chunks(entry_node.addr));
            while !upload.is_finished() {
                monoio::time::sleep(RETRY_INTERVAL).await;
            }
            let received = upload.join().expect("uploaded");
            let is_truncated =
                received.contains("transfer-encoding: chunked") && !received.ends_with("0\r\n\r\n");
            complete += usize::from(received.starts_with("HTTP/1.1 200") && !is_truncated);
        }
        assert_eq!(complete, 0, "of {TRIES}");
    });
}

/// Guards against a whole response that is given up: an upstream responds to an upload before it has
/// received all of it, ends the response, and closes the connection.
#[test]
fn a_response_without_length_that_ends_during_the_upload_is_passed_on() {
    run(async {
        let outcome = exchange_with(|mut peer| {
            peer.write_all(RESPONSE).expect("writes");
            peer.shutdown(Shutdown::Write).expect("shuts down");
            reset(peer);
        });
        let Outcome::Answered(response) = outcome.await else { panic!("no response") };
        assert!(matches!(response.body, exchange::ResponseBody::Full(body) if body == "beans"));
    });
}
