//! Connections to upstreams, kept for reuse.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use http::HeaderMap;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use place::Incarnation;
use web::h1;

/// How long a connection is kept when the upstream does not say.
const IDLE_DEFAULT: Duration = Duration::from_secs(5);

/// A connection is not used in the last part of the time that the upstream
/// keeps it: the request would cross the close on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Connections kept per upstream.
const KEPT_PER_UPSTREAM: usize = 8;

/// One connection to an upstream; nothing is under way on it.
pub struct Conn {
    /// Receiving half.
    pub reader: h1::Reader,
    /// Sending half.
    pub writer: h1::Writer,
    idle_since: Instant,
    idle_for: Duration,
    /// Whether an answer came on it before.
    pub used: bool,
    _slot: Slot,
}

/// A connection counted as open while it lives.
struct Slot(Rc<Cell<u32>>);

impl Slot {
    fn take(open: &Rc<Cell<u32>>) -> Slot {
        open.set(open.get() + 1);
        Slot(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Conn {
    async fn open(addr: SocketAddr, timeout: Duration, slot: Slot) -> std::io::Result<Conn> {
        let connecting = monoio::time::timeout(timeout, TcpStream::connect_addr(addr));
        let stream = match connecting.await {
            Ok(stream) => stream?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Conn {
            reader: h1::Reader::new(read),
            writer: h1::Writer::new(write),
            idle_since: Instant::now(),
            idle_for: IDLE_DEFAULT,
            used: false,
            _slot: slot,
        })
    }

    /// Takes from an answer's headers how long the upstream keeps the connection.
    pub fn answered(&mut self, headers: &HeaderMap) {
        self.used = true;
        let stated = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
            .and_then(|seconds| seconds.trim().parse().ok());
        self.idle_for = stated.map_or(IDLE_DEFAULT, Duration::from_secs);
    }

    fn is_young(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.idle_since);
        idle + IDLE_MARGIN < self.idle_for
    }

    /// Returns how long nothing was asked on it.
    pub fn rested(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns true when nothing came while nothing was asked.
    ///
    /// Bytes here are a surplus answer, which would be taken for the next
    /// caller's; the end of the stream is the upstream's close.
    async fn is_quiet(&mut self) -> bool {
        if self.reader.has_buffered() {
            return false;
        }
        let mut fill = pin!(self.reader.fill());
        std::future::poll_fn(|cx| Poll::Ready(fill.as_mut().poll(cx).is_pending())).await
    }
}

/// Idle connections by upstream.
#[derive(Default)]
pub struct Conns {
    idle: RefCell<HashMap<Incarnation, Vec<Conn>>>,
    /// Open connections by upstream, idle ones included.
    open: RefCell<HashMap<Incarnation, Rc<Cell<u32>>>>,
}

impl Conns {
    /// Returns true when a connection to the upstream is likely at hand.
    pub fn has(&self, upstream: &Incarnation) -> bool {
        self.idle.borrow().get(upstream).is_some_and(|list| !list.is_empty())
    }

    /// Returns how many connections to the upstream are open, idle ones included.
    pub fn open_count(&self, upstream: &Incarnation) -> u32 {
        self.open.borrow().get(upstream).map_or(0, |open| open.get())
    }

    /// Opens a connection to the upstream.
    ///
    /// # Errors
    ///
    /// Whatever the socket says, or that `timeout` passed.
    pub async fn open(
        &self,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        let slot = Slot::take(self.open.borrow_mut().entry(upstream.clone()).or_default());
        Conn::open(addr, timeout, slot).await
    }

    /// Takes the connection used last that can still carry a request.
    pub async fn take(&self, upstream: &Incarnation) -> Option<Conn> {
        loop {
            let mut conn = self.idle.borrow_mut().get_mut(upstream)?.pop()?;
            if conn.is_young(Instant::now()) && conn.is_quiet().await {
                return Some(conn);
            }
        }
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, upstream: &Incarnation, mut conn: Conn) {
        conn.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(upstream.clone()).or_default();
        if list.len() < KEPT_PER_UPSTREAM {
            list.push(conn);
        }
    }

    /// Closes the connections to an upstream that gets no further requests.
    pub fn close(&self, upstream: &Incarnation) {
        self.idle.borrow_mut().remove(upstream);
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|conn| conn.is_young(now));
            !list.is_empty()
        });
        self.open.borrow_mut().retain(|_, open| open.get() > 0);
    }
}
