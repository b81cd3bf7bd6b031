//! What one entry node currently believes: templates, upstream pools, peers.

use std::collections::HashMap;
use std::rc::Rc;

use platform::proto;
use serde::Serialize;
use smol_str::SmolStr;

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
    /// Attempts after the first.
    pub retries: u64,
    /// Config rows applied.
    pub config_applied: u64,
    /// Config rows ignored because they were not newer than what is held.
    pub config_stale_ignored: u64,
}

/// One template as held, with the table version it came from.
#[derive(Clone, Debug)]
pub struct Held {
    /// Version of the template row.
    pub version: proto::Version,
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
    pub vms: std::collections::BTreeMap<std::net::SocketAddr, proto::Vm>,
    /// Version of the newest VM-list change held.
    pub vm_head: proto::Version,
    /// Upstreams an operator drained; they stay leaving whatever the VM list says.
    pub drained: std::collections::BTreeSet<std::net::SocketAddr>,
    /// Highest table commit whose drain rows have all been read.
    pub drain_head: proto::Version,
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
            drained: Default::default(),
            drain_head: 0,
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
    /// Upstreams per service: address, standing, outstanding calls, latency EWMA in ms.
    pub upstreams: HashMap<SmolStr, Vec<UpstreamStatus>>,
    /// Counters since start.
    pub counters: Counters,
}

/// One upstream in [`Status`].
#[derive(Debug, Serialize)]
pub struct UpstreamStatus {
    /// Address.
    pub addr: std::net::SocketAddr,
    /// Zone.
    pub zone: SmolStr,
    /// `live` or `leaving`.
    pub leaving: bool,
    /// Calls outstanding from this node.
    pub outstanding: u32,
    /// Latency EWMA, in milliseconds.
    pub latency_ewma_ms: f64,
}

impl View {
    /// Returns the node's status report.
    pub fn status(&self) -> Status {
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
                        leaving: u.standing == balance::Standing::Leaving,
                        outstanding: u.outstanding,
                        latency_ewma_ms: u.latency_ewma_us / 1_000.0,
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
            upstreams,
            counters: self.counters.clone(),
        }
    }
}
