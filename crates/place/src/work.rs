//! Estimates of the work and the size of each kind of request.
//!
//! Work is the time that a request takes at an upstream that is not slowed; size is the number of
//! bytes that it and its response take on the network.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Initial estimate of the work of a kind of request, as a ratio of its objective.
const INITIAL_WORK_RATIO: f64 = 0.35;

/// Initial estimate of the size of a request and its response, in KiB.
const INITIAL_SIZE_KIB: f64 = 2.0;

/// Size of the heads of a request and its response, and of the packet headers of both, in KiB.
const OVERHEAD_KIB: f64 = 0.7;

/// Minimum weight of the newest sample, used once there are many.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Number of samples that the initial estimate counts as: the first samples soon replace it.
const INITIAL_SAMPLES: u32 = 2;

/// Maximum value of one sample of work, as a ratio of the mean so far.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// A mean in which older samples weigh less.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn with_estimate(value: f64) -> Mean {
        Mean { value, samples: INITIAL_SAMPLES }
    }

    fn add(&mut self, sample: f64) {
        self.samples += 1;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }
}

/// Mean work and size by kind of request.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimates {
    work_s: HashMap<SmolStr, Mean>,
    size_kib: HashMap<SmolStr, Mean>,
}

impl WorkEstimates {
    /// Returns the mean work of `kind`, or an estimate from its `objective` if there is no sample.
    pub fn work(&self, kind: &str, objective: Duration) -> Duration {
        match self.work_s.get(kind) {
            Some(mean) => Duration::from_secs_f64(mean.value),
            None => objective.mul_f64(INITIAL_WORK_RATIO),
        }
    }

    /// Records the latency of a response from an upstream that was neither slowed nor nearly full.
    pub fn record_work(&mut self, kind: &SmolStr, objective: Duration, latency: Duration) {
        let estimate = objective.mul_f64(INITIAL_WORK_RATIO).as_secs_f64();
        let mean = self.work_s.entry(kind.clone()).or_insert(Mean::with_estimate(estimate));
        mean.add(latency.as_secs_f64().min(mean.value * MAX_SAMPLE_RATIO));
    }

    /// Returns the mean size of a request of `kind` with its response, in KiB.
    pub fn size_kib(&self, kind: &str) -> f64 {
        self.size_kib.get(kind).map_or(INITIAL_SIZE_KIB, |mean| mean.value)
    }

    /// Records the total size of the bodies of a request and its response.
    pub fn record_size(&mut self, kind: &SmolStr, bytes: usize) {
        let mean =
            self.size_kib.entry(kind.clone()).or_insert(Mean::with_estimate(INITIAL_SIZE_KIB));
        mean.add(OVERHEAD_KIB + bytes as f64 / 1_024.0);
    }

    /// Removes the kinds for which `is_known` returns false, so that kinds used once do not
    /// accumulate.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.work_s.retain(|kind, _| is_known(kind));
        self.size_kib.retain(|kind, _| is_known(kind));
    }
}
