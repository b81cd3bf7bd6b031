//! Digests of keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of a key, in bytes. A longer one is rejected before it is digested.
pub const MAX_KEY_BYTES: usize = 256;

/// Length of a digest in bytes. Two keys share one with a chance of 2^-128.
pub(crate) const DIGEST_BYTES: usize = 16;

/// Number of bytes of a digest that its fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

/// The digest of a key: the start of its BLAKE3 hash.
///
/// Keys are long and random, so the digest needs no salt and cannot be reversed by trying keys. Its
/// `Debug` and `Display` show the fingerprint only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> KeyDigest {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(key).as_bytes()[..DIGEST_BYTES]);
        KeyDigest(digest)
    }

    pub(crate) fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> KeyDigest {
        KeyDigest(bytes)
    }

    pub(crate) fn bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..FINGERPRINT_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
