use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;

use crate::{Finished, Pool, Standing};

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

#[test]
fn prefers_less_loaded_upstream() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    for _ in 0..10 {
        pool.start(0);
    }
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    for _ in 0..100 {
        assert_eq!(pool.pick("a", true, &[], now, &mut rng), Some(1));
    }
}

#[test]
fn zone_affinity_keeps_calls_local_while_possible() {
    let mut pool = pool(&["a", "b", "b"]);
    let now = Instant::now();
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    for _ in 0..100 {
        assert_eq!(pool.pick("a", true, &[], now, &mut rng), Some(0));
    }
    pool.mark_leaving(pool.upstreams[0].addr);
    let other = pool.pick("a", true, &[], now, &mut rng);
    assert!(matches!(other, Some(1) | Some(2)));
}

/// Symptom: calls keep going to an upstream that refuses everything.
/// Sequence: an upstream fails three calls in a row.
/// Cause: no ejection; it must get no calls until its ejection ends.
#[test]
fn repeated_failures_eject_for_a_while() {
    let mut pool = pool(&["a", "a"]);
    let now = Instant::now();
    for _ in 0..3 {
        pool.start(0);
        pool.finish(0, Finished::Failed, now);
    }
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    for _ in 0..50 {
        assert_eq!(pool.pick("a", true, &[], now, &mut rng), Some(1));
    }
    let later = now + Duration::from_secs(3);
    let tried = [pool.upstreams[1].addr];
    let picks: Vec<_> =
        (0..50).filter_map(|_| pool.pick("a", true, &tried, later, &mut rng)).collect();
    assert!(picks.iter().all(|&p| p == 0) && !picks.is_empty());
}

/// Symptom: a call to a leaving upstream after it was marked.
/// Sequence: every upstream but one leaves; then all leave.
/// Cause: leaving upstreams still counted as eligible.
#[test]
fn leaving_upstreams_get_no_calls() {
    let mut pool = pool(&["a", "a", "b"]);
    let now = Instant::now();
    let mut rng = rand::rngs::StdRng::seed_from_u64(3);
    let addrs: Vec<_> = pool.upstreams.iter().map(|u| u.addr).collect();
    pool.mark_leaving(addrs[0]);
    pool.mark_leaving(addrs[1]);
    for _ in 0..50 {
        assert_eq!(pool.pick("a", true, &[], now, &mut rng), Some(2));
    }
    pool.mark_leaving(addrs[2]);
    assert_eq!(pool.pick("a", true, &[], now, &mut rng), None);
}
