//! The accept loop and per-connection loop of an HTTP/1.1 server.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::ServerCodec;

use crate::{Request, Response};

/// Answers requests; one value serves every connection of a server.
pub trait Handler: 'static {
    /// Returns the whole response to `request`; `peer` is the caller's address.
    ///
    /// The future is dropped midway when the caller closes its connection.
    fn handle(
        &self,
        request: Request,
        peer: std::net::SocketAddr,
    ) -> impl Future<Output = Response>;

    /// Returns how many connections are served at once; further ones are closed at once.
    fn max_connections(&self) -> usize {
        usize::MAX
    }
}

/// Accepts connections on `listener` forever, each served by its own task.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open) > handler.max_connections() => {}
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let (handler, open) = (handler.clone(), open.clone());
                monoio::spawn(async move {
                    connection(stream, peer, handler).await;
                    drop(open);
                });
            }
            Err(err) => {
                // Running out of file descriptors shows here; back off instead of spinning.
                log::warn!("accept failed: {err}");
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, peer: std::net::SocketAddr, handler: Rc<H>) {
    let mut codec = ServerCodec::new(stream);
    let mut pipelined = None;
    loop {
        let request = match pipelined.take() {
            Some(request) => Some(request),
            None => codec.next().await,
        };
        let request = match request {
            Some(Ok(request)) => request,
            Some(Err(err)) => {
                log::debug!("bad request from {peer}: {err}");
                let bad = crate::reply(http::StatusCode::BAD_REQUEST, "malformed HTTP request\n");
                let _ = send(&mut codec, bad).await;
                return;
            }
            None => return,
        };
        if codec.fill_payload().await.is_err() {
            return;
        }
        let caller_closes = crate::closes(request.headers());
        let (parts, payload) = request.into_parts();
        let Ok(body) = crate::read_payload(payload).await else { return };
        let mut handling = pin!(handler.handle(http::Request::from_parts(parts, body), peer));
        // A caller that goes away needs no answer: dropping the handler drops the work, which
        // would otherwise go on to hold room that callers who still wait could use.
        let response = monoio::select! {
            response = &mut handling => response,
            next = codec.next() => match next {
                None => return,
                next => {
                    pipelined = next;
                    handling.await
                }
            },
        };
        if response.extensions().get::<crate::DropConnection>().is_some() {
            return;
        }
        let closing = caller_closes || crate::closes(response.headers());
        if send(&mut codec, response).await.is_err() || closing {
            return;
        }
    }
}

async fn send(codec: &mut ServerCodec<TcpStream>, response: Response) -> Result<(), ()> {
    let (parts, body) = response.into_parts();
    let response = http::Response::from_parts(parts, crate::to_payload(body));
    codec.send_and_flush(response).await.map_err(|_| ())
}

#[cfg(test)]
mod tests;
