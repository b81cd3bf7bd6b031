//! Memory that the bodies of a server's connections take.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use crate::server::{serve, Handler};
use crate::BufferBudget;

const MAX_BYTES: usize = 96 * 1024 * 1024;

/// Responds with the body of the request, and keeps the memory of bodies within a budget.
struct EchoHandler {
    budget: BufferBudget,
}

impl Handler for EchoHandler {
    async fn handle(&self, request: crate::Request, _peer: SocketAddr) -> crate::Response {
        crate::reply(http::StatusCode::OK, request.into_body())
    }

    fn request_buffers(&self) -> BufferBudget {
        self.budget.clone()
    }
}

async fn connect(budget: &BufferBudget) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("bound");
    monoio::spawn(serve(listener, Rc::new(EchoHandler { budget: budget.clone() })));
    TcpStream::connect(addr).await.expect("connects")
}

async fn send_body(stream: &mut TcpStream, length: usize) {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.into_bytes()).await.0.expect("writes");
    stream.write_all(vec![b'a'; length]).await.0.expect("writes");
}

/// Guards against a server that runs out of memory by the bodies of many requests: those beyond its
/// budget are rejected, and may come back.
#[test]
fn a_request_beyond_the_budget_is_rejected() {
    crate::runtime().block_on(async {
        let budget = BufferBudget::new(64 * 1024);
        let mut stream = connect(&budget).await;
        send_body(&mut stream, 48 * 1024).await;
        let (read, bytes) = stream.read(vec![0; 1_024]).await;
        let text = String::from_utf8_lossy(&bytes[..read.expect("reads")]).into_owned();
        assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("retry-after: 1\r\n"), "{text}");
        assert_eq!(budget.used(), 0);
    });
}

/// Guards against memory that is never returned, since a caller does not read its response.
#[test]
fn a_response_that_is_not_read_is_given_up() {
    const BODY_BYTES: usize = 32 * 1024 * 1024;
    const MAX_TIME: Duration = Duration::from_secs(20);
    crate::runtime().block_on(async {
        let budget = BufferBudget::new(MAX_BYTES);
        let mut stream = connect(&budget).await;
        send_body(&mut stream, BODY_BYTES).await;
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(budget.used(), BODY_BYTES);
        let since = Instant::now();
        while budget.used() > 0 {
            assert!(since.elapsed() < MAX_TIME, "{} bytes are held", budget.used());
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against a long response that arrives in part, or in another order.
#[test]
fn a_long_response_arrives_whole() {
    crate::runtime().block_on(async {
        let body = Bytes::from((0..1_000_000u32).flat_map(u32::to_be_bytes).collect::<Vec<u8>>());
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        let budget = BufferBudget::new(MAX_BYTES);
        monoio::spawn(serve(listener, Rc::new(EchoHandler { budget: budget.clone() })));
        let timeout = Duration::from_secs(5);
        let response = crate::fetch(addr, http::Method::POST, "/", body.clone(), timeout).await;
        assert!(response.expect("a response").body() == &body);
    });
}
