//! Admission control: whether a request is sent, waits at the node, or is refused at once.

use std::time::Duration;

use rand::Rng;

use crate::pool::Candidate;

/// Minimum retry delay given to a caller that is refused for lack of capacity.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay, as a ratio of the time until the caller gives up: the request must still be
/// served after it.
const MAX_RETRY_AFTER_RATIO: f64 = 0.3;

/// Range of the retry delay of a request that can no longer be in time, as ratios of the time until
/// the caller gives up.
const LATE_RETRY_AFTER_RATIOS: std::ops::Range<f64> = 0.15..MAX_RETRY_AFTER_RATIO;

/// Maximum predicted latency as a ratio of the time left until the deadline. It is below 1 because
/// predictions are means.
const MAX_DEADLINE_RATIO: f64 = 0.9;

/// Maximum predicted latency of a less urgent request that has to queue, as a ratio of the time
/// left of its objective. Predictions are means, and a queue grows while it is served: at a ratio
/// of 1, half of these requests would be late, and the urgent requests behind them too.
const MAX_OBJECTIVE_RATIO: f64 = 0.9;

/// [`MAX_OBJECTIVE_RATIO`] for the most urgent requests of a service. They too are refused once
/// they would be late: a queue of only urgent requests makes all of them late just as well.
const MAX_OBJECTIVE_RATIO_MOST_URGENT: f64 = 1.0;

/// Minimum predicted queueing time for which a request waits at the node, as a ratio of its service
/// time. Shorter queues, as at upstreams with many slots, are over before the request would check
/// again: at sixteen slots, 0.1 serves 0.72 of a burst in time and 0.2 serves 0.91. A request that
/// would be late is refused whatever the queue: applying this minimum there too would give free
/// slots to requests that are already late (a loss of 0.017 of the total value on days of high
/// load).
const MIN_QUEUE_RATIO: f64 = 0.2;

/// Interval between two checks of a waiting request, as a ratio of its service time. With a dozen
/// busy slots, one becomes free in about that time.
const RECHECK_INTERVAL_RATIO: f64 = 0.2;

/// Minimum and maximum interval between two checks: each check costs a few probes of upstreams.
const RECHECK_INTERVAL_LIMITS: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(60));

/// Maximum number of checks; by then the request has waited for twice its service time.
const MAX_RECHECKS: u32 = 24;

/// Time in which a node finds room for a request if it has found none lately.
const MAX_ROOM_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time left of its objective for a request to wait, as a ratio of its predicted latency
/// without a queue.
const MIN_OBJECTIVE_LEFT_RATIO: f64 = 1.1;

/// The time left and the urgency of a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time until its caller or its route gives up.
    pub deadline_left: Duration,
    /// Time until its caller gives up, over all of its attempts.
    pub caller_deadline_left: Duration,
    /// Time left of its latency objective, counted from the caller's first attempt.
    pub objective_left: Duration,
    /// Time that it takes at an upstream that is not slowed.
    pub work: Duration,
    /// Whether no other request to the service is more urgent.
    pub most_urgent: bool,
    /// Number of earlier checks while it waited at the node; `None` if it must not wait.
    pub rechecks: Option<u32>,
    /// Number of requests that have been waiting at the node for the same service for longer.
    pub ahead: u32,
    /// Rate at which this node has lately found room for requests to the service.
    pub room_per_s: f64,
    /// Whether requests that could be in time have lately found no room.
    pub is_room_scarce: bool,
}

impl AdmissionRequest {
    /// Returns the time in which this node finds room for one request.
    fn room_interval(&self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.room_per_s);
        interval.unwrap_or(MAX_ROOM_INTERVAL).min(MAX_ROOM_INTERVAL)
    }

    /// Returns the time until this node finds room for the request, after those ahead of it.
    fn expected_wait(&self) -> Duration {
        self.room_interval().saturating_mul(self.ahead + 1)
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it to the candidate.
    Send,
    /// Keep it at the node for this long, then rank the upstreams and decide again.
    Wait(Duration),
    /// Refuse it.
    Refuse {
        /// Time after which its caller should retry.
        retry_after: Duration,
    },
}

/// Returns true if a request with this many `ahead` of it in line may look for a free slot: the
/// first, and as many more as the node finds room for from one check to the next.
pub fn may_look(ahead: u32, room_per_s: f64, work: Duration) -> bool {
    f64::from(ahead) <= room_per_s * recheck_interval(work).as_secs_f64()
}

fn recheck_interval(work: Duration) -> Duration {
    work.mul_f64(RECHECK_INTERVAL_RATIO).clamp(RECHECK_INTERVAL_LIMITS.0, RECHECK_INTERVAL_LIMITS.1)
}

/// Decides whether a request whose best upstream is `best` is sent, waits at the node, or is
/// refused.
///
/// The load pattern: more requests arrive than there are slots. All queues fill, requests of every
/// kind become late together, and the work that is done is worth nothing.
///
/// If every upstream has a queue, a request waits at the node as long as it can still be in time.
/// In an upstream's queue it would be bound to that upstream, whose machine may be slow when its
/// turn comes; at the node it takes whichever slot becomes free first. A request that would miss
/// its deadline or its objective in a queue is refused at once, so that the slots serve requests
/// that can be in time. A request that is late only because every machine is slow is sent: refusing
/// it would free no slot for others. It is refused if its objective has passed and its deadline
/// will have passed too, because nobody would receive the response. What may find its upstream full
/// and get no answer is never sent: it waits for room, or is refused.
pub fn admit<R: Rng>(best: &Candidate, request: AdmissionRequest, rng: &mut R) -> Decision {
    let latency = best.prediction.latency;
    let service_time = latency - best.prediction.queue_time;
    let max_ratio =
        if request.most_urgent { MAX_OBJECTIVE_RATIO_MOST_URGENT } else { MAX_OBJECTIVE_RATIO };
    let recheck_interval = recheck_interval(request.work);
    let has_queue = best.prediction.queue_time > service_time.mul_f64(MIN_QUEUE_RATIO);
    let wait = match request.ahead {
        0 => recheck_interval,
        _ => recheck_interval.max(request.expected_wait()),
    };
    let is_behind_others =
        request.rechecks.is_some() && !may_look(request.ahead, request.room_per_s, request.work);
    let may_wait = (has_queue || is_behind_others)
        && request.rechecks.is_some_and(|rechecks| rechecks < MAX_RECHECKS)
        && request.objective_left >= service_time.mul_f64(MIN_OBJECTIVE_LEFT_RATIO) + wait;
    let is_too_late = request.objective_left.is_zero() && latency > request.deadline_left;
    // A late response is worth little to a caller. While others are refused that could be in time, it
    // would cost one of them its slot.
    let must_yield = request.is_room_scarce && request.objective_left < request.work;
    match () {
        () if must_yield => refuse(best, request, rng),
        () if best.prediction.queue_time.is_zero() && !is_too_late => Decision::Send,
        () if may_wait => Decision::Wait(recheck_interval),
        () if is_behind_others => refuse(best, request, rng),
        () if latency > request.deadline_left.mul_f64(MAX_DEADLINE_RATIO) => {
            refuse(best, request, rng)
        }
        () if latency > request.objective_left.mul_f64(max_ratio) => refuse(best, request, rng),
        () => Decision::Send,
    }
}

/// Refuses a request with a randomized retry delay.
///
/// If room is expected while the request can still be in time, its caller retries about then. Else
/// it retries later, and leaves the next free slots to requests that can be in time. The delays
/// spread the retries: with a common delay all refused callers would retry at the same moment.
fn refuse<R: Rng>(best: &Candidate, request: AdmissionRequest, rng: &mut R) -> Decision {
    let latency = best.prediction.latency;
    let service_time = latency - best.prediction.queue_time;
    let slack = request.objective_left.saturating_sub(service_time);
    let until_room = match request.ahead {
        0 => best.prediction.queue_time,
        _ => best.prediction.queue_time.max(request.expected_wait()),
    };
    let max = request.caller_deadline_left.mul_f64(MAX_RETRY_AFTER_RATIO);
    let in_time = until_room.mul_f64(rng.random_range(0.5..1.5)).max(MIN_RETRY_AFTER);
    let retry_after = match in_time < slack.min(max) {
        true => in_time,
        false => request.caller_deadline_left.mul_f64(rng.random_range(LATE_RETRY_AFTER_RATIOS)),
    };
    Decision::Refuse { retry_after: retry_after.max(MIN_RETRY_AFTER) }
}

#[cfg(test)]
mod tests;
