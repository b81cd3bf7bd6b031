//! The node's state: configuration, upstreams, peers, and its own stop.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use limit::Stopping;
use route::ClientLimits;
use wire::Standing;

use super::fake::{incarnation, metrics, ms, run, settings, table};
use crate::directory::Lookup;
use crate::follow::{self, Batch, Event, Source, SourceError, Topic};
use crate::forward::Node;
use crate::history::Cursor;
use crate::state::{Peer, ReadProgress, State};

fn node() -> Rc<Node> {
    Rc::new(Node::new(Rc::new(RefCell::new(State::new(settings()))), metrics()))
}

fn in_zone(zone: &str) -> Lookup<'_> {
    Lookup { zone, ..Lookup::default() }
}

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_600))
}

fn peer(zone: &str, standing: Standing, config_head: Cursor) -> Peer {
    Peer {
        zone: zone.into(),
        standing,
        config_head,
        list_head: 0,
        heads_received: true,
        heard_at: None,
    }
}

/// A simulated platform that counts snapshots. Its long polls hang while `hang` is set.
#[derive(Clone, Default)]
struct Platform {
    newest: Rc<Cell<Cursor>>,
    snapshots: Rc<Cell<u32>>,
    hang: Rc<Cell<bool>>,
    history_gone: Rc<Cell<bool>>,
}

impl Platform {
    fn batch(&self) -> Batch {
        let newest = self.newest.get();
        let events = vec![Event::Config(table(newest, ClientLimits::default()))];
        Batch { events, cursor: newest, newest }
    }
}

impl Source for Platform {
    async fn snapshot(&self, _topic: Topic) -> Result<Batch, SourceError> {
        self.snapshots.set(self.snapshots.get() + 1);
        Ok(self.batch())
    }

    async fn changes(
        &self,
        _topic: Topic,
        cursor: Cursor,
        long_poll_timeout: Duration,
        _grace: Duration,
    ) -> Result<Batch, SourceError> {
        if self.history_gone.replace(false) {
            return Err(SourceError::HistoryGone);
        }
        let started_at = Instant::now();
        while started_at.elapsed() < long_poll_timeout
            && (self.hang.get() || self.newest.get() == cursor)
        {
            monoio::time::sleep(ms(10)).await;
        }
        Ok(self.batch())
    }

    async fn takes_connections(&self, _timeout: Duration) -> bool {
        true
    }
}

/// Guards against a node that uses an old configuration seconds after a partition has ended. Its
/// long poll hangs on a connection whose response is stuck in retransmission, while the
/// configuration changes and the other nodes see it. Peers that are ahead must end the long poll.
#[test]
fn a_node_that_is_behind_its_peers_reads_again() {
    run(async {
        let (platform, node) = (Platform::default(), node());
        platform.newest.set(5);
        platform.hang.set(true);
        monoio::spawn(follow::run(platform.clone(), Topic::Config, node.clone()));
        monoio::time::sleep(ms(50)).await;
        assert_eq!(node.state.borrow().config_version(), 5);
        platform.newest.set(6);
        node.state.borrow_mut().peers.insert(addr(1), peer("a", Standing::Alive, 6));
        // After the first snapshot the node looks for a peer for up to a second.
        monoio::time::sleep(ms(2_500)).await;
        assert_eq!(node.state.borrow().config_version(), 6);
    });
}

#[test]
fn a_node_whose_cursor_is_gone_reads_a_snapshot() {
    run(async {
        let (platform, node) = (Platform::default(), node());
        platform.newest.set(5);
        platform.history_gone.set(true);
        monoio::spawn(follow::run(platform.clone(), Topic::Config, node.clone()));
        monoio::time::sleep(ms(1_800)).await;
        assert_eq!(platform.snapshots.get(), 2);
        assert_eq!(node.state.borrow().config_version(), 5);
    });
}

/// Guards against a route that moves back to its old service for a moment: a late response with an
/// older version arrives when a newer one is already in force.
#[test]
fn a_configuration_never_goes_back() {
    let mut state = State::new(settings());
    assert!(state.apply_table(table(7, ClientLimits::default())));
    assert!(!state.apply_table(table(7, ClientLimits::default())));
    assert!(!state.apply_table(table(6, ClientLimits::default())));
    assert_eq!(state.config_version(), 7);
}

/// Guards against memory that grows for weeks: routes come and go, each under its own name, and
/// what was learned about a removed route must be dropped.
#[test]
fn state_of_a_removed_route_is_dropped() {
    let mut state = State::new(settings());
    state.apply_table(table(7, ClientLimits::default()));
    for name in ["/get/", "/gone/"] {
        state.round_robins.entry(name.into()).or_default();
        state.work_estimates.record_work(&name.into(), ms(300), ms(10));
    }
    state.apply_table(table(8, ClientLimits::default()));
    assert_eq!(state.round_robins.keys().collect::<Vec<_>>(), ["/get/"]);
    let guess = place::WorkEstimates::default().work("", ms(300));
    assert_eq!(state.work_estimates.work("/gone/", ms(300)), guess);
    assert_ne!(state.work_estimates.work("/get/", ms(300)), guess);
}

/// Guards against a change of one topic that makes all nodes read the other topic too: a peer has
/// seen a newer change of the upstreams while the configuration is the same.
#[test]
fn being_behind_is_tracked_by_topic() {
    let mut state = State::new(settings());
    state.config_progress =
        ReadProgress { up_to: 10, newest: 8, has_read: true, ..ReadProgress::default() };
    state.list_progress =
        ReadProgress { up_to: 10, newest: 9, has_read: true, ..ReadProgress::default() };
    let ahead = Peer { list_head: 11, ..peer("a", Standing::Alive, 10) };
    state.peers.insert(addr(1), ahead);
    assert!(state.is_behind(Topic::Upstreams));
    assert!(!state.is_behind(Topic::Config));
}

/// Returns the state of a ready node in zone `a` with the given peers.
fn state_with(peers: &[(u8, &str, Standing, Cursor)]) -> State {
    let mut state = State::new(settings());
    state.apply_table(table(7, ClientLimits::default()));
    let entry = place::Entry {
        id: "u0".into(),
        born_ms: super::fake::BORN_MS,
        service: "desk".into(),
        addr: addr(200),
        zone: "a".into(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
    };
    state.roster.apply(vec![place::Event::Put(entry)], Instant::now());
    for (n, zone, standing, head) in peers {
        state.peers.insert(addr(*n), peer(zone, *standing, *head));
    }
    state
}

/// Guards against callers that are sent to nodes that do not serve: peers that are dead, have
/// left, are suspected, or have no configuration yet.
#[yare::parameterized(
    own_zone = { &[(1, "a", Standing::Alive, 7), (2, "b", Standing::Alive, 7)], &[127, 1] },
    alone_in_its_zone = { &[(2, "b", Standing::Alive, 7)], &[127, 2] },
    dead_and_left = {
        &[(1, "a", Standing::Dead, 7), (2, "a", Standing::Left, 7), (3, "a", Standing::Alive, 7)],
        &[127, 3]
    },
    without_configuration = {
        &[(1, "a", Standing::Alive, 0), (2, "a", Standing::Alive, 7)],
        &[127, 2]
    },
    suspected = { &[(1, "a", Standing::Suspect, 7), (2, "a", Standing::Alive, 7)], &[127, 2] },
    nobody_else = { &[(1, "a", Standing::Suspect, 7)], &[127, 1] },
)]
fn callers_are_sent_to_nodes_that_serve(peers: &[(u8, &str, Standing, Cursor)], expected: &[u8]) {
    let addresses = crate::directory::addresses(&mut state_with(peers), in_zone("a"));
    let mut last: Vec<u8> = addresses
        .iter()
        .map(|addr| match addr {
            SocketAddr::V4(v4) if v4.ip().is_loopback() => 127,
            SocketAddr::V4(v4) => v4.ip().octets()[3],
            SocketAddr::V6(_) => 0,
        })
        .collect();
    last.sort_unstable();
    let mut expected = expected.to_vec();
    expected.sort_unstable();
    assert_eq!(last, expected);
}

/// Guards against a request that is cut when a stopping node exits: a request that may take long
/// arrives on a kept-alive connection in the last part of the grace period. Its caller must be
/// sent to another node instead.
#[yare::parameterized(
    early_and_long = { 1_000, 8_000, false },
    late_and_short = { 4_000, 1_000, false },
    late_and_long = { 4_000, 2_000, true },
)]
fn a_stopping_node_rejects_requests_that_would_be_cut(
    after_ms: u64,
    takes_ms: u64,
    rejected: bool,
) {
    let requested_at = Instant::now();
    let stopping = Stopping { requested_at, exits_at: requested_at + ms(5_400) };
    let now = requested_at + ms(after_ms);
    assert_eq!(stopping.must_reject(now + ms(takes_ms), Duration::ZERO, now), rejected);
}

#[test]
fn a_stopping_node_is_neither_ready_nor_in_the_directory() {
    let mut state = state_with(&[(1, "a", Standing::Alive, 7), (2, "a", Standing::Alive, 7)]);
    assert!(state.is_ready());
    let now = Instant::now();
    state.stopping = Some(Stopping { requested_at: now, exits_at: now + ms(5_400) });
    assert!(!state.is_ready());
    assert_eq!(crate::directory::addresses(&mut state, in_zone("a")).len(), 2);
}

/// Guards against a third of the nodes of a zone of a hundred getting no callers, because each
/// response contains the same first addresses.
#[test]
fn the_directory_eventually_returns_all_nodes_of_a_large_zone() {
    let peers: Vec<(u8, &str, Standing, Cursor)> =
        (1..=100).map(|n| (n, "a", Standing::Alive, 7)).collect();
    let mut state = state_with(&peers);
    let mut returned = std::collections::HashSet::new();
    for _ in 0..30 {
        let addresses = crate::directory::addresses(&mut state, in_zone("a"));
        assert_eq!(addresses.len(), 64);
        returned.extend(addresses);
    }
    assert_eq!(returned.len(), 101);
}

/// The status shows an operator how the node hears of changes, its peers, and its upstreams.
#[test]
fn the_status_shows_reads_peers_and_upstreams() {
    let mut state = state_with(&[(1, "a", Standing::Suspect, 7)]);
    let now = Instant::now();
    let entry = state.roster.entries().next().expect("an entry").clone();
    state.apply_change(&place::Change::Put(entry), now);
    let load = place::Load { running: 2, waiting: 1, slots: 4, slowness: 3.0 };
    state.pools.get_mut("desk").expect("a pool").record_report(&incarnation("u0"), Some(load), now);
    (state.reads_directly, state.relay_peer) = (false, Some(addr(1)));
    let status = crate::status::Status::of(&state, now + ms(30));
    let json = serde_json::to_value(&status).expect("encodes");
    assert_eq!(json["reads"]["peer"], addr(1).to_string());
    assert_eq!(json["peers"][addr(1).to_string()]["standing"], "Suspect");
    let upstream = &json["upstreams"]["desk"][0];
    assert_eq!(
        (&upstream["report"]["waiting"], &upstream["report"]["age_ms"]),
        (&1.into(), &30.into())
    );
    state.reads_directly = true;
    assert!(matches!(crate::status::Status::of(&state, now).reads, crate::status::Reads::Platform));
}

/// Guards against a node that handles requests by an outdated configuration without a trace.
#[test]
fn requests_on_an_expired_lease_are_counted() {
    let mut state = State::new(settings());
    state.apply_table(table(7, ClientLimits::default()));
    let now = Instant::now() + ms(10_000);
    state.renew_lease(Topic::Config, now - ms(1_590), now);
    state.record_handled(now);
    assert_eq!(state.counters.on_expired_config, 0);
    state.record_handled(now + ms(10));
    state.renew_lease(Topic::Config, now + ms(10), now + ms(10));
    state.record_handled(now + ms(10));
    assert_eq!((state.counters.requests, state.counters.on_expired_config), (3, 1));
}
