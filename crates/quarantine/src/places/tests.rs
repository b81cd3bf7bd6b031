use proptest::prelude::*;

use super::Places;
use crate::{Content, Finding, Start};

fn finding(n: u8, crashed: &[u64]) -> Finding {
    let mut finding = Finding { waves: 2, ..Finding::none(Content::of([&[n][..]])) };
    crashed.iter().for_each(|n| finding.add(start(*n)));
    finding
}

fn start(n: u64) -> Start {
    Start::of("u", n)
}

#[test]
fn an_upstream_that_crashed_under_a_request_is_not_its_place() {
    let finding = finding(1, &[1, 2]);
    let places = Places::deal([&finding].into_iter(), &[start(1), start(2), start(3)]);
    assert!(places.is_for(start(3), finding.content));
    assert!(!places.is_for_another(start(3), finding.content));
}

#[test]
fn more_requests_than_upstreams_leave_some_without_a_place() {
    let (one, other) = (finding(1, &[]), finding(2, &[]));
    let places = Places::deal([&one, &other].into_iter(), &[start(1)]);
    let placed = [&one, &other].iter().filter(|f| places.is_for(start(1), f.content)).count();
    assert_eq!(placed, 1);
}

proptest! {
    /// Symptom: a harmless request is held back on all nodes for minutes.
    /// Sequence: it is lost beside one that crashes upstreams; two nodes send both on, to the same
    /// upstream, and so do those to which their callers return.
    /// Cause: each node chose by itself. What is dealt out must be the same in whichever order a
    /// node heard of the requests and of the upstreams, and no upstream may be given out twice.
    #[test]
    fn nodes_that_know_the_same_deal_alike(
        count in 1usize..12,
        upstreams in 1u64..24,
        shift in 0usize..24,
    ) {
        let findings: Vec<Finding> = (0..count).map(|n| finding(n as u8, &[n as u64])).collect();
        let starts: Vec<Start> = (0..upstreams).map(start).collect();
        let places = Places::deal(findings.iter(), &starts);

        let mut others = starts.clone();
        others.rotate_left(shift % starts.len());
        prop_assert_eq!(&places, &Places::deal(findings.iter().rev(), &others));
        for finding in &findings {
            let of_it = starts.iter().filter(|start| places.is_for(**start, finding.content));
            prop_assert!(of_it.count() <= 1);
        }
    }
}
