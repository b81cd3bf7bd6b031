//! The quarantine of one node: requests that crashed upstreams and how each of them is handled.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use crate::finding::Finding;
use crate::{ContentKey, Reservations, Start, UnixMs};

/// How long crashes count against a request that is not quarantined, and how long a clearance is
/// remembered. Some callers retry after half an hour; a harmless request is cleared by its next
/// response.
pub const SUSPICION_TTL: Duration = Duration::from_secs(3_600);

/// How long a request is quarantined: the first time, and at most. The time doubles with each later
/// trial that crashed another upstream. An operator lifts the quarantine of a request that was
/// fixed meanwhile.
const MIN_QUARANTINE_TTL: Duration = Duration::from_secs(3_600);
const MAX_QUARANTINE_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Delay from the quarantine of a request to its first trial. A request that ran at three crashing
/// upstreams by coincidence is served again after this time; any other costs one more upstream.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(120);

/// Up to this many consecutive crashes the trial comes after [`FIRST_TRIAL_DELAY`]. Every crash
/// beyond them was caused by a later trial.
const MAX_WAVES_BEFORE_TRIAL: u8 = 3;

/// How long a request whose quarantine is over is remembered if no caller sends it.
const EXPIRED_QUARANTINE_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Retry delay for a caller whose request has another copy in flight at this node.
const CONCURRENT_COPY_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Retry delay for a caller of a node that leaves the trial of the request to another node.
const OTHER_NODE_TRIAL_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A first crash is announced to other nodes after this delay, unless a response clears the request
/// before. Requests that ran next to the crashing one are resent at once and most are cleared
/// within the delay. Without it, the end of a zone of sixty upstreams has some three hundred
/// requests announced to all nodes and then cleared.
const FIRST_CRASH_ANNOUNCE_DELAY: Duration = Duration::from_millis(400);

/// Upper bound of the additional delay, which differs per request. When many upstreams end at once,
/// nodes receive the first few announcements before they would send their own.
const MAX_ANNOUNCE_JITTER: Duration = Duration::from_millis(300);

/// When a node has detected or received more than this many first crashes within the window, it
/// stops announcing first crashes: many upstreams are ending for a reason other than the requests,
/// and every node has lost different requests with them. Announcing 1,200 requests of 312 nodes one
/// by one kept these nodes busy for minutes. A request that crashes upstreams is still announced
/// after its second crash.
const MAX_FIRST_CRASHES: usize = 8;
const FIRST_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// A first crash that could not be announced within this time after its delay is not announced.
const FIRST_CRASH_ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of responses that are remembered, and for how long. A crash is no evidence against a
/// request that got a response a moment before or after. When half of the upstreams end, copies of
/// popular requests are lost one after the other, and without this rule seven of a hundred requests
/// were refused for a moment. Requests that crash upstreams never get a response.
const MAX_RECENT_RESPONSES: usize = 512;
const RECENT_RESPONSE_TTL: Duration = Duration::from_secs(2);

/// Maximum number of findings sent at once to a node whose digest differs; they fit in three
/// packets.
const MAX_SYNC_FINDINGS: usize = 64;

/// Maximum number of requests on record, about 60 kB. When a client crashes upstreams with ever new
/// requests, those with a single crash are evicted, quarantined ones are not.
const MAX_ENTRIES: usize = 512;

/// How a request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent like any other.
    Allow,
    /// An upstream crashed while it ran the request. The request is sent to an upstream at which no
    /// other suspected request of this node runs, so that a further crash identifies the cause.
    Isolate,
    /// The request is not sent; its caller may retry after the given time.
    Reject(Duration),
}

/// Version of a request's finding at the time when the request was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FindingVersion {
    epoch: u32,
    waves: u8,
}

/// A finding to be announced to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewFinding {
    /// The finding.
    pub finding: Finding,
    /// Whether the finding must reach all nodes, because the request has crashed several upstreams
    /// or had done so before it was cleared. For other findings it is enough to reach most nodes.
    pub must_reach_all: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    finding: Finding,
    /// Whether the finding was announced to other nodes, or received from one.
    is_shared: bool,
    /// When the first crash was found; used while the finding is not shared.
    found_unix_ms: UnixMs,
}

/// Requests that crashed upstreams, as far as one node knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    table: HashMap<ContentKey, Entry>,
    /// Number of copies of suspected requests in flight, by request and by upstream.
    attempts_by_content: HashMap<ContentKey, u32>,
    attempts_by_start: HashMap<Start, u32>,
    /// Requests that got a response recently. Callers need not record responses while `table` is
    /// empty.
    recent_responses: VecDeque<(ContentKey, UnixMs)>,
    /// Findings to be announced to other nodes.
    new_findings: Vec<NewFinding>,
    /// When this node detected first crashes of requests or received findings of them.
    first_crashes: VecDeque<UnixMs>,
}

impl Quarantine {
    /// Returns true when no request is on record, so that none needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns how a request is to be handled.
    ///
    /// `may_try` tells whether this node is the one of the fleet that tries a quarantined request
    /// again. It is called only for a request that is due for a trial.
    pub fn decide(
        &self,
        content: ContentKey,
        may_try: impl FnOnce() -> bool,
        now: UnixMs,
    ) -> Decision {
        let Some(Entry { finding, .. }) = self.table.get(&content) else { return Decision::Allow };
        let is_in_flight = self.attempts_by_content.contains_key(&content);
        let left = Duration::from_millis(finding.until_unix_ms.saturating_sub(now));
        let until_trial = match finding.waves <= MAX_WAVES_BEFORE_TRIAL {
            true => left.saturating_sub(MIN_QUARANTINE_TTL - FIRST_TRIAL_DELAY),
            false => left,
        };
        match self.is_quarantine_in_effect(finding) {
            _ if finding.is_clear() => Decision::Allow,
            true if !until_trial.is_zero() => Decision::Reject(until_trial),
            true if !may_try() => Decision::Reject(OTHER_NODE_TRIAL_RETRY_DELAY),
            false if left.is_zero() => Decision::Allow,
            _ if finding.waves > 1 && is_in_flight => Decision::Reject(CONCURRENT_COPY_RETRY_DELAY),
            _ => Decision::Isolate,
        }
    }

    /// Returns true for a request that is quarantined.
    pub fn is_quarantined(&self, content: ContentKey) -> bool {
        self.table.get(&content).is_some_and(|entry| self.is_quarantine_in_effect(&entry.finding))
    }

    /// Returns true when `finding` quarantines its request and no other finding explains its
    /// crashes.
    fn is_quarantine_in_effect(&self, finding: &Finding) -> bool {
        let is_explanation = |other: &Finding| other.explains(finding);
        finding.is_quarantined() && !self.all().any(is_explanation)
    }

    /// Returns true for a request with several consecutive crashes, which would likely crash
    /// another upstream if the node itself sent it again.
    pub fn has_repeated_crashes(&self, content: ContentKey) -> bool {
        self.table.get(&content).is_some_and(|entry| entry.finding.waves > 1)
    }

    /// Returns the version of a request's finding, to be kept with each send of the request.
    pub fn version(&self, content: ContentKey) -> FindingVersion {
        let finding = self.table.get(&content).map(|entry| &entry.finding);
        finding.map_or_else(FindingVersion::default, |f| FindingVersion {
            epoch: f.epoch,
            waves: f.waves,
        })
    }

    /// Counts a copy of a suspected request as in flight at an upstream.
    pub fn begin_attempt(&mut self, content: ContentKey, start: Start) {
        *self.attempts_by_content.entry(content).or_default() += 1;
        *self.attempts_by_start.entry(start).or_default() += 1;
    }

    /// Counts a copy reported to [`Quarantine::begin_attempt`] as ended.
    pub fn end_attempt(&mut self, content: ContentKey, start: Start) {
        decrement(&mut self.attempts_by_content, &content);
        decrement(&mut self.attempts_by_start, &start);
    }

    /// Returns true when no suspected request of this node runs at an upstream.
    pub fn has_no_suspects(&self, start: Start) -> bool {
        !self.attempts_by_start.contains_key(&start)
    }

    /// Returns which of `starts` are reserved for requests with several consecutive crashes: any
    /// other suspected request that ran there would be lost with them again.
    pub fn reservations(&self, starts: &[Start]) -> Reservations {
        Reservations::assign(self.all().filter(|finding| finding.waves > 1), starts)
    }

    /// Returns which of `candidates`, indices into `starts`, a suspected request is sent to.
    ///
    /// This is the upstream reserved for the request on all nodes, or else one that is not reserved
    /// for another request and at which no other suspected request of this node runs. If that
    /// upstream crashes, this request is the cause; if another request was the cause before, a
    /// response clears this one.
    pub fn choose_isolated(
        &self,
        content: ContentKey,
        starts: &[Start],
        candidates: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        let reservations = self.reservations(starts);
        let is_free = |start: Start| {
            let is_isolated =
                self.has_no_suspects(start) && !reservations.is_reserved_for_other(start, content);
            // Copies at several nodes stay at the reserved upstream: one that avoided another
            // request of this node there would run next to a third request elsewhere.
            is_isolated || reservations.is_reserved_for(start, content)
        };
        candidates
            .filter_map(|index| Some((index, *starts.get(index)?)))
            .filter(|(_, start)| is_free(*start))
            .max_by_key(|(_, start)| {
                (reservations.is_reserved_for(*start, content), start.rendezvous_score(content))
            })
            .map(|(index, _)| index)
    }

    /// Records that an upstream crashed while it ran a request. `version` is what
    /// [`Quarantine::version`] returned when the request was sent there. Returns the finding if
    /// this crash quarantines the request.
    pub fn record_crash(
        &mut self,
        content: ContentKey,
        version: FindingVersion,
        start: Start,
        now: UnixMs,
    ) -> Option<Finding> {
        if self.has_recent_response(content, now) {
            return None;
        }
        let was_quarantined = self.is_quarantined(content);
        if !self.table.contains_key(&content) {
            self.record_first_crash(now);
            // A full table evicts only a request with a single crash here.
            if !self.make_room(now, 2) {
                return None;
            }
        }
        let entry = self.table.entry(content).or_insert_with(|| Entry {
            finding: Finding { epoch: version.epoch, ..Finding::empty(content) },
            is_shared: false,
            found_unix_ms: now,
        });
        let finding = &mut entry.finding;
        if finding.epoch != version.epoch {
            // The request was cleared after this copy was sent: something else crashed the
            // upstream.
            return None;
        }
        finding.waves = finding.waves.max(version.waves.saturating_add(1));
        finding.add_crashed(start);
        let ttl = match finding.is_quarantined() {
            true => quarantine_ttl(finding.waves),
            false => SUSPICION_TTL,
        };
        finding.until_unix_ms = finding.until_unix_ms.max(now + as_ms(ttl));
        if entry.is_shared || finding.waves > 1 {
            entry.is_shared = true;
            let must_reach_all = finding.waves > 1;
            self.new_findings.push(NewFinding { finding: finding.clone(), must_reach_all });
        }
        let found = entry.finding.clone();
        (!was_quarantined && self.is_quarantine_in_effect(&found)).then_some(found)
    }

    /// Records that an upstream ran a request to its end, which clears the request: something else
    /// crashed the upstreams that ran it. Returns true when that changed what is known of it.
    ///
    /// Callers may skip the call while [`Quarantine::is_empty`] returns true.
    pub fn record_response(&mut self, content: ContentKey, now: UnixMs) -> bool {
        if self.recent_responses.len() >= MAX_RECENT_RESPONSES {
            self.recent_responses.pop_front();
        }
        self.recent_responses.push_back((content, now));
        match self.table.get(&content) {
            Some(entry) if entry.finding.is_clear() => false,
            Some(entry) if !entry.is_shared => self.table.remove(&content).is_some(),
            Some(_) => self.clear(content, now),
            None => false,
        }
    }

    /// Clears a request, for instance on an operator's command. Returns false when nothing was
    /// known of it.
    pub fn clear(&mut self, content: ContentKey, now: UnixMs) -> bool {
        let Some(entry) = self.table.get_mut(&content) else { return false };
        let must_reach_all = entry.finding.waves > 1;
        entry.finding = entry.finding.cleared(now + as_ms(SUSPICION_TTL));
        entry.is_shared = true;
        let finding = entry.finding.clone();
        self.announce(finding, must_reach_all, now);
        true
    }

    /// Merges a finding received from another node. If it adds anything, the merged finding is
    /// returned, and may be announced to other nodes in turn.
    pub fn merge_remote(&mut self, received: &Finding, now: UnixMs) -> Option<Finding> {
        let max_unix_ms = now + as_ms(MAX_QUARANTINE_TTL);
        let until_unix_ms = received.until_unix_ms.min(max_unix_ms);
        let received = Finding { until_unix_ms, ..received.clone() };
        if !received.is_valid() || is_expired(&received, now) {
            return None;
        }
        if !self.table.contains_key(&received.content) {
            if received.waves == 1 {
                self.record_first_crash(now);
            }
            // A finding evicted for an equal one would be new again when the next peer sends it.
            if !self.make_room(now, received.waves) {
                return None;
            }
        }
        let entry = self.table.entry(received.content).or_insert_with(|| Entry {
            finding: Finding::empty(received.content),
            is_shared: false,
            found_unix_ms: now,
        });
        let waves_before = entry.finding.waves;
        let is_new = entry.finding.merge(&received) || !entry.is_shared;
        entry.is_shared = true;
        if !is_new {
            return None;
        }
        let merged = entry.finding.clone();
        if self.has_recent_response(merged.content, now) && !merged.is_clear() {
            self.clear(merged.content, now);
            return self.table.get(&merged.content).map(|entry| entry.finding.clone());
        }
        let must_reach_all = merged.waves.max(waves_before) > 1;
        self.announce(merged.clone(), must_reach_all, now);
        Some(merged)
    }

    /// Queues a finding for other nodes. During a mass crash, only one that must reach all nodes is
    /// queued.
    fn announce(&mut self, finding: Finding, must_reach_all: bool, now: UnixMs) {
        if must_reach_all || !self.is_mass_crash(now) {
            self.new_findings.push(NewFinding { finding, must_reach_all });
        }
    }

    fn record_first_crash(&mut self, now: UnixMs) {
        if self.first_crashes.len() > MAX_FIRST_CRASHES {
            self.first_crashes.pop_front();
        }
        self.first_crashes.push_back(now);
    }

    /// Returns true while there are so many first crashes that upstreams must be ending for a
    /// reason other than the requests.
    fn is_mass_crash(&self, now: UnixMs) -> bool {
        let since = now.saturating_sub(as_ms(FIRST_CRASH_WINDOW));
        self.first_crashes.iter().filter(|at| **at >= since).count() > MAX_FIRST_CRASHES
    }

    /// Returns true when a request got a response from an upstream a moment ago.
    fn has_recent_response(&self, content: ContentKey, now: UnixMs) -> bool {
        let since = now.saturating_sub(as_ms(RECENT_RESPONSE_TTL));
        self.recent_responses.iter().rev().any(|(other, at)| *other == content && *at >= since)
    }

    /// Takes the findings that became due for announcement to other nodes since the last call.
    pub fn take_new_findings(&mut self, now: UnixMs) -> Vec<NewFinding> {
        let may_announce = !self.is_mass_crash(now);
        for entry in self.table.values_mut().filter(|entry| may_announce && !entry.is_shared) {
            let due =
                entry.found_unix_ms + as_ms(FIRST_CRASH_ANNOUNCE_DELAY) + announce_jitter_ms(entry);
            if (due..due + as_ms(FIRST_CRASH_ANNOUNCE_TIMEOUT)).contains(&now) {
                entry.is_shared = true;
                self.new_findings
                    .push(NewFinding { finding: entry.finding.clone(), must_reach_all: false });
            }
        }
        std::mem::take(&mut self.new_findings)
    }

    /// Returns the findings to send to a peer that reported `peer_digest`; none if it equals this
    /// node's digest.
    pub fn findings_for_peer(&self, peer_digest: u64) -> Vec<Finding> {
        match peer_digest == self.digest() {
            true => Vec::new(),
            false => self.sync_findings(),
        }
    }

    /// Returns the findings that bring a node with another set of quarantined requests up to date:
    /// those of quarantined requests first, then cleared ones and those with several consecutive
    /// crashes.
    fn sync_findings(&self) -> Vec<Finding> {
        let is_relevant = |f: &&Finding| f.is_quarantined() || f.epoch > 0 || f.waves > 1;
        let shared =
            self.table.values().filter(|entry| entry.is_shared).map(|entry| &entry.finding);
        let mut findings: Vec<Finding> = shared.filter(is_relevant).cloned().collect();
        findings.sort_by_key(|f| (!f.is_quarantined(), std::cmp::Reverse(f.until_unix_ms)));
        findings.truncate(MAX_SYNC_FINDINGS);
        findings
    }

    /// Returns the findings of requests that are not cleared, those quarantined first.
    pub fn findings(&self) -> Vec<&Finding> {
        let mut findings: Vec<&Finding> = self.all().filter(|f| !f.is_clear()).collect();
        findings.sort_by_cached_key(|f| (!self.is_quarantine_in_effect(f), f.content));
        findings
    }

    /// Returns all findings, also those of cleared requests.
    pub fn all(&self) -> impl Iterator<Item = &Finding> {
        self.table.values().map(|entry| &entry.finding)
    }

    /// Returns the findings of requests that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = &Finding> {
        self.all().filter(|finding| self.is_quarantine_in_effect(finding))
    }

    /// Returns a digest of the quarantined requests, which almost certainly differs between nodes
    /// that quarantine different ones.
    ///
    /// A node that was partitioned, paused or started late has missed announcements. Its peers
    /// notice the different digest at the next ping and send it their findings.
    pub fn digest(&self) -> u64 {
        let quarantined = self.all().filter(|finding| finding.is_quarantined());
        quarantined.fold(0, |digest, finding| digest ^ finding.digest())
    }

    /// Removes expired findings.
    pub fn expire(&mut self, now: UnixMs) {
        self.table.retain(|_, entry| !is_expired(&entry.finding, now));
    }

    /// Makes room for a finding of `waves` consecutive crashes. Returns false when every finding on
    /// record has as many.
    fn make_room(&mut self, now: UnixMs, waves: u8) -> bool {
        if self.table.len() < MAX_ENTRIES {
            return true;
        }
        self.expire(now);
        let priority = |entry: &Entry| {
            (entry.finding.is_quarantined(), entry.finding.waves, entry.finding.until_unix_ms)
        };
        let lowest = self.table.iter().min_by_key(|(_, entry)| priority(entry));
        match lowest.map(|(content, entry)| (*content, entry.finding.waves)) {
            Some((content, lowest)) if lowest < waves => self.table.remove(&content).is_some(),
            Some(_) => self.table.len() < MAX_ENTRIES,
            None => true,
        }
    }
}

/// Returns the additional delay before a first crash is announced.
fn announce_jitter_ms(entry: &Entry) -> UnixMs {
    entry.finding.digest() % as_ms(MAX_ANNOUNCE_JITTER)
}

/// Returns how long a request with `waves` consecutive crashes is quarantined.
fn quarantine_ttl(waves: u8) -> Duration {
    let trials = u32::from(waves.saturating_sub(MAX_WAVES_BEFORE_TRIAL)).min(u32::BITS - 1);
    MIN_QUARANTINE_TTL.saturating_mul(1 << trials).min(MAX_QUARANTINE_TTL)
}

/// Returns true when a finding no longer counts and need not be remembered.
fn is_expired(finding: &Finding, now: UnixMs) -> bool {
    let remembered_for = match finding.is_quarantined() {
        true => EXPIRED_QUARANTINE_TTL,
        false => Duration::ZERO,
    };
    finding.until_unix_ms + as_ms(remembered_for) <= now
}

fn as_ms(duration: Duration) -> UnixMs {
    duration.as_millis() as UnixMs
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

#[cfg(test)]
mod tests;
