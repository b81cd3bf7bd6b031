//! Tests of the whole request path over loopback, with scripted upstreams.

mod allowed_regions;
mod backoffs;
mod budgets;
mod callers;
mod crash_cluster;
mod crashes;
mod evacuation;
pub mod fake;
pub mod fleet;
mod idle;
mod in_force;
mod large_fleets;
mod leaving;
mod limits;
mod long_bodies;
mod node_state;
mod partitioned;
mod pipelining;
mod quotas;
mod relay;
mod requests;
mod restarts;
mod silent;
mod slow_bodies;
mod stalls;
mod starts;
mod teams;
