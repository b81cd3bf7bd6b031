//! Connections to upstreams, kept open for reuse.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use monoio::net::TcpStream;
use place::Incarnation;
use web::h1;

/// Idle timeout of a connection whose upstream states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection is not used in this last part of its idle timeout: the request would cross the
/// upstream's close on the way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Idle connections kept per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// A connection to an upstream that carries no request.
pub struct Conn {
    /// Receiving half.
    pub reader: h1::Reader,
    /// Sending half.
    pub writer: h1::Writer,
    idle_since: Instant,
    idle_timeout: Duration,
    /// Whether a response was received on it before.
    pub used: bool,
    _open_guard: OpenGuard,
}

/// Guard that counts a connection as open until it is dropped.
struct OpenGuard(Rc<Cell<u32>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<u32>>) -> OpenGuard {
        open.set(open.get() + 1);
        OpenGuard(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Conn {
    async fn open(
        addr: SocketAddr,
        timeout: Duration,
        open_guard: OpenGuard,
    ) -> std::io::Result<Conn> {
        let stream = web::connect(addr, timeout).await?;
        stream.set_nodelay(true)?;
        Ok(Conn::new(stream, open_guard))
    }

    /// Returns a connection to a peer, which is not kept in a pool.
    pub fn to_peer(stream: TcpStream) -> Conn {
        Conn::new(stream, OpenGuard::new(&Rc::default()))
    }

    fn new(stream: TcpStream, open_guard: OpenGuard) -> Conn {
        let (reader, writer) = h1::split(stream);
        Conn {
            reader,
            writer,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            used: false,
            _open_guard: open_guard,
        }
    }

    /// Records a response, and the idle timeout that its `Keep-Alive` header states.
    pub fn record_response(&mut self, headers: &HeaderMap) {
        self.used = true;
        let stated_timeout = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
            .and_then(|seconds| seconds.trim().parse().ok());
        self.idle_timeout = stated_timeout.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    }

    fn is_within_idle_timeout(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.idle_since);
        idle + IDLE_TIMEOUT_MARGIN < self.idle_timeout
    }

    /// Returns the time since the connection was opened or last returned to [`Conns`].
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }
}

/// Pool of idle connections by upstream.
#[derive(Default)]
pub struct Conns {
    idle: RefCell<HashMap<Incarnation, Vec<Conn>>>,
    /// Number of open connections by upstream, idle ones included.
    open: RefCell<HashMap<Incarnation, Rc<Cell<u32>>>>,
}

impl Conns {
    /// Returns true when the pool holds a connection to the upstream; it may turn out to be closed.
    pub fn has_idle(&self, upstream: &Incarnation) -> bool {
        self.idle.borrow().get(upstream).is_some_and(|list| !list.is_empty())
    }

    /// Returns how many connections to the upstream are open, idle ones included.
    pub fn open_count(&self, upstream: &Incarnation) -> u32 {
        self.open.borrow().get(upstream).map_or(0, |open| open.get())
    }

    /// Opens a connection to the upstream and counts it as open.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or `TimedOut` after `timeout`.
    pub async fn open(
        &self,
        upstream: &Incarnation,
        addr: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Conn> {
        let open_guard =
            OpenGuard::new(self.open.borrow_mut().entry(upstream.clone()).or_default());
        Conn::open(addr, timeout, open_guard).await
    }

    /// Takes the most recently used connection that can still carry a request; discards the
    /// unusable ones that it meets.
    pub async fn take(&self, upstream: &Incarnation) -> Option<Conn> {
        loop {
            let mut conn = self.idle.borrow_mut().get_mut(upstream)?.pop()?;
            if conn.is_within_idle_timeout(Instant::now()) && !conn.reader.has_pending_input().await
            {
                return Some(conn);
            }
        }
    }

    /// Returns a connection to the pool; closes it when the pool of the upstream is full.
    pub fn put(&self, upstream: &Incarnation, mut conn: Conn) {
        conn.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(upstream.clone()).or_default();
        if list.len() < MAX_IDLE_PER_UPSTREAM {
            list.push(conn);
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close(&self, upstream: &Incarnation) {
        self.idle.borrow_mut().remove(upstream);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose idle timeout has nearly passed at `now`.
    pub fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|conn| conn.is_within_idle_timeout(now));
            !list.is_empty()
        });
        self.open.borrow_mut().retain(|_, open| open.get() > 0);
    }
}
