//! The upstreams of one service, ranked for one request.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::crowding::Crowding;
use crate::health::HealthState;
use crate::silence::Silence;
use crate::upstream::{Load, Prediction, TypicalLoad, Upstream};
use crate::warm_up::{WarmUp, Window, ASSUMED_COLD_TTL};
use crate::{Entry, Incarnation, RequestOutcome, Zone};

/// Maximum age of a fresh report. A probe for a newer one is not worth it: its response would be
/// about as old on arrival.
const MAX_FRESH_REPORT_AGE: Duration = Duration::from_millis(40);

/// Ratio of predicted latency to objective up to which the objective is taken to be met for sure.
const SAFE_OBJECTIVE_RATIO: f64 = 0.55;

/// Ratio of predicted latency to objective from which the objective is taken to be missed for sure.
const MISSED_OBJECTIVE_RATIO: f64 = 1.15;

/// Cost below which no probes are sent if the best candidate is in the own zone and has a fresh
/// report.
const MAX_COST_WITHOUT_PROBE: f64 = 0.25;

/// Cost of a new connection, as a share of the value of a request.
const NEW_CONNECTION_COST: f64 = 0.06;

/// Additional cost of a new connection while requests wait at the upstream: an upstream with a long
/// queue accepts fewer connections and resets the rest.
const NEW_CONNECTION_COST_QUEUED: f64 = 0.3;

/// Cost of each unit of utilization beyond its effect on the prediction; it evens out the load.
const UTILIZATION_COST: f64 = 0.03;

/// Maximum random cost. It keeps entry nodes that have the same information from all choosing the
/// same upstream.
const MAX_RANDOM_COST: f64 = 0.01;

/// Weight of the newest report in the mean slowness.
const SLOWNESS_WEIGHT: f64 = 0.02;

/// Weight of the newest report in the mean utilization: a node that gets ten reports a second
/// follows a burst within about two seconds.
const UTILIZATION_WEIGHT: f64 = 0.05;

/// Load assumed of upstreams before any report. Upstreams of a service that never reports are
/// assumed to be empty except for the node's own requests, so that only these tell them apart.
const INITIAL_TYPICAL_LOAD: TypicalLoad = TypicalLoad { slowness: 1.5, utilization: 0.0 };

/// Maximum numbers of upstreams in the own zone and in other zones that are compared for a request.
///
/// A node that sends three requests a second to two hundred upstreams uses each once a minute: it
/// knows nothing of their load and has no open connection to them. With a dozen it uses each every
/// few seconds. The limits also keep the cost of a request at the node independent of the size of
/// the service.
const MAX_OWN_ZONE_COMPARED: usize = 12;
const MAX_OTHER_ZONES_COMPARED: usize = 6;

/// Minimum cost of all compared upstreams from which as many more are compared.
const MIN_WIDENING_COST: f64 = 0.6;

/// How a node gets a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPlan {
    /// Over an idle connection that it has kept open.
    Reuse,
    /// Over a new connection.
    Open,
    /// Over a new connection in addition to connections that are in use.
    OpenAdditional,
    /// Not at all, for example because its share of the upstream's connections is in use.
    Unavailable,
}

/// Load balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The least expected cost according to fresh load reports.
    #[default]
    Reports,
    /// Each upstream in turn; a baseline for measurements.
    RoundRobin,
    /// The upstream with the fewest requests of this node; a baseline for measurements.
    LeastOutstanding,
}

/// Criteria for choosing an upstream for a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Load balancing policy.
    pub policy: Policy,
    /// Time that the request takes at an upstream that is not slowed.
    pub work: Duration,
    /// Time left of its latency objective.
    pub objective_left: Duration,
    /// Zone of the entry node.
    pub zone: &'a str,
    /// Cost of sending it to another zone, as a share of its value.
    pub cross_zone_cost: f64,
    /// Zones whose upstreams may run it; `None` if all may.
    pub allowed_zones: Option<&'a BTreeSet<Zone>>,
    /// Limit for cold upstreams; `None` if they can take as much as others.
    pub warm_up: Option<WarmUp>,
    /// Upstreams that it was already sent to.
    pub tried: &'a [Incarnation],
    /// Whether it may be sent again after a failure.
    pub repeatable: bool,
}

/// An upstream that a request could be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Index in the pool, valid until the pool changes.
    pub index: usize,
    /// Expected cost as a share of the value of the request; lower is better.
    pub cost: f64,
    /// Predicted latency of the request.
    pub prediction: Prediction,
    /// Whether its load report is recent.
    pub has_fresh_report: bool,
    /// Whether it is in the node's own zone.
    in_own_zone: bool,
    connection: ConnectionPlan,
    health: HealthState,
    /// The warm-up window that the request uses, if the upstream may be cold.
    window: Option<Window>,
}

/// This node does not hold the current warm-up window of an upstream that may be cold.
struct NoWindow;

/// The upstreams of one service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// In the order in which this node prefers them; see [`Pool::with_node_seed`].
    upstreams: Vec<Upstream>,
    /// Number specific to this node that determines the order.
    node_seed: u64,
    typical_load: TypicalLoad,
    crowding: Crowding,
    /// Whether upstreams of this service report their load; `None` before the first response.
    reports_load: Option<bool>,
    /// Whether the upstreams of this service go silent when full.
    silence: Silence,
    /// Zones whose upstreams get no requests.
    evacuated: BTreeSet<Zone>,
    /// Number of rankings so far under [`Policy::RoundRobin`].
    rotation: Cell<usize>,
}

impl Default for Pool {
    fn default() -> Self {
        Pool {
            upstreams: Vec::new(),
            node_seed: 0,
            typical_load: INITIAL_TYPICAL_LOAD,
            crowding: Crowding::default(),
            reports_load: None,
            silence: Silence::default(),
            evacuated: BTreeSet::new(),
            rotation: Cell::new(0),
        }
    }
}

impl Pool {
    /// Creates an empty pool; `node_seed` is a number specific to the node.
    ///
    /// Each node prefers the upstreams in an order of its own, by a hash of its seed and their ids.
    /// All nodes together spread over all upstreams, and an upstream that is added or removed
    /// changes the set compared by a node only slightly.
    pub fn with_node_seed(node_seed: u64) -> Pool {
        Pool { node_seed, ..Pool::default() }
    }

    fn order_of(&self, id: &str) -> u64 {
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(self.node_seed, 0);
        hasher.write(id.as_bytes());
        hasher.finish()
    }

    /// Adds an upstream, or updates its address and warm-up.
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

    /// Sets the evacuated zones. Their upstreams stay in the pool and get no requests. The
    /// upstreams of a zone that is no longer evacuated are treated as cold for a while, as they may
    /// have become so.
    pub fn set_evacuated_zones(&mut self, zones: &BTreeSet<Zone>, now: Instant) {
        let is_restored = |zone: &Zone| self.evacuated.contains(zone) && !zones.contains(zone);
        for upstream in self.upstreams.iter_mut().filter(|u| is_restored(&u.zone)) {
            upstream.assumed_cold_until = Some(now + ASSUMED_COLD_TTL);
        }
        self.evacuated = zones.clone();
    }

    /// Returns the upstreams outside evacuated zones, with their indices in the pool.
    fn in_service(&self) -> impl Iterator<Item = (usize, &Upstream)> {
        let upstreams = self.upstreams.iter().enumerate();
        upstreams.filter(|(_, upstream)| !self.evacuated.contains(&upstream.zone))
    }

    /// Returns the number of upstreams outside evacuated zones.
    pub fn in_service_count(&self) -> usize {
        self.in_service().count()
    }

    /// Removes an upstream; it gets no further requests.
    pub fn remove(&mut self, upstream: &Incarnation) {
        self.upstreams.retain(|u| u.incarnation != *upstream);
    }

    /// Returns the index of an upstream in the pool.
    pub fn position(&self, upstream: &Incarnation) -> Option<usize> {
        self.upstreams.iter().position(|u| u.incarnation == *upstream)
    }

    /// Returns all upstreams, including those of evacuated zones.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns the number of upstreams that a node usually compares for a request, at least 1.
    pub fn compared_count(&self) -> usize {
        self.in_service_count().clamp(1, MAX_OWN_ZONE_COMPARED + MAX_OTHER_ZONES_COMPARED)
    }

    /// Returns whether the upstreams of this service report their load; `None` before the first
    /// response.
    pub fn reports_load(&self) -> Option<bool> {
        self.reports_load
    }

    /// Records the load report in a response of an upstream; `None` if the response had none.
    pub fn record_report(&mut self, upstream: &Incarnation, load: Option<Load>, now: Instant) {
        let Some(load) = load else {
            self.reports_load = self.reports_load.or(Some(false));
            return;
        };
        self.reports_load = Some(true);
        self.typical_load.slowness +=
            SLOWNESS_WEIGHT * (load.slowness - self.typical_load.slowness);
        self.typical_load.utilization +=
            UTILIZATION_WEIGHT * (load.utilization() - self.typical_load.utilization);
        self.silence.record_report(upstream, load, now);
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].record_report(load, now);
        }
    }

    /// Returns what is known of how the upstreams treat requests that they cannot queue.
    pub fn silence(&self) -> &Silence {
        &self.silence
    }

    /// Returns the same, for updates.
    pub fn silence_mut(&mut self) -> &mut Silence {
        &mut self.silence
    }

    /// Records for how much longer an upstream reports to be cold; `None` if it is not cold.
    pub fn set_cold_for(
        &mut self,
        upstream: &Incarnation,
        cold_for: Option<Duration>,
        now: Instant,
    ) {
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].set_cold_for(cold_for, now);
        }
    }

    /// Records that a request will be sent to a candidate; the pool must not have changed since
    /// [`Pool::rank`].
    pub fn record_chosen(&mut self, candidate: &Candidate) {
        if let (Some(window), Some(upstream)) =
            (candidate.window, self.upstreams.get_mut(candidate.index))
        {
            upstream.last_window = Some(window);
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, upstream: &Incarnation) {
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].record_sent();
        }
    }

    /// Records the outcome of a request that was sent.
    pub fn record_outcome(
        &mut self,
        upstream: &Incarnation,
        outcome: RequestOutcome,
        now: Instant,
    ) {
        let Some(index) = self.position(upstream) else { return };
        let may_eject = outcome == RequestOutcome::Failed && self.may_eject(index, now);
        let upstream = &mut self.upstreams[index];
        upstream.record_ended();
        match outcome {
            RequestOutcome::Answered => upstream.health.record_success(now),
            RequestOutcome::Failed => upstream.health.record_failure(may_eject, now),
            RequestOutcome::Refused => match upstream.report(now) {
                Some((load, _)) if load.has_free_slot() => {
                    upstream.health.record_unexplained_refusal(now)
                }
                _ => {}
            },
            RequestOutcome::Cancelled => {}
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_connect_failure(&mut self, upstream: &Incarnation, now: Instant) {
        if let Some(index) = self.position(upstream) {
            let may_eject = self.may_eject(index, now);
            self.upstreams[index].health.record_failure(may_eject, now);
        }
    }

    /// Records that a request took, or has taken so far, `ratio` times its predicted latency.
    pub fn record_latency_ratio(&mut self, upstream: &Incarnation, ratio: f64, now: Instant) {
        if let Some(index) = self.position(upstream) {
            self.upstreams[index].record_latency_ratio(ratio, now);
        }
    }

    /// Records that a request took `latency_ratio` times its work. The report in its response must
    /// have been recorded: it tells how many requests ran beside it. The latency says nothing about
    /// these if the machine is slowed, or if requests wait there, as this one may have.
    pub fn record_crowding(&mut self, upstream: &Incarnation, latency_ratio: f64, now: Instant) {
        let Some(index) = self.position(upstream) else { return };
        let upstream = &self.upstreams[index];
        match upstream.report(now) {
            // With a single slot, requests never run concurrently.
            Some((load, _))
                if upstream.slots > 1 && load.waiting == 0 && load.is_at_usual_speed() =>
            {
                let with_this = load.utilization() + 1.0 / f64::from(upstream.slots);
                self.crowding.record(with_this, latency_ratio);
            }
            _ => {}
        }
    }

    /// Returns how much longer work takes by utilization at the upstreams of this service.
    pub fn crowding(&self) -> &Crowding {
        &self.crowding
    }

    /// Returns true if at most half of the upstreams would be ejected, counting the one at `index`.
    ///
    /// Without this limit, an overload in which every upstream fails requests would eject them all
    /// and turn a slow service into an unavailable one.
    fn may_eject(&self, index: usize, now: Instant) -> bool {
        let is_ejected = |(i, u): &(usize, &Upstream)| {
            *i != index && u.health.state(now) != HealthState::Healthy
        };
        let ejected = self.in_service().filter(is_ejected).count();
        2 * (ejected + 1) <= self.in_service_count()
    }

    /// Returns the upstreams that a request could be sent to, best first.
    ///
    /// `connection` tells how the node can get a request to an upstream.
    pub fn rank<R: Rng>(
        &self,
        criteria: SelectionCriteria<'_>,
        connection: impl Fn(&Incarnation) -> ConnectionPlan,
        now: Instant,
        rng: &mut R,
    ) -> Vec<Candidate> {
        let mut own = self.upstreams_by_zone(criteria, true);
        let mut others = self.upstreams_by_zone(criteria, false);
        let mut ranked: Vec<Candidate> = Vec::new();
        loop {
            let next: Vec<usize> = own
                .by_ref()
                .take(MAX_OWN_ZONE_COMPARED)
                .chain(others.by_ref().take(MAX_OTHER_ZONES_COMPARED))
                .collect();
            let exhausted = next.is_empty();
            for index in next {
                let upstream = &self.upstreams[index];
                match (
                    connection(&upstream.incarnation),
                    self.window(upstream, criteria.warm_up, now),
                ) {
                    (ConnectionPlan::Unavailable, _) | (_, Err(NoWindow)) => {}
                    (connection, Ok(window)) => {
                        let candidate = self.candidate(index, criteria, connection, now, rng);
                        ranked.push(Candidate { window, ..candidate });
                    }
                }
            }
            if exhausted || ranked.iter().any(|c| c.cost < MIN_WIDENING_COST) {
                break;
            }
        }
        let best_health = ranked.iter().map(|c| c.health).min();
        // An upstream on trial is ranked like a healthy one, so that it gets its trial request.
        let worst_health = best_health.map(|best| best.max(HealthState::Trial));
        ranked.retain(|c| Some(c.health) <= worst_health);
        ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        match criteria.policy {
            Policy::Reports => {}
            Policy::RoundRobin => {
                ranked.sort_by_key(|c| c.index);
                let rotation = self.rotation.replace(self.rotation.get().wrapping_add(1));
                let count = ranked.len().max(1);
                ranked.rotate_left(rotation % count);
            }
            Policy::LeastOutstanding => {
                ranked.sort_by_key(|c| self.upstreams[c.index].outstanding);
            }
        }
        ranked
    }

    /// Returns the warm-up window that a request to an upstream would use; `None` if it needs none.
    fn window(
        &self,
        upstream: &Upstream,
        warm_up: Option<WarmUp>,
        now: Instant,
    ) -> Result<Option<Window>, NoWindow> {
        match warm_up {
            Some(warm_up) if upstream.may_be_cold(now) => {
                let window = warm_up.window(self.node_seed, &upstream.incarnation, now);
                let window = window.filter(|window| upstream.last_window != Some(*window));
                window.map(Some).ok_or(NoWindow)
            }
            _ => Ok(None),
        }
    }

    /// Returns the indices of the allowed upstreams that were not tried, in order: those in the
    /// node's zone if `own` is true, otherwise those in other zones.
    fn upstreams_by_zone<'a>(
        &'a self,
        criteria: SelectionCriteria<'a>,
        own: bool,
    ) -> impl Iterator<Item = usize> + 'a {
        let is_allowed =
            move |u: &Upstream| criteria.allowed_zones.is_none_or(|zones| zones.contains(&u.zone));
        let is_eligible = move |u: &Upstream| {
            (u.zone == criteria.zone) == own
                && is_allowed(u)
                && !criteria.tried.contains(&u.incarnation)
        };
        self.in_service().filter(move |(_, u)| is_eligible(u)).map(|(index, _)| index)
    }

    fn candidate<R: Rng>(
        &self,
        index: usize,
        criteria: SelectionCriteria<'_>,
        connection: ConnectionPlan,
        now: Instant,
        rng: &mut R,
    ) -> Candidate {
        let upstream = &self.upstreams[index];
        let prediction = upstream.predict(criteria.work, self.typical_load, &self.crowding, now);
        let health = match upstream.health.state(now) {
            HealthState::Trial if upstream.outstanding > 0 || !criteria.repeatable => {
                HealthState::Ejected
            }
            health => health,
        };
        let ratio =
            prediction.latency.as_secs_f64() / criteria.objective_left.as_secs_f64().max(0.001);
        let miss_cost = ((ratio - SAFE_OBJECTIVE_RATIO)
            / (MISSED_OBJECTIVE_RATIO - SAFE_OBJECTIVE_RATIO))
            .clamp(0.0, 1.0);
        // Beyond the objective, a later response is still worse: it may miss the deadline too.
        let late_cost = (ratio - MISSED_OBJECTIVE_RATIO).max(0.0) * 0.1;
        let mut cost = miss_cost + late_cost;
        cost += UTILIZATION_COST * prediction.utilization + MAX_RANDOM_COST * rng.random::<f64>();
        let in_own_zone = upstream.zone == criteria.zone;
        if !in_own_zone {
            cost += criteria.cross_zone_cost;
        }
        let has_queue = upstream.report(now).is_some_and(|(load, _)| load.waiting > 0);
        cost += match connection {
            ConnectionPlan::Open | ConnectionPlan::OpenAdditional if has_queue => {
                NEW_CONNECTION_COST + NEW_CONNECTION_COST_QUEUED
            }
            ConnectionPlan::Open | ConnectionPlan::OpenAdditional => NEW_CONNECTION_COST,
            ConnectionPlan::Reuse | ConnectionPlan::Unavailable => 0.0,
        };
        let has_fresh_report =
            upstream.report(now).is_some_and(|(_, age)| age <= MAX_FRESH_REPORT_AGE);
        Candidate {
            index,
            cost,
            prediction,
            has_fresh_report,
            in_own_zone,
            connection,
            health,
            window: None,
        }
    }

    /// Returns the indices of the upstreams to probe for their load: up to `max` of the best
    /// `ranked` ones without a fresh report, at most `max_new` of them over a new connection.
    ///
    /// The result is empty if the best candidate is in the own zone, has a fresh report and a low
    /// cost: probing others could hardly improve on it. A candidate of another zone may have to
    /// give way to one that was not probed. A new connection is expensive, and a full upstream
    /// responds on it only once a slot is free, which is too late to be of use. A connection is
    /// never opened to probe an upstream at which this node has requests in flight: it is busier
    /// than others, and the responses to those requests will report its load.
    pub fn probe_targets(&self, ranked: &[Candidate], max: usize, max_new: usize) -> Vec<usize> {
        if ranked.first().is_some_and(|best| {
            best.has_fresh_report && best.in_own_zone && best.cost < MAX_COST_WITHOUT_PROBE
        }) {
            return Vec::new();
        }
        let mut new_left = max_new;
        let mut may_probe = |candidate: &Candidate| match candidate.connection {
            ConnectionPlan::Open => match new_left.checked_sub(1) {
                Some(left) => {
                    new_left = left;
                    true
                }
                None => false,
            },
            ConnectionPlan::Reuse => true,
            ConnectionPlan::OpenAdditional | ConnectionPlan::Unavailable => false,
        };
        let without_fresh_report = ranked.iter().filter(|c| !c.has_fresh_report);
        without_fresh_report.filter(|c| may_probe(c)).take(max).map(|c| c.index).collect()
    }
}
