//! Admission control of an entry node for one service.
//!
//! [`Limiter`] limits the calls in flight to what the upstreams have shown
//! that they can take, and shares that limit fairly between teams.
//! [`SlowCallDetector`] decides which calls show that upstreams are full.
//! [`RetryBudget`] limits how many calls are sent a second time. [`Stopping`]
//! rejects what a stopping node could not finish. None of them reads a clock:
//! the caller passes the time in.

mod limiter;
mod retry;
mod slow_call;
mod stop;

pub use limiter::{Limiter, Outcome};
pub use retry::RetryBudget;
pub use slow_call::{CallLatency, SlowCallDetector};
pub use stop::Stopping;
