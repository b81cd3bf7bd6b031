//! Requests that crash every upstream that runs them.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quarantine::{ContentKey, Quarantine, Start};
use web::h1;

use super::crashing::{ask, Asked, Cluster, Platform, SLOTS};
use super::fake::{get, incarnation, ms, run, start, Caller, Step, Upstream};
use crate::forward::{content_of, Node};

/// Time in which all nodes must know of a request that has crashed its third upstream.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);

/// Upstreams that it may reach after that.
const REACHED_MOST: usize = 3;

/// How long each test goes on after that, so that there is something to see.
const WATCHED_FOR: Duration = Duration::from_millis(2_500);

/// Longest time until three upstreams have crashed.
const CRASHED_WITHIN: Duration = Duration::from_secs(5);

/// Time for the nodes to find each other.
const JOINED: Duration = Duration::from_millis(1_500);

/// Callers that go on until `done`; each asks for `path`, with a number of its own unless it is
/// `popular`.
fn call(
    cluster: &Rc<Cluster>,
    path: &'static str,
    popular: bool,
    pause: Duration,
    done: &Rc<Cell<bool>>,
) -> Rc<RefCell<Vec<Asked>>> {
    let all: Rc<RefCell<Vec<Asked>>> = Rc::default();
    let (cluster, asked, done) = (cluster.clone(), all.clone(), done.clone());
    monoio::spawn(async move {
        for n in 0.. {
            if done.get() {
                return;
            }
            let (cluster, asked) = (cluster.clone(), asked.clone());
            let path = if popular { path.to_owned() } else { format!("{path}{n}") };
            monoio::spawn(async move {
                let one = ask(&cluster, n, &path, &format!("{path}-{n}")).await;
                asked.borrow_mut().push(one);
            });
            monoio::time::sleep(pause).await;
        }
    });
    all
}

/// One caller makes the same request every 150 ms, each time at another node and under another id,
/// and once more when it fails. Its upstream crashes under it after 60 ms. Nodes sent it on to the
/// next upstream, and so did the caller's returns: nothing remembered what had been under way at
/// upstreams that crashed, and every attempt counted as a new request. In one such series fifteen
/// upstreams crashed within five seconds, and then seven of ten requests of the service were refused
/// for want of upstreams. Once nodes logged what was under way at each, one key stood in the lines of
/// all 47 upstreams that had crashed in another:
///
/// `"upstream_ended","upstream":"i-0006","under_way":[{"content":"ca2cec8ae1ff721db93c616c8e662121","ran_ms":31}]`
/// `"upstream_ended","upstream":"i-0003","under_way":[{"content":"ca2cec8ae1ff721db93c616c8e662121","ran_ms":31}]`
#[test]
fn a_request_that_crashes_upstreams_is_kept_from_them() {
    keeps_a_crashing_request_from_upstreams(88, 4, 12);
}

/// As above, where each attempt comes to a node that has seen none before: no node sees a third
/// crash, and what each of them may send adds up.
#[test]
fn sixteen_nodes_keep_a_crashing_request_from_upstreams() {
    keeps_a_crashing_request_from_upstreams(89, 16, 16);
}

fn keeps_a_crashing_request_from_upstreams(net: u8, nodes: u8, upstreams: usize) {
    run(async {
        let cluster = Cluster::start(net, nodes, upstreams, "crash");
        monoio::time::sleep(JOINED).await;
        let done = Rc::new(Cell::new(false));
        let innocent = call(&cluster, "/get/seed/", false, ms(8), &done);
        let popular = call(&cluster, "/get/popular", true, ms(40), &done);
        monoio::time::sleep(ms(300)).await;
        let crashing = call(&cluster, "/get/crash", true, ms(150), &done);
        monoio::time::timeout(CRASHED_WITHIN, async {
            while cluster.third_crash().is_none() {
                monoio::time::sleep(ms(20)).await;
            }
        })
        .await
        .expect("three upstreams crash");
        let known_by = cluster.third_crash().expect("there was one") + KNOWN_WITHIN;
        monoio::time::sleep(KNOWN_WITHIN + WATCHED_FOR).await;
        done.set(true);
        monoio::time::sleep(ms(600)).await;

        let seen = cluster.seen.borrow();
        let reached = seen.arrivals.iter().filter(|at| **at > known_by).count();
        assert!(
            reached <= REACHED_MOST,
            "reached {reached} upstreams after that; {} crashed in all",
            seen.crashes.len()
        );
        let late = |asked: &&Asked| asked.at > known_by;
        let failed = |all: &RefCell<Vec<Asked>>| {
            all.borrow().iter().filter(late).filter(|asked| asked.status != 200).count()
        };
        let may_fail = REACHED_MOST * SLOTS;
        assert!(failed(&innocent) + failed(&popular) <= may_fail, "others are served");
        assert!(crashing.borrow().iter().filter(late).count() > 10, "it went on coming");
    });
}

/// Stops the test as soon as something holds.
async fn until(what: &str, within: Duration, holds: impl Fn() -> bool) {
    until_or(|| what.to_owned(), within, holds).await;
}

/// The same; says `what` was seen instead.
async fn until_or(what: impl Fn() -> String, within: Duration, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < within, "{}", what());
        monoio::time::sleep(ms(10)).await;
    }
}

/// Has a cluster hold the request back, by making it again and again.
async fn hold_back(cluster: &Rc<Cluster>) {
    let done = Rc::new(Cell::new(false));
    call(cluster, "/get/crash", true, ms(120), &done);
    let known = || format!("all nodes hold it back: {:#?}", cluster.findings());
    until_or(known, ms(5_000), || cluster.all_hold_back(1)).await;
    done.set(true);
}

/// A request that is held back is refused at once and truly, with a time to come back that does not
/// make it come again each second; another one of the same caller and route is served.
#[test]
fn a_request_that_is_held_back_is_refused_at_once() {
    run(async {
        let cluster = Cluster::start(90, 3, 8, "crash");
        monoio::time::sleep(JOINED).await;
        hold_back(&cluster).await;
        monoio::time::sleep(ms(500)).await;
        let reached = cluster.seen.borrow().arrivals.len();
        for front in &cluster.fronts {
            let mut caller = Caller::connect(*front).await;
            let began = Instant::now();
            let got = caller.ask(&get("/get/crash", "c")).await;
            assert!(began.elapsed() < ms(50), "at once");
            let after = got.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            assert!(got.status == 503 && after.is_some_and(|s: f64| s > 60.0), "{got:?}");
            let got = caller.ask(&get("/get/crosh", "d")).await;
            assert_eq!(got.status, 200, "{got:?}");
        }
        assert_eq!(cluster.seen.borrow().arrivals.len(), reached);
        let refused = |node: &Rc<Node>| node.state.borrow().counters.refused_crashing;
        assert!(cluster.nodes.iter().all(|node| refused(node) > 0));
    });
}

/// Callers of a popular request are refused for minutes although it never did anything: half of the
/// upstreams ended at once, each of them was running a copy of it, and copies sent since ran at others
/// that ended a moment later. Copies that were sent before the first end was known are no evidence of
/// their own, and each answer clears the request.
#[test]
fn a_popular_request_outlives_the_end_of_half_of_the_upstreams() {
    run(async {
        let cluster = Cluster::start(91, 4, 12, "crash");
        monoio::time::sleep(JOINED).await;
        let done = Rc::new(Cell::new(false));
        let popular = call(&cluster, "/get/popular/long", true, ms(15), &done);
        monoio::time::sleep(ms(600)).await;
        cluster.end_some(6);
        monoio::time::sleep(ms(120)).await;
        cluster.end_some(3);
        // The copies under way by then have ended.
        let settled = Instant::now() + ms(300);
        monoio::time::sleep(ms(1_500)).await;
        done.set(true);
        monoio::time::sleep(ms(600)).await;
        assert!(cluster.all_hold_back(0));
        let popular = popular.borrow();
        let later: Vec<u16> =
            popular.iter().filter(|asked| asked.at > settled).map(|asked| asked.status).collect();
        assert!(later.len() > 50 && later.iter().all(|status| *status == 200), "{later:?}");
    });
}

/// Callers whose requests ran beside the crashing one are refused for minutes: they were lost at three
/// upstreams one after the other, since all nodes sent what was lost on to the same upstream, the one
/// that crashes next. Kept apart by each node alone, requests of two nodes still met by chance, twice:
/// in one run of twelve all nodes held back a harmless request that had run at three of the five
/// upstreams which the other had crashed, and nowhere else:
///
/// `content 6340…, waves 3, crashed 2258…, 5863…, 16899…`
/// `content 83bd…, waves 3, crashed 885…, 2258…, 2923…, 5863…, 16899…`
#[test]
fn requests_that_ran_beside_a_crashing_one_are_not_held_back() {
    run(async {
        let cluster = Cluster::start(92, 4, 8, "crash");
        monoio::time::sleep(JOINED).await;
        let done = Rc::new(Cell::new(false));
        let beside = call(&cluster, "/get/beside/long", false, ms(10), &done);
        monoio::time::sleep(ms(600)).await;
        hold_back(&cluster).await;
        monoio::time::sleep(ms(1_500)).await;
        done.set(true);
        monoio::time::sleep(ms(600)).await;
        assert!(cluster.all_hold_back(1), "the crashing one alone: {:#?}", cluster.findings());
        assert!(beside.borrow().len() > 100);
    });
}

/// A node that started after the others knew, or was cut off meanwhile, sends the request on and three
/// more upstreams crash: it never heard of what was told before.
#[test]
fn a_node_that_joins_late_holds_back_what_the_others_do() {
    run(async {
        let cluster = Cluster::start(93, 4, 8, "crash");
        monoio::time::sleep(JOINED).await;
        hold_back(&cluster).await;
        // News is not told any more by then.
        monoio::time::sleep(ms(6_000)).await;
        let late = cluster.join_another();
        let knows = || late.state.borrow().quarantine.quarantined().count() == 1;
        until("it is told", ms(3_000), knows).await;
    });
}

/// All nodes are restarted at the same moment and the request crashes three more upstreams, after each
/// restart anew: what only nodes knew is gone with them.
#[test]
fn a_restart_of_all_nodes_forgets_nothing_that_is_held_back() {
    run(async {
        let platform = Platform::default();
        let cluster = Cluster::start(94, 3, 8, "crash");
        cluster.nodes.iter().for_each(|node| platform.serve(node));
        monoio::time::sleep(JOINED).await;
        hold_back(&cluster).await;
        until("it is kept", ms(3_000), || platform.kept.borrow().len() == 1).await;
        monoio::time::sleep(ms(1_000)).await;
        // One node reads at its start and writes, is told its own row, then waits.
        assert_eq!(platform.calls.get(), 1 + 1 + 2);

        let after = Cluster::start(95, 3, 8, "crash");
        after.nodes.iter().for_each(|node| platform.serve(node));
        until("all nodes know again", ms(3_000), || after.all_hold_back(1)).await;

        let mut finding = platform.kept.borrow()[0].hold.finding.clone();
        finding = finding.cleared(finding.until_unix_ms);
        platform.put(finding);
        until("an operator lifts it", ms(3_000), || after.all_hold_back(0)).await;
    });
}

/// The wait for an operator's word goes silent without a sign, and a lift is not heard of for as long as
/// it lasts.
#[test]
fn a_lift_is_heard_of_though_the_wait_for_it_went_silent() {
    run(async {
        let platform = Platform::default();
        let cluster = Cluster::start(101, 3, 8, "crash");
        cluster.nodes.iter().for_each(|node| platform.serve(node));
        monoio::time::sleep(JOINED).await;
        hold_back(&cluster).await;
        until("it is kept", ms(3_000), || platform.kept.borrow().len() == 1).await;
        monoio::time::sleep(ms(500)).await;
        platform.stalls.set(1);
        let finding = platform.kept.borrow()[0].hold.finding.clone();
        platform.put(finding.cleared(finding.until_unix_ms));
        until("an operator lifts it", ms(10_000), || cluster.all_hold_back(0)).await;
    });
}

/// A request that an operator has lifted is held back again: the platform came back from a copy that was
/// made before the word, and nobody had kept it.
#[test]
fn an_operators_word_is_written_again_after_the_platform_went_back() {
    run(async {
        let platform = Platform::default();
        let cluster = Cluster::start(100, 3, 8, "crash");
        cluster.nodes.iter().for_each(|node| platform.serve(node));
        monoio::time::sleep(JOINED).await;
        hold_back(&cluster).await;
        until("it is kept", ms(3_000), || platform.kept.borrow().len() == 1).await;
        let older = platform.kept.borrow()[0].hold.clone();
        platform.put(older.finding.cleared(older.finding.until_unix_ms));
        until("an operator lifts it", ms(3_000), || cluster.all_hold_back(0)).await;

        platform.write(older);
        for node in &cluster.nodes {
            node.state.borrow_mut().store_rollbacks += 1;
        }
        let is_written = || {
            let kept = platform.kept.borrow();
            kept[0].hold.written_by == "ana" && kept[0].hold.why.is_some()
        };
        until("the word is written again", ms(5_000), is_written).await;
        monoio::time::sleep(ms(500)).await;
        assert!(cluster.all_hold_back(0), "an older hold never undoes a lift");
    });
}

/// While nothing is held back, what is kept costs no call.
#[test]
fn what_is_kept_costs_no_call_while_nothing_is_held_back() {
    run(async {
        let platform = Platform::default();
        let cluster = Cluster::start(96, 3, 4, "crash");
        for node in &cluster.nodes {
            node.state.borrow_mut().settings.bootstrap = true;
            platform.serve(node);
        }
        monoio::time::sleep(ms(1_500)).await;
        assert_eq!(platform.calls.get(), 0);
    });
}

/// Callers are refused for minutes since some upstream loses answers: it closes connections under the
/// same request again and again, and serves all others. Nothing crashed there.
#[test]
fn lost_answers_hold_nothing_back() {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Close]]);
        let other = Upstream::start(vec![vec![Step::Close]]);
        let entered = start(&[&upstream, &other]);
        for n in 0..6 {
            let mut caller = Caller::connect(entered.addr).await;
            let got = caller.ask(&get("/get/1", &n.to_string())).await;
            assert_eq!(got.status, 502, "it may have run");
        }
        let state = entered.node.state.borrow();
        assert!(state.quarantine.is_empty());
        assert_eq!(state.counters.upstreams_ended, 0);
    });
}

/// A request is held back though nothing crashed: its answer was lost in a cut, and connections to the
/// upstream were not made in time. Only an address that refuses connections is one of a process that has ended.
#[test]
fn an_upstream_that_cannot_be_reached_has_not_crashed() {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Close]]);
        let entered = start(&[&upstream]);
        let mut caller = Caller::connect(entered.addr).await;
        assert_eq!(caller.ask(&get("/get/1", "1")).await.status, 502);
        let knows_any = || !entered.node.state.borrow().quarantine.is_empty();
        entered.node.unconnected(&incarnation("u0"), &io::ErrorKind::TimedOut.into());
        assert!(!knows_any());
        entered.node.unconnected(&incarnation("u0"), &io::ErrorKind::ConnectionRefused.into());
        assert!(knows_any());
    });
}

/// A request is held back since it was cut three times when upstreams ended as planned: they had been
/// let go before, and ended while they still worked on it.
#[test]
fn an_upstream_that_was_let_go_before_it_ends_is_no_evidence() {
    run(async {
        let cluster = Cluster::start(97, 1, 2, "crash");
        let done = Rc::new(Cell::new(false));
        let long = call(&cluster, "/get/popular/long", true, ms(60), &done);
        monoio::time::sleep(ms(150)).await;
        cluster.let_all_go();
        monoio::time::sleep(ms(20)).await;
        cluster.end_some(2);
        monoio::time::sleep(ms(300)).await;
        done.set(true);
        assert!(long.borrow().iter().any(|asked| asked.status != 200));
        let state = cluster.nodes[0].state.borrow();
        assert!(state.quarantine.is_empty(), "{:?}", state.quarantine.findings());
    });
}

/// The same for requests that must not run twice, which no node and no caller sends again by itself, and for
/// bodies that are still coming in when they are sent on: each return is a request of its own.
#[yare::parameterized(
    claims = { 98, 4 },
    long_bodies = { 99, 200 * 1024 },
)]
fn what_is_never_sent_again_is_held_back_too(net: u8, body_bytes: usize) {
    run(async {
        let cluster = Cluster::start(net, 3, 8, "crash");
        monoio::time::sleep(JOINED).await;
        let claim = |n: usize| {
            format!(
                "POST /post/crash HTTP/1.1\r\nHost: seeds.example\r\nx-id: {n}\r\nx-deadline: 500\r\n\
                 Content-Length: {body_bytes}\r\n\r\n{}",
                "x".repeat(body_bytes)
            )
        };
        let mut last = 0;
        for n in 0..14 {
            let mut caller = Caller::connect(cluster.fronts[n % 3]).await;
            last = caller.ask(&claim(n)).await.status;
            monoio::time::sleep(ms(100)).await;
        }
        assert_eq!(last, 503, "told that it has not run");
        assert!(cluster.all_hold_back(1));
        // A first crash is told to others after 0.4 s: until then each node may see one of its own.
        let crashed = cluster.seen.borrow().crashes.len();
        assert!((3..=6).contains(&crashed), "{crashed} crashed");
    });
}

/// Returns the key of a request without a body.
fn content(path: &str) -> ContentKey {
    let text = get(path, "0");
    let parsed = h1::parse_request(text.as_bytes(), 4_096).expect("a request");
    let (head, _) = parsed.expect("a whole head");
    content_of(&head, &[])
}

/// Requests that were lost together are lost together once more: all of them are sent on to the upstream
/// that looks best, and one of them crashes it. Which one it is cannot be told again.
#[test]
fn suspected_requests_do_not_run_at_the_same_upstream() {
    run(async {
        let cluster = Cluster::start(86, 1, 3, "crash");
        let paths = ["/get/a/long", "/get/b/long", "/get/c/long"];
        for path in paths {
            let ledger = &mut cluster.nodes[0].state.borrow_mut().quarantine;
            let known = ledger.version(content(path));
            ledger.record_crash(content(path), known, Start::of("u", 1), crate::unix_ms());
        }
        // One looks best to all of them.
        for (index, slowness) in [(0, 1.0), (1, 2.0), (2, 2.0)] {
            let state = &mut *cluster.nodes[0].state.borrow_mut();
            let pool = state.pools.get_mut("desk").expect("a pool");
            let upstream = pool.upstreams()[index].incarnation.clone();
            let load = place::Load { running: 0, waiting: 0, slots: SLOTS as u32, slowness };
            pool.record_report(&upstream, Some(load), Instant::now());
        }
        let mut callers = Vec::new();
        for path in paths {
            let mut caller = Caller::connect(cluster.fronts[0]).await;
            caller.write(&get(path, path)).await;
            callers.push(caller);
            monoio::time::sleep(ms(20)).await;
        }
        for caller in &mut callers {
            assert_eq!(caller.read().await.map(|got| got.status), Some(200));
        }
        let seen = cluster.seen.borrow();
        let mut upstreams: Vec<&String> = seen.ran.iter().map(|(_, id)| id).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        assert_eq!((seen.ran.len(), upstreams.len()), (3, 3), "{:?}", seen.ran);
        assert!(cluster.nodes[0].state.borrow().quarantine.is_empty(), "answers cleared them");
    });
}

/// A request that waits at the node for room crashes one more upstream: it came before the word that holds
/// it back, and was sent when a slot was free.
#[test]
fn what_waits_for_room_is_refused_when_the_word_comes() {
    run(async {
        let cluster = Cluster::start(87, 1, 1, "crash");
        let node = cluster.nodes[0].clone();
        let load =
            place::Load { running: SLOTS as u32, waiting: 1, slots: SLOTS as u32, slowness: 1.0 };
        {
            let state = &mut *node.state.borrow_mut();
            let pool = state.pools.get_mut("desk").expect("a pool");
            let upstream = pool.upstreams()[0].incarnation.clone();
            pool.record_report(&upstream, Some(load), Instant::now());
        }
        let mut caller = Caller::connect(cluster.fronts[0]).await;
        caller.write(&get("/get/crash", "1")).await;
        monoio::time::sleep(ms(4)).await;
        let mut other = Quarantine::default();
        let content = content("/get/crash");
        for n in 0..3 {
            let known = other.version(content);
            other.record_crash(content, known, Start::of("u", n), crate::unix_ms());
        }
        let finding = other.quarantined().next().expect("it is held back").clone();
        node.hear_finding(&finding, "a peer");
        let heard_at = Instant::now();
        let got = caller.read().await.expect("an answer");
        assert_eq!((got.status, cluster.seen.borrow().arrivals.len()), (503, 0));
        assert_eq!(node.state.borrow().counters.refused_crashing, 1);
        assert!(heard_at.elapsed() < ms(60), "at once, not when there is room");
    });
}
