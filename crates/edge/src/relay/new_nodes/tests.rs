use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::{NewNodes, FAN_OUT, MAX_SERVED_PER_ZONE};

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_300))
}

#[test]
fn a_lone_new_node_is_served() {
    let mut new_nodes = NewNodes::default();
    let now = Instant::now();
    for n in 0..20 {
        let at = now + Duration::from_secs(2) * n;
        assert_eq!(new_nodes.refer(addr(n as u16), &"a".into(), at), None);
    }
}

/// Guards against a node that gets no list until it reads the platform itself: the node that it
/// was referred to has died, and a second request must not be answered with the same referral.
#[test]
fn a_new_node_that_connects_again_is_served() {
    let mut new_nodes = NewNodes::default();
    let now = Instant::now();
    let referrals: Vec<_> = (0..10).map(|n| new_nodes.refer(addr(n), &"a".into(), now)).collect();
    assert!(referrals[9].is_some());
    assert_eq!(new_nodes.refer(addr(9), &"a".into(), now), None);
}

proptest! {
    /// For any sequence of nodes and zones: no node serves more than a few others, nobody is
    /// referred to a node of another zone or to one that connected later, and each node is a few
    /// steps from the root.
    #[test]
    fn new_nodes_form_a_tree_of_small_fan_out(zones in prop::collection::vec(0u8..5, 1..320)) {
        let mut new_nodes = NewNodes::default();
        let now = Instant::now();
        let mut steps: HashMap<SocketAddr, (u8, usize)> = HashMap::new();
        let mut children: HashMap<SocketAddr, usize> = HashMap::new();
        let mut served_here = HashMap::<u8, usize>::new();
        for (n, zone) in zones.iter().enumerate() {
            let at = now + Duration::from_millis(n as u64);
            let node = addr(n as u16);
            let own_steps = match new_nodes.refer(node, &zone.to_string().into(), at) {
                None => {
                    *served_here.entry(*zone).or_default() += 1;
                    1
                }
                Some(other) => {
                    *children.entry(other).or_default() += 1;
                    let (its_zone, its_steps) = steps[&other];
                    prop_assert_eq!(its_zone, *zone);
                    its_steps + 1
                }
            };
            prop_assert!(own_steps <= 5);
            steps.insert(node, (*zone, own_steps));
        }
        prop_assert!(children.values().all(|children| *children <= FAN_OUT));
        prop_assert!(served_here.values().all(|served| *served <= MAX_SERVED_PER_ZONE));
    }
}
