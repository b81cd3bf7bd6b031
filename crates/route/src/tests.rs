use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;

use crate::{ClientLimits, Repeat, Route, Table, Target, Turns};

fn route(name: &str, prefix: &str, priority: u32) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        targets: vec![Target { service: "desk".into(), weight: 1.0 }],
        attempts: 2,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority,
        homes: Vec::new(),
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
fn the_most_urgent_routes_of_a_service_are_told_apart() {
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

    /// Symptom: a service with a tenth of a split's weight gets a fifth of its requests.
    /// Sequence: requests come in any number; weights are as the operator set them.
    /// Cause: an independent draw for each request instead of turns.
    #[test]
    fn a_split_keeps_its_weights(
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
        let mut turns = Turns::default();
        let mut given = vec![0usize; weights.len()];
        for _ in 0..requests {
            given[turns.next(&targets, &mut rng)] += 1;
        }
        for (given, weight) in given.iter().zip(&weights) {
            let share = requests as f64 * f64::from(*weight) / f64::from(total);
            let off = (*given as f64 - share).abs();
            prop_assert!(off <= weights.len() as f64, "{given} of {requests}, due {share}");
            prop_assert!(*weight > 0 || *given == 0);
        }
    }
}
