//! Requests that nodes with different configurations or lists of upstreams send through each other.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use route::ClientLimits;

use super::fake::{
    get, ms, ok_response, run, table_with_version_route, Caller, EntryNode, Upstream,
};
use super::fleet::serving;
use super::partitioned::{introduce, start_node, Failure, Unreachable};
use crate::history::Cursor;
use crate::relay::{self, Offer, OfferReply};

/// Configuration of a node that lacks a change, and of one that has it.
const OLDER: route::Version = 7;
const NEWER: route::Version = 9;

/// Maximum time for which a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Puts a version in force that was read up to the position of the same number.
fn apply(entry_node: &EntryNode, version: route::Version) {
    let state = &mut *entry_node.node.state.borrow_mut();
    state.apply_table(table_with_version_route(version, ClientLimits::default()));
    set_config_position(state, version);
}

fn set_config_position(state: &mut crate::state::State, position: Cursor) {
    let progress = &mut state.config_progress;
    (progress.has_read, progress.up_to, progress.newest) = (true, position, position);
}

/// Starts a node that reaches an upstream, and one of another version that reaches none and knows the
/// first one.
fn start_pair(
    upstream: &Upstream,
    unreachable: &Unreachable,
    in_touch: route::Version,
    partitioned: route::Version,
) -> (EntryNode, EntryNode) {
    let in_touch_node = start_node(&[upstream.addr]);
    let partitioned_node = start_node(&unreachable.addrs().collect::<Vec<_>>());
    apply(&in_touch_node, in_touch);
    apply(&partitioned_node, partitioned);
    introduce(&partitioned_node, &in_touch_node);
    (in_touch_node, partitioned_node)
}

/// Returns the status of the response to a request.
async fn status_of(addr: SocketAddr, path: String, id: String) -> u16 {
    Caller::connect(addr).await.ask(&get(&path, &id)).await.status
}

/// Guards against a node that sends a request through a peer with a newer configuration, and then
/// handles others by its own older one.
#[yare::parameterized(
    connections_are_refused = { Failure::Refused },
    nothing_is_answered = { Failure::Unanswered },
)]
fn a_node_that_was_served_by_a_newer_configuration_does_not_go_back(failure: Failure) {
    run(async move {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let unreachable = Unreachable::new(failure);
        let (_in_touch, partitioned) = start_pair(&upstream, &unreachable, NEWER, OLDER);
        let started_at = Instant::now();
        let (mut has_run, mut n) = (false, 0);
        let mut requests_after_run = 0;
        while requests_after_run < 20 && started_at.elapsed() < MAX_WAIT {
            (n, requests_after_run) = (n + 1, requests_after_run + usize::from(has_run));
            let ask = |path: String| status_of(partitioned.addr, path, format!("r{n}"));
            has_run |= ask("/get/1".to_owned()).await == 200;
            let newer = ask(format!("/v{NEWER}/1")).await;
            let older = ask(format!("/v{OLDER}/1")).await;
            assert!(!has_run || newer != 404, "request {n}: a route of the newer version is gone");
            assert!(!has_run || older == 404, "request {n}: the older version's route is back");
        }
        assert!(has_run, "never served");
        assert_eq!(partitioned.node.state.borrow().config_version(), NEWER);
    });
}

/// Guards against a peer that handles a request by another configuration than the one that it agreed
/// on, as a newer one comes before the request does.
#[test]
fn a_request_is_handled_by_the_configuration_that_was_agreed_on() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let entry_node = start_node(&[upstream.addr]);
        apply(&entry_node, OLDER);
        let peer_addr = entry_node.node.state.borrow().settings.peer_addr;
        let (reply, stream) = offer(peer_addr, OLDER).await;
        assert_eq!(reply, OfferReply::Accepted);
        apply(&entry_node, NEWER);
        let mut caller = Caller::over(stream);
        let response = caller.ask(&get(&format!("/v{OLDER}/1"), "r1")).await;
        assert_eq!(response.status, 200);
        assert_eq!(status_of(entry_node.addr, format!("/v{OLDER}/1"), "r2".into()).await, 404);
    });
}

/// Offers a request by a configuration to the node at `peer_addr`.
async fn offer(peer_addr: SocketAddr, version: route::Version) -> (OfferReply, TcpStream) {
    let offer = Offer {
        config_version: version,
        config_up_to: version,
        config_newest: version,
        list_newest: 0,
        age: Duration::ZERO,
        service: "desk".into(),
        attempts: 2,
        is_counted: false,
        has_token: false,
    };
    relay::offer(peer_addr, &offer, MAX_WAIT).await.expect("answered")
}

/// Guards against a node that takes requests although it handles them by another configuration.
#[yare::parameterized(
    the_same = { NEWER, OfferReply::Accepted },
    older = { OLDER, OfferReply::Declined },
    newer = { NEWER + 1, OfferReply::Newer },
)]
fn a_peer_takes_requests_of_its_own_configuration_only(
    in_force: route::Version,
    expected: OfferReply,
) {
    run(async move {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let entry_node = start_node(&[upstream.addr]);
        apply(&entry_node, in_force);
        let peer_addr = entry_node.node.state.borrow().settings.peer_addr;
        assert_eq!(offer(peer_addr, NEWER).await.0, expected);
    });
}

/// Guards against a request that is declined by a peer which gets the change a moment later, as its
/// reader has it already.
#[test]
fn a_peer_waits_briefly_for_a_change_that_it_lacks() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let entry_node = start_node(&[upstream.addr]);
        apply(&entry_node, OLDER);
        let peer_addr = entry_node.node.state.borrow().settings.peer_addr;
        let offered = monoio::spawn(offer(peer_addr, NEWER));
        monoio::time::sleep(ms(10)).await;
        apply(&entry_node, NEWER);
        assert_eq!(offered.await.0, OfferReply::Accepted);
    });
}

/// Guards against callers who pay for a change: nobody takes the requests of a node that lacks it, or
/// each of them reads it. All are sent at once.
#[test]
fn requests_that_wait_for_a_configuration_read_it_once_and_are_served() {
    /// As many as the upstream has slots.
    const CALLERS: usize = 4;
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let unreachable = Unreachable::new(Failure::Refused);
        let (in_touch, partitioned) = start_pair(&upstream, &unreachable, NEWER, OLDER);
        for addr in unreachable.addrs() {
            partitioned.node.state.borrow_mut().paths.record_failure(addr, 3, Instant::now());
        }
        let callers = (0..CALLERS).map(|n| {
            let ask = status_of(partitioned.addr, "/get/1".to_owned(), format!("r{n}"));
            monoio::spawn(ask)
        });
        let mut statuses = Vec::new();
        for caller in callers.collect::<Vec<_>>() {
            statuses.push(caller.await);
        }
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert_eq!(partitioned.node.state.borrow().counters.caught_up, 1);
        assert_eq!(in_touch.node.state.borrow().counters.offers_declined, 0);
    });
}

/// Guards against a node that sends requests to a zone from which a peer has kept its request: the
/// evacuation is not part of a version.
#[test]
fn a_node_has_the_evacuations_by_which_a_peer_served_its_request() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let unreachable = Unreachable::new(Failure::Refused);
        let (in_touch, partitioned) = start_pair(&upstream, &unreachable, OLDER, OLDER);
        {
            let state = &mut *in_touch.node.state.borrow_mut();
            state.update_evacuations(|evacuations| evacuations.set("z".into(), true));
            set_config_position(state, NEWER);
        }
        assert_eq!(status_of(partitioned.addr, "/get/1".to_owned(), "r1".into()).await, 200);
        assert!(partitioned.node.state.borrow().evacuations.is_evacuated("z"));
    });
}

/// Guards against a request that goes through a newer peer although its configuration could not be
/// read, and against one that is not served by another peer then.
#[test]
fn a_newer_peer_whose_configuration_cannot_be_read_is_passed_over() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let unreachable = Unreachable::new(Failure::Refused);
        let (_same, partitioned) = start_pair(&upstream, &unreachable, OLDER, OLDER);
        let newer = start_unreadable_peer();
        partitioned.node.state.borrow_mut().peers.insert(newer, serving("a"));
        for n in 0..10 {
            let status = status_of(partitioned.addr, "/get/1".to_owned(), format!("r{n}")).await;
            assert_eq!(status, 200);
        }
        assert_eq!(partitioned.node.state.borrow().counters.caught_up, 0);
        assert_eq!(partitioned.node.state.borrow().config_version(), OLDER);
    });
}

/// Starts a peer that answers every offer as one with a newer configuration, and closes connections
/// that ask for it.
fn start_unreadable_peer() -> SocketAddr {
    let newer = postcard::to_stdvec(&OfferReply::Newer).expect("encodes");
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("bound");
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (read, preface) = stream.read_exact(vec![0; 4]).await;
            if read.is_ok() && preface == b"REQ2" {
                let mut reply = (newer.len() as u32).to_be_bytes().to_vec();
                reply.extend_from_slice(&newer);
                stream.write_all(reply).await.0.expect("writes");
            }
        }
    });
    addr
}

/// Guards against a node that goes back to what a peer holds: it has read a later change since.
#[test]
fn a_configuration_without_a_change_that_this_node_has_is_not_adopted() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let (older, newer) = (start_node(&[upstream.addr]), start_node(&[upstream.addr]));
        apply(&older, OLDER);
        apply(&newer, NEWER);
        let peer_addr = older.node.state.borrow().settings.peer_addr;
        relay::catch_up(&newer.node, peer_addr, MAX_WAIT).await;
        let state = newer.node.state.borrow();
        assert_eq!((state.config_version(), state.counters.caught_up), (NEWER, 0));
    });
}

/// Guards against a request that is sent to an upstream which its node knows to be gone: the list of
/// the peer lacks the change.
#[test]
fn a_peer_waits_briefly_for_the_list_of_upstreams_of_the_node_that_makes_the_offer() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("x")]]);
        let unreachable = Unreachable::new(Failure::Refused);
        let (in_touch, partitioned) = start_pair(&upstream, &unreachable, OLDER, OLDER);
        partitioned.node.state.borrow_mut().list_progress.newest = 5;
        let asked = status_of(partitioned.addr, "/get/1".to_owned(), "r1".into());
        let asked = monoio::spawn(asked);
        monoio::time::sleep(ms(20)).await;
        assert_eq!(upstream.runs(), 0, "sent by the older list");
        in_touch.node.state.borrow_mut().list_progress.up_to = 5;
        assert_eq!(asked.await, 200);
        // A peer that stays behind serves by what it has, as it serves its own callers.
        partitioned.node.state.borrow_mut().list_progress.newest = 6;
        assert_eq!(status_of(partitioned.addr, "/get/1".to_owned(), "r2".into()).await, 200);
    });
}
