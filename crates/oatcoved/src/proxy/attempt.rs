//! One attempt of a call at one upstream, and the connections kept for it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use smol_str::SmolStr;

use crate::view::View;

/// Deadline of opening one connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// An idle connection is used again for this long. Upstreams close idle
/// connections too, and a claim sent on one just closed ends as `unknown`.
const IDLE_FOR: Duration = Duration::from_secs(5);

/// How often connections idle for too long are looked for.
const PURGE_EVERY: Duration = Duration::from_secs(10);

/// What happened to one attempt.
pub(super) enum Attempt {
    /// The upstream answered.
    Answered(web::Response),
    /// The upstream refused before running; another may be tried.
    Refused,
    /// No bytes that could run anything reached an upstream.
    NotSent,
    /// Bytes may have reached the upstream; no whole answer came.
    Lost(web::Error),
}

/// A connection whose last answer was read whole, and when that was.
struct Idle {
    conn: web::Conn,
    since: Instant,
}

/// Idle connections by upstream, the longest idle first.
pub(super) struct IdleConns {
    by_upstream: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    purged_at: Cell<Instant>,
}

impl Default for IdleConns {
    fn default() -> Self {
        IdleConns { by_upstream: RefCell::default(), purged_at: Cell::new(Instant::now()) }
    }
}

impl IdleConns {
    /// Sends `request` to `addr` and waits for the answer at most `remaining`.
    ///
    /// The connection is kept afterwards unless `most` are already. `hear` is given any whole answer.
    pub(super) async fn send(
        &self,
        addr: SocketAddr,
        request: web::Request,
        remaining: Duration,
        most: u32,
        hear: impl FnOnce(&web::Response),
    ) -> Attempt {
        let mut conn = match self.take(addr, Instant::now()) {
            Some(conn) => conn,
            None => match web::Conn::connect(addr, CONNECT_TIMEOUT.min(remaining)).await {
                Ok(conn) => conn,
                Err(_) => return Attempt::NotSent,
            },
        };
        let request_id = request.headers().get(crate::REQUEST_ID).cloned();
        let has_body = !request.body().is_empty();
        let answer = conn.send(request, remaining).await;
        if let Ok(response) = &answer {
            hear(response);
        }
        match answer {
            // A surplus or late answer of an earlier call stands where this call's answer is
            // expected. A caller would get another caller's bytes and nothing would log it;
            // the request id that upstreams echo tells whose answer it is. The connection is
            // dropped, and what became of this call is not known.
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
                if !web::has_connection_close(response.headers()) {
                    self.keep(addr, conn, most, Instant::now());
                }
                match refused {
                    true => Attempt::Refused,
                    false => Attempt::Answered(response),
                }
            }
            // Head and body are flushed together, so without a body a failed write means the
            // upstream has at most part of the head and cannot have run the call. With a body
            // the head may have arrived whole, and the upstream may have acted on it.
            Err(web::Error::Send(_)) if !has_body => Attempt::NotSent,
            Err(err) => Attempt::Lost(err),
        }
    }

    /// Takes the connection to `addr` that was used last, if it is fresh enough.
    fn take(&self, addr: SocketAddr, now: Instant) -> Option<web::Conn> {
        let last = self.by_upstream.borrow_mut().get_mut(&addr).and_then(Vec::pop)?;
        (now.duration_since(last.since) < IDLE_FOR).then_some(last.conn)
    }

    /// Keeps a connection whose last answer was read whole.
    fn keep(&self, addr: SocketAddr, conn: web::Conn, most: u32, now: Instant) {
        if now.duration_since(self.purged_at.get()) >= PURGE_EVERY {
            self.purge(now);
        }
        let mut idle = self.by_upstream.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < most as usize {
            list.push(Idle { conn, since: now });
        }
    }

    /// Closes connections idle for too long.
    ///
    /// Upstreams that are gone are never picked again, so nothing else would
    /// close their connections; 1,300 VMs replaced a day use up the
    /// descriptors, and accepts fail with "too many open files".
    pub(super) fn purge(&self, now: Instant) {
        self.purged_at.set(now);
        self.by_upstream.borrow_mut().retain(|_, list| {
            list.retain(|idle| now.duration_since(idle.since) < IDLE_FOR);
            !list.is_empty()
        });
    }

    /// Returns how many connections are kept.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_upstream.borrow().values().map(Vec::len).sum()
    }
}

/// A call counted as outstanding at an upstream until it is finished or dropped.
///
/// Dropping it counts as given up: a hedged call whose other attempt answered
/// first is dropped midway, and an outstanding count that never came down
/// would keep its upstream from being picked.
pub(super) struct Outstanding {
    view: Rc<RefCell<View>>,
    service: SmolStr,
    addr: SocketAddr,
    kind: balance::CallKind,
    sent_at: Instant,
    how: balance::Outcome,
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
            how: balance::Outcome::Cancelled,
        };
        call.with_pool(|pool, index| pool.start(index));
        call
    }

    /// Returns how long ago it was sent.
    pub(super) fn took(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Records how it ended.
    pub(super) fn finish(mut self, how: balance::Outcome) {
        self.how = how;
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
        let finished =
            balance::Completion { outcome: self.how, elapsed: self.took(), kind: self.kind };
        self.with_pool(|pool, index| pool.finish(index, finished, Instant::now()));
    }
}
