//! Stores quarantined requests at the platform.
//!
//! Findings that only nodes have are lost when all nodes are restarted at the same moment, and the
//! request would crash upstreams again. Among the nodes that serve, the first by address is the
//! writer: it writes each such finding to the platform and, while a request is quarantined,
//! long-polls the platform for an operator's decision to lift it. After a restart of all nodes the
//! writer reads the stored findings, and the others get them from it. While no request is
//! quarantined, no other call is made.

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quarantine::{ContentKey, Finding};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::follow::SourceError;
use crate::forward::Node;
use crate::history::Cursor;
use crate::record;
use crate::state::State;
use crate::unix_ms;

/// Interval at which a node checks whether it has something to do.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time from its start after which a node knows its peers: before that each would consider itself
/// the first. Shorter than the three seconds after its start in which nothing is required of a
/// node.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Maximum duration of one long poll for an operator's decision. If its connection goes silent,
/// the decision is not seen earlier.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Backoff after failed calls: initial and maximum. Each call is paid for, including rejected
/// ones.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(30));

/// A finding as it is stored, and who wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The finding.
    pub finding: Finding,
    /// The entry node that wrote it, or the operator who lifted it.
    pub written_by: SmolStr,
    /// Unix time in milliseconds when it was written.
    pub at_unix_ms: u64,
    /// Why an operator lifted it; nodes give no reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// A stored finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHold {
    /// The stored value.
    pub hold: Hold,
    /// The change that last wrote it.
    pub written_at: Cursor,
}

/// Stored findings as of a moment.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The findings that were read.
    pub holds: Vec<StoredHold>,
    /// The position to wait for changes from.
    pub cursor: Cursor,
}

/// Storage of findings.
pub trait Holds: 'static {
    /// Reads all findings.
    fn all(&self) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Waits up to `long_poll_timeout` for findings that changed after `cursor`.
    fn changes(
        &self,
        cursor: Cursor,
        long_poll_timeout: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Writes a finding in place of the one written at `expected`, or of none if that is 0;
    /// returns false if something else is stored by now. An operator's decision is written with
    /// its audit record.
    fn save(
        &self,
        hold: &Hold,
        expected: Cursor,
    ) -> impl Future<Output = Result<bool, SourceError>>;
}

/// Time for which an operator's decision is remembered, to be written again if the platform is
/// restored from a copy without it: such copies are some seconds old.
const OPERATOR_HOLD_TTL: Duration = Duration::from_secs(60);

/// What this node knows of the stored findings.
#[derive(Default)]
struct StoredHolds {
    rows: HashMap<ContentKey, StoredHold>,
    cursor: Cursor,
    /// What operators wrote recently, and when this node read it.
    operator_holds: HashMap<ContentKey, (Hold, Instant)>,
}

impl StoredHolds {
    /// Returns what remains known when all stored findings have to be read again.
    fn for_reread(&self) -> StoredHolds {
        let is_recent =
            |(_, (_, at)): &(&ContentKey, &(Hold, Instant))| at.elapsed() < OPERATOR_HOLD_TTL;
        let operator_holds = self.operator_holds.iter().filter(is_recent);
        let operator_holds =
            operator_holds.map(|(content, decision)| (*content, decision.clone())).collect();
        StoredHolds { operator_holds, ..StoredHolds::default() }
    }

    fn apply(&mut self, node: &Node, batch: Batch) {
        self.cursor = self.cursor.max(batch.cursor);
        for entry in batch.holds {
            node.merge_finding(&entry.hold.finding, "the platform");
            if entry.hold.why.is_some() {
                let decision = (entry.hold.clone(), Instant::now());
                self.operator_holds.insert(entry.hold.finding.content, decision);
            }
            self.rows.insert(entry.hold.finding.content, entry);
        }
        node.wake_gossip();
    }

    /// Returns the next finding that this node has to write, and the position of the one it
    /// replaces.
    fn next_due(&self, node: &Node) -> Option<(Hold, Cursor)> {
        let state = node.state.borrow();
        if !is_writer(&state) {
            return None;
        }
        if let Some(decision) = self.lost_operator_hold() {
            return Some(decision);
        }
        let is_due = |finding: &&Finding| match self.rows.get(&finding.content) {
            Some(entry) => {
                let entry = &entry.hold.finding;
                entry.epoch < finding.epoch || entry.is_quarantined() != finding.is_quarantined()
            }
            None => state.quarantine.is_quarantined(finding.content),
        };
        let finding = state.quarantine.all().find(is_due)?.clone();
        let expected = self.rows.get(&finding.content).map_or(0, |entry| entry.written_at);
        let written_by = state.settings.node_id.clone();
        Some((Hold { finding, written_by, at_unix_ms: unix_ms(), why: None }, expected))
    }

    /// Returns an operator's decision that is no longer stored, and the position of what it
    /// replaces.
    fn lost_operator_hold(&self) -> Option<(Hold, Cursor)> {
        let (decision, row) = self.operator_holds.iter().find_map(|(content, (decision, _))| {
            let row = self.rows.get(content);
            let is_lost = row.is_none_or(|row| row.hold.finding.epoch < decision.finding.epoch);
            is_lost.then_some((decision, row))
        })?;
        Some((decision.clone(), row.map_or(0, |row| row.written_at)))
    }
}

/// Returns true if this node is the writer of findings, which also waits for operators' decisions.
fn is_writer(state: &State) -> bool {
    record::is_recorder(state, Duration::ZERO) && !state.roster.store_is_unreachable()
}

/// Returns true if a restarted node must read the stored findings, since it is the writer: all
/// other nodes may have been restarted at the same moment.
fn must_read_at_start(state: &State) -> bool {
    let is_settled = state.started_at.elapsed() >= PEER_DISCOVERY_TIME;
    !state.settings.bootstrap && is_settled && is_writer(state)
}

/// Stores findings forever.
pub async fn run<H: Holds>(holds: H, node: Rc<Node>) {
    let mut stored: Option<StoredHolds> = None;
    let mut pause = RETRY_BACKOFF.0;
    // Whether the findings were read before the platform's latest rollback, and the number of
    // rollbacks so far.
    let (mut is_outdated, mut rollbacks) = (false, 0);
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let (is_writer, has_quarantined, must_read) = {
            let state = node.state.borrow();
            is_outdated |= std::mem::replace(&mut rollbacks, state.store_rollbacks) < rollbacks;
            let has_quarantined = state.quarantine.quarantined().next().is_some();
            let has_findings =
                has_quarantined || state.quarantine.all().any(|finding| finding.epoch > 0);
            let is_writer = is_writer(&state);
            let must_read = match is_outdated {
                true => is_writer && has_findings,
                false => stored.is_none() && must_read_at_start(&state),
            };
            (is_writer, has_quarantined, must_read)
        };
        let done = match &mut stored {
            Some(_) if is_outdated && !must_read => Ok(()),
            old if must_read || (old.is_none() && is_writer && has_quarantined) => {
                holds.all().await.map(|batch| {
                    let read = old.as_ref().map(StoredHolds::for_reread).unwrap_or_default();
                    old.insert(read).apply(&node, batch);
                    is_outdated = false;
                })
            }
            Some(stored) if is_writer && (has_quarantined || stored.next_due(&node).is_some()) => {
                match write_or_wait(&holds, &node, stored).await {
                    // Another writer was faster, or the history is gone: everything is read again.
                    Ok(true) => Ok(()),
                    Ok(false) | Err(SourceError::HistoryGone) => holds.all().await.map(|batch| {
                        *stored = stored.for_reread();
                        stored.apply(&node, batch);
                    }),
                    Err(err) => Err(err),
                }
            }
            _ => Ok(()),
        };
        match done {
            Ok(()) => pause = RETRY_BACKOFF.0,
            Err(err) => {
                trace::Line::new("holds_failed").field("error", err.to_string()).log();
                monoio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_BACKOFF.1);
            }
        }
    }
}

/// Writes what is due, or waits for changes; returns false if the findings must be read again.
async fn write_or_wait<H: Holds>(
    holds: &H,
    node: &Node,
    stored: &mut StoredHolds,
) -> Result<bool, SourceError> {
    if let Some((hold, expected)) = stored.next_due(node) {
        let written = holds.save(&hold, expected).await?;
        if written {
            trace::Line::new("hold_kept")
                .field("content", hold.finding.content)
                .field("held", hold.finding.is_quarantined())
                .log();
            // The position of this write is unknown: before it can be replaced, it is read again.
            let (content, written_at) = (hold.finding.content, Cursor::MAX);
            stored.rows.insert(content, StoredHold { hold, written_at });
        }
        return Ok(written);
    }
    let cursor = stored.cursor;
    let changes = monoio::select! {
        changes = holds.changes(cursor, LONG_POLL_TIMEOUT) => changes?,
        () = wait_until_due(node, stored) => return Ok(true),
    };
    stored.apply(node, changes);
    Ok(true)
}

/// Returns once this node has something to write, or is no longer the writer.
async fn wait_until_due(node: &Node, stored: &StoredHolds) {
    while stored.next_due(node).is_none() && is_writer(&node.state.borrow()) {
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
}
