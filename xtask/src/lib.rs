//! Development tasks, and the launcher that they share with the end-to-end tests.
//!
//! [`cluster::Cluster`] starts the platform stand-in, upstream stand-ins and entry nodes as
//! separate processes on loopback. Each process picks its own port; all are killed when the cluster
//! is dropped. Only development tools start processes: the requirements forbid it to the daemon.

pub mod cluster;
