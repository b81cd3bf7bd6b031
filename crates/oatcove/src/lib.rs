//! Library of the operator command line: applies templates through the platform, drains upstreams,
//! evacuates availability zones, and evaluates the logs of entry nodes.
//!
//! [`apply::apply`] is the only way to change a template: a compare-and-swap on the version that
//! was read, with the audit record in the same transaction.

pub mod apply;
pub mod drain;
pub mod explain;
mod log_line;
pub mod summary;
