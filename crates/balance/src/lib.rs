//! Choice of upstream for one call.
//!
//! [`Pool`] holds what one entry node knows of one service's upstreams and
//! picks the one with the lowest expected [`cost`](Upstream::cost) of a
//! sample: calls it has outstanding there (exact) times how slow the
//! upstream's answers were compared with the same kind of call elsewhere (its
//! own observation). Load that upstreams report is not used: it is stale when
//! it arrives, and going by it made tails longer (docs/design/choice-of-upstream.md).
//!
//! Whether an upstream may be picked at all is its [`Tier`]: refusals,
//! watchers' reports and repeated failures move it down, and a lower tier is
//! used only when a better one is empty. Only upstreams that are leaving are
//! never picked.

mod pick;
mod upstream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

pub use pick::{Ask, Policy};
pub use upstream::{Report, Standing, Tier, Upstream};

/// Weight of the newest answer in the mean latency of its kind of call.
const KIND_WEIGHT: f64 = 0.05;

/// Kinds of call told apart per service; those that come later share one mean.
///
/// A first version kept 32 means and took kinds modulo that: two kinds that
/// shared a number made every upstream with heavy calls look slow, and all
/// heavy calls were hedged (docs/bench/policy.md).
const KINDS_MOST: usize = 256;

/// The kind that kinds beyond [`KINDS_MOST`] are counted as.
const OTHER_KINDS: Kind = 0;

/// Index of an upstream within its pool.
pub type UpstreamIndex = usize;

/// Number of a kind of call, such as a hash of its method and path; equal numbers are one kind.
pub type Kind = u64;

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// A whole answer came.
    Answered,
    /// The upstream refused it before running it: it is full or leaving, not broken.
    Refused,
    /// No whole answer came, or one that says the upstream is broken.
    Failed,
    /// The call was given up before the upstream answered: another upstream
    /// was quicker, or the caller went away.
    GivenUp,
}

/// The end of a call to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// How it ended.
    pub how: How,
    /// How long it took until then.
    pub took: Duration,
    /// What kind of call it was.
    pub kind: Kind,
}

/// A latency that follows lower samples quickly and forgets them slowly.
#[derive(Clone, Copy, Debug)]
struct Floor {
    us: f64,
    at: Instant,
}

impl Floor {
    /// The floor doubles in this time when no sample confirms it.
    const DOUBLES_IN: Duration = Duration::from_secs(60);

    /// Weight of a sample below the floor.
    const WEIGHT: f64 = 0.1;

    fn at(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.at).as_secs_f64();
        self.us * 2f64.powf(age / Self::DOUBLES_IN.as_secs_f64())
    }

    fn sample(&mut self, took_us: f64, now: Instant) {
        let floor = self.at(now);
        self.us = floor + Self::WEIGHT * (took_us.min(floor) - floor);
        self.at = now;
    }
}

/// The upstreams of one service, as one entry node sees them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Upstreams in a stable order; indexes stay valid until [`Pool::set_members`].
    pub upstreams: Vec<Upstream>,
    /// Mean latency per kind of call over all upstreams, in microseconds.
    kind_mean_us: HashMap<Kind, f64>,
    /// Latency per kind of call when nothing waits: falls fast, rises slowly.
    kind_floor_us: HashMap<Kind, Floor>,
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
        let mean_us = self.kind_mean_us.get(&self.known_kind(kind))?;
        Some(Duration::from_secs_f64(mean_us / 1e6))
    }

    /// Returns how long calls of `kind` take when nothing waits, once one was answered.
    pub fn kind_floor(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let floor = self.kind_floor_us.get(&self.known_kind(kind))?;
        Some(Duration::from_secs_f64(floor.at(now) / 1e6))
    }

    /// Returns `kind`, or the shared one when there are too many to tell apart.
    fn known_kind(&self, kind: Kind) -> Kind {
        let full = self.kind_mean_us.len() >= KINDS_MOST;
        match full && !self.kind_mean_us.contains_key(&kind) {
            true => OTHER_KINDS,
            false => kind,
        }
    }

    /// Records that a call was sent to `index`.
    pub fn start(&mut self, index: UpstreamIndex) {
        self.upstreams[index].outstanding += 1;
    }

    /// Records the end of a call to `index`.
    pub fn finish(&mut self, index: UpstreamIndex, finished: Finished, now: Instant) {
        let may_eject = finished.how == How::Failed && self.may_eject(index, now);
        let kind = self.known_kind(finished.kind);
        let upstream = &mut self.upstreams[index];
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        let took_us = (finished.took.as_secs_f64() * 1e6).max(1.0);
        match finished.how {
            How::Answered => {
                let mean_us = self.kind_mean_us.entry(kind).or_insert(took_us);
                *mean_us += KIND_WEIGHT * (took_us - *mean_us);
                let floor = self.kind_floor_us.entry(kind);
                floor.or_insert(Floor { us: took_us, at: now }).sample(took_us, now);
                upstream.answered(took_us, took_us / *mean_us, now);
            }
            How::Refused => upstream.refused(now),
            How::Failed | How::GivenUp => {
                if let Some(mean_us) = self.kind_mean_us.get(&kind) {
                    upstream.took_at_least(took_us / mean_us, now);
                }
                if finished.how == How::Failed {
                    upstream.failed(may_eject, now);
                }
            }
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
