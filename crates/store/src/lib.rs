//! Client of the platform's table service and VM list.
//!
//! [`proto`] defines the JSON messages of the HTTP protocol that the platform stand-in serves;
//! [`Store`] is the client that all oatcove programs use. Everything persistent (templates, the
//! audit trail) is stored through it: oatcove keeps no replicated state of its own.

mod lists;
pub mod proto;
mod store;

pub use store::{Store, StoreError};

/// Table with one row per service template, keyed by service name.
pub const TEMPLATES: &str = "templates";

/// Table with one audit record per accepted change, keyed by `service/change_id`.
pub const AUDIT: &str = "audit";

/// Table with one row per drained upstream, keyed by its address, and one per evacuated
/// availability zone, keyed by [`EVACUATED_PREFIX`] and the zone name.
pub const DRAINS: &str = "drains";

/// Prefix of keys in [`DRAINS`] that name an evacuated availability zone; the row's value is a
/// [`proto::Evacuation`]. They are in that table so that entry nodes read drains and evacuations
/// together.
pub const EVACUATED_PREFIX: &str = "zone/";
