//! What each kind of request takes: time at an upstream that is not slowed, and bytes on the way.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Share of its objective that a kind of request is taken to need before any was answered.
const FIRST_GUESS: f64 = 0.35;

/// Size that a request and its answer are taken to have before any was answered, in KiB.
const FIRST_SIZE_KIB: f64 = 2.0;

/// Size of the two heads of a request, and of the packets that carry it and its answer, in KiB.
const OVERHEAD_KIB: f64 = 0.7;

/// Weight of the newest answer once there were many.
const WEIGHT: f64 = 0.05;

/// Answers that the first guess counts as: the first answers replace it soon.
const GUESS_COUNTS_AS: u32 = 2;

/// Longest time that one answer is counted as, as a factor of the mean so far.
const MOST: f64 = 3.0;

/// A mean in which old samples fade.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn guessed(value: f64) -> Mean {
        Mean { value, samples: GUESS_COUNTS_AS }
    }

    fn add(&mut self, seen: f64) {
        self.samples += 1;
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (seen - self.value);
    }
}

/// Mean work and size by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Works {
    seconds: HashMap<SmolStr, Mean>,
    kib: HashMap<SmolStr, Mean>,
}

impl Works {
    /// Returns the mean work of `kind`, whose objective is `objective`.
    pub fn of(&self, kind: &str, objective: Duration) -> Duration {
        match self.seconds.get(kind) {
            Some(mean) => Duration::from_secs_f64(mean.value),
            None => objective.mul_f64(FIRST_GUESS),
        }
    }

    /// Records an answer by an upstream that was neither slowed nor nearly full.
    pub fn sample(&mut self, kind: &SmolStr, objective: Duration, took: Duration) {
        let guess = objective.mul_f64(FIRST_GUESS).as_secs_f64();
        let mean = self.seconds.entry(kind.clone()).or_insert(Mean::guessed(guess));
        mean.add(took.as_secs_f64().min(mean.value * MOST));
    }

    /// Returns the mean size of a request of `kind` with its answer, in KiB.
    pub fn size_kib(&self, kind: &str) -> f64 {
        self.kib.get(kind).map_or(FIRST_SIZE_KIB, |mean| mean.value)
    }

    /// Records the size of the bodies of a request and its answer.
    pub fn sample_size(&mut self, kind: &SmolStr, bytes: usize) {
        let mean = self.kib.entry(kind.clone()).or_insert(Mean::guessed(FIRST_SIZE_KIB));
        mean.add(OVERHEAD_KIB + bytes as f64 / 1_024.0);
    }

    /// Forgets kinds that are not among `known`, so that names used once do not pile up.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.seconds.retain(|kind, _| known(kind));
        self.kib.retain(|kind, _| known(kind));
    }
}
