//! The platform's table service and VM list, as seen by oatcove.
//!
//! [`proto`] holds the JSON shapes of the stand-in's HTTP protocol; [`Store`]
//! is the client every role uses. What must last (templates, the audit trail)
//! goes only through here: oatcove keeps no replicated state of its own.

pub mod proto;
mod store;

pub use store::{Store, StoreError};

/// Table holding one row per service template, keyed by service name.
pub const TEMPLATES: &str = "templates";

/// Table holding one audit record per accepted change, keyed `service/change_id`.
pub const AUDIT: &str = "audit";

/// Table holding one row per upstream an operator drained, keyed by its address, and per zone.
pub const DRAINS: &str = "drains";

/// How keys in [`DRAINS`] begin that name an evacuated availability zone, [`proto::Evacuation`]: entry
/// nodes read them with the drains.
pub const EVACUATED: &str = "zone/";
