//! What nodes tell each other beside membership: a datagram of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DecodeError, MAX_PACKET_BYTES};

/// First byte of hints. It must never become the version of a packet
/// ([`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION)): nodes that know no hints refuse them as a packet
/// of another version, so that packets stay as they are and older nodes go on to read them.
const HINTS_VERSION: u8 = 6;

const _: () = assert!(HINTS_VERSION != crate::PROTOCOL_VERSION);

/// Maximum number of silent services in hints.
pub const MAX_SILENT_SERVICES: usize = 4;

/// Maximum length of the name of a service in hints, in bytes.
const MAX_SERVICE_BYTES: usize = 63;

/// A service whose upstreams do not respond to requests that they cannot queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentService {
    /// Name of the service.
    pub service: SmolStr,
    /// For how much longer it counts as such, in seconds.
    pub left_s: u16,
}

/// Content of one datagram, beside the pings. Its first byte, 6, must never become the version of a
/// packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hints {
    /// Address of the sender.
    pub sender: SocketAddr,
    /// Services whose upstreams do not respond to requests that they cannot queue.
    pub silent_services: Vec<SilentService>,
}

impl Hints {
    /// Returns true if a datagram holds hints, as far as its first byte tells.
    pub fn are_in(bytes: &[u8]) -> bool {
        bytes.first() == Some(&HINTS_VERSION)
    }

    /// Encodes the hints as a datagram.
    ///
    /// # Panics
    ///
    /// Panics when memory for the encoding cannot be allocated.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![HINTS_VERSION]).expect("failed to encode hints")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the bytes are not exactly one set of hints within its limits.
    pub fn decode(bytes: &[u8]) -> Result<Hints, DecodeError> {
        let malformed = |message: &str| DecodeError::Malformed(message.to_owned());
        if Hints::are_in(bytes) && bytes.len() > MAX_PACKET_BYTES {
            return Err(malformed("too long"));
        }
        let hints: Hints = crate::decode_exactly(HINTS_VERSION, bytes)?;
        let is_within_limits = hints.silent_services.len() <= MAX_SILENT_SERVICES
            && hints.silent_services.iter().all(|silent| silent.service.len() <= MAX_SERVICE_BYTES);
        is_within_limits.then_some(hints).ok_or_else(|| malformed("too many entries"))
    }
}
