//! Whether a node reaches any upstream, as it tells its peers: a datagram of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::DecodeError;

/// First byte of a path claim. It must never become the version of a packet
/// ([`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION)): older nodes refuse it as a packet of another
/// version.
const PATH_CLAIM_VERSION: u8 = 7;

const _: () = assert!(PATH_CLAIM_VERSION != crate::PROTOCOL_VERSION);

/// What a node tells its peers about its paths to the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathClaim {
    /// Address of the sender.
    pub sender: SocketAddr,
    /// Whether it is partitioned from all upstreams.
    pub is_partitioned: bool,
}

impl PathClaim {
    /// Returns true if a datagram holds a path claim, as far as its first byte tells.
    pub fn is_in(bytes: &[u8]) -> bool {
        bytes.first() == Some(&PATH_CLAIM_VERSION)
    }

    /// Encodes the claim as a datagram.
    ///
    /// # Panics
    ///
    /// Panics when memory for the encoding cannot be allocated.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![PATH_CLAIM_VERSION]).expect("failed to encode a path claim")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the bytes are not exactly one path claim.
    pub fn decode(bytes: &[u8]) -> Result<PathClaim, DecodeError> {
        crate::decode_exactly(PATH_CLAIM_VERSION, bytes)
    }
}
