//! What is known of one request, in a form that all nodes come to agree on.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{Content, Start, UnixMs};

/// Crashes in sequence from which on a request is held back, and crashes in all.
///
/// Upstreams of a zone that ends at once take several copies of a popular request with them: that is
/// one crash in sequence, however many upstreams there were. A second one, of a copy that was sent
/// when the first was known, is no coincidence of that kind; three upstreams are as many as the
/// users allow before the request has to be kept from the rest. A third crash in sequence tells as much
/// where there are fewer upstreams, which start again under the same key.
const WAVES_HELD: u8 = 2;
const CRASHED_HELD: usize = 3;
const WAVES_HELD_ALONE: u8 = 3;

/// Crashed upstreams that are told apart: more than one request crashes until all nodes hold it back.
/// Where some are left out, a harmless request that ran there seems to have crashed them alone.
pub(crate) const CRASHED_KEPT: usize = 8;

/// What is known of one request.
///
/// Findings of nodes are merged in any order, each any number of times: [`Finding::merge`] takes the
/// least upper bound. Of two epochs the later counts alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// What it asks.
    pub content: Content,
    /// Raised whenever it is cleared: what was found in an earlier epoch counts no longer.
    pub epoch: u32,
    /// Crashes in sequence: each under a copy that was sent when the one before was known.
    pub waves: u8,
    /// Starts of upstreams that crashed while they ran it, in order, [`CRASHED_KEPT`] at most.
    pub crashed: Vec<Start>,
    /// Until when the finding counts; a request that is held back may be tried again then.
    pub until_unix_ms: UnixMs,
}

impl Finding {
    /// Returns the finding of nothing, in the first epoch.
    pub(crate) fn none(content: Content) -> Finding {
        Finding { content, epoch: 0, waves: 0, crashed: Vec::new(), until_unix_ms: 0 }
    }

    /// Returns true when the request is to be kept from upstreams.
    pub fn is_held(&self) -> bool {
        let on_several = self.waves >= WAVES_HELD && self.crashed.len() >= CRASHED_HELD;
        on_several || self.waves >= WAVES_HELD_ALONE
    }

    /// Returns true when this request, which is held back, crashed each upstream that crashed under
    /// the `other`, and weighs more.
    ///
    /// Two nodes may send a harmless request and the one that crashes upstreams to the same
    /// upstream, by chance and more than once. Nothing then speaks against the harmless one alone.
    /// Of two that share all their crashes one weighs more by its key: the other runs once more, and
    /// its answer, or a crash that makes it the heavier one, tells which of them it is.
    pub(crate) fn explains(&self, other: &Finding) -> bool {
        let weight = |finding: &Finding| (finding.waves, finding.crashed.len(), finding.content);
        self.is_held()
            && weight(self) > weight(other)
            && other.crashed.iter().all(|start| self.crashed.contains(start))
    }

    /// Returns the finding of the same request once it is cleared.
    pub fn cleared(&self, until_unix_ms: UnixMs) -> Finding {
        let epoch = self.epoch.saturating_add(1);
        Finding { epoch, until_unix_ms, ..Finding::none(self.content) }
    }

    /// Returns true when it was cleared and nothing was found since.
    pub fn is_clear(&self) -> bool {
        self.waves == 0
    }

    /// Returns true when it can have been written by [`crate::Ledger`].
    pub fn is_sound(&self) -> bool {
        let in_order = self.crashed.windows(2).all(|pair| pair[0] < pair[1]);
        let as_many = self.crashed.is_empty() == (self.waves == 0);
        in_order && as_many && self.crashed.len() <= CRASHED_KEPT
    }

    /// Adds an upstream that crashed.
    pub(crate) fn add(&mut self, start: Start) {
        if let Err(index) = self.crashed.binary_search(&start) {
            self.crashed.insert(index, start);
            self.crashed.truncate(CRASHED_KEPT);
        }
    }

    /// Takes what another node knows; returns true when that is news.
    pub(crate) fn merge(&mut self, other: &Finding) -> bool {
        let before = (self.epoch, self.waves, self.crashed.clone(), self.until_unix_ms);
        match self.epoch.cmp(&other.epoch) {
            std::cmp::Ordering::Greater => return false,
            std::cmp::Ordering::Less => *self = other.clone(),
            std::cmp::Ordering::Equal => {
                self.waves = self.waves.max(other.waves);
                other.crashed.iter().for_each(|start| self.add(*start));
                self.until_unix_ms = self.until_unix_ms.max(other.until_unix_ms);
            }
        }
        before != (self.epoch, self.waves, self.crashed.clone(), self.until_unix_ms)
    }

    /// Returns a number by which two nodes that know the same can tell that they do.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u128(self.content.as_u128());
        hasher.write_u32(self.epoch);
        hasher.write_u8(self.waves);
        self.crashed.iter().for_each(|start| hasher.write_u64(start.key()));
        hasher.finish()
    }
}

#[cfg(test)]
mod tests;
