//! Detects requests that crash the upstreams that run them and keeps them from the other upstreams.
//!
//! A request that crashes the process of any upstream that runs it is resent by its entry node, by
//! its caller and by the next client that makes it. It crashes one upstream after the other, and
//! the unrelated requests that run there are lost with each of them.
//!
//! Attempts carry distinct ids; [`ContentKey`] identifies those that are the same request.
//! [`CrashDetector`] finds out which requests were in flight at an upstream when it crashed.
//! [`Quarantine`] knows which of them crashed upstreams before, on any node, and decides which
//! requests are sent isolated from others or not at all. Nodes exchange [`Finding`]s. A response
//! clears a request.
//!
//! The crate does no I/O and reads no clock: the time is an argument.

mod content;
mod crash_detector;
mod finding;
mod quarantine;
mod reservations;

pub use content::ContentKey;
pub use crash_detector::{CrashDetector, LostRequest, Start};
pub use finding::Finding;
pub use quarantine::{Decision, FindingVersion, NewFinding, Quarantine, SUSPICION_TTL};
pub use reservations::Reservations;

/// Unix time in milliseconds. The clocks of nodes may differ by seconds, so it is used only for
/// durations of minutes.
pub type UnixMs = u64;
