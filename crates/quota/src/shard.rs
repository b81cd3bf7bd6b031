//! Which nodes grant which part of a team's rate.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use team::Quota;

/// Index of a part of a team's rate.
pub type Shard = u16;

/// Rate up to which one owner grants a team's tokens. With three owners, the others have room for
/// the whole team when one is lost; a team this small fits into the tolerance meanwhile.
const MAX_UNDIVIDED_PER_S: f64 = 5.0;

/// Rate of one shard at which a team gets more of them, so that a node with a tenth of a core does
/// not grant hundreds of times per second.
const SHARD_RATE_PER_S: f64 = 40.0;

/// Shards of a divided team.
const SHARDS: std::ops::RangeInclusive<f64> = 3.0..=12.0;

/// Returns the number of shards that a quota is divided into.
pub fn shard_count(quota: &Quota) -> Shard {
    if quota.rate_per_s < MAX_UNDIVIDED_PER_S {
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

/// What one node knows about which nodes there are.
#[derive(Clone, Debug)]
pub struct View {
    me: SocketAddr,
    /// All nodes, this one included.
    members: Vec<Member>,
    /// Addresses of the nodes that are alive, with their hashes.
    alive: Vec<(u64, SocketAddr)>,
    /// Whether the node knows its peers.
    is_complete: bool,
}

impl View {
    /// Returns the view of the node `me`. With `is_complete` false it has just started and may know
    /// few of its peers: it then owns nothing.
    pub fn new(me: SocketAddr, peers: impl IntoIterator<Item = Member>, is_complete: bool) -> View {
        let own = Member { addr: me, is_alive: true };
        let members: Vec<Member> =
            peers.into_iter().filter(|peer| peer.addr != me).chain([own]).collect();
        let alive = members.iter().filter(|member| member.is_alive);
        let alive = alive.map(|member| (hash_of(&member.addr), member.addr)).collect();
        View { me, members, alive, is_complete }
    }

    /// Returns true if the view is that of these peers.
    pub fn is_of(&self, peers: impl Iterator<Item = Member>, is_complete: bool) -> bool {
        let own = Member { addr: self.me, is_alive: true };
        let peers = peers.filter(|peer| peer.addr != self.me).chain([own]);
        self.is_complete == is_complete && peers.eq(self.members.iter().copied())
    }

    /// Returns whether the node knows its peers.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the address of the node itself.
    pub fn me(&self) -> SocketAddr {
        self.me
    }

    /// Returns the share of all known nodes that are in touch. An owner grants this share of the
    /// rate: nodes out of touch may have an owner of their own.
    pub fn alive_ratio(&self) -> f64 {
        self.alive.len() as f64 / self.members.len() as f64
    }

    /// Returns the owner of a shard, and the node that becomes its owner if that one is lost.
    pub fn owners(&self, team: &str, shard: Shard) -> (SocketAddr, Option<SocketAddr>) {
        let key = hash_of(&(team, shard));
        let mut best = (0, self.me);
        let mut second = None;
        for (node, addr) in &self.alive {
            let score = mix(node ^ key).max(1);
            match second {
                _ if score > best.0 => {
                    second = (best.0 > 0).then_some(best);
                    best = (score, *addr);
                }
                Some((second_score, _)) if score <= second_score => {}
                _ => second = Some((score, *addr)),
            }
        }
        (best.1, second.map(|(_, addr)| addr))
    }
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
