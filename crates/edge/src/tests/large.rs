//! Who reads the platform, and who writes records, in fleets of hundreds of nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use route::ClientLimits;
use wire::Standing;

use super::fake::{settings, table};
use super::fleet::entry;
use crate::readers::{self, Way};
use crate::record;
use crate::state::{Peer, State};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// The nodes of a fleet of `nodes`, in turn in each zone.
fn fleet(nodes: u16) -> Vec<(SocketAddr, &'static str)> {
    let addr = |n: u16| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_600));
    (0..nodes).map(|n| (addr(n), ZONES[usize::from(n) % ZONES.len()])).collect()
}

/// The node at `me`, which serves, has heard of all others, and from a part of them.
fn serving_node(
    fleet: &[(SocketAddr, &str)],
    me: (SocketAddr, &str),
    heard_part: f64,
    rng: &mut StdRng,
) -> State {
    let mut settings = settings();
    (settings.peer_addr, settings.zone) = (me.0, me.1.into());
    let mut state = State::new(settings);
    state.apply_table(table(7, ClientLimits::default()));
    state.roster.apply(vec![place::Event::Put(entry(1))], Instant::now());
    state.config_progress.has_read = true;
    state.list_progress.has_read = true;
    for (addr, zone) in fleet.iter().filter(|(addr, _)| *addr != me.0) {
        let heads_received = rng.random_bool(heard_part);
        let head = if heads_received { 7 } else { 0 };
        let standing = Standing::Alive;
        let zone = (*zone).into();
        let peer = Peer { zone, standing, config_head: head, list_head: head, heads_received };
        state.peers.insert(*addr, peer);
    }
    state
}

/// Symptom: a quiet day costs 4.5 calls to the platform a node, most of them in one second.
/// Sequence: 312 nodes start. Membership tells each of all others within 3.5 s, but each has heard
/// from some twenty only; then each chooses whom to read through.
/// Cause: taking for readers only nodes that one has heard from: each node sees other readers, or is
/// the first that it knows of.
#[test]
fn nodes_that_have_heard_from_few_others_agree_on_the_readers() {
    let rng = &mut StdRng::seed_from_u64(1);
    let fleet = fleet(312);
    let now = Instant::now();
    let ways: Vec<Way> = fleet
        .iter()
        .map(|me| {
            let mut state = serving_node(&fleet, *me, 0.06, rng);
            readers::choose(&mut state, &HashMap::new(), false, now)
        })
        .collect();
    let direct = ways.iter().filter(|way| **way == Way::Direct).count();
    assert_eq!(direct, ZONES.len());
    for ((_, zone), way) in fleet.iter().zip(&ways) {
        let first = fleet.iter().find(|(_, other)| other == zone).expect("a first of each zone");
        assert!(matches!(way, Way::Direct) || *way == Way::Via(first.0), "{way:?} in {zone}");
    }
}

/// Symptom: a new configuration costs a call of each of some twenty nodes.
/// Sequence: each of them has not heard from the first node of the fleet yet.
/// Cause: taking oneself for the first among those that one has heard from.
/// The other direction: a first node that lives but never serves must not keep records unwritten.
#[yare::parameterized(
    presumed = { false, 0, Duration::ZERO, false },
    never_heard_for_long = { false, 0, Duration::from_secs(60), true },
    serves = { true, 7, Duration::from_secs(60), false },
    said_that_it_holds_nothing = { true, 0, Duration::ZERO, true },
)]
fn one_node_writes_records(heard: bool, head: u64, due_for: Duration, writes: bool) {
    let fleet = fleet(2);
    let rng = &mut StdRng::seed_from_u64(1);
    let mut state = serving_node(&fleet, fleet[1], 0.0, rng);
    let first = state.peers.get_mut(&fleet[0].0).expect("the first node");
    (first.heads_received, first.config_head) = (heard, head);
    assert_eq!(record::is_recorder(&state, due_for), writes);
}
