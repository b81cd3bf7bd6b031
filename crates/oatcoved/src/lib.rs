//! The oatcove entry node.
//!
//! One process per entry VM. It answers callers which entry addresses to use
//! ([`discovery`]), forwards their HTTP calls to upstreams ([`proxy`]), and
//! follows the config and the VM list kept by the platform ([`follow`], with
//! [`relay`] from peers while it does not answer), knows its peers
//! ([`gossip`]), takes what upstreams state about themselves ([`notices`]), watches upstreams within the fleet's budget ([`probe`]) and
//! stops without cutting calls ([`stop`]). All of its tasks run on one monoio
//! thread; each owns its sockets, they talk by messages, and what the request
//! path reads is one [`view::View`].

pub mod discovery;
pub mod follow;
pub mod gossip;
pub mod metrics;
pub mod notices;
pub mod probe;
pub mod proxy;
pub mod relay;
pub mod stop;
pub mod view;

#[cfg(test)]
mod test_support;

/// Response header telling the caller what became of its call.
///
/// `done`: an upstream answered. `not-run`: no upstream ran the call, so it
/// is safe to send again. `unknown`: the call may have run; sending it again
/// may run it twice.
pub const OUTCOME: &str = "x-oatcove-outcome";

/// Request header naming the caller's team, which selects template parameters.
pub const TEAM: &str = "x-oatcove-team";

/// Request header with the caller's remaining time budget, in milliseconds.
pub const TIMEOUT_MS: &str = "x-oatcove-timeout-ms";

/// Response header of a refused call: when to come back, in milliseconds; more exact than
/// `Retry-After`, which is in whole seconds.
pub const RETRY_AFTER_MS: &str = "x-oatcove-retry-after-ms";

/// Response header of an upstream: requests a second that it takes from all entry nodes together.
pub const LIMIT: &str = "x-oatcove-limit";

/// Response header of an upstream, with 1: it is about to leave, as in each of its answers.
pub const LEAVING: &str = "x-oatcove-leaving";

/// Header carrying the request id end to end.
pub const REQUEST_ID: &str = "x-request-id";
