//! How much longer work takes the more requests an upstream processes, and at how many it does the
//! most work.
//!
//! The load pattern: many more requests arrive than can be served. Some upstreams slow down when
//! they are nearly full, so that all their requests together take longer than if fewer ran at a
//! time. If each free slot is filled, less is done than before the overload, and more of it is late.

/// Number of levels of utilization that are told apart; the highest is a full upstream.
const LEVELS: usize = 8;

/// Utilization above which an upstream counts as nearly full.
pub(crate) const NEARLY_FULL_UTILIZATION: f64 = 0.8;

/// Factor by which work is predicted to take longer at an upstream that is nearly full, and which is
/// assumed until the real one is known.
pub(crate) const NEARLY_FULL_SLOWNESS: f64 = 1.5;

/// Number of samples that the assumed slowdown counts as.
const ASSUMED_SAMPLES: f64 = 24.0;

/// Utilization up to which requests are taken not to slow each other down.
const MAX_UNCROWDED_UTILIZATION: f64 = 0.5;

/// Maximum sample: a single response that was held up should not count as much as dozens.
const MAX_LATENCY_RATIO: f64 = 6.0;

/// Minimum weight of the newest sample. The work of single requests varies by half and more.
const MIN_SAMPLE_WEIGHT: f64 = 0.01;

/// Minimum number of samples of full upstreams before slots are left free.
const MIN_SAMPLES: u32 = 8;

/// Minimum ratio by which more requests at a time must do more work than fewer: they also take
/// longer, and a slot in use is not there for a request that another node sends at the same moment.
const MIN_GAIN: f64 = 1.1;

/// Mean latency as a ratio of the work, in which newer samples weigh more.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyRatio {
    mean: f64,
    samples: u32,
}

impl LatencyRatio {
    fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += weight * (sample - self.mean);
    }

    /// Returns the mean of the samples and of [`ASSUMED_SAMPLES`] of `assumed`.
    fn mean_with(&self, assumed: f64) -> f64 {
        let samples = f64::from(self.samples);
        (assumed * ASSUMED_SAMPLES + self.mean * samples) / (ASSUMED_SAMPLES + samples)
    }
}

/// The slowdown of the upstreams of a service by their utilization.
#[derive(Clone, Debug, Default)]
pub struct Crowding {
    /// Of upstreams at which at most half of the slots are in use. It isn't 1, since machines also
    /// change their speed while they work.
    uncrowded: LatencyRatio,
    by_level: [LatencyRatio; LEVELS],
}

impl Crowding {
    /// Records that a request took `latency_ratio` times its work at an upstream of which
    /// `utilization` of the slots were in use.
    pub(crate) fn record(&mut self, utilization: f64, latency_ratio: f64) {
        let utilization = utilization.clamp(0.0, 1.0);
        let latency_ratio = latency_ratio.min(MAX_LATENCY_RATIO);
        if utilization <= MAX_UNCROWDED_UTILIZATION {
            self.uncrowded.record(latency_ratio);
        }
        self.by_level[level_index(utilization)].record(latency_ratio);
    }

    /// Returns the factor by which work takes longer at this utilization.
    fn slowdown(&self, utilization: f64) -> f64 {
        let assumed =
            if utilization > NEARLY_FULL_UTILIZATION { NEARLY_FULL_SLOWNESS } else { 1.0 };
        let uncrowded = self.uncrowded.mean_with(1.0);
        let slowdown = self.by_level[level_index(utilization)].mean_with(assumed * uncrowded);
        (slowdown / uncrowded).max(1.0)
    }

    /// Returns how many requests an upstream with this many slots is best given at a time: the
    /// lowest number with which it does nearly as much work as with any other, since each request
    /// is then answered sooner.
    pub fn best_concurrency(&self, slots: u32) -> u32 {
        if self.by_level[LEVELS - 1].samples < MIN_SAMPLES {
            return slots;
        }
        let throughput = |running: u32| {
            f64::from(running) / self.slowdown(f64::from(running) / f64::from(slots))
        };
        let levels = (1..=LEVELS).map(|level| (slots as usize * level / LEVELS).max(1) as u32);
        let most = levels.clone().map(throughput).fold(0.0, f64::max);
        levels.clone().find(|running| throughput(*running) * MIN_GAIN >= most).unwrap_or(slots)
    }
}

fn level_index(utilization: f64) -> usize {
    let levels = (utilization * LEVELS as f64).ceil() as usize;
    levels.clamp(1, LEVELS) - 1
}

#[cfg(test)]
mod tests;
