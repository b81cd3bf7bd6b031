use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::{Ask, Finished, How, Policy, Pool, Report, Standing, UpstreamIndex};

fn pool(zones: &[&str]) -> Pool {
    let mut pool = Pool::default();
    let members: Vec<(SocketAddr, smol_str::SmolStr, Standing)> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            (SocketAddr::from(([127, 0, 0, 1], 9000 + i as u16)), (*zone).into(), Standing::Live)
        })
        .collect();
    pool.set_members(&members);
    pool
}

/// What a call from zone `a` asks, with affinity.
fn ask(tried: &[SocketAddr]) -> Ask<'_> {
    Ask {
        policy: Policy::Adaptive,
        zone: "a",
        zone_affinity: true,
        tried,
        barred: &[],
        most_outstanding: 1_000,
    }
}

fn answered(took_ms: u64, kind: u64) -> Finished {
    Finished { how: How::Answered, took: Duration::from_millis(took_ms), kind }
}

/// A call that ended in another way than by an answer, at once.
fn ended(how: How) -> Finished {
    Finished { how, took: Duration::ZERO, kind: 0 }
}

/// Sends one call to `index` and ends it.
fn call(pool: &mut Pool, index: UpstreamIndex, finished: Finished, now: Instant) {
    pool.start(index);
    pool.finish(index, finished, now);
}

/// Returns how often each upstream is picked in 1,000 picks, without calls being started.
fn shares(pool: &mut Pool, ask: Ask<'_>, now: Instant) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut counts = vec![0; pool.upstreams.len()];
    for _ in 0..1_000 {
        if let Some(index) = pool.pick(ask, now, &mut rng) {
            counts[index] += 1;
        }
    }
    counts
}

#[test]
fn prefers_less_loaded_upstream() {
    let mut pool = pool(&["a", "a"]);
    (0..10).for_each(|_| pool.start(0));
    assert_eq!(shares(&mut pool, ask(&[]), Instant::now()), [0, 1_000]);
}

#[test]
fn zone_affinity_keeps_calls_local_while_possible() {
    let mut pool = pool(&["a", "b", "b"]);
    let now = Instant::now();
    assert_eq!(shares(&mut pool, ask(&[]), now), [1_000, 0, 0]);
    pool.mark_leaving(pool.upstreams[0].addr);
    let counts = shares(&mut pool, ask(&[]), now);
    assert_eq!(counts[0], 0);
    assert!(counts[1] > 0 && counts[2] > 0);
}

/// Symptom: one zone's upstreams drown while another zone's idle.
/// Sequence: callers move to one zone; its upstreams hold many calls.
/// Cause: affinity without a bound on what it may cost.
#[test]
fn an_overloaded_zone_spills_over() {
    let mut pool = pool(&["a", "b"]);
    (0..2).for_each(|_| pool.start(0));
    assert_eq!(shares(&mut pool, ask(&[]), Instant::now()), [0, 1_000]);
}

/// Symptom: calls keep going to an upstream that refuses everything.
/// Sequence: an upstream fails three calls in a row.
/// Cause: no ejection; it must get no calls until its ejection ends.
#[test]
fn repeated_failures_eject_for_a_while() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..3).for_each(|_| call(&mut pool, 0, ended(How::Failed), now));
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000]);
    let later = now + Duration::from_secs(3);
    let tried = [pool.upstreams[1].addr];
    assert_eq!(shares(&mut pool, ask(&tried), later), [1_000, 0]);
}

/// Symptom: a dead upstream costs a call from every caller each time its ejection ends.
/// Sequence: an ejection ends; the upstream is still dead.
/// Cause: letting everything back at once. One trial at a time, and the
/// next ejection is longer.
#[test]
fn an_ejected_upstream_comes_back_by_one_trial_call() {
    let mut pool = pool(&["a", "a"]);
    let start = Instant::now();
    (0..3).for_each(|_| call(&mut pool, 0, ended(How::Failed), start));
    let trial = start + Duration::from_millis(2_001);
    assert!(shares(&mut pool, ask(&[]), trial)[0] > 0);
    pool.start(0);
    assert_eq!(shares(&mut pool, ask(&[]), trial)[0], 0, "a second call during the trial");
    pool.finish(0, ended(How::Failed), trial);
    let second = trial + Duration::from_secs(3);
    assert_eq!(shares(&mut pool, ask(&[]), second)[0], 0, "the second ejection is longer");
    let third = trial + Duration::from_secs(5);
    call(&mut pool, 0, answered(1, 0), third);
    assert!(shares(&mut pool, ask(&[]), third)[0] > 0);
}

/// Symptom: a slow service turns into one that is down.
/// Sequence: an overload makes calls to every upstream time out.
/// Cause: ejecting all of them. At least half stay in.
#[test]
fn at_most_half_are_ejected() {
    let mut pool = pool(&["a", "a", "a", "a"]);
    let now = Instant::now();
    for index in 0..4 {
        (0..5).for_each(|_| call(&mut pool, index, ended(How::Failed), now));
    }
    let served = shares(&mut pool, ask(&[]), now).into_iter().filter(|&count| count > 0).count();
    assert_eq!(served, 2);
}

/// Symptom: with the only upstream ejected, every call is refused though it may be back.
/// Sequence: one of two upstreams is ejected, the other leaves.
/// Cause: ejected upstreams treated as gone. They are the last resort, one call at a time.
#[test]
fn an_ejected_upstream_is_the_last_resort() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..3).for_each(|_| call(&mut pool, 0, ended(How::Failed), now));
    pool.mark_leaving(pool.upstreams[1].addr);
    assert_eq!(shares(&mut pool, ask(&[]), now)[0], 1_000);
    pool.start(0);
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 0]);
}

/// Symptom: a call to a leaving upstream after it was marked.
/// Sequence: every upstream but one leaves, one by its own word; then all leave.
/// Cause: leaving upstreams still counted as eligible.
#[test]
fn leaving_upstreams_get_no_calls() {
    let mut pool = pool(&["a", "a", "b"]);
    let now = Instant::now();
    let addrs: Vec<_> = pool.upstreams.iter().map(|u| u.addr).collect();
    pool.mark_leaving(addrs[0]);
    pool.set_report(addrs[1], Report::Draining);
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 0, 1_000]);
    pool.mark_leaving(addrs[2]);
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 0, 0]);
}

/// Symptom: false health answers take healthy upstreams out of work.
/// Sequence: watchers report an upstream failing that answers this node's
/// calls; later they report all of them.
/// Cause: believing reports over own answers, or refusing calls on their word alone.
#[test]
fn reports_of_failing_give_way_to_own_answers_and_to_need() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    let addrs: Vec<_> = pool.upstreams.iter().map(|u| u.addr).collect();
    pool.set_report(addrs[0], Report::Failing);
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000]);
    call(&mut pool, 0, answered(1, 0), now);
    assert!(shares(&mut pool, ask(&[]), now)[0] > 0);
    let later = now + Duration::from_secs(5);
    pool.set_report(addrs[1], Report::Failing);
    let counts = shares(&mut pool, ask(&[]), later);
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

/// Symptom: calls pile up on an upstream that just said it is full.
/// Sequence: one upstream refuses a call.
/// Cause: forgetting the refusal at once; or, worse, ejecting for it.
#[test]
fn a_refusal_makes_others_come_first_for_a_moment() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..9).for_each(|_| call(&mut pool, 0, ended(How::Refused), now));
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000]);
    call(&mut pool, 1, ended(How::Refused), now);
    assert!(shares(&mut pool, ask(&[]), now)[0] > 0, "all refusing: still tried");
    let later = now + Duration::from_millis(60);
    assert!(shares(&mut pool, ask(&[]), later)[0] > 0);
}

/// Symptom: upstreams that happen to serve heavy reads are shunned as slow.
/// Sequence: two equal upstreams; one answered light calls, one heavy ones.
/// Cause: comparing latencies of different kinds of call.
#[test]
fn a_heavy_call_does_not_make_its_upstream_look_slow() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    for _ in 0..50 {
        call(&mut pool, 0, answered(2, 0), now);
        call(&mut pool, 1, answered(40, 1), now);
    }
    pool.start(0);
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000], "one call outstanding decides");
}

/// Symptom: memory grows with what callers send.
/// Sequence: callers use a path of its own for each of 10,000 calls.
/// Cause: a mean kept for every kind ever seen.
#[test]
fn kinds_beyond_a_bound_share_one_mean() {
    let mut pool = pool(&["a"]);
    let now = Instant::now();
    (1..10_000).for_each(|kind| call(&mut pool, 0, answered(2, kind), now));
    assert!(pool.kind_mean_us.len() <= 257);
    assert!(pool.kind_mean(9_999).is_some());
}

/// Symptom: a straggler gets its full share of calls; or a former one gets none for good.
/// Sequence: one upstream answers ten times slower than the other; later
/// nothing is known of it for a while.
/// Cause: not comparing, or never forgetting.
#[test]
fn a_straggler_gets_little_and_is_tried_again_later() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    for round in 0..200 {
        let (index, latency_ms) = if round % 10 == 0 { (0, 20) } else { (1, 2) };
        call(&mut pool, index, answered(latency_ms, 0), now);
    }
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000]);
    (0..3).for_each(|_| pool.start(1));
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000]);
    let later = now + Duration::from_secs(30);
    call(&mut pool, 1, answered(2, 0), later);
    pool.start(1);
    assert_eq!(shares(&mut pool, ask(&[]), later)[1], 0, "no longer held against it");
}

/// Symptom: hedged calls keep going to a straggler first.
/// Sequence: an upstream never answers in time; each of its calls is overtaken by a hedge.
/// Cause: learning from answers only, which are then never waited for.
#[test]
fn calls_given_up_after_long_count_against_the_upstream() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..20).for_each(|_| call(&mut pool, 1, answered(2, 0), now));
    let took = Duration::from_millis(8);
    let overtaken = Finished { how: How::GivenUp, took, kind: 0 };
    call(&mut pool, 0, overtaken, now);
    assert_eq!(shares(&mut pool, ask(&[]), now), [0, 1_000]);
}

/// Symptom: an impatient caller makes healthy upstreams look slow.
/// Sequence: calls are given up sooner than they usually take.
/// Cause: counting every call given up. Only what took longer than usual says anything.
#[test]
fn calls_given_up_early_say_nothing() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    (0..20).for_each(|_| (0..2).for_each(|index| call(&mut pool, index, answered(10, 0), now)));
    let took = Duration::from_millis(1);
    let early = Finished { how: How::GivenUp, took, kind: 0 };
    (0..20).for_each(|_| call(&mut pool, 0, early, now));
    assert!(shares(&mut pool, ask(&[]), now)[0] > 400);
}

/// Symptom: an upstream resets connections because it has too many.
/// Sequence: this node has its share of connections in use there.
/// Cause: picking by cost alone. Others are picked, or none.
#[test]
fn an_upstream_with_its_share_outstanding_gets_no_more() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    let two_at_most = Ask { most_outstanding: 2, ..ask(&[]) };
    (0..2).for_each(|_| pool.start(0));
    assert_eq!(shares(&mut pool, two_at_most, now), [0, 1_000]);
    (0..2).for_each(|_| pool.start(1));
    assert_eq!(shares(&mut pool, two_at_most, now), [0, 0]);
}

#[test]
fn baselines_pick_as_they_say() {
    let mut pool = pool(&["a", "b", "a"]);
    let now = Instant::now();
    let round_robin = Ask { policy: Policy::RoundRobin, zone_affinity: false, ..ask(&[]) };
    let mut rng = StdRng::seed_from_u64(1);
    let picks: Vec<_> = (0..6).filter_map(|_| pool.pick(round_robin, now, &mut rng)).collect();
    assert_eq!(picks, [0, 1, 2, 0, 1, 2]);
    pool.start(0);
    pool.start(2);
    let least = Ask { policy: Policy::LeastOutstanding, zone_affinity: false, ..ask(&[]) };
    assert_eq!(shares(&mut pool, least, now), [0, 1_000, 0]);
}
