//! Stalls of the node's event loop.

use std::future::{self, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::Instant;

use super::fake::{get, ms, ok_response, post, run, start, Caller, Step, Upstream};

/// Guards against answering 504 although the response is ready: the node stalls until after the
/// deadline, and the response arrives in the turn in which the deadline passes.
#[test]
fn a_response_that_is_ready_after_a_stall_is_delivered() {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Wait(ms(300)), ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let mut caller = Caller::connect(entry_node.addr).await;
        let sent_at = Instant::now();
        caller.write(&post("7")).await;
        monoio::time::sleep(ms(200)).await;
        std::thread::sleep(ms(520).saturating_sub(sent_at.elapsed()));
        let response = caller.read().await.expect("a response");
        assert_eq!((response.status, response.body.as_str()), (200, "beans"));
    });
}

/// Guards against closing an idle connection under a request: the node stalls until after the idle
/// timeout, and the caller sends before it.
#[test]
fn a_request_sent_in_a_stall_is_not_lost_to_the_idle_timeout() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("beans")]]);
        let entry_node = start(&[&upstream]);
        let limits = route::ClientLimits { idle_timeout: ms(1), ..Default::default() };
        let table = super::fake::table(2, limits);
        entry_node.node.state.borrow_mut().apply_table(table);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.ask(&get("/get/1", "6")).await;
        let mut resting = pin!(monoio::time::sleep(ms(250)));
        // Starts the timer, which is due in the stall.
        future::poll_fn(|context| Poll::Ready(resting.as_mut().poll(context).is_ready())).await;
        // The slack of the idle timeout is 500 ms.
        std::thread::sleep(ms(600));
        resting.await;
        caller.write(&get("/get/1", "7")).await;
        assert_eq!(caller.read().await.expect("a response").body, "beans");
    });
}
