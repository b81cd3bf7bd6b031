//! Planned stop of an entry node.
//!
//! On SIGTERM or SIGINT the node tells its peers that it is leaving, so that
//! they stop naming it to callers, and asks callers to close their
//! connections. It keeps serving meanwhile, since callers keep discovery
//! responses for `entries_ttl_s` and may still connect. It exits once that
//! time has passed and no call is in flight, or after `stop_grace_ms`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::Tx;

use crate::gossip;
use crate::view::View;

/// Interval at which the stop flag and the calls in flight are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

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
    let (node_id, entries_ttl, stop_grace) = {
        let mut view = view.borrow_mut();
        view.stopping = true;
        let settings = &view.settings;
        (settings.node_id.clone(), settings.entries_ttl, settings.stop_grace)
    };
    let stop_requested_at = Instant::now();
    log::info!("node={node_id} stopping: leaving the membership; new calls are still served");
    let _ = gossip.send(gossip::Input::Leave);
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let in_flight = view.borrow().in_flight;
        match stop_requested_at.elapsed() {
            elapsed if elapsed >= stop_grace => {
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
