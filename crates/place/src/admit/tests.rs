use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::{admit, AdmissionRequest, Decision};
use crate::tests::{criteria, load, ms, pool, up, OBJECTIVE};
use crate::{ConnectionPlan, Load, SelectionCriteria};

fn decide(load: Option<Load>, request: AdmissionRequest) -> Decision {
    let now = Instant::now();
    let mut pool = pool(1, now);
    pool.record_report(&up("u1"), load, now);
    let mut rng = StdRng::seed_from_u64(1);
    let criteria = SelectionCriteria { objective_left: request.objective_left, ..criteria() };
    let best = pool.rank(criteria, |_| ConnectionPlan::Reuse, now, &mut rng).remove(0);
    admit(&best, request, &mut rng)
}

const REQUEST: AdmissionRequest = AdmissionRequest {
    deadline_left: Duration::from_millis(1_000),
    caller_deadline_left: Duration::from_millis(1_000),
    objective_left: OBJECTIVE,
    most_urgent: true,
    rechecks: None,
    work: Duration::from_millis(100),
    ahead: 0,
    room_per_s: 10.0,
    is_room_scarce: false,
};

/// Guards against every request being late under overload, including urgent ones. Requests that
/// will be late anyway must not queue in front of requests that can be in time.
#[yare::parameterized(
    free_slot = { load(0, 0, 1.0), REQUEST, true },
    short_queue = { load(4, 1, 1.0), REQUEST, true },
    urgent_and_late = { load(4, 6, 1.0), REQUEST, false },
    urgent_and_just_in_time = { load(4, 2, 1.0), REQUEST, true },
    urgent_at_a_slow_idle_machine = { load(0, 0, 4.0), REQUEST, true },
    less_urgent_and_in_time = {
        load(4, 0, 1.0),
        AdmissionRequest { most_urgent: false, ..REQUEST },
        true
    },
    less_urgent_and_likely_late = {
        load(4, 3, 1.0),
        AdmissionRequest { most_urgent: false, ..REQUEST },
        false
    },
    less_urgent_and_late = {
        load(4, 6, 1.0),
        AdmissionRequest { most_urgent: false, ..REQUEST },
        false
    },
    less_urgent_at_a_slow_idle_machine = {
        load(0, 0, 4.0),
        AdmissionRequest { most_urgent: false, ..REQUEST },
        true
    },
    hopeless = { load(4, 12, 4.0), REQUEST, false },
    late_with_time_for_a_response = {
        load(0, 0, 4.0),
        AdmissionRequest { objective_left: Duration::ZERO, ..REQUEST },
        true
    },
    late_without_time_for_a_response = {
        load(0, 0, 4.0),
        AdmissionRequest {
            objective_left: Duration::ZERO,
            deadline_left: Duration::from_millis(390),
            ..REQUEST
        },
        false
    },
    short_deadline_but_not_late = {
        load(0, 0, 4.0),
        AdmissionRequest { deadline_left: Duration::from_millis(390), ..REQUEST },
        true
    },
)]
fn requests_are_sent_or_refused(load: Option<Load>, request: AdmissionRequest, sent: bool) {
    assert_eq!(decide(load, request) == Decision::Send, sent);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0a7c_0e03),
        ..ProptestConfig::default()
    })]

    /// Guards against a refused caller retrying at once or only after its deadline, which happens
    /// if the retry delay depends on the queue alone.
    #[test]
    fn a_refused_caller_can_still_be_served(
        running in 0u32..10,
        waiting in 0u32..100,
        slowness in 0.5f64..8.0,
        left_ms in 1u64..5_000,
        most_urgent: bool,
    ) {
        let request = AdmissionRequest {
            deadline_left: ms(left_ms),
            caller_deadline_left: ms(left_ms),
            objective_left: ms(left_ms / 2),
            most_urgent,
            rechecks: None,
            ..REQUEST
        };
        if let Decision::Refuse { retry_after } =
            decide(load(running, waiting, slowness), request)
        {
            prop_assert!(retry_after >= ms(50));
            prop_assert!(retry_after <= ms(50).max(request.deadline_left.mul_f64(0.3)));
        }
    }
}

/// Guards against requests waiting in the queue of a slow upstream while another one gets a free
/// slot first: all slots are busy for a moment, and a request arrives that has time to spare.
/// Conversely, requests that can no longer be in time or that are already in flight must not wait
/// at the node.
#[yare::parameterized(
    time_to_spare = { load(4, 0, 1.0), AdmissionRequest { rechecks: Some(0), ..REQUEST }, true },
    less_urgent = {
        load(4, 0, 1.0),
        AdmissionRequest { rechecks: Some(0), most_urgent: false, ..REQUEST },
        true
    },
    free_slot = { load(3, 0, 1.0), AdmissionRequest { rechecks: Some(0), ..REQUEST }, false },
    max_rechecks = { load(4, 0, 1.0), AdmissionRequest { rechecks: Some(24), ..REQUEST }, false },
    in_flight = { load(4, 0, 1.0), REQUEST, false },
    no_time_left = {
        load(4, 0, 1.0),
        AdmissionRequest {
            rechecks: Some(0),
            objective_left: Duration::from_millis(160),
            ..REQUEST
        },
        false
    },
    late = {
        load(4, 0, 1.0),
        AdmissionRequest { rechecks: Some(0), objective_left: Duration::ZERO, ..REQUEST },
        false
    },
)]
fn requests_wait_at_the_node_while_they_can_be_in_time(
    load: Option<Load>,
    request: AdmissionRequest,
    waits: bool,
) {
    assert_eq!(matches!(decide(load, request), Decision::Wait(_)), waits);
}

/// Guards against refused callers being refused again and again until they give up: in a burst of
/// several seconds, callers whose objective has passed would retry as early as urgent ones.
#[test]
fn a_caller_whose_objective_has_passed_retries_later() {
    let late = AdmissionRequest { objective_left: Duration::ZERO, ..REQUEST };
    let Decision::Refuse { retry_after } = decide(load(4, 1, 1.0), late) else {
        panic!("admitted")
    };
    assert!((ms(150)..ms(300)).contains(&retry_after), "{retry_after:?}");
}

/// Guards against callers that wait a third of their objective for a refusal: with a few requests
/// ahead of it and room for ten a second, a request would not be sent in time. What can be sent in
/// time waits, and what may be sent at once does not.
#[yare::parameterized(
    first_in_line = { 0, 10.0, true },
    room_in_time = { 3, 40.0, true },
    no_room_in_time = { 3, 10.0, false },
    no_room_lately = { 1, 0.0, false },
)]
fn a_request_waits_only_if_room_is_expected_in_time(ahead: u32, room_per_s: f64, waits: bool) {
    let request = AdmissionRequest {
        objective_left: Duration::from_millis(350),
        rechecks: Some(0),
        ahead,
        room_per_s,
        ..REQUEST
    };
    let decision = decide(load(4, 1, 1.0), request);
    assert_eq!(matches!(decision, Decision::Wait(_)), waits, "{decision:?}");
    assert_eq!(matches!(decision, Decision::Refuse { .. }), !waits, "{decision:?}");
    assert_eq!(decide(load(0, 0, 1.0), request), Decision::Send);
}

/// Guards against a burst in which callers that came back late take the slots of those that could
/// be in time. Without such a shortage they are served.
#[yare::parameterized(
    scarce = { true, Duration::ZERO, false },
    not_scarce = { false, Duration::ZERO, true },
    scarce_but_in_time = { true, OBJECTIVE, true },
)]
fn late_requests_yield_while_room_is_scarce(
    is_room_scarce: bool,
    objective_left: Duration,
    sent: bool,
) {
    let request = AdmissionRequest { is_room_scarce, objective_left, ..REQUEST };
    assert_eq!(decide(load(1, 0, 1.0), request) == Decision::Send, sent);
}

/// Guards against a wave of callers at the end of a burst, which would be refused again. Of those
/// refused at the same moment, at most a fifth come back within any 100 ms.
#[yare::parameterized(
    can_be_in_time = { Duration::from_millis(900), 20.0 },
    too_late = { Duration::ZERO, 20.0 },
    little_room = { Duration::from_millis(900), 1.0 },
)]
fn refused_callers_come_back_spread(objective_left: Duration, room_per_s: f64) {
    const REFUSED: usize = 1_000;
    let request = AdmissionRequest {
        deadline_left: Duration::from_secs(3),
        caller_deadline_left: Duration::from_secs(8),
        objective_left,
        ahead: 12,
        room_per_s,
        is_room_scarce: true,
        rechecks: Some(24),
        ..REQUEST
    };
    let now = Instant::now();
    let mut pool = pool(1, now);
    pool.record_report(&up("u1"), load(4, 6, 1.0), now);
    let mut rng = StdRng::seed_from_u64(1);
    let best = pool.rank(criteria(), |_| ConnectionPlan::Reuse, now, &mut rng).remove(0);
    let mut per_100_ms = [0; 30];
    for _ in 0..REFUSED {
        match admit(&best, request, &mut rng) {
            Decision::Refuse { retry_after } => {
                per_100_ms[retry_after.as_millis() as usize / 100] += 1;
            }
            decision => panic!("{decision:?}"),
        }
    }
    let most = per_100_ms.into_iter().max().unwrap_or_default();
    assert!(most <= REFUSED / 5, "{per_100_ms:?}");
}
