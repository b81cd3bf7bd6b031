//! Service templates: one per service, with parameters for each team.
//!
//! A template's YAML text is what the operator wrote and what the platform's
//! table service stores; [`Template::parse`] turns it into resolved
//! parameters, one [`Params`] per team, where each team's keys override the
//! template's `defaults` and those override the built-in defaults.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_yaml_ng::Value;
use smol_str::SmolStr;

use crate::findings::Findings;
use crate::walk::{self, Fields};

/// Name of a service, and so of its template (`swap-desk`).
pub type TemplateName = SmolStr;

/// Name of a team, a customer of a service (`garden-north`).
pub type TeamName = SmolStr;

/// Longest accepted service or team name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// How an upstream is picked for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Balance {
    /// By expected cost; the one to use.
    #[default]
    Adaptive,
    /// Each in turn; a baseline for measurements.
    RoundRobin,
    /// The fewest calls outstanding from the entry node; a baseline for measurements.
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

/// Resolved parameters for requests of one team to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Params {
    /// Deadline of a whole call through the entry node, retries included.
    pub timeout_ms: u64,
    /// Attempts per call, first included; applies to idempotent calls only.
    pub max_attempts: u64,
    /// Retries allowed as a share of first attempts, over a sliding window.
    pub retry_budget_percent: u64,
    /// Probes per second to this service's upstreams, for all entry nodes together.
    pub probe_budget_per_s: u64,
    /// Connections an upstream takes from all entry nodes together; each node keeps to its share.
    pub connections_per_upstream: u64,
    /// Path of the request that asks an upstream whether it is well; read from `defaults` only.
    pub probe_path: SmolStr,
    /// Whether upstreams in the entry node's own zone are preferred.
    pub zone_affinity: bool,
    /// How an upstream is picked.
    pub balance: Balance,
    /// Whether an idempotent call that takes unusually long is sent to a second upstream beside.
    pub hedge: bool,
    /// HTTP methods safe to retry; every other method is sent at most once.
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

/// A checked service template.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// The service this template configures.
    pub service: TemplateName,
    /// Parameters for callers that name no team, or a team not listed.
    pub defaults: Rc<Params>,
    /// Parameters per team, already resolved over `defaults`.
    pub teams: BTreeMap<TeamName, Rc<Params>>,
}

impl Template {
    /// Parses and checks a template's YAML text.
    ///
    /// # Errors
    ///
    /// Returns every finding together when any of them is an error: syntax,
    /// unknown keys (with a hint where only the unit suffix differs), wrong
    /// types, values out of range, bad names.
    pub fn parse(text: &str) -> Result<Template, Findings> {
        let mut findings = Findings::default();
        let template = walk::parse(text, &mut findings).and_then(|v| build(&v, &mut findings));
        match template {
            Some(template) if !findings.has_errors() => Ok(template),
            _ => Err(findings),
        }
    }

    /// Returns the parameters for `team`, or the defaults when the team is not listed.
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
        Some(value) => params(value, "defaults", &Params::default(), findings),
        None => Some(Params::default()),
    };
    let mut teams = BTreeMap::new();
    // Teams are checked over bad defaults too: an operator who mends those would only then be
    // told of what is wrong with the teams.
    let base = defaults.clone().unwrap_or_default();
    match fields.raw("teams") {
        None => {}
        Some(Value::Mapping(map)) => {
            for (key, value) in map {
                let Value::String(team) = key else {
                    findings.error("teams", "team names must be strings");
                    continue;
                };
                let path = walk::join("teams", team);
                check_name(&path, team, findings);
                if let Some(resolved) = params(value, &path, &base, findings) {
                    teams.insert(TeamName::from(team.as_str()), Rc::new(resolved));
                }
            }
        }
        Some(other) => {
            findings.error(
                "teams",
                format!("expected a mapping of team names, found {}", walk::kind(other)),
            );
        }
    }
    fields.finish(findings);
    Some(Template { service: service?, defaults: Rc::new(defaults?), teams })
}

/// Reads one parameter mapping at `path`, each key overriding `base`.
fn params(value: &Value, path: &str, base: &Params, findings: &mut Findings) -> Option<Params> {
    let mut fields = Fields::new(value, path, findings);
    let timeout_ms = fields.uint("timeout_ms", 1..=60_000, findings);
    let max_attempts = fields.uint("max_attempts", 1..=5, findings);
    let retry_budget_percent = fields.uint("retry_budget_percent", 0..=100, findings);
    let probe_budget_per_s = fields.uint("probe_budget_per_s", 0..=10_000, findings);
    let connections_per_upstream = fields.uint("connections_per_upstream", 1..=1_000_000, findings);
    let probe_path = fields.optional_string("probe_path", findings);
    match &probe_path {
        Some(Some(path)) if !is_path(path) => findings.error(
            &walk::join(fields.path(), "probe_path"),
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
        let path = walk::join(fields.path(), "balance");
        findings.error(&path, format!("{text:?} is not one of {}", names.join(", ")));
    }
    parsed.map(Some)
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Checks that a name is short lowercase ASCII with dashes, fit for paths and keys.
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
