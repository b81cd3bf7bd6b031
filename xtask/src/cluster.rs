//! A small system of separate processes on loopback, for the demo and end-to-end tests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use store::proto;

/// What to start.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Service the upstreams serve.
    pub service: String,
    /// Zones; upstreams and entries are spread over them in turn.
    pub zones: Vec<String>,
    /// Upstream stand-ins per zone.
    pub upstreams_per_zone: usize,
    /// Entry nodes in all.
    pub entries: usize,
    /// Slots per upstream.
    pub slots: usize,
    /// Mean light service time, in ms.
    pub light_ms: u64,
    /// Mean heavy service time, in ms.
    pub heavy_ms: u64,
}

/// A started process and the address it printed.
pub struct Proc {
    /// Address it listens on.
    pub addr: SocketAddr,
    /// Its zone, or empty for the platform.
    pub zone: String,
    child: Child,
}

impl Proc {
    /// Processor time the process has used so far, from `/proc/PID/schedstat`.
    pub fn cpu(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))
            .unwrap_or_default();
        let ns = text.split_whitespace().next().and_then(|v| v.parse().ok()).unwrap_or(0);
        Duration::from_nanos(ns)
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process is ours");
    }

    /// Waits for the process to end by itself; returns whether it exited with success,
    /// or `None` when it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<bool> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Resident memory of the process now, in bytes, from `/proc/PID/status`.
    pub fn rss_bytes(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let kb = text
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .and_then(|v| v.trim().trim_end_matches("kB").trim().parse::<u64>().ok())
            .unwrap_or(0);
        kb * 1024
    }
}

/// The started system; every process is killed on drop.
pub struct Cluster {
    /// Directory holding the binaries.
    pub bins: PathBuf,
    /// Directory for settings files and logs.
    pub dir: PathBuf,
    /// The platform stand-in.
    pub platform: Proc,
    /// Upstream stand-ins.
    pub upstreams: Vec<Proc>,
    /// Entry nodes.
    pub entries: Vec<Proc>,
}

impl Cluster {
    /// Starts the system of `spec` from binaries in `bins`, writing files under `dir`.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start or does not say where it listens within 10 s.
    pub fn start(bins: &Path, dir: &Path, spec: &Spec) -> Cluster {
        std::fs::create_dir_all(dir).expect("work dir");
        let platform =
            spawn(bins, dir, "oatcove-platform", &["--listen", "127.0.0.1:0"], "", "platform");
        let mut upstreams = Vec::new();
        for round in 0..spec.upstreams_per_zone {
            for zone in &spec.zones {
                let name = format!("upstream-{zone}-{round}");
                let args = [
                    "--listen".to_owned(),
                    "127.0.0.1:0".to_owned(),
                    "--slots".to_owned(),
                    spec.slots.to_string(),
                    "--light-ms".to_owned(),
                    spec.light_ms.to_string(),
                    "--heavy-ms".to_owned(),
                    spec.heavy_ms.to_string(),
                ];
                let args: Vec<&str> = args.iter().map(String::as_str).collect();
                upstreams.push(spawn(bins, dir, "oatcove-upstream", &args, zone, &name));
            }
        }
        let (bins, dir) = (bins.to_owned(), dir.to_owned());
        let mut cluster = Cluster { bins, dir, platform, upstreams, entries: Vec::new() };
        for index in 0..spec.entries {
            cluster.start_entry(&spec.zones[index % spec.zones.len()], &[]);
        }
        cluster.register(spec);
        cluster
    }

    /// Starts one more entry node in `zone`, with `settings` in place of the launcher's own.
    ///
    /// The VM list is left as it is.
    ///
    /// # Panics
    ///
    /// As [`Cluster::start`].
    pub fn start_entry(&mut self, zone: &str, settings: &[(&str, String)]) {
        let index = self.entries.len();
        let mut merged: std::collections::BTreeMap<&str, String> = [
            ("node_id", format!("entry-{index}")),
            ("zone", zone.to_owned()),
            ("listen_addr", "127.0.0.1:0".to_owned()),
            ("platform_addr", self.platform.addr.to_string()),
            ("config_poll_ms", "200".to_owned()),
            ("vm_poll_ms", "200".to_owned()),
        ]
        .into();
        merged.extend(settings.iter().cloned());
        let text: String = merged.iter().map(|(key, value)| format!("{key}: {value}\n")).collect();
        let path = self.dir.join(format!("entry-{index}.yaml"));
        std::fs::write(&path, text).expect("settings written");
        let path = path.to_string_lossy().into_owned();
        let (args, name) = (["--config", &path], format!("entry-{index}"));
        let entry = spawn(&self.bins, &self.dir, "oatcoved", &args, zone, &name);
        self.entries.push(entry);
    }

    /// Returns the JSON that entry node `index` answers at `path`; null when it does not answer.
    pub fn ask_entry(&self, index: usize, path: &str) -> serde_json::Value {
        call(self.entries[index].addr, http::Method::GET, path, Vec::new())
            .and_then(|response| serde_json::from_slice(response.body()).ok())
            .unwrap_or_default()
    }

    /// Waits until `condition` holds for entry node `index`'s status.
    pub fn wait_for_status(
        &self,
        index: usize,
        limit: Duration,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if condition(&self.ask_entry(index, "/v1/status")) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sets the faults of the platform stand-in.
    pub fn set_platform_faults(&self, faults: &proto::Faults) {
        let body = serde_json::to_vec(faults).expect("faults encode");
        let answer = call(self.platform.addr, http::Method::POST, "/v1/faults", body);
        assert!(answer.is_some_and(|a| a.status().is_success()), "faults not set");
    }

    /// Sets the mode of upstream stand-in `index`, as JSON.
    pub fn set_upstream_mode(&self, index: usize, mode: &serde_json::Value) {
        let body = serde_json::to_vec(mode).expect("mode encodes");
        let addr = self.upstreams[index].addr;
        let answer = call(addr, http::Method::POST, "/admin/mode", body);
        assert!(answer.is_some_and(|a| a.status().is_success()), "mode not set");
    }

    /// Returns how many upstreams have crashed under a request.
    pub fn crashed(&mut self) -> usize {
        let crashed = |upstream: &mut Proc| {
            let ended = upstream.child.try_wait().ok().flatten();
            ended.and_then(|status| status.code()) == Some(emu::upstream::EXIT_CRASHED)
        };
        self.upstreams.iter_mut().map(crashed).filter(|crashed| *crashed).count()
    }

    fn register(&self, spec: &Spec) {
        let upstreams =
            self.upstreams.iter().map(|p| (p, proto::VmRole::Upstream, spec.service.as_str()));
        let entries = self.entries.iter().map(|p| (p, proto::VmRole::Entry, ""));
        let vms: Vec<proto::Vm> = upstreams
            .chain(entries)
            .map(|(proc_, role, service)| vm(proc_, role, service))
            .collect();
        self.put_vms(&vms);
    }

    /// Adds or changes VMs in the platform stand-in's VM list, over one connection.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in refuses one.
    pub fn put_vms(&self, vms: &[proto::Vm]) {
        let addr = self.platform.addr;
        let mut runtime = web::runtime();
        runtime.block_on(async move {
            let mut conn =
                web::Conn::connect(addr, Duration::from_secs(2)).await.expect("platform reachable");
            for vm in vms {
                let request = http::Request::put("/v1/vms")
                    .header(http::header::HOST, addr.to_string())
                    .body(Bytes::from(serde_json::to_vec(vm).expect("vm encodes")))
                    .expect("request builds");
                let response =
                    conn.send(request, Duration::from_secs(5)).await.expect("platform answers");
                assert_eq!(response.status(), http::StatusCode::OK, "registering {}", vm.addr);
            }
        });
    }

    /// Runs the `oatcove` CLI with `args`.
    pub fn cli(&self, args: &[&str]) -> Output {
        Command::new(self.bins.join("oatcove")).args(args).output().expect("oatcove runs")
    }

    /// Writes `text` as a template file and applies it with the CLI; returns the CLI's output.
    pub fn apply(&self, name: &str, text: &str) -> Output {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("template written");
        let platform = self.platform.addr.to_string();
        self.cli(&[
            "template",
            "apply",
            "--platform",
            &platform,
            "--actor",
            "demo",
            &path.to_string_lossy(),
        ])
    }

    /// Drains `upstream` with the CLI and waits until no entry node holds a call to it.
    pub fn drain(&self, upstream: SocketAddr) -> Output {
        let (platform, upstream) = (self.platform.addr.to_string(), upstream.to_string());
        let args =
            ["upstream", "drain", "--platform", &platform, "--actor", "demo", "--wait", &upstream];
        self.cli(&args)
    }

    /// Waits until every entry node holds `service` at `version` or newer; returns how long it took.
    pub fn wait_for_version(
        &self,
        service: &str,
        version: u64,
        limit: Duration,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let all = self.entries.iter().all(|entry| {
                call(entry.addr, http::Method::GET, "/v1/status", Vec::new())
                    .and_then(|r| serde_json::from_slice::<serde_json::Value>(r.body()).ok())
                    .and_then(|v| v["templates"][service].as_u64())
                    .is_some_and(|held| held >= version)
            });
            if all {
                return Some(started.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Upstream addresses, for the load tool's probe counters.
    pub fn upstream_addrs(&self) -> Vec<SocketAddr> {
        self.upstreams.iter().map(|p| p.addr).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for proc_ in
            self.entries.iter_mut().chain(self.upstreams.iter_mut()).chain([&mut self.platform])
        {
            let _ = proc_.child.kill();
            let _ = proc_.child.wait();
        }
    }
}

/// Returns the VM-list entry of a process, live.
pub fn vm(proc_: &Proc, role: proto::VmRole, service: &str) -> proto::Vm {
    proto::Vm {
        addr: proc_.addr,
        zone: proc_.zone.as_str().into(),
        role,
        service: service.into(),
        state: proto::VmState::Live,
        id: format!("vm-{}", proc_.child.id()).into(),
    }
}

/// Starts `bin` and reads the `listening on ADDR` line it prints first.
fn spawn(bins: &Path, dir: &Path, bin: &str, args: &[&str], zone: &str, name: &str) -> Proc {
    let log = std::fs::File::create(dir.join(format!("{name}.log"))).expect("log file");
    let mut child = Command::new(bins.join(bin))
        .args(args)
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|err| panic!("cannot start {bin}: {err}"));
    let stdout = child.stdout.take().expect("stdout piped");
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let _ = BufReader::new(stdout).read_line(&mut line);
        let _ = tx.send(line);
    });
    let line = rx.recv_timeout(Duration::from_secs(10)).unwrap_or_default();
    let addr = line
        .trim()
        .strip_prefix("listening on ")
        .and_then(|a| a.parse().ok())
        .unwrap_or_else(|| panic!("{name} did not say where it listens: {line:?}"));
    Proc { addr, zone: zone.to_owned(), child }
}

/// Sends one request on a fresh connection from a throwaway runtime.
pub fn call(
    addr: SocketAddr,
    method: http::Method,
    path: &str,
    body: Vec<u8>,
) -> Option<web::Response> {
    let timeout = Duration::from_secs(5);
    web::runtime().block_on(web::fetch(addr, method, path, Bytes::from(body), timeout)).ok()
}
