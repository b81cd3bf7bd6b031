//! Planned stop of the node, and what has to be done now and then.
//!
//! On SIGTERM the node says that it is not ready and leaves the membership, so
//! that callers are no longer sent to it. It goes on serving for most of its
//! grace: callers keep answers of the directory for a while and still come.
//! Each answer asks its caller to close the connection.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::Tx;

use crate::forward::Node;
use crate::state::Stopping;
use crate::{follow, gossip, unix_ms};

/// How often signals are looked for and housekeeping is done.
const TICK: Duration = Duration::from_millis(100);

/// No new connection is taken in this last part of the grace.
const CLOSED_FOR: Duration = Duration::from_millis(1_500);

/// The node ends this long before it would be killed.
const BEFORE_KILL: Duration = Duration::from_millis(600);

/// Longest wait for the last lines of the log to be written.
const LAST_LINES: Duration = Duration::from_millis(100);

/// Flags that signals set.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// The process is to stop.
    pub stop: Arc<AtomicBool>,
    /// The settings changed.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the flags.
    ///
    /// # Errors
    ///
    /// Whatever the operating system says when a handler cannot be set.
    pub fn register() -> std::io::Result<Signals> {
        let signals = Signals::default();
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }
}

/// Does housekeeping until SIGTERM. Calls `reload` often; its argument tells whether a signal said
/// that the settings changed. They may change without one too.
pub async fn run_until_signal(
    signals: &Signals,
    node: &Rc<Node>,
    mut reload: impl FnMut(&Node, bool),
) {
    while !signals.stop.load(Ordering::Relaxed) {
        reload(node, signals.reload.swap(false, Ordering::Relaxed));
        housekeeping(node);
        monoio::time::sleep(TICK).await;
    }
}

fn housekeeping(node: &Node) {
    let now = Instant::now();
    follow::expire(node, now);
    node.conns.expire(now);
    let mut state = node.state.borrow_mut();
    state.quarantine.expire(unix_ms());
    state.notices.expire(now);
    drop(state);
    trace::flush();
}

/// Stops serving; returns once the process may end. Dropping `close` closes the listener.
pub async fn drain<C>(node: &Rc<Node>, gossip: &Tx<gossip::Input>, close: C) {
    let asked_at = Instant::now();
    let grace = {
        let mut state = node.state.borrow_mut();
        let grace = state.settings.stop_grace;
        let ends_at = asked_at + grace.saturating_sub(BEFORE_KILL);
        state.stopping = Some(Stopping { asked_at, ends_at });
        grace
    };
    trace::Line::new("stopping").field("grace_ms", grace.as_millis() as u64).log();
    // The task ends only with the process.
    let _ = gossip.send(gossip::Input::Leave);
    let mut close = Some(close);
    loop {
        housekeeping(node);
        monoio::time::sleep(TICK).await;
        let passed = asked_at.elapsed();
        let in_flight = node.state.borrow().in_flight;
        if passed >= grace.saturating_sub(CLOSED_FOR) {
            drop(close.take());
        }
        if passed + BEFORE_KILL >= grace || (close.is_none() && in_flight == 0) {
            trace::Line::new("stopped")
                .field("in_flight", in_flight)
                .field("took_ms", passed.as_millis() as u64)
                .log();
            trace::flush_and_wait(LAST_LINES);
            return;
        }
    }
}
