//! Where a request goes, and whether it is taken on at all, by fresh load reports.
//!
//! The load pattern: upstreams share their machines with others, so the time
//! that the same work takes there changes fourfold within a few hundred
//! milliseconds. What an upstream said a second ago says nothing; what it
//! said 20 ms ago is worth more than any average. [`Pool`] therefore ranks
//! upstreams by a prediction that trusts a report less the older it is, and
//! names those worth asking first ([`Pool::to_ask`]). [`admit`] decides what
//! waits and what is refused when every prediction is bad; [`Attempts`] tells for how long a caller
//! has been trying by then. [`Roster`] follows which upstreams
//! there are through outages of the store that lists them.
//!
//! Everything here is pure: time and randomness are passed in.

mod admit;
mod attempts;
mod evacuations;
mod health;
mod incarnation;
mod pool;
mod rate;
mod roster;
mod upstream;
mod warm_up;
mod work;

pub use admit::{admit, Room, Verdict};
pub use attempts::Attempts;
pub use evacuations::{Evacuations, Zone};
pub use incarnation::{Incarnation, UpstreamId};
pub use pool::{Ask, Candidate, Policy, Pool, Reach};
pub use rate::Rate;
pub use roster::{Change, Entry, Event, Roster, RESTARTED};
pub use upstream::{Load, Upstream};
pub use warm_up::WarmUp;
pub use work::Works;

/// How a request to an upstream ended, as far as it speaks for the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer came.
    Answered,
    /// It refused the request for want of room, or said that it is leaving.
    Refused,
    /// No answer, a broken one, or one that says the upstream is broken.
    Failed,
    /// The request was given up for reasons of its own, such as a caller that left.
    GivenUp,
}

#[cfg(test)]
mod tests;
