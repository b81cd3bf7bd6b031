//! What was read of the platform, or passed on by a peer, taken into the node's beliefs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{seen, Event, Topic};
use crate::as_ms;
use crate::forward::Node;
use crate::relay;

/// Upstreams new at once that get a line of the log each. A node that starts hears of hundreds, and
/// their lines would take the place of those about requests.
const LISTED_ONE_BY_ONE: usize = 20;

/// Takes what `peer` passed on of the platform.
///
/// # Errors
///
/// [`std::io::ErrorKind::InvalidData`] when a list cannot be read; nothing of it is taken.
pub(crate) fn adopt(node: &Node, peer: SocketAddr, frame: relay::Frame) -> std::io::Result<()> {
    let now = Instant::now();
    match frame {
        relay::Frame::Sure { .. } | relay::Frame::MayBeLate | relay::Frame::Ask { .. } => {}
        relay::Frame::Config { up_to, newest, table, held_for } => {
            seen(node, Topic::Config, up_to, newest);
            if let Some(table) = table {
                apply_table(node, table, Origin::Peer(peer, held_for));
            }
        }
        relay::Frame::Evacuated { up_to, newest, zones } => {
            seen(node, Topic::Config, up_to, newest);
            update_evacuations(node, |evacuations| evacuations.adopt_snapshot(zones));
        }
        relay::Frame::Read { up_to, newest } => {
            seen(node, Topic::Upstreams, up_to, newest);
            apply_changes(node, &[], now);
        }
        relay::Frame::List { up_to, newest, entries } => {
            let entries = relay::entries(&entries)?;
            seen(node, Topic::Upstreams, up_to, newest);
            let changes = node.state.borrow_mut().roster.adopt_snapshot(entries, now);
            apply_changes(node, &changes, now);
        }
        relay::Frame::Changes { up_to, newest, events } => {
            seen(node, Topic::Upstreams, up_to, newest);
            let changes = node.state.borrow_mut().roster.adopt_changes(events, now);
            apply_changes(node, &changes, now);
        }
    }
    Ok(())
}

/// Takes what was read of a topic; `whole` says that it was all there is.
pub(super) fn apply(node: &Node, topic: Topic, events: Vec<Event>, whole: bool) {
    let now = Instant::now();
    let is_news = !events.is_empty();
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
        Topic::Upstreams if whole => {
            let changes = node.state.borrow_mut().roster.apply_snapshot(rows, now);
            apply_changes(node, &changes, now);
        }
        Topic::Upstreams => apply_upstreams(node, rows, now),
        Topic::Config if whole || is_news => apply_evacuations(node, evacuations, whole),
        Topic::Config => {}
    }
}

fn apply_evacuations(node: &Node, changes: Vec<(place::Zone, bool)>, whole: bool) {
    update_evacuations(node, |evacuations| match whole {
        true => {
            let is_listed = |(zone, listed): (place::Zone, bool)| listed.then_some(zone);
            evacuations.apply_snapshot(changes.into_iter().filter_map(is_listed).collect());
        }
        false => {
            changes.into_iter().for_each(|(zone, evacuated)| evacuations.set(zone, evacuated));
        }
    });
}

/// Takes which availability zones are evacuated. Subscribers are told also where nothing changed: those
/// that do not hear how far this node has read take themselves to be behind it.
fn update_evacuations(node: &Node, change: impl FnOnce(&mut place::Evacuations)) {
    let news = node.state.borrow_mut().update_evacuations(change);
    node.subscribers.tell(&relay::Frame::evacuated(&node.state.borrow()));
    for (zone, is_evacuated) in news {
        trace::Line::new(if is_evacuated { "zone_evacuated" } else { "zone_restored" })
            .field("zone", zone.as_str())
            .field("up_to", node.state.borrow().config_progress.up_to)
            .log();
    }
}

/// Takes what the platform tells of upstreams.
pub fn apply_upstreams(node: &Node, events: Vec<place::Event>, now: Instant) {
    let changes = node.state.borrow_mut().roster.apply(events, now);
    apply_changes(node, &changes, now);
}

/// Where a configuration comes from.
enum Origin {
    Platform,
    /// The peer, which has held it for a while.
    Peer(SocketAddr, Duration),
}

fn apply_table(node: &Node, table: route::Table, origin: Origin) {
    let (version, routes) = (table.version, table.route_count());
    let held = node.state.borrow().config_version();
    let applied = node.state.borrow_mut().apply_table(table);
    if applied {
        node.subscribers.tell(&relay::Frame::config(&node.state.borrow()));
    }
    // A peer's feed begins with the version held already.
    if version == held {
        return;
    }
    let line = trace::Line::new(if applied { "config_applied" } else { "config_not_newer" })
        .field("version", version)
        .field("held", held)
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
        // Subscribers that do not hear how far this node has read take themselves to be behind it.
        node.subscribers.tell(&relay::Frame::read(&node.state.borrow()));
        return;
    }
    node.subscribers.list_changed();
    node.subscribers.tell(&relay::Frame::changes(&node.state.borrow(), changes));
    let mut listed = Vec::new();
    for change in changes {
        match change {
            // It crashed if it lost requests a moment ago; its address may have taken connections
            // again before anybody tried.
            place::Change::Drop { upstream, reason, .. } if *reason == place::RESTARTED => {
                node.has_ended(upstream);
            }
            place::Change::Drop { .. } | place::Change::Put(_) => {}
        }
        let known = node.state.borrow_mut().apply_change(change, now);
        match change {
            // An upstream that warms up is told of again and again.
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

/// Logs upstreams that are new to this node: one by one, or as a number when it has read them all.
fn log_listed(node: &Node, listed: &[&place::Entry]) {
    if listed.len() > LISTED_ONE_BY_ONE {
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

/// Lets go of upstreams that were kept through an outage and did not come back, and has an older copy
/// of the evacuations count once nobody has written it anew.
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
