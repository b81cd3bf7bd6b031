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

/// One version of the routing configuration, as the entry nodes came to hold it.
///
/// Where operators write the configuration to the platform themselves, the
/// entry nodes see versions and not authors. The record tells what changed
/// against the version held before, and which version the author had changed:
/// where the two differ, versions in between were never seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version.
    pub version: u64,
    /// The version that its author changed; 0 when it does not say.
    pub base_version: u64,
    /// The version that the recording node held before; 0 when it held none.
    pub held_before: u64,
    /// The recording node.
    pub node_id: SmolStr,
    /// When that node took it on, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Unified diff against the version held before.
    pub diff: String,
    /// Lines of the diff that were left out for want of room.
    pub diff_lines_left_out: usize,
}

impl VersionRecord {
    /// Shortens the diff to at most `most_bytes`, at the end of a line.
    pub fn bound_diff(&mut self, most_bytes: usize) {
        if self.diff.len() <= most_bytes {
            return;
        }
        let mut kept = 0;
        let mut lines = 0;
        for line in self.diff.split_inclusive('\n') {
            match kept + line.len() <= most_bytes {
                true => kept += line.len(),
                false => lines += 1,
            }
            if lines > 0 {
                break;
            }
        }
        self.diff_lines_left_out = self.diff[kept..].lines().count();
        self.diff.truncate(kept);
    }

    /// Encodes the record as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("record encodes")
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns the decoder's message when the text is not a record.
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
