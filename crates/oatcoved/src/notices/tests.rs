use std::net::SocketAddr;
use std::time::{Duration, Instant};

use notice::{Field, Signals};

use crate::test_support::view;

fn says(leaving: Field<bool>) -> Signals {
    Signals { leaving, ..Signals::default() }
}

/// Guards against an upstream that has started again, says so to its watcher, and gets nothing.
#[yare::parameterized(
    by_leaving_it_out = { Field::Absent, false },
    by_saying_so = { Field::Value(false), false },
    one_that_still_leaves = { Field::Value(true), true },
    one_that_cannot_be_read = { Field::Invalid, true },
)]
fn a_probe_tells_that_an_upstream_does_not_leave(answer: Field<bool>, leaves: bool) {
    let mut view = view();
    let addr: SocketAddr = "127.0.0.1:7200".parse().expect("an address");
    view.hear_notice(addr, &says(Field::Value(true)), Some(Instant::now()));
    let start = view.start_at(addr);
    assert!(view.notices.is_leaving(start, Instant::now()));
    let asked_at = Instant::now() + Duration::from_millis(1);
    view.hear_probe(addr, &says(answer), asked_at);
    assert_eq!(view.notices.is_leaving(start, Instant::now()), leaves);
}
