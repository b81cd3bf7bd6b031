//! The probing task, which sends the probes that this node is assigned.
//!
//! [`watch::ProbeScheduler`] decides which upstreams are probed and how often.
//! Verdicts are applied to this node's pools and sent to the other nodes by the
//! membership task.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use local_sync::mpsc::unbounded::{Rx, Tx};
use rand::seq::IteratorRandom;
use serde::Deserialize;
use store::proto;

use crate::view::View;
use crate::{gossip, notices, paths};

/// Interval at which the scheduler is asked for due probes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one probe, including connecting.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the body of a response, in bytes; a load report takes some dozen.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum age of a response that shows that this node reaches upstreams.
const RECENT_RESPONSE_AGE: Duration = Duration::from_secs(1);

/// Upstreams that are checked before the failure of another one counts.
const MAX_UPSTREAMS_CHECKED: usize = 2;

/// Inputs of the probing task.
pub enum Input {
    /// The tick interval has passed.
    Tick,
    /// The platform's VM list has not changed; this read was sent at the given time.
    Confirmed(Instant),
    /// The platform's VM list has changed, and this read was sent at the given time; or, with
    /// `None`, the config has changed.
    Changed(Option<Instant>),
    /// A probe has completed; with its connection if that can be reused.
    Completed(SocketAddr, ProbeResult, Option<Box<web::Conn>>),
    /// An upstream was checked beside its usual probes; with whether it responded.
    Checked(SocketAddr, bool),
    /// A probe of this upstream got no response, and others were checked since.
    Confirmation(SocketAddr),
}

/// Result of one probe.
pub struct ProbeResult {
    outcome: watch::ProbeOutcome,
    /// Signals of the response, and when the probe was sent; `None` without a response.
    signals: Option<(notice::Signals, Instant)>,
}

/// The fields of a load report that probing uses; other fields are ignored.
#[derive(Debug, Deserialize)]
struct LoadReport {
    #[serde(default)]
    draining: bool,
}

/// Probes upstreams until the input channel is closed.
pub async fn run(
    view: Rc<RefCell<View>>,
    tx: Tx<Input>,
    mut rx: Rx<Input>,
    gossip: Tx<gossip::Input>,
) {
    let mut scheduler = {
        let settings = &view.borrow().settings;
        let rules = watch::ProbeRules {
            max_probes_per_s: settings.max_probes_per_s,
            ..watch::ProbeRules::default()
        };
        watch::ProbeScheduler::new(settings.listen_addr, rules)
    };
    let mut idle = std::collections::HashMap::new();
    let mut list_requested_at = None;
    let mut had_lease = false;
    let mut was_partitioned = false;
    monoio::spawn(tick(tx.clone()));
    while let Some(input) = rx.recv().await {
        let now = Instant::now();
        match input {
            Input::Tick => {
                check_paths(&view, &tx, now);
                for due in scheduler.take_due(now) {
                    view.borrow_mut().counters.probes_sent += 1;
                    let path = probe_path(&view.borrow(), &due.service);
                    let idle_conn = idle.remove(&due.addr);
                    monoio::spawn(probe(due.addr, path, idle_conn, tx.clone()));
                }
                if had_lease && !scheduler.holds_lease(now) {
                    // Without probes, this node would not notice that a failing upstream has
                    // recovered.
                    withdraw_reports(scheduler.reset_failing(), &view, &gossip);
                }
                had_lease = scheduler.holds_lease(now);
                let is_partitioned = view.borrow().paths.is_unreachable();
                if is_partitioned && !was_partitioned {
                    // What it found failing just before may be due to the partition too.
                    withdraw_reports(scheduler.reset_failing(), &view, &gossip);
                }
                was_partitioned = is_partitioned;
            }
            Input::Confirmed(at) => {
                list_requested_at = Some(at);
                scheduler.renew_lease(at);
            }
            Input::Changed(at) => {
                list_requested_at = at.or(list_requested_at);
                if let Some(at) = list_requested_at {
                    let unwatched = update_targets(&mut scheduler, &view.borrow(), at, now);
                    withdraw_reports(unwatched, &view, &gossip);
                    idle.retain(|addr, _| view.borrow().vms.contains_key(addr));
                }
            }
            Input::Completed(addr, result, conn) => {
                record_path(&view, addr, result.signals.is_some());
                if let Some((signals, request_sent_at)) = result.signals {
                    if view.borrow_mut().apply_probe_signals(addr, &signals, request_sent_at) {
                        let _ = gossip.send(gossip::Input::UpdatesPending);
                    }
                }
                if let Some(conn) = conn {
                    idle.insert(addr, *conn);
                }
                let verdict = match &result.signals {
                    Some(_) => scheduler.record_outcome(addr, result.outcome),
                    None => record_unanswered(&mut scheduler, &view, &tx, addr, now),
                };
                report_change(addr, verdict, &view, &gossip);
            }
            Input::Checked(addr, responds) => record_path(&view, addr, responds),
            Input::Confirmation(addr) => {
                let verdict = match has_recent_response(&view, now) {
                    true => scheduler.record_outcome(addr, watch::ProbeOutcome::Down),
                    false => {
                        scheduler.discard_outcome(addr);
                        None
                    }
                };
                report_change(addr, verdict, &view, &gossip);
            }
        }
    }
}

/// Records a probe without a response. It is evidence against its upstream only while this node
/// reaches others: some are checked first, unless one has responded just now.
fn record_unanswered(
    scheduler: &mut watch::ProbeScheduler,
    view: &RefCell<View>,
    tx: &Tx<Input>,
    addr: SocketAddr,
    now: Instant,
) -> Option<wire::Verdict> {
    let others = random_upstreams(&view.borrow(), Some(addr), MAX_UPSTREAMS_CHECKED);
    if others.is_empty() || has_recent_response(view, now) {
        return scheduler.record_outcome(addr, watch::ProbeOutcome::Down);
    }
    let tx = tx.clone();
    monoio::spawn(async move {
        for (other, path) in others {
            let responds = check(other, &path).await;
            let _ = tx.send(Input::Checked(other, responds));
        }
        let _ = tx.send(Input::Confirmation(addr));
    });
    None
}

fn has_recent_response(view: &RefCell<View>, now: Instant) -> bool {
    let since = now.checked_sub(RECENT_RESPONSE_AGE);
    since.is_some_and(|since| view.borrow().paths.has_responded_since(since))
}

/// Returns up to `count` different live upstreams other than `except`, at random, each with the path
/// of its probes.
fn random_upstreams(
    view: &View,
    except: Option<SocketAddr>,
    count: usize,
) -> Vec<(SocketAddr, String)> {
    let is_candidate = |vm: &&proto::Vm| {
        vm.role == proto::VmRole::Upstream
            && vm.state == proto::VmState::Live
            && Some(vm.addr) != except
    };
    let vms = view.vms.values().filter(is_candidate).choose_multiple(&mut rand::rng(), count);
    vms.into_iter().map(|vm| (vm.addr, probe_path(view, &vm.service))).collect()
}

/// Returns whether the upstream at `addr` responds to a probe on a new connection.
async fn check(addr: SocketAddr, path: &str) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    match web::Conn::connect(addr, PROBE_TIMEOUT).await {
        Ok(conn) => send_probe(conn, path, deadline).await.is_ok(),
        Err(_) => false,
    }
}

/// Checks a random upstream while this node reaches none, to find out whether that has ended.
fn check_paths(view: &RefCell<View>, tx: &Tx<Input>, now: Instant) {
    if !view.borrow_mut().paths.take_due_check(now) {
        return;
    }
    for (addr, path) in random_upstreams(&view.borrow(), None, 1) {
        let tx = tx.clone();
        monoio::spawn(async move {
            let responds = check(addr, &path).await;
            let _ = tx.send(Input::Checked(addr, responds));
        });
    }
}

fn record_path(view: &RefCell<View>, addr: SocketAddr, responds: bool) {
    match responds {
        true => paths::record_response(&mut view.borrow_mut()),
        false => paths::record_failure(&mut view.borrow_mut(), addr),
    }
}

/// Reports the verdict on an upstream, if it has changed.
fn report_change(
    addr: SocketAddr,
    verdict: Option<wire::Verdict>,
    view: &RefCell<View>,
    gossip: &Tx<gossip::Input>,
) {
    if let Some(verdict) = verdict {
        log::info!("upstream={addr} probe verdict: {verdict:?}");
        report_verdict(addr, verdict, view, gossip);
    }
}

/// Passes the VM list and the probe budgets to the scheduler. Returns the upstreams whose health
/// reports by this node must be withdrawn; see [`watch::ProbeScheduler::set_list`].
fn update_targets(
    scheduler: &mut watch::ProbeScheduler,
    view: &View,
    requested_at: Instant,
    now: Instant,
) -> Vec<SocketAddr> {
    let entries: Vec<_> = view.entries.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
    let targets: Vec<watch::Target> = view
        .vms
        .values()
        .filter(|vm| vm.role == proto::VmRole::Upstream && vm.state == proto::VmState::Live)
        .filter(|vm| !view.is_drained(vm))
        .map(|vm| watch::Target {
            addr: vm.addr,
            zone: vm.zone.clone(),
            service: vm.service.clone(),
        })
        .collect();
    let budget = |service: &str| {
        view.templates.get(service).map_or(0, |loaded| loaded.template.defaults.probe_budget_per_s)
    };
    scheduler.set_list(
        watch::VmList { entries: &entries, targets: &targets, requested_at },
        budget,
        now,
    )
}

/// Withdraws this node's health reports on the upstreams at `addrs` by reporting them as healthy.
fn withdraw_reports(addrs: Vec<SocketAddr>, view: &RefCell<View>, gossip: &Tx<gossip::Input>) {
    for addr in addrs {
        report_verdict(addr, wire::Verdict::Healthy, view, gossip);
    }
}

/// Applies a verdict of this node and sends it to the membership task.
fn report_verdict(
    addr: SocketAddr,
    verdict: wire::Verdict,
    view: &RefCell<View>,
    gossip: &Tx<gossip::Input>,
) {
    let me = view.borrow().settings.listen_addr;
    view.borrow_mut().record_health_report(addr, me, verdict);
    let _ = gossip.send(gossip::Input::Verdict(addr, verdict));
}

fn probe_path(view: &View, service: &str) -> String {
    match view.templates.get(service) {
        Some(loaded) => loaded.template.defaults.probe_path.to_string(),
        None => config::Params::default().probe_path.to_string(),
    }
}

/// Probes the upstream at `addr` and sends the result to the probing task.
async fn probe(addr: SocketAddr, path: String, idle_conn: Option<web::Conn>, tx: Tx<Input>) {
    let request_sent_at = Instant::now();
    let deadline = request_sent_at + PROBE_TIMEOUT;
    let quiet_conn = match idle_conn {
        Some(mut conn) => (!conn.has_pending_input().await).then_some(conn),
        None => None,
    };
    let first = match quiet_conn {
        Some(conn) => send_probe(conn, &path, deadline).await.ok(),
        None => None,
    };
    // The upstream may have closed the idle connection, so only a failure on a new one counts.
    let response = match first {
        Some(response) => Ok(response),
        None => match web::Conn::connect(addr, time_left(deadline)).await {
            Ok(mut conn) => {
                conn.limit_body(MAX_BODY_BYTES);
                send_probe(conn, &path, deadline).await
            }
            Err(err) => Err(err),
        },
    };
    let (result, conn) = match response {
        Ok((response, conn)) => {
            let signals = Some((notices::read_signals(addr, &response), request_sent_at));
            let conn = Some(conn).filter(web::Conn::is_reusable).map(Box::new);
            (ProbeResult { outcome: outcome(&response), signals }, conn)
        }
        Err(_) => (ProbeResult { outcome: watch::ProbeOutcome::Down, signals: None }, None),
    };
    let _ = tx.send(Input::Completed(addr, result, conn));
}

async fn send_probe(
    mut conn: web::Conn,
    path: &str,
    deadline: Instant,
) -> Result<(web::Response, web::Conn), web::Error> {
    let request = http::Request::get(path)
        .header(http::header::HOST, conn.peer.to_string())
        .body(Bytes::new())
        .map_err(|err| web::Error::Send(err.to_string()))?;
    let response = conn.send(request, time_left(deadline)).await?;
    Ok((response, conn))
}

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Returns the outcome of a probe with the given response.
fn outcome(response: &web::Response) -> watch::ProbeOutcome {
    let report = serde_json::from_slice::<LoadReport>(response.body());
    match response.status() {
        status if status.is_success() => match report {
            Ok(LoadReport { draining: true }) => watch::ProbeOutcome::Draining,
            _ => watch::ProbeOutcome::Up,
        },
        // The upstream refuses because it is busy, so it is up.
        http::StatusCode::SERVICE_UNAVAILABLE | http::StatusCode::TOO_MANY_REQUESTS
            if response.headers().contains_key(http::header::RETRY_AFTER) =>
        {
            watch::ProbeOutcome::Up
        }
        _ => watch::ProbeOutcome::Down,
    }
}

async fn tick(tx: Tx<Input>) {
    while tx.send(Input::Tick).is_ok() {
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
