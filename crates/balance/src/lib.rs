//! Choice of upstream for one call.
//!
//! [`Pool`] holds what one entry node knows of one service's upstreams and
//! picks one by the power of two choices: of two sampled upstreams, the one
//! with the lower expected [`cost`](Upstream::cost). What it goes by, best
//! first: calls it has outstanding (exact), how slow answers were compared
//! with the same kind of call elsewhere (its own observation), and the load
//! the upstream reported with its last answers (stale at once, so its weight
//! fades within a fraction of a second).
//!
//! Whether an upstream may be picked at all is its [`Tier`]: refusals,
//! watchers' reports and repeated failures move it down, and a lower tier is
//! used only when a better one is empty. Only upstreams that are leaving are
//! never picked.

mod pick;
mod upstream;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

pub use pick::{Ask, Policy};
pub use upstream::{Load, Report, Standing, Tier, Upstream};

/// Weight of the newest answer in the mean latency of its kind of call.
const KIND_WEIGHT: f64 = 0.05;

/// Kinds of call told apart; kinds that share a number share a mean.
pub const KINDS: usize = 32;

/// Index of an upstream within its pool.
pub type UpstreamIndex = usize;

/// Number of a kind of call, such as one path of one service; taken modulo [`KINDS`].
pub type Kind = usize;

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finished {
    /// A whole answer came.
    Answered {
        /// How long it took.
        latency: Duration,
        /// What kind of call it was.
        kind: Kind,
        /// The load the upstream reported with it.
        load: Option<Load>,
    },
    /// The upstream refused it before running it: it is full or leaving, not broken.
    Refused,
    /// No whole answer came, or one that says the upstream is broken.
    Failed,
    /// The call was given up for reasons of its own; this says nothing of the upstream.
    GivenUp,
}

/// The upstreams of one service, as one entry node sees them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Upstreams in a stable order; indexes stay valid until [`Pool::set_members`].
    pub upstreams: Vec<Upstream>,
    /// Mean latency per kind of call over all upstreams, in microseconds; zero before the first.
    kind_mean_us: [f64; KINDS],
    /// Next upstream in turn, for [`Policy::RoundRobin`].
    turn: usize,
}

impl Pool {
    /// Replaces the membership with `members`, keeping history of those that stay.
    pub fn set_members(&mut self, members: &[(SocketAddr, SmolStr, Standing)]) {
        let mut next = Vec::with_capacity(members.len());
        for (addr, zone, standing) in members {
            let mut upstream = match self.upstreams.iter().position(|u| u.addr == *addr) {
                Some(index) => self.upstreams.swap_remove(index),
                None => Upstream::new(*addr, zone.clone()),
            };
            // An address can come back on a new VM in another zone after a
            // replacement; keeping the old zone would send zone-local calls
            // across zones and no test of latency would say why.
            upstream.zone = zone.clone();
            upstream.standing = *standing;
            next.push(upstream);
        }
        self.upstreams = next;
    }

    /// Marks the upstream at `addr` as leaving; returns false when it is not in the pool.
    pub fn mark_leaving(&mut self, addr: SocketAddr) -> bool {
        match self.upstreams.iter_mut().find(|u| u.addr == addr) {
            Some(upstream) => {
                upstream.standing = Standing::Leaving;
                true
            }
            None => false,
        }
    }

    /// Records what watchers say of the upstream at `addr`.
    pub fn set_report(&mut self, addr: SocketAddr, report: Report) {
        if let Some(upstream) = self.upstreams.iter_mut().find(|u| u.addr == addr) {
            upstream.report = report;
        }
    }

    /// Returns the index of the upstream at `addr`, if it is in the pool.
    ///
    /// Indexes change when membership changes, so a caller that awaited
    /// between [`Pool::pick`] and [`Pool::finish`] looks its upstream up again.
    pub fn position(&self, addr: SocketAddr) -> Option<UpstreamIndex> {
        self.upstreams.iter().position(|u| u.addr == addr)
    }

    /// Returns the mean latency of calls of `kind` over all upstreams, once one was answered.
    pub fn kind_mean(&self, kind: Kind) -> Option<Duration> {
        let mean_us = self.kind_mean_us[kind % KINDS];
        (mean_us > 0.0).then(|| Duration::from_secs_f64(mean_us / 1e6))
    }

    /// Records that a call was sent to `index`.
    pub fn start(&mut self, index: UpstreamIndex) {
        self.upstreams[index].outstanding += 1;
    }

    /// Records the end of a call to `index`.
    pub fn finish(&mut self, index: UpstreamIndex, finished: Finished, now: Instant) {
        let may_eject = self.may_eject(index, now);
        let upstream = &mut self.upstreams[index];
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match finished {
            Finished::Answered { latency, kind, load } => {
                let mean_us = &mut self.kind_mean_us[kind % KINDS];
                let sample_us = (latency.as_secs_f64() * 1e6).max(1.0);
                *mean_us = match *mean_us > 0.0 {
                    true => *mean_us + KIND_WEIGHT * (sample_us - *mean_us),
                    false => sample_us,
                };
                upstream.answered(sample_us, sample_us / *mean_us, load, now);
            }
            Finished::Refused => upstream.refused(now),
            Finished::Failed => upstream.failed(may_eject, now),
            Finished::GivenUp => {}
        }
    }

    /// Returns true when ejecting `index` leaves at least half of the live upstreams in.
    ///
    /// Without this bound an overload, in which every upstream times out,
    /// would eject them all and turn a slow service into one that is down.
    fn may_eject(&self, index: UpstreamIndex, now: Instant) -> bool {
        let live = self.upstreams.iter().filter(|u| u.standing == Standing::Live).count();
        let out = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(i, u)| *i != index && u.tier(now) == Some(Tier::Ejected))
            .count();
        2 * (out + 1) <= live
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod model_tests;
