//! What stands of what upstreams have stated, by their starts.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use quarantine::{Start, UnixMs};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::limit::Limit;
use crate::rest::Rest;
use crate::{Field, Fleet, PerKs, Stated};

/// Longest time to come back that a caller is told where no upstream may get its request.
pub const OPENS_IN_MOST: Duration = Duration::from_secs(5);

/// Starts that are kept at most; the one that was heard of longest ago gives way.
const KEPT_MOST: usize = 4_096;

/// For how long the word stands that an upstream leaves. A process that starts again where nothing
/// tells it from the earlier one gets requests again after that at the latest.
const LEAVING_STANDS_FOR: Duration = Duration::from_secs(600);

/// A moment by both clocks of a node.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// By the one that never steps.
    pub at: Instant,
    /// By the time of day.
    pub unix_ms: UnixMs,
}

/// What an answer or a peer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream takes so much, from all nodes together.
    Limited(PerKs),
    /// It takes as much as others.
    Unlimited,
    /// It leaves.
    Leaving,
    /// It leaves no longer: it has started again.
    Staying,
    /// It wants nothing from this node for so long.
    Resting(Duration),
    /// It has answered after its rest.
    Rested,
}

/// One thing that an upstream states about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Requests that it takes from all nodes together; `None` when it names no limit any more.
    Limit(Option<PerKs>),
    /// Whether it leaves.
    Leaving(bool),
}

/// What nodes tell each other of an upstream. Of two words on one thing the one said later counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The upstream.
    pub start: Start,
    /// When it said so, by the clock of the node that it told.
    pub said_unix_ms: UnixMs,
    /// What it said.
    pub word: Word,
}

impl Notice {
    /// Returns true when both are about the same thing.
    pub fn replaces(&self, other: &Notice) -> bool {
        let is_same = std::mem::discriminant(&self.word) == std::mem::discriminant(&other.word);
        self.start == other.start && is_same
    }
}

/// A notice to tell peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// What to tell.
    pub notice: Notice,
    /// Whether it is to be told at once, or only repeats what was told.
    pub is_change: bool,
}

/// What stands for one upstream, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Noted {
    /// Requests that it takes from all nodes together in a thousand seconds.
    pub limit_per_ks: Option<PerKs>,
    /// Requests that this node may send it in a second, if it is limited.
    pub share_per_s: f64,
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it gets nothing from this node, in milliseconds.
    pub rest_ms: u64,
}

/// Whether an upstream leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    leaves: bool,
    said_unix_ms: UnixMs,
    heard_at: Instant,
}

#[derive(Clone, Debug)]
struct Entry {
    heard_at: Instant,
    limit: Option<Limit>,
    leaving: Option<Leaving>,
    rest: Option<Rest>,
}

impl Entry {
    fn limit(&mut self, now: Instant) -> &mut Limit {
        self.limit.get_or_insert_with(|| Limit::new(now))
    }

    fn leaves(&self, now: Instant) -> bool {
        let stands = |said: &Leaving| said.leaves && now < said.heard_at + LEAVING_STANDS_FOR;
        self.leaving.as_ref().is_some_and(stands)
    }

    /// Takes whether it leaves; true when that is a change.
    fn set_leaving(&mut self, leaves: bool, said_unix_ms: UnixMs, now: Instant) -> bool {
        let is_change = self.leaves(now) != leaves;
        self.leaving = Some(Leaving { leaves, said_unix_ms, heard_at: now });
        is_change
    }

    /// Drops what does not stand any more; returns true when something does.
    fn expire(&mut self, now: Instant) -> bool {
        self.limit.take_if(|limit| limit.has_lapsed(now));
        self.leaving.take_if(|said| now >= said.heard_at + LEAVING_STANDS_FOR);
        self.rest.take_if(|rest| rest.has_lapsed(now));
        self.limit.is_some() || self.leaving.is_some() || self.rest.is_some()
    }
}

/// What stands for the upstreams of a node.
#[derive(Clone, Debug, Default)]
pub struct Board {
    entries: HashMap<Start, Entry>,
    news: Vec<News>,
    /// A number of the node's own.
    node_seed: u64,
    /// Whether shares have to be dealt out anew.
    is_undealt: bool,
}

impl Board {
    /// Creates the board of the node with this number, as good as no other's.
    pub fn of_node(node_seed: u64) -> Board {
        Board { node_seed, ..Board::default() }
    }

    /// Returns true when nothing stands for any upstream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes what an answer states that `start` made to a request sent at `asked_at`; `None` for answers
    /// that need not state everything, such as those to probes. Returns what that changes.
    ///
    /// One that names no limit ends it only if it was asked for after the limit was heard of: answers
    /// overtake each other. One that does not say that its upstream leaves takes nothing back.
    pub fn hear(
        &mut self,
        start: Start,
        stated: &Stated,
        asked_at: Option<Instant>,
        now: Moment,
    ) -> Vec<Change> {
        let limit = self.hear_limit(start, stated.limit, asked_at, now);
        let leaving = match stated.leaving {
            Field::Named(true) => self.say_leaving(start, true, now),
            Field::Named(false) | Field::Absent | Field::Unreadable => None,
        };
        let rest = self.hear_rest(start, stated.rest, asked_at, now.at);
        limit.into_iter().chain(leaving).chain(rest).collect()
    }

    fn hear_rest(
        &mut self,
        start: Start,
        stated: Field<Duration>,
        asked_at: Option<Instant>,
        now: Instant,
    ) -> Option<Change> {
        let Some(asked) = Rest::asked(stated) else {
            let entry = self.entries.get_mut(&start)?;
            let was_over = |rest: &mut Rest| asked_at.is_some_and(|at| rest.is_over(at));
            return entry.rest.take_if(was_over).map(|_| Change::Rested);
        };
        let rest = Rest::new(asked, self.place(start), now);
        match &mut self.entry(start, now).rest {
            Some(held) => {
                let was_over = held.is_over(now);
                held.extend(rest);
                was_over.then_some(Change::Resting(asked))
            }
            none => {
                *none = Some(rest);
                Some(Change::Resting(asked))
            }
        }
    }

    /// Returns this node's place among those that come back to an upstream, from 0 to 1.
    fn place(&self, start: Start) -> f64 {
        let mut hasher = SipHasher13::new_with_keys(self.node_seed, 0);
        start.hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    fn hear_limit(
        &mut self,
        start: Start,
        stated: Field<PerKs>,
        asked_at: Option<Instant>,
        now: Moment,
    ) -> Option<Change> {
        let held = self.entries.get(&start).and_then(|entry| entry.limit.as_ref());
        let per_ks = match (stated, held) {
            (Field::Named(per_ks), _) => Some(per_ks),
            (Field::Absent, Some(held)) if asked_at.is_some_and(|at| at > held.heard_at()) => None,
            (Field::Absent | Field::Unreadable, _) => return None,
        };
        let limit = self.entry(start, now.at).limit(now.at);
        let said = limit.say(per_ks, now);
        let said_unix_ms = limit.said_unix_ms();
        if said.is_told {
            let notice = Notice { start, said_unix_ms, word: Word::Limit(per_ks) };
            self.news.push(News { notice, is_change: said.is_change });
        }
        self.limit_changed(said.is_change, per_ks)
    }

    fn limit_changed(&mut self, is_change: bool, per_ks: Option<PerKs>) -> Option<Change> {
        self.is_undealt |= is_change;
        is_change.then(|| per_ks.map_or(Change::Unlimited, Change::Limited))
    }

    /// Takes that an upstream leaves, or that it has started again and stays.
    fn say_leaving(&mut self, start: Start, leaves: bool, now: Moment) -> Option<Change> {
        let entry = self.entry(start, now.at);
        let said_before = entry.leaving.map_or(0, |said| said.said_unix_ms);
        let said_unix_ms = now.unix_ms.max(said_before.saturating_add(1));
        let is_change = entry.set_leaving(leaves, said_unix_ms, now.at);
        if is_change {
            let notice = Notice { start, said_unix_ms, word: Word::Leaving(leaves) };
            self.news.push(News { notice, is_change });
        }
        is_change.then_some(if leaves { Change::Leaving } else { Change::Staying })
    }

    /// Takes that an upstream did not say that it leaves in an answer asked for at `asked_at`, where a
    /// process that starts again is not told from the earlier one, and every answer of one that leaves
    /// says so.
    pub fn stays(&mut self, start: Start, asked_at: Instant, now: Moment) -> Option<Change> {
        let entry = self.entries.get(&start)?;
        let said_before = |said: &Leaving| said.heard_at < asked_at;
        match entry.leaves(now.at) && entry.leaving.as_ref().is_some_and(said_before) {
            true => self.say_leaving(start, false, now),
            false => None,
        }
    }

    /// Takes what a peer tells; `None` when that changes nothing.
    pub fn hear_peer(&mut self, notice: &Notice, now: Moment) -> Option<Change> {
        let Notice { start, said_unix_ms, word } = *notice;
        let entry = self.entry(start, now.at);
        let is_change = match word {
            Word::Limit(per_ks) => entry.limit(now.at).hear_peer(per_ks, said_unix_ms, now.at)?,
            Word::Leaving(_) if entry.leaving.is_some_and(|e| e.said_unix_ms >= said_unix_ms) => {
                return None
            }
            Word::Leaving(leaves) => entry.set_leaving(leaves, said_unix_ms, now.at),
        };
        self.news.push(News { notice: notice.clone(), is_change });
        match word {
            Word::Limit(per_ks) => self.limit_changed(is_change, per_ks),
            Word::Leaving(true) => is_change.then_some(Change::Leaving),
            Word::Leaving(false) => is_change.then_some(Change::Staying),
        }
    }

    fn entry(&mut self, start: Start, now: Instant) -> &mut Entry {
        if !self.entries.contains_key(&start) && self.entries.len() >= KEPT_MOST {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard_at);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.entries.remove(&start);
            }
        }
        let fresh = || Entry { heard_at: now, limit: None, leaving: None, rest: None };
        let entry = self.entries.entry(start).or_insert_with(fresh);
        entry.heard_at = now;
        entry
    }

    /// Returns what peers are to be told.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Has the shares dealt out anew, since other nodes may send now.
    pub fn nodes_changed(&mut self) {
        self.is_undealt = !self.entries.is_empty();
    }

    /// Returns true until [`Board::deal`] is called.
    pub fn is_undealt(&self) -> bool {
        self.is_undealt
    }

    /// Deals out the limits among the nodes of a fleet.
    pub fn deal(&mut self, fleet: &Fleet<'_>, now: Instant) {
        self.is_undealt = false;
        for (start, entry) in &mut self.entries {
            if let Some(limit) = &mut entry.limit {
                limit.deal(|per_ks| fleet.share(*start, per_ks), now);
            }
        }
    }

    /// Returns true when an upstream may get a request from this node now.
    pub fn may_send(&self, start: Start, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&start) else { return true };
        !entry.leaves(now)
            && entry.limit.as_ref().is_none_or(|limit| limit.allows(now))
            && entry.rest.is_none_or(|rest| rest.allows(now))
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, start: Start, now: Instant) {
        let Some(entry) = self.entries.get_mut(&start) else { return };
        if let Some(limit) = &mut entry.limit {
            limit.sent(now);
        }
        if let Some(rest) = &mut entry.rest {
            rest.sent(now);
        }
    }

    /// Returns in which time the first of some upstreams, which get nothing now, may get a request from
    /// this node, as far as that is known. A caller is told no longer time: other nodes may be allowed
    /// more.
    pub fn opens_in(
        &self,
        starts: impl IntoIterator<Item = Start>,
        now: Instant,
    ) -> Option<Duration> {
        let opens_at = starts.into_iter().filter_map(|start| self.opens_at(start, now)).min()?;
        Some(opens_at.saturating_duration_since(now).min(OPENS_IN_MOST))
    }

    /// Returns when an upstream that gets nothing now may get a request from this node, as far as that is
    /// known.
    pub fn opens_at(&self, start: Start, now: Instant) -> Option<Instant> {
        let entry = self.entries.get(&start).filter(|entry| !entry.leaves(now))?;
        let limit = entry.limit.as_ref().filter(|limit| !limit.allows(now));
        let rested_at = entry.rest.map(|rest| rest.until());
        match limit {
            Some(limit) => Some(limit.allows_at(now)?.max(rested_at.unwrap_or(now))),
            None => rested_at,
        }
    }

    /// Returns true while the word stands that an upstream leaves.
    pub fn is_leaving(&self, start: Start, now: Instant) -> bool {
        self.entries.get(&start).is_some_and(|entry| entry.leaves(now))
    }

    /// Drops what does not stand any more.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expire(now));
    }

    /// Returns how many upstreams are limited.
    pub fn limited_count(&self, now: Instant) -> usize {
        let limits = self.entries.values().filter_map(|entry| entry.limit.as_ref());
        limits.filter(|limit| limit.standing(now).is_some()).count()
    }

    /// Returns how many upstreams leave.
    pub fn leaving_count(&self, now: Instant) -> usize {
        self.entries.values().filter(|entry| entry.leaves(now)).count()
    }

    /// Returns how many upstreams get nothing from this node since they asked for rest.
    pub fn resting_count(&self, now: Instant) -> usize {
        let rests = self.entries.values().filter_map(|entry| entry.rest.as_ref());
        rests.filter(|rest| !rest.is_over(now)).count()
    }

    /// Returns what stands for an upstream; `None` when nothing does.
    pub fn noted(&self, start: Start, now: Instant) -> Option<Noted> {
        let entry = self.entries.get(&start)?;
        let limit = entry.limit.as_ref().filter(|limit| limit.standing(now).is_some());
        let noted = Noted {
            limit_per_ks: limit.and_then(|limit| limit.standing(now)),
            share_per_s: limit.map_or(0.0, Limit::share_per_s),
            leaving: entry.leaves(now),
            rest_ms: entry
                .rest
                .map_or(0, |rest| rest.until().saturating_duration_since(now).as_millis() as u64),
        };
        (limit.is_some() || noted.leaving || noted.rest_ms > 0).then_some(noted)
    }
}

#[cfg(test)]
mod tests;
