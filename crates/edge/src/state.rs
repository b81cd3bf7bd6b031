//! What one entry node currently believes.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::{Incarnation, RequestOutcome};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use route::{RouteName, ServiceName};
use serde::Serialize;
use smol_str::SmolStr;

use crate::follow::Topic;
use crate::history::Cursor;
use crate::Settings;

/// The state, shared by the tasks of the node's one thread.
pub type Shared = Rc<RefCell<State>>;

/// Part of the allowed ratio of second sends that a node uses. Each uses only what its own first
/// sends have earned it, so that nodes that start or stop midway through a window do not add up to
/// more, and what all have saved fits into the slack; the rest is for windows that begin between a
/// first send and what it earned.
const RETRY_RATIO_PART: f64 = 0.95;

/// The same where there are so many nodes that one second send saved by each is more than the slack.
const RETRY_RATIO_PART_LITTLE_SLACK: f64 = 0.8;

/// Added before percents are rounded down: 0.2 x 0.95 may be a little under 19.
const ROUNDING: f64 = 0.001;

/// Part of the fleet's slack that all nodes together use.
const RETRY_SLACK_PART: f64 = 0.5;

/// Most second sends that a node may save up.
const RETRY_BURST_MOST: f64 = 4.0;

/// For how long no hedge is sent after a second send that the budget did not allow. A request that
/// was refused by its upstream is lost without one; a hedged one is at worst late.
const HEDGES_YIELD_FOR: Duration = Duration::from_secs(1);

/// What is known of another entry node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its availability zone.
    pub zone: SmolStr,
    /// What membership believes of it.
    pub standing: wire::Standing,
    /// Newest change of the configuration that it has seen; 0 when it cannot serve yet.
    pub config_head: Cursor,
    /// Newest change of the list of upstreams that it has seen.
    pub list_head: Cursor,
    /// Whether it has told this node itself how much it has seen, since it started.
    pub heard: bool,
}

impl Peer {
    /// Returns true when it serves, or may: it lives and has not said that it holds nothing.
    ///
    /// In a fleet of hundreds that started a few seconds ago a node has heard of all others but from
    /// few of them. Taking only the latter for readers, each sees other readers: 126 of 312 nodes
    /// read the platform themselves 3.5 s after their start.
    pub fn may_serve(&self) -> bool {
        self.standing == wire::Standing::Alive && (self.config_head > 0 || !self.heard)
    }
}

/// A planned stop that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// When it was asked for.
    pub asked_at: Instant,
    /// When the process ends, whatever is still under way.
    pub ends_at: Instant,
}

impl Stopping {
    /// Returns true when a request that may take until `deadline` must not be taken on any more.
    ///
    /// A request that is cut when the process ends may have run, and its
    /// caller learns nothing; refused at once, it is served by another node.
    /// In the first half of the grace every request is taken on: callers
    /// still hold this node's address, and most requests take far less than
    /// their deadline.
    pub fn is_too_late(&self, deadline: Instant, now: Instant) -> bool {
        let half = self.asked_at + (self.ends_at - self.asked_at) / 2;
        now > half && deadline > self.ends_at
    }
}

/// How much of a topic's history a node has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Everything up to here was read.
    pub up_to: Cursor,
    /// The newest change among it.
    pub newest: Cursor,
    /// Whether anything was read at all: the history of an empty store ends at 0.
    pub read: bool,
    /// As of when that is everything.
    pub lease: lease::Lease,
}

/// Counters since start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counters {
    /// Requests received.
    pub requests: u64,
    /// Requests answered by an upstream.
    pub answered: u64,
    /// Requests refused because no upstream could serve them in time.
    pub refused: u64,
    /// Requests that may have run and got no answer.
    pub failed: u64,
    /// Requests whose caller left.
    pub abandoned: u64,
    /// Sends after the first of a request, hedges included.
    pub second_sends: u64,
    /// Second sends that the budget did not allow.
    pub second_sends_over_budget: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Probes sent.
    pub probes: u64,
    /// Connections opened to upstreams.
    pub connects: u64,
    /// Reads that the platform answered.
    pub reads: u64,
    /// Reads that the platform did not answer, or not soundly.
    pub reads_failed: u64,
    /// Sends to upstreams of another zone.
    pub far_sends: u64,
    /// Upstreams that were found to have ended under requests of this node.
    pub upstreams_ended: u64,
    /// Requests refused since they crash upstreams.
    pub refused_crashing: u64,
    /// Bytes of membership sent, headers of UDP not counted.
    pub membership_bytes: u64,
    /// Those of them that went to another zone.
    pub membership_far_bytes: u64,
    /// Bytes of configurations and lists passed on to peers, headers of TCP not counted.
    pub relay_bytes: u64,
    /// Those of them that went to another zone.
    pub relay_far_bytes: u64,
}

/// What is counted of the sends to one service.
struct Sends {
    /// First sends.
    rate: place::Rate,
    /// Second sends.
    budget: limit::RetryBudget,
    /// When there was none left for a request that had no send under way.
    short_at: Option<Instant>,
}

/// The entry node's beliefs.
pub struct State {
    /// What it was told at start.
    pub settings: Settings,
    /// The configuration in force; `None` before the first.
    pub table: Option<Rc<route::Table>>,
    /// When it was taken.
    pub table_since: Instant,
    /// Which upstreams there are.
    pub roster: place::Roster,
    /// Which availability zones are evacuated.
    pub evacuations: place::Evacuations,
    /// Upstreams by service, as they were found to be.
    pub pools: HashMap<ServiceName, place::Pool>,
    /// What each kind of request takes.
    pub works: place::WorkEstimates,
    /// Deadlines that callers state, by kind of request.
    pub attempts: place::RetryDetector,
    /// Upstreams that ended of late, and the requests that were under way there.
    pub ends: quarantine::CrashDetector,
    /// Requests that crash upstreams.
    pub quarantine: quarantine::Quarantine,
    /// What upstreams have stated about themselves.
    pub notices: notice::Backpressure,
    /// Second sends allowed, by service.
    sends: HashMap<ServiceName, Sends>,
    /// Configurations that may have no record yet.
    pub unrecorded: crate::record::Unrecorded,
    /// Whose turn it is at each split route.
    pub turns: HashMap<RouteName, route::WeightedRoundRobin>,
    /// How much of the configuration's history was seen.
    pub config_seen: Seen,
    /// How much of the list's history was seen.
    pub list_seen: Seen,
    /// How often this node has seen, of either topic, that the platform came back from an older copy:
    /// what was written there a moment before is gone.
    pub times_gone_back: u32,
    /// Other entry nodes.
    pub peers: BTreeMap<SocketAddr, Peer>,
    /// When the process started.
    pub started_at: Instant,
    /// Whether this node reads the platform itself, not through a peer.
    pub direct: bool,
    /// Whether the platform itself has told of the upstreams since this node reads it.
    pub list_is_own: bool,
    /// The peer that passes on what it reads, while there is one.
    pub reads_through: Option<SocketAddr>,
    /// Whether the platform took this node's newest connections.
    pub reaches_platform: bool,
    /// Set once the node is stopping.
    pub stopping: Option<Stopping>,
    /// Requests read and not answered yet.
    pub in_flight: u64,
    /// Randomness of all decisions.
    pub rng: SmallRng,
    /// Number of this life of the node, for choices that must differ between nodes.
    node_seed: u64,
    /// Counters since start.
    pub counters: Counters,
}

impl State {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(settings: Settings) -> State {
        let direct = !crate::readers::begins_with_seeds(&settings);
        let node_seed = rand::random();
        State {
            settings,
            table: None,
            table_since: Instant::now(),
            roster: place::Roster::default(),
            evacuations: place::Evacuations::default(),
            pools: HashMap::new(),
            works: place::WorkEstimates::default(),
            attempts: place::RetryDetector::default(),
            ends: quarantine::CrashDetector::default(),
            quarantine: quarantine::Quarantine::default(),
            notices: notice::Backpressure::with_node_seed(node_seed),
            sends: HashMap::new(),
            unrecorded: crate::record::Unrecorded::default(),
            turns: HashMap::new(),
            config_seen: Seen::default(),
            list_seen: Seen::default(),
            times_gone_back: 0,
            peers: BTreeMap::new(),
            started_at: Instant::now(),
            direct,
            list_is_own: false,
            reads_through: None,
            reaches_platform: true,
            stopping: None,
            in_flight: 0,
            rng: SmallRng::from_os_rng(),
            node_seed,
            counters: Counters::default(),
        }
    }

    /// Takes on what may change about the settings of a running process. Names and addresses may
    /// not: sockets are bound and peers know them.
    pub fn reload(&mut self, settings: Settings) {
        let own = &mut self.settings;
        own.seed_addrs = settings.seed_addrs;
        own.config_bound = settings.config_bound;
        own.list_bound = settings.list_bound;
        own.directory_ttl = settings.directory_ttl;
        own.stop_grace = settings.stop_grace;
        own.retry_ratio = settings.retry_ratio;
        own.retry_slack = settings.retry_slack;
        own.probes_per_upstream_s = settings.probes_per_upstream_s;
        own.cross_zone_cost_per_kib = settings.cross_zone_cost_per_kib;
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> route::Version {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns true when the node can serve callers and is not about to stop.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.roster.is_empty() && self.stopping.is_none()
    }

    /// Returns the number of entry nodes that are alive, this one included.
    pub fn fleet_size(&self) -> usize {
        1 + self.peers.values().filter(|p| p.standing <= wire::Standing::Suspect).count()
    }

    /// Returns how many entry nodes may send requests: those that are not heard from too, since they may
    /// only be cut off from this one. `None` while this node has just started and knows few of them.
    pub fn nodes_sending(&self, now: Instant) -> Option<usize> {
        let may_send = |peer: &&Peer| peer.standing != wire::Standing::Left;
        let sending = 1 + self.peers.values().filter(may_send).count();
        crate::readers::knows_peers(self, now).then_some(sending)
    }

    /// Returns what the cold upstreams of a service bear.
    pub fn warm_up(&self, service: &str, now: Instant) -> Option<place::WarmUp> {
        let service = self.table.as_ref()?.services.get(service)?;
        let (node_count, since) = (self.nodes_sending(now), self.started_at);
        service.warm_up_per_s.map(|requests_per_s| place::WarmUp {
            requests_per_s,
            node_count,
            since,
        })
    }

    /// Returns what was seen of a topic.
    pub fn seen_mut(&mut self, topic: Topic) -> &mut Seen {
        match topic {
            Topic::Config => &mut self.config_seen,
            Topic::Upstreams => &mut self.list_seen,
        }
    }

    /// Returns what was seen of a topic.
    pub fn seen(&self, topic: Topic) -> &Seen {
        match topic {
            Topic::Config => &self.config_seen,
            Topic::Upstreams => &self.list_seen,
        }
    }

    /// Returns the time within which changes of a topic must be in force.
    pub fn bound(&self, topic: Topic) -> lease::StalenessBound {
        match topic {
            Topic::Config => self.settings.config_bound,
            Topic::Upstreams => self.settings.list_bound,
        }
    }

    /// Returns true while what was read of a topic may be relied on.
    pub fn is_sure(&self, topic: Topic, now: Instant) -> bool {
        self.seen(topic).lease.is_valid(self.bound(topic), now)
    }

    /// Returns true while what was read of both topics may be relied on.
    pub fn is_sure_of_all(&self, now: Instant) -> bool {
        [Topic::Config, Topic::Upstreams].into_iter().all(|topic| self.is_sure(topic, now))
    }

    /// Returns true when both topics were read from the platform or a peer.
    pub fn is_in_step(&self) -> bool {
        self.config_seen.read && self.list_seen.read
    }

    /// Returns true when a peer has seen changes of a topic that this node has not.
    pub fn is_behind(&self, topic: Topic) -> bool {
        let (up_to, head): (Cursor, fn(&Peer) -> Cursor) = match topic {
            Topic::Config => (self.config_seen.up_to, |peer| peer.config_head),
            Topic::Upstreams => (self.list_seen.up_to, |peer| peer.list_head),
        };
        self.peers.values().any(|peer| head(peer) > up_to)
    }

    /// Puts `table` in force; false when it is not newer than the one held.
    ///
    /// Never goes back: a late answer or a lagging peer must not undo a
    /// version that callers have already seen the effect of.
    pub fn apply_table(&mut self, table: route::Table) -> bool {
        if self.table.is_some() && table.version <= self.config_version() {
            return false;
        }
        // What is kept by route would pile up with routes that come and go.
        let names: HashSet<&RouteName> = table.route_names().collect();
        self.turns.retain(|name, _| names.contains(name));
        let known = |name: &str| names.contains(&RouteName::from(name));
        self.works.retain(known);
        self.attempts.retain(known);
        let table = Rc::new(table);
        let before = self.table.replace(table.clone());
        self.table_since = Instant::now();
        self.unrecorded.push(before, table);
        true
    }

    /// Takes what follows from a change of the roster to the pools; true when the pool had the
    /// upstream before.
    pub fn apply_change(&mut self, change: &place::Change, now: Instant) -> bool {
        let (service, upstream) = match change {
            place::Change::Put(entry) => (&entry.service, entry.incarnation()),
            place::Change::Drop { service, upstream, .. } => (service, upstream.clone()),
        };
        let known = self.pools.get(service).is_some_and(|pool| pool.position(&upstream).is_some());
        match change {
            place::Change::Put(entry) => {
                // Nodes near to it come before others.
                self.notices.nodes_changed();
                let (seed, zones) = (self.node_seed, self.evacuations.zones());
                let new_pool = || {
                    let mut pool = place::Pool::with_node_seed(seed);
                    pool.set_evacuated_zones(zones, now);
                    pool
                };
                self.pools.entry(service.clone()).or_insert_with(new_pool).put(entry, now);
            }
            place::Change::Drop { .. } => {
                if let Some(pool) = self.pools.get_mut(service) {
                    pool.remove(&upstream);
                }
            }
        }
        known
    }

    /// Takes which zones are evacuated by `change`; returns those for which that is news, and whether
    /// each is evacuated now.
    pub fn change_evacuations(
        &mut self,
        change: impl FnOnce(&mut place::Evacuations),
    ) -> Vec<(place::Zone, bool)> {
        let before = self.evacuations.zones().clone();
        change(&mut self.evacuations);
        let now = self.evacuations.zones();
        let news = before.symmetric_difference(now).map(|zone| (zone.clone(), now.contains(zone)));
        let news: Vec<(place::Zone, bool)> = news.collect();
        if !news.is_empty() {
            let (zones, now) = (self.evacuations.zones(), Instant::now());
            self.pools.values_mut().for_each(|pool| pool.set_evacuated_zones(zones, now));
        }
        news
    }

    /// Counts the first send of a request to `service`.
    pub fn first_send(&mut self, service: &ServiceName) {
        let part = match self.fleet_size() as f64 <= self.settings.retry_slack {
            true => RETRY_RATIO_PART,
            false => RETRY_RATIO_PART_LITTLE_SLACK,
        };
        // Whole percents, rounded down: up, the part that is left out would be used too.
        let percent = self.settings.retry_ratio * part * 100.0 + ROUNDING;
        let sends = self.sends(service);
        sends.budget.deposit(percent as u64);
        sends.rate.count(Instant::now());
    }

    /// Returns how many requests this node sends to a service for the first time, a second.
    pub fn first_sends_per_s(&self, service: &ServiceName, now: Instant) -> f64 {
        self.sends.get(service).map_or(0.0, |sends| sends.rate.per_s(now))
    }

    /// Takes one second send out of the budget; false when none is left.
    pub fn second_send(&mut self, service: &ServiceName) -> bool {
        let sends = self.sends(service);
        let allowed = sends.budget.try_withdraw();
        if !allowed {
            sends.short_at = Some(Instant::now());
        }
        match allowed {
            true => self.counters.second_sends += 1,
            false => self.counters.second_sends_over_budget += 1,
        }
        allowed
    }

    /// Takes one second send for a hedge out of the budget; false when none is left, or a moment ago
    /// there was none for a request that had no send under way any more.
    pub fn hedge(&mut self, service: &ServiceName) -> bool {
        let sends = self.sends(service);
        let was_short = sends.short_at.is_some_and(|at| at.elapsed() < HEDGES_YIELD_FOR);
        let allowed = !was_short && sends.budget.try_withdraw();
        if allowed {
            self.counters.second_sends += 1;
            self.counters.hedges += 1;
        }
        allowed
    }

    fn sends(&mut self, service: &ServiceName) -> &mut Sends {
        let share = self.settings.retry_slack * RETRY_SLACK_PART / self.fleet_size() as f64;
        let burst = share.clamp(1.0, RETRY_BURST_MOST);
        // A node begins with none: what each of a fleet that is restarted began with would come on
        // top of what the fleet had saved before.
        let fresh = || Sends {
            rate: place::Rate::default(),
            budget: limit::RetryBudget::with_burst(0.0),
            short_at: None,
        };
        let sends = self.sends.entry(service.clone()).or_insert_with(fresh);
        sends.budget.set_burst(burst);
        sends
    }
}

/// A request counted as outstanding at an upstream until it is ended or dropped.
///
/// A hedged request whose other send was quicker is dropped midway; a count
/// that never came down would keep its upstream from being chosen.
pub struct Outstanding {
    state: Shared,
    service: ServiceName,
    upstream: Incarnation,
    end: RequestOutcome,
}

impl Outstanding {
    /// Counts a request as sent.
    pub fn start(state: &Shared, service: &ServiceName, upstream: &Incarnation) -> Outstanding {
        if let Some(pool) = state.borrow_mut().pools.get_mut(service) {
            pool.record_sent(upstream);
        }
        let (service, upstream) = (service.clone(), upstream.clone());
        Outstanding { state: state.clone(), service, upstream, end: RequestOutcome::Cancelled }
    }

    /// Records how it ended.
    pub fn end(mut self, end: RequestOutcome) {
        self.end = end;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        if let Some(pool) = self.state.borrow_mut().pools.get_mut(&self.service) {
            pool.record_outcome(&self.upstream, self.end, Instant::now());
        }
    }
}
