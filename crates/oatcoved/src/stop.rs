//! Planned stop of an entry node.
//!
//! On SIGTERM the node tells its peers that it leaves, so they stop naming it
//! to callers, and asks callers to close their connections. It goes on
//! serving meanwhile: callers keep discovery answers for `entries_ttl_s` and
//! may still connect. It exits once that time has passed and no call is in
//! flight, or after `stop_grace_ms`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded::Tx;

use crate::gossip;
use crate::view::View;

/// How often the signal and the calls in flight are looked at.
const TICK: Duration = Duration::from_millis(250);

/// Returns a flag that SIGTERM and SIGINT set.
///
/// # Errors
///
/// Whatever the operating system says when a handler cannot be set.
pub fn on_signal() -> std::io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(flag)
}

/// Waits for `flag`, then returns once this node may exit.
pub async fn wait(flag: Arc<AtomicBool>, view: Rc<RefCell<View>>, gossip: Tx<gossip::Input>) {
    while !flag.load(Ordering::Relaxed) {
        monoio::time::sleep(TICK).await;
    }
    let (node_id, ttl, grace) = {
        let mut view = view.borrow_mut();
        view.stopping = true;
        let s = &view.settings;
        (s.node_id.clone(), s.entries_ttl, s.stop_grace)
    };
    let asked_at = Instant::now();
    log::info!("node={node_id} stopping: leaving the membership, serving callers that still come");
    let _ = gossip.send(gossip::Input::Leave);
    loop {
        monoio::time::sleep(TICK).await;
        let in_flight = view.borrow().in_flight;
        match asked_at.elapsed() {
            passed if passed >= grace => {
                log::warn!("node={node_id} grace over with {in_flight} calls in flight");
                return;
            }
            passed if passed >= ttl && in_flight == 0 => {
                log::info!("node={node_id} stopped with no call in flight");
                return;
            }
            _ => {}
        }
    }
}
