//! Requests that may run in some regions only.

use std::collections::HashMap;
use std::time::Instant;

use route::{ClientLimits, Region, RetryPolicy, Route, Service, Table, Target};
use wire::Standing;

use super::fake::{get, ms, ok_response, run, start, table, Caller, EntryNode, Upstream};
use super::fleet::{addr, serving, state_at};
use crate::directory::{addresses, Asker};

/// Availability zones `a` and `b` of one region, `c` of another.
fn regions() -> HashMap<place::Zone, Region> {
    [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into()
}

pub fn table_with_homes(version: route::Version, homes: &[&str]) -> Table {
    let route = Route {
        name: "get".into(),
        prefix: "/get/".into(),
        retry_policy: RetryPolicy::Idempotent,
        targets: vec![Target { service: "desk".into(), weight: 1.0 }],
        attempts: 2,
        timeout: ms(600),
        objective: ms(300),
        priority: 0,
        allowed_regions: homes.iter().map(|home| Region::from(*home)).collect(),
    };
    let services: Vec<Service> = table(1, ClientLimits::default()).services.into_values().collect();
    Table::new(version, ClientLimits::default(), services, vec![("seeds.example".into(), route)])
}

/// Starts a node in zone `a` before upstreams in `a` and `b`, whose requests have these homes.
pub fn start_with_homes(upstreams: &[&Upstream], homes: &[&str]) -> EntryNode {
    let entered = start(upstreams);
    {
        let state = &mut *entered.node.state.borrow_mut();
        state.settings.regions = [("a", "north"), ("b", "south")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into();
        state.apply_table(table_with_homes(2, homes));
    }
    entered
}

/// Symptom: a request runs in a region that its operator has not allowed.
/// Sequence: its node is in another region than its homes; the first send fails and it is sent again.
/// Cause: choosing the nearest upstream, or any for a second send.
#[test]
fn a_request_runs_in_its_homes_only() {
    run(async {
        let (near, far) = (
            Upstream::start(vec![vec![ok_response("near")]]),
            Upstream::start(vec![vec![ok_response("far")]]),
        );
        let entered = start_with_homes(&[&near, &far], &["south"]);
        for id in 0..10 {
            let got =
                Caller::connect(entered.addr).await.ask(&get("/get/1", &id.to_string())).await;
            assert_eq!(got.body, "far");
        }
        assert_eq!(near.runs(), 0);
    });
}

/// Symptom: callers wait, or are told 404, while the only region allowed has no upstream.
/// Sequence: all its upstreams are gone, or it is a region that nobody knows.
/// Cause: going on looking where nothing can be found.
#[test]
fn a_request_whose_homes_have_no_upstream_is_refused_at_once() {
    run(async {
        let (one, other) = (Upstream::start(vec![]), Upstream::start(vec![]));
        let entered = start_with_homes(&[&one, &other], &["west"]);
        let asked_at = Instant::now();
        let got = Caller::connect(entered.addr).await.ask(&get("/get/1", "1")).await;
        assert!(asked_at.elapsed() < ms(50) && got.status == 503, "{got:?}");
        assert!(got.headers.contains_key("retry-after"));
        assert_eq!(one.runs() + other.runs(), 0);
    });
}

/// Symptom: bodies pass through a region that they have nothing to do with.
/// Sequence: a caller asks which nodes to use; its own zone has one, or its region none.
/// Cause: naming all nodes where the zone has too few.
#[yare::parameterized(
    its_zone = { "a", "north", &["south"], &[(1, "a"), (2, "b"), (3, "c")], &[1, 9] },
    its_region = { "b", "north", &[], &[(2, "b"), (3, "c")], &[2, 9] },
    homes_before_others = { "d", "west", &["south"], &[(2, "b"), (3, "c"), (4, "c")], &[3, 4] },
    nothing_else = { "d", "west", &["east"], &[(3, "c")], &[3, 9] },
    region_alone_and_home = { "c", "south", &["north"], &[(3, "c")], &[3, 9] },
    region_alone_not_home = { "c", "south", &["south"], &[(3, "c")], &[3] },
)]
fn callers_are_sent_to_their_region_or_their_homes(
    zone: &str,
    region: &str,
    homes: &[&str],
    peers: &[(u8, &str)],
    expected: &[u8],
) {
    let mut state = state_at(addr(9), &[]);
    state.settings.front_addr = addr(9);
    state.settings.regions = regions();
    state.apply_table(table_with_homes(8, homes));
    for (n, zone) in peers {
        let mut peer = serving(zone);
        peer.standing = Standing::Alive;
        state.peers.insert(addr(*n), peer);
    }
    let asker = Asker { zone, region, host: "Seeds.example" };
    let mut named = addresses(&mut state, asker);
    named.sort_unstable();
    let expected: Vec<_> = expected.iter().map(|n| addr(*n)).collect();
    assert_eq!(named, expected);
}
