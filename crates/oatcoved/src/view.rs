//! What one entry node currently believes: templates, upstream pools, peers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;
use store::proto;

/// Counters of one entry node since start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Calls received for a service.
    pub calls: u64,
    /// Calls answered by an upstream.
    pub done: u64,
    /// Calls answered `not-run`.
    pub not_run: u64,
    /// Calls answered `unknown`.
    pub unknown: u64,
    /// Calls refused by this node itself because it is full.
    pub shed: u64,
    /// Attempts after the first, hedges included.
    pub retries: u64,
    /// Attempts after the first that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Config rows applied.
    pub config_applied: u64,
    /// Config rows ignored because they were not newer than what is held.
    pub config_stale_ignored: u64,
    /// Config or VM-list reads answered by a peer while the platform did not answer.
    pub relayed_reads: u64,
    /// Probes sent to upstreams.
    pub probes_sent: u64,
    /// Membership packets sent to peers.
    pub peer_packets_sent: u64,
    /// Bytes of membership packets sent.
    pub peer_bytes_sent: u64,
    /// Bytes of membership packets received.
    pub peer_bytes_received: u64,
    /// Datagrams refused because they could not be read.
    pub peer_packets_refused: u64,
    /// Upstreams that were found to have ended under calls of this node.
    pub upstreams_ended: u64,
    /// Calls refused since they crash upstreams.
    pub refused_crashing: u64,
}

/// What is known of another entry node.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its availability zone.
    pub zone: SmolStr,
    /// What membership believes of it; `None` before it was heard of.
    pub standing: Option<wire::Standing>,
    /// Highest commit of the config it holds.
    pub config_head: proto::Version,
}

/// Why an entry node works alone although it should not: what others find out does not reach it, and
/// what it may send or probe is dealt out to it alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// The platform's VM list does not name it: no peer looks for it.
    NotListed,
    /// The list names others, and none of them is known to live.
    NoPeers,
}

/// One template as held, with the table version it came from.
#[derive(Clone, Debug)]
pub struct Held {
    /// Version of the template row.
    pub version: proto::Version,
    /// The row as read, passed on to peers that cannot reach the platform.
    pub row: proto::Row,
    /// The checked template.
    pub template: Rc<config::Template>,
}

/// The entry node's state, owned by its one thread.
pub struct View {
    /// This node's settings.
    pub settings: config::NodeSettings,
    /// Templates by service.
    pub templates: HashMap<SmolStr, Held>,
    /// Highest table commit whose template rows have all been read.
    pub config_head: proto::Version,
    /// Upstream pools by service.
    pub pools: HashMap<SmolStr, balance::Pool>,
    /// Live entry VMs, from the VM list.
    pub entries: Vec<proto::Vm>,
    /// The VM list as held, by address.
    pub vms: BTreeMap<SocketAddr, proto::Vm>,
    /// Version of the newest VM-list change held.
    pub vm_head: proto::Version,
    /// Drain rows by upstream address; see [`View::is_drained`].
    pub drains: BTreeMap<SocketAddr, (proto::Drain, proto::Row)>,
    /// Highest table commit whose drain and evacuation rows have all been read.
    pub drain_head: proto::Version,
    /// Evacuation rows by availability zone; see [`View::is_evacuated`].
    pub evacuations: BTreeMap<SmolStr, (proto::Evacuation, proto::Row)>,
    /// Other entry nodes, as membership knows them.
    pub peers: BTreeMap<SocketAddr, Peer>,
    /// Bad verdicts on upstreams, by upstream and watcher.
    pub reports: BTreeMap<SocketAddr, BTreeMap<SocketAddr, wire::Verdict>>,
    /// Upstreams that ended of late, and the calls that were under way there.
    pub ends: quarantine::CrashDetector,
    /// Calls that crash upstreams.
    pub quarantine: quarantine::Quarantine,
    /// What upstreams have stated about themselves.
    pub notices: notice::Backpressure,
    /// Calls being forwarded.
    pub in_flight: u64,
    /// Set once the node is stopping.
    pub stopping: bool,
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
            pools: HashMap::new(),
            entries: Vec::new(),
            vms: Default::default(),
            vm_head: 0,
            drains: Default::default(),
            drain_head: 0,
            evacuations: Default::default(),
            peers: Default::default(),
            reports: Default::default(),
            ends: Default::default(),
            quarantine: Default::default(),
            notices: notice::Backpressure::with_node_seed(rand::random()),
            in_flight: 0,
            stopping: false,
            counters: Counters::default(),
        }
    }
}

/// What `GET /v1/status` answers.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Node id.
    pub node_id: SmolStr,
    /// Zone of the node.
    pub zone: SmolStr,
    /// Highest commit of the config read.
    pub config_head: proto::Version,
    /// Template version per service.
    pub templates: HashMap<SmolStr, proto::Version>,
    /// Other entry nodes by address: what membership believes of them.
    pub peers: BTreeMap<SocketAddr, String>,
    /// Availability zones whose upstreams get no new calls, by an operator's word.
    pub evacuated: Vec<SmolStr>,
    /// Why the node works alone, if it does.
    pub isolation: Option<Isolation>,
    /// Calls being forwarded now.
    pub in_flight: u64,
    /// Upstreams per service: address, standing, outstanding calls, latency EWMA in ms.
    pub upstreams: HashMap<SmolStr, Vec<UpstreamStatus>>,
    /// What is known of calls that crashed upstreams, those that are held back first.
    pub crashing: Vec<quarantine::Finding>,
    /// Counters since start.
    pub counters: Counters,
}

/// One upstream in [`Status`].
#[derive(Debug, Serialize)]
pub struct UpstreamStatus {
    /// Address.
    pub addr: SocketAddr,
    /// Zone.
    pub zone: SmolStr,
    /// Whether it is leaving: by the VM list, a drain, an evacuation, or its own word.
    pub leaving: bool,
    /// Whether a watcher holds it to be failing.
    pub failing: bool,
    /// Calls outstanding from this node.
    pub outstanding: u32,
    /// Latency EWMA, in milliseconds.
    pub latency_ewma_ms: f64,
    /// What it has stated about itself; `None` when nothing stands.
    pub noted: Option<notice::BackpressureStatus>,
}

impl View {
    /// Returns the highest commit up to which every config table has been read.
    pub fn held_head(&self) -> proto::Version {
        self.config_head.min(self.drain_head)
    }

    /// Returns true while the upstreams of a zone are to get no new calls.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.get(zone).is_some_and(|(evacuation, _)| !evacuation.lifted)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &SmolStr> {
        self.evacuations.keys().filter(|zone| self.is_evacuated(zone))
    }

    /// Returns why this node works alone, if it does; `None` until the VM list was read.
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

    /// Returns true when an operator drained this very VM.
    ///
    /// A drain names the VM's id: an address can come back on a new VM, which
    /// must get work although its predecessor at the address was drained.
    pub fn is_drained(&self, vm: &proto::Vm) -> bool {
        self.drains.get(&vm.addr).is_some_and(|(drain, _)| drain.applies_to(vm))
    }

    /// Takes what `watcher` says of `upstream` and applies the worst that any watcher says.
    pub fn report(&mut self, upstream: SocketAddr, watcher: SocketAddr, verdict: wire::Verdict) {
        let by_watcher = self.reports.entry(upstream).or_default();
        match verdict {
            wire::Verdict::Healthy => by_watcher.remove(&watcher),
            bad => by_watcher.insert(watcher, bad),
        };
        if by_watcher.is_empty() {
            self.reports.remove(&upstream);
        }
        self.apply_report(upstream);
    }

    /// Drops what was said of `upstream`: another VM is at its address now.
    pub fn forget_reports(&mut self, upstream: SocketAddr) {
        if self.reports.remove(&upstream).is_some() {
            self.apply_report(upstream);
        }
    }

    /// Applies every report to the pools, after they were rebuilt.
    pub fn apply_reports(&mut self) {
        let reported: Vec<SocketAddr> = self.reports.keys().copied().collect();
        reported.into_iter().for_each(|upstream| self.apply_report(upstream));
    }

    fn apply_report(&mut self, upstream: SocketAddr) {
        let worst = self.reports.get(&upstream).and_then(|by| by.values().max());
        let report = match worst {
            Some(wire::Verdict::Draining) => balance::Health::Draining,
            Some(wire::Verdict::Failing) => balance::Health::Failing,
            Some(wire::Verdict::Healthy) | None => balance::Health::Healthy,
        };
        let service = self.vms.get(&upstream).map(|vm| vm.service.clone());
        if let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) {
            pool.set_health(upstream, report);
        }
    }

    /// Returns the node's status report.
    pub fn status(&self) -> Status {
        let now = Instant::now();
        let upstreams = self
            .pools
            .iter()
            .map(|(service, pool)| {
                let list = pool
                    .upstreams
                    .iter()
                    .map(|u| UpstreamStatus {
                        addr: u.addr,
                        zone: u.zone.clone(),
                        leaving: u.state == balance::UpstreamState::Leaving
                            || u.health == balance::Health::Draining
                            || self.notices.is_leaving(self.start_at(u.addr), now),
                        failing: u.health == balance::Health::Failing,
                        outstanding: u.outstanding,
                        latency_ewma_ms: u.latency_ewma_us / 1_000.0,
                        noted: self.notices.status(self.start_at(u.addr), now),
                    })
                    .collect();
                (service.clone(), list)
            })
            .collect();
        Status {
            node_id: self.settings.node_id.clone(),
            zone: self.settings.zone.clone(),
            config_head: self.config_head,
            templates: self.templates.iter().map(|(s, h)| (s.clone(), h.version)).collect(),
            peers: self
                .peers
                .iter()
                .map(|(addr, peer)| {
                    let standing = peer.standing.map_or("Unknown".to_owned(), |s| format!("{s:?}"));
                    (*addr, standing)
                })
                .collect(),
            evacuated: self.evacuated().cloned().collect(),
            isolation: self.isolation(),
            in_flight: self.in_flight,
            upstreams,
            crashing: self.quarantine.findings().into_iter().cloned().collect(),
            counters: self.counters.clone(),
        }
    }
}
