//! One load run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

use crate::claims::{check_claims, Told};
use crate::report::{ClassReport, Report};

/// Deadline of one call, as the caller sets it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Deadline of connecting to one entry before the next is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// When the entries are asked for again for the first time.
const REFRESH_AT_FIRST: Duration = Duration::from_secs(1);

/// Step of the arrival loop.
const TICK: Duration = Duration::from_millis(1);

/// Calls in flight beyond which new ones are counted as `overload-in-caller` instead of sent.
const MAX_IN_FLIGHT: usize = 8_192;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Any entry node, asked for the entry list.
    pub seed: SocketAddr,
    /// Service called.
    pub service: SmolStr,
    /// Zones the callers are in; calls come from each in turn.
    pub zones: Vec<SmolStr>,
    /// Team named on each call.
    pub team: Option<SmolStr>,
    /// Calls per second.
    pub rate_per_s: u64,
    /// Length of the run.
    pub duration: Duration,
    /// Share of calls that are heavy reads, in percent.
    pub heavy_percent: u32,
    /// Share of calls that are claims (POST), in percent; the others are reads.
    pub claim_percent: u32,
    /// Upstream stand-ins whose probe counters are read before and after.
    pub upstreams: Vec<SocketAddr>,
    /// Cost of one probe on an upstream, in milliseconds of one slot.
    pub probe_cost_ms: f64,
    /// Sends every call to `seed` without asking it for entries: with an
    /// upstream stand-in as seed, this measures the upstream alone, the
    /// baseline from which an entry node's added latency is read.
    pub direct: bool,
}

/// Entry addresses by zone, in the order of the plan's zones.
type Entries = Rc<RefCell<Vec<Vec<SocketAddr>>>>;

struct Tally {
    light: Histogram<u64>,
    heavy: Histogram<u64>,
    errors: BTreeMap<String, u64>,
    in_flight: usize,
    /// Every claim sent, by its idempotency key, with what its caller was told.
    claims: BTreeMap<SmolStr, Told>,
}

/// Runs `plan` and returns its figures.
///
/// # Panics
///
/// Panics when the seed entry gives no entries: a run without a system is a setup error.
pub async fn run(plan: Plan) -> Report {
    let entries: Entries = Rc::default();
    for zone in &plan.zones {
        let known = match plan.direct {
            true => Some(vec![plan.seed]),
            false => discover(&plan, zone, &[plan.seed]).await.map(|(known, _)| known),
        };
        let known =
            known.unwrap_or_else(|| panic!("the seed entry {} listed no entries", plan.seed));
        entries.borrow_mut().push(known);
    }
    if !plan.direct {
        for index in 0..plan.zones.len() {
            monoio::spawn(refresh(plan.clone(), index, entries.clone()));
        }
    }
    let run_id = rand::random::<u32>();
    let before = upstream_stats(&plan.upstreams).await;
    let tally = Rc::new(RefCell::new(Tally {
        light: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds"),
        heavy: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds"),
        errors: BTreeMap::new(),
        in_flight: 0,
        claims: BTreeMap::new(),
    }));
    let idle: Rc<RefCell<Vec<web::Conn>>> = Rc::default();
    let started = Instant::now();
    let mut sent: u64 = 0;
    let due_total = plan.rate_per_s * plan.duration.as_millis() as u64 / 1_000;
    while sent < due_total {
        let due_now = (started.elapsed().as_secs_f64() * plan.rate_per_s as f64) as u64;
        while sent < due_now.min(due_total) {
            let due_at = started + Duration::from_secs_f64(sent as f64 / plan.rate_per_s as f64);
            let heavy = (sent * 7919 % 100) < u64::from(plan.heavy_percent);
            let claim = (sent * 6_131 % 100) < u64::from(plan.claim_percent);
            // Another entry of the list takes the call when the first cannot be connected to.
            let order: Vec<SocketAddr> = {
                let entries = entries.borrow();
                let zone = &entries[sent as usize % entries.len()];
                let first = (sent as usize / entries.len()) % zone.len();
                zone.iter().cycle().skip(first).take(zone.len()).copied().collect()
            };
            sent += 1;
            if tally.borrow().in_flight >= MAX_IN_FLIGHT {
                *tally.borrow_mut().errors.entry("overload-in-caller".into()).or_default() += 1;
                continue;
            }
            tally.borrow_mut().in_flight += 1;
            let (tally, idle, plan) = (tally.clone(), idle.clone(), plan.clone());
            monoio::spawn(async move {
                let key = smol_str::format_smolstr!("load-{run_id:08x}-{sent}");
                let (outcome, told) = call(&plan, &order, heavy, claim, &key, &idle).await;
                let latency_us = due_at.elapsed().as_micros() as u64;
                let mut t = tally.borrow_mut();
                t.in_flight -= 1;
                if claim {
                    t.claims.insert(key, told);
                }
                match outcome {
                    Ok(()) if heavy => t.heavy.saturating_record(latency_us),
                    Ok(()) => t.light.saturating_record(latency_us),
                    Err(kind) => *t.errors.entry(kind).or_default() += 1,
                }
            });
        }
        monoio::time::sleep(TICK).await;
    }
    let elapsed = started.elapsed();
    let drain_until = Instant::now() + CALL_TIMEOUT;
    while tally.borrow().in_flight > 0 && Instant::now() < drain_until {
        monoio::time::sleep(TICK * 10).await;
    }
    let after = upstream_stats(&plan.upstreams).await;
    let executions = executions(&plan.upstreams).await;
    let t = tally.borrow();
    let probes = after.probes.saturating_sub(before.probes) as f64;
    let window_s = started.elapsed().as_secs_f64();
    let probes_per_s = probes / window_s;
    let capacity_ms_per_s = after.slots as f64 * 1_000.0;
    Report {
        due: due_total,
        rate_per_s: sent as f64 / elapsed.as_secs_f64(),
        light: class(&t.light),
        heavy: class(&t.heavy),
        errors: t.errors.clone(),
        probes_per_s,
        probe_share_percent: match capacity_ms_per_s > 0.0 {
            true => 100.0 * probes_per_s * plan.probe_cost_ms / capacity_ms_per_s,
            false => 0.0,
        },
        max_executions_per_key: after.max_executions_per_key,
        claims: check_claims(&t.claims, &executions),
    }
}

fn class(h: &Histogram<u64>) -> ClassReport {
    ClassReport {
        ok: h.len(),
        p50_us: h.value_at_quantile(0.5),
        p99_us: h.value_at_quantile(0.99),
        p999_us: h.value_at_quantile(0.999),
        max_us: h.max(),
    }
}

/// Sends one call to the first of `entries` that can be connected to; sorts its outcome and
/// says what the caller was told of it.
async fn call(
    plan: &Plan,
    entries: &[SocketAddr],
    heavy: bool,
    claim: bool,
    key: &str,
    idle: &RefCell<Vec<web::Conn>>,
) -> (Result<(), String>, Told) {
    let path = match heavy {
        true => format!("/s/{}/heavy/report", plan.service),
        false => format!("/s/{}/light/browse", plan.service),
    };
    let Some(mut conn) = connect(entries, idle).await else {
        return (Err("connect".to_owned()), Told::NotRun);
    };
    let method = if claim { http::Method::POST } else { http::Method::GET };
    let mut builder = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, conn.peer.to_string())
        .header(oatcoved::REQUEST_ID, key)
        .header(emu::upstream::IDEMPOTENCY_KEY, key);
    if let Some(team) = &plan.team {
        builder = builder.header(oatcoved::TEAM, team.as_str());
    }
    let request = builder.body(Bytes::new()).expect("request builds");
    let response = match conn.send(request, CALL_TIMEOUT).await {
        Ok(response) => response,
        Err(web::Error::Timeout) => return (Err("timeout".to_owned()), Told::Unknown),
        Err(_) => return (Err("transport".to_owned()), Told::Unknown),
    };
    if !web::has_connection_close(response.headers()) {
        idle.borrow_mut().push(conn);
    }
    let outcome =
        response.headers().get(oatcoved::OUTCOME).and_then(|v| v.to_str().ok()).unwrap_or("none");
    let told = match outcome {
        "not-run" => Told::NotRun,
        "done" if response.status().is_success() => Told::Done,
        _ => Told::Unknown,
    };
    match response.status().is_success() {
        true => (Ok(()), told),
        false => (Err(format!("status-{}-{outcome}", response.status().as_u16())), told),
    }
}

/// Returns a kept or fresh connection to the first of `entries` that takes one.
async fn connect(entries: &[SocketAddr], idle: &RefCell<Vec<web::Conn>>) -> Option<web::Conn> {
    for entry in entries {
        let kept = {
            let mut list = idle.borrow_mut();
            let position = list.iter().position(|c| c.peer == *entry);
            position.map(|i| list.swap_remove(i))
        };
        match kept {
            Some(conn) => return Some(conn),
            None => match web::Conn::connect(*entry, CONNECT_TIMEOUT).await {
                Ok(conn) => return Some(conn),
                Err(_) => continue,
            },
        }
    }
    None
}

/// Asks for the entries anew whenever the last answer's time to live is over, as callers do.
async fn refresh(plan: Plan, zone: usize, entries: Entries) {
    let mut ttl = REFRESH_AT_FIRST;
    loop {
        monoio::time::sleep(ttl).await;
        let known = entries.borrow()[zone].clone();
        let ask: Vec<SocketAddr> = known.into_iter().chain([plan.seed]).collect();
        if let Some((fresh, fresh_ttl)) = discover(&plan, &plan.zones[zone], &ask).await {
            ttl = fresh_ttl;
            entries.borrow_mut()[zone] = fresh;
        }
    }
}

/// Asks the first of `ask` that answers for the entries of `zone`, and how long to keep them.
///
/// Entries of other zones are used only when the answer names none of the zone's own.
async fn discover(
    plan: &Plan,
    zone: &str,
    ask: &[SocketAddr],
) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/v1/entries?service={}&zone={zone}", plan.service);
    for entry in ask {
        let Some(body) = get(*entry, &path).await else { continue };
        let Ok(answer) = serde_json::from_slice::<oatcoved::discovery::Entries>(&body) else {
            continue;
        };
        let local = answer.entries.iter().filter(|e| e.zone == zone);
        let local: Vec<SocketAddr> = local.map(|e| e.addr).collect();
        let ttl = Duration::from_secs(answer.ttl_s);
        match local.is_empty() {
            true if answer.entries.is_empty() => continue,
            true => return Some((answer.entries.iter().map(|e| e.addr).collect(), ttl)),
            false => return Some((local, ttl)),
        }
    }
    None
}

/// Sums the stand-in counters of `upstreams`.
async fn upstream_stats(upstreams: &[SocketAddr]) -> emu::upstream::Stats {
    let mut sum = emu::upstream::Stats::default();
    for addr in upstreams {
        let Some(body) = get(*addr, "/admin/stats").await else { continue };
        if let Ok(stats) = serde_json::from_slice::<emu::upstream::Stats>(&body) {
            sum.probes += stats.probes;
            sum.slots += stats.slots;
            sum.executed += stats.executed;
            sum.shed += stats.shed;
            sum.max_executions_per_key =
                sum.max_executions_per_key.max(stats.max_executions_per_key);
        }
    }
    sum
}

/// Reads how often each idempotency key was executed, over all `upstreams`.
async fn executions(upstreams: &[SocketAddr]) -> BTreeMap<SmolStr, u64> {
    let mut sum = BTreeMap::new();
    for addr in upstreams {
        let Some(body) = get(*addr, "/admin/executions").await else { continue };
        let counts = serde_json::from_slice::<BTreeMap<SmolStr, u64>>(&body).unwrap_or_default();
        for (key, count) in counts {
            *sum.entry(key).or_insert(0) += count;
        }
    }
    sum
}

/// Sends one GET on a fresh connection and returns the body of a 200 answer.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Bytes> {
    let response =
        web::fetch(addr, http::Method::GET, path, Bytes::new(), CALL_TIMEOUT).await.ok()?;
    (response.status() == http::StatusCode::OK).then(|| response.into_body())
}
