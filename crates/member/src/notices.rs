//! Dissemination of what upstreams state about themselves.
//!
//! Every notice is piggybacked on pings, and a change is also sent to a few peers immediately. When
//! hundreds of upstreams state something at the same time, for instance when an availability zone
//! is taken down, only the first changes are sent immediately, and pings alone carry the rest.

use std::time::{Duration, Instant};

use notice::NewNotice;
use wire::Packet;

use crate::{Members, Outgoing};

/// Maximum number of changes that a node sends immediately within [`NOTICE_LIMIT_WINDOW`].
const MAX_IMMEDIATE_NOTICES: u32 = 20;

/// Length of the window in which changes are counted.
const NOTICE_LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Fixed-window rate limiter for the changes that are sent immediately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeLimiter {
    window_start: Option<Instant>,
    count: u32,
}

impl NoticeLimiter {
    /// Counts one change; returns false when the window already has [`MAX_IMMEDIATE_NOTICES`].
    fn allow(&mut self, now: Instant) -> bool {
        if self.window_start.is_none_or(|window_start| now >= window_start + NOTICE_LIMIT_WINDOW) {
            *self = NoticeLimiter { window_start: Some(now), count: 0 };
        }
        self.count += 1;
        self.count <= MAX_IMMEDIATE_NOTICES
    }
}

impl Members {
    /// Queues what an upstream states about itself for piggybacking.
    ///
    /// For a change, also returns packets that send it to a few peers immediately, within a rate
    /// limit.
    pub fn broadcast_notice(&mut self, new_notice: NewNotice, now: Instant) -> Vec<Outgoing> {
        self.queue.push_notice(new_notice.notice.clone());
        match new_notice.is_change && self.notice_limiter.allow(now) {
            true => self.send_immediately(Packet {
                notices: vec![new_notice.notice],
                ..self.bare_packet()
            }),
            false => Vec::new(),
        }
    }
}
