//! Quotas of teams over all entry nodes.
//!
//! A team's rate is divided into shards. Rendezvous hashing over the nodes that are alive names the
//! owner of each ([`View`]); it grants tokens from a bucket ([`Ledger`]). A node that receives a
//! request takes a token that it holds, asks owners for one, or refuses ([`Node`], [`Allowance`]).
//! [`Message`] is what passes between them.
//!
//! The crate does no I/O and has no clock: the calling task sends the messages and passes the time.

mod allowance;
mod ledger;
mod message;
mod node;
mod returning;
mod shard;

use std::time::Duration;

pub use allowance::{Allowance, Held, Timeliness, TOKEN_LIFETIME};
pub use ledger::{Answer, Ledger};
pub use message::{DecodeError, Message, Seq, MAX_MESSAGE_BYTES};
pub use node::{Attempt, Counts, Issue, Node, Refusal, Step, ASK_TIMEOUT};
pub use shard::{shard_count, Member, Phase, Shard, View};

/// How far the requests of a team may exceed its quota, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Ratio of the allowance by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

impl Bounds {
    /// Returns the number of requests by which a quota may be exceeded in a window.
    fn tolerance(&self, quota: &team::Quota) -> f64 {
        let allowance = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        allowance * self.overshoot + self.slack
    }
}

#[cfg(test)]
mod tests;
