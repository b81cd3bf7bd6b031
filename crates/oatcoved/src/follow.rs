//! Tasks that poll the platform for the config in the table service and for the
//! VM list.
//!
//! A failed poll leaves the last state in use: a platform outage must not empty
//! a node's config or pools.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lease::LastRead;
use local_sync::mpsc::unbounded::Tx;
use smol_str::SmolStr;
use store::proto;

use crate::view::{Isolation, LoadedTemplate, View};
use crate::{gossip, probe};

/// Channels to the tasks that are notified of changes.
#[derive(Clone)]
pub struct Channels {
    /// The membership task.
    pub gossip: Tx<gossip::Input>,
    /// The probing task.
    pub probe: Tx<probe::Input>,
}

/// Polls the table service for newer config rows, forever.
///
/// While the platform is unreachable, newer rows are read from a peer that has
/// them ([`crate::relay`]).
pub async fn poll_config(
    store: Rc<store::Store>,
    view: Rc<RefCell<View>>,
    poll_interval: Duration,
    channels: Channels,
) {
    let mut announced_head = 0;
    loop {
        let requested_at = Instant::now();
        let polled = read_config(&store, &view).await;
        record_poll(&mut view.borrow_mut(), requested_at, polled.is_ok());
        if let Err(err) = polled {
            let head = view.borrow().synced_head();
            log::warn!("config poll failed, keeping the config of commit {head}: {err}");
            let relay_peer = crate::relay::config_source(&view.borrow(), &mut rand::rng());
            if let Some(peer) = relay_peer {
                match read_config(&store::Store::new(peer), &view).await {
                    Ok(()) => view.borrow_mut().counters.relayed_reads += 1,
                    Err(err) => {
                        log::warn!("peer={peer} cannot read the config from this peer: {err}")
                    }
                }
            }
        }
        // A call may have read newer rows from a peer meanwhile.
        let head = view.borrow().synced_head();
        if head != announced_head {
            announced_head = head;
            let _ = channels.gossip.send(gossip::Input::ConfigHead(head));
            let _ = channels.probe.send(probe::Input::Changed(None));
        }
        monoio::time::sleep(poll_interval).await;
    }
}

/// Records whether the platform answered a poll for config that was sent at `requested_at`. Rows from
/// a peer renew no lease, since it is not known how old they were when the peer read them.
fn record_poll(view: &mut View, requested_at: Instant, succeeded: bool) {
    // Of a failed poll it is not told whether the platform rejected it.
    view.config_polls.record(if succeeded { LastRead::Answered } else { LastRead::TimedOut });
    if succeeded {
        view.config_lease.renew(requested_at);
    }
}

/// Reads newer template, drain and evacuation rows from `store`, which is the platform or a peer,
/// and applies them.
///
/// # Errors
///
/// Returns the error of the first table that cannot be read; rows of the other may be applied.
pub(crate) async fn read_config(
    store: &store::Store,
    view: &RefCell<View>,
) -> Result<(), store::StoreError> {
    let since = view.borrow().config_head;
    let rows = store.since(store::TEMPLATES, since).await?;
    apply_templates(&mut view.borrow_mut(), rows);
    let since = view.borrow().drain_head;
    let rows = store.since(store::DRAINS, since).await?;
    apply_drains(&mut view.borrow_mut(), rows);
    Ok(())
}

/// Applies a row that evacuates or restores an availability zone. Returns true if it is newer than
/// the row in use.
///
/// As with drains, an older row never replaces a newer one. A row that cannot be parsed counts as
/// an evacuation, since its operator wanted the zone to get no calls.
fn apply_evacuation(view: &mut View, zone: SmolStr, row: proto::Row) -> bool {
    if view.evacuations.get(&zone).is_some_and(|(_, current)| current.version >= row.version) {
        return false;
    }
    let evacuation = serde_json::from_str::<proto::Evacuation>(&row.value);
    let evacuation = evacuation.unwrap_or_else(|err| {
        log::error!(
            "cannot parse evacuation row {:?}: {err}; the evacuation is taken to be in force",
            row.key
        );
        proto::Evacuation::default()
    });
    log::info!(
        "node={} zone={} evacuation of zone {zone} {}",
        view.settings.node_id,
        view.settings.zone,
        if evacuation.lifted { "taken back" } else { "in force" }
    );
    view.evacuations.insert(zone, (evacuation, row));
    true
}

/// Applies drain and evacuation rows, each of which names an upstream or an availability zone that
/// gets no new calls.
///
/// Drains are stored separately from the VM list. The list lags behind, so it
/// would otherwise make a drained upstream live again. [`apply_vms`] consults
/// the drains whenever it rebuilds the pools. As with templates, an older row
/// never replaces a newer one.
pub fn apply_drains(view: &mut View, rows: proto::Rows) {
    let mut changed = false;
    let newest = rows.rows.iter().map(|row| row.version).max();
    view.newest_drain = view.newest_drain.max(newest.unwrap_or_default());
    for row in rows.rows {
        if let Some(zone) = row.key.strip_prefix(store::EVACUATED_PREFIX) {
            let zone = SmolStr::from(zone);
            changed |= apply_evacuation(view, zone, row);
            continue;
        }
        let addr = row.key.parse::<SocketAddr>();
        let drain = serde_json::from_str::<proto::Drain>(&row.value);
        match (addr, drain) {
            (Ok(addr), _)
                if view
                    .drains
                    .get(&addr)
                    .is_some_and(|(_, current)| current.version >= row.version) => {}
            (Ok(addr), Ok(drain)) => {
                log::info!(
                    "node={} zone={} upstream={addr} vm_id={} drain {}",
                    view.settings.node_id,
                    view.settings.zone,
                    drain.vm_id,
                    if drain.lifted { "lifted" } else { "in force" }
                );
                view.drains.insert(addr, (drain, row));
                changed = true;
            }
            (Err(_), _) => {
                log::error!("key of drain row {:?} is not an address; row ignored", row.key)
            }
            (_, Err(err)) => {
                log::error!("cannot parse drain row {:?}: {err}; row ignored", row.key)
            }
        }
    }
    view.drain_head = view.drain_head.max(rows.head);
    if changed {
        rebuild_pools(view);
    }
}

/// Applies template rows read from the table service.
///
/// A row that is not newer than the template in use is ignored: responses can
/// arrive late or come from a lagging replica, and applying one would revert an
/// accepted change. A row that cannot be parsed leaves the old template in use
/// and is logged as an error. The CLI validates templates before it writes
/// them, so such a row was written by something else.
pub fn apply_templates(view: &mut View, rows: proto::Rows) {
    for row in rows.rows {
        let current = view.templates.get(row.key.as_str()).map_or(0, |loaded| loaded.version);
        match config::Template::parse(&row.value) {
            _ if row.version <= current => view.counters.config_stale_ignored += 1,
            Ok(template) => {
                log::info!(
                    "node={} zone={} service={} applied template version {} (change {})",
                    view.settings.node_id,
                    view.settings.zone,
                    row.key,
                    row.version,
                    row.change_id
                );
                view.counters.config_applied += 1;
                view.templates.insert(
                    row.key.clone(),
                    LoadedTemplate { version: row.version, template: Rc::new(template), row },
                );
            }
            Err(findings) => {
                log::error!(
                    "service={} template version {} rejected:\n{findings}",
                    row.key,
                    row.version
                );
            }
        }
    }
    view.config_head = view.config_head.max(rows.head);
}

/// Polls the VM list for changes, forever.
///
/// Each successful read renews the lease for probing (crate `watch`), counted
/// from when the read was sent. A list from a peer does not, since it is not
/// known how old the list was when the peer read it.
pub async fn poll_vms(
    store: Rc<store::Store>,
    view: Rc<RefCell<View>>,
    poll_interval: Duration,
    channels: Channels,
) {
    let (mut isolation, mut logged) = (None, None);
    loop {
        let since = view.borrow().vm_head;
        let requested_at = Instant::now();
        match store.vm_changes(since).await {
            Ok(changes) => {
                let changed = apply_vm_changes(&mut view.borrow_mut(), since, changes);
                let input = match changed {
                    true => probe::Input::Changed(Some(requested_at)),
                    false => probe::Input::Confirmed(requested_at),
                };
                let _ = channels.probe.send(input);
                if changed {
                    send_listed_nodes(&view, &channels);
                }
            }
            Err(err) => {
                log::warn!("VM list poll failed, keeping the upstream pools: {err}");
                read_vms_from_peer(&view, &channels).await;
            }
        }
        // Logged only once two polls agree: a node that has just started knows no peers for a
        // moment.
        let previous = std::mem::replace(&mut isolation, view.borrow().isolation());
        if previous == isolation && logged != isolation {
            logged = isolation;
            log_isolation(&view.borrow(), isolation);
        }
        monoio::time::sleep(poll_interval).await;
    }
}

fn log_isolation(view: &View, isolation: Option<Isolation>) {
    let node_id = &view.settings.node_id;
    match isolation {
        Some(Isolation::NotListed) => log::warn!(
            "node={node_id} is isolated: the platform's VM list does not contain {}",
            view.settings.listen_addr
        ),
        Some(Isolation::NoPeers) => {
            log::warn!("node={node_id} is isolated: none of the listed entry nodes is reachable");
        }
        None => log::info!(
            "node={node_id} is not isolated: it reaches a peer, or is the only entry node"
        ),
    }
}

/// Reads the VM list from a peer if this node has not read it from the platform yet.
///
/// Without it, a node that starts during a platform outage would have no
/// upstreams and refuse every call until the outage ends.
async fn read_vms_from_peer(view: &Rc<RefCell<View>>, channels: &Channels) {
    if view.borrow().vm_head > 0 {
        return;
    }
    let Some(peer) = crate::relay::any_source(&view.borrow(), &mut rand::rng()) else { return };
    match store::Store::new(peer).vms().await {
        Ok(vms) if !vms.is_empty() => {
            {
                let mut view = view.borrow_mut();
                view.counters.relayed_reads += 1;
                view.vms = vms.into_iter().map(|vm| (vm.addr, vm)).collect();
                rebuild_pools(&mut view);
            }
            send_listed_nodes(view, channels);
        }
        Ok(_) => {}
        Err(err) => log::warn!("peer={peer} cannot read the VM list from this peer: {err}"),
    }
}

/// Sends the listed entry nodes to the membership task.
fn send_listed_nodes(view: &RefCell<View>, channels: &Channels) {
    let listed = view.borrow().entries.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
    let _ = channels.gossip.send(gossip::Input::Listed(listed));
}

/// Applies the VM-list changes read after version `since`. Returns true if the VM list changed.
///
/// A response to `since == 0` is a snapshot and replaces the list. A head below
/// `since` means that the platform's change log was reset, because the service
/// was restarted or restored. Changes can then no longer be applied to the
/// list, so the next poll reads a snapshot. The pools stay in use until then.
pub fn apply_vm_changes(view: &mut View, since: proto::Version, changes: proto::VmChanges) -> bool {
    match () {
        _ if changes.head < since => {
            log::warn!(
                "VM list head decreased from {since} to {}; the next poll reads a snapshot",
                changes.head
            );
            view.vm_head = 0;
            return false;
        }
        _ if since == 0 => view.vms.clear(),
        _ if changes.vms.is_empty() => {
            view.vm_head = changes.head;
            return false;
        }
        _ => {}
    }
    for vm in changes.vms {
        let is_other_vm = view
            .vms
            .get(&vm.addr)
            .is_some_and(|listed| (&listed.id, &listed.service) != (&vm.id, &vm.service));
        if is_other_vm || vm.state == proto::VmState::Gone {
            view.clear_health_reports(vm.addr);
        }
        match vm.state {
            proto::VmState::Gone => view.vms.remove(&vm.addr),
            _ => view.vms.insert(vm.addr, vm),
        };
    }
    view.vm_head = changes.head;
    rebuild_pools(view);
    true
}

/// Rebuilds the upstream pools and the entry list from the view's VM list.
fn rebuild_pools(view: &mut View) {
    let vms: Vec<proto::Vm> = view.vms.values().cloned().collect();
    apply_vms(view, &vms);
}

/// Rebuilds the upstream pools and the entry list from the VM list `vms`.
pub fn apply_vms(view: &mut View, vms: &[proto::Vm]) {
    let mut upstreams_by_service: std::collections::HashMap<smol_str::SmolStr, Vec<_>> =
        Default::default();
    for vm in vms.iter().filter(|vm| vm.role == proto::VmRole::Upstream) {
        let state = match vm.state {
            _ if view.is_drained(vm) || view.is_evacuated(&vm.zone) => {
                balance::UpstreamState::Leaving
            }
            proto::VmState::Live => balance::UpstreamState::Live,
            proto::VmState::Leaving | proto::VmState::Gone => balance::UpstreamState::Leaving,
        };
        upstreams_by_service.entry(vm.service.clone()).or_default().push((
            vm.addr,
            vm.zone.clone(),
            state,
        ));
    }
    view.pools.retain(|service, _| upstreams_by_service.contains_key(service));
    for (service, upstreams) in upstreams_by_service {
        view.pools.entry(service).or_default().set_members(&upstreams);
    }
    view.apply_health_reports();
    view.entries = vms
        .iter()
        .filter(|vm| vm.role == proto::VmRole::Entry && vm.state == proto::VmState::Live)
        .cloned()
        .collect();
}

#[cfg(test)]
mod history_tests;

#[cfg(test)]
mod invalid_entry_tests;

#[cfg(test)]
mod tests;
