//! Finds other entry nodes at the platform, for a node that reaches none of its seeds.
//!
//! Such a node registers itself and contacts all that have. Others neither register nor read, so a
//! fleet whose seeds respond makes no calls for this.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use wire::Standing;

use crate::follow::SourceError;
use crate::forward::Node;
use crate::gossip;
use crate::state::State;

/// Interval at which a node checks whether it is isolated.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The platform's table of entry nodes that were isolated.
pub trait Registry: 'static {
    /// Registers the node with this peer address; has no effect if it is registered.
    fn register(&self, addr: SocketAddr) -> impl Future<Output = Result<(), SourceError>>;

    /// Returns the peer addresses of all registered nodes.
    fn registered(&self) -> impl Future<Output = Result<Vec<SocketAddr>, SourceError>>;
}

/// Looks for other nodes whenever this node reaches none, forever.
pub async fn run<R: Registry>(registry: R, node: Rc<Node>) {
    let mut isolation = member::Isolation::default();
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let is_isolated = reaches_no_node(&node.state.borrow());
        if !isolation.take_due_lookup(is_isolated, Instant::now()) {
            continue;
        }
        let own_addr = node.state.borrow().settings.peer_addr;
        let line = trace::Line::new("nodes_looked_up");
        match look_up(&registry, own_addr).await {
            Ok(registered) => {
                line.field("count", registered.len()).log();
                node.send_to_gossip(gossip::Input::Contacts(registered));
            }
            Err(err) => line.field("error", err.to_string()).log(),
        }
    }
}

/// Registers this node, and returns all that are registered. Of two nodes that do this, one at least
/// finds the other.
async fn look_up<R: Registry>(
    registry: &R,
    own_addr: SocketAddr,
) -> Result<Vec<SocketAddr>, SourceError> {
    registry.register(own_addr).await?;
    registry.registered().await
}

/// Returns true if the settings name other nodes and this node reaches none.
fn reaches_no_node(state: &State) -> bool {
    state.has_other_seeds() && state.peers.values().all(|peer| peer.standing >= Standing::Dead)
}
