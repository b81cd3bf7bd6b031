use std::net::SocketAddr;
use std::time::{Duration, Instant};

use notice::{Field, Signals};

use crate::test_support::view;

fn leaving_signals(leaving: Field<bool>) -> Signals {
    Signals { leaving, ..Signals::default() }
}

/// Guards against an upstream that gets no calls after its process was restarted, although its
/// response to a probe no longer says that it is leaving.
#[yare::parameterized(
    without_the_header = { Field::Absent, false },
    staying = { Field::Value(false), false },
    still_leaving = { Field::Value(true), true },
    invalid_header = { Field::Invalid, true },
)]
fn probe_response_ends_leaving_state(stated: Field<bool>, is_leaving_after: bool) {
    let mut view = view();
    let addr: SocketAddr = "127.0.0.1:7200".parse().expect("valid address");
    view.apply_signals(addr, &leaving_signals(Field::Value(true)), Some(Instant::now()));
    let start = view.start_at(addr);
    assert!(view.backpressure.is_leaving(start, Instant::now()));
    let request_sent_at = Instant::now() + Duration::from_millis(1);
    view.apply_probe_signals(addr, &leaving_signals(stated), request_sent_at);
    assert_eq!(view.backpressure.is_leaving(start, Instant::now()), is_leaving_after);
}
