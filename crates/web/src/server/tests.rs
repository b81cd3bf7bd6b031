use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use crate::server::{serve, Handler};

mod memory;

/// Responds with the path after 50 ms, and counts started and completed requests.
#[derive(Default)]
struct SlowHandler {
    started: Cell<u32>,
    completed: Cell<u32>,
}

impl Handler for SlowHandler {
    async fn handle(&self, request: crate::Request, _peer: SocketAddr) -> crate::Response {
        self.started.set(self.started.get() + 1);
        monoio::time::sleep(Duration::from_millis(50)).await;
        self.completed.set(self.completed.get() + 1);
        crate::reply(http::StatusCode::OK, request.uri().path().to_owned())
    }
}

async fn start_server() -> (Rc<SlowHandler>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let handler = Rc::new(SlowHandler::default());
    monoio::spawn(serve(listener, handler.clone()));
    (handler, TcpStream::connect(addr).await.expect("connects"))
}

/// Guards against work that continues for callers that have disconnected.
///
/// A caller sends a request and closes its connection immediately. The server must notice the close
/// before it writes the response.
#[test]
fn a_disconnecting_caller_cancels_its_request() {
    crate::runtime().block_on(async {
        let (handler, mut stream) = start_server().await;
        stream.write_all(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n").await.0.expect("sent");
        monoio::time::sleep(Duration::from_millis(10)).await;
        drop(stream);
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!((handler.started.get(), handler.completed.get()), (1, 0));
    });
}

/// Guards against pipelined requests that are lost or answered out of order.
///
/// Two requests arrive together on one connection. Waiting for the caller to close the connection
/// reads the second request, which must be kept.
#[test]
fn pipelined_requests_are_answered_in_order() {
    crate::runtime().block_on(async {
        let (handler, mut stream) = start_server().await;
        let both = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(&both[..]).await.0.expect("sent");
        let mut text = String::new();
        while !text.ends_with("/b") {
            let (read, bytes) = stream.read(vec![0; 1_024]).await;
            let read = read.expect("reads");
            assert!(read > 0, "closed after {text:?}");
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        assert!(
            text.find("/a").expect("first response") < text.find("/b").expect("second response")
        );
        assert_eq!(handler.completed.get(), 2);
    });
}

/// Guards against a caller that takes the body of a response to HEAD for the next response.
#[test]
fn response_to_head_has_no_body() {
    crate::runtime().block_on(async {
        let (_, mut stream) = start_server().await;
        let both = b"HEAD /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(&both[..]).await.0.expect("sent");
        let mut text = String::new();
        while !text.ends_with("/b") {
            let (read, bytes) = stream.read(vec![0; 1_024]).await;
            let read = read.expect("reads");
            assert!(read > 0, "closed after {text:?}");
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        let (head, rest) = text.split_once("\r\n\r\n").expect("a head");
        assert!(head.contains("content-length: 2"), "the length that GET would have: {head}");
        assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
    });
}
