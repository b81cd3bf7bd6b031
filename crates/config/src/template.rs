//! Service templates: the parameters of one service, for each of its teams.
//!
//! Operators write a template as YAML, and the platform stores that text. [`Template::parse`]
//! resolves it to one [`Params`] per team: the keys of a team override the template's `defaults`,
//! which override the built-in defaults.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_yaml_ng::Value;
use smol_str::SmolStr;

use crate::findings::Findings;
use crate::yaml::{self, Fields};

mod access;
mod edit;

pub use edit::{edit_team, EditError, TeamEdit};

/// Name of a service and of its template, such as `swap-desk`.
pub type TemplateName = SmolStr;

/// Name of a team that calls a service, such as `garden-north`.
pub type TeamName = SmolStr;

/// Maximum length of a service or team name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Policy by which an upstream is picked for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Balance {
    /// Picks by expected cost; the recommended policy.
    #[default]
    Adaptive,
    /// Picks each upstream in turn. A baseline for benchmarks.
    RoundRobin,
    /// Picks the upstream with the fewest calls outstanding from the entry node. A baseline for
    /// benchmarks.
    LeastOutstanding,
}

impl Balance {
    const NAMES: [(&'static str, Balance); 3] = [
        ("adaptive", Balance::Adaptive),
        ("round_robin", Balance::RoundRobin),
        ("least_outstanding", Balance::LeastOutstanding),
    ];

    fn parse(text: &str) -> Option<Balance> {
        Self::NAMES.iter().find(|(name, _)| *name == text).map(|(_, balance)| *balance)
    }
}

/// Resolved parameters for the calls of one team to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Params {
    /// Timeout of a whole call through the entry node, retries included, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of attempts per idempotent call, the first included.
    pub max_attempts: u64,
    /// Maximum ratio of retries to first attempts over a sliding window, in percent.
    pub retry_budget_percent: u64,
    /// Probes per second to the upstreams of the service, by all entry nodes together.
    pub probe_budget_per_s: u64,
    /// Maximum number of connections that all entry nodes together open to one upstream. Each node
    /// is limited to its share.
    pub connections_per_upstream: u64,
    /// Path of the health probe requests to upstreams; only the value in `defaults` is used.
    pub probe_path: SmolStr,
    /// Whether upstreams in the entry node's zone are preferred.
    pub zone_affinity: bool,
    /// Policy by which an upstream is picked.
    pub balance: Balance,
    /// Whether an idempotent call that takes unusually long is also sent to a second upstream.
    pub hedge: bool,
    /// HTTP methods of idempotent calls, which may be retried. Calls with any other method are sent
    /// at most once.
    pub idempotent_methods: Vec<SmolStr>,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            timeout_ms: 1_000,
            max_attempts: 2,
            retry_budget_percent: 10,
            probe_budget_per_s: 10,
            connections_per_upstream: 240,
            probe_path: "/load".into(),
            zone_affinity: true,
            balance: Balance::Adaptive,
            hedge: true,
            idempotent_methods: vec!["GET".into(), "HEAD".into()],
        }
    }
}

/// A validated service template.
#[derive(Clone, Debug, PartialEq)]
pub struct Template {
    /// The service that the template configures.
    pub service: TemplateName,
    /// Parameters for callers that name no team or an unlisted one.
    pub defaults: Rc<Params>,
    /// Parameters of each team, resolved over `defaults`.
    pub teams: BTreeMap<TeamName, Rc<Params>>,
    /// Teams with their keys, priorities and quotas; empty if no team lists keys, and callers name
    /// their team themselves.
    pub access: team::Teams,
}

impl Template {
    /// Parses and validates the YAML text of a template.
    ///
    /// # Errors
    ///
    /// Returns all findings if any of them is an error: invalid YAML, unknown keys (with a hint if
    /// only the unit suffix differs), wrong types, numbers out of range, invalid names.
    pub fn parse(text: &str) -> Result<Template, Findings> {
        let mut findings = Findings::default();
        let template = yaml::parse(text, &mut findings).and_then(|v| build(&v, &mut findings));
        match template {
            Some(template) if !findings.has_errors() => Ok(template),
            _ => Err(findings),
        }
    }

    /// Returns the parameters of `team`, or the defaults if `team` is `None` or not listed.
    pub fn params(&self, team: Option<&str>) -> &Rc<Params> {
        match team.and_then(|name| self.teams.get(name)) {
            Some(params) => params,
            None => &self.defaults,
        }
    }
}

fn build(root: &Value, findings: &mut Findings) -> Option<Template> {
    let mut fields = Fields::new(root, "$", findings);
    let service = fields.string("service", findings);
    if let Some(name) = &service {
        check_name("service", name, findings);
    }
    let defaults = match fields.raw("defaults") {
        Some(value) => {
            params(Fields::new(value, "defaults", findings), &Params::default(), findings)
        }
        None => Some(Params::default()),
    };
    let mut teams = BTreeMap::new();
    let mut access = Vec::new();
    // Teams are validated even if the defaults are invalid. Otherwise an operator would see the
    // errors of the teams only after correcting the defaults.
    let base = defaults.clone().unwrap_or_default();
    match fields.raw("teams") {
        None => {}
        Some(Value::Mapping(map)) => {
            for (key, value) in map {
                let Value::String(team) = key else {
                    findings.error("teams", "team names must be strings");
                    continue;
                };
                let path = yaml::join("teams", team);
                check_name(&path, team, findings);
                let mut fields = Fields::new(value, &path, findings);
                access.extend(access::read(team, &mut fields, findings));
                if let Some(resolved) = params(fields, &base, findings) {
                    teams.insert(TeamName::from(team.as_str()), Rc::new(resolved));
                }
            }
        }
        Some(other) => {
            findings.error(
                "teams",
                format!("expected a mapping of team names, found {}", yaml::kind(other)),
            );
        }
    }
    fields.finish(findings);
    let access = access::combine(access, findings);
    Some(Template { service: service?, defaults: Rc::new(defaults?), teams, access })
}

/// Reads the parameters of a mapping, which override `base`.
fn params(mut fields: Fields<'_>, base: &Params, findings: &mut Findings) -> Option<Params> {
    let timeout_ms = fields.uint("timeout_ms", 1..=60_000, findings);
    let max_attempts = fields.uint("max_attempts", 1..=5, findings);
    let retry_budget_percent = fields.uint("retry_budget_percent", 0..=100, findings);
    let probe_budget_per_s = fields.uint("probe_budget_per_s", 0..=10_000, findings);
    let connections_per_upstream = fields.uint("connections_per_upstream", 1..=1_000_000, findings);
    let probe_path = fields.optional_string("probe_path", findings);
    match &probe_path {
        Some(Some(path)) if !is_path(path) => findings.error(
            &yaml::join(fields.path(), "probe_path"),
            format!("{path:?} is not a path: it must start with / and hold no spaces"),
        ),
        _ => {}
    }
    let zone_affinity = fields.boolean("zone_affinity", findings);
    let balance = balance(&mut fields, findings);
    let hedge = fields.boolean("hedge", findings);
    let methods = fields.strings("idempotent_methods", findings);
    if let Some(Some(list)) = &methods {
        for (index, method) in list.iter().enumerate() {
            if !matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE") {
                findings.error(
                    &format!("{}.idempotent_methods[{index}]", fields.path()),
                    format!("{method:?} is not an idempotent HTTP method"),
                );
            }
        }
    }
    fields.finish(findings);
    Some(Params {
        timeout_ms: timeout_ms?.unwrap_or(base.timeout_ms),
        max_attempts: max_attempts?.unwrap_or(base.max_attempts),
        retry_budget_percent: retry_budget_percent?.unwrap_or(base.retry_budget_percent),
        probe_budget_per_s: probe_budget_per_s?.unwrap_or(base.probe_budget_per_s),
        connections_per_upstream: connections_per_upstream?
            .unwrap_or(base.connections_per_upstream),
        probe_path: probe_path?.unwrap_or_else(|| base.probe_path.clone()),
        zone_affinity: zone_affinity?.unwrap_or(base.zone_affinity),
        balance: balance?.unwrap_or(base.balance),
        hedge: hedge?.unwrap_or(base.hedge),
        idempotent_methods: methods?.unwrap_or_else(|| base.idempotent_methods.clone()),
    })
}

fn balance(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Option<Balance>> {
    let Some(text) = fields.optional_string("balance", findings)? else { return Some(None) };
    let parsed = Balance::parse(&text);
    if parsed.is_none() {
        let names: Vec<&str> = Balance::NAMES.iter().map(|(name, _)| *name).collect();
        let path = yaml::join(fields.path(), "balance");
        findings.error(&path, format!("{text:?} is not one of {}", names.join(", ")));
    }
    parsed.map(Some)
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Checks that a name is short and consists of lowercase ASCII letters, digits and dashes, so that
/// it can be part of URL paths and table keys.
fn check_name(path: &str, name: &str, findings: &mut Findings) {
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if !valid {
        findings.error(path, format!("{name:?} must be 1 to {MAX_NAME_BYTES} of a-z, 0-9 and -"));
    }
}

#[cfg(test)]
mod tests;
