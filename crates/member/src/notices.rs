//! What upstreams state about themselves, as it travels.
//!
//! A change is told to a few peers as soon as it is news; all of it rides on pings.

use notice::News;
use wire::Packet;

use crate::{Members, Outgoing};

impl Members {
    /// Spreads what an upstream states about itself.
    pub fn spread_notice(&mut self, news: News) -> Vec<Outgoing> {
        self.queue.push_notice(news.notice.clone());
        match news.is_change {
            true => self.tell_a_few(Packet { notices: vec![news.notice], ..self.news() }),
            false => Vec::new(),
        }
    }
}
