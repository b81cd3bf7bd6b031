//! Buffered reading and writing of HTTP messages on the two halves of a TCP connection.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::Method;
use monoio::buf::IoBuf;
use monoio::io::{
    AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
};
use monoio::net::TcpStream;
use quick_error::quick_error;

use super::body::{Decoder, Progress};
use super::head::{self, ParseError, RequestHead, ResponseHead};
use crate::buffers::BufferBudget;

/// Reads that follow each other within this time share one receive time, so that a peer that sends
/// one byte at a time cannot make the list of receive times long.
const RECEIVE_TIME_RESOLUTION: Duration = Duration::from_millis(1);

/// Number of reads that may find input without waiting before other tasks run: a peer that sends without
/// end would stop them.
const READS_PER_TURN: u32 = 8;

/// Time for which a reader may find input without waiting before it pauses, and for how long. Timers run
/// only while no task can.
const MAX_BUSY_TIME: Duration = Duration::from_millis(5);
const PAUSE: Duration = Duration::from_millis(1);

/// Maximum length of a body that is sent in one write with its head, in bytes.
const MAX_COPIED_BODY_BYTES: usize = 64 * 1024;

/// Maximum number of bytes in one read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

quick_error! {
    /// Errors of reading a message.
    #[derive(Debug)]
    pub enum ReadError {
        /// The peer closed its side of the connection in an orderly way (end of file) before the
        /// message was complete.
        Closed {
            display("connection closed")
        }
        /// An I/O operation on the socket failed.
        Io(err: io::Error) {
            from()
            display("{}", err)
        }
        /// The received bytes are not a valid message.
        Malformed(err: ParseError) {
            from()
            display("{}", err)
        }
    }
}

/// Splits a connection into its reader and its writer.
pub fn split(stream: TcpStream) -> (Reader, Writer) {
    let (read, write) = stream.into_split();
    let write_failure = Rc::new(Cell::new(None));
    let reader = Reader {
        half: read,
        write_failure: write_failure.clone(),
        buf: BytesMut::new(),
        received: Rc::default(),
        receive_times: None,
        busy: None,
    };
    (reader, Writer { half: write, failure: write_failure })
}

/// Same as [`split`], with a reader that records receive times for [`Reader::receive_time`].
pub fn split_with_receive_times(stream: TcpStream) -> (Reader, Writer) {
    let (reader, writer) = split(stream);
    (Reader { receive_times: Some(ReceiveTimes::default()), ..reader }, writer)
}

/// Reads messages from the receiving half of a connection and buffers unconsumed bytes.
pub struct Reader {
    half: OwnedReadHalf<TcpStream>,
    /// How the connection failed, if a write was told so.
    write_failure: Rc<Cell<Option<io::ErrorKind>>>,
    buf: BytesMut,
    /// Number of bytes received since the connection was opened.
    received: Rc<Cell<u64>>,
    receive_times: Option<ReceiveTimes>,
    /// Is set while each read finds input without waiting.
    busy: Option<Busy>,
}

/// Reads that found input without waiting.
struct Busy {
    since: Instant,
    reads: u32,
}

/// Receive times of the bytes of a stream.
#[derive(Default)]
struct ReceiveTimes {
    /// Number of bytes received since the connection was opened.
    total_received: u64,
    /// End offset in the stream and receive time of the reads, oldest first. Entries that end
    /// before the last consumed byte are removed on lookup.
    end_offsets: VecDeque<(u64, Instant)>,
}

impl ReceiveTimes {
    fn record(&mut self, bytes: usize, now: Instant) {
        self.total_received += bytes as u64;
        match self.end_offsets.back_mut() {
            Some((end_offset, at))
                if now.saturating_duration_since(*at) < RECEIVE_TIME_RESOLUTION =>
            {
                *end_offset = self.total_received;
            }
            _ => self.end_offsets.push_back((self.total_received, now)),
        }
    }

    /// Returns when the last consumed byte was received, given that `unconsumed` bytes follow it.
    fn of_last_consumed(&mut self, unconsumed: usize) -> Option<Instant> {
        let consumed = self.total_received - unconsumed as u64;
        while self.end_offsets.len() > 1 && self.end_offsets[0].0 < consumed {
            self.end_offsets.pop_front();
        }
        self.end_offsets.front().map(|(_, at)| *at)
    }
}

/// Writes to the sending half of a connection.
pub struct Writer {
    half: OwnedWriteHalf<TcpStream>,
    failure: Rc<Cell<Option<io::ErrorKind>>>,
}

impl Reader {
    /// Returns the number of bytes received so far, which the reader goes on to update.
    pub(crate) fn received(&self) -> Rc<Cell<u64>> {
        self.received.clone()
    }

    /// Returns when the last consumed byte was received, or the current time when receive times are
    /// not recorded.
    ///
    /// A pipelined request may stay in the buffer until earlier ones are processed. If its timeout
    /// started when it is parsed, it would get more time than its caller waits.
    pub fn receive_time(&mut self) -> Instant {
        let unconsumed = self.buf.len();
        let recorded =
            self.receive_times.as_mut().and_then(|times| times.of_last_consumed(unconsumed));
        recorded.unwrap_or_else(Instant::now)
    }

    /// Returns the number of bytes that were received but not consumed yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Returns true when bytes were received but not consumed yet.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Receives more bytes into the buffer; returns false when the peer closed its side.
    ///
    /// Cancel safe: dropping the future loses no received bytes.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the socket. The socket reports an error only once: if a write was told
    /// that the connection failed, it is returned here in place of an end that the peer never sent.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let (result, scratch) = self.half.read(Vec::with_capacity(READ_BUFFER_BYTES)).await;
        let length = match (result?, self.write_failure.get()) {
            (0, Some(failure)) => return Err(failure.into()),
            (length, _) => length,
        };
        self.received.set(self.received.get() + length as u64);
        self.buf.extend_from_slice(&scratch[..length]);
        if let Some(receive_times) = &mut self.receive_times {
            receive_times.record(length, Instant::now());
        }
        Ok(length > 0)
    }

    /// Returns true when bytes wait to be consumed, or the peer has closed its side.
    ///
    /// On a connection without a request in flight, such bytes are a surplus response, which would
    /// be taken for that to the next request.
    pub async fn has_pending_input(&mut self) -> bool {
        if self.has_buffered() {
            return true;
        }
        let mut fill = pin!(self.fill());
        std::future::poll_fn(|cx| Poll::Ready(fill.as_mut().poll(cx).is_ready())).await
    }

    /// Discards the buffered bytes and receives more; returns how many were received, or `None`
    /// when the peer closed its side.
    ///
    /// The newly received bytes are discarded by the next call.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the socket.
    pub async fn discard(&mut self) -> io::Result<Option<usize>> {
        self.buf.clear();
        let more = self.fill().await?;
        Ok(more.then_some(self.buf.len()))
    }

    /// Same as [`Reader::fill`], and lets other tasks and timers run when input arrives faster than it is
    /// processed.
    async fn fill_in_turns(&mut self) -> io::Result<bool> {
        let (result, has_waited) = {
            let mut fill = pin!(self.fill());
            match std::future::poll_fn(|cx| Poll::Ready(fill.as_mut().poll(cx))).await {
                Poll::Ready(result) => (result, false),
                Poll::Pending => (fill.await, true),
            }
        };
        match &mut self.busy {
            _ if has_waited => self.busy = None,
            None => self.busy = Some(Busy { since: Instant::now(), reads: 1 }),
            Some(busy) if busy.since.elapsed() >= MAX_BUSY_TIME => {
                self.busy = None;
                monoio::time::sleep(PAUSE).await;
            }
            Some(busy) => {
                busy.reads += 1;
                if busy.reads % READS_PER_TURN == 0 {
                    run_other_tasks().await;
                }
            }
        }
        result
    }

    async fn fill_or_closed(&mut self) -> Result<(), ReadError> {
        match self.fill_in_turns().await? {
            true => Ok(()),
            false => Err(ReadError::Closed),
        }
    }

    /// Reads a request head of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`], which is `Closed` also when the peer closes between two requests.
    pub async fn request_head(&mut self, max_bytes: usize) -> Result<RequestHead, ReadError> {
        loop {
            match head::parse_request(&self.buf, max_bytes)? {
                Some((head, length)) => {
                    let _ = self.buf.split_to(length);
                    return Ok(head);
                }
                None => self.fill_or_closed().await?,
            }
        }
    }

    /// Reads the head of the final response to a `method` request and skips interim (1xx)
    /// responses.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`]. `101 Switching Protocols` is `Malformed`, because no request asks for
    /// an upgrade.
    pub async fn response_head(&mut self, method: &Method) -> Result<ResponseHead, ReadError> {
        loop {
            match head::parse_response(&self.buf, method)? {
                Some((head, _)) if head.status == http::StatusCode::SWITCHING_PROTOCOLS => {
                    let message = "unasked switch of protocols".to_owned();
                    return Err(ParseError::Syntax(message).into());
                }
                Some((head, length)) => {
                    let _ = self.buf.split_to(length);
                    if !head.status.is_informational() {
                        return Ok(head);
                    }
                }
                None => self.fill_or_closed().await?,
            }
        }
    }

    /// Reads the next part of the body that `decoder` decodes; `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`], which is `Closed` when the connection ends before the body does.
    pub async fn body_piece(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            match decoder.decode(&mut self.buf)? {
                Progress::Data(data) => return Ok(Some(data)),
                Progress::End => return Ok(None),
                Progress::NeedMore => match self.fill_in_turns().await? {
                    true => {}
                    false if decoder.is_close_delimited() => return Ok(None),
                    false => return Err(ReadError::Closed),
                },
            }
        }
    }

    /// Reads the whole body that `decoder` decodes, of at most `max_bytes` bytes, into memory of
    /// `budget`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`], which is `Closed` when the connection ends before the body does and
    /// `Malformed` when the body is malformed, too long, or does not fit into the budget.
    pub async fn body(
        &mut self,
        decoder: &mut Decoder,
        max_bytes: usize,
        budget: &BufferBudget,
    ) -> Result<Bytes, ReadError> {
        let mut body = budget.buffer();
        while let Some(piece) = self.body_piece(decoder).await? {
            if body.len() + piece.len() > max_bytes {
                return Err(ParseError::TooLong.into());
            }
            if !body.append(&piece) {
                return Err(ParseError::NoMemory.into());
            }
        }
        Ok(body.freeze())
    }
}

/// Lets the other tasks run that can. A task that only wakes itself would run again before them.
async fn run_other_tasks() {
    monoio::spawn(async {}).await;
}

impl Writer {
    /// Writes all of `bytes`.
    ///
    /// Not cancel safe: if the future is dropped before it completes, an unknown part of `bytes`
    /// was sent and the connection cannot be used further.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the socket.
    pub async fn write<B: IoBuf + 'static>(&mut self, bytes: B) -> io::Result<()> {
        let result = self.half.write_all(bytes).await.0.map(|_| ());
        if let Err(err) = &result {
            self.record_failure(err.kind());
        }
        result
    }

    /// Writes a message: its head, and its body, which is copied only if it is short.
    ///
    /// # Errors
    ///
    /// Same as [`Writer::write`].
    pub async fn write_message(&mut self, mut head: Vec<u8>, body: &Bytes) -> io::Result<()> {
        if body.len() <= MAX_COPIED_BODY_BYTES {
            head.extend_from_slice(body);
            return self.write(head).await;
        }
        self.write(head).await?;
        self.write(body.clone()).await
    }

    /// Records how the connection failed, unless all that the peer sent can still be read: a write
    /// finds a broken pipe if the peer closed its side in an orderly way before the connection failed,
    /// or if the failure was reported before.
    fn record_failure(&self, kind: io::ErrorKind) {
        if kind != io::ErrorKind::BrokenPipe && self.failure.get().is_none() {
            self.failure.set(Some(kind));
        }
    }

    /// Closes the sending side of the connection.
    pub async fn shutdown(&mut self) {
        // This fails only when the connection is already closed.
        let _ = self.half.shutdown().await;
    }
}

#[cfg(test)]
mod tests;
