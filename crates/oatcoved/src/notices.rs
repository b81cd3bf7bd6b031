//! Takes what upstreams state about themselves in their answers.

use std::net::SocketAddr;
use std::time::Instant;

use notice::{Change, Field, Stated};
use quarantine::Start;

use crate::view::View;

/// Reads what an answer states; says so when that cannot be read.
pub(crate) fn stated(upstream: SocketAddr, response: &web::Response) -> Stated {
    let values = response.headers().get_all(crate::LIMIT);
    let stated = Stated::read(values.iter().map(http::HeaderValue::as_bytes));
    if stated.limit == Field::Unreadable {
        log::warn!("upstream={upstream} states a limit that cannot be read");
    }
    stated
}

impl View {
    /// Returns the key of the VM that is at an address now.
    pub(crate) fn start_at(&self, addr: SocketAddr) -> Start {
        let id = self.vms.get(&addr).map_or("", |vm| vm.id.as_str());
        Start::of(&format!("{addr} {id}"), 0)
    }

    /// Takes what an answer of the upstream at `addr` states; see [`notice::Board::hear`].
    pub(crate) fn hear_notice(
        &mut self,
        addr: SocketAddr,
        stated: &Stated,
        asked_at: Option<Instant>,
    ) {
        let start = self.start_at(addr);
        match self.notices.hear(start, stated, asked_at, Instant::now()) {
            Some(Change::Limited(per_ks)) => {
                log::info!("upstream={addr} takes {per_ks} calls in 1,000 s from all entry nodes");
            }
            Some(Change::Unlimited) => log::info!("upstream={addr} names no limit any more"),
            None => {}
        }
    }
}
