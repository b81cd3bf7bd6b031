//! Evidence against one request, mergeable so that all nodes converge.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{ContentKey, Start, UnixMs};

/// A request is quarantined after at least this many consecutive crashes and crashed upstreams, or
/// after at least `MIN_QUARANTINE_WAVES_ALONE` consecutive crashes of any number of upstreams.
///
/// When all upstreams of a zone end at once, several of them run copies of a popular request: these
/// count as one in a sequence of crashes, however many upstreams ended. A second crash in the
/// sequence, of a copy sent when the first crash was known, is no such coincidence. Three upstreams
/// are the most that the users accept to lose before the request is kept from the rest. With fewer
/// upstreams, or upstreams that restart under the same key, a third consecutive crash is evidence
/// enough.
const MIN_QUARANTINE_WAVES: u8 = 2;
const MIN_QUARANTINE_CRASHED: usize = 3;
const MIN_QUARANTINE_WAVES_ALONE: u8 = 3;

/// Maximum number of crashed upstreams listed in a finding, more than one request crashes before
/// all nodes quarantine it. If some were left out, a harmless request that ran there too would seem
/// to have crashed them alone.
pub(crate) const MAX_CRASHED: usize = 8;

/// What is known of one request that crashed upstreams.
///
/// Nodes merge findings in any order and any number of times: [`Finding::merge`] takes the least
/// upper bound. Of findings with different epochs only the later counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The key of the request.
    pub content: ContentKey,
    /// Incremented each time the request is cleared; findings of earlier epochs no longer count.
    pub epoch: u32,
    /// Number of consecutive crashes: each of a copy sent when the crash before was known.
    pub waves: u8,
    /// Upstreams that crashed while they ran the request, sorted, at most [`MAX_CRASHED`].
    pub crashed: Vec<Start>,
    /// When the finding expires. A quarantined request may be tried again then.
    pub until_unix_ms: UnixMs,
}

impl Finding {
    /// Returns a finding without crashes, in the first epoch.
    pub(crate) fn empty(content: ContentKey) -> Finding {
        Finding { content, epoch: 0, waves: 0, crashed: Vec::new(), until_unix_ms: 0 }
    }

    /// Returns true when the crashes are enough to keep the request from upstreams.
    pub fn is_quarantined(&self) -> bool {
        let on_several =
            self.waves >= MIN_QUARANTINE_WAVES && self.crashed.len() >= MIN_QUARANTINE_CRASHED;
        on_several || self.waves >= MIN_QUARANTINE_WAVES_ALONE
    }

    /// Returns true when this request is quarantined, crashed every upstream that crashed under
    /// `other`, and has the stronger evidence against it.
    ///
    /// Two nodes may send a harmless request and a crashing one to the same upstream, by chance and
    /// more than once. There is then no evidence against the harmless request alone. If two
    /// requests share all their crashes, the order of their keys decides which of them has the
    /// stronger evidence. The other one runs once more: a response, or a crash that makes its
    /// evidence the stronger, tells which of them is the cause.
    pub(crate) fn explains(&self, other: &Finding) -> bool {
        let evidence = |finding: &Finding| (finding.waves, finding.crashed.len(), finding.content);
        self.is_quarantined()
            && evidence(self) > evidence(other)
            && other.crashed.iter().all(|start| self.crashed.contains(start))
    }

    /// Returns the finding of the same request after it was cleared.
    pub fn cleared(&self, until_unix_ms: UnixMs) -> Finding {
        let epoch = self.epoch.saturating_add(1);
        Finding { epoch, until_unix_ms, ..Finding::empty(self.content) }
    }

    /// Returns true when the request was cleared and has not crashed an upstream since.
    pub fn is_clear(&self) -> bool {
        self.waves == 0
    }

    /// Returns true when [`crate::Quarantine`] can have produced this finding.
    pub fn is_valid(&self) -> bool {
        let is_sorted = self.crashed.windows(2).all(|pair| pair[0] < pair[1]);
        let is_consistent = self.crashed.is_empty() == (self.waves == 0);
        is_sorted && is_consistent && self.crashed.len() <= MAX_CRASHED
    }

    /// Adds a crashed upstream.
    pub(crate) fn add_crashed(&mut self, start: Start) {
        if let Err(index) = self.crashed.binary_search(&start) {
            self.crashed.insert(index, start);
            self.crashed.truncate(MAX_CRASHED);
        }
    }

    /// Merges another node's finding of the same request; returns true when that changed this one.
    pub(crate) fn merge(&mut self, other: &Finding) -> bool {
        let before = (self.epoch, self.waves, self.crashed.clone(), self.until_unix_ms);
        match self.epoch.cmp(&other.epoch) {
            std::cmp::Ordering::Greater => return false,
            std::cmp::Ordering::Less => *self = other.clone(),
            std::cmp::Ordering::Equal => {
                self.waves = self.waves.max(other.waves);
                other.crashed.iter().for_each(|start| self.add_crashed(*start));
                self.until_unix_ms = self.until_unix_ms.max(other.until_unix_ms);
            }
        }
        before != (self.epoch, self.waves, self.crashed.clone(), self.until_unix_ms)
    }

    /// Returns a digest that is equal on nodes that know the same crashes of the request.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u128(self.content.as_u128());
        hasher.write_u32(self.epoch);
        hasher.write_u8(self.waves);
        self.crashed.iter().for_each(|start| hasher.write_u64(start.as_u64()));
        hasher.finish()
    }
}

#[cfg(test)]
mod tests;
