use std::time::{Duration, Instant};

use super::{CallLatency, SlowCallDetector};
use crate::{Limiter, Outcome};

const BASELINE: Duration = Duration::from_millis(2);

fn latency(elapsed_ms: u64, own_delay_ms: u64) -> CallLatency {
    CallLatency {
        elapsed: Duration::from_millis(elapsed_ms),
        own_delay: Duration::from_millis(own_delay_ms),
        baseline: Some(BASELINE),
    }
}

/// Runs calls of the given latencies, ten in flight at a time, and returns the limit after them.
fn limit_after(detector: &mut SlowCallDetector, latencies: &[CallLatency]) -> u32 {
    const IN_FLIGHT: usize = 10;
    let (mut limiter, mut now) = (Limiter::default(), Instant::now());
    for batch in latencies.chunks(IN_FLIGHT) {
        let started_at = now;
        let admitted: Vec<_> =
            batch.iter().filter(|_| limiter.try_acquire("", started_at)).collect();
        now += Duration::from_millis(50);
        for latency in admitted {
            let outcome = match detector.record(*latency) {
                true => Outcome::Slow,
                false => Outcome::Served,
            };
            limiter.release("", outcome, started_at, now);
        }
    }
    limiter.limit()
}

fn unlimited() -> u32 {
    Limiter::default().limit()
}

/// Guards against a node that had no processor for a moment, and refuses calls because all that
/// were in flight meanwhile ended late: their upstreams had responded in time. One upstream in
/// eight is slow.
#[test]
fn own_stall_does_not_count_against_upstreams() {
    let one_in_eight = |nth: usize| latency(if nth.is_multiple_of(8) { 30 } else { 2 }, 0);
    let mut calls: Vec<CallLatency> = (0..100).map(one_in_eight).collect();
    calls.extend(vec![latency(60, 57); 30]);
    assert_eq!(limit_after(&mut SlowCallDetector::default(), &calls), unlimited());
}

/// Guards against refusing calls on a machine that is busy for long: the upstreams share it, wait
/// for a processor as often as the node does, and are late without being full. The calls that are
/// late are not those during which the node itself waited.
#[test]
fn busy_machine_does_not_count_as_full_upstreams() {
    let pair = [latency(12, 0), latency(8, 6)];
    let calls: Vec<CallLatency> = pair.into_iter().cycle().take(400).collect();
    // A node without delay of its own sees the same latencies of full upstreams.
    let without_own_delay: Vec<CallLatency> =
        calls.iter().map(|call| CallLatency { own_delay: Duration::ZERO, ..*call }).collect();
    let mut warmed_up = SlowCallDetector::default();
    limit_after(&mut warmed_up, &vec![latency(8, 6); 40]);
    assert_eq!(limit_after(&mut warmed_up, &calls), unlimited());
    assert!(limit_after(&mut SlowCallDetector::default(), &without_own_delay) < 20);
}

/// Guards against a node on a busy machine that no longer notices full upstreams: calls wait there
/// for many times what the machine delays them.
#[test]
fn full_upstreams_are_noticed_on_a_busy_machine() {
    let calls = vec![latency(100, 3); 100];
    assert!(limit_after(&mut SlowCallDetector::default(), &calls) < 20);
}

/// Guards against a node that no longer notices full upstreams after its machine was busy once.
#[test]
fn own_delay_is_forgotten() {
    let mut detector = SlowCallDetector::default();
    limit_after(&mut detector, &vec![latency(200, 190); 100]);
    limit_after(&mut detector, &vec![latency(2, 0); 200]);
    assert!(limit_after(&mut detector, &vec![latency(12, 0); 100]) < 20);
}

#[test]
fn call_without_baseline_is_not_slow() {
    let call = CallLatency { baseline: None, ..latency(1_000, 0) };
    assert!(!SlowCallDetector::default().record(call));
}
