//! A machine that handles a request by a configuration, and later ones by an older one.

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::fleet::{self, Client, Endpoint, Plan, Record, Route};
use crate::platform::{Store, SERVING, SILENT};
use crate::Verdict;

const HOST: &str = "swaps.example";
const BOUNDS: &str = "SeedLagS=3,ReuseAfterS=2,StabilityMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2500,\
GraceS=6,LossSlackMs=200,ConfigApplyMs=2500,RollbackSlackMs=250,SkewMaxMs=5000,RetryBudgetRatio=0.2,\
BudgetWindowS=10,BudgetSlack=64,RecoverS=15,ttl_max_s=5,ProbesPerS=60";

/// `RollbackSlackMs`.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

fn route(
    name: &'static str,
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
) -> Route {
    Route { name, prefix, kind, service, timeout_ms: 1_200, slo_ms: 400 }
}

pub fn run(record_path: &Path, dir: PathBuf, has_trouble: bool) -> Verdict {
    let began = Instant::now();
    let (record, store) = (Record::new(began), Store::new(began));
    let services = ["browse-desk", "claim-desk", "new-desk"];
    let old = [
        route("browse", "/browse/", "idempotent", "browse-desk"),
        route("claim", "/claim/", "non_idempotent", "claim-desk"),
    ];
    let new = [
        route("browse", "/browse/", "idempotent", "new-desk"),
        route("claim", "/claim/", "non_idempotent", "new-desk"),
        route("added", "/added/", "idempotent", "new-desk"),
    ];
    let zones = ["attiki-a", "attiki-b", "attiki-c"];
    let plan = Plan::new(dir, &zones, 2);
    let mut endpoints = Vec::new();
    for service in services {
        for index in 0..12 {
            let id = format!("i-{service}-{index}");
            let work = Duration::from_millis(40);
            endpoints.push(Endpoint::start(&id, service, zones[index % 3], 2, work, &record));
        }
    }
    store.put("op", "config", &fleet::config(1, 0, HOST, &services, &old));
    endpoints.iter().for_each(|endpoint| endpoint.register(&store, "ready"));
    let nodes = plan.start(&store, BOUNDS);
    if !fleet::wait_until_ready(&nodes) {
        return Verdict::CouldNotRun("the nodes are not ready");
    }
    let client = Client::new(HOST, &record);
    // Traffic starts 8 s after the machines do.
    std::thread::sleep(Duration::from_secs(8).saturating_sub(began.elapsed()));
    for _ in 0..3 {
        for node in &nodes {
            client.send(node, "GET", "/browse/a", 1_000);
            client.send(node, "POST", "/claim/a", 1_200);
        }
    }
    let node = &nodes[0];
    if has_trouble {
        record.add(format!("trouble: the store is silent for {}", node.name));
        node.store_mode.store(SILENT, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(30));
    }
    store.put("op", "config", &fleet::config(5, 1, HOST, &services, &new));
    let acked_at = Instant::now();
    record.add("config   version 5 is acknowledged".to_owned());
    std::thread::sleep(Duration::from_millis(60));
    if has_trouble {
        record.add(format!("trouble: the endpoints of {} are down", zones[0]));
        let in_zone = endpoints.iter().filter(|endpoint| endpoint.zone == zones[0]);
        in_zone.for_each(|endpoint| endpoint.crash());
    }
    let mut answers = Vec::new();
    let mut effect_at = None;
    let until = acked_at + Duration::from_millis(2_400);
    let mut broken = Vec::new();
    while Instant::now() < until {
        for (method, path) in [("GET", "/browse/a"), ("POST", "/claim/a"), ("GET", "/added/a")] {
            let answer = client.send(node, method, path, 1_000);
            let runs = record.runs_of(&answer.request);
            let is_late = effect_at.is_some_and(|at: Instant| answer.sent_at > at + ROLLBACK_SLACK);
            let is_old = runs.iter().any(|run| run.service != "new-desk")
                || (path.starts_with("/added/") && answer.status == Some(404));
            if is_late && is_old {
                record.add(format!("BROKEN   {} is handled by version 1", answer.request));
                broken.push(answer.request.clone());
            }
            let newest =
                runs.iter().filter(|run| run.service == "new-desk").map(|run| run.at).min();
            if effect_at.is_none() && newest.is_some() {
                effect_at = newest;
                record.add(format!("effect   of version 5 at {}", node.name));
            }
            answers.push(answer);
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    node.store_mode.store(SERVING, Ordering::SeqCst);
    println!("answers of {}: {}", node.name, fleet::summary(&answers));
    println!("requests handled by version 1 over 250 ms after version 5: {}", broken.len());
    record.write(record_path);
    drop(nodes);
    match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
