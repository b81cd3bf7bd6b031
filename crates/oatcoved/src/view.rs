//! The state of one entry node: templates, upstream pools and peers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use store::proto;

/// Time within which an accepted change of the config must be in force on every entry node.
const CONFIG_BOUND: Duration = Duration::from_secs(6);

/// Counters of one entry node since start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Calls received for a service.
    pub calls: u64,
    /// Calls to which an upstream responded.
    pub done: u64,
    /// Calls with outcome `not-run`.
    pub not_run: u64,
    /// Calls with outcome `unknown`.
    pub unknown: u64,
    /// Calls refused by this node because it was full.
    pub shed: u64,
    /// Attempts after the first, hedges included.
    pub retries: u64,
    /// Attempts after the first that the retry budget rejected.
    pub retries_over_budget: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Config rows applied.
    pub config_applied: u64,
    /// Config rows ignored because they were not newer than the loaded ones.
    pub config_stale_ignored: u64,
    /// Config and VM-list reads served by a peer while the platform was unreachable.
    pub relayed_reads: u64,
    /// Calls sent through a peer, as this node reached no upstream.
    pub sent_via_peers: u64,
    /// Calls of peers that this node declined.
    pub offers_declined: u64,
    /// Calls of peers with an older config that this node did not take.
    pub offers_outdated: u64,
    /// Newer configs read from peers before calls were sent through them.
    pub caught_up: u64,
    /// Probes sent to upstreams.
    pub probes_sent: u64,
    /// Membership packets sent to peers.
    pub peer_packets_sent: u64,
    /// Bytes of membership packets sent.
    pub peer_bytes_sent: u64,
    /// Bytes of membership packets received.
    pub peer_bytes_received: u64,
    /// Datagrams rejected because they could not be decoded.
    pub peer_packets_refused: u64,
    /// Upstreams found to have ended, by a crash or a stop, while they ran calls of this node.
    pub upstreams_ended: u64,
    /// Calls refused because they crash upstreams.
    pub refused_crashing: u64,
    /// Calls rejected because their caller has no valid key.
    pub unauthorized: u64,
    /// Calls refused because the config may be outdated.
    pub refused_outdated: u64,
    /// Calls refused because this node is stopping and would cut them.
    pub refused_stopping: u64,
}

/// Another entry node, as known from the membership.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Availability zone of the peer.
    pub zone: SmolStr,
    /// Standing in the membership; `None` until the membership has reported one.
    pub standing: Option<wire::Standing>,
    /// Highest config commit that the peer has.
    pub config_head: proto::Version,
    /// When the peer's newest membership packet was received.
    pub heard_at: Option<Instant>,
}

/// Why an entry node is isolated from its peers although it should not be. An isolated node does
/// not receive their findings, and computes its shares of limits and probes as if it were the only
/// node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// The platform's VM list does not contain this node, so no peer contacts it.
    NotListed,
    /// The list contains other entry nodes, but none of them is reachable.
    NoPeers,
}

/// A template in use, with the row that it was read from.
#[derive(Clone, Debug)]
pub struct LoadedTemplate {
    /// Version of the template row.
    pub version: proto::Version,
    /// The row as read, which is relayed to peers that cannot reach the platform.
    pub row: proto::Row,
    /// The parsed template.
    pub template: Rc<config::Template>,
}

/// The entry node's state, shared by the tasks of its single thread.
pub struct View {
    /// Settings of this node.
    pub settings: config::NodeSettings,
    /// Templates by service.
    pub templates: HashMap<SmolStr, LoadedTemplate>,
    /// Highest table commit whose template rows have all been read.
    pub config_head: proto::Version,
    /// When the config of this node was last known to be the newest.
    pub config_lease: lease::Lease,
    /// How the latest polls of the platform for config ended.
    pub config_polls: lease::Reads,
    /// Upstream pools by service.
    pub pools: HashMap<SmolStr, balance::Pool>,
    /// Live entry VMs of the VM list.
    pub entries: Vec<proto::Vm>,
    /// The VM list as last read, by address.
    pub vms: BTreeMap<SocketAddr, proto::Vm>,
    /// Version of the newest VM-list change that was applied.
    pub vm_head: proto::Version,
    /// Drain rows by upstream address; see [`View::is_drained`].
    pub drains: BTreeMap<SocketAddr, (proto::Drain, proto::Row)>,
    /// Highest table commit whose drain and evacuation rows have all been read.
    pub drain_head: proto::Version,
    /// Highest version of a drain or evacuation row that has been read.
    pub newest_drain: proto::Version,
    /// Evacuation rows by availability zone; see [`View::is_evacuated`].
    pub evacuations: BTreeMap<SmolStr, (proto::Evacuation, proto::Row)>,
    /// Other entry nodes, by address.
    pub peers: BTreeMap<SocketAddr, Peer>,
    /// Verdicts other than `Healthy`, by upstream and watcher.
    pub health_reports: BTreeMap<SocketAddr, BTreeMap<SocketAddr, wire::Verdict>>,
    /// Detects crashed upstreams from lost responses and refused connections.
    pub crash_detector: quarantine::CrashDetector,
    /// Calls suspected or known to crash upstreams.
    pub quarantine: quarantine::Quarantine,
    /// Limits, leaving and backoff that upstreams have stated.
    pub backpressure: notice::Backpressure,
    /// What this node reaches of the upstreams.
    pub paths: reach::Paths,
    /// What peers have said of their paths to the upstreams.
    pub peer_paths: reach::Peers,
    /// Calls in flight.
    pub in_flight: u64,
    /// Set once the node is stopping.
    pub stopping: Option<limit::Stopping>,
    /// Counters since start.
    pub counters: Counters,
}

impl View {
    /// Creates an empty view for a node with `settings`.
    pub fn new(settings: config::NodeSettings) -> View {
        View {
            settings,
            templates: HashMap::new(),
            config_head: 0,
            config_lease: lease::Lease::default(),
            config_polls: lease::Reads::default(),
            pools: HashMap::new(),
            entries: Vec::new(),
            vms: Default::default(),
            vm_head: 0,
            drains: Default::default(),
            drain_head: 0,
            newest_drain: 0,
            evacuations: Default::default(),
            peers: Default::default(),
            health_reports: Default::default(),
            crash_detector: Default::default(),
            quarantine: Default::default(),
            backpressure: notice::Backpressure::with_node_seed(rand::random()),
            paths: reach::Paths::default(),
            peer_paths: reach::Peers::default(),
            in_flight: 0,
            stopping: None,
            counters: Counters::default(),
        }
    }
}

/// Response body of `GET /v1/status`.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Node id.
    pub node_id: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Highest table commit whose template rows have all been read.
    pub config_head: proto::Version,
    /// Template version per service.
    pub templates: HashMap<SmolStr, proto::Version>,
    /// Standing of other entry nodes in the membership, by address.
    pub peers: BTreeMap<SocketAddr, String>,
    /// Availability zones that an operator has evacuated: their upstreams get no new calls.
    pub evacuated: Vec<SmolStr>,
    /// Why the node is isolated, if it is.
    pub isolation: Option<Isolation>,
    /// Time for which no upstream has responded to this node, in milliseconds; 0 while it reaches
    /// any.
    pub upstreams_unreachable_ms: u64,
    /// Calls in flight.
    pub in_flight: u64,
    /// Upstreams by service.
    pub upstreams: HashMap<SmolStr, Vec<UpstreamStatus>>,
    /// Findings on calls that crashed upstreams, quarantined calls first.
    pub crashing: Vec<quarantine::Finding>,
    /// Counters since start.
    pub counters: Counters,
}

/// One upstream in [`Status`].
#[derive(Debug, Serialize)]
pub struct UpstreamStatus {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: SmolStr,
    /// Whether it is leaving, according to the VM list, a drain, an evacuation, a watcher or the
    /// upstream itself.
    pub leaving: bool,
    /// Whether a watcher reports it as failing.
    pub failing: bool,
    /// Outstanding calls of this node.
    pub outstanding: u32,
    /// Latency EWMA, in milliseconds.
    pub latency_ewma_ms: f64,
    /// Backpressure in force; `None` if there is none.
    pub noted: Option<notice::BackpressureStatus>,
}

impl View {
    /// Returns the highest commit up to which every config table has been read.
    pub fn synced_head(&self) -> proto::Version {
        self.config_head.min(self.drain_head)
    }

    /// Returns the config that calls to `service` are handled by, to compare it to that of a peer: the
    /// version of its template, and how far drains and evacuations have been read.
    pub fn config_in_force(&self, service: &str) -> lease::ConfigInForce {
        let position = lease::Position { up_to: self.drain_head, newest: self.newest_drain };
        let version = self.templates.get(service).map_or(0, |loaded| loaded.version);
        lease::ConfigInForce { version, position }
    }

    /// Returns true if calls may be handled by the config of this node.
    pub fn is_config_usable(&self, now: Instant) -> bool {
        let bound = CONFIG_BOUND.max(2 * self.settings.config_poll_interval);
        let is_heard = |peer: &Peer| {
            peer.heard_at.is_some_and(|at| now.saturating_duration_since(at) <= bound)
        };
        let is_ahead = |peer: &Peer| peer.config_head > self.synced_head() && is_heard(peer);
        let knowledge = lease::Knowledge {
            age: self.config_lease.age(now),
            bound: lease::StalenessBound::new(bound),
            reads: self.config_polls,
            is_behind: self.peers.values().any(is_ahead),
        };
        knowledge.is_usable()
    }

    /// Returns true while an availability zone is evacuated: its upstreams get no new calls.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.get(zone).is_some_and(|(evacuation, _)| !evacuation.lifted)
    }

    /// Returns the evacuated availability zones.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &SmolStr> {
        self.evacuations.keys().filter(|zone| self.is_evacuated(zone))
    }

    /// Returns why this node is isolated; `None` if it is not, or if the VM list has not been read
    /// yet.
    pub fn isolation(&self) -> Option<Isolation> {
        let me = self.settings.listen_addr;
        let is_reachable =
            |peer: &Peer| peer.standing.is_some_and(|s| s <= wire::Standing::Suspect);
        match () {
            () if self.vm_head == 0 => None,
            () if !self.entries.iter().any(|vm| vm.addr == me) => Some(Isolation::NotListed),
            () if self.entries.len() > 1 && !self.peers.values().any(is_reachable) => {
                Some(Isolation::NoPeers)
            }
            () => None,
        }
    }

    /// Returns true if an operator has drained this VM.
    ///
    /// A drain names the VM's id, since an address can be reused by a new VM,
    /// which must get calls although its predecessor was drained.
    pub fn is_drained(&self, vm: &proto::Vm) -> bool {
        self.drains.get(&vm.addr).is_some_and(|(drain, _)| drain.applies_to(vm))
    }

    /// Records the verdict of `watcher` on `upstream` and applies the worst verdict of all
    /// watchers.
    pub fn record_health_report(
        &mut self,
        upstream: SocketAddr,
        watcher: SocketAddr,
        verdict: wire::Verdict,
    ) {
        let by_watcher = self.health_reports.entry(upstream).or_default();
        match verdict {
            wire::Verdict::Healthy => by_watcher.remove(&watcher),
            unhealthy => by_watcher.insert(watcher, unhealthy),
        };
        if by_watcher.is_empty() {
            self.health_reports.remove(&upstream);
        }
        self.apply_health_report(upstream);
    }

    /// Drops the health reports on `upstream`, for when another VM has taken over its address.
    pub fn clear_health_reports(&mut self, upstream: SocketAddr) {
        if self.health_reports.remove(&upstream).is_some() {
            self.apply_health_report(upstream);
        }
    }

    /// Applies all health reports to the pools, for when they have been rebuilt.
    pub fn apply_health_reports(&mut self) {
        let reported: Vec<SocketAddr> = self.health_reports.keys().copied().collect();
        reported.into_iter().for_each(|upstream| self.apply_health_report(upstream));
    }

    fn apply_health_report(&mut self, upstream: SocketAddr) {
        let worst =
            self.health_reports.get(&upstream).and_then(|by_watcher| by_watcher.values().max());
        let health = match worst {
            Some(wire::Verdict::Draining) => balance::Health::Draining,
            Some(wire::Verdict::Failing) => balance::Health::Failing,
            Some(wire::Verdict::Healthy) | None => balance::Health::Healthy,
        };
        let service = self.vms.get(&upstream).map(|vm| vm.service.clone());
        if let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) {
            pool.set_health(upstream, health);
        }
    }

    /// Returns the response body of `GET /v1/status`.
    pub fn status(&self) -> Status {
        let now = Instant::now();
        let upstreams = self
            .pools
            .iter()
            .map(|(service, pool)| {
                let statuses = pool
                    .upstreams
                    .iter()
                    .map(|u| UpstreamStatus {
                        addr: u.addr,
                        zone: u.zone.clone(),
                        leaving: u.state == balance::UpstreamState::Leaving
                            || u.health == balance::Health::Draining
                            || self.backpressure.is_leaving(self.start_at(u.addr), now),
                        failing: u.health == balance::Health::Failing,
                        outstanding: u.outstanding,
                        latency_ewma_ms: u.latency_ewma_us / 1_000.0,
                        noted: self.backpressure.status(self.start_at(u.addr), now),
                    })
                    .collect();
                (service.clone(), statuses)
            })
            .collect();
        Status {
            node_id: self.settings.node_id.clone(),
            zone: self.settings.zone.clone(),
            config_head: self.config_head,
            templates: self
                .templates
                .iter()
                .map(|(service, loaded)| (service.clone(), loaded.version))
                .collect(),
            peers: self
                .peers
                .iter()
                .map(|(addr, peer)| {
                    let standing = peer.standing.map_or("Unknown".to_owned(), |s| format!("{s:?}"));
                    (*addr, standing)
                })
                .collect(),
            evacuated: self.evacuated_zones().cloned().collect(),
            isolation: self.isolation(),
            upstreams_unreachable_ms: self
                .paths
                .unreachable_for(now)
                .map_or(0, |time| time.as_millis() as u64),
            in_flight: self.in_flight,
            upstreams,
            crashing: self.quarantine.findings().into_iter().cloned().collect(),
            counters: self.counters.clone(),
        }
    }
}
