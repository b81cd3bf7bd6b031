//! Decides which nodes that were out of touch count into the share of a quota again.
//!
//! The load pattern: a zone was cut off, and meets the others again. Nodes learn of each other over
//! seconds, and until all have, a shard has two owners: that of the whole fleet, and that of the part
//! which does not know it yet. Both grant the share of their own part until then.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::View;

/// Time after which all nodes of a fleet know of a node that is in touch again.
const RETURN_TIME: Duration = Duration::from_secs(6);

/// Nodes that are in touch again, and since when.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturningNodes {
    since: HashMap<SocketAddr, Instant>,
}

impl ReturningNodes {
    /// Records which nodes are in touch again in the view `after`.
    pub(crate) fn record(&mut self, before: &View, after: &View, now: Instant) {
        let in_touch: HashSet<SocketAddr> = after.in_touch().collect();
        self.since.retain(|addr, _| in_touch.contains(addr));
        let returned = before.out_of_touch().filter(|addr| in_touch.contains(addr));
        self.since.extend(returned.map(|addr| (addr, now)));
    }

    /// Returns the number of nodes of which not all others may know yet.
    pub(crate) fn count(&mut self, now: Instant) -> usize {
        self.since.retain(|_, since| now.saturating_duration_since(*since) < RETURN_TIME);
        self.since.len()
    }
}
