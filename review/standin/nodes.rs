//! Entry nodes as processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::Context;

/// The entry nodes of a case; dropping them kills their processes.
pub struct Nodes {
    children: Vec<Child>,
    pub fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    ips: Vec<Ipv4Addr>,
    ports: Ports,
    bounds: String,
    store_addr: SocketAddr,
}

/// Ports of a node, the same on all addresses.
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    internal: u16,
}

/// Finds ports that are free at all of `ips`.
fn free_ports(ips: &[Ipv4Addr]) -> Option<Ports> {
    let begin = 21_000 + (std::process::id() % 900) as u16 * 10;
    let is_free = |first: &u16| {
        ips.iter().all(|ip| (*first..first + 6).all(|port| TcpListener::bind((*ip, port)).is_ok()))
    };
    let first = (0..900).map(|step| begin + step * 10).find(is_free)?;
    Some(Ports {
        front: first,
        ready: first + 1,
        control: first + 2,
        directory: first + 3,
        internal: first + 4,
    })
}

impl Nodes {
    /// Starts `count` nodes in one zone and waits until they are ready.
    pub fn start(
        context: &Context,
        store: &Store,
        count: u8,
        bounds: &str,
    ) -> Result<Nodes, String> {
        let (a, b) = ((std::process::id() >> 8) as u8, std::process::id() as u8);
        let ips: Vec<Ipv4Addr> =
            (1..=count).map(|index| Ipv4Addr::new(127, a % 200 + 10, b, index)).collect();
        let ports = free_ports(&ips).ok_or("no free ports")?;
        let at = |ip: &Ipv4Addr, port: u16| SocketAddr::from((*ip, port));
        let mut nodes = Nodes {
            children: Vec::new(),
            fronts: ips.iter().map(|ip| at(ip, ports.front)).collect(),
            ready: ips.iter().map(|ip| at(ip, ports.ready)).collect(),
            ips,
            ports,
            bounds: bounds.to_owned(),
            store_addr: store.addr,
        };
        for index in 0..nodes.ips.len() {
            nodes.write_settings(context, index, &[0, 1, 2], true)?;
            let child = nodes.spawn(context, index)?;
            nodes.children.push(child);
        }
        nodes.wait_until_ready(0)?;
        Ok(nodes)
    }

    /// Writes the settings of a node, as the platform does; `seeds` are the indices of its seeds.
    pub fn write_settings(
        &self,
        context: &Context,
        index: usize,
        seeds: &[usize],
        bootstrap: bool,
    ) -> Result<(), String> {
        let (ip, ports) = (self.ips[index], &self.ports);
        let at = |port: u16| SocketAddr::from((ip, port));
        let seed = |seed: &usize| {
            let ip = self.ips.get(*seed)?;
            Some(format!("\"{}\"", SocketAddr::from((*ip, ports.control))))
        };
        let seeds: Vec<String> = seeds.iter().filter_map(seed).collect();
        let settings = format!(
            r#"{{"Node": "edge-howrah-{index}", "Role": "entry", "MachineClass": "edge",
"Serves": ["edge", "control", "directory"], "Ip": "{ip}", "Zone": "howrah", "Region": "kolkata",
"Zones": {{"howrah": "kolkata"}},
"Listen": {{"Front": "{}", "Ready": "{}", "Control": "{}", "Directory": "{}"}},
"InternalPorts": [{}, {}], "Seeds": [{}], "Bootstrap": {bootstrap},
"Limits": {{"CpuShare": 0.2, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}},
"DataDir": null, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1500,
"Bounds": [{}],
"Infra": {{"Addr": "{}", "form": "table", "WritesPerS": 400, "ReadsPerS": 2000}}}}"#,
            at(ports.front),
            at(ports.ready),
            at(ports.control),
            at(ports.directory),
            ports.internal,
            ports.internal + 1,
            seeds.join(", "),
            self.bounds,
            self.store_addr,
        );
        std::fs::write(settings_path(context, index), settings).map_err(|err| err.to_string())
    }

    fn spawn(&self, context: &Context, index: usize) -> Result<Child, String> {
        let text = |err: std::io::Error| err.to_string();
        let log = context.temp_dir.join(format!("node-{index}.log"));
        let log = File::options().create(true).append(true).open(log).map_err(text)?;
        let child = Command::new(&context.program)
            .env("OATCOVE_CONFIG", settings_path(context, index))
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(text)?)
            .stdout(log)
            .spawn()
            .map_err(text)?;
        let (ip, id) = (self.ips[index], child.id());
        context.log(format_args!("node {index} at {ip} is process {id}"));
        Ok(child)
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, index: usize) {
        let _ = self.children[index].kill();
        let _ = self.children[index].wait();
    }

    /// Stops the processes of nodes with SIGTERM, and with SIGKILL those that are still there after
    /// `grace`.
    pub fn stop(&mut self, indices: &[usize], grace: Duration) {
        for index in indices {
            self.signal("-TERM", *index);
        }
        let began = Instant::now();
        for index in indices {
            while matches!(self.children[*index].try_wait(), Ok(None)) && began.elapsed() < grace {
                std::thread::sleep(Duration::from_millis(20));
            }
            self.kill(*index);
        }
    }

    /// Starts the process of a killed node again.
    pub fn restart(&mut self, context: &Context, index: usize) -> Result<(), String> {
        self.children[index] = self.spawn(context, index)?;
        Ok(())
    }

    /// Tells a node that its settings have changed.
    pub fn hang_up(&self, index: usize) {
        self.signal("-HUP", index);
    }

    fn signal(&self, signal: &str, index: usize) {
        let id = self.children[index].id().to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
    }

    /// Waits until the nodes from `first` on are ready.
    pub fn wait_until_ready(&self, first: usize) -> Result<(), String> {
        let began = Instant::now();
        while !self.ready[first..].iter().all(|addr| is_ready(*addr)) {
            if began.elapsed() > Duration::from_secs(15) {
                return Err("the nodes did not get ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

fn settings_path(context: &Context, index: usize) -> PathBuf {
    context.temp_dir.join(format!("node-{index}.json"))
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(stream) = std::net::TcpStream::connect_timeout(&addr, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut conn = crate::http::Conn::new(stream);
    let request = format!("GET /v1/readyz HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    let sent = conn.write(request.as_bytes()).is_ok();
    sent && matches!(conn.read(), Ok(Some(response)) if response.status() == 200)
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
