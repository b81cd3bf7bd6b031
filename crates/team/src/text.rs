//! Text form of key digests, as templates list them.

use std::fmt;
use std::str::FromStr;

use crate::key::DIGEST_BYTES;
use crate::KeyDigest;

/// Prefix that names the hash function and the length of the digest in bits.
const PREFIX: &str = "blake3-128:";

/// The text form of a digest: the whole digest, unlike its `Display`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestText(pub KeyDigest);

impl fmt::Display for DigestText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.bytes().iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for DigestText {
    /// A message that does not repeat the text, which may be a key.
    type Err = String;

    fn from_str(text: &str) -> Result<DigestText, String> {
        let digits = text.strip_prefix(PREFIX).filter(|digits| {
            digits.len() == 2 * DIGEST_BYTES && digits.bytes().all(|b| b.is_ascii_hexdigit())
        });
        let Some(digits) = digits else {
            return Err(format!(
                "expected {PREFIX} and {} hexadecimal digits; templates hold digests of keys, \
                 never the keys",
                2 * DIGEST_BYTES
            ));
        };
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &digits[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|err| err.to_string())?;
        }
        Ok(DigestText(KeyDigest::from_bytes(bytes)))
    }
}
