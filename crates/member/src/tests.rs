//! Members against each other over a small fake network with loss, cuts and pauses.

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
    /// Datagrams that came while paused: the socket buffer keeps them.
    waiting: Vec<(SocketAddr, Packet)>,
    heard: Vec<Event>,
    /// What it knows of requests that crash upstreams.
    ledger: quarantine::Ledger,
    board: notice::Board,
}

struct Net {
    start: Instant,
    now: Instant,
    nodes: Vec<Node>,
    flying: Vec<(Instant, SocketAddr, SocketAddr, Packet)>,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    /// Share of packets that come once more, up to a second later: twice, and out of order.
    echo: f64,
    rng: SmallRng,
    packets: u64,
    bytes: u64,
    bytes_between_zones: u64,
    zones: usize,
}

impl Net {
    fn new(count: usize, seed: u64) -> Net {
        Net::in_zones(count, 1, seed)
    }

    /// `count` nodes, in turn in each of `zones` zones.
    fn in_zones(count: usize, zones: usize, seed: u64) -> Net {
        let start = Instant::now();
        let mut net = Net {
            start,
            now: start,
            nodes: Vec::new(),
            flying: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            echo: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            packets: 0,
            bytes: 0,
            bytes_between_zones: 0,
            zones,
        };
        for index in 0..count {
            let node = net.fresh(index, count, 0);
            net.nodes.push(node);
        }
        net
    }

    fn fresh(&mut self, index: usize, count: usize, incarnation: u64) -> Node {
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let mut members =
            Members::new(addr(index), self.zone(index), incarnation, Timing::default(), rng);
        members.set_listed((0..count).map(|i| (addr(i), self.zone(i))));
        let (waiting, heard, ledger, board) = Default::default();
        Node { members, running: true, paused: false, waiting, heard, ledger, board }
    }

    fn zone(&self, index: usize) -> SmolStr {
        format!("z{}", index % self.zones).into()
    }

    /// Starts node `index` anew, with the time of day as incarnation unless it `stepped_back`.
    fn restart(&mut self, index: usize, stepped_back: bool) {
        let time_of_day = (self.now - self.start).as_millis() as u64;
        let incarnation = if stepped_back { 0 } else { time_of_day };
        let node = self.fresh(index, self.nodes.len(), incarnation);
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
            if self.cut.contains(&link) {
                continue;
            }
            if self.rng.random_bool(self.echo) {
                let late = Duration::from_millis(self.rng.random_range(0..1_000));
                self.flying.push((self.now + LATENCY + late, addr(from), to, packet.clone()));
            }
            if !self.rng.random_bool(self.loss) {
                self.flying.push((self.now + LATENCY, addr(from), to, packet));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) =
                self.flying.drain(..).partition(|(at, ..)| *at <= now);
            self.flying = later;
            for (_, from, to, packet) in due {
                let index = usize::from(to.port() - 7_000);
                if self.nodes[index].running {
                    self.nodes[index].waiting.push((from, packet));
                }
            }
            for index in 0..self.nodes.len() {
                if !self.nodes[index].running || self.nodes[index].paused {
                    continue;
                }
                let mut out = Vec::new();
                for (from, packet) in std::mem::take(&mut self.nodes[index].waiting) {
                    out.extend(self.nodes[index].members.receive(from, packet, now));
                }
                out.extend(self.nodes[index].members.tick(now));
                let events = self.nodes[index].members.take_events();
                out.extend(self.take_findings(index, &events));
                out.extend(self.take_notices(index, &events));
                self.nodes[index].heard.extend(events);
                self.send(index, out);
            }
        }
    }

    /// Has a node take what it heard of requests that crash upstreams, and tell what is news.
    fn take_findings(&mut self, index: usize, events: &[Event]) -> Vec<Outgoing> {
        let unix_ms = (self.now - self.start).as_millis() as u64;
        let Node { members, ledger, .. } = &mut self.nodes[index];
        let mut out = Vec::new();
        for event in events {
            match event {
                Event::Finding(finding) => {
                    ledger.hear(finding, unix_ms);
                }
                Event::Differs { addr, held_digest } => {
                    let known = ledger.to_tell_a_peer(*held_digest);
                    out.extend(members.tell_all(*addr, known, self.now));
                }
                _ => {}
            }
        }
        let news = ledger.take_news(unix_ms);
        members.set_held_digest(ledger.digest());
        out.extend(news.into_iter().flat_map(|news| members.spread(news)));
        out
    }

    fn moment(&self) -> notice::Moment {
        let unix_ms = (self.now - self.start).as_millis() as u64;
        notice::Moment { at: self.now, unix_ms }
    }

    /// Has a node take what it heard of upstreams, and tell what is news.
    fn take_notices(&mut self, index: usize, events: &[Event]) -> Vec<Outgoing> {
        let moment = self.moment();
        let Node { members, board, .. } = &mut self.nodes[index];
        for event in events {
            if let Event::Notice(notice) = event {
                board.hear_peer(notice, moment);
            }
        }
        board
            .take_news()
            .into_iter()
            .flat_map(|news| members.spread_notice(news, moment.at))
            .collect()
    }

    /// Returns what running node `at` believes of node `of`.
    fn view(&self, at: usize, of: usize) -> Option<Standing> {
        self.nodes[at].members.standing(addr(of))
    }

    /// Asserts that every running node believes each other node to be `expected(index)`.
    fn assert_views(&self, expected: impl Fn(usize) -> &'static [Option<Standing>]) {
        for at in (0..self.nodes.len()).filter(|&i| self.nodes[i].running) {
            for of in (0..self.nodes.len()).filter(|&i| i != at) {
                let view = self.view(at, of);
                let t = self.now - self.start;
                assert!(expected(of).contains(&view), "{at} believes {of} {view:?} at {t:?}");
            }
        }
    }

    fn bad_notes_heard(&self, at: usize) -> BTreeSet<(SocketAddr, Verdict)> {
        let mut held = BTreeSet::new();
        for event in &self.nodes[at].heard {
            if let Event::Note(HealthReport { upstream, verdict, .. }) = event {
                held.retain(|(u, _)| u != upstream);
                if *verdict != Verdict::Healthy {
                    held.insert((*upstream, *verdict));
                }
            }
        }
        held
    }
}

const ALIVE: &[Option<Standing>] = &[Some(Standing::Alive)];
const GONE: &[Option<Standing>] = &[Some(Standing::Dead), Some(Standing::Left), None];

#[test]
fn nodes_find_each_other_through_the_platforms_list() {
    let mut net = Net::new(12, 1);
    net.run(Duration::from_secs(6));
    net.assert_views(|_| ALIVE);
}

/// Symptom: callers are sent to an entry node that is gone.
/// Sequence: one node is killed without a word.
/// Cause: trusting the platform's lagging list alone. The others must
/// believe it dead within seconds, and only it.
#[test]
fn a_killed_node_is_declared_dead_everywhere() {
    let mut net = Net::new(12, 2);
    net.run(Duration::from_secs(6));
    net.nodes[3].running = false;
    // Worst case: 11 peers pinged in turn (5.5 s), a period, 3 s of suspicion, spreading.
    net.run(Duration::from_secs(12));
    net.assert_views(|of| if of == 3 { GONE } else { ALIVE });
}

/// Symptom: a node that was only paused stays dead to the others for good.
/// Sequence: a node is paused past its suspicion, declared dead, and resumes.
/// Cause: no way to refute: the higher incarnation must win everywhere.
#[test]
fn a_paused_node_refutes_its_death() {
    let mut net = Net::new(8, 3);
    net.run(Duration::from_secs(6));
    net.nodes[2].paused = true;
    net.run(Duration::from_secs(15));
    assert_eq!(net.view(0, 2), Some(Standing::Dead));
    net.nodes[2].paused = false;
    net.run(Duration::from_secs(15));
    net.assert_views(|_| ALIVE);
}

/// Symptom: after a partition heals, each half keeps serving only its own half.
/// Sequence: two halves are cut from each other until each believes the other
/// dead; the cut ends.
/// Cause: nobody pings a node believed dead, so no one talks first.
#[test]
fn a_healed_partition_becomes_whole_again() {
    let mut net = Net::new(8, 4);
    net.run(Duration::from_secs(6));
    net.cut = (0..4).flat_map(|a| (4..8).map(move |b| (a, b))).collect();
    net.run(Duration::from_secs(20));
    assert_eq!(net.view(0, 7), Some(Standing::Dead));
    net.cut.clear();
    net.run(Duration::from_secs(30));
    net.assert_views(|_| ALIVE);
}

/// Symptom: for seconds after a planned stop callers are still sent to the node.
/// Sequence: a node leaves by itself.
/// Cause: leaving without telling: peers would only learn from missed pings.
#[test]
fn a_leaving_node_is_known_to_have_left_at_once() {
    let mut net = Net::new(8, 5);
    net.run(Duration::from_secs(6));
    let out = net.nodes[1].members.leave();
    net.send(1, out);
    net.nodes[1].running = false;
    net.run(Duration::from_millis(100));
    net.assert_views(|of| if of == 1 { &[Some(Standing::Left)] } else { ALIVE });
}

/// Symptom: a restarted node is ignored as dead by its peers.
/// Sequence: a node is killed, declared dead, and started anew at its address
/// with a lower incarnation (its time of day stepped back).
/// Cause: news of its former death outranks its new life.
#[test]
fn a_restarted_node_is_taken_back() {
    let mut net = Net::new(8, 6);
    net.run(Duration::from_secs(6));
    net.nodes[5].running = false;
    net.run(Duration::from_secs(12));
    net.assert_views(|of| if of == 5 { GONE } else { ALIVE });
    net.restart(5, true);
    net.run(Duration::from_secs(15));
    net.assert_views(|_| ALIVE);
}

/// Symptom: one flaky link makes a healthy node look dead.
/// Sequence: the link between two nodes is cut; both still reach the others.
/// Cause: judging by the direct ping alone instead of asking helpers.
#[test]
fn one_cut_link_kills_nobody() {
    let mut net = Net::new(8, 7);
    net.run(Duration::from_secs(6));
    net.cut = BTreeSet::from([(0, 1)]);
    net.run(Duration::from_secs(60));
    net.assert_views(|_| ALIVE);
    for node in &net.nodes {
        let deaths = node
            .heard
            .iter()
            .filter(|e| matches!(e, Event::Peer { standing: Standing::Dead, .. }))
            .count();
        assert_eq!(deaths, 0);
    }
}

/// Symptom: an upstream drains and only the node that probed it knows.
/// Sequence: one node notes an upstream draining and another failing; later
/// the failing one recovers; a node that starts afterwards must know too.
/// Cause: what one watcher learns is not spread, or not given to newcomers.
#[test]
fn notes_reach_every_node_and_newcomers() {
    let mut net = Net::new(10, 8);
    net.run(Duration::from_secs(6));
    let now = net.now;
    net.nodes[0].members.set_note(upstream(1), Verdict::Draining, 100, now);
    net.nodes[0].members.set_note(upstream(2), Verdict::Failing, 100, now);
    net.run(Duration::from_secs(4));
    let both = BTreeSet::from([(upstream(1), Verdict::Draining), (upstream(2), Verdict::Failing)]);
    for at in 1..10 {
        assert_eq!(net.bad_notes_heard(at), both, "node {at}");
    }
    let now = net.now;
    net.nodes[0].members.set_note(upstream(2), Verdict::Healthy, 200, now);
    net.run(Duration::from_secs(4));
    net.restart(9, false);
    net.run(Duration::from_secs(1));
    for at in 1..10 {
        let only_draining = BTreeSet::from([(upstream(1), Verdict::Draining)]);
        assert_eq!(net.bad_notes_heard(at), only_draining, "node {at}");
    }
}

/// Symptom: an upstream stays out of work for good although it is healthy.
/// Sequence: a watcher notes it failing and dies; nobody is left to say that
/// it recovered.
/// Cause: bad notes that hold until withdrawn. They must lapse.
#[test]
fn notes_of_a_dead_watcher_lapse() {
    let mut net = Net::new(6, 9);
    net.run(Duration::from_secs(6));
    let now = net.now;
    net.nodes[0].members.set_note(upstream(1), Verdict::Failing, 100, now);
    net.run(Duration::from_secs(45));
    assert_eq!(net.bad_notes_heard(3).len(), 1, "repeated while its watcher lives");
    net.nodes[0].running = false;
    net.run(Duration::from_secs(45));
    for at in 1..6 {
        assert!(net.bad_notes_heard(at).is_empty(), "node {at}");
    }
}

/// Symptom: what a node keeps of its peers grows with every VM ever replaced.
/// Sequence: a node leaves, the platform's list drops it, time passes.
/// Cause: peers kept for good, or dropped without telling who else keeps them.
#[test]
fn a_node_long_gone_is_forgotten() {
    let mut net = Net::new(3, 11);
    net.run(Duration::from_secs(6));
    let out = net.nodes[2].members.leave();
    net.send(2, out);
    net.nodes[2].running = false;
    net.nodes[0].members.set_listed([(addr(1), "z".into())]);
    net.run(Duration::from_secs(1));
    assert_eq!(net.view(0, 2), Some(Standing::Left));
    net.now += Duration::from_secs(601);
    net.run(Duration::from_secs(1));
    assert_eq!(net.view(0, 2), None);
    assert!(net.nodes[0].heard.contains(&Event::Forgotten { addr: addr(2) }));
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize, bool),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Mend,
    Loss(u8),
    Echo(u8),
    Note(u16, bool),
}

const FUZZ_NODES: usize = 6;

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..FUZZ_NODES;
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        (node.clone(), any::<bool>()).prop_map(|(i, back)| Fault::Restart(i, back)),
        node.clone().prop_map(Fault::Pause),
        node.clone().prop_map(Fault::Resume),
        (node.clone(), node).prop_map(|(a, b)| Fault::Cut(a.min(b), a.max(b))),
        Just(Fault::Mend),
        (0u8..40).prop_map(Fault::Loss),
        (0u8..60).prop_map(Fault::Echo),
        (1u16..4, any::<bool>()).prop_map(|(u, bad)| Fault::Note(u, bad)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x3e3b_e125),
        ..ProptestConfig::default()
    })]

    /// Symptom: after a bad hour, nodes disagree for good on who is alive or
    /// on what was noted of an upstream.
    /// Sequence: any mix of kills, restarts, pauses, cuts, loss, packets that come twice and out of
    /// order, and notes;
    /// then the network is whole and nothing changes.
    /// Cause: an update that loses to an older one, or is no longer spread.
    #[test]
    fn views_agree_once_faults_end(
        faults in prop::collection::vec((fault(), 0u64..6_000), 1..16),
        seed in any::<u64>(),
        zones in 1..=3usize,
    ) {
        let mut net = Net::in_zones(FUZZ_NODES, zones, seed);
        net.run(Duration::from_secs(6));
        let mut noted = 1_000;
        for (fault, wait_ms) in faults {
            match fault {
                Fault::Kill(i) => net.nodes[i].running = false,
                Fault::Restart(i, back) => net.restart(i, back),
                Fault::Pause(i) => net.nodes[i].paused = true,
                Fault::Resume(i) => net.nodes[i].paused = false,
                Fault::Cut(a, b) => {
                    net.cut.insert((a, b));
                }
                Fault::Mend => net.cut.clear(),
                Fault::Loss(percent) => net.loss = f64::from(percent) / 100.0,
                Fault::Echo(percent) => net.echo = f64::from(percent) / 100.0,
                Fault::Note(port, bad) if net.nodes[0].running => {
                    let verdict = if bad { Verdict::Failing } else { Verdict::Healthy };
                    noted += 1;
                    let now = net.now;
                    net.nodes[0].members.set_note(upstream(port), verdict, noted, now);
                }
                Fault::Note(..) => {}
            }
            net.run(Duration::from_millis(wait_ms));
        }
        net.cut.clear();
        net.loss = 0.0;
        net.echo = 0.0;
        net.nodes.iter_mut().for_each(|n| n.paused = false);
        // Longer than a note's time to live, so that repeats and lapses are done too.
        net.run(Duration::from_secs(75));
        let running: Vec<bool> = net.nodes.iter().map(|n| n.running).collect();
        net.assert_views(|of| if running[of] { ALIVE } else { GONE });
        let truth: BTreeSet<(SocketAddr, Verdict)> = match running[0] {
            true => net.nodes[0].members.own_bad_notes(),
            false => BTreeSet::new(),
        };
        for at in (1..FUZZ_NODES).filter(|&i| running[i]) {
            prop_assert_eq!(&net.bad_notes_heard(at), &truth, "node {}", at);
        }
    }
}

impl Members {
    fn own_bad_notes(&self) -> BTreeSet<(SocketAddr, Verdict)> {
        let own = self.notes.bad().into_iter().filter(|n| n.watcher == self.me.addr);
        own.map(|n| (n.upstream, n.verdict)).collect()
    }
}

/// Symptom: a zone's failure floods the links between entry nodes.
/// Sequence: one node notes 700 upstreams failing at the same moment (a zone
/// of letter 1 has 353 upstreams and two watchers each).
/// Cause: packets that grow with the news. Each stays within its bound, and
/// the news reaches everyone all the same.
#[test]
fn a_burst_of_notes_stays_within_packets_and_reaches_everyone() {
    let mut net = Net::new(8, 10);
    net.run(Duration::from_secs(6));
    let now = net.now;
    for port in 1..=700 {
        net.nodes[0].members.set_note(upstream(port), Verdict::Failing, 100, now);
    }
    let (packets, bytes) = (net.packets, net.bytes);
    net.run(Duration::from_secs(40));
    let (packets, bytes) = (net.packets - packets, net.bytes - bytes);
    for at in 1..8 {
        assert_eq!(net.bad_notes_heard(at).len(), 700, "node {at}");
    }
    assert!(bytes <= packets * MAX_PACKET_BYTES as u64);
}
