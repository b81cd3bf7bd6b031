//! The event loop of a run in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node::{Node, PlacementRequest, Step};
use crate::report::Report;
use crate::scenario::{Rules, Scenario};
use crate::upstream::{RequestIndex, SubmitResult, Upstream};

/// One-way latency between a caller and a node.
const CALLER_TO_NODE_LATENCY: Duration = Duration::from_millis(3);

/// One-way latency between a node and an upstream of the same zone, and of another zone.
const NODE_TO_UPSTREAM_LATENCY: (Duration, Duration) =
    (Duration::from_micros(200), Duration::from_micros(1_400));

/// Time after which a caller retries a request that an upstream refused.
const RETRY_AFTER: Duration = Duration::from_millis(10);

/// Maximum deviation of a request's work from the mean, as a ratio of the mean.
const MAX_WORK_DEVIATION_RATIO: f64 = 0.5;

/// Size of a request, including the heads of request and response, in KiB.
const REQUEST_KIB: f64 = 0.7;

/// Something that happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node receives an attempt of its caller.
    AttemptReceived,
    /// The probed upstreams have responded, or a waiting time is over: the node places the request,
    /// after at most this many further rounds of probes.
    Place { probe_rounds_left: u32 },
    /// The upstream receives it.
    Submitted,
    /// The upstream has finished its work.
    WorkDone,
    /// The node receives the response.
    ResponseReceived,
    /// The deadline passes without a response.
    DeadlinePassed,
}

struct Request {
    kind: usize,
    zone: usize,
    work: Duration,
    first_sent_at: Duration,
    deadline_at: Duration,
    retries_left: u32,
    node: usize,
    received_at: Duration,
    retrying_for: Duration,
    rechecks: u32,
    probed: Vec<usize>,
    upstream: usize,
    sent_at: Duration,
    measures_work: bool,
}

struct Simulation<'a> {
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

/// Runs `scenario` with nodes that apply `rules`, and returns the counts. The same scenario and
/// seed give the same callers, work and machine speeds.
pub fn run(scenario: &Scenario, rules: &Rules, seed: u64) -> Report {
    let base = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = scenario.upstreams_per_kind * scenario.kinds.len();
    let upstreams: Vec<Upstream> =
        (0..count).map(|index| Upstream::new(index % scenario.zones, rng.random())).collect();
    let nodes = (0..scenario.nodes)
        .map(|index| {
            let node_rng = SmallRng::seed_from_u64(rng.random());
            let zone = index % scenario.zones;
            Node::new(zone, index as u64, scenario, &upstreams, node_rng, base)
        })
        .collect();
    let mut simulation = Simulation {
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
    simulation.schedule_callers(&mut rng);
    while let Some(Reverse((now, request, event))) = simulation.events.pop() {
        simulation.handle_event(event, request, now);
    }
    simulation.report
}

impl Simulation<'_> {
    /// Generates the requests of all callers and schedules the first attempt of each.
    fn schedule_callers(&mut self, rng: &mut SmallRng) {
        for (kind, settings) in self.scenario.kinds.iter().enumerate() {
            let mut at = Duration::ZERO;
            while at < self.scenario.duration {
                let burst = self.scenario.burst.filter(|b| b.start <= at && at < b.end);
                let requests_per_s =
                    settings.requests_per_s * burst.map_or(1.0, |burst| burst.rate_factor);
                let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
                at += Duration::from_secs_f64(-uniform.ln() / requests_per_s);
                let reduction = rng.random_range(0.0..=settings.max_timeout_reduction);
                let work_factor = rng
                    .random_range(1.0 - MAX_WORK_DEVIATION_RATIO..1.0 + MAX_WORK_DEVIATION_RATIO);
                self.requests.push(Request {
                    kind,
                    zone: rng.random_range(0..self.scenario.zones),
                    work: settings.mean_work.mul_f64(work_factor),
                    first_sent_at: at,
                    deadline_at: at + settings.max_timeout.mul_f64(1.0 - reduction),
                    retries_left: self.scenario.max_retries,
                    node: 0,
                    received_at: at,
                    retrying_for: Duration::ZERO,
                    rechecks: 0,
                    probed: Vec::new(),
                    upstream: 0,
                    sent_at: at,
                    measures_work: false,
                });
                self.schedule_attempt(self.requests.len() - 1, at, rng);
                self.report.requests += 1;
                self.report.burst_requests += u32::from(burst.is_some());
            }
        }
    }

    /// Schedules an attempt that the caller of a request sends at `at` to a random node of its
    /// zone.
    fn schedule_attempt(&mut self, index: RequestIndex, at: Duration, rng: &mut SmallRng) {
        let request = &mut self.requests[index];
        let nodes_in_zone = (self.scenario.nodes - request.zone).div_ceil(self.scenario.zones);
        request.node = request.zone + self.scenario.zones * rng.random_range(0..nodes_in_zone);
        self.schedule(at + CALLER_TO_NODE_LATENCY, index, Event::AttemptReceived);
    }

    fn schedule(&mut self, at: Duration, request: RequestIndex, event: Event) {
        self.events.push(Reverse((at, request, event)));
    }

    fn handle_event(&mut self, event: Event, index: RequestIndex, now: Duration) {
        match event {
            Event::AttemptReceived => self.receive_attempt(index, now),
            Event::Place { probe_rounds_left } => self.place(index, probe_rounds_left, now),
            Event::Submitted => self.submit(index, now),
            Event::WorkDone => self.finish_work(index, now),
            Event::ResponseReceived => self.receive_response(index, now),
            Event::DeadlinePassed => self.give_up(index, now),
        }
    }

    fn receive_attempt(&mut self, index: RequestIndex, now: Duration) {
        let request = &mut self.requests[index];
        let kind = &self.scenario.kinds[request.kind];
        let stated = request.deadline_at.saturating_sub(now);
        (request.received_at, request.rechecks) = (now, 0);
        let node = &mut self.nodes[request.node];
        request.retrying_for = node.retrying_for(kind, stated, self.rules, self.base + now);
        self.place(index, self.rules.max_probe_rounds, now);
    }

    fn place(&mut self, index: RequestIndex, probe_rounds_left: u32, now: Duration) {
        let instant = self.base + now;
        let request = &mut self.requests[index];
        let node = &mut self.nodes[request.node];
        for upstream in std::mem::take(&mut request.probed) {
            let load = self.upstreams[upstream].load(self.scenario, now);
            node.record_report(request.kind, upstream, load, instant);
        }
        let kind = &self.scenario.kinds[request.kind];
        let objective = kind.objective.saturating_sub(request.retrying_for);
        let placement = PlacementRequest {
            kind,
            deadline_left: request.deadline_at.saturating_sub(now),
            objective_left: (request.received_at + objective).saturating_sub(now),
            rechecks: request.rechecks,
            index,
        };
        match node.step(request.kind, &placement, probe_rounds_left > 0, self.rules, instant) {
            Step::Probe(probed) => {
                self.report.probes += probed.len() as u32;
                let latencies =
                    probed.iter().map(|u| network_latency(node.zone, &self.upstreams[*u]));
                let round_trip = latencies.max().unwrap_or_default() * 2;
                request.probed = probed;
                self.schedule(
                    now + round_trip,
                    index,
                    Event::Place { probe_rounds_left: probe_rounds_left - 1 },
                );
            }
            Step::Wait(pause) => {
                request.rechecks += 1;
                self.schedule(now + pause, index, Event::Place { probe_rounds_left: 1 });
            }
            Step::Refuse { retry_after } => self.refuse(index, retry_after, now),
            Step::Send { upstream, measures_work } => {
                (request.upstream, request.measures_work, request.sent_at) =
                    (upstream, measures_work, now);
                node.record_sent(request.kind, upstream);
                let upstream = &self.upstreams[upstream];
                if upstream.zone != node.zone {
                    self.report.cross_zone_kib +=
                        REQUEST_KIB + kind.response_bytes as f64 / 1_024.0;
                }
                let latency = network_latency(node.zone, upstream);
                self.schedule(now + latency, index, Event::Submitted);
            }
        }
    }

    /// Schedules a retry of a refused request if its caller has retries and time left for one.
    fn refuse(&mut self, index: RequestIndex, retry_after: Duration, now: Duration) {
        self.report.refusals += 1;
        let request = &mut self.requests[index];
        let retry_at = now + CALLER_TO_NODE_LATENCY + retry_after;
        match request.retries_left.checked_sub(1) {
            Some(left) if retry_at < request.deadline_at => {
                request.retries_left = left;
                let mut rng = SmallRng::seed_from_u64(self.rng.random());
                self.schedule_attempt(index, retry_at, &mut rng);
            }
            _ => self.report.unanswered += 1,
        }
    }

    fn submit(&mut self, index: RequestIndex, now: Duration) {
        let request = &self.requests[index];
        let (upstream, work) = (request.upstream, request.work);
        match self.upstreams[upstream].submit(index, work, self.scenario, now) {
            SubmitResult::Running(duration) => {
                self.schedule(now + duration, index, Event::WorkDone)
            }
            SubmitResult::Queued => {}
            SubmitResult::Ignored => {
                self.report.ignored += 1;
                self.schedule(request.deadline_at, index, Event::DeadlinePassed);
            }
            SubmitResult::Refused => {
                let (kind, node) = (request.kind, request.node);
                let node = &mut self.nodes[node];
                node.record_outcome(
                    kind,
                    upstream,
                    place::RequestOutcome::Refused,
                    self.base + now,
                );
                self.refuse(index, RETRY_AFTER, now);
            }
        }
    }

    fn give_up(&mut self, index: RequestIndex, now: Duration) {
        self.report.unanswered += 1;
        let request = &self.requests[index];
        let (kind, upstream) = (request.kind, request.upstream);
        let cancelled = place::RequestOutcome::Cancelled;
        self.nodes[request.node].record_outcome(kind, upstream, cancelled, self.base + now);
    }

    fn finish_work(&mut self, index: RequestIndex, now: Duration) {
        let request = &self.requests[index];
        let upstream = &mut self.upstreams[request.upstream];
        let next = upstream.finish(self.scenario, now);
        let latency = network_latency(self.nodes[request.node].zone, upstream);
        self.schedule(now + latency, index, Event::ResponseReceived);
        if let Some((next, duration)) = next {
            self.schedule(now + duration, next, Event::WorkDone);
        }
    }

    fn receive_response(&mut self, index: RequestIndex, now: Duration) {
        let request = &self.requests[index];
        let (kind, upstream) = (request.kind, request.upstream);
        let settings = &self.scenario.kinds[kind];
        let node = &mut self.nodes[request.node];
        let load = self.upstreams[upstream].load(self.scenario, now);
        node.record_report(kind, upstream, load, self.base + now);
        node.record_outcome(kind, upstream, place::RequestOutcome::Answered, self.base + now);
        let measures_work = request.measures_work && load.is_at_usual_speed();
        node.record_response(
            (kind, settings),
            upstream,
            now - request.sent_at,
            measures_work,
            self.base + now,
        );
        let answered_at = now + CALLER_TO_NODE_LATENCY;
        let in_burst = self.scenario.burst.is_some_and(|burst| {
            burst.start <= request.first_sent_at && request.first_sent_at < burst.end
        });
        match () {
            () if answered_at <= request.first_sent_at + settings.objective => {
                self.report.in_time += 1;
                self.report.burst_in_time += u32::from(in_burst);
            }
            () if answered_at <= request.deadline_at => self.report.late += 1,
            () => self.report.unanswered += 1,
        }
    }
}

fn network_latency(zone: usize, upstream: &Upstream) -> Duration {
    match upstream.zone == zone {
        true => NODE_TO_UPSTREAM_LATENCY.0,
        false => NODE_TO_UPSTREAM_LATENCY.1,
    }
}
