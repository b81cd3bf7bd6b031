//! HTTP/1.1 server for short messages.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use monoio::net::{TcpListener, TcpStream};

use crate::{h1, BufferBudget, Request, Response, MAX_BODY_BYTES};

/// Maximum length of a request head, in bytes; a common limit among HTTP servers.
const MAX_REQUEST_HEAD_BYTES: usize = 16 * 1024;

/// Length of the pieces in which a long body is written, and timeout of each. A caller that does not
/// read keeps the memory of its response.
const WRITE_PIECE_BYTES: usize = 64 * 1024;
const WRITE_PIECE_TIMEOUT: Duration = Duration::from_secs(10);

/// `Retry-After` of a request for whose body there is no memory, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Handles the requests of a server; all connections share one value.
pub trait Handler: 'static {
    /// Returns the whole response to `request`; `peer` is the caller's address.
    ///
    /// The future is dropped before it completes when the caller closes its connection without
    /// having sent anything after `request`.
    fn handle(
        &self,
        request: Request,
        peer: std::net::SocketAddr,
    ) -> impl Future<Output = Response>;

    /// Returns the maximum number of concurrent connections; further ones are closed on accept.
    fn max_connections(&self) -> usize {
        usize::MAX
    }

    /// Returns the memory that the bodies of requests may take; requests beyond it get 503.
    fn request_buffers(&self) -> BufferBudget {
        BufferBudget::unlimited()
    }
}

/// Accepts connections on `listener` and serves each in its own task; never returns.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let open_connections = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open_connections) > handler.max_connections() => {}
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let (handler, open_connections) = (handler.clone(), open_connections.clone());
                monoio::spawn(async move {
                    serve_connection(stream, peer, handler).await;
                    drop(open_connections);
                });
            }
            Err(err) => {
                // Accepting fails when the process runs out of file descriptors. A retry without a
                // delay would be a busy loop.
                log::warn!("failed to accept a connection: {err}");
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: std::net::SocketAddr,
    handler: Rc<H>,
) {
    let (mut reader, mut writer) = h1::split(stream);
    let budget = handler.request_buffers();
    loop {
        let received = read_request(&mut reader, &mut writer, &budget).await;
        let (request, caller_closes) = match received {
            Ok(received) => received,
            Err(h1::ReadError::Malformed(err)) => {
                log::debug!("rejected a malformed request from {peer}: {err}");
                let response = rejection(&err);
                let _ = send_response(&mut writer, response, false).await;
                writer.shutdown().await;
                return;
            }
            Err(h1::ReadError::Closed | h1::ReadError::Io(_)) => return,
        };
        let head_only = request.method() == http::Method::HEAD;
        let mut response_future = pin!(handler.handle(request, peer));
        // A caller that has closed its connection needs no response. Dropping the handler's future
        // cancels the work, which would otherwise use capacity that waiting callers need.
        let response = match reader.has_buffered() {
            true => response_future.await,
            false => monoio::select! {
                response = &mut response_future => response,
                more = reader.fill() => match more {
                    Ok(true) => response_future.await,
                    Ok(false) | Err(_) => return,
                },
            },
        };
        if response.extensions().get::<crate::DropConnection>().is_some() {
            return;
        }
        let close = caller_closes || crate::has_connection_close(response.headers());
        if send_response(&mut writer, response, head_only).await.is_err() || close {
            return;
        }
    }
}

/// Returns the response to a request that cannot be received.
fn rejection(err: &h1::ParseError) -> Response {
    let mut response = crate::reply(err.status(), format!("{err}\n"));
    if err.status() == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    }
    response
}

/// Reads a whole request and returns it with whether the connection closes after the response.
async fn read_request(
    reader: &mut h1::Reader,
    writer: &mut h1::Writer,
    budget: &BufferBudget,
) -> Result<(Request, bool), h1::ReadError> {
    let head = reader.request_head(MAX_REQUEST_HEAD_BYTES).await?;
    let mut decoder = h1::Decoder::new(head.framing);
    let expect_header = head.headers.get(http::header::EXPECT);
    if expect_header.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        writer.write(h1::write_response(StatusCode::CONTINUE, &HeaderMap::new())).await?;
    }
    let body = reader.body(&mut decoder, MAX_BODY_BYTES, budget).await?;
    let uri = http::Uri::try_from(head.target.as_str());
    let uri = uri.map_err(|err| h1::ParseError::Syntax(err.to_string()))?;
    let mut request = http::Request::new(body);
    *request.method_mut() = head.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = head.headers;
    Ok((request, !head.keep_alive))
}

/// Sends a response; without its body if `head_only`, as the caller of a HEAD request would take a
/// body for the next response.
async fn send_response(
    writer: &mut h1::Writer,
    response: Response,
    head_only: bool,
) -> io::Result<()> {
    let (parts, body): (_, Bytes) = response.into_parts();
    let mut headers = parts.headers;
    headers.remove(TRANSFER_ENCODING);
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    let bytes = h1::write_response(parts.status, &headers);
    if head_only {
        return writer.write(bytes).await;
    }
    match body.len() <= WRITE_PIECE_BYTES {
        true => writer.write_message(bytes, &body).await,
        false => write_long(writer, bytes, body).await,
    }
}

/// Writes a head and a long body, and gives up if a piece of it is not written in time.
async fn write_long(writer: &mut h1::Writer, head: Vec<u8>, mut body: Bytes) -> io::Result<()> {
    let first = body.split_to(WRITE_PIECE_BYTES);
    let writing = crate::timeout(WRITE_PIECE_TIMEOUT, writer.write_message(head, &first));
    writing.await.map_err(|_| io::ErrorKind::TimedOut)??;
    while !body.is_empty() {
        let piece = body.split_to(body.len().min(WRITE_PIECE_BYTES));
        let writing = crate::timeout(WRITE_PIECE_TIMEOUT, writer.write(piece));
        writing.await.map_err(|_| io::ErrorKind::TimedOut)??;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
