//! Requests to upstreams and responses to callers, with their headers and outcomes.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, StatusCode};

use super::forward::Call;

/// Outcome of a call to which an upstream responded.
pub(super) const DONE: &str = "done";

/// Outcome of a call that no upstream ran.
pub(super) const NOT_RUN: &str = "not-run";

/// Outcome of a call that may have run.
pub(super) const UNKNOWN: &str = "unknown";

/// Minimum and maximum time after which the caller of a refused call is told to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Builds the request of `call` to the upstream at `addr`: its connection headers are removed, and
/// the `Host`, request id and timeout headers are set.
///
/// A key is replaced by the name of its team: an upstream could use it to send calls as that team.
pub(super) fn upstream_request(
    call: &Call<'_>,
    addr: SocketAddr,
    remaining: Duration,
) -> web::Request {
    let Call { request, request_id, .. } = call;
    let mut headers = request.headers().clone();
    web::strip_connection_headers(&mut headers);
    if call.has_keys {
        headers.remove(http::header::AUTHORIZATION);
        let team = HeaderValue::from_str(&call.team).expect("team names are checked");
        headers.insert(crate::TEAM, team);
    }
    headers.remove(crate::OFFER);
    let host = HeaderValue::try_from(addr.to_string()).expect("an address is a valid header value");
    headers.insert(http::header::HOST, host);
    headers.insert(crate::REQUEST_ID, request_id.clone());
    headers.insert(crate::TIMEOUT_MS, HeaderValue::from(remaining.as_millis() as u64));
    let mut upstream_request = http::Request::new(request.body().clone());
    *upstream_request.method_mut() = request.method().clone();
    *upstream_request.uri_mut() =
        http::Uri::try_from(call.path).expect("the path is part of a valid request target");
    *upstream_request.headers_mut() = headers;
    upstream_request
}

/// Builds the response to a call to which an upstream responded.
pub(super) fn done(response: web::Response, request_id: &HeaderValue) -> web::Response {
    with_outcome(response, DONE, request_id)
}

/// Builds the response to a call to which a peer responded with this outcome.
pub(super) fn of_peer(
    response: web::Response,
    outcome: &'static str,
    request_id: &HeaderValue,
) -> web::Response {
    with_outcome(response, outcome, request_id)
}

/// Builds the response to a call that may have run.
pub(super) fn unknown(status: StatusCode, text: &str, id: &HeaderValue) -> web::Response {
    with_outcome(web::reply(status, text.to_owned()), UNKNOWN, id)
}

/// Builds the response to a call that no upstream ran, without a time to retry.
pub(super) fn not_run(status: StatusCode, text: &'static str, id: &HeaderValue) -> web::Response {
    with_outcome(web::reply(status, text), NOT_RUN, id)
}

/// Builds the response to a call without a valid key.
pub(super) fn unauthorized(id: &HeaderValue) -> web::Response {
    let text = "a valid key is required\n";
    let mut response = not_run(StatusCode::UNAUTHORIZED, text, id);
    let scheme = HeaderValue::from_static(team::SCHEME);
    response.headers_mut().insert(http::header::WWW_AUTHENTICATE, scheme);
    response
}

/// Builds the response to a call that no upstream ran because of load, with a time to retry.
///
/// `Retry-After` is in whole seconds, as the standard requires; a second header
/// has the time in milliseconds. The response is not delayed, since this would
/// only keep the caller from trying elsewhere.
pub(super) fn refused(text: &'static str, busy_for: Duration, id: &HeaderValue) -> web::Response {
    refused_for(text, busy_for.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1), id)
}

/// Like [`refused`], but with a time to retry of any length: an earlier retry would be refused
/// again.
pub(super) fn refused_for(
    text: &'static str,
    retry_after: Duration,
    id: &HeaderValue,
) -> web::Response {
    let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE, text, id);
    let headers = response.headers_mut();
    let retry_after_s = retry_after.as_millis().div_ceil(1_000) as u64;
    headers.insert(http::header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    headers.insert(crate::RETRY_AFTER_MS, HeaderValue::from(retry_after.as_millis() as u64));
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
