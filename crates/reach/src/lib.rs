//! Whether an entry node reaches upstreams, and which peers take its requests while it does not.
//!
//! Load pattern: some nodes lose every path to the upstreams for seconds, while their callers, the
//! platform and the other nodes still reach them. Connections to upstreams hang, are reset, or stay
//! usable while new ones are refused. Callers keep coming for as long as they cache an answer of the
//! directory, so such a node needs another way to an upstream.
//!
//! [`Paths`] decides from the outcomes of sends and probes what the node still reaches. [`Peers`]
//! decides which other node takes a request. Neither reads a clock: the caller passes the time in.

mod paths;
mod peers;

pub use paths::{Change, Paths, MIN_FAILED_UPSTREAMS};
pub use peers::{Candidate, Peers};
