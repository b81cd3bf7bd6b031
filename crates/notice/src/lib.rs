//! What upstreams state about themselves in their answers.
//!
//! The load pattern: an upstream in need runs little, so its load report makes it look better than all
//! others, and every node sends it what it has asked not to get.
//!
//! [`Stated`] is what one answer states; [`Board`] holds what stands of it, by start of an upstream, and
//! says whether a request may be sent there now; nodes tell each other by [`Notice`]s. [`Fleet`] deals
//! a limit out to nodes.
//!
//! Everything here is pure: time is passed in.

mod board;
mod limit;
mod rest;
mod share;
mod stated;

pub use board::{Board, Change, Moment, News, Noted, Notice, Word, OPENS_IN_MOST};
pub use share::Fleet;
pub use stated::{Field, Names, Stated};

/// Requests in a thousand seconds.
pub type PerKs = u64;
