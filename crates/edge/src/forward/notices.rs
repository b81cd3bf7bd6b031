//! Takes what upstreams state about themselves in their answers.

use std::time::Instant;

use http::{HeaderMap, HeaderName, StatusCode};
use notice::{Change, Field, Stated};
use place::Incarnation;

use super::Node;
use crate::start_of;

impl Node {
    /// Takes what an answer of `upstream` states about it; see [`notice::Board::hear`].
    pub(crate) fn hear_notice(
        &self,
        upstream: &Incarnation,
        status: StatusCode,
        headers: &HeaderMap,
        asked_at: Option<Instant>,
    ) {
        // Another upstream has the address: it speaks of itself.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let state = &mut *self.state.borrow_mut();
        let name = &state.settings.headers.limit;
        let stated = Stated::read(values(headers, name));
        if stated.limit == Field::Unreadable {
            trace::Line::new("notice_unreadable")
                .field("upstream", upstream.id())
                .field("header", name.as_str())
                .log();
        }
        let change = state.notices.hear(start_of(upstream), &stated, asked_at, Instant::now());
        match change {
            Some(Change::Limited(per_ks)) => trace::Line::new("upstream_limited")
                .field("upstream", upstream.id())
                .field("per_ks", per_ks)
                .log(),
            Some(Change::Unlimited) => {
                trace::Line::new("upstream_unlimited").field("upstream", upstream.id()).log();
            }
            None => {}
        }
    }
}

/// Returns all values of a header.
fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a [u8]> {
    headers.get_all(name).iter().map(http::HeaderValue::as_bytes)
}
