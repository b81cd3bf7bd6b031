//! Picking one upstream of a pool.

use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;

use crate::{Pool, Tier, UpstreamIndex};

/// An upstream of another zone is picked over the own zone's only when it
/// costs less than one part in this of it: what crosses zones is paid for.
pub(crate) const SPILL_RATIO: f64 = 2.0;

/// Of two sampled upstreams the second is taken only when the first costs
/// more than this many times as much. Averages of a few answers differ by
/// less than that by chance; going by such differences would send all calls
/// of a quiet moment to the one upstream that happened to be quickest.
const CLEARLY: f64 = 1.25;

/// How an upstream is picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The better of two sampled upstreams by expected cost.
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
        let tier = self.candidates(ask.tried).filter_map(|i| self.upstreams[i].tier(now)).min()?;
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

    fn candidates<'a>(
        &'a self,
        tried: &'a [SocketAddr],
    ) -> impl Iterator<Item = UpstreamIndex> + 'a {
        let untried = |index: &UpstreamIndex| !tried.contains(&self.upstreams[*index].addr);
        (0..self.upstreams.len()).filter(untried)
    }

    fn group<'a>(
        &'a self,
        ask: Ask<'a>,
        group: Group<'a>,
        now: Instant,
    ) -> impl Iterator<Item = UpstreamIndex> + 'a {
        self.candidates(ask.tried).filter(move |index| {
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
        if count < 2 {
            return self.group(ask, group, now).next();
        }
        let first = rng.random_range(0..count);
        if ask.policy == Policy::LeastOutstanding {
            // Starting anywhere, so that ties do not all go to the first.
            let ordered = self.group(ask, group, now).skip(first);
            let ordered = ordered.chain(self.group(ask, group, now).take(first));
            return ordered.min_by_key(|&index| self.upstreams[index].outstanding);
        }
        let second = (first + rng.random_range(1..count)) % count;
        let a = self.group(ask, group, now).nth(first)?;
        let b = self.group(ask, group, now).nth(second)?;
        match self.upstreams[b].cost(now) * CLEARLY < self.upstreams[a].cost(now) {
            true => Some(b),
            false => Some(a),
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
