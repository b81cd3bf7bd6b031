//! Detects stalls of an event loop.
//!
//! While an event loop stalls, its process neither reads nor writes, and all its timers are late. A
//! [`Stall`] states how long that was, and how much of that time the thread waited for a processor
//! or computed. In the rest it was stopped, or blocked in a system call.

mod schedstat;

use std::time::{Duration, Instant};

pub use self::schedstat::{Schedstat, ThreadTimes};

/// Shortest delay of a periodic task that counts as a stall.
pub const MIN_STALL: Duration = Duration::from_millis(100);

/// Time in which the tasks of an event loop did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// How late the periodic task ran.
    pub late: Duration,
    /// How the thread spent its time since the last run of the task; zero if that is not known.
    pub spent: ThreadTimes,
}

/// Detects stalls by the runs of a periodic task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last_run: Option<(Instant, ThreadTimes)>,
}

impl Detector {
    /// Records a run of the task, which was to be `interval` after the last one. `times` are those
    /// of its thread. Returns the stall if the run is late by [`MIN_STALL`] or more.
    pub fn record_run(
        &mut self,
        interval: Duration,
        now: Instant,
        times: ThreadTimes,
    ) -> Option<Stall> {
        let (last_at, last_times) = self.last_run.replace((now, times))?;
        let late = now.saturating_duration_since(last_at).saturating_sub(interval);
        (late >= MIN_STALL).then(|| Stall { late, spent: times.since(last_times) })
    }
}

#[cfg(test)]
mod tests;
