//! Finds upstreams that ended, and what was under way there.

use std::io;
use std::time::{Duration, Instant};

use place::Incarnation;
use quarantine::{Lost, Start};

use super::call::{Call, Choice};
use super::Node;
use crate::as_ms;

impl Node {
    /// Records that the answer to a request was lost with its connection.
    pub(super) fn lost(&self, call: &Call<'_>, choice: &Choice, took: Duration) {
        let lost = Lost { content: call.content, ran_ms: as_ms(took) };
        let start = start_of(&choice.upstream);
        let has_ended = self.state.borrow_mut().ends.lost(start, lost.clone(), Instant::now());
        if has_ended {
            tell(&choice.upstream, &[lost]);
        }
    }

    /// Records that no connection to an upstream could be made. One whose address refuses it has
    /// ended: what was lost there shortly before was under way when it did.
    pub fn unconnected(&self, upstream: &Incarnation, err: &io::Error) {
        if err.kind() != io::ErrorKind::ConnectionRefused {
            return;
        }
        let state = &mut *self.state.borrow_mut();
        let lost = state.ends.refused(start_of(upstream), Instant::now());
        if !lost.is_empty() {
            state.counters.upstreams_ended += 1;
            tell(upstream, &lost);
        }
    }
}

fn start_of(upstream: &Incarnation) -> Start {
    Start::of(&upstream.id, upstream.born_ms)
}

/// Logs which requests were under way at an upstream that ended.
fn tell(upstream: &Incarnation, lost: &[Lost]) {
    trace::Line::new("upstream_ended")
        .field("upstream", upstream.id())
        .field("under_way", lost)
        .log();
}
