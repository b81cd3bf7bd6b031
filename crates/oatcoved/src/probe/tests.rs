use http::StatusCode;
use yare::parameterized;

use crate::probe::outcome;

fn response(status: StatusCode, retry_after: bool, body: &'static str) -> web::Response {
    let mut response = web::reply(status, body);
    if retry_after {
        let one = http::HeaderValue::from_static("1");
        response.headers_mut().insert(http::header::RETRY_AFTER, one);
    }
    response
}

#[parameterized(
    load_report = { StatusCode::OK, false, r#"{"in_flight":3,"slots":6,"draining":false}"#, watch::ProbeOutcome::Up },
    draining = { StatusCode::OK, false, r#"{"draining":true}"#, watch::ProbeOutcome::Draining },
    plain_ok = { StatusCode::OK, false, "ok", watch::ProbeOutcome::Up },
    empty_ok = { StatusCode::NO_CONTENT, false, "", watch::ProbeOutcome::Up },
    busy = { StatusCode::SERVICE_UNAVAILABLE, true, "queue full", watch::ProbeOutcome::Up },
    unavailable = { StatusCode::SERVICE_UNAVAILABLE, false, "", watch::ProbeOutcome::Down },
    failing_fast = { StatusCode::INTERNAL_SERVER_ERROR, false, "", watch::ProbeOutcome::Down },
    wrong_path = { StatusCode::NOT_FOUND, false, "", watch::ProbeOutcome::Down },
)]
fn response_gives_outcome(
    status: StatusCode,
    retry_after: bool,
    body: &'static str,
    expected: watch::ProbeOutcome,
) {
    assert_eq!(outcome(&response(status, retry_after, body)), expected);
}
