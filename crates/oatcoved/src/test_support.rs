//! Fixtures shared by the unit tests of this crate.

use std::time::Duration;

use crate::view::View;

/// Returns an empty view of node `entry-0` in zone `z-0`, with 100 ms polling.
pub(crate) fn view() -> View {
    let settings = config::NodeSettings {
        node_id: "entry-0".into(),
        zone: "z-0".into(),
        listen_addr: "127.0.0.1:7100".parse().expect("valid address"),
        platform_addr: "127.0.0.1:7000".parse().expect("valid address"),
        config_poll_interval: Duration::from_millis(100),
        vm_poll_interval: Duration::from_millis(100),
        entries_ttl: Duration::from_secs(30),
        max_probes_per_s: 20,
        stop_grace: Duration::from_secs(10),
        seed_addrs: Vec::new(),
    };
    View::new(settings)
}
