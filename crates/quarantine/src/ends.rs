//! What was under way at an upstream when it ended.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{Content, Known};

/// A lost answer is taken for the sign of an end that is found within this time: connections to
/// the upstream are tried again within it, as it gets trials.
const SIGN_FOR: Duration = Duration::from_secs(2);

/// For how long an end is remembered. Answers lost with it are noticed within a round trip; a
/// request that waited on a slow link may be a little later.
const ENDED_FOR: Duration = Duration::from_secs(5);

/// Lost answers remembered for one upstream at most: more than any runs at once.
const LOST_MOST: usize = 256;

/// Key of one start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start(u64);

impl Start {
    /// Returns the key of the start that the upstream `id` made at `born_ms` by its own clock.
    pub fn of(id: &str, born_ms: u64) -> Start {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(born_ms);
        hasher.write(id.as_bytes());
        Start(hasher.finish())
    }

    /// Returns the key of the VM `id` that is at `addr`.
    pub fn of_vm(addr: SocketAddr, id: &str) -> Start {
        let mut hasher = SipHasher13::new();
        (addr, id).hash(&mut hasher);
        Start(hasher.finish())
    }

    /// Returns the key as a number.
    pub(crate) fn key(self) -> u64 {
        self.0
    }

    /// Returns how much this start is preferred for a request that is to run apart from others:
    /// all nodes prefer the same one for the same request, and mostly others for others.
    pub fn preference(self, content: Content) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u128(content.as_u128());
        hasher.finish()
    }
}

/// A request whose answer was lost with its connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Lost {
    /// What it asked.
    pub content: Content,
    /// What was known of it when it was sent.
    #[serde(skip)]
    pub known: Known,
    /// How long its upstream had it, in milliseconds.
    pub ran_ms: u64,
}

/// Answers lost of late, and upstreams that ended of late.
///
/// A lost answer alone is no sign of an end: connections break, and some upstreams lose answers of
/// requests that they ran. An upstream has ended when its address takes no connection any more.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    lost: HashMap<Start, Vec<(Lost, Instant)>>,
    ended: HashMap<Start, Instant>,
}

impl Ends {
    /// Records a lost answer; returns true when its upstream is known to have ended.
    pub fn lost(&mut self, start: Start, lost: Lost, now: Instant) -> bool {
        self.expire(now);
        if self.ended.contains_key(&start) {
            return true;
        }
        let list = self.lost.entry(start).or_default();
        if list.len() < LOST_MOST {
            list.push((lost, now));
        }
        false
    }

    /// Records that an upstream's address refused a connection. Returns the requests that it lost
    /// as it ended; none when it had lost none, or its end was known.
    pub fn refused(&mut self, start: Start, now: Instant) -> Vec<Lost> {
        self.expire(now);
        let lost = self.lost.remove(&start).unwrap_or_default();
        if !lost.is_empty() {
            self.ended.insert(start, now);
        }
        lost.into_iter().map(|(lost, _)| lost).collect()
    }

    fn expire(&mut self, now: Instant) {
        let is_younger = |at: Instant, most: Duration| now.saturating_duration_since(at) <= most;
        self.lost.retain(|_, list| {
            list.retain(|(_, at)| is_younger(*at, SIGN_FOR));
            !list.is_empty()
        });
        self.ended.retain(|_, at| is_younger(*at, ENDED_FOR));
    }
}

#[cfg(test)]
mod tests;
