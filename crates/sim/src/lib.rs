//! Simulation of load patterns in virtual time, to measure the decisions of `place`.
//!
//! Callers, entry nodes and upstreams are simulated. The nodes decide with the product's own code:
//! [`place::Pool`] ranks upstreams, [`place::admit`] sends, delays or refuses requests, and
//! [`place::RetryDetector`] and [`place::WorkEstimates`] learn from them. A run is determined by
//! its [`Scenario`], its [`Rules`] and a seed, and takes some tens of milliseconds. A decision can
//! thus be compared with its absence on many seeds before it is tried in any other environment.
//!
//! Not simulated in these runs: connections, failures, lost messages and CPU time. Upstreams that
//! crash have scenarios of their own, [`CrashScenario`], which run against
//! [`quarantine::Quarantine`].

mod crashes;
mod node;
mod report;
mod run;
mod scenario;
mod upstream;

pub use crashes::{run_crashes, CrashReport, CrashScenario};
pub use report::Report;
pub use run::run;
pub use scenario::{Burst, CallKind, Noise, Rules, Scenario};
