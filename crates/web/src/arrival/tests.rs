use std::time::Duration;

use super::{Arrival, MAX_RESPONSE_TIME, MIN_BYTES_PER_INTERVAL};

const AT: Duration = Duration::from_secs(1);

/// Guards against a response that is waited for although nothing, or next to nothing, arrives.
#[yare::parameterized(
    never_begins = { &[0], false },
    begins = { &[1], true },
    arrives = { &[1, 1 + MIN_BYTES_PER_INTERVAL], true },
    stops = { &[1, 1 + MIN_BYTES_PER_INTERVAL, 1 + MIN_BYTES_PER_INTERVAL], false },
    trickles = { &[1, MIN_BYTES_PER_INTERVAL], false },
)]
fn a_response_is_waited_for_while_it_arrives(received: &[u64], expected: bool) {
    let mut arrival = Arrival::default();
    let continues: Vec<bool> = received.iter().map(|bytes| arrival.continues(*bytes, AT)).collect();
    assert_eq!(continues.last(), Some(&expected));
}

/// Guards against a response that is received without end.
#[test]
fn a_response_without_end_is_given_up() {
    let mut arrival = Arrival::default();
    assert!(arrival.continues(MIN_BYTES_PER_INTERVAL, AT));
    assert!(!arrival.continues(1 << 30, MAX_RESPONSE_TIME));
}
