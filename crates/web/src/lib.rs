//! HTTP/1.1 plumbing shared by every role, on monoio.
//!
//! [`h1`] frames messages; [`serve`] and [`Conn`] are a server and a client
//! for short messages. There bodies are read whole before a request or response is handed on, so a
//! connection is only reused once its last message was consumed in full: a
//! reused connection can never hand one caller the tail of another's answer.
//! Any error on a connection closes it.

mod client;
pub mod h1;
mod hop;
mod server;

pub use client::{Conn, Error, KeepAlive};
pub use hop::{credentials, strip_connection_headers};
pub use server::{serve, Handler};

use bytes::Bytes;

/// Longest body of a message that is read whole, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request with its whole body.
pub type Request = http::Request<Bytes>;

/// A response with its whole body.
pub type Response = http::Response<Bytes>;

/// The runtime every process of oatcove runs on: one thread, timers on.
pub type Runtime = monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>>;

/// Builds the runtime of one process or test.
///
/// The brief forbids io_uring, so this is the one place a runtime is made,
/// and it is always monoio's legacy (epoll) driver.
///
/// # Panics
///
/// Panics when the operating system refuses an epoll instance.
pub fn runtime() -> Runtime {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("epoll runtime starts")
}

/// Sends one request on a fresh connection to `addr` and returns the whole response.
///
/// # Errors
///
/// As [`Conn::connect`] and [`Conn::send`], each bounded by `timeout`.
pub async fn fetch(
    addr: std::net::SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
    timeout: std::time::Duration,
) -> Result<Response, Error> {
    let mut conn = Conn::connect(addr, timeout).await?;
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, addr.to_string())
        .body(body)
        .expect("method and path form a request");
    conn.send(request, timeout).await
}

/// Marks a response that must not be sent: the server closes the connection instead.
///
/// Stand-ins use it to lose an answer after the work took effect, the way a
/// cut connection does.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

/// Returns true when the sender of `headers` ends the connection after this message.
pub fn closes(headers: &http::HeaderMap) -> bool {
    let connection = headers.get(http::header::CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

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
