//! Time during which the thread was ready to run but had no processor.

use std::cell::Cell;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};

/// Scheduler statistics of the thread that opens the file.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";

/// A reading is used for this long: at a high rate of calls, two system calls for each would cost a
/// percent of a core.
const READING_TTL: Duration = Duration::from_micros(500);

/// Longest text of the file: three numbers of 64 bits.
const MAX_TEXT_BYTES: usize = 64;

/// Reads the run delay of one thread: how long it has been ready to run without a processor, in
/// total since its start. Always zero where the operating system does not report it.
pub(crate) struct RunDelayClock {
    file: Option<File>,
    /// The last reading and its time.
    last: Cell<Option<(Instant, Duration)>>,
}

impl RunDelayClock {
    /// Creates a clock of the calling thread.
    pub(crate) fn of_this_thread() -> RunDelayClock {
        let file = File::open(SCHEDSTAT_PATH);
        if let Err(err) = &file {
            log::warn!(
                "cannot read {SCHEDSTAT_PATH}: {err}; delays of this node count as upstreams'"
            );
        }
        RunDelayClock::of_file(file.ok())
    }

    fn of_file(file: Option<File>) -> RunDelayClock {
        RunDelayClock { file, last: Cell::new(None) }
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
        let mut text = [0; MAX_TEXT_BYTES];
        let len = self.file.as_ref()?.read_at(&mut text, 0).ok()?;
        parse(std::str::from_utf8(&text[..len]).ok()?)
    }
}

/// Returns the run delay of a schedstat file: time on a processor, run delay (both in nanoseconds)
/// and number of time slices.
fn parse(text: &str) -> Option<Duration> {
    let run_delay_ns = text.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(run_delay_ns))
}

#[cfg(test)]
mod tests;
