//! What a request asks, as a key.

use std::fmt;
use std::hash::Hasher;

use serde::{Serialize, Serializer};
use siphasher::sip128::{Hasher128, SipHasher13};

/// Key of what a request asks: the same for each attempt to ask it, on every entry node.
///
/// A key of 128 bits: of 64, two requests in some four billion would be taken for one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Content(u128);

impl Content {
    /// Returns the key of a request that consists of `parts`, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Content {
        let mut hasher = SipHasher13::new();
        for part in parts {
            // Without its length, a part that ends differently could begin the next one.
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Content(hasher.finish128().as_u128())
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
    /// Writes it as logs show it.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

#[cfg(test)]
mod tests;
