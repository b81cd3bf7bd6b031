//! The backpressure in force for each incarnation of an upstream.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use quarantine::{Start, UnixMs};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::limit::Limit;
use crate::retry_after::Backoff;
use crate::{Field, Fleet, PerKs, Signals};

/// Longest retry delay given to a caller whose request no upstream may get now.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of incarnations of upstreams tracked; the least recently updated one is evicted.
const MAX_TRACKED_UPSTREAMS: usize = 4_096;

/// How long an upstream counts as leaving after it said so. Where nothing distinguishes a restarted
/// process from the earlier one, it gets requests again after this time at the latest.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// The same point in time on a node's two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Reading of the monotonic clock.
    pub at: Instant,
    /// Reading of the wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: UnixMs,
}

/// A change of an upstream's backpressure, caused by a response or by a peer's notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream limits the request rate from all nodes together to this, in requests per 1,000
    /// seconds.
    Limited(PerKs),
    /// The upstream has no limit any more.
    Unlimited,
    /// The upstream is about to leave.
    Leaving,
    /// The upstream is no longer leaving: its process has restarted.
    Staying,
    /// The upstream asked this node to send it nothing for this long.
    Resting(Duration),
    /// The upstream has responded to a request sent after its backoff.
    Rested,
}

/// One statement of an upstream about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Statement {
    /// Request rate that it accepts from all nodes together, in requests per 1,000 seconds; `None`
    /// when it no longer states a limit.
    Limit(Option<PerKs>),
    /// Whether it is about to leave.
    Leaving(bool),
}

/// A statement of an upstream, as nodes pass it on to each other. Of two statements of the same
/// kind the later one counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The incarnation of the upstream.
    pub start: Start,
    /// When it made the statement, in milliseconds since the Unix epoch, by the clock of the node
    /// that received it.
    #[serde(rename = "said_unix_ms")]
    pub stated_unix_ms: UnixMs,
    /// The statement.
    #[serde(rename = "word")]
    pub statement: Statement,
}

impl Notice {
    /// Returns true when both notices are about the same incarnation and the same kind of
    /// statement, so that only the later one counts.
    pub fn replaces(&self, other: &Notice) -> bool {
        let is_same =
            std::mem::discriminant(&self.statement) == std::mem::discriminant(&other.statement);
        self.start == other.start && is_same
    }
}

/// A notice to send to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewNotice {
    /// The notice.
    pub notice: Notice,
    /// True for a change, which is sent at once; false for a repetition of what was already sent.
    pub is_change: bool,
}

/// The backpressure in force for one upstream, for the node's status output.
#[derive(Clone, Debug, Serialize)]
pub struct BackpressureStatus {
    /// Limit on the request rate from all nodes together, in requests per 1,000 seconds.
    pub limit_per_ks: Option<PerKs>,
    /// This node's share of the limit, in requests per second; 0 without a limit.
    pub share_per_s: f64,
    /// Whether the upstream is leaving; it gets no requests then.
    pub leaving: bool,
    /// Time until the backoff that the upstream asked this node for ends, in milliseconds; 0
    /// without one.
    pub rest_ms: u64,
}

/// Whether an upstream is leaving.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    is_leaving: bool,
    stated_unix_ms: UnixMs,
    received_at: Instant,
}

#[derive(Clone, Debug)]
struct Entry {
    /// When this node last received a signal or a notice.
    received_at: Instant,
    limit: Option<Limit>,
    leaving: Option<Leaving>,
    backoff: Option<Backoff>,
}

impl Entry {
    fn limit(&mut self, now: Instant) -> &mut Limit {
        self.limit.get_or_insert_with(|| Limit::new(now))
    }

    fn is_leaving(&self, now: Instant) -> bool {
        let in_force =
            |leaving: &Leaving| leaving.is_leaving && now < leaving.received_at + LEAVING_TTL;
        self.leaving.as_ref().is_some_and(in_force)
    }

    /// Records whether the upstream is leaving; returns true when that is a change.
    fn set_leaving(&mut self, is_leaving: bool, stated_unix_ms: UnixMs, now: Instant) -> bool {
        let is_change = self.is_leaving(now) != is_leaving;
        self.leaving = Some(Leaving { is_leaving, stated_unix_ms, received_at: now });
        is_change
    }

    /// Drops the expired limit, leaving state and backoff; returns true when any is left.
    fn expire(&mut self, now: Instant) -> bool {
        self.limit.take_if(|limit| limit.has_expired(now));
        self.leaving.take_if(|leaving| now >= leaving.received_at + LEAVING_TTL);
        self.backoff.take_if(|backoff| backoff.has_expired(now));
        self.limit.is_some() || self.leaving.is_some() || self.backoff.is_some()
    }
}

/// The backpressure in force for the upstreams of one node.
#[derive(Clone, Debug, Default)]
pub struct Backpressure {
    entries: HashMap<Start, Entry>,
    new_notices: Vec<NewNotice>,
    /// Seed of this node's backoff jitter.
    node_seed: u64,
    /// Whether this node's shares of the limits have to be recomputed.
    shares_outdated: bool,
}

impl Backpressure {
    /// Creates an empty instance. `node_seed` selects the node's backoff jitter and should differ
    /// between nodes.
    pub fn with_node_seed(node_seed: u64) -> Backpressure {
        Backpressure { node_seed, ..Backpressure::default() }
    }

    /// Returns true when no upstream is tracked. Expired backpressure counts until
    /// [`Backpressure::expire`] is called.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies the signals of a response of `start` to a request sent at `request_sent_at`; `None`
    /// for responses that need not carry all signals, such as those to probes. Returns the changes.
    ///
    /// A response without a limit ends the limit only if its request was sent after the limit was
    /// received, since responses overtake each other. A response that does not say that the
    /// upstream is leaving does not revoke an earlier one that did.
    pub fn apply_signals(
        &mut self,
        start: Start,
        signals: &Signals,
        request_sent_at: Option<Instant>,
        now: Moment,
    ) -> Vec<Change> {
        let limit = self.apply_limit(start, signals.limit, request_sent_at, now);
        let leaving = match signals.leaving {
            Field::Value(true) => self.record_leaving(start, true, now),
            Field::Value(false) | Field::Absent | Field::Invalid => None,
        };
        let backoff = self.apply_backoff(start, signals.backoff, request_sent_at, now.at);
        limit.into_iter().chain(leaving).chain(backoff).collect()
    }

    fn apply_backoff(
        &mut self,
        start: Start,
        field: Field<Duration>,
        request_sent_at: Option<Instant>,
        now: Instant,
    ) -> Option<Change> {
        let Some(requested) = Backoff::requested(field) else {
            let entry = self.entries.get_mut(&start)?;
            let was_over =
                |backoff: &mut Backoff| request_sent_at.is_some_and(|at| backoff.is_over(at));
            return entry.backoff.take_if(was_over).map(|_| Change::Rested);
        };
        let backoff = Backoff::new(requested, self.jitter(start), now);
        match &mut self.entry(start, now).backoff {
            Some(previous) => {
                let was_over = previous.is_over(now);
                previous.extend(backoff);
                was_over.then_some(Change::Resting(requested))
            }
            none => {
                *none = Some(backoff);
                Some(Change::Resting(requested))
            }
        }
    }

    /// Returns this node's backoff jitter for an upstream, from 0 to 1.
    fn jitter(&self, start: Start) -> f64 {
        let mut hasher = SipHasher13::new_with_keys(self.node_seed, 0);
        start.hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    fn apply_limit(
        &mut self,
        start: Start,
        field: Field<PerKs>,
        request_sent_at: Option<Instant>,
        now: Moment,
    ) -> Option<Change> {
        let previous = self.entries.get(&start).and_then(|entry| entry.limit.as_ref());
        let per_ks = match (field, previous) {
            (Field::Value(per_ks), _) => Some(per_ks),
            (Field::Absent, Some(previous))
                if request_sent_at.is_some_and(|at| at > previous.received_at()) =>
            {
                None
            }
            (Field::Absent | Field::Invalid, _) => return None,
        };
        let limit = self.entry(start, now.at).limit(now.at);
        let update = limit.update(per_ks, now);
        let stated_unix_ms = limit.stated_unix_ms();
        if update.must_announce {
            let notice = Notice { start, stated_unix_ms, statement: Statement::Limit(per_ks) };
            self.new_notices.push(NewNotice { notice, is_change: update.is_change });
        }
        self.limit_changed(update.is_change, per_ks)
    }

    fn limit_changed(&mut self, is_change: bool, per_ks: Option<PerKs>) -> Option<Change> {
        self.shares_outdated |= is_change;
        is_change.then(|| per_ks.map_or(Change::Unlimited, Change::Limited))
    }

    /// Records that an upstream is leaving, or that it has restarted and stays, and queues a notice
    /// when that is a change.
    fn record_leaving(&mut self, start: Start, is_leaving: bool, now: Moment) -> Option<Change> {
        let entry = self.entry(start, now.at);
        let last_unix_ms = entry.leaving.map_or(0, |leaving| leaving.stated_unix_ms);
        let stated_unix_ms = now.unix_ms.max(last_unix_ms.saturating_add(1));
        let is_change = entry.set_leaving(is_leaving, stated_unix_ms, now.at);
        if is_change {
            let notice =
                Notice { start, stated_unix_ms, statement: Statement::Leaving(is_leaving) };
            self.new_notices.push(NewNotice { notice, is_change });
        }
        is_change.then_some(if is_leaving { Change::Leaving } else { Change::Staying })
    }

    /// Ends the leaving state of an upstream after a response, to a request sent at
    /// `request_sent_at`, that did not say that the upstream is leaving; has no effect when the
    /// leaving state was received after that request was sent.
    ///
    /// For use only where nothing distinguishes a restarted process from the earlier one, and where
    /// every response of a leaving upstream says that it is leaving.
    pub fn clear_leaving(
        &mut self,
        start: Start,
        request_sent_at: Instant,
        now: Moment,
    ) -> Option<Change> {
        let entry = self.entries.get(&start)?;
        let is_earlier = |leaving: &Leaving| leaving.received_at < request_sent_at;
        match entry.is_leaving(now.at) && entry.leaving.as_ref().is_some_and(is_earlier) {
            true => self.record_leaving(start, false, now),
            false => None,
        }
    }

    /// Applies a notice of a peer; returns `None` when it changes nothing.
    pub fn apply_notice(&mut self, notice: &Notice, now: Moment) -> Option<Change> {
        let Notice { start, stated_unix_ms, statement } = *notice;
        let entry = self.entry(start, now.at);
        let is_change = match statement {
            Statement::Limit(per_ks) => {
                entry.limit(now.at).apply_notice(per_ks, stated_unix_ms, now.at)?
            }
            Statement::Leaving(_)
                if entry.leaving.is_some_and(|e| e.stated_unix_ms >= stated_unix_ms) =>
            {
                return None
            }
            Statement::Leaving(is_leaving) => entry.set_leaving(is_leaving, stated_unix_ms, now.at),
        };
        self.new_notices.push(NewNotice { notice: notice.clone(), is_change });
        match statement {
            Statement::Limit(per_ks) => self.limit_changed(is_change, per_ks),
            Statement::Leaving(true) => is_change.then_some(Change::Leaving),
            Statement::Leaving(false) => is_change.then_some(Change::Staying),
        }
    }

    fn entry(&mut self, start: Start, now: Instant) -> &mut Entry {
        if !self.entries.contains_key(&start) && self.entries.len() >= MAX_TRACKED_UPSTREAMS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.received_at);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.entries.remove(&start);
            }
        }
        let fresh = || Entry { received_at: now, limit: None, leaving: None, backoff: None };
        let entry = self.entries.entry(start).or_insert_with(fresh);
        entry.received_at = now;
        entry
    }

    /// Removes and returns the notices to send to peers.
    pub fn take_new_notices(&mut self) -> Vec<NewNotice> {
        std::mem::take(&mut self.new_notices)
    }

    /// Marks the shares of the limits as outdated, since the set of nodes that may send has
    /// changed.
    pub fn nodes_changed(&mut self) {
        self.shares_outdated = !self.entries.is_empty();
    }

    /// Returns true when [`Backpressure::update_shares`] has to be called before the next request
    /// is sent.
    pub fn shares_outdated(&self) -> bool {
        self.shares_outdated
    }

    /// Recomputes this node's share of each limit.
    pub fn update_shares(&mut self, fleet: &Fleet<'_>, now: Instant) {
        self.shares_outdated = false;
        for (start, entry) in &mut self.entries {
            if let Some(limit) = &mut entry.limit {
                limit.update_share(|per_ks| fleet.share(*start, per_ks), now);
            }
        }
    }

    /// Returns true when an upstream may get a request from this node now.
    pub fn may_send(&self, start: Start, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&start) else { return true };
        !entry.is_leaving(now)
            && entry.limit.as_ref().is_none_or(|limit| limit.allows(now))
            && entry.backoff.is_none_or(|backoff| backoff.allows(now))
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, start: Start, now: Instant) {
        let Some(entry) = self.entries.get_mut(&start) else { return };
        if let Some(limit) = &mut entry.limit {
            limit.record_send(now);
        }
        if let Some(backoff) = &mut entry.backoff {
            backoff.record_send(now);
        }
    }

    /// Returns the time until the first of `starts`, none of which may get a request now, may get
    /// one from this node; `None` when that is not known for any of them.
    ///
    /// The result is at most [`MAX_RETRY_AFTER`], since other nodes may be allowed to send earlier.
    pub fn retry_after(
        &self,
        starts: impl IntoIterator<Item = Start>,
        now: Instant,
    ) -> Option<Duration> {
        let available_at =
            starts.into_iter().filter_map(|start| self.available_at(start, now)).min()?;
        Some(available_at.saturating_duration_since(now).min(MAX_RETRY_AFTER))
    }

    /// Returns when an upstream that may not get a request now may get one from this node; `None`
    /// when that is not known.
    pub fn available_at(&self, start: Start, now: Instant) -> Option<Instant> {
        let entry = self.entries.get(&start).filter(|entry| !entry.is_leaving(now))?;
        let limit = entry.limit.as_ref().filter(|limit| !limit.allows(now));
        let backoff_ends_at = entry.backoff.map(|backoff| backoff.until());
        match limit {
            Some(limit) => Some(limit.allows_at(now)?.max(backoff_ends_at.unwrap_or(now))),
            None => backoff_ends_at,
        }
    }

    /// Returns true while an upstream counts as leaving.
    pub fn is_leaving(&self, start: Start, now: Instant) -> bool {
        self.entries.get(&start).is_some_and(|entry| entry.is_leaving(now))
    }

    /// Drops expired backpressure.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expire(now));
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited_count(&self, now: Instant) -> usize {
        let limits = self.entries.values().filter_map(|entry| entry.limit.as_ref());
        limits.filter(|limit| limit.current(now).is_some()).count()
    }

    /// Returns the number of upstreams that are leaving.
    pub fn leaving_count(&self, now: Instant) -> usize {
        self.entries.values().filter(|entry| entry.is_leaving(now)).count()
    }

    /// Returns the number of upstreams that this node sends nothing because they asked for a
    /// backoff.
    pub fn backoff_count(&self, now: Instant) -> usize {
        let backoffs = self.entries.values().filter_map(|entry| entry.backoff.as_ref());
        backoffs.filter(|backoff| !backoff.is_over(now)).count()
    }

    /// Returns the backpressure in force for an upstream, or `None` if there is none.
    pub fn status(&self, start: Start, now: Instant) -> Option<BackpressureStatus> {
        let entry = self.entries.get(&start)?;
        let limit = entry.limit.as_ref().filter(|limit| limit.current(now).is_some());
        let status = BackpressureStatus {
            limit_per_ks: limit.and_then(|limit| limit.current(now)),
            share_per_s: limit.map_or(0.0, Limit::share_per_s),
            leaving: entry.is_leaving(now),
            rest_ms: entry.backoff.map_or(0, |backoff| {
                backoff.until().saturating_duration_since(now).as_millis() as u64
            }),
        };
        (limit.is_some() || status.leaving || status.rest_ms > 0).then_some(status)
    }
}

#[cfg(test)]
mod tests;
