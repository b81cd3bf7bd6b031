//! `cargo xtask`: development tasks.
//!
//! - `cargo xtask demo`: builds the release binaries, starts the platform stand-in, upstream
//!   stand-ins and entry nodes as separate processes on loopback, sends load through them, applies
//!   a config change and drains an upstream meanwhile, and prints the load report and the audit
//!   log.
//! - `cargo xtask patterns`: simulates load patterns in virtual time, with and without each
//!   placement and admission rule.
//! - `cargo xtask policy`, `noisy`, `slopes`: the measurements in docs/bench.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use bpaf::Bpaf;
use xtask::cluster::{Cluster, ClusterSpec};

mod patterns;
mod policy;
mod slopes;

/// Development tasks.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
enum Task {
    /// Starts a whole deployment on loopback, sends load through it and prints the results
    #[bpaf(command("demo"))]
    Demo {
        /// Calls per second
        #[bpaf(long("rate"), argument("PER_S"), fallback(2_000))]
        rate: u64,
        /// Duration of the load, in seconds
        #[bpaf(long("duration-s"), argument("S"), fallback(6))]
        duration_s: u64,
        /// File to write the load report to, as JSON
        #[bpaf(long("json"), argument("FILE"), optional)]
        json: Option<PathBuf>,
    },
    /// Measures tail latency by balancing policy, for deployments of the users' current sizes
    #[bpaf(command("policy"))]
    Policy {
        /// File to write the figures to, as JSON
        #[bpaf(long("json"), argument("FILE"), fallback("docs/bench/policy.json".into()))]
        json: PathBuf,
        /// Measure the deployment of this user only: sporofilo or sonar-bangla
        #[bpaf(long("user"), argument("NAME"), optional)]
        user: Option<String>,
    },
    /// Measures the latency of a quiet team while another team sends a burst
    #[bpaf(command("noisy"))]
    Noisy {
        /// Directory of the binaries to measure, instead of those built from this tree
        #[bpaf(long("bins"), argument("DIR"), optional)]
        bin_dir: Option<PathBuf>,
    },
    /// Simulates load patterns in virtual time, with and without each placement and admission rule
    #[bpaf(command("patterns"))]
    Patterns {
        /// Number of seeds per load pattern
        #[bpaf(long("seeds"), argument("N"), fallback(10))]
        seeds: u64,
    },
    /// Measures the per-unit costs from which docs/CAPACITY.md is calculated
    #[bpaf(command("slopes"))]
    Slopes {
        /// File to write the figures to, as JSON
        #[bpaf(long("json"), argument("FILE"), fallback("docs/bench/slopes.json".into()))]
        json: PathBuf,
    },
}

const TEMPLATE_V1: &str = "\
service: swap-desk
defaults:
  timeout_ms: 800
  max_attempts: 2
teams:
  garden-north:
    timeout_ms: 500
";

const TEMPLATE_V2: &str = "\
service: swap-desk
defaults:
  timeout_ms: 600
  max_attempts: 2
teams:
  garden-north:
    timeout_ms: 400
";

fn main() {
    match task().run() {
        Task::Demo { rate, duration_s, json } => demo(rate, duration_s, json),
        Task::Patterns { seeds } => patterns::run(seeds),
        Task::Policy { json, user } => {
            let root = workspace_root();
            build_release(&root);
            let (bin_dir, work_dir) = (root.join("target/release"), root.join("target/policy"));
            policy::run(&bin_dir, &work_dir, &root.join(json), user.as_deref());
        }
        Task::Noisy { bin_dir } => {
            let root = workspace_root();
            build_release(&root);
            let bin_dir = bin_dir.unwrap_or_else(|| root.join("target/release"));
            policy::measure_noisy_team(&bin_dir, &root.join("target/noisy"));
        }
        Task::Slopes { json } => {
            let root = workspace_root();
            build_release(&root);
            slopes::run(
                &root.join("target/release"),
                &root.join("target/slopes"),
                &root.join(json),
            );
        }
    }
}

fn workspace_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).parent().expect("workspace root").to_owned()
}

fn build_release(root: &std::path::Path) {
    let status = Command::new(env!("CARGO"))
        .args(["build", "--release", "--quiet", "--workspace", "--bins"])
        .current_dir(root)
        .status()
        .expect("cargo runs");
    assert!(status.success(), "release build failed");
}

fn demo(rate: u64, duration_s: u64, json: Option<PathBuf>) {
    let root = workspace_root();
    build_release(&root);
    let bin_dir = root.join("target/release");
    let work_dir = root.join("target/demo");
    let spec = ClusterSpec {
        service: "swap-desk".into(),
        zones: vec!["attiki-a".into(), "attiki-b".into(), "attiki-c".into()],
        upstreams_per_zone: 7,
        entries: 3,
        slots: 6,
        light_ms: 2,
        heavy_ms: 40,
    };
    println!(
        "starting 1 platform stand-in, {} upstreams, {} entry nodes",
        spec.zones.len() * spec.upstreams_per_zone,
        spec.entries
    );
    let cluster = Cluster::start(&bin_dir, &work_dir, &spec);
    let applied = cluster.apply_template("swap-desk-v1.yaml", TEMPLATE_V1);
    print!("oatcove template apply v1: {}", String::from_utf8_lossy(&applied.stdout));
    let v1_propagation = cluster
        .wait_for_version("swap-desk", 1, Duration::from_secs(10))
        .expect("v1 reaches every entry node");
    println!("v1 in force on every entry node after {:.0} ms", v1_propagation.as_secs_f64() * 1e3);

    let json_path = json.unwrap_or_else(|| work_dir.join("load.json"));
    let mut load = Command::new(bin_dir.join("oatcove-load"));
    load.args([
        "--entry",
        &cluster.entries[0].addr.to_string(),
        "--service",
        "swap-desk",
        "--zone",
        "attiki-a",
    ])
    .args([
        "--team",
        "garden-north",
        "--rate",
        &rate.to_string(),
        "--duration-s",
        &duration_s.to_string(),
    ])
    .args(["--json", &json_path.to_string_lossy()]);
    for addr in cluster.upstream_addrs() {
        load.args(["--upstream", &addr.to_string()]);
    }
    let load = load.stdout(std::process::Stdio::piped()).spawn().expect("load tool starts");
    std::thread::sleep(Duration::from_secs(duration_s) / 2);
    let applied = cluster.apply_template("swap-desk-v2.yaml", TEMPLATE_V2);
    let text = String::from_utf8_lossy(&applied.stdout).into_owned();
    print!("oatcove template apply v2 during load: {text}");
    let version: u64 = text
        .split_whitespace()
        .nth(2)
        .and_then(|v| v.trim_end_matches(',').parse().ok())
        .unwrap_or(2);
    match cluster.wait_for_version("swap-desk", version, Duration::from_secs(10)) {
        Some(propagation) => {
            println!(
                "v2 in force on every entry node after {:.0} ms",
                propagation.as_secs_f64() * 1e3
            )
        }
        None => println!("v2 NOT in force on every entry node after 10 s"),
    }
    let output = cluster.drain_upstream(cluster.upstreams[0].addr);
    print!(
        "oatcove upstream drain --wait during load: {}",
        String::from_utf8_lossy(&output.stdout)
    );
    let output = load.wait_with_output().expect("load tool exits");
    assert!(output.status.success(), "load tool failed");
    let platform = cluster.platform.addr.to_string();
    println!("oatcove audit log:");
    print!(
        "{}",
        String::from_utf8_lossy(
            &cluster.run_cli(&["audit", "log", "--platform", &platform]).stdout
        )
    );
    println!("load report (also in {}):", json_path.display());
    print!("{}", String::from_utf8_lossy(&output.stdout));
}
