//! The entry node, which routes requests by host and path.
//!
//! - Requests: [`serve`] reads requests from callers and writes the responses, [`forward`] obtains
//!   the response to each request using the decisions of the crates `route`, `place` and `limit`,
//!   [`quotas`] obtains the tokens that teams' quotas require, and [`exchange`] sends one request to
//!   one upstream over a connection from the pool in [`conns`]. [`bodies`] bounds the memory that
//!   request bodies take. [`startup`] decides for how long requests wait for a node that has just
//!   started. [`probe`] queries upstreams for their load just before a choice. [`paths`] records
//!   whether the node reaches any upstream at all.
//! - Platform: [`follow`] keeps the node's state in sync with the platform, which it accesses only
//!   through the trait [`follow::Source`]. Most nodes read it through a peer ([`readers`],
//!   [`relay`]). [`record`] writes the audit record of configurations, and [`holds`] stores which
//!   requests are quarantined because they crash upstreams.
//! - Peers, callers and operators: [`gossip`] runs the membership of entry nodes, [`directory`]
//!   tells callers which nodes to use, and [`status`] shows the node's state to operators.
//! - Process: [`stop`] ends the process without cutting off requests, [`stalls`] logs when its
//!   event loop was late.
//!
//! All tasks run on one thread. The request path reads a single [`state::State`]; no borrow of it
//! is held across an await.

pub mod bodies;
pub mod conns;
pub mod directory;
pub mod exchange;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod history;
pub mod holds;
pub mod metrics;
mod paths;
pub mod probe;
pub mod quotas;
pub mod readers;
pub mod record;
pub mod registry;
pub mod relay;
pub mod reply;
pub mod serve;
mod silent_services;
mod stalls;
mod startup;
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
    /// Id of one attempt of a caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Time left for a request, in whole milliseconds.
    pub deadline_ms: HeaderName,
    /// Proves that an upstream produced the response.
    pub signature: HeaderName,
    /// The only upstream incarnation that may run a request.
    pub expect_upstream: HeaderName,
    /// Present when an upstream did not run a request.
    pub not_run: HeaderName,
    /// Load of the responding upstream.
    pub load: HeaderName,
    /// Remaining time for which the upstream responding to a probe is cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// Backpressure signals of the responding upstream.
    pub notices: notice::HeaderNames,
    /// Name of the team that a request belongs to. Only entry nodes set it.
    pub team: HeaderName,
}

/// What a node's machine can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Memory that the node may use, in bytes.
    pub memory_bytes: f64,
}

/// Settings of one entry node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node.
    pub node_id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Region of each availability zone.
    pub regions: HashMap<Zone, Region>,
    /// Address that callers connect to.
    pub front_addr: SocketAddr,
    /// Address that other entry nodes connect to; identifies the node among them.
    pub peer_addr: SocketAddr,
    /// Address where other entry nodes ask for tokens of teams' quotas: the port after that of
    /// `peer_addr`, at every node. `None` if that port may not be used.
    pub quota_addr: Option<SocketAddr>,
    /// How far teams may exceed their quotas.
    pub quota_bounds: quota::Bounds,
    /// Entry nodes to contact at start; they may no longer exist.
    pub seed_addrs: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with nothing to serve yet.
    pub bootstrap: bool,
    /// Header names of the platform.
    pub headers: HeaderNames,
    /// Policy for choosing upstreams.
    pub policy: place::Policy,
    /// Parses the load header of an upstream's response.
    pub parse_load: fn(&str) -> Option<place::Load>,
    /// Time within which a configuration that the platform accepted must be in force.
    pub config_bound: lease::StalenessBound,
    /// Time within which a change of the list of upstreams must be in force.
    pub list_bound: lease::StalenessBound,
    /// Time for which callers may cache a directory response.
    pub directory_ttl: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Second sends allowed per first send, across the whole fleet.
    pub retry_ratio: f64,
    /// Second sends allowed beyond that ratio per window, across the whole fleet.
    pub retry_slack: f64,
    /// Maximum rate of probes to one upstream from the whole fleet, per second.
    pub max_probes_per_upstream_per_s: f64,
    /// Cost of sending one KiB to another zone and back, as a share of the value of a request.
    pub cross_zone_cost_per_kib: f64,
    /// What the node's machine can take; `None` if that is not known.
    pub capacity: Option<Capacity>,
}

impl Settings {
    /// Returns the availability zones of the allowed regions; `None` if `allowed_regions` is empty,
    /// which allows all zones.
    fn allowed_zones(&self, allowed_regions: &[Region]) -> Option<BTreeSet<Zone>> {
        let is_allowed = |(_, region): &(&Zone, &Region)| allowed_regions.contains(region);
        let zones = || self.regions.iter().filter(is_allowed).map(|(zone, _)| zone.clone());
        (!allowed_regions.is_empty()).then(|| zones().collect())
    }
}

/// Returns the key of an upstream incarnation.
fn start_of(upstream: &place::Incarnation) -> quarantine::Start {
    quarantine::Start::of(&upstream.id, upstream.born_ms)
}

/// Returns a time in whole milliseconds, the unit of logs and the status.
fn as_ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Returns the current time of the monotonic clock and of the wall clock.
fn moment() -> notice::Moment {
    notice::Moment { at: Instant::now(), unix_ms: unix_ms() }
}

/// Returns the wall clock time in milliseconds since the Unix epoch; 0 if the clock is before it.
fn unix_ms() -> quarantine::UnixMs {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

#[cfg(test)]
mod tests;
