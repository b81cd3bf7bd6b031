//! Upstreams that go silent when they are full.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::upstream::Load;
use crate::Incarnation;

/// Time within which a short request has arrived at its upstream and a report of it at the node, or
/// a response that was on its way beside a report: ten times what paths between zones take. While
/// lost packets are sent again it may take longer, and a request that runs is then taken for
/// vanished, which costs a second send.
pub const MAX_TRANSIT: Duration = Duration::from_millis(50);

/// Rate at which the slowest link takes a request, in bytes per second: 8 Mbit/s.
const MIN_LINK_BYTES_PER_S: f64 = 1e6;

/// Time for which a service counts as silent after the last request that vanished. A service that
/// has changed its behavior is served as any other after ten minutes, and one that has not loses
/// [`MIN_VANISHED`] requests in that time.
pub const SILENT_TTL: Duration = Duration::from_secs(600);

/// Requests that vanish at full upstreams, each within [`SILENT_TTL`] of the one before, until the
/// service counts as silent: a single one may be a lost response.
pub const MIN_VANISHED: u32 = 2;

/// Time for which a peer's claim that a service is silent counts: a peer that is wrong, or has
/// learned better, does no more harm than that.
pub const MAX_CLAIM_TTL: Duration = Duration::from_secs(60);

/// Time within which an upstream refuses a request that it cannot queue, besides that of the
/// transfer. A later refusal tells of a deadline that passed in the queue.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Upstreams whose longest queues tell which one is absurd: the longest of all then does not count.
const MIN_QUEUES_COMPARED: usize = 3;

/// Time for which the longest queue that an upstream has reported counts.
const QUEUE_TTL: Duration = SILENT_TTL;

/// Identifies an unanswered request among those of one service at one node.
pub type SendId = u64;

/// A request that an upstream has received in full and not answered.
#[derive(Clone, Debug)]
struct UnansweredSend {
    id: SendId,
    upstream: Incarnation,
    arrives_by: Instant,
    /// The longest queue that the upstream reported, from the last report before the request on.
    longest_queue: u32,
    has_vanished: bool,
}

/// The longest queue that an upstream has reported lately.
#[derive(Clone, Copy, Debug)]
struct LongestQueue {
    length: u32,
    /// When it was last as long.
    at: Instant,
}

impl LongestQueue {
    fn is_recent(&self, now: Instant) -> bool {
        self.at + QUEUE_TTL > now
    }
}

/// What is known of how the upstreams of a service treat requests that they cannot queue.
///
/// The load pattern: upstreams with a short queue answer nothing to a request that does not fit into
/// it, nor to anything after it on the same connection. In a burst dozens of nodes see the same
/// short queue and send to it at once. The requests that do not fit wait for an answer until their
/// deadline, where a refusal would have let them go elsewhere at once.
///
/// A request has vanished if its upstream, later, reports that it holds no requests at all, and the
/// request is still unanswered. If the upstream's queue was at its longest meanwhile, and it is not
/// the only such request, the service counts as silent. Lost responses look the same, but also come
/// from upstreams that are not full.
///
/// A service that was seen to refuse a request at a full queue is not silent, whatever vanishes and
/// whatever peers claim: what vanished then was a lost response.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    next_id: SendId,
    unanswered: Vec<UnansweredSend>,
    longest_queues: HashMap<Incarnation, LongestQueue>,
    /// Requests that vanished at full upstreams, and when the last one did.
    vanished: u32,
    vanished_at: Option<Instant>,
    silent_until: Option<Instant>,
    /// When an upstream last refused a request while its queue was at its longest.
    refused_at: Option<Instant>,
}

impl Silence {
    /// Records that a request of `size_bytes` was sent in full; `load` is the last report of its
    /// upstream.
    pub fn record_sent(
        &mut self,
        upstream: &Incarnation,
        load: Option<Load>,
        size_bytes: usize,
        now: Instant,
    ) -> SendId {
        self.next_id += 1;
        self.unanswered.push(UnansweredSend {
            id: self.next_id,
            upstream: upstream.clone(),
            arrives_by: now + MAX_TRANSIT + transfer_time(size_bytes),
            longest_queue: load.map_or(0, |load| load.waiting),
            has_vanished: false,
        });
        self.next_id
    }

    /// Records that a request was answered or given up.
    pub fn record_ended(&mut self, id: SendId) {
        self.unanswered.retain(|send| send.id != id);
    }

    /// Records a load report of an upstream.
    pub fn record_report(&mut self, upstream: &Incarnation, load: Load, now: Instant) {
        self.record_queue(upstream, load.waiting, now);
        for send in self.unanswered.iter_mut().filter(|send| send.upstream == *upstream) {
            send.longest_queue = send.longest_queue.max(load.waiting);
            send.has_vanished |= now >= send.arrives_by && load.running + load.waiting == 0;
        }
    }

    fn record_queue(&mut self, upstream: &Incarnation, waiting: u32, now: Instant) {
        if waiting == 0 {
            return;
        }
        let queue = LongestQueue { length: waiting, at: now };
        match self.longest_queues.get_mut(upstream) {
            Some(known) if known.length > waiting && known.is_recent(now) => {}
            Some(known) => *known = queue,
            None => {
                self.longest_queues.retain(|_, known| known.is_recent(now));
                self.longest_queues.insert(upstream.clone(), queue);
            }
        }
    }

    /// Returns the longest queue that upstreams of the service have reported lately, or, if several
    /// have, that a second one bears out: with a single absurd report no queue would ever look full.
    fn longest_queue(&self, now: Instant) -> u32 {
        let queues = self.longest_queues.values().filter(|queue| queue.is_recent(now));
        let (mut longest, mut second, mut count) = (0, 0, 0);
        for queue in queues {
            second = second.max(queue.length.min(longest));
            longest = longest.max(queue.length);
            count += 1;
        }
        if count >= MIN_QUEUES_COMPARED {
            second
        } else {
            longest
        }
    }

    /// Records that an upstream refused a request for lack of room; `load` is the report in its
    /// refusal. If its queue was at its longest, the service is not silent.
    pub fn record_refusal(&mut self, load: Option<Load>, now: Instant) {
        let is_full = |load: Load| load.waiting > 0 && load.waiting >= self.longest_queue(now);
        if load.is_some_and(is_full) {
            self.refused_at = Some(now);
            (self.silent_until, self.vanished) = (None, 0);
        }
    }

    /// Returns true while a refusal at a full queue is on record.
    pub fn refuses(&self, now: Instant) -> bool {
        self.refused_at.is_some_and(|at| at + SILENT_TTL > now)
    }

    /// Returns true if the upstream that got a request has reported that it does not hold it. A
    /// response that is not there [`MAX_TRANSIT`] later will not come.
    pub fn has_vanished(&self, id: SendId) -> bool {
        self.unanswered.iter().any(|send| send.id == id && send.has_vanished)
    }

    /// Records that a vanished request stayed unanswered. Returns true if the service is known to be
    /// silent only since then.
    pub fn record_vanished(&mut self, id: SendId, now: Instant) -> bool {
        let Some(send) = self.unanswered.iter().find(|send| send.id == id) else { return false };
        let was_full = send.longest_queue > 0 && send.longest_queue >= self.longest_queue(now);
        if !was_full || self.refuses(now) {
            return false;
        }
        let is_recent = self.vanished_at.is_some_and(|at| at + SILENT_TTL > now);
        self.vanished = if is_recent { self.vanished + 1 } else { 1 };
        self.vanished_at = Some(now);
        self.vanished >= MIN_VANISHED && self.record_silent(SILENT_TTL, now)
    }

    /// Records that a peer claims that the upstreams of the service are silent when full, and for how
    /// much longer. Returns true if it was not known.
    pub fn record_claim(&mut self, left: Duration, now: Instant) -> bool {
        self.record_silent(left.min(MAX_CLAIM_TTL), now)
    }

    /// Records that upstreams of the service are silent when full, and for how much longer that
    /// counts; without effect while a refusal is on record. Returns true if it was not known.
    pub fn record_silent(&mut self, left: Duration, now: Instant) -> bool {
        if self.refuses(now) || left.is_zero() {
            return false;
        }
        let is_new = !self.is_silent(now);
        self.silent_until = self.silent_until.max(Some(now + left.min(SILENT_TTL)));
        is_new
    }

    /// Returns true while the upstreams of the service are known to be silent when full.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| until > now)
    }

    /// Returns for how much longer they count as silent.
    pub fn silent_left(&self, now: Instant) -> Option<Duration> {
        let left = self.silent_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns true if an overdue request is worth asking its upstream about: the upstream may have
    /// been full, and the service has not been seen to refuse what it cannot queue.
    pub fn is_suspect(&self, id: SendId, now: Instant) -> bool {
        let has_queued = self.unanswered.iter().any(|send| send.id == id && send.longest_queue > 0);
        self.is_silent(now) || (has_queued && !self.refuses(now))
    }
}

/// Returns the time that a request takes over a slow link.
fn transfer_time(size_bytes: usize) -> Duration {
    Duration::from_secs_f64(size_bytes as f64 / MIN_LINK_BYTES_PER_S)
}

/// Returns true if a refusal that came after `elapsed` came at once.
pub fn is_at_once(elapsed: Duration, size_bytes: usize) -> bool {
    elapsed <= MAX_REFUSAL_TIME + transfer_time(size_bytes)
}

#[cfg(test)]
mod tests;
