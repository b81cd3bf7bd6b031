//! Which nodes read the platform and write records, in fleets of hundreds of nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use route::ClientLimits;
use wire::Standing;

use super::fake::{settings, table};
use super::fleet::entry;
use crate::readers::{self, ReadPath};
use crate::record;
use crate::state::{Peer, State};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Returns the nodes of a fleet of `nodes`, assigned to the zones in turn.
fn fleet(nodes: u16) -> Vec<(SocketAddr, &'static str)> {
    let addr = |n: u16| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_600));
    (0..nodes).map(|n| (addr(n), ZONES[usize::from(n) % ZONES.len()])).collect()
}

/// Returns the state of the node at `me`. It serves, knows of all others, and has heard directly
/// from `heard_ratio` of them.
fn serving_node(
    fleet: &[(SocketAddr, &str)],
    me: (SocketAddr, &str),
    heard_ratio: f64,
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
        let heads_received = rng.random_bool(heard_ratio);
        let head = if heads_received { 7 } else { 0 };
        let standing = Standing::Alive;
        let zone = (*zone).into();
        let peer = Peer {
            zone,
            standing,
            config_head: head,
            list_head: head,
            heads_received,
            heard_at: None,
        };
        state.peers.insert(*addr, peer);
    }
    state
}

/// Guards against 4.5 platform calls a node on a quiet day, most of them in one second. 312 nodes
/// start; membership announces all others to each within 3.5 s, but each has heard directly from
/// about twenty when it chooses a reader. If only those counted as readers, each node would see
/// other readers, or be the first that it knows of.
#[test]
fn nodes_that_have_heard_from_few_others_agree_on_the_readers() {
    let rng = &mut StdRng::seed_from_u64(1);
    let fleet = fleet(312);
    let now = Instant::now();
    let paths: Vec<ReadPath> = fleet
        .iter()
        .map(|me| {
            let mut state = serving_node(&fleet, *me, 0.06, rng);
            readers::choose(&mut state, &HashMap::new(), false, now)
        })
        .collect();
    let direct = paths.iter().filter(|path| **path == ReadPath::Direct).count();
    assert_eq!(direct, ZONES.len());
    for ((_, zone), path) in fleet.iter().zip(&paths) {
        let first = fleet.iter().find(|(_, other)| other == zone).expect("a first of each zone");
        assert!(
            matches!(path, ReadPath::Direct) || *path == ReadPath::Via(first.0),
            "{path:?} in {zone}"
        );
    }
}

/// Guards against a new configuration that costs a call of each of about twenty nodes, which have
/// not heard from the first node of the fleet yet and consider themselves the first. A first node
/// that is alive but never serves must not keep records unwritten either.
#[yare::parameterized(
    not_heard_yet = { false, 0, Duration::ZERO, false },
    never_heard_for_long = { false, 0, Duration::from_secs(60), true },
    serves = { true, 7, Duration::from_secs(60), false },
    has_no_configuration = { true, 0, Duration::ZERO, true },
)]
fn one_node_writes_records(heard: bool, head: u64, due_for: Duration, writes: bool) {
    let fleet = fleet(2);
    let rng = &mut StdRng::seed_from_u64(1);
    let mut state = serving_node(&fleet, fleet[1], 0.0, rng);
    let first = state.peers.get_mut(&fleet[0].0).expect("the first node");
    (first.heads_received, first.config_head) = (heard, head);
    assert_eq!(record::is_recorder(&state, due_for), writes);
}
