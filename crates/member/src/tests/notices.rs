//! Tests of the dissemination of notices to all nodes.

use notice::{Field, Signals};
use quarantine::Start;

use super::*;

/// Time within which a notice must reach all nodes.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Maximum control traffic of a node for notices, in bytes per second: a tenth of the 7 kB that all
/// control traffic may take.
const MAX_NOTICE_BYTES_PER_S: u64 = 700;

fn start() -> Start {
    Start::of("u", 1)
}

fn leaving_signals() -> Signals {
    Signals { leaving: Field::Value(true), ..Signals::default() }
}

fn limit_signals() -> Signals {
    Signals { limit: Field::Value(1_000), ..Signals::default() }
}

impl Network {
    /// Makes a node receive a response; `requested` tells whether it had just sent the request.
    fn receive_response(&mut self, node: usize, signals: &Signals, requested: bool) {
        let (moment, requested_at) = (self.moment(), requested.then_some(self.now));
        self.nodes[node].backpressure.apply_signals(start(), signals, requested_at, moment);
    }

    fn count(&self, is_match: impl Fn(&notice::Backpressure) -> bool) -> usize {
        self.nodes.iter().filter(|node| is_match(&node.backpressure)).count()
    }
}

/// Guards against notices that each node only receives from the upstream itself.
#[yare::parameterized(
    four = { 4, 1 },
    sixteen = { 16, 4 },
    three_hundred = { 312, 5 },
)]
fn a_notice_received_by_one_node_reaches_all(nodes: usize, zones: usize) {
    let mut network = Network::in_zones(nodes, zones, 7);
    network.run(Duration::from_secs(20));
    network.loss_rate = 0.1;
    network.receive_response(0, &leaving_signals(), false);
    network.receive_response(nodes - 1, &limit_signals(), false);
    network.run(MAX_PROPAGATION_TIME);
    let now = network.now;
    assert_eq!(network.count(|backpressure| backpressure.is_leaving(start(), now)), nodes);
    assert_eq!(network.count(|backpressure| backpressure.limited_count(now) == 1), nodes);
    network.receive_response(1, &Signals::default(), true);
    network.run(MAX_PROPAGATION_TIME);
    let now = network.now;
    assert_eq!(network.count(|backpressure| backpressure.limited_count(now) == 0), nodes);
    assert_eq!(
        network.count(|backpressure| backpressure.is_leaving(start(), now)),
        nodes,
        "leaving does not end"
    );
}

/// Guards against limits whose dissemination costs more than they save: every owner (a node that
/// sends to the limited upstream) receives the limit again with each response.
#[test]
fn a_limit_in_force_costs_little_traffic_and_does_not_expire() {
    const NODES: usize = 105;
    let mut network = Network::in_zones(NODES, 5, 7);
    network.run(Duration::from_secs(30));
    let idle_bytes = {
        network.bytes = 0;
        network.run(Duration::from_secs(40));
        network.bytes
    };
    network.bytes = 0;
    for _ in 0..40 {
        [3, 8]
            .into_iter()
            .for_each(|owner| network.receive_response(owner, &limit_signals(), false));
        network.run(Duration::from_secs(1));
    }
    let now = network.now;
    assert_eq!(network.count(|backpressure| backpressure.limited_count(now) == 1), NODES);
    let extra_per_node_s = network.bytes.saturating_sub(idle_bytes) / (40 * NODES as u64);
    assert!(
        extra_per_node_s <= MAX_NOTICE_BYTES_PER_S,
        "{extra_per_node_s} bytes per second and node"
    );
}

/// Guards against a flood of packets when hundreds of upstreams leave at once and every node sends
/// each notice to four peers.
#[test]
fn a_zone_that_leaves_at_once_stays_within_the_control_traffic_limit() {
    const NODES: usize = 105;
    const UPSTREAMS: u64 = 400;
    /// Maximum control traffic of a node, in bytes per second.
    const MAX_CONTROL_BYTES_PER_S: u64 = 7_000;
    let mut network = Network::in_zones(NODES, 5, 7);
    network.run(Duration::from_secs(30));
    network.bytes = 0;
    let moment = network.moment();
    for n in 0..UPSTREAMS {
        let node = &mut network.nodes[(n % 5) as usize];
        node.backpressure.apply_signals(Start::of("u", n), &leaving_signals(), None, moment);
    }
    network.run(Duration::from_secs(1));
    let bytes = network.bytes / NODES as u64;
    assert!(bytes <= MAX_CONTROL_BYTES_PER_S, "{bytes} bytes per node in the first second");
    network.run(Duration::from_secs(29));
    let now = network.now;
    let knows_all =
        |backpressure: &notice::Backpressure| backpressure.leaving_count(now) == UPSTREAMS as usize;
    assert_eq!(network.count(knows_all), NODES);
}
