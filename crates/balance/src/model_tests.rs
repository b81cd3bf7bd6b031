//! Model-based test of [`Pool`].
//!
//! The model keeps, per address, only what the rules need: zone, leaving,
//! health, outstanding calls, responses, failures, ejections and refusals. After
//! every step the pool must agree with the model, and every pick must follow
//! the rules: it is of the best tier that is not empty and, with zone
//! affinity, in the caller's zone unless that costs more than twice as much
//! as elsewhere.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::SeedableRng;

use crate::pick::SPILLOVER_COST_RATIO;
use crate::{Completion, Health, Outcome, Policy, Pool, SelectionCriteria, Tier, UpstreamState};

/// Few ports, so that sequences reach ejections, trial calls and the state after them.
const PORTS: std::ops::Range<u16> = 1..5;
/// Number of calls outstanding at which an upstream gets no more.
const MAX_OUTSTANDING: u32 = 3;

const ZONES: [&str; 2] = ["a", "b"];

#[derive(Clone, Debug)]
enum Op {
    SetMembers(Vec<(u16, usize, bool)>),
    MarkLeaving(u16),
    SetHealth(u16, Health),
    Start(u16),
    Finish(u16, Completion),
    Pick { zone: usize, affinity: bool, policy: Policy, tried: Vec<u16>, seed: u64 },
    Advance(u64),
}

#[derive(Clone, Debug, Default)]
struct Member {
    zone: usize,
    leaving: bool,
    health: Health,
    outstanding: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until_ms: Option<u64>,
    refused_until_ms: Option<u64>,
    responded_at_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Model {
    members: BTreeMap<u16, Member>,
    now_ms: u64,
}

impl Model {
    fn tier(&self, port: u16) -> Option<Tier> {
        let m = &self.members[&port];
        let is_ejected = m.ejected_until_ms.is_some_and(|until| until > self.now_ms);
        let has_recent_response = m.responded_at_ms.is_some_and(|at| self.now_ms - at < 2_000);
        match () {
            _ if m.leaving || m.health == Health::Draining => None,
            _ if m.ejected_until_ms.is_some() && m.outstanding > 0 => None,
            _ if is_ejected => Some(Tier::Ejected),
            _ if m.health == Health::Failing && !has_recent_response => Some(Tier::Failing),
            _ if m.refused_until_ms.is_some_and(|until| until > self.now_ms) => {
                Some(Tier::Refusing)
            }
            _ => Some(Tier::Good),
        }
    }

    fn fail(&mut self, port: u16) {
        let live_count = self.members.values().filter(|m| !m.leaving).count();
        let now = self.now_ms;
        // An ejected upstream with outstanding calls counts too, although it is in no tier.
        let is_ejected =
            |m: &Member| m.ejected_until_ms.is_some_and(|until| until > now || m.outstanding > 0);
        let ejected_count =
            self.members.iter().filter(|(p, m)| **p != port && !m.leaving && is_ejected(m)).count();
        let m = self.members.get_mut(&port).expect("precondition");
        m.consecutive_failures += 1;
        let is_failed_trial = m.ejected_until_ms.is_some_and(|until| until <= now);
        if 2 * (ejected_count + 1) <= live_count && (is_failed_trial || m.consecutive_failures >= 3)
        {
            m.ejected_until_ms = Some(now + (2_000 << m.consecutive_ejections.min(8)).min(30_000));
            m.consecutive_ejections += 1;
            m.consecutive_failures = 0;
        }
    }
}

fn completion() -> impl Strategy<Value = Completion> {
    let outcome = prop_oneof![
        2 => Just(Outcome::Answered),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Refused),
        6 => Just(Outcome::Failed),
    ];
    (outcome, 1u64..100, 0u64..3).prop_map(|(outcome, ms, kind)| Completion {
        outcome,
        elapsed: Duration::from_millis(ms),
        kind,
    })
}

fn health() -> impl Strategy<Value = Health> {
    prop_oneof![Just(Health::Healthy), Just(Health::Failing), Just(Health::Draining)]
}

fn pick() -> impl Strategy<Value = Op> {
    let policy = prop_oneof![
        2 => Just(Policy::Adaptive),
        1 => Just(Policy::RoundRobin),
        1 => Just(Policy::LeastOutstanding),
    ];
    let tried = prop::collection::vec(PORTS, 0..3);
    (0..ZONES.len(), any::<bool>(), policy, tried, any::<u64>()).prop_map(
        |(zone, affinity, policy, tried, seed)| Op::Pick { zone, affinity, policy, tried, seed },
    )
}

struct PoolModel;

impl ReferenceStateMachine for PoolModel {
    type State = Model;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_state: &Model) -> BoxedStrategy<Op> {
        let port = PORTS;
        prop_oneof![
            1 => prop::collection::btree_map(PORTS, (0..ZONES.len(), any::<bool>()), 0..5)
                .prop_map(|m| Op::SetMembers(m.into_iter().map(|(p, (z, l))| (p, z, l)).collect())),
            1 => port.clone().prop_map(Op::MarkLeaving),
            1 => (port.clone(), health()).prop_map(|(p, h)| Op::SetHealth(p, h)),
            3 => port.clone().prop_map(Op::Start),
            8 => (port.clone(), completion()).prop_map(|(p, completion)| Op::Finish(p, completion)),
            6 => pick(),
            2 => (0u64..3_000).prop_map(Op::Advance),
        ]
        .boxed()
    }

    fn preconditions(state: &Model, op: &Op) -> bool {
        match op {
            Op::Start(p) | Op::Finish(p, _) => state.members.contains_key(p),
            _ => true,
        }
    }

    fn apply(mut state: Model, op: &Op) -> Model {
        match op {
            Op::SetMembers(list) => {
                let old = std::mem::take(&mut state.members);
                for (port, zone, leaving) in list {
                    let mut m = old.get(port).cloned().unwrap_or_default();
                    m.zone = *zone;
                    m.leaving = *leaving;
                    state.members.insert(*port, m);
                }
            }
            Op::MarkLeaving(p) => {
                if let Some(m) = state.members.get_mut(p) {
                    m.leaving = true;
                }
            }
            Op::Start(p) => state.members.get_mut(p).expect("precondition").outstanding += 1,
            Op::SetHealth(p, health) => {
                if let Some(m) = state.members.get_mut(p) {
                    m.health = *health;
                }
            }
            Op::Finish(p, completion) => {
                let now = state.now_ms;
                match completion.outcome {
                    Outcome::Answered => {
                        let m = state.members.get_mut(p).expect("precondition");
                        m.consecutive_failures = 0;
                        m.consecutive_ejections = 0;
                        m.ejected_until_ms = None;
                        m.responded_at_ms = Some(now);
                    }
                    Outcome::Refused => {
                        let m = state.members.get_mut(p).expect("precondition");
                        m.refused_until_ms = Some(now + 50);
                    }
                    Outcome::Failed => state.fail(*p),
                    Outcome::Cancelled => {}
                }
                let m = state.members.get_mut(p).expect("precondition");
                m.outstanding = m.outstanding.saturating_sub(1);
            }
            Op::Pick { .. } => {}
            Op::Advance(ms) => state.now_ms += ms,
        }
        state
    }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct TestPool {
    pool: Pool,
    start: Instant,
}

impl StateMachineTest for TestPool {
    type SystemUnderTest = TestPool;
    type Reference = PoolModel;

    fn init_test(_state: &Model) -> TestPool {
        TestPool { pool: Pool::default(), start: Instant::now() }
    }

    fn apply(mut test: TestPool, state: &Model, op: Op) -> TestPool {
        let now = test.start + Duration::from_millis(state.now_ms);
        match op {
            Op::SetMembers(list) => {
                let members: Vec<_> = list
                    .iter()
                    .map(|(p, z, leaving)| {
                        let upstream_state =
                            if *leaving { UpstreamState::Leaving } else { UpstreamState::Live };
                        (addr(*p), ZONES[*z].into(), upstream_state)
                    })
                    .collect();
                test.pool.set_members(&members);
            }
            Op::MarkLeaving(p) => {
                test.pool.mark_leaving(addr(p));
            }
            Op::Start(p) => {
                let index = test.pool.position(addr(p)).expect("member");
                test.pool.start(index);
            }
            Op::Finish(p, completion) => {
                let index = test.pool.position(addr(p)).expect("member");
                test.pool.finish(index, completion, now);
            }
            Op::SetHealth(p, health) => test.pool.set_health(addr(p), health),
            Op::Pick { zone, affinity, policy, tried, seed } => {
                let tried_addrs: Vec<SocketAddr> = tried.iter().map(|p| addr(*p)).collect();
                let criteria = SelectionCriteria {
                    policy,
                    zone: ZONES[zone],
                    zone_affinity: affinity,
                    tried: &tried_addrs,
                    excluded: &[],
                    max_outstanding: MAX_OUTSTANDING,
                };
                let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
                let picked = test.pool.pick(criteria, now, &mut rng);
                let tiers: BTreeMap<u16, Tier> = state
                    .members
                    .keys()
                    .filter(|p| !tried.contains(p))
                    .filter(|p| state.members[p].outstanding < MAX_OUTSTANDING)
                    .filter_map(|p| state.tier(*p).map(|tier| (*p, tier)))
                    .collect();
                let best = tiers.values().min();
                let Some(index) = picked else {
                    assert!(best.is_none(), "nothing was picked of {tiers:?}");
                    return test;
                };
                let port = test.pool.upstreams[index].addr.port();
                assert_eq!(tiers.get(&port), best, "{port} of {tiers:?}");
                let locals: Vec<usize> = tiers
                    .iter()
                    .filter(|(p, tier)| Some(*tier) == best && state.members[p].zone == zone)
                    .filter_map(|(p, _)| test.pool.position(addr(*p)))
                    .collect();
                let picked_local = state.members[&port].zone == zone;
                if affinity && policy != Policy::RoundRobin && !locals.is_empty() && !picked_local {
                    let cost = |index: usize| test.pool.upstreams[index].cost(now);
                    let is_cheaper =
                        locals.iter().any(|&l| cost(index) * SPILLOVER_COST_RATIO < cost(l));
                    assert!(
                        is_cheaper,
                        "{port} is in another zone and does not cost less than half"
                    );
                }
            }
            Op::Advance(_) => {}
        }
        test
    }

    fn check_invariants(test: &TestPool, state: &Model) {
        assert_eq!(test.pool.upstreams.len(), state.members.len());
        for upstream in &test.pool.upstreams {
            let m = &state.members[&upstream.addr.port()];
            assert_eq!(upstream.zone, ZONES[m.zone], "zone of {}", upstream.addr);
            assert_eq!(
                upstream.state == UpstreamState::Leaving,
                m.leaving,
                "state of {}",
                upstream.addr
            );
            assert_eq!(upstream.outstanding, m.outstanding, "outstanding of {}", upstream.addr);
        }
    }
}

prop_state_machine! {
    // A fixed seed makes every run give the same result.
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x000a_7c0e),
        ..ProptestConfig::default()
    })]
    #[test]
    fn pool_agrees_with_model(sequential 1..150 => TestPool);
}
