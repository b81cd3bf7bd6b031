use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;

use super::super::frame::{encode, receive, Frame, Greeting};
use super::{subscribe, Ended};
use crate::follow::Topic;
use crate::forward::Node;
use crate::tests::fake::{metrics, run};
use crate::tests::fleet::{addr, state_at};

/// Guards against a peer whose answer, spoilt or of another subscription, makes what is held look new.
#[yare::parameterized(
    later_than_now = { Duration::from_secs(60) },
    beyond_any_clock = { Duration::MAX },
)]
fn an_answer_to_what_was_not_asked_yet_renews_nothing(asked_after: Duration) {
    run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let peer = listener.local_addr().expect("bound");
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            receive::<Greeting, _>(&mut stream).await.expect("a greeting");
            let age = Some(Duration::ZERO);
            let sure = Frame::Sure { asked_after, config_age: age, list_age: age };
            stream.write_all(encode(&sure)).await.0.expect("writes");
        });
        let node = Rc::new(Node::new(Rc::new(RefCell::new(state_at(addr(9), &[]))), metrics()));
        let ended = subscribe(&node, peer, false, &mut Instant::now()).await;
        assert_eq!(ended, Ended::Unreadable);
        assert!(!node.state.borrow().is_fresh(Topic::Config, Instant::now()));
    });
}
