//! An address that refuses connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// A loopback address that refuses connections until this is dropped.
///
/// The port of a listener that was closed may be assigned at once to a server of another test. This
/// one stays in use, by the client side of a connection.
#[derive(Debug)]
pub struct ClosedPort {
    addr: SocketAddr,
    _client: TcpStream,
    _listener: TcpListener,
}

impl ClosedPort {
    /// Reserves a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is free.
    pub fn new() -> io::Result<ClosedPort> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let client = TcpStream::connect(listener.local_addr()?)?;
        Ok(ClosedPort { addr: client.local_addr()?, _client: client, _listener: listener })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

#[cfg(test)]
mod tests;
