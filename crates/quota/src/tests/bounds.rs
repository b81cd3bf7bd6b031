//! What quotas promise, for fleets of many sizes and under failures.

use std::time::Duration;

use proptest::prelude::*;
use team::Quota;

use super::fleet::{ms, Fleet, BOUNDS};

/// Time after which all buckets of an idle team are full.
const FILL_TIME: Duration = Duration::from_secs(30);

fn quota(rate_per_s: f64, burst: f64) -> Quota {
    Quota { rate_per_s, burst }
}

/// Returns the number of requests that a window may contain.
pub fn most_allowed(quota: Quota) -> f64 {
    (quota.rate_per_s * BOUNDS.window.as_secs_f64() + quota.burst) * (1.0 + BOUNDS.overshoot)
        + BOUNDS.slack
}

fn any_node(count: usize) -> impl FnMut(&mut rand::rngs::SmallRng, u64) -> usize {
    use rand::Rng;
    move |rng, _| rng.random_range(0..count)
}

/// Guards against a quota that is not used up although the callers ask for more.
#[yare::parameterized(
    small_16 = { 16, 2.0, 2.0 },
    small_126 = { 126, 2.0, 2.0 },
    small_312 = { 312, 2.0, 2.0 },
    middle_126 = { 126, 30.0, 30.0 },
    large_16 = { 16, 300.0, 300.0 },
    large_126 = { 126, 300.0, 300.0 },
    large_312 = { 312, 1_000.0, 1_000.0 },
    no_burst_126 = { 126, 100.0, 1.0 },
)]
fn twice_the_rate_uses_the_allowance(nodes: usize, rate_per_s: f64, burst: f64) {
    let mut fleet = Fleet::start(nodes, quota(rate_per_s, burst), false, 1);
    fleet.run(ms(10_000), 2.0 * rate_per_s, any_node(nodes));
    let (before, time) = (fleet.totals.allowed, 20);
    fleet.run(ms(time * 1_000), 2.0 * rate_per_s, any_node(nodes));
    let allowance_per_s = rate_per_s + burst / BOUNDS.window.as_secs_f64();
    let used = (fleet.totals.allowed - before) as f64 / (allowance_per_s * time as f64);
    println!("{nodes} nodes, {rate_per_s}/s: {used:.3} of the allowance, {:?}", fleet.totals);
    assert!(used >= 0.97, "{used:.3} of the allowance");
    assert!(fleet.most_used(Duration::ZERO) as f64 <= most_allowed(quota(rate_per_s, burst)));
}

/// Guards against a quota that is not used up because callers who return late are refused: half of
/// the requests are late, and the others ask for twice the rate.
#[yare::parameterized(
    small = { 2.0 },
    large = { 300.0 },
)]
fn late_callers_do_not_keep_the_allowance_from_being_used(rate_per_s: f64) {
    let mut fleet = Fleet::start(126, quota(rate_per_s, rate_per_s), false, 7);
    fleet.late_share = 0.5;
    fleet.run(ms(10_000), 4.0 * rate_per_s, any_node(126));
    let (before, time) = (fleet.totals.allowed, 20);
    fleet.run(ms(time * 1_000), 4.0 * rate_per_s, any_node(126));
    let used = (fleet.totals.allowed - before) as f64 / (rate_per_s * time as f64);
    println!("{rate_per_s}/s: {used:.3} of the rate, {:?}", fleet.totals);
    assert!(used >= 0.97, "{used:.3} of the rate");
}

/// Guards against refusals of a team that stays under its rate.
#[yare::parameterized(
    tiny_126 = { 126, 0.5, 1.0 },
    small_16 = { 16, 2.0, 2.0 },
    small_126 = { 126, 2.0, 2.0 },
    small_312 = { 312, 2.0, 2.0 },
    middle_126 = { 126, 12.0, 12.0 },
    large_126 = { 126, 300.0, 300.0 },
    large_312 = { 312, 1_000.0, 1_000.0 },
)]
fn a_team_under_its_rate_is_not_refused(nodes: usize, rate_per_s: f64, burst: f64) {
    let mut fleet = Fleet::start(nodes, quota(rate_per_s, burst), false, 2);
    fleet.run(FILL_TIME, 0.0, any_node(nodes));
    fleet.run(ms(60_000), rate_per_s / 1.6, any_node(nodes));
    println!("{nodes} nodes, {rate_per_s}/s: {:?}", fleet.totals);
    assert_eq!((fleet.totals.over_quota, fleet.totals.no_owner), (0, 0));
}

/// Guards against a burst that a fleet at rest does not serve, at one node or at all.
#[yare::parameterized(
    one_node = { 1 },
    all_nodes = { 126 },
)]
fn a_burst_from_rest_is_served(callers: usize) {
    let mut fleet = Fleet::start(126, quota(100.0, 100.0), false, 3);
    fleet.run(FILL_TIME, 0.0, any_node(1));
    (0..100).for_each(|n| fleet.arrive(n % callers, ms(n as u64 / 10)));
    fleet.run(ms(1_000), 0.0, any_node(1));
    assert_eq!(fleet.totals.allowed, 100, "{:?}", fleet.totals);
}

/// Guards against refusals when all callers move to other nodes at once.
#[test]
fn demand_that_moves_is_served_where_it_goes() {
    let mut fleet = Fleet::start(126, quota(200.0, 200.0), false, 4);
    fleet.run(FILL_TIME, 0.0, any_node(1));
    for _ in 0..5 {
        fleet.run(ms(1_000), 190.0, any_node(42));
        fleet.run(ms(1_000), 190.0, |rng, count| 84 + any_node(42)(rng, count));
    }
    assert_eq!((fleet.totals.over_quota, fleet.totals.no_owner), (0, 0), "{:?}", fleet.totals);
}

/// Guards against a fleet that refuses its teams after it was restarted, until its nodes know each
/// other, and against a burst at each restart.
#[yare::parameterized(
    small = { 4.0 },
    middle = { 30.0 },
    large = { 300.0 },
)]
fn a_restarted_fleet_serves_at_once(rate_per_s: f64) {
    let (nodes, quota) = (126, quota(rate_per_s, rate_per_s));
    let mut fleet = Fleet::start(nodes, quota, true, 7);
    fleet.run(ms(8_000), 0.0, any_node(nodes));
    fleet.run(ms(3_000), 2.0 * rate_per_s, any_node(nodes));
    (0..nodes).for_each(|n| fleet.restart(n));
    let before = fleet.totals.allowed;
    for (second, least) in [(1, 0.5), (2, 1.4), (3, 2.4)] {
        fleet.run(ms(1_000), 2.0 * rate_per_s, any_node(nodes));
        let allowed = (fleet.totals.allowed - before) as f64;
        assert!(allowed >= least * rate_per_s, "{allowed} of {rate_per_s}/s after {second} s");
    }
    let most = fleet.most_used(Duration::ZERO) as f64;
    assert!(most <= most_allowed(quota), "{most} of {}", most_allowed(quota));
}

/// Guards against callers that are all told the same time to return.
#[test]
fn retry_after_is_spread() {
    let mut fleet = Fleet::start(126, quota(20.0, 20.0), false, 5);
    fleet.run(ms(10_000), 400.0, any_node(126));
    let mut times = fleet.retry_after.split_off(fleet.retry_after.len() / 2);
    times.sort();
    let (early, late) = (times[times.len() / 10], times[times.len() * 9 / 10]);
    println!("{early:?} to {late:?}");
    assert!(late > early.mul_f64(1.4), "{early:?} to {late:?}");
    assert!(early > ms(1_000) && late < ms(12_000), "{early:?} to {late:?}");
}

/// Guards against a lowered quota under which nodes go on granting what was granted before.
#[test]
fn a_lowered_quota_binds_within_a_second() {
    let mut fleet = Fleet::start(126, quota(300.0, 300.0), false, 6);
    fleet.run(ms(10_000), 100.0, any_node(126));
    // Nodes hold no tokens any more, and buckets are full.
    fleet.run(ms(2_000), 0.0, any_node(126));
    fleet.set_quota(Some(quota(3.0, 3.0)));
    let since = fleet.now;
    fleet.run(ms(10_000), 400.0, any_node(126));
    let used = fleet.most_used(since) as f64;
    assert!(used <= most_allowed(quota(3.0, 3.0)), "{used}");
    fleet.set_quota(Some(quota(300.0, 300.0)));
    fleet.run(ms(1_000), 400.0, any_node(126));
    let before = fleet.totals.allowed;
    fleet.run(ms(10_000), 400.0, any_node(126));
    let allowed = fleet.totals.allowed - before;
    assert!(allowed >= 2_910, "{allowed} in 10 s after the quota was raised");
}

/// Guards against a team that gets more than its quota when a part of a large fleet returns: nodes that
/// know all of it grant whole shards, while others grant the share of their part of the same shards.
#[yare::parameterized(
    a_third = { 40, 1 },
    half = { 60, 2 },
    most = { 90, 3 },
    a_few = { 8, 4 },
)]
fn a_part_of_the_fleet_that_returns_is_not_granted_twice(part: usize, seed: u64) {
    let (nodes, quota) = (120, quota(211.0, 211.0));
    let mut fleet = Fleet::start(nodes, quota, true, seed);
    fleet.revival = (ms(100), ms(5_400));
    fleet.run(ms(8_000), 2.0 * quota.rate_per_s, any_node(nodes));
    for _ in 0..3 {
        (0..part).for_each(|n| fleet.set_group(n, 1));
        fleet.run(ms(14_000), 7.5 * quota.rate_per_s, any_node(nodes));
        (0..nodes).for_each(|n| fleet.set_group(n, 0));
        fleet.run(ms(16_000), 7.5 * quota.rate_per_s, any_node(nodes));
    }
    let most = fleet.most_used(Duration::ZERO) as f64;
    println!("{most} of {}", most_allowed(quota));
    assert!(most <= most_allowed(quota), "{most} of {}", most_allowed(quota));
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Mute(usize, bool),
    Cut(usize),
    Heal,
    RestartAll,
    KillHalf,
}

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..nodes).prop_map(Fault::Kill),
        (0..nodes).prop_map(Fault::Restart),
        ((0..nodes), 100u64..6_000).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        ((0..nodes), any::<bool>()).prop_map(|(n, is_mute)| Fault::Mute(n, is_mute)),
        (1..nodes).prop_map(Fault::Cut),
        Just(Fault::Heal),
        Just(Fault::RestartAll),
        Just(Fault::KillHalf),
    ]
}

fn apply(fleet: &mut Fleet, fault: &Fault) {
    let count = fleet.len();
    match fault {
        Fault::Kill(n) => fleet.kill(*n),
        Fault::Restart(n) => fleet.restart(*n),
        Fault::Pause(n, time) => fleet.pause(*n, ms(*time)),
        Fault::Mute(n, is_mute) => fleet.set_mute(*n, *is_mute),
        Fault::Cut(size) => (0..*size).for_each(|n| fleet.set_group(n, 1)),
        Fault::Heal => (0..count).for_each(|n| fleet.set_group(n, 0)),
        // Nothing remembers nodes that are cut off while all others restart: see the design note.
        Fault::RestartAll => (0..count).for_each(|n| {
            fleet.set_group(n, 0);
            fleet.restart(n);
        }),
        Fault::KillHalf => (0..count / 2).for_each(|n| fleet.kill(n * 2)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against a team that gets more than its quota because nodes disagree on the owner.
    #[test]
    fn the_bound_holds_under_faults(
        nodes in prop_oneof![Just(5usize), Just(16), Just(48)],
        rate_per_s in prop_oneof![Just(2.0), Just(3.9), Just(4.0), Just(8.0), Just(60.0), Just(300.0)],
        burst_s in prop_oneof![Just(0.0f64), Just(1.0), Just(3.0)],
        demand in prop_oneof![Just(1.0), Just(2.0), Just(20.0)],
        loss in prop_oneof![Just(0.0), Just(0.05)],
        given_back in prop_oneof![Just(0.0), Just(0.3)],
        calm_ms in prop_oneof![Just(2_000u64), Just(8_000)],
        faults in proptest::collection::vec((0u64..4_000, fault(48)), 1..8),
        seed in any::<u64>(),
    ) {
        let quota = quota(rate_per_s, (rate_per_s * burst_s).max(1.0));
        let mut fleet = Fleet::start(nodes, quota, true, seed);
        (fleet.loss, fleet.given_back) = (loss, given_back);
        fleet.run(ms(calm_ms), 0.0, any_node(nodes));
        for (after, fault) in &faults {
            fleet.run(ms(*after), rate_per_s * demand, any_node(nodes));
            let fault = match fault {
                Fault::Kill(n) => Fault::Kill(n % nodes),
                Fault::Restart(n) => Fault::Restart(n % nodes),
                Fault::Pause(n, ms) => Fault::Pause(n % nodes, *ms),
                Fault::Mute(n, is_mute) => Fault::Mute(n % nodes, *is_mute),
                Fault::Cut(n) => Fault::Cut(n % nodes),
                other => other.clone(),
            };
            apply(&mut fleet, &fault);
            // Nodes that are cut off before they know each other share nothing.
            if matches!(fault, Fault::RestartAll) {
                fleet.run(ms(2_000), rate_per_s * demand, any_node(nodes));
            }
        }
        fleet.run(ms(7_000), rate_per_s * demand, any_node(nodes));
        let most = fleet.most_used(Duration::ZERO) as f64;
        prop_assert!(most <= most_allowed(quota), "{most} of {}", most_allowed(quota));
    }
}
