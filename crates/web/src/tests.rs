use http::header::{HeaderMap, HeaderValue, CONNECTION};

use crate::has_connection_close;

/// Guards against sending a request on a connection that is closed, because `close` is not the only
/// option.
#[yare::parameterized(
    alone = { &["close"], true },
    other_case = { &["Close"], true },
    in_a_list = { &["te, close"], true },
    in_a_second_header = { &["te", "close"], true },
    missing = { &[], false },
    other_option = { &["keep-alive"], false },
    part_of_an_option = { &["closed"], false },
)]
fn close_is_found_among_the_options(values: &[&'static str], expected: bool) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(CONNECTION, HeaderValue::from_static(value));
    }
    assert_eq!(has_connection_close(&headers), expected);
}
