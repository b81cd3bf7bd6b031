//! Keeps at the platform which requests are held back.
//!
//! What only nodes know is gone once all of them are restarted at the same moment, and the request
//! would crash upstreams anew. The node that is first among those that serve writes each such
//! request to the platform, and while there is one it waits there for an operator's word that lifts
//! it. After a restart of all nodes that node reads what is kept, and the others hear of it from it.
//! While nothing is held back, no other call is made.

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

/// How often a node looks whether there is something for it to do.
const LOOK: Duration = Duration::from_millis(250);

/// Time from its start after which a node knows its peers: sooner each would take itself for the first.
/// Within the three seconds after its start in which nothing is asked of it.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Longest time that one wait for an operator's word lasts. Where its connection goes silent, the word is
/// not heard of before.
const WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed call, and after several: each is paid for, refused ones too.
const RETRY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(30));

/// A finding as it is kept, and who wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// What was found.
    pub finding: Finding,
    /// The entry node that wrote it, or the operator who lifted it.
    pub written_by: SmolStr,
    /// When it was written.
    pub at_unix_ms: u64,
    /// Why an operator lifted it; nodes give no reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// A finding that is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// What is kept.
    pub hold: Hold,
    /// The change that last wrote it.
    pub written_at: Cursor,
}

/// Findings that are kept, as of a moment.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The findings that were read.
    pub kept: Vec<Kept>,
    /// Where to wait for changes from.
    pub cursor: Cursor,
}

/// Where findings are kept.
pub trait Holds: 'static {
    /// Reads all of them.
    fn all(&self) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Waits up to `wait` for those that changed after `cursor`.
    fn changes(
        &self,
        cursor: Cursor,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Writes one in place of what was written at `over`, or of nothing if that is 0; false when
    /// something else is there by now. The word of an operator is written with its audit record.
    fn keep(&self, hold: &Hold, over: Cursor) -> impl Future<Output = Result<bool, SourceError>>;
}

/// For how long an operator's word is remembered, to be written again if the platform comes back from a
/// copy that lacks it: such copies are some seconds old.
const WORDS_FOR: Duration = Duration::from_secs(60);

/// What this node knows of what is kept.
#[derive(Default)]
struct Known {
    rows: HashMap<ContentKey, Kept>,
    cursor: Cursor,
    /// What operators wrote of late, and when this node read it.
    words: HashMap<ContentKey, (Hold, Instant)>,
}

impl Known {
    /// Returns what is still known when all that is kept has to be read again.
    fn to_be_read(&self) -> Known {
        let is_recent = |(_, (_, at)): &(&ContentKey, &(Hold, Instant))| at.elapsed() < WORDS_FOR;
        let words = self.words.iter().filter(is_recent);
        let words = words.map(|(content, word)| (*content, word.clone())).collect();
        Known { words, ..Known::default() }
    }

    fn take(&mut self, node: &Node, batch: Batch) {
        self.cursor = self.cursor.max(batch.cursor);
        for kept in batch.kept {
            node.hear_finding(&kept.hold.finding, "the platform");
            if kept.hold.why.is_some() {
                let word = (kept.hold.clone(), Instant::now());
                self.words.insert(kept.hold.finding.content, word);
            }
            self.rows.insert(kept.hold.finding.content, kept);
        }
        node.wake_gossip();
    }

    /// Returns the next finding that this node has to write, and over which version.
    fn due(&self, node: &Node) -> Option<(Hold, Cursor)> {
        let state = node.state.borrow();
        if !is_keeper(&state) {
            return None;
        }
        if let Some(word) = self.lost_word() {
            return Some(word);
        }
        let is_due = |finding: &&Finding| match self.rows.get(&finding.content) {
            Some(kept) => {
                let kept = &kept.hold.finding;
                kept.epoch < finding.epoch || kept.is_quarantined() != finding.is_quarantined()
            }
            None => state.quarantine.is_quarantined(finding.content),
        };
        let finding = state.quarantine.all().find(is_due)?.clone();
        let over = self.rows.get(&finding.content).map_or(0, |kept| kept.written_at);
        let written_by = state.settings.node_id.clone();
        Some((Hold { finding, written_by, at_unix_ms: unix_ms(), why: None }, over))
    }

    /// Returns an operator's word that is not kept any more, and over what it is to be written.
    fn lost_word(&self) -> Option<(Hold, Cursor)> {
        let (word, row) = self.words.iter().find_map(|(content, (word, _))| {
            let row = self.rows.get(content);
            let is_lost = row.is_none_or(|row| row.hold.finding.epoch < word.finding.epoch);
            is_lost.then_some((word, row))
        })?;
        Some((word.clone(), row.map_or(0, |row| row.written_at)))
    }
}

/// Returns true when this node is the one that writes findings and waits for an operator's word.
fn is_keeper(state: &State) -> bool {
    record::is_recorder(state, Duration::ZERO) && !state.roster.store_is_unreachable()
}

/// Returns true when a node that was restarted must read what is kept, since it is the one that keeps
/// it: the others may have been restarted at the same moment.
fn reads_at_start(state: &State) -> bool {
    let is_settled = state.started_at.elapsed() >= SETTLED;
    !state.settings.bootstrap && is_settled && is_keeper(state)
}

/// Keeps findings forever.
pub async fn run<H: Holds>(holds: H, node: Rc<Node>) {
    let mut known: Option<Known> = None;
    let mut pause = RETRY.0;
    // What was read is of an older copy; how often the platform had gone back by then.
    let (mut is_outdated, mut store_rollbacks) = (false, 0);
    loop {
        monoio::time::sleep(LOOK).await;
        let (is_keeper, holds_any, must_read) = {
            let state = node.state.borrow();
            is_outdated |=
                std::mem::replace(&mut store_rollbacks, state.store_rollbacks) < store_rollbacks;
            let holds_any = state.quarantine.quarantined().next().is_some();
            let knows_any = holds_any || state.quarantine.all().any(|finding| finding.epoch > 0);
            let is_keeper = is_keeper(&state);
            let must_read = match is_outdated {
                true => is_keeper && knows_any,
                false => known.is_none() && reads_at_start(&state),
            };
            (is_keeper, holds_any, must_read)
        };
        let done = match &mut known {
            Some(_) if is_outdated && !must_read => Ok(()),
            old if must_read || (old.is_none() && is_keeper && holds_any) => {
                holds.all().await.map(|batch| {
                    let read = old.as_ref().map(Known::to_be_read).unwrap_or_default();
                    old.insert(read).take(&node, batch);
                    is_outdated = false;
                })
            }
            Some(known) if is_keeper && (holds_any || known.due(&node).is_some()) => {
                match keep_or_wait(&holds, &node, known).await {
                    // Somebody else wrote, or the history is gone: everything is read again.
                    Ok(true) => Ok(()),
                    Ok(false) | Err(SourceError::HistoryGone) => holds.all().await.map(|batch| {
                        *known = known.to_be_read();
                        known.take(&node, batch);
                    }),
                    Err(err) => Err(err),
                }
            }
            _ => Ok(()),
        };
        match done {
            Ok(()) => pause = RETRY.0,
            Err(err) => {
                trace::Line::new("holds_failed").field("error", err.to_string()).log();
                monoio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY.1);
            }
        }
    }
}

/// Writes what is due, or waits for changes; false when what is kept must be read again.
async fn keep_or_wait<H: Holds>(
    holds: &H,
    node: &Node,
    known: &mut Known,
) -> Result<bool, SourceError> {
    if let Some((hold, over)) = known.due(node) {
        let written = holds.keep(&hold, over).await?;
        if written {
            trace::Line::new("hold_kept")
                .field("content", hold.finding.content)
                .field("held", hold.finding.is_quarantined())
                .log();
            // Which change wrote it is not known: to write it again, it is read again.
            let (content, written_at) = (hold.finding.content, Cursor::MAX);
            known.rows.insert(content, Kept { hold, written_at });
        }
        return Ok(written);
    }
    let cursor = known.cursor;
    let changes = monoio::select! {
        changes = holds.changes(cursor, WAIT) => changes?,
        () = until_due(node, known) => return Ok(true),
    };
    known.take(node, changes);
    Ok(true)
}

/// Ends once this node has something to write, or is not the one that waits any more.
async fn until_due(node: &Node, known: &Known) {
    while known.due(node).is_none() && is_keeper(&node.state.borrow()) {
        monoio::time::sleep(LOOK).await;
    }
}
