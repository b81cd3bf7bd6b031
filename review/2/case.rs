//! After a change of the seeds, seeds that start again found a second fleet beside the first one, and
//! both grant a tenant's whole quota.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Attempt, Kind, Pace};
use crate::endpoint::{Endpoint, Run, Service};
use crate::nodes::Nodes;
use crate::store::Store;
use crate::{Context, Verdict};

const NODES: u8 = 13;

/// The seeds that the settings name at the start; these machines are removed.
const FIRST_SEEDS: [usize; 3] = [0, 1, 2];

/// The seeds that the settings name then; these processes are stopped and started.
const LATER_SEEDS: [usize; 3] = [3, 4, 5];

const ENDPOINTS: usize = 6;

/// Clients of each node.
const CLIENTS_PER_SEED: usize = 5;
const CLIENTS_PER_NODE: usize = 2;

const TICK: Duration = Duration::from_millis(60);

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(32);

/// Time before each step.
const BEFORE_REMOVAL: Duration = Duration::from_secs(5);
const BEFORE_RESTART: Duration = Duration::from_secs(5);

/// How long after a loss the settings name other seeds (`SeedLagS`).
const SEED_LAG: Duration = Duration::from_secs(3);

/// `GraceS`.
const GRACE: Duration = Duration::from_secs(6);

/// The tenant's `RatePerS` and `Burst`, `QuotaWindowS`, `QuotaOvershoot` and `QuotaSlack`.
const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 50.0;
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

const SERVICE: Service = Service {
    slots: 6,
    queue: 12,
    health_time: Duration::from_millis(1),
    mean_work: Duration::from_millis(40),
    answer_bytes: 1_500,
};

const KINDS: [Kind; 1] = [Kind {
    method: "GET",
    prefix: "/status/",
    idempotent: true,
    deadline: Duration::from_millis(2_000),
    key: Some("key-one"),
}];

const CONFIG: &str = r#"{"Version": "00000001", "BaseVersion": "00000000",
"Services": [{"Name": "refund-core", "HealthPath": "/healthz", "MaxConns": 1020}],
"Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
"Tenants": [{"Name": "one", "ApiKeys": ["key-one"], "Priority": 0, "RatePerS": 100.0, "Burst": 50.0}],
"Vhosts": [{"Host": "boards.example", "Paths": [
 {"Name": "status-read", "Prefix": "/status/", "RouteType": "idempotent", "TimeoutMs": 2000, "SloMs": 1000, "Priority": 2, "Service": "refund-core", "Attempts": 2}]}]}"#;

const BOUNDS: &str = r#""SeedLagS=3", "StabilityMs=3000", "DrainMs=2500", "GraceS=6", "LossSlackMs=200", "ConfigApplyMs=2500", "RetryBudgetRatio=0.2", "BudgetWindowS=10", "BudgetSlack=60", "QuotaWindowS=5", "QuotaOvershoot=0.1", "QuotaSlack=20", "RecoverS=15", "ttl_max_s=5", "ProbesPerS=42""#;

/// Plays the case.
pub fn run(context: &Arc<Context>) -> Verdict {
    match play(context) {
        Ok((attempts, runs)) => judge(context, &attempts, &runs),
        Err(why) => Verdict::CouldNotRun(why),
    }
}

fn play(context: &Arc<Context>) -> Result<(Vec<Attempt>, Vec<Run>), String> {
    let text = |err: std::io::Error| err.to_string();
    let store = Store::start(context).map_err(text)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for index in 0..ENDPOINTS {
        let id = format!("i-{index:08x}");
        let endpoint = Endpoint::start(context, id, SERVICE, &runs).map_err(text)?;
        let entry = endpoint.entry("refund-core", 1_700_000_000_000 + index as u64);
        store.put("servers", &endpoint.id, &entry);
    }
    store.put("op", "config", CONFIG);
    let mut nodes = Nodes::start(context, &store, NODES, BOUNDS)?;
    std::thread::sleep(Duration::from_secs(8));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let began = Instant::now();
    let clients = start_clients(context, &nodes, began, &attempts);
    if context.trouble {
        replace_seeds(context, &mut nodes)?;
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let (attempts, runs) = (attempts.lock().unwrap().clone(), runs.lock().unwrap().clone());
    Ok((attempts, runs))
}

/// Starts the clients of all nodes but the first seeds.
fn start_clients(
    context: &Arc<Context>,
    nodes: &Nodes,
    began: Instant,
    attempts: &Arc<Mutex<Vec<Attempt>>>,
) -> Vec<std::thread::JoinHandle<()>> {
    let clients_of = |node: usize| match node {
        _ if FIRST_SEEDS.contains(&node) => 0,
        _ if LATER_SEEDS.contains(&node) => CLIENTS_PER_SEED,
        _ => CLIENTS_PER_NODE,
    };
    (0..usize::from(NODES))
        .flat_map(|node| (0..clients_of(node)).map(move |number| (node, number)))
        .map(|(node, number)| {
            let (context, attempts) = (context.clone(), attempts.clone());
            let front = nodes.fronts[node];
            let index = node * CLIENTS_PER_SEED + number;
            std::thread::spawn(move || {
                let offset = TICK * (index as u32 % 29) / 29;
                let pace = Pace { began, tick: TICK, offset };
                client::run(&context, index, front, &KINDS, pace, began + TRAFFIC, &attempts);
            })
        })
        .collect()
}

/// Removes the first seeds, has the settings name others, and stops and starts those.
fn replace_seeds(context: &Context, nodes: &mut Nodes) -> Result<(), String> {
    std::thread::sleep(BEFORE_REMOVAL);
    context.log(format_args!("nodes {FIRST_SEEDS:?} get SIGTERM and are removed"));
    nodes.stop(&FIRST_SEEDS, GRACE);
    std::thread::sleep(SEED_LAG);
    context.log(format_args!("the settings name nodes {LATER_SEEDS:?} as seeds; SIGHUP"));
    for index in LATER_SEEDS[0]..usize::from(NODES) {
        nodes.write_settings(context, index, &LATER_SEEDS, false)?;
        nodes.hang_up(index);
    }
    std::thread::sleep(BEFORE_RESTART);
    context.log(format_args!("nodes {LATER_SEEDS:?} get SIGTERM and start again"));
    nodes.stop(&LATER_SEEDS, GRACE);
    for index in LATER_SEEDS {
        nodes.restart(context, index)?;
    }
    nodes.wait_until_ready(LATER_SEEDS[0])?;
    context.log(format_args!("nodes {LATER_SEEDS:?} are ready"));
    Ok(())
}

fn judge(context: &Context, attempts: &[Attempt], runs: &[Run]) -> Verdict {
    let arrivals: HashMap<&str, Instant> =
        runs.iter().map(|run| (run.request_id.as_str(), run.arrived_at)).collect();
    let mut ran: Vec<(Instant, Instant)> = attempts
        .iter()
        .filter_map(|a| Some((a.sent_at, *arrivals.get(a.request_id.as_str())?)))
        .collect();
    ran.sort();
    // The window that holds the most requests begins when one of them is sent.
    let in_window = |index: usize| {
        let end = ran[index].0 + WINDOW;
        ran[index..].iter().take_while(|r| r.0 <= end).filter(|r| r.1 <= end).count()
    };
    let (Some(first), Some(last)) = (ran.first(), ran.last()) else {
        return Verdict::CouldNotRun("no request ran".to_owned());
    };
    let windows: Vec<(Instant, usize)> =
        (0..ran.len()).map(|index| (ran[index].0, in_window(index))).collect();
    for second in (0..last.0.duration_since(first.0).as_secs()).step_by(2) {
        let begin = first.0 + Duration::from_secs(second);
        let at = windows.iter().find(|window| window.0 >= begin);
        let count = at.map_or(0, |window| window.1);
        context.log(format_args!("window from {second:2} s of the traffic: {count} ran"));
    }
    let allowed = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let most = windows.iter().map(|window| window.1).max().unwrap_or(0);
    let ends = |status: u16| attempts.iter().filter(|a| a.status == status).count();
    let statuses = [0, 200, 429, 502, 503, 504].map(|status| (status, ends(status)));
    context.log(format_args!("{} attempts; by status {statuses:?}", attempts.len()));
    context.log(format_args!("QUOTA: at most {most} ran in a window; {allowed:.0} are allowed"));
    match most as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
