//! Decides when a node that reaches no other node looks for them at the platform.
//!
//! The load pattern: a whole fleet loses power, and the nodes that its settings name as seeds do not
//! come back. All others start at the same moment, each of them alone.

use std::time::{Duration, Instant};

/// Time for which a node waits for its seeds before it looks for others at the platform.
const SEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after the first lookup, which doubles with each further one.
const LOOKUP_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of times that the pause doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// How long a node has been isolated, and how often it has looked for others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    next_lookup_at: Option<Instant>,
    lookups: u32,
}

impl Isolation {
    /// Returns true if the node should look for others now. Must be called regularly, with whether
    /// the node reaches no other node.
    pub fn take_due_lookup(&mut self, is_isolated: bool, now: Instant) -> bool {
        if !is_isolated {
            *self = Isolation::default();
            return false;
        }
        if *self.next_lookup_at.get_or_insert(now + SEED_TIMEOUT) > now {
            return false;
        }
        let backoff = LOOKUP_BACKOFF * (1 << self.lookups.min(MAX_BACKOFF_DOUBLINGS));
        self.next_lookup_at = Some(now + backoff);
        self.lookups += 1;
        true
    }
}

#[cfg(test)]
mod tests;
