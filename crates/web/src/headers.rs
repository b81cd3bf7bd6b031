//! Hop-by-hop headers, and headers that identify the caller.

use http::header::{HeaderName, AUTHORIZATION, COOKIE};
use http::HeaderMap;

/// Hop-by-hop headers, which apply to one connection only and are never forwarded.
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

/// Removes the hop-by-hop headers, including those listed in `Connection`, and `Content-Length`,
/// which is set again when the message is written.
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

/// Returns the values of `Authorization` and `Cookie`, by which upstreams distinguish callers.
///
/// A missing header gives an empty value; of a repeated header, only the first value is returned.
pub fn credentials(headers: &HeaderMap) -> [&[u8]; 2] {
    [AUTHORIZATION, COOKIE].map(|name| headers.get(name).map_or(&[][..], |value| value.as_bytes()))
}
