//! Which services are silent when full, as nodes tell each other.

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use wire::{Hints, SilentService, MAX_SILENT_SERVICES};

use crate::state::State;

/// Returns what to tell a peer; `None` if no service is silent.
pub fn hints(state: &mut State) -> Option<Hints> {
    let now = Instant::now();
    let silent_service = |(service, pool): (&route::ServiceName, &place::Pool)| {
        let left = pool.silence().silent_left(now)?;
        Some(SilentService { service: service.clone(), left_s: left.as_secs() as u16 })
    };
    let silent_services = state.pools.iter().filter_map(silent_service);
    let silent_services: Vec<SilentService> =
        silent_services.choose_multiple(&mut state.rng, MAX_SILENT_SERVICES);
    let sender = state.settings.peer_addr;
    (!silent_services.is_empty()).then_some(Hints { sender, silent_services })
}

/// Applies what a peer told.
pub fn apply(state: &mut State, hints: &Hints) {
    let now = Instant::now();
    for silent in &hints.silent_services {
        let Some(pool) = state.pools.get_mut(&silent.service) else { continue };
        let left = Duration::from_secs(silent.left_s.into());
        if pool.silence_mut().record_claim(left, now) {
            trace::Line::new("service_silent")
                .field("service", silent.service.as_str())
                .field("peer", hints.sender)
                .log();
        }
    }
}

#[cfg(test)]
mod tests;
