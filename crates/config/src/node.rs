//! Settings of an entry node, read from its YAML file at startup.
//!
//! The settings name the addresses and the availability zone of the process; nothing is discovered
//! from the machine.

use std::net::SocketAddr;
use std::time::Duration;

use serde_yaml_ng::Value;
use smol_str::SmolStr;

use crate::findings::Findings;
use crate::yaml::{self, Fields};

/// Default of `entries_ttl_s`: short, because a stopping entry node waits for its entries to
/// expire.
const DEFAULT_ENTRIES_TTL_S: u64 = 5;

/// Maximum `vm_poll_ms`. A node that has not read the VM list for 5 s does not probe, and a single
/// failed read must not cause that.
const MAX_VM_POLL_INTERVAL_MS: u64 = 2_000;

/// Default of `probe_cap_per_s`. At about 250 bytes per probe it takes 5 of the 7 KB/s of control
/// traffic that a node may use.
const DEFAULT_MAX_PROBES_PER_S: u64 = 20;

/// Default of `stop_grace_ms`: the default `entries_ttl_s` and the same time again for calls in
/// flight.
const DEFAULT_STOP_GRACE_MS: u64 = 10_000;

/// Settings of one `oatcoved` process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Stable name of the entry node, unique in the fleet.
    pub node_id: SmolStr,
    /// Availability zone of the entry node's VM.
    pub zone: SmolStr,
    /// Address that callers connect to for discovery and for proxied calls.
    pub listen_addr: SocketAddr,
    /// Address of the platform, which serves the configuration tables and the VM list.
    pub platform_addr: SocketAddr,
    /// Interval at which the node reads configuration changes from the platform.
    pub config_poll_interval: Duration,
    /// Interval at which the node reads the VM list.
    pub vm_poll_interval: Duration,
    /// How long callers may cache a discovery response.
    pub entries_ttl: Duration,
    /// Maximum number of probes that the node sends per second, over all services.
    pub max_probes_per_s: u32,
    /// Maximum time that a stopping node waits for callers to leave and for calls in flight to end.
    pub stop_grace: Duration,
    /// Entry nodes to read the configuration from if the platform does not respond at startup.
    pub seed_addrs: Vec<SocketAddr>,
}

impl NodeSettings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings if any of them is an error: invalid YAML, unknown or missing keys,
    /// wrong types, numbers out of range, addresses not of the form `ip:port`, an unspecified
    /// listen address.
    pub fn parse(text: &str) -> Result<NodeSettings, Findings> {
        let mut findings = Findings::default();
        let settings = yaml::parse(text, &mut findings).and_then(|v| build(&v, &mut findings));
        match settings {
            Some(settings) if !findings.has_errors() => Ok(settings),
            _ => Err(findings),
        }
    }
}

fn build(root: &Value, findings: &mut Findings) -> Option<NodeSettings> {
    let mut fields = Fields::new(root, "$", findings);
    let node_id = fields.string("node_id", findings);
    let zone = fields.string("zone", findings);
    let listen_addr = address(&mut fields, "listen_addr", findings);
    if listen_addr.is_some_and(|addr| addr.ip().is_unspecified()) {
        findings
            .error("listen_addr", "must be the address that callers and other entry nodes reach");
    }
    let platform_addr = address(&mut fields, "platform_addr", findings);
    let config_poll_ms = fields.uint("config_poll_ms", 50..=60_000, findings);
    let vm_poll_ms = fields.uint("vm_poll_ms", 50..=MAX_VM_POLL_INTERVAL_MS, findings);
    let entries_ttl_s = fields.uint("entries_ttl_s", 1..=3_600, findings);
    let max_probes_per_s = fields.uint("probe_cap_per_s", 1..=10_000, findings);
    let stop_grace_ms = fields.uint("stop_grace_ms", 0..=600_000, findings);
    let seed_addrs = addresses(&mut fields, "seed_addrs", findings);
    fields.finish(findings);
    Some(NodeSettings {
        node_id: node_id?,
        zone: zone?,
        listen_addr: listen_addr?,
        platform_addr: platform_addr?,
        config_poll_interval: Duration::from_millis(config_poll_ms?.unwrap_or(500)),
        vm_poll_interval: Duration::from_millis(vm_poll_ms?.unwrap_or(1_000)),
        entries_ttl: Duration::from_secs(entries_ttl_s?.unwrap_or(DEFAULT_ENTRIES_TTL_S)),
        max_probes_per_s: max_probes_per_s?.unwrap_or(DEFAULT_MAX_PROBES_PER_S) as u32,
        stop_grace: Duration::from_millis(stop_grace_ms?.unwrap_or(DEFAULT_STOP_GRACE_MS)),
        seed_addrs: seed_addrs?,
    })
}

fn address(
    fields: &mut Fields<'_>,
    key: &'static str,
    findings: &mut Findings,
) -> Option<SocketAddr> {
    let text = fields.string(key, findings)?;
    parse_address(&text, &yaml::join(fields.path(), key), findings)
}

/// Reads an optional list of addresses, which is empty when the key is missing.
fn addresses(
    fields: &mut Fields<'_>,
    key: &'static str,
    findings: &mut Findings,
) -> Option<Vec<SocketAddr>> {
    let texts = fields.strings(key, findings)?.unwrap_or_default();
    let path = yaml::join(fields.path(), key);
    let parsed: Vec<Option<SocketAddr>> = texts
        .iter()
        .enumerate()
        .map(|(index, text)| parse_address(text, &format!("{path}[{index}]"), findings))
        .collect();
    parsed.into_iter().collect()
}

fn parse_address(text: &str, path: &str, findings: &mut Findings) -> Option<SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.error(path, format!("{text:?} is not an address of the form ip:port"));
    }
    parsed
}

#[cfg(test)]
mod tests;
