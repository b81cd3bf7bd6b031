use super::BodyBudget;
use crate::Capacity;

fn budget(memory_bytes: f64) -> BodyBudget {
    BodyBudget::new(Some(Capacity { memory_bytes }))
}

/// Guards against a node that runs out of memory in a burst of large bodies, and against refusing
/// bodies although there is memory for them.
#[test]
fn bodies_are_held_whole_then_in_part_then_refused() {
    let budget = budget(8_000.0);
    let whole = budget.reserve(100, 600).expect("fits");
    assert_eq!(whole.bytes(), 600);
    let part = budget.reserve(100, 600).expect("its first part fits");
    assert_eq!(part.bytes(), 100);
    let rest = budget.reserve(300, 300).expect("fits");
    assert!(budget.reserve(1, 1).is_none());
    assert!(budget.reserve(0, 0).is_some(), "a request without a body");
    drop((whole, rest));
    assert_eq!(budget.used(), 100);
}

/// Guards against refusing short requests while callers who announce long bodies send them slowly.
#[test]
fn whole_bodies_leave_memory_for_first_parts() {
    let budget = budget(8_000.0);
    let slow: Vec<_> = (0..10).filter_map(|_| budget.reserve(100, 250)).collect();
    assert_eq!(slow.iter().filter(|body| body.bytes() == 250).count(), 3);
    drop(slow);
    let _whole = budget.reserve(100, 750).expect("fits");
    assert!(budget.reserve(1, 1).is_some() && budget.reserve(100, 100).is_some());
}

/// Guards against a body of unknown length that takes more than the memory left.
#[test]
fn a_growing_body_stays_within_the_budget() {
    let budget = budget(8_000.0);
    let mut body = budget.reserve(100, 100).expect("fits");
    assert!(body.covers(750));
    assert!(!body.covers(751));
    assert_eq!((budget.used(), budget.peak()), (750, 750));
    drop(body);
    assert_eq!((budget.used(), budget.peak()), (0, 750));
}

/// Guards against a change at nodes whose memory is not known.
#[test]
fn without_a_known_memory_only_first_parts_are_held() {
    let budget = BodyBudget::new(None);
    let mut body = budget.reserve(100, 600).expect("fits");
    assert!(body.covers(100) && !body.covers(101));
}
