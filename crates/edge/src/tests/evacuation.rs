//! Evacuated availability zones, whose upstreams get no requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::Zone;

use super::fake::{get, ms, ok_response, run, start, Caller, EntryNode, Step, Upstream};
use super::fleet::{entry, platform, serving, start as start_follower, wait_until_subscribed};
use crate::follow::{self, Batch, Event, Source, SourceError, Topic};
use crate::history::Cursor;
use crate::relay;

/// Time within which an evacuation must be in force on a node that reads the platform through a
/// peer.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);

fn evacuate(entry_node: &EntryNode, zones: &[&str]) {
    let zones = zones.iter().map(|zone| Zone::from(*zone)).collect();
    let frame = relay::Frame::Evacuated { up_to: 9, newest: 9, zones };
    follow::adopt(&entry_node.node, super::fleet::addr(2), frame).expect("adopted");
}

/// Guards against choosing among all listed upstreams, which sends requests to an evacuated zone.
/// The node's own zone is evacuated and restored.
#[test]
fn requests_go_to_other_zones_while_one_is_evacuated() {
    run(async {
        let near = Upstream::start(vec![vec![ok_response("near")]]);
        let far = Upstream::start(vec![vec![ok_response("far")]]);
        let entry_node = start(&[&near, &far]);
        let ask =
            async |id: &str| Caller::connect(entry_node.addr).await.ask(&get("/get/1", id)).await;
        assert_eq!(ask("1").await.body, "near");
        evacuate(&entry_node, &["a"]);
        for id in 0..20 {
            assert_eq!(ask(&id.to_string()).await.body, "far");
        }
        evacuate(&entry_node, &[]);
        assert_eq!(ask("2").await.body, "near");
        assert_eq!(entry_node.node.state.borrow().evacuations.zones().len(), 0);
    });
}

/// Guards against aborting a request that is in flight when its zone is evacuated, and against a
/// hedge to an upstream that was ranked before. The request gets a late response.
#[test]
fn requests_in_flight_end_and_are_not_hedged() {
    run(async {
        let slow = || vec![Step::Wait(ms(350)), ok_response("slow")];
        let (one, other) = (Upstream::start(vec![slow()]), Upstream::start(vec![slow()]));
        let entry_node = start(&[&one, &other]);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&get("/get/1", "1")).await;
        monoio::time::sleep(ms(30)).await;
        evacuate(&entry_node, &["a", "b"]);
        let response = caller.read().await.expect("a response");
        assert_eq!((response.status, response.body.as_str()), (200, "slow"));
        assert_eq!(one.runs() + other.runs(), 1, "no hedge");
    });
}

/// Guards against callers who wait until their deadline while all zones are evacuated and no slot
/// can become free. One of the evacuated zones has no upstream.
#[test]
fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    run(async {
        let (one, other) = (Upstream::start(vec![]), Upstream::start(vec![]));
        let entry_node = start(&[&one, &other]);
        evacuate(&entry_node, &["a", "b", "nowhere"]);
        let sent_at = Instant::now();
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "1")).await;
        assert!(sent_at.elapsed() < ms(50), "at once");
        assert_eq!(response.status, 503, "it has not run");
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(one.connections.get() + other.connections.get(), 0);
        assert!(entry_node.node.state.borrow().is_ready(), "the node itself is ready");
    });
}

/// Guards against a relay that passes on configurations and upstreams but no evacuations: nodes
/// that subscribed to a peer before or after the evacuation would keep sending to the zone.
#[test]
fn evacuations_reach_nodes_that_read_through_another() {
    run(async {
        let platform = platform();
        let (reader, at) = start_follower(&platform);
        monoio::time::sleep(ms(100)).await;
        let begin = || {
            let (node, _) = start_follower(&platform);
            let state = &mut *node.state.borrow_mut();
            // Three readers precede it, of which one is reachable.
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
        wait_until_subscribed(&early).await;
        platform.evacuated.borrow_mut().push("a".into());
        platform.config.set(9);
        monoio::time::sleep(PROPAGATION_TIME).await;
        let late = begin();
        wait_until_subscribed(&late).await;
        monoio::time::sleep(PROPAGATION_TIME).await;
        assert!(evacuated(&reader) && evacuated(&early) && evacuated(&late));

        // An upstream newly listed in that zone gets no requests either.
        platform.list.borrow_mut().push(entry(2));
        platform.list_version.set(9);
        monoio::time::sleep(PROPAGATION_TIME).await;
        assert!(evacuated(&reader) && evacuated(&early));
        assert_eq!(reader.state.borrow().pools["desk"].upstreams().len(), 2);
    });
}

/// A simulated platform that reports an evacuation, drops its history and then returns an older
/// state.
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
        long_poll_timeout: Duration,
        _grace: Duration,
    ) -> Result<Batch, SourceError> {
        if cursor == 9 {
            return Err(SourceError::HistoryGone);
        }
        monoio::time::sleep(long_poll_timeout).await;
        Ok(Batch { events: Vec::new(), cursor, newest: 0 })
    }

    async fn takes_connections(&self, _timeout: Duration) -> bool {
        true
    }
}

/// Guards against applying a read that is older than what the node has seen: after the platform
/// drops its history, a full read returns its state of three seconds ago, without the evacuation.
#[test]
fn an_outdated_read_does_not_end_an_evacuation() {
    run(async {
        let node = start(&[]).node;
        let platform = Lagging::default();
        monoio::spawn(follow::run(platform.clone(), Topic::Config, node.clone()));
        // The first long poll begins once the node has looked for a peer to read through.
        monoio::time::sleep(ms(3_000)).await;
        assert!(platform.snapshots.get() >= 2, "the platform was read again");
        assert!(node.state.borrow().evacuations.is_evacuated("a"));
    });
}
