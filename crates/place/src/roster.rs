//! The list of known upstreams, kept through outages of the store that lists them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Incarnation, UpstreamId};

/// Value of `reason` in [`Change::Drop`] for an upstream that has restarted under the same id.
pub const RESTARTED: &str = "restarted";

/// Time for which an upstream whose entry vanished in an outage of the store is kept after the
/// outage: upstreams that are alive are listed again by then. The outage may have affected only
/// this node's path to the store, and the upstream may have left long ago, so the time counts from
/// the last request that the store did not answer.
pub(crate) const UNLISTED_TTL_AFTER_OUTAGE: Duration = Duration::from_millis(2_200);

/// The same if many entries vanish at once and no outage was noticed. It is shorter because an
/// upstream that really left must get no request two seconds later.
const UNLISTED_TTL_AFTER_MASS_LOSS: Duration = Duration::from_millis(1_300);

/// Minimum ratio of entries vanishing together to all entries from which an unnoticed outage is
/// more likely than that many upstreams leaving unannounced.
const MIN_MASS_LOSS_RATIO: f64 = 0.3;

/// Time for which the newest start of a dropped upstream is remembered. An entry of an earlier
/// start arrives only seconds late: a write that was not acknowledged may still be performed that
/// late, and a peer that lags by more is not used as a source.
const LAST_START_TTL: Duration = Duration::from_secs(60);

/// One upstream as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id, which may stay the same across restarts.
    pub id: UpstreamId,
    /// Unix time of this start in milliseconds, by the upstream's own clock; 0 if it does not
    /// report it.
    pub born_ms: u64,
    /// Name of the service that it belongs to.
    pub service: SmolStr,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// Whether it has announced that it is about to stop.
    pub leaving: bool,
    /// Remaining time of its warm-up.
    pub cold_for: Duration,
}

impl Entry {
    /// Returns the incarnation that the entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born_ms: self.born_ms }
    }

    /// Returns true if the entry differs from `known` at most by a shorter remaining warm-up.
    ///
    /// An upstream that warms up writes the remaining time with each heartbeat. Without this check,
    /// three thousand upstreams that start together would be announced to every node three times.
    fn only_warmed_up_since(&self, known: &Entry) -> bool {
        let Entry { id, born_ms, service, addr, zone, slots, leaving, cold_for } = self;
        (id, service, addr, zone) == (&known.id, &known.service, &known.addr, &known.zone)
            && (born_ms, slots, leaving) == (&known.born_ms, &known.slots, &known.leaving)
            && *cold_for <= known.cold_for
    }
}

/// A change of the entry of one upstream in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The upstream is listed, or its entry changed.
    Put(Entry),
    /// The upstream is no longer listed.
    Gone(UpstreamId),
    /// The entry of the upstream is invalid. The upstream is dropped, even after an outage.
    Unusable(UpstreamId),
}

impl Event {
    /// Returns the id of the upstream that the event is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Event::Put(entry) => &entry.id,
            Event::Gone(id) | Event::Unusable(id) => id,
        }
    }
}

/// A change to apply to the pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream may get requests.
    Put(Entry),
    /// The upstream must get no further requests.
    Drop {
        /// The dropped incarnation.
        upstream: Incarnation,
        /// Name of its service.
        service: SmolStr,
        /// Address that requests were sent to.
        addr: SocketAddr,
        /// `leaving`, `unlisted`, `not back` after an outage, `restarted`, `moved`, or
        /// `unusable entry`.
        reason: &'static str,
    },
}

/// The listed upstreams, and unlisted ones that are kept because they may be listed again.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<UpstreamId, Entry>,
    /// Upstreams that are no longer listed, and until when each is kept.
    unlisted: HashMap<UpstreamId, Instant>,
    /// When the first and the newest of the requests that the store left unanswered were sent.
    store_unreachable: Option<(Instant, Instant)>,
    /// The earliest and the latest time at which the store can have come back after an outage.
    store_back: Option<(Instant, Instant)>,
    /// The newest start of each dropped upstream, and when it was dropped.
    last_starts: HashMap<UpstreamId, (u64, Instant)>,
    /// Until when entries of dropped upstreams are assumed to be out of date after a store
    /// rollback.
    distrust_until: Option<Instant>,
    /// The newest entry of each such upstream, applied at `distrust_until`.
    pending: HashMap<UpstreamId, Entry>,
}

impl Roster {
    /// Records that the store did not answer a request sent at `requested_at`.
    pub fn store_lost(&mut self, requested_at: Instant) {
        let since = self.store_unreachable.map_or(requested_at, |(since, _)| since);
        self.store_unreachable = Some((since, requested_at));
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now: Instant) {
        if let Some((_, unanswered_at)) = self.store_unreachable.take() {
            self.store_back = Some((unanswered_at, now));
        }
    }

    /// Records that the store was restored from an older copy. Its complete list must be applied
    /// next.
    ///
    /// Upstreams write again what they wrote since the copy was made. Until they have had time for
    /// that, a missing upstream is kept, and the entry of a dropped one does not bring it back.
    pub fn store_rolled_back(&mut self, now: Instant) {
        self.store_unreachable = None;
        self.store_back = Some((now, now));
        self.distrust_until = Some(now + UNLISTED_TTL_AFTER_OUTAGE);
    }

    /// Forgets that the store did not answer; the next request shows whether it does.
    pub fn reset_store_state(&mut self) {
        self.store_unreachable = None;
    }

    /// Returns true if the store did not answer the newest request.
    pub fn store_is_unreachable(&self) -> bool {
        self.store_unreachable.is_some()
    }

    /// Returns the time since the first of the requests that the store left unanswered; zero if it
    /// answers.
    pub fn store_unreachable_for(&self, now: Instant) -> Duration {
        self.store_unreachable
            .map_or(Duration::ZERO, |(since, _)| now.saturating_duration_since(since))
    }

    /// Returns the number of upstreams listed or kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no upstream is listed or kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the ids of the known upstreams that are not in `listed`, and removes the pending
    /// entries that are not in it.
    fn not_in(&mut self, listed: &HashSet<&UpstreamId>) -> Vec<UpstreamId> {
        self.pending.retain(|id, _| listed.contains(id));
        self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Applies the complete list of the store, given as one event for each row. Upstreams without a
    /// row are treated as no longer listed.
    pub fn apply_snapshot(&mut self, mut rows: Vec<Event>, now: Instant) -> Vec<Change> {
        let listed: HashSet<&UpstreamId> = rows.iter().map(Event::id).collect();
        let gone = self.not_in(&listed);
        rows.extend(gone.into_iter().map(Event::Gone));
        self.apply(rows, now)
    }

    /// Returns the upstreams that are listed or kept.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Adopts the complete list of another node, which has already decided which upstreams to keep.
    pub fn adopt_snapshot(&mut self, listed: Vec<Entry>, now: Instant) -> Vec<Change> {
        let gone = self.not_in(&listed.iter().map(|entry| &entry.id).collect());
        let events = gone.into_iter().map(Event::Gone).chain(listed.into_iter().map(Event::Put));
        events.flat_map(|event| self.apply_event(event, None, now)).collect()
    }

    /// Adopts changes from another node, which has already decided which upstreams to keep.
    pub fn adopt_changes(&mut self, events: Vec<Event>, now: Instant) -> Vec<Change> {
        events.into_iter().flat_map(|event| self.apply_event(event, None, now)).collect()
    }

    /// Applies changes read from the store.
    pub fn apply(&mut self, events: Vec<Event>, now: Instant) -> Vec<Change> {
        let gone = events.iter().filter(|event| matches!(event, Event::Gone(_))).count();
        let is_mass_loss =
            gone >= 3 && gone as f64 >= MIN_MASS_LOSS_RATIO * self.entries.len() as f64;
        let keep_until = match self.store_back {
            // With many entries missing, most likely none has had time to be listed again.
            Some((_, latest)) if is_mass_loss && now < latest + UNLISTED_TTL_AFTER_OUTAGE => {
                Some(latest + UNLISTED_TTL_AFTER_OUTAGE)
            }
            Some((earliest, _)) if now < earliest + UNLISTED_TTL_AFTER_OUTAGE => {
                Some(earliest + UNLISTED_TTL_AFTER_OUTAGE)
            }
            _ if is_mass_loss => Some(now + UNLISTED_TTL_AFTER_MASS_LOSS),
            _ => None,
        };
        events.into_iter().flat_map(|event| self.apply_event(event, keep_until, now)).collect()
    }

    fn apply_event(
        &mut self,
        event: Event,
        keep_until: Option<Instant>,
        now: Instant,
    ) -> Vec<Change> {
        self.pending.remove(event.id());
        match event {
            Event::Put(entry) if self.is_of_earlier_start(&entry) => Vec::new(),
            Event::Put(entry) if !entry.leaving && self.is_distrusted(&entry, now) => {
                self.pending.insert(entry.id.clone(), entry);
                Vec::new()
            }
            Event::Put(entry) if entry.leaving => {
                let dropped = self.drop(&entry.id, "leaving", now);
                self.last_starts.insert(entry.id, (entry.born_ms, now));
                dropped.into_iter().collect()
            }
            Event::Put(entry) => self.put(entry, now),
            Event::Gone(id) => match keep_until {
                Some(until) if self.entries.contains_key(&id) => {
                    self.unlisted.entry(id).or_insert(until);
                    Vec::new()
                }
                _ => self.drop(&id, "unlisted", now).into_iter().collect(),
            },
            Event::Unusable(id) => self.drop(&id, "unusable entry", now).into_iter().collect(),
        }
    }

    /// Returns true if a later start of the upstream is known.
    ///
    /// A write that was not acknowledged may be performed seconds later, and the list of a peer may
    /// be older than what this node has read. If such an entry were applied, requests would go to
    /// an incarnation that no longer runs, or would be kept from the one that runs.
    fn is_of_earlier_start(&self, entry: &Entry) -> bool {
        let current = self.entries.get(&entry.id).map(|current| current.born_ms);
        let dropped = self.last_starts.get(&entry.id).map(|(born_ms, _)| *born_ms);
        current.max(dropped).is_some_and(|newest| newest > entry.born_ms)
    }

    /// Returns true if the entry is of a dropped incarnation and the store may still list what was
    /// written before the drop.
    fn is_distrusted(&self, entry: &Entry, now: Instant) -> bool {
        let may_be_outdated = self.distrust_until.is_some_and(|until| now < until);
        let was_dropped = |(born_ms, _): &(u64, Instant)| *born_ms == entry.born_ms;
        may_be_outdated
            && !self.entries.contains_key(&entry.id)
            && self.last_starts.get(&entry.id).is_some_and(was_dropped)
    }

    fn put(&mut self, entry: Entry, now: Instant) -> Vec<Change> {
        self.unlisted.remove(&entry.id);
        let drop_reason = self.entries.get(&entry.id).and_then(|current| match () {
            () if current.born_ms != entry.born_ms => Some(RESTARTED),
            () if (&current.service, current.addr) != (&entry.service, entry.addr) => Some("moved"),
            () => None,
        });
        let mut changes: Vec<Change> =
            drop_reason.and_then(|reason| self.drop(&entry.id, reason, now)).into_iter().collect();
        let known = self.entries.insert(entry.id.clone(), entry.clone());
        if known.is_none_or(|known| !entry.only_warmed_up_since(&known)) {
            changes.push(Change::Put(entry));
        }
        changes
    }

    fn drop(&mut self, id: &str, reason: &'static str, now: Instant) -> Option<Change> {
        self.unlisted.remove(id);
        let entry = self.entries.remove(id)?;
        let upstream = entry.incarnation();
        self.last_starts.insert(entry.id, (entry.born_ms, now));
        Some(Change::Drop { upstream, service: entry.service, addr: entry.addr, reason })
    }

    /// Drops the kept upstreams that have not been listed again in time, and brings back dropped
    /// upstreams that are still listed some time after a store rollback.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let due: Vec<UpstreamId> = self
            .unlisted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        self.last_starts.retain(|_, (_, at)| now.saturating_duration_since(*at) < LAST_START_TTL);
        let dropped = due.iter().filter_map(|id| self.drop(id, "not back", now));
        let mut changes: Vec<Change> = dropped.collect();
        if self.distrust_until.take_if(|until| *until <= now).is_some() {
            let entries = std::mem::take(&mut self.pending).into_values();
            changes.extend(entries.flat_map(|entry| self.put(entry, now)));
        }
        changes
    }

    /// Returns true while unlisted upstreams are kept.
    pub fn keeps_unlisted(&self) -> bool {
        !self.unlisted.is_empty()
    }
}

#[cfg(test)]
mod tests;
