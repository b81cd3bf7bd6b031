//! Tracks the requests of one connection that are in flight at the same time.
//!
//! A caller may pipeline requests: send more of them before the first is answered. If they were
//! served one after another, the second would wait unread behind the first while its objective is
//! running out. Instead, [`super::requests`] reads ahead and forwards each request as soon as it
//! may run, and [`super::responses`] writes the responses in the order of the requests. The rules
//! are in docs/design/pipelining.md.

use std::cell::{Cell, RefCell};
use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use local_sync::oneshot;
use web::h1;

use crate::bodies::Reservation;
use crate::forward::{Body, Caller, Node, Reply};
use crate::relay::AcceptedOffer;

/// Maximum number of requests of one connection that are read and not answered yet. Each may hold a
/// complete response of 64 KiB that waits for the ones before it: half a megabyte per connection.
const MAX_UNANSWERED_REQUESTS: usize = 8;

/// Total size of the bodies of unanswered requests at which reading of further requests pauses.
const MAX_PENDING_BODY_BYTES: usize = 128 * 1024;

/// Counts the unanswered requests of a connection; shared by its reading and its writing half.
#[derive(Default)]
pub(super) struct Pipeline {
    unanswered: Cell<usize>,
    body_bytes: Cell<usize>,
    closing: Cell<bool>,
    /// Wakes the reading half while it waits for responses to be written.
    reader_waker: RefCell<Option<Waker>>,
}

impl Pipeline {
    /// Returns the number of started requests whose response is not written yet.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Returns true once a response that closes the connection is being written. No request after
    /// it may run, since the caller sends it again on another connection.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Records that the response being written closes the connection.
    pub(super) fn set_closing(&self) {
        self.closing.set(true);
    }

    /// Records the start of a request with a body of `body_bytes`.
    pub(super) fn request_started(&self, body_bytes: usize) {
        self.unanswered.set(self.unanswered.get() + 1);
        self.body_bytes.set(self.body_bytes.get() + body_bytes);
    }

    /// Records that the response to a request with a body of `body_bytes` was written.
    pub(super) fn response_written(&self, body_bytes: usize) {
        self.unanswered.set(self.unanswered.get() - 1);
        self.body_bytes.set(self.body_bytes.get() - body_bytes);
        if let Some(waker) = self.reader_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until a further request may be read.
    pub(super) async fn capacity_available(&self) {
        self.wait_until(|| {
            self.unanswered.get() < MAX_UNANSWERED_REQUESTS
                && self.body_bytes.get() < MAX_PENDING_BODY_BYTES
        })
        .await;
    }

    /// Waits until every request is answered.
    pub(super) async fn drained(&self) {
        self.wait_until(|| self.unanswered.get() == 0).await;
    }

    async fn wait_until(&self, done: impl Fn() -> bool) {
        future::poll_fn(|context| match done() {
            true => Poll::Ready(()),
            false => {
                *self.reader_waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await;
    }
}

/// An entry of the write queue of a connection.
pub(super) enum QueuedWrite {
    /// A `100 Continue`, which tells the caller to send the body that it announced.
    Continue,
    /// The response to a request.
    Response(QueuedResponse),
}

/// A request whose response is to be written.
pub(super) struct QueuedResponse {
    pub(super) reply: PendingReply,
    /// Whether only the head of the response is written.
    pub(super) head_only: bool,
    /// Whether an upstream's response may be chunked.
    pub(super) accepts_chunks: bool,
    /// Whether the connection closes after the response.
    pub(super) last: bool,
    /// Number of bytes of the request's body that are kept in memory.
    pub(super) body_bytes: usize,
    pub(super) in_flight: Rc<InFlight>,
}

/// A reply that is available or expected.
pub(super) enum PendingReply {
    /// The reply is available.
    Ready(Box<Reply>),
    /// The request is being forwarded. Dropping this cancels an idempotent request.
    Forwarding(oneshot::Receiver<Reply>),
}

impl PendingReply {
    /// Waits for the reply; returns `None` if there will be none.
    pub(super) async fn wait(self) -> Option<Reply> {
        match self {
            PendingReply::Ready(reply) => Some(*reply),
            PendingReply::Forwarding(reply) => reply.await.ok(),
        }
    }
}

/// Guard that counts a request as in flight until it is dropped.
pub(super) struct InFlight {
    node: Rc<Node>,
    /// The memory that the request's body takes.
    body: RefCell<Option<Reservation>>,
}

impl InFlight {
    pub(super) fn start(node: &Rc<Node>) -> Rc<InFlight> {
        node.state.borrow_mut().in_flight += 1;
        Rc::new(InFlight { node: node.clone(), body: RefCell::default() })
    }

    /// Keeps the memory for the request's body reserved until the guard is dropped.
    pub(super) fn hold(&self, body: Reservation) {
        *self.body.borrow_mut() = Some(body);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.state.borrow_mut().in_flight -= 1;
    }
}

/// A request that was received completely.
pub(super) struct Request {
    pub(super) head: h1::RequestHead,
    pub(super) body: Bytes,
    pub(super) received_at: Instant,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    pub(super) in_flight: Rc<InFlight>,
    /// How a peer has offered it, if one did.
    pub(super) accepted_offer: Option<Rc<AcceptedOffer>>,
}

/// Forwards a request in a task of its own.
///
/// Dropping the returned value, as when the caller disconnects, cancels the request at its
/// upstream: it would occupy a slot that callers who still wait could use. A request that must not
/// run twice is left to finish once it was sent: cancelling cannot undo what it did, and a
/// half-done request may be worse than a complete one. If it still waits for capacity, it is not
/// sent any more.
pub(super) fn forward(node: &Rc<Node>, request: Request) -> PendingReply {
    let (mut sender, receiver) = oneshot::channel();
    let node = node.clone();
    monoio::spawn(async move {
        let Request { head, body, received_at, idempotent, in_flight, accepted_offer } = request;
        let caller = Caller { accepted_offer, ..Caller::waiting_since(received_at) };
        let left = caller.has_left.clone();
        let mut forwarding = pin!(node.forward(&head, Body::Full(body), caller));
        let reply = monoio::select! {
            reply = &mut forwarding => Some(reply),
            () = sender.closed() => {
                left.set(true);
                if !idempotent {
                    forwarding.await;
                }
                None
            }
        };
        let delivered = reply.is_some_and(|reply| sender.send(reply).is_ok());
        if !delivered {
            node.record_caller_left(&head);
        }
        drop(in_flight);
    });
    PendingReply::Forwarding(receiver)
}
