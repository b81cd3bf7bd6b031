use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::{Candidate, Peers};

fn addr(zone: u8, n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, zone, n], 80))
}

/// Returns `per_zone` peers in each of the zones 0 to 3.
fn fleet(per_zone: u8) -> Vec<Candidate> {
    let zones = (0..4).flat_map(|zone| (0..per_zone).map(move |n| (zone, n)));
    zones.map(|(z, n)| Candidate { addr: addr(z, n), zone: format!("z{z}").into() }).collect()
}

/// Returns how often each peer comes first, of 1,000 requests of a node in zone 0.
fn first_choices(peers: &Peers, fleet: &[Candidate], now: Instant) -> BTreeMap<SocketAddr, u32> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        let ranked = peers.ranked(fleet.iter().cloned(), "z0", now, &mut rng);
        *counts.entry(ranked[0]).or_default() += 1;
    }
    counts
}

/// Guards against bytes between zones that a partition of a single node does not need.
#[test]
fn a_single_partitioned_node_uses_peers_of_its_zone() {
    let counts = first_choices(&Peers::default(), &fleet(3), Instant::now());
    assert!(counts.keys().all(|peer| peer.ip().to_string().starts_with("10.0.0.")), "{counts:?}");
}

/// Guards against the last nodes of a zone that drown in the requests of all others there.
#[test]
fn the_last_node_of_a_partitioned_zone_gets_no_more_than_nodes_elsewhere() {
    let now = Instant::now();
    let mut peers = Peers::default();
    for n in 0..4 {
        peers.record_claim(addr(0, n), true, now);
    }
    let counts = first_choices(&peers, &fleet(5), now);
    assert_eq!(counts.len(), 16, "15 elsewhere and the last one here");
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most < 3 * 1_000 / 16, "{counts:?}");
}

/// Guards against requests that are offered to nodes which cannot serve them either.
#[test]
fn partitioned_peers_and_those_that_declined_get_no_requests_for_a_while() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.record_claim(addr(1, 0), true, now);
    peers.record_declined(addr(1, 1), now);
    let fleet: Vec<Candidate> =
        (0..3).map(|n| Candidate { addr: addr(1, n), zone: "z1".into() }).collect();
    let ranked = |peers: &Peers, at: Instant| {
        peers.ranked(fleet.iter().cloned(), "z0", at, &mut SmallRng::seed_from_u64(7))
    };
    assert_eq!(ranked(&peers, now), [addr(1, 2)]);
    assert_eq!(ranked(&peers, now + Duration::from_secs(2)).len(), 2);
    peers.record_claim(addr(1, 0), false, now);
    assert_eq!(ranked(&peers, now + Duration::from_secs(2)).len(), 3);
    peers.record_claim(addr(1, 0), true, now);
    assert_eq!(ranked(&peers, now + Duration::from_secs(11)).len(), 3, "never taken back");
}

/// Guards against peers that go on to avoid a node, or send callers to it, after its state changed.
#[test]
fn a_change_is_announced_at_once_and_a_partition_again_and_again() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut peers = Peers::default();
    assert!(!peers.take_due_announcement(false, at(0)), "nothing to tell");
    assert!(peers.take_due_announcement(true, at(0)));
    assert!(!peers.take_due_announcement(true, at(100)));
    assert!(peers.take_due_announcement(true, at(5_000)));
    assert!(peers.take_due_announcement(false, at(5_100)));
    assert!(!peers.take_due_announcement(false, at(20_000)));
}
