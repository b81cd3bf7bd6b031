//! Backpressure that upstreams signal in their responses.
//!
//! An overloaded or leaving upstream runs few requests, so by its load report alone it looks better
//! than all others, and every node would send it the requests that it asked not to get.
//!
//! [`Signals`] is what one response states. [`Backpressure`] holds the signals in force for each
//! incarnation of an upstream and decides whether a request may be sent to it now. Nodes send each
//! other limits and leaving states as [`Notice`]s; a backoff applies to one node only. [`Fleet`]
//! divides a limit among the nodes.
//!
//! The crate does no I/O and reads no clock: callers pass the time in.

mod backpressure;
mod limit;
mod retry_after;
mod share;
mod signals;

pub use backpressure::{
    Backpressure, BackpressureStatus, Change, Moment, NewNotice, Notice, Statement, MAX_RETRY_AFTER,
};
pub use share::Fleet;
pub use signals::{Field, HeaderNames, Signals};

/// Requests per 1,000 seconds.
pub type PerKs = u64;
