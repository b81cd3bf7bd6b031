//! What upstreams state about themselves in their answers.
//!
//! The load pattern: an upstream in need runs little, so its load report makes it look better than all
//! others, and every node sends it what it has asked not to get.
//!
//! [`Stated`] is what one answer states; [`Board`] holds what stands of it, by start of an upstream.
//!
//! Everything here is pure: time is passed in.

mod board;
mod stated;

pub use board::{Board, Change, Noted};
pub use stated::{Field, Stated};

/// Requests in a thousand seconds.
pub type PerKs = u64;
