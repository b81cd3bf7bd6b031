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
