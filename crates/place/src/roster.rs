//! Which upstreams there are, through outages of the store that lists them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Incarnation, UpstreamId};

/// Why an upstream is dropped that has started again under its id.
pub const RESTARTED: &str = "restarted";

/// An upstream whose entry vanished with an outage of the store is kept for
/// this long after the outage: those that live are listed again by then. The
/// outage may have been of this node's path alone, and the upstream may have
/// left long ago, so the time counts from the last call without an answer.
pub(crate) const KEEP_AFTER_OUTAGE: Duration = Duration::from_millis(2_200);

/// The same when many entries vanish at once and no outage was noticed. An
/// upstream that really left must get no request two seconds later.
const KEEP_AFTER_MASS_LOSS: Duration = Duration::from_millis(1_300);

/// Entries that vanish together, as a share of all, from which on an unnoticed
/// outage is the likelier cause than that many upstreams leaving unannounced.
const MASS_LOSS: f64 = 0.3;

/// How long the newest start of an upstream that was let go is remembered. An entry of an earlier
/// start comes late by seconds at most: a write that got no answer may still be performed then, and
/// a peer that lags by more is not read through.
const REMEMBER_START_FOR: Duration = Duration::from_secs(60);

/// One upstream as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id, which it may keep when it starts again.
    pub id: UpstreamId,
    /// Unix time of this start in milliseconds, by its own clock; 0 when it does not say.
    pub born_ms: u64,
    /// Service.
    pub service: SmolStr,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
}

impl Entry {
    /// Returns which start of which upstream the entry is of.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born_ms: self.born_ms }
    }

    /// Returns true when nothing is new but that the upstream is slow for less long, as was known.
    ///
    /// An upstream that warms up writes that with each heartbeat. Three thousand that start
    /// together would be told of three times, to every node.
    fn only_warmed_up_since(&self, known: &Entry) -> bool {
        let Entry { id, born_ms, service, addr, zone, slots, leaving, cold_for } = self;
        (id, service, addr, zone) == (&known.id, &known.service, &known.addr, &known.zone)
            && (born_ms, slots, leaving) == (&known.born_ms, &known.slots, &known.leaving)
            && *cold_for <= known.cold_for
    }
}

/// What the store tells of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// It is listed, or what is listed about it changed.
    Put(Entry),
    /// It is no longer listed.
    Gone(UpstreamId),
    /// Its entry cannot be used: it names no upstream, and none is kept for it.
    Unusable(UpstreamId),
}

impl Event {
    /// Returns the upstream that the event is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Event::Put(entry) => &entry.id,
            Event::Gone(id) | Event::Unusable(id) => id,
        }
    }
}

/// What follows for the pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It may get requests.
    Put(Entry),
    /// It must not get further requests.
    Drop {
        /// Which one.
        upstream: Incarnation,
        /// Its service.
        service: SmolStr,
        /// Its address.
        addr: SocketAddr,
        /// Why: `leaving`, `unlisted`, `not back` after an outage, `restarted`, `moved`, or
        /// `unusable entry`.
        why: &'static str,
    },
}

/// The upstreams listed, and those that may come back.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<UpstreamId, Entry>,
    /// Upstreams that vanished, and until when they are kept.
    vanished: HashMap<UpstreamId, Instant>,
    /// When the first and the newest call were made that the store did not answer.
    store_away: Option<(Instant, Instant)>,
    /// Since when the store may have been back, and since when it surely is.
    store_back: Option<(Instant, Instant)>,
    /// The newest start of upstreams that were let go, and when that was.
    left: HashMap<UpstreamId, (u64, Instant)>,
    /// Until when entries of upstreams that were let go are taken for older ones.
    doubts_until: Option<Instant>,
    /// Such entries, which count then.
    doubted: HashMap<UpstreamId, Entry>,
}

impl Roster {
    /// Records that the store did not answer a call made at `asked_at`.
    pub fn store_lost(&mut self, asked_at: Instant) {
        let since = self.store_away.map_or(asked_at, |(since, _)| since);
        self.store_away = Some((since, asked_at));
    }

    /// Records that the store answers.
    pub fn store_answers(&mut self, now: Instant) {
        if let Some((_, away_at)) = self.store_away.take() {
            self.store_back = Some((away_at, now));
        }
    }

    /// Records that the store is back from an older copy, and that its list is read next.
    ///
    /// What upstreams wrote since the copy was made, they write again: until they had the time, one
    /// that is missing is kept, and the entry of one that was let go does not bring it back.
    pub fn store_went_back(&mut self, now: Instant) {
        self.store_away = None;
        self.store_back = Some((now, now));
        self.doubts_until = Some(now + KEEP_AFTER_OUTAGE);
    }

    /// Forgets that the store did not answer; the next call tells.
    pub fn store_unknown(&mut self) {
        self.store_away = None;
    }

    /// Returns true when the store did not answer the newest call.
    pub fn store_is_away(&self) -> bool {
        self.store_away.is_some()
    }

    /// Returns for how long the store has not answered.
    pub fn store_away_for(&self, now: Instant) -> Duration {
        self.store_away.map_or(Duration::ZERO, |(since, _)| now.saturating_duration_since(since))
    }

    /// Returns how many upstreams are listed or kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when no upstream is listed or kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the upstreams held that `listed` does not hold, and forgets entries whose time was to
    /// come.
    fn not_in(&mut self, listed: &HashSet<&UpstreamId>) -> Vec<UpstreamId> {
        self.doubted.retain(|id, _| listed.contains(id));
        self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Takes the whole list, as one event for each row: what it does not hold is no longer listed.
    pub fn whole(&mut self, mut rows: Vec<Event>, now: Instant) -> Vec<Change> {
        let listed: HashSet<&UpstreamId> = rows.iter().map(Event::id).collect();
        let gone = self.not_in(&listed);
        rows.extend(gone.into_iter().map(Event::Gone));
        self.apply(rows, now)
    }

    /// Returns the upstreams that are listed or kept.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Takes the list as another node holds it: that node has decided what is kept.
    pub fn adopt(&mut self, listed: Vec<Entry>, now: Instant) -> Vec<Change> {
        let gone = self.not_in(&listed.iter().map(|entry| &entry.id).collect());
        let events = gone.into_iter().map(Event::Gone).chain(listed.into_iter().map(Event::Put));
        events.flat_map(|event| self.take(event, None, now)).collect()
    }

    /// Takes changes that another node has decided on.
    pub fn adopt_changes(&mut self, events: Vec<Event>, now: Instant) -> Vec<Change> {
        events.into_iter().flat_map(|event| self.take(event, None, now)).collect()
    }

    /// Takes what changed.
    pub fn apply(&mut self, events: Vec<Event>, now: Instant) -> Vec<Change> {
        let gone = events.iter().filter(|event| matches!(event, Event::Gone(_))).count();
        let mass_loss = gone >= 3 && gone as f64 >= MASS_LOSS * self.entries.len() as f64;
        let keep_until = match self.store_back {
            // Many are missing: most likely none has had the time to be listed again.
            Some((_, surely)) if mass_loss && now < surely + KEEP_AFTER_OUTAGE => {
                Some(surely + KEEP_AFTER_OUTAGE)
            }
            Some((may_be, _)) if now < may_be + KEEP_AFTER_OUTAGE => {
                Some(may_be + KEEP_AFTER_OUTAGE)
            }
            _ if mass_loss => Some(now + KEEP_AFTER_MASS_LOSS),
            _ => None,
        };
        events.into_iter().flat_map(|event| self.take(event, keep_until, now)).collect()
    }

    fn take(&mut self, event: Event, keep_until: Option<Instant>, now: Instant) -> Vec<Change> {
        self.doubted.remove(event.id());
        match event {
            Event::Put(entry) if self.is_of_earlier_start(&entry) => Vec::new(),
            Event::Put(entry) if !entry.leaving && self.is_doubted(&entry, now) => {
                self.doubted.insert(entry.id.clone(), entry);
                Vec::new()
            }
            Event::Put(entry) if entry.leaving => {
                let dropped = self.drop(&entry.id, "leaving", now);
                self.left.insert(entry.id, (entry.born_ms, now));
                dropped.into_iter().collect()
            }
            Event::Put(entry) => self.put(entry, now),
            Event::Gone(id) => match keep_until {
                Some(until) if self.entries.contains_key(&id) => {
                    self.vanished.entry(id).or_insert(until);
                    Vec::new()
                }
                _ => self.drop(&id, "unlisted", now).into_iter().collect(),
            },
            Event::Unusable(id) => self.drop(&id, "unusable entry", now).into_iter().collect(),
        }
    }

    /// Returns true when a later start of the upstream is known.
    ///
    /// A write that got no answer may be performed seconds later, and a peer's list may be older
    /// than what this node has read. Taken for news, such an entry would have requests sent to an
    /// upstream that does not run any more, or keep them from the one that runs.
    fn is_of_earlier_start(&self, entry: &Entry) -> bool {
        let held = self.entries.get(&entry.id).map(|held| held.born_ms);
        let left = self.left.get(&entry.id).map(|(born_ms, _)| *born_ms);
        held.max(left).is_some_and(|newest| newest > entry.born_ms)
    }

    /// Returns true for the entry of an upstream that was let go, while the store may list what was
    /// written before that.
    fn is_doubted(&self, entry: &Entry, now: Instant) -> bool {
        let is_back = self.doubts_until.is_some_and(|until| now < until);
        let was_let_go = |(born_ms, _): &(u64, Instant)| *born_ms == entry.born_ms;
        is_back
            && !self.entries.contains_key(&entry.id)
            && self.left.get(&entry.id).is_some_and(was_let_go)
    }

    fn put(&mut self, entry: Entry, now: Instant) -> Vec<Change> {
        self.vanished.remove(&entry.id);
        let replaced = self.entries.get(&entry.id).and_then(|held| match () {
            () if held.born_ms != entry.born_ms => Some(RESTARTED),
            () if (&held.service, held.addr) != (&entry.service, entry.addr) => Some("moved"),
            () => None,
        });
        let mut changes: Vec<Change> =
            replaced.and_then(|why| self.drop(&entry.id, why, now)).into_iter().collect();
        let known = self.entries.insert(entry.id.clone(), entry.clone());
        if known.is_none_or(|known| !entry.only_warmed_up_since(&known)) {
            changes.push(Change::Put(entry));
        }
        changes
    }

    fn drop(&mut self, id: &str, why: &'static str, now: Instant) -> Option<Change> {
        self.vanished.remove(id);
        let entry = self.entries.remove(id)?;
        let upstream = entry.incarnation();
        self.left.insert(entry.id, (entry.born_ms, now));
        Some(Change::Drop { upstream, service: entry.service, addr: entry.addr, why })
    }

    /// Drops the upstreams that were kept and are still not listed, and takes back those that were let
    /// go and are still listed after the store went back.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let due: Vec<UpstreamId> = self
            .vanished
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        self.left.retain(|_, (_, at)| now.saturating_duration_since(*at) < REMEMBER_START_FOR);
        let dropped = due.iter().filter_map(|id| self.drop(id, "not back", now));
        let mut changes: Vec<Change> = dropped.collect();
        if self.doubts_until.take_if(|until| *until <= now).is_some() {
            let entries = std::mem::take(&mut self.doubted).into_values();
            changes.extend(entries.flat_map(|entry| self.put(entry, now)));
        }
        changes
    }

    /// Returns true while upstreams are kept that are not listed.
    pub fn keeps_unlisted(&self) -> bool {
        !self.vanished.is_empty()
    }
}

#[cfg(test)]
mod tests;
