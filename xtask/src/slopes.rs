//! `cargo xtask slopes`: the per-unit costs docs/CAPACITY.md is worked from.
//!
//! Each figure is a slope measured on one entry node process with small
//! stand-ins on loopback: processor time from `/proc/PID/schedstat`, memory
//! from `VmRSS`, bytes from the answers themselves. Figures are whole-process
//! and noisy; the page quotes them as measured by one run.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use platform::proto;
use serde_json::json;
use xtask::cluster::{call, Cluster, Spec};

/// Services and endpoints of letter 1's size.
const SERVICES: usize = 560;
const ENDPOINTS: usize = 6_700;
const ZONES: usize = 19;

/// Length of each measuring window.
const WINDOW: Duration = Duration::from_secs(4);

/// Poll period the launcher sets for both follower loops.
const POLL: Duration = Duration::from_millis(200);

fn cpu_rate_us_per_s(cluster: &Cluster, window: Duration) -> f64 {
    let before = cluster.entries[0].cpu();
    std::thread::sleep(window);
    let after = cluster.entries[0].cpu();
    (after - before).as_secs_f64() * 1e6 / window.as_secs_f64()
}

fn load(cluster: &Cluster, rate: u64) -> (f64, serde_json::Value) {
    let json_path = cluster.dir.join(format!("slopes-load-{rate}.json"));
    let before = cluster.entries[0].cpu();
    let status = Command::new(cluster.bins.join("oatcove-load"))
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
            &WINDOW.as_secs().to_string(),
            "--heavy-percent",
            "0",
        ])
        .args(["--json", &json_path.to_string_lossy()])
        .stdout(std::process::Stdio::null())
        .status()
        .expect("load runs");
    assert!(status.success());
    let cpu_us = (cluster.entries[0].cpu() - before).as_secs_f64() * 1e6;
    let report = serde_json::from_slice(&std::fs::read(&json_path).expect("report")).expect("json");
    (cpu_us, report)
}

fn commit_templates(cluster: &Cluster, count: usize) -> usize {
    let addr = cluster.platform.addr;
    let mut runtime = web::runtime();
    runtime.block_on(async move {
        let store = platform::Store::new(addr);
        let mut bytes = 0;
        for index in 1..=count {
            let text = format!(
                "service: svc-{index:04}\ndefaults:\n  timeout_ms: 700\n  max_attempts: 2\nteams:\n  team-a:\n    timeout_ms: 300\n  team-b:\n    zone_affinity: false\n"
            );
            bytes += text.len();
            let txn = proto::Txn {
                change_id: format!("bench-{index}").into(),
                writes: vec![proto::Write {
                    table: platform::TEMPLATES.into(),
                    key: format!("svc-{index:04}").into(),
                    expected_version: 0,
                    value: text,
                }],
            };
            store.commit(&txn).await.expect("commit");
        }
        bytes / count
    })
}

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

/// Runs every measurement and writes the figures to `out` as JSON.
pub fn run(bins: &Path, dir: &Path, out: &Path) {
    let spec = Spec {
        service: "swap-desk".into(),
        zones: vec!["z-0".into()],
        upstreams_per_zone: 4,
        entries: 1,
        slots: 64,
        light_ms: 1,
        heavy_ms: 1,
    };
    let cluster = Cluster::start(bins, dir, &spec);
    let applied =
        cluster.apply("swap-desk.yaml", "service: swap-desk\ndefaults:\n  timeout_ms: 800\n");
    assert!(applied.status.success());
    cluster.wait_for_version("swap-desk", 1, Duration::from_secs(10)).expect("template applied");
    std::thread::sleep(Duration::from_secs(1));
    let base_rss = cluster.entries[0].rss_bytes();

    let idle_us_per_s = cpu_rate_us_per_s(&cluster, WINDOW);
    let polls_per_s = 2.0 / POLL.as_secs_f64();
    println!("idle: {idle_us_per_s:.0} us/s of CPU, {polls_per_s:.0} polls/s");

    let (low_rate, high_rate) = (1_000u64, 4_000u64);
    let (low_cpu, low_report) = load(&cluster, low_rate);
    let (high_cpu, high_report) = load(&cluster, high_rate);
    let calls = |rate: u64| (rate * WINDOW.as_secs()) as f64;
    let call_cpu_us = (high_cpu - low_cpu) / (calls(high_rate) - calls(low_rate));
    let rss_after_load = cluster.entries[0].rss_bytes();
    println!("call: {call_cpu_us:.1} us of entry CPU per call (slope between {low_rate}/s and {high_rate}/s)");

    let rss_before_templates = cluster.entries[0].rss_bytes();
    let cpu_before = cluster.entries[0].cpu();
    let started = Instant::now();
    let row_bytes = commit_templates(&cluster, SERVICES - 1);
    let last = format!("svc-{:04}", SERVICES - 1);
    cluster.wait_for_version(&last, 1, Duration::from_secs(30)).expect("templates applied");
    let busy = cluster.entries[0].cpu() - cpu_before;
    let template_cpu_us = (busy.as_secs_f64() * 1e6
        - idle_us_per_s * started.elapsed().as_secs_f64())
        / (SERVICES - 1) as f64;
    std::thread::sleep(Duration::from_secs(1));
    let template_rss = (cluster.entries[0].rss_bytes() as f64 - rss_before_templates as f64)
        / (SERVICES - 1) as f64;
    println!("template: {template_cpu_us:.1} us CPU to apply, {template_rss:.0} B held, {row_bytes} B per row");

    let idle_templates_us_per_s = cpu_rate_us_per_s(&cluster, WINDOW);
    let rss_before_vms = cluster.entries[0].rss_bytes();
    let vms = fake_vms();
    cluster.put_vms(&vms);
    std::thread::sleep(Duration::from_secs(2));
    let idle_vms_us_per_s = cpu_rate_us_per_s(&cluster, WINDOW);
    let vm_rss = (cluster.entries[0].rss_bytes() as f64 - rss_before_vms as f64) / ENDPOINTS as f64;
    let vm_poll_ns_per_vm =
        (idle_vms_us_per_s - idle_templates_us_per_s) * 1e3 * POLL.as_secs_f64() / ENDPOINTS as f64;
    let list =
        call(cluster.platform.addr, http::Method::GET, "/v1/vms", Vec::new()).expect("vm list");
    let vm_bytes = list.body().len() as f64 / (ENDPOINTS + 5) as f64;
    let head = (ENDPOINTS + 5).to_string();
    let delta = call(
        cluster.platform.addr,
        http::Method::GET,
        &format!("/v1/vms?since={head}"),
        Vec::new(),
    )
    .expect("vm changes");
    let empty_delta_body_bytes = delta.body().len();
    println!("vm: {vm_poll_ns_per_vm:.0} ns CPU per VM per poll, {vm_rss:.0} B held, {vm_bytes:.0} B per VM in a whole list, {empty_delta_body_bytes} B body of an empty change poll");

    let figures = json!({
        "window_s": WINDOW.as_secs(),
        "poll_ms": POLL.as_millis() as u64,
        "entry_base_rss_bytes": base_rss,
        "idle_cpu_us_per_s": idle_us_per_s,
        "poll_cpu_us": idle_us_per_s / polls_per_s,
        "call": {
            "low_rate_per_s": low_rate, "low_cpu_us": low_cpu, "low_report": low_report,
            "high_rate_per_s": high_rate, "high_cpu_us": high_cpu, "high_report": high_report,
            "cpu_us_per_call": call_cpu_us,
            "rss_after_load_bytes": rss_after_load,
        },
        "template": {
            "count": SERVICES - 1, "apply_cpu_us": template_cpu_us, "rss_bytes": template_rss, "row_bytes": row_bytes,
        },
        "vm": {
            "count": ENDPOINTS, "poll_cpu_ns_per_vm": vm_poll_ns_per_vm, "rss_bytes": vm_rss, "whole_list_bytes_per_vm": vm_bytes, "empty_change_poll_body_bytes": empty_delta_body_bytes,
            "idle_cpu_us_per_s_before": idle_templates_us_per_s, "idle_cpu_us_per_s_after": idle_vms_us_per_s,
        },
    });
    std::fs::write(out, serde_json::to_string_pretty(&figures).expect("json"))
        .expect("figures written");
    println!("figures written to {}", out.display());
}
