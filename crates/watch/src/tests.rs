use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use smol_str::SmolStr;
use wire::Verdict;

use crate::{
    rank, DueProbe, ProbeOutcome, ProbeRules, ProbeScheduler, Target, VmList, WATCHERS_PER_UPSTREAM,
};

const SERVICE: &str = "swap-desk";

fn entry(index: usize) -> (SocketAddr, SmolStr) {
    let zone = ["a", "b", "c"][index % 3];
    (SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)), zone.into())
}

fn target(index: usize) -> Target {
    Target {
        addr: SocketAddr::from(([127, 0, 0, 2], 8_000 + index as u16)),
        zone: ["a", "b", "c"][index % 3].into(),
        service: SERVICE.into(),
    }
}

fn entries(count: usize) -> Vec<(SocketAddr, SmolStr)> {
    (0..count).map(entry).collect()
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(target).collect()
}

/// Returns the scheduler of a single node that watches `count` upstreams at `budget` probes/s,
/// `increase_delay` after its first list.
fn scheduler_after_delay(count: usize, budget: u64, now: Instant) -> ProbeScheduler {
    let mut scheduler = ProbeScheduler::new(entry(0).0, ProbeRules::default());
    let (entries, targets) = (entries(1), targets(count));
    let list = VmList { entries: &entries, targets: &targets, requested_at: now };
    scheduler.set_list(list, |_| budget, now);
    scheduler.renew_lease(now + ProbeRules::default().increase_delay);
    scheduler
}

#[test]
fn every_upstream_has_two_watchers_one_in_its_zone() {
    for index in 0..200 {
        let target = target(index);
        let chosen = rank::watchers(target.addr, &target.zone, &entries(9), WATCHERS_PER_UPSTREAM);
        let zones: Vec<SmolStr> = chosen
            .iter()
            .map(|addr| entries(9).into_iter().find(|e| e.0 == *addr).expect("listed").1)
            .collect();
        assert_eq!(zones.len(), 2);
        assert_eq!(zones[0], target.zone);
        assert_ne!(zones[1], target.zone);
    }
}

#[test]
fn lost_entry_node_reassigns_only_its_upstreams() {
    let (before, gone) = (entries(9), entry(4).0);
    let after: Vec<_> = before.iter().filter(|e| e.0 != gone).cloned().collect();
    for index in 0..200 {
        let t = target(index);
        let old = rank::watchers(t.addr, &t.zone, &before, WATCHERS_PER_UPSTREAM);
        let new = rank::watchers(t.addr, &t.zone, &after, WATCHERS_PER_UPSTREAM);
        if !old.contains(&gone) {
            assert_eq!(old, new);
        }
    }
}

/// Guards against treating a list as valid forever: a node that is partitioned from
/// the platform would continue to probe by an old list, and upstreams would get
/// more probes than the budget allows. Its list reads fail for longer than the
/// lease; then one succeeds.
#[test]
fn no_probes_without_a_lease() {
    let rules = ProbeRules::default();
    let start = Instant::now();
    let mut scheduler = scheduler_after_delay(4, 4, start);
    let read = start + rules.increase_delay;
    assert_eq!(complete_due_probes(&mut scheduler, read), 4);
    assert_eq!(
        complete_due_probes(&mut scheduler, read + rules.lease_ttl),
        4,
        "the lease has not expired"
    );
    let later = read + Duration::from_secs(60);
    assert_eq!(complete_due_probes(&mut scheduler, later), 0);
    scheduler.renew_lease(later);
    assert_eq!(complete_due_probes(&mut scheduler, later), 4);
}

/// Takes the probes due at `now`, records that each found its upstream up, and returns their
/// number.
fn complete_due_probes(scheduler: &mut ProbeScheduler, now: Instant) -> usize {
    let due = scheduler.take_due(now);
    for due in &due {
        scheduler.record_outcome(due.addr, ProbeOutcome::Up);
    }
    due.len()
}

/// Guards against raising a probe rate at once, or as soon as an earlier
/// increase takes effect. A node reads a list with fewer upstreams, so that each
/// gets a larger share of the budget, while other nodes still probe by the
/// longer list; an even shorter list follows before the first increase has
/// taken effect. Upstreams would be probed above the budget for a while.
#[test]
fn each_rate_increase_is_delayed() {
    let rules = ProbeRules::default();
    let start = Instant::now();
    let mut scheduler = scheduler_after_delay(8, 4, start);
    let entries = entries(1);
    // Eight upstreams, one watcher (a single entry node), 4 probes/s: each upstream every 2 s.
    let read = start + rules.increase_delay;
    assert_eq!(complete_due_probes(&mut scheduler, read), 8);
    let fewer = targets(4);
    scheduler.set_list(
        VmList { entries: &entries, targets: &fewer, requested_at: read },
        |_| 4,
        read,
    );
    let second = Duration::from_secs(1);
    assert_eq!(
        complete_due_probes(&mut scheduler, read + second),
        0,
        "an interval of 1 s took effect at once"
    );
    assert_eq!(complete_due_probes(&mut scheduler, read + 2 * second), 4);
    let fewest = targets(2);
    let again = read + 4 * second;
    scheduler.set_list(
        VmList { entries: &entries, targets: &fewest, requested_at: again },
        |_| 4,
        again,
    );
    assert_eq!(complete_due_probes(&mut scheduler, again), 2);
    let first_effective = read + rules.increase_delay;
    scheduler.renew_lease(first_effective);
    assert_eq!(complete_due_probes(&mut scheduler, first_effective), 2);
    let half = Duration::from_millis(500);
    assert_eq!(
        complete_due_probes(&mut scheduler, first_effective + half),
        0,
        "the second increase took effect too soon"
    );
    let second_effective = again + rules.increase_delay;
    scheduler.renew_lease(second_effective);
    assert_eq!(complete_due_probes(&mut scheduler, second_effective), 2);
    assert_eq!(complete_due_probes(&mut scheduler, second_effective + half), 2);
}

/// Guards against restarting the delay of assignments that a new list does not
/// change: the list changes every second in upstreams of another service, as
/// when VMs are replaced one after the other, and nothing would be probed.
#[test]
fn frequent_list_changes_do_not_delay_an_assignment_forever() {
    let rules = ProbeRules::default();
    let start = Instant::now();
    let mut scheduler = ProbeScheduler::new(entry(0).0, rules);
    let entries = entries(1);
    for second in 0..=8u16 {
        let now = start + Duration::from_secs(second.into());
        let mut list = targets(2);
        let addr = SocketAddr::from(([127, 0, 0, 3], 8_000 + second));
        list.push(Target { addr, zone: "a".into(), service: "other".into() });
        scheduler.set_list(
            VmList { entries: &entries, targets: &list, requested_at: now },
            |_| 2,
            now,
        );
    }
    let due = scheduler.take_due(start + rules.increase_delay);
    assert_eq!(due.iter().filter(|due| due.service == SERVICE).count(), 2);
}

/// Guards against probing newly assigned upstreams at once: a node reads a new
/// list before the others do, and two nodes would probe the same upstream for
/// the same share. It must wait until the others have read the list or have
/// stopped.
#[test]
fn new_assignment_is_delayed() {
    let rules = ProbeRules::default();
    let start = Instant::now();
    let mut scheduler = ProbeScheduler::new(entry(0).0, rules);
    let (entries, targets) = (entries(1), targets(3));
    scheduler.set_list(
        VmList { entries: &entries, targets: &targets, requested_at: start },
        |_| 3,
        start,
    );
    let almost = start + rules.increase_delay - Duration::from_millis(1);
    scheduler.renew_lease(almost);
    assert!(scheduler.take_due(almost).is_empty());
    assert_eq!(scheduler.take_due(almost + Duration::from_millis(1)).len(), 3);
}

/// Guards against a health report that no node corrects: a node finds an
/// upstream failing and then no longer watches it, and the upstream would stay
/// out of use although it responds. The report must be withdrawn.
#[test]
fn lost_assignment_withdraws_its_verdict() {
    let start = Instant::now();
    let mut scheduler = scheduler_after_delay(2, 2, start);
    let addr = target(0).addr;
    assert_eq!(
        scheduler.record_outcome(addr, ProbeOutcome::Down),
        None,
        "a single lost probe changes nothing"
    );
    assert_eq!(scheduler.record_outcome(addr, ProbeOutcome::Down), Some(Verdict::Failing));
    let (entries, fewer) = (entries(1), vec![target(1)]);
    let list = VmList { entries: &entries, targets: &fewer, requested_at: start };
    assert_eq!(scheduler.set_list(list, |_| 2, start), vec![addr]);
}

#[test]
fn verdicts_follow_probe_outcomes() {
    let mut scheduler = scheduler_after_delay(1, 1, Instant::now());
    let addr = target(0).addr;
    assert_eq!(scheduler.record_outcome(addr, ProbeOutcome::Up), None);
    assert_eq!(scheduler.record_outcome(addr, ProbeOutcome::Draining), Some(Verdict::Draining));
    assert_eq!(scheduler.record_outcome(addr, ProbeOutcome::Down), None);
    assert_eq!(
        scheduler.record_outcome(addr, ProbeOutcome::Down),
        None,
        "a leaving upstream that stops responding is still leaving"
    );
    assert_eq!(scheduler.record_outcome(addr, ProbeOutcome::Up), Some(Verdict::Healthy));
    scheduler.record_outcome(addr, ProbeOutcome::Down);
    scheduler.record_outcome(addr, ProbeOutcome::Down);
    assert_eq!(scheduler.reset_failing(), vec![addr]);
    assert_eq!(scheduler.record_outcome(addr, ProbeOutcome::Up), None);
}

/// Guards against probe traffic of a node that grows with the number of
/// services: their budgets add up to more than one node may send.
#[test]
fn node_never_exceeds_its_rate_limit() {
    let rules = ProbeRules { max_probes_per_s: 5, ..ProbeRules::default() };
    let start = Instant::now();
    let mut scheduler = ProbeScheduler::new(entry(0).0, rules);
    let (entries, targets) = (entries(1), targets(40));
    scheduler.set_list(
        VmList { entries: &entries, targets: &targets, requested_at: start },
        |_| 50,
        start,
    );
    let mut sent = 0;
    for step in 0..4_000u32 {
        let now = start + rules.increase_delay + Duration::from_millis(10) * step;
        scheduler.renew_lease(now);
        for due in scheduler.take_due(now) {
            sent += 1;
            scheduler.record_outcome(due.addr, ProbeOutcome::Up);
        }
    }
    // 5 probes/s for 40 s, and the first probe of each of 40 upstreams.
    assert!(sent <= 200 + 40, "{sent}");
}

/// One step of a random history of the fleet.
#[derive(Clone, Debug)]
enum Step {
    ToggleEntry(usize),
    ToggleTarget(usize),
    Partition(usize),
    Reconnect(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Advance(u64),
}

const NODES: usize = 5;
const UPSTREAMS: usize = 6;
const BUDGET_PER_S: u64 = 6;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..NODES).prop_map(Step::ToggleEntry),
        2 => (0..UPSTREAMS).prop_map(Step::ToggleTarget),
        1 => (0..NODES).prop_map(Step::Partition),
        1 => (0..NODES).prop_map(Step::Reconnect),
        1 => (0..NODES).prop_map(Step::Pause),
        1 => (0..NODES).prop_map(Step::Resume),
        1 => (0..NODES).prop_map(Step::Restart),
        6 => (0u64..6_000).prop_map(Step::Advance),
    ]
}

struct Fleet {
    start: Instant,
    now: Instant,
    nodes: Vec<ProbeScheduler>,
    partitioned: [bool; NODES],
    paused: [bool; NODES],
    entries: Vec<bool>,
    targets: Vec<bool>,
    /// States of the list with the time of each change, since readers see changes late.
    history: Vec<(Instant, Vec<bool>, Vec<bool>)>,
    /// Every probe sent: its time, the index of the node, and the upstream.
    probes: Vec<(Instant, usize, SocketAddr)>,
}

impl Fleet {
    fn new() -> Fleet {
        let start = Instant::now();
        let (entries, targets) = (vec![true; NODES], vec![true; UPSTREAMS]);
        Fleet {
            start,
            now: start,
            nodes: (0..NODES)
                .map(|i| ProbeScheduler::new(entry(i).0, ProbeRules::default()))
                .collect(),
            partitioned: [false; NODES],
            paused: [false; NODES],
            history: vec![(start, entries.clone(), targets.clone())],
            entries,
            targets,
            probes: Vec::new(),
        }
    }

    /// Lets node `index` read the list; each node has its own lag within the allowed skew.
    fn read(&mut self, index: usize) {
        let lag = Duration::from_millis(700 * index as u64);
        let is_visible = |at: &Instant| *at + lag <= self.now;
        let (_, entries, targets) =
            self.history.iter().rev().find(|(at, ..)| is_visible(at)).unwrap_or(&self.history[0]);
        let entries: Vec<_> = (0..NODES).filter(|&i| entries[i]).map(entry).collect();
        let targets: Vec<_> = (0..UPSTREAMS).filter(|&i| targets[i]).map(target).collect();
        let list = VmList { entries: &entries, targets: &targets, requested_at: self.now };
        self.nodes[index].set_list(list, |_| BUDGET_PER_S, self.now);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        let tick = Duration::from_millis(50);
        while self.now < until {
            self.now += tick;
            let step = ((self.now - self.start).as_millis() / tick.as_millis()) as usize;
            for index in 0..NODES {
                if self.paused[index] {
                    continue;
                }
                // Each node reads the list once per second, at an offset of its own.
                if !self.partitioned[index] && step % 20 == index * 3 {
                    self.read(index);
                }
                for DueProbe { addr, .. } in self.nodes[index].take_due(self.now) {
                    self.probes.push((self.now, index, addr));
                    self.nodes[index].record_outcome(addr, ProbeOutcome::Up);
                }
            }
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::ToggleEntry(i) => self.entries[i] = !self.entries[i],
            Step::ToggleTarget(i) => self.targets[i] = !self.targets[i],
            Step::Partition(i) => self.partitioned[i] = true,
            Step::Reconnect(i) => self.partitioned[i] = false,
            Step::Pause(i) => self.paused[i] = true,
            Step::Resume(i) => self.paused[i] = false,
            Step::Restart(i) => {
                self.nodes[i] = ProbeScheduler::new(entry(i).0, ProbeRules::default())
            }
            Step::Advance(ms) => self.run(Duration::from_millis(ms)),
        }
        self.history.push((self.now, self.entries.clone(), self.targets.clone()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0b4d_6e70),
        ..ProptestConfig::default()
    })]

    /// Guards against a new watcher that starts before the old one has stopped: an
    /// upstream would be probed by three nodes for a while. Entry nodes come, go,
    /// pause, restart and are partitioned from the platform in any order, while the upstreams, and
    /// so their shares, do not change. No window as long as a watcher's interval
    /// may then hold more probes of an upstream than it has watchers.
    #[test]
    fn no_upstream_is_probed_by_too_many_watchers(
        steps in prop::collection::vec(step().prop_filter("upstreams stay", |step| {
            !matches!(step, Step::ToggleTarget(_))
        }), 1..60),
    ) {
        let mut fleet = Fleet::new();
        fleet.run(Duration::from_secs(12));
        for step in steps {
            fleet.apply(step);
        }
        fleet.run(Duration::from_secs(4));
        let interval = Duration::from_secs_f64(
            (UPSTREAMS * WATCHERS_PER_UPSTREAM) as f64 / BUDGET_PER_S as f64
        );
        for index in 0..UPSTREAMS {
            let addr = target(index).addr;
            let times: Vec<Instant> =
                fleet.probes.iter().filter(|(_, _, a)| *a == addr).map(|(at, ..)| *at).collect();
            for (first, at) in times.iter().enumerate() {
                let count = times[first..].iter().take_while(|t| **t < *at + interval).count();
                prop_assert!(
                    count <= WATCHERS_PER_UPSTREAM,
                    "{count} probes of {addr} within {interval:?}"
                );
            }
        }
    }

    /// Guards against nodes that act on different lists and probe upstreams more
    /// than the budget allows, while nodes and upstreams come and go and nodes
    /// pause, restart or are partitioned from the platform. Every probe is recorded. The oracle
    /// knows only the budget: in any window, the probes of a service are at most
    /// the budget for that time and one more per watcher of each upstream.
    #[test]
    fn fleet_stays_within_the_budget(steps in prop::collection::vec(step(), 1..40)) {
        let mut fleet = Fleet::new();
        fleet.run(Duration::from_secs(12));
        for step in steps {
            fleet.apply(step);
        }
        fleet.run(Duration::from_secs(4));
        let window = Duration::from_secs(4);
        let allowed = BUDGET_PER_S as usize * 4 + UPSTREAMS * WATCHERS_PER_UPSTREAM;
        let times: Vec<Instant> = fleet.probes.iter().map(|(at, ..)| *at).collect();
        for (first, at) in times.iter().enumerate() {
            let in_window = times[first..].iter().take_while(|t| **t < *at + window).count();
            prop_assert!(in_window <= allowed, "{in_window} probes within 4 s, {allowed} allowed");
        }
    }
}

/// Guards against probing below the budget while nothing changes.
#[test]
fn unchanging_fleet_uses_its_budget() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(12));
    let before = fleet.probes.len();
    fleet.run(Duration::from_secs(20));
    let sent = fleet.probes.len() - before;
    let budget = BUDGET_PER_S as usize * 20;
    assert!((budget * 9 / 10..=budget).contains(&sent), "{sent} of {budget}");
}
