//! Keeps to what upstreams state about themselves in their answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::HeaderName;
use notice::{Change, Field, Fleet, HeaderNames, Notice, Signals};
use quarantine::Start;

use crate::gossip;
use crate::view::View;

/// Returns the present by both clocks.
pub(crate) fn moment() -> notice::Moment {
    notice::Moment { at: Instant::now(), unix_ms: gossip::unix_ms() }
}

/// Reads what an answer states; says so when that cannot be read.
pub(crate) fn stated(upstream: SocketAddr, response: &web::Response) -> Signals {
    let names = HeaderNames {
        limit: HeaderName::from_static(crate::LIMIT),
        leaving: HeaderName::from_static(crate::LEAVING),
    };
    let stated = Signals::from_response(response.status(), response.headers(), &names);
    let log =
        |what| log::warn!("upstream={upstream} states its {what} in a way that cannot be read");
    stated.invalid_fields().for_each(log);
    stated
}

fn log_change(addr: SocketAddr, change: Change) {
    match change {
        Change::Limited(per_ks) => {
            log::info!("upstream={addr} takes {per_ks} calls in 1,000 s from all entry nodes");
        }
        Change::Unlimited => log::info!("upstream={addr} names no limit any more"),
        Change::Leaving => log::info!("upstream={addr} says that it leaves"),
        Change::Staying => log::info!("upstream={addr} has started again"),
        Change::Resting(asked) => log::info!("upstream={addr} asks for a rest of {asked:?}"),
        Change::Rested => log::info!("upstream={addr} has answered after its rest"),
    }
}

impl View {
    /// Returns the key of the VM that is at an address now.
    pub(crate) fn start_at(&self, addr: SocketAddr) -> Start {
        Start::of_vm(addr, self.vms.get(&addr).map_or("", |vm| vm.id.as_str()))
    }

    /// Takes what an answer of the upstream at `addr` states; see
    /// [`notice::Backpressure::apply_signals`]. Returns true when that is a change.
    pub(crate) fn hear_notice(
        &mut self,
        addr: SocketAddr,
        stated: &Signals,
        asked_at: Option<Instant>,
    ) -> bool {
        let start = self.start_at(addr);
        let changes = self.notices.apply_signals(start, stated, asked_at, moment());
        changes.iter().for_each(|change| log_change(addr, *change));
        !changes.is_empty()
    }

    /// Takes what a peer tells of an upstream.
    pub(crate) fn hear_peer_notice(&mut self, notice: &Notice) {
        let Some(change) = self.notices.apply_notice(notice, moment()) else { return };
        let addr = self.vms.keys().find(|addr| self.start_at(**addr) == notice.start);
        match addr {
            Some(addr) => log_change(*addr, change),
            None => log::info!("an upstream that is not listed, by a peer: {change:?}"),
        }
    }

    /// Takes an answer to a watcher's probe sent at `asked_at`. A VM's process may have started again,
    /// which nothing else tells. Returns true when something changes.
    pub(crate) fn hear_probe(
        &mut self,
        addr: SocketAddr,
        stated: &Signals,
        asked_at: Instant,
    ) -> bool {
        let is_change = self.hear_notice(addr, stated, None);
        let stays = match stated.leaving {
            Field::Absent | Field::Value(false) => {
                self.notices.clear_leaving(self.start_at(addr), asked_at, moment())
            }
            Field::Value(true) | Field::Invalid => None,
        };
        stays.into_iter().for_each(|change| log_change(addr, change));
        is_change || stays.is_some()
    }

    /// Deals out limits anew if that is due.
    pub(crate) fn deal_limits(&mut self, now: Instant) {
        if !self.notices.shares_outdated() {
            return;
        }
        let upstreams = self.pools.values().flat_map(|pool| &pool.upstreams);
        let zones: HashMap<Start, &str> =
            upstreams.map(|u| (self.start_at(u.addr), u.zone.as_str())).collect();
        let is_reachable =
            |peer: &crate::view::Peer| peer.standing.is_some_and(|s| s <= wire::Standing::Suspect);
        let peers = self.peers.iter().filter(|(_, peer)| is_reachable(peer));
        let fleet = Fleet {
            me: (self.settings.listen_addr, &self.settings.zone),
            others: peers.map(|(addr, peer)| (*addr, peer.zone.as_str())).collect(),
            zones,
        };
        self.notices.update_shares(&fleet, now);
    }

    /// Returns in which time an upstream of a service may get a call again, where none may now; `None`
    /// when one may, or nothing is known.
    pub(crate) fn opens_in(&mut self, service: &str, now: Instant) -> Option<Duration> {
        let barred = self.barred(service, now);
        let pool = self.pools.get(service)?;
        let is_open = |upstream: &balance::Upstream| {
            upstream.tier(now).is_some() && !barred.contains(&upstream.addr)
        };
        if pool.upstreams.iter().any(is_open) {
            return None;
        }
        self.notices.retry_after(barred.into_iter().map(|addr| self.start_at(addr)), now)
    }

    /// Returns the upstreams of a service that may not get a call now, by their own word.
    pub(crate) fn barred(&mut self, service: &str, now: Instant) -> Vec<SocketAddr> {
        if self.notices.is_empty() {
            return Vec::new();
        }
        self.deal_limits(now);
        let pool = self.pools.get(service);
        let addrs = pool.into_iter().flat_map(|pool| &pool.upstreams).map(|u| u.addr);
        addrs.filter(|addr| !self.notices.may_send(self.start_at(*addr), now)).collect()
    }
}

#[cfg(test)]
mod tests;
