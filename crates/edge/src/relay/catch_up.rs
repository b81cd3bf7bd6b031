//! Reads of the configuration from a peer that has a newer one, before a request is sent through it.
//!
//! The load pattern: upstreams fail while a change is rolled out, and a node that does not have the
//! change yet gets a request that only a peer can send. Hundreds of requests may wait for the change;
//! it is read once.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::frame::{encode, receive, Frame};
use super::serve::count_relayed;
use super::{FIRST_FRAME_TIMEOUT, SYNC_CHECK_INTERVAL};
use crate::forward::Node;
use crate::history::Cursor;
use crate::{as_ms, follow};

/// First bytes of a connection that asks for the configuration. As the length of a frame they would
/// exceed the maximum, so a node that does not know them closes the connection.
pub(super) const PREFACE: [u8; 4] = *b"CFG1";

/// Time allowed for a peer to accept the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time allowed for the configuration to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads of the configuration from peers: at most one at a time.
#[derive(Default)]
pub struct CatchUps {
    is_reading: Cell<bool>,
}

/// Asks a peer for its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ConfigQuery {
    /// Availability zone of the node that asks.
    zone: SmolStr,
    /// Newest change of the configuration that it has read; older state is of no use to it.
    newest: Cursor,
}

/// Puts the configuration of `peer` in force at this node, or waits for the read that is in progress;
/// returns after `max_wait` at the latest. A read that takes longer goes on.
pub(crate) async fn catch_up(node: &Rc<Node>, peer: SocketAddr, max_wait: Duration) {
    let catch_ups = &node.catch_ups;
    if !catch_ups.is_reading.replace(true) {
        let node = node.clone();
        monoio::spawn(async move {
            read_from(&node, peer).await;
            node.catch_ups.is_reading.set(false);
        });
    }
    let since = Instant::now();
    let may_wait = || catch_ups.is_reading.get() && since.elapsed() < max_wait;
    follow::wait_while(SYNC_CHECK_INTERVAL, may_wait).await;
}

/// Reads the configuration of a peer and puts it in force.
async fn read_from(node: &Node, peer: SocketAddr) {
    let started_at = Instant::now();
    let read = web::timeout(READ_TIMEOUT, request_config(node, peer)).await;
    let read = read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let adopted = read.and_then(|frames| {
        frames.into_iter().try_for_each(|frame| follow::adopt(node, peer, frame))
    });
    let line = trace::Line::new("caught_up")
        .field("peer", peer)
        .field("config", node.state.borrow().config_version())
        .field("took_ms", as_ms(started_at.elapsed()));
    match adopted {
        Ok(()) => {
            node.state.borrow_mut().counters.caught_up += 1;
            line.log();
        }
        Err(err) => line.field("error", err.to_string()).log(),
    }
}

/// Receives the configuration of a peer: the versioned part, then the evacuated zones.
async fn request_config(node: &Node, peer: SocketAddr) -> io::Result<[Frame; 2]> {
    let query = {
        let state = node.state.borrow();
        ConfigQuery { zone: state.settings.zone.clone(), newest: state.config_progress.newest }
    };
    let mut stream = web::connect(peer, CONNECT_TIMEOUT).await?;
    let mut bytes = PREFACE.to_vec();
    bytes.extend_from_slice(&encode(&query));
    stream.write_all(bytes).await.0?;
    let frames = [receive::<Frame, _>(&mut stream).await?, receive(&mut stream).await?];
    let is_complete = matches!(
        &frames,
        [
            Frame::Config { table: Some(_), .. } | Frame::ConfigWithTeams { .. },
            Frame::Evacuated { .. }
        ]
    );
    let is_stale = frames.iter().any(|frame| frame.is_stale(&node.state.borrow()));
    match is_complete && !is_stale {
        true => Ok(frames),
        false => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Sends this node's configuration to a peer that asks for it, unless it lacks a change that the peer
/// has read.
pub(super) async fn serve_config(mut stream: TcpStream, node: Rc<Node>) {
    let receiving = web::timeout(FIRST_FRAME_TIMEOUT, receive::<ConfigQuery, _>(&mut stream));
    let Ok(Ok(query)) = receiving.await else { return };
    let bytes = {
        let state = node.state.borrow();
        if state.table.is_none() || query.newest > state.config_progress.up_to {
            return;
        }
        let mut bytes = encode(&Frame::config(&state));
        bytes.extend_from_slice(&encode(&Frame::evacuated(&state)));
        bytes
    };
    count_relayed(&node, &query.zone, bytes.len() as u64);
    // A peer that does not get all of it asks again.
    let _ = web::timeout(READ_TIMEOUT, stream.write_all(bytes)).await;
}
