//! A small deployment on loopback, each component in its own process, for the demo, the benchmarks
//! and the end-to-end tests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use store::proto;

/// Size and timing of the cluster to start.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Service that the upstreams serve.
    pub service: String,
    /// Availability zones; upstreams and entry nodes are distributed over them round robin.
    pub zones: Vec<String>,
    /// Number of upstream stand-ins per zone.
    pub upstreams_per_zone: usize,
    /// Total number of entry nodes.
    pub entries: usize,
    /// Requests that each upstream runs at once.
    pub slots: usize,
    /// Mean service time of a light request, in milliseconds.
    pub light_ms: u64,
    /// Mean service time of a heavy request, in milliseconds.
    pub heavy_ms: u64,
}

/// A started process and the listening address that it printed.
pub struct Process {
    /// Address that the process listens on.
    pub addr: SocketAddr,
    /// Zone of the process; empty for the platform stand-in.
    pub zone: String,
    child: Child,
}

impl Process {
    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the CPU time that the main thread of the process has used so far, from
    /// `/proc/PID/schedstat`. Other threads, such as the log writer, are not counted.
    ///
    /// Zero when the file cannot be read.
    pub fn cpu_time(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))
            .unwrap_or_default();
        let ns = text.split_whitespace().next().and_then(|v| v.parse().ok()).unwrap_or(0);
        Duration::from_nanos(ns)
    }

    /// Sends `signal` to the process.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("child processes accept signals");
    }

    /// Waits for the process to exit by itself; returns whether it exited successfully, or `None`
    /// when it still runs after `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<bool> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns the current resident memory of the process in bytes, from `/proc/PID/status`.
    ///
    /// Zero when the file cannot be read.
    pub fn rss_bytes(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let kib = text
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .and_then(|v| v.trim().trim_end_matches("kB").trim().parse::<u64>().ok())
            .unwrap_or(0);
        kib * 1024
    }
}

/// A running cluster; dropping it kills all of its processes.
pub struct Cluster {
    /// Directory of the binaries.
    pub bin_dir: PathBuf,
    /// Directory for settings files, templates and logs.
    pub work_dir: PathBuf,
    /// The platform stand-in.
    pub platform: Process,
    /// Upstream stand-ins, in the order in which they were started.
    pub upstreams: Vec<Process>,
    /// Entry nodes, in the order in which they were started.
    pub entries: Vec<Process>,
}

impl Cluster {
    /// Starts the cluster of `spec` from the binaries in `bin_dir`, writes its files to `work_dir`
    /// and registers all processes in the platform stand-in's VM list.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start, does not print its listening address within 10 s,
    /// or cannot be registered.
    pub fn start(bin_dir: &Path, work_dir: &Path, spec: &ClusterSpec) -> Cluster {
        std::fs::create_dir_all(work_dir).expect("work directory created");
        let platform = spawn(
            bin_dir,
            work_dir,
            "oatcove-platform",
            &["--listen", "127.0.0.1:0"],
            "",
            "platform",
        );
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
                upstreams.push(spawn(bin_dir, work_dir, "oatcove-upstream", &args, zone, &name));
            }
        }
        let (bin_dir, work_dir) = (bin_dir.to_owned(), work_dir.to_owned());
        let mut cluster = Cluster { bin_dir, work_dir, platform, upstreams, entries: Vec::new() };
        for index in 0..spec.entries {
            cluster.start_entry(&spec.zones[index % spec.zones.len()], &[]);
        }
        cluster.register_vms(spec);
        cluster
    }

    /// Starts another entry node in `zone`; `settings` override the launcher's defaults.
    ///
    /// The node is not added to the VM list.
    ///
    /// # Panics
    ///
    /// Panics when the node does not start or does not print its listening address within 10 s.
    pub fn start_entry(&mut self, zone: &str, settings: &[(&str, String)]) {
        let index = self.entries.len();
        let mut merged_settings: std::collections::BTreeMap<&str, String> = [
            ("node_id", format!("entry-{index}")),
            ("zone", zone.to_owned()),
            ("listen_addr", "127.0.0.1:0".to_owned()),
            ("platform_addr", self.platform.addr.to_string()),
            ("config_poll_ms", "200".to_owned()),
            ("vm_poll_ms", "200".to_owned()),
        ]
        .into();
        merged_settings.extend(settings.iter().cloned());
        let text: String =
            merged_settings.iter().map(|(key, value)| format!("{key}: {value}\n")).collect();
        let path = self.work_dir.join(format!("entry-{index}.yaml"));
        std::fs::write(&path, text).expect("settings file written");
        let path = path.to_string_lossy().into_owned();
        let (args, name) = (["--config", &path], format!("entry-{index}"));
        let entry = spawn(&self.bin_dir, &self.work_dir, "oatcoved", &args, zone, &name);
        self.entries.push(entry);
    }

    /// Returns the JSON body of entry node `index`'s response to a GET of `path`; null when there
    /// is no response or its body is not JSON.
    pub fn get_entry_json(&self, index: usize, path: &str) -> serde_json::Value {
        send_request(self.entries[index].addr, http::Method::GET, path, Vec::new())
            .and_then(|response| serde_json::from_slice(response.body()).ok())
            .unwrap_or_default()
    }

    /// Waits until the status of entry node `index` fulfils `condition`; returns whether it did so
    /// within `timeout`.
    pub fn wait_for_status(
        &self,
        index: usize,
        timeout: Duration,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if condition(&self.get_entry_json(index, "/v1/status")) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sets the faults that the platform stand-in injects.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in does not accept them.
    pub fn set_platform_faults(&self, faults: &proto::Faults) {
        let body = serde_json::to_vec(faults).expect("faults encode");
        let response = send_request(self.platform.addr, http::Method::POST, "/v1/faults", body);
        assert!(response.is_some_and(|r| r.status().is_success()), "faults not set");
    }

    /// Sets the mode of upstream stand-in `index`, an `emu::upstream::Mode` as JSON.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in does not accept it.
    pub fn set_upstream_mode(&self, index: usize, mode: &serde_json::Value) {
        let body = serde_json::to_vec(mode).expect("mode encodes");
        let addr = self.upstreams[index].addr;
        let response = send_request(addr, http::Method::POST, "/admin/mode", body);
        assert!(response.is_some_and(|r| r.status().is_success()), "mode not set");
    }

    /// Returns the number of upstream stand-ins that crashed while they ran a request.
    pub fn crashed_upstream_count(&mut self) -> usize {
        let has_crashed = |upstream: &mut Process| {
            let exit_status = upstream.child.try_wait().ok().flatten();
            exit_status.and_then(|status| status.code()) == Some(emu::upstream::EXIT_CRASHED)
        };
        self.upstreams.iter_mut().map(has_crashed).filter(|crashed| *crashed).count()
    }

    fn register_vms(&self, spec: &ClusterSpec) {
        let upstreams =
            self.upstreams.iter().map(|p| (p, proto::VmRole::Upstream, spec.service.as_str()));
        let entries = self.entries.iter().map(|p| (p, proto::VmRole::Entry, ""));
        let vms: Vec<proto::Vm> = upstreams
            .chain(entries)
            .map(|(process, role, service)| vm(process, role, service))
            .collect();
        self.put_vms(&vms);
    }

    /// Adds or updates VMs in the platform stand-in's VM list, over one connection.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in is unreachable or rejects a VM.
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
                    conn.send(request, Duration::from_secs(5)).await.expect("platform responds");
                assert_eq!(response.status(), http::StatusCode::OK, "registering {}", vm.addr);
            }
        });
    }

    /// Runs the `oatcove` CLI with `args` and waits for it to exit.
    ///
    /// # Panics
    ///
    /// Panics when the binary cannot be started.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        Command::new(self.bin_dir.join("oatcove")).args(args).output().expect("oatcove runs")
    }

    /// Writes `text` to the template file `name` and applies it with the CLI; returns the CLI's
    /// output.
    pub fn apply_template(&self, name: &str, text: &str) -> Output {
        let path = self.work_dir.join(name);
        std::fs::write(&path, text).expect("template written");
        let platform = self.platform.addr.to_string();
        self.run_cli(&[
            "template",
            "apply",
            "--platform",
            &platform,
            "--actor",
            "demo",
            &path.to_string_lossy(),
        ])
    }

    /// Drains `upstream` with the CLI, which waits until no entry node has a call to it in flight;
    /// returns the CLI's output.
    pub fn drain_upstream(&self, upstream: SocketAddr) -> Output {
        let (platform, upstream) = (self.platform.addr.to_string(), upstream.to_string());
        let args =
            ["upstream", "drain", "--platform", &platform, "--actor", "demo", "--wait", &upstream];
        self.run_cli(&args)
    }

    /// Waits until every entry node has loaded version `version` of `service`'s template, or a
    /// newer one; returns the elapsed time, or `None` after `timeout`.
    pub fn wait_for_version(
        &self,
        service: &str,
        version: u64,
        timeout: Duration,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let all_loaded = self.entries.iter().all(|entry| {
                send_request(entry.addr, http::Method::GET, "/v1/status", Vec::new())
                    .and_then(|r| serde_json::from_slice::<serde_json::Value>(r.body()).ok())
                    .and_then(|v| v["templates"][service].as_u64())
                    .is_some_and(|loaded| loaded >= version)
            });
            if all_loaded {
                return Some(started.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns the addresses of the upstream stand-ins, for the load tool, which reads their
    /// counters.
    pub fn upstream_addrs(&self) -> Vec<SocketAddr> {
        self.upstreams.iter().map(|p| p.addr).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in
            self.entries.iter_mut().chain(self.upstreams.iter_mut()).chain([&mut self.platform])
        {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

/// Returns the VM-list entry of a process, in state `Live`.
pub fn vm(process: &Process, role: proto::VmRole, service: &str) -> proto::Vm {
    proto::Vm {
        addr: process.addr,
        zone: process.zone.as_str().into(),
        role,
        service: service.into(),
        state: proto::VmState::Live,
        id: format!("vm-{}", process.child.id()).into(),
    }
}

/// Starts `bin` and reads its address from the `listening on ADDR` line that it prints first.
///
/// Its standard error goes to the log file `name`.log.
fn spawn(
    bin_dir: &Path,
    work_dir: &Path,
    bin: &str,
    args: &[&str],
    zone: &str,
    name: &str,
) -> Process {
    let log =
        std::fs::File::create(work_dir.join(format!("{name}.log"))).expect("log file created");
    let mut child = Command::new(bin_dir.join(bin))
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
        .and_then(|addr| addr.parse().ok())
        .unwrap_or_else(|| panic!("{name} did not print its listening address: {line:?}"));
    Process { addr, zone: zone.to_owned(), child }
}

/// Sends a request over a new connection, on a runtime of its own.
///
/// Returns `None` when there is no response within 5 s.
pub fn send_request(
    addr: SocketAddr,
    method: http::Method,
    path: &str,
    body: Vec<u8>,
) -> Option<web::Response> {
    let timeout = Duration::from_secs(5);
    web::runtime().block_on(web::fetch(addr, method, path, Bytes::from(body), timeout)).ok()
}
