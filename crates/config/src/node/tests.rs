use std::time::Duration;

use crate::NodeSettings;

const MINIMAL: &str =
    "node_id: e1\nzone: a\nlisten_addr: 10.0.0.1:7100\nplatform_addr: 10.0.0.2:7000\n";

#[test]
fn missing_keys_have_defaults() {
    let settings = NodeSettings::parse(MINIMAL).expect("valid settings");
    assert_eq!(settings.entries_ttl, Duration::from_secs(5));
    assert_eq!(settings.stop_grace, Duration::from_secs(10));
    assert!(settings.seed_addrs.is_empty());
}

#[test]
fn seed_addresses_are_parsed() {
    let text = format!("{MINIMAL}seed_addrs: [\"10.0.0.3:7100\", \"10.0.0.4:7100\"]\n");
    assert_eq!(NodeSettings::parse(&text).expect("valid").seed_addrs.len(), 2);
}

/// Guards against silently ignored settings, and against reporting only the first of several
/// errors.
#[test]
fn every_invalid_setting_is_reported_with_its_path() {
    let text = "node_id: e1\nlisten_addr: here\nplatform_addr: 10.0.0.2:7000\n\
                seed_addrs: [\"10.0.0.3:7100\", nowhere]\nstop_grace: 5\n";
    let findings = NodeSettings::parse(text).expect_err("rejected");
    let mut paths: Vec<&str> = findings.0.iter().map(|f| f.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["listen_addr", "seed_addrs[1]", "stop_grace", "zone"]);
}

/// Guards against settings that parse but do not work: with an unspecified listen address callers
/// are directed to 0.0.0.0 and peers get no response; with too rare reads of the VM list nothing is
/// probed.
#[test]
fn unusable_settings_are_rejected() {
    let unspecified = MINIMAL.replace("10.0.0.1", "0.0.0.0");
    let findings = NodeSettings::parse(&unspecified).expect_err("rejected");
    assert_eq!(findings.0[0].path, "listen_addr");
    let slow_poll = format!("{MINIMAL}vm_poll_ms: 30000\n");
    let findings = NodeSettings::parse(&slow_poll).expect_err("rejected");
    assert_eq!(findings.0[0].path, "vm_poll_ms");
}
