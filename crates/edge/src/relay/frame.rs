//! What nodes that read the platform through each other say.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use monoio::io::AsyncReadRentExt;
use place::{Change, Entry, Event, Zone};
use route::Table;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::history::Cursor;
use crate::state::State;

/// Longest frame taken, in bytes: the list at 6,700 upstreams is about 0.7 MB.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// What a subscriber says first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Greeting {
    /// Where peers reach it.
    pub(super) peer_addr: SocketAddr,
    /// Its availability zone.
    pub(super) zone: SmolStr,
    /// It holds nothing yet, and was restarted: callers wait for it.
    pub(super) is_newcomer: bool,
    /// Another node named this one to it, which is about to hold everything.
    pub(super) was_referred: bool,
    /// It holds nothing and the platform does not answer it, or nobody serves callers yet: anything
    /// is better.
    pub(super) takes_anything: bool,
    /// The newest change of the configuration that it has seen; older answers are of no use.
    pub(super) config_newest: Cursor,
    /// The same for the list of upstreams.
    pub(super) list_newest: Cursor,
}

impl Greeting {
    pub(super) fn of(state: &State, was_referred: bool) -> Greeting {
        let holds_nothing = !state.has_read_all_topics();
        let nothing_else = state.settings.bootstrap || state.roster.store_is_unreachable();
        let takes_anything = holds_nothing && nothing_else;
        Greeting {
            peer_addr: state.settings.peer_addr,
            zone: state.settings.zone.clone(),
            is_newcomer: holds_nothing && !takes_anything,
            was_referred,
            takes_anything,
            config_newest: state.config_progress.newest,
            list_newest: state.list_progress.newest,
        }
    }
}

/// Asks as of when what was passed on is everything. The greeting asks that too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Ask {
    /// When, since the subscription began at the subscriber; it comes back with the answer.
    pub(super) asked_after: Duration,
}

/// One message to a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// All that the peer knows was passed on before; it answers an [`Ask`].
    Sure {
        /// What the question said.
        asked_after: Duration,
        /// How long ago the peer knew everything about the configuration.
        config_age: Option<Duration>,
        /// The same for the list of upstreams.
        list_age: Option<Duration>,
    },
    /// The peer may have missed changes for a second already: the platform must be read at once.
    MayBeLate,
    /// The configuration as the peer holds it.
    Config {
        /// How much of its history the peer has seen.
        up_to: Cursor,
        /// The newest change among that.
        newest: Cursor,
        /// The configuration, if there is one yet.
        table: Option<Table>,
        /// For how long the peer has held it.
        held_for: Duration,
    },
    /// The availability zones that are evacuated, and that nothing else about the operator's words is
    /// new.
    Evacuated {
        /// How much of the configuration's history the peer has seen.
        up_to: Cursor,
        /// The newest change among that.
        newest: Cursor,
        /// The zones.
        zones: BTreeSet<Zone>,
    },
    /// The peer has read on, and nothing about upstreams has changed for it.
    Read {
        /// How much of its history the peer has seen.
        up_to: Cursor,
        /// The newest change among that.
        newest: Cursor,
    },
    /// All upstreams as the peer holds them.
    List {
        /// How much of its history the peer has seen.
        up_to: Cursor,
        /// The newest change among that.
        newest: Cursor,
        /// The upstreams, encoded: [`entries`] reads them.
        entries: Vec<u8>,
    },
    /// What changed about upstreams.
    Changes {
        /// How much of its history the peer has seen.
        up_to: Cursor,
        /// The newest change among that.
        newest: Cursor,
        /// The changes, in order.
        events: Vec<Event>,
    },
    /// Another node that has just started passes on what this one holds: ask it.
    Ask {
        /// Where peers reach it.
        peer: SocketAddr,
    },
}

impl Frame {
    /// Returns the answer to a question.
    pub(super) fn sure(state: &State, asked: Ask) -> Frame {
        let now = Instant::now();
        Frame::Sure {
            asked_after: asked.asked_after,
            config_age: state.config_progress.lease.age(now),
            list_age: state.list_progress.lease.age(now),
        }
    }

    /// Returns the frame of the configuration held.
    pub fn config(state: &State) -> Frame {
        let seen = state.config_progress;
        let table = state.table.as_deref().cloned();
        let held_for = state.table_applied_at.elapsed();
        Frame::Config { up_to: seen.up_to, newest: seen.newest, table, held_for }
    }

    /// Returns the frame of the evacuated zones.
    pub fn evacuated(state: &State) -> Frame {
        let (seen, zones) = (state.config_progress, state.evacuations.zones().clone());
        Frame::Evacuated { up_to: seen.up_to, newest: seen.newest, zones }
    }

    /// Returns the frame that tells how far the list was read.
    pub fn read(state: &State) -> Frame {
        let seen = state.list_progress;
        Frame::Read { up_to: seen.up_to, newest: seen.newest }
    }

    /// Returns the frame of changes taken on.
    pub fn changes(state: &State, changes: &[Change]) -> Frame {
        let seen = state.list_progress;
        let event = |change: &Change| match change {
            Change::Put(entry) => Event::Put(entry.clone()),
            Change::Drop { upstream, .. } => Event::Gone(upstream.id.clone()),
        };
        let events = changes.iter().map(event).collect();
        Frame::Changes { up_to: seen.up_to, newest: seen.newest, events }
    }

    /// Returns true when the frame lacks a change that this node has seen already.
    pub(super) fn is_stale(&self, state: &State) -> bool {
        match self {
            Frame::Config { up_to, .. } | Frame::Evacuated { up_to, .. } => {
                *up_to < state.config_progress.newest
            }
            Frame::List { up_to, .. } => *up_to < state.list_progress.newest,
            Frame::MayBeLate => true,
            Frame::Sure { .. } | Frame::Read { .. } | Frame::Changes { .. } | Frame::Ask { .. } => {
                false
            }
        }
    }
}

/// Reads the upstreams of a [`Frame::List`].
///
/// # Errors
///
/// [`io::ErrorKind::InvalidData`] when they cannot be read.
pub fn entries(encoded: &[u8]) -> io::Result<Vec<Entry>> {
    postcard::from_bytes(encoded).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}

/// Encodes a message behind its length.
pub(super) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(message).expect("messages encode");
    let mut bytes = u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Receives one message.
pub(super) async fn receive<T, R>(stream: &mut R) -> io::Result<T>
where
    T: DeserializeOwned,
    R: AsyncReadRentExt,
{
    let (read, length) = stream.read_exact(vec![0; 4]).await;
    read?;
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let (read, body) = stream.read_exact(vec![0; length]).await;
    read?;
    postcard::from_bytes(&body).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}
