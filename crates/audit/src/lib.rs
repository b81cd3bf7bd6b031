//! Audit records of accepted configuration changes.
//!
//! A record is committed in the same transaction as the template it
//! describes, so the trail can hold neither a change that did not happen nor
//! miss one that did.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One accepted change of one template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The writer's change id, also stored on the template row.
    pub change_id: SmolStr,
    /// Service whose template changed.
    pub service: SmolStr,
    /// Who applied it, as the operator named themselves.
    pub actor: SmolStr,
    /// When the CLI sent it, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Version of the template row that was read before the change; 0 for a new template.
    pub version_before: u64,
    /// Unified diff of the template text, old to new.
    pub diff: String,
}

impl Record {
    /// Encodes the record as the JSON text stored in the audit table.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("record encodes")
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns the decoder's message when the text is not a record.
    pub fn from_json(text: &str) -> Result<Record, String> {
        serde_json::from_str(text).map_err(|err| err.to_string())
    }
}

/// Returns a unified diff from `old` to `new`, with three lines of context.
pub fn diff(old: &str, new: &str) -> String {
    similar::TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(3)
        .header("before", "after")
        .to_string()
}
