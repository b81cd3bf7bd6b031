//! The oatcove entry node.
//!
//! One process runs on each entry VM. It
//!
//! - tells callers which entry addresses to use ([`discovery`]),
//! - forwards their HTTP calls to upstreams ([`proxy`]),
//! - polls the platform for the config and the VM list ([`follow`]), or reads
//!   them from a peer while the platform is unreachable ([`relay`]),
//! - maintains the membership of entry nodes ([`gossip`]),
//! - applies the backpressure that upstreams signal ([`notices`]),
//! - probes upstreams within the probe budget of the fleet ([`probe`]), and
//! - stops without interrupting calls ([`stop`]).
//!
//! All tasks run on one monoio thread. Each task owns its sockets, tasks
//! communicate by messages, and the request path reads one shared
//! [`view::View`].

pub mod discovery;
pub mod follow;
pub mod gossip;
pub mod metrics;
pub mod notices;
pub mod paths;
pub mod probe;
pub mod proxy;
pub mod relay;
mod run_delay;
pub mod stop;
pub mod view;

#[cfg(test)]
mod test_support;

/// Response header with the outcome of the call.
///
/// - `done`: an upstream responded.
/// - `not-run`: no upstream ran the call, so it is safe to retry.
/// - `unknown`: the call may have run, so a retry may run it twice.
pub const OUTCOME: &str = "x-oatcove-outcome";

/// Request header with the caller's team, which selects template parameters.
pub const TEAM: &str = "x-oatcove-team";

/// Request header with the time left until the caller's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "x-oatcove-timeout-ms";

/// Response header of a refused call: time after which to retry, in milliseconds. `Retry-After` has
/// whole seconds only.
pub const RETRY_AFTER_MS: &str = "x-oatcove-retry-after-ms";

/// Response header of an upstream: requests per second that it accepts from all entry nodes
/// together.
pub const LIMIT: &str = "x-oatcove-limit";

/// Response header of an upstream, with value 1 in each response once the upstream is about to
/// stop.
pub const LEAVING: &str = "x-oatcove-leaving";

/// Request header of a call that an entry node offers to another one, as it reaches no upstream: the
/// number of upstreams that the call may reach, the version of the service's template, the commit up
/// to which the node has read drains and evacuations, and the newest of these. Response header of a node that
/// does not take the call, with value `declined`, or `newer` if its config is.
pub const OFFER: &str = "x-oatcove-offer";

/// Request and response header with the request id, passed on end to end.
pub const REQUEST_ID: &str = "x-request-id";
