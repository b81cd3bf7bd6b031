//! The load run: open-loop arrivals, calls, and the collection of results.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

use crate::claims::{check_claims, ClaimOutcome};
use crate::report::{ClassReport, Report};

/// Timeout of one call on the caller's side, and of each read of entries or counters. Also the
/// maximum time that a run waits at its end for the calls in flight.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a connection attempt to one entry node, after which the next one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until the first refresh of the entry nodes; later ones follow the TTL of the last list.
const INITIAL_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the arrival loop sends the calls that are due.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum number of calls in flight. Further ones are not sent but counted as the error
/// `overload-in-caller`.
const MAX_IN_FLIGHT_CALLS: usize = 8_192;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entry node from which the list of entry nodes is read.
    pub seed: SocketAddr,
    /// Service to call.
    pub service: SmolStr,
    /// Zones of the callers; calls rotate through them. At least one.
    pub zones: Vec<SmolStr>,
    /// Team sent with each call.
    pub team: Option<SmolStr>,
    /// Calls per second.
    pub rate_per_s: u64,
    /// Length of the run.
    pub duration: Duration,
    /// Share of calls that are heavy, in percent. A claim can be heavy too.
    pub heavy_percent: u32,
    /// Share of calls that are claims (POST, run at most once), in percent; the others are reads.
    pub claim_percent: u32,
    /// Upstream stand-ins whose counters are read before and after the run.
    pub upstreams: Vec<SocketAddr>,
    /// Cost of one probe, in milliseconds of one slot of an upstream.
    pub probe_cost_ms: f64,
    /// Sends every call to `seed`, without discovery of entry nodes. With an upstream stand-in
    /// as `seed`, this gives the latency of the upstream alone, the baseline for the latency that
    /// an entry node adds.
    pub direct: bool,
}

/// Addresses of the entry nodes to use in each zone, in the order of [`Plan::zones`].
type EntriesByZone = Rc<RefCell<Vec<Vec<SocketAddr>>>>;

/// Results collected during a run.
struct Tally {
    light: Histogram<u64>,
    heavy: Histogram<u64>,
    errors: BTreeMap<String, u64>,
    in_flight: usize,
    /// Outcome of each finished claim by its idempotency key.
    claims: BTreeMap<SmolStr, ClaimOutcome>,
}

/// Runs `plan` and returns the results.
///
/// # Panics
///
/// Panics when `plan.zones` is empty, and when the seed lists no entry nodes for a zone: there is
/// nothing to run against, which is a mistake in the setup.
pub async fn run(plan: Plan) -> Report {
    let entries: EntriesByZone = Rc::default();
    for zone in &plan.zones {
        let addrs = match plan.direct {
            true => Some(vec![plan.seed]),
            false => discover(&plan, zone, &[plan.seed]).await.map(|(addrs, _)| addrs),
        };
        let addrs =
            addrs.unwrap_or_else(|| panic!("entry node {} returned no entry nodes", plan.seed));
        entries.borrow_mut().push(addrs);
    }
    if !plan.direct {
        for index in 0..plan.zones.len() {
            monoio::spawn(refresh(plan.clone(), index, entries.clone()));
        }
    }
    let run_id = rand::random::<u32>();
    let before = upstream_stats(&plan.upstreams).await;
    let tally = Rc::new(RefCell::new(Tally {
        light: Histogram::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds are valid"),
        heavy: Histogram::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds are valid"),
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
            // The factors are coprime to 100, so every 100 calls in a row have the planned shares.
            let heavy = (sent * 7919 % 100) < u64::from(plan.heavy_percent);
            let claim = (sent * 6_131 % 100) < u64::from(plan.claim_percent);
            // Calls rotate through the entry nodes of the zone. If one cannot be connected to, the
            // call goes to the next.
            let candidates: Vec<SocketAddr> = {
                let entries = entries.borrow();
                let zone = &entries[sent as usize % entries.len()];
                let first = (sent as usize / entries.len()) % zone.len();
                zone.iter().cycle().skip(first).take(zone.len()).copied().collect()
            };
            sent += 1;
            if tally.borrow().in_flight >= MAX_IN_FLIGHT_CALLS {
                *tally.borrow_mut().errors.entry("overload-in-caller".into()).or_default() += 1;
                continue;
            }
            tally.borrow_mut().in_flight += 1;
            let (tally, idle, plan) = (tally.clone(), idle.clone(), plan.clone());
            monoio::spawn(async move {
                let key = smol_str::format_smolstr!("load-{run_id:08x}-{sent}");
                let (result, outcome) = call(&plan, &candidates, heavy, claim, &key, &idle).await;
                let latency_us = due_at.elapsed().as_micros() as u64;
                let mut t = tally.borrow_mut();
                t.in_flight -= 1;
                if claim {
                    t.claims.insert(key, outcome);
                }
                match result {
                    Ok(()) if heavy => t.heavy.saturating_record(latency_us),
                    Ok(()) => t.light.saturating_record(latency_us),
                    Err(kind) => *t.errors.entry(kind).or_default() += 1,
                }
            });
        }
        monoio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    let elapsed = started.elapsed();
    let wait_deadline = Instant::now() + CALL_TIMEOUT;
    while tally.borrow().in_flight > 0 && Instant::now() < wait_deadline {
        monoio::time::sleep(ARRIVAL_INTERVAL * 10).await;
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
        light: class_report(&t.light),
        heavy: class_report(&t.heavy),
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

fn class_report(histogram: &Histogram<u64>) -> ClassReport {
    ClassReport {
        ok: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}

/// Sends one call to the first of `entries` that can be connected to. Returns the kind of error if
/// the call failed, and the outcome of the call for a claim.
async fn call(
    plan: &Plan,
    entries: &[SocketAddr],
    heavy: bool,
    claim: bool,
    key: &str,
    idle: &RefCell<Vec<web::Conn>>,
) -> (Result<(), String>, ClaimOutcome) {
    let path = match heavy {
        true => format!("/s/{}/heavy/report", plan.service),
        false => format!("/s/{}/light/browse", plan.service),
    };
    let Some(mut conn) = connect(entries, idle).await else {
        return (Err("connect".to_owned()), ClaimOutcome::NotRun);
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
    let request = builder.body(Bytes::new()).expect("request is valid");
    let response = match conn.send(request, CALL_TIMEOUT).await {
        Ok(response) => response,
        Err(web::Error::Timeout) => return (Err("timeout".to_owned()), ClaimOutcome::Unknown),
        Err(_) => return (Err("transport".to_owned()), ClaimOutcome::Unknown),
    };
    if conn.is_reusable() {
        idle.borrow_mut().push(conn);
    }
    let outcome_header =
        response.headers().get(oatcoved::OUTCOME).and_then(|v| v.to_str().ok()).unwrap_or("none");
    let outcome = match outcome_header {
        "not-run" => ClaimOutcome::NotRun,
        "done" if response.status().is_success() => ClaimOutcome::Done,
        _ => ClaimOutcome::Unknown,
    };
    match response.status().is_success() {
        true => (Ok(()), outcome),
        false => (Err(format!("status-{}-{outcome_header}", response.status().as_u16())), outcome),
    }
}

/// Returns an idle connection or a new one to the first of `entries` that has either.
async fn connect(entries: &[SocketAddr], idle: &RefCell<Vec<web::Conn>>) -> Option<web::Conn> {
    for entry in entries {
        let idle_conn = {
            let mut conns = idle.borrow_mut();
            let position = conns.iter().position(|c| c.peer == *entry);
            position.map(|i| conns.swap_remove(i))
        };
        match idle_conn {
            Some(conn) => return Some(conn),
            None => match web::Conn::connect(*entry, CONNECT_TIMEOUT).await {
                Ok(conn) => return Some(conn),
                Err(_) => continue,
            },
        }
    }
    None
}

/// Replaces the entry nodes of one zone whenever the TTL of the last list expires, as callers do.
/// After a failed attempt it keeps the old ones and retries after the same TTL.
async fn refresh(plan: Plan, zone_index: usize, entries: EntriesByZone) {
    let mut ttl = INITIAL_REFRESH_INTERVAL;
    loop {
        monoio::time::sleep(ttl).await;
        let known = entries.borrow()[zone_index].clone();
        let sources: Vec<SocketAddr> = known.into_iter().chain([plan.seed]).collect();
        if let Some((fresh, fresh_ttl)) = discover(&plan, &plan.zones[zone_index], &sources).await {
            ttl = fresh_ttl;
            entries.borrow_mut()[zone_index] = fresh;
        }
    }
}

/// Reads the entry nodes for callers in `zone` from the first of `sources` that lists any.
/// Returns their addresses and the TTL of the list.
///
/// Entry nodes of other zones are returned only when the list has none in `zone`.
async fn discover(
    plan: &Plan,
    zone: &str,
    sources: &[SocketAddr],
) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/v1/entries?service={}&zone={zone}", plan.service);
    for source in sources {
        let Some(body) = get(*source, &path).await else { continue };
        let Ok(list) = serde_json::from_slice::<oatcoved::discovery::Entries>(&body) else {
            continue;
        };
        let local = list.entries.iter().filter(|e| e.zone == zone);
        let local: Vec<SocketAddr> = local.map(|e| e.addr).collect();
        let ttl = Duration::from_secs(list.ttl_s);
        match local.is_empty() {
            true if list.entries.is_empty() => continue,
            true => return Some((list.entries.iter().map(|e| e.addr).collect(), ttl)),
            false => return Some((local, ttl)),
        }
    }
    None
}

/// Returns the sums of the counters of `upstreams`, and for `max_executions_per_key` the maximum.
/// Skips upstreams that cannot be read.
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

/// Returns how often each idempotency key was executed on all `upstreams` together. Skips
/// upstreams that cannot be read.
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

/// Sends a GET on a new connection and returns the body of a 200 response. Returns `None` for any
/// other status and for any error.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Bytes> {
    let response =
        web::fetch(addr, http::Method::GET, path, Bytes::new(), CALL_TIMEOUT).await.ok()?;
    (response.status() == http::StatusCode::OK).then(|| response.into_body())
}
