//! Reads the requests of one connection and starts them.

use std::future::{self, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
use local_sync::mpsc::unbounded;
use web::h1;

use super::pipeline::{
    self, InFlight, PendingReply, Pipeline, QueuedResponse, QueuedWrite, Request,
};
use crate::bodies::Reservation;
use crate::forward::{Body, Caller, Node, Reply};
use crate::relay::AcceptedOffer;
use crate::reply::LocalReply;

/// Request bodies up to this size are received completely before the request is forwarded, so that
/// it can be sent again; longer ones are streamed.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// `Retry-After` of a request whose body does not fit into memory: the largest bodies take about
/// that long over the slowest links.
const RETRY_AFTER_BODIES: Duration = Duration::from_millis(300);

/// Maximum number of bytes received from a caller and not yet parsed as requests. A caller that
/// sends more is slowed down by TCP flow control.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Time for which a connection stays open beyond its idle timeout, for requests sent just before
/// the timeout that would otherwise cross the close on the wire.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// The reading half of a connection.
pub(super) struct RequestReader<'a> {
    pub(super) reader: &'a mut h1::Reader,
    pub(super) writes: unbounded::Tx<QueuedWrite>,
    pub(super) pipeline: &'a Pipeline,
    pub(super) node: &'a Rc<Node>,
    /// The offer of the connection's only request, if a peer made one.
    pub(super) accepted_offer: Option<Rc<AcceptedOffer>>,
}

/// The caller has disconnected or was idle for too long: it does not wait for responses any more.
struct Disconnected;

/// The result of reading a request's head.
enum NextRequest {
    /// The head, and when its last byte was received.
    Head(Box<h1::RequestHead>, Instant),
    /// The request cannot be served; the connection closes after this response.
    Rejected(LocalReply),
}

impl RequestReader<'_> {
    /// Reads requests and starts them until the caller disconnects.
    ///
    /// Once this returns, idempotent requests in flight may be cancelled.
    pub(super) async fn run(mut self) {
        while let Ok(true) = self.handle_next().await {}
    }

    /// Reads and starts one request; returns false if no further one may follow on this connection.
    async fn handle_next(&mut self) -> Result<bool, Disconnected> {
        self.wait_for_capacity().await?;
        let (head, received_at) = match self.read_head().await? {
            NextRequest::Head(head, received_at) => (head, received_at),
            NextRequest::Rejected(local_reply) => return self.reject(local_reply, false).await,
        };
        let accepted_offer = self.accepted_offer.clone();
        let received_at = accepted_offer.as_ref().map_or(received_at, |offer| offer.received_at);
        let in_flight = InFlight::start(self.node);
        let limits = limits(self.node);
        let mut decoder = h1::Decoder::new(head.framing);
        let checked = match decoder.is_done() || accepted_offer.is_some() {
            // Without a body to wait for, forwarding the request checks its caller just as early.
            // The peer that offers a request has checked it.
            true => Ok(()),
            false => self.node.check_caller(&head),
        };
        if let Err(local_reply) = checked {
            return self.reject_unread(local_reply, &head, &mut decoder).await;
        }
        if matches!(head.framing, h1::Framing::Length(l) if l > limits.body_bytes) {
            let local_reply =
                LocalReply::failed(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            return self.reject(local_reply, head.method == Method::HEAD).await;
        }
        let Some(mut reservation) = self.reserve_body(&head) else {
            let local_reply = LocalReply::not_run(RETRY_AFTER_BODIES, "too many bodies at once");
            return self.reject(local_reply, head.method == Method::HEAD).await;
        };
        if expects_continue(&head) && !decoder.is_done() {
            // `100 Continue` must follow the responses to earlier requests. The timeout for the
            // body starts only then, because the caller does not send the body before.
            self.wait_until_drained().await?;
            let _ = self.writes.send(QueuedWrite::Continue);
        }
        let body = match read_body_start(self.reader, &mut decoder, limits.header_timeout).await {
            Ok(Some(body)) => body,
            Ok(None) => return Err(Disconnected),
            Err(local_reply) => return self.reject(local_reply, head.method == Method::HEAD).await,
        };
        let body = match self
            .read_body_rest(&head, received_at, body, &mut decoder, &mut reservation)
            .await
        {
            Ok(Some(body)) => body,
            Ok(None) => return Err(Disconnected),
            Err(local_reply) => return self.reject(local_reply, head.method == Method::HEAD).await,
        };
        in_flight.hold(reservation);
        let idempotent = is_idempotent(&head, self.node);
        let exclusive = !idempotent || !decoder.is_done();
        if exclusive {
            self.wait_until_drained().await?;
        }
        if self.pipeline.is_closing() {
            return self.wait_for_disconnect().await;
        }
        let (head_only, body_bytes) = (head.method == Method::HEAD, body.len());
        let accepts_chunks = head.accepts_chunks;
        let mut last = !head.keep_alive || accepted_offer.is_some();
        self.pipeline.request_started(body_bytes);
        let reply = match decoder.is_done() {
            true => {
                let in_flight = in_flight.clone();
                let request = Request {
                    head: *head,
                    body,
                    received_at,
                    idempotent,
                    in_flight,
                    accepted_offer,
                };
                pipeline::forward(self.node, request)
            }
            false => {
                let partial =
                    Body::Partial { first: body, reader: self.reader, decoder: &mut decoder };
                let caller = Caller { accepted_offer, ..Caller::waiting_since(received_at) };
                let reply = self.node.forward(&head, partial, caller).await;
                // The unread rest of a body would be parsed as the next request.
                last |= !decoder.is_done();
                PendingReply::Ready(Box::new(reply))
            }
        };
        // Fails only if the writing half, and with it the connection, has ended.
        let _ = self.writes.send(QueuedWrite::Response(QueuedResponse {
            reply,
            head_only,
            accepts_chunks,
            last,
            body_bytes,
            in_flight,
        }));
        match () {
            () if last => self.wait_for_disconnect().await,
            () if exclusive => self.wait_until_drained().await.map(|()| true),
            () => Ok(true),
        }
    }

    /// Answers a request before its body is received. A short body that the caller sends anyway is
    /// discarded; otherwise the connection closes.
    async fn reject_unread(
        &mut self,
        local_reply: LocalReply,
        head: &h1::RequestHead,
        decoder: &mut h1::Decoder,
    ) -> Result<bool, Disconnected> {
        let head_only = head.method == Method::HEAD;
        let is_short =
            matches!(head.framing, h1::Framing::Length(l) if l <= MAX_BUFFERED_BODY_BYTES as u64);
        if !is_short || !head.keep_alive || expects_continue(head) {
            return self.reject(local_reply, head_only).await;
        }
        self.pipeline.request_started(0);
        let _ = self.writes.send(QueuedWrite::Response(QueuedResponse {
            reply: PendingReply::Ready(Box::new(Reply::Local(local_reply))),
            head_only,
            accepts_chunks: false,
            last: false,
            body_bytes: 0,
            in_flight: InFlight::start(self.node),
        }));
        match read_body_start(self.reader, decoder, limits(self.node).header_timeout).await {
            Ok(Some(_)) if decoder.is_done() => Ok(true),
            _ => {
                self.wait_until_drained().await?;
                Err(Disconnected)
            }
        }
    }

    /// Reserves memory for a body, all of it if its length is known and the budget allows. Returns
    /// `None` if there is none even for its first part.
    fn reserve_body(&self, head: &h1::RequestHead) -> Option<Reservation> {
        let budget = self.node.state.borrow().body_budget.clone();
        let (least, most) = match head.framing {
            h1::Framing::Empty => (0, 0),
            h1::Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                (length.min(MAX_BUFFERED_BODY_BYTES), length)
            }
            _ => (MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES),
        };
        let reservation = budget.reserve(least, most);
        let state = &mut *self.node.state.borrow_mut();
        state.counters.body_bytes_peak = budget.peak() as u64;
        if reservation.is_none() {
            state.counters.refused_bodies += 1;
            let request = head.headers.get(&state.settings.headers.request_id);
            trace::Line::new("refused")
                .field("request", request.and_then(|id| id.to_str().ok()).unwrap_or("?"))
                .field("reason", "too many bodies")
                .field("body_bytes", budget.used())
                .log();
        }
        reservation
    }

    /// Reads the remainder of a body as far as memory is reserved for it, until the caller's
    /// deadline. The upstream is chosen after that, so that none of its slots waits for the body.
    async fn read_body_rest(
        &mut self,
        head: &h1::RequestHead,
        received_at: Instant,
        first: Bytes,
        decoder: &mut h1::Decoder,
        reservation: &mut Reservation,
    ) -> Result<Option<Bytes>, LocalReply> {
        if decoder.is_done() || !reservation.covers(first.len() + 1) {
            return Ok(Some(first));
        }
        let deadline = received_at + self.node.max_wait(head);
        let reading = async {
            let mut body = BytesMut::with_capacity(reservation.bytes().max(first.len()));
            body.extend_from_slice(&first);
            while !decoder.is_done() && reservation.covers(body.len() + 1) {
                match self.reader.body_piece(decoder).await? {
                    Some(piece) => body.extend_from_slice(&piece),
                    None => break,
                }
            }
            Ok(body.freeze())
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match web::timeout(left, reading).await {
            Ok(Ok(body)) => Ok(Some(body)),
            Ok(Err(err)) => body_error(err).map(|()| None),
            Err(_) => {
                let text = "the body took longer to arrive than its caller waits";
                Err(LocalReply::failed(StatusCode::REQUEST_TIMEOUT, text))
            }
        }
    }

    /// Answers a request that cannot be served; nothing after it is parsed as a request.
    async fn reject(
        &mut self,
        local_reply: LocalReply,
        head_only: bool,
    ) -> Result<bool, Disconnected> {
        self.pipeline.request_started(0);
        let _ = self.writes.send(QueuedWrite::Response(QueuedResponse {
            reply: PendingReply::Ready(Box::new(Reply::Local(local_reply))),
            head_only,
            accepts_chunks: false,
            last: true,
            body_bytes: 0,
            in_flight: InFlight::start(self.node),
        }));
        self.wait_for_disconnect().await
    }

    /// Waits until a further request may be read. A stopping node starts none while others are in
    /// flight, so that it gets to a response after which it can close the connection.
    async fn wait_for_capacity(&mut self) -> Result<(), Disconnected> {
        let (pipeline, stopping) = (self.pipeline, self.node.state.borrow().stopping.is_some());
        match stopping {
            true => self.wait_while_connected(pipeline.drained()).await,
            false => self.wait_while_connected(pipeline.capacity_available()).await,
        }
    }

    async fn wait_until_drained(&mut self) -> Result<(), Disconnected> {
        let pipeline = self.pipeline;
        self.wait_while_connected(pipeline.drained()).await
    }

    /// Waits for `done`, unless the caller disconnects first.
    async fn wait_while_connected(
        &mut self,
        done: impl Future<Output = ()>,
    ) -> Result<(), Disconnected> {
        let mut done = pin!(done);
        loop {
            if self.reader.buffered_bytes() >= MAX_READ_AHEAD_BYTES {
                done.await;
                return Ok(());
            }
            monoio::select! {
                // Polled first, so that nothing is read if `done` is ready already.
                biased;
                () = &mut done => return Ok(()),
                more = self.reader.fill() => match more {
                    Ok(true) => {}
                    Ok(false) | Err(_) => return Err(Disconnected),
                },
            }
        }
    }

    /// Waits until the caller disconnects; what it still sends is not parsed as requests.
    async fn wait_for_disconnect(&mut self) -> Result<bool, Disconnected> {
        self.wait_while_connected(future::pending()).await.map(|()| false)
    }

    /// Reads the next request's head.
    async fn read_head(&mut self) -> Result<NextRequest, Disconnected> {
        if !self.reader.has_buffered() {
            self.wait_for_bytes().await?;
        }
        let limits = limits(self.node);
        let reading = self.reader.request_head(limits.header_bytes);
        match web::timeout(limits.header_timeout, reading).await {
            Ok(Ok(head)) => Ok(NextRequest::Head(Box::new(head), self.reader.receive_time())),
            Ok(Err(h1::ReadError::Malformed(err))) => {
                trace::Line::new("bad_request").field("error", err.to_string()).log();
                Ok(NextRequest::Rejected(LocalReply::failed(
                    err.status(),
                    "the request cannot be read",
                )))
            }
            Ok(Err(h1::ReadError::Closed | h1::ReadError::Io(_))) => Err(Disconnected),
            Err(_) => {
                let text = "the request took too long to arrive";
                Ok(NextRequest::Rejected(LocalReply::failed(StatusCode::REQUEST_TIMEOUT, text)))
            }
        }
    }

    /// Waits for the first byte of a request. The idle timeout starts when the last response is
    /// written.
    async fn wait_for_bytes(&mut self) -> Result<(), Disconnected> {
        self.wait_until_drained_or_bytes().await?;
        match self.reader.has_buffered() || wait_idle(self.reader, self.node).await {
            true => Ok(()),
            false => Err(Disconnected),
        }
    }

    async fn wait_until_drained_or_bytes(&mut self) -> Result<(), Disconnected> {
        let pipeline = self.pipeline;
        monoio::select! {
            biased;
            () = pipeline.drained() => Ok(()),
            more = self.reader.fill() => match more {
                Ok(true) => Ok(()),
                Ok(false) | Err(_) => Err(Disconnected),
            },
        }
    }
}

fn limits(node: &Node) -> route::ClientLimits {
    node.state.borrow().table.as_ref().map_or_else(Default::default, |table| table.limits)
}

fn expects_continue(head: &h1::RequestHead) -> bool {
    let expects = head.headers.get(http::header::EXPECT);
    expects.is_some_and(|expects| expects.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Returns true if the request's route allows repeated execution. While the node has no
/// configuration, no route is known, and the request counts as not idempotent.
fn is_idempotent(head: &h1::RequestHead, node: &Node) -> bool {
    let state = node.state.borrow();
    let table = state.table.as_ref();
    let route = table.and_then(|table| table.find(&head.host, head.path()));
    route.is_some_and(|route| route.retry_policy == route::RetryPolicy::Idempotent)
}

/// Waits for the first byte of a request; returns false if none arrives within the idle timeout.
///
/// The idle timeout may change while a connection is idle. The longer of the old and the new one
/// applies: the caller may know only one of them, and would lose a request to an unexpected close.
async fn wait_idle(reader: &mut h1::Reader, node: &Rc<Node>) -> bool {
    let since = Instant::now();
    let mut max_idle = limits(node).idle_timeout + IDLE_TIMEOUT_SLACK;
    loop {
        let left = (since + max_idle).saturating_duration_since(Instant::now());
        match web::timeout(left, reader.fill()).await {
            Ok(Ok(true)) => return true,
            Ok(Ok(false) | Err(_)) => return false,
            Err(_) => {
                let new_max_idle = limits(node).idle_timeout + IDLE_TIMEOUT_SLACK;
                if new_max_idle <= max_idle {
                    return false;
                }
                max_idle = new_max_idle;
            }
        }
    }
}

/// Reads a body, or its first [`MAX_BUFFERED_BODY_BYTES`]; returns `None` if the caller has
/// disconnected.
async fn read_body_start(
    reader: &mut h1::Reader,
    decoder: &mut h1::Decoder,
    timeout: Duration,
) -> Result<Option<Bytes>, LocalReply> {
    if decoder.is_done() {
        return Ok(Some(Bytes::new()));
    }
    let reading = async {
        let mut body = BytesMut::new();
        while !decoder.is_done() && body.len() < MAX_BUFFERED_BODY_BYTES {
            match reader.body_piece(decoder).await? {
                Some(piece) => body.extend_from_slice(&piece),
                None => break,
            }
        }
        Ok(body.freeze())
    };
    match web::timeout(timeout, reading).await {
        Ok(Ok(body)) => Ok(Some(body)),
        Ok(Err(err)) => body_error(err).map(|()| None),
        Err(_) => {
            Err(LocalReply::failed(StatusCode::REQUEST_TIMEOUT, "the body took too long to arrive"))
        }
    }
}

/// Returns the response to a request whose body could not be read, or nothing if its caller has
/// disconnected.
fn body_error(err: h1::ReadError) -> Result<(), LocalReply> {
    match err {
        h1::ReadError::Malformed(err) => {
            trace::Line::new("bad_request").field("error", err.to_string()).log();
            Err(LocalReply::failed(err.status(), "the body cannot be read"))
        }
        h1::ReadError::Closed | h1::ReadError::Io(_) => Ok(()),
    }
}
