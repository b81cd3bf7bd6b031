//! What entry nodes can still take, and which services are silent, as nodes tell each other.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use place::entry_nodes;
use rand::seq::IteratorRandom;
use wire::{Extension, NodeRoom, SilentService, MAX_ROOMS, MAX_SILENT_SERVICES};

use crate::state::State;
use crate::unix_ms;

/// Time after which a value gives way to one that looks older: the clock of its node, from which
/// the sequence numbers start, may have been set back before a restart.
const VALUE_TTL: Duration = Duration::from_secs(30);

/// Shortest time over which a node counts its requests.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);

/// Weight of the newest count in the rate of requests.
const RATE_WEIGHT: f64 = 0.3;

/// What entry nodes can still take, as far as this node knows.
#[derive(Debug, Default)]
pub struct Rooms {
    /// Values by peer address, with when they were received.
    values: HashMap<SocketAddr, (NodeRoom, Instant)>,
    /// Requests counted so far, and when.
    counted: Option<(u64, Instant)>,
    requests_per_s: f64,
}

impl Rooms {
    /// Returns the requests per second that nodes can still take, by their IP address.
    pub fn by_ip(&self) -> HashMap<IpAddr, f64> {
        let values = self.values.values();
        values.map(|(value, _)| (value.addr.ip(), f64::from(value.requests_per_s))).collect()
    }

    fn record(&mut self, value: NodeRoom, now: Instant) {
        let is_newer = self.values.get(&value.addr).is_none_or(|(known, at)| {
            value.seq > known.seq || now.saturating_duration_since(*at) > VALUE_TTL
        });
        if is_newer {
            self.values.insert(value.addr, (value, now));
        }
    }

    /// Updates the rate of the node's own requests, of which there were `requests` so far.
    fn count(&mut self, requests: u64, now: Instant) {
        let (before, at) = *self.counted.get_or_insert((requests, now));
        let elapsed = now.saturating_duration_since(at);
        if elapsed >= MIN_RATE_TIME {
            let newest = requests.saturating_sub(before) as f64 / elapsed.as_secs_f64();
            self.requests_per_s += RATE_WEIGHT * (newest - self.requests_per_s);
            self.counted = Some((requests, now));
        }
    }
}

/// Returns what to tell a peer; `None` if there is nothing.
pub fn extension(state: &mut State) -> Option<Extension> {
    let now = Instant::now();
    let sender = state.settings.peer_addr;
    let silent_service = |(service, pool): (&route::ServiceName, &place::Pool)| {
        let left = pool.silence().silent_left(now)?;
        Some(SilentService { service: service.clone(), left_s: left.as_secs() as u16 })
    };
    let silent_services = state.pools.iter().filter_map(silent_service);
    let silent_services: Vec<SilentService> =
        silent_services.choose_multiple(&mut state.rng, MAX_SILENT_SERVICES);
    let mut rooms = Vec::new();
    if let Some(capacity) = state.settings.capacity {
        state.rooms.count(state.counters.requests, now);
        let room = entry_nodes::room_per_s(
            capacity.cores,
            capacity.link_bytes_per_s,
            state.rooms.requests_per_s,
        );
        let own = state.rooms.values.get(&sender);
        let seq = own.map_or(0, |(own, _)| own.seq + 1).max(unix_ms());
        let own = NodeRoom { addr: sender, seq, requests_per_s: room as u32 };
        state.rooms.values.insert(sender, (own, now));
        rooms.push(own);
        let (values, peers) = (&mut state.rooms.values, &state.peers);
        values.retain(|addr, _| *addr == sender || peers.contains_key(addr));
        let others = values.values().map(|(value, _)| *value).filter(|value| value.addr != sender);
        rooms.extend(others.choose_multiple(&mut state.rng, MAX_ROOMS - 1));
    }
    let has_any = !rooms.is_empty() || !silent_services.is_empty();
    has_any.then_some(Extension { sender, rooms, silent_services })
}

/// Applies what a peer told.
pub fn apply(state: &mut State, extension: &Extension) {
    let now = Instant::now();
    for value in extension.rooms.iter().filter(|value| value.addr != state.settings.peer_addr) {
        state.rooms.record(*value, now);
    }
    for silent in &extension.silent_services {
        let Some(pool) = state.pools.get_mut(&silent.service) else { continue };
        let left = Duration::from_secs(silent.left_s.into());
        if pool.silence_mut().record_claim(left, now) {
            trace::Line::new("service_silent")
                .field("service", silent.service.as_str())
                .field("peer", extension.sender)
                .log();
        }
    }
}

#[cfg(test)]
mod tests;
