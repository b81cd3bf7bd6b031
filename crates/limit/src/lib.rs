//! Admission control of an entry node for one service.
//!
//! [`Limiter`] limits the calls in flight to what the upstreams have shown
//! that they can take, and shares that limit fairly between teams. [`RetryBudget`]
//! limits how many calls are sent a second time. Neither reads a clock: the
//! caller passes the time in.

mod limiter;
mod retry;

pub use limiter::{Limiter, Outcome};
pub use retry::RetryBudget;
