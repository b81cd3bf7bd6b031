//! Choice of upstream for one call.
//!
//! [`Pool`] holds what one entry node knows of one service's upstreams:
//! requests it has outstanding to each (known exactly, never stale) and an
//! EWMA of the latency it saw from each. [`Pool::pick`] samples two eligible
//! upstreams and takes the one with the lower expected wait, the power of
//! two choices. Load reports from upstreams are not trusted here: they lag,
//! and a pool built only on its own observations cannot be misled by them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use smol_str::SmolStr;

/// Weight of the newest sample in the latency EWMA.
const EWMA_WEIGHT: f64 = 0.2;

/// Latency assumed for an upstream with no samples yet, in microseconds.
const INITIAL_LATENCY_US: f64 = 1_000.0;

/// Consecutive failures after which an upstream is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// How long an ejected upstream gets no calls.
const EJECT_FOR: Duration = Duration::from_secs(2);

/// Index of an upstream within its pool.
pub type UpstreamIndex = usize;

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finished {
    /// A whole answer came after this long.
    Answered(Duration),
    /// The upstream refused it before running it: it is full or leaving, not broken.
    Refused,
    /// No whole answer came.
    Failed,
}

/// Whether an upstream may get new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Serving.
    Live,
    /// Leaving: no new calls, outstanding ones finish.
    Leaving,
}

/// What watchers say of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// Nothing bad.
    #[default]
    Good,
    /// It does not answer their probes, or answers with errors.
    Failing,
    /// It says itself that it is leaving.
    Draining,
}

/// What the pool knows of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Where calls go.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Live or leaving.
    pub standing: Standing,
    /// Calls this entry node has sent and not yet seen answered.
    pub outstanding: u32,
    /// EWMA of answered calls' latency, in microseconds.
    pub latency_ewma_us: f64,
    /// Failures in a row, reset by a success.
    pub failures: u32,
    /// Ejected until this instant, after repeated failures.
    pub ejected_until: Option<Instant>,
    /// What watchers say of it.
    pub report: Report,
}

impl Upstream {
    /// Creates a live upstream with no history.
    pub fn new(addr: SocketAddr, zone: SmolStr) -> Upstream {
        Upstream {
            addr,
            zone,
            standing: Standing::Live,
            outstanding: 0,
            latency_ewma_us: INITIAL_LATENCY_US,
            failures: 0,
            ejected_until: None,
            report: Report::Good,
        }
    }

    fn eligible(&self, now: Instant) -> bool {
        self.standing == Standing::Live
            && self.report == Report::Good
            && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Expected wait of one more call: latency times the queue it would join.
    fn cost(&self) -> f64 {
        self.latency_ewma_us * f64::from(self.outstanding + 1)
    }
}

/// The upstreams of one service, as one entry node sees them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Upstreams in a stable order; indexes stay valid until [`Pool::set_members`].
    pub upstreams: Vec<Upstream>,
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

    /// Picks an upstream for a call from `zone`, skipping those in `tried`.
    ///
    /// With `zone_affinity`, only upstreams of `zone` are considered while any
    /// of them is eligible. Returns `None` when no upstream is eligible.
    pub fn pick<R: Rng>(
        &self,
        zone: &str,
        zone_affinity: bool,
        tried: &[SocketAddr],
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamIndex> {
        let eligible = |(_, upstream): &(usize, &Upstream)| {
            upstream.eligible(now) && !tried.contains(&upstream.addr)
        };
        let local = zone_affinity
            && self.upstreams.iter().enumerate().filter(eligible).any(|(_, u)| u.zone == zone);
        let candidates: Vec<UpstreamIndex> = self
            .upstreams
            .iter()
            .enumerate()
            .filter(eligible)
            .filter(|(_, u)| !local || u.zone == zone)
            .map(|(index, _)| index)
            .collect();
        match candidates.len() {
            0 => None,
            1 => Some(candidates[0]),
            n => {
                let a = candidates[rng.random_range(0..n)];
                let b = candidates
                    [(candidates.iter().position(|&c| c == a)? + rng.random_range(1..n)) % n];
                match self.upstreams[a].cost() <= self.upstreams[b].cost() {
                    true => Some(a),
                    false => Some(b),
                }
            }
        }
    }

    /// Returns the index of the upstream at `addr`, if it is in the pool.
    ///
    /// Indexes change when membership changes, so a caller that awaited
    /// between [`Pool::pick`] and [`Pool::finish`] looks its upstream up again.
    pub fn position(&self, addr: SocketAddr) -> Option<UpstreamIndex> {
        self.upstreams.iter().position(|u| u.addr == addr)
    }

    /// Records that a call was sent to `index`.
    pub fn start(&mut self, index: UpstreamIndex) {
        self.upstreams[index].outstanding += 1;
    }

    /// Records the end of a call to `index`.
    ///
    /// A refusal neither adds to the failures in a row nor ends them: counted
    /// as failures, the refusals of a busy moment would eject every upstream
    /// at once and turn a full service into one that is down.
    pub fn finish(&mut self, index: UpstreamIndex, finished: Finished, now: Instant) {
        let upstream = &mut self.upstreams[index];
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match finished {
            Finished::Answered(latency) => {
                let sample = latency.as_secs_f64() * 1e6;
                upstream.latency_ewma_us += EWMA_WEIGHT * (sample - upstream.latency_ewma_us);
                upstream.failures = 0;
            }
            Finished::Refused => {}
            Finished::Failed => {
                upstream.failures += 1;
                if upstream.failures >= EJECT_AFTER_FAILURES {
                    upstream.ejected_until = Some(now + EJECT_FOR);
                    upstream.failures = 0;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod model_tests;
