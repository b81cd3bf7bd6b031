//! Upstreams and peers that send bytes without end until the node closes the connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use super::fake::{
    get, incarnation, metrics, ms, ok_response, run, settings, start, start_with, Caller, Upstream,
};
use super::fleet::serving;
use crate::forward::Node;
use crate::relay;
use crate::state::State;

/// Length of the blocks that a sender writes without end.
const BLOCK_BYTES: usize = 16 * 1024;

/// Time after the deadline of a request, or the timeout of a probe, by which a connection must have
/// been closed.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(500);

/// What is sent before the blocks, and what each of them consists of.
#[derive(Clone, Copy)]
struct Endless {
    begin: &'static str,
    block: &'static str,
}

const NO_PROTOCOL: Endless = Endless { begin: "", block: "beans " };
const LINE: Endless = Endless { begin: "HTTP/1.1 200 OK\r\nx-a: ", block: "a" };
const HEADERS: Endless = Endless { begin: "HTTP/1.1 200 OK\r\n", block: "x-a: 1\r\n" };
const INTERIM: Endless = Endless { begin: "", block: "HTTP/1.1 103 Early Hints\r\n\r\n" };
const CHUNKS: Endless = Endless {
    begin: "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
    block: "1\r\na\r\n",
};
const CHUNK_SIZE: Endless = Endless {
    begin: "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
    block: "0",
};
const TRAILER: Endless = Endless {
    begin:
        "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    block: "x-a: 1\r\n",
};
const UNTIL_CLOSE: Endless =
    Endless { begin: "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-signature: s\r\n\r\n", block: "a" };
const OF_ANOTHER_REQUEST: Endless = Endless {
    begin: "HTTP/1.1 200 OK\r\nx-id: 6\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
    block: "1\r\na\r\n",
};
const RESPONSES: Endless =
    Endless { begin: "", block: "HTTP/1.1 200 OK\r\nx-id: 6\r\ncontent-length: 1\r\n\r\na" };

/// A server that sends bytes without end once it has received something.
struct EndlessServer {
    addr: SocketAddr,
    open: Rc<Cell<u32>>,
    sent_bytes: Rc<Cell<u64>>,
}

impl EndlessServer {
    fn start(what: Endless) -> EndlessServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        let server = EndlessServer { addr, open: Rc::default(), sent_bytes: Rc::default() };
        let (open, sent_bytes) = (server.open.clone(), server.sent_bytes.clone());
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(serve(stream, what, open.clone(), sent_bytes.clone()));
            }
        });
        server
    }

    /// Waits until all connections are closed; panics if one is open at `until`.
    async fn wait_until_closed(&self, until: Instant) {
        while self.open.get() > 0 {
            assert!(Instant::now() < until, "open after {} bytes", self.sent_bytes.get());
            monoio::time::sleep(ms(10)).await;
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    what: Endless,
    open: Rc<Cell<u32>>,
    sent_bytes: Rc<Cell<u64>>,
) {
    let (received, _) = stream.read(vec![0; 4_096]).await;
    if !matches!(received, Ok(1..)) {
        return;
    }
    open.set(open.get() + 1);
    send_without_end(stream, what, &sent_bytes).await;
    open.set(open.get() - 1);
}

async fn send_without_end(mut stream: TcpStream, what: Endless, sent_bytes: &Cell<u64>) {
    let mut bytes = what.begin.as_bytes().to_vec();
    let block = what.block.repeat(BLOCK_BYTES / what.block.len()).into_bytes();
    loop {
        let length = bytes.len() as u64;
        if stream.write_all(bytes).await.0.is_err() {
            return;
        }
        sent_bytes.set(sent_bytes.get() + length);
        bytes = block.clone();
    }
}

/// Guards against a node that keeps a caller and a connection for good, since an upstream sends bytes
/// without end in the head or the body of a response.
#[yare::parameterized(
    no_protocol = { NO_PROTOCOL },
    line = { LINE },
    headers = { HEADERS },
    interim_responses = { INTERIM },
    chunks = { CHUNKS },
    chunk_size = { CHUNK_SIZE },
    trailer = { TRAILER },
    until_close = { UNTIL_CLOSE },
    of_another_request = { OF_ANOTHER_REQUEST },
    responses = { RESPONSES },
)]
fn bytes_without_end_end_with_the_deadline_of_a_request(what: Endless) {
    run(async {
        let server = EndlessServer::start(what);
        let upstream = Upstream { addr: server.addr, ..Upstream::start(Vec::new()) };
        let entry_node = start(&[&upstream]);
        let (sent_at, deadline) = (Instant::now(), ms(500));
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let request = get("/get/1", "7").into_bytes();
        stream.write_all(request).await.0.expect("writes");
        // The caller reads on for as long as there is something to read, and does not close.
        monoio::spawn(async move {
            while let (Ok(1..), _) = stream.read(vec![0; BLOCK_BYTES]).await {}
            monoio::time::sleep(ms(10_000)).await;
        });
        monoio::time::sleep(ms(100)).await;
        server.wait_until_closed(sent_at + deadline + MAX_CLOSE_DELAY).await;
    });
}

/// Guards against the same in the response to a probe.
#[yare::parameterized(
    no_protocol = { NO_PROTOCOL },
    line = { LINE },
    headers = { HEADERS },
    interim_responses = { INTERIM },
    chunks = { CHUNKS },
    chunk_size = { CHUNK_SIZE },
    trailer = { TRAILER },
    until_close = { UNTIL_CLOSE },
    of_another_request = { OF_ANOTHER_REQUEST },
    responses = { RESPONSES },
)]
fn bytes_without_end_end_with_the_timeout_of_a_probe(what: Endless) {
    run(async {
        let server = EndlessServer::start(what);
        let upstream = Upstream { addr: server.addr, ..Upstream::start(Vec::new()) };
        let entry_node = start_with(&[&upstream], |settings| {
            settings.max_probes_per_upstream_per_s = 50.0;
        });
        let sent_at = Instant::now();
        let upstreams = vec![incarnation("u0")];
        crate::probe::probe_all(&entry_node.node, &"desk".into(), upstreams, ms(300)).await;
        assert_eq!(entry_node.node.state.borrow().counters.probes, 1);
        monoio::time::sleep(ms(50)).await;
        server.wait_until_closed(sent_at + crate::probe::PROBE_TIMEOUT + MAX_CLOSE_DELAY).await;
    });
}

/// Guards against a node that stays with a peer address where something else listens by now, and
/// receives from it without end.
#[yare::parameterized(
    no_protocol = { NO_PROTOCOL },
    empty_frames = { Endless { begin: "", block: "\0" } },
    responses = { RESPONSES },
)]
fn bytes_without_end_end_the_subscription_to_a_peer(what: Endless) {
    run(async {
        let server = EndlessServer::start(what);
        let node =
            Rc::new(Node::new(Rc::new(std::cell::RefCell::new(State::new(settings()))), metrics()));
        {
            let state = &mut *node.state.borrow_mut();
            state.config_progress.has_read = true;
            state.list_progress.has_read = true;
            state.settings.peer_addr = SocketAddr::from(([127, 0, 0, 1], 65_535));
            for n in 1..=2 {
                let unreachable = SocketAddr::from(([127, 0, 0, 1], n));
                state.peers.insert(unreachable, serving("a"));
            }
            state.peers.insert(server.addr, serving("a"));
        }
        monoio::spawn(relay::run(node.clone()));
        let started_at = Instant::now();
        while server.sent_bytes.get() == 0 {
            assert!(started_at.elapsed() < ms(5_000), "never subscribed");
            monoio::time::sleep(ms(5)).await;
        }
        server.wait_until_closed(Instant::now() + MAX_CLOSE_DELAY).await;
    });
}

/// Guards against callers of other upstreams that wait while one sends without end.
#[test]
fn other_requests_are_served_beside_bytes_without_end() {
    run(async {
        let server = EndlessServer::start(CHUNKS);
        let endless = Upstream { addr: server.addr, ..Upstream::start(Vec::new()) };
        let sound = Upstream::start(vec![vec![ok_response("beans")]]);
        let (busy, other) = (start(&[&endless]), start(&[&sound]));
        let mut stream = TcpStream::connect_addr(busy.addr).await.expect("connects");
        stream.write_all(get("/get/1", "7").into_bytes()).await.0.expect("writes");
        monoio::time::sleep(ms(50)).await;
        let response = Caller::connect(other.addr).await.ask(&get("/get/1", "8")).await;
        assert_eq!((response.status, response.body.as_str()), (200, "beans"));
    });
}
