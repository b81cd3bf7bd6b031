//! What a node knows of requests that crashed upstreams, and what it does with them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use crate::finding::Finding;
use crate::{Content, Places, Start, UnixMs};

/// For how long crashes count against a request that is not held back, and a clearance is
/// remembered. Some callers come back after half an hour; an innocent request is cleared by its next
/// answer.
pub const SUSPECT_FOR: Duration = Duration::from_secs(3_600);

/// For how long a request is held back, the first time and at most: twice as long after each later
/// trial that crashed another upstream. What is mended meanwhile, an operator lifts.
const HELD_FOR: Duration = Duration::from_secs(3_600);
const HELD_MOST: Duration = Duration::from_secs(24 * 3_600);

/// When a request is tried for the first time after it was held back. One that was under way at
/// three upstreams by chance is served again then; another one costs an upstream more.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(120);

/// Crashes in sequence up to which it is tried so soon: each beyond them is one of a later trial.
const WAVES_TRIED_SOON: u8 = 3;

/// For how long a request that may be tried again is remembered, if nobody makes it.
const TRIED_WITHIN: Duration = Duration::from_secs(24 * 3_600);

/// When to come back to a node at which another copy of the request is under way.
const BUSY_FOR: Duration = Duration::from_millis(250);

/// When to come back to a node that leaves the trial of a request to another.
const LEFT_TO_ANOTHER: Duration = Duration::from_secs(60);

/// A first crash is told to other nodes after this long, unless an answer clears the request before.
/// Those that ran beside it are sent again at once and mostly are cleared within that: when a zone of
/// sixty upstreams ends, some three hundred requests would be told to all nodes, and cleared again.
const KEPT_TO_ITSELF: Duration = Duration::from_millis(400);

/// Beyond that, each request is kept for a time of its own up to this. Where many upstreams end at
/// once, nodes hear of the first few requests before they would tell of their own.
const KEPT_LONGER: Duration = Duration::from_millis(300);

/// First crashes, seen or heard of within this time, from which on a node tells no more of them: many
/// upstreams end by themselves, and each node has lost other requests with them. Told one by one, 1,200
/// requests of 312 nodes kept these busy for minutes. A request that crashes upstreams is told all the
/// same once it has crashed a second one.
const FIRSTS_MOST: usize = 8;
const FIRSTS_WITHIN: Duration = Duration::from_secs(5);

/// A first crash that could not be told within this time is kept to the node.
const TOLD_WITHIN: Duration = Duration::from_secs(5);

/// Answers that are remembered, and for how long. A crash says nothing of a request that was answered
/// a moment before or after: where half of the upstreams end, copies of popular requests are lost
/// one after the other, and without this seven of a hundred were refused for a moment. Requests that
/// crash upstreams are never answered.
const ANSWERS_MOST: usize = 512;
const ANSWERED_FOR: Duration = Duration::from_secs(2);

/// Findings told at once to a node that knows something else: three packets.
const TOLD_MOST: usize = 64;

/// Requests known at most: 60 kB. Somebody who crashes upstreams by ever new requests pushes out
/// those that did so once, not those that are held back.
const KNOWN_MOST: usize = 512;

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent like any other.
    Free,
    /// An upstream crashed while it ran there. It is sent to one at which no other such request of
    /// this node runs: if that crashes too, it is clear which of them does it.
    Apart,
    /// It is not sent; its caller may come back after this long.
    Refused(Duration),
}

/// What was known of a request when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Known {
    epoch: u32,
    waves: u8,
}

/// A finding to be told to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// What was found.
    pub finding: Finding,
    /// Whether all nodes must come to know it: the request has crashed several upstreams, or had. Of
    /// others it is enough that most nodes hear.
    pub is_weighty: bool,
}

#[derive(Clone, Debug)]
struct Held {
    finding: Finding,
    /// Whether other nodes were told of it, or told of it.
    is_shared: bool,
    /// When it was found, for those that are not shared yet.
    found_unix_ms: UnixMs,
}

/// What a node knows of requests that crashed upstreams.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    known: HashMap<Content, Held>,
    /// Copies of such requests under way, by request and by upstream.
    under_way: HashMap<Content, u32>,
    running_at: HashMap<Start, u32>,
    /// Requests answered of late, while anything was known of any.
    answered: VecDeque<(Content, UnixMs)>,
    /// Findings to be told to other nodes.
    news: Vec<News>,
    /// When first crashes of requests were seen or heard of.
    firsts: VecDeque<UnixMs>,
}

impl Ledger {
    /// Returns true while nothing is known of any request: none needs to be looked up then.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what is to be done with a request. `may_try` tells whether this node is the one of
    /// the fleet that tries a request again whose time is over; it is asked only for such a one.
    pub fn verdict(
        &self,
        content: Content,
        may_try: impl FnOnce() -> bool,
        now: UnixMs,
    ) -> Verdict {
        let Some(Held { finding, .. }) = self.known.get(&content) else { return Verdict::Free };
        let is_under_way = self.under_way.contains_key(&content);
        let left = Duration::from_millis(finding.until_unix_ms.saturating_sub(now));
        let until_trial = match finding.waves <= WAVES_TRIED_SOON {
            true => left.saturating_sub(HELD_FOR - FIRST_TRIAL_AFTER),
            false => left,
        };
        match self.holds(finding) {
            _ if finding.is_clear() => Verdict::Free,
            true if !until_trial.is_zero() => Verdict::Refused(until_trial),
            true if !may_try() => Verdict::Refused(LEFT_TO_ANOTHER),
            false if left.is_zero() => Verdict::Free,
            _ if finding.waves > 1 && is_under_way => Verdict::Refused(BUSY_FOR),
            _ => Verdict::Apart,
        }
    }

    /// Returns true for a request that is held back.
    pub fn is_held(&self, content: Content) -> bool {
        self.known.get(&content).is_some_and(|held| self.holds(&held.finding))
    }

    /// Returns true when what was found holds the request back.
    fn holds(&self, finding: &Finding) -> bool {
        let is_heavier = |other: &Finding| other.explains(finding);
        finding.is_held() && !self.all().any(is_heavier)
    }

    /// Returns true for a request that has crashed upstreams one after the other: sent once more by
    /// the node itself, it would likely crash another.
    pub fn is_likely(&self, content: Content) -> bool {
        self.known.get(&content).is_some_and(|held| held.finding.waves > 1)
    }

    /// Returns what is known of a request that is being sent.
    pub fn known(&self, content: Content) -> Known {
        let known = self.known.get(&content).map(|held| &held.finding);
        known.map_or_else(Known::default, |f| Known { epoch: f.epoch, waves: f.waves })
    }

    /// Counts a copy of a suspected request as under way.
    pub fn begin(&mut self, content: Content, start: Start) {
        *self.under_way.entry(content).or_default() += 1;
        *self.running_at.entry(start).or_default() += 1;
    }

    /// Counts it as ended.
    pub fn end(&mut self, content: Content, start: Start) {
        decrement(&mut self.under_way, &content);
        decrement(&mut self.running_at, &start);
    }

    /// Returns true when no suspected request of this node runs at an upstream.
    pub fn is_apart(&self, start: Start) -> bool {
        !self.running_at.contains_key(&start)
    }

    /// Returns which of `starts` are set aside for requests that crashed upstreams one after the
    /// other: any other suspected request that ran there would be lost with it again.
    pub fn places(&self, starts: &[Start]) -> Places {
        Places::deal(self.all().filter(|finding| finding.waves > 1), starts)
    }

    /// Returns which of `candidates`, places in `starts`, a suspected request goes to: the upstream
    /// that is set aside for it on all nodes, or else one at which no other suspected request of this
    /// node runs and which is not set aside for another. It crashes alone then, if it does, and is
    /// cleared by its answer if another one did.
    pub fn choose_apart(
        &self,
        content: Content,
        starts: &[Start],
        candidates: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        let places = self.places(starts);
        let is_free = |start: Start| {
            let is_apart = self.is_apart(start) && !places.is_for_another(start, content);
            // Copies at several nodes stay together: one that gave way here to another request of
            // this node would meet a third one elsewhere.
            is_apart || places.is_for(start, content)
        };
        candidates
            .filter_map(|index| Some((index, *starts.get(index)?)))
            .filter(|(_, start)| is_free(*start))
            .max_by_key(|(_, start)| (places.is_for(*start, content), start.preference(content)))
            .map(|(index, _)| index)
    }

    /// Takes that an upstream crashed while it ran a request of which `known` was known when it was
    /// sent there. Returns the finding if the request is held back from now on.
    pub fn crashed(
        &mut self,
        content: Content,
        known: Known,
        start: Start,
        now: UnixMs,
    ) -> Option<Finding> {
        if self.was_answered(content, now) {
            return None;
        }
        let was_held = self.is_held(content);
        if !self.known.contains_key(&content) {
            self.note_first(now);
            // In the place of another that has crashed one upstream, if there is no room.
            if !self.make_room(now, 2) {
                return None;
            }
        }
        let held = self.known.entry(content).or_insert_with(|| Held {
            finding: Finding { epoch: known.epoch, ..Finding::none(content) },
            is_shared: false,
            found_unix_ms: now,
        });
        let finding = &mut held.finding;
        if finding.epoch != known.epoch {
            // It was cleared since it was sent there: something else crashed that upstream.
            return None;
        }
        finding.waves = finding.waves.max(known.waves.saturating_add(1));
        finding.add(start);
        let counts_for = match finding.is_held() {
            true => held_for(finding.waves),
            false => SUSPECT_FOR,
        };
        finding.until_unix_ms = finding.until_unix_ms.max(now + as_ms(counts_for));
        if held.is_shared || finding.waves > 1 {
            held.is_shared = true;
            let is_weighty = finding.waves > 1;
            self.news.push(News { finding: finding.clone(), is_weighty });
        }
        let found = held.finding.clone();
        (!was_held && self.holds(&found)).then_some(found)
    }

    /// Takes that an upstream ran a request to its end. Whatever crashed upstreams while they ran
    /// it, it was not this one.
    pub fn answered(&mut self, content: Content, now: UnixMs) -> bool {
        if self.answered.len() >= ANSWERS_MOST {
            self.answered.pop_front();
        }
        self.answered.push_back((content, now));
        match self.known.get(&content) {
            Some(held) if held.finding.is_clear() => false,
            Some(held) if !held.is_shared => self.known.remove(&content).is_some(),
            Some(_) => self.clear(content, now),
            None => false,
        }
    }

    /// Clears a request by an operator's word; false when nothing was known of it.
    pub fn clear(&mut self, content: Content, now: UnixMs) -> bool {
        let Some(held) = self.known.get_mut(&content) else { return false };
        let is_weighty = held.finding.waves > 1;
        held.finding = held.finding.cleared(now + as_ms(SUSPECT_FOR));
        held.is_shared = true;
        let finding = held.finding.clone();
        self.tell(finding, is_weighty, now);
        true
    }

    /// Takes another node's finding; returns it as known now if that is news, which is passed on.
    pub fn hear(&mut self, heard: &Finding, now: UnixMs) -> Option<Finding> {
        let most_unix_ms = now + as_ms(HELD_MOST);
        let until_unix_ms = heard.until_unix_ms.min(most_unix_ms);
        let heard = Finding { until_unix_ms, ..heard.clone() };
        if !heard.is_sound() || is_over(&heard, now) {
            return None;
        }
        if !self.known.contains_key(&heard.content) {
            if heard.waves == 1 {
                self.note_first(now);
            }
            // Pushed out by it, another would be news again when the next peer tells it.
            if !self.make_room(now, heard.waves) {
                return None;
            }
        }
        let held = self.known.entry(heard.content).or_insert_with(|| Held {
            finding: Finding::none(heard.content),
            is_shared: false,
            found_unix_ms: now,
        });
        let waves_before = held.finding.waves;
        let is_news = held.finding.merge(&heard) || !held.is_shared;
        held.is_shared = true;
        if !is_news {
            return None;
        }
        let known = held.finding.clone();
        if self.was_answered(known.content, now) && !known.is_clear() {
            self.clear(known.content, now);
            return self.known.get(&known.content).map(|held| held.finding.clone());
        }
        let is_weighty = known.waves.max(waves_before) > 1;
        self.tell(known.clone(), is_weighty, now);
        Some(known)
    }

    /// Has other nodes told of a finding, unless many upstreams end and it is none of weight.
    fn tell(&mut self, finding: Finding, is_weighty: bool, now: UnixMs) {
        if is_weighty || !self.many_end(now) {
            self.news.push(News { finding, is_weighty });
        }
    }

    fn note_first(&mut self, now: UnixMs) {
        if self.firsts.len() > FIRSTS_MOST {
            self.firsts.pop_front();
        }
        self.firsts.push_back(now);
    }

    /// Returns true while so many requests had a first crash that upstreams end by themselves.
    fn many_end(&self, now: UnixMs) -> bool {
        let since = now.saturating_sub(as_ms(FIRSTS_WITHIN));
        self.firsts.iter().filter(|at| **at >= since).count() > FIRSTS_MOST
    }

    /// Returns true when a request was answered by an upstream a moment ago.
    fn was_answered(&self, content: Content, now: UnixMs) -> bool {
        let since = now.saturating_sub(as_ms(ANSWERED_FOR));
        self.answered.iter().rev().any(|(other, at)| *other == content && *at >= since)
    }

    /// Returns the findings to be told to other nodes since the last call.
    pub fn take_news(&mut self, now: UnixMs) -> Vec<News> {
        let may_tell = !self.many_end(now);
        for held in self.known.values_mut().filter(|held| may_tell && !held.is_shared) {
            let due = held.found_unix_ms + as_ms(KEPT_TO_ITSELF) + kept_longer_ms(held);
            if (due..due + as_ms(TOLD_WITHIN)).contains(&now) {
                held.is_shared = true;
                self.news.push(News { finding: held.finding.clone(), is_weighty: false });
            }
        }
        std::mem::take(&mut self.news)
    }

    /// Returns what a peer of another digest is told: nothing if its digest is this node's by now.
    pub fn to_tell_a_peer(&self, its_digest: u64) -> Vec<Finding> {
        match its_digest == self.digest() {
            true => Vec::new(),
            false => self.to_tell(),
        }
    }

    /// Returns what a node is told that does not hold back the same requests: those, and others
    /// that were cleared once or are likely.
    fn to_tell(&self) -> Vec<Finding> {
        let weighs = |f: &&Finding| f.is_held() || f.epoch > 0 || f.waves > 1;
        let shared = self.known.values().filter(|held| held.is_shared).map(|held| &held.finding);
        let mut findings: Vec<Finding> = shared.filter(weighs).cloned().collect();
        findings.sort_by_key(|f| (!f.is_held(), std::cmp::Reverse(f.until_unix_ms)));
        findings.truncate(TOLD_MOST);
        findings
    }

    /// Returns what is known of requests that crashed upstreams, those held back first.
    pub fn findings(&self) -> Vec<&Finding> {
        let mut findings: Vec<&Finding> = self.all().filter(|f| !f.is_clear()).collect();
        findings.sort_by_cached_key(|f| (!self.holds(f), f.content));
        findings
    }

    /// Returns all that is known, also of requests that were cleared.
    pub fn all(&self) -> impl Iterator<Item = &Finding> {
        self.known.values().map(|held| &held.finding)
    }

    /// Returns the requests that are held back.
    pub fn held(&self) -> impl Iterator<Item = &Finding> {
        self.all().filter(|finding| self.holds(finding))
    }

    /// Returns a number that differs, most likely, from that of a node that holds back others.
    ///
    /// A node that was cut off, paused or started late has missed what was told meanwhile; by this
    /// number its peers notice at the next ping, and tell it all that they know.
    pub fn digest(&self) -> u64 {
        let held = self.all().filter(|finding| finding.is_held());
        held.fold(0, |digest, finding| digest ^ finding.digest())
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: UnixMs) {
        self.known.retain(|_, held| !is_over(&held.finding, now));
    }

    /// Makes room for a finding of `waves` crashes in sequence; false when all that is known weighs as
    /// much.
    fn make_room(&mut self, now: UnixMs, waves: u8) -> bool {
        if self.known.len() < KNOWN_MOST {
            return true;
        }
        self.expire(now);
        let weight =
            |held: &Held| (held.finding.is_held(), held.finding.waves, held.finding.until_unix_ms);
        let least = self.known.iter().min_by_key(|(_, held)| weight(held));
        match least.map(|(content, held)| (*content, held.finding.waves)) {
            Some((content, least)) if least < waves => self.known.remove(&content).is_some(),
            Some(_) => self.known.len() < KNOWN_MOST,
            None => true,
        }
    }
}

/// Returns how much longer than others a node keeps a first crash to itself.
fn kept_longer_ms(held: &Held) -> UnixMs {
    held.finding.digest() % as_ms(KEPT_LONGER)
}

/// Returns for how long a request is held back that crashed upstreams `waves` times in sequence.
fn held_for(waves: u8) -> Duration {
    let trials = u32::from(waves.saturating_sub(WAVES_TRIED_SOON)).min(u32::BITS - 1);
    HELD_FOR.saturating_mul(1 << trials).min(HELD_MOST)
}

/// Returns true when a finding counts no longer.
fn is_over(finding: &Finding, now: UnixMs) -> bool {
    let remembered_for = match finding.is_held() {
        true => TRIED_WITHIN,
        false => Duration::ZERO,
    };
    finding.until_unix_ms + as_ms(remembered_for) <= now
}

fn as_ms(time: Duration) -> UnixMs {
    time.as_millis() as UnixMs
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
