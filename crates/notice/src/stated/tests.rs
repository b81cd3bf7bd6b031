use std::time::Duration;

use super::{Field, Stated};

fn bytes<'a>(values: &'a [&str]) -> impl Iterator<Item = &'a [u8]> {
    values.iter().map(|value| value.as_bytes())
}

#[yare::parameterized(
    whole = { "20", 20_000 },
    a_part_of_one = { "0.3", 300 },
    with_spaces = { " 1.1 ", 1_100 },
    nothing_at_all = { "0", 0 },
    beyond_what_anybody_sends = { "1e300", 1_000_000_000_000 },
)]
fn a_limit_is_a_decimal_number(value: &str, per_ks: u64) {
    assert_eq!(Field::limit(bytes(&[value])), Field::Named(per_ks));
}

/// Guards against a limit of nothing, or none, made out of what cannot be read.
#[yare::parameterized(
    negative = { &["-1"] },
    not_a_number = { &["NaN"] },
    infinite = { &["inf"] },
    text = { &["few"] },
    empty = { &[""] },
    twice = { &["1", "2"] },
)]
fn a_limit_that_cannot_be_read_is_told_from_none(values: &[&str]) {
    assert_eq!(Field::limit(bytes(values)), Field::Unreadable);
    assert_eq!(Field::limit(bytes(&[])), Field::Absent);
}

#[yare::parameterized(
    leaving = { &["1"], Field::Named(true) },
    staying = { &["0"], Field::Named(false) },
    not_said = { &[], Field::Absent },
    text = { &["soon"], Field::Unreadable },
    twice = { &["1", "0"], Field::Unreadable },
)]
fn leaving_is_a_flag(values: &[&str], leaving: Field<bool>) {
    assert_eq!(Field::leaving(bytes(values)), leaving);
}

#[yare::parameterized(
    whole = { &["3"], Field::Named(Duration::from_secs(3)) },
    a_part_of_one = { &["0.25"], Field::Named(Duration::from_millis(250)) },
    none = { &["0"], Field::Named(Duration::ZERO) },
    not_asked_for = { &[], Field::Absent },
    negative = { &["-1"], Field::Unreadable },
    infinite = { &["inf"], Field::Unreadable },
    a_date = { &["Thu, 03 Dec 2026 09:00:00 GMT"], Field::Unreadable },
    twice = { &["1", "1"], Field::Unreadable },
    beyond_any_clock = { &["1e300"], Field::Named(Duration::from_secs(1_000_000_000)) },
)]
fn a_rest_is_a_number_of_seconds(values: &[&str], rest: Field<Duration>) {
    assert_eq!(Field::rest(bytes(values)), rest);
}

#[test]
fn what_cannot_be_read_is_named() {
    let stated = Stated { rest: Field::Unreadable, ..Stated::default() };
    assert_eq!(stated.unreadable().collect::<Vec<_>>(), ["rest"]);
}
