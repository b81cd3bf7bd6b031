//! Keys that identify requests by their content.

use std::fmt;

use serde::de::{Deserialize, Deserializer};
use serde::ser::{Serialize, Serializer};

/// Bytes of the hash that make up the key.
const KEY_BYTES: usize = 16;

/// Key of what a request asks: the same for all attempts of the request on all entry nodes.
///
/// The key is a cryptographic hash, truncated to 128 bits. With a plain hash, a client could craft
/// a request that crashes upstreams and has the key of another client's request, which would then
/// be refused. A keyed hash would need the same secret on all nodes, also after all of them
/// restarted.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentKey(u128);

impl ContentKey {
    /// Returns the key of a request that consists of `parts`, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> ContentKey {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // Without the lengths, parts split at another place would have the same key.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..KEY_BYTES]);
        ContentKey(u128::from_be_bytes(key))
    }

    /// Parses a key in the form used in logs and by operators: 32 hexadecimal digits. Returns
    /// `None` for any other text.
    pub fn parse(text: &str) -> Option<ContentKey> {
        let is_key = text.len() == 2 * KEY_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        is_key.then(|| u128::from_str_radix(text, 16).ok()).flatten().map(ContentKey)
    }

    /// Returns the key as a number.
    pub fn as_u128(self) -> u128 {
        self.0
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for ContentKey {
    /// Serializes the key as text in human-readable formats and as a number in binary ones.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_u128(self.0),
        }
    }
}

impl<'de> Deserialize<'de> for ContentKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ContentKey, D::Error> {
        if !deserializer.is_human_readable() {
            return u128::deserialize(deserializer).map(ContentKey);
        }
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        ContentKey::parse(&text).ok_or_else(|| serde::de::Error::custom("not the key of a request"))
    }
}

#[cfg(test)]
mod tests;
