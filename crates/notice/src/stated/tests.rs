use super::{Field, Stated};

fn read(limit: &[&str], leaving: &[&str]) -> Stated {
    fn bytes<'a>(value: &&'a str) -> &'a [u8] {
        value.as_bytes()
    }
    Stated::read(limit.iter().map(bytes), leaving.iter().map(bytes))
}

#[yare::parameterized(
    whole = { "20", 20_000 },
    a_part_of_one = { "0.3", 300 },
    with_spaces = { " 1.1 ", 1_100 },
    nothing_at_all = { "0", 0 },
    beyond_what_anybody_sends = { "1e300", 1_000_000_000_000 },
)]
fn a_limit_is_a_decimal_number(value: &str, per_ks: u64) {
    assert_eq!(read(&[value], &[]).limit, Field::Named(per_ks));
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
    assert_eq!(read(values, &[]).limit, Field::Unreadable);
    assert_eq!(read(&[], &[]).limit, Field::Absent);
}

#[yare::parameterized(
    leaving = { &["1"], Field::Named(true) },
    staying = { &["0"], Field::Named(false) },
    not_said = { &[], Field::Absent },
    text = { &["soon"], Field::Unreadable },
    twice = { &["1", "0"], Field::Unreadable },
)]
fn leaving_is_a_flag(values: &[&str], leaving: Field<bool>) {
    assert_eq!(read(&[], values).leaving, leaving);
}
