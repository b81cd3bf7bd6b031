use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::{Bound, Lease};

/// Time that a read of the platform takes at most, as a part of the bound.
const READ_PART: f64 = 0.1;

/// How often a node looks whether its lease has ended, as a part of the shortest bound in use.
const LOOK_PART: f64 = 0.05;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_bound_that_is_too_short_to_keep_counts_as_a_second() {
    assert_eq!(Bound::new(Duration::ZERO), Bound::new(ms(1_000)));
    assert!(Bound::new(Duration::ZERO).wait() >= ms(100));
}

#[test]
fn a_lease_is_not_valid_before_anything_was_read_nor_after_it_ended() {
    let (now, bound) = (Instant::now(), Bound::new(ms(2_000)));
    let mut lease = Lease::default();
    assert!(!lease.is_valid(bound, now));
    lease.renew(now);
    assert!(lease.is_valid(bound, now + ms(1_500)));
    assert!(!lease.is_valid(bound, now + ms(1_600)));
}

proptest! {
    /// One silent wait of a reader is made good by the reader, before its subscribers turn to the platform.
    #[test]
    fn subscribers_stay_while_their_reader_makes_one_silent_wait_good(within_ms in 1_000u64..60_000) {
        let bound = Bound::new(ms(within_ms));
        let read = ms(within_ms).mul_f64(READ_PART / 2.0);
        let silent = bound.wait() + bound.patience() + read + bound.ask_every();
        prop_assert!(silent < bound.relied_on(), "{silent:?}");
    }

    /// Whatever goes silent, and whenever: a node that looks at its lease and then reads is in time.
    #[test]
    fn a_node_whose_lease_ends_is_in_step_within_the_bound(
        within_ms in 1_000u64..60_000,
        changed_after_ms in 0u64..60_000,
        renewed_ago_ms in 0u64..60_000,
    ) {
        let (now, within) = (Instant::now() + ms(60_000), ms(within_ms));
        let bound = Bound::new(within);
        let mut lease = Lease::default();
        lease.renew(now - ms(renewed_ago_ms));
        // Changed after everything was known: the node does not know of it.
        let changed_at = now - ms(renewed_ago_ms) + ms(changed_after_ms);
        let ends_at = now - ms(renewed_ago_ms) + bound.relied_on();
        prop_assert!(!lease.is_valid(bound, ends_at));
        let in_step = ends_at + within.mul_f64(LOOK_PART) + within.mul_f64(READ_PART);
        prop_assert!(in_step <= changed_at + within);
    }

    /// A wait in which something changes is no longer trusted than one in which nothing does.
    #[test]
    fn an_answer_tells_of_nothing_after_it_came_nor_before_it_was_asked_for(
        within_ms in 1_000u64..60_000,
        took_ms in 0u64..60_000,
        is_empty: bool,
    ) {
        let bound = Bound::new(ms(within_ms));
        let (asked_at, took) = (Instant::now(), ms(took_ms));
        let as_of = bound.as_of(asked_at, asked_at + took, is_empty);
        prop_assert!(as_of >= asked_at && as_of <= asked_at + took);
    }

    /// A late or repeated answer does not make what is held look older.
    #[test]
    fn a_lease_is_renewed_in_any_order(ages_ms in proptest::collection::vec(0u64..10_000, 1..10)) {
        let now = Instant::now() + ms(10_000);
        let mut lease = Lease::default();
        ages_ms.iter().for_each(|age_ms| lease.renew(now - ms(*age_ms)));
        prop_assert_eq!(lease.age(now), ages_ms.iter().min().map(|age_ms| ms(*age_ms)));
    }
}
