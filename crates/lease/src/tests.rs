use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::{Lease, LongPoll, StalenessBound};

/// Maximum duration of a read of the platform, as a share of the bound.
const MAX_READ_RATIO: f64 = 0.1;

/// Interval at which a node checks whether its lease has expired, as a share of the shortest bound.
const CHECK_INTERVAL_RATIO: f64 = 0.05;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a long poll for changes of data of this age, and when it is sent.
fn long_poll(within_ms: u64, age_ms: u64) -> (LongPoll, Instant) {
    let requested_at = Instant::now() + ms(60_000);
    let mut lease = Lease::default();
    lease.renew(requested_at - ms(age_ms));
    (LongPoll::new(StalenessBound::new(ms(within_ms)), lease, requested_at), requested_at)
}

#[test]
fn a_bound_that_is_too_short_is_raised_to_a_second() {
    assert_eq!(StalenessBound::new(Duration::ZERO), StalenessBound::new(ms(1_000)));
    assert!(StalenessBound::new(Duration::ZERO).long_poll_timeout() >= ms(100));
}

#[test]
fn a_lease_is_not_valid_before_the_first_renewal_nor_after_it_expired() {
    let (now, bound) = (Instant::now(), StalenessBound::new(ms(2_000)));
    let mut lease = Lease::default();
    assert!(!lease.is_valid(bound, now));
    lease.renew(now);
    assert!(lease.is_valid(bound, now + ms(1_500)));
    assert!(!lease.is_valid(bound, now + ms(1_600)));
}

proptest! {
    /// A reader recovers from one silent long poll before the leases of its subscribers expire and
    /// they read the platform themselves.
    #[test]
    fn subscribers_outlast_one_silent_poll_of_their_reader(within_ms in 1_000u64..60_000) {
        let bound = StalenessBound::new(ms(within_ms));
        let read = ms(within_ms).mul_f64(MAX_READ_RATIO / 2.0);
        let silent = bound.long_poll_timeout()
            + bound.long_poll_grace()
            + read
            + bound.peer_query_interval();
        prop_assert!(silent < bound.lease_ttl(), "{silent:?}");
    }

    /// A node that checks its lease and then reads the platform is up to date within the bound,
    /// whatever went silent and when.
    #[test]
    fn a_node_whose_lease_expires_is_up_to_date_within_the_bound(
        within_ms in 1_000u64..60_000,
        changed_after_ms in 0u64..60_000,
        renewed_ago_ms in 0u64..60_000,
    ) {
        let (now, within) = (Instant::now() + ms(60_000), ms(within_ms));
        let bound = StalenessBound::new(within);
        let mut lease = Lease::default();
        lease.renew(now - ms(renewed_ago_ms));
        // The change came after the renewal: the node does not know of it.
        let changed_at = now - ms(renewed_ago_ms) + ms(changed_after_ms);
        let expires_at = now - ms(renewed_ago_ms) + bound.lease_ttl();
        prop_assert!(!lease.is_valid(bound, expires_at));
        let up_to_date_at =
            expires_at + within.mul_f64(CHECK_INTERVAL_RATIO) + within.mul_f64(MAX_READ_RATIO);
        prop_assert!(up_to_date_at <= changed_at + within);
    }

    /// The time as of which a response is valid is neither before its request nor after its
    /// arrival, whether it is empty or not.
    #[test]
    fn a_response_is_as_of_a_time_between_request_and_arrival(
        within_ms in 1_000u64..60_000,
        age_ms in 0u64..60_000,
        elapsed_ms in 0u64..60_000,
        is_empty: bool,
    ) {
        let (long_poll, requested_at) = long_poll(within_ms, age_ms);
        let arrived_at = requested_at + ms(elapsed_ms);
        let as_of = long_poll.as_of(arrived_at, is_empty);
        prop_assert!(as_of >= requested_at && as_of <= arrived_at);
    }

    /// A response that was in transit for long is not as of a time after the platform sent it, whether
    /// the long poll ran to its end or ended early, with changes or without.
    #[test]
    fn a_response_is_not_as_of_a_time_after_it_was_sent(
        within_ms in 1_000u64..60_000,
        age_ms in 0u64..60_000,
        sent_after in 0.0..1.0f64,
        transit_ms in 0u64..10_000,
        is_empty: bool,
    ) {
        let bound = StalenessBound::new(ms(within_ms));
        let (long_poll, requested_at) = long_poll(within_ms, age_ms);
        let sent_at = requested_at + long_poll.timeout().mul_f64(sent_after);
        let arrived_at = sent_at + ms(transit_ms);
        let ends_at = requested_at + long_poll.timeout();
        // Later ones are given up.
        prop_assume!(arrived_at <= ends_at + bound.long_poll_grace());
        // An empty response that arrives after the end of its poll is as of that end.
        prop_assume!(!is_empty || arrived_at < ends_at);
        prop_assert!(long_poll.as_of(arrived_at, is_empty) <= sent_at);
    }

    /// However the polls before went, the data is not too old at the end of a poll, and its lease is
    /// valid then; data that is older already is polled for at once.
    #[test]
    fn a_poll_ends_before_the_data_is_too_old(
        within_ms in 1_000u64..60_000,
        age_ms in 0u64..60_000,
    ) {
        let bound = StalenessBound::new(ms(within_ms));
        let (long_poll, _) = long_poll(within_ms, age_ms);
        let age_at_end = ms(age_ms) + long_poll.timeout();
        prop_assert!(age_at_end <= bound.max_age_after_poll().max(ms(age_ms)));
        prop_assert!(bound.max_age_after_poll() < bound.lease_ttl());
    }

    /// A late or repeated response does not make the data look older.
    #[test]
    fn renewals_may_be_in_any_order(ages_ms in proptest::collection::vec(0u64..10_000, 1..10)) {
        let now = Instant::now() + ms(10_000);
        let mut lease = Lease::default();
        ages_ms.iter().for_each(|age_ms| lease.renew(now - ms(*age_ms)));
        prop_assert_eq!(lease.age(now), ages_ms.iter().min().map(|age_ms| ms(*age_ms)));
    }
}
