//! Selection of an upstream for a call.
//!
//! [`Pool`] holds the state of one service's upstreams as one entry node sees
//! them, and picks the upstream with the lowest expected
//! [`cost`](Upstream::cost) in a sample. The cost is the number of calls this
//! node has outstanding at the upstream, times the ratio of the upstream's
//! latency to the mean latency of the same kind of call. The load that
//! upstreams report is not used: it is stale when it arrives, and using it
//! made tail latencies longer (docs/design/choice-of-upstream.md).
//!
//! Whether an upstream may be picked at all depends on its [`Tier`]: refusals,
//! watchers' reports and repeated failures put it in a lower tier, and a lower
//! tier is used only when the better ones are empty. Leaving upstreams are in
//! no tier and never picked.

mod pick;
mod upstream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

pub use pick::{Policy, SelectionCriteria};
pub use upstream::{Health, Tier, Upstream, UpstreamState};

/// Weight of the newest response in the mean latency of its kind of call.
const MEAN_LATENCY_WEIGHT: f64 = 0.05;

/// Maximum number of kinds of call with latencies of their own; further kinds share those of
/// [`OVERFLOW_KIND`].
///
/// Kinds are not taken modulo a fixed number: when a light and a heavy kind
/// share a mean, every upstream that serves heavy calls looks slow, and all
/// heavy calls are hedged.
const MAX_KINDS: usize = 256;

/// The kind under which kinds beyond [`MAX_KINDS`] are counted.
const OVERFLOW_KIND: CallKind = 0;

/// Index of an upstream within its pool.
pub type UpstreamIndex = usize;

/// Number of a kind of call, such as a hash of its method and path; calls with equal numbers
/// are expected to take equally long.
pub type CallKind = u64;

/// Outcome of a call to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream sent a complete response.
    Answered,
    /// The upstream refused the call before running it: it is full or leaving, not broken.
    Refused,
    /// No complete response arrived, or one that says the upstream is broken.
    Failed,
    /// The call was cancelled before the upstream responded: another upstream
    /// was faster, or the caller went away.
    Cancelled,
}

/// A call to an upstream that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Time from sending the call until it ended.
    pub elapsed: Duration,
    /// Kind of the call.
    pub kind: CallKind,
}

/// An estimate of a kind's lowest latency, which follows lower samples quickly and rises slowly.
#[derive(Clone, Copy, Debug)]
struct BaselineLatency {
    /// The estimate at `updated_at`, in microseconds.
    us: f64,
    updated_at: Instant,
}

impl BaselineLatency {
    /// The estimate doubles in this time when no sample confirms it.
    const DOUBLING_TIME: Duration = Duration::from_secs(60);

    /// Weight of a sample below the estimate.
    const WEIGHT: f64 = 0.1;

    fn us_at(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.updated_at).as_secs_f64();
        self.us * 2f64.powf(age / Self::DOUBLING_TIME.as_secs_f64())
    }

    fn sample(&mut self, elapsed_us: f64, now: Instant) {
        let baseline_us = self.us_at(now);
        self.us = baseline_us + Self::WEIGHT * (elapsed_us.min(baseline_us) - baseline_us);
        self.updated_at = now;
    }
}

/// The upstreams of one service, as one entry node sees them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Upstreams in a stable order; indexes stay valid until [`Pool::set_members`].
    pub upstreams: Vec<Upstream>,
    /// Mean latency per kind of call over all upstreams, in microseconds.
    mean_latency_us: HashMap<CallKind, f64>,
    /// Latency per kind of call without queueing; falls quickly, rises slowly.
    baseline_latency: HashMap<CallKind, BaselineLatency>,
    /// Index from which [`Policy::RoundRobin`] searches for its next pick.
    next_index: usize,
}

impl Pool {
    /// Replaces the membership with `members` and keeps the state of upstreams that remain.
    pub fn set_members(&mut self, members: &[(SocketAddr, SmolStr, UpstreamState)]) {
        let mut next = Vec::with_capacity(members.len());
        for (addr, zone, state) in members {
            let mut upstream = match self.upstreams.iter().position(|u| u.addr == *addr) {
                Some(index) => self.upstreams.swap_remove(index),
                None => Upstream::new(*addr, zone.clone()),
            };
            // After a replacement, an address can belong to a new VM in another zone. With
            // the old zone, zone-local calls would cross zones, and no latency would show why.
            upstream.zone = zone.clone();
            upstream.state = *state;
            next.push(upstream);
        }
        self.upstreams = next;
    }

    /// Marks the upstream at `addr` as leaving; returns false if it is not in the pool.
    pub fn mark_leaving(&mut self, addr: SocketAddr) -> bool {
        match self.upstreams.iter_mut().find(|u| u.addr == addr) {
            Some(upstream) => {
                upstream.state = UpstreamState::Leaving;
                true
            }
            None => false,
        }
    }

    /// Records what watchers report about the upstream at `addr`; does nothing if it is not in
    /// the pool.
    pub fn set_health(&mut self, addr: SocketAddr, health: Health) {
        if let Some(upstream) = self.upstreams.iter_mut().find(|u| u.addr == addr) {
            upstream.health = health;
        }
    }

    /// Returns the index of the upstream at `addr`, or `None` if it is not in the pool.
    ///
    /// Indexes change when the membership changes, so a caller that awaits
    /// between [`Pool::pick`] and [`Pool::finish`] must look up the index again.
    pub fn position(&self, addr: SocketAddr) -> Option<UpstreamIndex> {
        self.upstreams.iter().position(|u| u.addr == addr)
    }

    /// Returns the mean latency of calls of `kind` over all upstreams, or `None` before the first
    /// response.
    pub fn mean_latency(&self, kind: CallKind) -> Option<Duration> {
        let mean_us = self.mean_latency_us.get(&self.tracked_kind(kind))?;
        Some(Duration::from_secs_f64(mean_us / 1e6))
    }

    /// Returns the latency of calls of `kind` without queueing, or `None` before the first
    /// response.
    pub fn baseline_latency(&self, kind: CallKind, now: Instant) -> Option<Duration> {
        let baseline = self.baseline_latency.get(&self.tracked_kind(kind))?;
        Some(Duration::from_secs_f64(baseline.us_at(now) / 1e6))
    }

    /// Returns `kind`, or [`OVERFLOW_KIND`] if `kind` is new and there are too many already.
    fn tracked_kind(&self, kind: CallKind) -> CallKind {
        let is_full = self.mean_latency_us.len() >= MAX_KINDS;
        match is_full && !self.mean_latency_us.contains_key(&kind) {
            true => OVERFLOW_KIND,
            false => kind,
        }
    }

    /// Records that a call was sent to the upstream at `index`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn start(&mut self, index: UpstreamIndex) {
        self.upstreams[index].outstanding += 1;
    }

    /// Records the end of a call to the upstream at `index`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn finish(&mut self, index: UpstreamIndex, completion: Completion, now: Instant) {
        let may_eject = completion.outcome == Outcome::Failed && self.may_eject(index, now);
        let kind = self.tracked_kind(completion.kind);
        let upstream = &mut self.upstreams[index];
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        let elapsed_us = (completion.elapsed.as_secs_f64() * 1e6).max(1.0);
        match completion.outcome {
            Outcome::Answered => {
                let mean_us = self.mean_latency_us.entry(kind).or_insert(elapsed_us);
                *mean_us += MEAN_LATENCY_WEIGHT * (elapsed_us - *mean_us);
                let baseline = self.baseline_latency.entry(kind);
                baseline
                    .or_insert(BaselineLatency { us: elapsed_us, updated_at: now })
                    .sample(elapsed_us, now);
                upstream.record_response(elapsed_us, elapsed_us / *mean_us, now);
            }
            Outcome::Refused => upstream.record_refusal(now),
            Outcome::Failed | Outcome::Cancelled => {
                if let Some(mean_us) = self.mean_latency_us.get(&kind) {
                    upstream.record_min_slowness(elapsed_us / mean_us, now);
                }
                if completion.outcome == Outcome::Failed {
                    upstream.record_failure(may_eject, now);
                }
            }
        }
    }

    /// Returns true if at least half of the live upstreams remain after ejecting `index`.
    ///
    /// Without this limit an overload, in which calls to every upstream time
    /// out, would eject them all and turn a slow service into an unavailable one.
    fn may_eject(&self, index: UpstreamIndex, now: Instant) -> bool {
        let live = || self.upstreams.iter().filter(|u| u.state == UpstreamState::Live);
        let is_other = |u: &&Upstream| u.addr != self.upstreams[index].addr;
        let ejected_count = live().filter(is_other).filter(|u| u.is_ejected(now)).count();
        2 * (ejected_count + 1) <= live().count()
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod model_tests;
