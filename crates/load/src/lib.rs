//! Load generator for oatcove entry nodes.
//!
//! It behaves like a caller: it gets the list of entry nodes from one of them,
//! caches the list for its TTL, connects to an entry node of its own zone and
//! sends calls. Arrivals are open-loop at a fixed rate, and the latency of a call
//! is measured from when it was due, not from when it was sent. A stall of the
//! system under test therefore shows in the latencies, instead of only slowing
//! the load down.

mod claims;
mod report;
mod run;

pub use claims::{check_claims, ClaimOutcome, ClaimsReport};
pub use report::{ClassReport, Report};
pub use run::{run, Plan};
