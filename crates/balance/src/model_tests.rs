//! Stateful fuzzing of [`Pool`] against a simple model.
//!
//! The model keeps, per address, only what the rules say: zone, leaving,
//! report, outstanding calls, failures and refusals. After every step the
//! pool must agree with it, and every pick must be one the rules allow: of
//! the best tier there is, and in the own zone unless that costs twice as
//! much as elsewhere.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::SeedableRng;

use crate::pick::SPILL_RATIO;
use crate::{Ask, Finished, How, Policy, Pool, Report, Standing, Tier};

/// Few addresses, so that sequences reach ejections, trials and what comes after.
const PORTS: std::ops::Range<u16> = 1..5;
/// Calls outstanding at one upstream at most.
const MOST_OUTSTANDING: u32 = 3;

const ZONES: [&str; 2] = ["a", "b"];

#[derive(Clone, Debug)]
enum Op {
    SetMembers(Vec<(u16, usize, bool)>),
    MarkLeaving(u16),
    Report(u16, Report),
    Start(u16),
    Finish(u16, Finished),
    Pick { zone: usize, affinity: bool, policy: Policy, tried: Vec<u16>, seed: u64 },
    Advance(u64),
}

#[derive(Clone, Debug, Default)]
struct Member {
    zone: usize,
    leaving: bool,
    report: Report,
    outstanding: u32,
    failures: u32,
    ejections: u32,
    ejected_until_ms: Option<u64>,
    refused_until_ms: Option<u64>,
    answered_at_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Model {
    members: BTreeMap<u16, Member>,
    now_ms: u64,
}

impl Model {
    fn tier(&self, port: u16) -> Option<Tier> {
        let m = &self.members[&port];
        let ejected = m.ejected_until_ms.is_some_and(|until| until > self.now_ms);
        let answered_lately = m.answered_at_ms.is_some_and(|at| self.now_ms - at < 2_000);
        match () {
            _ if m.leaving || m.report == Report::Draining => None,
            _ if m.ejected_until_ms.is_some() && m.outstanding > 0 => None,
            _ if ejected => Some(Tier::Ejected),
            _ if m.report == Report::Failing && !answered_lately => Some(Tier::Failing),
            _ if m.refused_until_ms.is_some_and(|until| until > self.now_ms) => {
                Some(Tier::Refusing)
            }
            _ => Some(Tier::Good),
        }
    }

    fn fail(&mut self, port: u16) {
        let live = self.members.values().filter(|m| !m.leaving).count();
        let out = self
            .members
            .keys()
            .filter(|p| **p != port && self.tier(**p) == Some(Tier::Ejected))
            .count();
        let now = self.now_ms;
        let m = self.members.get_mut(&port).expect("precondition");
        m.failures += 1;
        let trial = m.ejected_until_ms.is_some_and(|until| until <= now);
        if 2 * (out + 1) <= live && (trial || m.failures >= 3) {
            m.ejected_until_ms = Some(now + (2_000 << m.ejections.min(8)).min(30_000));
            m.ejections += 1;
            m.failures = 0;
        }
    }
}

fn finished() -> impl Strategy<Value = Finished> {
    let how = prop_oneof![
        2 => Just(How::Answered),
        1 => Just(How::GivenUp),
        1 => Just(How::Refused),
        6 => Just(How::Failed),
    ];
    (how, 1u64..100, 0u64..3).prop_map(|(how, ms, kind)| Finished {
        how,
        took: Duration::from_millis(ms),
        kind,
    })
}

fn report() -> impl Strategy<Value = Report> {
    prop_oneof![Just(Report::Good), Just(Report::Failing), Just(Report::Draining)]
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
            1 => (port.clone(), report()).prop_map(|(p, r)| Op::Report(p, r)),
            3 => port.clone().prop_map(Op::Start),
            8 => (port.clone(), finished()).prop_map(|(p, how)| Op::Finish(p, how)),
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
            Op::Report(p, report) => {
                if let Some(m) = state.members.get_mut(p) {
                    m.report = *report;
                }
            }
            Op::Finish(p, how) => {
                let now = state.now_ms;
                match how.how {
                    How::Answered => {
                        let m = state.members.get_mut(p).expect("precondition");
                        m.failures = 0;
                        m.ejections = 0;
                        m.ejected_until_ms = None;
                        m.answered_at_ms = Some(now);
                    }
                    How::Refused => {
                        let m = state.members.get_mut(p).expect("precondition");
                        m.refused_until_ms = Some(now + 50);
                    }
                    How::Failed => state.fail(*p),
                    How::GivenUp => {}
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

struct Real {
    pool: Pool,
    start: Instant,
}

impl StateMachineTest for Real {
    type SystemUnderTest = Real;
    type Reference = PoolModel;

    fn init_test(_state: &Model) -> Real {
        Real { pool: Pool::default(), start: Instant::now() }
    }

    fn apply(mut real: Real, state: &Model, op: Op) -> Real {
        let now = real.start + Duration::from_millis(state.now_ms);
        match op {
            Op::SetMembers(list) => {
                let members: Vec<_> = list
                    .iter()
                    .map(|(p, z, leaving)| {
                        let standing = if *leaving { Standing::Leaving } else { Standing::Live };
                        (addr(*p), ZONES[*z].into(), standing)
                    })
                    .collect();
                real.pool.set_members(&members);
            }
            Op::MarkLeaving(p) => {
                real.pool.mark_leaving(addr(p));
            }
            Op::Start(p) => {
                let index = real.pool.position(addr(p)).expect("member");
                real.pool.start(index);
            }
            Op::Finish(p, how) => {
                let index = real.pool.position(addr(p)).expect("member");
                real.pool.finish(index, how, now);
            }
            Op::Report(p, report) => real.pool.set_report(addr(p), report),
            Op::Pick { zone, affinity, policy, tried, seed } => {
                let tried_addrs: Vec<SocketAddr> = tried.iter().map(|p| addr(*p)).collect();
                let ask = Ask {
                    policy,
                    zone: ZONES[zone],
                    zone_affinity: affinity,
                    tried: &tried_addrs,
                    barred: &[],
                    most_outstanding: MOST_OUTSTANDING,
                };
                let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
                let picked = real.pool.pick(ask, now, &mut rng);
                let tiers: BTreeMap<u16, Tier> = state
                    .members
                    .keys()
                    .filter(|p| !tried.contains(p))
                    .filter(|p| state.members[p].outstanding < MOST_OUTSTANDING)
                    .filter_map(|p| state.tier(*p).map(|tier| (*p, tier)))
                    .collect();
                let best = tiers.values().min();
                let Some(index) = picked else {
                    assert!(best.is_none(), "no pick but {tiers:?}");
                    return real;
                };
                let port = real.pool.upstreams[index].addr.port();
                assert_eq!(tiers.get(&port), best, "{port} of {tiers:?}");
                let locals: Vec<usize> = tiers
                    .iter()
                    .filter(|(p, tier)| Some(*tier) == best && state.members[p].zone == zone)
                    .filter_map(|(p, _)| real.pool.position(addr(*p)))
                    .collect();
                let picked_local = state.members[&port].zone == zone;
                if affinity && policy != Policy::RoundRobin && !locals.is_empty() && !picked_local {
                    let cost = |index: usize| real.pool.upstreams[index].cost(now);
                    let worth = locals.iter().any(|&l| cost(index) * SPILL_RATIO < cost(l));
                    assert!(worth, "{port} is in another zone and not half the cost");
                }
            }
            Op::Advance(_) => {}
        }
        real
    }

    fn check_invariants(real: &Real, state: &Model) {
        assert_eq!(real.pool.upstreams.len(), state.members.len());
        for upstream in &real.pool.upstreams {
            let m = &state.members[&upstream.addr.port()];
            assert_eq!(upstream.zone, ZONES[m.zone], "zone of {}", upstream.addr);
            assert_eq!(
                upstream.standing == Standing::Leaving,
                m.leaving,
                "standing of {}",
                upstream.addr
            );
            assert_eq!(upstream.outstanding, m.outstanding, "outstanding of {}", upstream.addr);
        }
    }
}

prop_state_machine! {
    // A fixed seed, so that CI gives the same verdict on every run.
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x000a_7c0e),
        ..ProptestConfig::default()
    })]
    #[test]
    fn pool_agrees_with_its_model(sequential 1..150 => Real);
}
