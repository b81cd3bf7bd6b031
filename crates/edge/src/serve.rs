//! Callers' connections: reading requests, watching for callers that leave, writing answers.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use web::h1;

use crate::exchange::{Answer, AnswerBody};
use crate::forward::{Body, Node, Reply};
use crate::reply::Own;

/// A request body up to this size is received in full before it is sent on, so
/// that it can be sent again; longer ones are passed on as they come.
const WHOLE_BODY_BYTES: usize = 64 * 1024;

/// Time that a closing connection is still read from. Closing while bytes
/// arrive resets the connection, which can destroy an answer that the caller
/// has not read yet.
const LINGER: Duration = Duration::from_millis(1_000);

/// Bytes read and thrown away from a closing connection at most.
const LINGER_BYTES: usize = 1024 * 1024;

/// Time for a caller to take in a piece of a long answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that was idle for the allowed time is closed a little later:
/// a request sent at the very end of that time would cross the close.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// Accepts callers until the listener is dropped with this future.
pub async fn run(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Fails only on a connection that is gone already.
                let _ = stream.set_nodelay(true);
                let node = node.clone();
                monoio::spawn(async move { connection(stream, node).await });
            }
            Err(err) => {
                // Running out of descriptors shows here; without a pause this loop would spin.
                trace::Line::new("accept_failed").field("error", err.to_string()).log();
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Counts a request as in flight while it lives.
struct InFlight(Rc<Node>);

impl InFlight {
    fn start(node: &Rc<Node>) -> InFlight {
        node.state.borrow_mut().in_flight += 1;
        InFlight(node.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.state.borrow_mut().in_flight -= 1;
    }
}

async fn connection(stream: TcpStream, node: Rc<Node>) {
    let (read, write) = stream.into_split();
    let mut reader = h1::Reader::new(read);
    let mut writer = h1::Writer::new(write);
    while let Some(head) = next_head(&mut reader, &mut writer, &node).await {
        let in_flight = InFlight::start(&node);
        let keep = request(&head, &mut reader, &mut writer, &node).await;
        drop(in_flight);
        match keep {
            Keep::Open => {}
            Keep::Linger => return linger(&mut reader, &mut writer).await,
            Keep::Gone => return,
        }
    }
}

/// What becomes of a caller's connection after a request.
enum Keep {
    /// It may carry the next request.
    Open,
    /// It is closed once the caller has read the answer.
    Linger,
    /// The caller is gone.
    Gone,
}

fn limits(node: &Node) -> route::ClientLimits {
    node.state.borrow().table.as_ref().map_or_else(Default::default, |table| table.limits)
}

/// Reads the next request's head; `None` when the connection is to be dropped.
async fn next_head(
    reader: &mut h1::Reader,
    writer: &mut h1::Writer,
    node: &Rc<Node>,
) -> Option<h1::RequestHead> {
    if !reader.has_buffered() && !wait_for_bytes(reader, node).await {
        return None;
    }
    let limits = limits(node);
    let reading = reader.request_head(limits.header_bytes);
    let own = match monoio::time::timeout(limits.header_timeout, reading).await {
        Ok(Ok(head)) => return Some(head),
        Ok(Err(h1::ReadError::Malformed(err))) => {
            trace::Line::new("bad_request").field("error", err.to_string()).log();
            Own::failed(err.status(), "the request cannot be read")
        }
        Ok(Err(h1::ReadError::Closed | h1::ReadError::Io(_))) => return None,
        Err(_) => Own::failed(StatusCode::REQUEST_TIMEOUT, "the request took too long to arrive"),
    };
    if write_own(writer, &own, false, true).await {
        linger(reader, writer).await;
    }
    None
}

/// Waits for the first byte of a request; false when none came in the allowed time.
///
/// The limit in force may change while a connection is idle. The longer of
/// the old and the new one holds: the caller may know only one of them, and
/// a close that it does not expect loses its request.
async fn wait_for_bytes(reader: &mut h1::Reader, node: &Rc<Node>) -> bool {
    let since = Instant::now();
    let mut allowed = limits(node).idle_timeout + IDLE_SLACK;
    loop {
        let left = (since + allowed).saturating_duration_since(Instant::now());
        match monoio::time::timeout(left, reader.fill()).await {
            Ok(Ok(true)) => return true,
            Ok(Ok(false) | Err(_)) => return false,
            Err(_) => {
                let now_allowed = limits(node).idle_timeout + IDLE_SLACK;
                if now_allowed <= allowed {
                    return false;
                }
                allowed = now_allowed;
            }
        }
    }
}

/// Reads from a closing connection until the caller closes too, for a while.
async fn linger(reader: &mut h1::Reader, writer: &mut h1::Writer) {
    writer.shutdown().await;
    let reading = async {
        let mut left = LINGER_BYTES;
        while let Ok(Some(bytes)) = reader.discard().await {
            left = left.saturating_sub(bytes);
            if left == 0 {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(LINGER, reading).await;
}

/// Takes one request to its answer and writes it.
async fn request(
    head: &h1::RequestHead,
    reader: &mut h1::Reader,
    writer: &mut h1::Writer,
    node: &Rc<Node>,
) -> Keep {
    let limits = limits(node);
    let mut decoder = h1::Decoder::new(head.framing);
    let too_long = matches!(head.framing, h1::Framing::Length(l) if l > limits.body_bytes);
    let expects = head.headers.get(http::header::EXPECT);
    if expects.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue")) && !too_long {
        let go_on = h1::write_response(StatusCode::CONTINUE, &HeaderMap::new());
        if !decoder.is_done() && writer.write(go_on).await.is_err() {
            return Keep::Gone;
        }
    }
    let body = match too_long {
        true => Err(Own::failed(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")),
        false => begin_body(reader, &mut decoder, limits.header_timeout).await,
    };
    let body = match body {
        Ok(Some(body)) => body,
        Ok(None) => return Keep::Gone,
        Err(own) => {
            let written = write_own(writer, &own, head.method == Method::HEAD, true).await;
            return if written { Keep::Linger } else { Keep::Gone };
        }
    };
    let reply = match decoder.is_done() {
        true => match forward_watching(head, body, reader, node).await {
            Some(reply) => reply,
            None => {
                let mut state = node.state.borrow_mut();
                state.counters.abandoned += 1;
                let id = head.headers.get(&state.settings.headers.request_id);
                trace::Line::new("caller_left")
                    .field("request", id.and_then(|id| id.to_str().ok()))
                    .log();
                return Keep::Gone;
            }
        },
        false => {
            let decoder = &mut decoder;
            node.forward(head, Body::Long { first: body, reader, decoder }).await
        }
    };
    // A body that was not read to its end would be taken for the next request.
    let stopping = node.state.borrow().stopping.is_some();
    let close = stopping || !head.keep_alive || !decoder.is_done();
    let written = match reply {
        Reply::Upstream(answer) => write_answer(writer, answer, &head.method, close).await,
        Reply::Own(own) => write_own(writer, &own, head.method == Method::HEAD, close).await,
    };
    match () {
        () if !written => Keep::Gone,
        () if close => Keep::Linger,
        () => Keep::Open,
    }
}

/// Reads a body, up to [`WHOLE_BODY_BYTES`] of it; `None` when the caller left.
async fn begin_body(
    reader: &mut h1::Reader,
    decoder: &mut h1::Decoder,
    timeout: Duration,
) -> Result<Option<Bytes>, Own> {
    if decoder.is_done() {
        return Ok(Some(Bytes::new()));
    }
    let reading = async {
        let mut body = BytesMut::new();
        while !decoder.is_done() && body.len() < WHOLE_BODY_BYTES {
            match reader.body_piece(decoder).await? {
                Some(piece) => body.extend_from_slice(&piece),
                None => break,
            }
        }
        Ok(body.freeze())
    };
    match monoio::time::timeout(timeout, reading).await {
        Ok(Ok(body)) => Ok(Some(body)),
        Ok(Err(h1::ReadError::Malformed(err))) => {
            trace::Line::new("bad_request").field("error", err.to_string()).log();
            Err(Own::failed(err.status(), "the body cannot be read"))
        }
        Ok(Err(h1::ReadError::Closed | h1::ReadError::Io(_))) => Ok(None),
        Err(_) => Err(Own::failed(StatusCode::REQUEST_TIMEOUT, "the body took too long to arrive")),
    }
}

/// Forwards a request and watches its caller; `None` when the caller left.
///
/// Work for a caller that left holds a slot that callers who still wait could
/// use, so dropping the request cancels it at the upstream. A request that
/// must not run twice is left to end: cancelling cannot undo what it did, and
/// half of it may be worse than all of it.
async fn forward_watching(
    head: &h1::RequestHead,
    body: Bytes,
    reader: &mut h1::Reader,
    node: &Rc<Node>,
) -> Option<Reply> {
    let once = is_at_most_once(head, node);
    let mut forwarding = pin!(node.forward(head, Body::Whole(body)));
    if reader.has_buffered() {
        return Some(forwarding.await);
    }
    monoio::select! {
        reply = &mut forwarding => Some(reply),
        more = reader.fill() => match more {
            // The next request came early; it waits its turn.
            Ok(true) => Some(forwarding.await),
            Ok(false) | Err(_) if once => {
                forwarding.await;
                None
            }
            Ok(false) | Err(_) => None,
        },
    }
}

fn is_at_most_once(head: &h1::RequestHead, node: &Node) -> bool {
    let state = node.state.borrow();
    let table = state.table.as_ref();
    let route = table.and_then(|table| table.find(&head.host, head.path()));
    route.is_some_and(|route| route.repeat == route::Repeat::AtMostOnce)
}

/// Writes an answer of the node's own; false when the caller is gone.
async fn write_own(writer: &mut h1::Writer, own: &Own, bodyless: bool, close: bool) -> bool {
    let (mut headers, body) = own.parts();
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    set_close(&mut headers, close);
    let mut bytes = h1::write_response(own.status, &headers);
    if !bodyless {
        bytes.extend_from_slice(&body);
    }
    writer.write(bytes).await.is_ok()
}

fn set_close(headers: &mut HeaderMap, close: bool) {
    if close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Writes an upstream's answer; false when the caller is gone or the answer is cut off.
async fn write_answer(
    writer: &mut h1::Writer,
    answer: Answer,
    method: &Method,
    close: bool,
) -> bool {
    let Answer { head, body } = answer;
    let stated_length = head.headers.get(CONTENT_LENGTH).cloned();
    let mut headers = head.headers;
    web::strip_connection_headers(&mut headers);
    set_close(&mut headers, close);
    let lengthless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match body {
        AnswerBody::Whole(body) => {
            let length = match stated_length {
                Some(stated) if *method == Method::HEAD => Some(stated),
                _ if lengthless => None,
                _ => Some(HeaderValue::from(body.len())),
            };
            if let Some(length) = length {
                headers.insert(CONTENT_LENGTH, length);
            }
            let mut bytes = h1::write_response(head.status, &headers);
            bytes.extend_from_slice(&body);
            writer.write(bytes).await.is_ok()
        }
        AnswerBody::Begun(first, decoder, conn) => {
            let chunked = !matches!(head.framing, h1::Framing::Length(_));
            match head.framing {
                h1::Framing::Length(length) => {
                    headers.insert(CONTENT_LENGTH, HeaderValue::from(length))
                }
                _ => headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked")),
            };
            let bytes = h1::write_response(head.status, &headers);
            write_long(writer, bytes, first, decoder, *conn, chunked).await
        }
    }
}

/// Passes a long answer on piece by piece; one that is cut off is left without its end.
async fn write_long(
    writer: &mut h1::Writer,
    mut bytes: Vec<u8>,
    first: Bytes,
    mut decoder: h1::Decoder,
    mut conn: crate::conns::Conn,
    chunked: bool,
) -> bool {
    let encode = |piece: &[u8]| match chunked {
        true => h1::encode_chunk(piece),
        false => piece.to_vec(),
    };
    bytes.extend_from_slice(&encode(&first));
    loop {
        match monoio::time::timeout(WRITE_TIMEOUT, writer.write(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return false,
        }
        let piece = conn.reader.body_piece(&mut decoder);
        bytes = match monoio::time::timeout(WRITE_TIMEOUT, piece).await {
            Ok(Ok(Some(piece))) => encode(&piece),
            Ok(Ok(None)) if chunked => return writer.write(h1::LAST_CHUNK.to_vec()).await.is_ok(),
            Ok(Ok(None)) => return true,
            Ok(Err(_)) | Err(_) => return false,
        };
    }
}
