//! A simulated entry node: the product's placement and admission code with its learned state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::{
    AdmissionRequest, Candidate, ConnectionPlan, Decision, Incarnation, Pool, SelectionCriteria,
};
use rand::rngs::SmallRng;
use smol_str::{format_smolstr, SmolStr};

use crate::scenario::{CallKind, Rules, Scenario};
use crate::upstream::{RequestIndex, Upstream};

/// Maximum number of upstreams probed in one round.
const MAX_PROBES_PER_ROUND: usize = 3;

pub(crate) fn zone_name(zone: usize) -> SmolStr {
    format_smolstr!("z{zone}")
}

/// Returns the incarnation of the upstream with this index.
pub(crate) fn incarnation(upstream: usize) -> Incarnation {
    Incarnation { id: format_smolstr!("u{upstream}"), born_ms: 1 }
}

/// A request to be placed, as far as the node knows it.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) kind: &'a CallKind,
    pub(crate) deadline_left: Duration,
    pub(crate) objective_left: Duration,
    pub(crate) rechecks: u32,
    pub(crate) index: RequestIndex,
}

/// What a node does next with a request.
pub(crate) enum Step {
    /// Probes these upstreams for their load.
    Probe(Vec<usize>),
    /// Sends it. `measures_work` tells whether nothing is known to slow the upstream, so that the
    /// latency is a sample of the request's work.
    Send {
        upstream: usize,
        measures_work: bool,
    },
    Wait(Duration),
    Refuse {
        retry_after: Duration,
    },
}

pub(crate) struct Node {
    pub(crate) zone: usize,
    pools: Vec<Pool>,
    work_estimates: place::WorkEstimates,
    retry_detector: place::RetryDetector,
    rng: SmallRng,
    /// Requests that wait at the node, and its rate of sends, by kind.
    lines: Vec<(place::WaitQueue, place::Rate)>,
    /// Places of the requests that wait.
    places: HashMap<RequestIndex, place::QueuePosition>,
}

impl Node {
    /// Creates a node that has the list of upstreams, but no load report of any.
    pub(crate) fn new(
        zone: usize,
        node_seed: u64,
        scenario: &Scenario,
        upstreams: &[Upstream],
        rng: SmallRng,
        now: Instant,
    ) -> Node {
        let entry = |(index, upstream): (usize, &Upstream)| place::Entry {
            id: incarnation(index).id,
            born_ms: 1,
            service: "service".into(),
            addr: SocketAddr::from(([10, 0, 0, 1], 80)),
            zone: zone_name(upstream.zone),
            slots: scenario.slots_per_upstream,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        let mut pools = vec![Pool::with_node_seed(node_seed); scenario.kinds.len()];
        for (index, upstream) in upstreams.iter().enumerate() {
            pools[index / scenario.upstreams_per_kind].put(&entry((index, upstream)), now);
        }
        let (work_estimates, retry_detector) = Default::default();
        let lines = vec![Default::default(); scenario.kinds.len()];
        let places = HashMap::new();
        Node { zone, pools, work_estimates, retry_detector, rng, lines, places }
    }

    /// Returns for how long the caller of a request has been retrying, or zero if the objective
    /// does not count from the first attempt. `stated` is the time that the caller will wait.
    pub(crate) fn retrying_for(
        &mut self,
        kind: &CallKind,
        stated: Duration,
        rules: &Rules,
        now: Instant,
    ) -> Duration {
        let retrying_for = self.retry_detector.retrying_for(&kind.name, stated, now);
        if rules.objective_from_first_attempt {
            retrying_for
        } else {
            Duration::ZERO
        }
    }

    /// Decides what to do next with a request of the kind with index `kind`. `may_probe` tells
    /// whether upstreams may be probed first.
    pub(crate) fn step(
        &mut self,
        kind: usize,
        request: &PlacementRequest<'_>,
        may_probe: bool,
        rules: &Rules,
        now: Instant,
    ) -> Step {
        let step = self.decide(kind, request, may_probe, rules, now);
        let (line, sends) = &mut self.lines[kind];
        match step {
            Step::Probe(_) => {}
            Step::Wait(_) => {
                let place = self.places.entry(request.index);
                place.or_insert_with(|| line.join(place::Urgency::default()));
            }
            Step::Refuse { .. } | Step::Send { .. } => {
                let work = self.work_estimates.work(&request.kind.name, request.kind.objective);
                if matches!(step, Step::Refuse { .. }) && request.objective_left >= work {
                    line.record_no_room(now);
                }
                if let Some(place) = self.places.remove(&request.index) {
                    line.leave(place);
                }
            }
        }
        if let Step::Send { .. } = step {
            sends.count(now);
        }
        step
    }

    fn decide(
        &mut self,
        kind: usize,
        request: &PlacementRequest<'_>,
        may_probe: bool,
        rules: &Rules,
        now: Instant,
    ) -> Step {
        let name = &request.kind.name;
        let zone = zone_name(self.zone);
        let criteria = SelectionCriteria {
            policy: rules.policy,
            work: self.work_estimates.work(name, request.kind.objective),
            objective_left: request.objective_left,
            zone: &zone,
            cross_zone_cost: rules.cross_zone_cost_per_kib * self.work_estimates.size_kib(name),
            allowed_zones: None,
            warm_up: None,
            tried: &[],
            repeatable: true,
        };
        let pool = &self.pools[kind];
        let ranked = pool.rank(criteria, |_| ConnectionPlan::Reuse, now, &mut self.rng);
        let probe_targets = pool.probe_targets(&ranked, MAX_PROBES_PER_ROUND, 0);
        let upstream_at = |index: usize| upstream_index(&pool.upstreams()[index].incarnation);
        let (line, sends) = &self.lines[kind];
        let ahead = match self.places.get(&request.index) {
            Some(place) => line.ahead_of(*place),
            None => line.ahead_of_new(place::Urgency::default()),
        };
        let (room_per_s, is_room_scarce) = (sends.per_s(now), line.is_room_scarce(now));
        if ahead == 0
            && may_probe
            && rules.policy == place::Policy::Reports
            && !probe_targets.is_empty()
        {
            return Step::Probe(probe_targets.into_iter().map(upstream_at).collect());
        }
        let best = &ranked[0];
        let admission = AdmissionRequest {
            deadline_left: request.deadline_left,
            caller_deadline_left: request.deadline_left,
            objective_left: match rules.refuses_late {
                true => request.objective_left,
                false => request.deadline_left,
            },
            most_urgent: true,
            rechecks: rules.waits_at_node.then_some(request.rechecks),
            ahead,
            room_per_s,
            is_room_scarce,
            work: criteria.work,
        };
        match place::admit(best, admission, &mut self.rng) {
            Decision::Wait(pause) => Step::Wait(pause),
            Decision::Refuse { retry_after } => Step::Refuse { retry_after },
            Decision::Send => Step::Send {
                upstream: upstream_at(best.index),
                measures_work: measures_work(pool, best, rules, now),
            },
        }
    }

    pub(crate) fn record_report(
        &mut self,
        kind: usize,
        upstream: usize,
        load: place::Load,
        now: Instant,
    ) {
        self.pools[kind].record_report(&incarnation(upstream), Some(load), now);
    }

    pub(crate) fn record_sent(&mut self, kind: usize, upstream: usize) {
        self.pools[kind].record_sent(&incarnation(upstream));
    }

    pub(crate) fn record_outcome(
        &mut self,
        kind: usize,
        upstream: usize,
        outcome: place::RequestOutcome,
        now: Instant,
    ) {
        self.pools[kind].record_outcome(&incarnation(upstream), outcome, now);
    }

    /// Updates the estimates of size and, if the latency measures it, work, and what is known of
    /// crowded upstreams.
    pub(crate) fn record_response(
        &mut self,
        (index, kind): (usize, &CallKind),
        upstream: usize,
        latency: Duration,
        measures_work: bool,
        now: Instant,
    ) {
        self.work_estimates.record_size(&kind.name, kind.response_bytes);
        let work = self.work_estimates.work(&kind.name, kind.objective);
        let work_ratio = latency.as_secs_f64() / work.as_secs_f64();
        self.pools[index].record_crowding(&incarnation(upstream), work_ratio, now);
        if measures_work {
            self.work_estimates.record_work(&kind.name, kind.objective, latency);
        }
    }
}

fn measures_work(pool: &Pool, best: &Candidate, rules: &Rules, now: Instant) -> bool {
    let report = pool.upstreams()[best.index].report(now);
    let reports_no_delay =
        report.is_some_and(|(load, _)| load.is_at_usual_speed() && load.has_free_slot());
    let has_valid_utilization = !best.prediction.nearly_full || !rules.skips_nearly_full_samples;
    best.has_fresh_report && has_valid_utilization && reports_no_delay
}

fn upstream_index(incarnation: &Incarnation) -> usize {
    incarnation.id[1..].parse().expect("upstream id should end with its index")
}
