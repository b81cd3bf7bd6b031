//! The operator's side of oatcove: applying templates through the platform, reading logs.
//!
//! [`apply::apply`] is the one way a template changes: compare-and-swap on
//! the version read, with its audit record in the same transaction.

pub mod apply;
pub mod drain;
pub mod explain;
mod log_line;
pub mod summary;
