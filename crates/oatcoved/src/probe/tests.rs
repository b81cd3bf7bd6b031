use http::StatusCode;
use yare::parameterized;

use crate::probe::found;

fn answer(status: StatusCode, retry_after: bool, body: &'static str) -> web::Response {
    let mut response = web::reply(status, body);
    if retry_after {
        let one = http::HeaderValue::from_static("1");
        response.headers_mut().insert(http::header::RETRY_AFTER, one);
    }
    response
}

#[parameterized(
    load_report = { StatusCode::OK, false, r#"{"in_flight":3,"slots":6,"draining":false}"#, watch::Probe::Up },
    draining = { StatusCode::OK, false, r#"{"draining":true}"#, watch::Probe::Draining },
    plain_ok = { StatusCode::OK, false, "ok", watch::Probe::Up },
    empty_ok = { StatusCode::NO_CONTENT, false, "", watch::Probe::Up },
    busy = { StatusCode::SERVICE_UNAVAILABLE, true, "queue full", watch::Probe::Up },
    broken = { StatusCode::SERVICE_UNAVAILABLE, false, "", watch::Probe::Down },
    failing_fast = { StatusCode::INTERNAL_SERVER_ERROR, false, "", watch::Probe::Down },
    wrong_path = { StatusCode::NOT_FOUND, false, "", watch::Probe::Down },
)]
fn an_answer_says(
    status: StatusCode,
    retry_after: bool,
    body: &'static str,
    expected: watch::Probe,
) {
    assert_eq!(found(&answer(status, retry_after, body)), expected);
}
