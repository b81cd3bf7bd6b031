use std::time::{Duration, Instant};

use super::{Ends, Lost, Start};
use crate::{Content, Known};

fn lost(text: &str) -> Lost {
    Lost { content: Content::of([text.as_bytes()]), known: Known::default(), ran_ms: 100 }
}

fn start() -> Start {
    Start::of("u1", 7)
}

#[test]
fn what_an_upstream_lost_as_it_ended_is_told_once() {
    let (mut ends, now) = (Ends::default(), Instant::now());
    assert!(!ends.lost(start(), lost("a"), now));
    assert!(!ends.lost(start(), lost("b"), now));
    assert_eq!(ends.refused(start(), now), [lost("a"), lost("b")]);
    assert_eq!(ends.refused(start(), now), []);
}

/// Symptom: of two requests that an upstream ended under, one is not told.
/// Sequence: the first lost answer has the address tried, which refuses; then the second is noticed.
/// Cause: going only by what was lost before the refusal.
#[test]
fn what_is_noticed_after_the_end_is_told_too() {
    let (mut ends, now) = (Ends::default(), Instant::now());
    ends.lost(start(), lost("a"), now);
    ends.refused(start(), now);
    assert!(ends.lost(start(), lost("b"), now));
}

/// Symptom: a request is blamed for an end that it had nothing to do with.
/// Sequence: its answer is lost by an upstream that goes on; minutes later the upstream ends.
/// Cause: lost answers that are never forgotten.
#[test]
fn an_answer_lost_long_before_the_end_is_no_sign_of_it() {
    let (mut ends, now) = (Ends::default(), Instant::now());
    ends.lost(start(), lost("a"), now);
    assert_eq!(ends.refused(start(), now + Duration::from_secs(3)), []);
}

#[test]
fn another_start_of_the_upstream_is_another() {
    let (mut ends, now) = (Ends::default(), Instant::now());
    ends.lost(start(), lost("a"), now);
    assert_eq!(ends.refused(Start::of("u1", 8), now), []);
}
