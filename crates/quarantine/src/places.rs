//! Where requests that crashed upstreams one after the other run next, each alone.
//!
//! The load pattern: two requests are under way at the upstream that crashes, and nodes send both on
//! at the same moment. By its own preference each may choose the same upstream again, and one more
//! time after that: the harmless one then looks just like the one that crashes upstreams. Nodes that
//! have heard of the same requests and list the same upstreams deal them out alike, without a word.

use std::collections::HashMap;

use crate::{Content, Finding, Start};

/// Upstreams set aside for requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    by_start: HashMap<Start, Content>,
}

impl Places {
    /// Gives each of `findings` the upstream that it prefers among those of `starts` that are not
    /// set aside yet and have not crashed under it; none when all are.
    pub(crate) fn deal<'a>(
        findings: impl Iterator<Item = &'a Finding>,
        starts: &[Start],
    ) -> Places {
        let mut findings: Vec<&Finding> = findings.collect();
        findings.sort_unstable_by_key(|finding| finding.content);
        let mut places = Places::default();
        for finding in findings {
            let free = starts.iter().filter(|start| !places.by_start.contains_key(start));
            let sound = free.filter(|start| !finding.crashed.contains(start));
            if let Some(start) = sound.max_by_key(|start| start.preference(finding.content)) {
                places.by_start.insert(*start, finding.content);
            }
        }
        places
    }

    /// Returns the upstream that is set aside for a request.
    pub fn of(&self, content: Content) -> Option<Start> {
        let (start, _) = self.by_start.iter().find(|(_, other)| **other == content)?;
        Some(*start)
    }

    /// Returns true when an upstream is set aside for this request.
    pub fn is_for(&self, start: Start, content: Content) -> bool {
        self.by_start.get(&start) == Some(&content)
    }

    /// Returns true when an upstream is set aside for another request.
    pub fn is_for_another(&self, start: Start, content: Content) -> bool {
        self.by_start.get(&start).is_some_and(|other| *other != content)
    }
}

#[cfg(test)]
mod tests;
