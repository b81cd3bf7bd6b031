//! Keeps the node's beliefs in step with the platform.
//!
//! The platform is whatever implements [`Source`]. A failed read keeps what is
//! held: an outage of the platform must not empty a node's configuration or
//! its pools. A node whose place in the history was lost reads everything again.

mod apply;

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use rand::Rng;

pub(crate) use self::apply::adopt;
pub use self::apply::{apply_upstreams, expire};

use self::apply::apply;
use crate::forward::Node;
use crate::history::{self, Cursor};
use crate::readers;

/// Time for an answer that the platform is not asked to wait with. A platform eighty times slower than
/// usual answers within 0.4 s.
const PATIENCE: Duration = Duration::from_secs(1);

/// Pause after a change before the next wait begins. Changes come in series,
/// and each wait ends with the first one: without a pause a series of forty
/// costs forty calls, with it the rest is taken in one.
const PAUSE: Duration = Duration::from_millis(150);

/// Pauses after failed reads: the first, and the longest. A node that was cut
/// off must be in step again three seconds after the cut heals, and what
/// vanished meanwhile is kept for two of them.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(700));

/// Times the pause can double.
const RETRY_DOUBLINGS: u32 = 4;

/// While the platform does not answer one follower, the others wait for it
/// this long before they try too: each call is paid for, refused ones too.
const WAIT_FOR_OTHER: Duration = Duration::from_secs(3);

/// Time after a first read in which a peer may be found to read through. Well
/// below the time within which changes must be in force.
const SETTLE: Duration = Duration::from_secs(1);

/// The same for a node that knows of a reader: where hundreds of nodes restart at once, some readers
/// are asked only in the second second. Still within the time in which changes must be in force at
/// the soonest.
const SETTLE_BESIDE_READER: Duration = Duration::from_secs(2);

/// How often a follower looks whether it has fallen behind.
const LOOK: Duration = Duration::from_millis(100);

/// The same for a node that holds nothing yet: callers wait for it.
const LOOK_AT_START: Duration = Duration::from_millis(5);

/// A peer that has seen more for this long shows that the own wait for changes
/// is dead: usually all nodes hear of a change within a few milliseconds, or
/// [`PAUSE`] later. Shorter than that, each series of changes would send half
/// of the fleet to the platform.
const BEHIND_FOR: Duration = Duration::from_millis(350);

/// What can be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration, and which availability zones are evacuated.
    Config,
    /// The list of upstreams.
    Upstreams,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Topic::Config => "config",
            Topic::Upstreams => "upstreams",
        }
    }
}

/// One thing that was read.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration as it is now.
    Config(route::Table),
    /// An availability zone is evacuated from now on, or no longer; of topic [`Topic::Config`].
    Evacuation {
        /// The zone.
        zone: place::Zone,
        /// Whether its upstreams get nothing.
        is_evacuated: bool,
    },
    /// Something about one upstream.
    Upstream(place::Event),
}

/// What one read returned.
#[derive(Clone, Debug)]
pub struct Batch {
    /// What was read, in order.
    pub events: Vec<Event>,
    /// Where to go on from.
    pub cursor: Cursor,
    /// The newest change among the events; 0 when there is none.
    pub newest: Cursor,
}

quick_error! {
    /// Why a read failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SourceError {
        /// The platform cannot be reached, is too busy, or did not answer in time.
        Unavailable(message: String) {
            display("unavailable: {}", message)
        }
        /// The wait for changes was given up: others have seen changes that it did not tell.
        Behind {
            display("behind other entry nodes")
        }
        /// The history asked for is no longer kept.
        HistoryGone {
            display("history no longer kept")
        }
        /// The answer cannot be read.
        BadAnswer(message: String) {
            display("bad answer: {}", message)
        }
    }
}

/// The platform as the node reads it.
pub trait Source: 'static {
    /// Reads all there is of a topic.
    fn snapshot(&self, topic: Topic) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Waits up to `wait` for what changed after `cursor`; nothing changed if the batch is empty.
    /// An answer that takes `patience` longer is given up.
    fn changes(
        &self,
        topic: Topic,
        cursor: Cursor,
        wait: Duration,
        patience: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Returns true when the platform takes a connection within `timeout`; no call is made.
    fn takes_connections(&self, timeout: Duration) -> impl Future<Output = bool>;
}

/// Follows one topic forever.
pub async fn run<S: Source>(source: S, topic: Topic, node: Rc<Node>) {
    let mut cursor: Option<Cursor> = None;
    let mut failures = 0;
    loop {
        if !node.state.borrow().reads_directly {
            // What a peer kept through an outage is not told again by the platform's history:
            // reading the platform again begins with everything.
            (cursor, failures) = (None, 0);
            let holds_all = node.state.borrow().has_read_all_topics();
            monoio::time::sleep(if holds_all { LOOK } else { LOOK_AT_START }).await;
            continue;
        }
        if cursor.is_none() && topic == Topic::Config {
            until_list_is_read(&node).await;
        }
        let (asked_at, bound) = (Instant::now(), node.state.borrow().staleness_bound(topic));
        let waits = cursor.is_some() && failures == 0;
        let read = match cursor {
            None => source.snapshot(topic).await,
            // Nothing is kept waiting after a failure: the answer shows at once what was missed.
            Some(after) if !waits => source.changes(topic, after, Duration::ZERO, PATIENCE).await,
            Some(after) => monoio::select! {
                read = source.changes(
                    topic,
                    after,
                    bound.long_poll_timeout(),
                    bound.long_poll_grace(),
                ) => read,
                () = behind(&node, topic) => Err(SourceError::Behind),
                () = until_indirect(&node) => continue,
            },
        };
        let read = read.and_then(|batch| in_order(&node, topic, batch));
        count(&node, &read);
        let pause = match read {
            Ok(batch) => {
                regained(&node, topic, failures);
                let first = cursor.is_none();
                let changed = !batch.events.is_empty() && cursor.is_some() && failures == 0;
                failures = 0;
                let as_of = match waits {
                    true => bound.as_of(asked_at, Instant::now(), batch.events.is_empty()),
                    false => asked_at,
                };
                node.state.borrow_mut().progress_mut(topic).lease.renew(as_of);
                // Seen before it is applied: what is passed on to subscribers says up to where.
                let batch = without_older_words(&node, topic, batch);
                if seen(&node, topic, batch.cursor, batch.newest) {
                    doubt_what_is_read(&node, topic);
                }
                apply(&node, topic, batch.events, cursor.is_none());
                cursor = Some(batch.cursor);
                match () {
                    () if first => {
                        settle(&node, topic).await;
                        Duration::ZERO
                    }
                    () if changed => PAUSE,
                    () => Duration::ZERO,
                }
            }
            Err(SourceError::Behind) => {
                trace::Line::new("behind_peers")
                    .field("topic", topic.name())
                    .field("cursor", cursor)
                    .log();
                failures += 1;
                Duration::ZERO
            }
            Err(SourceError::HistoryGone) => {
                let line = trace::Line::new("history_gone").field("topic", topic.name());
                line.field("cursor", cursor).log();
                cursor = None;
                jittered(RETRY.0)
            }
            // Its connection may have gone silent alone: a new one tells.
            Err(err) if waits && asked_at.elapsed() >= bound.long_poll_timeout() => {
                lost(&node, topic, failures, asked_at, &err);
                failures += 1;
                Duration::ZERO
            }
            Err(err) => {
                lost(&node, topic, failures, asked_at, &err);
                let_go(&node, topic, asked_at);
                failures += 1;
                let doubled = RETRY.0 * (1 << failures.min(RETRY_DOUBLINGS));
                let most = readers::longest_pause(&node.state.borrow(), RETRY.1);
                // Nodes that can wait long begin with that: a short outage is over before they
                // have tried five times.
                jittered(if most > RETRY.1 { most } else { doubled.min(most) })
            }
        };
        pause_unless_behind(&node, topic, pause).await;
        // Without a pause there is reason to think that the platform answers.
        if failures > 0 && !pause.is_zero() && topic == Topic::Config {
            wait_for_other(&node).await;
        }
    }
}

/// Refuses an answer that was on its way when the platform went back.
fn in_order(node: &Node, topic: Topic, batch: Batch) -> Result<Batch, SourceError> {
    let seen = *node.state.borrow_mut().progress_mut(topic);
    match history::era(batch.cursor) < history::era(seen.up_to) {
        true => Err(SourceError::HistoryGone),
        false => Ok(batch),
    }
}

/// Leaves out evacuations as an older read lists them: after its history is gone the platform may answer
/// as of some seconds ago, and would have requests sent to a zone that was evacuated since. What changed
/// after that read is told by the next one.
fn without_older_words(node: &Node, topic: Topic, mut batch: Batch) -> Batch {
    let seen = *node.state.borrow_mut().progress_mut(topic);
    let is_of_this_era = history::era(batch.cursor) == history::era(seen.up_to);
    if topic == Topic::Config && is_of_this_era && batch.cursor < seen.newest {
        batch.events.retain(|event| !matches!(event, Event::Evacuation { .. }));
        let zones = node.state.borrow().evacuations.zones().clone();
        let held = zones.into_iter().map(|zone| Event::Evacuation { zone, is_evacuated: true });
        batch.events.extend(held);
    }
    batch
}

/// Has what is read of a platform that went back not count before its writers could write again.
fn doubt_what_is_read(node: &Node, topic: Topic) {
    let (state, now) = (&mut *node.state.borrow_mut(), Instant::now());
    match topic {
        Topic::Config => state.evacuations.store_rolled_back(now),
        Topic::Upstreams => state.roster.store_rolled_back(now),
    }
}

fn count(node: &Node, read: &Result<Batch, SourceError>) {
    let counters = &mut node.state.borrow_mut().counters;
    match read {
        Ok(_) => counters.reads += 1,
        // Nothing was answered, and nothing failed: the wait was given up.
        Err(SourceError::Behind) => {}
        Err(_) => counters.reads_failed += 1,
    }
}

/// Pauses, and no longer than usual once peers have seen more: the platform answers them.
async fn pause_unless_behind(node: &Node, topic: Topic, pause: Duration) {
    let since = Instant::now();
    monoio::time::sleep(pause.min(RETRY.1)).await;
    wait_while(LOOK, || since.elapsed() < pause && !node.state.borrow().is_behind(topic)).await;
}

/// Waits a little after everything was read: usually a peer is found meanwhile that passes the
/// changes on, and the first wait at the platform is saved. A node that peers ask reads on at once:
/// after a restart of all nodes it has read a little less than those who ask it, who would turn it
/// down and read everything again themselves.
async fn settle(node: &Node, topic: Topic) {
    let since = Instant::now();
    let may_wait = || {
        let state = node.state.borrow();
        let longest = match readers::is_reader(&state, state.settings.peer_addr) {
            true => SETTLE,
            false => SETTLE_BESIDE_READER,
        };
        let is_sure = state.is_fresh(topic, Instant::now());
        state.reads_directly
            && is_sure
            && !node.subscribers.are_waiting()
            && since.elapsed() < longest
    };
    wait_while(LOOK, may_wait).await;
}

async fn until_indirect(node: &Node) {
    wait_while(LOOK, || node.state.borrow().reads_directly).await;
}

/// Waits while something holds, and looks again each `look`.
async fn wait_while(look: Duration, holds: impl Fn() -> bool) {
    while holds() {
        monoio::time::sleep(look).await;
    }
}

/// Waits until the follower of the upstreams has found the platform to answer, at a node that lost
/// its reader and serves meanwhile by what it holds.
///
/// The load pattern: the platform is silent, the readers let hundreds of nodes go at once, and each
/// asks for both topics in vain, again and again: of 3,100 calls of a day half were these. A node that
/// is not sure of its configuration any more does not wait.
async fn until_list_is_read(node: &Node) {
    let may_wait = || {
        let state = node.state.borrow();
        let serves = state.reads_directly && state.has_read_all_topics();
        serves && !state.list_from_platform && state.is_fresh(Topic::Config, Instant::now())
    };
    wait_while(LOOK_AT_START, may_wait).await;
}

/// Waits while the platform does not answer the follower of the upstreams either, nor peers.
async fn wait_for_other(node: &Node) {
    let since = Instant::now();
    let is_away = || {
        let state = node.state.borrow();
        state.roster.store_is_unreachable() && !state.is_behind(Topic::Config)
    };
    wait_while(LOOK, || is_away() && since.elapsed() < WAIT_FOR_OTHER).await;
}

/// Ends once a peer has seen changes of the topic that this node has not, for a while.
///
/// A connection can go silent without an error, or its answer be stuck in the
/// retransmission timer of a cut that has healed. The wait for changes then
/// lasts many seconds while the node serves by an old configuration.
pub(crate) async fn behind(node: &Node, topic: Topic) {
    let mut since: Option<Instant> = None;
    loop {
        monoio::time::sleep(LOOK).await;
        let is_behind = node.state.borrow().is_behind(topic);
        since = match since {
            _ if !is_behind => None,
            Some(since) if since.elapsed() >= BEHIND_FOR => return,
            Some(since) => Some(since),
            None => Some(Instant::now()),
        };
    }
}

/// Takes how far a topic was read; returns true when the platform has come back from an older copy
/// since.
fn seen(node: &Node, topic: Topic, up_to: Cursor, newest: Cursor) -> bool {
    let state = &mut *node.state.borrow_mut();
    let seen = state.progress_mut(topic);
    let (era, before) = (history::era(up_to), history::era(seen.up_to));
    let went_back = seen.has_read && era > before;
    seen.has_read = true;
    seen.up_to = seen.up_to.max(up_to);
    seen.newest = seen.newest.max(newest);
    if went_back {
        state.store_rollbacks += 1;
        trace::Line::new("store_went_back")
            .field("topic", topic.name())
            .field("era", era)
            .field("before", before)
            .log();
    }
    went_back
}

/// Spreads the calls of many nodes that failed at the same moment.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.6..1.2))
}

fn lost(node: &Node, topic: Topic, failures: u32, asked_at: Instant, err: &SourceError) {
    if topic == Topic::Upstreams {
        node.state.borrow_mut().roster.store_lost(asked_at);
    }
    if failures == 0 {
        trace::Line::new("store_lost")
            .field("topic", topic.name())
            .field("error", err.to_string())
            .log();
    }
}

/// Lets subscribers go: they may be answered where this node is not.
fn let_go(node: &Node, topic: Topic, asked_at: Instant) {
    let bound = node.state.borrow().staleness_bound(topic);
    node.subscribers.drop_all(asked_at.elapsed() > bound.long_poll_timeout());
}

fn regained(node: &Node, topic: Topic, failures: u32) {
    if topic == Topic::Upstreams {
        let state = &mut *node.state.borrow_mut();
        state.roster.store_answered(Instant::now());
        state.list_from_platform = true;
    }
    if failures > 0 {
        trace::Line::new("store_regained")
            .field("topic", topic.name())
            .field("failures", failures)
            .log();
    }
}
