//! Offers of requests: a node without a path to any upstream asks a peer to send a request.
//!
//! An offer opens a connection to the address where peers subscribe. After the preface and the
//! [`Offer`], the peer accepts or declines; if it accepts, one request and its response follow in
//! HTTP/1.1. Until then no part of the request was sent, so it can be offered to another peer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use route::ServiceName;
use serde::{Deserialize, Serialize};

use super::frame::{encode, receive};
use super::FIRST_FRAME_TIMEOUT;
use crate::forward::Node;
use crate::serve;
use crate::state::State;

/// First bytes of a connection that carries a request. As the length of a frame they would exceed
/// the maximum, so a node that knows no offers closes the connection.
pub(super) const PREFACE: [u8; 4] = *b"REQ1";

/// What a node tells a peer of a request that it asks it to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Version of the configuration that the request is handled by.
    pub config_version: route::Version,
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

/// Response to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum OfferReply {
    Accepted,
    Declined,
}

/// An accepted offer.
#[derive(Clone, Debug)]
pub struct AcceptedOffer {
    /// The offer.
    pub offer: Offer,
    /// When the request was received by the node that made the offer, by the clock of this one.
    pub received_at: Instant,
}

/// Offers a request to the peer at `addr`; returns the connection to send it on.
///
/// # Errors
///
/// Returns the error of the socket, `TimedOut` after `timeout`, and `ConnectionRefused` if the peer
/// declines.
pub(crate) async fn offer(
    addr: SocketAddr,
    offer: &Offer,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let mut stream = web::connect(addr, timeout).await?;
    stream.set_nodelay(true)?;
    let mut bytes = PREFACE.to_vec();
    bytes.extend_from_slice(&encode(offer));
    let asking = async {
        stream.write_all(bytes).await.0?;
        receive::<OfferReply, _>(&mut stream).await
    };
    match web::timeout(timeout, asking).await {
        Ok(Ok(OfferReply::Accepted)) => Ok(stream),
        Ok(Ok(OfferReply::Declined)) => Err(io::ErrorKind::ConnectionRefused.into()),
        Ok(Err(err)) => Err(err),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Returns true if this node takes a request that is offered: it reaches upstreams, and its
/// configuration is not older than the one by which the request is handled.
fn accepts(state: &State, offer: &Offer) -> bool {
    state.is_ready()
        && !state.paths.is_unreachable()
        && state.config_version() >= offer.config_version
}

/// Responds to an offer and, if it is accepted, serves its request.
pub(super) async fn serve_offer(mut stream: TcpStream, node: Rc<Node>) {
    let receiving = web::timeout(FIRST_FRAME_TIMEOUT, receive::<Offer, _>(&mut stream));
    let Ok(Ok(offer)) = receiving.await else { return };
    let accepted = accepts(&node.state.borrow(), &offer);
    let reply = if accepted { OfferReply::Accepted } else { OfferReply::Declined };
    trace::Line::new("offer_answered")
        .field("service", offer.service.as_str())
        .field("offered_config", offer.config_version)
        .field("config", node.state.borrow().config_version())
        .field("accepted", accepted)
        .log();
    {
        let counters = &mut node.state.borrow_mut().counters;
        match accepted {
            true => counters.offers_accepted += 1,
            false => counters.offers_declined += 1,
        }
    }
    // Fails only if the peer has gone away.
    let sent = stream.write_all(encode(&reply)).await.0;
    if accepted && sent.is_ok() && stream.set_nodelay(true).is_ok() {
        let now = Instant::now();
        let received_at = now.checked_sub(offer.age).unwrap_or(now);
        serve::serve_offered(stream, node, AcceptedOffer { offer, received_at }).await;
    }
}
