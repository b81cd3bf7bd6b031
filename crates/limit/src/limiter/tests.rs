use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::{Limiter, Outcome, RetryBudget};

/// Offers calls to upstreams that serve `capacity` calls and refuse the rest.
fn run_round(limiter: &mut Limiter, offered: &[(&str, u32)], capacity: u32, now: Instant) -> Round {
    let mut round = Round::default();
    // The teams take turns, so that no team is always first.
    let max_count = offered.iter().map(|(_, count)| *count).max().unwrap_or(0);
    for nth in 0..max_count {
        for (team, count) in offered {
            if nth < *count && limiter.try_acquire(team, now) {
                *round.admitted.entry((*team).to_owned()).or_insert(0) += 1;
            }
        }
    }
    // The upstreams serve the calls that come first. Refusals are released first, as they
    // return at once.
    let teams: Vec<&String> =
        round.admitted.iter().flat_map(|(team, count)| (0..*count).map(move |_| team)).collect();
    let (served, refused) = teams.split_at(teams.len().min(capacity as usize));
    round.refused = refused.len() as u32;
    let later = now + Duration::from_millis(1);
    refused.iter().for_each(|team| limiter.release(team, Outcome::Refused, now, later));
    served.iter().for_each(|team| limiter.release(team, Outcome::Served, now, later));
    round
}

#[derive(Default)]
struct Round {
    admitted: BTreeMap<String, u32>,
    refused: u32,
}

/// Guards against a limiter that admits everything and leaves refusing to the
/// upstreams: in a lasting overload, here four times the capacity, that keeps
/// them busy with refusals.
#[test]
fn limit_converges_on_capacity() {
    let (mut limiter, mut now) = (Limiter::default(), Instant::now());
    let mut refused = 0;
    for round in 0..200 {
        now += Duration::from_millis(100);
        let outcome = run_round(&mut limiter, &[("a", 160)], 40, now);
        if round >= 100 {
            refused += outcome.refused;
        }
    }
    assert!((28..=52).contains(&limiter.limit()), "limit {}", limiter.limit());
    // Over 100 rounds with 40 calls served in each.
    assert!(refused < 400, "{refused} refused by upstreams against 4,000 served");
}

/// Guards against first come, first served: the burst of team `noisy`, ten
/// times the capacity, gets the few calls of team `quiet` refused.
#[test]
fn burst_of_one_team_leaves_other_teams_their_share() {
    let (mut limiter, mut now) = (Limiter::default(), Instant::now());
    let (mut offered, mut admitted) = (0, 0);
    for round in 0..200 {
        now += Duration::from_millis(100);
        let outcome = run_round(&mut limiter, &[("noisy", 400), ("quiet", 5)], 40, now);
        if round >= 20 {
            offered += 5;
            admitted += outcome.admitted.get("quiet").copied().unwrap_or(0);
        }
    }
    assert_eq!(admitted, offered, "calls of the quiet team were refused");
}

/// Offers `count` calls at once and returns how many were admitted.
fn offer(limiter: &mut Limiter, count: u32, now: Instant) -> u32 {
    (0..count).filter(|_| limiter.try_acquire("a", now)).count() as u32
}

/// Releases `count` calls admitted at `started_at` 1 ms later, with the outcome that `outcome`
/// returns for each.
fn release_all(
    limiter: &mut Limiter,
    count: u32,
    outcome: impl Fn(u32) -> Outcome,
    started_at: Instant,
) {
    let later = started_at + Duration::from_millis(1);
    (0..count).for_each(|nth| limiter.release("a", outcome(nth), started_at, later));
}

/// Guards against a limit without evidence: when the rate rises suddenly, it
/// refuses calls although the upstreams are idle. No call was ever refused or
/// slow, or the last such call is longer ago than the limit's TTL.
#[test]
fn nothing_is_refused_without_a_sign_of_overload() {
    let (mut limiter, now) = (Limiter::default(), Instant::now());
    assert_eq!(offer(&mut limiter, 1_000, now), 1_000);
    release_all(&mut limiter, 1_000, |_| Outcome::Served, now);
    let full = now + Duration::from_secs(1);
    let admitted = offer(&mut limiter, 10, full);
    release_all(&mut limiter, admitted, |_| Outcome::Refused, full);
    let soon = full + Duration::from_secs(1);
    let admitted = offer(&mut limiter, 1_000, soon);
    assert!(admitted <= 10, "{admitted} admitted after refusals at 10");
    release_all(&mut limiter, admitted, |_| Outcome::Served, soon);
    assert_eq!(offer(&mut limiter, 1_000, full + Duration::from_secs(31)), 1_000);
}

/// Guards against fixed shares per team, which leave part of the capacity
/// unused when only one team calls.
#[test]
fn single_team_may_use_the_whole_limit() {
    let (mut limiter, now) = (Limiter::default(), Instant::now());
    let admitted = offer(&mut limiter, 50, now);
    release_all(&mut limiter, admitted, |_| Outcome::Refused, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(offer(&mut limiter, 1_000, later), limiter.limit());
}

/// Guards against a limit that falls to zero or does not increase again: after
/// an outage, in which every call is refused, the node would go on refusing
/// calls that the upstreams have capacity for.
#[test]
fn limit_recovers_after_an_overload() {
    let (mut limiter, mut now) = (Limiter::default(), Instant::now());
    for _ in 0..100 {
        now += Duration::from_millis(200);
        run_round(&mut limiter, &[("a", 50)], 0, now);
    }
    assert!((2..10).contains(&limiter.limit()), "some calls go on, limit {}", limiter.limit());
    // Ends before the limit's TTL, which would lift the limit anyway.
    for _ in 0..200 {
        now += Duration::from_millis(100);
        run_round(&mut limiter, &[("a", 50)], 50, now);
    }
    assert!((15..1_000).contains(&limiter.limit()), "limit {}", limiter.limit());
}

/// Guards against learning from refusals only: upstreams with long queues
/// refuse nothing, and every call waits for seconds.
#[test]
fn long_waits_decrease_the_limit() {
    let (mut limiter, mut now) = (Limiter::default(), Instant::now());
    for _ in 0..10 {
        now += Duration::from_millis(10);
        let admitted = offer(&mut limiter, 100, now);
        release_all(&mut limiter, admitted, |_| Outcome::Slow, now);
    }
    assert!(limiter.limit() < 40, "limit {}", limiter.limit());
}

/// Guards against a decrease for any slow call: one slow upstream among many,
/// here one call in eight, would make the node refuse calls.
#[test]
fn one_slow_upstream_does_not_decrease_the_limit() {
    let (mut limiter, mut now) = (Limiter::default(), Instant::now());
    let one_in_eight =
        |nth: u32| if nth.is_multiple_of(8) { Outcome::Slow } else { Outcome::Served };
    for _ in 0..50 {
        now += Duration::from_millis(10);
        let admitted = offer(&mut limiter, 100, now);
        assert_eq!(admitted, 100);
        release_all(&mut limiter, admitted, one_in_eight, now);
    }
}

/// Guards against decreasing the limit for each refusal of one overload: calls
/// admitted before a decrease are refused one after the other, and the limit
/// would fall to the minimum.
#[test]
fn calls_admitted_before_a_decrease_do_not_decrease_again() {
    let (mut limiter, now) = (Limiter::default(), Instant::now());
    let count = offer(&mut limiter, 100, now);
    for nth in 0..count {
        let later = now + Duration::from_millis(10 * u64::from(nth) + 1);
        limiter.release("a", Outcome::Refused, now, later);
    }
    assert!(limiter.limit() >= 70, "limit {}", limiter.limit());
}

#[derive(Clone, Debug)]
enum Op {
    Acquire(usize),
    Release(usize, u8),
    Advance(u64),
}

const TEAMS: [&str; 3] = ["a", "b", "c"];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x11_3173),
        ..ProptestConfig::default()
    })]

    /// Guards against calls that count as in flight forever, until the node
    /// refuses everything, and against a limit out of range. Calls start and
    /// end in any order with any outcome. The oracle is a plain count; a team
    /// with nothing in flight is always admitted.
    #[test]
    fn in_flight_agrees_with_a_plain_count(ops in prop::collection::vec(prop_oneof![
        (0..TEAMS.len()).prop_map(Op::Acquire),
        (0..TEAMS.len(), 0u8..4).prop_map(|(t, outcome)| Op::Release(t, outcome)),
        (0u64..1_500).prop_map(Op::Advance),
    ], 1..400)) {
        let (mut limiter, mut now) = (Limiter::default(), Instant::now());
        let mut count = [0u32; 3];
        for op in ops {
            match op {
                Op::Acquire(t) => {
                    let is_admitted = limiter.try_acquire(TEAMS[t], now);
                    prop_assert!(
                        is_admitted || count[t] > 0,
                        "a team with nothing in flight was refused"
                    );
                    count[t] += u32::from(is_admitted);
                }
                Op::Release(t, outcome_index) if count[t] > 0 => {
                    let outcomes =
                        [Outcome::Served, Outcome::Slow, Outcome::Refused, Outcome::Other];
                    limiter.release(TEAMS[t], outcomes[usize::from(outcome_index)], now, now);
                    count[t] -= 1;
                }
                Op::Release(..) => {}
                Op::Advance(ms) => now += Duration::from_millis(ms),
            }
            prop_assert_eq!(limiter.in_flight(), count.iter().sum::<u32>());
            prop_assert!((2..=65_536).contains(&limiter.limit()));
        }
    }

    /// Guards against retries without a limit over time, which multiply the
    /// load on upstreams that are already failing. The oracle is the ratio of
    /// first sends plus the burst, for any mix of first sends and retries.
    #[test]
    fn retries_stay_within_the_budget(
        ops in prop::collection::vec(any::<bool>(), 1..2_000),
        percent in 0u64..50,
    ) {
        let mut budget = RetryBudget::default();
        let (mut first_sends, mut retries) = (0u64, 0u64);
        for is_retry in ops {
            match is_retry {
                true => retries += u64::from(budget.try_withdraw()),
                false => {
                    first_sends += 1;
                    budget.deposit(percent);
                }
            }
            prop_assert!(
                100 * retries <= first_sends * percent + 1_000,
                "{retries} retries after {first_sends} first sends"
            );
        }
    }
}
