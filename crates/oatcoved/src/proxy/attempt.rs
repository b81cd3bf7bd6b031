//! One attempt of a call at one upstream, and the pool of idle connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use smol_str::SmolStr;

use crate::view::View;

/// Timeout of connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which an idle connection may be reused. Upstreams close idle
/// connections too, and a claim sent on a closed one gets outcome `unknown`.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum interval between purges of the idle connections.
const PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// Result of one attempt.
pub(super) enum Attempt {
    /// The upstream responded.
    Answered(web::Response),
    /// The upstream refused the call without running it; another upstream may be tried.
    Refused,
    /// The upstream did not receive enough of the request to run it.
    NotSent,
    /// Bytes may have reached the upstream, and no complete response was received.
    Lost(web::Error),
}

/// A connection whose last response was read completely, and when that was.
struct IdleConn {
    conn: web::Conn,
    idle_since: Instant,
}

/// Idle connections by upstream, longest idle first.
pub(super) struct IdleConns {
    by_upstream: RefCell<HashMap<SocketAddr, Vec<IdleConn>>>,
    purged_at: Cell<Instant>,
    /// Memory for the responses.
    response_buffers: web::BufferBudget,
}

impl IdleConns {
    /// Creates a pool without connections, whose responses take memory of `response_buffers`.
    pub(super) fn new(response_buffers: &web::BufferBudget) -> IdleConns {
        IdleConns {
            by_upstream: RefCell::default(),
            purged_at: Cell::new(Instant::now()),
            response_buffers: response_buffers.clone(),
        }
    }

    /// Sends `request` to `addr` and waits for the response for at most `remaining`.
    ///
    /// The connection is kept for reuse unless the response asks to close it or `max_idle`
    /// connections to `addr` are kept already. `on_response` is called with any complete response,
    /// even if it belongs to another call.
    pub(super) async fn send(
        &self,
        addr: SocketAddr,
        request: web::Request,
        remaining: Duration,
        max_idle: u32,
        on_response: impl FnOnce(&web::Response),
    ) -> Attempt {
        let mut conn = match self.take(addr).await {
            Some(conn) => conn,
            None => match web::Conn::connect(addr, CONNECT_TIMEOUT.min(remaining)).await {
                Ok(conn) => conn,
                Err(_) => return Attempt::NotSent,
            },
        };
        conn.share_buffers(&self.response_buffers);
        let request_id = request.headers().get(crate::REQUEST_ID).cloned();
        let has_body = !request.body().is_empty();
        let result = conn.send(request, remaining).await;
        if let Ok(response) = &result {
            on_response(response);
        }
        match result {
            // A surplus or late response to an earlier call arrived in place of this call's
            // response. Without this check the caller would get another caller's data, and
            // nothing would be logged. The request id that upstreams echo shows to which call a
            // response belongs. The connection is dropped, and the outcome of this call is unknown.
            Ok(response)
                if response
                    .headers()
                    .get(crate::REQUEST_ID)
                    .is_some_and(|echoed| Some(echoed) != request_id.as_ref()) =>
            {
                Attempt::Lost(web::Error::Http("the answer is another call's".to_owned()))
            }
            Ok(response) => {
                let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
                    && response.headers().contains_key(http::header::RETRY_AFTER);
                if conn.is_reusable() {
                    self.keep(addr, conn, max_idle, Instant::now());
                }
                match refused {
                    true => Attempt::Refused,
                    false => Attempt::Answered(response),
                }
            }
            // Head and body are flushed together. If the write of a request without a body fails,
            // the upstream has at most part of the head and cannot have run the call. With a body,
            // the upstream may have received the whole head and acted on it.
            Err(web::Error::Send(_)) if !has_body => Attempt::NotSent,
            Err(err) => Attempt::Lost(err),
        }
    }

    /// Takes the most recently used idle connection to `addr` that can carry a call; drops those
    /// that cannot.
    async fn take(&self, addr: SocketAddr) -> Option<web::Conn> {
        loop {
            let latest = self.by_upstream.borrow_mut().get_mut(&addr).and_then(Vec::pop)?;
            let IdleConn { mut conn, idle_since } = latest;
            if idle_since.elapsed() < IDLE_TIMEOUT && !conn.has_pending_input().await {
                return Some(conn);
            }
        }
    }

    /// Keeps a connection whose last response was read completely.
    fn keep(&self, addr: SocketAddr, conn: web::Conn, max_idle: u32, now: Instant) {
        if now.duration_since(self.purged_at.get()) >= PURGE_INTERVAL {
            self.purge(now);
        }
        let mut idle = self.by_upstream.borrow_mut();
        let conns = idle.entry(addr).or_default();
        if conns.len() < max_idle as usize {
            conns.push(IdleConn { conn, idle_since: now });
        }
    }

    /// Closes connections that have been idle for too long.
    ///
    /// Upstreams that are gone are never picked again, so nothing else closes
    /// their connections. With 1,300 VMs replaced per day they would use up the
    /// file descriptors, and accepts would fail with "too many open files".
    pub(super) fn purge(&self, now: Instant) {
        self.purged_at.set(now);
        self.by_upstream.borrow_mut().retain(|_, conns| {
            conns.retain(|idle| now.duration_since(idle.idle_since) < IDLE_TIMEOUT);
            !conns.is_empty()
        });
    }

    /// Returns the number of idle connections.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_upstream.borrow().values().map(Vec::len).sum()
    }
}

/// Counts a call as outstanding at an upstream until it is finished or dropped.
///
/// Dropping it without [`Outstanding::finish`] counts as cancelled. An attempt
/// is dropped when the other attempt of a hedged call gets a response first;
/// without this, the upstream's count would stay too high and keep it from
/// being picked.
pub(super) struct Outstanding {
    view: Rc<RefCell<View>>,
    service: SmolStr,
    addr: SocketAddr,
    kind: balance::CallKind,
    sent_at: Instant,
    outcome: balance::Outcome,
}

impl Outstanding {
    /// Counts a call to `addr` as outstanding.
    pub(super) fn start(
        view: &Rc<RefCell<View>>,
        service: &SmolStr,
        addr: SocketAddr,
        kind: balance::CallKind,
    ) -> Self {
        let call = Outstanding {
            view: view.clone(),
            service: service.clone(),
            addr,
            kind,
            sent_at: Instant::now(),
            outcome: balance::Outcome::Cancelled,
        };
        call.with_pool(|pool, index| pool.start(index));
        call
    }

    /// Returns the time since the call was sent.
    pub(super) fn elapsed(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Finishes the call with its outcome.
    pub(super) fn finish(mut self, outcome: balance::Outcome) {
        self.outcome = outcome;
    }

    fn with_pool(&self, act: impl FnOnce(&mut balance::Pool, balance::UpstreamIndex)) {
        let mut view = self.view.borrow_mut();
        if let Some(pool) = view.pools.get_mut(&self.service) {
            if let Some(index) = pool.position(self.addr) {
                act(pool, index);
            }
        }
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        let completion =
            balance::Completion { outcome: self.outcome, elapsed: self.elapsed(), kind: self.kind };
        self.with_pool(|pool, index| pool.finish(index, completion, Instant::now()));
    }
}
