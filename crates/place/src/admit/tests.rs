use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::{admit, Room, Verdict};
use crate::tests::{ask, load, ms, pool, up, OBJECTIVE};
use crate::{Ask, Load, Reach};

fn verdict(load: Option<Load>, room: Room) -> Verdict {
    let now = Instant::now();
    let mut pool = pool(1, now);
    pool.take_report(&up("u1"), load, now);
    let mut rng = StdRng::seed_from_u64(1);
    let ask = Ask { objective_left: room.objective_left, ..ask() };
    let best = pool.rank(ask, |_| Reach::Kept, now, &mut rng).remove(0);
    admit(&best, room, &mut rng)
}

const ROOM: Room = Room {
    deadline_left: Duration::from_millis(1_000),
    objective_left: OBJECTIVE,
    most_urgent: true,
    looks: None,
};

/// Symptom: under overload every request is late, urgent ones too.
/// Sequence: all slots are busy and requests of both ranks wait.
/// Cause: queueing what will be late anyway in front of what need not be.
#[yare::parameterized(
    room = { load(0, 0, 1.0), ROOM, true },
    queue_that_fits = { load(4, 1, 1.0), ROOM, true },
    urgent_and_late = { load(4, 6, 1.0), ROOM, false },
    urgent_and_just_in_time = { load(4, 2, 1.0), ROOM, true },
    urgent_at_a_slow_idle_machine = { load(0, 0, 4.0), ROOM, true },
    less_urgent_that_waits_a_little = { load(4, 0, 1.0), Room { most_urgent: false, ..ROOM }, true },
    less_urgent_and_likely_late = { load(4, 3, 1.0), Room { most_urgent: false, ..ROOM }, false },
    less_urgent_and_late = { load(4, 6, 1.0), Room { most_urgent: false, ..ROOM }, false },
    less_urgent_at_a_slow_idle_machine = { load(0, 0, 4.0), Room { most_urgent: false, ..ROOM }, true },
    hopeless = { load(4, 12, 4.0), ROOM, false },
    late_with_time_for_an_answer = { load(0, 0, 4.0), Room { objective_left: Duration::ZERO, ..ROOM }, true },
    late_without_time_for_an_answer = { load(0, 0, 4.0), Room { objective_left: Duration::ZERO, deadline_left: Duration::from_millis(390), ..ROOM }, false },
    short_deadline_but_not_late = { load(0, 0, 4.0), Room { deadline_left: Duration::from_millis(390), ..ROOM }, true },
)]
fn requests_are_sent_or_refused(load: Option<Load>, room: Room, sent: bool) {
    assert_eq!(verdict(load, room) == Verdict::Send, sent);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0a7c_0e03),
        ..ProptestConfig::default()
    })]

    /// Symptom: a refused caller comes back when its time is over, or at once.
    /// Sequence: any load, any time left.
    /// Cause: a time to come back made of the queue alone.
    #[test]
    fn a_refused_caller_can_still_be_served(
        running in 0u32..10,
        waiting in 0u32..100,
        slowness in 0.5f64..8.0,
        left_ms in 1u64..5_000,
        most_urgent: bool,
    ) {
        let room = Room { deadline_left: ms(left_ms), objective_left: ms(left_ms / 2), most_urgent, looks: None };
        if let Verdict::Refuse { come_back } = verdict(load(running, waiting, slowness), room) {
            prop_assert!(come_back >= ms(50));
            prop_assert!(come_back <= ms(50).max(room.deadline_left.mul_f64(0.3)));
        }
    }
}

/// Symptom: in a burst, requests that could be in time wait behind a slow machine's queue.
/// Sequence: all slots are busy for a moment; a request comes that has time to spare.
/// Cause: binding it to one upstream while any could be free first; and the reverse, holding what
/// can no longer be in time, or what is under way already.
#[yare::parameterized(
    time_to_spare = { load(4, 0, 1.0), Room { looks: Some(0), ..ROOM }, true },
    less_urgent = { load(4, 0, 1.0), Room { looks: Some(0), most_urgent: false, ..ROOM }, true },
    room = { load(3, 0, 1.0), Room { looks: Some(0), ..ROOM }, false },
    looked_often = { load(4, 0, 1.0), Room { looks: Some(24), ..ROOM }, false },
    under_way = { load(4, 0, 1.0), ROOM, false },
    no_time_left = { load(4, 0, 1.0), Room { looks: Some(0), objective_left: Duration::from_millis(160), ..ROOM }, false },
    late = { load(4, 0, 1.0), Room { looks: Some(0), objective_left: Duration::ZERO, ..ROOM }, false },
)]
fn requests_wait_for_room_while_they_can_be_in_time(load: Option<Load>, room: Room, waits: bool) {
    assert_eq!(matches!(verdict(load, room), Verdict::Wait(_)), waits);
}

/// Symptom: callers that were refused once are refused again and again until they give up.
/// Sequence: a burst of seconds; refused callers whose objective has passed come back at once.
/// Cause: one time to come back for those in a hurry and those who are late already.
#[test]
fn a_caller_that_is_late_already_comes_back_later() {
    let late = Room { objective_left: Duration::ZERO, ..ROOM };
    let Verdict::Refuse { come_back } = verdict(load(4, 1, 1.0), late) else { panic!("let in") };
    assert!((ms(150)..ms(300)).contains(&come_back), "{come_back:?}");
}
