use std::net::SocketAddr;

use store::proto;
use wire::Standing;

use crate::discovery::entries;
use crate::test_support::view;
use crate::view::{Peer, View};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the view of a node at port 7100 whose VM list has entry nodes at ports 7101 to 7104.
fn view_with_entries() -> View {
    let mut view = view();
    view.entries = (7101..7105)
        .map(|port| proto::Vm {
            addr: addr(port),
            zone: if port % 2 == 0 { "z-0".into() } else { "z-1".into() },
            role: proto::VmRole::Entry,
            service: Default::default(),
            state: proto::VmState::Live,
            id: Default::default(),
        })
        .collect();
    view
}

fn set_standing(view: &mut View, port: u16, standing: Standing) {
    let peer =
        Peer { zone: "z-0".into(), standing: Some(standing), config_head: 0, heard_at: None };
    view.peers.insert(addr(port), peer);
}

fn ports(view: &View) -> Vec<u16> {
    entries(view, Some("z-0")).entries.iter().map(|e| e.addr.port()).collect()
}

#[test]
fn own_zone_comes_first() {
    assert_eq!(ports(&view_with_entries()), [7100, 7102, 7104, 7101, 7103]);
}

/// Guards against callers that are sent to entry nodes that are gone: one node has crashed and one
/// has left, but the lagging list of the platform still contains both.
#[test]
fn dead_and_left_nodes_are_omitted() {
    let mut view = view_with_entries();
    set_standing(&mut view, 7102, Standing::Dead);
    set_standing(&mut view, 7101, Standing::Left);
    set_standing(&mut view, 7104, Standing::Suspect);
    assert_eq!(ports(&view), [7100, 7103, 7104], "the suspected node is last");
}

/// Guards against a new entry node that gets no callers until the platform lists it, although it
/// has joined the membership.
#[test]
fn alive_peer_is_included_before_it_is_listed() {
    let mut view = view_with_entries();
    set_standing(&mut view, 7110, Standing::Alive);
    assert!(ports(&view).contains(&7110));
}

/// Guards against a partitioned node that names only itself to its callers: it has declared its
/// peers dead, but callers can still reach all of them.
#[test]
fn partitioned_node_still_includes_the_others() {
    let mut view = view_with_entries();
    for port in 7101..7104 {
        set_standing(&mut view, port, Standing::Dead);
    }
    set_standing(&mut view, 7104, Standing::Left);
    assert_eq!(ports(&view), [7100, 7102, 7101, 7103]);
}

/// Guards against callers that are sent to a stopping node: while stopping, a node includes itself
/// only if it knows no other node.
#[test]
fn stopping_node_includes_itself_only_when_alone() {
    let mut stopping = view_with_entries();
    let now = std::time::Instant::now();
    stopping.stopping = Some(limit::Stopping { requested_at: now, exits_at: now });
    assert!(!ports(&stopping).contains(&7100));
    stopping.entries.clear();
    assert_eq!(ports(&stopping), [7100]);
}

/// Guards against callers that are sent to entry nodes which can serve them only through others.
#[test]
fn nodes_without_a_path_to_any_upstream_are_left_out_while_two_others_remain() {
    let now = std::time::Instant::now();
    let mut view = view_with_entries();
    view.peer_paths.record_claim(addr(7102), true, now);
    assert_eq!(ports(&view), [7100, 7104, 7101, 7103]);
    for n in 0..3 {
        view.paths.record_failure(addr(9000 + n), 3, now);
    }
    assert_eq!(ports(&view), [7104, 7101, 7103], "this node has no path either");
    view.peer_paths.record_claim(addr(7101), true, now);
    view.peer_paths.record_claim(addr(7103), true, now);
    assert_eq!(ports(&view).len(), 5, "one node alone is no alternative");
}
