//! What upstreams state about themselves, as it travels.
//!
//! A change is told to a few peers as soon as it is news; all of it rides on pings. Where hundreds of
//! upstreams state something at once, as when an availability zone is taken down, pings alone tell the rest.

use std::time::{Duration, Instant};

use notice::NewNotice;
use wire::Packet;

use crate::{Members, Outgoing};

/// Changes that a node tells at once, at most, in [`PERIOD`].
const AT_ONCE_MOST: u32 = 20;

/// Time in which they are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Changes told at once since a moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ToldAtOnce {
    since: Option<Instant>,
    count: u32,
}

impl ToldAtOnce {
    /// Counts one more; false when there were enough.
    fn may_tell(&mut self, now: Instant) -> bool {
        if self.since.is_none_or(|since| now >= since + PERIOD) {
            *self = ToldAtOnce { since: Some(now), count: 0 };
        }
        self.count += 1;
        self.count <= AT_ONCE_MOST
    }
}

impl Members {
    /// Spreads what an upstream states about itself.
    pub fn spread_notice(&mut self, news: NewNotice, now: Instant) -> Vec<Outgoing> {
        self.queue.push_notice(news.notice.clone());
        match news.is_change && self.told_at_once.may_tell(now) {
            true => self.tell_a_few(Packet { notices: vec![news.notice], ..self.news() }),
            false => Vec::new(),
        }
    }
}
