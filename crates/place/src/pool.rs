//! The upstreams of one service, ranked for one request.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::health::Standing;
use crate::upstream::{Load, Prediction, Upstream, Usual};
use crate::warm_up::{Turn, WarmUp, DOUBTED_FOR};
use crate::{End, Entry, Incarnation, Zone};

/// A report of this age or younger is not worth asking for again: the answer
/// would come back about as old.
const FRESH: Duration = Duration::from_millis(40);

/// Part of the objective that a request may take without any risk of missing it.
const SAFE_PART: f64 = 0.55;

/// Part of the objective from which on a request is taken to miss it.
const LOST_PART: f64 = 1.15;

/// Cost up to which a fresh candidate of the own zone is good enough not to ask others.
const GOOD_ENOUGH: f64 = 0.25;

/// What a new connection costs, as a share of a request's worth.
const NEW_CONNECTION: f64 = 0.06;

/// What it costs more while requests wait there: an upstream whose queue is
/// long takes fewer connections and resets the rest.
const NEW_CONNECTION_AT_A_QUEUE: f64 = 0.3;

/// What a full upstream costs beyond its prediction: evens the load out.
const FULLNESS: f64 = 0.03;

/// Random part of a cost, so that entry nodes that see the same do not all go the same way.
const CHANCE: f64 = 0.01;

/// Weight of the newest report in the mean slowness.
const SLOWNESS_WEIGHT: f64 = 0.02;

/// Weight of the newest report in the mean fullness: a node with ten reports a
/// second follows a burst within about two seconds.
const FULLNESS_WEIGHT: f64 = 0.05;

/// What upstreams are taken to be like before any report. Those of a service that never reports
/// stay empty but for the node's own requests, so that these alone tell them apart.
const USUAL_FIRST: Usual = Usual { slowness: 1.5, fullness: 0.0 };

/// Upstreams of the own zone, and of others, that a node compares for a request.
///
/// A node that sends three requests a second to two hundred upstreams meets
/// each once a minute: it knows nothing of it and has no connection left. With
/// a dozen it meets each every few seconds. What a request costs the node
/// does not grow with the size of a service either.
const OWN_ZONE_MOST: usize = 12;
const OTHER_ZONES_MOST: usize = 6;

/// When all of these are this costly, as many more are compared.
const WIDEN_FROM: f64 = 0.6;

/// How a node gets a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// On a connection that it has kept.
    Kept,
    /// On a new connection.
    New,
    /// On a new connection beside those in use.
    NewBeside,
    /// Not at all: its share of the upstream's connections is in use.
    Not,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the least expected cost, from fresh reports.
    #[default]
    Reports,
    /// Each in turn; a baseline to measure against.
    RoundRobin,
    /// The one with the fewest requests of this node; a baseline to measure against.
    LeastOutstanding,
}

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// How to choose.
    pub policy: Policy,
    /// Work that it takes at an upstream that is not slowed.
    pub work: Duration,
    /// Time left within which its answer is worth most.
    pub objective_left: Duration,
    /// Zone of the entry node.
    pub zone: &'a str,
    /// What sending it to another zone costs, as a share of its worth.
    pub cross_zone_cost: f64,
    /// Zones whose upstreams may run it; `None` where all may.
    pub homes: Option<&'a BTreeSet<Zone>>,
    /// What cold upstreams bear; `None` where they bear as much as others.
    pub warm_up: Option<WarmUp>,
    /// Upstreams that were tried already.
    pub tried: &'a [Incarnation],
    /// Whether a failure can be mended by sending it again.
    pub repeatable: bool,
}

/// One upstream that a request could go to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Index in the pool, until the pool changes.
    pub index: usize,
    /// Expected cost as a share of the request's worth; the least is best.
    pub cost: f64,
    /// How long the request would take.
    pub prediction: Prediction,
    /// Whether its report is recent.
    pub fresh: bool,
    /// Whether it is in the node's own zone.
    near: bool,
    reach: Reach,
    standing: Standing,
    /// The turn that the request uses up, at an upstream that is cold.
    turn: Option<Turn>,
}

/// It is not this node's turn at an upstream that is cold.
struct NotNow;

/// The upstreams of one service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// In the order in which this node prefers them; see [`Pool::of_node`].
    upstreams: Vec<Upstream>,
    /// Who orders: a number of the node's own.
    node_seed: u64,
    usual: Usual,
    /// Whether upstreams of this service report their load; `None` before any answered.
    reports: Option<bool>,
    /// Zones whose upstreams get nothing.
    evacuated: BTreeSet<Zone>,
    /// Next upstream in turn, for [`Policy::RoundRobin`].
    turn: Cell<usize>,
}

impl Default for Pool {
    fn default() -> Self {
        Pool {
            upstreams: Vec::new(),
            node_seed: 0,
            usual: USUAL_FIRST,
            reports: None,
            evacuated: BTreeSet::new(),
            turn: Cell::new(0),
        }
    }
}

impl Pool {
    /// Creates the pool of the node with this number.
    ///
    /// Each node prefers the upstreams in an order of its own, by a hash of its number and their
    /// ids: all nodes together spread over all upstreams, and one that comes or goes moves few.
    pub fn of_node(node_seed: u64) -> Pool {
        Pool { node_seed, ..Pool::default() }
    }

    fn order_of(&self, id: &str) -> u64 {
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(self.node_seed, 0);
        hasher.write(id.as_bytes());
        hasher.finish()
    }

    /// Adds an upstream or takes what changed about it.
    pub fn put(&mut self, entry: &Entry, now: Instant) {
        let incarnation = entry.incarnation();
        let index = match self.position(&incarnation) {
            Some(index) => index,
            None => {
                let order = self.order_of(&entry.id);
                let before = |u: &Upstream| self.order_of(&u.incarnation.id) < order;
                let index = self.upstreams.partition_point(before);
                let zone = entry.zone.clone();
                let upstream = Upstream::new(incarnation, entry.addr, zone, entry.slots);
                self.upstreams.insert(index, upstream);
                index
            }
        };
        let upstream = &mut self.upstreams[index];
        upstream.addr = entry.addr;
        upstream.cold_until = (!entry.cold_for.is_zero()).then(|| now + entry.cold_for);
    }

    /// Takes which zones are evacuated: their upstreams stay in the pool and get nothing. Those of a
    /// zone that was evacuated until now may have become cold.
    pub fn evacuate(&mut self, zones: &BTreeSet<Zone>, now: Instant) {
        let is_restored = |zone: &Zone| self.evacuated.contains(zone) && !zones.contains(zone);
        for upstream in self.upstreams.iter_mut().filter(|u| is_restored(&u.zone)) {
            upstream.doubted_until = Some(now + DOUBTED_FOR);
        }
        self.evacuated = zones.clone();
    }

    /// Returns the upstreams that may get requests, with their places in the pool.
    fn in_service(&self) -> impl Iterator<Item = (usize, &Upstream)> {
        let upstreams = self.upstreams.iter().enumerate();
        upstreams.filter(|(_, upstream)| !self.evacuated.contains(&upstream.zone))
    }

    /// Returns how many upstreams may get requests.
    pub fn in_service_count(&self) -> usize {
        self.in_service().count()
    }

    /// Drops an upstream: it gets no further request.
    pub fn remove(&mut self, upstream: &Incarnation) {
        self.upstreams.retain(|u| u.incarnation != *upstream);
    }

    /// Returns where an upstream stands in the pool.
    pub fn position(&self, upstream: &Incarnation) -> Option<usize> {
        self.upstreams.iter().position(|u| u.incarnation == *upstream)
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns how many upstreams a node compares for a request, at least one.
    pub fn compared(&self) -> usize {
        self.in_service_count().clamp(1, OWN_ZONE_MOST + OTHER_ZONES_MOST)
    }

    /// Returns whether upstreams of this service report their load, once one answered.
    pub fn reports(&self) -> Option<bool> {
        self.reports
    }

    /// Takes an upstream's report of its load, or that its answer had none.
    pub fn take_report(&mut self, upstream: &Incarnation, load: Option<Load>, now: Instant) {
        let Some(load) = load else {
            self.reports = self.reports.or(Some(false));
            return;
        };
        self.reports = Some(true);
        self.usual.slowness += SLOWNESS_WEIGHT * (load.slowness - self.usual.slowness);
        self.usual.fullness += FULLNESS_WEIGHT * (load.fullness() - self.usual.fullness);
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].take_report(load, now);
        }
    }

    /// Takes what an upstream says itself of how long it is cold; `None` when it is not.
    pub fn take_cold(&mut self, upstream: &Incarnation, cold_for: Option<Duration>, now: Instant) {
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].take_cold(cold_for, now);
        }
    }

    /// Records that a request goes to a candidate that was ranked just now.
    pub fn chosen(&mut self, candidate: &Candidate) {
        if let (Some(turn), Some(upstream)) =
            (candidate.turn, self.upstreams.get_mut(candidate.index))
        {
            upstream.turn_used = Some(turn);
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, upstream: &Incarnation) {
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].sent();
        }
    }

    /// Records how a request ended.
    pub fn ended(&mut self, upstream: &Incarnation, end: End, now: Instant) {
        let Some(index) = self.position(upstream) else { return };
        let may_eject = end == End::Failed && self.may_eject(index, now);
        let upstream = &mut self.upstreams[index];
        upstream.ended();
        match end {
            End::Answered => upstream.health.answered(now),
            End::Failed => upstream.health.failed(may_eject, now),
            End::Refused => match upstream.report(now) {
                Some((load, _)) if load.has_room() => upstream.health.refused_with_room(now),
                _ => {}
            },
            End::GivenUp => {}
        }
    }

    /// Records that no connection could be made to an upstream.
    pub fn unreachable(&mut self, upstream: &Incarnation, now: Instant) {
        if let Some(index) = self.position(upstream) {
            let may_eject = self.may_eject(index, now);
            self.upstreams[index].health.failed(may_eject, now);
        }
    }

    /// Records that a request took, or has taken so far, `ratio` times its prediction.
    pub fn took_ratio(&mut self, upstream: &Incarnation, ratio: f64, now: Instant) {
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].took_ratio(ratio, now);
        }
    }

    /// Returns true when the others can carry the load without `index`.
    ///
    /// Without this bound an overload, in which every upstream fails requests,
    /// would eject them all and turn a slow service into one that is down.
    fn may_eject(&self, index: usize, now: Instant) -> bool {
        let is_out =
            |(i, u): &(usize, &Upstream)| *i != index && u.health.standing(now) != Standing::Good;
        let out = self.in_service().filter(is_out).count();
        2 * (out + 1) <= self.in_service_count()
    }

    /// Returns the upstreams that a request could go to, best first.
    pub fn rank<R: Rng>(
        &self,
        ask: Ask<'_>,
        reach: impl Fn(&Incarnation) -> Reach,
        now: Instant,
        rng: &mut R,
    ) -> Vec<Candidate> {
        let mut own = self.in_zone(ask, true);
        let mut others = self.in_zone(ask, false);
        let mut ranked: Vec<Candidate> = Vec::new();
        loop {
            let next: Vec<usize> = own
                .by_ref()
                .take(OWN_ZONE_MOST)
                .chain(others.by_ref().take(OTHER_ZONES_MOST))
                .collect();
            let exhausted = next.is_empty();
            for index in next {
                let upstream = &self.upstreams[index];
                match (reach(&upstream.incarnation), self.turn(upstream, ask.warm_up, now)) {
                    (Reach::Not, _) | (_, Err(NotNow)) => {}
                    (reach, Ok(turn)) => {
                        let candidate = self.candidate(index, ask, reach, now, rng);
                        ranked.push(Candidate { turn, ..candidate });
                    }
                }
            }
            if exhausted || ranked.iter().any(|c| c.cost < WIDEN_FROM) {
                break;
            }
        }
        let sound = ranked.iter().map(|c| c.standing).min();
        // An upstream on trial is as good as any, so that it gets its one request.
        let worst = sound.map(|best| best.max(Standing::Trial));
        ranked.retain(|c| Some(c.standing) <= worst);
        ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        match ask.policy {
            Policy::Reports => {}
            Policy::RoundRobin => {
                ranked.sort_by_key(|c| c.index);
                let turn = self.turn.replace(self.turn.get().wrapping_add(1));
                let count = ranked.len().max(1);
                ranked.rotate_left(turn % count);
            }
            Policy::LeastOutstanding => {
                ranked.sort_by_key(|c| self.upstreams[c.index].outstanding);
            }
        }
        ranked
    }

    /// Returns the turn that a request to an upstream uses up; `None` where it needs none.
    fn turn(
        &self,
        upstream: &Upstream,
        warm_up: Option<WarmUp>,
        now: Instant,
    ) -> Result<Option<Turn>, NotNow> {
        match warm_up {
            Some(warm_up) if upstream.may_be_cold(now) => {
                let turn = warm_up.turn(self.node_seed, &upstream.incarnation, now);
                let turn = turn.filter(|turn| upstream.turn_used != Some(*turn));
                turn.map(Some).ok_or(NotNow)
            }
            _ => Ok(None),
        }
    }

    /// Returns the upstreams in or outside the node's zone that were not tried, in order.
    fn in_zone<'a>(&'a self, ask: Ask<'a>, own: bool) -> impl Iterator<Item = usize> + 'a {
        let is_home = move |u: &Upstream| ask.homes.is_none_or(|homes| homes.contains(&u.zone));
        let wanted = move |u: &Upstream| {
            (u.zone == ask.zone) == own && is_home(u) && !ask.tried.contains(&u.incarnation)
        };
        self.in_service().filter(move |(_, u)| wanted(u)).map(|(index, _)| index)
    }

    fn candidate<R: Rng>(
        &self,
        index: usize,
        ask: Ask<'_>,
        reach: Reach,
        now: Instant,
        rng: &mut R,
    ) -> Candidate {
        let upstream = &self.upstreams[index];
        let prediction = upstream.predict(ask.work, self.usual, now);
        let standing = match upstream.health.standing(now) {
            Standing::Trial if upstream.outstanding > 0 || !ask.repeatable => Standing::Ejected,
            standing => standing,
        };
        let part = prediction.took.as_secs_f64() / ask.objective_left.as_secs_f64().max(0.001);
        let miss = ((part - SAFE_PART) / (LOST_PART - SAFE_PART)).clamp(0.0, 1.0);
        // Beyond the objective, later is still worse: it may miss the deadline too.
        let late = (part - LOST_PART).max(0.0) * 0.1;
        let mut cost = miss + late;
        cost += FULLNESS * prediction.fullness + CHANCE * rng.random::<f64>();
        let near = upstream.zone == ask.zone;
        if !near {
            cost += ask.cross_zone_cost;
        }
        let queue = upstream.report(now).is_some_and(|(load, _)| load.waiting > 0);
        cost += match reach {
            Reach::New | Reach::NewBeside if queue => NEW_CONNECTION + NEW_CONNECTION_AT_A_QUEUE,
            Reach::New | Reach::NewBeside => NEW_CONNECTION,
            Reach::Kept | Reach::Not => 0.0,
        };
        let fresh = upstream.report(now).is_some_and(|(_, age)| age <= FRESH);
        Candidate { index, cost, prediction, fresh, near, reach, standing, turn: None }
    }

    /// Returns up to `most` of the best `ranked` upstreams whose report is too old to rely on, at
    /// most `most_new` of them over a new connection.
    ///
    /// None when the best one is near, its report is fresh and its cost low: asking others could
    /// hardly improve on it. One of another zone may have to give way to one that was not asked. A
    /// new connection is dear, and full upstreams make it wait for a slot: its question is answered
    /// too late to be of use. Least of all is it worth one to ask an upstream at which this node has
    /// requests under way: it is busier than others, and its answer will say how busy.
    pub fn to_ask(&self, ranked: &[Candidate], most: usize, most_new: usize) -> Vec<usize> {
        if ranked.first().is_some_and(|best| best.fresh && best.near && best.cost < GOOD_ENOUGH) {
            return Vec::new();
        }
        let mut new_left = most_new;
        let mut may_ask = |candidate: &Candidate| match candidate.reach {
            Reach::New => match new_left.checked_sub(1) {
                Some(left) => {
                    new_left = left;
                    true
                }
                None => false,
            },
            Reach::Kept => true,
            Reach::NewBeside | Reach::Not => false,
        };
        let old = ranked.iter().filter(|c| !c.fresh);
        old.filter(|c| may_ask(c)).take(most).map(|c| c.index).collect()
    }
}
