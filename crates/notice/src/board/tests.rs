use std::time::{Duration, Instant};

use quarantine::Start;

use super::{Board, Change, Moment, Notice, Word};
use crate::limit::{STANDS_FOR, TOLD_AGAIN_EVERY};
use crate::{Field, Stated};

const UNIX_MS: u64 = 1_000_000;

fn start() -> Start {
    Start::of("u1", 1)
}

fn names(per_ks: u64) -> Stated {
    Stated { limit: Field::Named(per_ks), ..Stated::default() }
}

/// A clock that tests move.
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

fn limit_of(board: &Board, now: Instant) -> Option<u64> {
    board.noted(start(), now).and_then(|noted| noted.limit_per_ks)
}

/// Guards against a limit that ends by an answer which another has overtaken, or by one to a probe.
#[test]
fn only_an_answer_asked_for_later_ends_a_limit() {
    let (clock, mut board) = (clock(), Board::default());
    let named = board.hear(start(), &names(1_100), Some(clock.at(0)), clock.moment(50));
    assert_eq!(named, vec![Change::Limited(1_100)]);
    let none = Stated::default();
    assert_eq!(board.hear(start(), &none, Some(clock.at(40)), clock.moment(60)), vec![]);
    assert_eq!(board.hear(start(), &none, None, clock.moment(70)), vec![]);
    let unreadable = Stated { limit: Field::Unreadable, ..Stated::default() };
    assert_eq!(board.hear(start(), &unreadable, Some(clock.at(60)), clock.moment(80)), vec![]);
    assert_eq!(limit_of(&board, clock.at(100)), Some(1_100));
    let ended = board.hear(start(), &none, Some(clock.at(60)), clock.moment(90));
    assert_eq!(ended, vec![Change::Unlimited]);
    assert_eq!(limit_of(&board, clock.at(100)), None);
    assert!(board.may_send(start(), clock.at(90)));
}

/// Guards against a limit that binds the next start of an upstream, or the next at its address.
#[test]
fn a_limit_binds_one_start() {
    let (clock, mut board) = (clock(), Board::default());
    board.hear(start(), &names(0), None, clock.moment(0));
    assert!(!board.may_send(start(), clock.at(0)));
    assert!(board.may_send(Start::of("u1", 2), clock.at(0)));
    assert!(board.may_send(Start::of("u2", 1), clock.at(0)));
}

/// Guards against a limit that stands for good since nobody may ask whether it has ended.
#[test]
fn a_limit_that_nobody_hears_of_lapses() {
    let (clock, mut board) = (clock(), Board::default());
    board.hear(start(), &names(0), None, clock.moment(0));
    let stands_for_ms = STANDS_FOR.as_millis() as u64;
    assert!(!board.may_send(start(), clock.at(stands_for_ms - 1)));
    assert!(board.may_send(start(), clock.at(stands_for_ms)));
    board.expire(clock.at(stands_for_ms));
    assert!(board.is_empty());
}

/// Guards against nodes that have to ask an upstream themselves, and against news that never rests.
#[test]
fn peers_learn_of_a_limit_and_of_its_end() {
    let (clock, mut one, mut other) = (clock(), Board::default(), Board::default());
    let tell = |from: &mut Board, to: &mut Board, ms: u64| {
        let news = from.take_news();
        let changes = news.iter().filter_map(|news| to.hear_peer(&news.notice, clock.moment(ms)));
        (news.len(), changes.collect::<Vec<_>>())
    };
    one.hear(start(), &names(1_100), None, clock.moment(0));
    assert_eq!(tell(&mut one, &mut other, 5), (1, vec![Change::Limited(1_100)]));
    assert_eq!(tell(&mut other, &mut one, 10), (1, vec![]));
    for ms in (100..TOLD_AGAIN_EVERY.as_millis() as u64).step_by(100) {
        one.hear(start(), &names(1_100), None, clock.moment(ms));
        assert_eq!(one.take_news(), vec![], "nothing new at {ms} ms");
    }
    let again_ms = TOLD_AGAIN_EVERY.as_millis() as u64;
    one.hear(start(), &names(1_100), None, clock.moment(again_ms));
    let news = one.take_news();
    assert_eq!(news.iter().map(|news| news.is_change).collect::<Vec<_>>(), vec![false]);
    one.hear(start(), &Stated::default(), Some(clock.at(again_ms + 1)), clock.moment(again_ms + 2));
    assert_eq!(tell(&mut one, &mut other, again_ms + 3), (1, vec![Change::Unlimited]));
    // What was said before its end comes late.
    assert_eq!(other.hear_peer(&news[0].notice, clock.moment(again_ms + 4)), None);
    assert_eq!(limit_of(&other, clock.at(again_ms + 4)), None);
}

/// Guards against a limit that lapses on all other nodes once the clock of its owner steps back.
#[test]
fn a_clock_that_steps_back_keeps_no_peer_from_hearing() {
    let (clock, mut one, mut other) = (clock(), Board::default(), Board::default());
    let again_ms = TOLD_AGAIN_EVERY.as_millis() as u64;
    for round in 0..3 {
        let moment = Moment { at: clock.at(round * again_ms), unix_ms: UNIX_MS / (round + 1) };
        one.hear(start(), &names(1_100), None, moment);
        for news in one.take_news() {
            other.hear_peer(&news.notice, clock.moment(round * again_ms));
        }
    }
    let later = clock.at(2 * again_ms) + STANDS_FOR / 2;
    assert_eq!(limit_of(&other, later), Some(1_100));
}

/// Guards against a peer whose clock is years ahead: what the upstream says itself goes before.
#[test]
fn an_answer_goes_before_what_a_peer_says_of_the_future() {
    let (clock, mut board) = (clock(), Board::default());
    let notice = Notice { start: start(), said_unix_ms: u64::MAX, word: Word::Limit(Some(0)) };
    assert_eq!(board.hear_peer(&notice, clock.moment(0)), Some(Change::Limited(0)));
    let none = Stated::default();
    let ended = board.hear(start(), &none, Some(clock.at(1)), clock.moment(2));
    assert_eq!(ended, vec![Change::Unlimited]);
    assert!(board.may_send(start(), clock.at(2)));
}

fn leaves() -> Stated {
    Stated { leaving: Field::Named(true), ..Stated::default() }
}

/// Guards against a word that is taken back by an answer which does not repeat it, a limit, or an
/// older word of a peer.
#[test]
fn an_upstream_that_leaves_gets_nothing_whatever_comes_after() {
    let (clock, mut board) = (clock(), Board::default());
    let changes = board.hear(start(), &leaves(), None, clock.moment(0));
    assert_eq!(changes, vec![Change::Leaving]);
    let told = board.take_news();
    assert_eq!(board.hear(start(), &leaves(), None, clock.moment(1)), vec![]);
    assert_eq!(board.take_news(), vec![], "told once");
    board.hear(start(), &Stated::default(), Some(clock.at(10)), clock.moment(20));
    board.hear(start(), &names(5_000), Some(clock.at(10)), clock.moment(20));
    let older = Notice { start: start(), said_unix_ms: UNIX_MS - 1, word: Word::Leaving(false) };
    assert_eq!(board.hear_peer(&older, clock.moment(30)), None);
    assert!(!board.may_send(start(), clock.at(5_000)));
    board.expire(clock.at(60_000));
    assert!(board.is_leaving(start(), clock.at(60_000)), "an outage of the platform may be long");

    let mut other = Board::default();
    assert_eq!(other.hear_peer(&told[0].notice, clock.moment(5)), Some(Change::Leaving));
    assert!(!other.may_send(start(), clock.at(5)));
}

/// Guards against a VM whose process started again and gets nothing for good.
#[test]
fn a_process_that_started_again_where_nothing_else_tells_stays() {
    let (clock, mut board) = (clock(), Board::default());
    board.hear(start(), &leaves(), None, clock.moment(100));
    assert_eq!(board.stays(start(), clock.at(50), clock.moment(110)), None, "asked for before");
    assert_eq!(board.stays(start(), clock.at(200), clock.moment(210)), Some(Change::Staying));
    assert!(board.may_send(start(), clock.at(210)));
    let news = board.take_news().pop().expect("peers are told").notice;
    assert_eq!(news.word, Word::Leaving(false));
}

fn rests(seconds: u64) -> Stated {
    Stated { rest: Field::Named(Duration::from_secs(seconds)), ..Stated::default() }
}

/// Guards against a rest that a shorter one cuts off, or an answer made before it.
#[test]
fn of_rests_that_overlap_the_one_that_ends_last_counts() {
    let (clock, mut board) = (clock(), Board::default());
    let asked = board.hear(start(), &rests(3), None, clock.moment(0));
    assert_eq!(asked, vec![Change::Resting(Duration::from_secs(3))]);
    assert_eq!(board.hear(start(), &rests(1), None, clock.moment(10)), vec![]);
    assert_eq!(
        board.hear(start(), &Stated::default(), Some(clock.at(5)), clock.moment(20)),
        vec![]
    );
    assert!(!board.may_send(start(), clock.at(2_999)));
    assert!(board.may_send(start(), clock.at(4_000)));
    assert_eq!(board.take_news(), vec![], "it is asked of this node alone");
}

/// Guards against a wave at its end, and against a lost request that keeps it from ending.
#[test]
fn after_a_rest_one_request_goes_first() {
    let (clock, mut board) = (clock(), Board::default());
    board.hear(start(), &rests(1), None, clock.moment(0));
    board.sent(start(), clock.at(1_500));
    assert!(!board.may_send(start(), clock.at(1_510)));
    assert!(board.may_send(start(), clock.at(2_500)), "the first had no answer");
    let rested =
        board.hear(start(), &Stated::default(), Some(clock.at(1_500)), clock.moment(1_700));
    assert_eq!(rested, vec![Change::Rested]);
    assert!(board.may_send(start(), clock.at(1_700)));
}

/// Guards against nodes that all come back at the same moment.
#[test]
fn nodes_end_a_rest_one_after_the_other() {
    let clock = clock();
    let back_at = |seed: u64| {
        let mut board = Board::of_node(seed);
        board.hear(start(), &rests(4), None, clock.moment(0));
        board.opens_at(start(), clock.at(0)).expect("it rests") - clock.at(0)
    };
    let ms = (0..16).map(|seed| back_at(seed).as_millis() as u64);
    let mut ms: Vec<u64> = ms.collect();
    ms.sort_unstable();
    assert!(ms[0] >= 4_000 && ms[15] <= 5_000, "{ms:?}");
    assert!(ms[15] - ms[0] > 500, "{ms:?}");
}

/// Guards against a year of rest for one broken answer.
#[test]
fn a_rest_has_a_bound() {
    let (clock, mut board) = (clock(), Board::default());
    board.hear(start(), &rests(365 * 24 * 3_600), None, clock.moment(0));
    assert!(!board.may_send(start(), clock.at(60_000)));
    assert!(board.may_send(start(), clock.at(400_000)));
}

/// Guards against memory that grows with upstreams that come and go.
#[test]
fn what_is_kept_has_a_bound() {
    let (clock, mut board) = (clock(), Board::default());
    for n in 0..10_000 {
        board.hear(Start::of("u", n), &leaves(), None, clock.moment(n));
    }
    assert_eq!(board.leaving_count(clock.at(10_000)), super::KEPT_MOST);
    assert!(board.is_leaving(Start::of("u", 9_999), clock.at(10_000)), "the newest stays");
}
