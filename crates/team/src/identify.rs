//! Which team a request belongs to.

use std::rc::Rc;

use http::header::AUTHORIZATION;
use http::HeaderMap;

use crate::{KeyDigest, Team, Teams, MAX_KEY_BYTES};

/// Authentication scheme of keys (RFC 6750); schemes are compared in any case.
pub const SCHEME: &str = "Bearer";

/// Who sent a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// A team, recognized by its key.
    Team(Rc<Team>, KeyDigest),
    /// Somebody without a known key, on a route that needs none.
    Anonymous,
}

/// Why a request is rejected. None of the variants holds the key itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unauthorized {
    /// There is no key.
    Missing,
    /// There are several `Authorization` headers, or the only one holds no usable key.
    Malformed,
    /// No team has the key.
    Unknown(KeyDigest),
}

impl Unauthorized {
    /// Returns the reason for logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Unauthorized::Missing => "no key",
            Unauthorized::Malformed => "malformed key",
            Unauthorized::Unknown(_) => "unknown key",
        }
    }
}

/// Decides who sent a request to `route`.
///
/// A known key identifies its team on every route, so that its quota counts there too.
///
/// # Errors
///
/// Returns why the request must be rejected, on a route that needs a key.
pub fn identify(teams: &Teams, route: &str, headers: &HeaderMap) -> Result<Caller, Unauthorized> {
    let found = presented_key(headers).and_then(|key| match teams.find(&key) {
        Some(team) => Ok(Caller::Team(team.clone(), key)),
        None => Err(Unauthorized::Unknown(key)),
    });
    match found {
        Err(_) if teams.is_open(route) => Ok(Caller::Anonymous),
        found => found,
    }
}

/// Returns the digest of the key that a request presents.
fn presented_key(headers: &HeaderMap) -> Result<KeyDigest, Unauthorized> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = match (values.next(), values.next()) {
        (Some(value), None) => value.as_bytes(),
        (None, _) => return Err(Unauthorized::Missing),
        (Some(_), Some(_)) => return Err(Unauthorized::Malformed),
    };
    let (scheme, rest) = match value.iter().position(|byte| *byte == b' ') {
        Some(end) => value.split_at(end),
        None => return Err(Unauthorized::Malformed),
    };
    let key = rest.trim_ascii();
    let is_key = (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(|b| is_token68(*b));
    match scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && is_key {
        true => Ok(KeyDigest::of(key)),
        false => Err(Unauthorized::Malformed),
    }
}

/// Returns true for the bytes that RFC 9110, section 11.2 allows in a `token68`.
fn is_token68(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte)
}
