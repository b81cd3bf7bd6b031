//! Headers that concern one connection only, and those that tell who asks.

use http::header::{HeaderName, AUTHORIZATION, COOKIE};
use http::HeaderMap;

/// Headers that concern one connection only and are never passed on.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Removes the headers that concern one connection only, those that `Connection` lists included,
/// and the length, which is written anew.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Returns the values by which upstreams tell callers apart, empty where there is none.
pub fn credentials(headers: &HeaderMap) -> [&[u8]; 2] {
    [AUTHORIZATION, COOKIE].map(|name| headers.get(name).map_or(&[][..], |value| value.as_bytes()))
}
