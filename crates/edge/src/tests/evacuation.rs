//! Availability zones whose upstreams are to get nothing.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::Zone;

use super::fake::{get, ms, ok_response, run, start, Caller, EntryNode, Step, Upstream};
use super::fleet::{entry, platform, serving, start as start_follower, until_subscribed};
use crate::follow::{self, Batch, Event, Source, SourceError, Topic};
use crate::history::Cursor;
use crate::relay;

/// Time in which an evacuation must be in force on a node that reads through another.
const IN_FORCE: Duration = Duration::from_millis(1_000);

fn evacuate(entered: &EntryNode, zones: &[&str]) {
    let zones = zones.iter().map(|zone| Zone::from(*zone)).collect();
    let frame = relay::Frame::Evacuated { up_to: 9, newest: 9, zones };
    follow::adopt(&entered.node, super::fleet::addr(2), frame).expect("taken");
}

/// Symptom: requests reach a zone that an operator has emptied.
/// Sequence: the zone nearest to the node is evacuated; it is taken back.
/// Cause: choosing among all upstreams that are listed.
#[test]
fn requests_go_to_other_zones_while_one_is_evacuated() {
    run(async {
        let near = Upstream::start(vec![vec![ok_response("near")]]);
        let far = Upstream::start(vec![vec![ok_response("far")]]);
        let entered = start(&[&near, &far]);
        let ask =
            async |id: &str| Caller::connect(entered.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.body, "near");
        evacuate(&entered, &["a"]);
        for id in 0..20 {
            assert_eq!(ask(&id.to_string()).await.body, "far");
        }
        evacuate(&entered, &[]);
        assert_eq!(ask("2").await.body, "near");
        assert_eq!(entered.node.state.borrow().evacuations.zones().len(), 0);
    });
}

/// Symptom: a request is cut although its zone is only to get nothing new; or it is sent there once more.
/// Sequence: it is under way when the zone is evacuated, and is answered late.
/// Cause: taking an evacuation for an end, or hedging by what was chosen before.
#[test]
fn what_is_under_way_ends_and_nothing_is_sent_beside_it() {
    run(async {
        let slow = || vec![Step::Wait(ms(350)), ok_response("slow")];
        let (one, other) = (Upstream::start(vec![slow()]), Upstream::start(vec![slow()]));
        let entered = start(&[&one, &other]);
        let mut caller = Caller::connect(entered.addr).await;
        caller.write(&get("/get/1", "1")).await;
        monoio::time::sleep(ms(30)).await;
        evacuate(&entered, &["a", "b"]);
        let got = caller.read().await.expect("an answer");
        assert_eq!((got.status, got.body.as_str()), (200, "slow"));
        assert_eq!(one.runs() + other.runs(), 1, "no hedge");
    });
}

/// Symptom: callers wait until their deadline for a service none of whose upstreams may get anything.
/// Sequence: all zones are evacuated; one of them by a name that no upstream has.
/// Cause: waiting for room that cannot come.
#[test]
fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    run(async {
        let (one, other) = (Upstream::start(vec![]), Upstream::start(vec![]));
        let entered = start(&[&one, &other]);
        evacuate(&entered, &["a", "b", "nowhere"]);
        let asked_at = Instant::now();
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "1")).await;
        assert!(asked_at.elapsed() < ms(50), "at once");
        assert_eq!(got.status, 503, "it has not run");
        assert!(got.headers.contains_key("retry-after"));
        assert_eq!(one.connections.get() + other.connections.get(), 0);
        assert!(entered.node.state.borrow().is_ready(), "the node itself is well");
    });
}

/// Symptom: a hundred nodes go on sending to a zone that was evacuated.
/// Sequence: they read the platform through a peer, begun before or after the evacuation.
/// Cause: passing on configurations and upstreams alone.
#[test]
fn evacuations_reach_nodes_that_read_through_another() {
    run(async {
        let platform = platform();
        let (reader, at) = start_follower(&platform);
        monoio::time::sleep(ms(100)).await;
        let begin = || {
            let (node, _) = start_follower(&platform);
            let state = &mut *node.state.borrow_mut();
            // Three readers come before it, of which one can be reached.
            state.settings.peer_addr = ([127, 0, 0, 1], 65_535).into();
            let unreachable = (1..=2).map(|port| ([127, 0, 0, 1], port).into());
            for peer in unreachable.chain([at]) {
                state.peers.insert(peer, serving("a"));
            }
            node.clone()
        };
        let evacuated = |node: &crate::forward::Node| {
            let state = node.state.borrow();
            state.evacuations.is_evacuated("a") && state.pools["desk"].in_service_count() == 0
        };
        let early = begin();
        until_subscribed(&early).await;
        platform.evacuated.borrow_mut().push("a".into());
        platform.config.set(9);
        monoio::time::sleep(IN_FORCE).await;
        let late = begin();
        until_subscribed(&late).await;
        monoio::time::sleep(IN_FORCE).await;
        assert!(evacuated(&reader) && evacuated(&early) && evacuated(&late));

        // An upstream that is listed anew in that zone gets nothing either.
        platform.list.borrow_mut().push(entry(2));
        platform.list_version.set(9);
        monoio::time::sleep(IN_FORCE).await;
        assert!(evacuated(&reader) && evacuated(&early));
        assert_eq!(reader.state.borrow().pools["desk"].upstreams().len(), 2);
    });
}

/// A platform that tells of an evacuation, drops its history, and then answers as of before it.
#[derive(Clone, Default)]
struct Lagging {
    snapshots: Rc<Cell<u32>>,
}

impl Source for Lagging {
    async fn snapshot(&self, _topic: Topic) -> Result<Batch, SourceError> {
        let number = self.snapshots.replace(self.snapshots.get() + 1);
        let evacuation = Event::Evacuation { zone: "a".into(), is_evacuated: true };
        Ok(match number {
            0 => Batch { events: vec![evacuation], cursor: 9, newest: 9 },
            _ => Batch { events: Vec::new(), cursor: 5, newest: 4 },
        })
    }

    async fn changes(
        &self,
        _topic: Topic,
        cursor: Cursor,
        wait: Duration,
        _patience: Duration,
    ) -> Result<Batch, SourceError> {
        if cursor == 9 {
            return Err(SourceError::HistoryGone);
        }
        monoio::time::sleep(wait).await;
        Ok(Batch { events: Vec::new(), cursor, newest: 0 })
    }

    async fn takes_connections(&self, _timeout: Duration) -> bool {
        true
    }
}

/// Symptom: an evacuated zone gets requests again for some seconds.
/// Sequence: the platform drops its history; the node reads everything again and gets what was there
/// three seconds ago.
/// Cause: taking a read for news that is older than what was seen.
#[test]
fn an_older_read_does_not_end_an_evacuation() {
    run(async {
        let node = start(&[]).node;
        let platform = Lagging::default();
        monoio::spawn(follow::run(platform.clone(), Topic::Config, node.clone()));
        // The first wait begins once the node has looked for a peer.
        monoio::time::sleep(ms(3_000)).await;
        assert!(platform.snapshots.get() >= 2, "it was read again");
        assert!(node.state.borrow().evacuations.is_evacuated("a"));
    });
}
