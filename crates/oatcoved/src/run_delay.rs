//! Time during which the thread was ready to run but had no processor.

use std::cell::Cell;
use std::time::{Duration, Instant};

use stall::Schedstat;

/// A reading is used for this long: at a high rate of calls, two system calls for each would cost a
/// percent of a core.
const READING_TTL: Duration = Duration::from_micros(500);

/// Reads the run delay of one thread: how long it has been ready to run without a processor, in
/// total since its start. Always zero where the operating system does not report it.
pub(crate) struct RunDelayClock {
    schedstat: Option<Schedstat>,
    /// The last reading and its time.
    last: Cell<Option<(Instant, Duration)>>,
}

impl RunDelayClock {
    /// Creates a clock of the calling thread.
    pub(crate) fn of_this_thread() -> RunDelayClock {
        let schedstat = Schedstat::of_this_thread();
        if let Err(err) = &schedstat {
            log::warn!(
                "no scheduler statistics of this thread: {err}; delays of this node count as \
                 upstreams'"
            );
        }
        RunDelayClock::new(schedstat.ok())
    }

    fn new(schedstat: Option<Schedstat>) -> RunDelayClock {
        RunDelayClock { schedstat, last: Cell::new(None) }
    }

    /// Returns the total run delay at `now`, at most [`READING_TTL`] old.
    pub(crate) fn total(&self, now: Instant) -> Duration {
        match self.last.get() {
            Some((read_at, total)) if now.duration_since(read_at) < READING_TTL => total,
            _ => {
                let total = self.read().unwrap_or_default();
                self.last.set(Some((now, total)));
                total
            }
        }
    }

    fn read(&self) -> Option<Duration> {
        self.schedstat.as_ref()?.read().map(|times| times.run_delay)
    }
}

#[cfg(test)]
mod tests;
