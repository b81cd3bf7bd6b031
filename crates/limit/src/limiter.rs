//! Adaptive concurrency limit of one service at one entry node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// The limit is lifted this long after the last decrease. A limit without
/// recent evidence refuses calls that the upstreams have capacity for when the
/// rate rises suddenly: starting at 16 refused 4 of 16,000 calls at idle
/// upstreams when the rate went from 1,000 to 4,000 per second.
const LIMIT_TTL: Duration = Duration::from_secs(30);

/// Lowest limit, in calls in flight on one node. A few calls must still be
/// sent, or the node never learns that the upstreams accept calls again.
const MIN_LIMIT: f64 = 2.0;

/// Highest limit, in calls in flight on one node.
const MAX_LIMIT: f64 = 65_536.0;

/// Factor by which a decrease multiplies the calls in flight to get the new limit.
const DECREASE_FACTOR: f64 = 0.8;

/// Ratio of slow calls at which the upstreams count as full; a single slow
/// upstream among many stays below it.
const MAX_SLOW_RATIO: f64 = 0.3;

/// Weight of the newest call in the moving average of slow calls.
const SLOW_RATIO_WEIGHT: f64 = 0.05;

/// Ratio of calls in flight to the limit at which the limit may increase.
const MIN_UTILIZATION_RATIO: f64 = 0.8;

/// Step of an increase near the level of the last decrease, where 1 is the
/// usual step: reaching that level again gets calls refused, most of which
/// did not cause the overload.
const CAUTIOUS_STEP: f64 = 0.1;

/// Range in which the limit increases by [`CAUTIOUS_STEP`], as a ratio to the
/// level of the last decrease; above it, the upstreams have more capacity
/// than before.
const CAUTIOUS_RANGE: (f64, f64) = (0.8, 1.2);

/// Part of the limit reserved for teams below their fair share: its ratio to
/// the limit, and its minimum in calls.
const RESERVED_RATIO_AND_MIN_CALLS: (f64, f64) = (0.1, 1.0);

/// A team counts as active until this long after its last call.
const TEAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of an admitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream responded within about the usual time.
    Served,
    /// An upstream responded after several times the usual time: the call
    /// waited in a queue, or the upstream is slow.
    Slow,
    /// Every upstream tried refused the call because it is full.
    Refused,
    /// Any other outcome; it does not affect the limit.
    Other,
}

#[derive(Clone, Debug)]
struct Team {
    in_flight: u32,
    last_call: Instant,
}

/// Limits the calls in flight, learning from refusals and latencies, and
/// shares the limit between teams.
///
/// There is no limit until upstreams show that they are full. After that the
/// limit follows additive increase, multiplicative decrease: while it is
/// used, it increases by one for each limit's worth of served calls, more
/// slowly near the level of the last decrease. It decreases when
/// upstreams refuse calls or many calls take several times the usual time.
/// Entry nodes thereby converge on shares of the upstreams' capacity without
/// communicating. A team may use any free capacity; when capacity is
/// short, a team below its fair share is admitted before one above it.
///
/// Without a limiter, a burst of one team fills every queue, and calls of quiet
/// teams are refused or late in the same proportion. The symptom is errors
/// for teams whose own rate did not change.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    in_flight: u32,
    teams: HashMap<SmolStr, Team>,
    last_decrease: Option<Instant>,
    /// Moving average of slow calls among those admitted since the last decrease.
    slow_ratio: f64,
    /// Calls in flight at the last decrease, but at most the limit of that
    /// time; `None` once the limit is well above it.
    decrease_level: Option<f64>,
}

impl Default for Limiter {
    fn default() -> Self {
        Limiter {
            limit: MAX_LIMIT,
            in_flight: 0,
            teams: HashMap::new(),
            last_decrease: None,
            slow_ratio: 0.0,
            decrease_level: None,
        }
    }
}

impl Limiter {
    /// Admits a call of `team` and returns true, or returns false if the call
    /// must be refused at once.
    ///
    /// Every admitted call must be passed to [`Limiter::release`].
    pub fn try_acquire(&mut self, team: &str, now: Instant) -> bool {
        self.teams
            .retain(|_, t| t.in_flight > 0 || now.duration_since(t.last_call) < TEAM_IDLE_TIMEOUT);
        let team_in_flight = self.teams.get(team).map_or(0, |t| t.in_flight);
        let active_teams = self.teams.len() + usize::from(!self.teams.contains_key(team));
        let fair_share = (self.limit / active_teams as f64).max(1.0);
        let is_limited = self.last_decrease.is_some_and(|at| now.duration_since(at) < LIMIT_TTL);
        if !is_limited {
            self.limit = MAX_LIMIT;
        }
        let is_admitted = match f64::from(team_in_flight) < fair_share {
            // Admitted even if other teams hold more than their share: as their calls
            // end, no more of them are admitted.
            true => true,
            false => {
                let reserved = (self.limit * RESERVED_RATIO_AND_MIN_CALLS.0)
                    .max(RESERVED_RATIO_AND_MIN_CALLS.1);
                f64::from(self.in_flight) + 1.0 <= self.limit - reserved
            }
        };
        // A refused team counts as active too, or its share would go to the teams that
        // crowd it out.
        let entry = self.teams.entry(team.into()).or_insert(Team { in_flight: 0, last_call: now });
        entry.last_call = now;
        if is_admitted {
            entry.in_flight += 1;
            self.in_flight += 1;
        }
        is_admitted
    }

    /// Records the `outcome` of a call of `team` that was admitted at `started_at`.
    pub fn release(&mut self, team: &str, outcome: Outcome, started_at: Instant, now: Instant) {
        let is_utilized = f64::from(self.in_flight) >= self.limit * MIN_UTILIZATION_RATIO;
        // Calls admitted before the last decrease met the load of that time, which the
        // decrease already took into account. Counting them again would shrink the limit to
        // the minimum.
        let is_current = self.last_decrease.is_none_or(|at| started_at > at);
        if is_current {
            let slow = match outcome {
                Outcome::Slow => 1.0,
                Outcome::Served => 0.0,
                Outcome::Refused | Outcome::Other => self.slow_ratio,
            };
            self.slow_ratio += SLOW_RATIO_WEIGHT * (slow - self.slow_ratio);
        }
        match outcome {
            Outcome::Served if is_utilized => self.increase(),
            Outcome::Refused if is_current => self.decrease(now),
            Outcome::Slow if is_current && self.slow_ratio >= MAX_SLOW_RATIO => self.decrease(now),
            _ => {}
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(team) = self.teams.get_mut(team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    fn decrease(&mut self, now: Instant) {
        // Starts from the calls in flight: the limit may be far above what was ever used.
        let level = self.limit.min(f64::from(self.in_flight.max(1)));
        self.decrease_level = Some(level);
        self.limit = (level * DECREASE_FACTOR).max(MIN_LIMIT);
        self.last_decrease = Some(now);
        self.slow_ratio = 0.0;
    }

    fn increase(&mut self) {
        let step = match self.decrease_level {
            Some(level) if self.limit > level * CAUTIOUS_RANGE.1 => {
                self.decrease_level = None;
                1.0
            }
            Some(level) if self.limit > level * CAUTIOUS_RANGE.0 => CAUTIOUS_STEP,
            _ => 1.0,
        };
        self.limit = (self.limit + step / self.limit).min(MAX_LIMIT);
    }

    /// Returns the current limit on calls in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

#[cfg(test)]
mod tests;
