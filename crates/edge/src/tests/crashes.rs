//! Requests that crash every upstream that runs them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use super::crashing::{ask, Asked, Cluster, SLOTS};
use super::fake::{ms, run};

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
/// upstreams that crashed, and every attempt counted as a new request. Lines of one such series, in
/// which sixteen upstreams crashed within four seconds and three quarters of the requests of the
/// service were refused for want of upstreams:
///
/// `"answer_lost","request":"d58c6a3826887c54",.."sends":[{"upstream":"i-d21a473257","at_ms":2},
/// {"upstream":"i-1ecf312fd8","at_ms":8}],"reason":"closed without an answer","took_ms":161`
///
/// `"probe_connect_failed","upstream":"i-1ecf312fd8","error":"Connection refused (os error 111)"`
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
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < within, "{what}");
        monoio::time::sleep(ms(10)).await;
    }
}

/// Has a cluster hold the request back, by making it again and again.
async fn hold_back(cluster: &Rc<Cluster>) {
    let done = Rc::new(Cell::new(false));
    call(cluster, "/get/crash", true, ms(120), &done);
    until("all nodes hold it back", ms(5_000), || cluster.all_hold_back(1)).await;
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
            let mut caller = super::fake::Caller::connect(*front).await;
            let began = std::time::Instant::now();
            let got = caller.ask(&super::fake::get("/get/crash", "c")).await;
            assert!(began.elapsed() < ms(50), "at once");
            let after = got.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            assert!(got.status == 503 && after.is_some_and(|s: f64| s > 60.0), "{got:?}");
            let got = caller.ask(&super::fake::get("/get/crosh", "d")).await;
            assert_eq!(got.status, 200, "{got:?}");
        }
        assert_eq!(cluster.seen.borrow().arrivals.len(), reached);
        let refused =
            |node: &Rc<crate::forward::Node>| node.state.borrow().counters.refused_crashing;
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
        let settled = std::time::Instant::now() + ms(300);
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
/// that crashed next.
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
        assert!(cluster.all_hold_back(1), "the crashing one alone");
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
        let knows = || late.state.borrow().quarantine.held().count() == 1;
        until("it is told", ms(3_000), knows).await;
    });
}

/// All nodes are restarted at the same moment and the request crashes three more upstreams, after each
/// restart anew: what only nodes knew is gone with them.
#[test]
fn a_restart_of_all_nodes_forgets_nothing_that_is_held_back() {
    run(async {
        let platform = super::crashing::Platform::default();
        let cluster = Cluster::start(94, 3, 8, "crash");
        cluster.nodes.iter().for_each(|node| platform.serve(node));
        monoio::time::sleep(JOINED).await;
        hold_back(&cluster).await;
        until("it is kept", ms(3_000), || platform.kept.borrow().len() == 1).await;
        monoio::time::sleep(ms(1_000)).await;
        // Each node reads at its start, one writes and is told its own row, then waits.
        assert_eq!(platform.calls.get(), 3 + 1 + 2);

        let after = Cluster::start(95, 3, 8, "crash");
        after.nodes.iter().for_each(|node| platform.serve(node));
        until("all nodes know again", ms(3_000), || after.all_hold_back(1)).await;

        let mut finding = platform.kept.borrow()[0].hold.finding.clone();
        finding = finding.cleared(finding.until_unix_ms);
        platform.put(finding);
        until("an operator lifts it", ms(3_000), || after.all_hold_back(0)).await;
    });
}

/// While nothing is held back, what is kept costs no call.
#[test]
fn what_is_kept_costs_no_call_while_nothing_is_held_back() {
    run(async {
        let platform = super::crashing::Platform::default();
        let cluster = Cluster::start(96, 3, 4, "crash");
        for node in &cluster.nodes {
            node.state.borrow_mut().settings.first_start = true;
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
        let upstream = super::fake::Upstream::start(vec![vec![super::fake::Act::Close]]);
        let other = super::fake::Upstream::start(vec![vec![super::fake::Act::Close]]);
        let entered = super::fake::start(&[&upstream, &other]);
        for n in 0..6 {
            let mut caller = super::fake::Caller::connect(entered.addr).await;
            let got = caller.ask(&super::fake::get("/get/1", &n.to_string())).await;
            assert_eq!(got.status, 502, "it may have run");
        }
        let state = entered.node.state.borrow();
        assert!(state.quarantine.is_empty());
        assert_eq!(state.counters.upstreams_ended, 0);
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
