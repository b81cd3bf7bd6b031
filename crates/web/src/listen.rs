//! Listeners with an address of their own.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Listens on `addr`, which no other socket may listen on.
///
/// monoio's default lets several sockets listen on one address (`SO_REUSEPORT`). The operating
/// system then distributes callers among them, so that a second process with the same settings
/// takes half of the callers instead of failing at its start.
///
/// # Errors
///
/// Returns the error of the operating system, such as `AddrInUse`.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(addr, &ListenerOpts::new().reuse_port(false))
}

#[cfg(test)]
mod tests;
