//! The state of one entry node.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use limit::Stopping;
use place::{Incarnation, RequestOutcome};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use route::{RouteName, ServiceName};
use serde::Serialize;
use smol_str::SmolStr;

use crate::follow::Topic;
use crate::history::Cursor;
use crate::{as_ms, Settings};

/// The state, shared by the tasks of the node's single thread.
pub type SharedState = Rc<RefCell<State>>;

/// Fraction of the allowed ratio of second sends that a node uses.
///
/// A node spends only what its own first sends have deposited. Nodes that start or stop midway
/// through a window therefore do not add up to more than the ratio, and the balances of all nodes
/// fit into the slack. The remainder covers windows that begin between a first send and the second
/// send that it paid for.
const RETRY_RATIO_FACTOR: f64 = 0.95;

/// Replaces [`RETRY_RATIO_FACTOR`] when there are more nodes than the slack has second sends, so
/// that a balance of one at each node exceeds the slack.
const RETRY_RATIO_FACTOR_LOW_SLACK: f64 = 0.8;

/// Added before a percentage is rounded down: 0.2 x 0.95 may come out slightly below 19 %.
const PERCENT_EPSILON: f64 = 0.001;

/// Fraction of the fleet's slack that all nodes together use.
const RETRY_SLACK_FACTOR: f64 = 0.5;

/// Maximum balance of a node's retry budget, in second sends.
const MAX_RETRY_BURST: f64 = 4.0;

/// Time without hedges after the budget rejected a second send. A request that its upstream refused
/// fails without a second send, whereas a request without a hedge is at worst late.
const HEDGE_BACKOFF: Duration = Duration::from_secs(1);

/// Another entry node, as this node knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its state according to the membership protocol.
    pub standing: wire::Standing,
    /// Newest change of the configuration that it has read; 0 while it cannot serve yet.
    pub config_head: Cursor,
    /// Newest change of the list of upstreams that it has read.
    pub list_head: Cursor,
    /// Whether the peer itself has sent its heads to this node since the peer started.
    pub heads_received: bool,
    /// When the peer's newest membership packet was received.
    pub heard_at: Option<Instant>,
}

impl Peer {
    /// Returns the newest change of a topic that it has read.
    pub fn head(&self, topic: Topic) -> Cursor {
        match topic {
            Topic::Config => self.config_head,
            Topic::Upstreams => self.list_head,
        }
    }

    /// Returns true when the peer serves or may serve: it is alive and has not reported that it has
    /// no configuration.
    ///
    /// A few seconds after the start of a fleet of hundreds, a node knows all peers but has
    /// received messages from few of them. If only those counted, each node would choose different
    /// readers: 126 of 312 nodes read the platform themselves 3.5 s after their start.
    pub fn may_serve(&self) -> bool {
        self.standing == wire::Standing::Alive && (self.config_head > 0 || !self.heads_received)
    }
}

/// How far a node has read a topic's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadProgress {
    /// The node has read everything up to this cursor.
    pub up_to: Cursor,
    /// The newest change that was read.
    pub newest: Cursor,
    /// Whether any read has completed: the history of an empty store ends at 0.
    pub has_read: bool,
    /// When the node last knew that there was nothing newer.
    pub lease: lease::Lease,
    /// How the latest attempts to read the platform ended.
    pub reads: lease::Reads,
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
    /// Requests that waited at the node for an upstream.
    pub waited: u64,
    /// Part of `refused` that was refused because the response would have been too late.
    pub refused_too_late: u64,
    /// Requests that may have run and got no response.
    pub failed: u64,
    /// Requests whose caller disconnected.
    pub abandoned: u64,
    /// Second sends: every send of a request after its first, hedges included.
    pub second_sends: u64,
    /// Second sends that the retry budget rejected.
    pub second_sends_over_budget: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Sends that their upstream neither held nor answered.
    pub vanished: u64,
    /// Requests sent through a peer, as this node reached no upstream.
    pub sent_via_peers: u64,
    /// Requests of peers that this node took.
    pub offers_accepted: u64,
    /// Requests of peers that this node declined.
    pub offers_declined: u64,
    /// Requests of peers with an older configuration that this node did not take.
    pub offers_outdated: u64,
    /// Newer configurations read from peers before requests were sent through them.
    pub caught_up: u64,
    /// Probes sent.
    pub probes: u64,
    /// Connections opened to upstreams.
    pub connects: u64,
    /// Reads that the platform answered.
    pub reads: u64,
    /// Reads that the platform did not answer, or answered with invalid data.
    pub reads_failed: u64,
    /// Sends to upstreams of another zone.
    pub far_sends: u64,
    /// Upstreams found to have crashed or stopped while they had requests of this node.
    pub upstreams_ended: u64,
    /// Requests refused because they crash upstreams.
    pub refused_crashing: u64,
    /// Requests handled while the lease on the configuration had expired.
    pub on_expired_config: u64,
    /// Requests refused because the configuration or the list of upstreams may be outdated.
    pub refused_outdated: u64,
    /// Requests refused because their key is unknown and the configuration may be outdated.
    pub refused_unknown_key: u64,
    /// Requests rejected because they have no key.
    pub unauthorized_no_key: u64,
    /// Requests rejected because they have more than one key, or one that cannot be read.
    pub unauthorized_malformed_key: u64,
    /// Requests rejected because no team has their key.
    pub unauthorized_unknown_key: u64,
    /// Requests refused because their team has used up its quota.
    pub over_quota: u64,
    /// Requests refused because no node that decides on their team's quota responded.
    pub quota_unknown: u64,
    /// Datagrams about quotas sent.
    pub quota_packets: u64,
    /// Bytes of these datagrams, without UDP headers.
    pub quota_bytes: u64,
    /// Requests refused because their bodies did not fit into memory.
    pub refused_bodies: u64,
    /// Most memory that was reserved for bodies at once, in bytes.
    pub body_bytes_peak: u64,
    /// Bytes of membership packets sent, without UDP headers.
    pub membership_bytes: u64,
    /// Part of `membership_bytes` sent to other zones.
    pub membership_far_bytes: u64,
    /// Bytes of configurations and lists relayed to peers, without TCP headers.
    pub relay_bytes: u64,
    /// Part of `relay_bytes` sent to other zones.
    pub relay_far_bytes: u64,
}

/// Rate and retry budget of the sends to one service.
struct Sends {
    /// Rate of first sends.
    rate: place::Rate,
    /// Budget for second sends.
    budget: limit::RetryBudget,
    /// When the budget last rejected a request that had no other send in flight.
    exhausted_at: Option<Instant>,
    /// Requests that wait for an upstream.
    wait_queue: place::WaitQueue,
}

/// The entry node's view of the platform, its peers and its upstreams.
pub struct State {
    /// Settings, from the start or the last reload.
    pub settings: Settings,
    /// The configuration in force; `None` before the first.
    pub table: Option<Rc<route::Table>>,
    /// When it was put in force.
    pub table_applied_at: Instant,
    /// The platform's list of upstreams.
    pub roster: place::Roster,
    /// Which availability zones are evacuated.
    pub evacuations: place::Evacuations,
    /// Upstreams by service, with their observed load and failures.
    pub pools: HashMap<ServiceName, place::Pool>,
    /// Estimated work and size per kind of request.
    pub work_estimates: place::WorkEstimates,
    /// Recognizes callers' retries by the deadlines that they state, per kind of request.
    pub retry_detector: place::RetryDetector,
    /// Recently ended upstreams and the requests that were in flight there.
    pub crash_detector: quarantine::CrashDetector,
    /// Requests that crashed upstreams.
    pub quarantine: quarantine::Quarantine,
    /// Limits, leaving and backoff that upstreams have stated.
    pub backpressure: notice::Backpressure,
    /// What this node reaches of the upstreams.
    pub paths: reach::Paths,
    /// What peers have said of their paths to the upstreams.
    pub peer_paths: reach::Peers,
    /// Send rates and retry budgets by service.
    sends: HashMap<ServiceName, Sends>,
    /// Configurations that may have no audit record yet.
    pub unrecorded: crate::record::Unrecorded,
    /// Choice of the next target, by route with several targets.
    pub round_robins: HashMap<RouteName, route::WeightedRoundRobin>,
    /// How far the configuration's history was read.
    pub config_progress: ReadProgress,
    /// How far the list's history was read.
    pub list_progress: ReadProgress,
    /// Requests handled since the lease on the configuration expired; 0 while it is valid.
    handled_since_expiry: u64,
    /// Part of these that were handled by a configuration older than its bound.
    handled_past_bound: u64,
    /// Number of store rollbacks detected in either topic. The platform was restored from an older
    /// copy each time, and its most recent writes were lost.
    pub store_rollbacks: u32,
    /// Other entry nodes.
    pub peers: BTreeMap<SocketAddr, Peer>,
    /// When the process started.
    pub started_at: Instant,
    /// Whether this node reads the platform itself, not through a peer.
    pub reads_directly: bool,
    /// Whether this node has read the list from the platform itself since it began to read
    /// directly.
    pub list_from_platform: bool,
    /// The peer that this node currently reads the platform through.
    pub relay_peer: Option<SocketAddr>,
    /// Whether the platform accepted this node's most recent connections.
    pub platform_reachable: bool,
    /// Set once the node is stopping.
    pub stopping: Option<Stopping>,
    /// Requests read from callers and not answered yet.
    pub in_flight: u64,
    /// Memory for the bodies of these requests.
    pub body_budget: crate::bodies::BodyBudget,
    /// Random number generator for all decisions.
    pub rng: SmallRng,
    /// Random number of this process, for choices that must differ between nodes.
    node_seed: u64,
    /// Counters since start.
    pub counters: Counters,
}

impl State {
    /// Creates the state of a node that has not read anything yet.
    pub fn new(settings: Settings) -> State {
        let reads_directly = !crate::readers::begins_with_seeds(&settings);
        let node_seed = rand::random();
        let body_budget = crate::bodies::BodyBudget::new(settings.capacity);
        State {
            body_budget,
            settings,
            table: None,
            table_applied_at: Instant::now(),
            roster: place::Roster::default(),
            evacuations: place::Evacuations::default(),
            pools: HashMap::new(),
            work_estimates: place::WorkEstimates::default(),
            retry_detector: place::RetryDetector::default(),
            crash_detector: quarantine::CrashDetector::default(),
            quarantine: quarantine::Quarantine::default(),
            backpressure: notice::Backpressure::with_node_seed(node_seed),
            paths: reach::Paths::default(),
            peer_paths: reach::Peers::default(),
            sends: HashMap::new(),
            unrecorded: crate::record::Unrecorded::default(),
            round_robins: HashMap::new(),
            config_progress: ReadProgress::default(),
            list_progress: ReadProgress::default(),
            handled_since_expiry: 0,
            handled_past_bound: 0,
            store_rollbacks: 0,
            peers: BTreeMap::new(),
            started_at: Instant::now(),
            reads_directly,
            list_from_platform: false,
            relay_peer: None,
            platform_reachable: true,
            stopping: None,
            in_flight: 0,
            rng: SmallRng::from_os_rng(),
            node_seed,
            counters: Counters::default(),
        }
    }

    /// Applies the settings that may change while the process runs. Names and the node's own
    /// addresses may not change: sockets are bound to them and peers know the node by them.
    pub(crate) fn reload(&mut self, settings: Settings) {
        let own = &mut self.settings;
        own.seed_addrs = settings.seed_addrs;
        own.config_bound = settings.config_bound;
        own.list_bound = settings.list_bound;
        own.directory_ttl = settings.directory_ttl;
        own.stop_grace = settings.stop_grace;
        own.retry_ratio = settings.retry_ratio;
        own.retry_slack = settings.retry_slack;
        own.quota_bounds = settings.quota_bounds;
        own.max_probes_per_upstream_per_s = settings.max_probes_per_upstream_per_s;
        own.cross_zone_cost_per_kib = settings.cross_zone_cost_per_kib;
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> route::Version {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the configuration that requests are handled by, to compare it to that of a peer.
    pub fn config_in_force(&self) -> lease::ConfigInForce {
        let ReadProgress { up_to, newest, .. } = self.config_progress;
        let position = lease::Position { up_to, newest };
        lease::ConfigInForce { version: self.config_version(), position }
    }

    /// Returns true when the node can serve callers and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.roster.is_empty() && self.stopping.is_none()
    }

    /// Returns true if the settings name other nodes as seeds.
    pub fn has_other_seeds(&self) -> bool {
        self.settings.seed_addrs.iter().any(|addr| *addr != self.settings.peer_addr)
    }

    /// Returns the number of entry nodes that are alive or suspect, this one included.
    pub fn fleet_size(&self) -> usize {
        1 + self.peers.values().filter(|p| p.standing <= wire::Standing::Suspect).count()
    }

    /// Returns how many entry nodes may be sending requests, this one included.
    ///
    /// Counts unreachable peers too: they may only be partitioned from this node. `None` while this
    /// node has just started and knows few of them.
    pub fn possible_sender_count(&self, now: Instant) -> Option<usize> {
        let may_send = |peer: &&Peer| peer.standing != wire::Standing::Left;
        let sending = 1 + self.peers.values().filter(may_send).count();
        crate::readers::knows_peers(self, now).then_some(sending)
    }

    /// Returns the rate that cold upstreams of a service can take; `None` if it has no such limit.
    pub fn warm_up(&self, service: &str, now: Instant) -> Option<place::WarmUp> {
        let service = self.table.as_ref()?.services.get(service)?;
        let (node_count, since) = (self.possible_sender_count(now), self.started_at);
        service.warm_up_per_s.map(|requests_per_s| place::WarmUp {
            requests_per_s,
            node_count,
            since,
        })
    }

    /// Returns how far a topic was read, for updates.
    pub fn progress_mut(&mut self, topic: Topic) -> &mut ReadProgress {
        match topic {
            Topic::Config => &mut self.config_progress,
            Topic::Upstreams => &mut self.list_progress,
        }
    }

    /// Returns how far a topic was read.
    pub fn progress(&self, topic: Topic) -> &ReadProgress {
        match topic {
            Topic::Config => &self.config_progress,
            Topic::Upstreams => &self.list_progress,
        }
    }

    /// Returns the time within which changes of a topic must be in force.
    pub fn staleness_bound(&self, topic: Topic) -> lease::StalenessBound {
        match topic {
            Topic::Config => self.settings.config_bound,
            Topic::Upstreams => self.settings.list_bound,
        }
    }

    /// Returns the time since the configuration was last known to be the newest.
    pub fn config_age_ms(&self, now: Instant) -> Option<u64> {
        self.config_progress.lease.age(now).map(as_ms)
    }

    /// Returns true while what was read of a topic is within its staleness bound.
    pub fn is_fresh(&self, topic: Topic, now: Instant) -> bool {
        self.progress(topic).lease.is_valid(self.staleness_bound(topic), now)
    }

    /// Returns true while what was read of both topics is within its staleness bound.
    pub fn is_all_fresh(&self, now: Instant) -> bool {
        Topic::ALL.into_iter().all(|topic| self.is_fresh(topic, now))
    }

    /// Records that everything of a topic up to `as_of` is known. Logs the end of a time in which the
    /// lease had expired.
    pub fn renew_lease(&mut self, topic: Topic, as_of: Instant, now: Instant) {
        let ReadProgress { lease: before, reads, .. } = *self.progress(topic);
        self.progress_mut(topic).lease.renew(as_of);
        let Some(age) = before.age(now) else { return };
        if before.is_valid(self.staleness_bound(topic), now) || !self.is_fresh(topic, now) {
            return;
        }
        let line = trace::Line::new("lease_renewed")
            .field("topic", topic.name())
            .field("age_ms", as_ms(age))
            .field(
                "from",
                self.relay_peer.map_or_else(|| "platform".to_owned(), |p| p.to_string()),
            );
        match topic {
            Topic::Config => line
                .field("requests", std::mem::take(&mut self.handled_since_expiry))
                .field("past_bound", std::mem::take(&mut self.handled_past_bound))
                .field("last_read", format!("{:?}", reads.last())),
            Topic::Upstreams => line,
        }
        .log();
    }

    /// Records that a request is handled by the current configuration.
    pub fn record_handled(&mut self, now: Instant) {
        self.counters.requests += 1;
        if self.table.is_some() && !self.is_fresh(Topic::Config, now) {
            self.counters.on_expired_config += 1;
            self.handled_since_expiry += 1;
            let age = self.config_progress.lease.age(now);
            let is_past_bound = age.is_some_and(|age| age >= self.settings.config_bound.duration());
            self.handled_past_bound += u64::from(is_past_bound);
            if is_past_bound && self.handled_past_bound == 1 {
                self.log_outdated_in_use(age);
            }
        }
    }

    /// Logs why the configuration is used beyond its bound, once until the lease is renewed.
    fn log_outdated_in_use(&self, age: Option<Duration>) {
        let reads = self.config_progress.reads;
        trace::Line::new("outdated_in_use")
            .field("config", self.config_version())
            .field("config_age_ms", age.map(as_ms))
            .field("last_read", format!("{:?}", reads.last()))
            .field("failed_reads", reads.failed_in_sequence())
            .field("is_behind", self.is_behind(Topic::Config))
            .log();
    }

    /// Returns true if requests may be handled by what was read of a topic.
    pub fn is_usable(&self, topic: Topic, now: Instant) -> bool {
        let ReadProgress { lease, reads, .. } = *self.progress(topic);
        let (age, bound) = (lease.age(now), self.staleness_bound(topic));
        // Looks at all peers, which requests on recent data are spared.
        let is_past_bound = age.is_some_and(|age| age >= bound.duration());
        let is_behind = is_past_bound && self.peers_ahead(topic, now).next().is_some();
        lease::Knowledge { age, bound, reads, is_behind }.is_usable()
    }

    /// Records that a membership packet of `peer` was received.
    pub fn record_heard_from(&mut self, peer: SocketAddr, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.heard_at = Some(now);
        }
    }

    /// Returns true when both topics were read, from the platform or from a peer.
    pub fn has_read_all_topics(&self) -> bool {
        self.config_progress.has_read && self.list_progress.has_read
    }

    /// Returns true when a peer has read changes of a topic that this node has not.
    pub fn is_behind(&self, topic: Topic) -> bool {
        let up_to = self.progress(topic).up_to;
        self.peers.values().any(|peer| peer.head(topic) > up_to)
    }

    /// Returns the peers that have read changes of a topic that this node has not, and were heard
    /// from within the topic's staleness bound. A partitioned node hears from none of them.
    pub fn peers_ahead(&self, topic: Topic, now: Instant) -> impl Iterator<Item = SocketAddr> + '_ {
        let (up_to, within) = (self.progress(topic).up_to, self.staleness_bound(topic).duration());
        let is_ahead = move |peer: &Peer| {
            let heard_ago = peer.heard_at.map(|at| now.saturating_duration_since(at));
            peer.head(topic) > up_to && heard_ago.is_some_and(|ago| ago <= within)
        };
        self.peers.iter().filter(move |(_, peer)| is_ahead(peer)).map(|(addr, _)| *addr)
    }

    /// Puts `table` in force; returns false when it is not newer than the current one.
    ///
    /// The version never decreases: a late response or a lagging peer must not undo a version whose
    /// effect callers have already seen.
    pub fn apply_table(&mut self, table: route::Table) -> bool {
        if self.table.is_some() && table.version <= self.config_version() {
            return false;
        }
        // Without this, state kept by route name grows as routes come and go.
        let names: HashSet<&RouteName> = table.route_names().collect();
        self.round_robins.retain(|name, _| names.contains(name));
        let known = |name: &str| names.contains(&RouteName::from(name));
        self.work_estimates.retain(known);
        self.retry_detector.retain(known);
        let table = Rc::new(table);
        let before = self.table.replace(table.clone());
        self.table_applied_at = Instant::now();
        self.unrecorded.push(before, table);
        true
    }

    /// Applies a change of the roster to the pools; returns true when the pool already had the
    /// upstream.
    pub fn apply_change(&mut self, change: &place::Change, now: Instant) -> bool {
        let (service, upstream) = match change {
            place::Change::Put(entry) => (&entry.service, entry.incarnation()),
            place::Change::Drop { service, upstream, .. } => (service, upstream.clone()),
        };
        let known = self.pools.get(service).is_some_and(|pool| pool.position(&upstream).is_some());
        match change {
            place::Change::Put(entry) => {
                // A limit is shared among the nodes nearest to the upstream first.
                self.backpressure.nodes_changed();
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

    /// Applies `change` to the evacuations; returns the zones whose evacuation began or ended, each
    /// with whether it is evacuated now.
    pub fn update_evacuations(
        &mut self,
        change: impl FnOnce(&mut place::Evacuations),
    ) -> Vec<(place::Zone, bool)> {
        let before = self.evacuations.zones().clone();
        change(&mut self.evacuations);
        let now = self.evacuations.zones();
        let changed =
            before.symmetric_difference(now).map(|zone| (zone.clone(), now.contains(zone)));
        let changed: Vec<(place::Zone, bool)> = changed.collect();
        if !changed.is_empty() {
            let (zones, now) = (self.evacuations.zones(), Instant::now());
            self.pools.values_mut().for_each(|pool| pool.set_evacuated_zones(zones, now));
        }
        changed
    }

    /// Records the first send of a request to `service`, which deposits into its retry budget.
    pub fn record_first_send(&mut self, service: &ServiceName) {
        let factor = match self.fleet_size() as f64 <= self.settings.retry_slack {
            true => RETRY_RATIO_FACTOR,
            false => RETRY_RATIO_FACTOR_LOW_SLACK,
        };
        // Rounded down to a whole percentage: rounding up would use up the reserve.
        let percent = self.settings.retry_ratio * factor * 100.0 + PERCENT_EPSILON;
        let sends = self.sends(service);
        sends.budget.deposit(percent as u64);
        sends.rate.count(Instant::now());
    }

    /// Returns this node's rate of first sends to a service, per second.
    pub fn first_sends_per_s(&self, service: &ServiceName, now: Instant) -> f64 {
        self.sends.get(service).map_or(0.0, |sends| sends.rate.per_s(now))
    }

    /// Withdraws one second send from the service's retry budget; returns false when it is
    /// exhausted.
    pub fn try_second_send(&mut self, service: &ServiceName) -> bool {
        let sends = self.sends(service);
        let allowed = sends.budget.try_withdraw();
        if !allowed {
            sends.exhausted_at = Some(Instant::now());
        }
        match allowed {
            true => self.counters.second_sends += 1,
            false => self.counters.second_sends_over_budget += 1,
        }
        allowed
    }

    /// Withdraws one hedge from the service's retry budget; returns false when it is exhausted, or
    /// has recently rejected a request that had no other send in flight.
    pub fn try_hedge(&mut self, service: &ServiceName) -> bool {
        let sends = self.sends(service);
        let was_exhausted = sends.exhausted_at.is_some_and(|at| at.elapsed() < HEDGE_BACKOFF);
        let allowed = !was_exhausted && sends.budget.try_withdraw();
        if allowed {
            self.counters.second_sends += 1;
            self.counters.hedges += 1;
        }
        allowed
    }

    /// Returns the requests that wait for an upstream of a service.
    pub fn wait_queue(&mut self, service: &ServiceName) -> &mut place::WaitQueue {
        &mut self.sends(service).wait_queue
    }

    /// Returns the number of requests that wait for an upstream.
    pub fn waiting_count(&self) -> usize {
        self.sends.values().map(|sends| sends.wait_queue.len()).sum()
    }

    fn sends(&mut self, service: &ServiceName) -> &mut Sends {
        let share = self.settings.retry_slack * RETRY_SLACK_FACTOR / self.fleet_size() as f64;
        let burst = share.clamp(1.0, MAX_RETRY_BURST);
        // A node starts with an empty budget: in a restarted fleet, initial balances would add to
        // what the nodes had saved before the restart.
        let new_sends = || Sends {
            rate: place::Rate::default(),
            budget: limit::RetryBudget::with_burst(0.0),
            exhausted_at: None,
            wait_queue: place::WaitQueue::default(),
        };
        let sends = self.sends.entry(service.clone()).or_insert_with(new_sends);
        sends.budget.set_burst(burst);
        sends
    }
}

/// A request counted as outstanding at an upstream until it finishes or this guard is dropped.
///
/// When one send of a hedged request finishes first, the other is dropped before its end. A count
/// that was never decremented would keep its upstream from being chosen.
pub struct Outstanding {
    state: SharedState,
    service: ServiceName,
    upstream: Incarnation,
    outcome: RequestOutcome,
}

impl Outstanding {
    /// Counts a request as sent to `upstream`.
    pub fn start(
        state: &SharedState,
        service: &ServiceName,
        upstream: &Incarnation,
    ) -> Outstanding {
        if let Some(pool) = state.borrow_mut().pools.get_mut(service) {
            pool.record_sent(upstream);
        }
        let (service, upstream) = (service.clone(), upstream.clone());
        Outstanding { state: state.clone(), service, upstream, outcome: RequestOutcome::Cancelled }
    }

    /// Records the outcome of the request; without it the request counts as cancelled.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        if let Some(pool) = self.state.borrow_mut().pools.get_mut(&self.service) {
            pool.record_outcome(&self.upstream, self.outcome, Instant::now());
        }
    }
}
