use std::io::ErrorKind;
use std::net::SocketAddr;

use monoio::net::TcpListener;

use super::listen;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Guards against two processes with one address that each get a part of the callers.
#[test]
fn an_address_has_one_listener() {
    crate::runtime().block_on(async {
        let first = listen(ANY_PORT).expect("binds");
        let addr = first.local_addr().expect("bound");
        assert_eq!(listen(addr).err().map(|err| err.kind()), Some(ErrorKind::AddrInUse));
        // Also a socket that would share it.
        assert_eq!(TcpListener::bind(addr).err().map(|err| err.kind()), Some(ErrorKind::AddrInUse));
    });
}

/// Guards against a process that cannot be restarted while connections of the last one linger.
#[test]
fn an_address_is_free_once_its_listener_is_closed() {
    crate::runtime().block_on(async {
        let first = listen(ANY_PORT).expect("binds");
        let addr = first.local_addr().expect("bound");
        let caller = monoio::net::TcpStream::connect_addr(addr).await.expect("connects");
        let (connection, _) = first.accept().await.expect("accepts");
        drop(first);
        // Closed by the listening side first, the connection lingers in the operating system.
        drop(connection);
        drop(caller);
        listen(addr).expect("binds again");
    });
}
