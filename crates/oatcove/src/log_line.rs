//! One line of an entry node's log.

use serde_json::Value;

/// One line of a log.
pub(crate) struct Line {
    pub(crate) unix_ms: u64,
    /// What stood before the JSON object, such as a node's name put there by a collector.
    pub(crate) prefix: String,
    pub(crate) value: Value,
}

/// Reads a line; `None` when it holds no object of ours.
pub(crate) fn parse(text: &str) -> Option<Line> {
    let at = text.find('{')?;
    let value: Value = serde_json::from_str(&text[at..]).ok()?;
    let unix_ms = value["unix_ms"].as_u64()?;
    Some(Line { unix_ms, prefix: text[..at].trim().to_owned(), value })
}
