//! Entry nodes as processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::Context;

/// The entry nodes of a case; dropping them kills their processes.
pub struct Nodes {
    children: Vec<Child>,
    pub fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
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
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("\"{}\"", at(ip, ports.control))).collect();
        let mut nodes = Nodes {
            children: Vec::new(),
            fronts: ips.iter().map(|ip| at(ip, ports.front)).collect(),
            ready: ips.iter().map(|ip| at(ip, ports.ready)).collect(),
        };
        for (index, ip) in ips.iter().enumerate() {
            let settings = format!(
                r#"{{"Node": "edge-howrah-{index}", "Role": "entry", "MachineClass": "edge",
"Serves": ["edge", "control", "directory"], "Ip": "{ip}", "Zone": "howrah", "Region": "kolkata",
"Zones": {{"howrah": "kolkata"}},
"Listen": {{"Front": "{}", "Ready": "{}", "Control": "{}", "Directory": "{}"}},
"InternalPorts": [{}, {}], "Seeds": [{}], "Bootstrap": true,
"Limits": {{"CpuShare": 0.2, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}},
"DataDir": null, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1500,
"Bounds": [{bounds}],
"Infra": {{"Addr": "{}", "form": "table", "WritesPerS": 400, "ReadsPerS": 2000}}}}"#,
                at(ip, ports.front),
                at(ip, ports.ready),
                at(ip, ports.control),
                at(ip, ports.directory),
                ports.internal,
                ports.internal + 1,
                seeds.join(", "),
                store.addr,
            );
            let path = context.temp_dir.join(format!("node-{index}.json"));
            std::fs::write(&path, settings).map_err(|err| err.to_string())?;
            let log = File::create(context.temp_dir.join(format!("node-{index}.log")));
            let log = log.map_err(|err| err.to_string())?;
            let child = Command::new(&context.program)
                .env("OATCOVE_CONFIG", &path)
                .stdin(Stdio::null())
                .stderr(log.try_clone().map_err(|err| err.to_string())?)
                .stdout(log)
                .spawn()
                .map_err(|err| err.to_string())?;
            context.log(format_args!("node {index} at {} is process {}", ip, child.id()));
            nodes.children.push(child);
        }
        let began = Instant::now();
        while !nodes.ready.iter().all(|addr| is_ready(*addr)) {
            if began.elapsed() > Duration::from_secs(15) {
                return Err("the nodes did not get ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(nodes)
    }
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
