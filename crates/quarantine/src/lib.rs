//! Which requests end the upstreams that run them.
//!
//! The load pattern: one request makes the process of an upstream end, whichever runs it. Sent again
//! by its entry node, by its caller and by whoever makes it next, it takes one upstream after the
//! other with it, and with each the requests of others that ran there.
//!
//! Each attempt comes under an id of its own; [`Content`] tells that it is the same request again.
//! [`Ends`] tells which requests were under way at an upstream when it ended.
//!
//! Everything here is pure: time is passed in.

mod content;
mod ends;

pub use content::Content;
pub use ends::{Ends, Lost, Start};
