//! Bodies that arrive slowly, at a node that knows how much memory it may use.

use super::fake::{ms, ok_response, run, start, Caller, EntryNode, Upstream};
use crate::bodies::BodyBudget;
use crate::Capacity;

/// Length of a body that is longer than the part that every node takes in.
const LONG_BYTES: usize = 200_000;

fn head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: {id}\r\nx-deadline: {deadline_ms}\r\n\
         Content-Length: {LONG_BYTES}\r\n\r\n"
    )
}

/// Starts an entry node whose memory holds bodies of `body_bytes` at once.
fn start_with_memory(upstream: &Upstream, body_bytes: usize) -> EntryNode {
    let entry_node = start(&[upstream]);
    let memory_bytes = 8.0 * body_bytes as f64;
    let capacity = Capacity { memory_bytes };
    entry_node.node.state.borrow_mut().body_budget = BodyBudget::new(Some(capacity));
    entry_node
}

fn reserved(entry_node: &EntryNode) -> usize {
    entry_node.node.state.borrow().body_budget.used()
}

/// Guards against an upstream's slot that is held, or lost to others, while a body trickles in: the
/// upstream is chosen once the whole body is there.
#[test]
fn an_upstream_gets_a_slow_body_only_when_it_is_whole() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("got it")]]);
        let entry_node = start_with_memory(&upstream, 2 * LONG_BYTES);
        let mut caller = Caller::connect(entry_node.addr).await;
        // Pieces in another order must not pass for the same body.
        let letter = |n: usize| char::from(b'a' + (n / 1_000 % 26) as u8);
        let body: String = (0..LONG_BYTES).map(letter).collect();
        caller.write(&head("7", 500)).await;
        caller.write(&body[..150_000]).await;
        monoio::time::sleep(ms(100)).await;
        assert_eq!((upstream.connections.get(), reserved(&entry_node)), (0, LONG_BYTES));
        let response = caller.ask(&body[150_000..]).await;
        assert_eq!((response.status, response.body.as_str()), (200, "got it"));
        assert!(upstream.seen.borrow()[0].body == body.as_bytes());
        monoio::time::sleep(ms(20)).await;
        assert_eq!(reserved(&entry_node), 0);
    });
}

/// Guards against memory that is used up by a burst of large bodies: further ones are streamed, and
/// refused unread when there is no memory even for their first part.
#[test]
fn bodies_that_do_not_fit_are_streamed_then_refused() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("got it")]]);
        let entry_node = start_with_memory(&upstream, LONG_BYTES + 80_000);
        let (mut whole, mut streamed, mut refused) = (
            Caller::connect(entry_node.addr).await,
            Caller::connect(entry_node.addr).await,
            Caller::connect(entry_node.addr).await,
        );
        whole.write(&head("7", 500)).await;
        monoio::time::sleep(ms(20)).await;
        streamed.write(&head("8", 500)).await;
        streamed.write(&"a".repeat(150_000)).await;
        monoio::time::sleep(ms(50)).await;
        assert_eq!(upstream.connections.get(), 1, "the body is passed on as it arrives");
        let response = refused.ask(&head("9", 500)).await;
        assert_eq!(
            (response.status, &response.headers["connection"]),
            (503, &"close".parse().unwrap())
        );
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(streamed.ask(&"a".repeat(50_000)).await.status, 200);
        assert_eq!(whole.ask(&"a".repeat(LONG_BYTES)).await.status, 200);
        let ids = upstream
            .seen
            .borrow()
            .iter()
            .map(|seen| seen.head.headers["x-id"].clone())
            .collect::<Vec<_>>();
        assert_eq!(ids, ["8", "7"]);
        assert_eq!(entry_node.node.state.borrow().counters.refused_bodies, 1);
    });
}

/// Guards against running half of a request, and against memory that is never released: its caller
/// leaves before all of its body is there.
#[test]
fn a_body_whose_caller_leaves_reaches_no_upstream() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("got it")]]);
        let entry_node = start_with_memory(&upstream, 2 * LONG_BYTES);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&head("7", 500)).await;
        caller.write(&"a".repeat(150_000)).await;
        monoio::time::sleep(ms(20)).await;
        drop(caller);
        monoio::time::sleep(ms(50)).await;
        assert_eq!((upstream.connections.get(), reserved(&entry_node)), (0, 0));
    });
}

/// Guards against memory that is held by a body for longer than its caller waits.
#[test]
fn a_body_that_misses_its_deadline_is_not_run() {
    run(async {
        let upstream = Upstream::start(vec![vec![ok_response("got it")]]);
        let entry_node = start_with_memory(&upstream, 2 * LONG_BYTES);
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&head("7", 100)).await;
        let response = caller.ask(&"a".repeat(150_000)).await;
        assert_eq!((response.status, upstream.connections.get()), (408, 0));
        drop(caller);
        monoio::time::sleep(ms(50)).await;
        assert_eq!(reserved(&entry_node), 0);
    });
}
