//! Changes to templates, drains and evacuations.
//!
//! Each change is a compare-and-swap, is written together with its audit record, and takes effect
//! at most once even if responses of the platform are lost.

use std::time::{Duration, SystemTime};

use quick_error::quick_error;
use smol_str::SmolStr;
use store::{proto, Store, StoreError};

/// Retries of a change while the platform is unavailable or its responses are lost.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Maximum number of attempts of each request to the platform.
    pub max_attempts: u32,
    /// Delay after the first failed attempt; it doubles with each further one.
    pub initial_backoff: Duration,
}

impl Default for RetryConfig {
    /// Returns eight attempts with delays from 100 ms on: about 25 s in all, which is longer than
    /// the platform is usually unavailable.
    fn default() -> Self {
        RetryConfig { max_attempts: 8, initial_backoff: Duration::from_millis(100) }
    }
}

quick_error! {
    /// The reason why a change was not applied.
    #[derive(Debug)]
    pub enum ApplyError {
        /// The template is invalid; nothing was written.
        Invalid(findings: config::Findings) {
            display("template rejected:\n{}", findings)
        }
        /// Another change was committed after the current version was read; nothing was written.
        Conflict(current_version: proto::Version) {
            display("conflict: another change was committed first, as version {}; \
                     read the current state and apply your change again", current_version)
        }
        /// The platform was unavailable at every attempt; nothing was written.
        Unavailable(err: StoreError) {
            display("platform unavailable, nothing written: {}", err)
        }
        /// The outcome could not be determined: the change may or may not be in force.
        Unknown(err: StoreError) {
            display(
                "outcome unknown: {}; `oatcove audit log` shows whether the change was committed",
                err
            )
        }
    }
}

quick_error! {
    /// The reason why a team was not changed.
    #[derive(Debug)]
    pub enum EditTeamError {
        /// The service has no template; nothing was written.
        UnknownService(service: SmolStr) {
            display("there is no template of a service {}", service)
        }
        /// The template cannot be edited; nothing was written.
        Edit(err: config::EditError) {
            from()
            display("{}", err)
        }
        /// The changed template was not written.
        Apply(err: ApplyError) {
            from()
            display("{}", err)
        }
    }
}

/// Result of a successful change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force at this version.
    Written {
        /// New version of the row.
        version: proto::Version,
        /// Identifier of the change, also in its audit record.
        change_id: SmolStr,
    },
    /// The stored row already has this value; nothing was written.
    Unchanged {
        /// Version of the row; 0 if there is none, because nothing was there to lift.
        version: proto::Version,
    },
}

/// Validates `text` as a template and writes it with its audit record.
///
/// The transaction is conditional on the version that was read: if two operators change the same
/// template at once, exactly one succeeds and the other gets [`ApplyError::Conflict`]. If the
/// platform's response is lost, the audit record is read back: it exists if and only if the change
/// was committed.
///
/// # Errors
///
/// See [`ApplyError`]; nothing was written unless it is `Unknown`.
pub async fn apply(
    store: &Store,
    text: &str,
    actor: &str,
    retry: RetryConfig,
) -> Result<Applied, ApplyError> {
    let template = config::Template::parse(text).map_err(ApplyError::Invalid)?;
    let current = with_retries(retry, || store.get(store::TEMPLATES, &template.service)).await?;
    replace(store, current, template.service, text, actor, retry).await
}

/// Changes one team of a service in its template and writes the template with its audit record.
///
/// If another change is committed first, the edit is made again on the new text: edits of
/// different teams and keys do not conflict.
///
/// # Errors
///
/// See [`EditTeamError`]; nothing was written unless it is [`ApplyError::Unknown`].
pub async fn edit_team(
    store: &Store,
    service: &SmolStr,
    team: &str,
    edit: &config::TeamEdit,
    actor: &str,
    retry: RetryConfig,
) -> Result<Applied, EditTeamError> {
    let mut attempts_left = retry.max_attempts;
    loop {
        let current = with_retries(retry, || store.get(store::TEMPLATES, service)).await?;
        let Some(current) = current else {
            return Err(EditTeamError::UnknownService(service.clone()));
        };
        let text = config::edit_team(&current.value, team, edit)?;
        attempts_left = attempts_left.saturating_sub(1);
        match replace(store, Some(current), service.clone(), &text, actor, retry).await {
            Err(ApplyError::Conflict(_)) if attempts_left > 0 => {}
            result => return Ok(result?),
        }
    }
}

/// Writes `text` as the template of `service` in place of `current`, with its audit record.
async fn replace(
    store: &Store,
    current: Option<proto::Row>,
    service: SmolStr,
    text: &str,
    actor: &str,
    retry: RetryConfig,
) -> Result<Applied, ApplyError> {
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
    commit(store, write, &record, retry)
        .await
        .map(|version| Applied::Written { version, change_id })
}

/// Drains the upstream VM `vm_id` at address `upstream`, or lifts its drain if `lift` is set, and
/// writes the audit record.
///
/// Every entry node stops sending new calls to the VM once it has read the drain (within one
/// `config_poll_ms`), whatever the lagging VM list says. The drain applies to that VM only: another
/// VM that gets the address later receives calls. If the row already has the requested value,
/// nothing is written and the result is [`Applied::Unchanged`].
///
/// # Errors
///
/// See [`ApplyError`]; nothing was written unless it is `Unknown`.
pub async fn drain(
    store: &Store,
    upstream: std::net::SocketAddr,
    vm_id: &str,
    lift: bool,
    actor: &str,
    retry: RetryConfig,
) -> Result<Applied, ApplyError> {
    let wanted = proto::Drain { vm_id: vm_id.into(), lifted: lift };
    let change = if lift { "-drain" } else { "+drain" };
    let operator_row = OperatorRow {
        audit_service: "drains",
        key: smol_str::format_smolstr!("{upstream}"),
        value: serde_json::to_string(&wanted).expect("drain can be serialized as JSON"),
        is_lifted: lift,
        diff: format!("{change} {upstream} vm_id {vm_id}\n"),
    };
    write_operator_row(store, operator_row, actor, retry).await
}

/// Evacuates an availability zone, or restores it if `lift` is set, and writes the audit record.
///
/// Every entry node stops sending new calls to the zone's upstreams once it has read the evacuation
/// (within one `config_poll_ms`); calls in flight are completed. If the row already has the
/// requested value, nothing is written and the result is [`Applied::Unchanged`].
///
/// # Errors
///
/// See [`ApplyError`]; nothing was written unless it is `Unknown`.
pub async fn evacuate(
    store: &Store,
    zone: &str,
    lift: bool,
    actor: &str,
    retry: RetryConfig,
) -> Result<Applied, ApplyError> {
    let wanted = proto::Evacuation { lifted: lift };
    let change = if lift { "-evacuate" } else { "+evacuate" };
    let operator_row = OperatorRow {
        key: smol_str::format_smolstr!("{}{zone}", store::EVACUATED_PREFIX),
        audit_service: "zones",
        value: serde_json::to_string(&wanted).expect("evacuation can be serialized as JSON"),
        is_lifted: lift,
        diff: format!("{change} {zone}\n"),
    };
    write_operator_row(store, operator_row, actor, retry).await
}

/// A row of the drains table to be written for an operator: a drain or an evacuation.
struct OperatorRow {
    /// Value of the audit record's service field; the row belongs to no service.
    audit_service: &'static str,
    key: SmolStr,
    value: String,
    is_lifted: bool,
    diff: String,
}

async fn write_operator_row(
    store: &Store,
    operator_row: OperatorRow,
    actor: &str,
    retry: RetryConfig,
) -> Result<Applied, ApplyError> {
    let OperatorRow { audit_service, key, value, is_lifted, diff } = operator_row;
    let current = with_retries(retry, || store.get(store::DRAINS, &key)).await?;
    let version_before = match &current {
        Some(row) if row.value == value => return Ok(Applied::Unchanged { version: row.version }),
        Some(row) => row.version,
        None if is_lifted => return Ok(Applied::Unchanged { version: 0 }),
        None => 0,
    };
    let change_id = new_change_id();
    let record = audit::Record {
        change_id: change_id.clone(),
        service: audit_service.into(),
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
    match commit(store, write, &record, retry).await {
        Ok(version) => Ok(Applied::Written { version, change_id }),
        Err(ApplyError::Conflict(version)) => {
            // Another operator may have written the same value, which is then in force.
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

/// Commits `write` and its audit record in one transaction; reads the record back after a lost
/// response.
///
/// The audit record shows whether the change was committed: its key contains the change id and is
/// never written again. The changed row does not show it: another operator may have replaced it
/// since, and a committed change would be reported as a conflict.
async fn commit(
    store: &Store,
    write: proto::Write,
    record: &audit::Record,
    retry: RetryConfig,
) -> Result<proto::Version, ApplyError> {
    let audit_key = smol_str::format_smolstr!("{}/{}", record.service, record.change_id);
    let audit_write = proto::Write {
        table: store::AUDIT.into(),
        key: audit_key.clone(),
        expected_version: 0,
        value: record.to_json(),
    };
    let txn = proto::Txn { change_id: record.change_id.clone(), writes: vec![write, audit_write] };
    let mut backoff = retry.initial_backoff;
    let mut last_error = StoreError::Unavailable("no try made".to_owned());
    let mut maybe_written = false;
    for _ in 0..retry.max_attempts {
        match try_commit(store, &txn, &audit_key, &mut maybe_written).await {
            Ok(version) => return Ok(version),
            Err(CommitError::Permanent(err)) => return Err(err),
            Err(CommitError::Transient(err)) => last_error = err,
        }
        monoio::time::sleep(backoff).await;
        backoff *= 2;
    }
    match maybe_written {
        true => Err(ApplyError::Unknown(last_error)),
        false => Err(ApplyError::Unavailable(last_error)),
    }
}

/// The reason why one attempt of a commit failed.
enum CommitError {
    /// Another attempt may succeed.
    Transient(StoreError),
    /// No further attempt can succeed.
    Permanent(ApplyError),
}

/// Returns the version of the commit that wrote the audit record at `audit_key`, if there is one.
async fn committed_version(
    store: &Store,
    audit_key: &str,
) -> Result<Option<proto::Version>, CommitError> {
    let record = store.get(store::AUDIT, audit_key).await.map_err(CommitError::Transient)?;
    Ok(record.map(|row| row.version))
}

/// Attempts to commit `txn` once. `maybe_written` states, before and after the call, whether an
/// attempt may have been committed without a response.
///
/// Sending `txn` again is safe: it requires that the audit record does not exist yet, so that at
/// most one of all attempts is committed.
async fn try_commit(
    store: &Store,
    txn: &proto::Txn,
    audit_key: &str,
    maybe_written: &mut bool,
) -> Result<proto::Version, CommitError> {
    if *maybe_written {
        if let Some(version) = committed_version(store, audit_key).await? {
            return Ok(version);
        }
    }
    match store.commit(txn).await {
        Ok(committed) => Ok(committed.version),
        Err(StoreError::Conflict(conflict)) if *maybe_written => {
            // The row has changed, so that no earlier attempt can be committed any more, but one
            // may have been committed before.
            let conflict = CommitError::Permanent(ApplyError::Conflict(conflict.current_version));
            committed_version(store, audit_key).await?.ok_or(conflict)
        }
        Err(StoreError::Conflict(conflict)) => {
            Err(CommitError::Permanent(ApplyError::Conflict(conflict.current_version)))
        }
        Err(err @ (StoreError::Unknown(_) | StoreError::BadResponse(_))) => {
            *maybe_written = true;
            Err(CommitError::Transient(err))
        }
        Err(err @ StoreError::Unavailable(_)) => Err(CommitError::Transient(err)),
    }
}

/// Runs `read` until it succeeds or the attempts are used up.
async fn with_retries<T, F, Fut>(retry: RetryConfig, mut read: F) -> Result<T, ApplyError>
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = Result<T, StoreError>>,
{
    let mut backoff = retry.initial_backoff;
    let mut last_error = StoreError::Unavailable("no try made".to_owned());
    for _ in 0..retry.max_attempts {
        match read().await {
            Ok(value) => return Ok(value),
            Err(err) => last_error = err,
        }
        monoio::time::sleep(backoff).await;
        backoff *= 2;
    }
    Err(ApplyError::Unavailable(last_error))
}

fn new_change_id() -> SmolStr {
    smol_str::format_smolstr!("{:016x}", rand::random::<u64>())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

#[cfg(test)]
mod tests;
