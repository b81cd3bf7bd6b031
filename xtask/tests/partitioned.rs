//! Entry node processes that are partitioned from all upstreams, beside others that reach them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::task::JoinHandle;
use standin::soak::partition::{Partition, Severance};
use standin::soak::proxy::Proxy;
use store::proto;
use xtask::cluster::{Cluster, ClusterSpec};

/// Entry nodes that are partitioned: those with a lower index.
const PARTITIONED: usize = 3;

/// Callers of each node.
const CALLERS: usize = 2;

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(150);

/// Time after the start of a partition from which callers must be served.
const STABILITY: Duration = Duration::from_secs(3);

/// Time for which calls are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// Time within which all nodes know each other and the upstreams.
const STARTUP: Duration = Duration::from_secs(15);

const TIMEOUT: Duration = Duration::from_secs(2);

const TEMPLATE: &str = "service: swap-desk\ndefaults:\n  timeout_ms: 800\n  max_attempts: 2\n";

fn spec() -> ClusterSpec {
    ClusterSpec {
        service: "swap-desk".into(),
        zones: vec!["attiki-a".into(), "attiki-b".into()],
        upstreams_per_zone: 2,
        entries: 5,
        slots: 6,
        light_ms: 10,
        heavy_ms: 10,
    }
}

/// Puts a proxy of its own in the place of each upstream; nodes reach them through these only.
fn put_proxies(cluster: &Cluster, partition: &Partition) -> Vec<proto::Vm> {
    let vm = |addr: SocketAddr, zone: &str, state, id: String| proto::Vm {
        addr,
        zone: zone.into(),
        role: proto::VmRole::Upstream,
        service: "swap-desk".into(),
        state,
        id: id.into(),
    };
    let vms = cluster.upstreams.iter().enumerate().flat_map(|(n, upstream)| {
        let proxy = Proxy::start_with(upstream.addr, partition.clone());
        [
            vm(upstream.addr, &upstream.zone, proto::VmState::Gone, format!("direct-{n}")),
            vm(proxy.addr, &upstream.zone, proto::VmState::Live, format!("proxy-{n}")),
        ]
    });
    vms.collect()
}

async fn is_served(entry: SocketAddr, method: http::Method) -> bool {
    let call = web::fetch(entry, method, "/s/swap-desk/light", Bytes::new(), TIMEOUT);
    call.await.is_ok_and(|response| response.status() == http::StatusCode::OK)
}

/// Calls a node one call after the other; returns how many of those sent from `from` on were served,
/// and how many there were.
async fn call(entry: SocketAddr, from: Instant, until: Instant) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    for n in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            break;
        }
        let method = if n % 3 == 0 { http::Method::POST } else { http::Method::GET };
        let is_served = is_served(entry, method).await;
        if sent_at >= from {
            sent += 1;
            served += usize::from(is_served);
        }
        monoio::time::sleep(CALL_PAUSE).await;
    }
    (served, sent)
}

/// Calls all nodes; returns the counts of the partitioned nodes and of the others.
async fn call_all(entries: &[SocketAddr], from: Instant, until: Instant) -> [(usize, usize); 2] {
    let callers = (0..entries.len() * CALLERS).map(|n| n % entries.len());
    let callers: Vec<(usize, JoinHandle<(usize, usize)>)> =
        callers.map(|n| (n, monoio::spawn(call(entries[n], from, until)))).collect();
    let mut counts = [(0, 0); 2];
    for (node, caller) in callers {
        let (served, sent) = caller.await;
        let sum = &mut counts[usize::from(node >= PARTITIONED)];
        *sum = (sum.0 + served, sum.1 + sent);
    }
    counts
}

/// Guards against callers of nodes without a path to any upstream who are refused or time out
/// although other nodes reach the upstreams, and against callers who are lost when the path is back.
#[yare::parameterized(
    connections_are_reset = { Severance::Reset },
    connections_hang = { Severance::Silence },
)]
fn callers_of_partitioned_nodes_are_served(severance: Severance) {
    let exe = std::env::current_exe().expect("test binary path");
    let bin_dir = exe.parent().and_then(|deps| deps.parent()).expect("target dir").to_owned();
    let name = format!("oatcove-partitioned-{severance:?}-{}", std::process::id());
    let dir: PathBuf = std::env::temp_dir().join(name);
    let cluster = Cluster::start(&bin_dir, &dir, &spec());
    assert!(cluster.apply_template("v1.yaml", TEMPLATE).status.success());
    assert!(cluster.wait_for_version("swap-desk", 1, STARTUP).is_some());
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.addr).collect();
    let partition = Partition::default();
    // The platform's list is written on a runtime of its own, so before this one runs.
    let mut runtime = web::runtime();
    let vms = runtime.block_on(async { put_proxies(&cluster, &partition) });
    cluster.put_vms(&vms);
    runtime.block_on(async {
        let now = Instant::now();
        call_all(&entries, now, now + STARTUP).await;
        let process_ids = cluster.entries[..PARTITIONED].iter().map(|entry| entry.id()).collect();
        partition.begin(process_ids, severance);
        let from = Instant::now() + STABILITY;
        let [partitioned, others] = call_all(&entries, from, from + COUNTED).await;
        partition.end();
        let from = Instant::now() + STABILITY;
        let [back, _] = call_all(&entries, from, from + COUNTED).await;
        let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
        let seen = format!(
            "partitioned nodes served {partitioned:?}, the others {others:?}; then {back:?}"
        );
        println!("{severance:?}: {seen}, logs in {}", dir.display());
        assert!(others.0 > 0 && 3.0 * share(partitioned) >= 2.0 * share(others), "{seen}");
        assert!(partitioned.1 - partitioned.0 <= 10 + partitioned.1 / 50, "{seen}");
        assert!(back.1 - back.0 <= 10 + back.1 / 50, "{seen}");
    });
}
