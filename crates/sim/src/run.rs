//! The course of a run: events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node::{Node, Placing, Step};
use crate::report::Report;
use crate::scenario::{Rules, Scenario};
use crate::upstream::{RequestIndex, Taken, Upstream};

/// Time from a caller to a node, one way.
const TO_NODE: Duration = Duration::from_millis(3);

/// Time from a node to an upstream, one way: in its zone, and in another.
const TO_UPSTREAM: (Duration, Duration) =
    (Duration::from_micros(200), Duration::from_micros(1_400));

/// When a caller comes back after an upstream refused its request.
const COME_BACK: Duration = Duration::from_millis(10);

/// Part of its deadline that a caller may wait less than another of its kind.
const DEADLINE_SPREAD: f64 = 1.0 / 6.0;

/// Spread of the work around its mean, either way, as a part of it.
const WORK_SPREAD: f64 = 0.5;

/// Size of a request with both heads, in KiB.
const REQUEST_KIB: f64 = 0.7;

/// Something that happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An attempt arrives at a node.
    Attempt,
    /// The upstreams that were asked have answered, or a pause is over: it is placed, after so many
    /// more rounds of questions at most.
    Place { ask_rounds: u32 },
    /// It arrives at its upstream.
    Offered,
    /// Its work is done.
    Done,
    /// Its answer arrives at the node.
    Answered,
}

struct Request {
    kind: usize,
    zone: usize,
    work: Duration,
    first_at: Duration,
    deadline_at: Duration,
    returns_left: u32,
    node: usize,
    arrived_at: Duration,
    tried_for: Duration,
    looks: u32,
    asked: Vec<usize>,
    upstream: usize,
    sent_at: Duration,
    unhindered: bool,
}

struct World<'a> {
    scenario: &'a Scenario,
    rules: &'a Rules,
    base: Instant,
    rng: SmallRng,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, RequestIndex, Event)>>,
    report: Report,
}

/// Plays `scenario` by `rules`; the same seed gives the same callers, work and machines.
pub fn run(scenario: &Scenario, rules: &Rules, seed: u64) -> Report {
    let base = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = scenario.upstreams * scenario.kinds.len();
    let upstreams: Vec<Upstream> =
        (0..count).map(|index| Upstream::new(index % scenario.zones, rng.random())).collect();
    let nodes = (0..scenario.nodes)
        .map(|index| {
            let own_rng = SmallRng::seed_from_u64(rng.random());
            let zone = index % scenario.zones;
            Node::new(zone, index as u64, scenario, &upstreams, own_rng, base)
        })
        .collect();
    let mut world = World {
        scenario,
        rules,
        base,
        rng: SmallRng::seed_from_u64(rng.random()),
        nodes,
        upstreams,
        requests: Vec::new(),
        events: BinaryHeap::new(),
        report: Report::default(),
    };
    world.callers(&mut rng);
    while let Some(Reverse((now, request, event))) = world.events.pop() {
        world.happens(event, request, now);
    }
    world.report
}

impl World<'_> {
    /// Draws all callers of the run.
    fn callers(&mut self, rng: &mut SmallRng) {
        for (kind, settings) in self.scenario.kinds.iter().enumerate() {
            let mut at = Duration::ZERO;
            while at < self.scenario.length {
                let burst = self.scenario.burst.filter(|b| b.from <= at && at < b.until);
                let per_s = settings.per_s * burst.map_or(1.0, |burst| burst.factor);
                let gap: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
                at += Duration::from_secs_f64(-gap.ln() / per_s);
                let less = rng.random_range(0.0..DEADLINE_SPREAD);
                let spread = rng.random_range(1.0 - WORK_SPREAD..1.0 + WORK_SPREAD);
                self.requests.push(Request {
                    kind,
                    zone: rng.random_range(0..self.scenario.zones),
                    work: settings.work.mul_f64(spread),
                    first_at: at,
                    deadline_at: at + settings.deadline.mul_f64(1.0 - less),
                    returns_left: self.scenario.returns,
                    node: 0,
                    arrived_at: at,
                    tried_for: Duration::ZERO,
                    looks: 0,
                    asked: Vec::new(),
                    upstream: 0,
                    sent_at: at,
                    unhindered: false,
                });
                self.attempt(self.requests.len() - 1, at, rng);
                self.report.asked += 1;
                self.report.burst_asked += u32::from(burst.is_some());
            }
        }
    }

    /// Has the caller of a request send it to a node of its zone.
    fn attempt(&mut self, index: RequestIndex, at: Duration, rng: &mut SmallRng) {
        let request = &mut self.requests[index];
        let in_zone = (self.scenario.nodes - request.zone).div_ceil(self.scenario.zones);
        request.node = request.zone + self.scenario.zones * rng.random_range(0..in_zone);
        self.at(at + TO_NODE, index, Event::Attempt);
    }

    fn at(&mut self, at: Duration, request: RequestIndex, event: Event) {
        self.events.push(Reverse((at, request, event)));
    }

    fn happens(&mut self, event: Event, index: RequestIndex, now: Duration) {
        match event {
            Event::Attempt => self.arrives(index, now),
            Event::Place { ask_rounds } => self.place(index, ask_rounds, now),
            Event::Offered => self.offered(index, now),
            Event::Done => self.done(index, now),
            Event::Answered => self.answered(index, now),
        }
    }

    fn arrives(&mut self, index: RequestIndex, now: Duration) {
        let request = &mut self.requests[index];
        let kind = &self.scenario.kinds[request.kind];
        let stated = request.deadline_at.saturating_sub(now);
        (request.arrived_at, request.looks) = (now, 0);
        request.tried_for = self.nodes[request.node].tried_for(kind, stated, self.rules);
        self.place(index, self.rules.ask_rounds, now);
    }

    fn place(&mut self, index: RequestIndex, ask_rounds: u32, now: Duration) {
        let instant = self.base + now;
        let request = &mut self.requests[index];
        let node = &mut self.nodes[request.node];
        for upstream in std::mem::take(&mut request.asked) {
            let load = self.upstreams[upstream].load(self.scenario, now);
            node.take_report(request.kind, upstream, load, instant);
        }
        let kind = &self.scenario.kinds[request.kind];
        let objective = kind.objective.saturating_sub(request.tried_for);
        let placing = Placing {
            kind,
            deadline_left: request.deadline_at.saturating_sub(now),
            objective_left: (request.arrived_at + objective).saturating_sub(now),
            looks: request.looks,
        };
        match node.step(request.kind, &placing, ask_rounds > 0, self.rules, instant) {
            Step::Ask(asked) => {
                self.report.questions += asked.len() as u32;
                let slowest = asked.iter().map(|u| to_upstream(node.zone, &self.upstreams[*u]));
                let back = slowest.max().unwrap_or_default() * 2;
                request.asked = asked;
                self.at(now + back, index, Event::Place { ask_rounds: ask_rounds - 1 });
            }
            Step::Wait(pause) => {
                request.looks += 1;
                self.at(now + pause, index, Event::Place { ask_rounds: 1 });
            }
            Step::Refuse { retry_after } => self.refused(index, retry_after, now),
            Step::Send { upstream, unhindered } => {
                (request.upstream, request.unhindered, request.sent_at) =
                    (upstream, unhindered, now);
                node.sent(request.kind, upstream);
                let upstream = &self.upstreams[upstream];
                if upstream.zone != node.zone {
                    self.report.cross_zone_kib += REQUEST_KIB + kind.answer_bytes as f64 / 1_024.0;
                }
                let way = to_upstream(node.zone, upstream);
                self.at(now + way, index, Event::Offered);
            }
        }
    }

    /// Has the caller of a refused request come back, while it has returns and time left.
    fn refused(&mut self, index: RequestIndex, come_back: Duration, now: Duration) {
        self.report.refusals += 1;
        let request = &mut self.requests[index];
        let back_at = now + TO_NODE + come_back;
        match request.returns_left.checked_sub(1) {
            Some(left) if back_at < request.deadline_at => {
                request.returns_left = left;
                let mut rng = SmallRng::seed_from_u64(self.rng.random());
                self.attempt(index, back_at, &mut rng);
            }
            _ => self.report.lost += 1,
        }
    }

    fn offered(&mut self, index: RequestIndex, now: Duration) {
        let request = &self.requests[index];
        let (upstream, work) = (request.upstream, request.work);
        match self.upstreams[upstream].take(index, work, self.scenario, now) {
            Taken::Runs(took) => self.at(now + took, index, Event::Done),
            Taken::Waits => {}
            Taken::Refused => {
                let (kind, node) = (request.kind, request.node);
                let node = &mut self.nodes[node];
                node.ended(kind, upstream, place::RequestOutcome::Refused, self.base + now);
                self.refused(index, COME_BACK, now);
            }
        }
    }

    fn done(&mut self, index: RequestIndex, now: Duration) {
        let request = &self.requests[index];
        let upstream = &mut self.upstreams[request.upstream];
        let next = upstream.end(self.scenario, now);
        let way = to_upstream(self.nodes[request.node].zone, upstream);
        self.at(now + way, index, Event::Answered);
        if let Some((next, took)) = next {
            self.at(now + took, next, Event::Done);
        }
    }

    fn answered(&mut self, index: RequestIndex, now: Duration) {
        let request = &self.requests[index];
        let (kind, upstream) = (request.kind, request.upstream);
        let settings = &self.scenario.kinds[kind];
        let node = &mut self.nodes[request.node];
        let load = self.upstreams[upstream].load(self.scenario, now);
        node.take_report(kind, upstream, load, self.base + now);
        node.ended(kind, upstream, place::RequestOutcome::Answered, self.base + now);
        let unhindered = request.unhindered && load.is_at_usual_speed();
        node.learn(settings, now - request.sent_at, unhindered);
        let got_at = now + TO_NODE;
        let in_burst = self
            .scenario
            .burst
            .is_some_and(|burst| burst.from <= request.first_at && request.first_at < burst.until);
        match () {
            () if got_at <= request.first_at + settings.objective => {
                self.report.in_time += 1;
                self.report.burst_in_time += u32::from(in_burst);
            }
            () if got_at <= request.deadline_at => self.report.late += 1,
            () => self.report.lost += 1,
        }
    }
}

fn to_upstream(zone: usize, upstream: &Upstream) -> Duration {
    match upstream.zone == zone {
        true => TO_UPSTREAM.0,
        false => TO_UPSTREAM.1,
    }
}
