//! Whether a request is sent, waits at the node, or is refused at once.

use std::time::Duration;

use rand::Rng;

use crate::pool::Candidate;

/// Shortest time after which a caller that was refused for want of room is told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(50);

/// Part of the time left that a refused caller is told to wait at most: it
/// must still be served afterwards.
const COME_BACK_PART: f64 = 0.3;

/// Parts of the time left after which a caller comes back whose objective has passed: in no hurry,
/// it leaves the next moments to those who can still be in time.
const COME_BACK_LATE: std::ops::Range<f64> = 0.15..COME_BACK_PART;

/// Share of a deadline that a prediction may take up: predictions are means.
const DEADLINE_PART: f64 = 0.9;

/// Share of the time left of its objective that a less urgent request may be predicted to take
/// where it has to queue. Predictions are means, and a queue grows while it is served: let in up to
/// its whole objective, half of them are late, and the urgent requests behind them too.
const OBJECTIVE_PART: f64 = 0.9;

/// The same for the most urgent requests of a service. They too are refused once they would be
/// late: queues of theirs alone make all of them late just as well.
const OBJECTIVE_PART_URGENT: f64 = 1.0;

/// Queueing for which a request waits at the node, as a part of the time that it takes itself.
/// Shorter queues, as at upstreams of many slots, are over before it would have looked again: at
/// sixteen slots a tenth here serves 0.72 of a burst in time, a fifth 0.91. A request that would be
/// late is refused at any queue: with this bound there too, slots that become free go to requests
/// that are late already (0.017 of the worth of days of high load).
const WAITS_FROM: f64 = 0.2;

/// How long a request waits at the node before it looks for room again, as a part of what it takes
/// itself. Where a dozen slots are busy, one of them becomes free in about that time.
const LOOK_PART: f64 = 0.08;

/// The same, at the least and at the most: each look costs a few questions to upstreams.
const LOOK_WITHIN: (Duration, Duration) = (Duration::from_millis(3), Duration::from_millis(20));

/// Times that a request looks again at most. It then has waited for twice the time that it takes.
const LOOKS_MOST: u32 = 24;

/// Time that a request keeps of its objective while it waits, as a factor of what it is predicted to
/// take without a queue.
const KEEPS: f64 = 1.1;

/// What a request still has, and how urgent it is.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Time until its caller or its route gives up.
    pub deadline_left: Duration,
    /// Time within which its answer is worth most, as its caller counts it.
    pub objective_left: Duration,
    /// Whether no other request to the service is more urgent.
    pub most_urgent: bool,
    /// How often it has looked for room before; `None` when it must not wait.
    pub looks: Option<u32>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to the candidate.
    Send,
    /// It waits this long at the node and looks again.
    Wait(Duration),
    /// It is refused; its caller may come back after this long.
    Refuse {
        /// When to come back.
        come_back: Duration,
    },
}

/// Decides on a request whose best upstream is `best`.
///
/// The load pattern: more requests come than there are slots for. Every queue fills, all requests
/// of all kinds become late together, and the work that is done is worth nothing.
///
/// Where every upstream has a queue, a request waits at the node as long as it can still be in
/// time: in an upstream's queue it would be bound to that upstream, whose machine may be slow when
/// its turn comes, while here it takes whichever slot is free first. What would miss its
/// deadline or its objective in a queue is refused at once, so that the slots serve what can be in
/// time. A request that is late only because every machine is slow is let in: refusing it would
/// free no slot for others. One whose objective has passed, and whose deadline will have, is not:
/// nobody would get its answer.
pub fn admit<R: Rng>(best: &Candidate, room: Room, rng: &mut R) -> Verdict {
    let took = best.prediction.took;
    let own = took - best.prediction.wait;
    let part = if room.most_urgent { OBJECTIVE_PART_URGENT } else { OBJECTIVE_PART };
    let look_again = own.mul_f64(LOOK_PART).clamp(LOOK_WITHIN.0, LOOK_WITHIN.1);
    let may_wait = best.prediction.wait > own.mul_f64(WAITS_FROM)
        && room.looks.is_some_and(|looks| looks < LOOKS_MOST)
        && room.objective_left >= own.mul_f64(KEEPS) + look_again;
    let is_lost = room.objective_left.is_zero() && took > room.deadline_left;
    match () {
        () if best.prediction.wait.is_zero() && !is_lost => Verdict::Send,
        () if may_wait => Verdict::Wait(look_again),
        () if took > room.deadline_left.mul_f64(DEADLINE_PART) => refuse(best, room, rng),
        () if took > room.objective_left.mul_f64(part) => refuse(best, room, rng),
        () => Verdict::Send,
    }
}

/// Spreads the returns of refused callers over the time that the queue takes
/// to empty: callers told the same moment would all come back in it.
fn refuse<R: Rng>(best: &Candidate, room: Room, rng: &mut R) -> Verdict {
    let come_back = match room.objective_left.is_zero() {
        true => room.deadline_left.mul_f64(rng.random_range(COME_BACK_LATE)).max(COME_BACK_LEAST),
        false => {
            let most = room.deadline_left.mul_f64(COME_BACK_PART).max(COME_BACK_LEAST);
            let spread = rng.random_range(0.5..1.5);
            best.prediction.wait.mul_f64(spread).clamp(COME_BACK_LEAST, most)
        }
    };
    Verdict::Refuse { come_back }
}

#[cfg(test)]
mod tests;
