use std::time::Duration;

use crate::NodeSettings;

const LEAST: &str =
    "node_id: e1\nzone: a\nlisten_addr: 10.0.0.1:7100\nplatform_addr: 10.0.0.2:7000\n";

#[test]
fn defaults_fill_what_is_left_out() {
    let settings = NodeSettings::parse(LEAST).expect("valid settings");
    assert_eq!(settings.entries_ttl, Duration::from_secs(5));
    assert_eq!(settings.stop_grace, Duration::from_secs(10));
    assert!(settings.seed_addrs.is_empty());
}

#[test]
fn seeds_are_addresses() {
    let text = format!("{LEAST}seed_addrs: [\"10.0.0.3:7100\", \"10.0.0.4:7100\"]\n");
    assert_eq!(NodeSettings::parse(&text).expect("valid").seed_addrs.len(), 2);
}

/// Symptom: a node starts with a setting silently ignored, or its operator
/// mends one mistake per try.
/// Sequence: a settings file with four mistakes is read.
/// Cause: stopping at the first, or dropping what cannot be parsed.
#[test]
fn every_bad_setting_is_named_with_its_path() {
    let text = "node_id: e1\nlisten_addr: here\nplatform_addr: 10.0.0.2:7000\n\
                seed_addrs: [\"10.0.0.3:7100\", nowhere]\nstop_grace: 5\n";
    let findings = NodeSettings::parse(text).expect_err("rejected");
    let mut paths: Vec<&str> = findings.0.iter().map(|f| f.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["listen_addr", "seed_addrs[1]", "stop_grace", "zone"]);
}

/// Symptom: callers are told to connect to 0.0.0.0, peers never answer, nothing is probed.
/// Sequence: a node listens on every address, or reads the VM list too rarely to probe.
/// Cause: accepting settings that cannot work.
#[test]
fn settings_that_cannot_work_are_refused() {
    let everywhere = LEAST.replace("10.0.0.1", "0.0.0.0");
    let findings = NodeSettings::parse(&everywhere).expect_err("rejected");
    assert_eq!(findings.0[0].path, "listen_addr");
    let rarely = format!("{LEAST}vm_poll_ms: 30000\n");
    let findings = NodeSettings::parse(&rarely).expect_err("rejected");
    assert_eq!(findings.0[0].path, "vm_poll_ms");
}
