//! Checks what callers were told of their claims against what upstreams executed.
//!
//! A history check: the run records each claim's outcome as its caller saw
//! it, and the stand-ins count executions by idempotency key. The oracle is
//! the promise itself: `done` ran once, `not-run` never ran, and nothing ran twice.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

/// What a caller was told of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It took effect.
    Done,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Claims of a run and the promises broken on them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimsReport {
    /// Claims sent.
    pub sent: u64,
    /// Claims whose callers were told `done`.
    pub done: u64,
    /// Claims whose callers were told `not-run`.
    pub not_run: u64,
    /// Claims whose callers were told, or had to assume, that they may have run.
    pub unknown: u64,
    /// Claims executed more than once.
    pub ran_twice: Vec<SmolStr>,
    /// Claims told `not-run` that were executed.
    pub ran_though_told_not: Vec<SmolStr>,
    /// Claims told `done` that no upstream executed.
    pub done_though_never_ran: Vec<SmolStr>,
}

impl ClaimsReport {
    /// Returns true when no promise was broken.
    pub fn holds(&self) -> bool {
        self.ran_twice.is_empty()
            && self.ran_though_told_not.is_empty()
            && self.done_though_never_ran.is_empty()
    }
}

/// Checks `claims` against `executions` by idempotency key.
pub fn check_claims(
    claims: &BTreeMap<SmolStr, Told>,
    executions: &BTreeMap<SmolStr, u64>,
) -> ClaimsReport {
    let mut report = ClaimsReport { sent: claims.len() as u64, ..Default::default() };
    for (key, told) in claims {
        let ran = executions.get(key).copied().unwrap_or(0);
        match told {
            Told::Done => report.done += 1,
            Told::NotRun => report.not_run += 1,
            Told::Unknown => report.unknown += 1,
        }
        match (told, ran) {
            (_, 2..) => report.ran_twice.push(key.clone()),
            (Told::NotRun, 1) => report.ran_though_told_not.push(key.clone()),
            (Told::Done, 0) => report.done_though_never_ran.push(key.clone()),
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests;
