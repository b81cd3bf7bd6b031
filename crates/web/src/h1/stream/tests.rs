use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use monoio::net::TcpStream;

use super::{split, Decoder, ReadError, Reader, Writer};
use crate::h1::Framing;

const BODY: &[u8] = b"beans";

/// A connection whose other end belongs to the test, which acts on it without the event loop.
struct Connection {
    reader: Reader,
    writer: Writer,
    peer: std::net::TcpStream,
}

impl Connection {
    async fn open() -> Connection {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        let stream = TcpStream::connect_addr(addr).await.expect("connects");
        let (peer, _) = listener.accept().expect("accepts");
        let (reader, writer) = split(stream);
        Connection { reader, writer, peer }
    }
}

/// Closes a connection by a reset.
fn reset(peer: std::net::TcpStream) {
    rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO)).expect("sets the option");
}

/// Writes until it fails.
async fn write_until_failure(writer: &mut Writer) {
    while writer.write(b"seed".to_vec()).await.is_ok() {}
}

async fn read_body(reader: &mut Reader) -> Result<Bytes, ReadError> {
    let budget = crate::BufferBudget::unlimited();
    reader.body(&mut Decoder::new(Framing::UntilClose), 1_024, &budget).await
}

/// Guards against a part of a body that is taken for all of it: its sender resets the connection
/// while it is written to, and the write takes the error of the socket, so that reading finds an end.
#[test]
fn a_body_that_a_reset_ends_is_incomplete_although_a_write_failed_first() {
    crate::runtime().block_on(async {
        let Connection { mut reader, mut writer, mut peer } = Connection::open().await;
        peer.write_all(BODY).expect("writes");
        reset(peer);
        write_until_failure(&mut writer).await;
        let body = read_body(&mut reader).await;
        assert!(matches!(body, Err(ReadError::Io(_))), "{body:?}");
    });
}

/// Guards against the same where nothing is written.
#[test]
fn a_body_that_a_reset_ends_is_incomplete() {
    crate::runtime().block_on(async {
        let Connection { mut reader, writer: _writer, mut peer } = Connection::open().await;
        peer.write_all(BODY).expect("writes");
        reset(peer);
        let body = read_body(&mut reader).await;
        assert!(matches!(body, Err(ReadError::Io(_))), "{body:?}");
    });
}

/// Guards against a complete body that is given up: its sender ends it properly, and the connection
/// later, with a reset since it has not read everything.
#[test]
fn a_body_that_ended_before_the_reset_is_complete() {
    crate::runtime().block_on(async {
        let Connection { mut reader, mut writer, mut peer } = Connection::open().await;
        peer.write_all(BODY).expect("writes");
        peer.shutdown(Shutdown::Write).expect("shuts down");
        writer.write(b"seed".to_vec()).await.expect("writes");
        reset(peer);
        write_until_failure(&mut writer).await;
        let body = read_body(&mut reader).await;
        assert!(matches!(&body, Ok(body) if body == BODY), "{body:?}");
    });
}

/// Writes until the socket takes no more; returns the number of bytes.
fn fill_socket(peer: &mut std::net::TcpStream) -> u64 {
    peer.set_nonblocking(true).expect("a socket option");
    let mut written = 0;
    while let Ok(length) = peer.write(&[b'a'; 64 * 1024]) {
        written += length as u64;
    }
    written
}

/// Guards against requests of other callers that wait for a long body, or one without end, which is
/// received faster than its reader finds an end of the input.
#[test]
fn other_tasks_run_while_a_body_is_received() {
    const MAX_TURN_BYTES: u64 = 64 * 1024;
    crate::runtime().block_on(async {
        let Connection { mut reader, writer: _writer, mut peer } = Connection::open().await;
        let sent = fill_socket(&mut peer);
        assert!(sent > 2 * MAX_TURN_BYTES, "{sent} bytes are there at once");
        // From here on the socket is known to be readable.
        assert!(reader.fill().await.expect("receives"));
        let received = reader.received();
        let observing = monoio::spawn(async move {
            let mut max_turn_bytes = 0;
            while received.get() < sent {
                let before = received.get();
                // A task that wakes itself runs again before the others.
                monoio::spawn(async {}).await;
                max_turn_bytes = max_turn_bytes.max(received.get() - before);
                if received.get() == before {
                    // Timers only run while no task can.
                    monoio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            max_turn_bytes
        });
        monoio::spawn(async move {
            let budget = crate::BufferBudget::unlimited();
            let _ = reader.body(&mut Decoder::new(Framing::UntilClose), usize::MAX, &budget).await;
        });
        let turn_bytes = observing.await;
        assert!(turn_bytes <= MAX_TURN_BYTES, "{turn_bytes} bytes while another task could run");
    });
}
