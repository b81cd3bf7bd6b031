//! Reading the platform through a peer, and whom to ask.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;

use super::frame::{encode, receive, Ask, Frame, Greeting};
use super::{FIRST_FRAME, LOOK, LOOK_IN_STEP};
use crate::as_ms;
use crate::follow::{self, Topic};
use crate::forward::Node;
use crate::readers::{self, Way};
use crate::state::State;

/// A peer that says nothing for this long is given up: it is asked several times a second.
const SILENT_FOR: Duration = Duration::from_millis(1_000);

/// Time for a peer to take the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The same for a node that was restarted, and for the connection: callers wait for it. Between zones
/// of a region a connection takes 3 ms; a machine that has no power answers nothing.
const FIRST_FRAME_RESTARTED: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT_RESTARTED: Duration = Duration::from_millis(20);

/// A peer that failed is not asked again for this long. Shorter, nodes would connect to readers that
/// are down again and again; longer, a node whose cut has healed would be late to be in step.
const AVOID_FOR: Duration = Duration::from_secs(1);

/// The same for a peer that let this node go, or does not listen yet while the whole fleet starts:
/// it is most likely back within a few tenths of a second.
const AVOID_FOR_A_MOMENT: Duration = Duration::from_millis(100);

/// How often a node looks whether it is still sure of what its peer passed on.
const LOOK_IF_SURE: Duration = Duration::from_millis(50);

/// A reader that the platform turned away tries it again after this long.
const TRY_AGAIN: Duration = Duration::from_millis(1_500);

/// Sees to it that this node reads the platform the way it should, forever.
pub async fn run(node: Rc<Node>) {
    let mut avoided: HashMap<SocketAddr, Instant> = HashMap::new();
    // When the newest frame came from a peer; a node that starts may look for a peer first, too.
    let mut fed_until = Instant::now();
    let mut named: Option<SocketAddr> = None;
    loop {
        let now = Instant::now();
        avoided.retain(|_, until| *until > now);
        let referred = named.take();
        let way = match referred {
            Some(peer) => Way::Via(peer),
            None => {
                let state = &mut *node.state.borrow_mut();
                state.reads_directly |= state.has_read_all_topics() && !state.is_all_fresh(now);
                let searching = now < fed_until + readers::switch_within(state);
                readers::choose(state, &avoided, searching, now)
            }
        };
        match way {
            Way::Direct => {
                node.state.borrow_mut().reads_directly = true;
                monoio::time::sleep(LOOK).await;
            }
            Way::Later => monoio::time::sleep(LOOK_IN_STEP).await,
            Way::Via(peer) => {
                let began = Instant::now();
                let ended = subscribe(&node, peer, referred.is_some(), &mut fed_until).await;
                trace::Line::new("peer_feed_ended")
                    .field("peer", peer)
                    .field("reason", ended.reason())
                    .field("took_ms", as_ms(began.elapsed()))
                    .log();
                let mut state = node.state.borrow_mut();
                state.relay_peer = None;
                let search_is_over = fed_until.elapsed() > readers::switch_within(&state);
                if ended == Ended::Moved {
                    // Whether the platform answers is found out anew.
                    state.roster.reset_store_state();
                    continue;
                }
                if let Ended::Referred(peer) = ended {
                    named = Some(peer);
                    continue;
                }
                let starts = state.settings.bootstrap && !state.has_read_all_topics();
                let soon_back = ended == Ended::Closed || starts;
                let avoid_for = if soon_back { AVOID_FOR_A_MOMENT } else { AVOID_FOR };
                avoided.insert(peer, Instant::now() + avoid_for);
                state.reads_directly |=
                    search_is_over || matches!(ended, Ended::Behind | Ended::Unsure);
            }
        }
    }
}

/// Why a subscription ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The peer took no connection.
    Unreachable,
    /// The peer took the connection and passed nothing on in time.
    NoAnswer,
    /// The peer closed before it had passed anything on: it may not, or does not hold enough.
    TurnedAway,
    /// The peer passed something on and then said nothing any more.
    Silent,
    /// The peer sent what is no frame, or none that belongs here.
    Unreadable,
    /// The peer passed something on and then closed: it has lost the platform, or ends.
    Closed,
    /// The peer has seen less than this node or others.
    Behind,
    /// The peer lives, but nobody can tell that it has missed nothing.
    Unsure,
    /// The peer is no longer the one to ask.
    Moved,
    /// The peer named another one to ask.
    Referred(SocketAddr),
}

impl Ended {
    fn reason(self) -> &'static str {
        match self {
            Ended::Unreachable => "unreachable",
            Ended::NoAnswer => "no_answer",
            Ended::TurnedAway => "turned_away",
            Ended::Silent => "silent",
            Ended::Unreadable => "unreadable",
            Ended::Closed => "closed",
            Ended::Behind => "behind",
            Ended::Unsure => "unsure",
            Ended::Moved => "moved",
            Ended::Referred(_) => "referred",
        }
    }
}

/// Takes what `peer` passes on, until it should be asked no longer; `fed_until` is set whenever it
/// passed something on.
async fn subscribe(
    node: &Rc<Node>,
    peer: SocketAddr,
    was_referred: bool,
    fed_until: &mut Instant,
) -> Ended {
    let restarts = {
        let state = node.state.borrow();
        !state.settings.bootstrap && !state.has_read_all_topics()
    };
    let (connect_timeout, mut patience) = match restarts {
        true => (CONNECT_TIMEOUT_RESTARTED, FIRST_FRAME_RESTARTED),
        false => (CONNECT_TIMEOUT, FIRST_FRAME),
    };
    let connecting = monoio::time::timeout(connect_timeout, TcpStream::connect_addr(peer));
    let Ok(Ok(stream)) = connecting.await else { return Ended::Unreachable };
    let greeting = encode(&Greeting::of(&node.state.borrow(), was_referred));
    let (mut frames, mut stream) = stream.into_split();
    let began = Instant::now();
    if stream.write_all(greeting).await.0.is_err() {
        return Ended::TurnedAway;
    }
    // Set once the peer has said as of when it knows everything.
    let fed = Cell::new(false);
    let mut asking = pin!(ask(node, stream, began));
    let mut config_behind = pin!(follow::behind(node, Topic::Config));
    let mut list_behind = pin!(follow::behind(node, Topic::Upstreams));
    let mut unsure = pin!(until_unsure(node, &fed));
    let mut moved = pin!(until_moved(node, peer));
    loop {
        let frame = monoio::select! {
            frame = monoio::time::timeout(patience, receive::<Frame, _>(&mut frames)) => frame,
            () = &mut asking => return Ended::Closed,
            () = &mut config_behind => return Ended::Behind,
            () = &mut list_behind => return Ended::Behind,
            () = &mut unsure => return Ended::Unsure,
            () = &mut moved => return Ended::Moved,
        };
        let frame = match frame {
            Ok(Ok(frame)) => frame,
            Ok(Err(err)) if err.kind() == io::ErrorKind::InvalidData => return Ended::Unreadable,
            Ok(Err(_)) if fed.get() => {
                *fed_until = Instant::now();
                return Ended::Closed;
            }
            Ok(Err(_)) => return Ended::TurnedAway,
            Err(_) if fed.get() => return Ended::Silent,
            Err(_) => return Ended::NoAnswer,
        };
        match frame {
            Frame::Ask { peer } if !was_referred => return Ended::Referred(peer),
            // Peers that name each other would keep this node busy asking them.
            Frame::Ask { .. } => return Ended::TurnedAway,
            _ => {}
        }
        if frame.is_stale(&node.state.borrow()) {
            return Ended::Behind;
        }
        *fed_until = Instant::now();
        match frame {
            Frame::Sure { asked_after, config_age, list_age } => {
                let asked_at = began.checked_add(asked_after);
                let Some(asked_at) = asked_at.filter(|at| *at <= Instant::now()) else {
                    trace::Line::new("peer_frame_refused")
                        .field("error", "answers what was not asked")
                        .log();
                    return Ended::Unreadable;
                };
                let state = &mut *node.state.borrow_mut();
                renew(state, Topic::Config, asked_at, config_age);
                renew(state, Topic::Upstreams, asked_at, list_age);
                (state.reads_directly, state.relay_peer) = (false, Some(peer));
                state.list_from_platform = false;
                patience = SILENT_FOR;
                fed.set(true);
            }
            frame => {
                if let Err(err) = follow::adopt(node, peer, frame) {
                    trace::Line::new("peer_frame_refused").field("error", err.to_string()).log();
                    return Ended::Unreadable;
                }
            }
        }
    }
}

/// Takes how old what a peer knows of a topic was when it was asked.
fn renew(state: &mut State, topic: Topic, asked_at: Instant, age: Option<Duration>) {
    let as_of = age.and_then(|age| asked_at.checked_sub(age));
    as_of.into_iter().for_each(|as_of| state.progress_mut(topic).lease.renew(as_of));
}

/// Asks the peer again and again as of when it knows everything; ends when it takes no more.
async fn ask<W: AsyncWriteRentExt>(node: &Node, mut stream: W, began: Instant) {
    loop {
        let every = {
            let settings = &node.state.borrow().settings;
            settings
                .config_bound
                .peer_query_interval()
                .min(settings.list_bound.peer_query_interval())
        };
        monoio::time::sleep(every).await;
        let ask = Ask { asked_after: began.elapsed() };
        if stream.write_all(encode(&ask)).await.0.is_err() {
            return;
        }
    }
}

/// Ends once the node is no longer sure that what its peer passed on is everything; one that its peer
/// has passed nothing on to yet reads the platform itself meanwhile.
///
/// A peer may live and answer while its own wait at the platform has gone silent, and where all
/// readers' waits have, no other node can tell of what was missed.
async fn until_unsure(node: &Node, fed: &Cell<bool>) {
    loop {
        monoio::time::sleep(LOOK_IF_SURE).await;
        let state = &mut *node.state.borrow_mut();
        match state.is_all_fresh(Instant::now()) {
            true => {}
            false if fed.get() => return,
            // A node that starts looks for a peer first.
            false => state.reads_directly |= state.has_read_all_topics(),
        }
    }
}

/// Ends when other nodes are the readers of this node's zone, or this node is one itself.
///
/// A reader that the platform turned away tries again after a while: were all
/// readers to wait for each other, none would see that the platform is back.
async fn until_moved(node: &Node, peer: SocketAddr) {
    let since = Instant::now();
    loop {
        monoio::time::sleep(LOOK).await;
        let state = node.state.borrow();
        let now = Instant::now();
        if readers::has_nearer_seed(&state, peer, now) {
            return;
        }
        if !readers::knows_peers(&state, now) {
            continue;
        }
        let me_first = readers::is_reader(&state, state.settings.peer_addr);
        let turned_away = state.roster.store_is_unreachable() && since.elapsed() < TRY_AGAIN;
        let nothing_else = !state.is_ready() || since.elapsed() < TRY_AGAIN;
        let other = !readers::is_reader(&state, peer) && !nothing_else;
        if (me_first && !turned_away) || other {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
