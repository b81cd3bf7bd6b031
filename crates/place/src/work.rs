//! How long the work of each kind of request takes at an upstream that is not slowed.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Share of its objective that a kind of request is taken to need before any was answered.
const FIRST_GUESS: f64 = 0.35;

/// Weight of the newest answer once there were many.
const WEIGHT: f64 = 0.05;

/// Answers that the first guess counts as: the first answers replace it soon.
const GUESS_COUNTS_AS: u32 = 2;

/// Longest time that one answer is counted as, as a factor of the mean so far.
const MOST: f64 = 3.0;

/// Mean work by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Works {
    by_kind: HashMap<SmolStr, Mean>,
}

#[derive(Clone, Copy, Debug)]
struct Mean {
    seconds: f64,
    answers: u32,
}

impl Works {
    /// Returns the mean work of `kind`, whose objective is `objective`.
    pub fn of(&self, kind: &str, objective: Duration) -> Duration {
        match self.by_kind.get(kind) {
            Some(mean) => Duration::from_secs_f64(mean.seconds),
            None => objective.mul_f64(FIRST_GUESS),
        }
    }

    /// Records an answer by an upstream that was not slowed.
    pub fn sample(&mut self, kind: &SmolStr, objective: Duration, took: Duration) {
        let mean = self.of(kind, objective).as_secs_f64();
        let answers = self.by_kind.get(kind).map_or(GUESS_COUNTS_AS, |mean| mean.answers) + 1;
        let seen = took.as_secs_f64().min(mean * MOST);
        let weight = WEIGHT.max(1.0 / f64::from(answers));
        let seconds = mean + weight * (seen - mean);
        self.by_kind.insert(kind.clone(), Mean { seconds, answers });
    }

    /// Forgets kinds that are not among `known`, so that names used once do not pile up.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| known(kind));
    }
}
