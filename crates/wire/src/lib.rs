//! Datagrams between entry nodes.
//!
//! A [`Packet`] is one UDP datagram: who sent it, what it asks or answers
//! ([`Body`]), and what rides along: [`MemberUpdate`]s of the membership
//! protocol, [`Note`]s, what a node learned by watching an upstream, [`Finding`]s, what it knows
//! of requests that crash upstreams, and [`Notice`]s, what upstreams state about themselves. It is
//! encoded with postcard and never longer than [`MAX_PACKET_BYTES`], so it
//! crosses any link without fragmentation.

mod update;

use std::net::SocketAddr;

use notice::Notice;
use quarantine::Finding;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use update::{MemberUpdate, Note, Standing, Verdict};

/// Longest datagram sent, in bytes: below the IPv6 minimum MTU less headers.
pub const MAX_PACKET_BYTES: usize = 1_200;

/// First byte of every packet; another value is a different protocol version.
const PROTOCOL_VERSION: u8 = 5;

/// Longest zone name accepted from a peer, in bytes.
pub const MAX_ZONE_BYTES: usize = 63;

/// Number of a node's life, raised by the node itself to refute news of its death.
pub type Incarnation = u64;

/// Number of a ping, echoed by its acknowledgement.
pub type PingSeq = u32;

quick_error! {
    /// Why a datagram could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are not a packet of this protocol.
        Malformed(message: String) {
            display("malformed packet: {}", message)
        }
        /// The sender speaks another version of the protocol.
        Version(version: u8) {
            display("protocol version {} is not {}", version, PROTOCOL_VERSION)
        }
    }
}

/// What a packet asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver for an [`Body::Ack`] with the same number.
    Ping(PingSeq),
    /// Answers a ping.
    Ack(PingSeq),
    /// Asks the receiver to ping a third node and pass its answer back.
    PingReq(PingSeq, SocketAddr),
    /// Asks nothing: only what rides along matters.
    News,
}

/// The sender, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Address of the sender, where callers also connect to it.
    pub addr: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Highest commit of the config it holds.
    pub config_head: u64,
    /// Highest commit of the list of upstreams it holds; 0 when it does not tell.
    pub list_head: u64,
    /// Digest of the requests that it holds back; 0 when there are none.
    pub held_digest: u64,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who sent it.
    pub sender: Sender,
    /// What it asks or answers.
    pub body: Body,
    /// Membership updates riding along.
    pub members: Vec<MemberUpdate>,
    /// Watch notes riding along.
    pub notes: Vec<Note>,
    /// Findings riding along.
    pub findings: Vec<Finding>,
    /// Notices riding along.
    pub notices: Vec<Notice>,
}

impl Packet {
    /// Encodes the packet.
    ///
    /// # Panics
    ///
    /// Panics when memory for the encoding cannot be had.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![PROTOCOL_VERSION]).expect("packets encode")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the bytes are not a whole packet of this protocol
    /// version, a zone name is longer than [`MAX_ZONE_BYTES`], or a finding is one that no node can
    /// have made.
    pub fn decode(bytes: &[u8]) -> Result<Packet, DecodeError> {
        let malformed = |message: &str| DecodeError::Malformed(message.to_owned());
        let packet: Packet = match bytes.split_first() {
            Some((&PROTOCOL_VERSION, rest)) => match postcard::take_from_bytes(rest) {
                Ok((packet, [])) => packet,
                Ok(_) => return Err(malformed("bytes after the packet")),
                Err(err) => return Err(malformed(&err.to_string())),
            },
            Some((&version, _)) => return Err(DecodeError::Version(version)),
            None => return Err(malformed("empty datagram")),
        };
        let fits = |zone: &SmolStr| zone.len() <= MAX_ZONE_BYTES;
        let zones_fit =
            fits(&packet.sender.zone) && packet.members.iter().all(|member| fits(&member.zone));
        match () {
            () if !zones_fit => Err(malformed("zone name too long")),
            () if !packet.findings.iter().all(Finding::is_valid) => {
                Err(malformed("unsound finding"))
            }
            () => Ok(packet),
        }
    }
}

/// Returns the encoded length of `item`, in bytes.
pub fn encoded_bytes<T: Serialize>(item: &T) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_PACKET_BYTES)
}

#[cfg(test)]
mod tests;
