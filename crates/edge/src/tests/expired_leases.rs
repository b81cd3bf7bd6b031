//! Requests at a node that cannot tell whether its configuration is the newest.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lease::LastRead;
use route::ClientLimits;

use super::fake::{
    get, ms, ok_response, run, start, table_with_version_route, Caller, EntryNode, Upstream,
};
use super::fleet::serving;
use crate::follow::{self, Batch, Event, Source, SourceError, Topic};
use crate::history::Cursor;
use crate::state::Peer;

/// Time within which a configuration must be in force: the bound in the settings of these tests.
const BOUND: Duration = Duration::from_millis(2_000);

/// A long poll that is at least this long has just been sent when the data is up to date.
const MIN_FULL_POLL: Duration = Duration::from_millis(700);

/// Maximum time for which a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Interval at which a caller sends requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Number of peers in a large fleet, of which one node pauses for up to four seconds after a failed
/// read.
const PEERS: u8 = 209;

/// A platform whose responses are in transit for a while. Each version has a route of its own.
#[derive(Clone, Default)]
struct SlowPlatform {
    version: Rc<Cell<route::Version>>,
    transit_time: Rc<Cell<Duration>>,
    /// Whether a long poll of nearly full length was received.
    polled: Rc<Cell<bool>>,
    /// Number of the next long polls that go silent.
    silent_polls: Rc<Cell<u32>>,
    /// Rejects every call.
    rejects: Rc<Cell<bool>>,
    /// How the next calls fail, each after a time.
    failures: Rc<RefCell<VecDeque<(Duration, SourceError)>>>,
}

impl SlowPlatform {
    fn of_version(version: route::Version) -> SlowPlatform {
        let platform = SlowPlatform::default();
        platform.version.set(version);
        platform
    }

    fn batch(&self) -> Batch {
        let newest = self.version.get();
        let table = table_with_version_route(newest, ClientLimits::default());
        Batch { events: vec![Event::Config(table)], cursor: newest, newest }
    }

    async fn check(&self) -> Result<(), SourceError> {
        let failure = self.failures.borrow_mut().pop_front();
        if let Some((after, error)) = failure {
            monoio::time::sleep(after).await;
            return Err(error);
        }
        match self.rejects.get() {
            true => Err(SourceError::Unavailable("status 503".into())),
            false => Ok(()),
        }
    }
}

impl Source for SlowPlatform {
    async fn snapshot(&self, _topic: Topic) -> Result<Batch, SourceError> {
        self.check().await?;
        let batch = self.batch();
        monoio::time::sleep(self.transit_time.get()).await;
        Ok(batch)
    }

    async fn changes(
        &self,
        _topic: Topic,
        cursor: Cursor,
        long_poll_timeout: Duration,
        grace: Duration,
    ) -> Result<Batch, SourceError> {
        self.check().await?;
        self.polled.set(self.polled.get() || long_poll_timeout >= MIN_FULL_POLL);
        let started_at = Instant::now();
        if self.silent_polls.get() > 0 {
            self.silent_polls.set(self.silent_polls.get() - 1);
            monoio::time::sleep(long_poll_timeout + grace).await;
            return Err(SourceError::TimedOut);
        }
        while self.version.get() <= cursor && started_at.elapsed() < long_poll_timeout {
            monoio::time::sleep(ms(5)).await;
        }
        let batch = match self.version.get() > cursor {
            true => self.batch(),
            false => Batch { events: Vec::new(), cursor, newest: 0 },
        };
        let left = (long_poll_timeout + grace).saturating_sub(started_at.elapsed());
        monoio::time::sleep(self.transit_time.get().min(left)).await;
        match self.transit_time.get() < left {
            true => Ok(batch),
            false => Err(SourceError::TimedOut),
        }
    }

    async fn takes_connections(&self, _timeout: Duration) -> bool {
        !self.rejects.get()
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < MAX_WAIT, "the condition does not hold in time");
        monoio::time::sleep(ms(1)).await;
    }
}

/// Sends requests on the route of `version` from `from` to `until`, and returns how long after
/// `from` each was sent and the status of its response.
async fn ask_for_route(
    addr: SocketAddr,
    version: route::Version,
    from: Instant,
    until: Instant,
) -> Vec<(Duration, u16)> {
    monoio::time::sleep(from.saturating_duration_since(Instant::now())).await;
    let mut responses = Vec::new();
    while Instant::now() < until {
        let sent_at = Instant::now();
        let request = get(&format!("/v{version}/1"), "7");
        let response = Caller::connect(addr).await.ask(&request).await;
        responses.push((sent_at - from, response.status));
        monoio::time::sleep(REQUEST_INTERVAL).await;
    }
    responses
}

/// Starts an entry node that follows the configuration of a platform with this version, and returns
/// both once the node has read it.
async fn start_following(
    upstream: &Upstream,
    version: route::Version,
) -> (EntryNode, SlowPlatform) {
    let entry_node = start(&[upstream]);
    let platform = SlowPlatform::of_version(version);
    monoio::spawn(follow::run(platform.clone(), Topic::Config, entry_node.node.clone()));
    wait_until(|| platform.polled.get()).await;
    (entry_node, platform)
}

/// Returns the responses of a node that does not know the route: it handles requests by an older
/// version.
fn handled_by_older(responses: &[(Duration, u16)]) -> Vec<(Duration, u16)> {
    responses.iter().copied().filter(|(_, status)| *status == 404).collect()
}

/// Guards against a request that is handled by an older version, since the read by which the node
/// replaces an expired lease takes longer than the bound leaves for it.
#[test]
fn a_slow_read_after_a_lease_has_expired_does_not_delay_a_configuration() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let platform = SlowPlatform::of_version(7);
        let now = Instant::now();
        {
            let state = &mut *entry_node.node.state.borrow_mut();
            state.apply_table(table_with_version_route(7, ClientLimits::default()));
            state.config_progress.has_read = true;
            state.list_progress.has_read = true;
            state.reads_directly = false;
            state.renew_lease(Topic::Config, now, now);
            // The list stays up to date.
            state.renew_lease(Topic::Upstreams, now + ms(10_000), now);
        }
        monoio::spawn(follow::run(platform.clone(), Topic::Config, entry_node.node.clone()));
        platform.version.set(9);
        platform.transit_time.set(ms(700));
        let node = entry_node.node.clone();
        let lease_ttl = node.state.borrow().settings.config_bound.lease_ttl();
        monoio::spawn(async move {
            monoio::time::sleep(lease_ttl + ms(50)).await;
            // Its peer cannot tell either.
            node.state.borrow_mut().reads_directly = true;
        });
        let responses = ask_for_route(entry_node.addr, 9, now + BOUND, now + ms(2_800)).await;
        assert_eq!(handled_by_older(&responses), [], "{responses:?}");
        assert!(responses.iter().any(|(_, status)| *status == 200), "{responses:?}");
    });
}

/// Guards against requests that are handled by an older version, since one failed read of a node in a
/// large fleet counts as evidence that the platform does not serve it: its connection ended, or its
/// call was one of too many at that moment. The node pauses for seconds after a failure.
#[yare::parameterized(
    connection_closed = { ms(5), SourceError::Unavailable("connection closed".into()), ms(2_000) },
    busy = { ms(5), SourceError::Unavailable("status 503".into()), ms(2_000) },
    silent = { ms(1_000), SourceError::TimedOut, ms(3_000) },
)]
fn one_failed_read_does_not_keep_an_outdated_configuration_in_use(
    failed_after: Duration,
    error: SourceError,
    served_from: Duration,
) {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let platform = SlowPlatform::of_version(7);
        let now = Instant::now();
        {
            let state = &mut *entry_node.node.state.borrow_mut();
            state.apply_table(table_with_version_route(7, ClientLimits::default()));
            let peers = (1..=PEERS).map(|n| SocketAddr::from(([10, 0, 0, n], 7_600)));
            state.peers.extend(peers.map(|peer| (peer, serving("a"))));
            state.config_progress.has_read = true;
            state.config_progress.up_to = 7;
            state.list_progress.has_read = true;
            state.reads_directly = false;
            state.renew_lease(Topic::Config, now, now);
            // The list stays up to date.
            state.renew_lease(Topic::Upstreams, now + ms(10_000), now);
        }
        monoio::spawn(follow::run(platform.clone(), Topic::Config, entry_node.node.clone()));
        platform.version.set(9);
        platform.failures.borrow_mut().push_back((failed_after, error));
        let node = entry_node.node.clone();
        let lease_ttl = node.state.borrow().settings.config_bound.lease_ttl();
        monoio::spawn(async move {
            monoio::time::sleep(lease_ttl + ms(50)).await;
            // The peer that it reads through cannot tell either.
            node.state.borrow_mut().reads_directly = true;
        });
        let responses = ask_for_route(entry_node.addr, 9, now + BOUND, now + ms(3_500)).await;
        assert_eq!(handled_by_older(&responses), [], "{responses:?}");
        let (served_from, is_served) =
            (served_from - BOUND, |(_, status): &&(Duration, u16)| *status == 200);
        let first_served = responses.iter().find(is_served).map(|(at, _)| *at);
        assert!(first_served.is_some_and(|at| at <= served_from + ms(200)), "{responses:?}");
    });
}

/// Guards against a lease that outlasts what is known: a response with one change is in transit for
/// long, a second change follows right behind the first, and the next long poll goes silent.
#[test]
fn a_change_right_behind_one_that_was_in_transit_for_long_is_in_force_in_time() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let (entry_node, platform) = start_following(&upstream, 7).await;
        platform.transit_time.set(ms(1_100));
        platform.version.set(8);
        monoio::time::sleep(ms(20)).await;
        platform.version.set(9);
        let published_at = Instant::now();
        platform.silent_polls.set(1);
        wait_until(|| entry_node.node.state.borrow().config_version() >= 8).await;
        platform.transit_time.set(Duration::ZERO);
        let from = published_at + BOUND;
        let responses = ask_for_route(entry_node.addr, 9, from, from + ms(900)).await;
        assert_eq!(handled_by_older(&responses), [], "{responses:?}");
        assert!(responses.iter().any(|(_, status)| *status == 200), "{responses:?}");
    });
}

/// Guards against a node that refuses everybody while the platform responds to no node: what it
/// holds is the best there is.
#[test]
fn a_node_serves_by_what_it_holds_while_the_platform_rejects_it() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let (entry_node, platform) = start_following(&upstream, 7).await;
        platform.rejects.set(true);
        let from = Instant::now() + BOUND;
        let responses = ask_for_route(entry_node.addr, 7, from, from + ms(1_500)).await;
        let refused: Vec<_> = responses.iter().filter(|(_, status)| *status != 200).collect();
        assert!(refused.is_empty(), "{responses:?}");
    });
}

/// Guards against a request that is sent to an upstream which the platform has listed as leaving for
/// longer than the bound: the read by which the node replaces its list is under way.
#[test]
fn an_outdated_list_of_upstreams_is_not_used_while_it_is_being_read() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let node = &entry_node.node;
        let (now, list_bound) = (Instant::now(), node.state.borrow().settings.list_bound);
        node.state.borrow_mut().renew_lease(Topic::Config, now, now);
        node.state.borrow_mut().renew_lease(Topic::Upstreams, now - list_bound.duration(), now);
        let ask = async || Caller::connect(entry_node.addr).await.ask(&get("/get/1", "7")).await;
        let response = ask().await;
        assert_eq!((response.status, upstream.runs()), (503, 0));
        assert!(response.headers.contains_key("retry-after"));
        let record = |ended: LastRead| {
            node.state.borrow_mut().progress_mut(Topic::Upstreams).reads.record(ended);
        };
        record(LastRead::Rejected);
        assert_eq!(ask().await.status, 503, "one failed read shows nothing");
        record(LastRead::Rejected);
        assert_eq!(ask().await.status, 200, "there is no better list");
        record(LastRead::Answered);
        let renewing = async {
            monoio::time::sleep(ms(50)).await;
            node.state.borrow_mut().renew_lease(Topic::Upstreams, Instant::now(), Instant::now());
        };
        let (response, ()) = monoio::join!(ask(), renewing);
        assert_eq!(response.status, 200, "a request waits for the read");
    });
}

/// Guards against requests that are handled by an older version for as long as a node's reads fail,
/// although a peer that has a newer one is heard of all the time: the platform serves others.
#[yare::parameterized(
    silent = { SourceError::TimedOut },
    rejected = { SourceError::Unavailable("status 429".into()) },
)]
fn failed_reads_do_not_keep_a_configuration_in_use_that_peers_have_replaced(error: SourceError) {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let (now, peer) = (Instant::now(), SocketAddr::from(([10, 0, 0, 1], 7_600)));
        let node = entry_node.node.clone();
        {
            let state = &mut *node.state.borrow_mut();
            state.apply_table(table_with_version_route(7, ClientLimits::default()));
            state.config_progress.up_to = 7;
            state.renew_lease(Topic::Config, now, now);
            state.renew_lease(Topic::Upstreams, now + ms(20_000), now);
            state.peers.insert(peer, Peer { config_head: 9, ..serving("a") });
        }
        let last_read = follow::last_read_of(&error);
        monoio::spawn(async move {
            loop {
                node.state.borrow_mut().record_heard_from(peer, Instant::now());
                node.state.borrow_mut().progress_mut(Topic::Config).reads.record(last_read);
                monoio::time::sleep(ms(100)).await;
            }
        });
        let from = now + BOUND;
        let responses = ask_for_route(entry_node.addr, 9, from, from + 2 * BOUND).await;
        assert_eq!(handled_by_older(&responses), [], "{responses:?}");
    });
}

/// Guards against a partitioned node that refuses its callers: it knows that peers had newer data,
/// and hears from none of them any more.
#[test]
fn a_node_that_hears_from_no_peer_serves_by_what_it_holds() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let (now, peer) = (Instant::now(), SocketAddr::from(([10, 0, 0, 1], 7_600)));
        {
            let state = &mut *entry_node.node.state.borrow_mut();
            state.apply_table(table_with_version_route(7, ClientLimits::default()));
            state.config_progress.up_to = 7;
            state.renew_lease(Topic::Config, now, now);
            state.renew_lease(Topic::Upstreams, now + ms(20_000), now);
            state.peers.insert(peer, Peer { config_head: 9, ..serving("a") });
            state.record_heard_from(peer, now);
            (0..2).for_each(|_| {
                state.progress_mut(Topic::Config).reads.record(LastRead::TimedOut);
            });
        }
        let from = now + BOUND + ms(200);
        let responses = ask_for_route(entry_node.addr, 7, from, from + ms(500)).await;
        let refused: Vec<_> = responses.iter().filter(|(_, status)| *status != 200).collect();
        assert!(refused.is_empty(), "{responses:?}");
    });
}
