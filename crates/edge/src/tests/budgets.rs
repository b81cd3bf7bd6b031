//! Budgets of probes and of second sends.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wire::Standing;

use super::fake::settings;
use crate::probe::Budget;
use crate::state::{Peer, State};

/// A node that knows `others` serving nodes, by a budget with this slack.
fn node_that_knows(others: u16, slack: f64) -> State {
    let mut settings = settings();
    settings.retry_slack = slack;
    let mut state = State::new(settings);
    for n in 0..others {
        let addr = std::net::SocketAddr::from(([10, 0, 0, 1], n));
        let (zone, standing) = ("a".into(), Standing::Alive);
        let peer = Peer { zone, standing, config_head: 1, list_head: 1, heads_received: true };
        state.peers.insert(addr, peer);
    }
    state
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0a7c_0e04),
        ..ProptestConfig::default()
    })]

    /// Symptom: upstreams spend their time on being asked how they are.
    /// Sequence: requests come in any rhythm, and each finds the reports too old.
    /// Cause: a question per request without a bound.
    #[test]
    fn probes_stay_within_their_rate(
        asks in prop::collection::vec((0u64..200, 0usize..4), 1..300),
        per_s in 0.0f64..200.0,
        most in 1.0f64..20.0,
    ) {
        let began = Instant::now();
        let (mut now, mut taken) = (began, 0);
        let mut budget = Budget::default();
        for (passed_ms, wanted) in asks {
            now += Duration::from_millis(passed_ms);
            taken += budget.take(wanted, per_s, most, now);
            let allowed = most + per_s * (now - began).as_secs_f64();
            prop_assert!(taken as f64 <= allowed + 0.001, "{taken} of {allowed}");
        }
    }

    /// Symptom: after a crash, upstreams get a second wave of the same requests and stay full.
    /// Sequence: every request fails at first and asks for a second send, on every node at once.
    /// Cause: budgets of single nodes that add up to more than the fleet's.
    #[test]
    fn second_sends_of_a_fleet_stay_within_its_budget(
        nodes in 1usize..40,
        requests in 1usize..400,
    ) {
        let service = "desk".into();
        let node = || node_that_knows(nodes as u16 - 1, settings().retry_slack);
        let mut fleet: Vec<State> = (0..nodes).map(|_| node()).collect();
        let mut second = 0;
        for number in 0..requests {
            let state = &mut fleet[number % nodes];
            state.record_first_send(&service);
            second += usize::from(state.try_second_send(&service));
        }
        let settings = settings();
        let allowed = settings.retry_ratio * requests as f64 + settings.retry_slack;
        prop_assert!(second as f64 <= allowed, "{second} of {allowed}");
    }

    /// Symptom: as above, on days on which nodes are stopped, killed and started all the time.
    /// Sequence: requests come to any node, some of which fail as often as they are sent; nodes are
    /// restarted, and know three others at first.
    /// Cause: what each process begins with, and a share of the slack worked from the few nodes that
    /// it knows. The slack is two a node, as where it is stated.
    #[test]
    fn second_sends_stay_within_the_budget_when_nodes_are_restarted(
        events in prop::collection::vec((0usize..12, 0u8..40, 0u64..400), 1..400),
    ) {
        let service: route::ServiceName = "desk".into();
        let (nodes, window_ms) = (12, 10_000);
        let slack = 2.0 * nodes as f64;
        let mut fleet: Vec<State> = (0..nodes).map(|_| node_that_knows(11, slack)).collect();
        let (mut now_ms, mut first_ms, mut second_ms) = (0, Vec::new(), Vec::new());
        for (node, what, passed_ms) in events {
            now_ms += passed_ms;
            if what == 0 {
                fleet[node] = node_that_knows(3, slack);
                continue;
            }
            fleet[node].record_first_send(&service);
            first_ms.push(now_ms);
            while fleet[node].try_second_send(&service) {
                second_ms.push(now_ms);
            }
        }
        let within = |sends: &[u64], from: u64| {
            sends.iter().filter(|at| (from..from + window_ms).contains(*at)).count() as f64
        };
        let settings = node_that_knows(0, slack).settings;
        for from in (0..=now_ms).step_by(500) {
            let allowed = settings.retry_ratio * within(&first_ms, from) + settings.retry_slack;
            prop_assert!(within(&second_ms, from) <= allowed);
        }
    }
}

/// Symptom: while every upstream refuses half of its requests, requests are lost that a second send
/// would have saved.
/// Sequence: the budget has nothing left for a request that was refused; another one is overdue; a
/// second send is earned.
/// Cause: spending it on the overdue one, whose first send is still under way.
#[test]
fn hedges_yield_to_requests_that_were_refused() {
    let service = "desk".into();
    let mut state = State::new(settings());
    (0..6).for_each(|_| state.record_first_send(&service));
    assert!(state.try_second_send(&service));
    assert!(!state.try_second_send(&service));
    (0..6).for_each(|_| state.record_first_send(&service));
    assert!(!state.try_hedge(&service), "another request needs it more");
    assert!(state.try_second_send(&service));
}
