//! The whole path as separate processes: CLI, platform stand-in, entry nodes, upstreams, load tool.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use xtask::cluster::{Cluster, Spec};

/// Directory of the binaries cargo built beside this test.
fn bins() -> PathBuf {
    let exe = std::env::current_exe().expect("test binary path");
    exe.parent().and_then(|deps| deps.parent()).expect("target profile dir").to_owned()
}

fn spec() -> Spec {
    Spec {
        service: "swap-desk".into(),
        zones: vec!["attiki-a".into(), "attiki-b".into()],
        upstreams_per_zone: 2,
        entries: 2,
        slots: 6,
        light_ms: 1,
        heavy_ms: 10,
    }
}

/// Bound on a config change reaching every entry node; the letter asks for 6 s.
const PROPAGATION_BOUND: Duration = Duration::from_secs(6);

#[test]
fn calls_flow_and_a_config_change_reaches_every_entry_node() {
    let dir = std::env::temp_dir().join(format!("oatcove-e2e-{}", std::process::id()));
    let cluster = Cluster::start(&bins(), &dir, &spec());
    let first = cluster.apply("v1.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 800\n");
    assert!(first.status.success(), "{}", String::from_utf8_lossy(&first.stderr));
    assert!(
        cluster.wait_for_version("swap-desk", 1, PROPAGATION_BOUND).is_some(),
        "v1 not everywhere"
    );

    let json = dir.join("load.json");
    let mut load = Command::new(cluster.bins.join("oatcove-load"));
    load.args(["--entry", &cluster.entries[0].addr.to_string(), "--service", "swap-desk"]).args([
        "--zone",
        "attiki-a",
        "--rate",
        "200",
        "--duration-s",
        "2",
        "--json",
        &json.to_string_lossy(),
    ]);
    for addr in cluster.upstream_addrs() {
        load.args(["--upstream", &addr.to_string()]);
    }
    let output = load.output().expect("load runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("report")).expect("json");
    assert_eq!(report["errors"], serde_json::json!({}), "{report}");
    assert_eq!(
        report["light"]["ok"].as_u64().unwrap() + report["heavy"]["ok"].as_u64().unwrap(),
        400
    );
    assert_eq!(report["max_executions_per_key"], 1);

    let second = cluster.apply("v2.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 500\n");
    assert!(second.status.success(), "{}", String::from_utf8_lossy(&second.stderr));
    assert!(
        cluster.wait_for_version("swap-desk", 2, PROPAGATION_BOUND).is_some(),
        "v2 not everywhere"
    );

    let platform = cluster.platform.addr.to_string();
    let audit = cluster.cli(&["audit", "--platform", &platform, "--service", "swap-desk"]);
    let text = String::from_utf8_lossy(&audit.stdout);
    assert_eq!(text.lines().filter(|l| l.starts_with("version ")).count(), 2, "{text}");
    assert!(text.contains("-  timeout_ms: 800") && text.contains("+  timeout_ms: 500"), "{text}");
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
}

/// Symptom: an operator's bad template silently reaches entry nodes, or is rejected one finding at a time.
/// Sequence: a template with two errors is applied through the CLI.
/// Cause: validation that stops early or writes before checking.
#[test]
fn a_bad_template_is_refused_with_every_finding_and_nothing_written() {
    let dir = std::env::temp_dir().join(format!("oatcove-e2e-bad-{}", std::process::id()));
    let cluster =
        Cluster::start(&bins(), &dir, &Spec { upstreams_per_zone: 1, entries: 1, ..spec() });
    let output = cluster
        .apply("bad.yaml", "service: swap-desk\ndefaults:\n  timeout: 5\n  max_attempts: 0\n");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains("defaults.timeout") && stderr.contains("defaults.max_attempts"),
        "{stderr}"
    );
    let platform = cluster.platform.addr.to_string();
    let audit = cluster.cli(&["audit", "--platform", &platform]);
    assert!(audit.stdout.is_empty(), "{}", String::from_utf8_lossy(&audit.stdout));
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
}

fn executed(addr: std::net::SocketAddr) -> u64 {
    let response =
        xtask::cluster::call(addr, http::Method::GET, "/admin/stats", Vec::new()).expect("stats");
    let stats: serde_json::Value = serde_json::from_slice(response.body()).expect("json");
    stats["executed"].as_u64().expect("executed")
}

/// Symptom: an upstream being stopped still receives calls, or calls in
/// flight to it are cut.
/// Sequence: under load, an operator drains one upstream and waits until
/// every entry node holds no call to it; the load goes on.
/// Cause: following only the lagging VM list, or cutting calls on drain.
#[test]
fn a_drained_upstream_gets_no_new_calls_and_no_call_is_cut() {
    let dir = std::env::temp_dir().join(format!("oatcove-e2e-drain-{}", std::process::id()));
    let cluster = Cluster::start(&bins(), &dir, &spec());
    let applied = cluster.apply("v1.yaml", "service: swap-desk\n");
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    assert!(cluster.wait_for_version("swap-desk", 1, PROPAGATION_BOUND).is_some());

    let json = dir.join("load.json");
    let mut load = Command::new(cluster.bins.join("oatcove-load"));
    load.args(["--entry", &cluster.entries[0].addr.to_string(), "--service", "swap-desk"])
        .args([
            "--zone",
            "attiki-a",
            "--rate",
            "200",
            "--duration-s",
            "3",
            "--json",
            &json.to_string_lossy(),
        ])
        .stdout(std::process::Stdio::null());
    let load = load.spawn().expect("load starts");
    std::thread::sleep(Duration::from_secs(1));
    let drained = cluster.upstreams[0].addr;
    let platform = cluster.platform.addr.to_string();
    let output = cluster.cli(&["drain", "--platform", &platform, "--wait", &drained.to_string()]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let at_drain = executed(drained);
    let output = load.wait_with_output().expect("load finishes");
    assert!(output.status.success());
    assert_eq!(executed(drained), at_drain, "calls reached the drained upstream after the drain");
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("report")).expect("json");
    assert_eq!(report["errors"], serde_json::json!({}), "{report}");
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
}
