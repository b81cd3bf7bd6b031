//! Offers of requests: a node without a path to any upstream asks a peer to send a request.
//!
//! An offer opens a connection to the address where peers subscribe. After the preface and the
//! [`Offer`], the peer accepts or declines; if it accepts, one request and its response follow in
//! HTTP/1.1. Until then no part of the request was sent, so it can be offered to another peer.
//!
//! A peer accepts only if it handles requests by the same configuration as the node that makes the
//! offer: to a caller both are one node. If the peer has a newer one, the node gets that first
//! ([`super::catch_up`]).

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lease::{Agreement, ConfigInForce, Position};
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use route::ServiceName;
use serde::{Deserialize, Serialize};

use super::frame::{encode, receive};
use super::{FIRST_FRAME_TIMEOUT, SYNC_CHECK_INTERVAL};
use crate::follow;
use crate::forward::Node;
use crate::history::Cursor;
use crate::serve;
use crate::state::State;

/// First bytes of a connection that carries a request. As the length of a frame they would exceed
/// the maximum, so a node that knows no such offers closes the connection.
pub(super) const PREFACE: [u8; 4] = *b"REQ2";

/// Time for which a peer that has read less than the node that makes an offer waits for the rest.
const MAX_BEHIND_TIME: Duration = Duration::from_millis(50);

/// What a node tells a peer of a request that it asks it to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Version of the configuration in force at the node that makes the offer.
    pub config_version: route::Version,
    /// Position up to which it has read the configuration's history.
    pub config_up_to: Cursor,
    /// Newest change of the configuration that it has read.
    pub config_newest: Cursor,
    /// Newest change of the list of upstreams that it has read.
    pub list_newest: Cursor,
    /// Time since the request was received.
    pub age: Duration,
    /// Service that was chosen for it.
    pub service: ServiceName,
    /// Maximum number of upstreams that it may still reach.
    pub attempts: u32,
    /// Whether its first send is already counted in a retry budget.
    pub is_counted: bool,
    /// Whether it has a token of its team's quota.
    pub has_token: bool,
}

impl Offer {
    fn config(&self) -> ConfigInForce {
        let position = Position { up_to: self.config_up_to, newest: self.config_newest };
        ConfigInForce { version: self.config_version, position }
    }
}

/// Response to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OfferReply {
    /// The request may be sent.
    Accepted,
    /// The peer takes no requests, or lacks a change of the configuration.
    Declined,
    /// The peer would handle the request by a newer configuration.
    Newer,
}

/// An accepted offer.
#[derive(Clone, Debug)]
pub struct AcceptedOffer {
    /// The offer.
    pub offer: Offer,
    /// When the request was received by the node that made the offer, by the clock of this one.
    pub received_at: Instant,
    /// The configuration that was agreed on. A newer one may be in force by the time the request
    /// arrives.
    pub table: Rc<route::Table>,
}

/// Offers a request to the peer at `addr`; returns its reply and the connection, on which the request
/// may be sent if the peer accepts.
///
/// # Errors
///
/// Returns the error of the socket, or `TimedOut` after `timeout`.
pub(crate) async fn offer(
    addr: SocketAddr,
    offer: &Offer,
    timeout: Duration,
) -> io::Result<(OfferReply, TcpStream)> {
    let mut stream = web::connect(addr, timeout).await?;
    stream.set_nodelay(true)?;
    let mut bytes = PREFACE.to_vec();
    bytes.extend_from_slice(&encode(offer));
    let asking = async {
        stream.write_all(bytes).await.0?;
        receive::<OfferReply, _>(&mut stream).await
    };
    match web::timeout(timeout, asking).await {
        Ok(reply) => reply.map(|reply| (reply, stream)),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Returns true if this node may take requests of peers: it serves, and reaches upstreams.
fn takes_requests(state: &State) -> bool {
    state.is_ready() && !state.paths.is_unreachable()
}

/// Returns true if this node lacks a change that the node which makes the offer has read.
fn is_behind(state: &State, offer: &Offer) -> bool {
    state.config_in_force().compare(offer.config()) == Agreement::Behind
        || offer.list_newest > state.list_progress.up_to
}

/// Waits briefly while this node lacks a change that the node which makes the offer has read.
async fn wait_while_behind(node: &Node, offer: &Offer) {
    let since = Instant::now();
    let may_wait = || {
        let state = node.state.borrow();
        takes_requests(&state) && is_behind(&state, offer)
    };
    follow::wait_while(SYNC_CHECK_INTERVAL, || may_wait() && since.elapsed() < MAX_BEHIND_TIME)
        .await;
}

/// Returns the response to an offer. A list of upstreams that lacks a change is used nevertheless, as
/// for requests of this node's own callers.
fn reply_to(state: &State, offer: &Offer) -> OfferReply {
    match state.config_in_force().compare(offer.config()) {
        _ if !takes_requests(state) => OfferReply::Declined,
        Agreement::Same => OfferReply::Accepted,
        Agreement::Ahead => OfferReply::Newer,
        Agreement::Behind => OfferReply::Declined,
    }
}

/// Responds to an offer and, if it is accepted, serves its request.
pub(super) async fn serve_offer(mut stream: TcpStream, node: Rc<Node>) {
    let receiving = web::timeout(FIRST_FRAME_TIMEOUT, receive::<Offer, _>(&mut stream));
    let Ok(Ok(offer)) = receiving.await else { return };
    let received_at = Instant::now().checked_sub(offer.age).unwrap_or_else(Instant::now);
    wait_while_behind(&node, &offer).await;
    let (reply, table) = {
        let state = &mut *node.state.borrow_mut();
        let reply = reply_to(state, &offer);
        match reply {
            OfferReply::Accepted => state.counters.offers_accepted += 1,
            OfferReply::Declined => state.counters.offers_declined += 1,
            OfferReply::Newer => state.counters.offers_outdated += 1,
        }
        (reply, state.table.clone())
    };
    trace::Line::new("offer_answered")
        .field("service", offer.service.as_str())
        .field("offered_config", offer.config_version)
        .field("config", table.as_ref().map(|table| table.version))
        .field("reply", format!("{reply:?}"))
        .log();
    // Fails only if the peer has gone away.
    let sent = stream.write_all(encode(&reply)).await.0;
    match (reply, table) {
        (OfferReply::Accepted, Some(table)) if sent.is_ok() && stream.set_nodelay(true).is_ok() => {
            let accepted = AcceptedOffer { offer, received_at, table };
            serve::serve_offered(stream, node, accepted).await;
        }
        _ => {}
    }
}
