use proptest::prelude::*;

use super::Reservations;
use crate::{ContentKey, Finding, Start};

fn finding(n: u8, crashed: &[u64]) -> Finding {
    let mut finding = Finding { waves: 2, ..Finding::empty(ContentKey::of([&[n][..]])) };
    crashed.iter().for_each(|n| finding.add_crashed(start(*n)));
    finding
}

fn start(n: u64) -> Start {
    Start::of("u", n)
}

#[test]
fn an_upstream_that_crashed_under_a_request_is_not_reserved_for_it() {
    let finding = finding(1, &[1, 2]);
    let reservations =
        Reservations::assign([&finding].into_iter(), &[start(1), start(2), start(3)]);
    assert!(reservations.is_reserved_for(start(3), finding.content));
    assert!(!reservations.is_reserved_for_other(start(3), finding.content));
}

#[test]
fn more_requests_than_upstreams_leave_some_without_a_reservation() {
    let (one, other) = (finding(1, &[]), finding(2, &[]));
    let reservations = Reservations::assign([&one, &other].into_iter(), &[start(1)]);
    let reserved =
        [&one, &other].iter().filter(|f| reservations.is_reserved_for(start(1), f.content)).count();
    assert_eq!(reserved, 1);
}

proptest! {
    /// Guards against quarantining a harmless request: it is lost together with one that crashes
    /// upstreams, and two nodes, each choosing by itself, resend both to the same upstream, as do
    /// the nodes to which the callers return. Reservations must not depend on the order in which a
    /// node learned of requests and upstreams, and no upstream may be reserved twice.
    #[test]
    fn reservations_do_not_depend_on_order(
        count in 1usize..12,
        upstreams in 1u64..24,
        shift in 0usize..24,
    ) {
        let findings: Vec<Finding> = (0..count).map(|n| finding(n as u8, &[n as u64])).collect();
        let starts: Vec<Start> = (0..upstreams).map(start).collect();
        let reservations = Reservations::assign(findings.iter(), &starts);

        let mut rotated = starts.clone();
        rotated.rotate_left(shift % starts.len());
        prop_assert_eq!(&reservations, &Reservations::assign(findings.iter().rev(), &rotated));
        for finding in &findings {
            let own = starts
                .iter()
                .filter(|start| reservations.is_reserved_for(**start, finding.content));
            prop_assert!(own.count() <= 1);
        }
    }
}
