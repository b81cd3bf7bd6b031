//! Stand-ins for the systems that oatcove works with, for tests and the demo.
//!
//! [`platform`] stands in for the platform's transactional table service and
//! VM list, with fault injection. [`upstream`] stands in for one upstream VM:
//! it has a limited number of slots, sheds load, drains, can be made slow, serves a
//! load report that lags, and counts executions per idempotency key. [`closed_port`] is
//! an address at which nothing listens, and [`stops`] has what tests of planned stops need.

pub mod closed_port;
pub mod platform;
pub mod stops;
pub mod upstream;
