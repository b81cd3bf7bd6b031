//! Reading requests of one connection and setting them under way.

use std::future::{self, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
use local_sync::mpsc::unbounded;
use web::h1;

use super::pipeline::{self, Answering, Coming, InFlight, Pipeline, Request, Turn};
use crate::forward::{Body, Caller, Node, Reply};
use crate::reply::Own;

/// A request body up to this size is received in full before it is sent on, so
/// that it can be sent again; longer ones are passed on as they come.
const WHOLE_BODY_BYTES: usize = 64 * 1024;

/// Bytes received from a caller and not yet read as requests, at most. A caller that sends more is
/// held up by its full window.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// A connection that was idle for the allowed time is closed a little later:
/// a request sent at the very end of that time would cross the close.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// The reading half of a connection.
pub(super) struct Taker<'a> {
    pub(super) reader: &'a mut h1::Reader,
    pub(super) turns: unbounded::Tx<Turn>,
    pub(super) pipeline: &'a Pipeline,
    pub(super) node: &'a Rc<Node>,
}

/// The caller left, or was idle for too long: nobody waits for answers any more.
struct Gone;

/// What was read.
enum Next {
    /// A request's head, and when it had arrived.
    Head(Box<h1::RequestHead>, Instant),
    /// What cannot be served; the connection closes behind the answer.
    Refused(Own),
}

impl Taker<'_> {
    /// Reads requests and sets them under way until the caller is gone.
    ///
    /// Once it returns, what may run again need not go on.
    pub(super) async fn run(mut self) {
        while let Ok(true) = self.take_one().await {}
    }

    /// Takes one request; false when none may follow on this connection.
    async fn take_one(&mut self) -> Result<bool, Gone> {
        self.wait_for_room().await?;
        let (head, arrived) = match self.next_head().await? {
            Next::Head(head, arrived) => (head, arrived),
            Next::Refused(own) => return self.refuse(own, false).await,
        };
        let in_flight = InFlight::start(self.node);
        let limits = limits(self.node);
        let mut decoder = h1::Decoder::new(head.framing);
        if matches!(head.framing, h1::Framing::Length(l) if l > limits.body_bytes) {
            let own = Own::failed(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            return self.refuse(own, head.method == Method::HEAD).await;
        }
        if expects_go_on(&head) && !decoder.is_done() {
            // Its turn comes behind the answers to the requests before. The time for the body runs
            // from then on: until then its caller does not send it.
            self.wait_until_drained().await?;
            let _ = self.turns.send(Turn::GoOn);
        }
        let body = match begin_body(self.reader, &mut decoder, limits.header_timeout).await {
            Ok(Some(body)) => body,
            Ok(None) => return Err(Gone),
            Err(own) => return self.refuse(own, head.method == Method::HEAD).await,
        };
        let repeatable = is_repeatable(&head, self.node);
        let alone = !repeatable || !decoder.is_done();
        if alone {
            self.wait_until_drained().await?;
        }
        if self.pipeline.is_closing() {
            return self.until_gone().await;
        }
        let (bodyless, held_bytes) = (head.method == Method::HEAD, body.len());
        let mut last = !head.keep_alive;
        self.pipeline.begun(held_bytes);
        let reply = match decoder.is_done() {
            true => {
                let in_flight = in_flight.clone();
                let request = Request { head: *head, body, arrived, repeatable, in_flight };
                pipeline::forward(self.node, request)
            }
            false => {
                let long = Body::Long { first: body, reader: self.reader, decoder: &mut decoder };
                let reply = self.node.forward(&head, long, Caller::waiting_since(arrived)).await;
                // A body that was not read to its end would be taken for the next request.
                last |= !decoder.is_done();
                Coming::Ready(Box::new(reply))
            }
        };
        // Fails only when the writing half has ended, and the connection with it.
        let _ = self.turns.send(Turn::Answer(Answering {
            reply,
            bodyless,
            last,
            held_bytes,
            in_flight,
        }));
        match () {
            () if last => self.until_gone().await,
            () if alone => self.wait_until_drained().await.map(|()| true),
            () => Ok(true),
        }
    }

    /// Answers what cannot be served; nothing behind it is read as a request.
    async fn refuse(&mut self, own: Own, bodyless: bool) -> Result<bool, Gone> {
        self.pipeline.begun(0);
        let _ = self.turns.send(Turn::Answer(Answering {
            reply: Coming::Ready(Box::new(Reply::Own(own))),
            bodyless,
            last: true,
            held_bytes: 0,
            in_flight: InFlight::start(self.node),
        }));
        self.until_gone().await
    }

    /// Waits until a further request may be read. A node that stops begins none behind others, so
    /// that an answer comes behind which it can close.
    async fn wait_for_room(&mut self) -> Result<(), Gone> {
        let (pipeline, stopping) = (self.pipeline, self.node.state.borrow().stopping.is_some());
        match stopping {
            true => self.watching(pipeline.drained()).await,
            false => self.watching(pipeline.room()).await,
        }
    }

    async fn wait_until_drained(&mut self) -> Result<(), Gone> {
        let pipeline = self.pipeline;
        self.watching(pipeline.drained()).await
    }

    /// Waits for `done` while it notices whether the caller leaves.
    async fn watching(&mut self, done: impl Future<Output = ()>) -> Result<(), Gone> {
        let mut done = pin!(done);
        loop {
            if self.reader.buffered_bytes() >= READ_AHEAD_BYTES {
                done.await;
                return Ok(());
            }
            monoio::select! {
                // First, so that nothing is read when nothing has to be waited for.
                biased;
                () = &mut done => return Ok(()),
                more = self.reader.fill() => match more {
                    Ok(true) => {}
                    Ok(false) | Err(_) => return Err(Gone),
                },
            }
        }
    }

    /// Waits until the caller is gone; what it still sends is not read as requests.
    async fn until_gone(&mut self) -> Result<bool, Gone> {
        self.watching(future::pending()).await.map(|()| false)
    }

    /// Reads the next request's head.
    async fn next_head(&mut self) -> Result<Next, Gone> {
        if !self.reader.has_buffered() {
            self.wait_for_bytes().await?;
        }
        let limits = limits(self.node);
        let reading = self.reader.request_head(limits.header_bytes);
        match monoio::time::timeout(limits.header_timeout, reading).await {
            Ok(Ok(head)) => Ok(Next::Head(Box::new(head), self.reader.receive_time())),
            Ok(Err(h1::ReadError::Malformed(err))) => {
                trace::Line::new("bad_request").field("error", err.to_string()).log();
                Ok(Next::Refused(Own::failed(err.status(), "the request cannot be read")))
            }
            Ok(Err(h1::ReadError::Closed | h1::ReadError::Io(_))) => Err(Gone),
            Err(_) => {
                let text = "the request took too long to arrive";
                Ok(Next::Refused(Own::failed(StatusCode::REQUEST_TIMEOUT, text)))
            }
        }
    }

    /// Waits for the first byte of a request. The time that a connection may be idle counts from
    /// its last answer.
    async fn wait_for_bytes(&mut self) -> Result<(), Gone> {
        self.wait_until_drained_or_bytes().await?;
        match self.reader.has_buffered() || wait_idle(self.reader, self.node).await {
            true => Ok(()),
            false => Err(Gone),
        }
    }

    async fn wait_until_drained_or_bytes(&mut self) -> Result<(), Gone> {
        let pipeline = self.pipeline;
        monoio::select! {
            biased;
            () = pipeline.drained() => Ok(()),
            more = self.reader.fill() => match more {
                Ok(true) => Ok(()),
                Ok(false) | Err(_) => Err(Gone),
            },
        }
    }
}

fn limits(node: &Node) -> route::ClientLimits {
    node.state.borrow().table.as_ref().map_or_else(Default::default, |table| table.limits)
}

fn expects_go_on(head: &h1::RequestHead) -> bool {
    let expects = head.headers.get(http::header::EXPECT);
    expects.is_some_and(|expects| expects.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Returns true when the request may run more than once, as far as that is known yet.
fn is_repeatable(head: &h1::RequestHead, node: &Node) -> bool {
    let state = node.state.borrow();
    let table = state.table.as_ref();
    let route = table.and_then(|table| table.find(&head.host, head.path()));
    route.is_some_and(|route| route.retry_policy == route::RetryPolicy::Idempotent)
}

/// Waits for the first byte of a request; false when none came in the allowed time.
///
/// The limit in force may change while a connection is idle. The longer of
/// the old and the new one holds: the caller may know only one of them, and
/// a close that it does not expect loses its request.
async fn wait_idle(reader: &mut h1::Reader, node: &Rc<Node>) -> bool {
    let since = Instant::now();
    let mut allowed = limits(node).idle_timeout + IDLE_SLACK;
    loop {
        let left = (since + allowed).saturating_duration_since(Instant::now());
        match monoio::time::timeout(left, reader.fill()).await {
            Ok(Ok(true)) => return true,
            Ok(Ok(false) | Err(_)) => return false,
            Err(_) => {
                let now_allowed = limits(node).idle_timeout + IDLE_SLACK;
                if now_allowed <= allowed {
                    return false;
                }
                allowed = now_allowed;
            }
        }
    }
}

/// Reads a body, up to [`WHOLE_BODY_BYTES`] of it; `None` when the caller left.
async fn begin_body(
    reader: &mut h1::Reader,
    decoder: &mut h1::Decoder,
    timeout: Duration,
) -> Result<Option<Bytes>, Own> {
    if decoder.is_done() {
        return Ok(Some(Bytes::new()));
    }
    let reading = async {
        let mut body = BytesMut::new();
        while !decoder.is_done() && body.len() < WHOLE_BODY_BYTES {
            match reader.body_piece(decoder).await? {
                Some(piece) => body.extend_from_slice(&piece),
                None => break,
            }
        }
        Ok(body.freeze())
    };
    match monoio::time::timeout(timeout, reading).await {
        Ok(Ok(body)) => Ok(Some(body)),
        Ok(Err(h1::ReadError::Malformed(err))) => {
            trace::Line::new("bad_request").field("error", err.to_string()).log();
            Err(Own::failed(err.status(), "the body cannot be read"))
        }
        Ok(Err(h1::ReadError::Closed | h1::ReadError::Io(_))) => Ok(None),
        Err(_) => Err(Own::failed(StatusCode::REQUEST_TIMEOUT, "the body took too long to arrive")),
    }
}
