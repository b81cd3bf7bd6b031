//! Requests of one connection that are under way at the same time.
//!
//! A caller may send further requests before the first is answered. Served one after another, the
//! second would wait unread behind the first, its objective running. Here [`super::take`] reads
//! ahead and forwards each request as soon as it may run; [`super::answer`] writes the answers in
//! the order of the requests. docs/design/pipelining.md has the rules.

use std::cell::{Cell, RefCell};
use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use local_sync::oneshot;
use web::h1;

use crate::forward::{Body, Caller, Node, Reply};

/// Requests of one connection that are read and not answered yet, at most. Each may hold a whole
/// answer of 64 KiB that waits for those before it: half a megabyte for a connection.
const UNANSWERED_MOST: usize = 8;

/// Bytes of the bodies of such requests at which no further request is read.
const HELD_BYTES_MOST: usize = 128 * 1024;

/// How many requests of a connection are under way, shared by its reading and its writing half.
#[derive(Default)]
pub(super) struct Pipeline {
    unanswered: Cell<usize>,
    held_bytes: Cell<usize>,
    closing: Cell<bool>,
    /// The reading half, while it waits for answers to be written.
    waiting: RefCell<Option<Waker>>,
}

impl Pipeline {
    /// Returns how many requests were begun whose answer is not written yet.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Returns true once an answer that closes the connection is being written: no request behind
    /// it may run, since its caller sends it again elsewhere.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Records that the answer being written closes the connection.
    pub(super) fn close(&self) {
        self.closing.set(true);
    }

    /// Records that a request with a body of `held_bytes` was begun.
    pub(super) fn begun(&self, held_bytes: usize) {
        self.unanswered.set(self.unanswered.get() + 1);
        self.held_bytes.set(self.held_bytes.get() + held_bytes);
    }

    /// Records that the answer to a request with a body of `held_bytes` was written.
    pub(super) fn answered(&self, held_bytes: usize) {
        self.unanswered.set(self.unanswered.get() - 1);
        self.held_bytes.set(self.held_bytes.get() - held_bytes);
        if let Some(waiting) = self.waiting.borrow_mut().take() {
            waiting.wake();
        }
    }

    /// Waits until a further request may be read.
    pub(super) async fn room(&self) {
        self.until(|| {
            self.unanswered.get() < UNANSWERED_MOST && self.held_bytes.get() < HELD_BYTES_MOST
        })
        .await;
    }

    /// Waits until every request was answered.
    pub(super) async fn drained(&self) {
        self.until(|| self.unanswered.get() == 0).await;
    }

    async fn until(&self, done: impl Fn() -> bool) {
        future::poll_fn(|context| match done() {
            true => Poll::Ready(()),
            false => {
                *self.waiting.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await;
    }
}

/// What is written next on a connection.
pub(super) enum Turn {
    /// Tells the caller to send the body that it announced.
    GoOn,
    /// The answer to a request.
    Answer(Answering),
}

/// A request whose answer is to be written.
pub(super) struct Answering {
    pub(super) reply: Coming,
    /// Whether only the head of an answer is wanted.
    pub(super) bodyless: bool,
    /// Whether the connection closes behind the answer.
    pub(super) last: bool,
    /// Length of the request's body as far as it is held.
    pub(super) held_bytes: usize,
    pub(super) in_flight: Rc<InFlight>,
}

/// An answer that is there or will come.
pub(super) enum Coming {
    /// It is there.
    Ready(Box<Reply>),
    /// The request is under way. Dropping this ends a request that may run again.
    Later(oneshot::Receiver<Reply>),
}

impl Coming {
    /// Waits for the answer; `None` when there will be none.
    pub(super) async fn wait(self) -> Option<Reply> {
        match self {
            Coming::Ready(reply) => Some(*reply),
            Coming::Later(reply) => reply.await.ok(),
        }
    }
}

/// Counts a request as in flight while it lives.
pub(super) struct InFlight(Rc<Node>);

impl InFlight {
    pub(super) fn start(node: &Rc<Node>) -> Rc<InFlight> {
        node.state.borrow_mut().in_flight += 1;
        Rc::new(InFlight(node.clone()))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.state.borrow_mut().in_flight -= 1;
    }
}

/// A request that was read whole.
pub(super) struct Request {
    pub(super) head: h1::RequestHead,
    pub(super) body: Bytes,
    pub(super) arrived: Instant,
    /// Whether it may run more than once.
    pub(super) repeatable: bool,
    pub(super) in_flight: Rc<InFlight>,
}

/// Forwards a request in a task of its own.
///
/// Work for a caller that left holds a slot that callers who still wait could use, so dropping what
/// this returns cancels the request at its upstream. A request that must not run twice is left
/// to end once it was sent: cancelling cannot undo what it did, and half of it may be worse than all
/// of it. One that still waits for room is not sent any more.
pub(super) fn forward(node: &Rc<Node>, request: Request) -> Coming {
    let (mut answer, coming) = oneshot::channel();
    let node = node.clone();
    monoio::spawn(async move {
        let Request { head, body, arrived, repeatable, in_flight } = request;
        let caller = Caller::waiting_since(arrived);
        let left = caller.has_left.clone();
        let mut forwarding = pin!(node.forward(&head, Body::Whole(body), caller));
        let reply = monoio::select! {
            reply = &mut forwarding => Some(reply),
            () = answer.closed() => {
                left.set(true);
                if !repeatable {
                    forwarding.await;
                }
                None
            }
        };
        let taken = reply.is_some_and(|reply| answer.send(reply).is_ok());
        if !taken {
            node.caller_left(&head);
        }
        drop(in_flight);
    });
    Coming::Later(coming)
}
