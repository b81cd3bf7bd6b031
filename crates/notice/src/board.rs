//! What stands of what upstreams have stated, by their starts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quarantine::{Start, UnixMs};
use serde::{Deserialize, Serialize};

use crate::share::Allowance;
use crate::{Field, PerKs, Stated};

/// Starts that are kept at most; the one that was heard of longest ago gives way.
const KEPT_MOST: usize = 4_096;

/// A limit stands for this long after it was last heard of: by then nobody sends there who could tell
/// that it has ended.
const LIMIT_STANDS_FOR: Duration = Duration::from_secs(30);

/// How often a node that goes on hearing of a limit tells its peers again.
const TOLD_AGAIN_EVERY: Duration = Duration::from_secs(10);

/// How often it tells them of other figures at most.
const TOLD_EVERY: Duration = Duration::from_secs(1);

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
}

/// What nodes tell each other of an upstream. Of two the one that was said later counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The upstream.
    pub start: Start,
    /// When it said so, by the clock of the node that it told.
    pub said_unix_ms: UnixMs,
    /// Requests that it takes from all nodes together; `None` when it names no limit any more.
    pub limit_per_ks: Option<PerKs>,
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
    /// Requests that this node may send it in a second.
    pub share_per_s: f64,
}

#[derive(Clone, Debug)]
struct Limit {
    /// `None` when it has ended: what others said before is no news.
    per_ks: Option<PerKs>,
    said_unix_ms: UnixMs,
    /// When this node last heard of it.
    heard_at: Instant,
    told_at: Option<Instant>,
    allowance: Allowance,
}

impl Limit {
    fn new(now: Moment) -> Limit {
        Limit {
            per_ks: None,
            said_unix_ms: 0,
            heard_at: now.at,
            told_at: None,
            allowance: Allowance::new(now.at),
        }
    }

    /// Returns the limit while it stands.
    fn standing(&self, now: Instant) -> Option<PerKs> {
        self.per_ks.filter(|_| now < self.heard_at + LIMIT_STANDS_FOR)
    }

    /// Takes the upstream's own word. Peers are told of it if `told_every` has passed.
    fn say(&mut self, start: Start, per_ks: Option<PerKs>, now: Moment) -> (bool, Option<News>) {
        let is_change = self.standing(now.at) != per_ks;
        // Later than what others may have said by clocks that are ahead.
        self.said_unix_ms = now.unix_ms.max(self.said_unix_ms.saturating_add(u64::from(is_change)));
        self.per_ks = per_ks;
        self.heard_at = now.at;
        let every = match is_change {
            true => TOLD_EVERY,
            false => TOLD_AGAIN_EVERY,
        };
        let is_due = self.told_at.is_none_or(|at| now.at >= at + every) || per_ks.is_none();
        let is_told = is_due && (is_change || per_ks.is_some());
        let news = is_told.then(|| {
            self.told_at = Some(now.at);
            let said_unix_ms = self.said_unix_ms;
            News { notice: Notice { start, said_unix_ms, limit_per_ks: per_ks }, is_change }
        });
        (is_change, news)
    }
}

/// What stands for the upstreams of a node.
#[derive(Clone, Debug, Default)]
pub struct Board {
    limits: HashMap<Start, Limit>,
    news: Vec<News>,
    /// Whether shares have to be dealt out anew.
    is_undealt: bool,
}

impl Board {
    /// Returns true when nothing stands for any upstream.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Takes what an answer states that `start` made to a request sent at `asked_at`; `None` for answers
    /// that need not state everything, such as those to probes.
    ///
    /// One that names no limit ends it only if it was asked for after the limit was heard of: answers
    /// overtake each other.
    pub fn hear(
        &mut self,
        start: Start,
        stated: &Stated,
        asked_at: Option<Instant>,
        now: Moment,
    ) -> Option<Change> {
        let per_ks = match (stated.limit, self.limits.get(&start)) {
            (Field::Named(per_ks), _) => Some(per_ks),
            (Field::Absent, Some(limit)) if asked_at.is_some_and(|at| at > limit.heard_at) => None,
            (Field::Absent | Field::Unreadable, _) => return None,
        };
        let (is_change, news) = self.entry(start, now).say(start, per_ks, now);
        self.news.extend(news);
        self.changed(is_change, per_ks)
    }

    /// Takes what a peer tells; `None` when that is no news.
    pub fn hear_peer(&mut self, notice: &Notice, now: Moment) -> Option<Change> {
        let limit = self.entry(notice.start, now);
        if notice.said_unix_ms <= limit.said_unix_ms {
            return None;
        }
        let is_change = limit.standing(now.at) != notice.limit_per_ks;
        limit.said_unix_ms = notice.said_unix_ms;
        limit.per_ks = notice.limit_per_ks;
        limit.heard_at = now.at;
        limit.told_at = Some(now.at);
        self.news.push(News { notice: notice.clone(), is_change });
        self.changed(is_change, notice.limit_per_ks)
    }

    fn entry(&mut self, start: Start, now: Moment) -> &mut Limit {
        if !self.limits.contains_key(&start) && self.limits.len() >= KEPT_MOST {
            let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.heard_at);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.limits.remove(&start);
            }
        }
        self.limits.entry(start).or_insert_with(|| Limit::new(now))
    }

    fn changed(&mut self, is_change: bool, per_ks: Option<PerKs>) -> Option<Change> {
        self.is_undealt |= is_change;
        let change = per_ks.map_or(Change::Unlimited, Change::Limited);
        is_change.then_some(change)
    }

    /// Returns what peers are to be told.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Has the shares dealt out anew, since other nodes may send now.
    pub fn nodes_changed(&mut self) {
        self.is_undealt = !self.limits.is_empty();
    }

    /// Returns true until [`Board::deal`] is called.
    pub fn is_undealt(&self) -> bool {
        self.is_undealt
    }

    /// Deals out the limits: `share` returns the requests a second that this node may send to an
    /// upstream with a limit.
    pub fn deal(&mut self, share: impl Fn(Start, PerKs) -> Option<f64>, now: Instant) {
        self.is_undealt = false;
        for (start, limit) in &mut self.limits {
            let share = limit.per_ks.and_then(|per_ks| share(*start, per_ks));
            limit.allowance.set(share, now);
        }
    }

    /// Returns true when an upstream may get a request from this node now.
    pub fn may_send(&self, start: Start, now: Instant) -> bool {
        match self.limits.get(&start) {
            Some(limit) if limit.standing(now).is_some() => limit.allowance.allows(now),
            _ => true,
        }
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, start: Start, now: Instant) {
        match self.limits.get_mut(&start) {
            Some(limit) if limit.standing(now).is_some() => limit.allowance.take(now),
            _ => {}
        }
    }

    /// Drops what does not stand any more.
    pub fn expire(&mut self, now: Instant) {
        self.limits.retain(|_, limit| now < limit.heard_at + LIMIT_STANDS_FOR);
    }

    /// Returns how many upstreams are limited.
    pub fn limited_count(&self) -> usize {
        self.limits.values().filter(|limit| limit.per_ks.is_some()).count()
    }

    /// Returns what stands for an upstream; `None` when nothing does.
    pub fn noted(&self, start: Start) -> Option<Noted> {
        let limit = self.limits.get(&start).filter(|limit| limit.per_ks.is_some())?;
        Some(Noted { limit_per_ks: limit.per_ks, share_per_s: limit.allowance.per_s() })
    }
}

#[cfg(test)]
mod tests;
