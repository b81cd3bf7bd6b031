//! Applies the fleet's findings: keeps requests that crash upstreams away from them.

use std::time::Duration;

use local_sync::mpsc::unbounded::Tx;
use place::{Candidate, Incarnation};
use quarantine::{ContentKey, Decision, Finding, FindingVersion, LostRequest, Start};

use super::call::{Call, NoChoice};
use super::Node;
use crate::state::SharedState;
use crate::{gossip, record, start_of, unix_ms};

/// Guard that counts a suspected request as in flight at an upstream until it is dropped.
pub(super) struct AttemptGuard {
    state: SharedState,
    content: ContentKey,
    start: Start,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.state.borrow_mut().quarantine.end_attempt(self.content, self.start);
    }
}

impl Node {
    /// Sets the channel that wakes the membership task when there are updates to broadcast. Only
    /// the first call has an effect.
    pub(crate) fn set_gossip_sender(&self, gossip: Tx<gossip::Input>) {
        let _ = self.gossip.set(gossip);
    }

    /// Decides whether a request is sent, isolated from other suspected ones, or rejected.
    pub(super) fn quarantine_decision(&self, call: &Call<'_>) -> Decision {
        let state = self.state.borrow();
        match state.quarantine.is_empty() {
            true => Decision::Allow,
            false => {
                let may_run_trial = || record::is_recorder(&state, Duration::ZERO);
                state.quarantine.decide(call.content(), may_run_trial, unix_ms())
            }
        }
    }

    /// As [`Node::quarantine_decision`], with an error for a request that is rejected.
    pub(super) fn check_quarantine(&self, call: &Call<'_>) -> Result<Decision, NoChoice> {
        match self.quarantine_decision(call) {
            Decision::Reject(retry_after) => Err(NoChoice::Quarantined { retry_after }),
            decision => Ok(decision),
        }
    }

    /// Returns true for a request that has crashed several upstreams one after the other.
    pub(super) fn has_repeated_crashes(&self, call: &Call<'_>) -> bool {
        let state = self.state.borrow();
        !state.quarantine.is_empty() && state.quarantine.has_repeated_crashes(call.content())
    }

    /// Returns the version of the finding on a request that is about to be sent, and a guard that
    /// counts it as in flight if it is suspected.
    pub(super) fn begin_attempt(
        &self,
        call: &Call<'_>,
        upstream: &Incarnation,
    ) -> (FindingVersion, Option<AttemptGuard>) {
        let quarantine = &mut self.state.borrow_mut().quarantine;
        if quarantine.is_empty() {
            return (FindingVersion::default(), None);
        }
        let (content, start) = (call.content(), start_of(upstream));
        let version = quarantine.version(content);
        let is_suspected = quarantine.decide(content, || true, unix_ms()) == Decision::Isolate;
        let guard = is_suspected.then(|| {
            quarantine.begin_attempt(content, start);
            AttemptGuard { state: self.state.clone(), content, start }
        });
        (version, guard)
    }

    /// Returns the candidate for a suspected request, isolated from other suspected requests.
    pub(super) fn choose_isolated<'a>(
        &self,
        call: &Call<'_>,
        ranked: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let state = self.state.borrow();
        let upstreams = state.pools.get(&call.service)?.upstreams();
        let starts: Vec<Start> = upstreams.iter().map(|u| start_of(&u.incarnation)).collect();
        let max_latency = call.deadline_left().min(call.objective_left().max(call.route.objective));
        let timely = ranked.iter().filter(|candidate| candidate.prediction.latency <= max_latency);
        let timely = timely.map(|candidate| candidate.index);
        let chosen = state.quarantine.choose_isolated(call.content(), &starts, timely)?;
        ranked.iter().find(|candidate| candidate.index == chosen)
    }

    /// Records that an upstream crashed while it ran a request.
    pub(super) fn record_crash(&self, lost: &LostRequest, start: Start) {
        let now = unix_ms();
        let finding =
            self.state.borrow_mut().quarantine.record_crash(lost.content, lost.known, start, now);
        if let Some(finding) = finding {
            log_quarantined(&finding, "this node");
        }
        self.wake_gossip();
    }

    /// Records that an upstream has completed a request.
    pub(super) fn record_completed(&self, call: &Call<'_>) {
        if self.state.borrow().quarantine.is_empty() {
            return;
        }
        let was_quarantined = self.state.borrow().quarantine.is_quarantined(call.content());
        if self.state.borrow_mut().quarantine.record_response(call.content(), unix_ms()) {
            if was_quarantined {
                log_cleared(call.content(), "an answer");
            }
            self.wake_gossip();
        }
    }

    /// Merges a finding of another node; `source` says in the log where it came from.
    pub(crate) fn merge_finding(&self, finding: &Finding, source: &'static str) {
        let content = finding.content;
        let was_quarantined = self.state.borrow().quarantine.is_quarantined(content);
        let updated = self.state.borrow_mut().quarantine.merge_remote(finding, unix_ms());
        let Some(current) = updated else { return };
        let is_quarantined_now = self.state.borrow().quarantine.is_quarantined(content);
        match (was_quarantined, is_quarantined_now) {
            (false, true) => log_quarantined(&current, source),
            (true, false) => log_cleared(content, source),
            _ => {}
        }
    }

    /// Wakes the membership task to broadcast updates.
    pub(crate) fn wake_gossip(&self) {
        self.send_to_gossip(gossip::Input::UpdatesPending);
    }

    /// Sends an input to the membership task, if it has started.
    pub(crate) fn send_to_gossip(&self, input: gossip::Input) {
        if let Some(gossip) = self.gossip.get() {
            // The task ends only with the process.
            let _ = gossip.send(input);
        }
    }
}

fn log_quarantined(finding: &Finding, by: &'static str) {
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
