//! What one entry node believes, for an operator who asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;

use crate::history::Cursor;
use crate::state::{Counters, Peer, State};
use crate::{as_ms, start_of};

/// The beliefs of an entry node. Sizes grow with the number of upstreams: 0.2 kB for each.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Name of the node.
    pub node_id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Time since the process started.
    pub up_ms: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Version of the configuration in force; 0 before the first.
    pub config_version: route::Version,
    /// Newest change of the configuration that was seen.
    pub config_head: Cursor,
    /// Newest change of the list of upstreams that was seen.
    pub list_head: Cursor,
    /// How long ago the node knew everything about the configuration; `None` before that.
    pub config_age_ms: Option<u64>,
    /// The same for the list of upstreams.
    pub list_age_ms: Option<u64>,
    /// How it hears of changes.
    pub reads: Reads,
    /// For how long the platform has not answered this node.
    pub store_away_ms: u64,
    /// Requests read and not answered yet.
    pub in_flight: u64,
    /// Other entry nodes by address.
    pub peers: BTreeMap<SocketAddr, PeerStatus>,
    /// Availability zones whose upstreams get nothing, by an operator's word.
    pub evacuated: Vec<place::Zone>,
    /// Upstreams by service.
    pub upstreams: BTreeMap<SmolStr, Vec<UpstreamStatus>>,
    /// What is known of requests that crashed upstreams, those that are held back first.
    pub crashing: Vec<quarantine::Finding>,
    /// Counters since start.
    pub counters: Counters,
}

/// How a node hears of changes.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// It reads the platform itself.
    Platform,
    /// Through the peer with this address.
    Peer(SocketAddr),
    /// Not now: it looks for a peer.
    Nothing,
}

/// What is known of a peer.
#[derive(Debug, Serialize)]
pub struct PeerStatus {
    /// Its availability zone.
    pub zone: SmolStr,
    /// What membership believes of it.
    pub standing: String,
    /// Newest change of the configuration that it has seen; 0 when it does not serve.
    pub config_head: Cursor,
    /// Newest change of the list of upstreams that it has seen.
    pub list_head: Cursor,
}

/// What is known of an upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamStatus {
    /// Id.
    pub id: SmolStr,
    /// Unix time of its start in milliseconds; 0 when it does not say.
    pub born_ms: u64,
    /// Address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Requests of this node that are not answered yet.
    pub outstanding: u32,
    /// Whether failures keep requests from it now.
    pub ejected: bool,
    /// Its newest report; `None` before the first.
    pub report: Option<Report>,
    /// What it has stated about itself; `None` when nothing stands.
    pub noted: Option<notice::BackpressureStatus>,
}

/// What an upstream said of its load.
#[derive(Debug, Serialize)]
pub struct Report {
    /// How long ago.
    pub age_ms: u64,
    /// Requests it worked on.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests it can work on at once.
    pub slots: u32,
    /// How long work took, as a factor of the usual.
    pub slowness: f64,
}

impl Status {
    /// Returns what a node with this state believes.
    pub fn of(state: &State, now: Instant) -> Status {
        let settings = &state.settings;
        let peer = |(addr, peer): (&SocketAddr, &Peer)| (*addr, PeerStatus::of(peer));
        let upstreams = state.pools.iter().map(|(service, pool)| {
            let of_service =
                pool.upstreams().iter().map(|u| UpstreamStatus::of(u, &state.notices, now));
            (service.clone(), of_service.collect())
        });
        Status {
            node_id: settings.node_id.clone(),
            zone: settings.zone.clone(),
            up_ms: as_ms(now.saturating_duration_since(state.started_at)),
            ready: state.is_ready(),
            stopping: state.stopping.is_some(),
            config_version: state.config_version(),
            config_head: state.config_seen.newest,
            list_head: state.list_seen.newest,
            config_age_ms: state.config_seen.lease.age(now).map(as_ms),
            list_age_ms: state.list_seen.lease.age(now).map(as_ms),
            reads: match state.reads_through {
                _ if state.direct => Reads::Platform,
                Some(peer) => Reads::Peer(peer),
                None => Reads::Nothing,
            },
            store_away_ms: as_ms(state.roster.store_unreachable_for(now)),
            in_flight: state.in_flight,
            peers: state.peers.iter().map(peer).collect(),
            evacuated: state.evacuations.zones().iter().cloned().collect(),
            upstreams: upstreams.collect(),
            crashing: state.quarantine.findings().into_iter().cloned().collect(),
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
        notices: &notice::Backpressure,
        now: Instant,
    ) -> UpstreamStatus {
        let report = upstream.report(now).map(|(load, age)| Report {
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
            noted: notices.status(start_of(&upstream.incarnation), now),
        }
    }
}
