//! One client connection to an HTTP/1.1 server.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_http::h1::codec::decoder::{FillPayload, ResponseDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use quick_error::quick_error;

use crate::{Request, Response};

quick_error! {
    /// Why an exchange on a connection failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The TCP connection could not be made; nothing was sent.
        Connect(message: String) {
            display("connect failed: {}", message)
        }
        /// The request could not be written; it may have been partly sent.
        Send(message: String) {
            display("send failed: {}", message)
        }
        /// The peer closed or broke the connection before the whole response arrived.
        Http(message: String) {
            display("http error: {}", message)
        }
        /// The deadline passed before the whole response arrived.
        Timeout {
            display("timed out")
        }
    }
}

/// A connection that sends one request at a time and reads each response whole.
pub struct Conn {
    tx: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    rx: ResponseDecoder<OwnedReadHalf<TcpStream>>,
    /// Where this connection goes.
    pub peer: SocketAddr,
}

impl Conn {
    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] when the connection is refused or `timeout` passes.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Conn, Error> {
        let stream = match monoio::time::timeout(timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Error::Connect(err.to_string())),
            Err(_) => return Err(Error::Connect("timed out".to_owned())),
        };
        let _ = stream.set_nodelay(true);
        let (r, w) = stream.into_split();
        Ok(Conn { tx: GenericEncoder::new(w), rx: ResponseDecoder::new(r), peer: addr })
    }

    /// Sends `request` and returns the whole response.
    ///
    /// The caller must drop the connection after any error: its stream may be
    /// left mid-message.
    ///
    /// # Errors
    ///
    /// [`Error::Send`] when writing fails, [`Error::Http`] when the response is
    /// broken or cut, [`Error::Timeout`] when `timeout` passes first.
    pub async fn send(&mut self, request: Request, timeout: Duration) -> Result<Response, Error> {
        match monoio::time::timeout(timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(&mut self, request: Request) -> Result<Response, Error> {
        let (parts, body) = request.into_parts();
        let request = http::Request::from_parts(parts, crate::to_payload(body));
        self.tx.send_and_flush(request).await.map_err(|err| Error::Send(err.to_string()))?;
        let response = match self.rx.next().await {
            Some(Ok(response)) => response,
            Some(Err(err)) => return Err(Error::Http(err.to_string())),
            None => return Err(Error::Http("connection closed before response".to_owned())),
        };
        self.rx.fill_payload().await.map_err(|err| Error::Http(err.to_string()))?;
        let (parts, payload) = response.into_parts();
        let body = crate::read_payload(payload).await?;
        Ok(http::Response::from_parts(parts, body))
    }
}
