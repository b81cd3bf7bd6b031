//! Many nodes with a clock of their own, whose messages may be late or lost.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use team::{Quota, Team, Teams};

use crate::{Answer, Attempt, Bounds, Held, Issue, Member, Message, Node, Phase, Refusal, Step};
use crate::{Seq, Timeliness, ASK_TIMEOUT};

pub const BOUNDS: Bounds = Bounds { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };

/// Name of the only team.
const TEAM: &str = "north";

/// Number of nodes that all nodes know from their start.
const SEEDS: usize = 3;

const TICK: Duration = Duration::from_millis(100);

/// Time after which a node considers a peer dead, and alive again, and how much it varies.
const DEATH: (Duration, Duration) = (Duration::from_millis(3_300), Duration::from_millis(1_400));
const REVIVAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(700));

/// Time from its start after which a node knows its peers.
const DISCOVERY: Duration = Duration::from_secs(1);

/// Header bytes of a UDP datagram over IPv4.
const HEADER_BYTES: u64 = 28;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8], 7_601))
}

pub fn teams(quota: Option<Quota>) -> Teams {
    let team = Team { name: TEAM.into(), keys: Vec::new(), priority: 0, quota };
    Teams::new(vec![team], []).expect("valid teams")
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Delivery { from: usize, to: usize, message: Message },
    Timeout { node: usize, start: u32, seq: Seq },
    Tick { node: usize, start: u32 },
    GiveBack { node: usize, start: u32, held: Held },
}

struct SimNode {
    core: Node,
    is_up: bool,
    /// Number of starts; events of an earlier one are void.
    start: u32,
    started_at: Duration,
    /// Handles nothing until then.
    paused_until: Duration,
    /// Nodes of different groups do not reach each other.
    group: u8,
    /// Whether nothing that it sends arrives.
    is_mute: bool,
    /// Whether it has read the configuration, from the platform or a peer.
    has_config: bool,
    attempts: HashMap<Seq, Attempt>,
    /// Peers whose reachability differs from what the node believes, and since when.
    differs_since: Vec<Option<Duration>>,
    /// Whether the node believes that each peer is alive; `None` until it knows of it.
    believed_alive: Vec<Option<bool>>,
}

/// How many requests had which outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub allowed: u64,
    pub over_quota: u64,
    pub no_owner: u64,
    pub packets: u64,
    pub bytes: u64,
}

pub struct Fleet {
    nodes: Vec<SimNode>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    pub now: Duration,
    base: Instant,
    teams: Teams,
    pub rng: SmallRng,
    pub loss: f64,
    pub max_delay: Duration,
    /// Share of the requests that give their token back after up to 2 s.
    pub given_back: f64,
    /// Share of the requests that are late.
    pub late_share: f64,
    /// Time after which a node considers a peer alive again, and how much it varies.
    pub revival: (Duration, Duration),
    /// Whether peers can become unreachable; without it all nodes know each other from the start.
    has_faults: bool,
    /// Times at which requests that kept their token got it.
    pub used: Vec<Duration>,
    pub totals: Totals,
    pub retry_after: Vec<Duration>,
}

impl Fleet {
    /// Starts `count` nodes.
    pub fn start(count: usize, quota: Quota, has_faults: bool, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            now: Duration::ZERO,
            base: Instant::now(),
            teams: teams(Some(quota)),
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            max_delay: ms(3),
            given_back: 0.0,
            late_share: 0.0,
            revival: REVIVAL,
            has_faults,
            used: Vec::new(),
            totals: Totals::default(),
            retry_after: Vec::new(),
        };
        for n in 0..count {
            let core = fleet.new_core(n);
            fleet.nodes.push(SimNode {
                core,
                is_up: true,
                start: 0,
                started_at: Duration::ZERO,
                paused_until: Duration::ZERO,
                group: 0,
                is_mute: false,
                has_config: true,
                attempts: HashMap::new(),
                differs_since: vec![None; count],
                believed_alive: vec![(!has_faults).then_some(true); count],
            });
            fleet.schedule_tick(n);
        }
        fleet
    }

    fn new_core(&mut self, n: usize) -> Node {
        let seeds = (0..SEEDS).map(addr);
        Node::new(addr(n), seeds, BOUNDS, SmallRng::seed_from_u64(self.rng.random()))
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn set_quota(&mut self, quota: Option<Quota>) {
        self.teams = teams(quota);
        let now = self.instant();
        for node in &mut self.nodes {
            node.core.apply_teams(&self.teams, now);
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].is_up = false;
        self.nodes[n].start += 1;
        self.nodes[n].attempts.clear();
    }

    pub fn restart(&mut self, n: usize) {
        self.kill(n);
        let core = self.new_core(n);
        let (now, count) = (self.now, self.len());
        let node = &mut self.nodes[n];
        node.core = core;
        node.is_up = true;
        node.has_config = false;
        node.started_at = now;
        node.believed_alive = vec![None; count];
        node.differs_since = vec![None; count];
        self.schedule_tick(n);
    }

    pub fn pause(&mut self, n: usize, time: Duration) {
        self.nodes[n].paused_until = self.now + time;
    }

    pub fn set_group(&mut self, n: usize, group: u8) {
        self.nodes[n].group = group;
    }

    pub fn set_mute(&mut self, n: usize, is_mute: bool) {
        self.nodes[n].is_mute = is_mute;
    }

    /// Lets a request arrive at a node after `delay`.
    pub fn arrive(&mut self, node: usize, delay: Duration) {
        self.schedule(delay, Event::Arrival(node));
    }

    /// Lets requests arrive at `rate_per_s` for `time`, at the nodes that `choose` returns, and runs
    /// until then.
    pub fn run(
        &mut self,
        time: Duration,
        rate_per_s: f64,
        mut choose: impl FnMut(&mut SmallRng, u64) -> usize,
    ) {
        let interval_s =
            |rng: &mut SmallRng| -rng.random_range(f64::EPSILON..1.0).ln() / rate_per_s;
        let (mut at_s, mut count) = (interval_s(&mut self.rng), 0);
        while at_s < time.as_secs_f64() {
            let node = choose(&mut self.rng, count);
            count += 1;
            self.arrive(node, Duration::from_secs_f64(at_s));
            at_s += interval_s(&mut self.rng);
        }
        self.run_until(self.now + time);
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending.remove(&id).expect("scheduled");
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the largest number of tokens used in a window, from `since` on.
    pub fn most_used(&self, since: Duration) -> usize {
        let mut used: Vec<Duration> =
            self.used.iter().filter(|at| **at >= since).copied().collect();
        used.sort();
        let (mut first, mut most) = (0, 0);
        for (last, at) in used.iter().enumerate() {
            while *at - used[first] > BOUNDS.window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.now + delay, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn schedule_tick(&mut self, n: usize) {
        let (delay, start) = (TICK.mul_f64(self.rng.random()), self.nodes[n].start);
        self.schedule(delay, Event::Tick { node: n, start });
    }

    fn handle(&mut self, event: Event) {
        let node = match event {
            Event::Arrival(node) => node,
            Event::Delivery { to, .. } => to,
            Event::Timeout { node, .. } | Event::Tick { node, .. } => node,
            Event::GiveBack { node, .. } => node,
        };
        if self.nodes[node].paused_until > self.now {
            let delay = self.nodes[node].paused_until - self.now;
            return self.schedule(delay, event);
        }
        let (now, up) = (self.instant(), self.nodes[node].is_up);
        match event {
            // Callers of a node that is down go elsewhere.
            Event::Arrival(_) if !up || !self.nodes[node].has_config => {}
            Event::Arrival(_) => {
                let team = self.teams.by_name(TEAM).expect("configured").clone();
                let Some(quota) = team.quota else { return };
                // Not drawn without late requests, so that the seeds of other tests stay as they are.
                let timeliness =
                    match self.late_share > 0.0 && self.rng.random_bool(self.late_share) {
                        true => Timeliness::Late,
                        false => Timeliness::InTime,
                    };
                let (attempt, step) = self.nodes[node].core.begin(&team, &quota, timeliness, now);
                self.follow(node, attempt, step);
            }
            Event::Delivery { .. } if !up => {}
            Event::Delivery { .. } if !self.nodes[node].has_config => {}
            Event::Delivery { from, to, message } => {
                let core = &mut self.nodes[to].core;
                match core.receive(addr(from), message, &self.teams, now) {
                    Issue::Nothing => {}
                    Issue::Reply(message) => self.send(to, from, message),
                    Issue::Answered(seq, answer) => self.resume(to, seq, Some(answer)),
                }
            }
            Event::Timeout { node, start, seq } if start == self.nodes[node].start => {
                self.resume(node, seq, None);
            }
            Event::GiveBack { node, start, held } if start == self.nodes[node].start => {
                self.nodes[node].core.give_back(&TEAM.into(), held, now);
            }
            Event::Tick { node, start } if start == self.nodes[node].start => {
                self.update_view(node);
                self.read_config(node);
                for (to, message) in self.nodes[node].core.tick(&self.teams, now) {
                    let to = (0..self.len()).find(|n| addr(*n) == to).expect("a node");
                    self.send(node, to, message);
                }
                self.schedule(TICK, Event::Tick { node, start });
            }
            Event::Timeout { .. } | Event::GiveBack { .. } | Event::Tick { .. } => {}
        }
    }

    fn resume(&mut self, n: usize, seq: Seq, answer: Option<Answer>) {
        let now = self.instant();
        let Some(mut attempt) = self.nodes[n].attempts.remove(&seq) else { return };
        let step = match answer {
            Some(answer) => self.nodes[n].core.answered(&mut attempt, answer, now),
            None => self.nodes[n].core.timed_out(&mut attempt, now),
        };
        self.follow(n, attempt, step);
    }

    fn follow(&mut self, n: usize, attempt: Attempt, step: Step) {
        let start = self.nodes[n].start;
        match step {
            Step::Granted(held) => {
                self.totals.allowed += 1;
                if self.given_back > 0.0 && self.rng.random_bool(self.given_back) {
                    let delay = ms(self.rng.random_range(0..2_000));
                    return self.schedule(delay, Event::GiveBack { node: n, start, held });
                }
                self.used.push(self.now);
            }
            Step::Refused(Refusal::OverQuota { retry_after, .. }) => {
                self.totals.over_quota += 1;
                self.retry_after.push(retry_after);
            }
            Step::Refused(Refusal::NoOwner) => self.totals.no_owner += 1,
            Step::Ask(to, message) => {
                let Message::Ask { seq, .. } = message else { panic!("not a question") };
                let to = (0..self.len()).find(|n| addr(*n) == to).expect("a node");
                self.nodes[n].attempts.insert(seq, attempt);
                self.schedule(ASK_TIMEOUT, Event::Timeout { node: n, start, seq });
                self.send(n, to, message);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.totals.packets += 1;
        self.totals.bytes += message.encode().expect("fits").len() as u64 + HEADER_BYTES;
        if self.reaches(from, to) && !self.rng.random_bool(self.loss) {
            let delay = self.max_delay.mul_f64(self.rng.random());
            self.schedule(delay, Event::Delivery { from, to, message });
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (&self.nodes[from], &self.nodes[to]);
        sender.is_up && receiver.is_up && !sender.is_mute && sender.group == receiver.group
    }

    /// Lets a node read the configuration from the platform, which only the first group reaches, or
    /// from a peer.
    fn read_config(&mut self, n: usize) {
        let exchanges = |peer: &usize| self.reaches(n, *peer) && self.reaches(*peer, n);
        let has_source = (self.nodes[n].group == 0 && !self.nodes[n].is_mute)
            || (0..self.len()).filter(exchanges).any(|peer| self.nodes[peer].has_config);
        self.nodes[n].has_config |= has_source;
    }

    /// Applies what a node has found out about its peers.
    fn update_view(&mut self, n: usize) {
        let (now, count, revival) = (self.now, self.len(), self.revival);
        // A peer that it has met tells it all peers that it knows.
        let met = (0..count).filter(|peer| self.nodes[n].believed_alive[*peer] == Some(true));
        let met: Vec<usize> = met.filter(|peer| self.reaches(*peer, n)).collect();
        if let (true, false) = (self.has_faults, met.is_empty()) {
            let teller = met[self.rng.random_range(0..met.len())];
            for peer in (0..count).filter(|peer| *peer != n) {
                let known = self.nodes[teller].believed_alive[peer];
                let own = &mut self.nodes[n].believed_alive[peer];
                *own = own.or(known);
            }
        }
        for peer in 0..count {
            if !self.has_faults || peer == n {
                continue;
            }
            let reached = self.reaches(peer, n) && self.nodes[peer].paused_until <= now;
            let node = &mut self.nodes[n];
            let believed = node.believed_alive[peer];
            if Some(reached) == believed || (!reached && believed.is_none()) {
                node.differs_since[peer] = None;
                continue;
            }
            let since = *node.differs_since[peer].get_or_insert(now);
            let (least, varies) = if reached { revival } else { DEATH };
            // Differs between nodes but is constant for each.
            let part = ((n * 31 + peer * 17) % 100) as f64 / 100.0;
            if now - since >= least + varies.mul_f64(part) {
                node.believed_alive[peer] = Some(reached);
            }
        }
        let node = &mut self.nodes[n];
        let alive = &node.believed_alive;
        let knows_any = alive.iter().any(Option::is_some);
        let phase = match self.has_faults {
            true if now < node.started_at + DISCOVERY => Phase::Starting,
            true if !knows_any => Phase::Isolated,
            _ => Phase::Ready,
        };
        let peers = (0..count).filter(|peer| *peer != n).filter_map(|peer| {
            let is_alive = alive[peer]?;
            Some(Member { addr: addr(peer), is_alive })
        });
        if node.core.apply_peers(peers, phase, self.base + now) {
            node.core.apply_teams(&self.teams, self.base + now);
        }
    }
}
