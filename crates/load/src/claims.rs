//! Checks the outcomes that callers saw of their claims against the executions on upstreams.
//!
//! A claim is a call that must run at most once. The run records the outcome
//! of each claim as its caller saw it, and the upstream stand-ins count
//! executions by idempotency key. The check: a `done` claim ran exactly once, a
//! `not-run` claim did not run, and no claim ran twice.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

/// Outcome of a claim as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim ran.
    Done,
    /// The claim did not run.
    NotRun,
    /// The claim may have run.
    Unknown,
}

/// Counts of the claims of a run by outcome, and the keys of those whose outcome was wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimsReport {
    /// Claims sent.
    pub sent: u64,
    /// Claims with the outcome `done`.
    pub done: u64,
    /// Claims with the outcome `not-run`.
    pub not_run: u64,
    /// Claims that may have run: the response says so, or there was none.
    pub unknown: u64,
    /// Keys of claims executed more than once.
    pub ran_twice: Vec<SmolStr>,
    /// Keys of `not-run` claims that were executed.
    pub ran_though_told_not: Vec<SmolStr>,
    /// Keys of `done` claims that no upstream executed.
    pub done_though_never_ran: Vec<SmolStr>,
}

impl ClaimsReport {
    /// Returns whether all outcomes agree with the executions.
    pub fn is_consistent(&self) -> bool {
        self.ran_twice.is_empty()
            && self.ran_though_told_not.is_empty()
            && self.done_though_never_ran.is_empty()
    }
}

/// Checks `claims`, the outcomes by idempotency key, against `executions`, the number of
/// executions by idempotency key on all upstreams. A key without a number was not executed.
pub fn check_claims(
    claims: &BTreeMap<SmolStr, ClaimOutcome>,
    executions: &BTreeMap<SmolStr, u64>,
) -> ClaimsReport {
    let mut report = ClaimsReport { sent: claims.len() as u64, ..Default::default() };
    for (key, outcome) in claims {
        let execution_count = executions.get(key).copied().unwrap_or(0);
        match outcome {
            ClaimOutcome::Done => report.done += 1,
            ClaimOutcome::NotRun => report.not_run += 1,
            ClaimOutcome::Unknown => report.unknown += 1,
        }
        match (outcome, execution_count) {
            (_, 2..) => report.ran_twice.push(key.clone()),
            (ClaimOutcome::NotRun, 1) => report.ran_though_told_not.push(key.clone()),
            (ClaimOutcome::Done, 0) => report.done_though_never_ran.push(key.clone()),
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests;
