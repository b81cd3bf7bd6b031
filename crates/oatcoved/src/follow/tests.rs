use std::net::SocketAddr;

use store::proto;

use crate::follow::{apply_drains, apply_templates, apply_vm_changes};
use crate::test_support::view;
use crate::view::{Isolation, Peer};

fn row(version: u64, timeout_ms: u64) -> proto::Row {
    proto::Row {
        key: "swap-desk".into(),
        version,
        value: format!("service: swap-desk\ndefaults:\n  timeout_ms: {timeout_ms}\n"),
        change_id: format!("c{version}").into(),
    }
}

fn upstream(port: u16, state: proto::VmState) -> proto::Vm {
    proto::Vm {
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "z-0".into(),
        role: proto::VmRole::Upstream,
        service: "swap-desk".into(),
        state,
        id: Default::default(),
    }
}

/// Guards against an accepted change that is reverted on one node: after version 5 was applied, a
/// late response contains version 3.
#[test]
fn older_template_never_replaces_newer_one() {
    let mut view = view();
    apply_templates(&mut view, proto::Rows { head: 5, rows: vec![row(5, 400)] });
    apply_templates(&mut view, proto::Rows { head: 3, rows: vec![row(3, 900)] });
    let loaded = &view.templates["swap-desk"];
    assert_eq!((loaded.version, loaded.template.defaults.timeout_ms), (5, 400));
    assert_eq!(view.config_head, 5);
    assert_eq!(view.counters.config_stale_ignored, 1);
}

/// Guards against a node that loses its config when it replaces a valid template by a row that
/// cannot be parsed.
#[test]
fn invalid_row_keeps_the_last_valid_template() {
    let mut view = view();
    apply_templates(&mut view, proto::Rows { head: 1, rows: vec![row(1, 400)] });
    let invalid = proto::Row { value: "service: [".into(), ..row(2, 0) };
    apply_templates(&mut view, proto::Rows { head: 2, rows: vec![invalid] });
    assert_eq!(view.templates["swap-desk"].version, 1);
}

/// Guards against calls to an upstream that the platform has removed, if changes of the VM list
/// only add and update upstreams.
#[test]
fn gone_upstream_is_removed_from_the_pool() {
    let mut view = view();
    let both = vec![upstream(9001, proto::VmState::Live), upstream(9002, proto::VmState::Live)];
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 2, vms: both });
    assert_eq!(view.pools["swap-desk"].upstreams.len(), 2);
    let gone = vec![upstream(9001, proto::VmState::Gone)];
    apply_vm_changes(&mut view, 2, proto::VmChanges { head: 3, vms: gone });
    let pool = &view.pools["swap-desk"];
    assert_eq!(pool.upstreams.iter().map(|u| u.addr.port()).collect::<Vec<_>>(), [9002]);
    assert_eq!(view.vm_head, 3);
}

/// Guards against removed upstreams that stay in use forever, because a node applies changes to a
/// list that does not match them. The platform's change log is reset, so its head goes back from 10
/// to 2, and the node must read a snapshot.
#[test]
fn lower_head_forces_a_snapshot_and_keeps_the_pools() {
    let mut view = view();
    apply_vm_changes(
        &mut view,
        0,
        proto::VmChanges { head: 10, vms: vec![upstream(9001, proto::VmState::Live)] },
    );
    apply_vm_changes(&mut view, 10, proto::VmChanges { head: 2, vms: vec![] });
    assert_eq!(view.vm_head, 0, "the next poll reads a snapshot");
    assert_eq!(view.pools["swap-desk"].upstreams.len(), 1, "the pools stay in use until then");
    apply_vm_changes(
        &mut view,
        0,
        proto::VmChanges { head: 2, vms: vec![upstream(9003, proto::VmState::Live)] },
    );
    assert_eq!(
        view.pools["swap-desk"].upstreams.iter().map(|u| u.addr.port()).collect::<Vec<_>>(),
        [9003]
    );
}

/// Guards against a drained upstream that gets calls again: the lagging VM list still contains it
/// as live when the next change rebuilds the pools.
#[test]
fn drain_stays_in_force_when_the_vm_list_lags() {
    let mut view = view();
    let both = vec![upstream(9001, proto::VmState::Live), upstream(9002, proto::VmState::Live)];
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 2, vms: both });
    let drain = proto::Row {
        key: "127.0.0.1:9001".into(),
        version: 7,
        value: "{}".into(),
        change_id: "d".into(),
    };
    apply_drains(&mut view, proto::Rows { head: 7, rows: vec![drain] });
    let changed = vec![upstream(9002, proto::VmState::Live)];
    apply_vm_changes(&mut view, 2, proto::VmChanges { head: 3, vms: changed });
    let pool = &view.pools["swap-desk"];
    let state = |port: u16| pool.upstreams.iter().find(|u| u.addr.port() == port).map(|u| u.state);
    assert_eq!(state(9001), Some(balance::UpstreamState::Leaving));
    assert_eq!(state(9002), Some(balance::UpstreamState::Live));
}

/// Guards against an evacuated zone that gets calls again, and against a restored zone that gets
/// none. The first happens when a change of the VM list rebuilds the pools or when a row that
/// cannot be parsed is ignored, the second when a late response with an older row replaces a newer
/// one.
#[test]
fn evacuation_stays_in_force_after_vm_list_changes_and_late_responses() {
    let mut view = view();
    let live = || upstream(9001, proto::VmState::Live);
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: vec![live()] });
    let zone = live().zone;
    let row = |version, value: &str| proto::Row {
        key: format!("{}{zone}", store::EVACUATED_PREFIX).into(),
        version,
        value: value.into(),
        change_id: "e".into(),
    };
    let state = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].state;
    let apply = |view: &mut crate::view::View, row: proto::Row| {
        apply_drains(view, proto::Rows { head: row.version, rows: vec![row] });
    };
    apply(&mut view, row(7, "{}"));
    apply_vm_changes(&mut view, 1, proto::VmChanges { head: 2, vms: vec![live()] });
    assert_eq!(state(&view), balance::UpstreamState::Leaving);
    assert_eq!(view.status().evacuated, std::slice::from_ref(&zone));
    apply(&mut view, row(8, r#"{"lifted":true}"#));
    apply(&mut view, row(7, "{}"));
    assert_eq!(state(&view), balance::UpstreamState::Live);
    apply(&mut view, row(9, "?"));
    assert_eq!(state(&view), balance::UpstreamState::Leaving);
    let relayed = crate::relay::rows(&view, store::DRAINS, 8).expect("drain rows are relayed");
    assert_eq!((relayed.head, relayed.rows.len()), (9, 1));
}

/// Guards against a new VM that never gets a call because its predecessor at the same address was
/// drained: a drain must name the VM, not only the address.
#[test]
fn drain_does_not_apply_to_the_next_vm_at_the_address() {
    let mut view = view();
    let old = proto::Vm { id: "vm-1".into(), ..upstream(9001, proto::VmState::Live) };
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: vec![old] });
    let drain = proto::Row {
        key: "127.0.0.1:9001".into(),
        version: 7,
        value: r#"{"vm_id":"vm-1"}"#.into(),
        change_id: "d".into(),
    };
    apply_drains(&mut view, proto::Rows { head: 7, rows: vec![drain] });
    let state = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].state;
    assert_eq!(state(&view), balance::UpstreamState::Leaving);
    let next = proto::Vm { id: "vm-2".into(), ..upstream(9001, proto::VmState::Live) };
    apply_vm_changes(&mut view, 1, proto::VmChanges { head: 2, vms: vec![next] });
    assert_eq!(state(&view), balance::UpstreamState::Live);
}

/// Guards against an upstream that gets no calls after its drain was lifted, because the lift is
/// ignored or because a late response with the older drain row replaces it.
#[test]
fn lifted_drain_stays_lifted() {
    let mut view = view();
    let live = vec![upstream(9001, proto::VmState::Live)];
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: live });
    let row = |version, value: &str| proto::Row {
        key: "127.0.0.1:9001".into(),
        version,
        value: value.into(),
        change_id: "d".into(),
    };
    let (drain, lift) = (row(7, "{}"), row(8, r#"{"lifted":true}"#));
    apply_drains(&mut view, proto::Rows { head: 7, rows: vec![drain.clone()] });
    apply_drains(&mut view, proto::Rows { head: 8, rows: vec![lift] });
    apply_drains(&mut view, proto::Rows { head: 7, rows: vec![drain] });
    assert_eq!(view.pools["swap-desk"].upstreams[0].state, balance::UpstreamState::Live);
}

/// Guards against a new VM that gets no calls because of health reports on its predecessor at the
/// same address.
#[test]
fn health_reports_are_dropped_with_the_vm() {
    let mut view = view();
    let vm = |id: &str, state| proto::Vm { id: id.into(), ..upstream(9001, state) };
    let live = proto::VmState::Live;
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: vec![vm("vm-1", live)] });
    let (up, watcher) = (vm("vm-1", live).addr, "127.0.0.1:7101".parse().expect("address"));
    view.record_health_report(up, watcher, wire::Verdict::Draining);
    let health = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].health;
    assert_eq!(health(&view), balance::Health::Draining);
    apply_vm_changes(&mut view, 1, proto::VmChanges { head: 2, vms: vec![vm("vm-2", live)] });
    assert_eq!(health(&view), balance::Health::Healthy);
}

/// Guards against a watcher that overrides the health report of another, if only the last report is
/// kept. The worst of the last reports of all watchers must be in force.
#[test]
fn worst_health_report_of_all_watchers_is_in_force() {
    let mut view = view();
    let live = vec![upstream(9001, proto::VmState::Live)];
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: live });
    let up = upstream(9001, proto::VmState::Live).addr;
    let watcher = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let health = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].health;
    view.record_health_report(up, watcher(1), wire::Verdict::Draining);
    view.record_health_report(up, watcher(2), wire::Verdict::Failing);
    assert_eq!(health(&view), balance::Health::Draining);
    view.record_health_report(up, watcher(1), wire::Verdict::Healthy);
    assert_eq!(health(&view), balance::Health::Failing);
    view.record_health_report(up, watcher(2), wire::Verdict::Healthy);
    assert_eq!(health(&view), balance::Health::Healthy);
}

/// Guards against isolated nodes that go unnoticed: a call that crashes upstreams then crashes
/// three of them through each of a dozen nodes. A node is isolated if the platform's list does not
/// contain it, or if no other node of the list is reachable.
#[test]
fn isolated_node_reports_its_isolation() {
    let mut view = view();
    assert_eq!(view.isolation(), None, "the VM list has not been read yet");
    let entry = |port: u16| proto::Vm {
        role: proto::VmRole::Entry,
        service: Default::default(),
        ..upstream(port, proto::VmState::Live)
    };
    let set_listed = |view: &mut crate::view::View, head, ports: &[u16]| {
        let vms = ports.iter().map(|port| entry(*port)).collect();
        apply_vm_changes(view, 0, proto::VmChanges { head, vms });
    };
    set_listed(&mut view, 1, &[7101]);
    assert_eq!(view.status().isolation, Some(Isolation::NotListed));
    set_listed(&mut view, 2, &[7100, 7101]);
    assert_eq!(view.isolation(), Some(Isolation::NoPeers));
    let alive = Peer { standing: Some(wire::Standing::Alive), ..Peer::default() };
    view.peers.insert(entry(7101).addr, alive);
    assert_eq!(view.isolation(), None);
    view.peers.clear();
    set_listed(&mut view, 3, &[7100]);
    assert_eq!(view.isolation(), None, "it is the only entry node");
}
