//! One request to one upstream over one connection.
//!
//! What the caller may be told depends on how the exchange ended, so each
//! possible end is one variant of [`Outcome`].

use std::pin::pin;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use web::h1;

use crate::conns::Conn;
use crate::HeaderNames;

/// A response whose body is shorter than this is received in full before any of it is passed
/// on: a truncated one can then still be replaced by another upstream's response.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// Responses to other requests after which a connection is given up.
const MAX_MISMATCHED_RESPONSES: usize = 4;

/// A request as it is sent to an upstream.
pub struct OutgoingRequest {
    /// Method, which also decides whether the response has a body.
    pub method: Method,
    /// Head and the first bytes of the body, encoded.
    pub bytes: Vec<u8>,
    /// Id that the response must echo.
    pub request_id: http::HeaderValue,
}

/// Body of a response.
pub enum ResponseBody {
    /// Received in full.
    Full(Bytes),
    /// Its first bytes; the remainder is still to be read from the connection.
    Partial(Bytes, h1::Decoder, Box<Conn>),
}

/// A response of an upstream.
pub struct Response {
    /// Status and headers.
    pub head: h1::ResponseHead,
    /// Body.
    pub body: ResponseBody,
    /// Until when its caller waits for the end of the body; `None` if that is not known.
    pub awaited_until: Option<Instant>,
}

impl Response {
    /// Returns the length of the body in bytes: the announced one where there is one, otherwise
    /// that of what was received so far.
    pub fn known_bytes(&self) -> usize {
        match (&self.body, self.head.framing) {
            (ResponseBody::Partial(..), h1::Framing::Length(length)) => length as usize,
            (ResponseBody::Full(body) | ResponseBody::Partial(body, ..), _) => body.len(),
        }
    }
}

/// Reason of [`Outcome::Lost`] when the caller left before its whole request was sent.
pub const CALLER_LEFT: &str = "caller left";

/// Reason of [`Outcome::Lost`] when reading the response head failed with an I/O error.
pub const CONNECTION_BROKEN: &str = "connection broke";

/// Reason of [`Outcome::Lost`] when the connection was closed before a response head.
pub const CLOSED_BEFORE_RESPONSE: &str = "closed without an answer";

/// Reason of [`Outcome::Lost`] when the body of the response could not be read to its end.
pub const RESPONSE_TRUNCATED: &str = "answer cut off";

/// Returns true for reasons of [`Outcome::Lost`] that mean that the upstream ended the connection.
pub fn is_connection_loss(why: &'static str) -> bool {
    [CONNECTION_BROKEN, CLOSED_BEFORE_RESPONSE, RESPONSE_TRUNCATED].contains(&why)
}

/// How far a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// All of it was written.
    Complete,
    /// Writing failed, or the response came before the request was written in full.
    UpstreamClosed,
    /// The caller left before all of its request had been received.
    CallerLeft,
}

/// Which request a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseTo {
    /// The one just sent.
    Current,
    /// Another one, or a probe: the response is late or a duplicate.
    Other,
}

/// How an exchange ended.
pub enum Outcome {
    /// The upstream responded; the response may be passed on.
    Answered(Response),
    /// No connection could be established; the upstream never received the request.
    NotSent,
    /// The upstream states that it did not run the request. Holds the status and headers.
    NotRun(StatusCode, HeaderMap),
    /// The request may have run and there is no response to pass on. Holds the reason.
    Lost(&'static str),
}

/// Sends `request` and receives its response; also returns the connection if it can be reused.
///
/// `write_rest` sends what follows the first bytes of the request, such as a streamed body.
/// `on_response_head` is called with the head of every response, those to other requests and
/// those that are not passed on included.
pub async fn run<F>(
    mut conn: Conn,
    request: OutgoingRequest,
    names: &HeaderNames,
    on_response_head: impl Fn(&h1::ResponseHead, ResponseTo),
    write_rest: F,
) -> (Outcome, Option<Conn>)
where
    F: AsyncFnOnce(&mut h1::Writer) -> SendResult,
{
    let (head, had_mismatched, sent) = match send_and_receive_head(
        &mut conn,
        request,
        names,
        on_response_head,
        write_rest,
    )
    .await
    {
        Ok(received) => received,
        Err(why) => return (Outcome::Lost(why), None),
    };
    let mut decoder = h1::Decoder::new(head.framing);
    let body = match receive_body(&mut conn.reader, &mut decoder).await {
        Ok(body) => body,
        Err(_) => return (Outcome::Lost(RESPONSE_TRUNCATED), None),
    };
    if !decoder.is_done() && body.len() >= MAX_BUFFERED_RESPONSE_BYTES {
        let body = ResponseBody::Partial(body, decoder, Box::new(conn));
        return (classify(head, body, names), None);
    }
    let no_extra_bytes = !conn.reader.has_buffered();
    let reusable =
        sent == SendResult::Complete && !had_mismatched && head.keep_alive && no_extra_bytes;
    conn.record_response(&head.headers);
    (classify(head, ResponseBody::Full(body), names), reusable.then_some(conn))
}

/// Sends a request while receiving the head of its response; ends as soon as that head is there.
///
/// Returns the head, whether responses to other requests came before it, and how far the request
/// was sent.
async fn send_and_receive_head<F>(
    conn: &mut Conn,
    request: OutgoingRequest,
    names: &HeaderNames,
    on_response_head: impl Fn(&h1::ResponseHead, ResponseTo),
    write_rest: F,
) -> Result<(h1::ResponseHead, bool, SendResult), &'static str>
where
    F: AsyncFnOnce(&mut h1::Writer) -> SendResult,
{
    let OutgoingRequest { method, bytes, request_id } = request;
    let Conn { reader, writer, used, .. } = conn;
    let receiving = receive_head(reader, &method, names, on_response_head, &request_id, !*used);
    let mut receiving = pin!(receiving);
    let mut sending = pin!(async {
        // An upstream that responds before it has read everything may close the connection. Its
        // response still counts; if there is none, or it was cut off, receiving it reports the failure.
        match writer.write(bytes).await {
            Ok(()) => write_rest(writer).await,
            Err(_) => SendResult::UpstreamClosed,
        }
    });
    let (received, sent) = monoio::select! {
        received = &mut receiving => (received, SendResult::UpstreamClosed),
        sent = &mut sending => match sent {
            SendResult::CallerLeft => return Err(CALLER_LEFT),
            sent => (receiving.await, sent),
        },
    };
    let (head, had_mismatched) = received?;
    Ok((head, had_mismatched, sent))
}

/// Returns the outcome that a response stands for: one that says that the request did not run,
/// one that cannot be passed on as it is not signed or is encoded, or one that can.
fn classify(head: h1::ResponseHead, body: ResponseBody, names: &HeaderNames) -> Outcome {
    let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
    let is_signed = head.headers.contains_key(&names.signature);
    match head.status {
        _ if head.headers.contains_key(&names.not_run) => {
            Outcome::NotRun(head.status, head.headers)
        }
        StatusCode::MISDIRECTED_REQUEST => Outcome::NotRun(head.status, head.headers),
        status if status.is_success() && !is_signed => Outcome::Lost("answer not signed"),
        // No content coding was requested: these are not the bytes that the upstream produced.
        status if status.is_success() && is_encoded => Outcome::Lost("answer in an unasked coding"),
        _ => Outcome::Answered(Response { head, body, awaited_until: None }),
    }
}

/// Receives the head of the response to `request_id`; also returns whether other responses came
/// before it. `is_first` tells that nothing else was asked for on the connection.
///
/// An upstream may send a late duplicate of the response to an earlier request or probe. Taken for
/// the response to this request it would leak another caller's data, or tell that a request did not
/// run. The right response follows.
async fn receive_head(
    reader: &mut h1::Reader,
    method: &Method,
    names: &HeaderNames,
    on_response_head: impl Fn(&h1::ResponseHead, ResponseTo),
    request_id: &http::HeaderValue,
    is_first: bool,
) -> Result<(h1::ResponseHead, bool), &'static str> {
    for mismatched in 0..MAX_MISMATCHED_RESPONSES {
        let head = match reader.response_head(method).await {
            Ok(head) => head,
            Err(h1::ReadError::Malformed(_)) => return Err("answer not readable"),
            Err(h1::ReadError::Closed) => return Err(CLOSED_BEFORE_RESPONSE),
            Err(h1::ReadError::Io(_)) => return Err(CONNECTION_BROKEN),
        };
        let response_to = match echoed_id(&head.headers, names) {
            Some(echoed) if echoed == request_id => ResponseTo::Current,
            Some(_) => ResponseTo::Other,
            None if head.headers.contains_key(&names.signature) => return Err("answer without id"),
            None if is_first => ResponseTo::Current,
            None => {
                trace::Line::new("response_without_id")
                    .field("request", request_id.to_str().unwrap_or("?"))
                    .field("status", head.status.as_u16())
                    .log();
                ResponseTo::Other
            }
        };
        on_response_head(&head, response_to);
        match response_to {
            ResponseTo::Current => return Ok((head, mismatched > 0)),
            ResponseTo::Other => discard_body(reader, &head).await?,
        }
    }
    Err("answers to other requests only")
}

/// Returns the request id that a response echoes. Some upstreams echo an empty one where the request
/// had none.
pub fn echoed_id<'a>(headers: &'a HeaderMap, names: &HeaderNames) -> Option<&'a http::HeaderValue> {
    headers.get(&names.request_id).filter(|id| !id.is_empty())
}

/// Receives the body of a response to another request.
async fn discard_body(
    reader: &mut h1::Reader,
    head: &h1::ResponseHead,
) -> Result<(), &'static str> {
    let mut decoder = h1::Decoder::new(head.framing);
    if decoder.is_close_delimited() {
        return Err("answer to another request");
    }
    while let Some(_discarded) =
        reader.body_piece(&mut decoder).await.map_err(|_| "answer to another request, cut off")?
    {
    }
    Ok(())
}

/// Receives a body, up to [`MAX_BUFFERED_RESPONSE_BYTES`] of it.
async fn receive_body(
    reader: &mut h1::Reader,
    decoder: &mut h1::Decoder,
) -> Result<Bytes, h1::ReadError> {
    let mut body = BytesMut::new();
    while body.len() < MAX_BUFFERED_RESPONSE_BYTES {
        match reader.body_piece(decoder).await? {
            Some(piece) if body.is_empty() && decoder.is_done() => return Ok(piece),
            Some(piece) => body.extend_from_slice(&piece),
            None => break,
        }
    }
    Ok(body.freeze())
}
