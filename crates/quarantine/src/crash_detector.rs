//! Finds the requests that were in flight at an upstream when it crashed.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{ContentKey, FindingVersion};

/// A lost response counts as evidence of a crash if the crash is detected within this time. That is
/// long enough, because the upstream gets trial requests, which connect to it again.
const LOST_RESPONSE_TTL: Duration = Duration::from_secs(2);

/// How long a crash is remembered. Responses lost with it are noticed within a round trip, or a
/// little later if the request waited on a slow link.
const CRASH_TTL: Duration = Duration::from_secs(5);

/// Maximum number of lost responses remembered for one upstream; no upstream runs as many requests
/// at once.
const MAX_LOST_RESPONSES: usize = 256;

/// Key of one incarnation of an upstream, from a start of its process to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start(u64);

impl Start {
    /// Returns the key of the incarnation of upstream `id` that started at `born_ms` by the
    /// upstream's own clock.
    pub fn of(id: &str, born_ms: u64) -> Start {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(born_ms);
        hasher.write(id.as_bytes());
        Start(hasher.finish())
    }

    /// Returns the key of the VM `id` at `addr`.
    pub fn of_vm(addr: SocketAddr, id: &str) -> Start {
        let mut hasher = SipHasher13::new();
        (addr, id).hash(&mut hasher);
        Start(hasher.finish())
    }

    /// Returns the key as a number.
    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the rendezvous hashing score of this upstream for a request that is to run isolated
    /// from others. All nodes prefer the same upstream for the same request, and mostly different
    /// upstreams for different requests.
    pub fn rendezvous_score(self, content: ContentKey) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u128(content.as_u128());
        hasher.finish()
    }
}

/// A request whose response was lost with its connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LostRequest {
    /// The key of the request.
    pub content: ContentKey,
    /// Version of the request's finding when the request was sent.
    #[serde(skip)]
    pub known: FindingVersion,
    /// How long the upstream had the request, in milliseconds.
    pub ran_ms: u64,
}

/// Recently lost responses and recently crashed upstreams.
///
/// A lost response alone is no evidence of a crash: connections break, and some upstreams lose
/// responses of requests that they ran. An upstream counts as crashed when its address no longer
/// accepts connections.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    lost: HashMap<Start, Vec<(LostRequest, Instant)>>,
    crashed: HashMap<Start, Instant>,
}

impl CrashDetector {
    /// Records a lost response. Returns true when its upstream is known to have crashed; the
    /// response is then not kept for a later [`CrashDetector::record_refused_connection`].
    pub fn record_lost_response(&mut self, start: Start, lost: LostRequest, now: Instant) -> bool {
        self.expire(now);
        if self.crashed.contains_key(&start) {
            return true;
        }
        let list = self.lost.entry(start).or_default();
        if list.len() < MAX_LOST_RESPONSES {
            list.push((lost, now));
        }
        false
    }

    /// Records that an upstream's address refused a connection. Returns the requests that were lost
    /// with the upstream; none if it had lost none or its crash was known.
    pub fn record_refused_connection(&mut self, start: Start, now: Instant) -> Vec<LostRequest> {
        self.expire(now);
        let lost = self.lost.remove(&start).unwrap_or_default();
        if !lost.is_empty() {
            self.crashed.insert(start, now);
        }
        lost.into_iter().map(|(lost, _)| lost).collect()
    }

    fn expire(&mut self, now: Instant) {
        let is_fresh = |at: Instant, ttl: Duration| now.saturating_duration_since(at) <= ttl;
        self.lost.retain(|_, list| {
            list.retain(|(_, at)| is_fresh(*at, LOST_RESPONSE_TTL));
            !list.is_empty()
        });
        self.crashed.retain(|_, at| is_fresh(*at, CRASH_TTL));
    }
}

#[cfg(test)]
mod tests;
