//! Identity of one start of an upstream.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Id of an upstream, which may stay the same across restarts.
pub type UpstreamId = SmolStr;

/// One start of an upstream.
///
/// What was learned about an upstream before a restart (its load, its failures, the requests in
/// flight, its connections) says nothing about it afterwards. If it were kept by id alone, it would
/// keep requests from a healthy upstream, or attribute responses of the earlier start to the later
/// one. All such state is therefore kept by incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Unix time of the start in milliseconds, by the upstream's own clock; 0 if it does not report
    /// it.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns the id without the start time, as upstreams and logs use it.
    pub fn id(&self) -> &str {
        &self.id
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born_ms)
    }
}
