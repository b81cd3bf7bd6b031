//! Request routing: which service a request goes to, and under which policy.
//!
//! [`Table`] is one version of the routing configuration and is immutable once
//! built. A route is matched by host and longest path prefix; it defines
//! whether, how often and for how long a request may be retried.
//! [`WeightedRoundRobin`] distributes the requests of a route with several
//! services by weight.

mod split;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use split::WeightedRoundRobin;

/// Version of a routing configuration; increases with each accepted change.
pub type Version = u64;

/// Name of a service.
pub type ServiceName = SmolStr;

/// Name of a route, unique in a table.
pub type RouteName = SmolStr;

/// Name of a region.
pub type Region = SmolStr;

/// Whether a request may be sent again when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// The request may be sent again whatever happened to it before.
    Idempotent,
    /// The request may be sent again only when it certainly has not run.
    AtMostOnce,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service relative to the route's other targets.
    pub weight: f64,
}

/// How requests with one path prefix are handled: the services they go to, their time limits and
/// their retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in a table.
    pub name: RouteName,
    /// Prefix of the paths that it matches.
    pub prefix: SmolStr,
    /// Whether its requests may be sent again.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// Services that its requests are distributed to; never empty.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency objective: the response time up to which a response is of full use to the caller.
    pub objective: Duration,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose upstreams may run its requests; all regions when empty.
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<Region>,
}

impl Route {
    fn to_text(&self) -> String {
        let targets: Vec<String> =
            self.targets.iter().map(|t| format!("{}:{}", t.service, t.weight)).collect();
        let repeat = match self.retry_policy {
            RetryPolicy::Idempotent => "idempotent",
            RetryPolicy::AtMostOnce => "at_most_once",
        };
        let homes = match self.allowed_regions.is_empty() {
            true => String::new(),
            false => format!(" homes={}", self.allowed_regions.join(",")),
        };
        format!(
            "{} prefix={} repeat={repeat} targets={} attempts={} timeout_ms={} objective_ms={} priority={}{homes}",
            self.name,
            self.prefix,
            targets.join(","),
            self.attempts,
            self.timeout.as_millis(),
            self.objective.as_millis(),
            self.priority
        )
    }
}

/// Configuration of a service, without its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health probe.
    pub probe_path: SmolStr,
    /// Maximum number of connections to one upstream from all entry nodes together.
    pub max_connections: u32,
    /// Maximum rate, in requests per second from all entry nodes together, that one upstream can
    /// take while it warms up; `None` for no limit.
    pub warm_up_per_s: Option<f64>,
}

/// Limits on what callers send and how long they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time for a request head to arrive in full.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay open between two requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits of a node that has no configuration yet: common defaults of HTTP servers.
    fn default() -> Self {
        ClientLimits {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Version that its author based the change on; 0 when not stated.
    pub base_version: Version,
    /// Limits on what callers send and how long they take, the same for all routes.
    pub limits: ClientLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Routes by host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<Route>>,
    /// The most urgent priority among the routes to each service.
    most_urgent: HashMap<ServiceName, u32>,
    /// Teams of callers; empty if callers need no key. Peers are sent them separately, so that
    /// nothing changes between nodes while no team is configured.
    #[serde(skip)]
    pub teams: team::Teams,
}

impl Table {
    /// Creates a table from its routes, each with the host that it belongs to; hosts are not
    /// case-sensitive.
    pub fn new(
        version: Version,
        limits: ClientLimits,
        services: Vec<Service>,
        routes: Vec<(SmolStr, Route)>,
    ) -> Table {
        let mut table = Table { version, limits, ..Table::default() };
        table.services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        for (host, route) in routes {
            for target in &route.targets {
                let priority = table.most_urgent.entry(target.service.clone()).or_insert(u32::MAX);
                *priority = route.priority.min(*priority);
            }
            let host = SmolStr::from(host.to_ascii_lowercase());
            table.hosts.entry(host).or_default().push(route);
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table
    }

    /// Returns the route with the longest prefix of `path` at `host`, which must be in lower case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the regions in which the requests of a host may run. Of the routes that restrict
    /// their regions, these are the regions that all allow or, if there are none, those that any
    /// allows. Returns `None` when no route restricts its regions.
    pub fn allowed_regions_of(&self, host: &str) -> Option<BTreeSet<&Region>> {
        let routes = self.hosts.get(host)?.iter().filter(|route| !route.allowed_regions.is_empty());
        let sets = routes.map(|route| route.allowed_regions.iter().collect::<BTreeSet<&Region>>());
        let common = sets.clone().reduce(|one, other| &one & &other)?;
        match common.is_empty() {
            true => Some(sets.flatten().collect()),
            false => Some(common),
        }
    }

    /// Returns true when no route to `service` is more urgent than `route`.
    pub fn is_most_urgent(&self, route: &Route, service: &str) -> bool {
        self.most_urgent.get(service).is_none_or(|priority| route.priority <= *priority)
    }

    /// Returns the table as text for records and diffs: one line per service, route and team, in a
    /// fixed order, then one line with the limits.
    pub fn to_text(&self) -> String {
        let mut lines: Vec<String> = self
            .services
            .values()
            .map(|s| {
                let warm_up = s.warm_up_per_s.map(|per_s| format!(" warm_up_per_s={per_s}"));
                format!(
                    "service {} probe_path={} max_connections={}{}",
                    s.name,
                    s.probe_path,
                    s.max_connections,
                    warm_up.unwrap_or_default()
                )
            })
            .collect();
        for (host, routes) in &self.hosts {
            lines.extend(routes.iter().map(|route| format!("route {host} {}", route.to_text())));
        }
        lines.extend(self.teams.lines());
        lines.sort();
        let l = &self.limits;
        lines.push(format!(
            "limits header_bytes={} body_bytes={} header_timeout_ms={} idle_timeout_ms={}",
            l.header_bytes,
            l.body_bytes,
            l.header_timeout.as_millis(),
            l.idle_timeout.as_millis()
        ));
        lines.join("\n") + "\n"
    }

    /// Returns the names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &RouteName> {
        self.hosts.values().flatten().map(|route| &route.name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests;
