//! What one answer states, read from the values of its headers.

use crate::PerKs;

/// Highest limit that is told from none at all, in requests a second.
const LIMIT_MOST_PER_S: f64 = 1e9;

/// One field of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// The answer does not have it.
    #[default]
    Absent,
    /// It has it, with this value.
    Named(T),
    /// It has it, and the value cannot be read. It changes nothing.
    Unreadable,
}

/// What one answer states about the upstream that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stated {
    /// Requests that it takes from all nodes together.
    pub limit: Field<PerKs>,
    /// Whether it is about to leave.
    pub leaving: Field<bool>,
}

impl<T> Field<T> {
    /// Reads a field from all its values; one that stands there twice cannot be read.
    pub(crate) fn read<'a>(
        mut values: impl Iterator<Item = &'a [u8]>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Field<T> {
        let (first, second) = (values.next(), values.next());
        let text = |bytes| std::str::from_utf8(bytes).ok().map(str::trim);
        match (first, second) {
            (None, _) => Field::Absent,
            (Some(value), None) => {
                text(value).and_then(parse).map_or(Field::Unreadable, Field::Named)
            }
            (Some(_), Some(_)) => Field::Unreadable,
        }
    }
}

impl Stated {
    /// Reads what an answer states from the values of its headers.
    pub fn read<'a, V: Iterator<Item = &'a [u8]>>(limit: V, leaving: V) -> Stated {
        Stated { limit: Field::read(limit, limit_per_ks), leaving: Field::read(leaving, flag) }
    }
}

/// Parses requests a second, a decimal number.
fn limit_per_ks(text: &str) -> Option<PerKs> {
    let per_s: f64 = text.parse().ok()?;
    let is_rate = per_s.is_finite() && per_s >= 0.0;
    is_rate.then(|| (per_s.min(LIMIT_MOST_PER_S) * 1e3) as PerKs)
}

/// Parses a flag.
fn flag(text: &str) -> Option<bool> {
    match text {
        "1" => Some(true),
        "0" => Some(false),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
