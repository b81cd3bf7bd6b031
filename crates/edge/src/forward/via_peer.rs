//! Sends of a request through a peer, while this node reaches no upstream itself.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::HeaderMap;
use monoio::net::TcpStream;
use web::h1;

use super::call::{Call, SendRecord, Tried};
use super::send::{write_pieces, SEND_PIECE_BYTES};
use super::Node;
use crate::as_ms;
use crate::conns::Conn;
use crate::exchange::{self, Outcome, OutgoingRequest, SendResult};
use crate::follow::Topic;
use crate::relay::{self, Offer, OfferReply};

/// Time allowed for a peer to accept the connection, and again for its reply to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a request waits for the newer configuration of peers.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(500);

/// Peers to which a request is offered at most.
const MAX_PEERS_ASKED: usize = 3;

/// Upstreams that accepted no connection for a request before it is offered to peers.
const MAX_UNCONNECTED: usize = 2;

/// A peer that has accepted an offer, and the connection to send the request on.
pub(super) struct AcceptingPeer {
    addr: SocketAddr,
    conn: Conn,
}

impl Node {
    /// Returns true if a request is to be sent through a peer rather than by this node.
    pub(super) fn prefers_peer(&self, call: &Call<'_>, tried: &Tried) -> bool {
        let unconnected = tried.upstreams.len().saturating_sub(tried.reached as usize);
        call.offer.is_none()
            && !tried.peers_asked
            && (self.state.borrow().paths.is_unreachable() || unconnected >= MAX_UNCONNECTED)
    }

    /// Returns true if a request for which no upstream was found is to be sent through a peer: open
    /// connections are all in use, and new ones are refused.
    pub(super) fn needs_peer(&self, call: &Call<'_>, tried: &Tried) -> bool {
        let is_unconnectable = self.state.borrow().paths.is_unconnectable();
        call.offer.is_none() && !tried.peers_asked && is_unconnectable
    }

    /// Returns the peers that may take a request, in the order in which to offer it.
    fn peers_for(&self, call: &Call<'_>) -> Vec<SocketAddr> {
        let state = &mut *self.state.borrow_mut();
        let allowed_zones = state.settings.allowed_zones(&call.route.allowed_regions);
        let candidates = state.peers.iter().filter(|(_, peer)| {
            let is_allowed = allowed_zones.as_ref().is_none_or(|zones| zones.contains(&peer.zone));
            peer.may_serve() && is_allowed
        });
        let candidates = candidates
            .map(|(addr, peer)| reach::Candidate { addr: *addr, zone: peer.zone.clone() });
        let (now, own_zone) = (Instant::now(), &state.settings.zone);
        state.peer_paths.ranked(candidates, own_zone, now, &mut state.rng)
    }

    /// Sends a request whose body was received in full through a peer.
    pub(super) async fn send_to_peer(
        &self,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
        peer: AcceptingPeer,
        body: &Bytes,
    ) -> Outcome {
        let length = call.head.framing != h1::Framing::Empty;
        let framing = length.then(|| (http::header::CONTENT_LENGTH, HeaderValue::from(body.len())));
        let mut rest = body.clone();
        let first = rest.split_to(rest.len().min(SEND_PIECE_BYTES));
        let write_rest = async |writer: &mut h1::Writer| write_pieces(writer, &rest).await;
        self.send_to_peer_with(call, tried, peer, framing, &first, write_rest).await
    }

    /// Same as [`Node::send_to_peer`]; `write_rest` sends what follows `first`, and `framing` is the
    /// header that states the length or the coding of both.
    pub(super) async fn send_to_peer_with<F>(
        &self,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
        AcceptingPeer { addr: peer, conn }: AcceptingPeer,
        framing: Option<(HeaderName, HeaderValue)>,
        first: &Bytes,
        write_rest: F,
    ) -> Outcome
    where
        F: AsyncFnOnce(&mut h1::Writer) -> SendResult,
    {
        call.sends.borrow_mut().push(SendRecord {
            upstream: format!("peer {peer}").into(),
            at_ms: as_ms(call.received_at.elapsed()),
            predicted_ms: 0,
            report_age_ms: None,
        });
        call.log_line("sent_via_peer")
            .field("peer", peer)
            .field("is_behind", self.state.borrow().is_behind(Topic::Config))
            .log();
        self.state.borrow_mut().counters.sent_via_peers += 1;
        if let Some(token) = &call.token {
            token.spend();
        }
        // The peer may use them up.
        tried.borrow_mut().reached = call.attempts;
        let names = self.state.borrow().settings.headers.clone();
        let mut bytes =
            h1::write_request(&call.head.method, &call.head.target, &peer_headers(call, framing));
        bytes.extend_from_slice(first);
        let (method, request_id) = (call.head.method.clone(), call.request_id.clone());
        let outgoing = OutgoingRequest { method, bytes, request_id };
        let (outcome, _) = exchange::run(conn, outgoing, &names, |_, _| {}, write_rest).await;
        if let Outcome::Lost(why) = &outcome {
            call.log_line("answer_lost").field("peer", peer).field("reason", why).log();
        }
        outcome
    }

    /// Offers a request to peers until one accepts it; `None` if none does.
    pub(super) async fn offer_to_peers(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
    ) -> Option<AcceptingPeer> {
        tried.borrow_mut().peers_asked = true;
        let catch_up_until = Instant::now() + MAX_CATCH_UP_WAIT.min(call.deadline_left());
        for peer in self.peers_for(call).into_iter().take(MAX_PEERS_ASKED) {
            let mut offered = self.offer_to(call, tried, peer).await;
            if let Ok((OfferReply::Newer, _)) = offered {
                let max_wait = catch_up_until.saturating_duration_since(Instant::now());
                relay::catch_up(self, peer, max_wait).await;
                offered = self.offer_to(call, tried, peer).await;
            }
            let error = match offered {
                Ok((OfferReply::Accepted, stream)) => {
                    return Some(AcceptingPeer { addr: peer, conn: Conn::to_peer(stream) })
                }
                // It takes requests as soon as this node has its configuration.
                Ok((OfferReply::Newer, _)) => continue,
                Ok((OfferReply::Declined, _)) => "declined".to_owned(),
                Err(err) => err.to_string(),
            };
            trace::Line::new("offer_declined").field("peer", peer).field("error", error).log();
            self.state.borrow_mut().peer_paths.record_declined(peer, Instant::now());
        }
        None
    }

    async fn offer_to(
        &self,
        call: &Call<'_>,
        tried: &RefCell<Tried>,
        peer: SocketAddr,
    ) -> io::Result<(OfferReply, TcpStream)> {
        let offer = self.offer_of(call, &tried.borrow());
        relay::offer(peer, &offer, OFFER_TIMEOUT.min(call.deadline_left())).await
    }

    /// Returns the offer of a request. A peer routes it anew, so what counts is the configuration in
    /// force at this node, not the one by which it was routed here.
    fn offer_of(&self, call: &Call<'_>, tried: &Tried) -> Offer {
        let state = self.state.borrow();
        let lease::ConfigInForce { version, position } = state.config_in_force();
        Offer {
            config_version: version,
            config_up_to: position.up_to,
            config_newest: position.newest,
            list_newest: state.list_progress.newest,
            age: call.received_at.elapsed(),
            service: call.service.clone(),
            attempts: call.attempts.saturating_sub(tried.reached).max(1),
            is_counted: !tried.upstreams.is_empty(),
            has_token: call.token.is_some(),
        }
    }
}

/// Returns the headers that are sent to the peer: those of the caller, as the peer takes the request
/// like one of its own callers'.
fn peer_headers(call: &Call<'_>, framing: Option<(HeaderName, HeaderValue)>) -> HeaderMap {
    let mut headers = call.head.headers.clone();
    web::strip_connection_headers(&mut headers);
    if let Some((name, value)) = framing {
        headers.insert(name, value);
    }
    headers
}
