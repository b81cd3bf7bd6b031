use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use super::RetryDetector;
use crate::tests::ms;

const KIND: SmolStr = SmolStr::new_static("browse");

/// Returns a detector that has seen many first attempts of one kind, with deadlines of 1.0 s to
/// 1.2 s.
fn detector_after_first_attempts(rng: &mut StdRng) -> RetryDetector {
    let mut detector = RetryDetector::default();
    for _ in 0..200 {
        assert_eq!(
            detector.retrying_for(&KIND, ms(rng.random_range(1_000..=1_200))),
            Duration::ZERO
        );
    }
    detector
}

/// Guards against nearly all requests being late in a burst although upstreams respond in time: a
/// caller that is refused and retries 400 ms later would be served before a new one, if its
/// objective were counted from the second attempt.
#[test]
fn a_retry_is_detected_by_its_shorter_deadline() {
    let detector = &mut detector_after_first_attempts(&mut StdRng::seed_from_u64(1));
    let retrying_for = detector.retrying_for(&KIND, ms(700));
    assert!((ms(330)..ms(470)).contains(&retrying_for), "{retrying_for:?}");
    let retrying_for = detector.retrying_for(&KIND, ms(100));
    assert!((ms(930)..ms(1_070)).contains(&retrying_for), "{retrying_for:?}");
}

/// Guards against treating all callers of a kind as late and refusing them: if the longest deadline
/// ever seen counted as the usual one, this would happen once callers state shorter deadlines.
#[test]
fn shorter_deadlines_become_usual_after_a_while() {
    let detector = &mut detector_after_first_attempts(&mut StdRng::seed_from_u64(1));
    let last = (0..2_000).map(|_| detector.retrying_for(&KIND, ms(500))).last();
    assert_eq!(last, Some(Duration::ZERO));
}

/// Guards against refusing nearly all callers of a kind under overload, for minutes, because one
/// caller states a deadline of a month and the longest stated deadline counts as the usual one.
#[yare::parameterized(first = { 0 }, later = { 300 })]
fn one_absurd_deadline_does_not_affect_other_callers(before: u32) {
    let rng = &mut StdRng::seed_from_u64(2);
    let mut detector = RetryDetector::default();
    let mut stated = || ms(rng.random_range(1_000..=1_200));
    for _ in 0..before {
        detector.retrying_for(&KIND, stated());
    }
    detector.retrying_for(&KIND, Duration::from_secs(30 * 24 * 3_600));
    // One further request is enough to ignore that deadline.
    detector.retrying_for(&KIND, stated());
    for _ in 0..100 {
        assert_eq!(detector.retrying_for(&KIND, stated()), Duration::ZERO);
    }
    let retrying_for = detector.retrying_for(&KIND, ms(400));
    assert!((ms(600)..ms(800)).contains(&retrying_for), "{retrying_for:?}");
}

/// Guards against treating retries as first attempts under heavy overload: when three in four
/// requests are retries, most stated deadlines are not those of first attempts.
#[test]
fn retries_are_detected_when_they_are_the_majority() {
    let rng = &mut StdRng::seed_from_u64(3);
    let mut detector = detector_after_first_attempts(rng);
    for _ in 0..2_000 {
        let is_first = rng.random_bool(0.25);
        let left_ms = if is_first { 1_000..=1_200 } else { 200..=800 };
        let retrying_for = detector.retrying_for(&KIND, ms(rng.random_range(left_ms)));
        assert_eq!(retrying_for.is_zero(), is_first, "{retrying_for:?}");
    }
}

#[test]
fn unknown_kinds_are_removed() {
    let mut detector = detector_after_first_attempts(&mut StdRng::seed_from_u64(1));
    detector.retain(|kind| kind != KIND);
    assert_eq!(detector.retrying_for(&KIND, ms(100)), Duration::ZERO);
}

proptest! {
    /// For any stated deadlines, no caller counts as retrying for longer than the longest deadline,
    /// and the longest deadline counts as that of a first attempt.
    #[test]
    fn retry_time_never_exceeds_the_longest_deadline(
        stated in prop::collection::vec(0u64..5_000, 1..200),
    ) {
        let mut detector = RetryDetector::default();
        let mut longest = Duration::ZERO;
        for stated in stated.into_iter().map(ms) {
            let is_longest = stated >= longest;
            longest = longest.max(stated);
            let retrying_for = detector.retrying_for(&KIND, stated);
            prop_assert!(retrying_for <= longest);
            prop_assert!(!is_longest || retrying_for.is_zero());
        }
    }
}
