//! How what upstreams state about themselves comes to all nodes.

use notice::{Field, Signals};
use quarantine::Start;

use super::*;

/// Time in which all nodes must know what one was told.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// What a node may send for control, in bytes a second: a tenth of the 7 kB that all control may take.
const CONTROL_BYTES_PER_S: u64 = 700;

fn start() -> Start {
    Start::of("u", 1)
}

fn leaves() -> Signals {
    Signals { leaving: Field::Value(true), ..Signals::default() }
}

fn names_a_limit() -> Signals {
    Signals { limit: Field::Value(1_000), ..Signals::default() }
}

impl Net {
    /// Has a node hear an answer; `asked` tells whether it was asked for just before.
    fn hear(&mut self, node: usize, stated: &Signals, asked: bool) {
        let (moment, asked_at) = (self.moment(), asked.then_some(self.now));
        self.nodes[node].board.apply_signals(start(), stated, asked_at, moment);
    }

    fn count(&self, holds: impl Fn(&notice::Backpressure) -> bool) -> usize {
        self.nodes.iter().filter(|node| holds(&node.board)).count()
    }
}

/// Guards against nodes that each have to be told by the upstream itself.
#[yare::parameterized(
    four = { 4, 1 },
    sixteen = { 16, 4 },
    three_hundred = { 312, 5 },
)]
fn what_one_node_was_told_is_known_to_all(nodes: usize, zones: usize) {
    let mut net = Net::in_zones(nodes, zones, 7);
    net.run(Duration::from_secs(20));
    net.loss = 0.1;
    net.hear(0, &leaves(), false);
    net.hear(nodes - 1, &names_a_limit(), false);
    net.run(KNOWN_WITHIN);
    let now = net.now;
    assert_eq!(net.count(|board| board.is_leaving(start(), now)), nodes);
    assert_eq!(net.count(|board| board.limited_count(now) == 1), nodes);
    net.hear(1, &Signals::default(), true);
    net.run(KNOWN_WITHIN);
    let now = net.now;
    assert_eq!(net.count(|board| board.limited_count(now) == 0), nodes);
    assert_eq!(net.count(|board| board.is_leaving(start(), now)), nodes, "that does not end");
}

/// Guards against limits that cost more to tell than they save: all owners hear of them all the time.
#[test]
fn a_limit_that_stands_costs_little_and_does_not_lapse() {
    const NODES: usize = 105;
    let mut net = Net::in_zones(NODES, 5, 7);
    net.run(Duration::from_secs(30));
    let quiet_bytes = {
        net.bytes = 0;
        net.run(Duration::from_secs(40));
        net.bytes
    };
    net.bytes = 0;
    for _ in 0..40 {
        [3, 8].into_iter().for_each(|owner| net.hear(owner, &names_a_limit(), false));
        net.run(Duration::from_secs(1));
    }
    let now = net.now;
    assert_eq!(net.count(|board| board.limited_count(now) == 1), NODES);
    let more = net.bytes.saturating_sub(quiet_bytes) / (40 * NODES as u64);
    assert!(more <= CONTROL_BYTES_PER_S, "{more} bytes a second and node");
}

/// Guards against hundreds of upstreams that leave at once, each told by every node to four others.
#[test]
fn a_zone_that_leaves_at_once_is_told_of_within_the_means_of_a_node() {
    const NODES: usize = 105;
    const UPSTREAMS: u64 = 400;
    /// What all control of a node may send in a second, in bytes.
    const BYTES_MOST: u64 = 7_000;
    let mut net = Net::in_zones(NODES, 5, 7);
    net.run(Duration::from_secs(30));
    net.bytes = 0;
    let moment = net.moment();
    for n in 0..UPSTREAMS {
        let node = &mut net.nodes[(n % 5) as usize];
        node.board.apply_signals(Start::of("u", n), &leaves(), None, moment);
    }
    net.run(Duration::from_secs(1));
    let bytes = net.bytes / NODES as u64;
    assert!(bytes <= BYTES_MOST, "{bytes} bytes a node in the first second");
    net.run(Duration::from_secs(29));
    let now = net.now;
    let all_known = |board: &notice::Backpressure| board.leaving_count(now) == UPSTREAMS as usize;
    assert_eq!(net.count(all_known), NODES);
}
