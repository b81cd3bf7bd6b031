use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::{
    Completion, Health, Outcome, Policy, Pool, SelectionCriteria, Tier, UpstreamIndex,
    UpstreamState,
};

fn pool(zones: &[&str]) -> Pool {
    let mut pool = Pool::default();
    let members: Vec<(SocketAddr, smol_str::SmolStr, UpstreamState)> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            (
                SocketAddr::from(([127, 0, 0, 1], 9000 + i as u16)),
                (*zone).into(),
                UpstreamState::Live,
            )
        })
        .collect();
    pool.set_members(&members);
    pool
}

/// Returns the criteria of a call from zone `a` with zone affinity.
fn criteria(tried: &[SocketAddr]) -> SelectionCriteria<'_> {
    SelectionCriteria {
        policy: Policy::Adaptive,
        zone: "a",
        zone_affinity: true,
        tried,
        excluded: &[],
        max_outstanding: 1_000,
    }
}

fn answered(elapsed_ms: u64, kind: u64) -> Completion {
    Completion { outcome: Outcome::Answered, elapsed: Duration::from_millis(elapsed_ms), kind }
}

/// Returns the completion of a call that ended at once without a response.
fn ended(outcome: Outcome) -> Completion {
    Completion { outcome, elapsed: Duration::ZERO, kind: 0 }
}

/// Starts a call to `index` and ends it with `completion`.
fn call(pool: &mut Pool, index: UpstreamIndex, completion: Completion, now: Instant) {
    pool.start(index);
    pool.finish(index, completion, now);
}

/// Returns how often each upstream is picked in 1,000 picks, without starting any call.
fn pick_counts(pool: &mut Pool, criteria: SelectionCriteria<'_>, now: Instant) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut counts = vec![0; pool.upstreams.len()];
    for _ in 0..1_000 {
        if let Some(index) = pool.pick(criteria, now, &mut rng) {
            counts[index] += 1;
        }
    }
    counts
}

#[test]
fn prefers_less_loaded_upstream() {
    let mut pool = pool(&["a", "a"]);
    (0..10).for_each(|_| pool.start(0));
    assert_eq!(pick_counts(&mut pool, criteria(&[]), Instant::now()), [0, 1_000]);
}

#[test]
fn zone_affinity_keeps_calls_local_while_possible() {
    let mut pool = pool(&["a", "b", "b"]);
    let now = Instant::now();
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [1_000, 0, 0]);
    pool.mark_leaving(pool.upstreams[0].addr);
    let counts = pick_counts(&mut pool, criteria(&[]), now);
    assert_eq!(counts[0], 0);
    assert!(counts[1] > 0 && counts[2] > 0);
}

/// Guards against zone affinity without a limit on its cost: when callers move
/// to one zone, its upstreams are overloaded while those of another zone idle.
#[test]
fn overloaded_zone_spills_over() {
    let mut pool = pool(&["a", "b"]);
    (0..2).for_each(|_| pool.start(0));
    assert_eq!(pick_counts(&mut pool, criteria(&[]), Instant::now()), [0, 1_000]);
}

/// Guards against sending calls on to an upstream that fails all of them: after
/// three failures in a row it must get none until its ejection ends.
#[test]
fn repeated_failures_eject_for_a_while() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..3).for_each(|_| call(&mut pool, 0, ended(Outcome::Failed), now));
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 1_000]);
    let later = now + Duration::from_secs(3);
    let tried = [pool.upstreams[1].addr];
    assert_eq!(pick_counts(&mut pool, criteria(&tried), later), [1_000, 0]);
}

/// Guards against letting all calls back when an ejection ends: an upstream that
/// is still dead would fail a call of every caller each time. It gets one trial
/// call at a time, and the next ejection is longer.
#[test]
fn ejected_upstream_returns_through_one_trial_call() {
    let mut pool = pool(&["a", "a"]);
    let start = Instant::now();
    (0..3).for_each(|_| call(&mut pool, 0, ended(Outcome::Failed), start));
    let trial = start + Duration::from_millis(2_001);
    assert!(pick_counts(&mut pool, criteria(&[]), trial)[0] > 0);
    pool.start(0);
    assert_eq!(
        pick_counts(&mut pool, criteria(&[]), trial)[0],
        0,
        "a second call during the trial call"
    );
    pool.finish(0, ended(Outcome::Failed), trial);
    let second = trial + Duration::from_secs(3);
    assert_eq!(
        pick_counts(&mut pool, criteria(&[]), second)[0],
        0,
        "the second ejection is longer"
    );
    let third = trial + Duration::from_secs(5);
    call(&mut pool, 0, answered(1, 0), third);
    assert!(pick_counts(&mut pool, criteria(&[]), third)[0] > 0);
}

/// Guards against ejecting every upstream when calls to all of them time out in
/// an overload, which turns a slow service into an unavailable one. At least
/// half must remain.
#[test]
fn at_most_half_are_ejected() {
    let mut pool = pool(&["a", "a", "a", "a"]);
    let now = Instant::now();
    for index in 0..4 {
        (0..5).for_each(|_| call(&mut pool, index, ended(Outcome::Failed), now));
    }
    let picked_count =
        pick_counts(&mut pool, criteria(&[]), now).into_iter().filter(|&count| count > 0).count();
    assert_eq!(picked_count, 2);
}

/// Guards against ejecting more than half because ejected upstreams with calls outstanding are not
/// counted: each fails while it has one more call, or while its trial call is in flight.
#[yare::parameterized(
    ejected = { Duration::ZERO },
    on_trial = { Duration::from_secs(3) },
)]
fn ejected_upstreams_with_outstanding_calls_count(after_ejection: Duration) {
    let mut pool = pool(&["a"; 4]);
    let now = Instant::now();
    for index in [0, 1] {
        (0..4).for_each(|_| pool.start(index));
        (0..3).for_each(|_| pool.finish(index, ended(Outcome::Failed), now));
    }
    let later = now + after_ejection;
    for index in [2, 3] {
        (0..3).for_each(|_| call(&mut pool, index, ended(Outcome::Failed), later));
    }
    let counts = pick_counts(&mut pool, criteria(&[]), later);
    assert!(counts[2] > 300 && counts[3] > 300, "{counts:?}");
    assert_eq!(pool.upstreams[2].tier(later), Some(Tier::Good));
}

/// Guards against treating ejected upstreams as gone: with one of two upstreams
/// ejected and the other leaving, every call would be refused, although the
/// ejected one may have recovered. It must get one call at a time.
#[test]
fn ejected_upstream_is_the_last_resort() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..3).for_each(|_| call(&mut pool, 0, ended(Outcome::Failed), now));
    pool.mark_leaving(pool.upstreams[1].addr);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now)[0], 1_000);
    pool.start(0);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 0]);
}

/// Guards against picking upstreams after they are marked as leaving. One is
/// marked through its state and one through its health; at last all leave.
#[test]
fn leaving_upstreams_get_no_calls() {
    let mut pool = pool(&["a", "a", "b"]);
    let now = Instant::now();
    let addrs: Vec<_> = pool.upstreams.iter().map(|u| u.addr).collect();
    pool.mark_leaving(addrs[0]);
    pool.set_health(addrs[1], Health::Draining);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 0, 1_000]);
    pool.mark_leaving(addrs[2]);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 0, 0]);
}

/// Guards against false failure reports that take healthy upstreams out of use.
/// A recent response to this node outweighs a report, and upstreams reported as
/// failing are still picked when all are reported.
#[test]
fn reported_failure_yields_to_responses_and_to_lack_of_alternatives() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    let addrs: Vec<_> = pool.upstreams.iter().map(|u| u.addr).collect();
    pool.set_health(addrs[0], Health::Failing);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 1_000]);
    call(&mut pool, 0, answered(1, 0), now);
    assert!(pick_counts(&mut pool, criteria(&[]), now)[0] > 0);
    let later = now + Duration::from_secs(5);
    pool.set_health(addrs[1], Health::Failing);
    let counts = pick_counts(&mut pool, criteria(&[]), later);
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

/// Guards against calls that pile up on an upstream that just refused one as
/// full, and against ejecting an upstream for refusals.
#[test]
fn refusal_makes_others_preferred_for_a_moment() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..9).for_each(|_| call(&mut pool, 0, ended(Outcome::Refused), now));
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 1_000]);
    call(&mut pool, 1, ended(Outcome::Refused), now);
    assert!(
        pick_counts(&mut pool, criteria(&[]), now)[0] > 0,
        "all refuse, so they are still picked"
    );
    let later = now + Duration::from_millis(60);
    assert!(pick_counts(&mut pool, criteria(&[]), later)[0] > 0);
}

/// Guards against an upstream that stays unused after it refused calls, because nothing recent is
/// known of it and another one gets faster: each response of that one is below the mean. Calls are
/// sent one at a time.
#[yare::parameterized(
    only_refused = { None },
    responded_long_ago = { Some(Duration::from_secs(60)) },
)]
fn upstream_that_refused_is_used_while_another_gets_faster(responded_before: Option<Duration>) {
    let mut pool = pool(&["a", "a"]);
    let mut now = Instant::now();
    if let Some(age) = responded_before {
        (0..20).for_each(|_| call(&mut pool, 0, answered(200, 0), now));
        now += age;
    }
    call(&mut pool, 0, ended(Outcome::Refused), now);
    for elapsed_ms in (5..=60).rev() {
        now += Duration::from_millis(25);
        call(&mut pool, 1, answered(elapsed_ms, 0), now);
    }
    let counts = pick_counts(&mut pool, criteria(&[]), now);
    assert!(counts[0] > 300 && counts[1] > 300, "{counts:?}");
}

/// Guards against comparing latencies of different kinds of call, which makes
/// an upstream that happens to serve heavy calls look slow. Of two equal
/// upstreams, one responds to light calls and one to heavy calls.
#[test]
fn heavy_calls_do_not_make_an_upstream_look_slow() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    for _ in 0..50 {
        call(&mut pool, 0, answered(2, 0), now);
        call(&mut pool, 1, answered(40, 1), now);
    }
    pool.start(0);
    assert_eq!(
        pick_counts(&mut pool, criteria(&[]), now),
        [0, 1_000],
        "the one outstanding call decides"
    );
}

/// Guards against memory that grows with what callers send: a mean for every
/// kind ever seen, when each of 10,000 calls has a path of its own.
#[test]
fn excess_kinds_share_one_mean() {
    let mut pool = pool(&["a"]);
    let now = Instant::now();
    (1..10_000).for_each(|kind| call(&mut pool, 0, answered(2, kind), now));
    assert!(pool.mean_latency_us.len() <= 257);
    assert!(pool.mean_latency(9_999).is_some());
}

/// Guards against giving a slow upstream its full share of calls, and against
/// never using it again. One upstream responds ten times as slowly as the other;
/// later nothing is known of it for a while.
#[test]
fn slow_upstream_gets_no_calls_until_its_slowness_decays() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    for round in 0..200 {
        let (index, latency_ms) = if round % 10 == 0 { (0, 20) } else { (1, 2) };
        call(&mut pool, index, answered(latency_ms, 0), now);
    }
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 1_000]);
    (0..3).for_each(|_| pool.start(1));
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 1_000]);
    let later = now + Duration::from_secs(30);
    call(&mut pool, 1, answered(2, 0), later);
    pool.start(1);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), later)[1], 0, "its slowness has decayed");
}

/// Guards against learning from responses only: an upstream that never responds
/// in time has each call overtaken by a hedge, so its responses are never awaited,
/// and hedged calls would keep going to it first.
#[test]
fn calls_cancelled_late_count_against_the_upstream() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..20).for_each(|_| call(&mut pool, 1, answered(2, 0), now));
    let elapsed = Duration::from_millis(8);
    let cancelled_late = Completion { outcome: Outcome::Cancelled, elapsed, kind: 0 };
    call(&mut pool, 0, cancelled_late, now);
    assert_eq!(pick_counts(&mut pool, criteria(&[]), now), [0, 1_000]);
}

/// Guards against counting every cancelled call: a caller that cancels sooner
/// than calls usually take would make healthy upstreams look slow. Only calls
/// that took longer than usual count.
#[test]
fn calls_cancelled_early_do_not_count() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..20).for_each(|_| (0..2).for_each(|index| call(&mut pool, index, answered(10, 0), now)));
    let elapsed = Duration::from_millis(1);
    let cancelled_early = Completion { outcome: Outcome::Cancelled, elapsed, kind: 0 };
    (0..20).for_each(|_| call(&mut pool, 0, cancelled_early, now));
    assert!(pick_counts(&mut pool, criteria(&[]), now)[0] > 400);
}

/// Guards against picking by cost alone: an upstream at which this node already
/// uses its share of connections would reset further ones. Other upstreams are
/// picked, or none.
#[test]
fn upstream_at_its_outstanding_limit_gets_no_more() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    let at_most_two = SelectionCriteria { max_outstanding: 2, ..criteria(&[]) };
    (0..2).for_each(|_| pool.start(0));
    assert_eq!(pick_counts(&mut pool, at_most_two, now), [0, 1_000]);
    (0..2).for_each(|_| pool.start(1));
    assert_eq!(pick_counts(&mut pool, at_most_two, now), [0, 0]);
}

#[test]
fn baseline_policies_pick_as_documented() {
    let mut pool = pool(&["a", "b", "a"]);
    let now = Instant::now();
    let round_robin =
        SelectionCriteria { policy: Policy::RoundRobin, zone_affinity: false, ..criteria(&[]) };
    let mut rng = StdRng::seed_from_u64(1);
    let picks: Vec<_> = (0..6).filter_map(|_| pool.pick(round_robin, now, &mut rng)).collect();
    assert_eq!(picks, [0, 1, 2, 0, 1, 2]);
    pool.start(0);
    pool.start(2);
    let least_outstanding = SelectionCriteria {
        policy: Policy::LeastOutstanding,
        zone_affinity: false,
        ..criteria(&[])
    };
    assert_eq!(pick_counts(&mut pool, least_outstanding, now), [0, 1_000, 0]);
}
