//! Entry nodes that follow a simulated platform which counts its calls, and read it through each
//! other.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpListener;
use route::ClientLimits;
use wire::Standing;

use super::fake::{metrics, ms, settings, table};
use crate::follow::{self, Batch, Event, Source, SourceError, Topic};
use crate::forward::Node;
use crate::history::Cursor;
use crate::relay;
use crate::state::{Peer, State};

pub fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_600))
}

pub fn serving(zone: &str) -> Peer {
    Peer {
        zone: zone.into(),
        standing: Standing::Alive,
        config_head: 7,
        list_head: 7,
        heads_received: true,
        heard_at: None,
    }
}

pub fn entry(n: u8) -> place::Entry {
    place::Entry {
        id: format!("u{n}").into(),
        born_ms: super::fake::BORN_MS,
        service: "desk".into(),
        addr: addr(n),
        zone: "a".into(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

/// Returns a node in zone `a` at `me` that serves, with serving peers.
pub fn state_at(me: SocketAddr, peers: &[(u8, &str)]) -> State {
    let mut settings = settings();
    settings.peer_addr = me;
    let mut state = State::new(settings);
    state.apply_table(table(7, ClientLimits::default()));
    state.roster.apply(vec![place::Event::Put(entry(200))], Instant::now());
    state.config_progress.has_read = true;
    state.list_progress.has_read = true;
    for (n, zone) in peers {
        state.peers.insert(addr(*n), serving(zone));
    }
    state
}

/// A simulated platform that counts its calls and can fail in several ways.
#[derive(Clone, Default)]
pub struct Platform {
    pub config: Rc<Cell<Cursor>>,
    /// Teams of the configuration.
    pub teams: Rc<RefCell<team::Teams>>,
    /// Evacuated zones; [`Platform::config`] counts their changes too.
    pub evacuated: Rc<RefCell<Vec<place::Zone>>>,
    pub list: Rc<RefCell<Vec<place::Entry>>>,
    pub list_version: Rc<Cell<Cursor>>,
    pub long_polls: Rc<Cell<u32>>,
    pub snapshots: Rc<Cell<u32>>,
    /// Part of these that read the configuration.
    pub config_snapshots: Rc<Cell<u32>>,
    /// Long polls see no changes, and connections time out.
    pub partitioned: Rc<Cell<bool>>,
    /// Accepts calls and responds to none of them.
    pub silent: Rc<Cell<bool>>,
    /// When incremented, all long polls in flight go silent for good, without an error.
    pub stalls: Rc<Cell<u32>>,
    /// When incremented, the connections of all long polls in flight end.
    pub closes: Rc<Cell<u32>>,
    /// Does not respond to requests for the list of upstreams.
    pub list_is_silent: Rc<Cell<bool>>,
    /// Rejects every call, and long polls in flight.
    pub rejects: Rc<Cell<bool>>,
}

impl Platform {
    fn batch(&self, topic: Topic) -> Batch {
        match topic {
            Topic::Config => {
                let newest = self.config.get();
                let evacuated = self.evacuated.borrow();
                let zones = evacuated
                    .iter()
                    .map(|zone| Event::Evacuation { zone: zone.clone(), is_evacuated: true });
                let mut table = table(newest, ClientLimits::default());
                table.teams = self.teams.borrow().clone();
                let table = Event::Config(table);
                Batch { events: [table].into_iter().chain(zones).collect(), cursor: newest, newest }
            }
            Topic::Upstreams => {
                let put = |entry: &place::Entry| Event::Upstream(place::Event::Put(entry.clone()));
                let events = self.list.borrow().iter().map(put).collect();
                Batch { events, cursor: self.list_version.get(), newest: self.list_version.get() }
            }
        }
    }
}

impl Source for Platform {
    async fn snapshot(&self, topic: Topic) -> Result<Batch, SourceError> {
        self.snapshots.set(self.snapshots.get() + 1);
        if topic == Topic::Config {
            self.config_snapshots.set(self.config_snapshots.get() + 1);
        }
        if self.silent.get() || (topic == Topic::Upstreams && self.list_is_silent.get()) {
            monoio::time::sleep(ms(1_000)).await;
            return Err(SourceError::Unavailable("timed out".into()));
        }
        if self.rejects.get() {
            return Err(SourceError::Unavailable("status 503".into()));
        }
        Ok(self.batch(topic))
    }

    async fn changes(
        &self,
        topic: Topic,
        cursor: Cursor,
        long_poll_timeout: Duration,
        grace: Duration,
    ) -> Result<Batch, SourceError> {
        self.long_polls.set(self.long_polls.get() + 1);
        let (started_at, stalls) = (Instant::now(), self.stalls.get());
        let closes = self.closes.get();
        let rejected = || Err(SourceError::Unavailable("status 503".into()));
        if self.rejects.get() {
            return rejected();
        }
        if topic == Topic::Upstreams && self.list_is_silent.get() {
            monoio::time::sleep(long_poll_timeout + grace).await;
            return Err(SourceError::Unavailable("timed out".into()));
        }
        loop {
            if self.stalls.get() > stalls {
                monoio::time::sleep(
                    (long_poll_timeout + grace).saturating_sub(started_at.elapsed()),
                )
                .await;
                return Err(SourceError::Unavailable("timed out".into()));
            }
            if self.closes.get() > closes {
                return Err(SourceError::ConnectionLost("connection closed".into()));
            }
            if self.rejects.get() {
                return rejected();
            }
            let batch = self.batch(topic);
            if batch.cursor > cursor && !self.partitioned.get() {
                return Ok(batch);
            }
            if started_at.elapsed() >= long_poll_timeout {
                return Ok(Batch { events: Vec::new(), cursor, newest: 0 });
            }
            monoio::time::sleep(ms(5)).await;
        }
    }

    async fn takes_connections(&self, timeout: Duration) -> bool {
        if self.partitioned.get() {
            monoio::time::sleep(timeout).await;
        }
        !self.partitioned.get()
    }
}

/// Starts a node that follows `platform`, with its relay; returns it and its peer address.
pub fn start(platform: &Platform) -> (Rc<Node>, SocketAddr) {
    start_with(platform, "127.0.0.1:0".parse().expect("an address"), |_| {})
}

/// Same as [`start`], at the given address and with changed settings.
pub fn start_with(
    platform: &Platform,
    at: SocketAddr,
    configure: impl FnOnce(&mut crate::Settings),
) -> (Rc<Node>, SocketAddr) {
    let listener = TcpListener::bind(at).expect("binds");
    let at = listener.local_addr().expect("bound");
    let mut settings = settings();
    settings.peer_addr = at;
    configure(&mut settings);
    let node = Rc::new(Node::new(Rc::new(RefCell::new(State::new(settings))), metrics()));
    for topic in [Topic::Config, Topic::Upstreams] {
        monoio::spawn(follow::run(platform.clone(), topic, node.clone()));
    }
    monoio::spawn(relay::serve(listener, node.clone()));
    monoio::spawn(relay::run(node.clone()));
    monoio::spawn(relay::watch_path(platform.clone(), node.clone()));
    (node, at)
}

pub fn platform() -> Platform {
    let platform = Platform::default();
    platform.config.set(7);
    platform.list_version.set(7);
    platform.list.borrow_mut().push(entry(1));
    platform
}

/// Returns an address that no other test listens on, also in another process: the loopback network
/// has addresses enough for each. All others use 127.0.0.1, where a released port may be assigned to
/// another test at once.
pub fn own_addr(n: u8) -> SocketAddr {
    const FIRST_PORT: u16 = 7_600;
    let [high, mid, low_a, low_b] = std::process::id().to_be_bytes();
    let port = FIRST_PORT + u16::from_be_bytes([high, mid]);
    SocketAddr::from(([127, low_a, low_b, n], port))
}

/// Waits until a node reads the platform through a peer.
pub async fn wait_until_subscribed(node: &Node) {
    let started_at = Instant::now();
    while node.state.borrow().reads_directly {
        assert!(started_at.elapsed() < ms(5_000), "never subscribed");
        monoio::time::sleep(ms(20)).await;
    }
}
