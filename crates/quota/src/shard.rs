//! Which nodes grant which part of a team's rate.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use team::Quota;

/// Index of a part of a team's rate.
pub type Shard = u16;

/// Rate up to which one owner grants a team's tokens. With three owners, the others have room for
/// the whole team when one is lost; a team this small fits into the tolerance meanwhile.
const MAX_UNDIVIDED_PER_S: f64 = 4.0;

/// Rate of one shard at which a team gets more of them, so that a node with a tenth of a core does
/// not grant hundreds of times per second.
const SHARD_RATE_PER_S: f64 = 40.0;

/// Shards of a divided team.
const SHARDS: std::ops::RangeInclusive<f64> = 3.0..=12.0;

/// Returns the number of shards that a quota is divided into.
pub fn shard_count(quota: &Quota) -> Shard {
    if quota.rate_per_s <= MAX_UNDIVIDED_PER_S {
        return 1;
    }
    (quota.rate_per_s / SHARD_RATE_PER_S).ceil().clamp(*SHARDS.start(), *SHARDS.end()) as Shard
}

/// An entry node, as another one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address of the node.
    pub addr: SocketAddr,
    /// Whether it is in touch. One that is not may have ended, or be partitioned from this node
    /// and still serve.
    pub is_alive: bool,
}

/// How well a node knows its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has just started and may know few of them. It owns nothing, but seeds grant tokens to
    /// nodes whose owners have just started too.
    Starting,
    /// It has met none of them, although there are some, or the first one a moment ago. It owns
    /// nothing.
    Isolated,
    /// It knows them.
    Ready,
    /// It is stopping, and still serves: the others have taken over what it owned.
    Leaving,
}

/// What one node knows about which nodes there are.
#[derive(Clone, Debug)]
pub struct View {
    me: SocketAddr,
    phase: Phase,
    /// Hashes and addresses of the nodes that the settings of all nodes name.
    seeds: Vec<(u64, SocketAddr)>,
    /// All nodes, this one included unless it is leaving.
    members: Vec<Member>,
    /// Addresses of the nodes that are alive, with their hashes.
    alive: Vec<(u64, SocketAddr)>,
    /// Number of these of which not all others may know yet.
    returning: usize,
}

impl View {
    /// Returns the view of the node `me` that knows nobody but `seeds`.
    pub fn at_start(me: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> View {
        let (phase, members, alive) = (Phase::Starting, Vec::new(), Vec::new());
        let view = View { me, phase, seeds: Vec::new(), members, alive, returning: 0 };
        view.with_seeds(seeds).with_peers([], phase)
    }

    /// Returns the view with other seeds.
    pub fn with_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) -> View {
        let seeds = seeds.into_iter().map(|addr| (hash_of(&addr), addr)).collect();
        View { seeds, ..self.clone() }
    }

    /// Returns the view of a node that knows `peers`.
    pub fn with_peers(&self, peers: impl IntoIterator<Item = Member>, phase: Phase) -> View {
        let peers = peers.into_iter().filter(|peer| peer.addr != self.me);
        let members: Vec<Member> = peers.chain(self.own_member(phase)).collect();
        let alive = members.iter().filter(|member| member.is_alive);
        let alive = alive.map(|member| (hash_of(&member.addr), member.addr)).collect();
        View { me: self.me, phase, seeds: self.seeds.clone(), members, alive, returning: 0 }
    }

    /// Sets the number of nodes in touch of which not all others may know yet.
    pub(crate) fn set_returning(&mut self, returning: usize) {
        self.returning = returning;
    }

    /// Returns true if the view is that of these peers.
    pub fn is_of(&self, peers: impl Iterator<Item = Member>, phase: Phase) -> bool {
        let peers = peers.filter(|peer| peer.addr != self.me).chain(self.own_member(phase));
        self.phase == phase && peers.eq(self.members.iter().copied())
    }

    fn own_member(&self, phase: Phase) -> Option<Member> {
        (phase != Phase::Leaving).then_some(Member { addr: self.me, is_alive: true })
    }

    /// Returns how well the node knows its peers.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the address of the node itself.
    pub fn me(&self) -> SocketAddr {
        self.me
    }

    /// Returns the nodes that are in touch, this one included.
    pub(crate) fn in_touch(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.alive.iter().map(|(_, addr)| *addr)
    }

    /// Returns the known nodes that are not in touch.
    pub(crate) fn out_of_touch(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.iter().filter(|member| !member.is_alive).map(|member| member.addr)
    }

    /// Returns true if any node besides this one is in touch.
    pub fn has_peers_alive(&self) -> bool {
        self.alive.iter().any(|(_, addr)| *addr != self.me)
    }

    /// Returns the share of all known nodes that are in touch, without those of which not all others
    /// may know yet. An owner grants this share of the rate: the other nodes may have an owner of their
    /// own.
    ///
    /// A seed that has just started stands alone for its shards, and grants their whole rate.
    pub fn granted_ratio(&self) -> f64 {
        match self.phase {
            Phase::Starting => 1.0,
            Phase::Isolated | Phase::Ready | Phase::Leaving => {
                let in_touch = self.alive.len().saturating_sub(self.returning);
                in_touch as f64 / self.members.len() as f64
            }
        }
    }

    /// Returns the owner of a shard, and the node that becomes its owner if that one is lost.
    pub fn owners(&self, team: &str, shard: Shard) -> (SocketAddr, Option<SocketAddr>) {
        match rank(&self.alive, team, shard) {
            Some((first, second)) => (first, second),
            None => (self.me, None),
        }
    }

    /// Returns the seed that grants tokens of a shard to nodes that have just started.
    pub fn seed_owner(&self, team: &str, shard: Shard) -> Option<SocketAddr> {
        rank(&self.seeds, team, shard).map(|(first, _)| first)
    }

    /// Returns true if the node owns a shard, or stands in for its owner as a seed.
    pub fn is_owner(&self, team: &str, shard: Shard) -> bool {
        match self.phase {
            Phase::Starting => self.seed_owner(team, shard) == Some(self.me),
            Phase::Isolated | Phase::Leaving => false,
            Phase::Ready => self.owners(team, shard).0 == self.me,
        }
    }
}

/// Returns the first two of `nodes` by rendezvous hashing.
fn rank(
    nodes: &[(u64, SocketAddr)],
    team: &str,
    shard: Shard,
) -> Option<(SocketAddr, Option<SocketAddr>)> {
    let key = hash_of(&(team, shard));
    let mut first: Option<(u64, SocketAddr)> = None;
    let mut second: Option<(u64, SocketAddr)> = None;
    for (node, addr) in nodes {
        let score = mix(node ^ key);
        if first.is_none_or(|(best, _)| score > best) {
            second = first.replace((score, *addr));
        } else if second.is_none_or(|(best, _)| score > best) {
            second = Some((score, *addr));
        }
    }
    first.map(|(_, addr)| (addr, second.map(|(_, addr)| addr)))
}

/// Returns a hash that all nodes agree on.
fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Mixes the bits of a hash (the finalizer of SplitMix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
