//! Admission control: whether a request is sent, waits at the node, or is refused at once.

use std::time::Duration;

use rand::Rng;

use crate::pool::Candidate;

/// Minimum retry delay given to a caller that is refused for lack of capacity.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay, as a ratio of the time left until the deadline: the request must still be
/// served after it.
const MAX_RETRY_AFTER_RATIO: f64 = 0.3;

/// Range of the retry delay of a request whose objective has passed, as ratios of the time left
/// until the deadline. Such a request is no longer urgent, so it leaves the next free slots to
/// requests that can still be in time.
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
const RECHECK_INTERVAL_RATIO: f64 = 0.08;

/// Minimum and maximum interval between two checks: each check costs a few probes of upstreams.
const RECHECK_INTERVAL_LIMITS: (Duration, Duration) =
    (Duration::from_millis(3), Duration::from_millis(20));

/// Maximum number of checks; by then the request has waited for twice its service time.
const MAX_RECHECKS: u32 = 24;

/// Minimum time left of its objective for a request to wait, as a ratio of its predicted latency
/// without a queue.
const MIN_OBJECTIVE_LEFT_RATIO: f64 = 1.1;

/// The time left and the urgency of a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time until its caller or its route gives up.
    pub deadline_left: Duration,
    /// Time left of its latency objective, counted from the caller's first attempt.
    pub objective_left: Duration,
    /// Whether no other request to the service is more urgent.
    pub most_urgent: bool,
    /// Number of earlier checks while it waited at the node; `None` if it must not wait.
    pub rechecks: Option<u32>,
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
/// will have passed too, because nobody would receive the response.
pub fn admit<R: Rng>(best: &Candidate, request: AdmissionRequest, rng: &mut R) -> Decision {
    let latency = best.prediction.latency;
    let service_time = latency - best.prediction.queue_time;
    let max_ratio =
        if request.most_urgent { MAX_OBJECTIVE_RATIO_MOST_URGENT } else { MAX_OBJECTIVE_RATIO };
    let recheck_interval = service_time
        .mul_f64(RECHECK_INTERVAL_RATIO)
        .clamp(RECHECK_INTERVAL_LIMITS.0, RECHECK_INTERVAL_LIMITS.1);
    let may_wait = best.prediction.queue_time > service_time.mul_f64(MIN_QUEUE_RATIO)
        && request.rechecks.is_some_and(|rechecks| rechecks < MAX_RECHECKS)
        && request.objective_left
            >= service_time.mul_f64(MIN_OBJECTIVE_LEFT_RATIO) + recheck_interval;
    let is_too_late = request.objective_left.is_zero() && latency > request.deadline_left;
    match () {
        () if best.prediction.queue_time.is_zero() && !is_too_late => Decision::Send,
        () if may_wait => Decision::Wait(recheck_interval),
        () if latency > request.deadline_left.mul_f64(MAX_DEADLINE_RATIO) => {
            refuse(best, request, rng)
        }
        () if latency > request.objective_left.mul_f64(max_ratio) => refuse(best, request, rng),
        () => Decision::Send,
    }
}

/// Refuses a request with a randomized retry delay.
///
/// The delays spread the retries over the time that the queue takes to empty: with a common delay
/// all refused callers would retry at the same moment.
fn refuse<R: Rng>(best: &Candidate, request: AdmissionRequest, rng: &mut R) -> Decision {
    let retry_after = match request.objective_left.is_zero() {
        true => request
            .deadline_left
            .mul_f64(rng.random_range(LATE_RETRY_AFTER_RATIOS))
            .max(MIN_RETRY_AFTER),
        false => {
            let max = request.deadline_left.mul_f64(MAX_RETRY_AFTER_RATIO).max(MIN_RETRY_AFTER);
            let spread = rng.random_range(0.5..1.5);
            best.prediction.queue_time.mul_f64(spread).clamp(MIN_RETRY_AFTER, max)
        }
    };
    Decision::Refuse { retry_after }
}

#[cfg(test)]
mod tests;
