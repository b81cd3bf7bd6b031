//! Decides which entry node probes which upstream and how often, within a
//! budget for all entry nodes together.
//!
//! Every node computes the same assignment from the platform's VM list: each
//! upstream has [`WATCHERS_PER_UPSTREAM`] watchers, ranked by rendezvous
//! hashing over the *listed* entry nodes, with one in the upstream's own zone
//! first ([`rank`]). In a service with a budget of `B` probes per second and
//! `n` upstreams, each watcher probes each of its upstreams once per
//! `n * WATCHERS_PER_UPSTREAM / B` seconds, which adds up to `B`.
//!
//! Nodes read the list at different times, so two nodes can both act as the
//! same watcher, and a paused or disconnected node can
//! continue with an old list. The probes would then exceed the budget, which
//! shows only as load on the upstreams. Two rules prevent this without
//! agreement between nodes:
//!
//! - a list read is a *lease*: a node whose newest successful read was
//!   requested longer than [`ProbeRules::lease_ttl`] ago sends no probes;
//! - a change that raises a node's probe rate (a new assignment, a shorter
//!   interval) takes effect after [`ProbeRules::increase_delay`], a change
//!   that lowers it at once.
//!
//! With `increase_delay >= lease_ttl + skew`, where `skew` is how much longer
//! one reader may see an old list than another, a node starts to probe a
//! newly assigned upstream only when every other node has read the newer list
//! or has stopped probing.
//!
//! The crate uses neither sockets nor a clock: the caller passes the time in.

pub mod rank;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use wire::Verdict;

/// Number of watchers per upstream. With two, the death of one leaves the
/// upstream probed at half its rate, even if no other node takes over.
pub const WATCHERS_PER_UPSTREAM: usize = 2;

/// Number of consecutive failed probes after which an upstream counts as failing.
const FAILURE_THRESHOLD: u32 = 2;

/// Times and limits that keep probes within the budget.
#[derive(Clone, Copy, Debug)]
pub struct ProbeRules {
    /// Time, counted from when a list read was requested, during which the list allows probes.
    pub lease_ttl: Duration,
    /// Delay before a raised probe rate takes effect.
    pub increase_delay: Duration,
    /// Highest probe rate of this node, in probes per second, whatever the budgets add up to;
    /// 0 counts as 1.
    pub max_probes_per_s: u32,
}

impl Default for ProbeRules {
    /// Returns a lease of 5 s, which outlasts a few failed polls, and a delay of 8 s, which
    /// adds 3 s for skew.
    fn default() -> Self {
        ProbeRules {
            lease_ttl: Duration::from_secs(5),
            increase_delay: Duration::from_secs(8),
            max_probes_per_s: 20,
        }
    }
}

/// An upstream of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: SmolStr,
    /// Service that the upstream belongs to.
    pub service: SmolStr,
}

/// The platform's VM list, as returned by one read.
#[derive(Clone, Copy, Debug)]
pub struct VmList<'a> {
    /// Listed entry nodes with their zones, including this node.
    pub entries: &'a [(SocketAddr, SmolStr)],
    /// Listed upstreams without the leaving ones.
    pub targets: &'a [Target],
    /// When the read was requested.
    pub requested_at: Instant,
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream responded, or refused because it is busy; in both cases it is up.
    Up,
    /// The upstream said that it is leaving.
    Draining,
    /// The upstream did not respond, or responded with an error.
    Down,
}

/// A probe to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// Address of the upstream to probe.
    pub addr: SocketAddr,
    /// Service of the upstream, which determines what to request.
    pub service: SmolStr,
}

/// An upstream that this node probes.
#[derive(Clone, Debug)]
struct Assignment {
    service: SmolStr,
    /// Time between two probes from `effective_at` on.
    interval: Duration,
    /// Time between two probes before `effective_at`, unless `interval` is longer; `None` means
    /// no probes until then.
    previous_interval: Option<Duration>,
    effective_at: Instant,
    last_sent: Option<Instant>,
    in_flight: bool,
    consecutive_failures: u32,
    verdict: Verdict,
}

impl Assignment {
    fn interval_at(&self, now: Instant) -> Option<Duration> {
        match now < self.effective_at {
            true => self.previous_interval.map(|previous| previous.max(self.interval)),
            false => Some(self.interval),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some(interval) = self.interval_at(now) else { return false };
        !self.in_flight && self.last_sent.is_none_or(|sent| now.duration_since(sent) >= interval)
    }
}

/// Schedules the probes of one node.
#[derive(Debug)]
pub struct ProbeScheduler {
    self_addr: SocketAddr,
    rules: ProbeRules,
    entries: Vec<(SocketAddr, SmolStr)>,
    /// Whether this node is a watcher of an upstream address in a zone; valid for `entries`.
    is_watcher_cache: HashMap<(SocketAddr, SmolStr), bool>,
    assignments: BTreeMap<SocketAddr, Assignment>,
    /// When the newest successful list read was requested.
    lease_start: Option<Instant>,
}

impl ProbeScheduler {
    /// Creates the scheduler of the node at `self_addr`, which has read no list yet.
    pub fn new(self_addr: SocketAddr, rules: ProbeRules) -> ProbeScheduler {
        ProbeScheduler {
            self_addr,
            rules,
            entries: Vec::new(),
            is_watcher_cache: HashMap::new(),
            assignments: BTreeMap::new(),
            lease_start: None,
        }
    }

    /// Renews the lease after a read requested at `requested_at` found the list unchanged.
    pub fn renew_lease(&mut self, requested_at: Instant) {
        self.lease_start = self.lease_start.max(Some(requested_at));
    }

    /// Replaces the list; `budget_per_s` returns the probe budget of a service in probes per
    /// second.
    ///
    /// Returns the upstreams that this node found failing or leaving and no
    /// longer watches. The caller must withdraw this node's health reports on
    /// them, since no node would correct them later.
    pub fn set_list(
        &mut self,
        list: VmList<'_>,
        budget_per_s: impl Fn(&str) -> u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.renew_lease(list.requested_at);
        let mut entries = list.entries.to_vec();
        entries.sort();
        if entries != self.entries {
            self.entries = entries;
            self.is_watcher_cache.clear();
        }
        let mut target_counts: HashMap<&str, usize> = HashMap::new();
        for target in list.targets {
            *target_counts.entry(&target.service).or_default() += 1;
        }
        let watcher_count = WATCHERS_PER_UPSTREAM.min(self.entries.len());
        let mut wanted: BTreeMap<SocketAddr, (SmolStr, Duration)> = BTreeMap::new();
        for target in list.targets {
            let budget = budget_per_s(&target.service);
            if budget > 0 && self.is_watcher(target) {
                let pairs = target_counts[target.service.as_str()] * watcher_count;
                let interval = Duration::from_secs_f64(pairs as f64 / budget as f64);
                wanted.insert(target.addr, (target.service.clone(), interval));
            }
        }
        let present: std::collections::HashSet<(SocketAddr, &str)> =
            list.targets.iter().map(|t| (t.addr, t.zone.as_str())).collect();
        self.is_watcher_cache.retain(|(addr, zone), _| present.contains(&(*addr, zone.as_str())));
        self.limit_rate(&mut wanted);
        self.replace_assignments(wanted, now)
    }

    /// Lengthens all intervals by the same factor if their sum of rates exceeds the node's limit.
    fn limit_rate(&self, wanted: &mut BTreeMap<SocketAddr, (SmolStr, Duration)>) {
        let rate: f64 = wanted.values().map(|(_, interval)| 1.0 / interval.as_secs_f64()).sum();
        let factor = rate / f64::from(self.rules.max_probes_per_s.max(1));
        if factor > 1.0 {
            for (_, interval) in wanted.values_mut() {
                *interval = interval.mul_f64(factor);
            }
        }
    }

    fn replace_assignments(
        &mut self,
        wanted: BTreeMap<SocketAddr, (SmolStr, Duration)>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut old = std::mem::take(&mut self.assignments);
        let mut withdrawn = Vec::new();
        for (addr, (service, interval)) in wanted {
            let assignment = match old.remove(&addr) {
                Some(existing) if existing.service == service => {
                    let previous = existing.interval_at(now);
                    let is_increase = previous.is_none_or(|previous| interval < previous);
                    let effective_at =
                        if is_increase { now + self.rules.increase_delay } else { now };
                    // A pending increase keeps its time if the new list asks for no higher rate.
                    let effective_at =
                        match existing.interval <= interval && now < existing.effective_at {
                            true => existing.effective_at,
                            false => effective_at,
                        };
                    Assignment { interval, previous_interval: previous, effective_at, ..existing }
                }
                existing => {
                    // Another service at a known address is another upstream.
                    withdrawn.extend(existing.filter(is_unhealthy).map(|_| addr));
                    Assignment {
                        service,
                        interval,
                        previous_interval: None,
                        effective_at: now + self.rules.increase_delay,
                        last_sent: None,
                        in_flight: false,
                        consecutive_failures: 0,
                        verdict: Verdict::Healthy,
                    }
                }
            };
            self.assignments.insert(addr, assignment);
        }
        withdrawn.extend(
            old.into_iter()
                .filter(|(_, assignment)| is_unhealthy(assignment))
                .map(|(addr, _)| addr),
        );
        withdrawn
    }

    fn is_watcher(&mut self, target: &Target) -> bool {
        let (self_addr, entries) = (self.self_addr, &self.entries);
        let key = (target.addr, target.zone.clone());
        *self.is_watcher_cache.entry(key).or_insert_with(|| {
            rank::watchers(target.addr, &target.zone, entries, WATCHERS_PER_UPSTREAM)
                .contains(&self_addr)
        })
    }

    /// Returns true while the newest successful list read allows probes.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_start
            .is_some_and(|lease_start| now.duration_since(lease_start) <= self.rules.lease_ttl)
    }

    /// Returns the probes to send now and records them as sent; returns none without a lease.
    pub fn take_due(&mut self, now: Instant) -> Vec<DueProbe> {
        if !self.holds_lease(now) {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (addr, assignment) in
            self.assignments.iter_mut().filter(|(_, assignment)| assignment.is_due(now))
        {
            assignment.last_sent = Some(now);
            assignment.in_flight = true;
            due.push(DueProbe { addr: *addr, service: assignment.service.clone() });
        }
        due
    }

    /// Records the outcome of a probe of `addr`; returns the verdict on it if that changed.
    pub fn record_outcome(&mut self, addr: SocketAddr, outcome: ProbeOutcome) -> Option<Verdict> {
        let assignment = self.assignments.get_mut(&addr)?;
        assignment.in_flight = false;
        assignment.consecutive_failures = match outcome {
            ProbeOutcome::Down => assignment.consecutive_failures + 1,
            ProbeOutcome::Up | ProbeOutcome::Draining => 0,
        };
        let verdict = match outcome {
            ProbeOutcome::Up => Verdict::Healthy,
            ProbeOutcome::Draining => Verdict::Draining,
            // A single lost probe changes nothing, and a leaving upstream that stops responding
            // is still leaving.
            ProbeOutcome::Down if assignment.consecutive_failures < FAILURE_THRESHOLD => {
                assignment.verdict
            }
            ProbeOutcome::Down => assignment.verdict.max(Verdict::Failing),
        };
        let changed = verdict != assignment.verdict;
        assignment.verdict = verdict;
        changed.then_some(verdict)
    }

    /// Discards the outcome of a probe that says nothing about its upstream, because this node
    /// reaches no upstream.
    pub fn discard_outcome(&mut self, addr: SocketAddr) {
        if let Some(assignment) = self.assignments.get_mut(&addr) {
            assignment.in_flight = false;
        }
    }

    /// Resets the upstreams found failing to healthy and returns them.
    ///
    /// The caller must call this when the lease expires: without probes this
    /// node would not see the upstreams recover, and its repeated health
    /// reports would keep them out of use.
    pub fn reset_failing(&mut self) -> Vec<SocketAddr> {
        let failing = self.assignments.iter_mut().filter(|(_, a)| a.verdict == Verdict::Failing);
        failing
            .map(|(addr, assignment)| {
                assignment.verdict = Verdict::Healthy;
                assignment.consecutive_failures = 0;
                *addr
            })
            .collect()
    }

    /// Returns the number of upstreams that this node watches.
    pub fn assignment_count(&self) -> usize {
        self.assignments.len()
    }
}

fn is_unhealthy(assignment: &Assignment) -> bool {
    assignment.verdict != Verdict::Healthy
}

#[cfg(test)]
mod tests;
