//! Keeps requests that crash upstreams from them: what this node does by the fleet's findings.

use std::time::Duration;

use local_sync::mpsc::unbounded::Tx;
use place::{Candidate, Incarnation};
use quarantine::{ContentKey, Decision, Finding, FindingVersion, LostRequest, Start};

use super::call::{Call, NoChoice};
use super::Node;
use crate::state::SharedState;
use crate::{gossip, record, start_of, unix_ms};

/// A suspected request counted as under way at an upstream while this lives.
pub(super) struct UnderWay {
    state: SharedState,
    content: ContentKey,
    start: Start,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.state.borrow_mut().quarantine.end_attempt(self.content, self.start);
    }
}

impl Node {
    /// Has the membership task woken by `gossip` when there is news for it. Only the first counts.
    pub(crate) fn tells_by(&self, gossip: Tx<gossip::Input>) {
        let _ = self.gossip.set(gossip);
    }

    /// Returns what is to be done with a request.
    pub(super) fn verdict(&self, call: &Call<'_>) -> Decision {
        let state = self.state.borrow();
        match state.quarantine.is_empty() {
            true => Decision::Allow,
            false => {
                let may_try = || record::is_recorder(&state, Duration::ZERO);
                state.quarantine.decide(call.content(), may_try, unix_ms())
            }
        }
    }

    /// Returns what is to be done with a request that may be sent.
    pub(super) fn not_held_back(&self, call: &Call<'_>) -> Result<Decision, NoChoice> {
        match self.verdict(call) {
            Decision::Reject(come_back) => Err(NoChoice::HeldBack { come_back }),
            verdict => Ok(verdict),
        }
    }

    /// Returns true for a request that has crashed upstreams one after the other.
    pub(super) fn is_likely(&self, call: &Call<'_>) -> bool {
        let state = self.state.borrow();
        !state.quarantine.is_empty() && state.quarantine.has_repeated_crashes(call.content())
    }

    /// Returns what is known of a request that is being sent, and counts it if it is suspected.
    pub(super) fn begin(
        &self,
        call: &Call<'_>,
        upstream: &Incarnation,
    ) -> (FindingVersion, Option<UnderWay>) {
        let ledger = &mut self.state.borrow_mut().quarantine;
        if ledger.is_empty() {
            return (FindingVersion::default(), None);
        }
        let (content, start) = (call.content(), start_of(upstream));
        let known = ledger.version(content);
        let is_suspected = ledger.decide(content, || true, unix_ms()) == Decision::Isolate;
        let under_way = is_suspected.then(|| {
            ledger.begin_attempt(content, start);
            UnderWay { state: self.state.clone(), content, start }
        });
        (known, under_way)
    }

    /// Returns the candidate that a suspected request goes to, apart from other such requests.
    pub(super) fn apart<'a>(
        &self,
        call: &Call<'_>,
        ranked: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let state = self.state.borrow();
        let upstreams = state.pools.get(&call.service)?.upstreams();
        let starts: Vec<Start> = upstreams.iter().map(|u| start_of(&u.incarnation)).collect();
        let most = call.left().min(call.objective_left().max(call.route.objective));
        let in_time = ranked.iter().filter(|candidate| candidate.prediction.latency <= most);
        let in_time = in_time.map(|candidate| candidate.index);
        let chosen = state.quarantine.choose_isolated(call.content(), &starts, in_time)?;
        ranked.iter().find(|candidate| candidate.index == chosen)
    }

    /// Takes that an upstream crashed while it ran a request.
    pub(super) fn crashed(&self, lost: &LostRequest, start: Start) {
        let now = unix_ms();
        let held =
            self.state.borrow_mut().quarantine.record_crash(lost.content, lost.known, start, now);
        if let Some(finding) = held {
            log_held(&finding, "this node");
        }
        self.wake_gossip();
    }

    /// Takes that an upstream has run a request to its end.
    pub(super) fn ran(&self, call: &Call<'_>) {
        if self.state.borrow().quarantine.is_empty() {
            return;
        }
        let was_held = self.state.borrow().quarantine.is_quarantined(call.content());
        if self.state.borrow_mut().quarantine.record_response(call.content(), unix_ms()) {
            if was_held {
                log_cleared(call.content(), "an answer");
            }
            self.wake_gossip();
        }
    }

    /// Takes what `teller` knows of a request.
    pub(crate) fn hear_finding(&self, finding: &Finding, teller: &'static str) {
        let content = finding.content;
        let was_held = self.state.borrow().quarantine.is_quarantined(content);
        let news = self.state.borrow_mut().quarantine.merge_remote(finding, unix_ms());
        let Some(known) = news else { return };
        let is_held = self.state.borrow().quarantine.is_quarantined(content);
        match (was_held, is_held) {
            (false, true) => log_held(&known, teller),
            (true, false) => log_cleared(content, teller),
            _ => {}
        }
    }

    /// Has the membership task tell what is news.
    pub(crate) fn wake_gossip(&self) {
        if let Some(gossip) = self.gossip.get() {
            // The task ends only with the process.
            let _ = gossip.send(gossip::Input::News);
        }
    }
}

fn log_held(finding: &Finding, by: &'static str) {
    trace::Line::new("held_back")
        .field("content", finding.content)
        .field("in_sequence", finding.waves)
        .field("crashed", finding.crashed.len())
        .field("until_unix_ms", finding.until_unix_ms)
        .field("found_by", by)
        .log();
}

fn log_cleared(content: ContentKey, by: &'static str) {
    trace::Line::new("cleared").field("content", content).field("by", by).log();
}
