//! End-to-end tests: CLI, platform stand-in, entry nodes, upstreams and load tool run as separate
//! processes.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use rustix::process::Signal;
use store::proto;
use xtask::cluster::{vm, Cluster, ClusterSpec};

/// Returns the directory of the binaries that cargo built with this test.
fn bin_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("test binary path");
    exe.parent().and_then(|deps| deps.parent()).expect("target profile dir").to_owned()
}

/// Returns a cluster of two zones with two upstreams and one entry node each.
fn spec() -> ClusterSpec {
    ClusterSpec {
        service: "swap-desk".into(),
        zones: vec!["attiki-a".into(), "attiki-b".into()],
        upstreams_per_zone: 2,
        entries: 2,
        slots: 6,
        light_ms: 1,
        heavy_ms: 10,
    }
}

/// Time within which a config change must be in force on every entry node: the requirement is 6 s.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(6);

/// Time allowed for a state that is usually reached within a few seconds; long, for busy machines.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a cluster in a directory of its own, and waits until `template` is in force on every
/// entry node.
fn start_cluster(name: &str, spec: &ClusterSpec, template: &str) -> Cluster {
    let dir = std::env::temp_dir().join(format!("oatcove-e2e-{name}-{}", std::process::id()));
    let cluster = Cluster::start(&bin_dir(), &dir, spec);
    let applied = cluster.apply_template("v1.yaml", template);
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    assert!(cluster.wait_for_version("swap-desk", 1, MAX_PROPAGATION_TIME).is_some());
    cluster
}

/// Starts the load tool against entry node 0, for `duration_s` seconds; returns the process and the
/// path to which it writes its report.
fn start_load(cluster: &Cluster, rate: u32, duration_s: u32) -> (std::process::Child, PathBuf) {
    let json = cluster.work_dir.join("load.json");
    let mut load = Command::new(cluster.bin_dir.join("oatcove-load"));
    load.args(["--entry", &cluster.entries[0].addr.to_string(), "--service", "swap-desk"])
        .args(["--zone", "attiki-a", "--rate", &rate.to_string()])
        .args(["--duration-s", &duration_s.to_string(), "--json", &json.to_string_lossy()])
        .stdout(std::process::Stdio::null());
    for addr in cluster.upstream_addrs() {
        load.args(["--upstream", &addr.to_string()]);
    }
    (load.spawn().expect("load tool starts"), json)
}

fn read_report(json: &PathBuf) -> serde_json::Value {
    serde_json::from_slice(&std::fs::read(json).expect("report is readable"))
        .expect("report is JSON")
}

/// Returns whether a node's status shows the upstream at `addr` as leaving, in the pool of any
/// service.
fn is_leaving(status: &serde_json::Value, addr: std::net::SocketAddr) -> bool {
    let text = addr.to_string();
    let pools = status["upstreams"].as_object().map(|pools| pools.values());
    pools.into_iter().flatten().flat_map(|list| list.as_array().into_iter().flatten()).any(
        |upstream| {
            upstream["addr"].as_str() == Some(text.as_str())
                && upstream["leaving"].as_bool() == Some(true)
        },
    )
}

/// Returns the standing of the peer at `addr` in a node's status; `none` when it is not listed.
fn peer_standing(status: &serde_json::Value, addr: std::net::SocketAddr) -> String {
    status["peers"][addr.to_string()].as_str().unwrap_or("none").to_owned()
}

/// Guards against calls to an upstream that started to drain by itself and is still live in the VM
/// list, because no node probes it, or because only the node that probed it knows the result.
#[test]
fn a_drain_that_is_not_in_the_vm_list_reaches_every_entry_node() {
    let spec = ClusterSpec { entries: 3, ..spec() };
    let cluster = start_cluster(
        "selfdrain",
        &spec,
        "service: swap-desk\ndefaults:\n  probe_budget_per_s: 20\n",
    );
    cluster.set_upstream_mode(0, &serde_json::json!({"draining": true}));
    let drained = cluster.upstreams[0].addr;
    for index in 0..3 {
        let is_marked =
            cluster.wait_for_status(index, TEST_TIMEOUT, |status| is_leaving(status, drained));
        assert!(is_marked, "entry node {index} still sends calls to the draining upstream");
    }
    cluster.set_upstream_mode(0, &serde_json::json!({}));
    for index in 0..3 {
        let is_restored = cluster.wait_for_status(index, TEST_TIMEOUT, |status| {
            !status["upstreams"].is_null() && !is_leaving(status, drained)
        });
        assert!(is_restored, "entry node {index} does not send calls to the upstream again");
    }
}

/// Guards against callers that are sent to an entry node that is gone, because discovery relies on
/// the platform's list alone, which lags; and against a node that stays dead to its peers after a
/// pause longer than the suspicion timeout, because it cannot refute its death.
#[test]
fn a_killed_entry_node_is_not_discovered_and_a_paused_one_is_alive_again() {
    let mut cluster =
        start_cluster("kill", &ClusterSpec { entries: 3, ..spec() }, "service: swap-desk\n");
    let (killed, paused) = (cluster.entries[1].addr, cluster.entries[2].addr);
    for addr in [killed, paused] {
        assert!(cluster.wait_for_status(0, TEST_TIMEOUT, |s| peer_standing(s, addr) == "Alive"));
    }
    cluster.entries[1].signal(Signal::KILL);
    cluster.entries[1].wait_exit(TEST_TIMEOUT);
    assert!(cluster.wait_for_status(0, TEST_TIMEOUT, |s| peer_standing(s, killed) == "Dead"));
    let entries =
        cluster.get_entry_json(0, "/v1/entries?service=swap-desk&zone=attiki-a").to_string();
    assert!(!entries.contains(&killed.to_string()), "{entries}");
    assert!(entries.contains(&paused.to_string()), "{entries}");
    cluster.entries[2].signal(Signal::STOP);
    assert!(cluster.wait_for_status(0, TEST_TIMEOUT, |s| peer_standing(s, paused) == "Dead"));
    cluster.entries[2].signal(Signal::CONT);
    assert!(cluster.wait_for_status(0, TEST_TIMEOUT, |s| peer_standing(s, paused) == "Alive"));
}

/// Guards against calls that are cut by a planned stop: on SIGTERM, an entry node exits immediately
/// instead of leaving first and finishing its calls in flight.
#[test]
fn a_stopping_entry_node_cuts_no_call() {
    let mut cluster =
        start_cluster("term", &ClusterSpec { entries: 3, ..spec() }, "service: swap-desk\n");
    let (stopped, other) = (cluster.entries[0].addr, 1);
    assert!(cluster.wait_for_status(other, TEST_TIMEOUT, |s| peer_standing(s, stopped) == "Alive"));
    let (mut load, json) = start_load(&cluster, 200, 4);
    std::thread::sleep(Duration::from_secs(1));
    cluster.entries[0].signal(Signal::TERM);
    assert!(cluster.wait_for_status(other, TEST_TIMEOUT, |s| peer_standing(s, stopped) == "Left"));
    assert_eq!(
        cluster.entries[0].wait_exit(TEST_TIMEOUT),
        Some(true),
        "exits by itself with success"
    );
    assert!(load.wait().expect("load tool exits").success());
    let report = read_report(&json);
    assert_eq!(report["errors"], serde_json::json!({}), "{report}");
    let entries = cluster.get_entry_json(other, "/v1/entries?service=swap-desk").to_string();
    assert!(!entries.contains(&stopped.to_string()), "{entries}");
}

/// Guards against an entry node that refuses every call when it starts during an outage of the
/// platform: VMs keep no state, so a node that reads config and VM list from the platform only has
/// neither. It must read them from a seed peer.
#[test]
fn a_node_started_during_an_outage_reads_config_and_vm_list_from_peers() {
    let mut cluster = start_cluster("outage", &spec(), "service: swap-desk\n");
    cluster.set_platform_faults(&proto::Faults { outage: true, ..Default::default() });
    let seeds = format!("[\"{}\"]", cluster.entries[0].addr);
    cluster.start_entry("attiki-a", &[("seed_addrs", seeds)]);
    let is_ready = cluster.wait_for_status(2, TEST_TIMEOUT, |status| {
        status["templates"]["swap-desk"] == 1
            && status["upstreams"]["swap-desk"].as_array().is_some_and(|list| list.len() == 4)
    });
    assert!(is_ready, "{}", cluster.get_entry_json(2, "/v1/status"));
    let addr = cluster.entries[2].addr;
    let response =
        xtask::cluster::send_request(addr, http::Method::GET, "/s/swap-desk/light", Vec::new());
    assert_eq!(response.expect("a response").status(), http::StatusCode::OK);
}

/// Guards against a node that misses accepted changes, because it alone cannot reach the platform
/// and reads config from nowhere else: a config change and a drain must reach it through its peers.
#[test]
fn a_node_partitioned_from_the_platform_receives_changes_through_its_peers() {
    let mut cluster = start_cluster("cutoff", &spec(), "service: swap-desk\n");
    let closed = emu::closed_port::ClosedPort::new().expect("a port is free");
    let unreachable_addr = closed.addr().to_string();
    let seeds = format!("[\"{}\"]", cluster.entries[0].addr);
    cluster.start_entry("attiki-a", &[("platform_addr", unreachable_addr), ("seed_addrs", seeds)]);
    assert!(cluster.wait_for_status(2, TEST_TIMEOUT, |s| s["templates"]["swap-desk"] == 1));
    let entry = vm(&cluster.entries[2], proto::VmRole::Entry, "");
    cluster.put_vms(&[entry]);
    let applied =
        cluster.apply_template("v2.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 700\n");
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    assert!(
        cluster.wait_for_version("swap-desk", 2, MAX_PROPAGATION_TIME).is_some(),
        "v2 not in force on every node within the bound"
    );
    let output = cluster.drain_upstream(cluster.upstreams[0].addr);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(is_leaving(&cluster.get_entry_json(2, "/v1/status"), cluster.upstreams[0].addr));
}

/// Guards against a claim that runs twice, because it is sent again although it may have run, and
/// against a caller that is told a wrong outcome, because a node guesses it. Half of the calls are
/// claims; an upstream and an entry node are paused past every deadline, an entry node is killed,
/// an upstream drains, another becomes a straggler, and the platform has an outage. What callers
/// were told is checked against what upstreams ran.
#[test]
fn claims_run_at_most_once_through_kills_pauses_and_an_outage() {
    let spec = ClusterSpec { entries: 3, upstreams_per_zone: 3, ..spec() };
    let template = "service: swap-desk\ndefaults:\n  timeout_ms: 700\n  max_attempts: 3\n";
    let cluster = start_cluster("claims", &spec, template);
    let json = cluster.work_dir.join("load.json");
    let mut load = Command::new(cluster.bin_dir.join("oatcove-load"));
    load.args(["--entry", &cluster.entries[0].addr.to_string(), "--service", "swap-desk"])
        .args(["--zone", "attiki-a", "--zone", "attiki-b", "--rate", "400"])
        .args(["--duration-s", "9", "--claim-percent", "50", "--json", &json.to_string_lossy()])
        .stdout(std::process::Stdio::null());
    for addr in cluster.upstream_addrs() {
        load.args(["--upstream", &addr.to_string()]);
    }
    let mut load = load.spawn().expect("load tool starts");
    let wait_one_second = || std::thread::sleep(Duration::from_secs(1));
    wait_one_second();
    cluster.upstreams[0].signal(Signal::STOP);
    wait_one_second();
    cluster.upstreams[0].signal(Signal::CONT);
    cluster.entries[1].signal(Signal::STOP);
    wait_one_second();
    cluster.entries[1].signal(Signal::CONT);
    cluster.set_platform_faults(&proto::Faults { outage: true, ..Default::default() });
    cluster.set_upstream_mode(1, &serde_json::json!({"straggle_factor": 300}));
    wait_one_second();
    cluster.entries[2].signal(Signal::KILL);
    cluster.set_upstream_mode(2, &serde_json::json!({"draining": true}));
    wait_one_second();
    cluster.set_platform_faults(&proto::Faults::default());
    cluster.set_upstream_mode(1, &serde_json::json!({}));
    assert!(load.wait().expect("load tool exits").success());
    let claims = &read_report(&json)["claims"];
    for violation in ["ran_twice", "ran_though_told_not", "done_though_never_ran"] {
        assert_eq!(claims[violation], serde_json::json!([]), "{violation}: {claims}");
    }
    let count = |outcome: &str| claims[outcome].as_u64().expect("count");
    assert!(2 * count("done") > count("sent"), "too little was served: {claims}");
}

/// Guards against upstreams that are probed more often than their service's budget allows, because
/// each entry node probes at the whole budget, or two nodes hold the same probe assignment. Under
/// load, three entry nodes probe four upstreams while one node is killed and another starts.
#[test]
fn probes_of_the_whole_fleet_stay_within_the_budget() {
    let budget = 8;
    let template = format!("service: swap-desk\ndefaults:\n  probe_budget_per_s: {budget}\n");
    let mut cluster = start_cluster("budget", &ClusterSpec { entries: 3, ..spec() }, &template);
    let (mut load, _) = start_load(&cluster, 300, 16);
    let probes = |cluster: &Cluster| -> u64 {
        cluster.upstreams.iter().map(|u| stats(u.addr)["probes"].as_u64().expect("probes")).sum()
    };
    // The budget counts from the first probe on: unused budget does not accumulate before it.
    let started = std::time::Instant::now();
    while probes(&cluster) == 0 && started.elapsed() < TEST_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    let first_probe_at = std::time::Instant::now();
    std::thread::sleep(Duration::from_secs(4));
    cluster.entries[2].signal(Signal::KILL);
    cluster.start_entry("attiki-b", &[]);
    let new_entry = vm(&cluster.entries[3], proto::VmRole::Entry, "");
    let killed_entry = proto::Vm {
        state: proto::VmState::Gone,
        ..vm(&cluster.entries[2], proto::VmRole::Entry, "")
    };
    cluster.put_vms(&[new_entry, killed_entry]);
    std::thread::sleep(Duration::from_secs(6));
    assert!(load.wait().expect("load tool exits").success());
    let probes = probes(&cluster);
    // The first probe by each watcher of each upstream may be sent at any time.
    let first_probes = 2 * cluster.upstreams.len() as u64;
    let allowed = budget * (first_probe_at.elapsed().as_secs() + 1) + first_probes;
    assert!(probes <= allowed, "{probes} probes, {allowed} allowed");
    assert!(probes > 0, "no upstream is probed");
}

/// Checks the whole path: an applied template is in force on every entry node, all calls succeed
/// and run once, and a config change is in force everywhere and in the audit log.
#[test]
fn calls_flow_and_a_config_change_reaches_every_entry_node() {
    let dir = std::env::temp_dir().join(format!("oatcove-e2e-{}", std::process::id()));
    let cluster = Cluster::start(&bin_dir(), &dir, &spec());
    let first =
        cluster.apply_template("v1.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 800\n");
    assert!(first.status.success(), "{}", String::from_utf8_lossy(&first.stderr));
    assert!(
        cluster.wait_for_version("swap-desk", 1, MAX_PROPAGATION_TIME).is_some(),
        "v1 not everywhere"
    );

    let json = dir.join("load.json");
    let mut load = Command::new(cluster.bin_dir.join("oatcove-load"));
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
    let output = load.output().expect("load tool runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("report is readable"))
            .expect("report is JSON");
    assert_eq!(report["errors"], serde_json::json!({}), "{report}");
    assert_eq!(
        report["light"]["ok"].as_u64().unwrap() + report["heavy"]["ok"].as_u64().unwrap(),
        400
    );
    assert_eq!(report["max_executions_per_key"], 1);

    let second =
        cluster.apply_template("v2.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 500\n");
    assert!(second.status.success(), "{}", String::from_utf8_lossy(&second.stderr));
    assert!(
        cluster.wait_for_version("swap-desk", 2, MAX_PROPAGATION_TIME).is_some(),
        "v2 not everywhere"
    );

    let platform = cluster.platform.addr.to_string();
    let audit =
        cluster.run_cli(&["audit", "log", "--platform", &platform, "--service", "swap-desk"]);
    let text = String::from_utf8_lossy(&audit.stdout);
    assert_eq!(text.lines().filter(|l| l.starts_with("version ")).count(), 2, "{text}");
    assert!(text.contains("-  timeout_ms: 800") && text.contains("+  timeout_ms: 500"), "{text}");
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
}

/// Guards against an invalid template that reaches entry nodes, because it is written before it is
/// validated, or that is rejected one finding at a time, because validation stops at the first
/// error.
#[test]
fn an_invalid_template_is_rejected_with_every_finding_and_nothing_written() {
    let dir = std::env::temp_dir().join(format!("oatcove-e2e-bad-{}", std::process::id()));
    let cluster = Cluster::start(
        &bin_dir(),
        &dir,
        &ClusterSpec { upstreams_per_zone: 1, entries: 1, ..spec() },
    );
    let output = cluster.apply_template(
        "bad.yaml",
        "service: swap-desk\ndefaults:\n  timeout: 5\n  max_attempts: 0\n",
    );
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains("defaults.timeout") && stderr.contains("defaults.max_attempts"),
        "{stderr}"
    );
    let platform = cluster.platform.addr.to_string();
    let audit = cluster.run_cli(&["audit", "log", "--platform", &platform]);
    assert!(audit.stdout.is_empty(), "{}", String::from_utf8_lossy(&audit.stdout));
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
}

/// Returns the counters of the upstream stand-in at `addr`.
fn stats(addr: std::net::SocketAddr) -> serde_json::Value {
    let response =
        xtask::cluster::send_request(addr, http::Method::GET, "/admin/stats", Vec::new())
            .expect("upstream responds");
    serde_json::from_slice(response.body()).expect("stats are JSON")
}

fn executed(addr: std::net::SocketAddr) -> u64 {
    stats(addr)["executed"].as_u64().expect("executed")
}

/// Guards against an upstream that still receives calls after a drain, because entry nodes follow
/// only the VM list, which lags; and against calls in flight that a drain cuts. Under load, an
/// operator drains one upstream and waits until no entry node has a call to it in flight; the load
/// goes on.
#[test]
fn a_drained_upstream_gets_no_new_calls_and_no_call_is_cut() {
    let cluster = start_cluster("drain", &spec(), "service: swap-desk\n");
    let (load, json) = start_load(&cluster, 200, 3);
    std::thread::sleep(Duration::from_secs(1));
    let drained = cluster.upstreams[0].addr;
    let output = cluster.drain_upstream(drained);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let executed_at_drain = executed(drained);
    let output = load.wait_with_output().expect("load tool exits");
    assert!(output.status.success());
    assert_eq!(
        executed(drained),
        executed_at_drain,
        "calls reached the drained upstream after the drain"
    );
    let report = read_report(&json);
    assert_eq!(report["errors"], serde_json::json!({}), "{report}");
}

/// Guards against a request that crashes every upstream, with all other requests that run there:
/// its caller retries it at any entry node, and unless the nodes remember which requests upstreams
/// crashed under, they send it to one upstream after the other and treat each retry as a new
/// request.
#[test]
fn a_request_that_crashes_upstreams_is_quarantined() {
    let spec = ClusterSpec { entries: 3, upstreams_per_zone: 12, light_ms: 20, ..spec() };
    let mut cluster =
        start_cluster("crash", &spec, "service: swap-desk\ndefaults:\n  max_attempts: 2\n");
    for index in 0..cluster.upstreams.len() {
        cluster.set_upstream_mode(index, &serde_json::json!({"crash_on": "/crash"}));
    }
    for (index, other) in [(0, 1), (1, 2), (2, 0)] {
        let addr = cluster.entries[other].addr;
        assert!(cluster.wait_for_status(index, TEST_TIMEOUT, |s| peer_standing(s, addr) == "Alive"));
    }
    let send = |cluster: &Cluster, n: usize, path: &str| {
        let addr = cluster.entries[n % 3].addr;
        let response = xtask::cluster::send_request(addr, http::Method::GET, path, Vec::new());
        response.map_or(0, |response| response.status().as_u16())
    };
    let mut sent = 0;
    while cluster.crashed_upstream_count() < 3 {
        assert!(sent < 20, "fewer than three upstreams crashed");
        send(&cluster, sent, "/s/swap-desk/crash");
        sent += 1;
    }
    // Until all entry nodes have received the finding.
    std::thread::sleep(Duration::from_secs(3));
    let crashed_before = cluster.crashed_upstream_count();
    for n in 0..12 {
        send(&cluster, n, "/s/swap-desk/crash");
    }
    let newly_crashed = cluster.crashed_upstream_count() - crashed_before;
    assert!(newly_crashed <= 3, "{newly_crashed} more upstreams crashed");
    let other_statuses: Vec<u16> =
        (0..30).map(|n| send(&cluster, n, &format!("/s/swap-desk/{n}"))).collect();
    assert_eq!(
        other_statuses,
        [200; 30],
        "other requests were not all served; {} upstreams crashed",
        cluster.crashed_upstream_count()
    );
}
