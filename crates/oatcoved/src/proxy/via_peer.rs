//! Calls that are sent through another entry node, while this node reaches no upstream itself.
//!
//! The call goes to the peer like a caller's, with the header [`OFFER`](crate::OFFER). The peer may
//! decline it: then it has not run, and another peer is asked. A peer never passes it on to a third
//! node.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};
use smol_str::{format_smolstr, SmolStr};
use store::proto;

use super::forward::Call;
use super::{response, Node};

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Peers to which a call is offered at most.
const MAX_PEERS_ASKED: usize = 3;

/// Value of the header [`OFFER`](crate::OFFER) in the response of a peer that declines.
const DECLINED: HeaderValue = HeaderValue::from_static("declined");

/// What a peer is told of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Offer {
    /// Maximum number of upstreams that the call may still reach.
    pub(super) attempts: u64,
    /// Commit up to which this node has read the config; a peer that has read less declines.
    head: proto::Version,
}

impl Offer {
    /// Reads the offer of a request; `None` if it has none, or one that cannot be read.
    pub(super) fn of(headers: &HeaderMap) -> Option<Offer> {
        headers.get(crate::OFFER)?.to_str().ok()?.parse().ok()
    }

    fn to_value(self) -> HeaderValue {
        let Offer { attempts, head } = self;
        let text = format_smolstr!("{attempts} {head}");
        HeaderValue::from_str(&text).expect("numbers are a valid header value")
    }
}

impl FromStr for Offer {
    type Err = SmolStr;

    fn from_str(text: &str) -> Result<Offer, SmolStr> {
        let error = || format_smolstr!("invalid offer: {text}");
        let (attempts, head) = text.split_once(' ').ok_or_else(error)?;
        Ok(Offer {
            attempts: attempts.parse().map_err(|_| error())?,
            head: head.parse().map_err(|_| error())?,
        })
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

impl Node {
    /// Returns true if this node has lost all paths to the upstreams.
    pub(super) fn is_partitioned(&self) -> bool {
        self.view.borrow().paths.is_unreachable()
    }

    /// Returns the response to an offer that this node does not accept: it has no path to the
    /// upstreams either, or has not read what the peer has; `None` if it accepts.
    pub(super) fn decline(&self, offer: Offer, id: &HeaderValue) -> Option<web::Response> {
        let view = self.view.borrow();
        let declines = view.paths.is_unreachable() || view.synced_head() < offer.head;
        declines.then(|| {
            let text = "this entry node does not take the call\n";
            let mut response = response::refused(text, Duration::ZERO, id);
            response.headers_mut().insert(crate::OFFER, DECLINED);
            response
        })
    }

    /// Offers a call to peers until one takes it, which may send it to up to `attempts` upstreams.
    pub(super) async fn send_via_peer(&self, call: &Call<'_>, attempts: u64) -> PeerResult {
        for peer in self.peers_for_call().into_iter().take(MAX_PEERS_ASKED) {
            let timeout = CONNECT_TIMEOUT.min(call.remaining());
            let Ok(mut conn) = web::Conn::connect(peer, timeout).await else {
                self.record_declined(peer);
                continue;
            };
            let request = self.offered_request(call, peer, attempts);
            match conn.send(request, call.remaining()).await {
                Ok(response) if response.headers().get(crate::OFFER) == Some(&DECLINED) => {
                    self.record_declined(peer);
                }
                Ok(response) => {
                    self.view.borrow_mut().counters.sent_via_peers += 1;
                    return PeerResult::Responded(response);
                }
                Err(err) => return PeerResult::Lost(err),
            }
        }
        PeerResult::Declined
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
        let head = self.view.borrow().synced_head();
        let offer = Offer { attempts: attempts.max(1), head };
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
