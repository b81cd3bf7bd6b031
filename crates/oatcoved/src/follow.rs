//! Tasks that follow the platform: the config in the table service and the VM list.
//!
//! Both poll. A failed poll keeps the last good state serving: a platform
//! outage must not empty a node's config or pools.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::Tx;
use smol_str::SmolStr;
use store::proto;

use crate::view::{Held, Isolation, View};
use crate::{gossip, probe};

/// Channels to the tasks that act on what the followers read.
#[derive(Clone)]
pub struct Links {
    /// The membership task.
    pub gossip: Tx<gossip::Input>,
    /// The watching task.
    pub probe: Tx<probe::Input>,
}

/// Polls the table service for config rows newer than those held, forever.
///
/// While the platform does not answer, newer rows come from a peer that holds
/// them ([`crate::relay`]).
pub async fn config(
    store: Rc<store::Store>,
    view: Rc<RefCell<View>>,
    every: Duration,
    links: Links,
) {
    loop {
        let held = view.borrow().held_head();
        if let Err(err) = read_config(&store, &view).await {
            log::warn!("config poll failed, keeping config at {held}: {err}");
            let source = crate::relay::config_source(&view.borrow(), &mut rand::rng());
            if let Some(peer) = source {
                match read_config(&store::Store::new(peer), &view).await {
                    Ok(()) => view.borrow_mut().counters.relayed_reads += 1,
                    Err(err) => log::warn!("peer={peer} could not relay the config: {err}"),
                }
            }
        }
        let now_held = view.borrow().held_head();
        if now_held != held {
            let _ = links.gossip.send(gossip::Input::ConfigHead(now_held));
            let _ = links.probe.send(probe::Input::Changed(None));
        }
        monoio::time::sleep(every).await;
    }
}

/// Reads and applies what is newer than held from the platform, or from a peer that relays it.
async fn read_config(store: &store::Store, view: &RefCell<View>) -> Result<(), store::StoreError> {
    let since = view.borrow().config_head;
    let rows = store.since(store::TEMPLATES, since).await?;
    apply_templates(&mut view.borrow_mut(), rows);
    let since = view.borrow().drain_head;
    let rows = store.since(store::DRAINS, since).await?;
    apply_drains(&mut view.borrow_mut(), rows);
    Ok(())
}

/// Applies a row that evacuates an availability zone, or takes that back; true when it is news.
///
/// As with drains, an older row never replaces a newer one. One that cannot be read counts as an
/// evacuation: its operator meant the zone to get nothing.
fn apply_evacuation(view: &mut View, zone: SmolStr, row: proto::Row) -> bool {
    if view.evacuations.get(&zone).is_some_and(|(_, held)| held.version >= row.version) {
        return false;
    }
    let evacuation = serde_json::from_str::<proto::Evacuation>(&row.value);
    let evacuation = evacuation.unwrap_or_else(|err| {
        log::error!("evacuation row {:?} is unreadable: {err}; taken to be in force", row.key);
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

/// Applies drain rows: each names an upstream, or an availability zone, that gets no new calls.
///
/// Drains are kept apart from the VM list, which lags and would otherwise
/// mark a drained upstream live again at its next rebuild; [`apply_vms`]
/// consults them on every rebuild. As with templates, an older row never
/// replaces a newer one.
pub fn apply_drains(view: &mut View, rows: proto::Rows) {
    let mut changed = false;
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
                if view.drains.get(&addr).is_some_and(|(_, r)| r.version >= row.version) => {}
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
            (Err(_), _) => log::error!("drain row {:?} is not an address; ignored", row.key),
            (_, Err(err)) => log::error!("drain row {:?} is unreadable: {err}; ignored", row.key),
        }
    }
    view.drain_head = view.drain_head.max(rows.head);
    if changed {
        rebuild(view);
    }
}

/// Applies template rows read from the table service.
///
/// A row not newer than the held version of its service is ignored: answers
/// can arrive late or from a lagging replica, and applying one would revert
/// an accepted change. A row that does not parse keeps the old template (the
/// CLI checks before writing, so this means a bad writer, which is logged).
pub fn apply_templates(view: &mut View, rows: proto::Rows) {
    for row in rows.rows {
        let held = view.templates.get(row.key.as_str()).map_or(0, |h| h.version);
        match config::Template::parse(&row.value) {
            _ if row.version <= held => view.counters.config_stale_ignored += 1,
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
                    Held { version: row.version, template: Rc::new(template), row },
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

/// Polls the VM list for changes after the version held, forever.
///
/// Each successful read renews the right to probe (crate `watch`), counted
/// from when it was asked for. A list relayed by a peer does not: how old it
/// was when the peer read it is not known.
pub async fn vms(store: Rc<store::Store>, view: Rc<RefCell<View>>, every: Duration, links: Links) {
    let (mut isolation, mut told) = (None, None);
    loop {
        let since = view.borrow().vm_head;
        let asked_at = Instant::now();
        match store.vm_changes(since).await {
            Ok(changes) => {
                let changed = apply_vm_changes(&mut view.borrow_mut(), since, changes);
                let input = match changed {
                    true => probe::Input::Changed(Some(asked_at)),
                    false => probe::Input::Confirmed(asked_at),
                };
                let _ = links.probe.send(input);
                if changed {
                    tell_listed(&view, &links);
                }
            }
            Err(err) => {
                log::warn!("VM list poll failed, keeping pools: {err}");
                relay_vms(&view, &links).await;
            }
        }
        // Told once it lasts: a node that has just started knows no peers for a moment.
        let before = std::mem::replace(&mut isolation, view.borrow().isolation());
        if before == isolation && told != isolation {
            told = isolation;
            tell_isolation(&view.borrow(), isolation);
        }
        monoio::time::sleep(every).await;
    }
}

fn tell_isolation(view: &View, isolation: Option<Isolation>) {
    let node_id = &view.settings.node_id;
    match isolation {
        Some(Isolation::NotListed) => log::warn!(
            "node={node_id} works alone: the platform's VM list does not name {}",
            view.settings.listen_addr
        ),
        Some(Isolation::NoPeers) => {
            log::warn!("node={node_id} works alone: it reaches none of the entry nodes listed");
        }
        None => log::info!("node={node_id} works with other entry nodes, or is the only one"),
    }
}

/// Takes the VM list from a peer while this node has none and the platform does not answer.
///
/// Without it, a node started during an outage would have no upstreams and
/// refuse every call until the platform is back.
async fn relay_vms(view: &Rc<RefCell<View>>, links: &Links) {
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
                rebuild(&mut view);
            }
            tell_listed(view, links);
        }
        Ok(_) => {}
        Err(err) => log::warn!("peer={peer} could not relay the VM list: {err}"),
    }
}

fn tell_listed(view: &RefCell<View>, links: &Links) {
    let listed = view.borrow().entries.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
    let _ = links.gossip.send(gossip::Input::Listed(listed));
}

/// Applies the VM-list changes read after version `since`.
///
/// An answer to `since == 0` is the whole list and replaces what is held. A
/// head below the one held means the platform's change log was reset (a
/// restarted or restored service): the held list can no longer be patched,
/// so the next poll reads the whole list again, while the pools held keep
/// serving until it arrives. Returns true when the list held changed.
pub fn apply_vm_changes(view: &mut View, since: proto::Version, changes: proto::VmChanges) -> bool {
    match () {
        _ if changes.head < since => {
            log::warn!(
                "VM list version went back from {since} to {}; reading it whole",
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
        let another = view
            .vms
            .get(&vm.addr)
            .is_some_and(|held| (&held.id, &held.service) != (&vm.id, &vm.service));
        if another || vm.state == proto::VmState::Gone {
            view.forget_reports(vm.addr);
        }
        match vm.state {
            proto::VmState::Gone => view.vms.remove(&vm.addr),
            _ => view.vms.insert(vm.addr, vm),
        };
    }
    view.vm_head = changes.head;
    rebuild(view);
    true
}

/// Rebuilds what follows from the VM list held.
fn rebuild(view: &mut View) {
    let vms: Vec<proto::Vm> = view.vms.values().cloned().collect();
    apply_vms(view, &vms);
}

/// Rebuilds upstream pools and the entry list from the VM list.
pub fn apply_vms(view: &mut View, vms: &[proto::Vm]) {
    let mut members: std::collections::HashMap<smol_str::SmolStr, Vec<_>> = Default::default();
    for vm in vms.iter().filter(|vm| vm.role == proto::VmRole::Upstream) {
        let standing = match vm.state {
            _ if view.is_drained(vm) || view.is_evacuated(&vm.zone) => {
                balance::UpstreamState::Leaving
            }
            proto::VmState::Live => balance::UpstreamState::Live,
            proto::VmState::Leaving | proto::VmState::Gone => balance::UpstreamState::Leaving,
        };
        members.entry(vm.service.clone()).or_default().push((vm.addr, vm.zone.clone(), standing));
    }
    view.pools.retain(|service, _| members.contains_key(service));
    for (service, list) in members {
        view.pools.entry(service).or_default().set_members(&list);
    }
    view.apply_reports();
    view.entries = vms
        .iter()
        .filter(|vm| vm.role == proto::VmRole::Entry && vm.state == proto::VmState::Live)
        .cloned()
        .collect();
}

#[cfg(test)]
mod history_tests;

#[cfg(test)]
mod tests;
