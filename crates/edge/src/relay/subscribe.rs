//! Reads the platform through a peer, and selects that peer.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncWriteRentExt, Splitable};

use super::frame::{encode, receive, AgeQuery, Frame, Greeting};
use super::{FIRST_FRAME_TIMEOUT, READER_CHECK_INTERVAL, SYNC_CHECK_INTERVAL};
use crate::as_ms;
use crate::follow::{self, Topic};
use crate::forward::Node;
use crate::readers::{self, ReadPath};
use crate::state::State;

/// A peer that sends nothing for this long is given up: it gets several queries a second.
const FRAME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time allowed for a peer to accept the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeouts of a node that was restarted: callers are waiting for it. Between zones of a region a
/// connection takes 3 ms; a machine without power never responds.
const RESTART_FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(250);
const RESTART_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a peer that failed is not tried again. With a shorter time nodes would connect
/// to failed readers over and over; with a longer one a node would be up to date late after a
/// partition.
const PEER_BACKOFF: Duration = Duration::from_secs(1);

/// Same as [`PEER_BACKOFF`] for a peer that dropped this node, or does not listen yet while the
/// whole fleet starts: it is most likely back within a few tenths of a second.
const SHORT_PEER_BACKOFF: Duration = Duration::from_millis(100);

/// Interval at which a node checks that its leases on the peer's data are still valid.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a reader that the platform rejected tries the platform again.
const PLATFORM_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Selects how this node reads the platform, and reads through the selected peer if there is one,
/// forever.
pub async fn run(node: Rc<Node>) {
    let mut excluded: HashMap<SocketAddr, Instant> = HashMap::new();
    // Time of the newest frame from a peer. Begins with the start of the node, which may look for
    // a peer first, too.
    let mut last_frame_at = Instant::now();
    let mut next_referral: Option<SocketAddr> = None;
    loop {
        let now = Instant::now();
        excluded.retain(|_, until| *until > now);
        let referral = next_referral.take();
        let path = match referral {
            Some(peer) => ReadPath::Via(peer),
            None => {
                let state = &mut *node.state.borrow_mut();
                state.reads_directly |= state.has_read_all_topics() && !state.is_all_fresh(now);
                let searching = now < last_frame_at + readers::switch_timeout(state);
                readers::choose(state, &excluded, searching, now)
            }
        };
        match path {
            ReadPath::Direct => {
                node.state.borrow_mut().reads_directly = true;
                monoio::time::sleep(READER_CHECK_INTERVAL).await;
            }
            ReadPath::Deferred => monoio::time::sleep(SYNC_CHECK_INTERVAL).await,
            ReadPath::Via(peer) => {
                let started_at = Instant::now();
                let end_reason =
                    subscribe(&node, peer, referral.is_some(), &mut last_frame_at).await;
                trace::Line::new("peer_feed_ended")
                    .field("peer", peer)
                    .field("reason", end_reason.name())
                    .field("took_ms", as_ms(started_at.elapsed()))
                    .log();
                let mut state = node.state.borrow_mut();
                state.relay_peer = None;
                let search_is_over = last_frame_at.elapsed() > readers::switch_timeout(&state);
                if end_reason == EndReason::ReaderChanged {
                    // The platform's reachability is determined anew.
                    state.roster.reset_store_state();
                    continue;
                }
                if let EndReason::Referred(peer) = end_reason {
                    next_referral = Some(peer);
                    continue;
                }
                let is_first_start = state.settings.bootstrap && !state.has_read_all_topics();
                let is_soon_back = end_reason == EndReason::Closed || is_first_start;
                let backoff = if is_soon_back { SHORT_PEER_BACKOFF } else { PEER_BACKOFF };
                excluded.insert(peer, Instant::now() + backoff);
                state.reads_directly |= search_is_over
                    || matches!(end_reason, EndReason::Behind | EndReason::LeaseExpired);
            }
        }
    }
}

/// Why a subscription ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// The peer did not accept the connection.
    Unreachable,
    /// The peer accepted the connection and sent no frame in time.
    NoResponse,
    /// The peer closed the connection before the first frame: it may not relay, or lacks newer
    /// state.
    Rejected,
    /// The peer sent frames and then went silent.
    Silent,
    /// The peer sent an invalid or unexpected frame.
    InvalidFrame,
    /// The peer sent frames and then closed the connection: it lost the platform or is stopping.
    Closed,
    /// The peer has seen less than this node or others.
    Behind,
    /// The peer is alive, but the leases on its data have expired.
    LeaseExpired,
    /// This node should read through another peer, or directly.
    ReaderChanged,
    /// The peer referred this node to another one.
    Referred(SocketAddr),
}

impl EndReason {
    fn name(self) -> &'static str {
        match self {
            EndReason::Unreachable => "unreachable",
            EndReason::NoResponse => "no_answer",
            EndReason::Rejected => "turned_away",
            EndReason::Silent => "silent",
            EndReason::InvalidFrame => "unreadable",
            EndReason::Closed => "closed",
            EndReason::Behind => "behind",
            EndReason::LeaseExpired => "unsure",
            EndReason::ReaderChanged => "moved",
            EndReason::Referred(_) => "referred",
        }
    }
}

/// Applies the frames of `peer` until the subscription ends; sets `last_frame_at` with each frame.
async fn subscribe(
    node: &Rc<Node>,
    peer: SocketAddr,
    was_referred: bool,
    last_frame_at: &mut Instant,
) -> EndReason {
    let is_restarted = {
        let state = node.state.borrow();
        !state.settings.bootstrap && !state.has_read_all_topics()
    };
    let (connect_timeout, mut frame_timeout) = match is_restarted {
        true => (RESTART_CONNECT_TIMEOUT, RESTART_FIRST_FRAME_TIMEOUT),
        false => (CONNECT_TIMEOUT, FIRST_FRAME_TIMEOUT),
    };
    let Ok(stream) = web::connect(peer, connect_timeout).await else {
        return EndReason::Unreachable;
    };
    let greeting = encode(&Greeting::of(&node.state.borrow(), was_referred));
    let (mut frames, mut stream) = stream.into_split();
    let started_at = Instant::now();
    if stream.write_all(greeting).await.0.is_err() {
        return EndReason::Rejected;
    }
    // Set once the peer has reported as of when its data is complete.
    let has_data = Cell::new(false);
    let mut querying = pin!(send_queries(node, stream, started_at));
    let mut config_behind = pin!(follow::wait_until_behind(node, Topic::Config));
    let mut list_behind = pin!(follow::wait_until_behind(node, Topic::Upstreams));
    let mut lease_expired = pin!(wait_until_lease_expires(node, &has_data));
    let mut reader_changed = pin!(wait_until_reader_changes(node, peer));
    loop {
        let frame = monoio::select! {
            frame = web::timeout(frame_timeout, receive::<Frame, _>(&mut frames)) => frame,
            () = &mut querying => return EndReason::Closed,
            () = &mut config_behind => return EndReason::Behind,
            () = &mut list_behind => return EndReason::Behind,
            () = &mut lease_expired => return EndReason::LeaseExpired,
            () = &mut reader_changed => return EndReason::ReaderChanged,
        };
        let frame = match frame {
            Ok(Ok(frame)) => frame,
            Ok(Err(err)) if err.kind() == io::ErrorKind::InvalidData => {
                return EndReason::InvalidFrame
            }
            Ok(Err(_)) if has_data.get() => {
                *last_frame_at = Instant::now();
                return EndReason::Closed;
            }
            Ok(Err(_)) => return EndReason::Rejected,
            Err(_) if has_data.get() => return EndReason::Silent,
            Err(_) => return EndReason::NoResponse,
        };
        match frame {
            Frame::Referral { peer } if !was_referred => return EndReason::Referred(peer),
            // Peers that refer to each other would keep this node busy connecting to them.
            Frame::Referral { .. } => return EndReason::Rejected,
            _ => {}
        }
        if frame.is_stale(&node.state.borrow()) {
            return EndReason::Behind;
        }
        *last_frame_at = Instant::now();
        match frame {
            Frame::Ages { asked_after, config_age, list_age } => {
                let queried_at = started_at.checked_add(asked_after);
                let Some(queried_at) = queried_at.filter(|at| *at <= Instant::now()) else {
                    trace::Line::new("peer_frame_refused")
                        .field("error", "answers what was not asked")
                        .log();
                    return EndReason::InvalidFrame;
                };
                let state = &mut *node.state.borrow_mut();
                (state.reads_directly, state.relay_peer) = (false, Some(peer));
                renew_lease(state, Topic::Config, queried_at, config_age);
                renew_lease(state, Topic::Upstreams, queried_at, list_age);
                state.list_from_platform = false;
                frame_timeout = FRAME_TIMEOUT;
                has_data.set(true);
            }
            frame => {
                if let Err(err) = follow::adopt(node, peer, frame) {
                    trace::Line::new("peer_frame_refused").field("error", err.to_string()).log();
                    return EndReason::InvalidFrame;
                }
            }
        }
    }
}

/// Renews the lease on a topic, given how old the peer's data was at the time of the query.
fn renew_lease(state: &mut State, topic: Topic, queried_at: Instant, age: Option<Duration>) {
    let as_of = age.and_then(|age| queried_at.checked_sub(age));
    as_of.into_iter().for_each(|as_of| state.renew_lease(topic, as_of, Instant::now()));
    state.progress_mut(topic).reads.record(lease::LastRead::Answered);
}

/// Sends freshness queries to the peer periodically; returns when the connection fails.
async fn send_queries<W: AsyncWriteRentExt>(node: &Node, mut stream: W, started_at: Instant) {
    loop {
        let interval = {
            let settings = &node.state.borrow().settings;
            settings
                .config_bound
                .peer_query_interval()
                .min(settings.list_bound.peer_query_interval())
        };
        monoio::time::sleep(interval).await;
        let query = AgeQuery { asked_after: started_at.elapsed() };
        if stream.write_all(encode(&query)).await.0.is_err() {
            return;
        }
    }
}

/// Returns once a lease on the peer's data has expired. A node that has received no data from its
/// peer yet starts to read the platform itself instead.
///
/// A peer may be alive and respond while its own long poll has gone silent; if the long polls of
/// all readers have, no other node can tell that changes were missed.
async fn wait_until_lease_expires(node: &Node, has_data: &Cell<bool>) {
    loop {
        monoio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let state = &mut *node.state.borrow_mut();
        match state.is_all_fresh(Instant::now()) {
            true => {}
            false if has_data.get() => return,
            // A starting node looks for a peer first.
            false => state.reads_directly |= state.has_read_all_topics(),
        }
    }
}

/// Returns when other nodes have become the readers of this node's zone, or this node has.
///
/// A reader that the platform rejected tries it again after a while: if all readers read through
/// each other, none would notice that the platform is back.
async fn wait_until_reader_changes(node: &Node, peer: SocketAddr) {
    let since = Instant::now();
    loop {
        monoio::time::sleep(READER_CHECK_INTERVAL).await;
        let state = node.state.borrow();
        let now = Instant::now();
        if readers::has_nearer_seed(&state, peer, now) {
            return;
        }
        if !readers::knows_peers(&state, now) {
            continue;
        }
        let reads_directly = readers::is_reader(&state, state.settings.peer_addr);
        let is_rejected =
            state.roster.store_is_unreachable() && since.elapsed() < PLATFORM_RETRY_INTERVAL;
        let may_stay = !state.is_ready() || since.elapsed() < PLATFORM_RETRY_INTERVAL;
        let must_leave = !readers::is_reader(&state, peer) && !may_stay;
        if (reads_directly && !is_rejected) || must_leave {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
