//! What one answer states, read from the values of its headers.

use std::time::Duration;

use http::{header, HeaderMap, HeaderName, StatusCode};

use crate::PerKs;

/// Highest limit that is told from none at all, in requests a second.
const LIMIT_MOST_PER_S: f64 = 1e9;

/// Longest rest that is told from a longer one, in seconds.
const REST_MOST_S: f64 = 1e9;

/// Names of the headers that state something.
#[derive(Clone, Debug)]
pub struct Names {
    /// Requests a second that the upstream takes from all nodes together.
    pub limit: HeaderName,
    /// 1 when it is about to leave.
    pub leaving: HeaderName,
}

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
    /// For how long it wants nothing from the node that it answers.
    pub rest: Field<Duration>,
}

impl<T> Field<T> {
    /// Reads a field from all its values; one that stands there twice cannot be read.
    fn read<'a>(
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

impl Field<PerKs> {
    /// Reads a limit: requests a second, a decimal number.
    fn limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Field<PerKs> {
        Field::read(values, |text| Some((decimal(text)?.min(LIMIT_MOST_PER_S) * 1e3) as PerKs))
    }
}

impl Field<bool> {
    /// Reads whether the upstream is about to leave: 1, or 0.
    fn leaving<'a>(values: impl Iterator<Item = &'a [u8]>) -> Field<bool> {
        Field::read(values, |text| match text {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        })
    }
}

impl Field<Duration> {
    /// Reads the rest that a refusal asks for: seconds, a decimal number.
    fn rest<'a>(values: impl Iterator<Item = &'a [u8]>) -> Field<Duration> {
        Field::read(values, |text| Some(Duration::from_secs_f64(decimal(text)?.min(REST_MOST_S))))
    }
}

impl Stated {
    /// Reads what an answer states. Only a refusal for want of room asks for rest: with other answers the
    /// header says when something else will be.
    pub fn read(status: StatusCode, headers: &HeaderMap, names: &Names) -> Stated {
        let values = |name: &HeaderName| headers.get_all(name).iter().map(|value| value.as_bytes());
        let refuses = status == StatusCode::SERVICE_UNAVAILABLE;
        Stated {
            limit: Field::limit(values(&names.limit)),
            leaving: Field::leaving(values(&names.leaving)),
            rest: match refuses {
                true => Field::rest(values(&header::RETRY_AFTER)),
                false => Field::Absent,
            },
        }
    }

    /// Returns the names of the fields that cannot be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &'static str> {
        let limit = (self.limit == Field::Unreadable, "limit");
        let leaving = (self.leaving == Field::Unreadable, "leaving");
        let rest = (self.rest == Field::Unreadable, "rest");
        [limit, leaving, rest].into_iter().filter(|(is_it, _)| *is_it).map(|(_, name)| name)
    }
}

/// Parses a decimal number of nothing or more.
fn decimal(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

#[cfg(test)]
mod tests;
