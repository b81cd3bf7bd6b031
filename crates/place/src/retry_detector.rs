//! Estimates for how long a caller has been retrying, from the deadline that it states.
//!
//! The load pattern: under overload, refused callers retry. Each attempt arrives as a request of
//! its own, but the caller counts its objective from the first one. If a retry is treated as new, a
//! request that is already late takes the slot of one that could still be in time; in a burst both
//! are then late, again and again. A retrying caller has less time left than callers of its kind
//! have on their first attempt; the difference is the time for which it has been retrying.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Spread of the deadlines of first attempts until enough of them were seen, and its upper bound,
/// as a ratio of the usual longest deadline: deadlines differ by up to a sixth where callers
/// randomize them.
const MAX_SPREAD: f64 = 0.2;

/// Lower bound of the spread: time that passes between the start of an attempt and its request.
const MIN_SPREAD: f64 = 0.01;

/// Number of recent deadlines kept for a kind of request, half a kilobyte in all. Fewer would hold
/// too few first attempts when most callers are retrying; more would take longer to follow
/// deadlines that became shorter.
const MAX_DEADLINES: usize = 64;

/// Number of deadlines below which their spread is not estimated.
const MIN_DEADLINES: usize = 16;

/// Minimum interval between two deadlines that are kept once there are [`MAX_DEADLINES`]. Those
/// kept then span at least 16 s, so that a burst of retries of a few seconds replaces only a part
/// of them.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// One in this many of the kept deadlines, and at least one, is ignored as too long. Otherwise a
/// single caller that states a month, or no limit at all, would make all others look like retries.
/// If a quarter of the requests are first attempts, half of the first attempts are still longer
/// than the ignored ones.
const OUTLIER_DIVISOR: usize = 8;

/// One in this many of the kept deadlines may be that of a retry when the spread is estimated:
/// some callers retry at any time, for example after a lost connection.
const RETRY_DIVISOR: usize = 5;

/// Factor from the range of the deadlines without the outliers and the shortest
/// [`RETRY_DIVISOR`]th to the spread. For evenly distributed deadlines it would be 1.5.
const SPREAD_MARGIN: f64 = 2.0;

/// What [`SPREAD_MARGIN`] is higher by, divided by the number of deadlines: a few of them are closer
/// to each other by chance.
const SPREAD_MARGIN_FOR_CHANCE: f64 = 32.0;

/// Maximum ratio between deadlines that count as the same: time passes between the start of an
/// attempt and its request.
const MAX_RECURRENCE_RATIO: f64 = 1.002;

/// Number of kept deadlines from which on one counts as recurring. Retries come at any time: at the
/// height of a burst, about one of those kept is as long as a given retry's.
const MIN_RECURRENCES: usize = 4;

/// Time for which the smallest estimate of the spread holds, which is longer than overload usually
/// lasts.
const SPREAD_TTL: Duration = Duration::from_secs(120);

/// Recent deadlines stated by callers, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    by_kind: HashMap<SmolStr, Deadlines>,
}

impl RetryDetector {
    /// Records the deadline that an attempt received at `now` states and returns for how long its
    /// caller has been retrying: zero for a first attempt.
    ///
    /// A deadline within the spread of first attempts' deadlines counts as that of a first attempt.
    /// The spread is the smallest of the recent estimates, because retries only widen the
    /// distribution of deadlines. A kind of which there are too few yet is assumed to be like the
    /// most varied of the others.
    pub fn retrying_for(&mut self, kind: &SmolStr, stated: Duration, now: Instant) -> Duration {
        let stated_s = stated.as_secs_f64();
        let deadlines = self.by_kind.entry(kind.clone()).or_default();
        deadlines.record(stated_s, now);
        let spread = deadlines.spread.map(|(spread, _)| spread);
        let min_first_attempt_ratio = 1.0 - spread.unwrap_or_else(|| self.max_spread());
        let deadlines = &self.by_kind[kind];
        let longest_s = deadlines.usual_longest_s();
        // A second application on the route states another deadline, always the same.
        let is_of_other_callers =
            stated_s >= (1.0 - MAX_SPREAD) * longest_s && deadlines.recurs(stated_s);
        if stated_s >= min_first_attempt_ratio * longest_s || is_of_other_callers {
            return Duration::ZERO;
        }
        let usual_s = deadlines.mean_first_attempt_s(min_first_attempt_ratio);
        Duration::from_secs_f64((usual_s - stated_s).max(0.0))
    }

    /// Returns the spread of the deadlines of first attempts of a kind, as a ratio of the longest.
    pub fn spread(&self, kind: &str) -> f64 {
        let own = self.by_kind.get(kind).and_then(|deadlines| deadlines.spread);
        own.map_or_else(|| self.max_spread(), |(spread, _)| spread)
    }

    /// Returns the largest of the spreads that were estimated.
    fn max_spread(&self) -> f64 {
        let spreads = self.by_kind.values().filter_map(|deadlines| deadlines.spread);
        spreads.map(|(spread, _)| spread).reduce(f64::max).unwrap_or(MAX_SPREAD)
    }

    /// Removes the kinds for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| is_known(kind));
    }
}

/// Recent deadlines of one kind of request, in seconds.
#[derive(Clone, Debug, Default)]
struct Deadlines {
    /// A ring buffer once it holds `MAX_DEADLINES`.
    recent_s: Vec<f64>,
    /// Index of the next deadline to write.
    next: usize,
    recorded_at: Option<Instant>,
    /// The longest of `recent_s`, not counting the outliers.
    recent_longest_s: f64,
    /// `recent_longest_s` of the whole ring before. While nearly all requests are retries, it is
    /// that of first attempts.
    previous_longest_s: f64,
    /// The smallest recent estimate of the spread, and when it was made; `None` while there are too
    /// few deadlines.
    spread: Option<(f64, Instant)>,
}

impl Deadlines {
    fn record(&mut self, stated_s: f64, now: Instant) {
        let is_full = self.recent_s.len() == MAX_DEADLINES;
        let is_too_soon =
            self.recorded_at.is_some_and(|at| now.saturating_duration_since(at) < SAMPLE_INTERVAL);
        if is_full && is_too_soon {
            return;
        }
        self.recorded_at = Some(now);
        match self.recent_s.get_mut(self.next) {
            Some(oldest_s) => *oldest_s = stated_s,
            None => self.recent_s.push(stated_s),
        }
        self.next = (self.next + 1) % MAX_DEADLINES;
        let mut sorted_s = [0.0; MAX_DEADLINES];
        let sorted_s = &mut sorted_s[..self.recent_s.len()];
        sorted_s.copy_from_slice(&self.recent_s);
        sorted_s.sort_unstable_by(|a, b| b.total_cmp(a));
        let outliers = match sorted_s.len() {
            1 => 0,
            count => (count / OUTLIER_DIVISOR).max(1),
        };
        self.recent_longest_s = sorted_s[outliers];
        if self.next == 0 {
            self.previous_longest_s = self.recent_longest_s;
        }
        if sorted_s.len() < MIN_DEADLINES {
            return;
        }
        let shortest_s = sorted_s[sorted_s.len() - 1 - sorted_s.len() / RETRY_DIVISOR];
        let range = 1.0 - shortest_s / self.recent_longest_s.max(f64::MIN_POSITIVE);
        let margin = SPREAD_MARGIN + SPREAD_MARGIN_FOR_CHANCE / sorted_s.len() as f64;
        let estimate = (margin * range).clamp(MIN_SPREAD, MAX_SPREAD);
        let is_current = |at: Instant| now.saturating_duration_since(at) < SPREAD_TTL;
        match self.spread {
            Some((smallest, at)) if smallest < estimate && is_current(at) => {}
            _ => self.spread = Some((estimate, now)),
        }
    }

    /// Returns true if several of the recent deadlines are as long as this one.
    fn recurs(&self, stated_s: f64) -> bool {
        let range = stated_s / MAX_RECURRENCE_RATIO..=stated_s * MAX_RECURRENCE_RATIO;
        self.recent_s.iter().filter(|recent_s| range.contains(recent_s)).count() >= MIN_RECURRENCES
    }

    /// Returns the longest deadline that is usual for first attempts.
    fn usual_longest_s(&self) -> f64 {
        self.recent_longest_s.max(self.previous_longest_s)
    }

    /// Returns the mean deadline of first attempts, or the usual longest if no recent one is known.
    fn mean_first_attempt_s(&self, min_first_attempt_ratio: f64) -> f64 {
        let longest_s = self.usual_longest_s();
        let range = min_first_attempt_ratio * longest_s..=longest_s / min_first_attempt_ratio;
        let first_attempts = self.recent_s.iter().filter(|stated_s| range.contains(stated_s));
        let (sum_s, count) = first_attempts.fold((0.0, 0u32), |(sum, n), s| (sum + s, n + 1));
        match count {
            0 => longest_s,
            count => sum_s / f64::from(count),
        }
    }
}

#[cfg(test)]
mod tests;
