use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use smol_str::SmolStr;
use wire::Verdict;

use crate::{rank, Due, List, Probe, Rules, Target, Watch, WATCHERS};

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

/// A node that alone watches `count` upstreams at `budget` probes/s, settled.
fn settled(count: usize, budget: u64, now: Instant) -> Watch {
    let mut watch = Watch::new(entry(0).0, Rules::default());
    let (entries, targets) = (entries(1), targets(count));
    let list = List { entries: &entries, targets: &targets, asked_at: now };
    watch.set_list(list, |_| budget, now);
    watch.confirm(now + Rules::default().settle);
    watch
}

#[test]
fn every_upstream_has_two_watchers_one_in_its_zone() {
    for index in 0..200 {
        let target = target(index);
        let chosen = rank::watchers(target.addr, &target.zone, &entries(9), WATCHERS);
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
fn a_lost_entry_node_moves_only_its_own_upstreams() {
    let (before, gone) = (entries(9), entry(4).0);
    let after: Vec<_> = before.iter().filter(|e| e.0 != gone).cloned().collect();
    for index in 0..200 {
        let t = target(index);
        let old = rank::watchers(t.addr, &t.zone, &before, WATCHERS);
        let new = rank::watchers(t.addr, &t.zone, &after, WATCHERS);
        if !old.contains(&gone) {
            assert_eq!(old, new);
        }
    }
}

/// Symptom: a node cut off from the platform keeps probing by an old list,
/// and upstreams see more probes than agreed.
/// Sequence: the node's list reads fail for longer than the lease; then one succeeds.
/// Cause: treating the list as valid for good instead of leased.
#[test]
fn no_probe_without_a_fresh_list() {
    let rules = Rules::default();
    let start = Instant::now();
    let mut watch = settled(4, 4, start);
    let read = start + rules.settle;
    assert_eq!(due_and_answered(&mut watch, read), 4);
    assert_eq!(due_and_answered(&mut watch, read + rules.lease), 4, "still leased");
    let later = read + Duration::from_secs(60);
    assert_eq!(due_and_answered(&mut watch, later), 0);
    watch.confirm(later);
    assert_eq!(due_and_answered(&mut watch, later), 4);
}

/// Sends what is due at `now`, answers it, and returns how many probes that were.
fn due_and_answered(watch: &mut Watch, now: Instant) -> usize {
    let due = watch.due(now);
    for due in &due {
        watch.result(due.addr, Probe::Up);
    }
    due.len()
}

/// Symptom: upstreams are probed above the budget for a while after some left.
/// Sequence: a node reads a list with fewer upstreams, so each gets a larger
/// share, while other nodes still probe by the longer list; a second such
/// list comes before the first raise has settled.
/// Cause: taking the raised rate up at once, or when the first raise settles.
#[test]
fn a_raised_rate_waits_and_a_further_raise_waits_anew() {
    let rules = Rules::default();
    let start = Instant::now();
    let mut watch = settled(8, 4, start);
    let entries = entries(1);
    // Eight upstreams, one watcher (one entry node), 4 probes/s: one each 2 s.
    let read = start + rules.settle;
    assert_eq!(due_and_answered(&mut watch, read), 8);
    let fewer = targets(4);
    watch.set_list(List { entries: &entries, targets: &fewer, asked_at: read }, |_| 4, read);
    let second = Duration::from_secs(1);
    assert_eq!(due_and_answered(&mut watch, read + second), 0, "a period of 1 s taken up at once");
    assert_eq!(due_and_answered(&mut watch, read + 2 * second), 4);
    let fewest = targets(2);
    let again = read + 4 * second;
    watch.set_list(List { entries: &entries, targets: &fewest, asked_at: again }, |_| 4, again);
    assert_eq!(due_and_answered(&mut watch, again), 2);
    let first_settled = read + rules.settle;
    watch.confirm(first_settled);
    assert_eq!(due_and_answered(&mut watch, first_settled), 2);
    let half = Duration::from_millis(500);
    assert_eq!(due_and_answered(&mut watch, first_settled + half), 0, "settled too soon");
    let settled = again + rules.settle;
    watch.confirm(settled);
    assert_eq!(due_and_answered(&mut watch, settled), 2);
    assert_eq!(due_and_answered(&mut watch, settled + half), 2);
}

/// Symptom: while VMs are replaced one after the other nothing is probed.
/// Sequence: the list changes every second in upstreams of another service.
/// Cause: every list restarting the wait of duties it does not change.
#[test]
fn steady_list_changes_do_not_starve_a_duty() {
    let rules = Rules::default();
    let start = Instant::now();
    let mut watch = Watch::new(entry(0).0, rules);
    let entries = entries(1);
    for second in 0..=8u16 {
        let now = start + Duration::from_secs(second.into());
        let mut list = targets(2);
        let addr = SocketAddr::from(([127, 0, 0, 3], 8_000 + second));
        list.push(Target { addr, zone: "a".into(), service: "other".into() });
        watch.set_list(List { entries: &entries, targets: &list, asked_at: now }, |_| 2, now);
    }
    let due = watch.due(start + rules.settle);
    assert_eq!(due.iter().filter(|due| due.service == SERVICE).count(), 2);
}

/// Symptom: for a moment two nodes probe the same upstream for the same share.
/// Sequence: a node gains duties by a new list before the others read it.
/// Cause: starting at once. It must wait until the others read it or stopped.
#[test]
fn a_gained_duty_waits() {
    let rules = Rules::default();
    let start = Instant::now();
    let mut watch = Watch::new(entry(0).0, rules);
    let (entries, targets) = (entries(1), targets(3));
    watch.set_list(List { entries: &entries, targets: &targets, asked_at: start }, |_| 3, start);
    let almost = start + rules.settle - Duration::from_millis(1);
    watch.confirm(almost);
    assert!(watch.due(almost).is_empty());
    assert_eq!(watch.due(almost + Duration::from_millis(1)).len(), 3);
}

/// Symptom: an upstream stays out of work although it answers.
/// Sequence: a node finds an upstream failing, then loses the duty.
/// Cause: nobody left to correct the note. It must be withdrawn.
#[test]
fn a_lost_duty_withdraws_its_bad_verdict() {
    let start = Instant::now();
    let mut watch = settled(2, 2, start);
    let addr = target(0).addr;
    assert_eq!(watch.result(addr, Probe::Down), None, "one lost probe says little");
    assert_eq!(watch.result(addr, Probe::Down), Some(Verdict::Failing));
    let (entries, fewer) = (entries(1), vec![target(1)]);
    let list = List { entries: &entries, targets: &fewer, asked_at: start };
    assert_eq!(watch.set_list(list, |_| 2, start), vec![addr]);
}

#[test]
fn verdicts_follow_probes() {
    let mut watch = settled(1, 1, Instant::now());
    let addr = target(0).addr;
    assert_eq!(watch.result(addr, Probe::Up), None);
    assert_eq!(watch.result(addr, Probe::Draining), Some(Verdict::Draining));
    assert_eq!(watch.result(addr, Probe::Down), None);
    assert_eq!(watch.result(addr, Probe::Down), None, "a leaving upstream that ends is leaving");
    assert_eq!(watch.result(addr, Probe::Up), Some(Verdict::Healthy));
    watch.result(addr, Probe::Down);
    watch.result(addr, Probe::Down);
    assert_eq!(watch.forget_failing(), vec![addr]);
    assert_eq!(watch.result(addr, Probe::Up), None);
}

/// Symptom: control traffic of a node grows with the number of services.
/// Sequence: the budgets of all services add up to more than a node may send.
/// Cause: no bound per node.
#[test]
fn a_node_never_exceeds_its_own_cap() {
    let rules = Rules { node_cap_per_s: 5, ..Rules::default() };
    let start = Instant::now();
    let mut watch = Watch::new(entry(0).0, rules);
    let (entries, targets) = (entries(1), targets(40));
    watch.set_list(List { entries: &entries, targets: &targets, asked_at: start }, |_| 50, start);
    let mut sent = 0;
    for step in 0..4_000u32 {
        let now = start + rules.settle + Duration::from_millis(10) * step;
        watch.confirm(now);
        for due in watch.due(now) {
            sent += 1;
            watch.result(due.addr, Probe::Up);
        }
    }
    // 40 s at 5 a second, and the one first probe of each upstream.
    assert!(sent <= 200 + 40, "{sent}");
}

/// What happens to the fleet in one step of the fuzzed history.
#[derive(Clone, Debug)]
enum Step {
    Entry(usize),
    Target(usize),
    CutOff(usize),
    Reconnect(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Wait(u64),
}

const NODES: usize = 5;
const UPSTREAMS: usize = 6;
const BUDGET_PER_S: u64 = 6;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..NODES).prop_map(Step::Entry),
        2 => (0..UPSTREAMS).prop_map(Step::Target),
        1 => (0..NODES).prop_map(Step::CutOff),
        1 => (0..NODES).prop_map(Step::Reconnect),
        1 => (0..NODES).prop_map(Step::Pause),
        1 => (0..NODES).prop_map(Step::Resume),
        1 => (0..NODES).prop_map(Step::Restart),
        6 => (0u64..6_000).prop_map(Step::Wait),
    ]
}

struct Fleet {
    start: Instant,
    now: Instant,
    nodes: Vec<Watch>,
    cut_off: [bool; NODES],
    paused: [bool; NODES],
    entries: Vec<bool>,
    targets: Vec<bool>,
    /// The list as it was, with the time of each change: readers see it late.
    history: Vec<(Instant, Vec<bool>, Vec<bool>)>,
    /// Every probe sent: when, by which node, to which upstream.
    probes: Vec<(Instant, usize, SocketAddr)>,
}

impl Fleet {
    fn new() -> Fleet {
        let start = Instant::now();
        let (entries, targets) = (vec![true; NODES], vec![true; UPSTREAMS]);
        Fleet {
            start,
            now: start,
            nodes: (0..NODES).map(|i| Watch::new(entry(i).0, Rules::default())).collect(),
            cut_off: [false; NODES],
            paused: [false; NODES],
            history: vec![(start, entries.clone(), targets.clone())],
            entries,
            targets,
            probes: Vec::new(),
        }
    }

    /// Node `index` reads the list; each reader lags by its own share of the allowed skew.
    fn read(&mut self, index: usize) {
        let lag = Duration::from_millis(700 * index as u64);
        let seen = |at: &Instant| *at + lag <= self.now;
        let (_, entries, targets) =
            self.history.iter().rev().find(|(at, ..)| seen(at)).unwrap_or(&self.history[0]);
        let entries: Vec<_> = (0..NODES).filter(|&i| entries[i]).map(entry).collect();
        let targets: Vec<_> = (0..UPSTREAMS).filter(|&i| targets[i]).map(target).collect();
        let list = List { entries: &entries, targets: &targets, asked_at: self.now };
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
                // Nodes read once a second, each at its own moment.
                if !self.cut_off[index] && step % 20 == index * 3 {
                    self.read(index);
                }
                for Due { addr, .. } in self.nodes[index].due(self.now) {
                    self.probes.push((self.now, index, addr));
                    self.nodes[index].result(addr, Probe::Up);
                }
            }
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Entry(i) => self.entries[i] = !self.entries[i],
            Step::Target(i) => self.targets[i] = !self.targets[i],
            Step::CutOff(i) => self.cut_off[i] = true,
            Step::Reconnect(i) => self.cut_off[i] = false,
            Step::Pause(i) => self.paused[i] = true,
            Step::Resume(i) => self.paused[i] = false,
            Step::Restart(i) => self.nodes[i] = Watch::new(entry(i).0, Rules::default()),
            Step::Wait(ms) => self.run(Duration::from_millis(ms)),
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

    /// Symptom: an upstream is probed by three nodes for a while.
    /// Sequence: any history of entry nodes coming, going, pausing,
    /// restarting and losing the platform, among unchanging upstreams.
    /// Cause: a new watcher that starts before the old one stopped. With an
    /// unchanging share, no window as long as a watcher's period may hold
    /// more probes of an upstream than it has watchers.
    #[test]
    fn no_upstream_has_more_watchers_than_its_share(
        steps in prop::collection::vec(step().prop_filter("upstreams stay", |step| {
            !matches!(step, Step::Target(_))
        }), 1..60),
    ) {
        let mut fleet = Fleet::new();
        fleet.run(Duration::from_secs(12));
        for step in steps {
            fleet.apply(step);
        }
        fleet.run(Duration::from_secs(4));
        let period = Duration::from_secs_f64((UPSTREAMS * WATCHERS) as f64 / BUDGET_PER_S as f64);
        for index in 0..UPSTREAMS {
            let addr = target(index).addr;
            let times: Vec<Instant> =
                fleet.probes.iter().filter(|(_, _, a)| *a == addr).map(|(at, ..)| *at).collect();
            for (first, at) in times.iter().enumerate() {
                let count = times[first..].iter().take_while(|t| **t < *at + period).count();
                prop_assert!(count <= WATCHERS, "{count} probes of {addr} within {period:?}");
            }
        }
    }

    /// Symptom: upstreams are probed more than agreed while nodes come, go,
    /// pause, restart or lose the platform.
    /// Sequence: any history of such steps; every probe is recorded.
    /// Cause: two nodes acting on two lists. The oracle knows only the
    /// budget: over any window the probes of a service are at most the
    /// budget's worth and one more of each watcher of each upstream.
    #[test]
    fn the_fleet_keeps_the_budget(steps in prop::collection::vec(step(), 1..40)) {
        let mut fleet = Fleet::new();
        fleet.run(Duration::from_secs(12));
        for step in steps {
            fleet.apply(step);
        }
        fleet.run(Duration::from_secs(4));
        let window = Duration::from_secs(4);
        let allowed = BUDGET_PER_S as usize * 4 + UPSTREAMS * WATCHERS;
        let times: Vec<Instant> = fleet.probes.iter().map(|(at, ..)| *at).collect();
        for (first, at) in times.iter().enumerate() {
            let in_window = times[first..].iter().take_while(|t| **t < *at + window).count();
            prop_assert!(in_window <= allowed, "{in_window} probes within 4 s, {allowed} allowed");
        }
    }
}

/// The budget must also be used: a fleet at rest probes at its budget, not below.
#[test]
fn a_fleet_at_rest_probes_at_its_budget() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(12));
    let before = fleet.probes.len();
    fleet.run(Duration::from_secs(20));
    let sent = fleet.probes.len() - before;
    let budget = BUDGET_PER_S as usize * 20;
    assert!((budget * 9 / 10..=budget).contains(&sent), "{sent} of {budget}");
}
