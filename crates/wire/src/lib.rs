//! Datagrams exchanged between entry nodes.
//!
//! A [`Packet`] is one UDP datagram. It holds a description of its sender, a request or reply
//! ([`Body`]), and piggybacked updates: [`MemberUpdate`]s of the membership protocol,
//! [`HealthReport`]s from probing upstreams, [`Finding`]s about requests that crash upstreams, and
//! [`Notice`]s that upstreams state about themselves. Packets are encoded with postcard and are
//! never longer than [`MAX_PACKET_BYTES`], so that no link has to fragment them. [`Hints`] and
//! [`PathClaim`]s are datagrams of their own.

mod hints;
mod path_claim;
mod update;

use std::net::SocketAddr;

use notice::Notice;
use quarantine::Finding;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use hints::{Hints, SilentService, MAX_SILENT_SERVICES};
pub use path_claim::PathClaim;
pub use update::{HealthReport, MemberUpdate, Standing, Verdict};

/// Maximum size of a datagram, in bytes: below the IPv6 minimum MTU (1280 bytes) less headers.
pub const MAX_PACKET_BYTES: usize = 1_200;

/// Protocol version, the first byte of every packet. Packets of other versions are rejected. It must
/// never become 6 or 7, the first bytes of [`Hints`] and of a [`PathClaim`].
const PROTOCOL_VERSION: u8 = 5;

/// Maximum length of a zone name in a received packet, in bytes.
pub const MAX_ZONE_BYTES: usize = 63;

/// Incarnation number of a node.
///
/// Only the node itself raises it: when it restarts, and to refute updates that call it suspect or
/// dead.
pub type Incarnation = u64;

/// Sequence number of a ping, echoed by its acknowledgement.
pub type PingSeq = u32;

quick_error! {
    /// Error returned when a datagram cannot be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are not a valid packet.
        Malformed(message: String) {
            display("malformed packet: {}", message)
        }
        /// The packet has another protocol version.
        Version(version: u8) {
            display("protocol version {} is not {}", version, PROTOCOL_VERSION)
        }
    }
}

/// Request or reply in a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver for a [`Body::Ack`] with the same sequence number.
    Ping(PingSeq),
    /// Acknowledges the ping with this sequence number.
    Ack(PingSeq),
    /// Asks the receiver to ping the node at this address and to forward its acknowledgement under
    /// this sequence number.
    PingReq(PingSeq, SocketAddr),
    /// Needs no reply: the packet only carries piggybacked updates.
    #[serde(rename = "News")]
    Gossip,
}

/// Description of the sender, by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Address of the sender. Callers connect to the same address.
    pub addr: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub zone: SmolStr,
    /// Highest commit of the config that the sender has.
    pub config_head: u64,
    /// Highest commit of the list of upstreams that the sender has; 0 when it does not report one.
    pub list_head: u64,
    /// Digest of the requests that the sender quarantines; 0 when there are none.
    pub held_digest: u64,
}

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender of the packet.
    pub sender: Sender,
    /// Request or reply.
    pub body: Body,
    /// Piggybacked membership updates.
    pub members: Vec<MemberUpdate>,
    /// Piggybacked health reports on upstreams.
    #[serde(rename = "notes")]
    pub health_reports: Vec<HealthReport>,
    /// Piggybacked findings about requests that crash upstreams.
    pub findings: Vec<Finding>,
    /// Piggybacked notices from upstreams.
    pub notices: Vec<Notice>,
}

impl Packet {
    /// Encodes the packet as a datagram. Does not enforce [`MAX_PACKET_BYTES`].
    ///
    /// # Panics
    ///
    /// Panics when memory for the encoding cannot be allocated.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![PROTOCOL_VERSION]).expect("failed to encode a packet")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the bytes are not exactly one packet of this protocol
    /// version, when a zone name is longer than [`MAX_ZONE_BYTES`], or when a finding is invalid:
    /// one that no node can have produced.
    pub fn decode(bytes: &[u8]) -> Result<Packet, DecodeError> {
        let malformed = |message: &str| DecodeError::Malformed(message.to_owned());
        let packet: Packet = decode_exactly(PROTOCOL_VERSION, bytes)?;
        let zone_fits = |zone: &SmolStr| zone.len() <= MAX_ZONE_BYTES;
        let zones_fit = zone_fits(&packet.sender.zone)
            && packet.members.iter().all(|member| zone_fits(&member.zone));
        match () {
            () if !zones_fit => Err(malformed("zone name too long")),
            () if !packet.findings.iter().all(Finding::is_valid) => {
                Err(malformed("unsound finding"))
            }
            () => Ok(packet),
        }
    }
}

/// Decodes a datagram that holds exactly one message behind its version.
fn decode_exactly<T: DeserializeOwned>(version: u8, bytes: &[u8]) -> Result<T, DecodeError> {
    let malformed = |message: &str| DecodeError::Malformed(message.to_owned());
    match bytes.split_first() {
        Some((first, rest)) if *first == version => match postcard::take_from_bytes(rest) {
            Ok((message, [])) => Ok(message),
            Ok(_) => Err(malformed("bytes after the message")),
            Err(err) => Err(malformed(&err.to_string())),
        },
        Some((&other, _)) => Err(DecodeError::Version(other)),
        None => Err(malformed("empty datagram")),
    }
}

/// Returns the encoded length of `item`, in bytes.
///
/// An item that cannot be encoded counts as [`MAX_PACKET_BYTES`].
pub fn encoded_bytes<T: Serialize>(item: &T) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_PACKET_BYTES)
}

#[cfg(test)]
mod tests;
