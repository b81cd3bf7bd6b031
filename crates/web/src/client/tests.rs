use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;

use super::{Conn, Error};
use crate::Response;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that writes `response` for each read on a connection, and then closes it if
/// `closes`.
fn start_server(response: &'static str, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("address");
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            while let (Ok(1..), _) = stream.read(vec![0; 4_096]).await {
                if stream.write_all(response.as_bytes()).await.0.is_err() || closes {
                    break;
                }
            }
        }
    });
    addr
}

async fn get(conn: &mut Conn) -> Result<Response, Error> {
    let request = http::Request::get("/").body(Bytes::new()).expect("request");
    conn.send(request, TIMEOUT).await
}

/// Guards against a caller that gets the rest of another caller's response, and against a request
/// that may have run and is lost: it is sent on a connection that its server closes.
#[yare::parameterized(
    surplus_bytes = { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n", false },
    close = { "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\na", false },
    close_in_a_list = { "HTTP/1.1 200 OK\r\nconnection: te, close\r\ncontent-length: 1\r\n\r\na", false },
    older_version = { "HTTP/1.0 200 OK\r\ncontent-length: 1\r\n\r\na", false },
    until_close = { "HTTP/1.1 200 OK\r\n\r\na", true },
)]
fn connection_is_not_used_after_its_last_response(response: &'static str, closes: bool) {
    crate::runtime().block_on(async {
        let mut conn =
            Conn::connect(start_server(response, closes), TIMEOUT).await.expect("connects");
        assert_eq!(get(&mut conn).await.map(|response| response.into_body()), Ok(Bytes::from("a")));
        let second = get(&mut conn).await;
        assert!(matches!(second, Err(Error::Connect(_))), "{second:?}");
    });
}

#[test]
fn connection_is_used_again_after_a_whole_response() {
    crate::runtime().block_on(async {
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
        let mut conn =
            Conn::connect(start_server(response, false), TIMEOUT).await.expect("connects");
        for _ in 0..3 {
            assert_eq!(get(&mut conn).await.map(|r| r.into_body()), Ok(Bytes::from("a")));
        }
    });
}

/// Guards against a caller that gives up a large response while it arrives over a slow link, and
/// against one that waits without end for a response that stops.
#[yare::parameterized(
    arrives = { 8, true },
    stops = { 4, false },
)]
fn a_large_response_is_received_while_it_arrives(pieces: usize, is_whole: bool) {
    const PIECE: [u8; 5_000] = [b'a'; 5_000];
    crate::runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("address");
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            let (_, _) = stream.read(vec![0; 4_096]).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 8 * PIECE.len());
            stream.write_all(head.into_bytes()).await.0.expect("writes");
            for _ in 0..pieces {
                monoio::time::sleep(Duration::from_millis(200)).await;
                stream.write_all(PIECE.to_vec()).await.0.expect("writes");
            }
            monoio::time::sleep(TIMEOUT).await;
        });
        let mut conn = Conn::connect(addr, TIMEOUT).await.expect("connects");
        let request = http::Request::get("/").body(Bytes::new()).expect("request");
        let result = conn.send_for_large_response(request, Duration::from_millis(300)).await;
        let expected =
            if is_whole { Ok(Bytes::from(PIECE.repeat(8))) } else { Err(Error::Timeout) };
        assert_eq!(result.map(|response| response.into_body()), expected);
    });
}

/// Guards against a malformed response that counts as one of an upstream, a peer or the platform.
#[yare::parameterized(
    status_000 = { "HTTP/1.1 000 OK\r\ncontent-length: 1\r\n\r\na" },
    blank_in_name = { "HTTP/1.1 200 OK\r\nx a: 1\r\ncontent-length: 1\r\n\r\na" },
    blank_in_length = { "HTTP/1.1 200 OK\r\ncontent-length : 1\r\n\r\nabc" },
    control_byte_in_name = { "HTTP/1.1 200 OK\r\nx\u{1}a: 1\r\ncontent-length: 1\r\n\r\na" },
)]
fn malformed_response_is_an_error(response: &'static str) {
    crate::runtime().block_on(async {
        let mut conn =
            Conn::connect(start_server(response, true), TIMEOUT).await.expect("connects");
        let result = get(&mut conn).await;
        assert!(matches!(result, Err(Error::Http(_))), "{result:?}");
    });
}
