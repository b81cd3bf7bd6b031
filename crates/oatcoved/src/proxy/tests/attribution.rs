//! Responses that arrive on idle connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use web::Handler;

use super::{node, outcome, request, PEER};

/// Time after a response at which the upstream sends another one.
const SURPLUS_DELAY: Duration = Duration::from_millis(20);

/// Starts an upstream that echoes no request id, and sends a second response a moment after each.
/// Also returns the number of its connections.
fn upstream_with_surplus_responses() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let (addr, connections) = (listener.local_addr().expect("bound"), Rc::new(Cell::new(0)));
    let opened = connections.clone();
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            opened.set(opened.get() + 1);
            monoio::spawn(async move {
                while let (Ok(1..), _) = stream.read(vec![0; 4_096]).await {
                    for body in ["mine", "rest"] {
                        let head = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
                        let response = format!("{head}{body}").into_bytes();
                        if stream.write_all(response).await.0.is_err() {
                            return;
                        }
                        monoio::time::sleep(SURPLUS_DELAY).await;
                    }
                }
            });
        }
    });
    (addr, connections)
}

/// Guards against a caller that gets the response to another call: an upstream that echoes no
/// request id sends a surplus response while its connection is idle.
#[test]
fn a_connection_with_a_surplus_response_is_not_used_again() {
    web::runtime().block_on(async {
        let (addr, connections) = upstream_with_surplus_responses();
        let node = node("service: svc\ndefaults:\n  max_attempts: 1\n", &[addr]);
        for _ in 0..2 {
            let response = node.handle(request(http::Method::POST, "/s/svc/a", "k"), PEER).await;
            assert_eq!((outcome(&response), response.body().as_ref()), ("done", &b"mine"[..]));
            monoio::time::sleep(3 * SURPLUS_DELAY).await;
        }
        assert_eq!(connections.get(), 2);
    });
}
