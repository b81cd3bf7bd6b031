use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;

use crate::{ClientLimits, RetryPolicy, Route, Table, Target, WeightedRoundRobin};

fn route(name: &str, prefix: &str, priority: u32) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        targets: vec![Target { service: "desk".into(), weight: 1.0 }],
        attempts: 2,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority,
        allowed_regions: Vec::new(),
    }
}

fn table() -> Table {
    let routes = vec![
        ("a.example".into(), route("all", "/", 2)),
        ("a.example".into(), route("list", "/list/", 2)),
        ("a.example".into(), route("list-new", "/list/new/", 1)),
        ("B.example".into(), route("other", "/list/", 3)),
    ];
    Table::new(7, ClientLimits::default(), Vec::new(), routes)
}

#[yare::parameterized(
    longest = { "a.example", "/list/new/1", Some("list-new") },
    middle = { "a.example", "/list/newer", Some("list") },
    root = { "a.example", "/lis", Some("all") },
    prefix_without_its_slash = { "b.example", "/list", None },
    host_in_capitals = { "b.example", "/list/1", Some("other") },
    unknown_host = { "c.example", "/list/1", None },
)]
fn a_route_is_found_by_host_and_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    assert_eq!(table().find(host, path).map(|r| r.name.as_str()), expected);
}

#[test]
fn the_most_urgent_routes_of_a_service_are_recognized() {
    let table = table();
    let urgent = table.find("a.example", "/list/new/1").expect("routed");
    let less = table.find("a.example", "/list/1").expect("routed");
    assert!(table.is_most_urgent(urgent, "desk"));
    assert!(!table.is_most_urgent(less, "desk"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0a7c_0e01),
        ..ProptestConfig::default()
    })]

    /// Guards against a service that gets twice its share of a route's requests because each
    /// request is assigned by an independent random choice.
    #[test]
    fn requests_are_distributed_by_weight(
        weights in prop::collection::vec(0u32..100, 2..5),
        requests in 1usize..500,
        seed: u64,
    ) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        let targets: Vec<Target> = weights
            .iter()
            .map(|w| Target { service: w.to_string().into(), weight: f64::from(*w) })
            .collect();
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut round_robin = WeightedRoundRobin::default();
        let mut assigned = vec![0usize; weights.len()];
        for _ in 0..requests {
            assigned[round_robin.next(&targets, &mut rng)] += 1;
        }
        for (assigned, weight) in assigned.iter().zip(&weights) {
            let share = requests as f64 * f64::from(*weight) / f64::from(total);
            let deviation = (*assigned as f64 - share).abs();
            prop_assert!(
                deviation <= weights.len() as f64,
                "{assigned} of {requests}, expected {share}"
            );
            prop_assert!(*weight > 0 || *assigned == 0);
        }
    }
}
