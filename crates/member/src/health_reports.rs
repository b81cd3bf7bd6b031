//! Health reports: the latest verdict of each watcher on each upstream.
//!
//! Only reports other than `Healthy` are repeated, and they expire unless their watcher repeats
//! them: a watcher that dies after reporting an upstream as failing must not keep it out of use
//! forever. An upstream without reports counts as healthy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wire::{HealthReport, Verdict};

/// Number of times that a report is repeated within its TTL.
const REPEATS_PER_TTL: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Entry {
    report: HealthReport,
    /// When the report was received or, for an own report, last queued.
    updated_at: Instant,
}

/// A report that is due for an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// An own report to send again.
    Repeat(HealthReport),
    /// Another node's report that was not repeated in time, now with the verdict `Healthy`.
    Expired(HealthReport),
}

/// Latest reports by upstream and watcher.
#[derive(Default)]
pub(crate) struct HealthReports {
    latest: BTreeMap<(SocketAddr, SocketAddr), Entry>,
}

impl HealthReports {
    /// Records an own report and returns it with its sequence number.
    ///
    /// Sequence numbers start at the wall clock, so that the reports of a restarted watcher are
    /// newer than those from before the restart. If the wall clock has stepped back in between,
    /// peers ignore the watcher's reports until the old ones expire.
    pub(crate) fn record_own(
        &mut self,
        upstream: SocketAddr,
        local_addr: SocketAddr,
        verdict: Verdict,
        unix_ms: u64,
        now: Instant,
    ) -> HealthReport {
        let last = self.latest.get(&(upstream, local_addr)).map_or(0, |entry| entry.report.seq);
        let report =
            HealthReport { upstream, watcher: local_addr, seq: unix_ms.max(last + 1), verdict };
        self.latest.insert((upstream, local_addr), Entry { report, updated_at: now });
        report
    }

    /// Merges another node's report; returns true when it is newer than the known one.
    pub(crate) fn merge(&mut self, report: HealthReport, now: Instant) -> bool {
        let key = (report.upstream, report.watcher);
        match self.latest.get(&key) {
            Some(entry) if report.seq <= entry.report.seq => false,
            _ => {
                self.latest.insert(key, Entry { report, updated_at: now });
                true
            }
        }
    }

    /// Returns the reports whose verdict is not `Healthy`.
    pub(crate) fn unhealthy(&self) -> Vec<HealthReport> {
        let reports = self.latest.values().map(|entry| entry.report);
        reports.filter(|report| report.verdict != Verdict::Healthy).collect()
    }

    /// Gives own unhealthy reports that are due for repetition a new sequence number, and removes
    /// expired reports.
    pub(crate) fn tick(&mut self, local_addr: SocketAddr, now: Instant, ttl: Duration) -> Vec<Due> {
        let mut due = Vec::new();
        self.latest.retain(|(_, watcher), entry| {
            let age = now.duration_since(entry.updated_at);
            let is_unhealthy = entry.report.verdict != Verdict::Healthy;
            match *watcher == local_addr {
                true if is_unhealthy && age >= ttl / REPEATS_PER_TTL => {
                    entry.report.seq += 1;
                    entry.updated_at = now;
                    due.push(Due::Repeat(entry.report));
                    true
                }
                false if is_unhealthy && age >= ttl => {
                    due.push(Due::Expired(HealthReport {
                        verdict: Verdict::Healthy,
                        ..entry.report
                    }));
                    false
                }
                // Healthy reports are kept while an older unhealthy one may still be in transit.
                _ => is_unhealthy || age < ttl,
            }
        });
        due
    }
}
