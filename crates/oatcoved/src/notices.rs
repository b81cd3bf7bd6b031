//! Applies the backpressure that upstreams signal in their responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::HeaderName;
use notice::{Change, Field, Fleet, HeaderNames, Notice, Signals};
use quarantine::Start;

use crate::gossip;
use crate::view::View;

/// Returns the current time by the monotonic clock and the wall clock.
pub(crate) fn current_moment() -> notice::Moment {
    notice::Moment { at: Instant::now(), unix_ms: gossip::unix_ms() }
}

/// Returns the backpressure signals of a response. Logs a warning for each invalid header.
pub(crate) fn read_signals(upstream: SocketAddr, response: &web::Response) -> Signals {
    let names = HeaderNames {
        limit: HeaderName::from_static(crate::LIMIT),
        leaving: HeaderName::from_static(crate::LEAVING),
    };
    let signals = Signals::from_response(response.status(), response.headers(), &names);
    let log = |what| log::warn!("upstream={upstream} sent an invalid value for its {what}");
    signals.invalid_fields().for_each(log);
    signals
}

fn log_change(addr: SocketAddr, change: Change) {
    match change {
        Change::Limited(per_ks) => {
            log::info!("upstream={addr} limits all entry nodes to {per_ks} calls per 1,000 s");
        }
        Change::Unlimited => log::info!("upstream={addr} states no limit any more"),
        Change::Leaving => log::info!("upstream={addr} states that it is leaving"),
        Change::Staying => log::info!("upstream={addr} is not leaving any more"),
        Change::Resting(asked) => log::info!("upstream={addr} asks for a backoff of {asked:?}"),
        Change::Rested => log::info!("upstream={addr} has responded after its backoff"),
    }
}

impl View {
    /// Returns the incarnation of the VM that is listed at an address.
    pub(crate) fn start_at(&self, addr: SocketAddr) -> Start {
        Start::of_vm(addr, self.vms.get(&addr).map_or("", |vm| vm.id.as_str()))
    }

    /// Applies the signals of a response of the upstream at `addr`; see
    /// [`notice::Backpressure::apply_signals`] for `request_sent_at`. Returns true if they change
    /// anything.
    pub(crate) fn apply_signals(
        &mut self,
        addr: SocketAddr,
        signals: &Signals,
        request_sent_at: Option<Instant>,
    ) -> bool {
        let start = self.start_at(addr);
        let changes =
            self.backpressure.apply_signals(start, signals, request_sent_at, current_moment());
        changes.iter().for_each(|change| log_change(addr, *change));
        !changes.is_empty()
    }

    /// Applies a notice that a peer has sent.
    pub(crate) fn apply_notice(&mut self, notice: &Notice) {
        let Some(change) = self.backpressure.apply_notice(notice, current_moment()) else { return };
        let addr = self.vms.keys().find(|addr| self.start_at(**addr) == notice.start);
        match addr {
            Some(addr) => log_change(*addr, change),
            None => log::info!("notice from a peer for an upstream that is not listed: {change:?}"),
        }
    }

    /// Applies the signals of a response to a probe of this node that was sent at
    /// `request_sent_at`. A response that does not state that the upstream is leaving ends its
    /// leaving state: the process of a VM may have been restarted, and nothing else would show
    /// that. Returns true if anything changes.
    pub(crate) fn apply_probe_signals(
        &mut self,
        addr: SocketAddr,
        signals: &Signals,
        request_sent_at: Instant,
    ) -> bool {
        let is_changed = self.apply_signals(addr, signals, None);
        let no_longer_leaving = match signals.leaving {
            Field::Absent | Field::Value(false) => self.backpressure.clear_leaving(
                self.start_at(addr),
                request_sent_at,
                current_moment(),
            ),
            Field::Value(true) | Field::Invalid => None,
        };
        no_longer_leaving.into_iter().for_each(|change| log_change(addr, change));
        is_changed || no_longer_leaving.is_some()
    }

    /// Recomputes this node's shares of the limits if they are outdated.
    pub(crate) fn update_limit_shares(&mut self, now: Instant) {
        if !self.backpressure.shares_outdated() {
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
        self.backpressure.update_shares(&fleet, now);
    }

    /// Returns the time until an upstream of a service may get a call again; `None` if an upstream
    /// may get one now, or if that time is not known.
    pub(crate) fn retry_after(&mut self, service: &str, now: Instant) -> Option<Duration> {
        let unavailable = self.unavailable_upstreams(service, now);
        let pool = self.pools.get(service)?;
        let is_available = |upstream: &balance::Upstream| {
            upstream.tier(now).is_some() && !unavailable.contains(&upstream.addr)
        };
        if pool.upstreams.iter().any(is_available) {
            return None;
        }
        self.backpressure.retry_after(unavailable.into_iter().map(|addr| self.start_at(addr)), now)
    }

    /// Returns the upstreams of a service that may not get a call now because of the backpressure
    /// that they have stated.
    pub(crate) fn unavailable_upstreams(&mut self, service: &str, now: Instant) -> Vec<SocketAddr> {
        if self.backpressure.is_empty() {
            return Vec::new();
        }
        self.update_limit_shares(now);
        let pool = self.pools.get(service);
        let addrs = pool.into_iter().flat_map(|pool| &pool.upstreams).map(|u| u.addr);
        addrs.filter(|addr| !self.backpressure.may_send(self.start_at(*addr), now)).collect()
    }
}

#[cfg(test)]
mod tests;
