//! The status of one entry node, as operators query it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;

use crate::forward::Node;
use crate::history::Cursor;
use crate::state::{Counters, Peer, State};
use crate::{as_ms, quotas, start_of};

/// The state of an entry node. The encoded size grows by 0.2 kB per upstream.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Name of the node.
    pub node_id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Time since the process started.
    pub up_ms: u64,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Version of the configuration in force; 0 before the first.
    pub config_version: route::Version,
    /// Number of teams in the configuration; 0 if callers need no key.
    pub teams: usize,
    /// Number of keys of these teams.
    pub keys: usize,
    /// Newest change of the configuration that was read.
    pub config_head: Cursor,
    /// Newest change of the list of upstreams that was read.
    pub list_head: Cursor,
    /// Time since the node last knew that it had the newest configuration; `None` before that.
    pub config_age_ms: Option<u64>,
    /// Time since the node last knew that it had the newest list of upstreams; `None` before that.
    pub list_age_ms: Option<u64>,
    /// Where it reads changes from.
    pub reads: Reads,
    /// Time for which the platform has not answered this node; 0 while it answers.
    pub store_away_ms: u64,
    /// Time for which no upstream has responded to this node; 0 while it reaches any.
    pub upstreams_unreachable_ms: u64,
    /// Requests read from callers and not answered yet.
    pub in_flight: u64,
    /// Other entry nodes by address.
    pub peers: BTreeMap<SocketAddr, PeerStatus>,
    /// Availability zones that operators evacuated: their upstreams get no requests.
    pub evacuated: Vec<place::Zone>,
    /// Upstreams by service.
    pub upstreams: BTreeMap<SmolStr, Vec<UpstreamStatus>>,
    /// Findings on requests that crashed upstreams, quarantined ones first.
    pub crashing: Vec<quarantine::Finding>,
    /// The node's part in the quotas of teams.
    pub quotas: quotas::Status,
    /// Counters since start.
    pub counters: Counters,
}

/// Where a node reads changes from.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// From the platform itself.
    Platform,
    /// Through the peer with this address.
    Peer(SocketAddr),
    /// From nowhere: it is looking for a peer.
    Nothing,
}

/// The status of a peer.
#[derive(Debug, Serialize)]
pub struct PeerStatus {
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its state according to the membership protocol.
    pub standing: String,
    /// Newest change of the configuration that it has read; 0 while it does not serve.
    pub config_head: Cursor,
    /// Newest change of the list of upstreams that it has read.
    pub list_head: Cursor,
}

/// The status of an upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamStatus {
    /// Id in the platform's list.
    pub id: SmolStr,
    /// Unix time of its start in milliseconds; 0 when the platform does not give it.
    pub born_ms: u64,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Requests that this node has sent to it and that are not answered yet.
    pub outstanding: u32,
    /// Whether it is ejected because of failures.
    pub ejected: bool,
    /// Its latest load report; `None` before the first.
    pub report: Option<LoadReport>,
    /// The backpressure signals in force; `None` when there are none.
    pub noted: Option<notice::BackpressureStatus>,
}

/// The load that an upstream reported.
#[derive(Debug, Serialize)]
pub struct LoadReport {
    /// Age of the report.
    pub age_ms: u64,
    /// Requests that were running.
    pub running: u32,
    /// Requests that were waiting.
    pub waiting: u32,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Duration of work relative to its usual duration.
    pub slowness: f64,
}

impl Node {
    /// Returns the status of the node.
    pub fn status(&self, now: Instant) -> Status {
        Status { quotas: self.quotas.status(now), ..Status::of(&self.state.borrow(), now) }
    }
}

impl Status {
    /// Returns the status of a node with this state, without its part in quotas.
    pub fn of(state: &State, now: Instant) -> Status {
        let settings = &state.settings;
        let teams = state.table.as_ref().map(|table| &table.teams);
        let peer = |(addr, peer): (&SocketAddr, &Peer)| (*addr, PeerStatus::of(peer));
        let upstreams = state.pools.iter().map(|(service, pool)| {
            let service_upstreams =
                pool.upstreams().iter().map(|u| UpstreamStatus::of(u, &state.backpressure, now));
            (service.clone(), service_upstreams.collect())
        });
        Status {
            node_id: settings.node_id.clone(),
            zone: settings.zone.clone(),
            up_ms: as_ms(now.saturating_duration_since(state.started_at)),
            ready: state.is_ready(),
            stopping: state.stopping.is_some(),
            config_version: state.config_version(),
            teams: teams.map_or(0, |teams| teams.iter().len()),
            keys: teams.map_or(0, team::Teams::key_count),
            config_head: state.config_progress.newest,
            list_head: state.list_progress.newest,
            config_age_ms: state.config_age_ms(now),
            list_age_ms: state.list_progress.lease.age(now).map(as_ms),
            reads: match state.relay_peer {
                _ if state.reads_directly => Reads::Platform,
                Some(peer) => Reads::Peer(peer),
                None => Reads::Nothing,
            },
            store_away_ms: as_ms(state.roster.store_unreachable_for(now)),
            upstreams_unreachable_ms: as_ms(state.paths.unreachable_for(now).unwrap_or_default()),
            in_flight: state.in_flight,
            peers: state.peers.iter().map(peer).collect(),
            evacuated: state.evacuations.zones().iter().cloned().collect(),
            upstreams: upstreams.collect(),
            crashing: state.quarantine.findings().into_iter().cloned().collect(),
            quotas: quotas::Status::default(),
            counters: state.counters,
        }
    }
}

impl PeerStatus {
    fn of(peer: &Peer) -> PeerStatus {
        PeerStatus {
            zone: peer.zone.clone(),
            standing: format!("{:?}", peer.standing),
            config_head: peer.config_head,
            list_head: peer.list_head,
        }
    }
}

impl UpstreamStatus {
    fn of(
        upstream: &place::Upstream,
        backpressure: &notice::Backpressure,
        now: Instant,
    ) -> UpstreamStatus {
        let report = upstream.report(now).map(|(load, age)| LoadReport {
            age_ms: as_ms(age),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slowness: load.slowness,
        });
        UpstreamStatus {
            id: upstream.incarnation.id.clone(),
            born_ms: upstream.incarnation.born_ms,
            addr: upstream.addr,
            zone: upstream.zone.clone(),
            outstanding: upstream.outstanding,
            ejected: upstream.is_ejected(now),
            report,
            noted: backpressure.status(start_of(&upstream.incarnation), now),
        }
    }
}
