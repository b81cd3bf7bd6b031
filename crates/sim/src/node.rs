//! A simulated entry node: the product's decisions, with what they have learned.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::{
    AdmissionRequest, Candidate, ConnectionPlan, Decision, Incarnation, Pool, SelectionCriteria,
};
use rand::rngs::SmallRng;
use smol_str::{format_smolstr, SmolStr};

use crate::scenario::{Kind, Rules, Scenario};
use crate::upstream::Upstream;

/// Upstreams asked at once.
const ASK_AT_ONCE: usize = 3;

pub(crate) fn zone_name(zone: usize) -> SmolStr {
    format_smolstr!("z{zone}")
}

/// Returns the start of the upstream with this number.
pub(crate) fn incarnation(upstream: usize) -> Incarnation {
    Incarnation { id: format_smolstr!("u{upstream}"), born_ms: 1 }
}

/// What a node knows of a request that it has to place.
pub(crate) struct Placing<'a> {
    pub(crate) kind: &'a Kind,
    pub(crate) deadline_left: Duration,
    pub(crate) objective_left: Duration,
    pub(crate) looks: u32,
}

/// What becomes of a request next.
pub(crate) enum Step {
    /// These upstreams are asked first.
    Ask(Vec<usize>),
    /// It is sent; told is also whether the upstream was at its best.
    Send {
        upstream: usize,
        unhindered: bool,
    },
    Wait(Duration),
    Refuse {
        retry_after: Duration,
    },
}

pub(crate) struct Node {
    pub(crate) zone: usize,
    pools: Vec<Pool>,
    works: place::WorkEstimates,
    attempts: place::RetryDetector,
    rng: SmallRng,
}

impl Node {
    /// Creates a node that has the list of upstreams, and has heard of none.
    pub(crate) fn new(
        zone: usize,
        number: u64,
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
            slots: scenario.slots,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        let mut pools = vec![Pool::with_node_seed(number); scenario.kinds.len()];
        for (index, upstream) in upstreams.iter().enumerate() {
            pools[index / scenario.upstreams].put(&entry((index, upstream)), now);
        }
        let (works, attempts) = Default::default();
        Node { zone, pools, works, attempts, rng }
    }

    /// Returns how long the caller of a request has been trying.
    pub(crate) fn tried_for(&mut self, kind: &Kind, stated: Duration, rules: &Rules) -> Duration {
        let tried_for = self.attempts.retrying_for(&kind.name, stated);
        if rules.counts_from_first_attempt {
            tried_for
        } else {
            Duration::ZERO
        }
    }

    /// Decides what becomes of a request of the kind with index `kind`; `may_ask` tells whether
    /// upstreams may be asked first.
    pub(crate) fn step(
        &mut self,
        kind: usize,
        placing: &Placing<'_>,
        may_ask: bool,
        rules: &Rules,
        now: Instant,
    ) -> Step {
        let name = &placing.kind.name;
        let zone = zone_name(self.zone);
        let ask = SelectionCriteria {
            policy: rules.policy,
            work: self.works.work(name, placing.kind.objective),
            objective_left: placing.objective_left,
            zone: &zone,
            cross_zone_cost: rules.cross_zone_cost_per_kib * self.works.size_kib(name),
            allowed_zones: None,
            warm_up: None,
            tried: &[],
            repeatable: true,
        };
        let pool = &self.pools[kind];
        let ranked = pool.rank(ask, |_| ConnectionPlan::Reuse, now, &mut self.rng);
        let asked = pool.probe_targets(&ranked, ASK_AT_ONCE, 0);
        let number = |index: usize| number_of(&pool.upstreams()[index].incarnation);
        if may_ask && rules.policy == place::Policy::Reports && !asked.is_empty() {
            return Step::Ask(asked.into_iter().map(number).collect());
        }
        let best = &ranked[0];
        let room = AdmissionRequest {
            deadline_left: placing.deadline_left,
            objective_left: match rules.refuses_late {
                true => placing.objective_left,
                false => placing.deadline_left,
            },
            most_urgent: true,
            rechecks: rules.waits.then_some(placing.looks),
        };
        match place::admit(best, room, &mut self.rng) {
            Decision::Wait(pause) => Step::Wait(pause),
            Decision::Refuse { retry_after } => Step::Refuse { retry_after },
            Decision::Send => Step::Send {
                upstream: number(best.index),
                unhindered: is_unhindered(pool, best, rules, now),
            },
        }
    }

    pub(crate) fn take_report(
        &mut self,
        kind: usize,
        upstream: usize,
        load: place::Load,
        now: Instant,
    ) {
        self.pools[kind].record_report(&incarnation(upstream), Some(load), now);
    }

    pub(crate) fn sent(&mut self, kind: usize, upstream: usize) {
        self.pools[kind].record_sent(&incarnation(upstream));
    }

    pub(crate) fn ended(
        &mut self,
        kind: usize,
        upstream: usize,
        end: place::RequestOutcome,
        now: Instant,
    ) {
        self.pools[kind].record_outcome(&incarnation(upstream), end, now);
    }

    /// Takes what an answer tells of the work.
    pub(crate) fn learn(&mut self, kind: &Kind, took: Duration, unhindered: bool) {
        self.works.record_size(&kind.name, kind.answer_bytes);
        if unhindered {
            self.works.record_work(&kind.name, kind.objective, took);
        }
    }
}

fn is_unhindered(pool: &Pool, best: &Candidate, rules: &Rules, now: Instant) -> bool {
    let report = pool.upstreams()[best.index].report(now);
    let at_its_best =
        report.is_some_and(|(load, _)| load.is_at_usual_speed() && load.has_free_slot());
    let uncrowded = !best.prediction.nearly_full || !rules.learns_uncrowded;
    best.has_fresh_report && uncrowded && at_its_best
}

fn number_of(incarnation: &Incarnation) -> usize {
    incarnation.id[1..].parse().expect("ids end with a number")
}
