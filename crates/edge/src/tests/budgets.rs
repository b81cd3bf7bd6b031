//! Budgets of probes and of second sends (retries and hedges).

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wire::Standing;

use super::fake::settings;
use crate::probe::Budget;
use crate::state::{Peer, State};

/// Returns the state of a node that knows `others` serving nodes, with `slack` in its retry
/// budget.
fn node_with_peers(others: u16, slack: f64) -> State {
    let mut settings = settings();
    settings.retry_slack = slack;
    let mut state = State::new(settings);
    for n in 0..others {
        let addr = std::net::SocketAddr::from(([10, 0, 0, 1], n));
        let (zone, standing) = ("a".into(), Standing::Alive);
        let peer = Peer {
            zone,
            standing,
            config_head: 1,
            list_head: 1,
            heads_received: true,
            heard_at: None,
        };
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

    /// Guards against unbounded probes that displace work at upstreams: requests come at any rate,
    /// and each finds the load reports outdated.
    #[test]
    fn probes_stay_within_their_rate(
        requests in prop::collection::vec((0u64..200, 0usize..4), 1..300),
        refill_per_s in 0.0f64..200.0,
        capacity in 1.0f64..20.0,
    ) {
        let started_at = Instant::now();
        let (mut now, mut taken) = (started_at, 0);
        let mut budget = Budget::default();
        for (passed_ms, wanted) in requests {
            now += Duration::from_millis(passed_ms);
            taken += budget.take(wanted, refill_per_s, capacity, now);
            let allowed = capacity + refill_per_s * (now - started_at).as_secs_f64();
            prop_assert!(taken as f64 <= allowed + 0.001, "{taken} of {allowed}");
        }
    }

    /// Guards against retry storms after a crash: every request fails at first and is retried, on
    /// all nodes at once. The budgets of the nodes must not add up to more than that of the fleet.
    #[test]
    fn second_sends_of_a_fleet_stay_within_its_budget(
        nodes in 1usize..40,
        requests in 1usize..400,
    ) {
        let service = "desk".into();
        let node = || node_with_peers(nodes as u16 - 1, settings().retry_slack);
        let mut fleet: Vec<State> = (0..nodes).map(|_| node()).collect();
        let mut second_sends = 0;
        for number in 0..requests {
            let state = &mut fleet[number % nodes];
            state.record_first_send(&service);
            second_sends += usize::from(state.try_second_send(&service));
        }
        let settings = settings();
        let allowed = settings.retry_ratio * requests as f64 + settings.retry_slack;
        prop_assert!(second_sends as f64 <= allowed, "{second_sends} of {allowed}");
    }

    /// As above, with nodes that restart often. Requests reach any node and fail as often as they
    /// are sent. A new process must not begin with a saved budget, nor take a share of the slack
    /// that is computed from the three nodes that it knows at first. The slack is two sends per
    /// node, as in the specification.
    #[test]
    fn second_sends_stay_within_the_budget_when_nodes_are_restarted(
        events in prop::collection::vec((0usize..12, 0u8..40, 0u64..400), 1..400),
    ) {
        let service: route::ServiceName = "desk".into();
        let (nodes, window_ms) = (12, 10_000);
        let slack = 2.0 * nodes as f64;
        let mut fleet: Vec<State> = (0..nodes).map(|_| node_with_peers(11, slack)).collect();
        let (mut now_ms, mut first_ms, mut second_ms) = (0, Vec::new(), Vec::new());
        for (node, event_kind, passed_ms) in events {
            now_ms += passed_ms;
            if event_kind == 0 {
                fleet[node] = node_with_peers(3, slack);
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
        let settings = node_with_peers(0, slack).settings;
        for from in (0..=now_ms).step_by(500) {
            let allowed = settings.retry_ratio * within(&first_ms, from) + settings.retry_slack;
            prop_assert!(within(&second_ms, from) <= allowed);
        }
    }
}

/// Guards against hedges that use up the budget needed by refused requests. A refused request finds
/// the budget empty while another one is overdue; the next second send that is earned must not go
/// to the overdue one, whose first send is still in flight.
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
