//! Tests of several [`Members`] on a simulated network with loss, cut links and paused nodes.

mod findings;
mod large;
mod notices;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use wire::{HealthReport, Packet, Standing, Verdict, MAX_PACKET_BYTES};

use crate::{Event, Members, Outgoing, Timing};

const STEP: Duration = Duration::from_millis(50);
const LATENCY: Duration = Duration::from_millis(5);

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}

fn upstream(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], port))
}

struct Node {
    members: Members,
    running: bool,
    paused: bool,
    /// Datagrams not handled yet: while the node is paused, its socket buffer keeps them.
    inbox: Vec<(SocketAddr, Packet)>,
    events_seen: Vec<Event>,
    /// What the node knows about requests that crash upstreams.
    quarantine: quarantine::Quarantine,
    backpressure: notice::Backpressure,
}

struct Network {
    start: Instant,
    now: Instant,
    nodes: Vec<Node>,
    in_flight: Vec<(Instant, SocketAddr, SocketAddr, Packet)>,
    cut_links: BTreeSet<(usize, usize)>,
    loss_rate: f64,
    /// Share of packets that are delivered a second time, up to a second late and thus out of
    /// order.
    duplicate_rate: f64,
    rng: SmallRng,
    packets: u64,
    bytes: u64,
    bytes_between_zones: u64,
    zones: usize,
}

impl Network {
    fn new(count: usize, seed: u64) -> Network {
        Network::in_zones(count, 1, seed)
    }

    /// Creates `count` nodes, assigned to `zones` zones in turn.
    fn in_zones(count: usize, zones: usize, seed: u64) -> Network {
        let start = Instant::now();
        let mut network = Network {
            start,
            now: start,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            packets: 0,
            bytes: 0,
            bytes_between_zones: 0,
            zones,
        };
        for index in 0..count {
            let node = network.new_node(index, count, 0);
            network.nodes.push(node);
        }
        network
    }

    fn new_node(&mut self, index: usize, count: usize, incarnation: u64) -> Node {
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let mut members =
            Members::new(addr(index), self.zone(index), incarnation, Timing::default(), rng);
        members.set_listed((0..count).map(|i| (addr(i), self.zone(i))));
        let (inbox, events_seen, quarantine, backpressure) = Default::default();
        Node { members, running: true, paused: false, inbox, events_seen, quarantine, backpressure }
    }

    fn zone(&self, index: usize) -> SmolStr {
        format!("z{}", index % self.zones).into()
    }

    /// Restarts node `index`. Its incarnation is the wall clock, or 0 if that has `stepped_back`.
    fn restart(&mut self, index: usize, stepped_back: bool) {
        let wall_clock_ms = (self.now - self.start).as_millis() as u64;
        let incarnation = if stepped_back { 0 } else { wall_clock_ms };
        let node = self.new_node(index, self.nodes.len(), incarnation);
        self.nodes[index] = node;
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, packet } in out {
            let bytes = packet.encode();
            assert!(bytes.len() <= MAX_PACKET_BYTES, "{} bytes", bytes.len());
            self.packets += 1;
            self.bytes += bytes.len() as u64;
            let target = usize::from(to.port() - 7_000);
            if self.zone(from) != self.zone(target) {
                self.bytes_between_zones += bytes.len() as u64;
            }
            let link = (from.min(target), from.max(target));
            if self.cut_links.contains(&link) {
                continue;
            }
            if self.rng.random_bool(self.duplicate_rate) {
                let late = Duration::from_millis(self.rng.random_range(0..1_000));
                self.in_flight.push((self.now + LATENCY + late, addr(from), to, packet.clone()));
            }
            if !self.rng.random_bool(self.loss_rate) {
                self.in_flight.push((self.now + LATENCY, addr(from), to, packet));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) =
                self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
            self.in_flight = later;
            for (_, from, to, packet) in due {
                let index = usize::from(to.port() - 7_000);
                if self.nodes[index].running {
                    self.nodes[index].inbox.push((from, packet));
                }
            }
            for index in 0..self.nodes.len() {
                if !self.nodes[index].running || self.nodes[index].paused {
                    continue;
                }
                let mut out = Vec::new();
                for (from, packet) in std::mem::take(&mut self.nodes[index].inbox) {
                    out.extend(self.nodes[index].members.receive(from, packet, now));
                }
                out.extend(self.nodes[index].members.tick(now));
                let events = self.nodes[index].members.take_events();
                out.extend(self.merge_findings(index, &events));
                out.extend(self.merge_notices(index, &events));
                self.nodes[index].events_seen.extend(events);
                self.send(index, out);
            }
        }
    }

    /// Makes a node merge the findings it received, and returns packets with what is new to it.
    fn merge_findings(&mut self, index: usize, events: &[Event]) -> Vec<Outgoing> {
        let unix_ms = (self.now - self.start).as_millis() as u64;
        let Node { members, quarantine, .. } = &mut self.nodes[index];
        let mut out = Vec::new();
        for event in events {
            match event {
                Event::Finding(finding) => {
                    quarantine.merge_remote(finding, unix_ms);
                }
                Event::DigestMismatch { addr, held_digest } => {
                    let findings = quarantine.findings_for_peer(*held_digest);
                    out.extend(members.send_findings(*addr, findings, self.now));
                }
                _ => {}
            }
        }
        let new_findings = quarantine.take_new_findings(unix_ms);
        members.set_held_digest(quarantine.digest());
        out.extend(
            new_findings.into_iter().flat_map(|new_finding| members.broadcast_finding(new_finding)),
        );
        out
    }

    fn moment(&self) -> notice::Moment {
        let unix_ms = (self.now - self.start).as_millis() as u64;
        notice::Moment { at: self.now, unix_ms }
    }

    /// Makes a node merge the notices it received, and returns packets with what is new to it.
    fn merge_notices(&mut self, index: usize, events: &[Event]) -> Vec<Outgoing> {
        let moment = self.moment();
        let Node { members, backpressure, .. } = &mut self.nodes[index];
        for event in events {
            if let Event::Notice(notice) = event {
                backpressure.apply_notice(notice, moment);
            }
        }
        backpressure
            .take_new_notices()
            .into_iter()
            .flat_map(|new_notice| members.broadcast_notice(new_notice, moment.at))
            .collect()
    }

    /// Returns the standing of node `of` as seen by node `at`.
    fn standing_of(&self, at: usize, of: usize) -> Option<Standing> {
        self.nodes[at].members.standing(addr(of))
    }

    /// Asserts that every running node sees each other node `i` in one of the standings
    /// `expected(i)`.
    fn assert_standings(&self, expected: impl Fn(usize) -> &'static [Option<Standing>]) {
        for at in (0..self.nodes.len()).filter(|&i| self.nodes[i].running) {
            for of in (0..self.nodes.len()).filter(|&i| i != at) {
                let standing = self.standing_of(at, of);
                let elapsed = self.now - self.start;
                assert!(
                    expected(of).contains(&standing),
                    "node {at} sees {of} as {standing:?} after {elapsed:?}"
                );
            }
        }
    }

    fn unhealthy_reports_seen(&self, at: usize) -> BTreeSet<(SocketAddr, Verdict)> {
        let mut unhealthy = BTreeSet::new();
        for event in &self.nodes[at].events_seen {
            if let Event::HealthReport(HealthReport { upstream, verdict, .. }) = event {
                unhealthy.retain(|(u, _)| u != upstream);
                if *verdict != Verdict::Healthy {
                    unhealthy.insert((*upstream, *verdict));
                }
            }
        }
        unhealthy
    }
}

const ALIVE: &[Option<Standing>] = &[Some(Standing::Alive)];
const GONE: &[Option<Standing>] = &[Some(Standing::Dead), Some(Standing::Left), None];

#[test]
fn nodes_discover_each_other_through_the_platforms_list() {
    let mut network = Network::new(12, 1);
    network.run(Duration::from_secs(6));
    network.assert_standings(|_| ALIVE);
}

/// Guards against callers that are sent to an entry node that is gone, because the platform's list
/// lags: when a node is killed, all others must declare it dead within seconds, and no other node.
#[test]
fn a_killed_node_is_declared_dead_everywhere() {
    let mut network = Network::new(12, 2);
    network.run(Duration::from_secs(6));
    network.nodes[3].running = false;
    // Worst case: 11 peers pinged in turn (5.5 s), one interval, 3 s of suspicion, dissemination.
    network.run(Duration::from_secs(12));
    network.assert_standings(|of| if of == 3 { GONE } else { ALIVE });
}

/// Guards against a node that stays dead to its peers after a pause: paused for longer than the
/// suspicion timeout, it is declared dead, and after it resumes its higher incarnation must win
/// everywhere.
#[test]
fn a_paused_node_refutes_its_death() {
    let mut network = Network::new(8, 3);
    network.run(Duration::from_secs(6));
    network.nodes[2].paused = true;
    network.run(Duration::from_secs(15));
    assert_eq!(network.standing_of(0, 2), Some(Standing::Dead));
    network.nodes[2].paused = false;
    network.run(Duration::from_secs(15));
    network.assert_standings(|_| ALIVE);
}

/// Guards against halves that stay separate after a partition heals: each half has declared the
/// other dead, and if no node pings a dead node, no node sends the first packet.
#[test]
fn a_healed_partition_merges_again() {
    let mut network = Network::new(8, 4);
    network.run(Duration::from_secs(6));
    network.cut_links = (0..4).flat_map(|a| (4..8).map(move |b| (a, b))).collect();
    network.run(Duration::from_secs(20));
    assert_eq!(network.standing_of(0, 7), Some(Standing::Dead));
    network.cut_links.clear();
    network.run(Duration::from_secs(30));
    network.assert_standings(|_| ALIVE);
}

/// Time within which the parts of a fleet must have met again.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Returns `count` nodes that list only the first three as seeds, which are gone for good.
fn network_without_seeds(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run(Duration::from_secs(5));
    for node in &mut network.nodes {
        node.members.set_listed((0..3).map(|seed| (addr(seed), "z0".into())));
    }
    network.nodes[..3].iter_mut().for_each(|node| node.running = false);
    network.run(Duration::from_secs(10));
    network
}

/// Guards against halves that stay separate after a partition heals because no listed node is left:
/// the seeds have been replaced, and the settings are stale.
#[test]
fn a_healed_partition_merges_again_without_seeds() {
    let mut network = network_without_seeds(11, 7);
    network.cut_links = (3..7).flat_map(|a| (7..11).map(move |b| (a, b))).collect();
    network.run(Duration::from_secs(10));
    assert_eq!(network.standing_of(3, 7), Some(Standing::Dead));
    network.cut_links.clear();
    network.run(RECOVERY_TIME);
    let expected = |of| if of < 3 { Standing::Dead } else { Standing::Alive };
    for at in 3..11 {
        for of in (0..11).filter(|of| *of != at) {
            assert_eq!(network.standing_of(at, of), Some(expected(of)), "{of} at {at}");
        }
    }
}

/// Guards against a restarted node that stays alone because the seeds of its settings are gone: the
/// others remember that it left.
#[test]
fn a_restarted_node_is_found_without_seeds() {
    let mut network = network_without_seeds(9, 8);
    let out = network.nodes[5].members.leave();
    network.send(5, out);
    network.run(Duration::from_secs(6));
    assert_eq!(network.standing_of(4, 5), Some(Standing::Left));
    network.restart(5, false);
    network.nodes[5].members.set_listed((0..3).map(|seed| (addr(seed), "z0".into())));
    network.run(RECOVERY_TIME);
    for other in (3..9).filter(|other| *other != 5) {
        assert_eq!(network.standing_of(other, 5), Some(Standing::Alive), "at {other}");
        assert_eq!(network.standing_of(5, other), Some(Standing::Alive), "{other}");
    }
}

/// Time in which the parts of a fleet may each grant a whole quota: 75 requests of tolerance for a team of
/// 100 per second.
const MAX_SPLIT_TIME: Duration = Duration::from_millis(750);

/// Guards against quotas that are granted twice: seeds that restart together know only each other, and
/// the rest of the fleet must meet all of them at once.
#[test]
fn seeds_that_restart_together_are_met_at_once() {
    for seed in 0..40 {
        let mut network = network_without_seeds(13, seed);
        let list = |node: &mut Node| {
            node.members.set_listed((3..6).map(|seed| (addr(seed), "z0".into())));
        };
        network.nodes.iter_mut().for_each(list);
        for index in 3..6 {
            let out = network.nodes[index].members.leave();
            network.send(index, out);
        }
        network.run(Duration::from_secs(5));
        for index in 3..6 {
            network.restart(index, false);
            list(&mut network.nodes[index]);
        }
        network.run(MAX_SPLIT_TIME);
        for (at, of) in (3..13).flat_map(|at| (3..13).map(move |of| (at, of))) {
            let standing = network.standing_of(at, of);
            assert!(at == of || standing == Some(Standing::Alive), "{of} at {at}: {standing:?}");
        }
    }
}

/// Guards against callers that are sent to a node for seconds after its planned stop: without an
/// announcement, peers notice only by missed pings.
#[test]
fn a_leaving_node_is_known_to_have_left_at_once() {
    let mut network = Network::new(8, 5);
    network.run(Duration::from_secs(6));
    let out = network.nodes[1].members.leave();
    network.send(1, out);
    network.nodes[1].running = false;
    network.run(Duration::from_millis(100));
    network.assert_standings(|of| if of == 1 { &[Some(Standing::Left)] } else { ALIVE });
}

/// Guards against a restarted node that its peers ignore as dead: it was declared dead, and starts
/// again at the same address with a lower incarnation because its wall clock stepped back, so that
/// the old update on its death overrides the new incarnation.
#[test]
fn a_restarted_node_is_alive_again() {
    let mut network = Network::new(8, 6);
    network.run(Duration::from_secs(6));
    network.nodes[5].running = false;
    network.run(Duration::from_secs(12));
    network.assert_standings(|of| if of == 5 { GONE } else { ALIVE });
    network.restart(5, true);
    network.run(Duration::from_secs(15));
    network.assert_standings(|_| ALIVE);
}

/// Guards against a healthy node that is declared dead because one link fails: the link between two
/// nodes is cut, but other nodes reach both, so that indirect pings succeed.
#[test]
fn one_cut_link_declares_no_node_dead() {
    let mut network = Network::new(8, 7);
    network.run(Duration::from_secs(6));
    network.cut_links = BTreeSet::from([(0, 1)]);
    network.run(Duration::from_secs(60));
    network.assert_standings(|_| ALIVE);
    for node in &network.nodes {
        let deaths = node
            .events_seen
            .iter()
            .filter(|e| matches!(e, Event::PeerChanged { standing: Standing::Dead, .. }))
            .count();
        assert_eq!(deaths, 0);
    }
}

/// Guards against health reports that stay with the node that probed, or that new nodes do not
/// receive: one node reports one upstream as draining and another as failing, the latter recovers,
/// and then a node restarts.
#[test]
fn health_reports_reach_every_node_and_new_nodes() {
    let mut network = Network::new(10, 8);
    network.run(Duration::from_secs(6));
    let now = network.now;
    network.nodes[0].members.report_health(upstream(1), Verdict::Draining, 100, now);
    network.nodes[0].members.report_health(upstream(2), Verdict::Failing, 100, now);
    network.run(Duration::from_secs(4));
    let both = BTreeSet::from([(upstream(1), Verdict::Draining), (upstream(2), Verdict::Failing)]);
    for at in 1..10 {
        assert_eq!(network.unhealthy_reports_seen(at), both, "node {at}");
    }
    let now = network.now;
    network.nodes[0].members.report_health(upstream(2), Verdict::Healthy, 200, now);
    network.run(Duration::from_secs(4));
    network.restart(9, false);
    network.run(Duration::from_secs(1));
    for at in 1..10 {
        let only_draining = BTreeSet::from([(upstream(1), Verdict::Draining)]);
        assert_eq!(network.unhealthy_reports_seen(at), only_draining, "node {at}");
    }
}

/// Guards against a healthy upstream that stays out of use forever: its watcher reports it as
/// failing and dies, so that no node is left to report its recovery. The report must expire.
#[test]
fn health_reports_of_a_dead_watcher_expire() {
    let mut network = Network::new(6, 9);
    network.run(Duration::from_secs(6));
    let now = network.now;
    network.nodes[0].members.report_health(upstream(1), Verdict::Failing, 100, now);
    network.run(Duration::from_secs(45));
    assert_eq!(network.unhealthy_reports_seen(3).len(), 1, "the watcher repeats it while it runs");
    network.nodes[0].running = false;
    network.run(Duration::from_secs(45));
    for at in 1..6 {
        assert!(network.unhealthy_reports_seen(at).is_empty(), "node {at}");
    }
}

/// Guards against a peer table that grows with every replaced VM: a node that has left and is no
/// longer on the platform's list must be removed, with an event for others that keep an entry for
/// it.
#[test]
fn a_node_that_left_long_ago_is_removed() {
    let mut network = Network::new(3, 11);
    network.run(Duration::from_secs(6));
    let out = network.nodes[2].members.leave();
    network.send(2, out);
    network.nodes[2].running = false;
    network.nodes[0].members.set_listed([(addr(1), "z".into())]);
    network.run(Duration::from_secs(1));
    assert_eq!(network.standing_of(0, 2), Some(Standing::Left));
    network.now += Duration::from_secs(601);
    network.run(Duration::from_secs(1));
    assert_eq!(network.standing_of(0, 2), None);
    assert!(network.nodes[0].events_seen.contains(&Event::PeerRemoved { addr: addr(2) }));
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize, bool),
    Pause(usize),
    Resume(usize),
    CutLink(usize, usize),
    RestoreLinks,
    Loss(u8),
    Duplicate(u8),
    HealthReport(u16, bool),
}

const FUZZ_NODES: usize = 6;

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..FUZZ_NODES;
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        (node.clone(), any::<bool>()).prop_map(|(i, stepped_back)| Fault::Restart(i, stepped_back)),
        node.clone().prop_map(Fault::Pause),
        node.clone().prop_map(Fault::Resume),
        (node.clone(), node).prop_map(|(a, b)| Fault::CutLink(a.min(b), a.max(b))),
        Just(Fault::RestoreLinks),
        (0u8..40).prop_map(Fault::Loss),
        (0u8..60).prop_map(Fault::Duplicate),
        (1u16..4, any::<bool>()).prop_map(|(port, failing)| Fault::HealthReport(port, failing)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x3e3b_e125),
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that permanently disagree on who is alive or on the health of an
    /// upstream, because an update loses to an older one or is no longer sent. After any mix of
    /// kills, restarts, pauses, cut links, loss, duplicate and reordered packets and health
    /// reports, the network recovers and nothing changes any more.
    #[test]
    fn standings_and_health_reports_converge_after_faults(
        faults in prop::collection::vec((fault(), 0u64..6_000), 1..16),
        seed in any::<u64>(),
        zones in 1..=3usize,
    ) {
        let mut network = Network::in_zones(FUZZ_NODES, zones, seed);
        network.run(Duration::from_secs(6));
        let mut report_unix_ms = 1_000;
        for (fault, wait_ms) in faults {
            match fault {
                Fault::Kill(i) => network.nodes[i].running = false,
                Fault::Restart(i, stepped_back) => network.restart(i, stepped_back),
                Fault::Pause(i) => network.nodes[i].paused = true,
                Fault::Resume(i) => network.nodes[i].paused = false,
                Fault::CutLink(a, b) => {
                    network.cut_links.insert((a, b));
                }
                Fault::RestoreLinks => network.cut_links.clear(),
                Fault::Loss(percent) => network.loss_rate = f64::from(percent) / 100.0,
                Fault::Duplicate(percent) => network.duplicate_rate = f64::from(percent) / 100.0,
                Fault::HealthReport(port, failing) if network.nodes[0].running => {
                    let verdict = if failing { Verdict::Failing } else { Verdict::Healthy };
                    report_unix_ms += 1;
                    let now = network.now;
                    network.nodes[0].members.report_health(
                        upstream(port),
                        verdict,
                        report_unix_ms,
                        now,
                    );
                }
                Fault::HealthReport(..) => {}
            }
            network.run(Duration::from_millis(wait_ms));
        }
        network.cut_links.clear();
        network.loss_rate = 0.0;
        network.duplicate_rate = 0.0;
        network.nodes.iter_mut().for_each(|n| n.paused = false);
        // Longer than the TTL of a health report, so that it has been repeated or has expired.
        network.run(Duration::from_secs(75));
        let running: Vec<bool> = network.nodes.iter().map(|n| n.running).collect();
        network.assert_standings(|of| if running[of] { ALIVE } else { GONE });
        let expected: BTreeSet<(SocketAddr, Verdict)> = match running[0] {
            true => network.nodes[0].members.own_unhealthy_reports(),
            false => BTreeSet::new(),
        };
        for at in (1..FUZZ_NODES).filter(|&i| running[i]) {
            prop_assert_eq!(&network.unhealthy_reports_seen(at), &expected, "node {}", at);
        }
    }
}

impl Members {
    fn own_unhealthy_reports(&self) -> BTreeSet<(SocketAddr, Verdict)> {
        let own = self
            .health_reports
            .unhealthy()
            .into_iter()
            .filter(|report| report.watcher == self.local.addr);
        own.map(|report| (report.upstream, report.verdict)).collect()
    }
}

/// Guards against the failure of a zone flooding the links between entry nodes with packets that
/// grow with the number of reports. One node reports 700 upstreams as failing at once: an
/// availability zone of the users has 353 upstreams, each with two watchers. Packets stay within
/// their maximum size, and every report still reaches every node.
#[test]
fn a_burst_of_health_reports_stays_within_the_packet_size_and_reaches_every_node() {
    let mut network = Network::new(8, 10);
    network.run(Duration::from_secs(6));
    let now = network.now;
    for port in 1..=700 {
        network.nodes[0].members.report_health(upstream(port), Verdict::Failing, 100, now);
    }
    let (packets, bytes) = (network.packets, network.bytes);
    network.run(Duration::from_secs(40));
    let (packets, bytes) = (network.packets - packets, network.bytes - bytes);
    for at in 1..8 {
        assert_eq!(network.unhealthy_reports_seen(at).len(), 700, "node {at}");
    }
    assert!(bytes <= packets * MAX_PACKET_BYTES as u64);
}
