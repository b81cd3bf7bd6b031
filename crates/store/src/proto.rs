//! JSON messages of the platform protocol (table service and VM list).

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Commit sequence number of the table service; a row's version is that of the commit that last
/// wrote it.
pub type Version = u64;

/// Identifier that a writer chooses for a change, so that it can later find out whether the change
/// was committed.
pub type ChangeId = SmolStr;

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key within its table.
    pub key: SmolStr,
    /// Version of the commit that last wrote the row.
    pub version: Version,
    /// Text of the row.
    pub value: String,
    /// Change id of the commit that last wrote the row.
    pub change_id: ChangeId,
}

/// The rows of one table that were written after a given commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Latest commit of the whole table service at the time of the response.
    pub head: Version,
    /// Matching rows, sorted by key.
    pub rows: Vec<Row>,
}

/// A conditional write within a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Name of the table.
    pub table: SmolStr,
    /// Key of the row.
    pub key: SmolStr,
    /// Version that the writer read; 0 means that the row must not exist yet.
    pub expected_version: Version,
    /// New text of the row.
    pub value: String,
}

/// A transaction: either all writes commit under one version, or none does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The writer's identifier of the change, stored in every written row.
    pub change_id: ChangeId,
    /// The writes of the transaction.
    pub writes: Vec<Write>,
}

/// Response to a committed transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Version of every row that the transaction wrote.
    pub version: Version,
}

/// Response to a transaction that was rejected because a row has changed since it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Table of the first row with a version other than expected.
    pub table: SmolStr,
    /// Key of that row.
    pub key: SmolStr,
    /// Current version of that row.
    pub current_version: Version,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Serving.
    Live,
    /// About to stop; should get no new requests.
    Leaving,
    /// Removed from the list; appears only in [`VmChanges`], to tell readers to drop the VM.
    Gone,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry VM, which runs `oatcoved`.
    Entry,
    /// An upstream VM, which serves one service.
    Upstream,
}

/// One entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address that callers (for entry VMs) or entry nodes (for upstreams) connect to.
    pub addr: std::net::SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Role of the VM.
    pub role: VmRole,
    /// Service that an upstream VM serves; empty for entry VMs.
    #[serde(default)]
    pub service: SmolStr,
    /// Lifecycle state.
    pub state: VmState,
    /// Identifier of this VM, never reused; empty when the platform provides none.
    #[serde(default)]
    pub id: SmolStr,
}

impl Vm {
    /// Returns true if a VM can have this address.
    pub fn has_valid_addr(&self) -> bool {
        let ip = self.addr.ip();
        self.addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    }
}

/// Value of a row of the drains table whose key is an upstream's address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Identifier of the drained VM; empty when the VM list provided none, and in rows written
    /// before VMs had identifiers.
    #[serde(default)]
    pub vm_id: SmolStr,
    /// Whether an operator has lifted the drain.
    #[serde(default)]
    pub lifted: bool,
}

impl Drain {
    /// Returns true when the drain is in force for `vm`, which must be the VM at the row's address.
    /// An empty identifier matches any VM.
    pub fn applies_to(&self, vm: &Vm) -> bool {
        !self.lifted && (self.vm_id.is_empty() || vm.id.is_empty() || self.vm_id == vm.id)
    }
}

/// Value of a row of the drains table whose key names an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether an operator has lifted the evacuation.
    #[serde(default)]
    pub lifted: bool,
}

/// Changes of the VM list after a given version, from `GET /v1/vms?since=V`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChanges {
    /// Version of the newest change included, from which to read next time.
    pub head: Version,
    /// Latest state of every changed VM; [`VmState::Gone`] for removed ones.
    pub vms: Vec<Vm>,
}

/// Faults that the platform stand-in injects, set with `POST /v1/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// While true, every request fails with status 503.
    #[serde(default)]
    pub outage: bool,
    /// Delay added before each response, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of upcoming transactions that commit but get no response.
    #[serde(default)]
    pub lose_acks: u64,
    /// Number of upcoming transactions that get no response and are executed only after
    /// [`Faults::late_ms`].
    #[serde(default)]
    pub late_commits: u64,
    /// Delay of late transactions, in milliseconds.
    #[serde(default)]
    pub late_ms: u64,
    /// How far the served VM list lags behind the actual one, in milliseconds.
    #[serde(default)]
    pub vm_lag_ms: u64,
}
