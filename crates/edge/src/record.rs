//! Writes an audit record of each configuration version, from whichever node can.
//!
//! Every node remembers the versions that it applies; the first by address among the nodes that
//! serve writes the records. If it fails before it has written one, the next node is first and
//! continues from its own memory. A record is written on condition that there is none for its
//! version, so it exists once, whoever writes it and however often a response is lost.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use audit::VersionRecord;
use route::{Table, Version};

use crate::follow::SourceError;
use crate::forward::Node;
use crate::state::{Peer, State};

/// Interval at which a node checks whether it has a record to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between applying a version and recording it: a node that has just started knows no peers
/// yet and would consider itself the first.
const RECORD_DELAY: Duration = Duration::from_secs(2);

/// Time from when a record is due during which a peer that this node has heard of, but not from,
/// is presumed to serve: that peer's record is the one that is kept, and others cost a call each
/// (22 of 312 nodes wrote the first one). After that, such a peer may be one that was never able
/// to serve.
const PRESUMED_SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// Backoff after a failed write.
const RETRY_BACKOFF: Duration = Duration::from_secs(2);

/// Time for which a written record is remembered, to be written again if the platform is restored
/// from a copy without it: such copies are some seconds old.
const WRITTEN_RECORD_TTL: Duration = Duration::from_secs(60);

/// Maximum number of versions remembered by a node that does not write records itself. It needs
/// only those that the first node may not have written when it failed.
const MAX_UNRECORDED: usize = 16;

/// Maximum length of a record's diff in bytes: what a row of the platform's store can hold, less
/// the rest of the record and the encoding.
const MAX_DIFF_BYTES: usize = 32 * 1024;

/// Storage of audit records.
pub trait Records: 'static {
    /// Writes a record; returns false if there already is one for its version.
    fn write(&self, record: &VersionRecord) -> impl Future<Output = Result<bool, SourceError>>;
}

/// Applied versions that may have no record yet, oldest first.
#[derive(Default)]
pub struct Unrecorded {
    pending: Vec<ConfigChange>,
    /// Changes that were recorded recently, and when.
    recorded: Vec<(ConfigChange, Instant)>,
}

/// A change of the configuration.
#[derive(Clone)]
struct ConfigChange {
    before: Option<Rc<Table>>,
    table: Rc<Table>,
    applied_at: Instant,
    at_unix_ms: u64,
}

impl Unrecorded {
    /// Adds the change from `before` to `table`.
    pub fn push(&mut self, before: Option<Rc<Table>>, table: Rc<Table>) {
        let at_unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.pending.push(ConfigChange { before, table, applied_at: Instant::now(), at_unix_ms });
        if self.pending.len() > MAX_UNRECORDED {
            self.pending.remove(0);
        }
    }

    /// Marks a version as recorded.
    fn mark_recorded(&mut self, version: Version, now: Instant) {
        let is_recent = |(_, at): &(ConfigChange, Instant)| {
            now.saturating_duration_since(*at) < WRITTEN_RECORD_TTL
        };
        self.recorded.retain(is_recent);
        let written = self.pending.extract_if(.., |change| change.table.version == version);
        self.recorded.extend(written.map(|change| (change, now)));
    }

    /// Queues recently written records again, since they may be gone.
    fn requeue_recent(&mut self, now: Instant) {
        let recent = std::mem::take(&mut self.recorded).into_iter();
        let recent =
            recent.filter(|(_, at)| now.saturating_duration_since(*at) < WRITTEN_RECORD_TTL);
        self.pending.splice(..0, recent.map(|(change, _)| change));
    }
}

/// Returns true if this node is the one that writes a record that has been due for `due_for`: the
/// first by address among those that are alive and serve, or may.
pub fn is_recorder(state: &State, due_for: Duration) -> bool {
    let me = state.settings.peer_addr;
    let serves = |peer: &Peer| match due_for < PRESUMED_SERVING_TIMEOUT {
        true => peer.may_serve(),
        false => peer.may_serve() && peer.heads_received,
    };
    state.is_ready() && !state.peers.iter().any(|(addr, peer)| *addr < me && serves(peer))
}

/// Writes records forever.
pub async fn run<R: Records>(records: R, node: Rc<Node>) {
    let mut rollbacks = 0;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        {
            let state = &mut *node.state.borrow_mut();
            if std::mem::replace(&mut rollbacks, state.store_rollbacks) < rollbacks {
                state.unrecorded.requeue_recent(Instant::now());
            }
        }
        let Some(record) = next_record(&node) else { continue };
        match records.write(&record).await {
            Ok(written) => {
                let now = Instant::now();
                node.state.borrow_mut().unrecorded.mark_recorded(record.version, now);
                trace::Line::new("config_recorded")
                    .field("version", record.version)
                    .field("by_this_node", written)
                    .log();
            }
            Err(err) => {
                trace::Line::new("record_failed")
                    .field("version", record.version)
                    .field("error", err.to_string())
                    .log();
                monoio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Returns the oldest record that this node has to write.
fn next_record(node: &Node) -> Option<VersionRecord> {
    let state = node.state.borrow();
    let ConfigChange { before, table, applied_at, at_unix_ms } =
        state.unrecorded.pending.first()?.clone();
    let due_for = applied_at.elapsed().checked_sub(RECORD_DELAY)?;
    if !is_recorder(&state, due_for) || state.roster.store_is_unreachable() {
        return None;
    }
    let text = |table: &Rc<Table>| table.to_text();
    let old = before.as_ref().map(text).unwrap_or_default();
    let mut record = VersionRecord {
        version: table.version,
        base_version: table.base_version,
        held_before: before.map_or(0, |table| table.version),
        node_id: state.settings.node_id.clone(),
        at_unix_ms,
        diff: audit::diff(&old, &text(&table)),
        diff_lines_left_out: 0,
    };
    record.truncate_diff(MAX_DIFF_BYTES);
    Some(record)
}
