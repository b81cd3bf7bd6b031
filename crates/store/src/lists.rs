//! Decodes lists of the platform, into which other writers may have put invalid entries.
//!
//! Each entry is decoded by itself, so that one that is nested too deeply, holds a number that is too
//! large, or names no address keeps no reader from the others. Such an entry is left out and logged.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::proto::{Row, Rows, Version, Vm, VmChanges};

/// Maximum number of entries of one list that are logged with a line each.
const MAX_LOGGED_ENTRIES: usize = 5;

/// Maximum number of characters that are logged of an entry.
const MAX_LOGGED_CHARS: usize = 120;

quick_error! {
    /// Reasons for rejecting a list.
    #[derive(Debug)]
    pub enum ListError {
        /// The list is not valid JSON, or lacks a field.
        Json(err: serde_json::Error) {
            from()
            display("{}", err)
        }
        /// No entry of a whole list can be decoded: it may be in a form that this build does not
        /// know, and must not be taken for an empty one.
        NoValidEntry {
            display("no entry of the list can be decoded")
        }
    }
}

#[derive(Deserialize)]
struct RawRows<'a> {
    head: Version,
    #[serde(borrow)]
    rows: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawVmChanges<'a> {
    head: Version,
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
}

/// Decodes the rows of a table that were written after commit `since`.
///
/// # Errors
///
/// Returns [`ListError`].
pub(crate) fn rows(body: &[u8], since: Version) -> Result<Rows, ListError> {
    let RawRows { head, rows } = serde_json::from_slice(body)?;
    let rows = match since {
        0 => whole_list(&rows, |_: &Row| true),
        _ => Ok(entries(&rows, |_: &Row| true)),
    };
    Ok(Rows { head, rows: rows? })
}

/// Decodes the VM list.
///
/// # Errors
///
/// Returns [`ListError`].
pub(crate) fn vms(body: &[u8]) -> Result<Vec<Vm>, ListError> {
    let vms: Vec<&RawValue> = serde_json::from_slice(body)?;
    whole_list(&vms, Vm::has_valid_addr)
}

/// Decodes the changes of the VM list after version `since`.
///
/// # Errors
///
/// Returns [`ListError`].
pub(crate) fn vm_changes(body: &[u8], since: Version) -> Result<VmChanges, ListError> {
    let RawVmChanges { head, vms } = serde_json::from_slice(body)?;
    let vms = match since {
        0 => whole_list(&vms, Vm::has_valid_addr),
        _ => Ok(entries(&vms, Vm::has_valid_addr)),
    };
    Ok(VmChanges { head, vms: vms? })
}

fn whole_list<T: DeserializeOwned>(
    raw: &[&RawValue],
    is_valid: impl Fn(&T) -> bool,
) -> Result<Vec<T>, ListError> {
    let decoded = entries(raw, is_valid);
    match decoded.is_empty() && !raw.is_empty() {
        true => Err(ListError::NoValidEntry),
        false => Ok(decoded),
    }
}

/// Decodes entries one by one, and logs those that cannot be decoded.
fn entries<T: DeserializeOwned>(raw: &[&RawValue], is_valid: impl Fn(&T) -> bool) -> Vec<T> {
    let mut decoded = Vec::with_capacity(raw.len());
    let mut rejected = 0;
    for text in raw.iter().map(|entry| entry.get()) {
        let error = match serde_json::from_str::<T>(text) {
            Ok(entry) if is_valid(&entry) => {
                decoded.push(entry);
                continue;
            }
            Ok(_) => "no valid address".to_owned(),
            Err(err) => err.to_string(),
        };
        rejected += 1;
        if rejected <= MAX_LOGGED_ENTRIES {
            let (error, text) = (truncated(&error), truncated(text));
            log::error!("entry of the platform left out: {error}: {text}");
        }
    }
    if rejected > MAX_LOGGED_ENTRIES {
        log::error!("{rejected} of {} entries of the platform left out", raw.len());
    }
    decoded
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
