use std::net::SocketAddr;

use store::proto;
use wire::Standing;

use crate::discovery::entries;
use crate::test_support::view;
use crate::view::{Peer, View};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A view whose VM list has entry nodes at ports 7101 to 7104, beside itself at 7100.
fn listed() -> View {
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

fn hear(view: &mut View, port: u16, standing: Standing) {
    let peer = Peer { zone: "z-0".into(), standing: Some(standing), config_head: 0 };
    view.peers.insert(addr(port), peer);
}

fn ports(view: &View) -> Vec<u16> {
    entries(view, Some("z-0")).entries.iter().map(|e| e.addr.port()).collect()
}

#[test]
fn own_zone_comes_first() {
    assert_eq!(ports(&listed()), [7100, 7102, 7104, 7101, 7103]);
}

/// Symptom: callers are sent to entry nodes that are gone.
/// Sequence: one node is killed and one leaves; the platform's list still has both.
/// Cause: answering from the lagging list alone.
#[test]
fn dead_and_left_nodes_are_not_named() {
    let mut view = listed();
    hear(&mut view, 7102, Standing::Dead);
    hear(&mut view, 7101, Standing::Left);
    hear(&mut view, 7104, Standing::Suspect);
    assert_eq!(ports(&view), [7100, 7103, 7104], "the suspect is last");
}

/// Symptom: a new entry node gets no callers until the platform lists it.
/// Sequence: a node joins the membership before the list shows it.
/// Cause: answering from the lagging list alone.
#[test]
fn a_node_known_to_peers_is_named_before_it_is_listed() {
    let mut view = listed();
    hear(&mut view, 7110, Standing::Alive);
    assert!(ports(&view).contains(&7110));
}

/// Symptom: one cut-off node draws every caller that asks it to itself.
/// Sequence: a node loses its peers and declares them dead; callers still
/// reach it, and could reach the others.
/// Cause: trusting a view that says most others are dead.
#[test]
fn a_cut_off_node_still_names_the_others() {
    let mut view = listed();
    for port in 7101..7104 {
        hear(&mut view, port, Standing::Dead);
    }
    hear(&mut view, 7104, Standing::Left);
    assert_eq!(ports(&view), [7100, 7102, 7101, 7103]);
}

/// Symptom: callers are sent to a node that is stopping.
/// Sequence: the node itself is asked while it stops.
/// Cause: always naming itself. It does so only when it knows nobody else.
#[test]
fn a_stopping_node_names_itself_only_when_alone() {
    let mut stopping = listed();
    stopping.stopping = true;
    assert!(!ports(&stopping).contains(&7100));
    stopping.entries.clear();
    assert_eq!(ports(&stopping), [7100]);
}
