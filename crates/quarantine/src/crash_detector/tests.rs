use std::time::{Duration, Instant};

use super::{CrashDetector, LostRequest, Start};
use crate::{ContentKey, FindingVersion};

fn lost(text: &str) -> LostRequest {
    LostRequest {
        content: ContentKey::of([text.as_bytes()]),
        known: FindingVersion::default(),
        ran_ms: 100,
    }
}

fn start() -> Start {
    Start::of("u1", 7)
}

#[test]
fn requests_lost_with_a_crash_are_returned_once() {
    let (mut detector, now) = (CrashDetector::default(), Instant::now());
    assert!(!detector.record_lost_response(start(), lost("a"), now));
    assert!(!detector.record_lost_response(start(), lost("b"), now));
    assert_eq!(detector.record_refused_connection(start(), now), [lost("a"), lost("b")]);
    assert_eq!(detector.record_refused_connection(start(), now), []);
}

/// Guards against missing one of two requests that ran at a crashed upstream: after the first lost
/// response the address is tried and refuses, and only then the second loss is noticed.
#[test]
fn a_response_lost_after_the_crash_was_detected_counts() {
    let (mut detector, now) = (CrashDetector::default(), Instant::now());
    detector.record_lost_response(start(), lost("a"), now);
    detector.record_refused_connection(start(), now);
    assert!(detector.record_lost_response(start(), lost("b"), now));
}

/// Guards against blaming a request for an unrelated crash: its response was lost by an upstream
/// that kept running and crashed minutes later.
#[test]
fn a_response_lost_long_before_a_crash_does_not_count() {
    let (mut detector, now) = (CrashDetector::default(), Instant::now());
    detector.record_lost_response(start(), lost("a"), now);
    assert_eq!(detector.record_refused_connection(start(), now + Duration::from_secs(3)), []);
}

#[test]
fn incarnations_of_an_upstream_are_distinct() {
    let (mut detector, now) = (CrashDetector::default(), Instant::now());
    detector.record_lost_response(start(), lost("a"), now);
    assert_eq!(detector.record_refused_connection(Start::of("u1", 8), now), []);
}
