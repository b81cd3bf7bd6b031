//! The record of configurations, written by whichever node can.
//!
//! Every node notes the versions it takes on; the node that is first among
//! those that serve writes the records. When it fails before a record is
//! written, the next one is first and goes on from its own notes. A record is
//! written under the condition that there is none for its version, so it
//! exists once, whoever writes it and however often an answer is lost.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use audit::VersionRecord;
use route::{Table, Version};

use crate::follow::SourceError;
use crate::forward::Node;
use crate::state::{Peer, State};

/// How often a node looks whether there is something for it to record.
const LOOK: Duration = Duration::from_millis(500);

/// A version is recorded this long after it was taken on: a node that has just
/// started knows no peers yet and would take itself for the first.
const SETTLED: Duration = Duration::from_secs(2);

/// While a record is due for less than this, a peer that this node has heard of, but not from, is
/// taken to serve: its record is the one that gets written, and others cost a call each (22 of 312
/// nodes wrote the first one). Later such a peer may be one that was never able to serve.
const PRESUMED_FOR: Duration = Duration::from_secs(20);

/// Pause after a failed write.
const RETRY: Duration = Duration::from_secs(2);

/// For how long a record that is written is remembered, to be written again if the platform comes back
/// from a copy that lacks it: such copies are some seconds old.
const WRITTEN_FOR: Duration = Duration::from_secs(60);

/// Versions remembered by a node that does not write records itself. It needs
/// only those that the first node may not have written when it failed.
const REMEMBERED_MOST: usize = 16;

/// Longest diff in a record, in bytes: what a row of the platform's store takes, less the rest of
/// the record and its encoding.
const DIFF_MOST_BYTES: usize = 32 * 1024;

/// Where records are kept.
pub trait Records: 'static {
    /// Writes a record; false when there is one for its version already.
    fn write(&self, record: &VersionRecord) -> impl Future<Output = Result<bool, SourceError>>;
}

/// Versions taken on that may have no record yet, oldest first.
#[derive(Default)]
pub struct Unrecorded {
    steps: Vec<Step>,
    /// Those that were recorded of late, and when.
    recorded: Vec<(Step, Instant)>,
}

/// One change of configuration.
#[derive(Clone)]
struct Step {
    before: Option<Rc<Table>>,
    table: Rc<Table>,
    noted_at: Instant,
    at_unix_ms: u64,
}

impl Unrecorded {
    /// Notes that `table` was taken on in place of `before`.
    pub fn push(&mut self, before: Option<Rc<Table>>, table: Rc<Table>) {
        let at_unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.steps.push(Step { before, table, noted_at: Instant::now(), at_unix_ms });
        if self.steps.len() > REMEMBERED_MOST {
            self.steps.remove(0);
        }
    }

    /// Takes that the record of a version is written.
    fn is_recorded(&mut self, version: Version, now: Instant) {
        let is_recent =
            |(_, at): &(Step, Instant)| now.saturating_duration_since(*at) < WRITTEN_FOR;
        self.recorded.retain(is_recent);
        let written = self.steps.extract_if(.., |step| step.table.version == version);
        self.recorded.extend(written.map(|step| (step, now)));
    }

    /// Takes that records which were written of late may be gone.
    fn write_again(&mut self, now: Instant) {
        let recent = std::mem::take(&mut self.recorded).into_iter();
        let recent = recent.filter(|(_, at)| now.saturating_duration_since(*at) < WRITTEN_FOR);
        self.steps.splice(..0, recent.map(|(step, _)| step));
    }
}

/// Returns true when this node is the one that writes a record that has been due for `due_for`: the
/// first by address among those that are alive and serve, or may.
pub fn is_recorder(state: &State, due_for: Duration) -> bool {
    let me = state.settings.peer_addr;
    let serves = |peer: &Peer| match due_for < PRESUMED_FOR {
        true => peer.may_serve(),
        false => peer.may_serve() && peer.heads_received,
    };
    state.is_ready() && !state.peers.iter().any(|(addr, peer)| *addr < me && serves(peer))
}

/// Writes records forever.
pub async fn run<R: Records>(records: R, node: Rc<Node>) {
    let mut store_rollbacks = 0;
    loop {
        monoio::time::sleep(LOOK).await;
        {
            let state = &mut *node.state.borrow_mut();
            if std::mem::replace(&mut store_rollbacks, state.store_rollbacks) < store_rollbacks {
                state.unrecorded.write_again(Instant::now());
            }
        }
        let Some(record) = next_record(&node) else { continue };
        match records.write(&record).await {
            Ok(written) => {
                let now = Instant::now();
                node.state.borrow_mut().unrecorded.is_recorded(record.version, now);
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
                monoio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Returns the oldest record that this node has to write.
fn next_record(node: &Node) -> Option<VersionRecord> {
    let state = node.state.borrow();
    let Step { before, table, noted_at, at_unix_ms } = state.unrecorded.steps.first()?.clone();
    let due_for = noted_at.elapsed().checked_sub(SETTLED)?;
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
    record.truncate_diff(DIFF_MOST_BYTES);
    Some(record)
}
