//! `cargo xtask slopes`: the per-unit costs from which docs/CAPACITY.md is calculated.
//!
//! Each cost is the slope between two measurements of one entry node process with small stand-ins
//! on loopback: CPU time of its main thread from `/proc/PID/schedstat`, memory from `VmRSS`, sizes
//! from the response bodies. The figures include everything that the process does meanwhile and are
//! noisy; the page quotes those of a single run.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;
use store::proto;
use xtask::cluster::{send_request, Cluster, ClusterSpec};

/// Number of services in the deployment that the requirements describe.
const SERVICES: usize = 560;

/// Number of endpoints in the deployment that the requirements describe.
const ENDPOINTS: usize = 6_700;

/// Number of availability zones over which the endpoints are distributed.
const ZONES: usize = 19;

/// Duration of each measurement.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(4);

/// Poll interval that the launcher sets for config and for the VM list.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the CPU time that entry node 0 uses per second during `window`, in microseconds.
fn cpu_rate_us_per_s(cluster: &Cluster, window: Duration) -> f64 {
    let before = cluster.entries[0].cpu_time();
    std::thread::sleep(window);
    let after = cluster.entries[0].cpu_time();
    (after - before).as_secs_f64() * 1e6 / window.as_secs_f64()
}

/// Sends light calls through entry node 0 for the measurement window, at `rate` per second; returns
/// the CPU time that the node used meanwhile, in microseconds, and the load report.
fn run_load(cluster: &Cluster, rate: u64) -> (f64, serde_json::Value) {
    let json_path = cluster.work_dir.join(format!("slopes-load-{rate}.json"));
    let before = cluster.entries[0].cpu_time();
    let status = Command::new(cluster.bin_dir.join("oatcove-load"))
        .args([
            "--entry",
            &cluster.entries[0].addr.to_string(),
            "--service",
            "swap-desk",
            "--zone",
            "z-0",
        ])
        .args([
            "--rate",
            &rate.to_string(),
            "--duration-s",
            &MEASUREMENT_WINDOW.as_secs().to_string(),
            "--heavy-percent",
            "0",
        ])
        .args(["--json", &json_path.to_string_lossy()])
        .stdout(std::process::Stdio::null())
        .status()
        .expect("load tool runs");
    assert!(status.success());
    let cpu_us = (cluster.entries[0].cpu_time() - before).as_secs_f64() * 1e6;
    let report = serde_json::from_slice(&std::fs::read(&json_path).expect("report is readable"))
        .expect("report is JSON");
    (cpu_us, report)
}

/// Commits the templates of `count` services; returns the mean size of a template, in bytes.
fn commit_templates(cluster: &Cluster, count: usize) -> usize {
    let addr = cluster.platform.addr;
    let mut runtime = web::runtime();
    runtime.block_on(async move {
        let store = store::Store::new(addr);
        let mut total_bytes = 0;
        for index in 1..=count {
            let text = format!(
                "service: svc-{index:04}\ndefaults:\n  timeout_ms: 700\n  max_attempts: 2\nteams:\n  team-a:\n    timeout_ms: 300\n  team-b:\n    zone_affinity: false\n"
            );
            total_bytes += text.len();
            let txn = proto::Txn {
                change_id: format!("bench-{index}").into(),
                writes: vec![proto::Write {
                    table: store::TEMPLATES.into(),
                    key: format!("svc-{index:04}").into(),
                    expected_version: 0,
                    value: text,
                }],
            };
            store.commit(&txn).await.expect("commit succeeds");
        }
        total_bytes / count
    })
}

/// Returns the VM-list entries of upstreams that do not exist, distributed over the services
/// and zones.
fn fake_vms() -> Vec<proto::Vm> {
    (0..ENDPOINTS)
        .map(|index| proto::Vm {
            addr: std::net::SocketAddr::from((
                [127, 0, 1 + (index / 60_000) as u8, 1],
                1_000 + (index % 60_000) as u16,
            )),
            zone: format!("region-{}-zone-{}", index % ZONES / 3, index % ZONES).into(),
            role: proto::VmRole::Upstream,
            service: format!("svc-{:04}", 1 + index % SERVICES).into(),
            state: proto::VmState::Live,
            id: Default::default(),
        })
        .collect()
}

/// Numbers of entry nodes for which the cost of membership is measured.
const FLEET_SIZES: [usize; 3] = [1, 8, 32];

/// Time after which all entry nodes of a new cluster know each other.
const MEMBERSHIP_SETTLING_TIME: Duration = Duration::from_secs(8);

/// Probe rate of the probing measurement: limit of the entry node and budget of the service.
const PROBES_PER_S: u64 = 200;

/// Returns the spec of a cluster in one zone whose upstreams respond fast.
fn one_zone_spec(upstreams_per_zone: usize, entries: usize) -> ClusterSpec {
    ClusterSpec {
        service: "swap-desk".into(),
        zones: vec!["z-0".into()],
        upstreams_per_zone,
        entries,
        slots: 4,
        light_ms: 1,
        heavy_ms: 1,
    }
}

/// Returns the counter `name` in the status of entry node 0; NaN when it cannot be read.
fn counter(cluster: &Cluster, name: &str) -> f64 {
    cluster.get_entry_json(0, "/v1/status")["counters"][name].as_f64().unwrap_or(f64::NAN)
}

/// Measures CPU time, traffic and memory of an idle entry node for each fleet size.
fn measure_membership(bin_dir: &Path, work_dir: &Path) -> Vec<serde_json::Value> {
    let measure = |entries: usize| {
        let cluster = Cluster::start(bin_dir, work_dir, &one_zone_spec(1, entries));
        std::thread::sleep(MEMBERSHIP_SETTLING_TIME);
        let names = ["peer_packets_sent", "peer_bytes_sent", "peer_bytes_received"];
        let before = names.map(|name| counter(&cluster, name));
        let cpu_us_per_s = cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW);
        let rates: Vec<f64> = names
            .iter()
            .zip(before)
            .map(|(name, before)| {
                (counter(&cluster, name) - before) / MEASUREMENT_WINDOW.as_secs_f64()
            })
            .collect();
        let peer_count = cluster.get_entry_json(0, "/v1/status")["peers"]
            .as_object()
            .map_or(0, |peers| peers.len());
        println!("fleet of {entries}: {cpu_us_per_s:.0} us/s of CPU, {:.1} packets/s, {:.0} B/s sent, {:.0} B/s received, {peer_count} peers", rates[0], rates[1], rates[2]);
        json!({
            "entries": entries, "peers": peer_count, "cpu_us_per_s": cpu_us_per_s,
            "packets_sent_per_s": rates[0], "bytes_sent_per_s": rates[1],
            "bytes_received_per_s": rates[2], "rss_bytes": cluster.entries[0].rss_bytes(),
        })
    };
    FLEET_SIZES.into_iter().map(measure).collect()
}

/// Poll interval of the second idle measurement.
const SLOW_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads of the platform per poll interval: templates, drains and the VM list.
const READS_PER_POLL_INTERVAL: f64 = 3.0;

/// Measures an idle entry node that polls a tenth as often; returns the CPU time that it uses per
/// second, in microseconds.
fn measure_slow_poll_cpu_us_per_s(bin_dir: &Path, work_dir: &Path) -> f64 {
    let mut cluster = Cluster::start(bin_dir, work_dir, &one_zone_spec(1, 0));
    let interval = SLOW_POLL_INTERVAL.as_millis().to_string();
    cluster.start_entry("z-0", &[("config_poll_ms", interval.clone()), ("vm_poll_ms", interval)]);
    std::thread::sleep(MEMBERSHIP_SETTLING_TIME);
    cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW * 2)
}

/// Measures the CPU time that a probe costs the entry node that sends it.
fn measure_probing(bin_dir: &Path, work_dir: &Path) -> serde_json::Value {
    let mut cluster = Cluster::start(bin_dir, work_dir, &one_zone_spec(8, 0));
    cluster.start_entry("z-0", &[("probe_cap_per_s", PROBES_PER_S.to_string())]);
    let entry_vm = xtask::cluster::vm(&cluster.entries[0], proto::VmRole::Entry, "");
    cluster.put_vms(&[entry_vm]);
    std::thread::sleep(MEMBERSHIP_SETTLING_TIME);
    let idle_cpu_us_per_s = cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW);
    let template = format!("service: swap-desk\ndefaults:\n  probe_budget_per_s: {PROBES_PER_S}\n");
    assert!(cluster.apply_template("probed.yaml", &template).status.success());
    // The probe assignments settle meanwhile.
    std::thread::sleep(MEMBERSHIP_SETTLING_TIME + Duration::from_secs(3));
    let before = counter(&cluster, "probes_sent");
    let cpu_us_per_s = cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW);
    let probes_sent = counter(&cluster, "probes_sent") - before;
    let probes_per_s = probes_sent / MEASUREMENT_WINDOW.as_secs_f64();
    let probe_us = (cpu_us_per_s - idle_cpu_us_per_s) / probes_per_s;
    println!("probe: {probe_us:.0} us of entry CPU each, at {probes_per_s:.0} probes/s");
    json!({
        "probes_per_s": probes_per_s, "idle_cpu_us_per_s": idle_cpu_us_per_s,
        "cpu_us_per_s": cpu_us_per_s, "cpu_us_per_probe": probe_us,
    })
}

/// Runs all measurements and writes the figures to the file `out`, as JSON.
pub fn run(bin_dir: &Path, work_dir: &Path, out: &Path) {
    let spec = ClusterSpec {
        service: "swap-desk".into(),
        zones: vec!["z-0".into()],
        upstreams_per_zone: 4,
        entries: 1,
        slots: 64,
        light_ms: 1,
        heavy_ms: 1,
    };
    let cluster = Cluster::start(bin_dir, work_dir, &spec);
    let applied = cluster
        .apply_template("swap-desk.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 800\n");
    assert!(applied.status.success());
    cluster.wait_for_version("swap-desk", 1, Duration::from_secs(10)).expect("template applied");
    std::thread::sleep(Duration::from_secs(1));
    let base_rss = cluster.entries[0].rss_bytes();

    let idle_cpu_us_per_s = cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW);
    println!(
        "idle: {idle_cpu_us_per_s:.0} us/s of CPU, polling every {} ms",
        POLL_INTERVAL.as_millis()
    );

    let (low_rate, high_rate) = (1_000u64, 4_000u64);
    let (low_cpu_us, low_report) = run_load(&cluster, low_rate);
    let (high_cpu_us, high_report) = run_load(&cluster, high_rate);
    let calls = |rate: u64| (rate * MEASUREMENT_WINDOW.as_secs()) as f64;
    let call_cpu_us = (high_cpu_us - low_cpu_us) / (calls(high_rate) - calls(low_rate));
    let rss_after_load = cluster.entries[0].rss_bytes();
    println!("call: {call_cpu_us:.1} us of entry CPU per call (slope between {low_rate}/s and {high_rate}/s)");

    let rss_before_templates = cluster.entries[0].rss_bytes();
    let cpu_before = cluster.entries[0].cpu_time();
    let started = Instant::now();
    let row_bytes = commit_templates(&cluster, SERVICES - 1);
    let last_service = format!("svc-{:04}", SERVICES - 1);
    cluster.wait_for_version(&last_service, 1, Duration::from_secs(30)).expect("templates applied");
    let cpu_used = cluster.entries[0].cpu_time() - cpu_before;
    let template_cpu_us = (cpu_used.as_secs_f64() * 1e6
        - idle_cpu_us_per_s * started.elapsed().as_secs_f64())
        / (SERVICES - 1) as f64;
    std::thread::sleep(Duration::from_secs(1));
    let template_rss = (cluster.entries[0].rss_bytes() as f64 - rss_before_templates as f64)
        / (SERVICES - 1) as f64;
    println!("template: {template_cpu_us:.1} us CPU to apply, {template_rss:.0} B of memory, {row_bytes} B per row");

    let idle_with_templates_us_per_s = cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW);
    let rss_before_vms = cluster.entries[0].rss_bytes();
    let vms = fake_vms();
    cluster.put_vms(&vms);
    std::thread::sleep(Duration::from_secs(2));
    let idle_with_vms_us_per_s = cpu_rate_us_per_s(&cluster, MEASUREMENT_WINDOW);
    let vm_rss = (cluster.entries[0].rss_bytes() as f64 - rss_before_vms as f64) / ENDPOINTS as f64;
    let vm_poll_ns_per_vm =
        (idle_with_vms_us_per_s - idle_with_templates_us_per_s) * 1e3 * POLL_INTERVAL.as_secs_f64()
            / ENDPOINTS as f64;
    let full_list = send_request(cluster.platform.addr, http::Method::GET, "/v1/vms", Vec::new())
        .expect("vm list");
    // The 5 other VMs of the list are the cluster's own upstreams and entry node.
    let vm_bytes = full_list.body().len() as f64 / (ENDPOINTS + 5) as f64;
    let head = (ENDPOINTS + 5).to_string();
    let empty_poll = send_request(
        cluster.platform.addr,
        http::Method::GET,
        &format!("/v1/vms?since={head}"),
        Vec::new(),
    )
    .expect("vm changes");
    let empty_poll_body_bytes = empty_poll.body().len();
    println!("vm: {vm_poll_ns_per_vm:.0} ns CPU per VM per poll, {vm_rss:.0} B of memory, {vm_bytes:.0} B per VM in a full list, {empty_poll_body_bytes} B body of an empty change poll");

    drop(cluster);
    let membership = measure_membership(bin_dir, &work_dir.join("membership"));
    let probing = measure_probing(bin_dir, &work_dir.join("probing"));
    let slow_poll_us_per_s = measure_slow_poll_cpu_us_per_s(bin_dir, &work_dir.join("slow-poll"));
    let reads_per_s = |interval: Duration| READS_PER_POLL_INTERVAL / interval.as_secs_f64();
    let read_us = (idle_cpu_us_per_s - slow_poll_us_per_s)
        / (reads_per_s(POLL_INTERVAL) - reads_per_s(SLOW_POLL_INTERVAL));
    let timers_us_per_s = slow_poll_us_per_s - read_us * reads_per_s(SLOW_POLL_INTERVAL);
    println!("platform read: {read_us:.0} us each; timers: {timers_us_per_s:.0} us/s");
    let figures = json!({
        "read_cpu_us": read_us,
        "timers_cpu_us_per_s": timers_us_per_s,
        "membership": membership,
        "probing": probing,
        "window_s": MEASUREMENT_WINDOW.as_secs(),
        "poll_ms": POLL_INTERVAL.as_millis() as u64,
        "entry_base_rss_bytes": base_rss,
        "idle_cpu_us_per_s": idle_cpu_us_per_s,
        "call": {
            "low_rate_per_s": low_rate, "low_cpu_us": low_cpu_us, "low_report": low_report,
            "high_rate_per_s": high_rate, "high_cpu_us": high_cpu_us, "high_report": high_report,
            "cpu_us_per_call": call_cpu_us,
            "rss_after_load_bytes": rss_after_load,
        },
        "template": {
            "count": SERVICES - 1, "apply_cpu_us": template_cpu_us, "rss_bytes": template_rss, "row_bytes": row_bytes,
        },
        "vm": {
            "count": ENDPOINTS, "poll_cpu_ns_per_vm": vm_poll_ns_per_vm, "rss_bytes": vm_rss, "whole_list_bytes_per_vm": vm_bytes, "empty_change_poll_body_bytes": empty_poll_body_bytes,
            "idle_cpu_us_per_s_before": idle_with_templates_us_per_s, "idle_cpu_us_per_s_after": idle_with_vms_us_per_s,
        },
    });
    std::fs::write(out, serde_json::to_string_pretty(&figures).expect("figures encode"))
        .expect("figures written");
    println!("figures written to {}", out.display());
}
