//! Which nodes read the platform themselves, and through whom the others do.
//!
//! Every call to the platform is paid for, and a change costs one call of each
//! node that waits for it. A few nodes per zone wait at the platform; the
//! others hear of changes from one of these a few milliseconds later. A
//! reader that fails or falls behind is noticed by its own subscribers
//! ([`crate::follow::behind`]), who then turn to another reader and, when that
//! fails too, read the platform themselves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use wire::Standing;

use crate::state::State;
use crate::Settings;

/// Readers in the whole fleet at least: when one is cut off, two others still
/// hear of changes and tell its subscribers that they are behind.
const READERS_LEAST: usize = 3;

/// A reader that the platform does not answer for this long asks another reader.
const AWAY_FOR: Duration = Duration::from_secs(1);

/// The same for a node that holds nothing yet.
const AWAY_FOR_NEWCOMER: Duration = Duration::from_millis(200);

/// Time in which a node whose reader let it go looks for another one before it reads the platform
/// itself. All readers lose the platform in the same moment when it resets its connections, and are
/// back at once; a reader that was cut off has noticed after 1.2 s, and what it missed must be in
/// force within two seconds.
const SWITCH_WITHIN: Duration = Duration::from_millis(400);

/// The same for a node of a fleet that starts for the first time: no callers come yet, and peers
/// that start at the same moment take a while to listen.
const SWITCH_WITHIN_FIRST_START: Duration = Duration::from_millis(2_000);

/// The same for a node that was restarted: callers wait. A peer that serves answers within a round
/// trip or two; one that has no power does not, and the node reads the platform instead.
const SWITCH_WITHIN_RESTARTED: Duration = Duration::from_millis(20);

/// A node that has just started knows few of its peers and would take itself for a reader. Messages
/// of membership reach all within this time.
const KNOWS_PEERS_AFTER: Duration = Duration::from_millis(1_000);

/// The same while the whole fleet starts and all nodes introduce themselves at once.
const KNOWS_PEERS_AFTER_FIRST_START: Duration = Duration::from_millis(3_500);

/// Calls per second of all nodes together to a platform that does not answer them: about a sixth
/// of the smallest write rate seen (400 a second), so that others are served when it is back.
const FRUITLESS_CALLS_PER_S: f64 = 60.0;

/// Longest pause between two tries of a node that is no reader: a reader that is served again takes
/// it back within two seconds. With 2.5 s most of 312 nodes read everything themselves before that,
/// and tried in vain three times in an outage of eight seconds.
const PAUSE_MOST: Duration = Duration::from_secs(6);

/// How a node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Itself.
    Direct,
    /// Through this peer.
    Via(SocketAddr),
    /// Not at all for now: the peers to ask are likely to answer in a moment.
    Later,
}

/// Returns the readers by zone: the first by address among those that serve, or among those
/// that are alive as long as nobody serves.
fn readers(state: &State) -> BTreeMap<SmolStr, Vec<SocketAddr>> {
    let mut by_zone: BTreeMap<SmolStr, Vec<SocketAddr>> = BTreeMap::new();
    let nobody_serves = !state.is_ready() && state.peers.values().all(|p| p.config_head == 0);
    for (addr, peer) in &state.peers {
        let usable = match nobody_serves {
            true => peer.standing == Standing::Alive,
            false => peer.may_serve(),
        };
        if usable {
            by_zone.entry(peer.zone.clone()).or_default().push(*addr);
        }
    }
    if state.is_ready() || nobody_serves {
        let own = by_zone.entry(state.settings.zone.clone()).or_default();
        own.push(state.settings.peer_addr);
    }
    let per_zone = READERS_LEAST.div_ceil(by_zone.len().max(1));
    for addrs in by_zone.values_mut() {
        addrs.sort_unstable();
        addrs.truncate(per_zone);
    }
    by_zone
}

/// Returns true when `peer` is a reader.
pub fn is_reader(state: &State, peer: SocketAddr) -> bool {
    readers(state).values().any(|addrs| addrs.contains(&peer))
}

/// Returns for how long a node without a reader may look for one before it reads the platform itself.
pub fn switch_within(state: &State) -> Duration {
    match state.has_read_all_topics() {
        true => SWITCH_WITHIN,
        false if state.settings.bootstrap => SWITCH_WITHIN_FIRST_START,
        false => SWITCH_WITHIN_RESTARTED,
    }
}

/// Returns true once this node knows enough of its peers to tell whether it is a reader.
pub fn knows_peers(state: &State, now: Instant) -> bool {
    let after = match state.settings.bootstrap {
        true => KNOWS_PEERS_AFTER_FIRST_START,
        false => KNOWS_PEERS_AFTER,
    };
    now >= state.started_at + after
}

/// Returns true when this node begins by asking the nodes that it was told of at start.
///
/// A peer that holds everything passes it on within a few milliseconds and without a call: of nodes
/// that are restarted in turn, each made three calls and served 90 ms after its start where its link
/// carries 20 Mbit/s. One that has just started itself says so at once, and the node reads the
/// platform: three nodes that read it for all others after a restart of all would save 900 calls of
/// 1,770 on such a day, but then nodes serve after 0.5 s, not 0.09 (0.087 of the requests of these two
/// seconds).
pub fn begins_with_seeds(settings: &Settings) -> bool {
    let seeds = &settings.seed_addrs;
    !seeds.is_empty() && !seeds.contains(&settings.peer_addr)
}

/// Returns true while this node reads through the seeds: it has just started, and who the readers
/// are is not known yet. One that was restarted and has read the platform itself does not: a list of
/// 30 KB more from another zone would tell it nothing.
fn reads_through_seeds(state: &State, now: Instant) -> bool {
    let needs_seeds = state.settings.bootstrap || !state.has_read_all_topics();
    needs_seeds && begins_with_seeds(&state.settings) && !knows_peers(state, now)
}

/// Returns the seeds among `seeds` that are known to be in this node's zone, or all if none is.
///
/// Bytes between zones are paid for, and each node is told of every upstream that registers.
fn nearest(state: &State, seeds: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let is_near = |addr: &SocketAddr| {
        state.peers.get(addr).is_some_and(|peer| peer.zone == state.settings.zone)
    };
    match seeds.iter().any(is_near) {
        true => seeds.into_iter().filter(is_near).collect(),
        false => seeds,
    }
}

/// Returns true when this node, which reads through the seed `peer`, should ask another one.
pub fn has_nearer_seed(state: &State, peer: SocketAddr, now: Instant) -> bool {
    let seeds = &state.settings.seed_addrs;
    reads_through_seeds(state, now)
        && seeds.contains(&peer)
        && !nearest(state, seeds.clone()).contains(&peer)
}

/// Returns the longest pause between two tries at a platform that does not answer; `most` for
/// readers and nodes that hold nothing.
///
/// The load pattern: the platform is down and each of a hundred nodes tries it every half second.
/// Each call is paid for, and none helps: the readers notice first that it is back.
pub fn longest_pause(state: &State, most: Duration) -> Duration {
    match state.has_read_all_topics() && !is_reader(state, state.settings.peer_addr) {
        true => {
            let spread = state.fleet_size() as f64 / FRUITLESS_CALLS_PER_S;
            Duration::from_secs_f64(spread).clamp(most, PAUSE_MOST.max(most))
        }
        false => most,
    }
}

/// Returns true when a node without a reader may wait for one: nothing is late yet that callers wait
/// for.
fn may_search(state: &State) -> bool {
    !state.reads_directly && (state.has_read_all_topics() || state.settings.bootstrap)
}

/// Chooses how this node reads the platform now; peers in `avoided` failed it until then.
///
/// `searching` says that the node lost its reader, or started, a moment ago.
pub fn choose(
    state: &mut State,
    avoided: &HashMap<SocketAddr, Instant>,
    searching: bool,
    now: Instant,
) -> Way {
    let me = state.settings.peer_addr;
    let usable =
        |addr: &SocketAddr| *addr != me && avoided.get(addr).is_none_or(|until| *until <= now);
    let candidates: Vec<SocketAddr> = match state.has_read_all_topics() {
        // The platform does not answer a node that has nothing yet: any peer helps that serves.
        false if state.roster.store_unreachable_for(now) >= AWAY_FOR_NEWCOMER => {
            let serving = state.peers.iter().filter(|(_, peer)| peer.config_head > 0);
            let serving: Vec<SocketAddr> = serving.map(|(addr, _)| *addr).filter(usable).collect();
            let seeds = state.settings.seed_addrs.iter().copied().filter(usable);
            if serving.is_empty() {
                seeds.collect()
            } else {
                serving
            }
        }
        in_step if (in_step || searching) && reads_through_seeds(state, now) => {
            let seeds = state.settings.seed_addrs.iter().copied().filter(usable);
            nearest(state, seeds.collect())
        }
        false => Vec::new(),
        true => {
            let by_zone = readers(state);
            let is_reader = by_zone.values().any(|addrs| addrs.contains(&me));
            let away = state.roster.store_unreachable_for(now) >= AWAY_FOR;
            let all = || by_zone.values().flatten().copied().filter(usable).collect();
            let own = by_zone.get(&state.settings.zone).into_iter().flatten();
            let own: Vec<SocketAddr> = own.copied().filter(usable).collect();
            match is_reader {
                false if own.is_empty() => all(),
                false => own,
                // The platform turns this reader away: another one may be served.
                true if away => all(),
                true => Vec::new(),
            }
        }
    };
    let is_known_reader = |state: &State| knows_peers(state, now) && is_reader(state, me);
    match candidates.choose(&mut state.rng) {
        Some(peer) => Way::Via(*peer),
        None if searching && may_search(state) && !is_known_reader(state) => Way::Later,
        None => Way::Direct,
    }
}
