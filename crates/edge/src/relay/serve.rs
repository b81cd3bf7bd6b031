//! Passing on what this node holds, and whether it may.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

use super::frame::{encode, receive, Ask, Frame, Greeting};
use super::subscribers::{Frames, Queue};
use super::{FIRST_FRAME, LOOK, LOOK_IN_STEP};
use crate::follow;
use crate::forward::Node;
use crate::state::State;

/// A subscriber that asks nothing for this long is gone. They ask several times a second.
const ASKS_WITHIN: Duration = Duration::from_secs(10);

/// How often a reader with subscribers makes sure that it reaches the platform.
const PATH_EVERY: Duration = Duration::from_millis(300);

/// Checks in a row that must fail: one lost packet is no cut.
const PATH_FAILURES: u32 = 2;

/// Lets the subscribers of this node go while it does not reach the platform.
///
/// A cut shows on the wait for changes only when keep-alive probes of the
/// operating system fail, about four seconds later. Until then the
/// subscribers, which reach the platform themselves, would go by what the
/// reader last heard; if all readers are cut off at once, nobody is ahead of
/// them and being behind cannot be told either. It would show as requests to
/// upstreams that left three seconds ago.
pub async fn watch_path<S: follow::Source>(source: S, node: Rc<Node>) {
    let mut failures = 0;
    loop {
        monoio::time::sleep(PATH_EVERY).await;
        let needed = node.state.borrow().reads_directly && !node.subscribers.is_empty();
        if !needed && failures == 0 {
            continue;
        }
        failures = match source.takes_connections(PATH_EVERY).await {
            true => 0,
            false => failures + 1,
        };
        let reached = failures < PATH_FAILURES;
        if node.state.borrow().platform_reachable != reached {
            trace::Line::new(if reached { "path_regained" } else { "path_lost" }).log();
            node.state.borrow_mut().platform_reachable = reached;
        }
        if !reached {
            node.subscribers.drop_all(true);
        }
    }
}

/// Serves subscribers until the listener fails.
pub async fn serve(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_one(stream, node.clone()));
            }
            Err(err) => {
                trace::Line::new("accept_failed").field("error", err.to_string()).log();
                monoio::time::sleep(LOOK).await;
            }
        }
    }
}

/// Returns true when what this node holds may be passed on.
///
/// A node that was cut off and is back keeps upstreams for a while that left
/// meanwhile. Passed on, they would come back to life at nodes that had
/// rightly let them go.
fn may_pass_on(state: &State, greeting: &Greeting) -> bool {
    let current = state.is_all_fresh(Instant::now())
        && state.platform_reachable
        && !state.roster.store_is_unreachable()
        && !state.roster.keeps_unlisted();
    let enough = state.config_progress.up_to >= greeting.config_newest
        && state.list_progress.up_to >= greeting.list_newest;
    state.has_read_all_topics() && enough && (current || greeting.takes_anything)
}

/// Returns true when this node may soon be able to pass on what it cannot yet: it is about to read
/// what the subscriber has seen. A node that the platform does not answer says no at once, so that
/// the subscriber asks another.
fn is_worth_waiting(state: &State, greeting: &Greeting) -> bool {
    match greeting.is_newcomer {
        // It reads the platform sooner than this node, which has just started too.
        true => greeting.was_referred,
        false => {
            greeting.takes_anything
                || (state.platform_reachable && !state.roster.store_is_unreachable())
        }
    }
}

/// Returns whom a newcomer should ask instead of this node.
fn refer(node: &Node, greeting: &Greeting) -> Option<SocketAddr> {
    let is_served = may_pass_on(&node.state.borrow(), greeting);
    if !greeting.is_newcomer || greeting.was_referred || !is_served {
        return None;
    }
    node.subscribers.refer(greeting.peer_addr, &greeting.zone, Instant::now())
}

/// Waits a little until what this node holds may be passed on; false when it may not.
async fn until_may_pass_on(node: &Node, greeting: &Greeting) -> bool {
    let _asking = node.subscribers.asking();
    let asked_at = Instant::now();
    while !may_pass_on(&node.state.borrow(), greeting) {
        let worth_waiting = is_worth_waiting(&node.state.borrow(), greeting);
        if !worth_waiting || asked_at.elapsed() > FIRST_FRAME {
            return false;
        }
        monoio::time::sleep(LOOK_IN_STEP).await;
    }
    true
}

fn count_passed_on(node: &Node, zone: &str, bytes: u64) {
    let state = &mut *node.state.borrow_mut();
    state.counters.relay_bytes += bytes;
    state.counters.relay_far_bytes += if state.settings.zone == zone { 0 } else { bytes };
}

async fn serve_one(mut stream: TcpStream, node: Rc<Node>) {
    let greeting = monoio::time::timeout(FIRST_FRAME, receive::<Greeting, _>(&mut stream));
    let Ok(Ok(greeting)) = greeting.await else { return };
    if let Some(peer) = refer(&node, &greeting) {
        // A newcomer that does not hear of the other one asks again.
        let _ = stream.write_all(encode(&Frame::Ask { peer })).await;
        return;
    }
    if !until_may_pass_on(&node, &greeting).await {
        return;
    }
    // What is held now and all that follows: nothing is awaited in between, so no change is lost.
    let first = {
        let state = node.state.borrow();
        let mut bytes = encode(&Frame::config(&state));
        bytes.extend_from_slice(&encode(&Frame::evacuated(&state)));
        bytes.extend_from_slice(&encode(&node.subscribers.list(&state)));
        bytes.extend_from_slice(&encode(&Frame::sure(&state, Ask { asked_after: Duration::ZERO })));
        bytes
    };
    let (queue, frames) = node.subscribers.add();
    let (asks, stream) = stream.into_split();
    monoio::select! {
        () = pass_on(&node, &greeting.zone, stream, first, frames) => {}
        () = answer(&node, asks, queue) => {}
    }
}

/// Passes on to a subscriber until it is let go, or gone.
async fn pass_on<W: AsyncWriteRentExt>(
    node: &Node,
    zone: &str,
    mut stream: W,
    mut bytes: Vec<u8>,
    mut frames: Frames,
) {
    loop {
        count_passed_on(node, zone, bytes.len() as u64);
        if stream.write_all(bytes).await.0.is_err() {
            return;
        }
        bytes = match monoio::time::timeout(ASKS_WITHIN, frames.next()).await {
            Ok(Some(frame)) => frame.as_ref().clone(),
            Ok(None) | Err(_) => return,
        };
    }
}

/// Answers what a subscriber asks, behind all that was passed on before.
async fn answer<R: AsyncReadRent>(node: &Node, mut asks: R, queue: Weak<Queue>) {
    while let Ok(ask) = receive::<Ask, _>(&mut asks).await {
        let frame = Rc::new(encode(&Frame::sure(&node.state.borrow(), ask)));
        if !queue.upgrade().is_some_and(|queue| queue.push(frame)) {
            return;
        }
    }
}
