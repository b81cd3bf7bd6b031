//! What stands of what upstreams have stated, by their starts.

use std::collections::HashMap;
use std::time::Instant;

use quarantine::Start;
use serde::Serialize;

use crate::{Field, PerKs, Stated};

/// Starts that are kept at most; the one that was heard of longest ago gives way.
const KEPT_MOST: usize = 4_096;

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream takes so much, from all nodes together.
    Limited(PerKs),
    /// It takes as much as others.
    Unlimited,
}

/// What stands for one upstream, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Noted {
    /// Requests that it takes from all nodes together in a thousand seconds.
    pub limit_per_ks: Option<PerKs>,
}

#[derive(Clone, Debug)]
struct Limit {
    per_ks: PerKs,
    /// When this node received the newest answer that names it.
    named_at: Instant,
}

/// What stands for the upstreams of a node.
#[derive(Clone, Debug, Default)]
pub struct Board {
    limits: HashMap<Start, Limit>,
}

impl Board {
    /// Returns true when nothing stands for any upstream.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Takes what an answer states that `start` made to a request sent at `asked_at`; `None` for answers
    /// that need not state everything, such as those to probes.
    ///
    /// One that names no limit ends it only if it was asked for after the limit was named: answers
    /// overtake each other.
    pub fn hear(
        &mut self,
        start: Start,
        stated: &Stated,
        asked_at: Option<Instant>,
        now: Instant,
    ) -> Option<Change> {
        match (stated.limit, self.limits.get_mut(&start)) {
            (Field::Named(per_ks), Some(limit)) => {
                limit.named_at = now;
                let before = std::mem::replace(&mut limit.per_ks, per_ks);
                (before != per_ks).then_some(Change::Limited(per_ks))
            }
            (Field::Named(per_ks), None) => {
                self.make_room();
                self.limits.insert(start, Limit { per_ks, named_at: now });
                Some(Change::Limited(per_ks))
            }
            (Field::Absent, Some(limit)) if asked_at.is_some_and(|at| at > limit.named_at) => {
                self.limits.remove(&start);
                Some(Change::Unlimited)
            }
            (Field::Absent | Field::Unreadable, _) => None,
        }
    }

    fn make_room(&mut self) {
        if self.limits.len() < KEPT_MOST {
            return;
        }
        let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.named_at);
        if let Some(start) = oldest.map(|(start, _)| *start) {
            self.limits.remove(&start);
        }
    }

    /// Returns how many upstreams are limited.
    pub fn limited_count(&self) -> usize {
        self.limits.len()
    }

    /// Returns what stands for an upstream; `None` when nothing does.
    pub fn noted(&self, start: Start) -> Option<Noted> {
        self.limits.get(&start).map(|limit| Noted { limit_per_ks: Some(limit.per_ks) })
    }
}
