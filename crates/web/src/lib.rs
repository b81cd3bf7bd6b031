//! HTTP/1.1 server and client on monoio, shared by all processes.
//!
//! [`h1`] parses, frames and writes messages; [`serve`] and [`Conn`] are a server and a client for
//! short messages. Both buffer the whole body before they return a request or response. A
//! connection is therefore reused only after its last message was consumed completely, and one
//! caller never receives the rest of another caller's response. After any error the connection is
//! closed.

mod arrival;
mod buffers;
mod client;
mod connect;
pub mod h1;
mod headers;
mod listen;
mod server;
mod timeout;

pub use buffers::BufferBudget;
pub use client::{Conn, Error, TcpKeepalive};
pub use connect::connect;
pub use headers::{credentials, strip_connection_headers};
pub use listen::listen;
pub use server::{serve, Handler};
pub use timeout::{timeout, Elapsed};

use bytes::Bytes;

/// Maximum length of a body that [`serve`] and [`Conn`] buffer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request with its whole body.
pub type Request = http::Request<Bytes>;

/// A response with its whole body.
pub type Response = http::Response<Bytes>;

/// The runtime of every oatcove process: single-threaded, with timers.
pub type Runtime = monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>>;

/// Builds the runtime of one process or test.
///
/// io_uring must not be used. Runtimes are therefore built only here, always with monoio's legacy
/// (epoll) driver.
///
/// # Panics
///
/// Panics when the operating system cannot create an epoll instance.
pub fn runtime() -> Runtime {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the epoll runtime should start")
}

/// Sends one request on a new connection to `addr` and returns the whole response.
///
/// `timeout` applies to connecting and to the exchange separately.
///
/// # Errors
///
/// Returns the errors of [`Conn::connect`] and [`Conn::send`].
///
/// # Panics
///
/// Panics when `path` is not a valid URI.
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
        .expect("method and path form a valid request");
    conn.send(request, timeout).await
}

/// Response extension that makes the server close the connection instead of sending the response.
///
/// Test servers use it to lose a response after the request took effect, as a broken connection
/// does.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

/// Returns true when `headers` say with the option `close` of `Connection` that the sender closes
/// the connection after this message.
pub fn has_connection_close(headers: &http::HeaderMap) -> bool {
    h1::has_connection_option(headers, "close")
}

/// Builds a response with `status` and a body.
pub fn reply(status: http::StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(body.into());
    *response.status_mut() = status;
    response
}

/// Builds a JSON response with `status` from encoded JSON.
pub fn json(status: http::StatusCode, body: Vec<u8>) -> Response {
    let mut response = reply(status, body);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Returns the value of the first query parameter `key` in `uri`, without percent-decoding.
pub fn query_param<'a>(uri: &'a http::Uri, key: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| match pair.split_once('=') {
        Some((name, value)) if name == key => Some(value),
        _ => None,
    })
}

#[cfg(test)]
mod tests;
