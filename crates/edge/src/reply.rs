//! Responses that the node itself makes, without an upstream.

use std::time::Duration;

use http::header::{HeaderValue, WWW_AUTHENTICATE};
use http::{HeaderMap, StatusCode};

/// A response made by the node itself.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalReply {
    /// Status code.
    pub status: StatusCode,
    /// Time after which the caller may retry; only set when the request certainly did not run.
    pub retry_after: Option<Duration>,
    /// What happened, for human readers.
    pub text: &'static str,
}

impl LocalReply {
    /// Creates a 503 response to a request that did not run; the caller may retry after
    /// `retry_after`.
    pub fn not_run(retry_after: Duration, text: &'static str) -> LocalReply {
        LocalReply { status: StatusCode::SERVICE_UNAVAILABLE, retry_after: Some(retry_after), text }
    }

    /// Creates a 429 response to a request of a team that has used up its quota; the caller may
    /// retry after `retry_after`.
    pub fn over_quota(retry_after: Duration) -> LocalReply {
        let text = "the team's quota is used up";
        LocalReply { status: StatusCode::TOO_MANY_REQUESTS, retry_after: Some(retry_after), text }
    }

    /// Creates a response that does not invite a retry.
    pub fn failed(status: StatusCode, text: &'static str) -> LocalReply {
        LocalReply { status, retry_after: None, text }
    }

    /// Returns the headers and the body to send.
    pub fn parts(&self) -> (HeaderMap, Vec<u8>) {
        let mut headers = HeaderMap::new();
        let text = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(http::header::CONTENT_TYPE, text);
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(after) = self.retry_after {
            headers.insert(http::header::RETRY_AFTER, retry_after_value(after));
        }
        (headers, format!("{}\n", self.text).into_bytes())
    }
}

/// Formats a `Retry-After` value in seconds with fractions: with whole seconds, callers that could
/// be served in 50 ms would retry after their deadline.
fn retry_after_value(after: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()))
        .expect("a decimal number is a valid header value")
}
