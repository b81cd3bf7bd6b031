//! Estimates for how long a caller has been retrying, from the deadline that it states.
//!
//! The load pattern: under overload, refused callers retry. Each attempt arrives as a request of
//! its own, but the caller counts its objective from the first one. If a retry is treated as new, a
//! request that is already late takes the slot of one that could still be in time; in a burst both
//! are then late, again and again. A retrying caller has less time left than callers of its kind
//! have on their first attempt; the difference is the time for which it has been retrying.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Minimum deadline of a first attempt, as a ratio of the usual longest deadline: the deadlines of
/// callers of one kind differ by up to a sixth.
const MIN_FIRST_ATTEMPT_RATIO: f64 = 0.8;

/// Maximum number of recent deadlines kept for a kind of request, half a kilobyte in all. Fewer
/// would hold too few first attempts when most callers are retrying; more would take longer to
/// follow deadlines that became shorter.
const MAX_DEADLINES: usize = 64;

/// One in this many of the kept deadlines, and at least one, is ignored as too long. Otherwise a
/// single caller that states a month, or no limit at all, would make all others look like retries.
/// If a quarter of the requests are first attempts, half of the first attempts are still longer
/// than the ignored ones.
const OUTLIER_DIVISOR: usize = 8;

/// Recent deadlines stated by callers, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    by_kind: HashMap<SmolStr, Deadlines>,
}

impl RetryDetector {
    /// Records the deadline that an attempt states and returns for how long its caller has been
    /// retrying: zero for a first attempt.
    pub fn retrying_for(&mut self, kind: &SmolStr, stated: Duration) -> Duration {
        let stated_s = stated.as_secs_f64();
        let deadlines = self.by_kind.entry(kind.clone()).or_default();
        deadlines.record(stated_s);
        let longest_s = deadlines.usual_longest_s();
        if stated_s >= MIN_FIRST_ATTEMPT_RATIO * longest_s {
            return Duration::ZERO;
        }
        let usual_s = deadlines.mean_first_attempt_s(longest_s);
        Duration::from_secs_f64((usual_s - stated_s).max(0.0))
    }

    /// Removes the kinds for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| is_known(kind));
    }
}

/// The most recent deadlines of one kind of request, in seconds.
#[derive(Clone, Debug, Default)]
struct Deadlines {
    /// A ring buffer once it holds `MAX_DEADLINES`.
    recent_s: Vec<f64>,
    /// Index of the next deadline to write.
    next: usize,
}

impl Deadlines {
    fn record(&mut self, stated_s: f64) {
        match self.recent_s.get_mut(self.next) {
            Some(oldest_s) => *oldest_s = stated_s,
            None => self.recent_s.push(stated_s),
        }
        self.next = (self.next + 1) % MAX_DEADLINES;
    }

    /// Returns the longest deadline, not counting the outliers.
    fn usual_longest_s(&self) -> f64 {
        let mut sorted_s = [0.0; MAX_DEADLINES];
        let sorted_s = &mut sorted_s[..self.recent_s.len()];
        sorted_s.copy_from_slice(&self.recent_s);
        let outliers = match sorted_s.len() {
            1 => 0,
            count => (count / OUTLIER_DIVISOR).max(1),
        };
        let (_, longest_s, _) = sorted_s.select_nth_unstable_by(outliers, |a, b| b.total_cmp(a));
        *longest_s
    }

    /// Returns the mean deadline of first attempts, given the usual longest deadline.
    fn mean_first_attempt_s(&self, longest_s: f64) -> f64 {
        let range = MIN_FIRST_ATTEMPT_RATIO * longest_s..=longest_s / MIN_FIRST_ATTEMPT_RATIO;
        let first_attempts = self.recent_s.iter().filter(|stated_s| range.contains(stated_s));
        let (sum_s, count) = first_attempts.fold((0.0, 0u32), |(sum, n), s| (sum + s, n + 1));
        sum_s / f64::from(count.max(1))
    }
}

#[cfg(test)]
mod tests;
