//! `cargo xtask slopes`: the per-unit costs docs/CAPACITY.md is worked from.
//!
//! Each figure is a slope measured on one entry node process with small
//! stand-ins on loopback: processor time from `/proc/PID/schedstat`, memory
//! from `VmRSS`, bytes from the answers themselves. Figures are whole-process
//! and noisy; the page quotes them as measured by one run.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;
use store::proto;
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
        let store = store::Store::new(addr);
        let mut bytes = 0;
        for index in 1..=count {
            let text = format!(
                "service: svc-{index:04}\ndefaults:\n  timeout_ms: 700\n  max_attempts: 2\nteams:\n  team-a:\n    timeout_ms: 300\n  team-b:\n    zone_affinity: false\n"
            );
            bytes += text.len();
            let txn = proto::Txn {
                change_id: format!("bench-{index}").into(),
                writes: vec![proto::Write {
                    table: store::TEMPLATES.into(),
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

/// Sizes of the fleets of entry nodes measured.
const FLEETS: [usize; 3] = [1, 8, 32];

/// Time for a fleet's membership to settle.
const JOIN: Duration = Duration::from_secs(8);

/// Probes per second and budget of the probing measurement.
const PROBES_PER_S: u64 = 200;

/// A system in one zone with quick upstreams.
fn one_zone(upstreams_per_zone: usize, entries: usize) -> Spec {
    Spec {
        service: "swap-desk".into(),
        zones: vec!["z-0".into()],
        upstreams_per_zone,
        entries,
        slots: 4,
        light_ms: 1,
        heavy_ms: 1,
    }
}

fn counter(cluster: &Cluster, name: &str) -> f64 {
    cluster.ask_entry(0, "/v1/status")["counters"][name].as_f64().unwrap_or(f64::NAN)
}

/// Measures what an idle entry node spends by the size of the fleet.
fn membership(bins: &Path, dir: &Path) -> Vec<serde_json::Value> {
    let measure = |entries: usize| {
        let cluster = Cluster::start(bins, dir, &one_zone(1, entries));
        std::thread::sleep(JOIN);
        let names = ["peer_packets_sent", "peer_bytes_sent", "peer_bytes_received"];
        let before = names.map(|name| counter(&cluster, name));
        let cpu_us_per_s = cpu_rate_us_per_s(&cluster, WINDOW);
        let rates: Vec<f64> = names
            .iter()
            .zip(before)
            .map(|(name, before)| (counter(&cluster, name) - before) / WINDOW.as_secs_f64())
            .collect();
        let alive = cluster.ask_entry(0, "/v1/status")["peers"].as_object().map_or(0, |p| p.len());
        println!("fleet of {entries}: {cpu_us_per_s:.0} us/s of CPU, {:.1} packets/s, {:.0} B/s sent, {:.0} B/s received, {alive} peers", rates[0], rates[1], rates[2]);
        json!({
            "entries": entries, "peers": alive, "cpu_us_per_s": cpu_us_per_s,
            "packets_sent_per_s": rates[0], "bytes_sent_per_s": rates[1],
            "bytes_received_per_s": rates[2], "rss_bytes": cluster.entries[0].rss_bytes(),
        })
    };
    FLEETS.into_iter().map(measure).collect()
}

/// Poll period of the second idle measurement.
const SLOW_POLL: Duration = Duration::from_secs(2);

/// Reads per poll period: templates, drains and the VM list.
const READS_PER_POLL: f64 = 3.0;

/// Measures an idle node that polls a tenth as often; returns its CPU in us/s.
fn idle_polling_slowly(bins: &Path, dir: &Path) -> f64 {
    let mut cluster = Cluster::start(bins, dir, &one_zone(1, 0));
    let period = SLOW_POLL.as_millis().to_string();
    cluster.start_entry("z-0", &[("config_poll_ms", period.clone()), ("vm_poll_ms", period)]);
    std::thread::sleep(JOIN);
    cpu_rate_us_per_s(&cluster, WINDOW * 2)
}

/// Measures what one probe costs the entry node that sends it.
fn probing(bins: &Path, dir: &Path) -> serde_json::Value {
    let mut cluster = Cluster::start(bins, dir, &one_zone(8, 0));
    cluster.start_entry("z-0", &[("probe_cap_per_s", PROBES_PER_S.to_string())]);
    let listed = xtask::cluster::vm(&cluster.entries[0], proto::VmRole::Entry, "");
    cluster.put_vms(&[listed]);
    std::thread::sleep(JOIN);
    let idle_us_per_s = cpu_rate_us_per_s(&cluster, WINDOW);
    let template = format!("service: swap-desk\ndefaults:\n  probe_budget_per_s: {PROBES_PER_S}\n");
    assert!(cluster.apply("probed.yaml", &template).status.success());
    // Until the duties have settled.
    std::thread::sleep(JOIN + Duration::from_secs(3));
    let before = counter(&cluster, "probes_sent");
    let cpu_us_per_s = cpu_rate_us_per_s(&cluster, WINDOW);
    let sent = counter(&cluster, "probes_sent") - before;
    let per_s = sent / WINDOW.as_secs_f64();
    let probe_us = (cpu_us_per_s - idle_us_per_s) / per_s;
    println!("probe: {probe_us:.0} us of entry CPU each, at {per_s:.0} probes/s");
    json!({
        "probes_per_s": per_s, "idle_cpu_us_per_s": idle_us_per_s,
        "cpu_us_per_s": cpu_us_per_s, "cpu_us_per_probe": probe_us,
    })
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
    println!("idle: {idle_us_per_s:.0} us/s of CPU, polling each {} ms", POLL.as_millis());

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

    drop(cluster);
    let membership = membership(bins, &dir.join("membership"));
    let probing = probing(bins, &dir.join("probing"));
    let slow_us_per_s = idle_polling_slowly(bins, &dir.join("slow-poll"));
    let reads_per_s = |period: Duration| READS_PER_POLL / period.as_secs_f64();
    let read_us = (idle_us_per_s - slow_us_per_s) / (reads_per_s(POLL) - reads_per_s(SLOW_POLL));
    let timers_us_per_s = slow_us_per_s - read_us * reads_per_s(SLOW_POLL);
    println!("platform read: {read_us:.0} us each; timers: {timers_us_per_s:.0} us/s");
    let figures = json!({
        "read_cpu_us": read_us,
        "timers_cpu_us_per_s": timers_us_per_s,
        "membership": membership,
        "probing": probing,
        "window_s": WINDOW.as_secs(),
        "poll_ms": POLL.as_millis() as u64,
        "entry_base_rss_bytes": base_rss,
        "idle_cpu_us_per_s": idle_us_per_s,
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
