//! Membership updates and health reports, with hand-written serde implementations.
//!
//! These types are on the hot path: nearly every packet carries them, often dozens. On the wire
//! each is a tuple, with its enum as a single byte.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;

use crate::Incarnation;

/// State of a member as seen by its peers.
///
/// Within one incarnation a greater standing overrides a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Standing {
    /// Responds to pings.
    Alive = 0,
    /// Did not respond; declared dead unless it refutes this in time.
    Suspect = 1,
    /// Declared dead.
    Dead = 2,
    /// Announced its own planned stop.
    Left = 3,
}

/// Health of an upstream as seen by the node that probes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Verdict {
    /// Responds to probes successfully.
    Healthy = 0,
    /// Does not respond to probes, or responds with errors.
    Failing = 1,
    /// States that it is leaving.
    Draining = 2,
}

/// Membership update about one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// Address of the member.
    pub addr: SocketAddr,
    /// Incarnation of the member that the update is about.
    pub incarnation: Incarnation,
    /// Standing of the member.
    pub standing: Standing,
    /// Availability zone of the member; empty when the sender does not know it.
    pub zone: SmolStr,
}

/// Health of one upstream, reported by one node that probes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Address of the entry node that probes it.
    pub watcher: SocketAddr,
    /// Sequence number: of two reports by one watcher on one upstream, the higher one is newer.
    pub seq: u64,
    /// Health of the upstream.
    pub verdict: Verdict,
}

impl Standing {
    fn from_byte(byte: u8) -> Option<Standing> {
        [Standing::Alive, Standing::Suspect, Standing::Dead, Standing::Left]
            .get(usize::from(byte))
            .copied()
    }
}

impl Verdict {
    fn from_byte(byte: u8) -> Option<Verdict> {
        [Verdict::Healthy, Verdict::Failing, Verdict::Draining].get(usize::from(byte)).copied()
    }
}

impl Serialize for MemberUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.addr)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&(self.standing as u8))?;
        tuple.serialize_element(self.zone.as_str())?;
        tuple.end()
    }
}

impl Serialize for HealthReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.upstream)?;
        tuple.serialize_element(&self.watcher)?;
        tuple.serialize_element(&self.seq)?;
        tuple.serialize_element(&(self.verdict as u8))?;
        tuple.end()
    }
}

/// Reads the next element of a tuple, at position `index`; its absence is an error.
fn read_element<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    index: usize,
    expected: &dyn de::Expected,
) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| de::Error::invalid_length(index, expected))
}

struct MemberUpdateVisitor;

impl<'de> Visitor<'de> for MemberUpdateVisitor {
    type Value = MemberUpdate;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a member update: address, incarnation, standing, zone")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<MemberUpdate, A::Error> {
        let addr = read_element(&mut seq, 0, &self)?;
        let incarnation = read_element(&mut seq, 1, &self)?;
        let byte: u8 = read_element(&mut seq, 2, &self)?;
        let standing = Standing::from_byte(byte)
            .ok_or_else(|| de::Error::custom(format_args!("unknown standing {byte}")))?;
        let zone = read_element(&mut seq, 3, &self)?;
        Ok(MemberUpdate { addr, incarnation, standing, zone })
    }
}

impl<'de> Deserialize<'de> for MemberUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberUpdate, D::Error> {
        deserializer.deserialize_tuple(4, MemberUpdateVisitor)
    }
}

struct HealthReportVisitor;

impl<'de> Visitor<'de> for HealthReportVisitor {
    type Value = HealthReport;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a watch note: upstream, watcher, number, verdict")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<HealthReport, A::Error> {
        let upstream = read_element(&mut seq, 0, &self)?;
        let watcher = read_element(&mut seq, 1, &self)?;
        let report_seq = read_element(&mut seq, 2, &self)?;
        let byte: u8 = read_element(&mut seq, 3, &self)?;
        let verdict = Verdict::from_byte(byte)
            .ok_or_else(|| de::Error::custom(format_args!("unknown verdict {byte}")))?;
        Ok(HealthReport { upstream, watcher, seq: report_seq, verdict })
    }
}

impl<'de> Deserialize<'de> for HealthReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<HealthReport, D::Error> {
        deserializer.deserialize_tuple(4, HealthReportVisitor)
    }
}
