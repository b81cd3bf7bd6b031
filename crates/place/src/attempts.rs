//! How long a caller has been trying, told by the deadline that it states.
//!
//! The load pattern: under overload callers are refused and come back. Each attempt comes as a
//! request of its own, but the caller counts its objective from the first one. Taken for new, a
//! request that is late already takes the slot of one that could still be in time; in a burst both
//! are late, again and again. A caller that comes back has less time left than others of its kind
//! have at first; that much less is how long it has been trying.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Deadlines from this part of the usual longest on are those of first attempts: callers of one kind
/// were seen to differ by a sixth.
const FIRST_FROM: f64 = 0.8;

/// Newest deadlines of a kind that are remembered: half a kilobyte. Fewer hold too few first attempts
/// where most callers are coming back; more take longer to follow deadlines that became shorter.
const REMEMBERED: usize = 64;

/// One in so many of the remembered deadlines is left out as too long, and one at least: a caller
/// that states a month, or no limit at all, would otherwise make all others look like returning
/// ones. Where first attempts are a quarter of all, half of them are still above what is left out.
const LEFT_OUT: usize = 8;

/// Deadlines that callers state, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    by_kind: HashMap<SmolStr, Deadlines>,
}

impl Attempts {
    /// Takes the deadline that an attempt states; returns how long its caller has been trying.
    pub fn tried_for(&mut self, kind: &SmolStr, stated: Duration) -> Duration {
        let stated_s = stated.as_secs_f64();
        let deadlines = self.by_kind.entry(kind.clone()).or_default();
        deadlines.remember(stated_s);
        let longest_s = deadlines.usual_longest_s();
        if stated_s >= FIRST_FROM * longest_s {
            return Duration::ZERO;
        }
        let usual_s = deadlines.usual_first_s(longest_s);
        Duration::from_secs_f64((usual_s - stated_s).max(0.0))
    }

    /// Forgets kinds that are not among `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| known(kind));
    }
}

/// The newest deadlines of one kind of request, in seconds.
#[derive(Clone, Debug, Default)]
struct Deadlines {
    newest_s: Vec<f64>,
    /// Where the next one goes once all places are taken.
    next: usize,
}

impl Deadlines {
    fn remember(&mut self, stated_s: f64) {
        match self.newest_s.get_mut(self.next) {
            Some(oldest_s) => *oldest_s = stated_s,
            None => self.newest_s.push(stated_s),
        }
        self.next = (self.next + 1) % REMEMBERED;
    }

    /// Returns the longest deadline but for those that are left out as too long.
    fn usual_longest_s(&self) -> f64 {
        let mut sorted_s = [0.0; REMEMBERED];
        let sorted_s = &mut sorted_s[..self.newest_s.len()];
        sorted_s.copy_from_slice(&self.newest_s);
        let left_out = match sorted_s.len() {
            1 => 0,
            count => (count / LEFT_OUT).max(1),
        };
        let (_, longest_s, _) = sorted_s.select_nth_unstable_by(left_out, |a, b| b.total_cmp(a));
        *longest_s
    }

    /// Returns the mean deadline of first attempts, where `longest_s` is the usual longest.
    fn usual_first_s(&self, longest_s: f64) -> f64 {
        let range = FIRST_FROM * longest_s..=longest_s / FIRST_FROM;
        let firsts = self.newest_s.iter().filter(|stated_s| range.contains(stated_s));
        let (sum_s, count) = firsts.fold((0.0, 0u32), |(sum, n), s| (sum + s, n + 1));
        sum_s / f64::from(count.max(1))
    }
}

#[cfg(test)]
mod tests;
