use std::time::Duration;

use proptest::prelude::*;

use super::{
    as_ms, Ledger, Verdict, FIRSTS_MOST, FIRST_TRIAL_AFTER, HELD_FOR, KEPT_LONGER, KEPT_TO_ITSELF,
    KNOWN_MOST,
};
use crate::{Content, Finding, Start, UnixMs};

const NOW: UnixMs = 1_800_000_000_000;

fn content(text: &str) -> Content {
    Content::of([text.as_bytes()])
}

fn start(n: u64) -> Start {
    Start::of("u", n)
}

/// Has upstream `n` crash while it runs a request that was sent there just now.
fn crash(ledger: &mut Ledger, text: &str, n: u64) -> Option<Finding> {
    let known = ledger.known(content(text));
    ledger.crashed(content(text), known, start(n), NOW)
}

/// Returns the findings that a node has to tell.
fn news(ledger: &mut Ledger, now: UnixMs) -> Vec<Finding> {
    ledger.take_news(now).into_iter().map(|news| news.finding).collect()
}

fn verdict(ledger: &Ledger, text: &str) -> Verdict {
    ledger.verdict(content(text), || false, NOW)
}

#[test]
fn a_request_is_held_back_after_its_third_crash() {
    let mut ledger = Ledger::default();
    assert_eq!(verdict(&ledger, "a"), Verdict::Free);
    assert_eq!(crash(&mut ledger, "a", 1), None);
    assert_eq!(verdict(&ledger, "a"), Verdict::Apart);
    assert!(!ledger.is_likely(content("a")));
    assert_eq!(crash(&mut ledger, "a", 2), None);
    assert!(ledger.is_likely(content("a")));
    assert!(crash(&mut ledger, "a", 3).is_some());
    assert_eq!(verdict(&ledger, "a"), Verdict::Refused(FIRST_TRIAL_AFTER));
    assert_eq!(verdict(&ledger, "b"), Verdict::Free);
}

/// Symptom: a popular request is refused for an hour.
/// Sequence: the upstreams of a zone end at once; each was running a copy of it.
/// Cause: counting upstreams alone. Copies that were sent before any crash was known share one
/// cause; a copy that is sent afterwards and crashes too has no such excuse.
#[test]
fn crashes_at_once_count_as_one_in_sequence() {
    let mut ledger = Ledger::default();
    let known = ledger.known(content("a"));
    for n in 0..5 {
        assert_eq!(ledger.crashed(content("a"), known, start(n), NOW), None);
    }
    assert_eq!(verdict(&ledger, "a"), Verdict::Apart);
    assert!(crash(&mut ledger, "a", 9).is_some());
}

/// Symptom: a request crashes the only upstream of a service again and again.
/// Sequence: it is back each time at its address, and its list names no starts.
/// Cause: waiting for three upstreams that can be told apart.
#[test]
fn three_crashes_in_sequence_of_one_upstream_are_enough() {
    let mut ledger = Ledger::default();
    assert_eq!(crash(&mut ledger, "a", 1), None);
    assert_eq!(crash(&mut ledger, "a", 1), None);
    assert!(crash(&mut ledger, "a", 1).is_some());
}

/// Symptom: one upstream whose end two nodes see counts as two.
/// Sequence: both had a copy of the request there.
/// Cause: counting what nodes saw, not what crashed.
#[test]
fn one_crash_counts_once_whoever_saw_it() {
    let (mut one, mut other) = (Ledger::default(), Ledger::default());
    crash(&mut one, "a", 1);
    crash(&mut other, "a", 1);
    crash(&mut one, "a", 2);
    for finding in news(&mut one, NOW) {
        other.hear(&finding, NOW);
    }
    let findings = other.findings();
    assert_eq!((findings[0].crashed.len(), findings[0].is_held()), (2, false));
}

#[test]
fn an_answer_clears_a_request_on_all_nodes() {
    let (mut one, mut other) = (Ledger::default(), Ledger::default());
    (1..=3).for_each(|n| drop(crash(&mut one, "a", n)));
    news(&mut one, NOW).iter().for_each(|finding| drop(other.hear(finding, NOW)));
    assert!(matches!(verdict(&other, "a"), Verdict::Refused(_)));
    assert!(other.answered(content("a"), NOW));
    let told = news(&mut other, NOW);
    let known = told.iter().filter_map(|finding| one.hear(finding, NOW)).last();
    assert!(known.is_some_and(|finding| finding.is_clear()));
    assert_eq!((verdict(&one, "a"), verdict(&other, "a")), (Verdict::Free, Verdict::Free));
    assert_eq!((one.digest(), other.digest()), (0, 0));
    // What another node found before does not bring it back, later either.
    let mut late = Ledger::default();
    (1..=3).for_each(|n| drop(crash(&mut late, "a", n)));
    assert!(news(&mut late, NOW).iter().all(|finding| one.hear(finding, NOW).is_none()));
}

/// Symptom: a popular request is refused while it is answered all the time.
/// Sequence: two series of upstreams end; another node has lost copies in both, and holds it back.
/// Cause: waiting for the next answer, where there was one a moment ago.
#[test]
fn what_was_answered_a_moment_ago_is_not_blamed() {
    let (mut one, mut other) = (Ledger::default(), Ledger::default());
    assert!(!one.answered(content("a"), NOW));
    assert_eq!(crash(&mut one, "a", 1), None);
    assert_eq!(verdict(&one, "a"), Verdict::Free);
    (1..=3).for_each(|n| drop(crash(&mut other, "a", n)));
    let told = news(&mut other, NOW);
    let known = told.iter().filter_map(|finding| one.hear(finding, NOW)).last();
    assert!(known.is_some_and(|finding| finding.is_clear()));
    assert_eq!(verdict(&one, "a"), Verdict::Free);
    // Not for ever.
    let known = one.known(content("a"));
    one.crashed(content("a"), known, start(5), NOW + 5_000);
    assert_eq!(one.verdict(content("a"), || false, NOW + 5_000), Verdict::Apart);
}

/// Symptom: an innocent request is held back though it was answered meanwhile.
/// Sequence: one copy of it is answered while another is still under way; then the upstream of the
/// latter crashes.
/// Cause: counting crashes of copies that were sent before the answer.
#[test]
fn a_copy_sent_before_an_answer_does_not_count() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", 1);
    crash(&mut ledger, "a", 2);
    let known = ledger.known(content("a"));
    assert!(ledger.answered(content("a"), NOW));
    let later = NOW + 10_000;
    assert_eq!(ledger.crashed(content("a"), known, start(3), later), None);
    assert_eq!(ledger.verdict(content("a"), || false, later), Verdict::Free);
}

/// Symptom: requests are told to all nodes, and cleared again a moment later.
/// Sequence: each of them ran beside one that crashed its upstream, is sent again and answered.
/// Cause: telling a first crash before its request had a chance to be answered.
#[test]
fn a_first_crash_is_told_after_a_while_unless_it_is_cleared() {
    let mut ledger = Ledger::default();
    (0..4).for_each(|n| drop(crash(&mut ledger, &format!("r{n}"), 1)));
    assert_eq!(news(&mut ledger, NOW), []);
    (0..3).for_each(|n| assert!(ledger.answered(content(&format!("r{n}")), NOW)));
    let told = ledger.take_news(NOW + as_ms(KEPT_TO_ITSELF + KEPT_LONGER));
    assert_eq!(told.len(), 1);
    assert!(!told[0].is_weighty && told[0].finding.content == content("r3"));
}

/// Symptom: a fleet is busy for minutes with telling its nodes of requests.
/// Sequence: many upstreams end at once, and each node has lost other requests with them.
/// Cause: telling all of them, though none can be blamed.
#[test]
fn first_crashes_are_not_told_while_many_upstreams_end() {
    let later = NOW + as_ms(KEPT_TO_ITSELF + KEPT_LONGER);
    let mut ledger = Ledger::default();
    (0..=FIRSTS_MOST as u64).for_each(|n| drop(crash(&mut ledger, &format!("r{n}"), n)));
    assert_eq!(news(&mut ledger, later), []);
    assert_eq!(news(&mut ledger, later + 60_000), [], "nor later");
    // Those that were heard of count too.
    let (mut one, mut others) = (Ledger::default(), Ledger::default());
    (0..=FIRSTS_MOST as u64).for_each(|n| drop(crash(&mut others, &format!("r{n}"), n)));
    for finding in others.all() {
        one.hear(finding, NOW);
    }
    one.take_news(NOW);
    crash(&mut one, "mine", 77);
    assert_eq!(news(&mut one, later), []);
    // A second crash is told all the same.
    crash(&mut one, "mine", 78);
    assert!(news(&mut one, later).iter().any(|finding| finding.content == content("mine")));
}

/// Symptom: nodes pass the same findings on and on.
/// Sequence: more requests crashed an upstream each than a node keeps; each that is pushed out is
/// news when the next peer tells it.
/// Cause: keeping the newest whatever it weighs.
#[test]
fn what_weighs_no_more_than_all_that_is_known_is_no_news() {
    let mut ledger = Ledger::default();
    (0..KNOWN_MOST as u64).for_each(|n| drop(crash(&mut ledger, &format!("r{n}"), n)));
    let mut other = Ledger::default();
    crash(&mut other, "light", 1);
    (1..=3).for_each(|n| drop(crash(&mut other, "heavy", n)));
    let light = other.all().find(|f| f.content == content("light")).cloned();
    assert_eq!(ledger.hear(&light.expect("it is known"), NOW), None);
    let heavy = other.held().next().cloned().expect("it is held back");
    assert!(ledger.hear(&heavy, NOW).is_some());
    assert_eq!(ledger.known.len(), KNOWN_MOST);
}

#[test]
fn a_second_crash_is_told_at_once() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", 1);
    crash(&mut ledger, "a", 2);
    let told = ledger.take_news(NOW);
    assert!(told.len() == 1 && told[0].is_weighty);
}

/// Symptom: a request that was mended is refused for good, or all nodes try it at once.
/// Sequence: its time is over, and its callers come to all nodes.
/// Cause: no trial, or one by each node. One node of the fleet tries, one copy at a time.
#[test]
fn one_node_tries_a_request_whose_time_is_over() {
    let mut ledger = Ledger::default();
    (1..=3).for_each(|n| drop(crash(&mut ledger, "a", n)));
    let later = NOW + as_ms(FIRST_TRIAL_AFTER);
    let verdict = |ledger: &Ledger, may_try| ledger.verdict(content("a"), || may_try, later);
    assert!(matches!(verdict(&ledger, false), Verdict::Refused(_)));
    assert_eq!(verdict(&ledger, true), Verdict::Apart);
    ledger.begin(content("a"), start(4));
    assert!(matches!(verdict(&ledger, true), Verdict::Refused(_)));
    let known = ledger.known(content("a"));
    ledger.end(content("a"), start(4));
    ledger.crashed(content("a"), known, start(4), later);
    assert_eq!(verdict(&ledger, true), Verdict::Refused(HELD_FOR * 2), "it crashed another");
}

#[test]
fn a_likely_request_is_sent_one_at_a_time() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", 1);
    ledger.begin(content("a"), start(2));
    assert_eq!(verdict(&ledger, "a"), Verdict::Apart);
    crash(&mut ledger, "a", 2);
    assert!(matches!(verdict(&ledger, "a"), Verdict::Refused(_)));
    ledger.end(content("a"), start(2));
    assert_eq!(verdict(&ledger, "a"), Verdict::Apart);
}

/// Symptom: a harmless request is refused for minutes, on all nodes.
/// Sequence: it runs at three upstreams one after the other, each time beside the request that
/// crashes them, which two nodes sent to the same upstream by chance.
/// Cause: each crash counts against all that ran there, though one of them explains them all.
#[test]
fn what_shares_all_its_crashes_with_a_heavier_request_is_not_held_back() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "crashing", 1);
    for n in 2..=4 {
        crash(&mut ledger, "crashing", n);
        assert_eq!(crash(&mut ledger, "beside", n), None);
    }
    assert!(ledger.is_held(content("crashing")) && !ledger.is_held(content("beside")));
    assert_eq!(verdict(&ledger, "beside"), Verdict::Apart);
    // Alone it crashes another: it was not the other request.
    assert!(crash(&mut ledger, "beside", 5).is_some());
}

/// Symptom: of two requests one is refused for minutes though it is harmless, or both go on.
/// Sequence: they run at the same three upstreams, one after the other.
/// Cause: nothing tells them apart but one more run, which only one of them may get at a time.
#[yare::parameterized(
    the_lighter_one_is_harmless = { true },
    the_lighter_one_crashes_them = { false },
)]
fn of_two_that_share_all_crashes_one_runs_once_more(is_harmless: bool) {
    let mut ledger = Ledger::default();
    for n in 1..=3 {
        crash(&mut ledger, "a", n);
        crash(&mut ledger, "b", n);
    }
    let (runs, waits) = match verdict(&ledger, "a") {
        Verdict::Apart => ("a", "b"),
        _ => ("b", "a"),
    };
    assert_eq!(verdict(&ledger, runs), Verdict::Apart);
    assert!(matches!(verdict(&ledger, waits), Verdict::Refused(_)));
    match is_harmless {
        true => assert!(ledger.answered(content(runs), NOW)),
        false => assert!(crash(&mut ledger, runs, 4).is_some()),
    }
    let held = if is_harmless { waits } else { runs };
    assert_eq!(ledger.held().map(|f| f.content).collect::<Vec<_>>(), [content(held)]);
}

#[test]
fn suspected_requests_are_kept_apart_from_each_other() {
    let mut ledger = Ledger::default();
    assert!(ledger.is_apart(start(1)));
    ledger.begin(content("a"), start(1));
    ledger.begin(content("b"), start(1));
    assert!(!ledger.is_apart(start(1)));
    ledger.end(content("a"), start(1));
    assert!(!ledger.is_apart(start(1)) && ledger.is_apart(start(2)));
    ledger.end(content("b"), start(1));
    assert!(ledger.is_apart(start(1)));
}

/// Symptom: a node's memory grows, or a request that is held back is let through again.
/// Sequence: somebody crashes upstreams by a million different requests.
/// Cause: no bound, or one that pushes out what weighs most.
#[test]
fn a_million_others_do_not_push_out_what_is_held_back() {
    let mut ledger = Ledger::default();
    (1..=3).for_each(|n| drop(crash(&mut ledger, "a", n)));
    for n in 0..3 * KNOWN_MOST {
        crash(&mut ledger, &format!("r{n}"), n as u64);
    }
    assert!(matches!(verdict(&ledger, "a"), Verdict::Refused(_)));
    assert_eq!(ledger.known.len(), KNOWN_MOST);
}

/// Symptom: a request is refused for years since a peer said so.
/// Sequence: the peer's clock is wrong, or its memory.
/// Cause: taking a peer's times as they are.
#[test]
fn what_a_peer_says_counts_for_a_day_at_most() {
    let (mut ledger, mut peer) = (Ledger::default(), Ledger::default());
    (1..=3).for_each(|n| drop(crash(&mut peer, "a", n)));
    let mut finding = news(&mut peer, NOW).pop().expect("news");
    finding.until_unix_ms = u64::MAX;
    assert!(ledger.hear(&finding, NOW).is_some());
    let day = Duration::from_secs(24 * 3_600);
    assert_eq!(verdict(&ledger, "a"), Verdict::Refused(day - HELD_FOR + FIRST_TRIAL_AFTER));
    ledger.expire(NOW + 2 * as_ms(day));
    assert!(ledger.is_empty());
}

/// One thing that happens at one of three nodes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Crash {
        node: usize,
        upstream: u64,
    },
    Answer {
        node: usize,
    },
    Lift {
        node: usize,
    },
    /// One node's findings reach another.
    Tell {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 0..8u64).prop_map(|(node, upstream)| Step::Crash { node, upstream }),
        1 => (0..3usize).prop_map(|node| Step::Answer { node }),
        1 => (0..3usize).prop_map(|node| Step::Lift { node }),
        4 => (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Tell { from, to }),
    ]
}

proptest! {
    /// Symptom: one node of a fleet goes on sending a request that all others hold back.
    /// Sequence: crashes, answers and an operator's word at several nodes; what they tell each other
    /// is lost, late, doubled and in any order; then all is well again.
    /// Cause: findings that do not converge.
    #[test]
    fn nodes_that_hear_each_other_agree(steps in prop::collection::vec(step(), 1..40)) {
        let mut nodes: [Ledger; 3] = Default::default();
        for step in steps {
            match step {
                Step::Crash { node, upstream } => drop(crash(&mut nodes[node], "a", upstream)),
                Step::Answer { node } => drop(nodes[node].answered(content("a"), NOW)),
                Step::Lift { node } => drop(nodes[node].clear(content("a"), NOW)),
                Step::Tell { from, to } => {
                    let told = nodes[from].to_tell();
                    told.iter().for_each(|finding| drop(nodes[to].hear(finding, NOW)));
                }
            }
        }
        for _ in 0..3 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let told = nodes[from].to_tell();
                told.iter().for_each(|finding| drop(nodes[to].hear(finding, NOW)));
            }
        }
        let verdicts = nodes.each_ref().map(|node| verdict(node, "a"));
        let held = |verdict: &Verdict| matches!(verdict, Verdict::Refused(_));
        prop_assert!(verdicts.iter().all(held) || !verdicts.iter().any(held), "{verdicts:?}");
        prop_assert!(nodes.iter().all(|node| node.digest() == nodes[0].digest()));
    }
}
