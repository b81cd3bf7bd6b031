//! Planned stops of entry node processes.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use emu::stops::{CallEnd, Callers, SlowUpstream};
use rustix::process::Signal;
use store::proto;
use xtask::cluster::{Cluster, ClusterSpec};

const CALLERS: usize = 6;

/// Time for which a node may go on after it was told to stop.
const STOP_GRACE: Duration = Duration::from_millis(6_000);

/// Time within which changes are in force.
const STARTUP: Duration = Duration::from_secs(15);

/// Guards against calls that a stopping node takes late, and cuts when it exits: those that may last
/// longer are not run, and their callers are told so.
#[test]
fn a_stopping_node_takes_no_call_that_it_would_cut() {
    let exe = std::env::current_exe().expect("test binary path");
    let bin_dir = exe.parent().and_then(|deps| deps.parent()).expect("target dir").to_owned();
    let dir: PathBuf = std::env::temp_dir().join(format!("oatcove-stops-{}", std::process::id()));
    let spec = ClusterSpec {
        service: "swap-desk".into(),
        zones: vec!["attiki-a".into()],
        upstreams_per_zone: 1,
        entries: 2,
        slots: 6,
        light_ms: 1,
        heavy_ms: 1,
    };
    let mut cluster = Cluster::start(&bin_dir, &dir, &spec);
    let grace_ms = STOP_GRACE.as_millis().to_string();
    cluster.start_entry("attiki-a", &[("stop_grace_ms", grace_ms), ("entries_ttl_s", "2".into())]);
    let template = "service: slow\ndefaults:\n  timeout_ms: 3000\n  max_attempts: 1\n";
    assert!(cluster.apply_template("slow.yaml", template).status.success());
    let upstream = SlowUpstream::start(Duration::from_millis(1_500));
    cluster.put_vms(&[proto::Vm {
        addr: upstream.addr,
        zone: "attiki-a".into(),
        role: proto::VmRole::Upstream,
        service: "slow".into(),
        state: proto::VmState::Live,
        id: "slow".into(),
    }]);
    let stopped = cluster.entries.len() - 1;
    let is_listed = |status: &serde_json::Value| !status["upstreams"]["slow"].is_null();
    assert!(cluster.wait_for_status(stopped, STARTUP, is_listed));
    let started_at = Instant::now();
    let until = started_at + Duration::from_secs(1) + STOP_GRACE;
    let request = ("POST /s/slow/claim HTTP/1.1", "host: a\r\n");
    let callers = Callers::start(cluster.entries[stopped].addr, CALLERS, request, until);
    std::thread::sleep(Duration::from_secs(1));
    cluster.entries[stopped].signal(Signal::TERM);
    let stopped_at = Instant::now();
    assert_eq!(cluster.entries[stopped].wait_exit(STARTUP), Some(true));
    let took = stopped_at.elapsed();
    let calls = callers.finish();
    let cut: Vec<Duration> = calls
        .iter()
        .filter(|call| call.end == CallEnd::Cut && upstream.has_received(&call.id))
        .map(|call| call.sent_at.duration_since(stopped_at))
        .collect();
    let served = calls.iter().filter(|call| call.end == CallEnd::Answered(200)).count();
    println!("{} calls, {served} served, cut after {cut:?}, exited after {took:?}", calls.len());
    assert!(cut.is_empty(), "cut calls were sent {cut:?} after the signal");
    assert!(served > CALLERS && took <= STOP_GRACE, "{served} served, exited after {took:?}");
}
