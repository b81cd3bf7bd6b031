//! Picking one upstream of a pool.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;

use crate::{Pool, Tier, UpstreamIndex};

/// An upstream of another zone is picked over the own zone's only when it
/// costs less than one part in this of it: what crosses zones is paid for.
pub(crate) const SPILL_RATIO: f64 = 2.0;

/// Upstreams compared for one call at most, from a random one on: what a
/// call costs the entry node must not grow with the size of a service.
const SCAN_MOST: usize = 32;

/// How an upstream is picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The least expected cost of up to 32 sampled upstreams.
    #[default]
    Adaptive,
    /// Each in turn; a baseline to measure against.
    RoundRobin,
    /// The one with the fewest calls outstanding from this node; a baseline to measure against.
    LeastOutstanding,
}

/// What a call asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// How to pick.
    pub policy: Policy,
    /// Zone of the entry node.
    pub zone: &'a str,
    /// Whether upstreams of that zone are preferred.
    pub zone_affinity: bool,
    /// Upstreams that were tried for this call already.
    pub tried: &'a [SocketAddr],
    /// Upstreams that get no call now, by their own word.
    pub barred: &'a [SocketAddr],
    /// Upstreams with this many calls outstanding from this node get no more.
    pub most_outstanding: u32,
}

/// The upstreams a choice is made from: one tier, in or out of one zone.
#[derive(Clone, Copy)]
struct Group<'a> {
    tier: Tier,
    /// `Some((zone, true))` for those in the zone, `false` for those outside; `None` for all.
    zone: Option<(&'a str, bool)>,
}

impl Pool {
    /// Picks an upstream for a call, or `None` when none may get it.
    ///
    /// With zone affinity, an upstream of the own zone is picked as long as
    /// one of the best tier there is one and it costs no more than twice
    /// what one elsewhere costs.
    pub fn pick<R: Rng>(
        &mut self,
        ask: Ask<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamIndex> {
        let tier = self.candidates(ask).filter_map(|i| self.upstreams[i].tier(now)).min()?;
        let all = Group { tier, zone: None };
        if ask.policy == Policy::RoundRobin {
            return self.next_in_turn(ask, all, now);
        }
        if !ask.zone_affinity {
            return self.pick_in(ask, all, now, rng);
        }
        let local = self.pick_in(ask, Group { tier, zone: Some((ask.zone, true)) }, now, rng);
        let remote = self.pick_in(ask, Group { tier, zone: Some((ask.zone, false)) }, now, rng);
        let cost = |index: UpstreamIndex| self.upstreams[index].cost(now);
        match (local, remote) {
            (Some(l), Some(r)) if cost(r) * SPILL_RATIO < cost(l) => Some(r),
            (Some(l), _) => Some(l),
            (None, r) => r,
        }
    }

    fn candidates<'a>(&'a self, ask: Ask<'a>) -> impl Iterator<Item = UpstreamIndex> + 'a {
        (0..self.upstreams.len()).filter(move |&index| {
            let upstream = &self.upstreams[index];
            let is_out = [ask.tried, ask.barred].iter().any(|out| out.contains(&upstream.addr));
            upstream.outstanding < ask.most_outstanding && !is_out
        })
    }

    fn group<'a>(
        &'a self,
        ask: Ask<'a>,
        group: Group<'a>,
        now: Instant,
    ) -> impl Iterator<Item = UpstreamIndex> + 'a {
        self.candidates(ask).filter(move |index| {
            let upstream = &self.upstreams[*index];
            upstream.tier(now) == Some(group.tier)
                && group.zone.is_none_or(|(zone, inside)| (upstream.zone == zone) == inside)
        })
    }

    fn pick_in<R: Rng>(
        &self,
        ask: Ask<'_>,
        group: Group<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamIndex> {
        let count = self.group(ask, group, now).count();
        // Starting anywhere, so that ties do not all go to the first.
        let first = if count < 2 { 0 } else { rng.random_range(0..count) };
        let from_first = self.group(ask, group, now).skip(first);
        let around = from_first.chain(self.group(ask, group, now).take(first)).take(SCAN_MOST);
        match ask.policy {
            Policy::LeastOutstanding => {
                around.min_by_key(|&index| self.upstreams[index].outstanding)
            }
            Policy::Adaptive | Policy::RoundRobin => around
                .map(|index| (index, self.upstreams[index].cost(now)))
                .min_by(|(_, a), (_, b)| a.total_cmp(b))
                .map(|(index, _)| index),
        }
    }

    fn next_in_turn(
        &mut self,
        ask: Ask<'_>,
        group: Group<'_>,
        now: Instant,
    ) -> Option<UpstreamIndex> {
        let turn = self.turn;
        let picked = self
            .group(ask, group, now)
            .find(|&index| index >= turn)
            .or_else(|| self.group(ask, group, now).next())?;
        self.turn = picked + 1;
        Some(picked)
    }
}
