//! Writing answers to callers, in the order of their requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use local_sync::mpsc::unbounded;
use web::h1;

use super::pipeline::{Answering, Pipeline, Turn};
use super::End;
use crate::exchange::{Response, ResponseBody};
use crate::forward::{Node, Reply};
use crate::reply::Own;

/// Time for a caller to take in a piece of a long answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes the answers of a connection until one of them closes it or the caller is gone.
///
/// Answers that are ready wait for those before them: whole ones in memory, long ones at their
/// upstream, whose window fills.
pub(super) async fn write_all(
    writer: &mut h1::Writer,
    mut turns: unbounded::Rx<Turn>,
    pipeline: &Pipeline,
    node: &Rc<Node>,
) -> End {
    while let Some(turn) = turns.recv().await {
        let Turn::Answer(answering) = turn else {
            let go_on = h1::write_response(StatusCode::CONTINUE, &HeaderMap::new());
            match writer.write(go_on).await {
                Ok(()) => continue,
                Err(_) => return End::Gone,
            }
        };
        let Answering { reply, bodyless, last, held_bytes, in_flight } = answering;
        let Some(reply) = reply.wait().await else { return End::Gone };
        // What was passed on to upstreams behind this request is still answered: closed now, its
        // callers would not know whether it ran.
        let stopping = node.state.borrow().stopping.is_some();
        let close = last || (stopping && pipeline.unanswered() == 1);
        if close {
            pipeline.close();
        }
        let written = match reply {
            Reply::Upstream(answer) => write_answer(writer, answer, bodyless, close).await,
            Reply::Own(own) => write_own(writer, &own, bodyless, close).await,
        };
        drop(in_flight);
        pipeline.answered(held_bytes);
        match () {
            () if !written => return End::Gone,
            () if close => return End::Linger,
            () => {}
        }
    }
    // Nothing more is read, and everything is answered.
    End::Gone
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
    answer: Response,
    bodyless: bool,
    close: bool,
) -> bool {
    let Response { head, body } = answer;
    let stated_length = head.headers.get(CONTENT_LENGTH).cloned();
    let mut headers = head.headers;
    web::strip_connection_headers(&mut headers);
    set_close(&mut headers, close);
    let lengthless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match body {
        ResponseBody::Full(body) => {
            let length = match stated_length {
                Some(stated) if bodyless => Some(stated),
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
        ResponseBody::Partial(first, decoder, conn) => {
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
