use std::time::Duration;

use proptest::prelude::*;

use super::{
    as_ms, Decision, Quarantine, FIRST_CRASH_ANNOUNCE_DELAY, FIRST_TRIAL_DELAY,
    MAX_ANNOUNCE_JITTER, MAX_ENTRIES, MAX_FIRST_CRASHES, MIN_QUARANTINE_TTL,
};
use crate::{ContentKey, Finding, Start, UnixMs};

const NOW: UnixMs = 1_800_000_000_000;

fn content(text: &str) -> ContentKey {
    ContentKey::of([text.as_bytes()])
}

fn start(n: u64) -> Start {
    Start::of("u", n)
}

/// Makes upstream `n` crash under a request that was sent there just now.
fn crash(quarantine: &mut Quarantine, text: &str, n: u64) -> Option<Finding> {
    let version = quarantine.version(content(text));
    quarantine.record_crash(content(text), version, start(n), NOW)
}

/// Returns the findings that a node has to announce.
fn new_findings(quarantine: &mut Quarantine, now: UnixMs) -> Vec<Finding> {
    quarantine.take_new_findings(now).into_iter().map(|new| new.finding).collect()
}

fn decide(quarantine: &Quarantine, text: &str) -> Decision {
    quarantine.decide(content(text), || false, NOW)
}

#[test]
fn a_request_is_quarantined_after_its_third_crash() {
    let mut quarantine = Quarantine::default();
    assert_eq!(decide(&quarantine, "a"), Decision::Allow);
    assert_eq!(crash(&mut quarantine, "a", 1), None);
    assert_eq!(decide(&quarantine, "a"), Decision::Isolate);
    assert!(!quarantine.has_repeated_crashes(content("a")));
    assert_eq!(crash(&mut quarantine, "a", 2), None);
    assert!(quarantine.has_repeated_crashes(content("a")));
    assert!(crash(&mut quarantine, "a", 3).is_some());
    assert_eq!(decide(&quarantine, "a"), Decision::Reject(FIRST_TRIAL_DELAY));
    assert_eq!(decide(&quarantine, "b"), Decision::Allow);
}

/// Guards against quarantining a popular request for an hour when the upstreams of a zone end at
/// once, each running a copy of it. Copies sent before any crash was known count as one crash; a
/// copy sent afterwards that crashes too counts as another.
#[test]
fn simultaneous_crashes_count_as_one() {
    let mut quarantine = Quarantine::default();
    let version = quarantine.version(content("a"));
    for n in 0..5 {
        assert_eq!(quarantine.record_crash(content("a"), version, start(n), NOW), None);
    }
    assert_eq!(decide(&quarantine, "a"), Decision::Isolate);
    assert!(crash(&mut quarantine, "a", 9).is_some());
}

/// Guards against a request that crashes the only upstream of a service forever: the upstream
/// restarts at its address, its list does not tell incarnations apart, and three distinct ones
/// never come up.
#[test]
fn three_consecutive_crashes_of_one_upstream_are_enough() {
    let mut quarantine = Quarantine::default();
    assert_eq!(crash(&mut quarantine, "a", 1), None);
    assert_eq!(crash(&mut quarantine, "a", 1), None);
    assert!(crash(&mut quarantine, "a", 1).is_some());
}

/// Guards against counting one crash twice because two nodes each had a copy of the request at the
/// upstream.
#[test]
fn a_crash_seen_by_two_nodes_counts_once() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    crash(&mut one, "a", 1);
    crash(&mut other, "a", 1);
    crash(&mut one, "a", 2);
    for finding in new_findings(&mut one, NOW) {
        other.merge_remote(&finding, NOW);
    }
    let findings = other.findings();
    assert_eq!((findings[0].crashed.len(), findings[0].is_quarantined()), (2, false));
}

#[test]
fn a_response_clears_a_request_on_all_nodes() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    (1..=3).for_each(|n| drop(crash(&mut one, "a", n)));
    new_findings(&mut one, NOW).iter().for_each(|finding| drop(other.merge_remote(finding, NOW)));
    assert!(matches!(decide(&other, "a"), Decision::Reject(_)));
    assert!(other.record_response(content("a"), NOW));
    let new = new_findings(&mut other, NOW);
    let merged = new.iter().filter_map(|finding| one.merge_remote(finding, NOW)).last();
    assert!(merged.is_some_and(|finding| finding.is_clear()));
    assert_eq!((decide(&one, "a"), decide(&other, "a")), (Decision::Allow, Decision::Allow));
    assert_eq!((one.digest(), other.digest()), (0, 0));
    // Findings from before the clearance do not restore it, even if they arrive later.
    let mut late = Quarantine::default();
    (1..=3).for_each(|n| drop(crash(&mut late, "a", n)));
    assert!(new_findings(&mut late, NOW)
        .iter()
        .all(|finding| one.merge_remote(finding, NOW).is_none()));
}

/// Guards against refusing a popular request that gets responses all the time: two groups of
/// upstreams end, and another node, which lost copies in both, quarantines it. A response from a
/// moment ago clears it without waiting for the next one.
#[test]
fn a_recent_response_rules_out_a_request() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    assert!(!one.record_response(content("a"), NOW));
    assert_eq!(crash(&mut one, "a", 1), None);
    assert_eq!(decide(&one, "a"), Decision::Allow);
    (1..=3).for_each(|n| drop(crash(&mut other, "a", n)));
    let new = new_findings(&mut other, NOW);
    let merged = new.iter().filter_map(|finding| one.merge_remote(finding, NOW)).last();
    assert!(merged.is_some_and(|finding| finding.is_clear()));
    assert_eq!(decide(&one, "a"), Decision::Allow);
    // The response counts for a limited time.
    let version = one.version(content("a"));
    one.record_crash(content("a"), version, start(5), NOW + 5_000);
    assert_eq!(one.decide(content("a"), || false, NOW + 5_000), Decision::Isolate);
}

/// Guards against quarantining a harmless request: one copy gets a response while another is in
/// flight, and then the upstream of the other copy crashes.
#[test]
fn a_crash_of_a_copy_sent_before_a_response_does_not_count() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "a", 1);
    crash(&mut quarantine, "a", 2);
    let version = quarantine.version(content("a"));
    assert!(quarantine.record_response(content("a"), NOW));
    let later = NOW + 10_000;
    assert_eq!(quarantine.record_crash(content("a"), version, start(3), later), None);
    assert_eq!(quarantine.decide(content("a"), || false, later), Decision::Allow);
}

/// Guards against announcing requests to all nodes just to clear them a moment later: they ran next
/// to the one that crashed their upstream, are resent and get a response.
#[test]
fn a_first_crash_is_announced_after_a_delay_unless_cleared() {
    let mut quarantine = Quarantine::default();
    (0..4).for_each(|n| drop(crash(&mut quarantine, &format!("r{n}"), 1)));
    assert_eq!(new_findings(&mut quarantine, NOW), []);
    (0..3).for_each(|n| assert!(quarantine.record_response(content(&format!("r{n}")), NOW)));
    let new =
        quarantine.take_new_findings(NOW + as_ms(FIRST_CRASH_ANNOUNCE_DELAY + MAX_ANNOUNCE_JITTER));
    assert_eq!(new.len(), 1);
    assert!(!new[0].must_reach_all && new[0].finding.content == content("r3"));
}

/// Guards against a fleet that is busy for minutes with announcements: many upstreams end at once
/// and every node has lost other requests with them, none of which can be blamed.
#[test]
fn first_crashes_are_not_announced_during_a_mass_crash() {
    let later = NOW + as_ms(FIRST_CRASH_ANNOUNCE_DELAY + MAX_ANNOUNCE_JITTER);
    let mut quarantine = Quarantine::default();
    (0..=MAX_FIRST_CRASHES as u64).for_each(|n| drop(crash(&mut quarantine, &format!("r{n}"), n)));
    assert_eq!(new_findings(&mut quarantine, later), []);
    assert_eq!(new_findings(&mut quarantine, later + 60_000), [], "nor later");
    // First crashes received from other nodes count too.
    let (mut one, mut others) = (Quarantine::default(), Quarantine::default());
    (0..=MAX_FIRST_CRASHES as u64).for_each(|n| drop(crash(&mut others, &format!("r{n}"), n)));
    for finding in others.all() {
        one.merge_remote(finding, NOW);
    }
    one.take_new_findings(NOW);
    crash(&mut one, "mine", 77);
    assert_eq!(new_findings(&mut one, later), []);
    // A second crash is announced nevertheless.
    crash(&mut one, "mine", 78);
    assert!(new_findings(&mut one, later).iter().any(|finding| finding.content == content("mine")));
}

/// Guards against nodes that pass the same findings around forever: there are more requests with a
/// single crash than a node keeps, and one evicted for another would be new again when the next
/// peer sends it.
#[test]
fn a_full_table_ignores_findings_without_more_crashes() {
    let mut quarantine = Quarantine::default();
    (0..MAX_ENTRIES as u64).for_each(|n| drop(crash(&mut quarantine, &format!("r{n}"), n)));
    let mut other = Quarantine::default();
    crash(&mut other, "light", 1);
    (1..=3).for_each(|n| drop(crash(&mut other, "heavy", n)));
    let light = other.all().find(|f| f.content == content("light")).cloned();
    assert_eq!(quarantine.merge_remote(&light.expect("it is known"), NOW), None);
    let heavy = other.quarantined().next().cloned().expect("it is quarantined");
    assert!(quarantine.merge_remote(&heavy, NOW).is_some());
    assert_eq!(quarantine.table.len(), MAX_ENTRIES);
}

#[test]
fn a_second_crash_is_announced_at_once() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "a", 1);
    crash(&mut quarantine, "a", 2);
    let new = quarantine.take_new_findings(NOW);
    assert!(new.len() == 1 && new[0].must_reach_all);
}

/// Guards against refusing a fixed request forever, and against a trial by every node at once when
/// the quarantine is over and callers come to all nodes. One node of the fleet tries, one copy at a
/// time.
#[test]
fn one_node_tries_a_request_whose_quarantine_is_over() {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|n| drop(crash(&mut quarantine, "a", n)));
    let later = NOW + as_ms(FIRST_TRIAL_DELAY);
    let decide =
        |quarantine: &Quarantine, may_try| quarantine.decide(content("a"), || may_try, later);
    assert!(matches!(decide(&quarantine, false), Decision::Reject(_)));
    assert_eq!(decide(&quarantine, true), Decision::Isolate);
    quarantine.begin_attempt(content("a"), start(4));
    assert!(matches!(decide(&quarantine, true), Decision::Reject(_)));
    let version = quarantine.version(content("a"));
    quarantine.end_attempt(content("a"), start(4));
    quarantine.record_crash(content("a"), version, start(4), later);
    assert_eq!(
        decide(&quarantine, true),
        Decision::Reject(MIN_QUARANTINE_TTL * 2),
        "it crashed another"
    );
}

#[test]
fn a_request_with_repeated_crashes_is_sent_one_copy_at_a_time() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "a", 1);
    quarantine.begin_attempt(content("a"), start(2));
    assert_eq!(decide(&quarantine, "a"), Decision::Isolate);
    crash(&mut quarantine, "a", 2);
    assert!(matches!(decide(&quarantine, "a"), Decision::Reject(_)));
    quarantine.end_attempt(content("a"), start(2));
    assert_eq!(decide(&quarantine, "a"), Decision::Isolate);
}

/// Guards against refusing a harmless request for minutes on all nodes: it runs at three upstreams
/// one after the other, by chance each time next to the request that crashes them.
#[test]
fn a_request_explained_by_another_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "crashing", 1);
    for n in 2..=4 {
        crash(&mut quarantine, "crashing", n);
        assert_eq!(crash(&mut quarantine, "beside", n), None);
    }
    assert!(
        quarantine.is_quarantined(content("crashing"))
            && !quarantine.is_quarantined(content("beside"))
    );
    assert_eq!(decide(&quarantine, "beside"), Decision::Isolate);
    // Running isolated it crashes another upstream: the other request was not the cause.
    assert!(crash(&mut quarantine, "beside", 5).is_some());
}

/// Guards against refusing a harmless request for minutes, or letting a crashing one go on, when
/// two requests run at the same three upstreams. Only another run tells them apart, and only one of
/// the two may have it at a time.
#[yare::parameterized(
    the_isolated_one_is_harmless = { true },
    the_isolated_one_crashes_upstreams = { false },
)]
fn of_two_requests_with_the_same_crashes_one_runs_again(is_harmless: bool) {
    let mut quarantine = Quarantine::default();
    for n in 1..=3 {
        crash(&mut quarantine, "a", n);
        crash(&mut quarantine, "b", n);
    }
    let (isolated, rejected) = match decide(&quarantine, "a") {
        Decision::Isolate => ("a", "b"),
        _ => ("b", "a"),
    };
    assert_eq!(decide(&quarantine, isolated), Decision::Isolate);
    assert!(matches!(decide(&quarantine, rejected), Decision::Reject(_)));
    match is_harmless {
        true => assert!(quarantine.record_response(content(isolated), NOW)),
        false => assert!(crash(&mut quarantine, isolated, 4).is_some()),
    }
    let quarantined = if is_harmless { rejected } else { isolated };
    assert_eq!(
        quarantine.quarantined().map(|f| f.content).collect::<Vec<_>>(),
        [content(quarantined)]
    );
}

#[test]
fn suspected_requests_are_isolated_from_each_other() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.has_no_suspects(start(1)));
    quarantine.begin_attempt(content("a"), start(1));
    quarantine.begin_attempt(content("b"), start(1));
    assert!(!quarantine.has_no_suspects(start(1)));
    quarantine.end_attempt(content("a"), start(1));
    assert!(!quarantine.has_no_suspects(start(1)) && quarantine.has_no_suspects(start(2)));
    quarantine.end_attempt(content("b"), start(1));
    assert!(quarantine.has_no_suspects(start(1)));
}

/// Guards against unbounded memory, and against letting a quarantined request through again, when a
/// client crashes upstreams with a great many different requests.
#[test]
fn many_other_requests_do_not_evict_quarantined_ones() {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|n| drop(crash(&mut quarantine, "a", n)));
    for n in 0..3 * MAX_ENTRIES {
        crash(&mut quarantine, &format!("r{n}"), n as u64);
    }
    assert!(matches!(decide(&quarantine, "a"), Decision::Reject(_)));
    assert_eq!(quarantine.table.len(), MAX_ENTRIES);
}

/// Guards against refusing a request for years because a peer with a wrong clock or corrupt memory
/// sent a late expiry.
#[test]
fn remote_findings_are_kept_for_a_day_at_most() {
    let (mut quarantine, mut peer) = (Quarantine::default(), Quarantine::default());
    (1..=3).for_each(|n| drop(crash(&mut peer, "a", n)));
    let mut finding = new_findings(&mut peer, NOW).pop().expect("a new finding");
    finding.until_unix_ms = u64::MAX;
    assert!(quarantine.merge_remote(&finding, NOW).is_some());
    let day = Duration::from_secs(24 * 3_600);
    assert_eq!(
        decide(&quarantine, "a"),
        Decision::Reject(day - MIN_QUARANTINE_TTL + FIRST_TRIAL_DELAY)
    );
    quarantine.expire(NOW + 2 * as_ms(day));
    assert!(quarantine.is_empty());
}

/// One event at one of three nodes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Crash {
        node: usize,
        upstream: u64,
    },
    Respond {
        node: usize,
    },
    Lift {
        node: usize,
    },
    /// One node's findings reach another.
    Sync {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 0..8u64).prop_map(|(node, upstream)| Step::Crash { node, upstream }),
        1 => (0..3usize).prop_map(|node| Step::Respond { node }),
        1 => (0..3usize).prop_map(|node| Step::Lift { node }),
        4 => (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Sync { from, to }),
    ]
}

proptest! {
    /// Guards against one node of a fleet that goes on sending a request which all others
    /// quarantine: crashes, responses and lifts by an operator happen at several nodes, and
    /// messages between them are lost, delayed, duplicated and reordered, until they get through
    /// again.
    #[test]
    fn nodes_that_exchange_findings_converge(steps in prop::collection::vec(step(), 1..40)) {
        let mut nodes: [Quarantine; 3] = Default::default();
        for step in steps {
            match step {
                Step::Crash { node, upstream } => drop(crash(&mut nodes[node], "a", upstream)),
                Step::Respond { node } => drop(nodes[node].record_response(content("a"), NOW)),
                Step::Lift { node } => drop(nodes[node].clear(content("a"), NOW)),
                Step::Sync { from, to } => {
                    let sent = nodes[from].sync_findings();
                    sent.iter().for_each(|finding| drop(nodes[to].merge_remote(finding, NOW)));
                }
            }
        }
        for _ in 0..3 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let sent = nodes[from].sync_findings();
                sent.iter().for_each(|finding| drop(nodes[to].merge_remote(finding, NOW)));
            }
        }
        let decisions = nodes.each_ref().map(|node| decide(node, "a"));
        let is_rejected = |decision: &Decision| matches!(decision, Decision::Reject(_));
        prop_assert!(
            decisions.iter().all(is_rejected) || !decisions.iter().any(is_rejected),
            "{decisions:?}"
        );
        prop_assert!(nodes.iter().all(|node| node.digest() == nodes[0].digest()));
    }
}
