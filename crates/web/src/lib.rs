//! HTTP/1.1 plumbing shared by every role, over `monoio-http`.
//!
//! Bodies are read whole before a request or response is handed on, so a
//! connection is only reused once its last message was consumed in full: a
//! reused connection can never hand one caller the tail of another's answer.
//! Any error on a connection closes it.

mod client;
mod server;

pub use client::{Conn, Error};
pub use server::{serve, Handler};

use bytes::Bytes;

/// A request with its whole body.
pub type Request = http::Request<Bytes>;

/// A response with its whole body.
pub type Response = http::Response<Bytes>;

/// Marks a response that must not be sent: the server closes the connection instead.
///
/// Stand-ins use it to lose an answer after the work took effect, the way a
/// cut connection does.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

/// Builds a response with `status` and a body.
pub fn reply(status: http::StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(body.into());
    *response.status_mut() = status;
    response
}

/// Builds a JSON response with `status` from already-encoded JSON bytes.
pub fn json(status: http::StatusCode, body: Vec<u8>) -> Response {
    let mut response = reply(status, body);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Returns the value of query parameter `key` in `uri`, undecoded.
pub fn query<'a>(uri: &'a http::Uri, key: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| match pair.split_once('=') {
        Some((name, value)) if name == key => Some(value),
        _ => None,
    })
}

/// Converts a body-less payload or a fixed or chunked one into bytes.
async fn read_payload(payload: monoio_http::h1::payload::Payload) -> Result<Bytes, Error> {
    use monoio_http::common::body::Body;
    use monoio_http::h1::payload::Payload;
    match payload {
        Payload::None => Ok(Bytes::new()),
        Payload::Fixed(mut fixed) => match monoio::io::stream::Stream::next(&mut fixed).await {
            Some(Ok(data)) => Ok(data),
            Some(Err(err)) => Err(Error::Http(err.to_string())),
            None => Ok(Bytes::new()),
        },
        mut stream @ Payload::Stream(_) => {
            let mut out = bytes::BytesMut::new();
            while let Some(chunk) = stream.next_data().await {
                out.extend_from_slice(&chunk.map_err(|err| Error::Http(err.to_string()))?);
            }
            Ok(out.freeze())
        }
    }
}

/// Wraps whole bytes as a payload to send.
fn to_payload(body: Bytes) -> monoio_http::h1::payload::Payload {
    use monoio_http::h1::payload::{FixedPayload, Payload};
    match body.is_empty() {
        true => Payload::None,
        false => Payload::Fixed(FixedPayload::new(body)),
    }
}
