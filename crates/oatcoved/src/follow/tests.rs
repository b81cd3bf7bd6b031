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

/// Symptom: an accepted change is undone on one node.
/// Sequence: the node applies version 5, then a late answer brings version 3.
/// Cause: applying whatever arrives instead of only newer versions.
#[test]
fn an_older_template_never_replaces_a_newer_one() {
    let mut view = view();
    apply_templates(&mut view, proto::Rows { head: 5, rows: vec![row(5, 400)] });
    apply_templates(&mut view, proto::Rows { head: 3, rows: vec![row(3, 900)] });
    let held = &view.templates["swap-desk"];
    assert_eq!((held.version, held.template.defaults.timeout_ms), (5, 400));
    assert_eq!(view.config_head, 5);
    assert_eq!(view.counters.config_stale_ignored, 1);
}

/// Symptom: a node serves with no config after a bad row.
/// Sequence: a good version is held, then a row that does not parse arrives.
/// Cause: replacing the held template before checking the new one.
#[test]
fn a_bad_row_keeps_the_last_good_template() {
    let mut view = view();
    apply_templates(&mut view, proto::Rows { head: 1, rows: vec![row(1, 400)] });
    let bad = proto::Row { value: "service: [".into(), ..row(2, 0) };
    apply_templates(&mut view, proto::Rows { head: 2, rows: vec![bad] });
    assert_eq!(view.templates["swap-desk"].version, 1);
}

/// Symptom: calls keep going to an upstream the platform removed.
/// Sequence: an upstream is listed, then reported gone in a change feed.
/// Cause: a follower that only adds and updates.
#[test]
fn a_gone_upstream_leaves_the_pool() {
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

/// Symptom: after the platform's change log is reset, a node patches a list
/// that no longer matches and keeps removed upstreams forever.
/// Sequence: the node holds head 10; the platform answers with head 2.
/// Cause: trusting a head that went backwards; the node must read the whole list again.
#[test]
fn a_head_that_goes_back_forces_a_whole_read_and_keeps_serving() {
    let mut view = view();
    apply_vm_changes(
        &mut view,
        0,
        proto::VmChanges { head: 10, vms: vec![upstream(9001, proto::VmState::Live)] },
    );
    apply_vm_changes(&mut view, 10, proto::VmChanges { head: 2, vms: vec![] });
    assert_eq!(view.vm_head, 0, "next poll reads the whole list");
    assert_eq!(view.pools["swap-desk"].upstreams.len(), 1, "pools keep serving meanwhile");
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

/// Symptom: a drained upstream gets calls again a moment after the drain.
/// Sequence: an operator drains an upstream; the lagging VM list still says
/// live, and the next VM-list change rebuilds the pools.
/// Cause: a rebuild from the VM list alone forgets the drain.
#[test]
fn a_drain_outlives_a_lagging_vm_list() {
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
    let standing =
        |port: u16| pool.upstreams.iter().find(|u| u.addr.port() == port).map(|u| u.state);
    assert_eq!(standing(9001), Some(balance::UpstreamState::Leaving));
    assert_eq!(standing(9002), Some(balance::UpstreamState::Live));
}

/// Symptom: an evacuated zone gets calls again, or never any more.
/// Sequence: an operator evacuates a zone; the VM list changes there; the evacuation is taken back, and an
/// older answer comes late; a row cannot be read.
/// Cause: a rebuild from the VM list alone, an older row in place of a newer one, or taking what cannot be
/// read for nothing.
#[test]
fn an_evacuation_outlives_changes_of_the_vm_list_and_late_answers() {
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
    let standing = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].state;
    let take = |view: &mut crate::view::View, row: proto::Row| {
        apply_drains(view, proto::Rows { head: row.version, rows: vec![row] });
    };
    take(&mut view, row(7, "{}"));
    apply_vm_changes(&mut view, 1, proto::VmChanges { head: 2, vms: vec![live()] });
    assert_eq!(standing(&view), balance::UpstreamState::Leaving);
    assert_eq!(view.status().evacuated, std::slice::from_ref(&zone));
    take(&mut view, row(8, r#"{"lifted":true}"#));
    take(&mut view, row(7, "{}"));
    assert_eq!(standing(&view), balance::UpstreamState::Live);
    take(&mut view, row(9, "?"));
    assert_eq!(standing(&view), balance::UpstreamState::Leaving);
    let relayed = crate::relay::rows(&view, store::DRAINS, 8).expect("it is passed on");
    assert_eq!((relayed.head, relayed.rows.len()), (9, 1));
}

/// Symptom: a new VM at a reused address never gets a call.
/// Sequence: an upstream is drained and goes; later another VM is listed at
/// its address.
/// Cause: a drain that names only the address. It names the VM.
#[test]
fn a_drain_does_not_hold_for_the_next_vm_at_the_address() {
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
    let standing = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].state;
    assert_eq!(standing(&view), balance::UpstreamState::Leaving);
    let next = proto::Vm { id: "vm-2".into(), ..upstream(9001, proto::VmState::Live) };
    apply_vm_changes(&mut view, 1, proto::VmChanges { head: 2, vms: vec![next] });
    assert_eq!(standing(&view), balance::UpstreamState::Live);
}

/// Symptom: an operator lifts a drain and the upstream stays out of work, or
/// a late answer drains it again.
/// Sequence: drain at version 7, lifted at 8, then 7 is read once more.
/// Cause: drains that only ever add up, or an older row replacing a newer one.
#[test]
fn a_lifted_drain_stays_lifted() {
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

/// Symptom: a new upstream is shunned for what its predecessor at the address did.
/// Sequence: watchers say an upstream drains; it is gone; another VM comes to its address.
/// Cause: reports kept by address across VMs.
#[test]
fn reports_do_not_outlive_the_vm() {
    let mut view = view();
    let vm = |id: &str, state| proto::Vm { id: id.into(), ..upstream(9001, state) };
    let live = proto::VmState::Live;
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: vec![vm("vm-1", live)] });
    let (up, watcher) = (vm("vm-1", live).addr, "127.0.0.1:7101".parse().expect("address"));
    view.report(up, watcher, wire::Verdict::Draining);
    let report = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].health;
    assert_eq!(report(&view), balance::Health::Draining);
    apply_vm_changes(&mut view, 1, proto::VmChanges { head: 2, vms: vec![vm("vm-2", live)] });
    assert_eq!(report(&view), balance::Health::Healthy);
}

/// Symptom: one mistaken watcher clears or hides what another saw.
/// Sequence: two watchers disagree on an upstream; one withdraws.
/// Cause: keeping only the last word. The worst of each watcher's last word counts.
#[test]
fn the_worst_of_the_watchers_words_counts() {
    let mut view = view();
    let live = vec![upstream(9001, proto::VmState::Live)];
    apply_vm_changes(&mut view, 0, proto::VmChanges { head: 1, vms: live });
    let up = upstream(9001, proto::VmState::Live).addr;
    let watcher = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let report = |view: &crate::view::View| view.pools["swap-desk"].upstreams[0].health;
    view.report(up, watcher(1), wire::Verdict::Draining);
    view.report(up, watcher(2), wire::Verdict::Failing);
    assert_eq!(report(&view), balance::Health::Draining);
    view.report(up, watcher(1), wire::Verdict::Healthy);
    assert_eq!(report(&view), balance::Health::Failing);
    view.report(up, watcher(2), wire::Verdict::Healthy);
    assert_eq!(report(&view), balance::Health::Healthy);
}

/// Symptom: a request that crashes upstreams takes three at each of a dozen nodes.
/// Sequence: the platform's list names none of the nodes, or none that lives; each works alone.
/// Cause: nothing said so: no line, no metric, no word in the status.
#[test]
fn a_node_that_works_alone_says_so() {
    let mut view = view();
    assert_eq!(view.isolation(), None, "nothing was read yet");
    let entry = |port: u16| proto::Vm {
        role: proto::VmRole::Entry,
        service: Default::default(),
        ..upstream(port, proto::VmState::Live)
    };
    let listed = |view: &mut crate::view::View, head, ports: &[u16]| {
        let vms = ports.iter().map(|port| entry(*port)).collect();
        apply_vm_changes(view, 0, proto::VmChanges { head, vms });
    };
    listed(&mut view, 1, &[7101]);
    assert_eq!(view.status().isolation, Some(Isolation::NotListed));
    listed(&mut view, 2, &[7100, 7101]);
    assert_eq!(view.isolation(), Some(Isolation::NoPeers));
    let alive = Peer { standing: Some(wire::Standing::Alive), ..Peer::default() };
    view.peers.insert(entry(7101).addr, alive);
    assert_eq!(view.isolation(), None);
    view.peers.clear();
    listed(&mut view, 3, &[7100]);
    assert_eq!(view.isolation(), None, "it is the only one");
}
