//! The backpressure signals of one response, parsed from its headers.

use std::time::Duration;

use http::{header, HeaderMap, HeaderName, StatusCode};

use crate::PerKs;

/// Bound that larger limits are clamped to, in requests per second.
const MAX_LIMIT_PER_S: f64 = 1e9;

/// Bound that larger backoffs are clamped to, in seconds.
const MAX_PARSED_BACKOFF_S: f64 = 1e9;

/// Names of the headers that carry signals.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request rate that the upstream accepts from all nodes together, in requests per second.
    pub limit: HeaderName,
    /// 1 when the upstream is about to leave, otherwise 0.
    pub leaving: HeaderName,
}

/// One header field of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// The response does not have the field.
    #[default]
    Absent,
    /// The response has the field, with this value.
    Value(T),
    /// The response has the field, but its value cannot be parsed.
    Invalid,
}

/// What one response states about the upstream that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// Request rate that the upstream accepts from all nodes together, in requests per 1,000
    /// seconds.
    pub limit: Field<PerKs>,
    /// Whether the upstream is about to leave.
    pub leaving: Field<bool>,
    /// How long the receiving node should send the upstream nothing.
    pub backoff: Field<Duration>,
}

impl<T> Field<T> {
    /// Parses a field from all its values; a field that occurs twice is invalid.
    fn parse<'a>(
        mut values: impl Iterator<Item = &'a [u8]>,
        parse_text: impl Fn(&str) -> Option<T>,
    ) -> Field<T> {
        let (first, second) = (values.next(), values.next());
        let text = |bytes| std::str::from_utf8(bytes).ok().map(str::trim);
        match (first, second) {
            (None, _) => Field::Absent,
            (Some(value), None) => {
                text(value).and_then(parse_text).map_or(Field::Invalid, Field::Value)
            }
            (Some(_), Some(_)) => Field::Invalid,
        }
    }
}

impl Field<PerKs> {
    /// Parses a limit: a decimal number of requests per second.
    fn limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Field<PerKs> {
        Field::parse(values, |text| Some((decimal(text)?.min(MAX_LIMIT_PER_S) * 1e3) as PerKs))
    }
}

impl Field<bool> {
    /// Parses whether the upstream is about to leave: 1 or 0.
    fn leaving<'a>(values: impl Iterator<Item = &'a [u8]>) -> Field<bool> {
        Field::parse(values, |text| match text {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        })
    }
}

impl Field<Duration> {
    /// Parses the backoff that a refusal asks for: a decimal number of seconds.
    fn backoff<'a>(values: impl Iterator<Item = &'a [u8]>) -> Field<Duration> {
        Field::parse(values, |text| {
            Some(Duration::from_secs_f64(decimal(text)?.min(MAX_PARSED_BACKOFF_S)))
        })
    }
}

impl Signals {
    /// Parses the signals of a response. `Retry-After` counts only with status 503 (Service
    /// Unavailable): with other statuses it does not ask for a backoff.
    pub fn from_response(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> Signals {
        let values = |name: &HeaderName| headers.get_all(name).iter().map(|value| value.as_bytes());
        let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        Signals {
            limit: Field::limit(values(&names.limit)),
            leaving: Field::leaving(values(&names.leaving)),
            backoff: match is_unavailable {
                true => Field::backoff(values(&header::RETRY_AFTER)),
                false => Field::Absent,
            },
        }
    }

    /// Returns the names of the invalid fields, for the log: `limit`, `leaving` and `rest`.
    pub fn invalid_fields(&self) -> impl Iterator<Item = &'static str> {
        let limit = (self.limit == Field::Invalid, "limit");
        let leaving = (self.leaving == Field::Invalid, "leaving");
        let backoff = (self.backoff == Field::Invalid, "rest");
        [limit, leaving, backoff]
            .into_iter()
            .filter(|(is_invalid, _)| *is_invalid)
            .map(|(_, name)| name)
    }
}

/// Parses a finite decimal number that is not negative.
fn decimal(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

#[cfg(test)]
mod tests;
