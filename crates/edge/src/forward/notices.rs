//! Applies the backpressure signals that upstreams state in their responses.

use std::collections::HashMap;
use std::time::Instant;

use http::{HeaderMap, StatusCode};
use notice::{Change, Fleet, Notice, Signals};
use place::Incarnation;
use quarantine::Start;

use super::Node;
use crate::state::State;
use crate::{as_ms, moment, readers, start_of};

impl Node {
    /// Applies the signals of a response of `upstream`; see
    /// [`notice::Backpressure::apply_signals`].
    pub(crate) fn apply_signals(
        &self,
        upstream: &Incarnation,
        status: StatusCode,
        headers: &HeaderMap,
        requested_at: Option<Instant>,
    ) {
        // The address belongs to another upstream, which states its own signals.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let changes = {
            let state = &mut *self.state.borrow_mut();
            let signals = Signals::from_response(status, headers, &state.settings.headers.notices);
            signals.invalid_fields().for_each(|what| log_invalid_signal(upstream, what));
            state.backpressure.apply_signals(start_of(upstream), &signals, requested_at, moment())
        };
        changes.iter().for_each(|change| log_change(upstream.id(), *change, "this node"));
        if changes.contains(&Change::Leaving) {
            self.conns.close(upstream);
        }
        if !changes.is_empty() {
            self.wake_gossip();
        }
    }

    /// Applies what a peer reports of an upstream.
    pub(crate) fn apply_peer_notice(&self, notice: &Notice) {
        let state = &mut *self.state.borrow_mut();
        let Some(change) = state.backpressure.apply_notice(notice, moment()) else { return };
        let upstreams = state.pools.values().flat_map(|pool| pool.upstreams());
        let mut incarnations = upstreams.map(|upstream| &upstream.incarnation);
        let upstream = incarnations.find(|upstream| start_of(upstream) == notice.start);
        log_change(upstream.map_or("?", Incarnation::id), change, "a peer");
        if let (Change::Leaving, Some(upstream)) = (change, upstream) {
            self.conns.close(upstream);
        }
    }
}

impl State {
    /// Recomputes this node's shares of the limits of upstreams if that is due. A node that has
    /// just started knows few of its peers, and sends nothing to limited upstreams until it does.
    pub(crate) fn update_limit_shares(&mut self, now: Instant) {
        if !self.backpressure.shares_outdated() || !readers::knows_peers(self, now) {
            return;
        }
        let upstreams = self.pools.values().flat_map(|pool| pool.upstreams());
        let zones: HashMap<Start, &str> =
            upstreams.map(|u| (start_of(&u.incarnation), u.zone.as_str())).collect();
        let peers = self.peers.iter().filter(|(_, peer)| peer.standing <= wire::Standing::Suspect);
        let fleet = Fleet {
            me: (self.settings.peer_addr, &self.settings.zone),
            others: peers.map(|(addr, peer)| (*addr, peer.zone.as_str())).collect(),
            zones,
        };
        self.backpressure.update_shares(&fleet, now);
    }
}

fn log_change(upstream: &str, change: Change, told_by: &'static str) {
    let line = match change {
        Change::Limited(per_ks) => trace::Line::new("upstream_limited").field("per_ks", per_ks),
        Change::Unlimited => trace::Line::new("upstream_unlimited"),
        Change::Leaving => trace::Line::new("upstream_leaving"),
        Change::Staying => trace::Line::new("upstream_staying"),
        Change::Resting(asked) => {
            trace::Line::new("upstream_rests").field("asked_ms", as_ms(asked))
        }
        Change::Rested => trace::Line::new("upstream_rested"),
    };
    line.field("upstream", upstream).field("told_by", told_by).log();
}

fn log_invalid_signal(upstream: &Incarnation, what: &'static str) {
    trace::Line::new("notice_unreadable")
        .field("upstream", upstream.id())
        .field("what", what)
        .log();
}
