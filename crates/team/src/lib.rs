//! Teams of callers: their keys, priorities and quotas, and which team a request belongs to.
//!
//! A configuration lists [`Teams`]. Keys are only known by their [`KeyDigest`]: a key is digested
//! where it is read, so that it is never stored, relayed or logged. [`identify`] decides for one
//! request which team its caller belongs to, or that it must be rejected.
//!
//! The lookup costs one digest and one hash map access, however many keys there are.

mod identify;
mod key;
mod teams;
mod text;

pub use identify::{identify, Caller, Unauthorized, SCHEME};
pub use key::{KeyDigest, MAX_KEY_BYTES};
pub use teams::{Quota, Team, TeamError, TeamName, Teams, MAX_NAME_BYTES};
pub use text::DigestText;

#[cfg(test)]
mod tests;
