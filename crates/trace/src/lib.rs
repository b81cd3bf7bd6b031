//! Structured log lines on standard output, one JSON object each.
//!
//! Each thread collects its lines in a [`Line`] buffer; [`flush`] hands what
//! was collected to a thread that writes it. A reader of standard output that
//! is slow or stopped costs lines, never time: when the writing thread is
//! behind, lines are dropped and the number dropped is told in the next
//! line that gets through. Lines beyond [`LINES_PER_FLUSH`] between two
//! flushes are dropped the same way, so an overload cannot turn into a flood
//! of lines that makes it worse.
//!
//! The schema is in docs/ops/logs.md.

use std::cell::RefCell;
use std::io::Write;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Lines kept between two flushes.
pub const LINES_PER_FLUSH: usize = 100;

/// Buffers waiting for the writing thread before lines are dropped.
const BUFFERS_WAITING: usize = 8;

/// Stack of the writing thread, in bytes: it only copies buffers to a pipe.
const WRITER_STACK_BYTES: usize = 64 * 1024;

#[derive(Default)]
struct Collected {
    bytes: Vec<u8>,
    lines: usize,
    /// Lines dropped and not told of yet.
    dropped: u64,
    /// Lines dropped since start.
    dropped_in_all: u64,
}

thread_local! {
    static COLLECTED: RefCell<Collected> = RefCell::default();
}

/// What the writing thread is told.
enum Order {
    Write(Vec<u8>),
    /// Everything before this is written: say so.
    Done(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Order>> = OnceLock::new();

/// Starts the writing thread; lines logged without it are collected and dropped.
///
/// # Errors
///
/// Whatever the operating system says when it refuses a thread.
pub fn start<W: Write + Send + 'static>(mut out: W) -> std::io::Result<()> {
    let (sender, receiver) = sync_channel::<Order>(BUFFERS_WAITING);
    std::thread::Builder::new().name("log".to_owned()).stack_size(WRITER_STACK_BYTES).spawn(
        move || {
            for order in receiver {
                match order {
                    // Nobody is left to tell when standard output is gone.
                    Order::Write(bytes) => drop(out.write_all(&bytes).and_then(|()| out.flush())),
                    // The process may no longer wait for the answer.
                    Order::Done(written) => drop(written.try_send(())),
                }
            }
        },
    )?;
    let _ = WRITER.set(sender);
    Ok(())
}

/// Hands the lines collected on this thread to the writing thread; never blocks.
pub fn flush() {
    COLLECTED.with_borrow_mut(|collected| {
        if collected.dropped > 0 {
            let dropped = std::mem::take(&mut collected.dropped);
            append(collected, Line::new("lines_dropped").field("count", dropped));
        }
        collected.lines = 0;
        if collected.bytes.is_empty() {
            return;
        }
        let bytes = std::mem::take(&mut collected.bytes);
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        match WRITER.get().map(|writer| writer.try_send(Order::Write(bytes))) {
            Some(Ok(())) => {}
            Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))) | None => {
                collected.dropped += lines;
                collected.dropped_in_all += lines;
            }
        }
    });
}

/// Returns how many lines of this thread were dropped since start.
pub fn dropped() -> u64 {
    COLLECTED.with_borrow(|collected| collected.dropped_in_all)
}

/// Flushes and waits up to `timeout` until everything is written: the last lines of a process
/// tell why it ended, and the process would otherwise end before they are out.
pub fn finish(timeout: Duration) {
    flush();
    let (written, done) = sync_channel(1);
    if WRITER.get().is_some_and(|writer| writer.try_send(Order::Done(written)).is_ok()) {
        let _ = done.recv_timeout(timeout);
    }
}

fn append(collected: &mut Collected, mut line: Line) {
    line.bytes.extend_from_slice(b"}\n");
    collected.bytes.extend_from_slice(&line.bytes);
}

/// One line in the making.
pub struct Line {
    bytes: Vec<u8>,
}

impl Line {
    /// Begins a line about `event`, stamped with the time of day.
    pub fn new(event: &'static str) -> Line {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let bytes = format!("{{\"unix_ms\":{unix_ms},\"event\":\"{event}\"").into_bytes();
        Line { bytes }
    }

    /// Adds a field.
    pub fn field<T: Serialize>(mut self, name: &'static str, value: T) -> Line {
        let before = self.bytes.len();
        self.bytes.extend_from_slice(b",\"");
        self.bytes.extend_from_slice(name.as_bytes());
        self.bytes.extend_from_slice(b"\":");
        if serde_json::to_writer(&mut self.bytes, &value).is_err() {
            // Half a value would make the whole line unreadable.
            self.bytes.truncate(before);
        }
        self
    }

    /// Collects the line for the next [`flush`].
    pub fn log(self) {
        COLLECTED.with_borrow_mut(|collected| match collected.lines < LINES_PER_FLUSH {
            true => {
                collected.lines += 1;
                append(collected, self);
            }
            false => {
                collected.dropped += 1;
                collected.dropped_in_all += 1;
            }
        });
    }
}

#[cfg(test)]
mod tests;
