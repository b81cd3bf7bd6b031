//! HTTP/1.1 client connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::{HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use quick_error::quick_error;

use crate::arrival::{self, Arrival};
use crate::{h1, BufferBudget, Request, Response, MAX_BODY_BYTES};

/// Time for input that arrived while the event loop stalled to be received.
const TURN_TIMEOUT: Duration = Duration::from_millis(1);

quick_error! {
    /// Errors of connecting, or of sending a request and reading its response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The TCP connection could not be established; nothing was sent.
        Connect(message: String) {
            display("connect failed: {}", message)
        }
        /// The request could not be written; part of it may have been sent.
        Send(message: String) {
            display("send failed: {}", message)
        }
        /// The connection was closed or failed before the whole response arrived, or the response
        /// is malformed or too long ([`Conn::limit_body`]).
        Http(message: String) {
            display("http error: {}", message)
        }
        /// The timeout passed before the whole response arrived, or the response stopped arriving.
        Timeout {
            display("timed out")
        }
    }
}

/// TCP keepalive settings, with which the operating system detects a dead peer of an idle
/// connection.
#[derive(Clone, Copy, Debug)]
pub struct TcpKeepalive {
    /// Time without received data before the first keepalive probe.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Number of unacknowledged probes after which the connection fails.
    pub probes: u32,
}

/// A client connection that sends one request at a time and buffers each whole response.
pub struct Conn {
    writer: h1::Writer,
    reader: h1::Reader,
    is_reusable: bool,
    max_body_bytes: usize,
    budget: BufferBudget,
    /// Address of the server.
    pub peer: SocketAddr,
}

impl Conn {
    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] when the connection fails or `timeout` passes.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Conn, Error> {
        Conn::open(addr, timeout, None).await
    }

    /// Opens a connection to `addr` with TCP keepalive enabled.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] as [`Conn::connect`] does, and when the keepalive options cannot
    /// be set.
    pub async fn connect_with_keepalive(
        addr: SocketAddr,
        timeout: Duration,
        keepalive: TcpKeepalive,
    ) -> Result<Conn, Error> {
        Conn::open(addr, timeout, Some(keepalive)).await
    }

    async fn open(
        addr: SocketAddr,
        timeout: Duration,
        keepalive: Option<TcpKeepalive>,
    ) -> Result<Conn, Error> {
        let connecting = crate::connect(addr, timeout).await;
        let stream = connecting.map_err(|err| Error::Connect(err.to_string()))?;
        let _ = stream.set_nodelay(true);
        if let Some(TcpKeepalive { idle, interval, probes }) = keepalive {
            let result = stream.set_tcp_keepalive(Some(idle), Some(interval), Some(probes));
            result.map_err(|err| Error::Connect(err.to_string()))?;
        }
        let (reader, writer) = h1::split(stream);
        Ok(Conn {
            reader,
            writer,
            is_reusable: true,
            max_body_bytes: MAX_BODY_BYTES,
            budget: BufferBudget::unlimited(),
            peer: addr,
        })
    }

    /// Limits the body of each response to `max_bytes` instead of [`MAX_BODY_BYTES`].
    pub fn limit_body(&mut self, max_bytes: usize) {
        self.max_body_bytes = max_bytes;
    }

    /// Receives the bodies of responses into memory of `budget`.
    pub fn share_buffers(&mut self, budget: &BufferBudget) {
        self.budget = budget.clone();
    }

    /// Returns true if another request may be sent: the last exchange succeeded, its response did
    /// not end with the connection, and no bytes followed it, which would be taken for the response
    /// to the next request.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Returns true if something was received while the connection was idle, or the server has closed
    /// it. Such a connection must be dropped.
    pub async fn has_pending_input(&mut self) -> bool {
        self.reader.has_pending_input().await
    }

    /// Sends `request` and returns the whole response.
    ///
    /// The caller must drop the connection unless [`Conn::is_reusable`] returns true afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] when the connection is not reusable, and nothing is sent;
    /// [`Error::Send`] when writing fails, [`Error::Http`] when the response is malformed,
    /// too long or incomplete, and [`Error::Timeout`] when `timeout` passes first.
    pub async fn send(&mut self, request: Request, timeout: Duration) -> Result<Response, Error> {
        self.begin_exchange()?;
        match crate::timeout(timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Same as [`Conn::send`] for a response that may be large: it must begin within `timeout`, and
    /// is then received for as long as it arrives.
    ///
    /// # Errors
    ///
    /// Same as [`Conn::send`]; [`Error::Timeout`] when the response does not begin in time, stops
    /// arriving, or arrives for too long.
    pub async fn send_for_large_response(
        &mut self,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.begin_exchange()?;
        let given_up = wait_until_given_up(self.reader.received(), timeout);
        monoio::select! {
            result = self.exchange(request) => result,
            () = given_up => Err(Error::Timeout),
        }
    }

    /// Makes the connection not reusable until a whole response is received.
    fn begin_exchange(&mut self) -> Result<(), Error> {
        match std::mem::replace(&mut self.is_reusable, false) {
            true => Ok(()),
            false => Err(Error::Connect("the connection cannot be used again".to_owned())),
        }
    }

    async fn exchange(&mut self, request: Request) -> Result<Response, Error> {
        let http_error = |err: h1::ReadError| Error::Http(err.to_string());
        let (parts, body) = request.into_parts();
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let mut headers = parts.headers;
        headers.remove(TRANSFER_ENCODING);
        if !headers.contains_key(HOST) {
            let host = HeaderValue::try_from(self.peer.to_string())
                .expect("a socket address is a valid header value");
            headers.insert(HOST, host);
        }
        if !body.is_empty() || parts.method != http::Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let bytes = h1::write_request(&parts.method, target, &headers);
        let written = self.writer.write_message(bytes, &body).await;
        written.map_err(|err| Error::Send(err.to_string()))?;
        let head = self.reader.response_head(&parts.method).await.map_err(http_error)?;
        let mut decoder = h1::Decoder::new(head.framing);
        let body = self.reader.body(&mut decoder, self.max_body_bytes, &self.budget).await;
        let body = body.map_err(http_error)?;
        self.is_reusable = head.keep_alive && !self.reader.has_buffered();
        let mut response = http::Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        Ok(response)
    }
}

/// Returns once a response is no longer waited for that must begin within `timeout`.
async fn wait_until_given_up(received: Rc<Cell<u64>>, timeout: Duration) {
    let (sent_at, received_before) = (Instant::now(), received.get());
    let mut arrival = Arrival::default();
    let mut pause = timeout;
    loop {
        monoio::time::sleep(pause).await;
        monoio::time::sleep(TURN_TIMEOUT).await;
        if !arrival.continues(received.get() - received_before, sent_at.elapsed()) {
            return;
        }
        pause = arrival::CHECK_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
