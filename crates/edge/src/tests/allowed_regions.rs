//! Routes whose requests may run in some regions only.

use std::collections::HashMap;
use std::time::Instant;

use route::{ClientLimits, Region, RetryPolicy, Route, Service, Table, Target};
use wire::Standing;

use super::fake::{get, ms, ok_response, run, start, table, Caller, EntryNode, Upstream};
use super::fleet::{addr, serving, state_at};
use crate::directory::{addresses, Lookup};

/// Availability zones `a` and `b` of one region, `c` of another.
fn regions() -> HashMap<place::Zone, Region> {
    [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into()
}

pub fn table_with_regions(version: route::Version, allowed_regions: &[&str]) -> Table {
    let route = Route {
        name: "get".into(),
        prefix: "/get/".into(),
        retry_policy: RetryPolicy::Idempotent,
        targets: vec![Target { service: "desk".into(), weight: 1.0 }],
        attempts: 2,
        timeout: ms(600),
        objective: ms(300),
        priority: 0,
        allowed_regions: allowed_regions.iter().map(|region| Region::from(*region)).collect(),
    };
    let services: Vec<Service> = table(1, ClientLimits::default()).services.into_values().collect();
    Table::new(version, ClientLimits::default(), services, vec![("seeds.example".into(), route)])
}

/// Starts a node in zone `a` in front of upstreams in `a` (region `north`) and `b` (region
/// `south`), with a route that is restricted to `allowed_regions`.
pub fn start_with_regions(upstreams: &[&Upstream], allowed_regions: &[&str]) -> EntryNode {
    let entry_node = start(upstreams);
    {
        let state = &mut *entry_node.node.state.borrow_mut();
        state.settings.regions = [("a", "north"), ("b", "south")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into();
        state.apply_table(table_with_regions(2, allowed_regions));
    }
    entry_node
}

/// Guards against sending a request to the nearest upstream, or a retry to any, in a region that
/// its route does not allow. The node is outside the allowed region.
#[test]
fn a_request_runs_in_its_allowed_regions_only() {
    run(async {
        let (near, far) = (
            Upstream::start(vec![vec![ok_response("near")]]),
            Upstream::start(vec![vec![ok_response("far")]]),
        );
        let entry_node = start_with_regions(&[&near, &far], &["south"]);
        for id in 0..10 {
            let response =
                Caller::connect(entry_node.addr).await.ask(&get("/get/1", &id.to_string())).await;
            assert_eq!(response.body, "far");
        }
        assert_eq!(near.runs(), 0);
    });
}

/// Guards against callers who wait or get a 404 while the only allowed region has no upstream or is
/// unknown.
#[test]
fn a_request_without_upstream_in_its_allowed_regions_is_refused_at_once() {
    run(async {
        let (one, other) = (Upstream::start(vec![]), Upstream::start(vec![]));
        let entry_node = start_with_regions(&[&one, &other], &["west"]);
        let sent_at = Instant::now();
        let response = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "1")).await;
        assert!(sent_at.elapsed() < ms(50) && response.status == 503, "{response:?}");
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(one.runs() + other.runs(), 0);
    });
}

/// Guards against bodies that pass through an unrelated region. The directory returns nodes of the
/// caller's zone, its region or the allowed regions, not all nodes where the zone has too few.
#[yare::parameterized(
    its_zone = { "a", "north", &["south"], &[(1, "a"), (2, "b"), (3, "c")], &[1, 9] },
    its_region = { "b", "north", &[], &[(2, "b"), (3, "c")], &[2, 9] },
    allowed_before_others = { "d", "west", &["south"], &[(2, "b"), (3, "c"), (4, "c")], &[3, 4] },
    nothing_else = { "d", "west", &["east"], &[(3, "c")], &[3, 9] },
    region_alone_and_allowed = { "c", "south", &["north"], &[(3, "c")], &[3, 9] },
    region_alone_not_allowed = { "c", "south", &["south"], &[(3, "c")], &[3] },
)]
fn callers_are_sent_to_their_region_or_an_allowed_one(
    zone: &str,
    region: &str,
    allowed_regions: &[&str],
    peers: &[(u8, &str)],
    expected: &[u8],
) {
    let mut state = state_at(addr(9), &[]);
    state.settings.front_addr = addr(9);
    state.settings.regions = regions();
    state.apply_table(table_with_regions(8, allowed_regions));
    for (n, zone) in peers {
        let mut peer = serving(zone);
        peer.standing = Standing::Alive;
        state.peers.insert(addr(*n), peer);
    }
    let lookup = Lookup { zone, region, host: "Seeds.example" };
    let mut returned = addresses(&mut state, lookup);
    returned.sort_unstable();
    let expected: Vec<_> = expected.iter().map(|n| addr(*n)).collect();
    assert_eq!(returned, expected);
}
