//! Who probes which upstream, and how often, within a budget that holds for
//! all entry nodes together.
//!
//! Every node computes the same assignment from the platform's VM list: each
//! upstream has [`WATCHERS`] watchers, ranked by rendezvous hashing over the
//! *listed* entry nodes, one in its own zone first ([`rank`]). A service with
//! budget `B` probes/s and `n` upstreams is probed once per
//! `n * WATCHERS / B` seconds by each watcher, which sums to `B`.
//!
//! What goes wrong: lists are read at different times, so two nodes can
//! believe they are the same watcher, and a paused or cut-off node can go on
//! with an old list. The budget would be exceeded, seen only as load on the
//! upstreams. Two rules prevent it without any agreement between nodes:
//!
//! - the list read is a *lease*: a node whose last read was asked for longer
//!   than [`Rules::lease`] ago sends no probe;
//! - whatever raises a node's rate (a new duty, a shorter period) waits
//!   [`Rules::settle`], what lowers it holds at once.
//!
//! With `settle >= lease + skew`, where `skew` is how much longer one reader
//! may see an old list than another, a node that gains a duty starts only
//! when every other node has read the newer list or has stopped.
//!
//! No sockets and no clock here: the caller passes the time in.

pub mod rank;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use wire::Verdict;

/// Watchers of each upstream: two, so that the death of one leaves it watched
/// at half its rate without anyone taking over.
pub const WATCHERS: usize = 2;

/// Failed probes in a row after which an upstream is held to be failing.
const FAILING_AFTER: u32 = 2;

/// Times and bounds that keep the budget.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A list read asked for longer ago than this gives no right to probe.
    pub lease: Duration,
    /// How long a raised rate waits.
    pub settle: Duration,
    /// Probes per second this node sends at most, whatever the budgets add up to.
    pub node_cap_per_s: u32,
}

impl Default for Rules {
    /// Five seconds of lease outlast a few failed polls; settling adds 3 s of skew.
    fn default() -> Self {
        Rules { lease: Duration::from_secs(5), settle: Duration::from_secs(8), node_cap_per_s: 20 }
    }
}

/// An upstream of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its service.
    pub service: SmolStr,
}

/// The platform's list, as one read gave it.
#[derive(Clone, Copy, Debug)]
pub struct List<'a> {
    /// Listed entry nodes with their zones, this one included.
    pub entries: &'a [(SocketAddr, SmolStr)],
    /// Listed upstreams, leaving ones left out.
    pub targets: &'a [Target],
    /// When the read was asked for.
    pub asked_at: Instant,
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The upstream answered, or refused because it is busy: it is there.
    Up,
    /// The upstream said that it is leaving.
    Draining,
    /// No answer, or an answer that is an error.
    Down,
}

/// A probe to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// Where.
    pub addr: SocketAddr,
    /// Its service, which says what to ask for.
    pub service: SmolStr,
}

#[derive(Clone, Debug)]
struct Duty {
    service: SmolStr,
    /// Time between two probes once settled.
    period: Duration,
    /// Time between two probes until `settled_at`; `None` means no probe until then.
    period_before: Option<Duration>,
    settled_at: Instant,
    last_sent: Option<Instant>,
    in_flight: bool,
    failed_in_a_row: u32,
    verdict: Verdict,
}

impl Duty {
    fn period_at(&self, now: Instant) -> Option<Duration> {
        match now < self.settled_at {
            true => self.period_before.map(|before| before.max(self.period)),
            false => Some(self.period),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some(period) = self.period_at(now) else { return false };
        !self.in_flight && self.last_sent.is_none_or(|sent| now.duration_since(sent) >= period)
    }
}

/// One node's probing duties.
#[derive(Debug)]
pub struct Watch {
    me: SocketAddr,
    rules: Rules,
    entries: Vec<(SocketAddr, SmolStr)>,
    /// Whether this node watches an upstream of a zone, for the entries held.
    assigned: HashMap<(SocketAddr, SmolStr), bool>,
    duties: BTreeMap<SocketAddr, Duty>,
    /// When the newest successful list read was asked for.
    lease_from: Option<Instant>,
}

impl Watch {
    /// Creates the state of a node that has read no list yet.
    pub fn new(me: SocketAddr, rules: Rules) -> Watch {
        Watch {
            me,
            rules,
            entries: Vec::new(),
            assigned: HashMap::new(),
            duties: BTreeMap::new(),
            lease_from: None,
        }
    }

    /// Renews the lease: a read asked for at `asked_at` found the list unchanged.
    pub fn confirm(&mut self, asked_at: Instant) {
        self.lease_from = self.lease_from.max(Some(asked_at));
    }

    /// Takes a list, with the probe budget of each service in probes per second.
    ///
    /// Returns upstreams this node held to be failing or leaving and no
    /// longer watches: its notes on them must be withdrawn, since nobody
    /// would otherwise ever correct them.
    pub fn set_list(
        &mut self,
        list: List<'_>,
        budget_per_s: impl Fn(&str) -> u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.confirm(list.asked_at);
        let mut entries = list.entries.to_vec();
        entries.sort();
        if entries != self.entries {
            self.entries = entries;
            self.assigned.clear();
        }
        let mut per_service: HashMap<&str, usize> = HashMap::new();
        for target in list.targets {
            *per_service.entry(&target.service).or_default() += 1;
        }
        let watchers = WATCHERS.min(self.entries.len());
        let mut wanted: BTreeMap<SocketAddr, (SmolStr, Duration)> = BTreeMap::new();
        for target in list.targets {
            let budget = budget_per_s(&target.service);
            if budget > 0 && self.is_watcher(target) {
                let pairs = per_service[target.service.as_str()] * watchers;
                let period = Duration::from_secs_f64(pairs as f64 / budget as f64);
                wanted.insert(target.addr, (target.service.clone(), period));
            }
        }
        let present: std::collections::HashSet<(SocketAddr, &str)> =
            list.targets.iter().map(|t| (t.addr, t.zone.as_str())).collect();
        self.assigned.retain(|(addr, zone), _| present.contains(&(*addr, zone.as_str())));
        self.slow_to_cap(&mut wanted);
        self.replace_duties(wanted, now)
    }

    /// Lengthens every period alike where the duties exceed what one node may send.
    fn slow_to_cap(&self, wanted: &mut BTreeMap<SocketAddr, (SmolStr, Duration)>) {
        let rate: f64 = wanted.values().map(|(_, period)| 1.0 / period.as_secs_f64()).sum();
        let factor = rate / f64::from(self.rules.node_cap_per_s.max(1));
        if factor > 1.0 {
            for (_, period) in wanted.values_mut() {
                *period = period.mul_f64(factor);
            }
        }
    }

    fn replace_duties(
        &mut self,
        wanted: BTreeMap<SocketAddr, (SmolStr, Duration)>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut old = std::mem::take(&mut self.duties);
        let mut withdrawn = Vec::new();
        for (addr, (service, period)) in wanted {
            let duty = match old.remove(&addr) {
                Some(held) if held.service == service => {
                    let before = held.period_at(now);
                    let raised = before.is_none_or(|before| period < before);
                    let settled_at = if raised { now + self.rules.settle } else { now };
                    // A rate that was still settling and is asked for again keeps its time.
                    let settled_at = match held.period <= period && now < held.settled_at {
                        true => held.settled_at,
                        false => settled_at,
                    };
                    Duty { period, period_before: before, settled_at, ..held }
                }
                held => {
                    // Another service at a known address is another upstream.
                    withdrawn.extend(held.filter(is_bad).map(|_| addr));
                    Duty {
                        service,
                        period,
                        period_before: None,
                        settled_at: now + self.rules.settle,
                        last_sent: None,
                        in_flight: false,
                        failed_in_a_row: 0,
                        verdict: Verdict::Healthy,
                    }
                }
            };
            self.duties.insert(addr, duty);
        }
        withdrawn.extend(old.into_iter().filter(|(_, duty)| is_bad(duty)).map(|(addr, _)| addr));
        withdrawn
    }

    fn is_watcher(&mut self, target: &Target) -> bool {
        let (me, entries) = (self.me, &self.entries);
        let key = (target.addr, target.zone.clone());
        *self.assigned.entry(key).or_insert_with(|| {
            rank::watchers(target.addr, &target.zone, entries, WATCHERS).contains(&me)
        })
    }

    /// Returns true while the last list read still gives the right to probe.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_from.is_some_and(|from| now.duration_since(from) <= self.rules.lease)
    }

    /// Returns the probes to send now; each counts as sent.
    pub fn due(&mut self, now: Instant) -> Vec<Due> {
        if !self.holds_lease(now) {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (addr, duty) in self.duties.iter_mut().filter(|(_, duty)| duty.is_due(now)) {
            duty.last_sent = Some(now);
            duty.in_flight = true;
            due.push(Due { addr: *addr, service: duty.service.clone() });
        }
        due
    }

    /// Takes what a probe of `addr` found; returns the verdict when it changed.
    pub fn result(&mut self, addr: SocketAddr, probe: Probe) -> Option<Verdict> {
        let duty = self.duties.get_mut(&addr)?;
        duty.in_flight = false;
        duty.failed_in_a_row = match probe {
            Probe::Down => duty.failed_in_a_row + 1,
            Probe::Up | Probe::Draining => 0,
        };
        let verdict = match probe {
            Probe::Up => Verdict::Healthy,
            Probe::Draining => Verdict::Draining,
            // One lost probe says little; a leaving upstream that stops answering is still leaving.
            Probe::Down if duty.failed_in_a_row < FAILING_AFTER => duty.verdict,
            Probe::Down => duty.verdict.max(Verdict::Failing),
        };
        let changed = verdict != duty.verdict;
        duty.verdict = verdict;
        changed.then_some(verdict)
    }

    /// Returns the upstreams held to be failing, which are held so no longer.
    ///
    /// To be called when the lease lapses: without probes nobody would see
    /// them recover, and repeated notes would keep them out of work.
    pub fn forget_failing(&mut self) -> Vec<SocketAddr> {
        let failing = self.duties.iter_mut().filter(|(_, d)| d.verdict == Verdict::Failing);
        failing
            .map(|(addr, duty)| {
                duty.verdict = Verdict::Healthy;
                duty.failed_in_a_row = 0;
                *addr
            })
            .collect()
    }

    /// Returns how many upstreams this node watches.
    pub fn duties(&self) -> usize {
        self.duties.len()
    }
}

fn is_bad(duty: &Duty) -> bool {
    duty.verdict != Verdict::Healthy
}

#[cfg(test)]
mod tests;
