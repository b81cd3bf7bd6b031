//! Stateful fuzzing of [`Pool`] against a simple model.
//!
//! The model keeps, per address, only what the rules say: zone, leaving,
//! outstanding calls, failures in a row and ejection. After every step the
//! pool must agree with it, and every pick must be one the rules allow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::SeedableRng;

use crate::{Finished, Pool, Standing};

const PORTS: std::ops::Range<u16> = 1..7;
const ZONES: [&str; 2] = ["a", "b"];

#[derive(Clone, Debug)]
enum Op {
    SetMembers(Vec<(u16, usize, bool)>),
    MarkLeaving(u16),
    Start(u16),
    Finish(u16, Finished),
    Pick { zone: usize, affinity: bool, tried: Vec<u16>, seed: u64 },
    Advance(u64),
}

#[derive(Clone, Debug, Default)]
struct Member {
    zone: usize,
    leaving: bool,
    outstanding: u32,
    failures: u32,
    ejected_until_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Model {
    members: BTreeMap<u16, Member>,
    now_ms: u64,
}

impl Model {
    fn eligible(&self, port: u16, tried: &[u16]) -> bool {
        let m = &self.members[&port];
        !m.leaving
            && m.ejected_until_ms.is_none_or(|until| until <= self.now_ms)
            && !tried.contains(&port)
    }
}

fn finished() -> impl Strategy<Value = Finished> {
    prop_oneof![
        Just(Finished::Answered(Duration::from_millis(1))),
        Just(Finished::Refused),
        Just(Finished::Failed),
    ]
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
            1 => prop::collection::btree_map(PORTS, (0..ZONES.len(), any::<bool>()), 0..6)
                .prop_map(|m| Op::SetMembers(m.into_iter().map(|(p, (z, l))| (p, z, l)).collect())),
            1 => port.clone().prop_map(Op::MarkLeaving),
            3 => port.clone().prop_map(Op::Start),
            3 => (port.clone(), finished()).prop_map(|(p, how)| Op::Finish(p, how)),
            3 => (0..ZONES.len(), any::<bool>(), prop::collection::vec(PORTS, 0..3), any::<u64>())
                .prop_map(|(zone, affinity, tried, seed)| Op::Pick { zone, affinity, tried, seed }),
            1 => (0u64..3_000).prop_map(Op::Advance),
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
            Op::Finish(p, how) => {
                let now = state.now_ms;
                let m = state.members.get_mut(p).expect("precondition");
                m.outstanding = m.outstanding.saturating_sub(1);
                match how {
                    Finished::Answered(_) => m.failures = 0,
                    Finished::Refused => {}
                    Finished::Failed if m.failures + 1 >= 3 => {
                        m.failures = 0;
                        m.ejected_until_ms = Some(now + 2_000);
                    }
                    Finished::Failed => m.failures += 1,
                }
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
            Op::Pick { zone, affinity, tried, seed } => {
                let tried_addrs: Vec<SocketAddr> = tried.iter().map(|p| addr(*p)).collect();
                let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
                let picked = real.pool.pick(ZONES[zone], affinity, &tried_addrs, now, &mut rng);
                let eligible: Vec<u16> =
                    state.members.keys().copied().filter(|p| state.eligible(*p, &tried)).collect();
                let local: Vec<u16> =
                    eligible.iter().copied().filter(|p| state.members[p].zone == zone).collect();
                match picked.map(|i| real.pool.upstreams[i].addr.port()) {
                    None => assert!(eligible.is_empty(), "no pick but {eligible:?} eligible"),
                    Some(p) if affinity && !local.is_empty() => {
                        assert!(local.contains(&p), "{p} not local {local:?}")
                    }
                    Some(p) => assert!(eligible.contains(&p), "{p} not eligible {eligible:?}"),
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
    fn pool_agrees_with_its_model(sequential 1..60 => Real);
}
