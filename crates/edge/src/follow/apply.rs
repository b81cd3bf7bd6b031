//! Applies data that was read from the platform, or received from a peer, to the node's state.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{record_progress, Event, Topic};
use crate::as_ms;
use crate::forward::Node;
use crate::relay;

/// Maximum number of new upstreams that are logged with one line each. A starting node learns of
/// hundreds, and their lines would displace those about requests.
const MAX_LISTED_LINES: usize = 20;

/// Applies a frame that `peer` relayed.
///
/// # Errors
///
/// [`std::io::ErrorKind::InvalidData`] if a list cannot be decoded; nothing of it is applied.
pub(crate) fn adopt(node: &Node, peer: SocketAddr, frame: relay::Frame) -> std::io::Result<()> {
    let now = Instant::now();
    match frame {
        relay::Frame::Ages { .. } | relay::Frame::MayBeLate | relay::Frame::Referral { .. } => {}
        // The position is that of the evacuations, which follow: a subscription may end in between.
        relay::Frame::Config { table, held_for, .. } => {
            if let Some(table) = table {
                apply_table(node, table, Origin::Peer(peer, held_for));
            }
        }
        relay::Frame::ConfigWithTeams { mut table, teams, held_for, .. } => {
            table.teams = teams;
            apply_table(node, table, Origin::Peer(peer, held_for));
        }
        relay::Frame::Evacuated { up_to, newest, zones } => {
            record_progress(node, Topic::Config, up_to, newest);
            update_evacuations(node, |evacuations| evacuations.adopt_snapshot(zones));
        }
        relay::Frame::Progress { up_to, newest } => {
            record_progress(node, Topic::Upstreams, up_to, newest);
            apply_changes(node, &[], now);
        }
        relay::Frame::List { up_to, newest, entries } => {
            let entries = relay::decode_entries(&entries)?;
            record_progress(node, Topic::Upstreams, up_to, newest);
            let changes = node.state.borrow_mut().roster.adopt_snapshot(entries, now);
            apply_changes(node, &changes, now);
        }
        relay::Frame::Changes { up_to, newest, events } => {
            record_progress(node, Topic::Upstreams, up_to, newest);
            let changes = node.state.borrow_mut().roster.adopt_changes(events, now);
            apply_changes(node, &changes, now);
        }
    }
    Ok(())
}

/// Applies a batch of events; `is_snapshot` means that they are the complete state of the topic.
pub(super) fn apply(node: &Node, topic: Topic, events: Vec<Event>, is_snapshot: bool) {
    let now = Instant::now();
    let has_events = !events.is_empty();
    let mut rows = Vec::new();
    let mut evacuations = Vec::new();
    for event in events {
        match event {
            Event::Config(table) => apply_table(node, table, Origin::Platform),
            Event::Evacuation { zone, is_evacuated } => evacuations.push((zone, is_evacuated)),
            Event::Upstream(event) => rows.push(event),
        }
    }
    match topic {
        Topic::Upstreams if is_snapshot => {
            let changes = node.state.borrow_mut().roster.apply_snapshot(rows, now);
            apply_changes(node, &changes, now);
        }
        Topic::Upstreams => apply_upstreams(node, rows, now),
        Topic::Config if is_snapshot || has_events => {
            apply_evacuations(node, evacuations, is_snapshot)
        }
        Topic::Config => {}
    }
}

fn apply_evacuations(node: &Node, changes: Vec<(place::Zone, bool)>, is_snapshot: bool) {
    update_evacuations(node, |evacuations| match is_snapshot {
        true => {
            let is_listed = |(zone, listed): (place::Zone, bool)| listed.then_some(zone);
            evacuations.apply_snapshot(changes.into_iter().filter_map(is_listed).collect());
        }
        false => {
            changes.into_iter().for_each(|(zone, evacuated)| evacuations.set(zone, evacuated));
        }
    });
}

/// Changes which availability zones are evacuated. Subscribers get a frame even if nothing changed:
/// without the position up to which this node has read, they consider themselves behind it.
fn update_evacuations(node: &Node, change: impl FnOnce(&mut place::Evacuations)) {
    let changed = node.state.borrow_mut().update_evacuations(change);
    node.subscribers.broadcast(&relay::Frame::evacuated(&node.state.borrow()));
    for (zone, is_evacuated) in changed {
        trace::Line::new(if is_evacuated { "zone_evacuated" } else { "zone_restored" })
            .field("zone", zone.as_str())
            .field("up_to", node.state.borrow().config_progress.up_to)
            .log();
    }
}

/// Applies changes of upstreams as the platform reports them.
pub fn apply_upstreams(node: &Node, events: Vec<place::Event>, now: Instant) {
    let changes = node.state.borrow_mut().roster.apply(events, now);
    apply_changes(node, &changes, now);
}

/// Where a configuration comes from.
enum Origin {
    Platform,
    /// A peer, and how long it has had the configuration.
    Peer(SocketAddr, Duration),
}

fn apply_table(node: &Node, table: route::Table, origin: Origin) {
    let (version, routes) = (table.version, table.route_count());
    let previous = node.state.borrow().config_version();
    let applied = node.state.borrow_mut().apply_table(table);
    if applied {
        node.subscribers.broadcast(&relay::Frame::config(&node.state.borrow()));
    }
    // A subscription starts with the version that this node may already have.
    if version == previous {
        return;
    }
    let line = trace::Line::new(if applied { "config_applied" } else { "config_not_newer" })
        .field("version", version)
        .field("held", previous)
        .field("routes", routes);
    match origin {
        Origin::Platform => line.field("from", "platform").log(),
        Origin::Peer(peer, held_for) => {
            line.field("from", peer).field("held_for_ms", as_ms(held_for)).log();
        }
    }
}

fn apply_changes(node: &Node, changes: &[place::Change], now: Instant) {
    if changes.is_empty() {
        // Without the position up to which this node has read, subscribers consider themselves
        // behind it.
        node.subscribers.broadcast(&relay::Frame::progress(&node.state.borrow()));
        return;
    }
    node.subscribers.invalidate_list();
    node.subscribers.broadcast(&relay::Frame::changes(&node.state.borrow(), changes));
    let mut listed = Vec::new();
    for change in changes {
        match change {
            // If it lost requests a moment ago, it crashed; its address may have accepted
            // connections again before any node tried one.
            place::Change::Drop { upstream, reason, .. } if *reason == place::RESTARTED => {
                node.record_upstream_ended(upstream);
            }
            place::Change::Drop { .. } | place::Change::Put(_) => {}
        }
        let known = node.state.borrow_mut().apply_change(change, now);
        match change {
            // An upstream in its warm-up is reported repeatedly.
            place::Change::Put(_) if known => {}
            place::Change::Put(entry) => listed.push(entry),
            place::Change::Drop { upstream, service, addr, reason } => {
                node.conns.close(upstream);
                trace::Line::new("upstream_dropped")
                    .field("upstream", upstream.id())
                    .field("born_ms", upstream.born_ms)
                    .field("service", service.as_str())
                    .field("addr", addr)
                    .field("reason", reason)
                    .log();
            }
        }
    }
    log_listed(node, &listed);
}

/// Logs upstreams that are new to this node: one by one, or as a count if there are many.
fn log_listed(node: &Node, listed: &[&place::Entry]) {
    if listed.len() > MAX_LISTED_LINES {
        trace::Line::new("upstreams_listed")
            .field("count", listed.len())
            .field("up_to", node.state.borrow().list_progress.up_to)
            .log();
        return;
    }
    for entry in listed {
        trace::Line::new("upstream_listed")
            .field("upstream", entry.id.as_str())
            .field("born_ms", entry.born_ms)
            .field("service", entry.service.as_str())
            .field("addr", entry.addr)
            .log();
    }
}

/// Drops upstreams that were kept through an outage and did not come back, and puts pending
/// evacuations of a rolled-back platform into force if nobody has written them anew.
pub fn expire(node: &Node, now: Instant) {
    let is_due = node.state.borrow().evacuations.is_due(now);
    if is_due {
        update_evacuations(node, |evacuations| evacuations.expire(now));
    }
    let changes = node.state.borrow_mut().roster.expire(now);
    if !changes.is_empty() {
        apply_changes(node, &changes, now);
    }
}
