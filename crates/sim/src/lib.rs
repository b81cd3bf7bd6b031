//! Load patterns replayed in virtual time against the decisions of `place`.
//!
//! Callers, entry nodes and upstreams are simulated; what the nodes decide is the product's own
//! code: [`place::Pool`] ranks, [`place::admit`] sends, holds or refuses, [`place::RetryDetector`] and
//! [`place::WorkEstimates`] learn. A run is determined by its [`Scenario`], its [`Rules`] and a seed, and
//! takes some tens of milliseconds, so that a decision can be tried against its absence on many
//! seeds before it is tried anywhere else.
//!
//! What is left out of these: connections, failures, lost messages, processor time. Upstreams that
//! crash have patterns of their own, [`Crashes`], against [`quarantine::Quarantine`].

mod crashes;
mod node;
mod report;
mod run;
mod scenario;
mod upstream;

pub use crashes::{run_crashes, CrashReport, Crashes};
pub use report::Report;
pub use run::run;
pub use scenario::{Burst, Kind, Noise, Rules, Scenario};
