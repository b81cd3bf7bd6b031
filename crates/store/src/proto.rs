//! JSON shapes of the platform protocol (table service and VM list).

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Commit sequence number of the table service; a row's version is the commit that last wrote it.
pub type Version = u64;

/// Identifier a writer picks for one change, so it can later tell whether the change landed.
pub type ChangeId = SmolStr;

/// One row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key within its table.
    pub key: SmolStr,
    /// Commit that last wrote the row.
    pub version: Version,
    /// Stored text.
    pub value: String,
    /// Change id of the commit that last wrote the row.
    pub change_id: ChangeId,
}

/// Rows of one table written after a given commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Latest commit of the whole service when the answer was made.
    pub head: Version,
    /// Matching rows, by key.
    pub rows: Vec<Row>,
}

/// One conditional write inside a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Table name.
    pub table: SmolStr,
    /// Row key.
    pub key: SmolStr,
    /// Version the writer read; 0 means the row must not exist yet.
    pub expected_version: Version,
    /// New text of the row.
    pub value: String,
}

/// A transaction: all writes commit together under one version, or none does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The writer's id for this change, stored on every written row.
    pub change_id: ChangeId,
    /// Conditional writes.
    pub writes: Vec<Write>,
}

/// Answer to a committed transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Version given to every row the transaction wrote.
    pub version: Version,
}

/// Answer to a transaction refused because a row changed since it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Table of the first row whose version did not match.
    pub table: SmolStr,
    /// Key of that row.
    pub key: SmolStr,
    /// Its version now.
    pub current_version: Version,
}

/// Whether a VM is serving or on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Serving.
    Live,
    /// Planned to stop; should get no new work.
    Leaving,
    /// No longer in the list; appears only in change feeds, so followers drop it.
    Gone,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry VM running `oatcoved`.
    Entry,
    /// An upstream VM serving one service.
    Upstream,
}

/// One entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address callers or entry nodes connect to.
    pub addr: std::net::SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Role of the VM.
    pub role: VmRole,
    /// Service served, for upstreams; empty for entry VMs.
    #[serde(default)]
    pub service: SmolStr,
    /// Live or leaving.
    pub state: VmState,
    /// Id of this VM, new for each VM; empty where the platform gives none.
    #[serde(default)]
    pub id: SmolStr,
}

/// Value of a row of the drains table, whose key is the upstream's address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Id of the VM drained; empty when the VM list gave none, and in rows of before ids.
    #[serde(default)]
    pub vm_id: SmolStr,
    /// Whether an operator took the drain back.
    #[serde(default)]
    pub lifted: bool,
}

impl Drain {
    /// Returns true when the drain is in force for `vm`.
    pub fn holds_for(&self, vm: &Vm) -> bool {
        !self.lifted && (self.vm_id.is_empty() || vm.id.is_empty() || self.vm_id == vm.id)
    }
}

/// Value of a row of the drains table whose key names an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether an operator took it back.
    #[serde(default)]
    pub lifted: bool,
}

/// Changes of the VM list after a given version, from `GET /v1/vms?since=V`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChanges {
    /// Version of the newest change included; ask with it next time.
    pub head: Version,
    /// The latest state of every VM that changed, `Gone` for those removed.
    pub vms: Vec<Vm>,
}

/// Faults the platform stand-in injects, set through `POST /v1/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Every request fails with 503 while true.
    #[serde(default)]
    pub outage: bool,
    /// Added delay before each answer.
    #[serde(default)]
    pub delay_ms: u64,
    /// The next this many committed transactions drop their answer (the write stays).
    #[serde(default)]
    pub lose_acks: u64,
    /// The next this many transactions get no answer and are only tried after [`Faults::late_ms`].
    #[serde(default)]
    pub late_commits: u64,
    /// How much later.
    #[serde(default)]
    pub late_ms: u64,
    /// How far behind the truth the VM list is served.
    #[serde(default)]
    pub vm_lag_ms: u64,
}
