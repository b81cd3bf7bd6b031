use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::time::Duration;

use monoio::net::TcpStream;
use rustix::net::{bind, connect as connect_socket, getsockname, socket};
use rustix::net::{AddressFamily, SocketType};

use super::{connect, is_to_itself};

/// Guards against a request that is sent to an upstream that is gone, and read back as its response:
/// its caller is told that it may have run.
#[test]
fn a_connection_to_itself_is_recognized() {
    let own = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&own, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("binds");
    let addr = SocketAddrV4::try_from(getsockname(&own).expect("bound")).expect("IPv4");
    connect_socket(&own, &addr).expect("connects to itself");
    crate::runtime().block_on(async {
        let stream = TcpStream::from_std(own.into()).expect("a stream");
        assert!(is_to_itself(&stream, addr.into()).expect("an address"));
    });
}

#[test]
fn a_connection_to_a_server_is_not_taken_for_one_to_itself() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds");
    let addr = listener.local_addr().expect("bound");
    crate::runtime().block_on(async {
        connect(addr, Duration::from_secs(1)).await.expect("connects");
        drop(listener);
        let refused = connect(addr, Duration::from_secs(1)).await;
        assert_eq!(refused.err().map(|err| err.kind()), Some(ErrorKind::ConnectionRefused));
    });
}

#[test]
fn a_server_that_does_not_answer_times_out() {
    // A listener with a full queue drops further connections.
    let listener = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&listener, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("binds");
    rustix::net::listen(&listener, 0).expect("listens");
    let addr = SocketAddrV4::try_from(getsockname(&listener).expect("bound")).expect("IPv4");
    crate::runtime().block_on(async {
        let addr = SocketAddr::from(addr);
        let _queued = connect(addr, Duration::from_secs(1)).await.expect("is queued");
        let unanswered = connect(addr, Duration::from_millis(50)).await;
        assert_eq!(unanswered.err().map(|err| err.kind()), Some(ErrorKind::TimedOut));
    });
}
