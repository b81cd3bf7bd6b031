//! Applying a template: checked, compared-and-swapped, audited, never doubled.

use std::time::{Duration, SystemTime};

use quick_error::quick_error;
use smol_str::SmolStr;
use store::{proto, Store, StoreError};

/// How long an apply keeps trying while the platform is unavailable or answers are lost.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Tries of each call.
    pub tries: u32,
    /// Wait after the first failed try; doubled after each.
    pub first_backoff: Duration,
}

impl Default for Patience {
    /// Eight tries from 100 ms: about 25 s in all, longer than a usual store hiccup.
    fn default() -> Self {
        Patience { tries: 8, first_backoff: Duration::from_millis(100) }
    }
}

quick_error! {
    /// Why a template was not applied.
    #[derive(Debug)]
    pub enum ApplyError {
        /// The template has findings; nothing was written.
        Invalid(findings: config::Findings) {
            display("template rejected:\n{}", findings)
        }
        /// Another change landed after this one read the template; nothing was written.
        Conflict(current_version: proto::Version) {
            display("conflict: the template changed since it was read and is now at version {}; \
                     read it again and re-apply", current_version)
        }
        /// The platform stayed unavailable; nothing was written.
        Unavailable(err: StoreError) {
            display("platform unavailable, nothing written: {}", err)
        }
        /// The outcome could not be learned: the change may or may not be in force.
        Unknown(err: StoreError) {
            display("outcome unknown: {}; `oatcove audit log` shows whether it landed", err)
        }
    }
}

/// What an apply did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force at this version.
    Written {
        /// Version of the template row now.
        version: proto::Version,
        /// Id of the change, also on its audit record.
        change_id: SmolStr,
    },
    /// The stored template is already this text; nothing was written.
    Unchanged {
        /// Version of the template row.
        version: proto::Version,
    },
}

/// Checks `text` as a template and writes it with its audit record.
///
/// The write is a transaction conditional on the version read, so of two
/// operators racing on one template exactly one wins and the other gets
/// [`ApplyError::Conflict`]. When the platform's answer is lost, the audit
/// record is looked for: it exists exactly when the change landed.
///
/// # Errors
///
/// See [`ApplyError`]; in every case but `Unknown` nothing was written.
pub async fn apply(
    store: &Store,
    text: &str,
    actor: &str,
    patience: Patience,
) -> Result<Applied, ApplyError> {
    let template = config::Template::parse(text).map_err(ApplyError::Invalid)?;
    let service = template.service;
    let current = with_retries(patience, || store.get(store::TEMPLATES, &service)).await?;
    let (version_before, old_text) = match &current {
        Some(row) if row.value == text => return Ok(Applied::Unchanged { version: row.version }),
        Some(row) => (row.version, row.value.as_str()),
        None => (0, ""),
    };
    let change_id = new_change_id();
    let record = audit::Record {
        change_id: change_id.clone(),
        service: service.clone(),
        actor: actor.into(),
        at_unix_ms: unix_ms(),
        version_before,
        diff: audit::diff(old_text, text),
    };
    let write = proto::Write {
        table: store::TEMPLATES.into(),
        key: service,
        expected_version: version_before,
        value: text.to_owned(),
    };
    commit(store, write, &record, patience)
        .await
        .map(|version| Applied::Written { version, change_id })
}

/// Marks the upstream VM `vm_id` at `upstream` drained, or with `lift` takes that back,
/// with its audit record.
///
/// Every entry node stops sending it new calls once it reads the drain
/// (within one `config_poll_ms`), whatever the lagging VM list says. The drain
/// holds for that VM only: another VM that comes to the address gets work.
///
/// # Errors
///
/// As [`apply`]; a drain already as asked for is [`Applied::Unchanged`].
pub async fn drain(
    store: &Store,
    upstream: std::net::SocketAddr,
    vm_id: &str,
    lift: bool,
    actor: &str,
    patience: Patience,
) -> Result<Applied, ApplyError> {
    let wanted = proto::Drain { vm_id: vm_id.into(), lifted: lift };
    let verb = if lift { "-drain" } else { "+drain" };
    let mark = Mark {
        kind: "drains",
        key: smol_str::format_smolstr!("{upstream}"),
        value: serde_json::to_string(&wanted).expect("drain encodes"),
        is_lifted: lift,
        diff: format!("{verb} {upstream} vm_id {vm_id}\n"),
    };
    write_mark(store, mark, actor, patience).await
}

/// Evacuates an availability zone, or with `lift` takes that back, with its audit record.
///
/// Every entry node stops sending its upstreams new calls once it reads the evacuation (within one
/// `config_poll_ms`); calls under way end.
///
/// # Errors
///
/// As [`apply`]; a zone already as asked for is [`Applied::Unchanged`].
pub async fn evacuate(
    store: &Store,
    zone: &str,
    lift: bool,
    actor: &str,
    patience: Patience,
) -> Result<Applied, ApplyError> {
    let wanted = proto::Evacuation { lifted: lift };
    let verb = if lift { "-evacuate" } else { "+evacuate" };
    let mark = Mark {
        key: smol_str::format_smolstr!("{}{zone}", store::EVACUATED_PREFIX),
        kind: "zones",
        value: serde_json::to_string(&wanted).expect("evacuation encodes"),
        is_lifted: lift,
        diff: format!("{verb} {zone}\n"),
    };
    write_mark(store, mark, actor, patience).await
}

/// A row by which an operator marks something, or takes that back.
struct Mark {
    /// What its audit record stands under, in place of a service.
    kind: &'static str,
    key: SmolStr,
    value: String,
    is_lifted: bool,
    diff: String,
}

async fn write_mark(
    store: &Store,
    mark: Mark,
    actor: &str,
    patience: Patience,
) -> Result<Applied, ApplyError> {
    let Mark { kind, key, value, is_lifted, diff } = mark;
    let current = with_retries(patience, || store.get(store::DRAINS, &key)).await?;
    let version_before = match &current {
        Some(row) if row.value == value => return Ok(Applied::Unchanged { version: row.version }),
        Some(row) => row.version,
        None if is_lifted => return Ok(Applied::Unchanged { version: 0 }),
        None => 0,
    };
    let change_id = new_change_id();
    let record = audit::Record {
        change_id: change_id.clone(),
        service: kind.into(),
        actor: actor.into(),
        at_unix_ms: unix_ms(),
        version_before,
        diff,
    };
    let write = proto::Write {
        table: store::DRAINS.into(),
        key: key.clone(),
        expected_version: version_before,
        value: value.clone(),
    };
    match commit(store, write, &record, patience).await {
        Ok(version) => Ok(Applied::Written { version, change_id }),
        Err(ApplyError::Conflict(version)) => {
            // Another operator may have asked for the very same: then it holds.
            match store.get(store::DRAINS, &key).await {
                Ok(Some(row)) if row.value == value => {
                    Ok(Applied::Unchanged { version: row.version })
                }
                _ => Err(ApplyError::Conflict(version)),
            }
        }
        Err(err) => Err(err),
    }
}

/// Commits `write` with its audit record in one transaction, resolving lost answers by the record.
///
/// The audit record is what tells whether the change landed: its key holds
/// the change id and nothing ever writes it again. The changed row does not
/// tell: another operator may have replaced it since, and an accepted change
/// would be reported as refused.
async fn commit(
    store: &Store,
    write: proto::Write,
    record: &audit::Record,
    patience: Patience,
) -> Result<proto::Version, ApplyError> {
    let audit_key = smol_str::format_smolstr!("{}/{}", record.service, record.change_id);
    let audit_write = proto::Write {
        table: store::AUDIT.into(),
        key: audit_key.clone(),
        expected_version: 0,
        value: record.to_json(),
    };
    let txn = proto::Txn { change_id: record.change_id.clone(), writes: vec![write, audit_write] };
    let mut backoff = patience.first_backoff;
    let mut last = StoreError::Unavailable("no try made".to_owned());
    let mut maybe_written = false;
    for _ in 0..patience.tries {
        match try_commit(store, &txn, &audit_key, &mut maybe_written).await {
            Ok(version) => return Ok(version),
            Err(Failed::ForGood(err)) => return Err(err),
            Err(Failed::ThisTime(err)) => last = err,
        }
        monoio::time::sleep(backoff).await;
        backoff *= 2;
    }
    match maybe_written {
        true => Err(ApplyError::Unknown(last)),
        false => Err(ApplyError::Unavailable(last)),
    }
}

/// Why one try of a commit failed.
enum Failed {
    /// Another try may succeed.
    ThisTime(StoreError),
    /// No further try can.
    ForGood(ApplyError),
}

/// Returns the version at which the change of the audit record at `audit_key` landed, if it did.
async fn landed(store: &Store, audit_key: &str) -> Result<Option<proto::Version>, Failed> {
    let record = store.get(store::AUDIT, audit_key).await.map_err(Failed::ThisTime)?;
    Ok(record.map(|row| row.version))
}

/// Tries `txn` once; `maybe_written` says, before and after, whether a try may have landed unseen.
///
/// Sending again is safe: the audit record must not exist yet, so at most one
/// of all tries ever lands.
async fn try_commit(
    store: &Store,
    txn: &proto::Txn,
    audit_key: &str,
    maybe_written: &mut bool,
) -> Result<proto::Version, Failed> {
    if *maybe_written {
        if let Some(version) = landed(store, audit_key).await? {
            return Ok(version);
        }
    }
    match store.commit(txn).await {
        Ok(committed) => Ok(committed.version),
        Err(StoreError::Conflict(conflict)) if *maybe_written => {
            // The row moved on, so no earlier try can land any more; one may have landed, though.
            let conflict = Failed::ForGood(ApplyError::Conflict(conflict.current_version));
            landed(store, audit_key).await?.ok_or(conflict)
        }
        Err(StoreError::Conflict(conflict)) => {
            Err(Failed::ForGood(ApplyError::Conflict(conflict.current_version)))
        }
        Err(err @ (StoreError::Unknown(_) | StoreError::BadResponse(_))) => {
            *maybe_written = true;
            Err(Failed::ThisTime(err))
        }
        Err(err @ StoreError::Unavailable(_)) => Err(Failed::ThisTime(err)),
    }
}

/// Runs a read, retrying while the platform is unavailable.
async fn with_retries<T, F, Fut>(patience: Patience, mut read: F) -> Result<T, ApplyError>
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = Result<T, StoreError>>,
{
    let mut backoff = patience.first_backoff;
    let mut last = StoreError::Unavailable("no try made".to_owned());
    for _ in 0..patience.tries {
        match read().await {
            Ok(value) => return Ok(value),
            Err(err) => last = err,
        }
        monoio::time::sleep(backoff).await;
        backoff *= 2;
    }
    Err(ApplyError::Unavailable(last))
}

fn new_change_id() -> SmolStr {
    smol_str::format_smolstr!("{:016x}", rand::random::<u64>())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

#[cfg(test)]
mod tests;
