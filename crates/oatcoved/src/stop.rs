//! Planned stop of an entry node.
//!
//! On SIGTERM or SIGINT the node tells its peers that it is leaving, so that
//! they stop naming it to callers, and asks callers to close their
//! connections. It keeps serving meanwhile, since callers keep discovery
//! responses for `entries_ttl_s` and may still connect, but refuses calls that
//! it would cut ([`limit::Stopping`]). It exits once that time has passed and no
//! call is in flight, at the latest shortly before the end of `stop_grace_ms`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::Tx;

use crate::gossip;
use crate::view::View;

/// Interval at which the stop flag and the calls in flight are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the end of the grace period at which the process exits.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);

/// Time before the exit by which the last calls end, so that their responses are written.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Returns a flag that is set by SIGTERM and SIGINT.
///
/// # Errors
///
/// The error of the operating system if a signal handler cannot be installed.
pub fn register_signals() -> std::io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(flag)
}

/// Waits until `flag` is set, stops the node and returns once the process may exit.
pub async fn wait_until_stopped(
    flag: Arc<AtomicBool>,
    view: Rc<RefCell<View>>,
    gossip: Tx<gossip::Input>,
) {
    while !flag.load(Ordering::Relaxed) {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let requested_at = Instant::now();
    let (node_id, entries_ttl, max_wait) = {
        let view = &mut *view.borrow_mut();
        let settings = &view.settings;
        let max_wait = settings.stop_grace.saturating_sub(EXIT_BEFORE_KILL);
        let exits_at = requested_at + max_wait.saturating_sub(RESPONSE_TIME);
        view.stopping = Some(limit::Stopping { requested_at, exits_at });
        (settings.node_id.clone(), settings.entries_ttl, max_wait)
    };
    log::info!("node={node_id} stopping: leaving the membership; new calls are still served");
    let _ = gossip.send(gossip::Input::Leave);
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let in_flight = view.borrow().in_flight;
        match requested_at.elapsed() {
            elapsed if elapsed >= max_wait => {
                log::warn!(
                    "node={node_id} stop grace period expired with {in_flight} calls in flight"
                );
                return;
            }
            elapsed if elapsed >= entries_ttl && in_flight == 0 => {
                log::info!("node={node_id} stopped with no call in flight");
                return;
            }
            _ => {}
        }
    }
}
