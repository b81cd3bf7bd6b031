//! Whether an upstream's record of answers allows sending it requests.

use std::time::{Duration, Instant};

/// A failure counts half after this long; long enough that one request a
/// second at an upstream that fails every other one still adds up.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Failures, weighted by age, from which on an upstream is ejected. One broken
/// answer in a hundred must not eject anyone.
const EJECT_FROM: f64 = 1.9;

/// First time an upstream stays ejected; doubles up to [`LONGEST`] while its trials fail.
const FIRST: Duration = Duration::from_millis(700);

/// Longest time an upstream stays ejected between two trials.
const LONGEST: Duration = Duration::from_secs(6);

/// What a refusal without want of room counts, in failures.
const REFUSAL: f64 = 0.4;

/// Record of one upstream's answers.
///
/// A health check is not consulted: it may pass while every request fails,
/// and fail while every request is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    score: f64,
    scored_at: Option<Instant>,
    ejected_until: Option<Instant>,
    ejections: u32,
}

/// What may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Any request.
    Good,
    /// One request at a time, to find out whether it is well again.
    Trial,
    /// Nothing, unless there is nobody else.
    Ejected,
}

impl Health {
    /// Returns recent failures, weighted by age.
    fn score(&self, now: Instant) -> f64 {
        match self.scored_at {
            Some(at) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                self.score * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
            }
            None => 0.0,
        }
    }

    /// Returns what may be sent.
    pub fn standing(&self, now: Instant) -> Standing {
        match self.ejected_until {
            None => Standing::Good,
            Some(until) if until > now => Standing::Ejected,
            Some(_) => Standing::Trial,
        }
    }

    fn add(&mut self, weight: f64, now: Instant) {
        self.score = self.score(now) + weight;
        self.scored_at = Some(now);
    }

    /// Records a whole answer.
    pub fn answered(&mut self, now: Instant) {
        self.score = self.score(now) * 0.5;
        self.scored_at = Some(now);
        self.ejected_until = None;
        self.ejections = 0;
    }

    /// Records a failure; `may_eject` tells whether the others can carry the load.
    pub fn failed(&mut self, may_eject: bool, now: Instant) {
        self.add(1.0, now);
        let trial_failed = self.standing(now) == Standing::Trial;
        if may_eject && (trial_failed || self.score >= EJECT_FROM) {
            let stay = FIRST.saturating_mul(1 << self.ejections.min(4)).min(LONGEST);
            self.ejected_until = Some(now + stay);
            self.ejections += 1;
        }
    }

    /// Records a refusal by an upstream whose own report shows room.
    pub fn refused_with_room(&mut self, now: Instant) {
        self.add(REFUSAL, now);
    }
}
