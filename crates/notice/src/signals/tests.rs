use std::time::Duration;

use super::{Field, Signals};

fn bytes<'a>(values: &'a [&str]) -> impl Iterator<Item = &'a [u8]> {
    values.iter().map(|value| value.as_bytes())
}

#[yare::parameterized(
    whole = { "20", 20_000 },
    fraction = { "0.3", 300 },
    with_spaces = { " 1.1 ", 1_100 },
    zero = { "0", 0 },
    huge = { "1e300", 1_000_000_000_000 },
)]
fn a_limit_is_a_decimal_number(value: &str, per_ks: u64) {
    assert_eq!(Field::limit(bytes(&[value])), Field::Value(per_ks));
}

/// Guards against treating an invalid value as a limit of zero or as no limit.
#[yare::parameterized(
    negative = { &["-1"] },
    not_a_number = { &["NaN"] },
    infinite = { &["inf"] },
    text = { &["few"] },
    empty = { &[""] },
    twice = { &["1", "2"] },
)]
fn an_invalid_limit_differs_from_an_absent_one(values: &[&str]) {
    assert_eq!(Field::limit(bytes(values)), Field::Invalid);
    assert_eq!(Field::limit(bytes(&[])), Field::Absent);
}

#[yare::parameterized(
    leaving = { &["1"], Field::Value(true) },
    staying = { &["0"], Field::Value(false) },
    absent = { &[], Field::Absent },
    text = { &["soon"], Field::Invalid },
    twice = { &["1", "0"], Field::Invalid },
)]
fn leaving_is_a_flag(values: &[&str], leaving: Field<bool>) {
    assert_eq!(Field::leaving(bytes(values)), leaving);
}

#[yare::parameterized(
    whole = { &["3"], Field::Value(Duration::from_secs(3)) },
    fraction = { &["0.25"], Field::Value(Duration::from_millis(250)) },
    zero = { &["0"], Field::Value(Duration::ZERO) },
    absent = { &[], Field::Absent },
    negative = { &["-1"], Field::Invalid },
    infinite = { &["inf"], Field::Invalid },
    date = { &["Thu, 03 Dec 2026 09:00:00 GMT"], Field::Invalid },
    twice = { &["1", "1"], Field::Invalid },
    huge = { &["1e300"], Field::Value(Duration::from_secs(1_000_000_000)) },
)]
fn a_backoff_is_a_number_of_seconds(values: &[&str], backoff: Field<Duration>) {
    assert_eq!(Field::backoff(bytes(values)), backoff);
}

#[test]
fn invalid_fields_are_named() {
    let signals = Signals { backoff: Field::Invalid, ..Signals::default() };
    assert_eq!(signals.invalid_fields().collect::<Vec<_>>(), ["rest"]);
}
