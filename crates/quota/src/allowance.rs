//! What one node knows about one team: the tokens that it holds, and whether more were denied.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::Shard;

/// Time for which a granted token may be used: tokens granted before a quota was lowered expire
/// soon after it.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Time for which a node asks for tokens in advance. What all nodes together hold adds to what is
/// used in a window.
const PREFETCH_TIME: Duration = Duration::from_millis(125);

/// Maximum number of tokens asked for at once.
const MAX_WANTED: f64 = 64.0;

/// Time over which the rate of requests is averaged.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Time without a question after a denial, drawn from this range: a team at twenty times its rate
/// then costs four questions per node and second.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 125..=375;

/// A token with the shard that it was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// When it was granted.
    pub granted_at: Instant,
    /// Shard that it was taken from; `None` if it must not be returned.
    pub shard: Option<Shard>,
}

/// Time since the last denial during which a team counts as over its quota. The pauses between two
/// questions are shorter, so it stays over its quota while it sends more than its rate.
const OVER_QUOTA_TIME: Duration = Duration::from_secs(2);

/// Whether a request can still be of full use to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// It can be answered within its latency objective.
    InTime,
    /// Its objective has passed, or will have passed when it is answered: its caller has been
    /// retrying.
    Late,
}

/// The state of one team at one node.
#[derive(Clone, Debug)]
pub struct Allowance {
    held: VecDeque<Held>,
    /// Averaged rate of requests.
    demand_per_s: f64,
    demand_at: Instant,
    /// No tokens are asked for until then.
    denied_until: Option<Instant>,
    /// When tokens were last denied.
    denied_at: Option<Instant>,
    /// When the owner expects to have tokens for all requests refused so far.
    served_at: Instant,
    /// Requests refused since the last question.
    refused: u32,
    /// Shard to ask first the next time.
    pub(crate) next_shard: Shard,
}

impl Allowance {
    /// Creates the state of a team that has sent nothing yet.
    pub fn new(next_shard: Shard, now: Instant) -> Allowance {
        Allowance {
            held: VecDeque::new(),
            demand_per_s: 0.0,
            demand_at: now,
            denied_until: None,
            denied_at: None,
            served_at: now,
            refused: 0,
            next_shard,
        }
    }

    /// Counts a request.
    pub fn record_demand(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.demand_at).as_secs_f64();
        let averaging_s = DEMAND_AVERAGING_TIME.as_secs_f64();
        self.demand_per_s =
            self.demand_per_s * (-elapsed_s / averaging_s).exp() + 1.0 / averaging_s;
        self.demand_at = now;
    }

    /// Takes a token that the node holds.
    pub fn take(&mut self, now: Instant) -> Option<Held> {
        self.expire(now);
        self.held.pop_front()
    }

    /// Returns how long a caller should wait if no tokens may be asked for, and counts its request
    /// as refused.
    pub fn refuse_if_denied(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Duration> {
        if self.denied_until.is_none_or(|until| until <= now) {
            return None;
        }
        Some(self.refuse(now, rng))
    }

    /// Returns how long a caller should wait whose request is late while the team is over its quota,
    /// and counts its request as refused.
    ///
    /// The load pattern: a team sends several times its rate, and callers that were refused return.
    /// Each token that one of them takes, now late, is missing to a request that could be in time:
    /// the team gets as many answers as its quota allows, and few of them are of use.
    pub fn refuse_if_late(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Duration> {
        let ends_at = self.denied_at? + OVER_QUOTA_TIME;
        if ends_at <= now {
            return None;
        }
        self.refused = self.refused.saturating_add(1);
        let wait = (ends_at - now).max(self.served_at.saturating_duration_since(now));
        Some(wait.mul_f64(rng.random_range(1.0..2.0)))
    }

    /// Counts a refused request; returns how long its caller should wait. The time is spread, so
    /// that callers that were refused together do not return together.
    pub fn refuse(&mut self, now: Instant, rng: &mut impl Rng) -> Duration {
        self.refused = self.refused.saturating_add(1);
        let pause = self.denied_until.map_or(Duration::ZERO, |until| until - now.min(until));
        let wait = self.served_at.saturating_duration_since(now).max(pause);
        wait.mul_f64(rng.random_range(1.0..2.0))
    }

    /// Returns the number of tokens to ask for.
    pub fn wanted(&self) -> u32 {
        (self.demand_per_s * PREFETCH_TIME.as_secs_f64()).clamp(1.0, MAX_WANTED) as u32
    }

    /// Takes the number of requests refused since the last question.
    pub fn take_refused(&mut self) -> u32 {
        std::mem::take(&mut self.refused)
    }

    /// Adds granted tokens.
    pub fn grant(&mut self, tokens: u32, shard: Option<Shard>, now: Instant) {
        self.denied_until = None;
        self.held.extend((0..tokens).map(|_| Held { granted_at: now, shard }));
    }

    /// Records that the owners asked have no tokens; there will be some after `retry_after`.
    pub fn deny(&mut self, retry_after: Duration, now: Instant, rng: &mut impl Rng) {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        self.denied_until = Some(now + pause);
        self.denied_at = Some(now);
        self.served_at = now + retry_after;
    }

    /// Takes back a token whose request did not run; returns false if it is too old to be used by
    /// another request here.
    pub fn give_back(&mut self, token: Held, now: Instant) -> bool {
        let is_usable = now.saturating_duration_since(token.granted_at) < TOKEN_LIFETIME;
        if is_usable {
            self.held.push_front(token);
        }
        is_usable
    }

    /// Returns the number of tokens held and the age of the oldest.
    pub fn held(&self, now: Instant) -> (usize, Option<Duration>) {
        let age = self.held.iter().map(|t| now.saturating_duration_since(t.granted_at)).max();
        (self.held.len(), age)
    }

    /// Returns true while requests are refused without a question.
    pub fn is_denied(&self, now: Instant) -> bool {
        self.denied_until.is_some_and(|until| until > now)
    }

    /// Returns true if nothing would be lost with this state.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.demand_at) > 10 * DEMAND_AVERAGING_TIME
    }

    fn expire(&mut self, now: Instant) {
        let is_valid = |t: &Held| now.saturating_duration_since(t.granted_at) < TOKEN_LIFETIME;
        self.held.retain(is_valid);
    }
}
