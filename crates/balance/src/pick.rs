//! Picks one upstream of a pool.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;

use crate::upstream::NORMAL_SLOWNESS;
use crate::{Pool, Tier, UpstreamIndex};

/// Factor by which an upstream of another zone must be cheaper than the best one of the
/// caller's zone to be picked, since traffic between zones costs money.
pub(crate) const SPILLOVER_COST_RATIO: f64 = 2.0;

/// Maximum number of upstreams compared for one call, starting at a random one,
/// so that the cost of a call does not grow with the size of a service.
const MAX_SCANNED_UPSTREAMS: usize = 32;

/// Load balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Picks the upstream with the lowest expected cost of up to 32 sampled ones.
    #[default]
    Adaptive,
    /// Picks the upstreams in turn; a baseline for measurements.
    RoundRobin,
    /// Picks the upstream with the fewest calls outstanding from this node; a baseline for
    /// measurements.
    LeastOutstanding,
}

/// What determines the selection of an upstream for a call.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Load balancing policy.
    pub policy: Policy,
    /// Availability zone of the entry node.
    pub zone: &'a str,
    /// Whether upstreams of `zone` are preferred.
    pub zone_affinity: bool,
    /// Upstreams that were already tried for this call.
    pub tried: &'a [SocketAddr],
    /// Upstreams that themselves asked to get no calls now.
    pub excluded: &'a [SocketAddr],
    /// Number of calls outstanding from this node at which an upstream gets no more.
    pub max_outstanding: u32,
}

/// Selects upstreams of one tier, inside or outside one zone.
#[derive(Clone, Copy)]
struct Filter<'a> {
    tier: Tier,
    /// `Some((zone, true))` selects upstreams in `zone`, `Some((zone, false))` those outside it,
    /// and `None` all.
    zone: Option<(&'a str, bool)>,
}

impl Pool {
    /// Picks an upstream for a call, or returns `None` if none may get it.
    ///
    /// Only the best tier that is not empty is considered. With zone affinity,
    /// an upstream of the caller's zone is picked unless that zone has none in
    /// this tier or an upstream elsewhere costs less than half as much. The
    /// round-robin policy ignores zones.
    pub fn pick<R: Rng>(
        &mut self,
        criteria: SelectionCriteria<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamIndex> {
        let tier = self.candidates(criteria).filter_map(|i| self.upstreams[i].tier(now)).min()?;
        let any_zone = Filter { tier, zone: None };
        if criteria.policy == Policy::RoundRobin {
            return self.pick_next_in_turn(criteria, any_zone, now);
        }
        if !criteria.zone_affinity {
            return self.pick_among(criteria, any_zone, now, rng);
        }
        let local =
            self.pick_among(criteria, Filter { tier, zone: Some((criteria.zone, true)) }, now, rng);
        let remote = self.pick_among(
            criteria,
            Filter { tier, zone: Some((criteria.zone, false)) },
            now,
            rng,
        );
        let cost = |index: UpstreamIndex| self.upstreams[index].cost(now);
        match (local, remote) {
            (Some(l), Some(r)) if cost(r) * SPILLOVER_COST_RATIO < cost(l) => Some(r),
            (Some(l), _) => Some(l),
            (None, r) => r,
        }
    }

    fn candidates<'a>(
        &'a self,
        criteria: SelectionCriteria<'a>,
    ) -> impl Iterator<Item = UpstreamIndex> + Clone + 'a {
        (0..self.upstreams.len()).filter(move |&index| {
            let upstream = &self.upstreams[index];
            let is_excluded = [criteria.tried, criteria.excluded]
                .iter()
                .any(|addrs| addrs.contains(&upstream.addr));
            upstream.outstanding < criteria.max_outstanding && !is_excluded
        })
    }

    fn matching<'a>(
        &'a self,
        criteria: SelectionCriteria<'a>,
        filter: Filter<'a>,
        now: Instant,
    ) -> impl Iterator<Item = UpstreamIndex> + Clone + 'a {
        self.candidates(criteria).filter(move |index| {
            let upstream = &self.upstreams[*index];
            upstream.tier(now) == Some(filter.tier)
                && filter.zone.is_none_or(|(zone, is_inside)| (upstream.zone == zone) == is_inside)
        })
    }

    fn pick_among<R: Rng>(
        &self,
        criteria: SelectionCriteria<'_>,
        filter: Filter<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamIndex> {
        let count = self.matching(criteria, filter, now).count();
        // Starts at a random upstream, so that ties do not all go to the first.
        let first = if count < 2 { 0 } else { rng.random_range(0..count) };
        let from_first = self.matching(criteria, filter, now).skip(first);
        let sample = from_first
            .chain(self.matching(criteria, filter, now).take(first))
            .take(MAX_SCANNED_UPSTREAMS);
        match criteria.policy {
            Policy::LeastOutstanding => {
                sample.min_by_key(|&index| self.upstreams[index].outstanding)
            }
            Policy::Adaptive | Policy::RoundRobin => {
                // An upstream of which nothing is known is taken to be as fast as the fastest.
                // Otherwise it would get no calls while responses get faster, as the mean follows
                // them slowly and all others look faster than normal.
                let normal = sample
                    .clone()
                    .map(|index| self.upstreams[index].slowness(now))
                    .fold(NORMAL_SLOWNESS, f64::min);
                sample
                    .map(|index| (index, self.upstreams[index].cost_against(normal, now)))
                    .min_by(|(_, a), (_, b)| a.total_cmp(b))
                    .map(|(index, _)| index)
            }
        }
    }

    fn pick_next_in_turn(
        &mut self,
        criteria: SelectionCriteria<'_>,
        filter: Filter<'_>,
        now: Instant,
    ) -> Option<UpstreamIndex> {
        let next_index = self.next_index;
        let picked = self
            .matching(criteria, filter, now)
            .find(|&index| index >= next_index)
            .or_else(|| self.matching(criteria, filter, now).next())?;
        self.next_index = picked + 1;
        Some(picked)
    }
}
