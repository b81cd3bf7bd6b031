//! Connecting to a server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;

/// Opens a connection to `addr`.
///
/// # Errors
///
/// Returns the error of the operating system, `TimedOut` after `timeout`, and `ConnectionRefused` if
/// the connection is one to itself.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = match crate::timeout(timeout, TcpStream::connect_addr(addr)).await {
        Ok(stream) => stream?,
        Err(crate::Elapsed) => return Err(io::ErrorKind::TimedOut.into()),
    };
    match is_to_itself(&stream, addr)? {
        true => Err(io::ErrorKind::ConnectionRefused.into()),
        false => Ok(stream),
    }
}

/// Returns true if nobody listens on `addr` and the operating system connected the socket to
/// itself: on one machine, it may choose `addr` as the local address. The client would take its own
/// request for the response.
fn is_to_itself(stream: &TcpStream, addr: SocketAddr) -> io::Result<bool> {
    // A server on another machine has another address.
    Ok(addr.ip().is_loopback() && stream.local_addr()? == addr)
}

#[cfg(test)]
mod tests;
