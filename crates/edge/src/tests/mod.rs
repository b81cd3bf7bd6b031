//! Tests of the whole request path over loopback, with scripted upstreams.

mod beliefs;
mod budgets;
mod callers;
mod crashes;
mod crashing;
mod evacuation;
pub mod fake;
pub mod fleet;
mod homes;
mod idle;
mod in_force;
mod large;
mod leaving;
mod limits;
mod long;
mod pipelining;
mod relay;
mod requests;
mod restarts;
mod rests;
mod starts;
