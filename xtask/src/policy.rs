//! `cargo xtask policy`: tail latency of each balancing policy.
//!
//! For a deployment of each user's current size, the policies are measured one after the other
//! against the same processes: with all upstreams healthy, with a straggler, and with an upstream
//! that fails fast. Figures of different runs are not comparable, because the machines are noisy.
//!
//! `cargo xtask noisy`: latency of a quiet team while another team overloads the upstreams.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{json, Value};
use xtask::cluster::{Cluster, ClusterSpec};

/// Duration of one measurement, in seconds.
const MEASUREMENT_S: u64 = 8;

/// Delay between a change to the cluster and the measurement, in which the change takes effect.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Current size of a user's deployment, with its service times and load.
struct Deployment {
    user: &'static str,
    service: &'static str,
    zones: &'static [&'static str],
    upstreams_per_zone: usize,
    entries: usize,
    slots: usize,
    light_ms: u64,
    heavy_ms: u64,
    heavy_percent: u64,
    /// About 60% of the capacity of the upstreams' slots.
    rate_per_s: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        user: "sporofilo",
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
    Deployment {
        user: "sonar-bangla",
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

/// Balancing policies measured: label, and template parameters.
const POLICIES: [(&str, &str); 4] = [
    ("round robin", "balance: round_robin, hedge: false"),
    ("least outstanding", "balance: least_outstanding, hedge: false"),
    ("adaptive", "balance: adaptive, hedge: false"),
    ("adaptive, hedged", "balance: adaptive, hedge: true"),
];

const HEALTHY_MODE: &str = "{}";

/// Scenarios measured: label, and mode of upstream 0.
const SCENARIOS: [(&str, &str); 3] = [
    ("at rest", HEALTHY_MODE),
    ("one straggler, 8 times slower", r#"{"straggle_factor": 8}"#),
    ("one upstream failing fast", r#"{"fail_fast": true}"#),
];

fn start(deployment: &Deployment, bin_dir: &Path, work_dir: &Path) -> Cluster {
    let spec = ClusterSpec {
        service: deployment.service.into(),
        zones: deployment.zones.iter().map(|z| (*z).to_owned()).collect(),
        upstreams_per_zone: deployment.upstreams_per_zone,
        entries: deployment.entries,
        slots: deployment.slots,
        light_ms: deployment.light_ms,
        heavy_ms: deployment.heavy_ms,
    };
    Cluster::start(bin_dir, &work_dir.join(deployment.user), &spec)
}

/// Applies a template and waits until it is in force on every entry node.
fn apply_template(cluster: &Cluster, deployment: &Deployment, text: &str) {
    let applied = cluster.apply_template("template.yaml", text);
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    let output = String::from_utf8_lossy(&applied.stdout).into_owned();
    let version =
        output.split_whitespace().nth(2).and_then(|v| v.trim_end_matches(',').parse().ok());
    if let Some(version) = version {
        let timeout = Duration::from_secs(10);
        cluster.wait_for_version(deployment.service, version, timeout).expect("template in force");
    }
}

/// Arguments of the load tool that differ between measurements.
struct LoadSpec<'a> {
    name: &'a str,
    team: Option<&'a str>,
    rate_per_s: u64,
    heavy_percent: u64,
}

/// Starts the load tool against entry node 0; returns the process and the path of its report.
fn spawn_load(
    cluster: &Cluster,
    deployment: &Deployment,
    load_spec: &LoadSpec<'_>,
) -> (Child, std::path::PathBuf) {
    let json = cluster.work_dir.join(format!("load-{}.json", load_spec.name));
    let mut load = Command::new(cluster.bin_dir.join("oatcove-load"));
    load.args(["--entry", &cluster.entries[0].addr.to_string(), "--service", deployment.service])
        .args([
            "--rate",
            &load_spec.rate_per_s.to_string(),
            "--duration-s",
            &MEASUREMENT_S.to_string(),
        ])
        .args(["--heavy-percent", &load_spec.heavy_percent.to_string()])
        .args(["--json", &json.to_string_lossy()])
        .stdout(Stdio::null());
    if let Some(team) = load_spec.team {
        load.args(["--team", team]);
    }
    for zone in deployment.zones {
        load.args(["--zone", zone]);
    }
    for addr in cluster.upstream_addrs() {
        load.args(["--upstream", &addr.to_string()]);
    }
    (load.spawn().expect("load tool starts"), json)
}

/// Waits for the load tool to exit and reads its report.
fn wait_for_report((mut child, json): (Child, std::path::PathBuf)) -> Value {
    assert!(child.wait().expect("load tool exits").success(), "load tool failed");
    serde_json::from_slice(&std::fs::read(json).expect("report is readable"))
        .expect("report is JSON")
}

/// Returns the number of second sends of all entry nodes since they started, hedges included.
fn second_sends(cluster: &Cluster) -> u64 {
    let retries =
        |index| cluster.get_entry_json(index, "/v1/status")["counters"]["retries"].as_u64();
    (0..cluster.entries.len()).filter_map(retries).sum()
}

/// Returns the table row of a load report; `subject` is the policy or the team measured.
fn table_row(scenario: &str, subject: &str, report: &Value) -> String {
    let ms = |class: &str, quantile: &str| {
        report[class][quantile].as_u64().map_or(f64::NAN, |us| us as f64 / 1e3)
    };
    let errors: u64 =
        report["errors"].as_object().into_iter().flatten().filter_map(|(_, n)| n.as_u64()).sum();
    format!(
        "| {scenario} | {subject} | {:.0} | {:.0} | {:.0} | {:.0} | {errors} of {} | {} | {:.2}% |",
        ms("light", "p50_us"),
        ms("light", "p99_us"),
        ms("light", "p999_us"),
        ms("heavy", "p99_us"),
        report["due"],
        report["second_sends"],
        report["probe_share_percent"].as_f64().unwrap_or(f64::NAN),
    )
}

/// Measures each policy in each scenario for each user and writes the figures to the file `out`, as
/// JSON.
///
/// With `only`, measures the user of that name alone.
pub fn run(bin_dir: &Path, work_dir: &Path, out: &Path, only: Option<&str>) {
    let mut figures = Vec::new();
    for deployment in
        DEPLOYMENTS.iter().filter(|deployment| only.is_none_or(|name| name == deployment.user))
    {
        let cluster = start(deployment, bin_dir, work_dir);
        println!(
            "\n{}: {} calls/s, {}% heavy",
            deployment.user, deployment.rate_per_s, deployment.heavy_percent
        );
        println!(
            "| scenario | way | light p50 ms | p99 | p99.9 | heavy p99 | errors | second sends | probe cost |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        for (scenario, mode) in SCENARIOS {
            let mode: Value = serde_json::from_str(mode).expect("mode is JSON");
            cluster.set_upstream_mode(0, &mode);
            for (policy, params) in POLICIES {
                let text = format!(
                    "service: {}\ndefaults: {{timeout_ms: 5000, probe_budget_per_s: 10, {params}}}\n",
                    deployment.service
                );
                apply_template(&cluster, deployment, &text);
                std::thread::sleep(SETTLING_TIME);
                let load_spec = LoadSpec {
                    name: "mixed",
                    team: None,
                    rate_per_s: deployment.rate_per_s,
                    heavy_percent: deployment.heavy_percent,
                };
                let before = second_sends(&cluster);
                let mut report = wait_for_report(spawn_load(&cluster, deployment, &load_spec));
                report["second_sends"] = (second_sends(&cluster) - before).into();
                println!("{}", table_row(scenario, policy, &report));
                figures.push(
                    json!({"user": deployment.user, "scenario": scenario, "way": policy, "report": report}),
                );
            }
        }
    }
    std::fs::write(out, serde_json::to_string_pretty(&figures).expect("figures encode"))
        .expect("figures written");
    println!("figures written to {}", out.display());
}

/// Measures a quiet team while another team sends heavy reads at 1.5 times the capacity of the
/// slots.
///
/// The template has only keys that every version knows, so that an earlier `oatcoved` can be
/// measured too.
pub fn measure_noisy_team(bin_dir: &Path, work_dir: &Path) {
    for deployment in &DEPLOYMENTS {
        let cluster = start(deployment, bin_dir, work_dir);
        let template = format!(
            "service: {}\ndefaults: {{timeout_ms: 2000}}\nteams: {{quiet: {{}}, noisy: {{}}}}\n",
            deployment.service
        );
        apply_template(&cluster, deployment, &template);
        std::thread::sleep(SETTLING_TIME);
        let slots = (deployment.slots * cluster.upstreams.len()) as u64;
        let noisy_rate = slots * 1_000 * 3 / 2 / deployment.heavy_ms;
        let quiet =
            LoadSpec { name: "quiet", team: Some("quiet"), rate_per_s: 100, heavy_percent: 0 };
        let noisy = LoadSpec {
            name: "noisy",
            team: Some("noisy"),
            rate_per_s: noisy_rate,
            heavy_percent: 100,
        };
        println!(
            "\n{}: quiet team 100 light calls/s, noisy team {noisy_rate} heavy reads/s",
            deployment.user
        );
        println!(
            "| scenario | team | light p50 ms | p99 | p99.9 | heavy p99 | errors | second sends | probe cost |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        println!(
            "{}",
            table_row("alone", "quiet", &wait_for_report(spawn_load(&cluster, deployment, &quiet)))
        );
        let burst = spawn_load(&cluster, deployment, &noisy);
        let during_burst = wait_for_report(spawn_load(&cluster, deployment, &quiet));
        println!("{}", table_row("beside the burst", "quiet", &during_burst));
        println!("{}", table_row("the burst", "noisy", &wait_for_report(burst)));
    }
}
