//! Responses to callers that know no chunks (HTTP/1.0).
//!
//! Such a caller takes the end of the connection for the end of a body without length, also if the
//! body was cut off. So it gets a response with its length, once all of it was received.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use web::h1;

use crate::bodies::{BodyBudget, Reservation};
use crate::conns::Conn;
use crate::exchange::{Response, ResponseBody};
use crate::forward::Reply;
use crate::reply::LocalReply;

/// Maximum length of a body that is received in full, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Maximum time for the rest of a body if it is not known for how long the caller waits.
const MAX_RECEIVE_TIME: Duration = Duration::from_secs(10);

/// Returns the response with its whole body if its length is not stated, or an error if the body is
/// cut off, too long, or finds no memory. Also returns the memory that the body takes.
pub(super) async fn with_length(
    response: Response,
    budget: &BodyBudget,
) -> (Reply, Option<Reservation>) {
    let Response { head, body, awaited_until } = response;
    let (first, decoder, conn) = match body {
        ResponseBody::Partial(first, decoder, conn)
            if !matches!(head.framing, h1::Framing::Length(_)) =>
        {
            (first, decoder, conn)
        }
        body => return (Reply::Upstream(Response { head, body, awaited_until }), None),
    };
    let max_time = awaited_until
        .map_or(MAX_RECEIVE_TIME, |until| until.saturating_duration_since(Instant::now()));
    match web::timeout(max_time, receive_rest(first, decoder, *conn, budget)).await {
        Ok(Some((body, reservation))) => {
            let body = ResponseBody::Full(body);
            (Reply::Upstream(Response { head, body, awaited_until }), Some(reservation))
        }
        Ok(None) | Err(_) => {
            let text = "the response could not be received in full; the request may have run";
            (Reply::Local(LocalReply::failed(StatusCode::BAD_GATEWAY, text)), None)
        }
    }
}

/// Receives the rest of a body; returns `None` if that fails.
async fn receive_rest(
    first: Bytes,
    mut decoder: h1::Decoder,
    mut conn: Conn,
    budget: &BodyBudget,
) -> Option<(Bytes, Reservation)> {
    let reservation = budget.reserve(MAX_BODY_BYTES, MAX_BODY_BYTES)?;
    let mut body = BytesMut::from(first.as_ref());
    while let Some(piece) = conn.reader.body_piece(&mut decoder).await.ok()? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some((body.freeze(), reservation))
}
