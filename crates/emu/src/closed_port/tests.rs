use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};

use super::ClosedPort;

/// Guards against a port that a test takes for closed, and that belongs to a server of another test
/// by then.
#[test]
fn closed_port_refuses_connections_and_is_not_assigned_to_a_listener() {
    let closed = ClosedPort::new().expect("a port is free");
    let refused = TcpStream::connect(closed.addr()).map(|_| ()).map_err(|err| err.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    let taken = TcpListener::bind(closed.addr()).map(|_| ()).map_err(|err| err.kind());
    assert_eq!(taken, Err(ErrorKind::AddrInUse));
}
