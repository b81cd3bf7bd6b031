//! Simulation of upstreams that crash because of a request, or for other reasons, against the
//! decisions of `quarantine`.
//!
//! Callers send popular requests and unique ones, and possibly a request that crashes each upstream
//! that runs it (the crashing request). Upstreams also crash for other reasons, many at once. Entry
//! nodes send their findings to each other, which takes some time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use quarantine::{ContentKey, Decision, Finding, FindingVersion, NewFinding, Quarantine, Start};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// Wall clock time at which every run starts, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Interval at which nodes check for new findings to broadcast.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which all nodes must know of a request that has crashed three upstreams.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of sends of one attempt.
const MAX_SENDS: u32 = 2;

/// Time after which a caller whose request was refused or failed retries it, once.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A load pattern with crashes.
#[derive(Clone, Debug)]
pub struct CrashScenario {
    /// Number of entry nodes.
    pub nodes: usize,
    /// Time until a node has received what another found.
    pub gossip_delay: Duration,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Maximum number of requests that an upstream processes concurrently.
    pub slots_per_upstream: usize,
    /// Mean time that an upstream takes for a request.
    pub mean_work: Duration,
    /// Requests per second, without the one that crashes upstreams.
    pub requests_per_s: f64,
    /// Ratio of requests that are one of the popular ones, and number of popular requests. All
    /// others are unique.
    pub popular: (f64, usize),
    /// Mean interval of the request that crashes upstreams; `None` if there is no such request.
    pub crashing_request_interval: Option<Duration>,
    /// Times at which upstreams crash for other reasons, and the ratio of upstreams that do.
    pub mass_crashes: Vec<(Duration, f64)>,
    /// Time until a crashed upstream is up again.
    pub restart_time: Duration,
    /// Whether a suspected request is sent to an upstream at which no other suspected one runs.
    pub isolates_suspects: bool,
    /// Time during which callers make requests.
    pub duration: Duration,
}

impl CrashScenario {
    /// Returns a service at half of its capacity, one third of whose requests are one of ten
    /// popular ones, and a request that crashes upstreams and is made five times a second.
    pub fn baseline() -> CrashScenario {
        CrashScenario {
            nodes: 16,
            gossip_delay: Duration::from_millis(20),
            upstreams: 16,
            slots_per_upstream: 4,
            mean_work: Duration::from_millis(220),
            requests_per_s: 120.0,
            popular: (0.33, 10),
            crashing_request_interval: Some(Duration::from_millis(200)),
            mass_crashes: Vec::new(),
            restart_time: Duration::from_secs(3),
            isolates_suspects: true,
            duration: Duration::from_secs(30),
        }
    }

    /// Returns a service whose requests take a second at upstreams of eight slots, and a request
    /// that crashes upstreams and is made twice a second: with each crash five other requests are
    /// lost.
    pub fn full_upstreams() -> CrashScenario {
        CrashScenario {
            mean_work: Duration::from_secs(1),
            slots_per_upstream: 8,
            upstreams: 12,
            requests_per_s: 60.0,
            popular: (0.0, 1),
            crashing_request_interval: Some(Duration::from_millis(500)),
            ..CrashScenario::baseline()
        }
    }

    /// Returns a service whose requests, half of them the same popular one, take two seconds at
    /// upstreams of two slots. A third of the upstreams crash at once, and again within the time of
    /// one request.
    pub fn long_work() -> CrashScenario {
        CrashScenario {
            mean_work: Duration::from_secs(2),
            slots_per_upstream: 2,
            requests_per_s: 8.0,
            popular: (0.5, 1),
            crashing_request_interval: None,
            mass_crashes: vec![(Duration::from_secs(10), 0.33), (Duration::from_secs(11), 0.33)],
            ..CrashScenario::baseline()
        }
    }
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Crashes of upstreams that the crashing request caused.
    pub crashed: u32,
    /// Sends of the crashing request later than 3 s after it had crashed the third upstream, when
    /// all nodes must know of it.
    pub late_sends: u32,
    /// Times that the crashing request was made.
    pub crashing_requests: u32,
    /// Other requests made. The counts below are of the results of their last attempts.
    pub requests: u32,
    /// Requests that got a response.
    pub served: u32,
    /// Requests refused because they were wrongly found to crash upstreams.
    pub wrongly_refused: u32,
    /// Requests lost in a crash, or not sent because no upstream had a free slot.
    pub failed: u32,
}

impl CrashReport {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &CrashReport) {
        self.crashed += other.crashed;
        self.late_sends += other.late_sends;
        self.crashing_requests += other.crashing_requests;
        self.requests += other.requests;
        self.served += other.served;
        self.wrongly_refused += other.wrongly_refused;
        self.failed += other.failed;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node receives a request, which its caller may retry if `may_retry` is set.
    RequestReceived {
        request: usize,
        may_retry: bool,
    },
    /// An upstream has finished its work on a request, unless it has crashed meanwhile, so that
    /// `restarts` no longer matches.
    WorkDone {
        upstream: usize,
        restarts: u64,
        request: usize,
    },
    /// Upstreams crash for a reason other than a request.
    MassCrash {
        index: usize,
    },
    /// A crashed upstream is up again.
    Restarted {
        upstream: usize,
    },
    /// A node receives a finding of another.
    FindingReceived {
        finding: usize,
        node: usize,
    },
    Tick,
}

struct Request {
    content: ContentKey,
    crashes: bool,
    sends: u32,
    may_retry: bool,
    node: usize,
}

struct Running {
    request: usize,
    version: FindingVersion,
    is_suspected: bool,
}

#[derive(Default)]
struct Upstream {
    is_up: bool,
    restarts: u64,
    running: Vec<Running>,
}

struct Simulation<'a> {
    scenario: &'a CrashScenario,
    rng: SmallRng,
    quarantines: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    findings: Vec<Finding>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of events scheduled so far; events of the same time are handled in this order.
    sequence: u64,
    /// When the request that crashes upstreams had crashed the third one.
    third_crash_at: Option<Duration>,
    report: CrashReport,
}

/// Runs `scenario` and returns the counts. The same scenario and seed give the same callers and
/// crashes.
pub fn run_crashes(scenario: &CrashScenario, seed: u64) -> CrashReport {
    let new_upstream = || Upstream { is_up: true, ..Upstream::default() };
    let mut simulation = Simulation {
        scenario,
        rng: SmallRng::seed_from_u64(seed),
        quarantines: vec![Quarantine::default(); scenario.nodes],
        upstreams: (0..scenario.upstreams).map(|_| new_upstream()).collect(),
        requests: Vec::new(),
        findings: Vec::new(),
        events: BinaryHeap::new(),
        sequence: 0,
        third_crash_at: None,
        report: CrashReport::default(),
    };
    simulation.schedule_events();
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle_event(event, now);
    }
    simulation.report
}

fn unix_ms(now: Duration) -> u64 {
    START_UNIX_MS + now.as_millis() as u64
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Schedules all requests, mass crashes and ticks.
    fn schedule_events(&mut self) {
        let (popular_ratio, popular_count) = self.scenario.popular;
        let mut at = Duration::ZERO;
        while at < self.scenario.duration {
            at += Duration::from_secs_f64(
                -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln()
                    / self.scenario.requests_per_s,
            );
            let name = match self.rng.random_bool(popular_ratio) {
                true => format!("popular {}", self.rng.random_range(0..popular_count)),
                false => format!("own {}", self.requests.len()),
            };
            self.schedule_request(at, &name, false);
            self.report.requests += 1;
        }
        let mut at = self.scenario.duration / 10;
        while let Some(interval) =
            self.scenario.crashing_request_interval.filter(|_| at < self.scenario.duration)
        {
            self.schedule_request(at, "crashing", true);
            self.report.crashing_requests += 1;
            at += interval.mul_f64(self.rng.random_range(0.5..1.5));
        }
        for index in 0..self.scenario.mass_crashes.len() {
            self.schedule(self.scenario.mass_crashes[index].0, Event::MassCrash { index });
        }
        let mut at = Duration::ZERO;
        while at < self.scenario.duration {
            self.schedule(at, Event::Tick);
            at += TICK_INTERVAL;
        }
    }

    fn schedule_request(&mut self, at: Duration, name: &str, crashes: bool) {
        let content = ContentKey::of([name.as_bytes()]);
        let request = Request { content, crashes, sends: 0, may_retry: true, node: 0 };
        self.requests.push(request);
        let request = self.requests.len() - 1;
        self.schedule(at, Event::RequestReceived { request, may_retry: true });
    }

    fn handle_event(&mut self, event: Event, now: Duration) {
        match event {
            Event::RequestReceived { request, may_retry } => {
                let node = self.rng.random_range(0..self.scenario.nodes);
                let received = &mut self.requests[request];
                (received.node, received.may_retry, received.sends) = (node, may_retry, 0);
                self.send(request, now);
            }
            Event::WorkDone { upstream, restarts, request } => {
                self.finish_work(upstream, restarts, request, now)
            }
            Event::MassCrash { index } => {
                let ratio = self.scenario.mass_crashes[index].1;
                let count = (ratio * self.scenario.upstreams as f64).round() as usize;
                let up =
                    (0..self.upstreams.len()).filter(|upstream| self.upstreams[*upstream].is_up);
                let crashed = up.choose_multiple(&mut self.rng, count);
                self.crash(&crashed, now);
            }
            Event::Restarted { upstream } => self.upstreams[upstream].is_up = true,
            Event::FindingReceived { finding, node } => {
                let received = self.findings[finding].clone();
                let _ = self.quarantines[node].merge_remote(&received, unix_ms(now));
                // Real nodes forward a received finding; here the node that found it sends it to
                // all others.
                let is_own = |new: &NewFinding| {
                    new.finding.content != received.content || new.finding.epoch > received.epoch
                };
                let new_findings = self.quarantines[node].take_new_findings(unix_ms(now));
                new_findings
                    .into_iter()
                    .filter(is_own)
                    .for_each(|new| self.broadcast(node, new, now));
            }
            Event::Tick => {
                (0..self.scenario.nodes).for_each(|node| self.broadcast_findings(node, now))
            }
        }
    }

    /// Sends all new findings of `node` to all other nodes.
    fn broadcast_findings(&mut self, node: usize, now: Duration) {
        for new in self.quarantines[node].take_new_findings(unix_ms(now)) {
            self.broadcast(node, new, now);
        }
    }

    /// Sends one finding to all nodes but `node`.
    fn broadcast(&mut self, node: usize, new: NewFinding, now: Duration) {
        self.findings.push(new.finding);
        let finding = self.findings.len() - 1;
        for other in (0..self.scenario.nodes).filter(|other| *other != node) {
            self.schedule(
                now + self.scenario.gossip_delay,
                Event::FindingReceived { finding, node: other },
            );
        }
    }

    fn send(&mut self, index: usize, now: Duration) {
        let Request { content, node, .. } = self.requests[index];
        let decision = self.quarantines[node].decide(content, || node == 0, unix_ms(now));
        if matches!(decision, Decision::Reject(_)) {
            return self.fail_attempt(index, true, now);
        }
        let is_suspected = decision == Decision::Isolate;
        let Some(upstream) = self.choose_upstream(index, is_suspected) else {
            return self.fail_attempt(index, false, now);
        };
        self.requests[index].sends += 1;
        let is_late =
            self.third_crash_at.is_some_and(|third_at| now > third_at + MAX_DETECTION_TIME);
        self.report.late_sends += u32::from(self.requests[index].crashes && is_late);
        let start = self.start_of(upstream);
        let version = self.quarantines[node].version(content);
        if is_suspected {
            self.quarantines[node].begin_attempt(content, start);
        }
        self.upstreams[upstream].running.push(Running { request: index, version, is_suspected });
        let work = self.scenario.mean_work.mul_f64(self.rng.random_range(0.5..1.5));
        let restarts = self.upstreams[upstream].restarts;
        self.schedule(now + work, Event::WorkDone { upstream, restarts, request: index });
    }

    /// Returns the current incarnation of an upstream.
    fn start_of(&self, upstream: usize) -> Start {
        Start::of(&format!("u{upstream}"), self.upstreams[upstream].restarts)
    }

    /// Returns an upstream with a free slot, for a suspected request preferably an isolated one.
    fn choose_upstream(&mut self, index: usize, is_suspected: bool) -> Option<usize> {
        let Request { content, node, .. } = self.requests[index];
        let has_free_slot =
            |u: &Upstream| u.is_up && u.running.len() < self.scenario.slots_per_upstream;
        let free = (0..self.upstreams.len()).filter(|u| has_free_slot(&self.upstreams[*u]));
        if is_suspected && self.scenario.isolates_suspects {
            let starts: Vec<Start> =
                (0..self.upstreams.len()).map(|upstream| self.start_of(upstream)).collect();
            let isolated = self.quarantines[node].choose_isolated(content, &starts, free.clone());
            if isolated.is_some() {
                return isolated;
            }
        }
        free.choose(&mut self.rng)
    }

    fn finish_work(&mut self, upstream: usize, restarts: u64, index: usize, now: Duration) {
        if self.upstreams[upstream].restarts != restarts {
            return;
        }
        if self.requests[index].crashes {
            self.report.crashed += 1;
            if self.report.crashed == 3 {
                self.third_crash_at = Some(now);
            }
            return self.crash(&[upstream], now);
        }
        let start = self.start_of(upstream);
        let running = &mut self.upstreams[upstream].running;
        let Some(position) = running.iter().position(|r| r.request == index) else { return };
        let Running { is_suspected, .. } = running.swap_remove(position);
        let Request { content, node, .. } = self.requests[index];
        let quarantine = &mut self.quarantines[node];
        if is_suspected {
            quarantine.end_attempt(content, start);
        }
        quarantine.record_response(content, unix_ms(now));
        self.report.served += 1;
        self.broadcast_findings(node, now);
    }

    /// Crashes `upstreams` at once, with all requests that run there.
    fn crash(&mut self, upstreams: &[usize], now: Duration) {
        let mut lost = Vec::new();
        for upstream in upstreams {
            let start = self.start_of(*upstream);
            let crashed = &mut self.upstreams[*upstream];
            lost.extend(std::mem::take(&mut crashed.running).into_iter().map(|run| (start, run)));
            crashed.is_up = false;
            crashed.restarts += 1;
            self.schedule(
                now + self.scenario.restart_time,
                Event::Restarted { upstream: *upstream },
            );
        }
        for (start, Running { request, version, is_suspected }) in &lost {
            let Request { content, node, .. } = self.requests[*request];
            let quarantine = &mut self.quarantines[node];
            if *is_suspected {
                quarantine.end_attempt(content, *start);
            }
            quarantine.record_crash(content, *version, *start, unix_ms(now));
            self.broadcast_findings(node, now);
        }
        for (_, Running { request, .. }) in lost {
            let Request { content, node, sends, .. } = self.requests[request];
            match sends < MAX_SENDS && !self.quarantines[node].has_repeated_crashes(content) {
                true => self.send(request, now),
                false => self.fail_attempt(request, false, now),
            }
        }
    }

    /// Ends an attempt without a response; its caller may retry the request.
    fn fail_attempt(&mut self, index: usize, is_refused: bool, now: Duration) {
        let Request { may_retry, crashes, .. } = self.requests[index];
        match () {
            () if may_retry => {
                self.schedule(
                    now + RETRY_AFTER,
                    Event::RequestReceived { request: index, may_retry: false },
                );
            }
            () if crashes => {}
            () if is_refused => self.report.wrongly_refused += 1,
            () => self.report.failed += 1,
        }
    }
}
