//! The task that watches upstreams: it owns the probing duties and sends the probes.
//!
//! Which upstreams and how often is decided by [`watch::ProbeScheduler`]; verdicts go
//! into this node's pools and, through the membership task, to the others.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use local_sync::mpsc::unbounded::{Rx, Tx};
use serde::Deserialize;
use store::proto;

use crate::view::View;
use crate::{gossip, notices};

/// How often duties are checked.
const TICK: Duration = Duration::from_millis(100);

/// Deadline of one probe, connecting included.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// What other tasks tell the watching task.
pub enum Input {
    /// Time passed.
    Tick,
    /// The platform's list, read at the caller's request at this time, is as it was.
    Confirmed(Instant),
    /// The platform's list or a template changed; the list was last asked for at this time.
    Changed(Option<Instant>),
    /// A probe ended; its connection is handed back when it can be used again.
    Ended(SocketAddr, Found, Option<web::Conn>),
}

/// What a probe found.
pub struct Found {
    probe: watch::ProbeOutcome,
    /// What the answer states about the upstream, and when it was asked for; `None` when there was none.
    stated: Option<(notice::Signals, Instant)>,
}

/// The part of a load report that watching uses; other fields are ignored.
#[derive(Debug, Deserialize)]
struct LoadReport {
    #[serde(default)]
    draining: bool,
}

/// Watches upstreams until its inputs end.
pub async fn run(
    view: Rc<RefCell<View>>,
    tx: Tx<Input>,
    mut rx: Rx<Input>,
    gossip: Tx<gossip::Input>,
) {
    let mut watch = {
        let settings = &view.borrow().settings;
        let rules = watch::ProbeRules {
            max_probes_per_s: settings.max_probes_per_s,
            ..watch::ProbeRules::default()
        };
        watch::ProbeScheduler::new(settings.listen_addr, rules)
    };
    let mut idle = std::collections::HashMap::new();
    let mut asked_at = None;
    let mut leased = false;
    monoio::spawn(tick(tx.clone()));
    while let Some(input) = rx.recv().await {
        let now = Instant::now();
        match input {
            Input::Tick => {
                for due in watch.take_due(now) {
                    view.borrow_mut().counters.probes_sent += 1;
                    let path = probe_path(&view.borrow(), &due.service);
                    let kept = idle.remove(&due.addr);
                    monoio::spawn(probe(due.addr, path, kept, tx.clone()));
                }
                if leased && !watch.holds_lease(now) {
                    // Without probes nobody would see a failing upstream recover.
                    withdraw(watch.reset_failing(), &view, &gossip);
                }
                leased = watch.holds_lease(now);
            }
            Input::Confirmed(at) => {
                asked_at = Some(at);
                watch.renew_lease(at);
            }
            Input::Changed(at) => {
                asked_at = at.or(asked_at);
                if let Some(at) = asked_at {
                    let lost = set_list(&mut watch, &view.borrow(), at, now);
                    withdraw(lost, &view, &gossip);
                    idle.retain(|addr, _| view.borrow().vms.contains_key(addr));
                }
            }
            Input::Ended(addr, found, conn) => {
                if let Some((stated, asked_at)) = found.stated {
                    if view.borrow_mut().hear_probe(addr, &stated, asked_at) {
                        let _ = gossip.send(gossip::Input::News);
                    }
                }
                if let Some(conn) = conn {
                    idle.insert(addr, conn);
                }
                if let Some(verdict) = watch.record_outcome(addr, found.probe) {
                    log::info!("upstream={addr} probed: {verdict:?}");
                    tell(addr, verdict, &view, &gossip);
                }
            }
        }
    }
}

fn set_list(
    watch: &mut watch::ProbeScheduler,
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
        view.templates.get(service).map_or(0, |held| held.template.defaults.probe_budget_per_s)
    };
    watch.set_list(
        watch::VmList { entries: &entries, targets: &targets, requested_at },
        budget,
        now,
    )
}

fn withdraw(lost: Vec<SocketAddr>, view: &RefCell<View>, gossip: &Tx<gossip::Input>) {
    for addr in lost {
        tell(addr, wire::Verdict::Healthy, view, gossip);
    }
}

fn tell(
    addr: SocketAddr,
    verdict: wire::Verdict,
    view: &RefCell<View>,
    gossip: &Tx<gossip::Input>,
) {
    let me = view.borrow().settings.listen_addr;
    view.borrow_mut().report(addr, me, verdict);
    let _ = gossip.send(gossip::Input::Verdict(addr, verdict));
}

fn probe_path(view: &View, service: &str) -> String {
    match view.templates.get(service) {
        Some(held) => held.template.defaults.probe_path.to_string(),
        None => config::Params::default().probe_path.to_string(),
    }
}

/// Sends one probe and reports what it found.
async fn probe(addr: SocketAddr, path: String, kept: Option<web::Conn>, tx: Tx<Input>) {
    let asked_at = Instant::now();
    let deadline = asked_at + PROBE_TIMEOUT;
    let first = match kept {
        Some(conn) => ask(conn, &path, deadline).await.ok(),
        None => None,
    };
    // A kept connection may have been closed by the upstream: only a fresh one's word counts.
    let answer = match first {
        Some(answer) => Ok(answer),
        None => match web::Conn::connect(addr, left(deadline)).await {
            Ok(conn) => ask(conn, &path, deadline).await,
            Err(err) => Err(err),
        },
    };
    let (found, conn) = match answer {
        Ok((response, conn)) => {
            let stated = Some((notices::stated(addr, &response), asked_at));
            (Found { probe: found(&response), stated }, Some(conn))
        }
        Err(_) => (Found { probe: watch::ProbeOutcome::Down, stated: None }, None),
    };
    let _ = tx.send(Input::Ended(addr, found, conn));
}

async fn ask(
    mut conn: web::Conn,
    path: &str,
    deadline: Instant,
) -> Result<(web::Response, web::Conn), web::Error> {
    let request = http::Request::get(path)
        .header(http::header::HOST, conn.peer.to_string())
        .body(Bytes::new())
        .map_err(|err| web::Error::Send(err.to_string()))?;
    let response = conn.send(request, left(deadline)).await?;
    Ok((response, conn))
}

fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Reads what an answer to a probe says.
fn found(response: &web::Response) -> watch::ProbeOutcome {
    let report = serde_json::from_slice::<LoadReport>(response.body());
    match response.status() {
        status if status.is_success() => match report {
            Ok(LoadReport { draining: true }) => watch::ProbeOutcome::Draining,
            _ => watch::ProbeOutcome::Up,
        },
        // Refused because it is busy: it is there.
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
        monoio::time::sleep(TICK).await;
    }
}

#[cfg(test)]
mod tests;
