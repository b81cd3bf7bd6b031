//! Tasks that follow the platform: the config in the table service and the VM list.
//!
//! Both poll. A failed poll keeps the last good state serving: a platform
//! outage must not empty a node's config or pools.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use platform::proto;

use crate::view::{Held, View};

/// Polls the table service for template rows newer than those held, forever.
pub async fn config(store: Rc<platform::Store>, view: Rc<RefCell<View>>, every: Duration) {
    loop {
        let since = view.borrow().config_head;
        match store.since(platform::TEMPLATES, since).await {
            Ok(rows) => apply_templates(&mut view.borrow_mut(), rows),
            Err(err) => log::warn!("config poll failed, keeping config at {since}: {err}"),
        }
        let since = view.borrow().drain_head;
        match store.since(platform::DRAINS, since).await {
            Ok(rows) => apply_drains(&mut view.borrow_mut(), rows),
            Err(err) => log::warn!("drain poll failed, keeping drains at {since}: {err}"),
        }
        monoio::time::sleep(every).await;
    }
}

/// Applies drain rows: each names an upstream address that gets no new calls.
///
/// Drains are kept apart from the VM list, which lags and would otherwise
/// mark a drained upstream live again at its next rebuild; [`apply_vms`]
/// consults them on every rebuild.
pub fn apply_drains(view: &mut View, rows: proto::Rows) {
    for row in rows.rows {
        let Ok(addr) = row.key.parse::<std::net::SocketAddr>() else {
            log::error!("drain row {:?} is not an address; ignored", row.key);
            continue;
        };
        if view.drained.insert(addr) {
            log::info!(
                "node={} zone={} upstream={addr} drained",
                view.settings.node_id,
                view.settings.zone
            );
        }
        for pool in view.pools.values_mut() {
            pool.mark_leaving(addr);
        }
    }
    view.drain_head = view.drain_head.max(rows.head);
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
                view.templates
                    .insert(row.key, Held { version: row.version, template: Rc::new(template) });
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
pub async fn vms(store: Rc<platform::Store>, view: Rc<RefCell<View>>, every: Duration) {
    loop {
        let since = view.borrow().vm_head;
        match store.vm_changes(since).await {
            Ok(changes) => apply_vm_changes(&mut view.borrow_mut(), since, changes),
            Err(err) => log::warn!("VM list poll failed, keeping pools: {err}"),
        }
        monoio::time::sleep(every).await;
    }
}

/// Applies the VM-list changes read after version `since`.
///
/// An answer to `since == 0` is the whole list and replaces what is held. A
/// head below the one held means the platform's change log was reset (a
/// restarted or restored service): the held list can no longer be patched,
/// so the next poll reads the whole list again, while the pools held keep
/// serving until it arrives.
pub fn apply_vm_changes(view: &mut View, since: proto::Version, changes: proto::VmChanges) {
    match () {
        _ if changes.head < since => {
            log::warn!(
                "VM list version went back from {since} to {}; reading it whole",
                changes.head
            );
            view.vm_head = 0;
            return;
        }
        _ if since == 0 => view.vms.clear(),
        _ if changes.vms.is_empty() => {
            view.vm_head = changes.head;
            return;
        }
        _ => {}
    }
    for vm in changes.vms {
        match vm.state {
            proto::VmState::Gone => view.vms.remove(&vm.addr),
            _ => view.vms.insert(vm.addr, vm),
        };
    }
    view.vm_head = changes.head;
    let vms: Vec<proto::Vm> = view.vms.values().cloned().collect();
    apply_vms(view, &vms);
}

/// Rebuilds upstream pools and the entry list from the VM list.
pub fn apply_vms(view: &mut View, vms: &[proto::Vm]) {
    let mut members: std::collections::HashMap<smol_str::SmolStr, Vec<_>> = Default::default();
    for vm in vms.iter().filter(|vm| vm.role == proto::VmRole::Upstream) {
        let standing = match vm.state {
            _ if view.drained.contains(&vm.addr) => balance::Standing::Leaving,
            proto::VmState::Live => balance::Standing::Live,
            proto::VmState::Leaving | proto::VmState::Gone => balance::Standing::Leaving,
        };
        members.entry(vm.service.clone()).or_default().push((vm.addr, vm.zone.clone(), standing));
    }
    view.pools.retain(|service, _| members.contains_key(service));
    for (service, list) in members {
        view.pools.entry(service).or_default().set_members(&list);
    }
    view.entries = vms
        .iter()
        .filter(|vm| vm.role == proto::VmRole::Entry && vm.state == proto::VmState::Live)
        .cloned()
        .collect();
}

#[cfg(test)]
mod tests;
