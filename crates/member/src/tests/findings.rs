//! Tests of the dissemination of findings to all nodes.

use quarantine::{ContentKey, Start};

use super::*;

/// Time within which all nodes must quarantine a request.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Maximum control traffic of a node for findings, in bytes per second: a tenth of the 7 kB that
/// all control traffic may take.
const MAX_FINDING_BYTES_PER_S: u64 = 700;

/// Maximum encoded length of the digest in each packet.
const MAX_DIGEST_BYTES: u64 = 10;

fn content(n: u64) -> ContentKey {
    ContentKey::of([n.to_be_bytes().as_slice()])
}

impl Network {
    /// Makes nodes 0, 1 and 2 each see one crash caused by a request, one after the other.
    fn crash_three_upstreams(&mut self, request: u64) {
        for node in 0..3 {
            let unix_ms = (self.now - self.start).as_millis() as u64;
            let quarantine = &mut self.nodes[node].quarantine;
            let version = quarantine.version(content(request));
            let start = Start::of("u", 10 * request + node as u64);
            quarantine.record_crash(content(request), version, start, unix_ms);
            self.run(Duration::from_secs(1));
        }
    }

    /// Returns the number of running nodes that quarantine `count` requests.
    fn nodes_quarantining(&self, count: usize) -> usize {
        let is_match =
            |node: &&Node| node.running && node.quarantine.quarantined().count() == count;
        self.nodes.iter().filter(is_match).count()
    }
}

/// Guards against a request that continues to crash upstreams after the first three: three nodes
/// saw one crash each, a tenth of the packets is lost, and nodes go by their own crashes alone or
/// learn of the others late.
#[yare::parameterized(
    four = { 4, 1 },
    sixteen = { 16, 4 },
    three_hundred = { 312, 5 },
)]
fn crashes_seen_by_three_nodes_quarantine_the_request_on_all(nodes: usize, zones: usize) {
    let mut network = Network::in_zones(nodes, zones, 7);
    network.run(Duration::from_secs(20));
    network.loss_rate = 0.1;
    network.crash_three_upstreams(1);
    network.run(MAX_PROPAGATION_TIME - Duration::from_secs(1));
    assert_eq!(network.nodes_quarantining(1), nodes);
}

/// Guards against a node that forwards a request that all others quarantine: it was partitioned,
/// paused or stopped while the findings spread, and returns long after their last transmission.
#[yare::parameterized(
    partitioned = {
        |network: &mut Network| network.cut_links = (0..15).map(|other| (other, 15)).collect()
    },
    paused = { |network: &mut Network| network.nodes[15].paused = true },
    stopped = { |network: &mut Network| network.nodes[15].running = false },
)]
fn a_returning_node_receives_missed_findings(disconnect: fn(&mut Network)) {
    let mut network = Network::new(16, 3);
    network.run(Duration::from_secs(5));
    disconnect(&mut network);
    network.crash_three_upstreams(1);
    network.crash_three_upstreams(2);
    network.run(Duration::from_secs(20));
    assert_eq!(network.nodes[15].quarantine.quarantined().count(), 0);
    network.cut_links.clear();
    network.nodes[15].paused = false;
    if !network.nodes[15].running {
        network.restart(15, false);
    }
    // Peers that declared the node dead must see it alive again first.
    network.run(2 * MAX_PROPAGATION_TIME);
    assert_eq!(network.nodes_quarantining(2), 16);
}

/// Guards against membership traffic that exceeds the traffic of all requests once a request is
/// quarantined: nodes that quarantine the same requests must not keep sending them to each other.
#[test]
fn findings_known_to_all_nodes_are_not_sent_again() {
    let sent = |crashes: bool| {
        let mut network = Network::new(16, 3);
        network.run(Duration::from_secs(5));
        match crashes {
            true => network.crash_three_upstreams(1),
            false => network.run(Duration::from_secs(3)),
        }
        network.run(Duration::from_secs(20));
        (network.bytes, network.packets) = (0, 0);
        network.run(Duration::from_secs(20));
        (network.bytes, network.packets)
    };
    let ((bytes, packets), (bytes_with_crashes, packets_with_crashes)) = (sent(false), sent(true));
    assert_eq!(packets, packets_with_crashes);
    assert!(
        bytes_with_crashes - bytes <= MAX_DIGEST_BYTES * packets,
        "{bytes_with_crashes} bytes with a quarantined request, {bytes} without"
    );
}

/// Guards against a request that an operator or a response clears on some nodes only: it is cleared
/// on one node while another is partitioned, and clearances are sent only once.
#[test]
fn a_clearance_reaches_all_nodes() {
    let mut network = Network::new(16, 3);
    network.run(Duration::from_secs(5));
    network.crash_three_upstreams(1);
    network.run(MAX_PROPAGATION_TIME);
    assert_eq!(network.nodes_quarantining(1), 16);
    network.cut_links = (0..15).map(|other| (other, 15)).collect();
    let unix_ms = (network.now - network.start).as_millis() as u64;
    assert!(network.nodes[4].quarantine.clear(content(1), unix_ms));
    network.run(Duration::from_secs(20));
    assert_eq!(network.nodes_quarantining(1), 1, "the partitioned node");
    network.cut_links.clear();
    network.run(2 * MAX_PROPAGATION_TIME);
    assert_eq!(network.nodes_quarantining(0), 16);
}

/// Guards against a fleet of hundreds of nodes that exchanges findings for minutes. Half of the
/// upstreams end at once, and each node loses a few requests, different from those of other nodes.
/// If all are sent, there are more than a node keeps: each evicted one is new again when the next
/// peer sends it, and is forwarded again. Upstreams that end by themselves need no findings.
#[test]
fn the_end_of_many_upstreams_causes_little_control_traffic() {
    let mut network = Network::in_zones(312, 5, 11);
    network.run(Duration::from_secs(40));
    let idle_bytes = {
        network.bytes = 0;
        network.run(Duration::from_secs(10));
        network.bytes
    };
    network.bytes = 0;
    for node in 0..312 {
        let unix_ms = (network.now - network.start).as_millis() as u64;
        for request_index in 0..4 {
            let (request, start) =
                (1_000 + 4 * node + request_index, (7 * node + request_index) % 160);
            let quarantine = &mut network.nodes[node as usize].quarantine;
            let version = quarantine.version(content(request));
            quarantine.record_crash(content(request), version, Start::of("u", start), unix_ms);
        }
    }
    network.run(Duration::from_secs(10));
    let extra_per_node_s = (network.bytes - idle_bytes) / 312 / 10;
    assert!(
        extra_per_node_s < MAX_FINDING_BYTES_PER_S,
        "{extra_per_node_s} B/s per node more than idle"
    );
    network.bytes = 0;
    network.run(Duration::from_secs(10));
    assert!(
        network.bytes < 2 * idle_bytes,
        "{} B in ten seconds, {idle_bytes} while idle",
        network.bytes
    );
}
