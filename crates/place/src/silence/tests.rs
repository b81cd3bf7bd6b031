use std::time::{Duration, Instant};

use super::{is_at_once, Silence, MAX_TRANSIT, SILENT_TTL};
use crate::upstream::Load;
use crate::Incarnation;

fn upstream(id: &str) -> Incarnation {
    Incarnation { id: id.into(), born_ms: 1 }
}

fn load(running: u32, waiting: u32) -> Load {
    Load { running, waiting, slots: 2, slowness: 1.0 }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the state of a node that has sent a request to `u0`, whose queue was at its longest.
fn sent_to_full(now: Instant) -> (Silence, super::SendId) {
    let mut silence = Silence::default();
    silence.record_report(&upstream("u0"), load(2, 4), now);
    let id = silence.record_sent(&upstream("u0"), Some(load(2, 4)), 500, now);
    (silence, id)
}

/// Guards against waiting for an answer until the deadline although the upstream holds no requests.
#[test]
fn a_request_that_its_upstream_does_not_hold_has_vanished() {
    let now = Instant::now();
    let (mut silence, id) = sent_to_full(now);
    assert!(silence.is_suspect(id, now));
    silence.record_report(&upstream("u0"), load(1, 0), now + ms(400));
    silence.record_report(&upstream("u1"), load(0, 0), now + ms(400));
    assert!(!silence.has_vanished(id));
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(500));
    assert!(silence.has_vanished(id));
    assert!(!silence.record_vanished(id, now + ms(800)), "one may be a lost response");
    let id = silence.record_sent(&upstream("u0"), Some(load(2, 4)), 500, now);
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(700));
    assert!(silence.record_vanished(id, now + ms(800)));
    assert!(silence.is_silent(now + ms(800)));
    assert!(!silence.is_silent(now + ms(800) + SILENT_TTL));
}

/// Guards against taking a request for vanished that is still on its way to its upstream.
#[yare::parameterized(short = { 500, 49 }, long = { 360_000, 400 })]
fn a_request_on_its_way_has_not_vanished(size_bytes: usize, age_ms: u64) {
    let now = Instant::now();
    let mut silence = Silence::default();
    let id = silence.record_sent(&upstream("u0"), None, size_bytes, now);
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(age_ms));
    assert!(!silence.has_vanished(id));
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(age_ms + 20));
    assert!(silence.has_vanished(id));
}

/// Guards against placing requests more carefully for ten minutes since a response was lost at an
/// upstream that had room.
#[test]
fn a_lost_response_of_an_upstream_with_room_is_no_silence() {
    let now = Instant::now();
    let mut silence = Silence::default();
    silence.record_report(&upstream("u1"), load(2, 4), now);
    let id = silence.record_sent(&upstream("u0"), Some(load(1, 0)), 500, now);
    silence.record_report(&upstream("u0"), load(2, 1), now + ms(300));
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(600));
    assert!(silence.has_vanished(id));
    assert!(!silence.record_vanished(id, now + ms(600) + MAX_TRANSIT));
    assert!(!silence.is_silent(now + ms(600) + MAX_TRANSIT));
}

/// Guards against extra probes, and requests held back, at services that refuse what they cannot
/// queue.
#[test]
fn a_service_that_refuses_when_full_is_not_suspect() {
    let now = Instant::now();
    let (mut silence, id) = sent_to_full(now);
    silence.record_refusal(Some(load(0, 0)), now);
    assert!(silence.is_suspect(id, now), "not full when it refused");
    silence.record_refusal(Some(load(2, 4)), now);
    assert!(!silence.is_suspect(id, now));
}

/// Guards against a service that refuses properly being held for silent by one lost response.
#[test]
fn a_service_seen_to_refuse_is_not_silent_by_lost_responses() {
    let now = Instant::now();
    let (mut silence, id) = sent_to_full(now);
    silence.record_refusal(Some(load(2, 4)), now);
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(500));
    assert!(!silence.record_vanished(id, now + ms(550)));
    assert!(!silence.is_silent(now + ms(550)));
}

/// Guards against a peer's claim that goes before what this node sees itself.
#[test]
fn a_service_seen_to_refuse_is_not_silent_by_a_peer() {
    let now = Instant::now();
    let (mut silence, _) = sent_to_full(now);
    silence.record_refusal(Some(load(2, 4)), now);
    silence.record_silent(SILENT_TTL, now);
    assert!(!silence.is_silent(now));
}

/// Guards against a claim that counts for longer than its peer would stand by it.
#[test]
fn a_peers_claim_counts_for_a_minute() {
    let now = Instant::now();
    let mut silence = Silence::default();
    assert!(silence.record_claim(SILENT_TTL, now));
    assert!(silence.is_silent(now) && !silence.is_silent(now + super::MAX_CLAIM_TTL));
}

/// Guards against a deadline that passed in the queue being taken for a refusal.
#[yare::parameterized(
    at_once = { 20, 500, true }, in_the_queue = { 400, 500, false }, long = { 400, 360_000, true },
)]
fn a_refusal_is_at_once(elapsed_ms: u64, size_bytes: usize, at_once: bool) {
    assert_eq!(is_at_once(ms(elapsed_ms), size_bytes), at_once);
}

/// Guards against ten minutes of care after the service was seen to refuse.
#[test]
fn a_refusal_at_a_full_queue_ends_the_silence() {
    let now = Instant::now();
    let (mut silence, _) = sent_to_full(now);
    silence.record_silent(SILENT_TTL, now);
    silence.record_refusal(Some(load(2, 4)), now + ms(1));
    assert!(!silence.is_silent(now + ms(1)));
}

/// Guards against a service held for silent since one response was lost at a node that has seen no
/// longer queue yet.
#[test]
fn one_lost_response_is_no_silence() {
    let now = Instant::now();
    let mut silence = Silence::default();
    silence.record_report(&upstream("u0"), load(2, 1), now);
    let id = silence.record_sent(&upstream("u0"), Some(load(2, 1)), 500, now);
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(500));
    assert!(!silence.record_vanished(id, now + ms(550)));
}

/// Guards against one absurd report of a queue that hides all silence from then on.
#[test]
fn an_absurd_report_of_an_hour_ago_does_not_hide_the_silence() {
    let now = Instant::now();
    let mut silence = Silence::default();
    silence.record_report(&upstream("u9"), load(2, 4_000), now);
    let later = now + Duration::from_secs(3_600);
    assert!(vanish_twice(&mut silence, later), "hidden");
}

/// Guards against the same while the report is new, at a service with several upstreams.
#[test]
fn an_absurd_report_does_not_hide_the_silence_of_others() {
    let now = Instant::now();
    let mut silence = Silence::default();
    silence.record_report(&upstream("u9"), load(2, 4_000), now);
    silence.record_report(&upstream("u1"), load(2, 4), now);
    assert!(vanish_twice(&mut silence, now), "hidden");
}

/// Lets two requests vanish at `u0`, whose queue is at its longest. Returns true if the service
/// counts as silent since.
fn vanish_twice(silence: &mut Silence, now: Instant) -> bool {
    silence.record_report(&upstream("u0"), load(2, 4), now);
    let ids = [(); 2].map(|()| silence.record_sent(&upstream("u0"), Some(load(2, 4)), 500, now));
    silence.record_report(&upstream("u0"), load(0, 0), now + ms(500));
    for id in ids {
        silence.record_vanished(id, now + ms(550));
    }
    silence.is_silent(now + ms(550))
}
