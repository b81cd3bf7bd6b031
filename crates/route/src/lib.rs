//! Which service a request goes to, and what its route promises.
//!
//! [`Table`] is one version of the routing configuration, immutable once
//! built. A route is found by host and longest path prefix; it says what may
//! be repeated, how often, and within which time. [`Turns`] deals the
//! requests of a split route out to its services by weight.

mod split;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use split::Turns;

/// Version of a routing configuration; grows with each accepted change.
pub type Version = u64;

/// Name of a service.
pub type ServiceName = SmolStr;

/// Name of a route, unique in a table.
pub type RouteName = SmolStr;

/// Name of a region.
pub type Region = SmolStr;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may be sent again whatever became of it.
    Idempotent,
    /// It may be sent again only when it certainly has not run.
    AtMostOnce,
}

/// One service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, relative to the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Beginning of the paths that it serves.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Services that its requests go to; never empty.
    pub targets: Vec<Target>,
    /// Upstreams that one request may be sent to at most.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to its caller.
    pub objective: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose upstreams may run its requests; any when there are none.
    pub homes: Vec<Region>,
}

impl Route {
    fn to_text(&self) -> String {
        let targets: Vec<String> =
            self.targets.iter().map(|t| format!("{}:{}", t.service, t.weight)).collect();
        let repeat = match self.repeat {
            Repeat::Idempotent => "idempotent",
            Repeat::AtMostOnce => "at_most_once",
        };
        let homes = match self.homes.is_empty() {
            true => String::new(),
            false => format!(" homes={}", self.homes.join(",")),
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

/// What is known of a service apart from its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Path of the request that asks one of its upstreams how it is.
    pub probe_path: SmolStr,
    /// Connections that one upstream takes from all entry nodes together.
    pub max_connections: u32,
    /// Requests a second that one upstream bears from all entry nodes together while it warms up; `None`
    /// where that is not bounded.
    pub warm_up_per_s: Option<f64>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Time for a request head to arrive in full.
    pub header_timeout: Duration,
    /// Time that a connection may stay open between two requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Bounds for a node that has no configuration yet; common defaults of HTTP servers.
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
    /// Version.
    pub version: Version,
    /// Version that its author changed; 0 when it does not say.
    pub base_version: Version,
    /// What callers may send.
    pub limits: ClientLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Routes by host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<Route>>,
    /// The most urgent rank among the routes to each service.
    most_urgent: HashMap<ServiceName, u32>,
}

impl Table {
    /// Builds a table from its routes, each with the host that it belongs to.
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
                let rank = table.most_urgent.entry(target.service.clone()).or_insert(u32::MAX);
                *rank = route.priority.min(*rank);
            }
            let host = SmolStr::from(host.to_ascii_lowercase());
            table.hosts.entry(host).or_default().push(route);
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table
    }

    /// Returns the route of `path` at `host` (in lower case), by the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the regions in which the requests of a host may run: those that all of its routes with
    /// homes allow, or else those that any of them does; `None` where none has homes.
    pub fn homes_of(&self, host: &str) -> Option<BTreeSet<&Region>> {
        let routes = self.hosts.get(host)?.iter().filter(|route| !route.homes.is_empty());
        let sets = routes.map(|route| route.homes.iter().collect::<BTreeSet<&Region>>());
        let common = sets.clone().reduce(|one, other| &one & &other)?;
        match common.is_empty() {
            true => Some(sets.flatten().collect()),
            false => Some(common),
        }
    }

    /// Returns true when no route to `service` is more urgent than `route`.
    pub fn is_most_urgent(&self, route: &Route, service: &str) -> bool {
        self.most_urgent.get(service).is_none_or(|rank| route.priority <= *rank)
    }

    /// Returns the table as text, one line a service and route in a fixed order, for records and diffs.
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

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests;
