//! Structured log lines on standard output, one JSON object each.
//!
//! Each thread buffers its [`Line`]s; [`flush`] passes the buffer to a writer thread. A slow or
//! stopped reader of standard output therefore costs lines but never blocks a thread that logs:
//! while the writer thread is behind, lines are dropped, and a later `lines_dropped` line states
//! how many. Lines beyond [`MAX_LINES_PER_FLUSH`] between two flushes are dropped in the same way,
//! so that logging cannot make an overload worse.
//!
//! The schema of the lines is in docs/ops/logs.md.

use std::cell::RefCell;
use std::io::Write;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Maximum number of lines that a thread buffers between two flushes.
pub const MAX_LINES_PER_FLUSH: usize = 100;

/// Maximum number of buffers queued for the writer thread; beyond it, lines are dropped.
const MAX_QUEUED_BUFFERS: usize = 8;

/// Stack size of the writer thread. It is small because the thread only copies buffers to a pipe.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// The lines that one thread has logged since its last flush.
#[derive(Default)]
struct ThreadBuffer {
    bytes: Vec<u8>,
    /// Number of lines buffered since the last flush, without `lines_dropped` lines.
    lines: usize,
    /// Number of dropped lines that are not reported yet.
    dropped: u64,
    /// Number of lines dropped since the thread started.
    dropped_total: u64,
}

thread_local! {
    static BUFFER: RefCell<ThreadBuffer> = RefCell::default();
}

/// A message to the writer thread.
enum Message {
    Write(Vec<u8>),
    /// Requests a reply once all earlier messages are processed.
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// Starts the writer thread, which writes to `out`. Until it is started, [`flush`] drops all lines.
/// Further calls have no effect on where lines go.
///
/// # Errors
///
/// Returns the operating system's error when the thread cannot be created.
pub fn start<W: Write + Send + 'static>(mut out: W) -> std::io::Result<()> {
    let (sender, receiver) = sync_channel::<Message>(MAX_QUEUED_BUFFERS);
    std::thread::Builder::new().name("log".to_owned()).stack_size(WRITER_STACK_BYTES).spawn(
        move || {
            for message in receiver {
                match message {
                    // An error is ignored: without standard output it cannot be reported.
                    Message::Write(bytes) => drop(out.write_all(&bytes).and_then(|()| out.flush())),
                    // The receiver may have stopped waiting.
                    Message::Flush(reply) => drop(reply.try_send(())),
                }
            }
        },
    )?;
    let _ = WRITER.set(sender);
    Ok(())
}

/// Passes the lines buffered on this thread to the writer thread; never blocks.
pub fn flush() {
    BUFFER.with_borrow_mut(|buffer| {
        if buffer.dropped > 0 {
            let dropped = std::mem::take(&mut buffer.dropped);
            append(buffer, Line::new("lines_dropped").field("count", dropped));
        }
        buffer.lines = 0;
        if buffer.bytes.is_empty() {
            return;
        }
        let bytes = std::mem::take(&mut buffer.bytes);
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        match WRITER.get().map(|writer| writer.try_send(Message::Write(bytes))) {
            Some(Ok(())) => {}
            Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))) | None => {
                buffer.dropped += lines;
                buffer.dropped_total += lines;
            }
        }
    });
}

/// Returns the number of lines that this thread has dropped since it started.
pub fn dropped_lines() -> u64 {
    BUFFER.with_borrow(|buffer| buffer.dropped_total)
}

/// Flushes and waits up to `timeout` until everything is written.
///
/// For use before the process exits: its last lines state why it ended, and would otherwise be
/// lost. Returns immediately when the queue of the writer thread is full.
pub fn flush_and_wait(timeout: Duration) {
    flush();
    let (reply, written) = sync_channel(1);
    if WRITER.get().is_some_and(|writer| writer.try_send(Message::Flush(reply)).is_ok()) {
        let _ = written.recv_timeout(timeout);
    }
}

fn append(buffer: &mut ThreadBuffer, mut line: Line) {
    line.bytes.extend_from_slice(b"}\n");
    buffer.bytes.extend_from_slice(&line.bytes);
}

/// A log line under construction.
pub struct Line {
    bytes: Vec<u8>,
}

impl Line {
    /// Creates a line with the name of the event and the current wall-clock time.
    pub fn new(event: &'static str) -> Line {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let bytes = format!("{{\"unix_ms\":{unix_ms},\"event\":\"{event}\"").into_bytes();
        Line { bytes }
    }

    /// Adds a field, or nothing when `value` cannot be serialized as JSON.
    pub fn field<T: Serialize>(mut self, name: &'static str, value: T) -> Line {
        let before = self.bytes.len();
        self.bytes.extend_from_slice(b",\"");
        self.bytes.extend_from_slice(name.as_bytes());
        self.bytes.extend_from_slice(b"\":");
        if serde_json::to_writer(&mut self.bytes, &value).is_err() {
            // A partly written value would make the whole line invalid JSON.
            self.bytes.truncate(before);
        }
        self
    }

    /// Buffers the line until the next [`flush`].
    pub fn log(self) {
        BUFFER.with_borrow_mut(|buffer| match buffer.lines < MAX_LINES_PER_FLUSH {
            true => {
                buffer.lines += 1;
                append(buffer, self);
            }
            false => {
                buffer.dropped += 1;
                buffer.dropped_total += 1;
            }
        });
    }
}

#[cfg(test)]
mod tests;
