//! What nodes tell each other beside membership: a datagram of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DecodeError, MAX_PACKET_BYTES};

/// First byte of an extension. Nodes that know none refuse it as a packet of another version, so
/// that packets stay as they are and older nodes go on to read them.
const EXTENSION_VERSION: u8 = 6;

/// Maximum number of entry nodes in an extension.
pub const MAX_ROOMS: usize = 40;

/// Maximum number of silent services in an extension.
pub const MAX_SILENT_SERVICES: usize = 4;

/// Maximum length of the name of a service in an extension, in bytes.
const MAX_SERVICE_BYTES: usize = 63;

/// How many requests an entry node can still take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRoom {
    /// Address of the node.
    pub addr: SocketAddr,
    /// Of two values for a node, the one with the higher sequence number is newer.
    pub seq: u64,
    /// Requests per second that it can take beyond those that it gets.
    pub requests_per_s: u32,
}

/// A service whose upstreams do not respond to requests that they cannot queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentService {
    /// Name of the service.
    pub service: SmolStr,
    /// For how much longer it counts as such, in seconds.
    pub left_s: u16,
}

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// Address of the sender.
    pub sender: SocketAddr,
    /// What entry nodes can still take, as far as the sender knows: some of them.
    pub rooms: Vec<NodeRoom>,
    /// Services whose upstreams do not respond to requests that they cannot queue.
    pub silent_services: Vec<SilentService>,
}

impl Extension {
    /// Returns true if a datagram is an extension, as far as its first byte tells.
    pub fn is_extension(bytes: &[u8]) -> bool {
        bytes.first() == Some(&EXTENSION_VERSION)
    }

    /// Encodes the extension as a datagram.
    ///
    /// # Panics
    ///
    /// Panics when memory for the encoding cannot be allocated.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![EXTENSION_VERSION]).expect("failed to encode an extension")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the bytes are not exactly one extension within its limits.
    pub fn decode(bytes: &[u8]) -> Result<Extension, DecodeError> {
        let malformed = |message: &str| DecodeError::Malformed(message.to_owned());
        let extension: Extension = match bytes.split_first() {
            Some((&EXTENSION_VERSION, rest)) if bytes.len() <= MAX_PACKET_BYTES => {
                match postcard::take_from_bytes(rest) {
                    Ok((extension, [])) => extension,
                    Ok(_) => return Err(malformed("bytes after the extension")),
                    Err(err) => return Err(malformed(&err.to_string())),
                }
            }
            Some((&EXTENSION_VERSION, _)) => return Err(malformed("too long")),
            Some((&version, _)) => return Err(DecodeError::Version(version)),
            None => return Err(malformed("empty datagram")),
        };
        let is_within_limits = extension.rooms.len() <= MAX_ROOMS
            && extension.silent_services.len() <= MAX_SILENT_SERVICES
            && extension
                .silent_services
                .iter()
                .all(|silent| silent.service.len() <= MAX_SERVICE_BYTES);
        is_within_limits.then_some(extension).ok_or_else(|| malformed("too many entries"))
    }
}
