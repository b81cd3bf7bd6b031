//! What an entry node takes on for one service.
//!
//! [`Limiter`] bounds the calls in flight by what the upstreams have shown
//! they can take, and shares that bound fairly between teams. [`RetryBudget`]
//! bounds how many calls are sent a second time. Both are pure: no clock of
//! their own, the time is passed in.

mod limiter;
mod retry;

pub use limiter::{Ended, Limiter};
pub use retry::RetryBudget;
