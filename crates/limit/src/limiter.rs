//! The bound on calls in flight of one service at one entry node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// The bound is lifted when nothing has spoken for it in this long. It must
/// not refuse a sudden rise that the upstreams have room for: a bound that
/// started at 16 refused 4 of 16,000 calls at idle upstreams when the rate
/// went from 1,000 to 4,000 a second.
const IN_FORCE_FOR: Duration = Duration::from_secs(30);

/// The bound never falls below this: a trickle must go on to find out that
/// the upstreams take calls again.
const MIN_LIMIT: f64 = 2.0;

/// The bound never grows beyond this, in calls in flight on one node.
const MAX_LIMIT: f64 = 65_536.0;

/// Factor on the bound when the upstreams refused a call.
const CUT: f64 = 0.8;

/// Share of slow calls from which on the upstreams are taken for full. One
/// straggler among many must not be.
const SLOW_SHARE: f64 = 0.3;

/// Weight of the newest call in the share of slow calls.
const SLOW_WEIGHT: f64 = 0.05;

/// Share of the bound from which on it is considered used and may grow.
const USED: f64 = 0.8;

/// Around the level of the last refusal the bound grows this much slower: going
/// there again costs refusals, most of them of calls that did nothing wrong.
const CAUTION: f64 = 0.1;

/// The levels, relative to the last refusal, between which it grows with caution;
/// beyond, there is evidently more room than there was.
const CAUTIOUS_BETWEEN: (f64, f64) = (0.8, 1.2);

/// Share of the bound kept for teams below their fair share, and the least
/// number of calls that is.
const KEPT: (f64, f64) = (0.1, 1.0);

/// A team counts as active this long after its last call.
const ACTIVE_FOR: Duration = Duration::from_secs(1);

/// How a call that was let in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// An upstream answered it in about the usual time.
    Served,
    /// An upstream answered it, but after several times the usual time: it
    /// waited in a queue, or its upstream is slow.
    Slow,
    /// Every upstream tried refused it: there is no room.
    Refused,
    /// Anything else; says nothing of the room there is.
    Other,
}

#[derive(Clone, Debug)]
struct Team {
    in_flight: u32,
    last_call: Instant,
}

/// A bound on calls in flight, learned from refusals and shared between teams.
///
/// There is no bound until upstreams show that they are full. From then on it
/// grows by one per bound's worth of served calls while it is used,
/// more slowly near where it was last cut, and shrinks when they refuse or
/// when many calls wait several times the usual time (additive increase, multiplicative decrease), so entry nodes that know nothing of each other settle on shares
/// of the upstreams' room. A team may use whatever is free; when room is
/// short, a team below its fair share is let in before one above it.
///
/// What goes wrong without it: one team's burst fills every queue, and the
/// calls of quiet teams are refused or late in the same proportion. It shows
/// as errors of teams whose own rate did not change.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    in_flight: u32,
    teams: HashMap<SmolStr, Team>,
    last_cut: Option<Instant>,
    /// Share of slow calls among those let in since the last cut.
    slow_share: f64,
    /// Calls in flight when the upstreams last refused one.
    refused_at: Option<f64>,
}

impl Default for Limiter {
    fn default() -> Self {
        Limiter {
            limit: MAX_LIMIT,
            in_flight: 0,
            teams: HashMap::new(),
            last_cut: None,
            slow_share: 0.0,
            refused_at: None,
        }
    }
}

impl Limiter {
    /// Lets a call of `team` in, or returns false: it must be refused at once.
    ///
    /// A call let in must be ended with [`Limiter::end`].
    pub fn begin(&mut self, team: &str, now: Instant) -> bool {
        self.teams.retain(|_, t| t.in_flight > 0 || now.duration_since(t.last_call) < ACTIVE_FOR);
        let mine = self.teams.get(team).map_or(0, |t| t.in_flight);
        let active = self.teams.len() + usize::from(!self.teams.contains_key(team));
        let fair_share = (self.limit / active as f64).max(1.0);
        let in_force = self.last_cut.is_some_and(|at| now.duration_since(at) < IN_FORCE_FOR);
        if !in_force {
            self.limit = MAX_LIMIT;
        }
        let room = match f64::from(mine) < fair_share {
            // Even when others hold more than their share: theirs end, and are not let in again.
            true => true,
            false => {
                let kept = (self.limit * KEPT.0).max(KEPT.1);
                f64::from(self.in_flight) + 1.0 <= self.limit - kept
            }
        };
        // A team that is refused is active too: its share must not go to those that crowd it out.
        let entry = self.teams.entry(team.into()).or_insert(Team { in_flight: 0, last_call: now });
        entry.last_call = now;
        if room {
            entry.in_flight += 1;
            self.in_flight += 1;
        }
        room
    }

    /// Records how a call of `team` that was let in at `began` ended.
    pub fn end(&mut self, team: &str, ended: Ended, began: Instant, now: Instant) {
        let used = f64::from(self.in_flight) >= self.limit * USED;
        // Calls let in before the last cut met the room as it was then: what they say was
        // answered by that cut, and counting it again would cut the bound to nothing.
        let counts = self.last_cut.is_none_or(|cut| began > cut);
        if counts {
            let slow = match ended {
                Ended::Slow => 1.0,
                Ended::Served => 0.0,
                Ended::Refused | Ended::Other => self.slow_share,
            };
            self.slow_share += SLOW_WEIGHT * (slow - self.slow_share);
        }
        match ended {
            Ended::Served if used => self.grow(),
            Ended::Refused if counts => self.cut(now),
            Ended::Slow if counts && self.slow_share >= SLOW_SHARE => self.cut(now),
            _ => {}
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    fn cut(&mut self, now: Instant) {
        // From what is in flight, not from a bound that was never used.
        let from = self.limit.min(f64::from(self.in_flight.max(1)));
        self.refused_at = Some(from);
        self.limit = (from * CUT).max(MIN_LIMIT);
        self.last_cut = Some(now);
        self.slow_share = 0.0;
    }

    fn grow(&mut self) {
        let step = match self.refused_at {
            Some(level) if self.limit > level * CAUTIOUS_BETWEEN.1 => {
                self.refused_at = None;
                1.0
            }
            Some(level) if self.limit > level * CAUTIOUS_BETWEEN.0 => CAUTION,
            _ => 1.0,
        };
        self.limit = (self.limit + step / self.limit).min(MAX_LIMIT);
    }

    /// Returns the bound on calls in flight now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the calls in flight now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

#[cfg(test)]
mod tests;
