//! Graceful stop of the node, and periodic housekeeping.
//!
//! On SIGTERM the node reports that it is not ready and leaves the membership, so that callers are
//! no longer directed to it. It continues to serve for most of its grace period, because callers
//! cache directory responses and keep coming for a while. Its responses ask callers to close their
//! connections.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use limit::Stopping;
use local_sync::mpsc::unbounded::Tx;

use crate::forward::Node;
use crate::stalls::StallLog;
use crate::{follow, gossip, paths, quotas, unix_ms};

/// Interval of housekeeping and of checks for signals.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Time before the end of the grace period at which the listener closes.
const CLOSE_LISTENER_BEFORE_KILL: Duration = Duration::from_millis(1_500);

/// Time before the end of the grace period, when the process would be killed, at which it exits.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(600);

/// Maximum wait for the last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Flags set by signals.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Set by SIGTERM and SIGINT: the process should stop.
    pub stop: Arc<AtomicBool>,
    /// Set by SIGHUP: the settings changed.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the signal handlers that set the flags.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if a handler cannot be registered.
    pub fn register() -> std::io::Result<Signals> {
        let signals = Signals::default();
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }
}

/// Runs housekeeping until the stop flag is set.
///
/// Calls `reload` at every interval, with whether a signal has announced changed settings since the
/// last call. Settings may also change without a signal.
pub async fn run_until_signal(
    signals: &Signals,
    node: &Rc<Node>,
    mut reload: impl FnMut(&Node, bool),
) {
    let mut stall_log = StallLog::of_this_thread();
    while !signals.stop.load(Ordering::Relaxed) {
        stall_log.record_run(HOUSEKEEPING_INTERVAL);
        reload(node, signals.reload.swap(false, Ordering::Relaxed));
        housekeeping(node);
        monoio::time::sleep(HOUSEKEEPING_INTERVAL).await;
    }
}

fn housekeeping(node: &Rc<Node>) {
    let now = Instant::now();
    follow::expire(node, now);
    node.conns.expire(now);
    quotas::housekeeping(node, now);
    paths::housekeeping(node, now);
    let mut state = node.state.borrow_mut();
    state.quarantine.expire(unix_ms());
    state.backpressure.expire(now);
    drop(state);
    trace::flush();
}

/// Stops serving; returns when the process may exit. Dropping `listener_guard` closes the listener.
pub async fn drain<C>(node: &Rc<Node>, gossip: &Tx<gossip::Input>, listener_guard: C) {
    let requested_at = Instant::now();
    let grace = {
        let mut state = node.state.borrow_mut();
        let grace = state.settings.stop_grace;
        let exits_at = requested_at + grace.saturating_sub(EXIT_BEFORE_KILL);
        state.stopping = Some(Stopping { requested_at, exits_at });
        grace
    };
    trace::Line::new("stopping").field("grace_ms", grace.as_millis() as u64).log();
    // Cannot fail: the receiving task runs as long as the process.
    let _ = gossip.send(gossip::Input::Leave);
    let mut listener_guard = Some(listener_guard);
    let mut stall_log = StallLog::of_this_thread();
    loop {
        stall_log.record_run(HOUSEKEEPING_INTERVAL);
        housekeeping(node);
        monoio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        let elapsed = requested_at.elapsed();
        let in_flight = node.state.borrow().in_flight;
        if elapsed >= grace.saturating_sub(CLOSE_LISTENER_BEFORE_KILL) {
            drop(listener_guard.take());
        }
        if elapsed + EXIT_BEFORE_KILL >= grace || (listener_guard.is_none() && in_flight == 0) {
            trace::Line::new("stopped")
                .field("in_flight", in_flight)
                .field("took_ms", elapsed.as_millis() as u64)
                .log();
            trace::flush_and_wait(LOG_FLUSH_TIMEOUT);
            return;
        }
    }
}
