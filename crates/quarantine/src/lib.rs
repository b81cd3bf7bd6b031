//! Which requests crash the upstreams that run them, and what is done with them.
//!
//! The load pattern: one request crashes the process of whichever upstream runs it. Sent again by its
//! entry node, by its caller and by whoever makes it next, it takes one upstream after the other with
//! it, and with each the requests of others that ran there.
//!
//! Each attempt comes under an id of its own; [`Content`] tells that it is the same request again.
//! [`Ends`] tells which requests were under way at an upstream when it crashed. [`Ledger`] knows
//! which of them did so before, on any node, and says which are to be sent apart from others, or not
//! at all; nodes tell each other by [`Finding`]s. An answer clears a request.
//!
//! Everything here is pure: time is passed in.

mod content;
mod ends;
mod finding;
mod ledger;
mod places;

pub use content::Content;
pub use ends::{Ends, Lost, Start};
pub use finding::Finding;
pub use ledger::{Known, Ledger, News, Verdict, SUSPECT_FOR};
pub use places::Places;

/// Time of day, in milliseconds since 1970. Nodes' clocks may differ by seconds: what is measured by
/// it lasts minutes.
pub type UnixMs = u64;
