//! Logs stalls of the node's event loop.
//!
//! In a stall the node answers nobody, and whatever it waits for looks late. The log line tells
//! whether the machine had no processor for the node, or the node computed for too long.

use std::time::{Duration, Instant};

use stall::{Detector, Schedstat};

use crate::as_ms;

/// Logs when a periodic task of this thread runs late.
pub(crate) struct StallLog {
    detector: Detector,
    /// `None` where the operating system has no such statistics.
    schedstat: Option<Schedstat>,
}

impl StallLog {
    /// Creates the log of the calling thread.
    pub(crate) fn of_this_thread() -> StallLog {
        StallLog { detector: Detector::default(), schedstat: Schedstat::of_this_thread().ok() }
    }

    /// Records a run of the task, which was to be `interval` after the last one.
    pub(crate) fn record_run(&mut self, interval: Duration) {
        let times = self.schedstat.as_ref().and_then(Schedstat::read).unwrap_or_default();
        if let Some(stall) = self.detector.record_run(interval, Instant::now(), times) {
            trace::Line::new("stalled")
                .field("late_ms", as_ms(stall.late))
                .field("on_cpu_ms", as_ms(stall.spent.on_cpu))
                .field("run_delay_ms", as_ms(stall.spent.run_delay))
                .log();
        }
    }
}
