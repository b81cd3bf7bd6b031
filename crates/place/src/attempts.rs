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

/// Deadlines from this part of the longest on are those of first attempts: callers of one kind were
/// seen to differ by a sixth.
const FIRST_FROM: f64 = 0.8;

/// Weight of the newest first attempt in the usual deadline.
const WEIGHT: f64 = 0.05;

/// Part of the longest deadline that is forgotten with each attempt, so that deadlines that became
/// shorter are taken for the usual ones after some hundred attempts.
const FORGET: f64 = 0.0005;

/// Deadlines that callers state, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    by_kind: HashMap<SmolStr, Deadlines>,
}

/// Deadlines of one kind of request, in seconds.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    longest_s: f64,
    usual_s: f64,
}

impl Attempts {
    /// Takes the deadline that an attempt states; returns how long its caller has been trying.
    pub fn tried_for(&mut self, kind: &SmolStr, stated: Duration) -> Duration {
        let stated_s = stated.as_secs_f64();
        let first = Deadlines { longest_s: stated_s, usual_s: stated_s };
        let deadlines = self.by_kind.entry(kind.clone()).or_insert(first);
        deadlines.longest_s = deadlines.longest_s.max(stated_s) * (1.0 - FORGET);
        if stated_s >= FIRST_FROM * deadlines.longest_s {
            deadlines.usual_s += WEIGHT * (stated_s - deadlines.usual_s);
            return Duration::ZERO;
        }
        Duration::from_secs_f64((deadlines.usual_s - stated_s).max(0.0))
    }

    /// Forgets kinds that are not among `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_kind.retain(|kind, _| known(kind));
    }
}

#[cfg(test)]
mod tests;
