use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use crate::server::{serve, Handler};

/// Answers with the path after 50 ms, and counts what began and what ended.
#[derive(Default)]
struct Slow {
    began: Cell<u32>,
    ended: Cell<u32>,
}

impl Handler for Slow {
    async fn handle(&self, request: crate::Request, _peer: SocketAddr) -> crate::Response {
        self.began.set(self.began.get() + 1);
        monoio::time::sleep(Duration::from_millis(50)).await;
        self.ended.set(self.ended.get() + 1);
        crate::reply(http::StatusCode::OK, request.uri().path().to_owned())
    }
}

async fn start() -> (Rc<Slow>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let slow = Rc::new(Slow::default());
    monoio::spawn(serve(listener, slow.clone()));
    (slow, TcpStream::connect(addr).await.expect("connects"))
}

/// Symptom: upstreams go on working for callers that are long gone.
/// Sequence: a caller sends a request and closes its connection at once.
/// Cause: noticing the close only when the answer is written.
#[test]
fn a_caller_that_goes_away_drops_its_request() {
    crate::runtime().block_on(async {
        let (slow, mut stream) = start().await;
        stream.write_all(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n").await.0.expect("sent");
        monoio::time::sleep(Duration::from_millis(10)).await;
        drop(stream);
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!((slow.began.get(), slow.ended.get()), (1, 0));
    });
}

/// Symptom: a request sent before the last answer came is lost or answered out of order.
/// Sequence: two requests arrive together on one connection.
/// Cause: watching for the caller's close reads the second request; it must be kept.
#[test]
fn a_request_sent_early_is_answered_in_its_turn() {
    crate::runtime().block_on(async {
        let (slow, mut stream) = start().await;
        let both = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(&both[..]).await.0.expect("sent");
        let mut text = String::new();
        while !text.ends_with("/b") {
            let (read, bytes) = stream.read(vec![0; 1_024]).await;
            let read = read.expect("reads");
            assert!(read > 0, "closed after {text:?}");
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        assert!(text.find("/a").expect("first answer") < text.find("/b").expect("second"));
        assert_eq!(slow.ended.get(), 2);
    });
}
