use std::time::{Duration, Instant};

use quarantine::Start;

use super::{Backpressure, Change, Moment, Notice, Statement};
use crate::limit::{LIMIT_TTL, REPEAT_INTERVAL};
use crate::{Field, Signals};

const UNIX_MS: u64 = 1_000_000;

fn start() -> Start {
    Start::of("u1", 1)
}

fn limited(per_ks: u64) -> Signals {
    Signals { limit: Field::Value(per_ks), ..Signals::default() }
}

/// A clock that tests advance.
struct Clock(Instant);

impl Clock {
    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn moment(&self, ms: u64) -> Moment {
        Moment { at: self.at(ms), unix_ms: UNIX_MS + ms }
    }
}

fn clock() -> Clock {
    Clock(Instant::now())
}

fn limit_of(backpressure: &Backpressure, now: Instant) -> Option<u64> {
    backpressure.status(start(), now).and_then(|status| status.limit_per_ks)
}

/// Guards against a limit that is ended by a response to an earlier request, which a later response
/// has overtaken, or by a response to a probe.
#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    let changes =
        backpressure.apply_signals(start(), &limited(1_100), Some(clock.at(0)), clock.moment(50));
    assert_eq!(changes, vec![Change::Limited(1_100)]);
    let none = Signals::default();
    assert_eq!(
        backpressure.apply_signals(start(), &none, Some(clock.at(40)), clock.moment(60)),
        vec![]
    );
    assert_eq!(backpressure.apply_signals(start(), &none, None, clock.moment(70)), vec![]);
    let invalid = Signals { limit: Field::Invalid, ..Signals::default() };
    assert_eq!(
        backpressure.apply_signals(start(), &invalid, Some(clock.at(60)), clock.moment(80)),
        vec![]
    );
    assert_eq!(limit_of(&backpressure, clock.at(100)), Some(1_100));
    let ended = backpressure.apply_signals(start(), &none, Some(clock.at(60)), clock.moment(90));
    assert_eq!(ended, vec![Change::Unlimited]);
    assert_eq!(limit_of(&backpressure, clock.at(100)), None);
    assert!(backpressure.may_send(start(), clock.at(90)));
}

/// Guards against a limit that still applies to an upstream after its restart, or to another
/// upstream.
#[test]
fn a_limit_applies_to_one_incarnation() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    backpressure.apply_signals(start(), &limited(0), None, clock.moment(0));
    assert!(!backpressure.may_send(start(), clock.at(0)));
    assert!(backpressure.may_send(Start::of("u1", 2), clock.at(0)));
    assert!(backpressure.may_send(Start::of("u2", 1), clock.at(0)));
}

/// Guards against a limit that never ends because it lets no node send a request that would show
/// its end.
#[test]
fn a_limit_that_is_not_repeated_expires() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    backpressure.apply_signals(start(), &limited(0), None, clock.moment(0));
    let ttl_ms = LIMIT_TTL.as_millis() as u64;
    assert!(!backpressure.may_send(start(), clock.at(ttl_ms - 1)));
    assert!(backpressure.may_send(start(), clock.at(ttl_ms)));
    backpressure.expire(clock.at(ttl_ms));
    assert!(backpressure.is_empty());
}

/// Guards against nodes that learn of a limit only from the upstream itself, and against notices
/// that are sent again without end.
#[test]
fn peers_learn_of_a_limit_and_of_its_end() {
    let (clock, mut one, mut other) = (clock(), Backpressure::default(), Backpressure::default());
    let exchange = |from: &mut Backpressure, to: &mut Backpressure, ms: u64| {
        let notices = from.take_new_notices();
        let changes =
            notices.iter().filter_map(|new| to.apply_notice(&new.notice, clock.moment(ms)));
        (notices.len(), changes.collect::<Vec<_>>())
    };
    one.apply_signals(start(), &limited(1_100), None, clock.moment(0));
    assert_eq!(exchange(&mut one, &mut other, 5), (1, vec![Change::Limited(1_100)]));
    assert_eq!(exchange(&mut other, &mut one, 10), (1, vec![]));
    for ms in (100..REPEAT_INTERVAL.as_millis() as u64).step_by(100) {
        one.apply_signals(start(), &limited(1_100), None, clock.moment(ms));
        assert_eq!(one.take_new_notices(), vec![], "no repetition at {ms} ms");
    }
    let repeat_ms = REPEAT_INTERVAL.as_millis() as u64;
    one.apply_signals(start(), &limited(1_100), None, clock.moment(repeat_ms));
    let notices = one.take_new_notices();
    assert_eq!(notices.iter().map(|new| new.is_change).collect::<Vec<_>>(), vec![false]);
    one.apply_signals(
        start(),
        &Signals::default(),
        Some(clock.at(repeat_ms + 1)),
        clock.moment(repeat_ms + 2),
    );
    assert_eq!(exchange(&mut one, &mut other, repeat_ms + 3), (1, vec![Change::Unlimited]));
    // The notice was sent before the limit ended and arrives late.
    assert_eq!(other.apply_notice(&notices[0].notice, clock.moment(repeat_ms + 4)), None);
    assert_eq!(limit_of(&other, clock.at(repeat_ms + 4)), None);
}

/// Guards against a limit that expires on all other nodes after its owner's wall clock steps back.
#[test]
fn a_clock_stepping_back_does_not_suppress_notices() {
    let (clock, mut one, mut other) = (clock(), Backpressure::default(), Backpressure::default());
    let repeat_ms = REPEAT_INTERVAL.as_millis() as u64;
    for round in 0..3 {
        let moment = Moment { at: clock.at(round * repeat_ms), unix_ms: UNIX_MS / (round + 1) };
        one.apply_signals(start(), &limited(1_100), None, moment);
        for new in one.take_new_notices() {
            other.apply_notice(&new.notice, clock.moment(round * repeat_ms));
        }
    }
    let later = clock.at(2 * repeat_ms) + LIMIT_TTL / 2;
    assert_eq!(limit_of(&other, later), Some(1_100));
}

/// Guards against a peer whose clock is years ahead: a response of the upstream itself takes
/// precedence.
#[test]
fn a_response_overrides_a_notice_from_the_future() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    let notice =
        Notice { start: start(), stated_unix_ms: u64::MAX, statement: Statement::Limit(Some(0)) };
    assert_eq!(backpressure.apply_notice(&notice, clock.moment(0)), Some(Change::Limited(0)));
    let none = Signals::default();
    let ended = backpressure.apply_signals(start(), &none, Some(clock.at(1)), clock.moment(2));
    assert_eq!(ended, vec![Change::Unlimited]);
    assert!(backpressure.may_send(start(), clock.at(2)));
}

fn leaving() -> Signals {
    Signals { leaving: Field::Value(true), ..Signals::default() }
}

/// Guards against a leaving state that is ended by a response that does not repeat it, by a limit,
/// or by an older notice of a peer.
#[test]
fn a_leaving_upstream_gets_no_more_requests() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    let changes = backpressure.apply_signals(start(), &leaving(), None, clock.moment(0));
    assert_eq!(changes, vec![Change::Leaving]);
    let sent = backpressure.take_new_notices();
    assert_eq!(backpressure.apply_signals(start(), &leaving(), None, clock.moment(1)), vec![]);
    assert_eq!(backpressure.take_new_notices(), vec![], "sent once");
    backpressure.apply_signals(start(), &Signals::default(), Some(clock.at(10)), clock.moment(20));
    backpressure.apply_signals(start(), &limited(5_000), Some(clock.at(10)), clock.moment(20));
    let earlier = Notice {
        start: start(),
        stated_unix_ms: UNIX_MS - 1,
        statement: Statement::Leaving(false),
    };
    assert_eq!(backpressure.apply_notice(&earlier, clock.moment(30)), None);
    assert!(!backpressure.may_send(start(), clock.at(5_000)));
    backpressure.expire(clock.at(60_000));
    assert!(
        backpressure.is_leaving(start(), clock.at(60_000)),
        "the state outlasts an outage of the platform"
    );

    let mut other = Backpressure::default();
    assert_eq!(other.apply_notice(&sent[0].notice, clock.moment(5)), Some(Change::Leaving));
    assert!(!other.may_send(start(), clock.at(5)));
}

/// Guards against a VM that gets no requests any more after its process has restarted.
#[test]
fn a_restarted_process_is_no_longer_leaving() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    backpressure.apply_signals(start(), &leaving(), None, clock.moment(100));
    assert_eq!(
        backpressure.clear_leaving(start(), clock.at(50), clock.moment(110)),
        None,
        "the request was sent before the upstream was leaving"
    );
    assert_eq!(
        backpressure.clear_leaving(start(), clock.at(200), clock.moment(210)),
        Some(Change::Staying)
    );
    assert!(backpressure.may_send(start(), clock.at(210)));
    let notice = backpressure.take_new_notices().pop().expect("a notice for peers").notice;
    assert_eq!(notice.statement, Statement::Leaving(false));
}

fn backoff(seconds: u64) -> Signals {
    Signals { backoff: Field::Value(Duration::from_secs(seconds)), ..Signals::default() }
}

/// Guards against a backoff that is cut short by a shorter one, or by a response to an earlier
/// request.
#[test]
fn of_overlapping_backoffs_the_latest_end_counts() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    let requested = backpressure.apply_signals(start(), &backoff(3), None, clock.moment(0));
    assert_eq!(requested, vec![Change::Resting(Duration::from_secs(3))]);
    assert_eq!(backpressure.apply_signals(start(), &backoff(1), None, clock.moment(10)), vec![]);
    assert_eq!(
        backpressure.apply_signals(
            start(),
            &Signals::default(),
            Some(clock.at(5)),
            clock.moment(20)
        ),
        vec![]
    );
    assert!(!backpressure.may_send(start(), clock.at(2_999)));
    assert!(backpressure.may_send(start(), clock.at(4_000)));
    assert_eq!(backpressure.take_new_notices(), vec![], "a backoff applies to this node only");
}

/// Guards against a burst of requests at the end of a backoff, and against a lost trial request
/// that keeps the backoff from ending.
#[test]
fn one_trial_request_follows_a_backoff() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    backpressure.apply_signals(start(), &backoff(1), None, clock.moment(0));
    backpressure.record_send(start(), clock.at(1_500));
    assert!(!backpressure.may_send(start(), clock.at(1_510)));
    assert!(backpressure.may_send(start(), clock.at(2_500)), "the trial request got no response");
    let changes = backpressure.apply_signals(
        start(),
        &Signals::default(),
        Some(clock.at(1_500)),
        clock.moment(1_700),
    );
    assert_eq!(changes, vec![Change::Rested]);
    assert!(backpressure.may_send(start(), clock.at(1_700)));
}

/// Guards against nodes that all resume at the same moment.
#[test]
fn backoffs_end_at_different_times_on_different_nodes() {
    let clock = clock();
    let resumes_after = |seed: u64| {
        let mut backpressure = Backpressure::with_node_seed(seed);
        backpressure.apply_signals(start(), &backoff(4), None, clock.moment(0));
        backpressure.available_at(start(), clock.at(0)).expect("a backoff in force") - clock.at(0)
    };
    let ms = (0..16).map(|seed| resumes_after(seed).as_millis() as u64);
    let mut ms: Vec<u64> = ms.collect();
    ms.sort_unstable();
    assert!(ms[0] >= 4_000 && ms[15] <= 5_000, "{ms:?}");
    assert!(ms[15] - ms[0] > 500, "{ms:?}");
}

/// Guards against a year without requests because of one faulty response.
#[test]
fn a_backoff_is_bounded() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    backpressure.apply_signals(start(), &backoff(365 * 24 * 3_600), None, clock.moment(0));
    assert!(!backpressure.may_send(start(), clock.at(60_000)));
    assert!(backpressure.may_send(start(), clock.at(400_000)));
}

/// Guards against memory that grows as upstreams come and go.
#[test]
fn the_number_of_tracked_upstreams_is_bounded() {
    let (clock, mut backpressure) = (clock(), Backpressure::default());
    for n in 0..10_000 {
        backpressure.apply_signals(Start::of("u", n), &leaving(), None, clock.moment(n));
    }
    assert_eq!(backpressure.leaving_count(clock.at(10_000)), super::MAX_TRACKED_UPSTREAMS);
    assert!(backpressure.is_leaving(Start::of("u", 9_999), clock.at(10_000)), "the newest is kept");
}
