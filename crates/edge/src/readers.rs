//! Selects which nodes read the platform directly, and through whom the others read it.
//!
//! Every call to the platform is paid for, and a change costs one call of each node that
//! long-polls it. A few nodes per zone, the readers, do so; the others receive each change from
//! one of these a few milliseconds later. The subscribers of a reader notice when it fails or falls
//! behind ([`crate::follow::wait_until_behind`]). They connect to another reader and, if that
//! fails too, read the platform themselves, and through any peer that has newer data.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use wire::Standing;

use crate::follow::Topic;
use crate::state::State;
use crate::Settings;

/// Minimum number of readers in the whole fleet: if one is partitioned, two others still receive
/// changes and show its subscribers that they are behind.
const MIN_READERS: usize = 3;

/// A reader that gets no response from the platform for this long reads through another reader.
const READER_FALLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Same as [`READER_FALLBACK_TIMEOUT`] for a node without any state yet.
const NEW_NODE_FALLBACK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a node whose reader dropped it looks for another reader, before it reads the
/// platform itself. When the platform resets its connections, all readers lose it in the same
/// moment and are back at once. A partitioned reader notices after 0.9 s, and what it missed must
/// be in force within two seconds.
const READER_SWITCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Same as [`READER_SWITCH_TIMEOUT`] for a node of a fleet that starts for the first time: there
/// are no callers yet, and peers that start at the same moment take a while to listen.
const FIRST_START_SWITCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Same as [`READER_SWITCH_TIMEOUT`] for a node that was restarted: callers are waiting for it. A
/// peer that serves responds within a round trip or two; one without power does not, and the node
/// reads the platform instead.
const RESTART_SWITCH_TIMEOUT: Duration = Duration::from_millis(20);

/// Time from its start after which a node knows its peers. Earlier it knows few of them and would
/// consider itself a reader. Membership messages reach all nodes within this time.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(1_000);

/// Same as [`PEER_DISCOVERY_TIME`] while the whole fleet starts and all nodes join at once.
const FIRST_START_PEER_DISCOVERY_TIME: Duration = Duration::from_millis(3_500);

/// Maximum calls per second of the whole fleet to a platform that does not respond: about a sixth
/// of the lowest write rate seen (400 per second), so that other clients are served when it is
/// back.
const MAX_FAILING_CALLS_PER_S: f64 = 60.0;

/// Maximum backoff of a node that is not a reader. A reader that gets responses again accepts the
/// node as a subscriber within two seconds. With 2.5 s, most of 312 nodes read everything
/// themselves before that, and tried in vain three times in an outage of eight seconds.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(6);

/// How a node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPath {
    /// Directly.
    Direct,
    /// Through this peer.
    Via(SocketAddr),
    /// Not now: the peers to read through will probably accept connections in a moment.
    Deferred,
}

/// Returns the readers by zone: the first by address among the nodes that serve, or among those
/// that are alive while no node serves.
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
    let per_zone = MIN_READERS.div_ceil(by_zone.len().max(1));
    for addrs in by_zone.values_mut() {
        addrs.sort_unstable();
        addrs.truncate(per_zone);
    }
    by_zone
}

/// Returns true if `peer` is a reader.
pub fn is_reader(state: &State, peer: SocketAddr) -> bool {
    readers(state).values().any(|addrs| addrs.contains(&peer))
}

/// Returns how long a node without a reader may look for one before it reads the platform itself.
pub fn switch_timeout(state: &State) -> Duration {
    match state.has_read_all_topics() {
        true => READER_SWITCH_TIMEOUT,
        false if state.settings.bootstrap => FIRST_START_SWITCH_TIMEOUT,
        false => RESTART_SWITCH_TIMEOUT,
    }
}

/// Returns true once this node knows enough of its peers to tell whether it is a reader.
pub fn knows_peers(state: &State, now: Instant) -> bool {
    let after = match state.settings.bootstrap {
        true => FIRST_START_PEER_DISCOVERY_TIME,
        false => PEER_DISCOVERY_TIME,
    };
    now >= state.started_at + after
}

/// Returns true if this node first reads through the seed nodes of its settings.
///
/// A peer with complete state relays it within a few milliseconds and without a call to the
/// platform; when nodes are restarted one by one without this, each makes three calls and serves
/// only 90 ms after its start over a link of 20 Mbit/s. A seed that has just started declines at
/// once, and the node reads the platform. If three nodes read the platform for all others after a
/// restart of the whole fleet, that would save 900 of the 1,770 calls of such a day, but nodes
/// would serve after 0.5 s instead of 0.09 s (a share of 0.087 of the requests in these two
/// seconds).
pub fn begins_with_seeds(settings: &Settings) -> bool {
    let seeds = &settings.seed_addrs;
    !seeds.is_empty() && !seeds.contains(&settings.peer_addr)
}

/// Returns true while this node reads through the seeds: it has just started and does not know the
/// readers yet. A restarted node that has read the platform itself does not: another list of 30 KB
/// from another zone would contain nothing new.
fn reads_through_seeds(state: &State, now: Instant) -> bool {
    let needs_seeds = state.settings.bootstrap || !state.has_read_all_topics();
    needs_seeds && begins_with_seeds(&state.settings) && !knows_peers(state, now)
}

/// Returns those of `seeds` that are known to be in this node's zone, or all if none is.
///
/// Bytes between zones are paid for, and each node receives every upstream that registers.
fn same_zone_seeds(state: &State, seeds: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let is_same_zone = |addr: &SocketAddr| {
        state.peers.get(addr).is_some_and(|peer| peer.zone == state.settings.zone)
    };
    match seeds.iter().any(is_same_zone) {
        true => seeds.into_iter().filter(is_same_zone).collect(),
        false => seeds,
    }
}

/// Returns true if this node reads through the seed `peer` and should switch to one in its zone.
pub fn has_nearer_seed(state: &State, peer: SocketAddr, now: Instant) -> bool {
    let seeds = &state.settings.seed_addrs;
    reads_through_seeds(state, now)
        && seeds.contains(&peer)
        && !same_zone_seeds(state, seeds.clone()).contains(&peer)
}

/// Returns the maximum backoff between two attempts at a platform that does not respond;
/// `default_max` for readers and nodes without state.
///
/// When the platform is down and each of a hundred nodes tries it every half second, each call is
/// paid for and none helps: the readers are the first to notice that it is back.
pub fn max_retry_backoff(state: &State, default_max: Duration) -> Duration {
    match state.has_read_all_topics() && !is_reader(state, state.settings.peer_addr) {
        true => {
            let spread = state.fleet_size() as f64 / MAX_FAILING_CALLS_PER_S;
            Duration::from_secs_f64(spread).clamp(default_max, MAX_RETRY_BACKOFF.max(default_max))
        }
        false => default_max,
    }
}

/// Returns true if a node without a reader may wait for one: it serves from the state that it has,
/// or there are no callers yet.
fn may_search(state: &State) -> bool {
    !state.reads_directly && (state.has_read_all_topics() || state.settings.bootstrap)
}

/// Returns the peers to read through while no reader is usable and this node's data may be outdated:
/// those that have newer data, of the own zone if there are any.
///
/// The load pattern: readers fail, or the platform rejects them, while it serves most other nodes.
/// Each of the hundreds that are behind chooses among all that are ahead, so that none of these
/// serves many.
fn peers_ahead(state: &State, now: Instant) -> Vec<SocketAddr> {
    let outdated = Topic::ALL.into_iter().filter(|topic| !state.is_fresh(*topic, now));
    let ahead: BTreeSet<SocketAddr> =
        outdated.flat_map(|topic| state.peers_ahead(topic, now)).collect();
    let is_same_zone =
        |addr: &SocketAddr| state.peers.get(addr).is_some_and(|p| p.zone == state.settings.zone);
    let own_zone: Vec<SocketAddr> = ahead.iter().copied().filter(is_same_zone).collect();
    match own_zone.is_empty() {
        true => ahead.into_iter().collect(),
        false => own_zone,
    }
}

/// Chooses how this node reads the platform now; peers in `excluded` failed and are not used until
/// the given time.
///
/// `searching` means that the node lost its reader, or started, a moment ago.
pub fn choose(
    state: &mut State,
    excluded: &HashMap<SocketAddr, Instant>,
    searching: bool,
    now: Instant,
) -> ReadPath {
    let me = state.settings.peer_addr;
    let usable =
        |addr: &SocketAddr| *addr != me && excluded.get(addr).is_none_or(|until| *until <= now);
    let candidates: Vec<SocketAddr> = match state.has_read_all_topics() {
        // The platform does not respond to a node without state: any peer that serves is of use.
        false if state.roster.store_unreachable_for(now) >= NEW_NODE_FALLBACK_TIMEOUT => {
            let serving = state.peers.iter().filter(|(_, peer)| peer.config_head > 0);
            let serving: Vec<SocketAddr> = serving.map(|(addr, _)| *addr).filter(usable).collect();
            let seeds = state.settings.seed_addrs.iter().copied().filter(usable);
            if serving.is_empty() {
                seeds.collect()
            } else {
                serving
            }
        }
        has_state if (has_state || searching) && reads_through_seeds(state, now) => {
            let seeds = state.settings.seed_addrs.iter().copied().filter(usable);
            same_zone_seeds(state, seeds.collect())
        }
        false => Vec::new(),
        true => {
            let by_zone = readers(state);
            let is_reader = by_zone.values().any(|addrs| addrs.contains(&me));
            let is_unreachable = state.roster.store_unreachable_for(now) >= READER_FALLBACK_TIMEOUT;
            let all = || by_zone.values().flatten().copied().filter(usable).collect();
            let own = by_zone.get(&state.settings.zone).into_iter().flatten();
            let own: Vec<SocketAddr> = own.copied().filter(usable).collect();
            let usable_readers: Vec<SocketAddr> = match is_reader {
                false if own.is_empty() => all(),
                false => own,
                // The platform rejects this reader; another one may get responses.
                true if is_unreachable => all(),
                true => Vec::new(),
            };
            match usable_readers.is_empty() {
                true => peers_ahead(state, now).into_iter().filter(usable).collect(),
                false => usable_readers,
            }
        }
    };
    let is_known_reader = |state: &State| knows_peers(state, now) && is_reader(state, me);
    match candidates.choose(&mut state.rng) {
        Some(peer) => ReadPath::Via(*peer),
        None if searching && may_search(state) && !is_known_reader(state) => ReadPath::Deferred,
        None => ReadPath::Direct,
    }
}
