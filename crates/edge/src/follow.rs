//! Keeps the node's copy of the platform's configuration and upstream list up to date.
//!
//! The platform is any implementation of [`Source`]. A failed read leaves the current state in
//! place: an outage of the platform must not empty a node's configuration or its pools. A node
//! whose cursor is no longer in the platform's history reads a full snapshot again.

mod apply;

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lease::{LastRead, Reads};
use quick_error::quick_error;
use rand::Rng;

pub(crate) use self::apply::adopt;
pub use self::apply::{apply_upstreams, expire};

use self::apply::apply;
use crate::forward::Node;
use crate::history::{self, Cursor};
use crate::readers;
use crate::state::State;

/// Time allowed for the response to a request that does not long-poll. A platform that is eighty
/// times slower than usual responds within 0.4 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay between a change and the next long poll. Changes come in bursts and each long poll
/// returns with the first one: without a delay a burst of forty changes costs forty calls, with it
/// the rest arrives in one call.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Backoff after failed reads: initial and maximum. A node that was partitioned must be up to date
/// three seconds after the partition ends, and upstreams that vanished meanwhile are kept for two
/// of these seconds.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(700));

/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// While the platform does not respond to the follower of one topic, the other follower waits this
/// long before it tries too: each call is paid for, including rejected ones.
const OTHER_TOPIC_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the first snapshot during which a node looks for a peer to read through. Well below
/// the time within which changes must be in force.
const PEER_SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Same as [`PEER_SEARCH_TIMEOUT`] for a node that is not a reader: when hundreds of nodes
/// restart at once, some readers get no query in the first second. Still within the
/// shortest time in which changes must be in force.
const NON_READER_PEER_SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a follower checks whether it has fallen behind.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Same as [`CHECK_INTERVAL`] for a node without any state yet: callers are waiting for it.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A peer that has been ahead for this long shows that this node's own long poll delivers nothing:
/// usually all nodes receive a change within a few milliseconds, or [`BATCH_DELAY`] later. With a
/// shorter time, each burst of changes would send half of the fleet to the platform.
const MIN_BEHIND_TIME: Duration = Duration::from_millis(350);

/// A part of the platform's state that a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration, and which availability zones are evacuated.
    Config,
    /// The list of upstreams.
    Upstreams,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 2] = [Topic::Config, Topic::Upstreams];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Topic::Config => "config",
            Topic::Upstreams => "upstreams",
        }
    }
}

/// A change, or an item of a snapshot.
#[derive(Clone, Debug)]
pub enum Event {
    /// The current configuration.
    Config(route::Table),
    /// The evacuation of an availability zone began or ended. Belongs to [`Topic::Config`].
    Evacuation {
        /// The zone.
        zone: place::Zone,
        /// Whether requests are kept away from the zone's upstreams.
        is_evacuated: bool,
    },
    /// A change of one upstream.
    Upstream(place::Event),
}

/// The result of one read.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The events, in order.
    pub events: Vec<Event>,
    /// The position to continue from.
    pub cursor: Cursor,
    /// The newest change among the events; 0 if there are none.
    pub newest: Cursor,
}

quick_error! {
    /// Why a read failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SourceError {
        /// The platform did not respond in time.
        TimedOut {
            display("timed out")
        }
        /// The platform is unreachable or overloaded.
        Unavailable(message: String) {
            display("unavailable: {}", message)
        }
        /// The connection ended before the response.
        ConnectionLost(message: String) {
            display("unavailable: {}", message)
        }
        /// The long poll was cancelled: peers have seen changes that it did not deliver.
        Behind {
            display("behind other entry nodes")
        }
        /// The platform no longer has the history after the given cursor.
        HistoryGone {
            display("history no longer available")
        }
        /// The response cannot be decoded.
        BadResponse(message: String) {
            display("invalid response: {}", message)
        }
    }
}

/// The platform, as a node reads it.
pub trait Source: 'static {
    /// Reads the complete state of a topic.
    fn snapshot(&self, topic: Topic) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Waits up to `long_poll_timeout` for changes after `cursor`; an empty batch means that
    /// nothing changed. A response that is not there `grace` after that is given up.
    fn changes(
        &self,
        topic: Topic,
        cursor: Cursor,
        long_poll_timeout: Duration,
        grace: Duration,
    ) -> impl Future<Output = Result<Batch, SourceError>>;

    /// Returns true if the platform accepts a connection within `timeout`; makes no call.
    fn takes_connections(&self, timeout: Duration) -> impl Future<Output = bool>;
}

/// Follows a topic forever.
pub async fn run<S: Source>(source: S, topic: Topic, node: Rc<Node>) {
    let mut cursor: Option<Cursor> = None;
    let mut failures = 0;
    // Set until the first response after this node has read through a peer.
    let mut resumes = false;
    loop {
        if !node.state.borrow().reads_directly {
            cursor = resume_position(&node.state.borrow(), topic);
            (failures, resumes) = (0, cursor.is_some());
            let has_state = node.state.borrow().has_read_all_topics();
            monoio::time::sleep(if has_state { CHECK_INTERVAL } else { STARTUP_CHECK_INTERVAL })
                .await;
            continue;
        }
        if (cursor.is_none() || resumes) && topic == Topic::Config {
            wait_for_list(&node).await;
        }
        let (requested_at, bound) = (Instant::now(), node.state.borrow().staleness_bound(topic));
        let long_poll =
            lease::LongPoll::new(bound, node.state.borrow().progress(topic).lease, requested_at);
        let is_long_poll = cursor.is_some() && failures == 0 && !resumes;
        let read = match cursor {
            None => source.snapshot(topic).await,
            // No long poll after a failure, or after reading through a peer: an immediate response
            // shows what was missed.
            Some(after) if !is_long_poll => {
                source.changes(topic, after, Duration::ZERO, RESPONSE_TIMEOUT).await
            }
            Some(after) => monoio::select! {
                read = source.changes(
                    topic,
                    after,
                    long_poll.timeout(),
                    bound.long_poll_grace(),
                ) => read,
                () = wait_until_behind(&node, topic) => Err(SourceError::Behind),
                () = wait_until_indirect(&node) => continue,
            },
        };
        let read = read.and_then(|batch| reject_older_era(&node, topic, batch));
        count_read(&node, &read);
        let pause = match read {
            Ok(batch) => {
                let is_first_read = cursor.is_none() || resumes;
                resumes = false;
                let changed = !batch.events.is_empty() && cursor.is_some() && failures == 0;
                let as_of = match is_long_poll {
                    true => long_poll.as_of(Instant::now(), batch.events.is_empty()),
                    false => requested_at,
                };
                node.state.borrow_mut().renew_lease(topic, as_of, Instant::now());
                record_success(&node, topic, failures);
                failures = 0;
                // Recorded before the batch is applied: frames to subscribers carry the position.
                let batch = without_stale_evacuations(&node, topic, batch);
                if record_progress(&node, topic, batch.cursor, batch.newest) {
                    delay_after_rollback(&node, topic);
                }
                apply(&node, topic, batch.events, cursor.is_none());
                cursor = Some(batch.cursor);
                match () {
                    () if is_first_read => {
                        search_for_peer(&node, topic).await;
                        Duration::ZERO
                    }
                    () if changed => BATCH_DELAY,
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
                with_jitter(RETRY_BACKOFF.0)
            }
            // Only this connection may have gone silent or ended: a new one shows whether the
            // platform responds.
            Err(err)
                if is_long_poll
                    && requested_at.elapsed() >= long_poll.timeout() + bound.long_poll_grace() =>
            {
                record_failure(&node, topic, failures, requested_at, &err);
                failures += 1;
                Duration::ZERO
            }
            Err(err @ SourceError::ConnectionLost(_)) if is_long_poll => {
                record_failure(&node, topic, failures, Instant::now(), &err);
                failures += 1;
                Duration::ZERO
            }
            Err(err) => {
                record_failure(&node, topic, failures, requested_at, &err);
                drop_subscribers(&node, topic, requested_at);
                failures += 1;
                let max_backoff = readers::max_retry_backoff(&node.state.borrow(), RETRY_BACKOFF.1);
                with_jitter(backoff(node.state.borrow().progress(topic).reads, max_backoff))
            }
        };
        sleep_unless_behind(&node, topic, pause).await;
        // A delay of zero means that the platform probably responds.
        let has_retried = failures > 1;
        if has_retried && !pause.is_zero() && topic == Topic::Config {
            wait_for_other_topic(&node).await;
        }
    }
}

/// Returns the position from which a node that has read a topic through a peer continues itself;
/// `None` if it must read everything.
///
/// The load pattern: a reader of a large fleet fails, and all of its subscribers read the platform at
/// once. If each reads a large configuration, which has not changed since, none gets it in time. The
/// list of upstreams is read in full: the platform's history does not repeat what a peer kept through
/// an outage.
fn resume_position(state: &State, topic: Topic) -> Option<Cursor> {
    let progress = state.progress(topic);
    (topic == Topic::Config && progress.has_read && state.table.is_some()).then_some(progress.up_to)
}

/// Rejects a response that was in flight when the platform was rolled back.
fn reject_older_era(node: &Node, topic: Topic, batch: Batch) -> Result<Batch, SourceError> {
    let progress = *node.state.borrow_mut().progress_mut(topic);
    match history::era(batch.cursor) < history::era(progress.up_to) {
        true => Err(SourceError::HistoryGone),
        false => Ok(batch),
    }
}

/// Replaces the evacuations in a batch that is older than what this node has seen. After the
/// history is gone, the platform may respond as of some seconds ago, and requests would be sent to
/// a zone that has been evacuated since. The next read delivers what changed after the older
/// state.
fn without_stale_evacuations(node: &Node, topic: Topic, mut batch: Batch) -> Batch {
    let progress = *node.state.borrow_mut().progress_mut(topic);
    let is_same_era = history::era(batch.cursor) == history::era(progress.up_to);
    if topic == Topic::Config && is_same_era && batch.cursor < progress.newest {
        batch.events.retain(|event| !matches!(event, Event::Evacuation { .. }));
        let zones = node.state.borrow().evacuations.zones().clone();
        let known = zones.into_iter().map(|zone| Event::Evacuation { zone, is_evacuated: true });
        batch.events.extend(known);
    }
    batch
}

/// Delays the effect of data from a rolled-back platform until its writers had time to write
/// again.
fn delay_after_rollback(node: &Node, topic: Topic) {
    let (state, now) = (&mut *node.state.borrow_mut(), Instant::now());
    match topic {
        Topic::Config => state.evacuations.store_rolled_back(now),
        Topic::Upstreams => state.roster.store_rolled_back(now),
    }
}

fn count_read(node: &Node, read: &Result<Batch, SourceError>) {
    let counters = &mut node.state.borrow_mut().counters;
    match read {
        Ok(_) => counters.reads += 1,
        // Neither a response nor a failure: the long poll was cancelled.
        Err(SourceError::Behind) => {}
        Err(_) => counters.reads_failed += 1,
    }
}

/// Sleeps for `pause`, but no longer than the usual maximum once peers are ahead: the platform
/// responds to them.
async fn sleep_unless_behind(node: &Node, topic: Topic, pause: Duration) {
    let since = Instant::now();
    monoio::time::sleep(pause.min(RETRY_BACKOFF.1)).await;
    wait_while(CHECK_INTERVAL, || since.elapsed() < pause && !node.state.borrow().is_behind(topic))
        .await;
}

/// Waits briefly after the first snapshot: usually the node finds a peer to read through
/// meanwhile, which saves its first long poll. A node that peers subscribe to continues at once:
/// after a restart of the whole fleet its snapshot is slightly older than those of its
/// subscribers, which would reject it and read everything again themselves.
async fn search_for_peer(node: &Node, topic: Topic) {
    let since = Instant::now();
    let may_wait = || {
        let state = node.state.borrow();
        let timeout = match readers::is_reader(&state, state.settings.peer_addr) {
            true => PEER_SEARCH_TIMEOUT,
            false => NON_READER_PEER_SEARCH_TIMEOUT,
        };
        let is_fresh = state.is_fresh(topic, Instant::now());
        state.reads_directly
            && is_fresh
            && !node.subscribers.is_in_use()
            && since.elapsed() < timeout
    };
    wait_while(CHECK_INTERVAL, may_wait).await;
}

/// Waits until this node reads through a peer instead of directly.
async fn wait_until_indirect(node: &Node) {
    wait_while(CHECK_INTERVAL, || node.state.borrow().reads_directly).await;
}

/// Waits while a condition holds, and checks it at the given interval.
pub(crate) async fn wait_while(interval: Duration, condition: impl Fn() -> bool) {
    while condition() {
        monoio::time::sleep(interval).await;
    }
}

/// Waits until the follower of the upstreams has got a response from the platform, on a node that
/// lost its reader and serves from its current state meanwhile.
///
/// This matters when the platform is silent and the readers drop hundreds of subscribers at once:
/// each node requests both topics in vain, again and again, which made up half of the 3,100 calls
/// of a day. A node whose lease on the configuration has expired does not wait.
async fn wait_for_list(node: &Node) {
    let may_wait = || {
        let state = node.state.borrow();
        let serves = state.reads_directly && state.has_read_all_topics();
        serves && !state.list_from_platform && state.is_fresh(Topic::Config, Instant::now())
    };
    wait_while(STARTUP_CHECK_INTERVAL, may_wait).await;
}

/// Waits while the platform does not respond to the follower of the upstreams either, nor to
/// peers.
async fn wait_for_other_topic(node: &Node) {
    let since = Instant::now();
    let is_unavailable = || {
        let state = node.state.borrow();
        state.roster.store_is_unreachable() && !state.is_behind(Topic::Config)
    };
    wait_while(CHECK_INTERVAL, || is_unavailable() && since.elapsed() < OTHER_TOPIC_TIMEOUT).await;
}

/// Returns once a peer has been ahead of this node on the topic for a while.
///
/// A connection can go silent without an error, or its response can be stuck in the retransmission
/// timer after a partition has ended. The long poll then lasts many seconds while the node serves
/// with an old configuration.
pub(crate) async fn wait_until_behind(node: &Node, topic: Topic) {
    let mut since: Option<Instant> = None;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let is_behind = node.state.borrow().is_behind(topic);
        since = match since {
            _ if !is_behind => None,
            Some(since) if since.elapsed() >= MIN_BEHIND_TIME => return,
            Some(since) => Some(since),
            None => Some(Instant::now()),
        };
    }
}

/// Records how far a topic was read; returns true if the platform has been rolled back to an older
/// copy since the previous read.
fn record_progress(node: &Node, topic: Topic, up_to: Cursor, newest: Cursor) -> bool {
    let state = &mut *node.state.borrow_mut();
    let progress = state.progress_mut(topic);
    let (era, before) = (history::era(up_to), history::era(progress.up_to));
    let rolled_back = progress.has_read && era > before;
    progress.has_read = true;
    progress.up_to = progress.up_to.max(up_to);
    progress.newest = progress.newest.max(newest);
    if rolled_back {
        state.store_rollbacks += 1;
        trace::Line::new("store_went_back")
            .field("topic", topic.name())
            .field("era", era)
            .field("before", before)
            .log();
    }
    rolled_back
}

/// Returns the pause after the failed reads `reads`.
///
/// The second read follows soon, whatever the maximum: one failure shows little, and data that grows
/// too old meanwhile may not be used. Nodes with a long maximum continue with it: a short outage is
/// over before they would have tried five times.
fn backoff(reads: Reads, max_backoff: Duration) -> Duration {
    match reads.failed_in_sequence() {
        0 | 1 => RETRY_BACKOFF.0,
        _ if max_backoff > RETRY_BACKOFF.1 => max_backoff,
        failed => (RETRY_BACKOFF.0 * (1 << failed.min(MAX_BACKOFF_DOUBLINGS))).min(max_backoff),
    }
}

/// Spreads the calls of many nodes that failed at the same moment.
fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.6..1.2))
}

fn record_failure(
    node: &Node,
    topic: Topic,
    failures: u32,
    requested_at: Instant,
    err: &SourceError,
) {
    node.state.borrow_mut().progress_mut(topic).reads.record(last_read_of(err));
    if topic == Topic::Upstreams {
        node.state.borrow_mut().roster.store_lost(requested_at);
    }
    if failures == 0 {
        trace::Line::new("store_lost")
            .field("topic", topic.name())
            .field("error", err.to_string())
            .field("took_ms", crate::as_ms(requested_at.elapsed()))
            .log();
    }
}

pub(crate) fn last_read_of(err: &SourceError) -> LastRead {
    match err {
        SourceError::TimedOut => LastRead::TimedOut,
        SourceError::Unavailable(_)
        | SourceError::ConnectionLost(_)
        | SourceError::Behind
        | SourceError::HistoryGone
        | SourceError::BadResponse(_) => LastRead::Rejected,
    }
}

/// Disconnects the subscribers: the platform may respond to them where it does not to this node.
fn drop_subscribers(node: &Node, topic: Topic, requested_at: Instant) {
    let bound = node.state.borrow().staleness_bound(topic);
    node.subscribers.drop_all(requested_at.elapsed() > bound.long_poll_timeout());
}

fn record_success(node: &Node, topic: Topic, failures: u32) {
    node.state.borrow_mut().progress_mut(topic).reads.record(LastRead::Answered);
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
