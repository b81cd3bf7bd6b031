//! Scheduler statistics of a thread.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::time::Duration;

/// Scheduler statistics of the thread that opens the file.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";

/// Longest text of the file: three numbers of 64 bits.
const MAX_TEXT_BYTES: usize = 64;

/// How a thread has spent its time since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadTimes {
    /// Time on a processor.
    pub on_cpu: Duration,
    /// Time in which the thread was ready to run but had no processor.
    pub run_delay: Duration,
}

impl ThreadTimes {
    /// Returns the times since `earlier`.
    pub fn since(self, earlier: ThreadTimes) -> ThreadTimes {
        ThreadTimes {
            on_cpu: self.on_cpu.saturating_sub(earlier.on_cpu),
            run_delay: self.run_delay.saturating_sub(earlier.run_delay),
        }
    }

    /// Parses a schedstat file: time on a processor, run delay (both in nanoseconds) and number of
    /// time slices.
    fn parse(text: &str) -> Option<ThreadTimes> {
        let mut numbers = text.split_ascii_whitespace().map(|number| number.parse().ok());
        let mut next = || Some(Duration::from_nanos(numbers.next()??));
        Some(ThreadTimes { on_cpu: next()?, run_delay: next()? })
    }
}

/// Scheduler statistics of one thread, as the operating system reports them.
#[derive(Debug)]
pub struct Schedstat(File);

impl Schedstat {
    /// Opens the statistics of the calling thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it has no such statistics.
    pub fn of_this_thread() -> io::Result<Schedstat> {
        File::open(SCHEDSTAT_PATH).map(Schedstat)
    }

    /// Uses an open file in the format of the statistics.
    pub fn of_file(file: File) -> Schedstat {
        Schedstat(file)
    }

    /// Returns the times of the thread; `None` if they cannot be read.
    pub fn read(&self) -> Option<ThreadTimes> {
        let mut text = [0; MAX_TEXT_BYTES];
        let len = self.0.read_at(&mut text, 0).ok()?;
        ThreadTimes::parse(std::str::from_utf8(&text[..len]).ok()?)
    }
}

#[cfg(test)]
mod tests;
