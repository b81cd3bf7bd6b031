//! Audit records of accepted configuration changes.
//!
//! A [`Record`] is committed in the same transaction as the change that it describes, so the audit
//! trail has a record of every change that happened and of no other.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An accepted change of one template, drain or evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The writer's change id, also stored in the changed row.
    pub change_id: SmolStr,
    /// Service whose template changed; `drains` for a drain and `zones` for an evacuation, which
    /// belong to no service.
    pub service: SmolStr,
    /// Who applied the change: the name that the operator gave.
    pub actor: SmolStr,
    /// When the CLI made the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Version of the changed row before the change; 0 for a new row.
    pub version_before: u64,
    /// Unified diff from the old template text to the new one; for a drain or an evacuation, one
    /// line such as `+evacuate attiki-b`.
    pub diff: String,
}

impl Record {
    /// Returns the record as JSON text, as stored in the audit table.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("record can be serialized as JSON")
    }

    /// Parses a stored record.
    ///
    /// # Errors
    ///
    /// Returns the JSON parser's message when `text` is not a record.
    pub fn from_json(text: &str) -> Result<Record, String> {
        serde_json::from_str(text).map_err(|err| err.to_string())
    }
}

/// A version of the routing configuration that an entry node has applied.
///
/// Where operators write the configuration to the platform directly, entry nodes see versions but
/// not their authors. The record contains the diff from the version that the node held before, and
/// the version that the author started from. If these two versions differ, the node has missed
/// versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The applied version.
    pub version: u64,
    /// The version that its author started from; 0 when not stated.
    pub base_version: u64,
    /// The version that the node held before; 0 when it held none.
    pub held_before: u64,
    /// Identifier of the node.
    pub node_id: SmolStr,
    /// When the node applied the version, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Unified diff from the version held before.
    pub diff: String,
    /// Number of lines that were cut from the end of the diff to fit the size limit.
    pub diff_lines_left_out: usize,
}

impl VersionRecord {
    /// Truncates the diff after its last whole line within `max_bytes`, and records the number of
    /// lines cut.
    pub fn truncate_diff(&mut self, max_bytes: usize) {
        if self.diff.len() <= max_bytes {
            return;
        }
        let mut kept_bytes = 0;
        let mut cut_lines = 0;
        for line in self.diff.split_inclusive('\n') {
            match kept_bytes + line.len() <= max_bytes {
                true => kept_bytes += line.len(),
                false => cut_lines += 1,
            }
            if cut_lines > 0 {
                break;
            }
        }
        self.diff_lines_left_out = self.diff[kept_bytes..].lines().count();
        self.diff.truncate(kept_bytes);
    }

    /// Returns the record as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("record can be serialized as JSON")
    }

    /// Parses a stored record.
    ///
    /// # Errors
    ///
    /// Returns the JSON parser's message when `text` is not a record.
    pub fn from_json(text: &str) -> Result<VersionRecord, String> {
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

#[cfg(test)]
mod tests;
