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

/// Guards against a body whose bytes are lost or in another order when its memory grows.
#[yare::parameterized(
    on_the_heap = { 10_000 },
    as_long_as_the_heap_allows = { 64 * KIB },
    one_byte_longer = { 64 * KIB + 1 },
    moved_more_than_once = { 1_500_000 },
)]
fn a_body_is_returned_as_it_was_appended(length: usize) {
    let sent: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let mut buffer = BufferBudget::unlimited().buffer();
    let mut rest = &sent[..];
    for piece_bytes in (1..).map(|index| index * 7 % 9_000) {
        let (piece, after) = rest.split_at(piece_bytes.min(rest.len()));
        assert!(buffer.append(piece));
        rest = after;
        if rest.is_empty() {
            break;
        }
    }
    assert_eq!(buffer.len(), length);
    assert!(buffer.freeze() == sent);
}

#[test]
fn a_long_piece_is_appended_whole() {
    let mut buffer = BufferBudget::unlimited().buffer();
    assert!(buffer.append(b"bean") && buffer.append(&[b's'; 1024 * KIB]));
    let body = buffer.freeze();
    assert_eq!(
        (body.len(), &body[..5], body[body.len() - 1]),
        (1024 * KIB + 4, &b"beans"[..], b's')
    );
}
