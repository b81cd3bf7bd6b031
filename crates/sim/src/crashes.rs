//! Upstreams that crash under a request, or by themselves, against the decisions of `quarantine`.
//!
//! Callers make popular requests and requests of their own; one of them may be a request that crashes
//! each upstream that runs it. Upstreams also end by themselves, many at once. Entry nodes tell each
//! other what they find, each other one after a while.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use quarantine::{ContentKey, Decision, Finding, FindingVersion, NewFinding, Quarantine, Start};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// Time of day at which every run begins, in milliseconds.
const BEGIN_UNIX_MS: u64 = 1_800_000_000_000;

/// How often nodes look what they have to tell.
const TICK: Duration = Duration::from_millis(100);

/// Time after which all nodes must know of a request that has crashed three upstreams.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Sends of one attempt at most.
const SENDS: u32 = 2;

/// Time after which a caller that was refused or failed makes its request again, once.
const RETURN_AFTER: Duration = Duration::from_millis(200);

/// A load pattern with crashes.
#[derive(Clone, Debug)]
pub struct Crashes {
    /// Entry nodes.
    pub nodes: usize,
    /// Time until a node has heard what another found.
    pub told_after: Duration,
    /// Upstreams, and requests that each works on at once.
    pub upstreams: usize,
    /// Requests that an upstream works on at once.
    pub slots: usize,
    /// Mean time that an upstream works on a request.
    pub work: Duration,
    /// Requests a second.
    pub per_s: f64,
    /// Share of these that are one of so many popular ones; all others are made once.
    pub popular: (f64, usize),
    /// Pause between two returns of the request that crashes upstreams; none where there is none.
    pub crashing_every: Option<Duration>,
    /// When upstreams end by themselves, and which share of them.
    pub ends: Vec<(Duration, f64)>,
    /// Time until an upstream is back.
    pub back_after: Duration,
    /// Whether a suspected request is sent to an upstream at which no other one runs.
    pub apart: bool,
    /// How long callers come.
    pub length: Duration,
}

impl Crashes {
    /// A service at half of its room, one third of whose requests are one of ten, and a request that
    /// crashes upstreams and comes five times a second.
    pub fn usual() -> Crashes {
        Crashes {
            nodes: 16,
            told_after: Duration::from_millis(20),
            upstreams: 16,
            slots: 4,
            work: Duration::from_millis(220),
            per_s: 120.0,
            popular: (0.33, 10),
            crashing_every: Some(Duration::from_millis(200)),
            ends: Vec::new(),
            back_after: Duration::from_secs(3),
            apart: true,
            length: Duration::from_secs(30),
        }
    }

    /// Work of a second at upstreams of eight slots, and a request that crashes them twice a second:
    /// each crash takes five others with it.
    pub fn full_upstreams() -> Crashes {
        Crashes {
            work: Duration::from_secs(1),
            slots: 8,
            upstreams: 12,
            per_s: 60.0,
            popular: (0.0, 1),
            crashing_every: Some(Duration::from_millis(500)),
            ..Crashes::usual()
        }
    }

    /// Work of two seconds at upstreams of two slots, of which a third end at once, twice within the
    /// time of one request; one popular request.
    pub fn long_work() -> Crashes {
        Crashes {
            work: Duration::from_secs(2),
            slots: 2,
            per_s: 8.0,
            popular: (0.5, 1),
            crashing_every: None,
            ends: vec![(Duration::from_secs(10), 0.33), (Duration::from_secs(11), 0.33)],
            ..Crashes::usual()
        }
    }
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Upstreams that crashed under the request that does that.
    pub crashed: u32,
    /// Upstreams that it reached later than [`KNOWN_WITHIN`] after it had crashed the third.
    pub reached_late: u32,
    /// Times that it was made.
    pub crashing_asked: u32,
    /// Other requests made, and how the last attempt of each ended.
    pub asked: u32,
    /// Answered.
    pub served: u32,
    /// Refused since it was held to crash upstreams, which is not so.
    pub refused_wrongly: u32,
    /// Lost with an upstream, or without one that had room.
    pub failed: u32,
}

impl CrashReport {
    /// Adds what came of another run.
    pub fn add(&mut self, other: &CrashReport) {
        self.crashed += other.crashed;
        self.reached_late += other.reached_late;
        self.crashing_asked += other.crashing_asked;
        self.asked += other.asked;
        self.served += other.served;
        self.refused_wrongly += other.refused_wrongly;
        self.failed += other.failed;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request comes to a node; whether its caller makes it again.
    Asked {
        request: usize,
        returns: bool,
    },
    /// An upstream has ended its work on a request.
    Worked {
        upstream: usize,
        life: u64,
        request: usize,
    },
    /// Upstreams end by themselves.
    End {
        entry: usize,
    },
    /// One is back.
    Back {
        upstream: usize,
    },
    /// A node hears of what another found.
    Heard {
        finding: usize,
        node: usize,
    },
    Tick,
}

struct Request {
    content: ContentKey,
    crashes: bool,
    sends: u32,
    returns: bool,
    node: usize,
}

struct Running {
    request: usize,
    known: FindingVersion,
    is_suspected: bool,
}

#[derive(Default)]
struct Upstream {
    is_up: bool,
    life: u64,
    running: Vec<Running>,
}

struct World<'a> {
    pattern: &'a Crashes,
    rng: SmallRng,
    ledgers: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    findings: Vec<Finding>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    /// When the third upstream crashed under the request that does that.
    third_at: Option<Duration>,
    report: CrashReport,
}

/// Plays `pattern`; the same seed gives the same callers and ends.
pub fn run_crashes(pattern: &Crashes, seed: u64) -> CrashReport {
    let up = || Upstream { is_up: true, ..Upstream::default() };
    let mut world = World {
        pattern,
        rng: SmallRng::seed_from_u64(seed),
        ledgers: vec![Quarantine::default(); pattern.nodes],
        upstreams: (0..pattern.upstreams).map(|_| up()).collect(),
        requests: Vec::new(),
        findings: Vec::new(),
        events: BinaryHeap::new(),
        order: 0,
        third_at: None,
        report: CrashReport::default(),
    };
    world.draw();
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.happens(event, now);
    }
    world.report
}

fn unix_ms(now: Duration) -> u64 {
    BEGIN_UNIX_MS + now.as_millis() as u64
}

impl World<'_> {
    fn at(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Draws all callers and ends.
    fn draw(&mut self) {
        let (share, popular) = self.pattern.popular;
        let mut at = Duration::ZERO;
        while at < self.pattern.length {
            at += Duration::from_secs_f64(
                -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / self.pattern.per_s,
            );
            let name = match self.rng.random_bool(share) {
                true => format!("popular {}", self.rng.random_range(0..popular)),
                false => format!("own {}", self.requests.len()),
            };
            self.ask(at, &name, false);
            self.report.asked += 1;
        }
        let mut at = self.pattern.length / 10;
        while let Some(pause) = self.pattern.crashing_every.filter(|_| at < self.pattern.length) {
            self.ask(at, "crashing", true);
            self.report.crashing_asked += 1;
            at += pause.mul_f64(self.rng.random_range(0.5..1.5));
        }
        for entry in 0..self.pattern.ends.len() {
            self.at(self.pattern.ends[entry].0, Event::End { entry });
        }
        let mut at = Duration::ZERO;
        while at < self.pattern.length {
            self.at(at, Event::Tick);
            at += TICK;
        }
    }

    fn ask(&mut self, at: Duration, name: &str, crashes: bool) {
        let content = ContentKey::of([name.as_bytes()]);
        let request = Request { content, crashes, sends: 0, returns: true, node: 0 };
        self.requests.push(request);
        let request = self.requests.len() - 1;
        self.at(at, Event::Asked { request, returns: true });
    }

    fn happens(&mut self, event: Event, now: Duration) {
        match event {
            Event::Asked { request, returns } => {
                let node = self.rng.random_range(0..self.pattern.nodes);
                let asked = &mut self.requests[request];
                (asked.node, asked.returns, asked.sends) = (node, returns, 0);
                self.send(request, now);
            }
            Event::Worked { upstream, life, request } => self.worked(upstream, life, request, now),
            Event::End { entry } => {
                let share = self.pattern.ends[entry].1;
                let count = (share * self.pattern.upstreams as f64).round() as usize;
                let up = (0..self.upstreams.len()).filter(|index| self.upstreams[*index].is_up);
                let ended = up.choose_multiple(&mut self.rng, count);
                self.end(&ended, now);
            }
            Event::Back { upstream } => self.upstreams[upstream].is_up = true,
            Event::Heard { finding, node } => {
                let heard = self.findings[finding].clone();
                let _ = self.ledgers[node].merge_remote(&heard, unix_ms(now));
                // Peers that hear it pass it on; here all hear it from the one that found it.
                let is_own = |news: &NewFinding| {
                    news.finding.content != heard.content || news.finding.epoch > heard.epoch
                };
                let news = self.ledgers[node].take_new_findings(unix_ms(now));
                news.into_iter().filter(is_own).for_each(|news| self.spread(node, news, now));
            }
            Event::Tick => (0..self.pattern.nodes).for_each(|node| self.tell(node, now)),
        }
    }

    /// Has a node tell all others what is news.
    fn tell(&mut self, node: usize, now: Duration) {
        for news in self.ledgers[node].take_new_findings(unix_ms(now)) {
            self.spread(node, news, now);
        }
    }

    /// Has all nodes but `node` hear what is news.
    fn spread(&mut self, node: usize, news: NewFinding, now: Duration) {
        self.findings.push(news.finding);
        let finding = self.findings.len() - 1;
        for other in (0..self.pattern.nodes).filter(|other| *other != node) {
            self.at(now + self.pattern.told_after, Event::Heard { finding, node: other });
        }
    }

    fn send(&mut self, index: usize, now: Duration) {
        let Request { content, node, .. } = self.requests[index];
        let verdict = self.ledgers[node].decide(content, || node == 0, unix_ms(now));
        if matches!(verdict, Decision::Reject(_)) {
            return self.lost(index, true, now);
        }
        let is_suspected = verdict == Decision::Isolate;
        let Some(upstream) = self.choose(index, is_suspected) else {
            return self.lost(index, false, now);
        };
        self.requests[index].sends += 1;
        let is_late = self.third_at.is_some_and(|third_at| now > third_at + KNOWN_WITHIN);
        self.report.reached_late += u32::from(self.requests[index].crashes && is_late);
        let start = self.start_of(upstream);
        let known = self.ledgers[node].version(content);
        if is_suspected {
            self.ledgers[node].begin_attempt(content, start);
        }
        self.upstreams[upstream].running.push(Running { request: index, known, is_suspected });
        let takes = self.pattern.work.mul_f64(self.rng.random_range(0.5..1.5));
        let life = self.upstreams[upstream].life;
        self.at(now + takes, Event::Worked { upstream, life, request: index });
    }

    fn start_of(&self, upstream: usize) -> Start {
        Start::of(&format!("u{upstream}"), self.upstreams[upstream].life)
    }

    /// Returns an upstream with room; for a suspected request one apart from others.
    fn choose(&mut self, index: usize, is_suspected: bool) -> Option<usize> {
        let Request { content, node, .. } = self.requests[index];
        let has_room = |u: &Upstream| u.is_up && u.running.len() < self.pattern.slots;
        let free = (0..self.upstreams.len()).filter(|u| has_room(&self.upstreams[*u]));
        if is_suspected && self.pattern.apart {
            let starts: Vec<Start> =
                (0..self.upstreams.len()).map(|upstream| self.start_of(upstream)).collect();
            let apart = self.ledgers[node].choose_isolated(content, &starts, free.clone());
            if apart.is_some() {
                return apart;
            }
        }
        free.choose(&mut self.rng)
    }

    fn worked(&mut self, upstream: usize, life: u64, index: usize, now: Duration) {
        if self.upstreams[upstream].life != life {
            return;
        }
        if self.requests[index].crashes {
            self.report.crashed += 1;
            if self.report.crashed == 3 {
                self.third_at = Some(now);
            }
            return self.end(&[upstream], now);
        }
        let start = self.start_of(upstream);
        let running = &mut self.upstreams[upstream].running;
        let Some(place) = running.iter().position(|r| r.request == index) else { return };
        let Running { is_suspected, .. } = running.swap_remove(place);
        let Request { content, node, .. } = self.requests[index];
        let ledger = &mut self.ledgers[node];
        if is_suspected {
            ledger.end_attempt(content, start);
        }
        ledger.record_response(content, unix_ms(now));
        self.report.served += 1;
        self.tell(node, now);
    }

    /// Ends upstreams, all at once, with what runs there.
    fn end(&mut self, upstreams: &[usize], now: Duration) {
        let mut lost = Vec::new();
        for upstream in upstreams {
            let start = self.start_of(*upstream);
            let ended = &mut self.upstreams[*upstream];
            lost.extend(std::mem::take(&mut ended.running).into_iter().map(|run| (start, run)));
            ended.is_up = false;
            ended.life += 1;
            self.at(now + self.pattern.back_after, Event::Back { upstream: *upstream });
        }
        for (start, Running { request, known, is_suspected }) in &lost {
            let Request { content, node, .. } = self.requests[*request];
            let ledger = &mut self.ledgers[node];
            if *is_suspected {
                ledger.end_attempt(content, *start);
            }
            ledger.record_crash(content, *known, *start, unix_ms(now));
            self.tell(node, now);
        }
        for (_, Running { request, .. }) in lost {
            let Request { content, node, sends, .. } = self.requests[request];
            match sends < SENDS && !self.ledgers[node].has_repeated_crashes(content) {
                true => self.send(request, now),
                false => self.lost(request, false, now),
            }
        }
    }

    /// Ends an attempt without an answer; its caller may make the request again.
    fn lost(&mut self, index: usize, is_refused: bool, now: Duration) {
        let Request { returns, crashes, .. } = self.requests[index];
        match () {
            () if returns => {
                self.at(now + RETURN_AFTER, Event::Asked { request: index, returns: false });
            }
            () if crashes => {}
            () if is_refused => self.report.refused_wrongly += 1,
            () => self.report.failed += 1,
        }
    }
}
