use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use super::RetryDetector;
use crate::tests::ms;

const KIND: SmolStr = SmolStr::new_static("browse");

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(20);

/// A detector with a clock of its own.
struct Node {
    detector: RetryDetector,
    now: Instant,
}

impl Node {
    fn started() -> Node {
        Node { detector: RetryDetector::default(), now: Instant::now() }
    }

    /// Returns for how long the caller of the next request, which states `stated`, has been
    /// retrying.
    fn retrying_for(&mut self, stated: Duration) -> Duration {
        self.now += INTERVAL;
        self.detector.retrying_for(&KIND, stated, self.now)
    }

    /// Returns a node that has seen first attempts with deadlines of `deadlines_ms`, for a while.
    fn after_first_attempts(rng: &mut StdRng, deadlines_ms: std::ops::RangeInclusive<u64>) -> Node {
        let mut node = Node::started();
        for _ in 0..2_000 {
            let stated = ms(rng.random_range(deadlines_ms.clone()));
            assert_eq!(node.retrying_for(stated), Duration::ZERO, "{stated:?}");
        }
        node
    }

    /// Returns a node that has seen first attempts with deadlines of 1.0 s to 1.2 s, for a while.
    fn after_varied_first_attempts(seed: u64) -> Node {
        Node::after_first_attempts(&mut StdRng::seed_from_u64(seed), 1_000..=1_200)
    }
}

/// Callers that all state 8 s, and send their request up to 10 ms later.
const CONSTANT_MS: std::ops::RangeInclusive<u64> = 7_990..=8_000;

/// Guards against nearly all requests being late in a burst although upstreams respond in time: a
/// caller that is refused and retries 400 ms later would be served before a new one, if its
/// objective were counted from the second attempt.
#[test]
fn a_retry_is_detected_by_its_shorter_deadline() {
    let mut node = Node::after_varied_first_attempts(1);
    let retrying_for = node.retrying_for(ms(700));
    assert!((ms(330)..ms(470)).contains(&retrying_for), "{retrying_for:?}");
    let retrying_for = node.retrying_for(ms(100));
    assert!((ms(930)..ms(1_070)).contains(&retrying_for), "{retrying_for:?}");
}

/// Guards against treating all callers of a kind as late and refusing them: if the longest deadline
/// ever seen counted as the usual one, this would happen once callers state shorter deadlines.
#[test]
fn shorter_deadlines_become_usual_after_a_while() {
    let mut node = Node::after_varied_first_attempts(1);
    let last = (0..2_000).map(|_| node.retrying_for(ms(500))).last();
    assert_eq!(last, Some(Duration::ZERO));
}

/// Guards against refusing nearly all callers of a kind under overload, for minutes, because one
/// caller states a deadline of a month and the longest stated deadline counts as the usual one.
#[yare::parameterized(first = { 0 }, later = { 300 })]
fn one_absurd_deadline_does_not_affect_other_callers(before: u32) {
    let rng = &mut StdRng::seed_from_u64(2);
    let mut node = Node::started();
    let mut stated = || ms(rng.random_range(1_000..=1_200));
    for _ in 0..before {
        node.retrying_for(stated());
    }
    node.retrying_for(Duration::from_secs(30 * 24 * 3_600));
    // One further request is enough to ignore that deadline.
    node.retrying_for(stated());
    for _ in 0..100 {
        assert_eq!(node.retrying_for(stated()), Duration::ZERO);
    }
    let retrying_for = node.retrying_for(ms(400));
    assert!((ms(600)..ms(800)).contains(&retrying_for), "{retrying_for:?}");
}

/// Guards against treating retries as first attempts under heavy overload: when three in four
/// requests are retries, most stated deadlines are not those of first attempts.
#[test]
fn retries_are_detected_when_they_are_the_majority() {
    let rng = &mut StdRng::seed_from_u64(3);
    let mut node = Node::after_first_attempts(rng, 1_000..=1_200);
    for _ in 0..2_000 {
        let is_first = rng.random_bool(0.25);
        let left_ms = if is_first { 1_000..=1_200 } else { 200..=800 };
        let retrying_for = node.retrying_for(ms(rng.random_range(left_ms)));
        assert_eq!(retrying_for.is_zero(), is_first, "{retrying_for:?}");
    }
}

#[test]
fn unknown_kinds_are_removed() {
    let mut node = Node::after_varied_first_attempts(1);
    node.detector.retain(|kind| kind != KIND);
    assert_eq!(node.retrying_for(ms(100)), Duration::ZERO);
}

/// Guards against goodput that falls in a burst: a deadline of 8 s and an objective of 1 s left
/// callers unrecognized that had been retrying for 1.6 s. Each got a whole objective again, took a
/// slot, and was answered late.
#[test]
fn where_callers_state_one_deadline_each_retry_is_detected() {
    let rng = &mut StdRng::seed_from_u64(4);
    let mut node = Node::after_first_attempts(rng, CONSTANT_MS);
    let mut missed = 0;
    for _ in 0..2_000 {
        let is_first = rng.random_bool(0.33);
        let elapsed = ms(if is_first { 0 } else { rng.random_range(150..3_000) });
        let stated = ms(rng.random_range(CONSTANT_MS)) - elapsed;
        let retrying_for = node.retrying_for(stated);
        missed += u32::from(retrying_for.is_zero() && !is_first);
        let is_right = retrying_for.is_zero() || retrying_for.abs_diff(elapsed) <= ms(20);
        assert!(is_right, "{elapsed:?}: {retrying_for:?}");
    }
    // Some deadlines of retries recur by chance.
    assert!(missed <= 20, "{missed}");
}

/// Guards against all callers counting as new because, at the height of a burst, all requests that
/// arrive for a few seconds are retries.
#[test]
fn retries_are_detected_when_there_are_no_first_attempts() {
    let rng = &mut StdRng::seed_from_u64(5);
    let mut node = Node::after_first_attempts(rng, CONSTANT_MS);
    for _ in 0..400 {
        let stated = ms(rng.random_range(5_000..7_800));
        assert!(!node.retrying_for(stated).is_zero(), "{stated:?}");
    }
}

/// Guards against callers being refused as late for minutes because they are of a new version that
/// varies its deadline by a sixth, where all callers used to state the same.
#[test]
fn a_wider_spread_is_learned_within_minutes() {
    let rng = &mut StdRng::seed_from_u64(6);
    let mut node = Node::after_first_attempts(rng, CONSTANT_MS);
    let three_minutes = 3 * 60 * 1_000 / INTERVAL.as_millis();
    for _ in 0..three_minutes {
        node.retrying_for(ms(rng.random_range(6_667..=8_000)));
    }
    for _ in 0..1_000 {
        assert_eq!(node.retrying_for(ms(rng.random_range(6_800..=8_000))), Duration::ZERO);
    }
}

/// Guards against first attempts being taken for retries at a node that starts in the middle of a
/// burst: it has seen no calm time, and must assume that deadlines vary. Once the burst is over it
/// learns like any other node.
#[test]
fn a_node_that_starts_in_a_burst_takes_no_first_attempt_for_a_retry() {
    let rng = &mut StdRng::seed_from_u64(7);
    let mut node = Node::started();
    for _ in 0..300 {
        let is_first = rng.random_bool(0.33);
        let elapsed = ms(if is_first { 0 } else { rng.random_range(150..4_000) });
        let retrying_for = node.retrying_for(ms(rng.random_range(CONSTANT_MS)) - elapsed);
        assert!(!is_first || retrying_for.is_zero(), "{retrying_for:?}");
    }
    let after_burst = 20_000 / INTERVAL.as_millis();
    for _ in 0..after_burst {
        node.retrying_for(ms(rng.random_range(CONSTANT_MS)));
    }
    let retrying_for = node.retrying_for(ms(7_500));
    assert!(retrying_for.abs_diff(ms(495)) <= ms(20), "{retrying_for:?}");
}

proptest! {
    /// For any stated deadlines, no caller counts as retrying for longer than the longest deadline,
    /// and the longest deadline counts as that of a first attempt.
    #[test]
    fn retry_time_never_exceeds_the_longest_deadline(
        stated in prop::collection::vec(0u64..5_000, 1..200),
    ) {
        let mut node = Node::started();
        let mut longest = Duration::ZERO;
        for stated in stated.into_iter().map(ms) {
            let is_longest = stated >= longest;
            longest = longest.max(stated);
            let retrying_for = node.retrying_for(stated);
            prop_assert!(retrying_for <= longest);
            prop_assert!(!is_longest || retrying_for.is_zero());
        }
    }
}

/// Guards against first attempts of a second application on a route being taken for retries, since
/// most callers state a longer deadline; at four requests a second.
#[yare::parameterized(
    one_in_ten = { 0.1 },
    one_in_five = { 0.2 },
    one_in_three = { 0.33 },
)]
fn first_attempts_with_a_shorter_deadline_of_their_own_are_recognized(share: f64) {
    let rng = &mut StdRng::seed_from_u64(8);
    let (mut detector, mut now) = (RetryDetector::default(), Instant::now());
    let (mut mistaken, mut count) = (0, 0);
    for _ in 0..4 * 3_600 {
        now += ms(250);
        let is_other = rng.random_bool(share);
        let stated = ms(if is_other { 7_000 } else { 8_000 });
        let is_retry = !detector.retrying_for(&KIND, stated, now).is_zero();
        assert!(is_other || !is_retry);
        count += u32::from(is_other);
        mistaken += u32::from(is_other && is_retry);
    }
    assert!(mistaken * 10 <= count, "{mistaken} of {count}");
}

/// Guards against callers being refused as late because all of them have changed their deadline; at
/// the rates that a node sees.
#[yare::parameterized(
    fifty_a_second = { 20 },
    four_a_second = { 250 },
    one_in_four_seconds = { 4_000 },
)]
fn a_shorter_deadline_of_all_callers_is_soon_recognized(interval_ms: u64) {
    let rng = &mut StdRng::seed_from_u64(9);
    let (mut detector, mut now) = (RetryDetector::default(), Instant::now());
    let mut retrying_for = |deadlines_ms| {
        now += ms(interval_ms);
        detector.retrying_for(&KIND, ms(rng.random_range(deadlines_ms)), now)
    };
    for _ in 0..500 {
        retrying_for(CONSTANT_MS);
    }
    let mistaken = (0..2_000).filter(|_| !retrying_for(6_990..=7_000).is_zero()).count();
    // One second's requests, and a few more.
    assert!(mistaken <= 50 + 4, "{mistaken}");
}
