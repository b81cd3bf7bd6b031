//! Placement of requests on upstreams, and admission control, based on fresh load reports.
//!
//! The load pattern: upstreams share their machines with others, so the time that the same work
//! takes changes up to fourfold within a few hundred milliseconds. A load report that is a second
//! old says nothing, while one that is 20 ms old is worth more than any average. [`Pool`] therefore
//! ranks upstreams by a predicted latency in which a report weighs less the older it is, and
//! selects the upstreams worth probing first ([`Pool::probe_targets`]). [`admit`] decides which
//! requests wait and which are refused when every upstream is predicted to be slow;
//! [`Crowding`] learns how many requests
//! an upstream is best given at a time; [`RetryDetector`] estimates for how long the caller of a request has been retrying. [`Roster`]
//! tracks which upstreams exist, also during outages of the store that lists them.
//!
//! [`silence`] detects upstreams that answer nothing when they are full.
//!
//! The crate does no I/O: time and randomness are passed in.

mod admit;
mod crowding;
mod evacuations;
mod health;
mod incarnation;
mod pool;
mod rate;
mod retry_detector;
mod roster;
pub mod silence;
mod upstream;
mod wait_queue;
mod warm_up;
mod work;

pub use admit::{admit, may_look, AdmissionRequest, Decision};
pub use crowding::Crowding;
pub use evacuations::{Evacuations, Zone};
pub use incarnation::{Incarnation, UpstreamId};
pub use pool::{Candidate, ConnectionPlan, Policy, Pool, SelectionCriteria};
pub use rate::Rate;
pub use retry_detector::RetryDetector;
pub use roster::{Change, Entry, Event, Roster, RESTARTED};
pub use upstream::{Load, Upstream};
pub use wait_queue::{QueuePosition, Urgency, WaitQueue};
pub use warm_up::WarmUp;
pub use work::WorkEstimates;

/// Outcome of a request to an upstream, as far as it tells about the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The upstream sent a complete response.
    Answered,
    /// The upstream refused the request for lack of capacity or because it is leaving.
    Refused,
    /// The response is missing, incomplete, or shows that the upstream is broken.
    Failed,
    /// The request was cancelled for a reason unrelated to the upstream, such as a caller that
    /// left.
    Cancelled,
}

#[cfg(test)]
mod tests;
