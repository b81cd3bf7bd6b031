//! Whether a request is sent, or refused at once.

use std::time::Duration;

use rand::Rng;

use crate::pool::Candidate;

/// Shortest time after which a refused caller is told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(50);

/// Part of the time left that a refused caller is told to wait at most: it
/// must still be served afterwards.
const COME_BACK_PART: f64 = 0.3;

/// Share of a deadline that a prediction may take up: predictions are means.
const DEADLINE_PART: f64 = 0.9;

/// Share of the time left of its objective that a less urgent request may be predicted to take
/// where it has to wait. Predictions are means, and a queue grows while it is served: let in up to
/// its whole objective, half of them are late, and the urgent requests behind them too.
const OBJECTIVE_PART: f64 = 0.7;

/// What a request still has, and how urgent it is.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Time until its caller or its route gives up.
    pub deadline_left: Duration,
    /// Time within which its answer is worth most.
    pub objective_left: Duration,
    /// Whether no other request to the service is more urgent.
    pub most_urgent: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to the candidate.
    Send,
    /// It is refused; its caller may come back after this long.
    Refuse {
        /// When to come back.
        come_back: Duration,
    },
}

/// Decides on a request whose best upstream is `best`.
///
/// The load pattern: more requests come than there are slots for. Every queue
/// fills, all requests of all kinds become late together, and the work that
/// is done is worth nothing. Two things are refused: what would miss its
/// deadline anyway, and, of the less urgent kinds, what would have to queue
/// and be late. The slots then serve what can be in time, most urgent first.
/// A request that is late only because every machine is slow is let in:
/// refusing it would free no slot for others.
pub fn admit<R: Rng>(best: &Candidate, room: Room, rng: &mut R) -> Verdict {
    let took = best.prediction.took;
    let queues = !best.prediction.wait.is_zero();
    let too_late = took > room.deadline_left.mul_f64(DEADLINE_PART);
    let late = took > room.objective_left.mul_f64(OBJECTIVE_PART);
    match () {
        _ if too_late && queues => refuse(best, room, rng),
        _ if queues && late && !room.most_urgent => refuse(best, room, rng),
        _ => Verdict::Send,
    }
}

/// Spreads the returns of refused callers over the time that the queue takes
/// to empty: callers told the same moment would all come back in it.
fn refuse<R: Rng>(best: &Candidate, room: Room, rng: &mut R) -> Verdict {
    let spread = rng.random_range(0.5..1.5);
    let most = room.deadline_left.mul_f64(COME_BACK_PART).max(COME_BACK_LEAST);
    let come_back = best.prediction.wait.mul_f64(spread).clamp(COME_BACK_LEAST, most);
    Verdict::Refuse { come_back }
}
