//! Parser for one line of an entry node's log.

use serde_json::Value;

/// A parsed log line.
pub(crate) struct Line {
    pub(crate) unix_ms: u64,
    /// Text before the JSON object, such as a node name added by a log collector.
    pub(crate) prefix: String,
    pub(crate) value: Value,
}

/// Parses a line; returns `None` if it contains no JSON object with a time.
pub(crate) fn parse(text: &str) -> Option<Line> {
    let at = text.find('{')?;
    let value: Value = serde_json::from_str(&text[at..]).ok()?;
    let unix_ms = value["unix_ms"].as_u64()?;
    Some(Line { unix_ms, prefix: text[..at].trim().to_owned(), value })
}
