//! One start of an upstream, told apart from its earlier and later ones.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Id of an upstream. It may keep its id when it starts again.
pub type UpstreamId = SmolStr;

/// One start of an upstream.
///
/// What was learned of an upstream before it started again (its load, its failures, the requests
/// under way there, its connections) says nothing of it afterwards. Kept by id alone it would
/// keep requests from an upstream that is well, or count answers of the earlier start for the
/// later one. All such knowledge is therefore kept by incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id.
    pub id: UpstreamId,
    /// Unix time of the start in milliseconds, by the upstream's own clock; 0 when it does not say.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns the id alone, which upstreams and logs know.
    pub fn id(&self) -> &str {
        &self.id
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born_ms)
    }
}
