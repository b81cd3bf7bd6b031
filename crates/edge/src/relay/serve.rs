//! Serves this node's state to subscribers, and decides whether it may. Also accepts the connections
//! of peers that offer requests or ask for the configuration.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

use super::frame::{encode, receive, receive_rest, AgeQuery, Frame, Greeting};
use super::subscribers::{FrameReceiver, FrameSender};
use super::{catch_up, offer};
use super::{FIRST_FRAME_TIMEOUT, READER_CHECK_INTERVAL, SYNC_CHECK_INTERVAL};
use crate::follow;
use crate::forward::Node;
use crate::state::State;

/// A subscriber for which no frame is queued for this long is gone: subscribers send several
/// queries a second, and each gets a response frame.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a reader with subscribers checks that it reaches the platform; also the
/// timeout of the check.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Number of consecutive failed checks after which the platform counts as out of reach: a single
/// lost packet is not enough.
const PATH_FAILURE_THRESHOLD: u32 = 2;

/// Returns the pause after a check that took `check_time`, with so many failed ones in sequence.
///
/// Until enough checks have failed, subscribers rely on what this node has read. A check that timed
/// out is therefore followed by the next one at once; one that was refused is not, as a platform
/// that restarts refuses connections for a moment.
fn pause_after(failures: u32, check_time: Duration) -> Duration {
    match failures {
        1..PATH_FAILURE_THRESHOLD => PATH_CHECK_INTERVAL.saturating_sub(check_time),
        _ => PATH_CHECK_INTERVAL,
    }
}

/// Drops this node's subscribers while it does not reach the platform.
///
/// The long poll notices a partition only when the operating system's keepalive probes fail, about
/// four seconds later. Until then the subscribers, which reach the platform themselves, would rely
/// on the reader's last state. If all readers are partitioned at once, nobody is ahead of them, so
/// a subscriber cannot tell that it is behind either, and sends requests to upstreams that left
/// three seconds ago.
pub async fn watch_path<S: follow::Source>(source: S, node: Rc<Node>) {
    let mut failures = 0;
    let mut check_time = Duration::ZERO;
    loop {
        monoio::time::sleep(pause_after(failures, check_time)).await;
        let is_needed = node.state.borrow().reads_directly && !node.subscribers.is_empty();
        if !is_needed && failures == 0 {
            continue;
        }
        let started_at = Instant::now();
        failures = match source.takes_connections(PATH_CHECK_INTERVAL).await {
            true => 0,
            false => failures + 1,
        };
        check_time = started_at.elapsed();
        let is_reachable = failures < PATH_FAILURE_THRESHOLD;
        if node.state.borrow().platform_reachable != is_reachable {
            trace::Line::new(if is_reachable { "path_regained" } else { "path_lost" }).log();
            node.state.borrow_mut().platform_reachable = is_reachable;
        }
        if !is_reachable {
            node.subscribers.drop_all(true);
        }
    }
}

/// Serves subscribers, and requests that peers offer, until the listener fails.
pub async fn serve(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_connection(stream, node.clone()));
            }
            Err(err) => {
                trace::Line::new("accept_failed").field("error", err.to_string()).log();
                monoio::time::sleep(READER_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Returns true if this node's state may be relayed.
///
/// A node that was partitioned and is back keeps upstreams for a while that left meanwhile. If it
/// relayed them, they would reappear on nodes that had rightly dropped them.
fn may_relay(state: &State, greeting: &Greeting) -> bool {
    let is_current = state.is_all_fresh(Instant::now())
        && state.platform_reachable
        && !state.roster.store_is_unreachable()
        && !state.roster.keeps_unlisted();
    let is_recent_enough = state.config_progress.up_to >= greeting.config_newest
        && state.list_progress.up_to >= greeting.list_newest;
    state.has_read_all_topics() && is_recent_enough && (is_current || greeting.accepts_stale)
}

/// Returns true if this node may soon be able to relay its state: it is about to read what the
/// subscriber has seen. A node to which the platform does not respond declines at once, so that
/// the subscriber tries another one.
fn may_become_ready(state: &State, greeting: &Greeting) -> bool {
    match greeting.is_new_node {
        // The new node reads the platform sooner than this node, which has just started too.
        true => greeting.was_referred,
        false => {
            greeting.accepts_stale
                || (state.platform_reachable && !state.roster.store_is_unreachable())
        }
    }
}

/// Returns the node that a new node is referred to, if it is not served here.
fn referral(node: &Node, greeting: &Greeting) -> Option<SocketAddr> {
    let is_served = may_relay(&node.state.borrow(), greeting);
    if !greeting.is_new_node || greeting.was_referred || !is_served {
        return None;
    }
    node.subscribers.refer(greeting.peer_addr, &greeting.zone, Instant::now())
}

/// Returns true if the subscriber has the configuration of this node.
///
/// When a reader fails, its subscribers turn to others, dozens to each. A large configuration that
/// they already have would occupy the link for seconds.
fn has_config(state: &State, greeting: &Greeting) -> bool {
    greeting.config_newest > 0 && greeting.config_newest == state.config_progress.newest
}

/// Waits briefly until this node's state may be relayed; returns false if it may not.
async fn wait_until_relayable(node: &Node, greeting: &Greeting) -> bool {
    let _pending = node.subscribers.count_pending();
    let started_at = Instant::now();
    while !may_relay(&node.state.borrow(), greeting) {
        let may_wait = may_become_ready(&node.state.borrow(), greeting);
        if !may_wait || started_at.elapsed() > FIRST_FRAME_TIMEOUT {
            return false;
        }
        monoio::time::sleep(SYNC_CHECK_INTERVAL).await;
    }
    true
}

/// Counts bytes relayed to a peer in `zone`.
pub(super) fn count_relayed(node: &Node, zone: &str, bytes: u64) {
    let state = &mut *node.state.borrow_mut();
    state.counters.relay_bytes += bytes;
    state.counters.relay_far_bytes += if state.settings.zone == zone { 0 } else { bytes };
}

/// Serves a peer, which offers a request, asks for the configuration, or subscribes.
async fn serve_connection(mut stream: TcpStream, node: Rc<Node>) {
    let first = web::timeout(FIRST_FRAME_TIMEOUT, stream.read_exact(vec![0; 4]));
    match first.await {
        Ok((Ok(_), bytes)) if bytes == offer::PREFACE => offer::serve_offer(stream, node).await,
        Ok((Ok(_), bytes)) if bytes == catch_up::PREFACE => {
            catch_up::serve_config(stream, node).await
        }
        Ok((Ok(_), bytes)) => serve_subscriber(stream, node, &bytes).await,
        Ok((Err(_), _)) | Err(_) => {}
    }
}

/// Serves a subscriber, whose greeting has a length of `greeting_length`, as encoded.
async fn serve_subscriber(mut stream: TcpStream, node: Rc<Node>, greeting_length: &[u8]) {
    let greeting = receive_rest::<Greeting, _>(&mut stream, greeting_length);
    let Ok(Ok(greeting)) = web::timeout(FIRST_FRAME_TIMEOUT, greeting).await else { return };
    if let Some(peer) = referral(&node, &greeting) {
        // A new node that does not get the referral connects again.
        let _ = stream.write_all(encode(&Frame::Referral { peer })).await;
        return;
    }
    if !wait_until_relayable(&node, &greeting).await {
        return;
    }
    // The current state and all later changes: without an await in between, no change is lost.
    let initial = {
        let state = node.state.borrow();
        let mut bytes = match has_config(&state, &greeting) {
            true => Vec::new(),
            false => encode(&Frame::config(&state)),
        };
        bytes.extend_from_slice(&encode(&Frame::evacuated(&state)));
        bytes.extend_from_slice(&encode(&node.subscribers.list_frame(&state)));
        bytes.extend_from_slice(&encode(&Frame::ages(
            &state,
            AgeQuery { asked_after: Duration::ZERO },
        )));
        bytes
    };
    let (sender, frames) = node.subscribers.add();
    let (queries, stream) = stream.into_split();
    monoio::select! {
        () = send_frames(&node, &greeting.zone, stream, initial, frames) => {}
        () = respond_to_queries(&node, queries, sender) => {}
    }
}

/// Sends frames to a subscriber until it is dropped or disconnects.
async fn send_frames<W: AsyncWriteRentExt>(
    node: &Node,
    zone: &str,
    mut stream: W,
    mut bytes: Vec<u8>,
    mut frames: FrameReceiver,
) {
    loop {
        count_relayed(node, zone, bytes.len() as u64);
        if stream.write_all(bytes).await.0.is_err() {
            return;
        }
        bytes = match monoio::time::timeout(QUERY_TIMEOUT, frames.next()).await {
            Ok(Some(frame)) => frame.as_ref().clone(),
            Ok(None) | Err(_) => return,
        };
    }
}

/// Responds to a subscriber's queries, behind all frames that were queued before.
async fn respond_to_queries<R: AsyncReadRent>(
    node: &Node,
    mut queries: R,
    sender: Weak<FrameSender>,
) {
    while let Ok(query) = receive::<AgeQuery, _>(&mut queries).await {
        let frame = Rc::new(encode(&Frame::ages(&node.state.borrow(), query)));
        if !sender.upgrade().is_some_and(|sender| sender.push(frame)) {
            return;
        }
    }
}
