use std::sync::mpsc::{channel, Sender};

use crate::{flush, start, Line, LINES_PER_FLUSH};

/// Hands each write to the test, and waits for the test to take it.
struct Stuck {
    written: Sender<Vec<u8>>,
    gate: std::sync::mpsc::Receiver<()>,
}

impl std::io::Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.gate.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Symptom: requests stall for as long as nobody reads the process's output.
/// Sequence: the reader of standard output stops; lines go on being logged.
/// Cause: a write to a full pipe on the thread that serves requests.
#[test]
fn a_stuck_reader_costs_lines_and_never_blocks() {
    let (written, seen) = channel();
    let (open, gate) = channel();
    start(Stuck { written, gate }).expect("thread starts");
    for round in 0..50 {
        for n in 0..2 * LINES_PER_FLUSH {
            Line::new("test").field("round", round).field("n", n).field("text", "a\"b\n").log();
        }
        flush();
    }
    drop(open);
    flush();
    let first = seen.recv().expect("the first buffer gets through");
    let text = String::from_utf8(first).expect("text");
    assert_eq!(text.lines().count(), LINES_PER_FLUSH + 1, "bounded between flushes");
    for line in text.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(value["event"].is_string() && value["unix_ms"].is_u64(), "{line}");
    }
    let last = text.lines().last().expect("lines");
    let value: serde_json::Value = serde_json::from_str(last).expect("JSON");
    assert_eq!(value["event"], "lines_dropped");
    assert_eq!(value["count"], LINES_PER_FLUSH);
}
