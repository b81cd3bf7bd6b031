//! `cargo xtask policy`: tail latency by way of picking upstreams, on the same stand-ins.
//!
//! For each user's sizes of today, each way of picking runs against the same
//! processes, one after the other within one run: at rest, beside a straggler
//! and beside an upstream that fails fast. Figures of different runs are not
//! comparable; these machines are noisy.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{json, Value};
use xtask::cluster::{Cluster, Spec};

/// Length of one measurement, in seconds.
const RUN_S: u64 = 8;

/// Time between a change of the stand-ins and the measurement.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Sizes of one user's deployment today, with service times and load.
struct User {
    name: &'static str,
    service: &'static str,
    zones: &'static [&'static str],
    upstreams_per_zone: usize,
    entries: usize,
    slots: usize,
    light_ms: u64,
    heavy_ms: u64,
    heavy_percent: u64,
    /// About 60% of what the slots can serve.
    rate_per_s: u64,
}

const USERS: [User; 2] = [
    User {
        name: "sporofilo",
        service: "swap-desk",
        zones: &["attiki-a", "attiki-b", "attiki-c"],
        upstreams_per_zone: 7,
        entries: 18,
        slots: 6,
        light_ms: 40,
        heavy_ms: 300,
        heavy_percent: 10,
        rate_per_s: 1_150,
    },
    User {
        name: "sonar-bangla",
        service: "liveboard",
        zones: &["salt-lake", "howrah", "garia", "dum-dum"],
        upstreams_per_zone: 4,
        entries: 16,
        slots: 4,
        light_ms: 60,
        heavy_ms: 300,
        heavy_percent: 10,
        rate_per_s: 450,
    },
];

/// Ways of picking, as template parameters.
const WAYS: [(&str, &str); 4] = [
    ("round robin", "balance: round_robin, hedge: false"),
    ("least outstanding", "balance: least_outstanding, hedge: false"),
    ("adaptive", "balance: adaptive, hedge: false"),
    ("adaptive, hedged", "balance: adaptive, hedge: true"),
];

const AT_REST: &str = "{}";

/// States of upstream 0 measured.
const SCENARIOS: [(&str, &str); 3] = [
    ("at rest", AT_REST),
    ("one straggler, 8 times slower", r#"{"straggle_factor": 8}"#),
    ("one upstream failing fast", r#"{"fail_fast": true}"#),
];

fn start(user: &User, bins: &Path, dir: &Path) -> Cluster {
    let spec = Spec {
        service: user.service.into(),
        zones: user.zones.iter().map(|z| (*z).to_owned()).collect(),
        upstreams_per_zone: user.upstreams_per_zone,
        entries: user.entries,
        slots: user.slots,
        light_ms: user.light_ms,
        heavy_ms: user.heavy_ms,
    };
    Cluster::start(bins, &dir.join(user.name), &spec)
}

fn put_template(cluster: &Cluster, user: &User, text: &str) {
    let applied = cluster.apply("template.yaml", text);
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    let said = String::from_utf8_lossy(&applied.stdout).into_owned();
    let version = said.split_whitespace().nth(2).and_then(|v| v.trim_end_matches(',').parse().ok());
    if let Some(version) = version {
        let limit = Duration::from_secs(10);
        cluster.wait_for_version(user.service, version, limit).expect("template in force");
    }
}

/// A load run's arguments that differ between scenarios.
struct Offered<'a> {
    name: &'a str,
    team: Option<&'a str>,
    rate_per_s: u64,
    heavy_percent: u64,
}

fn spawn_load(
    cluster: &Cluster,
    user: &User,
    offered: &Offered<'_>,
) -> (Child, std::path::PathBuf) {
    let json = cluster.dir.join(format!("load-{}.json", offered.name));
    let mut load = Command::new(cluster.bins.join("oatcove-load"));
    load.args(["--entry", &cluster.entries[0].addr.to_string(), "--service", user.service])
        .args(["--rate", &offered.rate_per_s.to_string(), "--duration-s", &RUN_S.to_string()])
        .args(["--heavy-percent", &offered.heavy_percent.to_string()])
        .args(["--json", &json.to_string_lossy()])
        .stdout(Stdio::null());
    if let Some(team) = offered.team {
        load.args(["--team", team]);
    }
    for zone in user.zones {
        load.args(["--zone", zone]);
    }
    for addr in cluster.upstream_addrs() {
        load.args(["--upstream", &addr.to_string()]);
    }
    (load.spawn().expect("load starts"), json)
}

fn finish((mut child, json): (Child, std::path::PathBuf)) -> Value {
    assert!(child.wait().expect("load ends").success(), "load tool failed");
    serde_json::from_slice(&std::fs::read(json).expect("report")).expect("json")
}

/// Sums the second sends of all entry nodes so far, hedges included.
fn second_sends(cluster: &Cluster) -> u64 {
    let retries = |index| cluster.ask_entry(index, "/v1/status")["counters"]["retries"].as_u64();
    (0..cluster.entries.len()).filter_map(retries).sum()
}

fn line(what: &str, way: &str, report: &Value) -> String {
    let ms = |class: &str, quantile: &str| {
        report[class][quantile].as_u64().map_or(f64::NAN, |us| us as f64 / 1e3)
    };
    let errors: u64 =
        report["errors"].as_object().into_iter().flatten().filter_map(|(_, n)| n.as_u64()).sum();
    format!(
        "| {what} | {way} | {:.0} | {:.0} | {:.0} | {:.0} | {errors} of {} | {} | {:.2}% |",
        ms("light", "p50_us"),
        ms("light", "p99_us"),
        ms("light", "p999_us"),
        ms("heavy", "p99_us"),
        report["due"],
        report["second_sends"],
        report["probe_share_percent"].as_f64().unwrap_or(f64::NAN),
    )
}

/// Runs every way and scenario for both users and writes the figures to `out` as JSON.
///
/// With `only`, just the user of that name.
pub fn run(bins: &Path, dir: &Path, out: &Path, only: Option<&str>) {
    let mut figures = Vec::new();
    for user in USERS.iter().filter(|user| only.is_none_or(|name| name == user.name)) {
        let cluster = start(user, bins, dir);
        println!("\n{}: {} calls/s, {}% heavy", user.name, user.rate_per_s, user.heavy_percent);
        println!(
            "| scenario | way | light p50 ms | p99 | p99.9 | heavy p99 | errors | second sends | probe cost |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        for (scenario, mode) in SCENARIOS {
            let mode: Value = serde_json::from_str(mode).expect("mode");
            cluster.set_upstream_mode(0, &mode);
            for (way, params) in WAYS {
                let text = format!(
                    "service: {}\ndefaults: {{timeout_ms: 5000, probe_budget_per_s: 10, {params}}}\n",
                    user.service
                );
                put_template(&cluster, user, &text);
                std::thread::sleep(SETTLE);
                let offered = Offered {
                    name: "mixed",
                    team: None,
                    rate_per_s: user.rate_per_s,
                    heavy_percent: user.heavy_percent,
                };
                let before = second_sends(&cluster);
                let mut report = finish(spawn_load(&cluster, user, &offered));
                report["second_sends"] = (second_sends(&cluster) - before).into();
                println!("{}", line(scenario, way, &report));
                figures.push(
                    json!({"user": user.name, "scenario": scenario, "way": way, "report": report}),
                );
            }
        }
    }
    std::fs::write(out, serde_json::to_string_pretty(&figures).expect("json"))
        .expect("figures written");
    println!("figures written to {}", out.display());
}

/// Measures a quiet team beside a team that sends heavy reads at 1.5 times what the slots can serve.
///
/// With template keys that every version knows, so that an earlier `oatcoved` can be measured too.
pub fn noisy(bins: &Path, dir: &Path) {
    for user in &USERS {
        let cluster = start(user, bins, dir);
        let template = format!(
            "service: {}\ndefaults: {{timeout_ms: 2000}}\nteams: {{quiet: {{}}, noisy: {{}}}}\n",
            user.service
        );
        put_template(&cluster, user, &template);
        std::thread::sleep(SETTLE);
        let slots = (user.slots * cluster.upstreams.len()) as u64;
        let noisy_rate = slots * 1_000 * 3 / 2 / user.heavy_ms;
        let quiet =
            Offered { name: "quiet", team: Some("quiet"), rate_per_s: 100, heavy_percent: 0 };
        let noisy = Offered {
            name: "noisy",
            team: Some("noisy"),
            rate_per_s: noisy_rate,
            heavy_percent: 100,
        };
        println!(
            "\n{}: quiet team 100 light calls/s, noisy team {noisy_rate} heavy reads/s",
            user.name
        );
        println!(
            "| scenario | team | light p50 ms | p99 | p99.9 | heavy p99 | errors | second sends | probe cost |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        println!("{}", line("alone", "quiet", &finish(spawn_load(&cluster, user, &quiet))));
        let burst = spawn_load(&cluster, user, &noisy);
        let beside = finish(spawn_load(&cluster, user, &quiet));
        println!("{}", line("beside the burst", "quiet", &beside));
        println!("{}", line("the burst", "noisy", &finish(burst)));
    }
}
