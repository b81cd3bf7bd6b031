//! What goes to upstreams and back to callers: headers and outcomes.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, StatusCode};

/// Outcome of a call that an upstream answered.
pub(super) const DONE: &str = "done";

/// Outcome of a call that no upstream ran.
pub(super) const NOT_RUN: &str = "not-run";

/// Outcome of a call that may have run.
pub(super) const UNKNOWN: &str = "unknown";

/// Shortest and longest time after which a refused caller is told to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Builds the request sent to an upstream: same method, headers and body, the service prefix removed.
pub(super) fn upstream_request(
    request: &web::Request,
    path: &str,
    addr: SocketAddr,
    request_id: &HeaderValue,
    remaining: Duration,
) -> web::Request {
    let mut headers = request.headers().clone();
    web::strip_connection_headers(&mut headers);
    let host = HeaderValue::try_from(addr.to_string()).expect("an address is a value");
    headers.insert(http::header::HOST, host);
    headers.insert(crate::REQUEST_ID, request_id.clone());
    headers.insert(crate::TIMEOUT_MS, HeaderValue::from(remaining.as_millis() as u64));
    let mut upstream_request = http::Request::new(request.body().clone());
    *upstream_request.method_mut() = request.method().clone();
    *upstream_request.uri_mut() = http::Uri::try_from(path).expect("the path was part of a target");
    *upstream_request.headers_mut() = headers;
    upstream_request
}

/// Hands an upstream's answer on.
pub(super) fn done(response: web::Response, request_id: &HeaderValue) -> web::Response {
    with_outcome(response, DONE, request_id)
}

/// Tells the caller that its call may have run.
pub(super) fn unknown(status: StatusCode, text: &str, id: &HeaderValue) -> web::Response {
    with_outcome(web::reply(status, text.to_owned()), UNKNOWN, id)
}

/// Tells the caller that nothing ran its call and why, with no time to come back.
pub(super) fn not_run(status: StatusCode, text: &'static str, id: &HeaderValue) -> web::Response {
    with_outcome(web::reply(status, text), NOT_RUN, id)
}

/// Tells the caller that nothing ran its call and when to come back.
///
/// `Retry-After` is in whole seconds as the standard has it; the exact time
/// is in milliseconds beside it. The caller is told at once: holding the
/// answer back would only keep it from going elsewhere.
pub(super) fn refused(text: &'static str, busy_for: Duration, id: &HeaderValue) -> web::Response {
    held_back(text, busy_for.clamp(COME_BACK.0, COME_BACK.1), id)
}

/// The same for a call that crashes upstreams, however long that is: coming back each second is of
/// no use to its caller.
pub(super) fn held_back(
    text: &'static str,
    come_back: Duration,
    id: &HeaderValue,
) -> web::Response {
    let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE, text, id);
    let headers = response.headers_mut();
    let whole_s = come_back.as_millis().div_ceil(1_000) as u64;
    headers.insert(http::header::RETRY_AFTER, HeaderValue::from(whole_s));
    headers.insert(crate::RETRY_AFTER_MS, HeaderValue::from(come_back.as_millis() as u64));
    response
}

fn with_outcome(
    mut response: web::Response,
    outcome: &'static str,
    request_id: &HeaderValue,
) -> web::Response {
    let headers = response.headers_mut();
    web::strip_connection_headers(headers);
    headers.insert(crate::OUTCOME, HeaderValue::from_static(outcome));
    headers.insert(crate::REQUEST_ID, request_id.clone());
    response
}
