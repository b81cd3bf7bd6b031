//! One request to one upstream over one connection.
//!
//! What the caller may be told depends on how the exchange ended, so each
//! way it can end is one variant of [`Outcome`].

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use web::h1;

use crate::conns::Conn;
use crate::HeaderNames;

/// An answer up to this size is received in full before any of it is passed
/// on: one that is cut off can then still be replaced by another upstream's.
pub const WHOLE_ANSWER_BYTES: usize = 64 * 1024;

/// Answers to other requests that are passed over before the connection is given up.
const FOREIGN_MOST: usize = 4;

/// A request as an upstream gets it.
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Head and body, encoded.
    pub bytes: Vec<u8>,
    /// Id that the answer must echo.
    pub request_id: http::HeaderValue,
}

/// The body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Its beginning; the rest is still to come on the connection.
    Begun(Bytes, h1::Decoder, Box<Conn>),
}

/// An answer that an upstream made.
pub struct Answer {
    /// Its head.
    pub head: h1::ResponseHead,
    /// Its body.
    pub body: AnswerBody,
}

impl Answer {
    /// Returns the length of its body as far as it is known yet.
    pub fn known_bytes(&self) -> usize {
        match (&self.body, self.head.framing) {
            (AnswerBody::Begun(..), h1::Framing::Length(length)) => length as usize,
            (AnswerBody::Whole(body) | AnswerBody::Begun(body, ..), _) => body.len(),
        }
    }
}

/// Why a request got no answer when its own caller left.
pub const CALLER_LEFT: &str = "caller left";

/// Why a request got no answer when its connection was reset before any of it came.
pub const BROKE: &str = "connection broke";

/// Why a request got no answer when its connection was closed before any of it came.
pub const CLOSED: &str = "closed without an answer";

/// Why a request got no whole answer when its connection ended within it.
pub const CUT_OFF: &str = "answer cut off";

/// Returns true when a request got no answer since its upstream's side of the connection ended.
pub fn ends_connection(why: &'static str) -> bool {
    [BROKE, CLOSED, CUT_OFF].contains(&why)
}

/// How far the sending of a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// All of it was written.
    All,
    /// The upstream takes no more of it.
    UpstreamBroke,
    /// Its caller left before all of it had come.
    CallerLeft,
}

/// Which request an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTo {
    /// The one that was sent.
    This,
    /// An earlier one: it comes late, or once too often.
    Earlier,
}

/// How an exchange ended.
pub enum Outcome {
    /// The upstream answered.
    Answered(Answer),
    /// No connection could be made; the upstream knows nothing of the request.
    NotSent,
    /// The upstream says that it did not run the request.
    NotRun(StatusCode, HeaderMap),
    /// The request may have run and there is no answer to pass on.
    Lost(&'static str),
}

/// Sends `request` and receives its answer; also returns the connection if it can be used again.
///
/// `rest` sends what follows the first bytes of the request, such as a long body; `hear` is given the
/// head of each answer, whatever becomes of that answer.
pub async fn run<F>(
    mut conn: Conn,
    request: Outgoing,
    names: &HeaderNames,
    hear: impl Fn(&h1::ResponseHead, AnswerTo),
    rest: F,
) -> (Outcome, Option<Conn>)
where
    F: AsyncFnOnce(&mut h1::Writer) -> Sent,
{
    let (head, surplus, sent) = match trade(&mut conn, request, names, hear, rest).await {
        Ok(traded) => traded,
        Err(why) => return (Outcome::Lost(why), None),
    };
    let mut decoder = h1::Decoder::new(head.framing);
    let body = match receive_body(&mut conn.reader, &mut decoder).await {
        Ok(body) => body,
        Err(_) => return (Outcome::Lost(CUT_OFF), None),
    };
    if !decoder.is_done() && body.len() >= WHOLE_ANSWER_BYTES {
        let body = AnswerBody::Begun(body, decoder, Box::new(conn));
        return (judge(head, body, names), None);
    }
    let quiet = !conn.reader.has_buffered();
    let reusable = sent == Sent::All && !surplus && head.keep_alive && quiet;
    conn.answered(&head.headers);
    (judge(head, AnswerBody::Whole(body), names), reusable.then_some(conn))
}

/// Sends a request and receives the head of its answer, whichever is over first.
///
/// Returns the head, whether other answers came before it, and how far the sending got.
async fn trade<F>(
    conn: &mut Conn,
    request: Outgoing,
    names: &HeaderNames,
    hear: impl Fn(&h1::ResponseHead, AnswerTo),
    rest: F,
) -> Result<(h1::ResponseHead, bool, Sent), &'static str>
where
    F: AsyncFnOnce(&mut h1::Writer) -> Sent,
{
    let Outgoing { method, bytes, request_id } = request;
    let Conn { reader, writer, .. } = conn;
    let mut answered = pin!(receive_head(reader, &method, names, hear, &request_id));
    let mut sending = pin!(async {
        // An upstream that answers before it has read everything may close: its answer still
        // counts, and a failed write is told by the missing answer.
        match writer.write(bytes).await {
            Ok(()) => rest(writer).await,
            Err(_) => Sent::UpstreamBroke,
        }
    });
    let (received, sent) = monoio::select! {
        received = &mut answered => (received, Sent::UpstreamBroke),
        sent = &mut sending => match sent {
            Sent::CallerLeft => return Err(CALLER_LEFT),
            sent => (answered.await, sent),
        },
    };
    let (head, surplus) = received?;
    Ok((head, surplus, sent))
}

/// Tells what an answer means.
fn judge(head: h1::ResponseHead, body: AnswerBody, names: &HeaderNames) -> Outcome {
    let encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
    let signed = head.headers.contains_key(&names.signature);
    match head.status {
        _ if head.headers.contains_key(&names.not_run) => {
            Outcome::NotRun(head.status, head.headers)
        }
        StatusCode::MISDIRECTED_REQUEST => Outcome::NotRun(head.status, head.headers),
        status if status.is_success() && !signed => Outcome::Lost("answer not signed"),
        // Nobody asked for a coding: these are not the bytes that the upstream made.
        status if status.is_success() && encoded => Outcome::Lost("answer in an unasked coding"),
        _ => Outcome::Answered(Answer { head, body }),
    }
}

/// Receives the head of the answer to `request_id`; also tells whether other answers came before.
///
/// An upstream may send a second answer to an earlier request, late. Taken for
/// the answer to this one it would hand a caller another's data; the echoed id
/// tells them apart, and the right answer follows.
async fn receive_head(
    reader: &mut h1::Reader,
    method: &Method,
    names: &HeaderNames,
    hear: impl Fn(&h1::ResponseHead, AnswerTo),
    request_id: &http::HeaderValue,
) -> Result<(h1::ResponseHead, bool), &'static str> {
    for foreign in 0..FOREIGN_MOST {
        let head = match reader.response_head(method).await {
            Ok(head) => head,
            Err(h1::ReadError::Malformed(_)) => return Err("answer not readable"),
            Err(h1::ReadError::Closed) => return Err(CLOSED),
            Err(h1::ReadError::Io(_)) => return Err(BROKE),
        };
        match head.headers.get(&names.request_id) {
            Some(echoed) if echoed != request_id => {
                hear(&head, AnswerTo::Earlier);
                let mut decoder = h1::Decoder::new(head.framing);
                if decoder.is_close_delimited() {
                    return Err("answer to another request");
                }
                while let Some(_passed_over) = reader
                    .body_piece(&mut decoder)
                    .await
                    .map_err(|_| "answer to another request, cut off")?
                {}
            }
            None if head.headers.contains_key(&names.signature) => return Err("answer without id"),
            _ => {
                hear(&head, AnswerTo::This);
                return Ok((head, foreign > 0));
            }
        }
    }
    Err("answers to other requests only")
}

/// Receives a body, up to [`WHOLE_ANSWER_BYTES`] of it.
async fn receive_body(
    reader: &mut h1::Reader,
    decoder: &mut h1::Decoder,
) -> Result<Bytes, h1::ReadError> {
    let mut body = BytesMut::new();
    while body.len() < WHOLE_ANSWER_BYTES {
        match reader.body_piece(decoder).await? {
            Some(piece) if body.is_empty() && decoder.is_done() => return Ok(piece),
            Some(piece) => body.extend_from_slice(&piece),
            None => break,
        }
    }
    Ok(body.freeze())
}
