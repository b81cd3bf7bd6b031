//! Calls that are sent through another entry node, while this node reaches no upstream itself.
//!
//! The call goes to the peer like a caller's, with the header [`OFFER`](crate::OFFER). The peer may
//! decline it: then it has not run, and another peer is asked. A peer never passes it on to a third
//! node.
//!
//! A peer takes a call only if both nodes handle calls by the same config: to a caller they are one
//! node. If the config of the peer is newer, this node reads it from the peer and offers the call
//! again.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};
use lease::{Agreement, ConfigInForce, Position};
use smol_str::{format_smolstr, SmolStr};

use super::forward::Call;
use super::{response, Node};
use crate::follow;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Peers to which a call is offered at most.
const MAX_PEERS_ASKED: usize = 3;

/// Time for which a call waits for the newer config of peers.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(500);

/// Value of the header [`OFFER`](crate::OFFER) in the response of a peer that declines.
const DECLINED: HeaderValue = HeaderValue::from_static("declined");

/// The same of a peer that would handle the call by a newer config.
const NEWER: HeaderValue = HeaderValue::from_static("newer");

/// What a peer is told of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Offer {
    /// Maximum number of upstreams that the call may still reach.
    pub(super) attempts: u64,
    /// The config that the node which makes the offer handles the service's calls by.
    config: ConfigInForce,
}

impl Offer {
    /// Reads the offer of a request; `None` if it has none, or one that cannot be read.
    pub(super) fn of(headers: &HeaderMap) -> Option<Offer> {
        headers.get(crate::OFFER)?.to_str().ok()?.parse().ok()
    }

    fn to_value(self) -> HeaderValue {
        let Offer { attempts, config: ConfigInForce { version, position } } = self;
        let Position { up_to, newest } = position;
        let text = format_smolstr!("{attempts} {version} {up_to} {newest}");
        HeaderValue::from_str(&text).expect("numbers are a valid header value")
    }
}

impl FromStr for Offer {
    type Err = SmolStr;

    fn from_str(text: &str) -> Result<Offer, SmolStr> {
        let error = || format_smolstr!("invalid offer: {text}");
        let numbers: Result<Vec<u64>, _> = text.split(' ').map(str::parse).collect();
        match numbers.as_deref() {
            Ok(&[attempts, version, up_to, newest]) => {
                let config = ConfigInForce { version, position: Position { up_to, newest } };
                Ok(Offer { attempts, config })
            }
            Ok(_) | Err(_) => Err(error()),
        }
    }
}

/// What came of a call that was offered to peers.
pub(super) enum PeerResult {
    /// No peer took it, and none can have run it.
    Declined,
    /// A peer responded, with an outcome of its own.
    Responded(web::Response),
    /// A peer may have passed it on, and its response was lost.
    Lost(web::Error),
}

/// What came of a call that was offered to one peer.
enum Offered {
    /// The peer does not take it, or cannot be reached.
    Declined,
    /// The peer would handle it by a newer config.
    Newer,
    /// The peer responded, with an outcome of its own.
    Responded(web::Response),
    /// The peer may have passed it on, and its response was lost.
    Lost(web::Error),
}

impl Node {
    /// Returns true if this node has lost all paths to the upstreams.
    pub(super) fn is_partitioned(&self) -> bool {
        self.view.borrow().paths.is_unreachable()
    }

    /// Returns the response to an offer that this node does not accept: it has no path to the
    /// upstreams either, or handles calls to `service` by another config; `None` if it accepts.
    pub(super) fn decline(
        &self,
        offer: Offer,
        service: &str,
        id: &HeaderValue,
    ) -> Option<web::Response> {
        let view = &mut *self.view.borrow_mut();
        let is_usable = view.is_config_usable(Instant::now());
        let reply = match view.config_in_force(service).compare(offer.config) {
            _ if view.paths.is_unreachable() || !is_usable => DECLINED,
            Agreement::Same => return None,
            Agreement::Ahead => NEWER,
            Agreement::Behind => DECLINED,
        };
        match reply == NEWER {
            true => view.counters.offers_outdated += 1,
            false => view.counters.offers_declined += 1,
        }
        let text = "this entry node does not take the call\n";
        let mut response = response::refused(text, Duration::ZERO, id);
        response.headers_mut().insert(crate::OFFER, reply);
        Some(response)
    }

    /// Offers a call to peers until one takes it, which may send it to up to `attempts` upstreams.
    pub(super) async fn send_via_peer(&self, call: &Call<'_>, attempts: u64) -> PeerResult {
        let catch_up_until = Instant::now() + MAX_CATCH_UP_WAIT.min(call.remaining());
        for peer in self.peers_for_call().into_iter().take(MAX_PEERS_ASKED) {
            let mut offered = self.offer_to(call, peer, attempts).await;
            if matches!(offered, Offered::Newer) {
                let max_wait = catch_up_until.saturating_duration_since(Instant::now());
                self.catch_up(peer, max_wait).await;
                offered = self.offer_to(call, peer, attempts).await;
            }
            match offered {
                Offered::Declined => self.record_declined(peer),
                // It takes calls as soon as this node has its config.
                Offered::Newer => {}
                Offered::Responded(response) => {
                    self.view.borrow_mut().counters.sent_via_peers += 1;
                    return PeerResult::Responded(response);
                }
                Offered::Lost(err) => return PeerResult::Lost(err),
            }
        }
        PeerResult::Declined
    }

    /// Offers a call to one peer.
    async fn offer_to(&self, call: &Call<'_>, peer: SocketAddr, attempts: u64) -> Offered {
        let timeout = CONNECT_TIMEOUT.min(call.remaining());
        let Ok(mut conn) = web::Conn::connect(peer, timeout).await else {
            return Offered::Declined;
        };
        conn.share_buffers(&self.response_buffers);
        let request = self.offered_request(call, peer, attempts);
        match conn.send(request, call.remaining()).await {
            Ok(response) => match response.headers().get(crate::OFFER) {
                Some(reply) if reply == DECLINED => Offered::Declined,
                Some(reply) if reply == NEWER => Offered::Newer,
                Some(_) | None => Offered::Responded(response),
            },
            Err(err) => Offered::Lost(err),
        }
    }

    /// Reads the newer config of a peer and puts it in force.
    async fn catch_up(&self, peer: SocketAddr, max_wait: Duration) {
        let store = store::Store::new(peer);
        match web::timeout(max_wait, follow::read_config(&store, &self.view)).await {
            Ok(Ok(())) => self.view.borrow_mut().counters.caught_up += 1,
            Ok(Err(err)) => log::warn!("peer={peer} cannot read its newer config: {err}"),
            Err(_) => log::warn!("peer={peer} cannot read its newer config in time"),
        }
    }

    fn record_declined(&self, peer: SocketAddr) {
        log::debug!("peer={peer} declined a call");
        self.view.borrow_mut().peer_paths.record_declined(peer, Instant::now());
    }

    /// Returns the peers that may take a call, in the order in which to offer it.
    fn peers_for_call(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let is_alive = |peer: &crate::view::Peer| peer.standing == Some(wire::Standing::Alive);
        let candidates = view.peers.iter().filter(|(_, peer)| is_alive(peer));
        let candidates = candidates
            .map(|(addr, peer)| reach::Candidate { addr: *addr, zone: peer.zone.clone() });
        let (own_zone, rng) = (&view.settings.zone, &mut *self.rng.borrow_mut());
        view.peer_paths.ranked(candidates, own_zone, Instant::now(), rng)
    }

    /// Returns the request by which a call is offered: the caller's own, as the peer treats it like
    /// one of its callers'.
    fn offered_request(&self, call: &Call<'_>, peer: SocketAddr, attempts: u64) -> web::Request {
        let mut request = http::Request::new(call.request.body().clone());
        *request.method_mut() = call.request.method().clone();
        *request.uri_mut() = call.request.uri().clone();
        let mut headers = call.request.headers().clone();
        web::strip_connection_headers(&mut headers);
        let host = HeaderValue::try_from(peer.to_string());
        headers.insert(http::header::HOST, host.expect("an address is a valid header value"));
        headers.insert(crate::REQUEST_ID, call.request_id.clone());
        let left_ms = call.remaining().as_millis() as u64;
        headers.insert(crate::TIMEOUT_MS, HeaderValue::from(left_ms));
        let config = self.view.borrow().config_in_force(&call.service);
        let offer = Offer { attempts: attempts.max(1), config };
        headers.insert(crate::OFFER, offer.to_value());
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the outcome that a peer's response states; `unknown` if it states none.
pub(super) fn outcome_of(response: &web::Response) -> &'static str {
    let stated = response.headers().get(crate::OUTCOME).map(HeaderValue::as_bytes);
    match stated {
        Some(outcome) if outcome == response::DONE.as_bytes() => response::DONE,
        Some(outcome) if outcome == response::NOT_RUN.as_bytes() => response::NOT_RUN,
        _ => response::UNKNOWN,
    }
}
