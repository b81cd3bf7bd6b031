//! Reserves upstreams for requests with several consecutive crashes, so that each runs isolated.
//!
//! When an upstream crashes while two suspected requests are in flight there, nodes resend both at
//! the same moment. Were the upstream chosen for each request separately, both could reach the same
//! upstream again and again; the harmless one would then look just like the crashing one. Nodes
//! that know the same requests and list the same upstreams compute the same reservations without
//! communication.

use std::collections::HashMap;

use crate::{ContentKey, Finding, Start};

/// Upstreams reserved for requests, at most one for each request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservations {
    by_start: HashMap<Start, ContentKey>,
}

impl Reservations {
    /// Reserves for each of `findings` the upstream of `starts` with the highest rendezvous score
    /// among those that are not reserved yet and have not crashed under the request. A request for
    /// which none is left gets no reservation.
    pub(crate) fn assign<'a>(
        findings: impl Iterator<Item = &'a Finding>,
        starts: &[Start],
    ) -> Reservations {
        let mut findings: Vec<&Finding> = findings.collect();
        findings.sort_unstable_by_key(|finding| finding.content);
        let mut reservations = Reservations::default();
        for finding in findings {
            let free = starts.iter().filter(|start| !reservations.by_start.contains_key(start));
            let eligible = free.filter(|start| !finding.crashed.contains(start));
            if let Some(start) =
                eligible.max_by_key(|start| start.rendezvous_score(finding.content))
            {
                reservations.by_start.insert(*start, finding.content);
            }
        }
        reservations
    }

    /// Returns the upstream that is reserved for a request.
    pub fn start_for(&self, content: ContentKey) -> Option<Start> {
        let (start, _) = self.by_start.iter().find(|(_, other)| **other == content)?;
        Some(*start)
    }

    /// Returns true when an upstream is reserved for the given request.
    pub fn is_reserved_for(&self, start: Start, content: ContentKey) -> bool {
        self.by_start.get(&start) == Some(&content)
    }

    /// Returns true when an upstream is reserved for a request other than the given one.
    pub fn is_reserved_for_other(&self, start: Start, content: ContentKey) -> bool {
        self.by_start.get(&start).is_some_and(|other| *other != content)
    }
}

#[cfg(test)]
mod tests;
