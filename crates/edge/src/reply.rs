//! Answers to callers: the node's own, and those of upstreams passed on.

use std::time::Duration;

use http::header::HeaderValue;
use http::{HeaderMap, StatusCode};

/// An answer of the node's own.
#[derive(Clone, Debug, PartialEq)]
pub struct Own {
    /// Status.
    pub status: StatusCode,
    /// When the caller may come back; only with statuses that promise the request did not run.
    pub come_back: Option<Duration>,
    /// What happened, for people.
    pub text: &'static str,
}

impl Own {
    /// The request did not run; the caller may come back.
    pub fn not_run(come_back: Duration, text: &'static str) -> Own {
        Own { status: StatusCode::SERVICE_UNAVAILABLE, come_back: Some(come_back), text }
    }

    /// A final answer without a time to come back.
    pub fn failed(status: StatusCode, text: &'static str) -> Own {
        Own { status, come_back: None, text }
    }

    /// Returns the headers and body to send.
    pub fn parts(&self) -> (HeaderMap, Vec<u8>) {
        let mut headers = HeaderMap::new();
        let text = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(http::header::CONTENT_TYPE, text);
        if let Some(after) = self.come_back {
            headers.insert(http::header::RETRY_AFTER, retry_after(after));
        }
        (headers, format!("{}\n", self.text).into_bytes())
    }
}

/// Writes a time as `Retry-After` in seconds with fractions: in whole seconds,
/// callers who could be served in 50 ms would come back after their deadline.
fn retry_after(after: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())).expect("digits are a value")
}
