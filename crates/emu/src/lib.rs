//! Stand-ins for the systems oatcove serves, for tests and the demo.
//!
//! [`table`] stands in for the platform's transactional table service and VM
//! list, with the brief's faults on command; [`upstream`] stands in for one
//! upstream VM with slots, shedding, drain, stragglers and a lagging load
//! report, counting executions per idempotency key.

pub mod table;
pub mod upstream;
