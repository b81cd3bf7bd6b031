//! The buckets that a node grants tokens from.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use team::{Quota, TeamName};

use crate::{shard_count, Bounds, Phase, Shard, View};

/// Share of the tolerance that buckets hold besides the burst, so that a team's rate is not lost
/// while the nodes that were denied wait before they ask again.
const CAPACITY_SHARE: f64 = 0.2;

/// Share of the tolerance that nodes grant in a window for shards that they do not own: the owner
/// may have ended, and has not been replaced yet. What remains of the tolerance covers the time
/// during which two nodes consider themselves the owner.
const RESERVE_SHARE: f64 = 0.3;

/// Level at which the bucket of a new owner starts. The first request of a small team is then
/// served soon after the start of a fleet; full buckets would allow a burst for each restart.
const START_LEVEL: f64 = 1.0;

/// Time for which a node remembers the level of a shard that it does not own any more. Otherwise
/// an unsteady view would add the starting level each time.
const MEMORY: Duration = Duration::from_secs(30);

/// Number of buckets above which expired ones are looked for.
const MIN_BUCKETS_TO_EXPIRE: usize = 256;

/// Answer of a node that was asked for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It grants this many, at least one.
    Grant(u32),
    /// The shard has none left; there will be some for the requests refused so far after this time.
    Deny(Duration),
    /// It does not decide on this shard.
    NotOwner,
}

/// What a bucket is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Role {
    /// The node owns the shard.
    Owner,
    /// Another node owns it, which did not respond.
    Reserve,
}

/// Rate and capacity of a bucket.
#[derive(Clone, Copy, Debug)]
struct Limits {
    rate_per_s: f64,
    capacity: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    /// When tokens were last added.
    filled_at: Instant,
    /// Refused requests that are expected to be retried; decreases at the rate of the bucket.
    backlog: f64,
    /// Whether the node owned the shard in the latest view; only then the bucket fills up.
    is_owned: bool,
}

impl Bucket {
    fn new(level: f64, now: Instant) -> Bucket {
        Bucket { level, filled_at: now, backlog: 0.0, is_owned: true }
    }

    /// Continues to fill up, without the time in which another node owned the shard.
    fn resume(&mut self, now: Instant) {
        if !self.is_owned {
            self.is_owned = true;
            self.filled_at = now;
        }
    }

    fn fill(&mut self, limits: Limits, now: Instant) {
        let added = limits.rate_per_s * now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + added).min(limits.capacity);
        self.backlog = (self.backlog - added).max(0.0);
    }
}

/// The buckets that one node grants tokens from, by team and shard.
#[derive(Clone, Debug)]
pub struct Ledger {
    bounds: Bounds,
    buckets: HashMap<(TeamName, Shard, Role), Bucket>,
}

impl Ledger {
    /// Creates a ledger without buckets.
    pub fn new(bounds: Bounds) -> Ledger {
        Ledger { bounds, buckets: HashMap::new() }
    }

    /// Changes how far quotas may be exceeded.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Begins to fill the buckets of shards that the node owns in a new view, and forgets those
    /// that it has not owned for long.
    pub fn apply_view<'a>(
        &mut self,
        view: &View,
        quotas: impl Iterator<Item = (&'a TeamName, &'a Quota)>,
        now: Instant,
    ) {
        if view.phase() == Phase::Ready {
            for (team, quota) in quotas {
                for shard in 0..shard_count(quota) {
                    let owned = view.is_owner(team, shard);
                    let key = (team.clone(), shard, Role::Owner);
                    if !owned {
                        if let Some(bucket) = self.buckets.get_mut(&key) {
                            bucket.is_owned = false;
                        }
                        continue;
                    }
                    self.buckets
                        .entry(key)
                        .or_insert_with(|| Bucket::new(START_LEVEL, now))
                        .resume(now);
                }
            }
        }
        if self.buckets.len() >= MIN_BUCKETS_TO_EXPIRE {
            let is_recent = |b: &Bucket| now.saturating_duration_since(b.filled_at) < MEMORY;
            self.buckets.retain(|(team, shard, role), bucket| {
                let owned = *role == Role::Owner && view.is_owner(team, *shard);
                owned || is_recent(bucket)
            });
        }
    }

    /// Grants up to `wanted` tokens of a shard, or none. `refused` requests were refused by the
    /// node that asks since it last did.
    pub fn ask(
        &mut self,
        view: &View,
        (team, quota, shard): (&TeamName, &Quota, Shard),
        (wanted, refused): (u32, u32),
        now: Instant,
    ) -> Answer {
        let role = match view.is_owner(team, shard) {
            _ if shard >= shard_count(quota) => return Answer::NotOwner,
            true => Role::Owner,
            false if view.phase() == Phase::Ready => Role::Reserve,
            false => return Answer::NotOwner,
        };
        let limits = self.limits(view, quota, role);
        let new_bucket = || Bucket::new(START_LEVEL.min(limits.capacity), now);
        let key = (team.clone(), shard, role);
        let bucket = self.buckets.entry(key).or_insert_with(new_bucket);
        bucket.resume(now);
        bucket.fill(limits, now);
        let max_backlog = limits.rate_per_s * self.bounds.window.as_secs_f64();
        let granted = bucket.level.min(f64::from(wanted)).floor();
        if granted >= 1.0 {
            bucket.level -= granted;
            bucket.backlog = (bucket.backlog + f64::from(refused)).min(max_backlog);
            return Answer::Grant(granted as u32);
        }
        match role {
            Role::Reserve => Answer::NotOwner,
            Role::Owner => {
                bucket.backlog = (bucket.backlog + f64::from(refused) + 1.0).min(max_backlog);
                let missing = (bucket.backlog - bucket.level).max(1.0 - bucket.level);
                let wait = missing / limits.rate_per_s;
                Answer::Deny(Duration::try_from_secs_f64(wait).unwrap_or(self.bounds.window))
            }
        }
    }

    /// Takes back tokens whose requests did not run.
    pub fn give_back(
        &mut self,
        view: &View,
        (team, quota, shard): (&TeamName, &Quota, Shard),
        tokens: u32,
        now: Instant,
    ) {
        let limits = self.limits(view, quota, Role::Owner);
        if let Some(bucket) = self.buckets.get_mut(&(team.clone(), shard, Role::Owner)) {
            bucket.fill(limits, now);
            bucket.level = (bucket.level + f64::from(tokens)).min(limits.capacity);
        }
    }

    /// Returns the number of shards that the node owns in `view`.
    pub fn owned_count(&self, view: &View) -> usize {
        let is_owned = |(team, shard, role): &&(TeamName, Shard, Role)| {
            *role == Role::Owner && view.is_owner(team, *shard)
        };
        self.buckets.keys().filter(is_owned).count()
    }

    fn limits(&self, view: &View, quota: &Quota, role: Role) -> Limits {
        let shards = f64::from(shard_count(quota));
        let tolerance = self.bounds.tolerance(quota);
        match role {
            Role::Owner => Limits {
                rate_per_s: quota.rate_per_s * view.granted_ratio() / shards,
                // Below one token, a bucket would never grant any.
                capacity: ((quota.burst + tolerance * CAPACITY_SHARE) / shards).max(1.0),
            },
            // Half at once and half at a rate, so that no window exceeds the share.
            Role::Reserve => {
                let per_window = tolerance * RESERVE_SHARE / shards;
                let rate_per_s = per_window / 2.0 / self.bounds.window.as_secs_f64();
                Limits { rate_per_s, capacity: per_window / 2.0 }
            }
        }
    }
}
