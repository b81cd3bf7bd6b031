//! The two types that ride on nearly every packet, with visitors by hand.
//!
//! They are the hot types of the protocol: a packet carries dozens of them.
//! Each is a plain tuple on the wire, with its enum folded into one byte.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;

use crate::Incarnation;

/// What is believed of a member. Later ones override earlier ones of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Standing {
    /// Answering.
    Alive = 0,
    /// Did not answer; dead unless it refutes in time.
    Suspect = 1,
    /// Declared dead.
    Dead = 2,
    /// Left by itself: a planned stop.
    Left = 3,
}

/// What a watcher believes of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Verdict {
    /// Answers probes.
    Healthy = 0,
    /// Does not answer probes, or answers with errors.
    Failing = 1,
    /// Says it is leaving.
    Draining = 2,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// Its address.
    pub addr: SocketAddr,
    /// The incarnation this is about.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub standing: Standing,
    /// Its availability zone; empty when the teller does not know it.
    pub zone: SmolStr,
}

/// What one node learned by watching one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// The upstream watched.
    pub upstream: SocketAddr,
    /// The node that watched it.
    pub watcher: SocketAddr,
    /// Number of the note; of two notes of one watcher on one upstream the higher is newer.
    pub seq: u64,
    /// What it learned.
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

impl Serialize for Note {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.upstream)?;
        tuple.serialize_element(&self.watcher)?;
        tuple.serialize_element(&self.seq)?;
        tuple.serialize_element(&(self.verdict as u8))?;
        tuple.end()
    }
}

/// Reads element `index` of a tuple.
fn element<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
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
        let addr = element(&mut seq, 0, &self)?;
        let incarnation = element(&mut seq, 1, &self)?;
        let byte: u8 = element(&mut seq, 2, &self)?;
        let standing = Standing::from_byte(byte)
            .ok_or_else(|| de::Error::custom(format_args!("unknown standing {byte}")))?;
        let zone = element(&mut seq, 3, &self)?;
        Ok(MemberUpdate { addr, incarnation, standing, zone })
    }
}

impl<'de> Deserialize<'de> for MemberUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberUpdate, D::Error> {
        deserializer.deserialize_tuple(4, MemberUpdateVisitor)
    }
}

struct NoteVisitor;

impl<'de> Visitor<'de> for NoteVisitor {
    type Value = Note;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a watch note: upstream, watcher, number, verdict")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Note, A::Error> {
        let upstream = element(&mut seq, 0, &self)?;
        let watcher = element(&mut seq, 1, &self)?;
        let number = element(&mut seq, 2, &self)?;
        let byte: u8 = element(&mut seq, 3, &self)?;
        let verdict = Verdict::from_byte(byte)
            .ok_or_else(|| de::Error::custom(format_args!("unknown verdict {byte}")))?;
        Ok(Note { upstream, watcher, seq: number, verdict })
    }
}

impl<'de> Deserialize<'de> for Note {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Note, D::Error> {
        deserializer.deserialize_tuple(4, NoteVisitor)
    }
}
