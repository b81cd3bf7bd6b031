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

/// Share of the tolerance that the buckets of new owners hold together. When a whole fleet starts,
/// callers that have been waiting come at once, and would be refused below their team's rate; full
/// buckets would allow a burst for each restart.
const START_SHARE: f64 = 0.2;

/// Minimum level at which a bucket starts: the first request of a small team is served at once.
const MIN_START_LEVEL: f64 = 1.0;

/// Time for which a node remembers that it owned a shard. Otherwise an unsteady view would add the
/// starting level each time.
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

/// What a bucket may grant: in any time up to a window, its capacity and what is added in that time.
#[derive(Clone, Copy, Debug)]
struct Limits {
    rate_per_s: f64,
    capacity: f64,
    window: Duration,
}

impl Limits {
    fn slot_s(&self) -> f64 {
        self.window.as_secs_f64() / (SLOTS - 1) as f64
    }
}

/// Number of slots in which tokens are counted: those of a window, and the current one.
const SLOTS: usize = 51;

/// Tolerance for sums of fractions of tokens.
const ROUNDING: f64 = 1e-3;

/// A token bucket that forgets what it granted more than a window ago: a team that asks for more
/// than its rate all the time gets the allowance of every window.
#[derive(Clone, Debug)]
struct Bucket {
    /// Tokens granted by slot of time, at the index of the slot modulo their number.
    granted: [f32; SLOTS],
    /// Index of the current slot, counted from `since`.
    slot: u64,
    since: Instant,
    /// Refused requests that are expected to be retried; decreases at the rate of the bucket.
    backlog: f64,
    backlog_at: Instant,
    /// Whether the node owned the shard in the latest view.
    is_owned: bool,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens.
    fn new(level: f64, limits: Limits, now: Instant) -> Bucket {
        // A predecessor may have granted the rest just now.
        let mut granted = [0.0; SLOTS];
        granted[0] = (limits.capacity - level) as f32;
        Bucket { granted, slot: 0, since: now, backlog: 0.0, backlog_at: now, is_owned: true }
    }

    /// Continues after another node may have owned the shard and granted its tokens.
    fn resume(&mut self, limits: Limits, now: Instant) {
        if !self.is_owned {
            *self = Bucket::new(0.0, limits, now);
        }
    }

    fn advance(&mut self, limits: Limits, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.since).as_secs_f64();
        let slot = ((elapsed_s / limits.slot_s()) as u64).max(self.slot);
        let begun = (slot - self.slot).min(SLOTS as u64);
        (slot + 1 - begun..=slot).for_each(|slot| self.granted[index(slot)] = 0.0);
        self.slot = slot;
        let since_s = now.saturating_duration_since(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - limits.rate_per_s * since_s).max(0.0);
        self.backlog_at = self.backlog_at.max(now);
    }

    /// Returns the number of tokens that the bucket holds; below 0 after its limits were lowered.
    fn level(&self, limits: Limits) -> f64 {
        let mut granted = 0.0;
        let mut level = f64::INFINITY;
        for age in 0..SLOTS as u64 {
            granted += f64::from(self.granted[index(self.slot + SLOTS as u64 - age)]);
            let allowed = limits.capacity + limits.rate_per_s * limits.slot_s() * age as f64;
            level = level.min(allowed - granted);
        }
        level
    }

    /// Takes up to `wanted` whole tokens.
    fn take(&mut self, limits: Limits, wanted: u32) -> u32 {
        let tokens = (self.level(limits) + ROUNDING).floor().clamp(0.0, f64::from(wanted));
        self.granted[index(self.slot)] += tokens as f32;
        tokens as u32
    }

    /// Takes tokens back, out of the oldest slots: it is not known when they were granted, and
    /// those count for the shortest time from now on.
    fn give_back(&mut self, tokens: u32) {
        let mut left = tokens as f32;
        for slot in self.slot + 1..=self.slot + SLOTS as u64 {
            let granted = &mut self.granted[index(slot)];
            let removed = granted.min(left);
            *granted -= removed;
            left -= removed;
        }
    }
}

/// Returns where a slot is stored.
fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
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
                    let limits = limits(self.bounds, view, quota, Role::Owner);
                    let level = start_level(self.bounds, quota).min(limits.capacity);
                    let bucket = self.buckets.entry(key);
                    bucket.or_insert_with(|| Bucket::new(level, limits, now)).resume(limits, now);
                }
            }
        }
        if self.buckets.len() >= MIN_BUCKETS_TO_EXPIRE {
            let is_recent = |b: &Bucket| now.saturating_duration_since(b.backlog_at) < MEMORY;
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
        let limits = limits(self.bounds, view, quota, role);
        let key = (team.clone(), shard, role);
        let new_bucket = || Bucket::new(MIN_START_LEVEL.min(limits.capacity), limits, now);
        let bucket = self.buckets.entry(key).or_insert_with(new_bucket);
        bucket.resume(limits, now);
        bucket.advance(limits, now);
        let max_backlog = limits.rate_per_s * self.bounds.window.as_secs_f64();
        let granted = bucket.take(limits, wanted);
        if granted > 0 {
            bucket.backlog = (bucket.backlog + f64::from(refused)).min(max_backlog);
            return Answer::Grant(granted);
        }
        match role {
            Role::Reserve => Answer::NotOwner,
            Role::Owner => {
                bucket.backlog = (bucket.backlog + f64::from(refused) + 1.0).min(max_backlog);
                let level = bucket.level(limits);
                let missing = (bucket.backlog - level).max(1.0 - level);
                let wait = missing / limits.rate_per_s;
                Answer::Deny(Duration::from_millis((wait * 1e3).round() as u64))
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
        let limits = limits(self.bounds, view, quota, Role::Owner);
        if let Some(bucket) = self.buckets.get_mut(&(team.clone(), shard, Role::Owner)) {
            bucket.advance(limits, now);
            bucket.give_back(tokens);
        }
    }

    /// Returns the number of shards that the node owns in `view`.
    pub fn owned_count(&self, view: &View) -> usize {
        let is_owned = |(team, shard, role): &&(TeamName, Shard, Role)| {
            *role == Role::Owner && view.is_owner(team, *shard)
        };
        self.buckets.keys().filter(is_owned).count()
    }
}

/// Returns the level at which the bucket of a shard starts that the node owns as far as it knows.
fn start_level(bounds: Bounds, quota: &Quota) -> f64 {
    let share = bounds.tolerance(quota) * START_SHARE / f64::from(shard_count(quota));
    share.max(MIN_START_LEVEL)
}

/// Returns what the bucket of one shard may grant.
fn limits(bounds: Bounds, view: &View, quota: &Quota, role: Role) -> Limits {
    let (shards, window) = (f64::from(shard_count(quota)), bounds.window);
    let tolerance = bounds.tolerance(quota);
    match role {
        Role::Owner => {
            let part = view.granted_ratio() / shards;
            let capacity = (quota.burst + tolerance * CAPACITY_SHARE) * part;
            // Below one token, a bucket would never grant any.
            Limits { rate_per_s: quota.rate_per_s * part, capacity: capacity.max(1.0), window }
        }
        // Half at once and half at a rate, so that no window exceeds the share.
        Role::Reserve => {
            let half = tolerance * RESERVE_SHARE / shards / 2.0;
            Limits { rate_per_s: half / window.as_secs_f64(), capacity: half, window }
        }
    }
}
