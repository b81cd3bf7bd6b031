//! The load and experiment tool.
//!
//! It acts as callers do: asks an entry node which entries to use, keeps the
//! answer for its TTL, connects to an entry of its own zone and sends calls.
//! Arrivals are open-loop at a fixed rate, and each call's latency is counted
//! from when it was due, not when it was sent, so a stalled system cannot
//! hide its stall by slowing the load down.

mod claims;
mod report;
mod run;

pub use claims::{check_claims, ClaimsReport, Told};
pub use report::{ClassReport, Report};
pub use run::{run, Plan};
