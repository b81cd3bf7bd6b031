//! Outlier detection: whether an upstream's recent responses allow sending it requests.

use std::time::{Duration, Instant};

/// Half-life of the weight of a failure. It is long enough that the failures of an upstream that
/// gets one request a second and fails every other one still add up.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum sum of failures, weighted by age, for which an upstream is ejected. One broken response
/// in a hundred must not eject an upstream.
const MIN_EJECTION_SCORE: f64 = 1.9;

/// First ejection time; it doubles up to [`MAX_EJECTION_TIME`] while trial requests fail.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(700);

/// Maximum time between two trial requests to an ejected upstream.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(6);

/// Weight, in failures, of a refusal by an upstream that reported free slots.
const REFUSAL_WEIGHT: f64 = 0.4;

/// Outlier detection state of one upstream: its recent failures and its ejections.
///
/// Health checks are not taken into account: they may pass while every request fails, and fail
/// while every request is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    score: f64,
    scored_at: Option<Instant>,
    ejected_until: Option<Instant>,
    ejections: u32,
}

/// Which requests may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthState {
    /// Any request.
    Healthy,
    /// One request at a time, to find out whether it has recovered.
    Trial,
    /// None, unless no other upstream is left.
    Ejected,
}

impl Health {
    /// Returns the number of recent failures, weighted by age.
    fn score(&self, now: Instant) -> f64 {
        match self.scored_at {
            Some(at) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                self.score * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
            }
            None => 0.0,
        }
    }

    /// Returns which requests may be sent.
    pub fn state(&self, now: Instant) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if until > now => HealthState::Ejected,
            Some(_) => HealthState::Trial,
        }
    }

    fn add(&mut self, weight: f64, now: Instant) {
        self.score = self.score(now) + weight;
        self.scored_at = Some(now);
    }

    /// Records a complete response.
    pub fn record_success(&mut self, now: Instant) {
        self.score = self.score(now) * 0.5;
        self.scored_at = Some(now);
        self.ejected_until = None;
        self.ejections = 0;
    }

    /// Records a failure; `may_eject` is true if the other upstreams can carry the load.
    pub fn record_failure(&mut self, may_eject: bool, now: Instant) {
        self.add(1.0, now);
        let trial_failed = self.state(now) == HealthState::Trial;
        if may_eject && (trial_failed || self.score >= MIN_EJECTION_SCORE) {
            let ejection_time = BASE_EJECTION_TIME
                .saturating_mul(1 << self.ejections.min(4))
                .min(MAX_EJECTION_TIME);
            self.ejected_until = Some(now + ejection_time);
            self.ejections += 1;
        }
    }

    /// Records a refusal by an upstream that reported free slots.
    pub fn record_unexplained_refusal(&mut self, now: Instant) {
        self.add(REFUSAL_WEIGHT, now);
    }
}
