//! The entry node where requests are routed by host and path.
//!
//! [`serve`] takes callers' requests and [`forward`] takes each to its answer,
//! by the decisions of the crates `route`, `place` and `limit`; [`exchange`]
//! sends one request to one upstream over a connection kept in [`conns`];
//! [`probe`] asks upstreams for their load just before a choice. [`follow`]
//! keeps the node's beliefs in step with the platform, whatever that platform
//! is: it is reached through the trait [`follow::Source`] only; most nodes read it
//! through a peer ([`readers`], [`relay`]). [`record`] keeps the
//! record of configurations, [`holds`] which requests are held back since they crash upstreams. [`gossip`] knows the other entry nodes, [`directory`] tells callers which of them to
//! use, [`status`] tells operators what the node believes, [`stop`] ends the process without cutting a request.
//!
//! All tasks run on one thread. What the request path reads is one
//! [`state::State`]; no borrow of it is held across an await.

pub mod conns;
pub mod directory;
pub mod exchange;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod history;
pub mod holds;
pub mod metrics;
pub mod probe;
pub mod readers;
pub mod record;
pub mod relay;
pub mod reply;
pub mod serve;
pub mod state;
pub mod status;
pub mod stop;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use http::HeaderName;
use place::Zone;
use route::Region;
use smol_str::SmolStr;

/// Names of the headers that the platform's callers and upstreams use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, echoed by upstreams.
    pub request_id: HeaderName,
    /// Time left for a request, in whole milliseconds.
    pub deadline_ms: HeaderName,
    /// Proof that an upstream made the answer.
    pub signature: HeaderName,
    /// The one upstream start that may run a request.
    pub expect_upstream: HeaderName,
    /// Present when an upstream did not run a request.
    pub not_run: HeaderName,
    /// Load of the upstream that answers.
    pub load: HeaderName,
    /// For how many milliseconds more the upstream that answers a probe is cold.
    pub cold_ms: HeaderName,
    /// What the upstream that answers states about itself.
    pub notices: notice::HeaderNames,
}

/// What one entry node is told at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node.
    pub node_id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Regions of the availability zones.
    pub regions: HashMap<Zone, Region>,
    /// Where callers connect.
    pub front_addr: SocketAddr,
    /// Where other entry nodes reach it; its identity among them.
    pub peer_addr: SocketAddr,
    /// Other entry nodes to begin with, which may be gone.
    pub seed_addrs: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with nothing to serve yet.
    pub first_start: bool,
    /// Names of headers.
    pub headers: HeaderNames,
    /// How upstreams are chosen.
    pub policy: place::Policy,
    /// Reads the load header of an upstream's answer.
    pub read_load: fn(&str) -> Option<place::Load>,
    /// Time within which a configuration that the platform took must be in force.
    pub config_bound: lease::StalenessBound,
    /// The same for what changes about upstreams.
    pub list_bound: lease::StalenessBound,
    /// How long callers may keep a directory answer.
    pub directory_ttl: Duration,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Second sends allowed per first send, over the whole fleet.
    pub retry_ratio: f64,
    /// Second sends allowed beyond that ratio, over the whole fleet, per window.
    pub retry_slack: f64,
    /// Probes per second that one upstream may get from the whole fleet.
    pub probes_per_upstream_s: f64,
    /// What it costs to send one KiB to another zone and back, as a share of a request's worth.
    pub cross_zone_cost_per_kib: f64,
}

impl Settings {
    /// Returns the availability zones whose upstreams may run requests with these homes; `None` where
    /// all may.
    fn home_zones(&self, homes: &[Region]) -> Option<BTreeSet<Zone>> {
        let in_homes = |(_, region): &(&Zone, &Region)| homes.contains(region);
        let zones = || self.regions.iter().filter(in_homes).map(|(zone, _)| zone.clone());
        (!homes.is_empty()).then(|| zones().collect())
    }
}

/// Returns the key of a start of an upstream.
fn start_of(upstream: &place::Incarnation) -> quarantine::Start {
    quarantine::Start::of(&upstream.id, upstream.born_ms)
}

/// Returns whole milliseconds, as logs and the status give times.
fn as_ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Returns the present by both clocks.
fn moment() -> notice::Moment {
    notice::Moment { at: Instant::now(), unix_ms: unix_ms() }
}

/// Returns the time of day.
fn unix_ms() -> quarantine::UnixMs {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

#[cfg(test)]
mod tests;
