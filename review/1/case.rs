//! A late second answer is taken for the answer to a health check, and the answer to the health
//! check for that to the next request.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Attempt, Kind, Pace};
use crate::endpoint::{Endpoint, Run, Service};
use crate::nodes::Nodes;
use crate::store::Store;
use crate::{Context, Verdict};

const NODES: u8 = 2;
const ENDPOINTS: usize = 7;
const CLIENTS: usize = 24;

/// Clients send on a common tick, as boards do that are refreshed together.
const TICK: Duration = Duration::from_millis(300);

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(80);

/// Length of a spell of late second answers, and of the pause after it.
const SPELL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);

/// Share of the answers, in thousandths, that are sent a second time.
const COPIES_PER_THOUSAND: u64 = 30;

/// Endpoints with second answers: 0.57 of them.
const COPYING: usize = 4;

const SERVICE: Service = Service {
    slots: 4,
    queue: 8,
    health_time: Duration::from_millis(6),
    mean_work: Duration::from_millis(60),
    answer_bytes: 1_500,
};

const KINDS: [Kind; 2] = [
    Kind {
        method: "POST",
        prefix: "/cancel/",
        idempotent: false,
        deadline: Duration::from_millis(3000),
        key: None,
    },
    Kind {
        method: "GET",
        prefix: "/arrivals/",
        idempotent: true,
        deadline: Duration::from_millis(2500),
        key: None,
    },
];

const CONFIG: &str = r#"{"Version": "00000001", "BaseVersion": "00000000",
"Services": [{"Name": "liveboard", "HealthPath": "/healthz", "MaxConns": 240}],
"Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
"Vhosts": [{"Host": "boards.example", "Paths": [
 {"Name": "arrival-poll", "Prefix": "/arrivals/", "RouteType": "idempotent", "TimeoutMs": 1200, "SloMs": 600, "Priority": 2, "Service": "liveboard", "Attempts": 2},
 {"Name": "cancel-notice", "Prefix": "/cancel/", "RouteType": "non_idempotent", "TimeoutMs": 1500, "SloMs": 800, "Priority": 1, "Service": "liveboard", "Attempts": 2}]}]}"#;

const BOUNDS: &str = r#""StabilityMs=3000", "DrainMs=2000", "GraceS=6", "LossSlackMs=200", "ConfigApplyMs=2000", "RetryBudgetRatio=0.2", "BudgetWindowS=10", "BudgetSlack=60", "ttl_max_s=5", "ProbesPerS=60""#;

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
    let mut endpoints = Vec::new();
    for index in 0..ENDPOINTS {
        let id = format!("i-{index:08x}");
        let endpoint = Endpoint::start(context, id, SERVICE, &runs).map_err(text)?;
        let entry = endpoint.entry("liveboard", 1_700_000_000_000 + index as u64);
        store.put("servers", &endpoint.id, &entry);
        endpoints.push(endpoint);
    }
    store.put("op", "config", CONFIG);
    let nodes = Nodes::start(context, &store, NODES, BOUNDS)?;
    // Traffic starts some seconds after the machines do.
    std::thread::sleep(Duration::from_secs(5));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let began = Instant::now();
    let until = began + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (context, attempts) = (context.clone(), attempts.clone());
            let front = nodes.fronts[index % nodes.fronts.len()];
            std::thread::spawn(move || {
                let pace =
                    Pace { began, tick: TICK, offset: Duration::from_micros(400) * index as u32 };
                client::run(&context, index, front, &KINDS, pace, until, &attempts);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    for spell in 0.. {
        if !context.trouble || Instant::now() + SPELL >= until {
            break;
        }
        set_trouble(context, &endpoints, spell, true);
        std::thread::sleep(SPELL);
        set_trouble(context, &endpoints, spell, false);
        std::thread::sleep(PAUSE);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    // A request that was answered may still run.
    std::thread::sleep(Duration::from_secs(2));
    let copies: u64 = endpoints.iter().map(|e| e.copies_sent.load(Ordering::Relaxed)).sum();
    context.log(format_args!("late copies sent: {copies}"));
    drop(nodes);
    let (attempts, runs) = (attempts.lock().unwrap().clone(), runs.lock().unwrap().clone());
    Ok((attempts, runs))
}

/// Begins or ends a spell. Each one affects other endpoints.
fn set_trouble(context: &Context, endpoints: &[Arc<Endpoint>], spell: usize, on: bool) {
    let copying = (0..COPYING).map(|offset| &endpoints[(spell + offset) % endpoints.len()]);
    for endpoint in copying {
        let share = if on { COPIES_PER_THOUSAND } else { 0 };
        endpoint.late_copies.store(share, Ordering::Relaxed);
    }
    let ill = &endpoints[spell % endpoints.len()];
    ill.says_ill.store(on, Ordering::Relaxed);
    let what = if on { "begins" } else { "ends" };
    context.log(format_args!("spell {spell} {what}: the health check of {} fails", ill.id));
}

fn judge(context: &Context, attempts: &[Attempt], runs: &[Run]) -> Verdict {
    let ran: HashSet<&str> = runs.iter().map(|run| run.request_id.as_str()).collect();
    let mut runs_by_operation: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        let operation = run.target.rsplit('/').next().unwrap_or_default();
        runs_by_operation.entry(operation).or_default().push(run);
    }
    let ends = |status: u16| attempts.iter().filter(|attempt| attempt.status == status).count();
    let statuses = [0, 200, 404, 429, 502, 503, 504].map(|status| (status, ends(status)));
    context.log(format_args!("attempts {}, by status {statuses:?}", attempts.len()));
    let foreign = attempts.iter().filter(|a| a.status == 200 && !(a.is_signed && a.is_own)).count();
    context.log(format_args!("successes with another answer: {foreign}"));
    let health_answers = attempts.iter().filter(|a| a.instance_id.is_some()).count();
    context
        .log(format_args!("requests answered by the answer to a health check: {health_answers}"));
    let mut refused = 0;
    for attempt in attempts.iter().filter(|attempt| !attempt.idempotent) {
        let is_promise = matches!(attempt.status, 408 | 421 | 429 | 503);
        if !is_promise || !ran.contains(attempt.request_id.as_str()) {
            continue;
        }
        refused += 1;
        let runs: Vec<String> = runs_by_operation[attempt.operation.as_str()]
            .iter()
            .map(|run| format!("{} at {}", run.request_id, run.endpoint))
            .collect();
        context.log(format_args!(
            "REFUSED: {} was answered {} and has run; its operation ran {} times: {runs:?}",
            attempt.request_id,
            attempt.status,
            runs.len()
        ));
    }
    context.log(format_args!("non-idempotent requests refused that have run: {refused}"));
    match (attempts.len(), refused, foreign) {
        (0, _, _) => Verdict::CouldNotRun("no request was sent".to_owned()),
        (_, 0, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
