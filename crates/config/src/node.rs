//! Settings of one entry node, read from its YAML file at start.
//!
//! A process learns its addresses and availability zone from these settings
//! (the brief); nothing is discovered from the machine.

use std::net::SocketAddr;
use std::time::Duration;

use serde_yaml_ng::Value;
use smol_str::SmolStr;

use crate::findings::Findings;
use crate::walk::{self, Fields};

/// Default of `entries_ttl_s`: short, so that a planned stop of an entry node is soon over.
const DEFAULT_ENTRIES_TTL_S: u64 = 5;

/// Longest `vm_poll_ms`: a node that has not read the VM list for 5 s does not
/// probe, and one failed read must not be enough for that.
const MAX_VM_POLL_MS: u64 = 2_000;

/// Default of `probe_cap_per_s`: at about 250 bytes a probe, 5 of the 7 KB/s
/// of control traffic that letter 1 allows a node.
const DEFAULT_PROBE_CAP_PER_S: u64 = 20;

/// Default of `stop_grace_ms`: the default TTL and as much again for calls in flight.
const DEFAULT_STOP_GRACE_MS: u64 = 10_000;

/// Settings of one `oatcoved` process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Stable name of this entry node, unique in the fleet.
    pub node_id: SmolStr,
    /// Availability zone of this entry VM.
    pub zone: SmolStr,
    /// Address where callers connect, for discovery answers and proxied calls.
    pub listen_addr: SocketAddr,
    /// Address of the platform's table service and VM list.
    pub platform_addr: SocketAddr,
    /// How often the node asks the table service for a newer config.
    pub config_poll: Duration,
    /// How often the node reads the VM list.
    pub vm_poll: Duration,
    /// How long callers may keep a discovery answer.
    pub entries_ttl: Duration,
    /// Probes per second this node sends at most, over all services.
    pub probe_cap_per_s: u32,
    /// How long a stopping node waits for callers and calls in flight at most.
    pub stop_grace: Duration,
    /// Entry nodes to ask for config when the platform does not answer at start.
    pub seed_addrs: Vec<SocketAddr>,
}

impl NodeSettings {
    /// Parses and checks the settings file's text.
    ///
    /// # Errors
    ///
    /// Returns every finding together: unknown keys, missing keys, addresses
    /// that do not parse as `ip:port`, durations out of range.
    pub fn parse(text: &str) -> Result<NodeSettings, Findings> {
        let mut findings = Findings::default();
        let settings = walk::parse(text, &mut findings).and_then(|v| build(&v, &mut findings));
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
    let vm_poll_ms = fields.uint("vm_poll_ms", 50..=MAX_VM_POLL_MS, findings);
    let entries_ttl_s = fields.uint("entries_ttl_s", 1..=3_600, findings);
    let probe_cap_per_s = fields.uint("probe_cap_per_s", 1..=10_000, findings);
    let stop_grace_ms = fields.uint("stop_grace_ms", 0..=600_000, findings);
    let seed_addrs = addresses(&mut fields, "seed_addrs", findings);
    fields.finish(findings);
    Some(NodeSettings {
        node_id: node_id?,
        zone: zone?,
        listen_addr: listen_addr?,
        platform_addr: platform_addr?,
        config_poll: Duration::from_millis(config_poll_ms?.unwrap_or(500)),
        vm_poll: Duration::from_millis(vm_poll_ms?.unwrap_or(1_000)),
        entries_ttl: Duration::from_secs(entries_ttl_s?.unwrap_or(DEFAULT_ENTRIES_TTL_S)),
        probe_cap_per_s: probe_cap_per_s?.unwrap_or(DEFAULT_PROBE_CAP_PER_S) as u32,
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
    parse_address(&text, &walk::join(fields.path(), key), findings)
}

/// Reads an optional list of addresses; absent means none.
fn addresses(
    fields: &mut Fields<'_>,
    key: &'static str,
    findings: &mut Findings,
) -> Option<Vec<SocketAddr>> {
    let texts = fields.strings(key, findings)?.unwrap_or_default();
    let path = walk::join(fields.path(), key);
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
