//! How what is known of requests that crash upstreams comes to all nodes.

use quarantine::{ContentKey, Start};

use super::*;

/// Time in which all nodes must know that a request is held back.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// What a node may send for control, in bytes a second: a tenth of the 7 kB that all control may take.
const CONTROL_BYTES_PER_S: u64 = 700;

/// Longest encoding of a digest, which each packet has.
const DIGEST_BYTES: u64 = 10;

fn content(n: u64) -> ContentKey {
    ContentKey::of([n.to_be_bytes().as_slice()])
}

impl Net {
    /// Has nodes 0, 1 and 2 see one crash each under a request, one after the other.
    fn crash_three(&mut self, request: u64) {
        for node in 0..3 {
            let unix_ms = (self.now - self.start).as_millis() as u64;
            let ledger = &mut self.nodes[node].ledger;
            let known = ledger.version(content(request));
            let start = Start::of("u", 10 * request + node as u64);
            ledger.record_crash(content(request), known, start, unix_ms);
            self.run(Duration::from_secs(1));
        }
    }

    /// Returns how many running nodes hold back `count` requests.
    fn holding(&self, count: usize) -> usize {
        let holds = |node: &&Node| node.running && node.ledger.quarantined().count() == count;
        self.nodes.iter().filter(holds).count()
    }
}

/// Symptom: a request that crashed three upstreams goes on crashing others.
/// Sequence: three nodes saw one crash each; a tenth of the packets is lost.
/// Cause: nodes that go by their own crashes, or hear of others' late.
#[yare::parameterized(
    four = { 4, 1 },
    sixteen = { 16, 4 },
    three_hundred = { 312, 5 },
)]
fn three_crashes_that_three_nodes_saw_are_known_to_all(nodes: usize, zones: usize) {
    let mut net = Net::in_zones(nodes, zones, 7);
    net.run(Duration::from_secs(20));
    net.loss = 0.1;
    net.crash_three(1);
    net.run(KNOWN_WITHIN - Duration::from_secs(1));
    assert_eq!(net.holding(1), nodes);
}

/// Symptom: a node that was away sends on what all others hold back.
/// Sequence: it was cut off, paused or not yet started while the others were told, and long after
/// that it is back.
/// Cause: news that is told for a while and never again.
#[yare::parameterized(
    cut_off = { |net: &mut Net| net.cut = (0..15).map(|other| (other, 15)).collect() },
    paused = { |net: &mut Net| net.nodes[15].paused = true },
    stopped = { |net: &mut Net| net.nodes[15].running = false },
)]
fn a_node_that_was_away_is_told_what_it_missed(goes_away: fn(&mut Net)) {
    let mut net = Net::new(16, 3);
    net.run(Duration::from_secs(5));
    goes_away(&mut net);
    net.crash_three(1);
    net.crash_three(2);
    net.run(Duration::from_secs(20));
    assert_eq!(net.nodes[15].ledger.quarantined().count(), 0);
    net.cut.clear();
    net.nodes[15].paused = false;
    if !net.nodes[15].running {
        net.restart(15, false);
    }
    // A node that others hold for dead is taken back first.
    net.run(2 * KNOWN_WITHIN);
    assert_eq!(net.holding(2), 16);
}

/// Symptom: membership takes more bytes than all requests once something is held back.
/// Sequence: nodes hold back the same for a minute.
/// Cause: telling each other again and again what both know.
#[test]
fn what_all_know_is_not_told_again() {
    let sent = |crashes: bool| {
        let mut net = Net::new(16, 3);
        net.run(Duration::from_secs(5));
        match crashes {
            true => net.crash_three(1),
            false => net.run(Duration::from_secs(3)),
        }
        net.run(Duration::from_secs(20));
        (net.bytes, net.packets) = (0, 0);
        net.run(Duration::from_secs(20));
        (net.bytes, net.packets)
    };
    let ((bytes, packets), (with, packets_with)) = (sent(false), sent(true));
    assert_eq!(packets, packets_with);
    assert!(with - bytes <= DIGEST_BYTES * packets, "{with} bytes instead of {bytes}");
}

/// Symptom: an operator's word or an answer clears a request on some nodes only.
/// Sequence: it is cleared on one node while another is cut off.
/// Cause: clearances that are told once.
#[test]
fn a_clearance_reaches_all_nodes() {
    let mut net = Net::new(16, 3);
    net.run(Duration::from_secs(5));
    net.crash_three(1);
    net.run(KNOWN_WITHIN);
    assert_eq!(net.holding(1), 16);
    net.cut = (0..15).map(|other| (other, 15)).collect();
    let unix_ms = (net.now - net.start).as_millis() as u64;
    assert!(net.nodes[4].ledger.clear(content(1), unix_ms));
    net.run(Duration::from_secs(20));
    assert_eq!(net.holding(1), 1, "the one that is cut off");
    net.cut.clear();
    net.run(2 * KNOWN_WITHIN);
    assert_eq!(net.holding(0), 16);
}

/// Symptom: a fleet of hundreds does nothing but tell its nodes of requests, for minutes.
/// Sequence: half of the upstreams end at once; each node has lost a few requests, each of them another.
/// Cause: telling all of them. There are more than a node keeps: each that is pushed out is news again when
/// the next peer tells it, and is passed on anew. What upstreams did by themselves need not be told at all.
#[test]
fn an_end_of_many_upstreams_is_not_told_request_by_request() {
    let mut net = Net::in_zones(312, 5, 11);
    net.run(Duration::from_secs(40));
    let at_rest = {
        net.bytes = 0;
        net.run(Duration::from_secs(10));
        net.bytes
    };
    net.bytes = 0;
    for node in 0..312 {
        let unix_ms = (net.now - net.start).as_millis() as u64;
        for lost in 0..4 {
            let (request, start) = (1_000 + 4 * node + lost, (7 * node + lost) % 160);
            let ledger = &mut net.nodes[node as usize].ledger;
            let known = ledger.version(content(request));
            ledger.record_crash(content(request), known, Start::of("u", start), unix_ms);
        }
    }
    net.run(Duration::from_secs(10));
    let per_node_s = (net.bytes - at_rest) / 312 / 10;
    assert!(per_node_s < CONTROL_BYTES_PER_S, "{per_node_s} B/s a node more than at rest");
    net.bytes = 0;
    net.run(Duration::from_secs(10));
    assert!(net.bytes < 2 * at_rest, "{} B in ten seconds, {at_rest} at rest", net.bytes);
}
