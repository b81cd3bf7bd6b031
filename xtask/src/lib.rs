//! Development tasks and the launcher they share with the end-to-end tests.
//!
//! [`cluster::Cluster`] starts the platform stand-in, upstream stand-ins and
//! entry nodes as separate processes on loopback, each on a port it picked
//! itself, and kills them all when dropped. Only dev tools start processes;
//! the daemon never does (the brief).

pub mod cluster;
