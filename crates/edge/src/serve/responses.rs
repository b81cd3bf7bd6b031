//! Writes responses to callers, in the order of their requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use local_sync::mpsc::unbounded;
use web::h1;

use super::pipeline::{Pipeline, QueuedResponse, QueuedWrite};
use super::{unchunked, ConnectionEnd};
use crate::exchange::{Response, ResponseBody};
use crate::forward::{Node, Reply};
use crate::reply::LocalReply;

/// Timeout for each piece of a long response: to receive it from the upstream, and to write it to
/// the caller.
const STREAMING_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes the responses of a connection until one of them closes it or the caller disconnects.
///
/// A response that is ready before its predecessors waits for them: a complete one in memory, a
/// long one at its upstream, which is stopped by TCP flow control. `to_peer` tells that the other
/// side is a peer, which has offered the request.
pub(super) async fn write_all(
    writer: &mut h1::Writer,
    mut writes: unbounded::Rx<QueuedWrite>,
    pipeline: &Pipeline,
    node: &Rc<Node>,
    to_peer: bool,
) -> ConnectionEnd {
    let not_run = to_peer.then(|| node.state.borrow().settings.headers.not_run.clone());
    while let Some(queued) = writes.recv().await {
        let QueuedWrite::Response(response) = queued else {
            let continue_response = h1::write_response(StatusCode::CONTINUE, &HeaderMap::new());
            match writer.write(continue_response).await {
                Ok(()) => continue,
                Err(_) => return ConnectionEnd::Disconnected,
            }
        };
        let QueuedResponse { reply, head_only, accepts_chunks, last, body_bytes, in_flight } =
            response;
        let Some(reply) = reply.wait().await else { return ConnectionEnd::Disconnected };
        let (reply, _reservation) = match reply {
            Reply::Upstream(response) if !accepts_chunks => {
                let budget = node.state.borrow().body_budget.clone();
                unchunked::with_length(response, &budget).await
            }
            reply => (reply, None),
        };
        // A stopping node closes only behind the last request in flight: the caller would not know
        // whether the requests after this one, already sent to upstreams, have run.
        let stopping = node.state.borrow().stopping.is_some();
        let close = last || (stopping && pipeline.unanswered() == 1);
        if close {
            pipeline.set_closing();
        }
        let written = match reply {
            Reply::Upstream(response) => {
                write_upstream_response(writer, response, head_only, close).await
            }
            Reply::Local(local_reply) => {
                write_local_reply(writer, &local_reply, not_run.as_ref(), head_only, close).await
            }
        };
        drop(in_flight);
        pipeline.response_written(body_bytes);
        match () {
            () if !written => return ConnectionEnd::Disconnected,
            () if close => return ConnectionEnd::Linger,
            () => {}
        }
    }
    // No more requests are read, and all are answered.
    ConnectionEnd::Disconnected
}

/// Writes a response made by the node itself; returns false if the caller has disconnected. A peer is
/// told by the header `not_run` that its request did not run.
async fn write_local_reply(
    writer: &mut h1::Writer,
    local_reply: &LocalReply,
    not_run: Option<&HeaderName>,
    head_only: bool,
    close: bool,
) -> bool {
    let (mut headers, body) = local_reply.parts();
    if let (Some(not_run), Some(_)) = (not_run, local_reply.retry_after) {
        headers.insert(not_run, HeaderValue::from_static("1"));
    }
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    set_close(&mut headers, close);
    let mut bytes = h1::write_response(local_reply.status, &headers);
    if !head_only {
        bytes.extend_from_slice(&body);
    }
    writer.write(bytes).await.is_ok()
}

fn set_close(headers: &mut HeaderMap, close: bool) {
    if close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Writes an upstream's response; returns false if the caller has disconnected or the response is
/// truncated.
async fn write_upstream_response(
    writer: &mut h1::Writer,
    response: Response,
    head_only: bool,
    close: bool,
) -> bool {
    let Response { head, body, awaited_until } = response;
    let declared_length = head.headers.get(CONTENT_LENGTH).cloned();
    let mut headers = head.headers;
    web::strip_connection_headers(&mut headers);
    set_close(&mut headers, close);
    let omits_length = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match body {
        ResponseBody::Full(body) => {
            let length = match declared_length {
                Some(declared) if head_only => Some(declared),
                _ if omits_length => None,
                _ => Some(HeaderValue::from(body.len())),
            };
            if let Some(length) = length {
                headers.insert(CONTENT_LENGTH, length);
            }
            let mut bytes = h1::write_response(head.status, &headers);
            bytes.extend_from_slice(&body);
            writer.write(bytes).await.is_ok()
        }
        ResponseBody::Partial(first, decoder, conn) => {
            let chunked = !matches!(head.framing, h1::Framing::Length(_));
            match head.framing {
                h1::Framing::Length(length) => {
                    headers.insert(CONTENT_LENGTH, HeaderValue::from(length))
                }
                _ => headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked")),
            };
            let bytes = h1::write_response(head.status, &headers);
            stream_response(writer, bytes, first, decoder, *conn, chunked, awaited_until).await
        }
    }
}

/// Returns the time allowed for the next piece of a response; `None` once its caller does not wait any
/// more. An upstream may send without end.
fn piece_timeout(awaited_until: Option<Instant>) -> Option<Duration> {
    let left = awaited_until.map(|until| until.saturating_duration_since(Instant::now()));
    let timeout = left.map_or(STREAMING_TIMEOUT, |left| left.min(STREAMING_TIMEOUT));
    (!timeout.is_zero()).then_some(timeout)
}

/// Streams a long response to the caller; returns false if the caller has disconnected or the
/// response is truncated. A truncated one is passed on without an end, so that the caller can tell.
async fn stream_response(
    writer: &mut h1::Writer,
    mut bytes: Vec<u8>,
    first: Bytes,
    mut decoder: h1::Decoder,
    mut conn: crate::conns::Conn,
    chunked: bool,
    awaited_until: Option<Instant>,
) -> bool {
    let encode = |piece: &[u8]| match chunked {
        true => h1::encode_chunk(piece),
        false => piece.to_vec(),
    };
    bytes.extend_from_slice(&encode(&first));
    loop {
        let Some(timeout) = piece_timeout(awaited_until) else { return false };
        match monoio::time::timeout(timeout, writer.write(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return false,
        }
        let piece = conn.reader.body_piece(&mut decoder);
        bytes = match monoio::time::timeout(timeout, piece).await {
            Ok(Ok(Some(piece))) => encode(&piece),
            Ok(Ok(None)) if chunked => return writer.write(h1::LAST_CHUNK.to_vec()).await.is_ok(),
            Ok(Ok(None)) => return true,
            Ok(Err(_)) | Err(_) => return false,
        };
    }
}
