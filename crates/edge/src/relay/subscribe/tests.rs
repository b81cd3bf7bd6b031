use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;

use super::super::frame::{encode, receive, Frame, Greeting};
use super::{subscribe, EndReason};
use crate::follow::Topic;
use crate::forward::Node;
use crate::tests::fake::{metrics, run};
use crate::tests::fleet::{addr, state_at};

/// Guards against a peer whose response is corrupt or belongs to another subscription, and would
/// make stale data look fresh.
#[yare::parameterized(
    later_than_now = { Duration::from_secs(60) },
    beyond_any_clock = { Duration::MAX },
)]
fn a_response_to_a_future_query_renews_no_lease(asked_after: Duration) {
    run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let peer = listener.local_addr().expect("bound");
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            receive::<Greeting, _>(&mut stream).await.expect("a greeting");
            let age = Some(Duration::ZERO);
            let ages = Frame::Ages { asked_after, config_age: age, list_age: age };
            stream.write_all(encode(&ages)).await.0.expect("writes");
        });
        let node = Rc::new(Node::new(Rc::new(RefCell::new(state_at(addr(9), &[]))), metrics()));
        let end_reason = subscribe(&node, peer, false, &mut Instant::now()).await;
        assert_eq!(end_reason, EndReason::InvalidFrame);
        assert!(!node.state.borrow().is_fresh(Topic::Config, Instant::now()));
    });
}
