use super::{Buffer, BufferBudget};

const KIB: usize = 1024;
const MAX_BYTES: usize = 96 * KIB;

/// Appends pieces until one is not admitted; returns the length of the body.
fn fill(buffer: &mut Buffer) -> usize {
    while buffer.append(&[0; KIB]) {}
    buffer.len()
}

#[test]
fn a_body_alone_takes_two_thirds_of_the_budget() {
    assert_eq!(fill(&mut BufferBudget::new(MAX_BYTES).buffer()), 64 * KIB);
}

/// Guards against bodies without end that take the memory of all others: each is given up in time, so
/// that a short one fits at any moment.
#[yare::parameterized(
    one = { 1 },
    three = { 3 },
    many = { 40 },
)]
fn a_short_body_fits_beside_bodies_without_end(count: usize) {
    let budget = BufferBudget::new(40 * MAX_BYTES);
    let mut endless: Vec<Buffer> = (0..count).map(|_| budget.buffer()).collect();
    let mut given_up = 0;
    for _ in 0..10_000 {
        for buffer in &mut endless {
            if !buffer.append(&[0; KIB]) {
                *buffer = budget.buffer();
                given_up += 1;
            }
        }
        let mut short = budget.buffer();
        assert!((0..8).all(|_| short.append(&[0; KIB])), "{} bytes are used", budget.used());
    }
    assert!(given_up > 0);
}

/// Guards against a budget that is used up for good: what a body takes is returned with its last clone.
#[test]
fn a_body_counts_until_its_last_clone_is_dropped() {
    let budget = BufferBudget::new(MAX_BYTES);
    let mut buffer = budget.buffer();
    assert!(buffer.append(b"beans"));
    let body = buffer.freeze();
    let clone = body.slice(1..);
    drop(body);
    assert_eq!((clone.as_ref(), budget.used()), (&b"eans"[..], 5));
    drop(clone);
    assert_eq!(budget.used(), 0);
    let mut given_up = budget.buffer();
    assert!(given_up.append(b"beans"));
    drop(given_up);
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_budget_without_limit_admits_everything() {
    let mut buffer = BufferBudget::unlimited().buffer();
    assert!((0..100).all(|_| buffer.append(&[0; MAX_BYTES])));
}
