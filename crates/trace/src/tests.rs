use std::sync::mpsc::{channel, Sender};

use crate::{flush, start, Line, MAX_LINES_PER_FLUSH};

/// A writer that blocks until the test opens its gate, and then passes each write to the test.
struct BlockingWriter {
    written: Sender<Vec<u8>>,
    gate: std::sync::mpsc::Receiver<()>,
}

impl std::io::Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.gate.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that stall while nobody reads standard output, because the thread that
/// serves them writes to a full pipe.
#[test]
fn a_blocked_writer_drops_lines_and_never_blocks_logging() {
    let (written, seen) = channel();
    let (open, gate) = channel();
    start(BlockingWriter { written, gate }).expect("thread starts");
    for round in 0..50 {
        for n in 0..2 * MAX_LINES_PER_FLUSH {
            Line::new("test").field("round", round).field("n", n).field("text", "a\"b\n").log();
        }
        flush();
    }
    drop(open);
    flush();
    let first = seen.recv().expect("the first buffer is written");
    let text = String::from_utf8(first).expect("text");
    assert_eq!(
        text.lines().count(),
        MAX_LINES_PER_FLUSH + 1,
        "at most MAX_LINES_PER_FLUSH lines and the report"
    );
    for line in text.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(value["event"].is_string() && value["unix_ms"].is_u64(), "{line}");
    }
    let last = text.lines().last().expect("lines");
    let value: serde_json::Value = serde_json::from_str(last).expect("JSON");
    assert_eq!(value["event"], "lines_dropped");
    assert_eq!(value["count"], MAX_LINES_PER_FLUSH);
}
