//! What a request asks, as a key.

use std::fmt;

use serde::de::{Deserialize, Deserializer};
use serde::ser::{Serialize, Serializer};

/// Bytes of the digest that make the key.
const KEY_BYTES: usize = 16;

/// Key of what a request asks: the same for each attempt to ask it, on every entry node.
///
/// A cryptographic digest, cut to 128 bits. With a plain hash, somebody could choose a request that
/// crashes upstreams so that its key is that of another's request, which would then be refused; a
/// hash with a secret would need that secret on all nodes, and after a restart of all of them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Content(u128);

impl Content {
    /// Returns the key of a request that consists of `parts`, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Content {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // Without its length, a part that ends differently could begin the next one.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..KEY_BYTES]);
        Content(u128::from_be_bytes(key))
    }

    /// Reads a key as logs and operators write it; `None` for other text.
    pub fn parse(text: &str) -> Option<Content> {
        let is_key = text.len() == 2 * KEY_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        is_key.then(|| u128::from_str_radix(text, 16).ok()).flatten().map(Content)
    }

    /// Returns the key as a number.
    pub fn as_u128(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Content {
    /// Writes it as text where people read it, as a number between nodes.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_u128(self.0),
        }
    }
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Content, D::Error> {
        if !deserializer.is_human_readable() {
            return u128::deserialize(deserializer).map(Content);
        }
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        Content::parse(&text).ok_or_else(|| serde::de::Error::custom("not the key of a request"))
    }
}

#[cfg(test)]
mod tests;
