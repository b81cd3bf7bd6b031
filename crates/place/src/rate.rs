//! An exponentially decaying event rate.

use std::time::{Duration, Instant};

/// Time constant of the decay: the duration of a few bursts of callers.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// A rate of events in which older events weigh less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    weighted_count: f64,
    newest_at: Option<Instant>,
}

impl Rate {
    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        self.weighted_count = self.decayed_count(now) + 1.0;
        self.newest_at = Some(now);
    }

    /// Returns events per second.
    pub fn per_s(&self, now: Instant) -> f64 {
        self.decayed_count(now) / DECAY_TIME.as_secs_f64()
    }

    fn decayed_count(&self, now: Instant) -> f64 {
        let age = self.newest_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.weighted_count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests;
