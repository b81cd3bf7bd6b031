//! How long the work of each kind of request takes at an upstream that is not slowed.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Share of its objective that a kind of request is taken to need before any was answered.
const FIRST_GUESS: f64 = 0.35;

/// Weight of the newest answer.
const WEIGHT: f64 = 0.05;

/// Longest time that one answer is counted as, as a factor of the mean so far.
const MOST: f64 = 3.0;

/// Mean work by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Works {
    by_kind_s: HashMap<SmolStr, f64>,
}

impl Works {
    /// Returns the mean work of `kind`, whose objective is `objective`.
    pub fn of(&self, kind: &str, objective: Duration) -> Duration {
        match self.by_kind_s.get(kind) {
            Some(seconds) => Duration::from_secs_f64(*seconds),
            None => objective.mul_f64(FIRST_GUESS),
        }
    }

    /// Records an answer by an upstream that was not slowed.
    pub fn sample(&mut self, kind: &SmolStr, objective: Duration, took: Duration) {
        let mean = self.of(kind, objective).as_secs_f64();
        let seen = took.as_secs_f64().min(mean * MOST);
        self.by_kind_s.insert(kind.clone(), mean + WEIGHT * (seen - mean));
    }

    /// Forgets kinds that are not among `known`, so that names used once do not pile up.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_kind_s.retain(|kind, _| known(kind));
    }
}
