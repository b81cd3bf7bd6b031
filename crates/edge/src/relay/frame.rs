//! Messages between nodes that read the platform through each other.

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
use team::Teams;

use crate::history::Cursor;
use crate::state::State;

/// Maximum length of a frame in bytes. The list of 6,700 upstreams takes about 0.7 MB.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The first message of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Greeting {
    /// Address at which peers reach the subscriber.
    pub(super) peer_addr: SocketAddr,
    /// Availability zone of the subscriber.
    pub(super) zone: SmolStr,
    /// Whether the subscriber was restarted and has no state yet: callers are waiting for it.
    #[serde(rename = "is_newcomer")]
    pub(super) is_new_node: bool,
    /// Whether another node referred the subscriber to this one, which is about to have all state.
    pub(super) was_referred: bool,
    /// Whether the subscriber accepts stale state. It does if it has none itself, and the platform
    /// does not respond to it or no node serves callers yet.
    #[serde(rename = "takes_anything")]
    pub(super) accepts_stale: bool,
    /// Newest change of the configuration that the subscriber has seen; older state is of no use
    /// to it.
    pub(super) config_newest: Cursor,
    /// Newest change of the list of upstreams that the subscriber has seen.
    pub(super) list_newest: Cursor,
}

impl Greeting {
    pub(super) fn of(state: &State, was_referred: bool) -> Greeting {
        let has_no_state = !state.has_read_all_topics();
        let has_no_alternative = state.settings.bootstrap || state.roster.store_is_unreachable();
        let accepts_stale = has_no_state && has_no_alternative;
        Greeting {
            peer_addr: state.settings.peer_addr,
            zone: state.settings.zone.clone(),
            is_new_node: has_no_state && !accepts_stale,
            was_referred,
            accepts_stale,
            config_newest: state.config_progress.newest,
            list_newest: state.list_progress.newest,
        }
    }
}

/// Asks the peer up to which time its frames so far are complete. The greeting implies one such
/// query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AgeQuery {
    /// Time of the query, relative to the start of the subscription at the subscriber. The
    /// response repeats it.
    pub(super) asked_after: Duration,
}

/// A message to a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Response to an [`AgeQuery`]: everything that the peer knew was sent in earlier frames.
    #[serde(rename = "Sure")]
    Ages {
        /// Taken from the query.
        asked_after: Duration,
        /// How long ago the peer's configuration was last known to be complete.
        config_age: Option<Duration>,
        /// How long ago the peer's list of upstreams was last known to be complete.
        list_age: Option<Duration>,
    },
    /// The peer may have missed changes for a second already: subscribers must read the platform
    /// at once.
    MayBeLate,
    /// The configuration as the peer has it.
    Config {
        /// Position up to which the peer has read the history.
        up_to: Cursor,
        /// Newest change up to that position.
        newest: Cursor,
        /// The configuration, if there is one yet.
        table: Option<Table>,
        /// How long the peer has had it.
        held_for: Duration,
    },
    /// The evacuated availability zones. The frame also means that nothing else that operators have
    /// set changed up to its position.
    Evacuated {
        /// Position up to which the peer has read the configuration's history.
        up_to: Cursor,
        /// Newest change up to that position.
        newest: Cursor,
        /// The zones.
        zones: BTreeSet<Zone>,
    },
    /// The peer has read further without any change of its upstreams.
    #[serde(rename = "Read")]
    Progress {
        /// Position up to which the peer has read the history.
        up_to: Cursor,
        /// Newest change up to that position.
        newest: Cursor,
    },
    /// All upstreams as the peer has them.
    List {
        /// Position up to which the peer has read the history.
        up_to: Cursor,
        /// Newest change up to that position.
        newest: Cursor,
        /// The encoded upstreams; [`decode_entries`] decodes them.
        entries: Vec<u8>,
    },
    /// Changes of upstreams.
    Changes {
        /// Position up to which the peer has read the history.
        up_to: Cursor,
        /// Newest change up to that position.
        newest: Cursor,
        /// The changes, in order.
        events: Vec<Event>,
    },
    /// Refers the subscriber to another node, which has just started and relays this node's state.
    #[serde(rename = "Ask")]
    Referral {
        /// Address at which peers reach that node.
        peer: SocketAddr,
    },
    /// [`Frame::Config`] of a configuration with teams. Their keys are sent as digests.
    ConfigWithTeams {
        /// Position up to which the peer has read the history.
        up_to: Cursor,
        /// Newest change up to that position.
        newest: Cursor,
        /// The configuration without its teams.
        table: Table,
        /// The teams.
        teams: Teams,
        /// How long the peer has had it.
        held_for: Duration,
    },
}

impl Frame {
    /// Returns the response to a query.
    pub(super) fn ages(state: &State, query: AgeQuery) -> Frame {
        let now = Instant::now();
        Frame::Ages {
            asked_after: query.asked_after,
            config_age: state.config_progress.lease.age(now),
            list_age: state.list_progress.lease.age(now),
        }
    }

    /// Returns the frame with the current configuration.
    pub fn config(state: &State) -> Frame {
        let progress = state.config_progress;
        let (up_to, newest) = (progress.up_to, progress.newest);
        let held_for = state.table_applied_at.elapsed();
        match state.table.as_deref().cloned() {
            Some(mut table) if !table.teams.is_empty() => {
                let teams = std::mem::take(&mut table.teams);
                Frame::ConfigWithTeams { up_to, newest, table, teams, held_for }
            }
            table => Frame::Config { up_to, newest, table, held_for },
        }
    }

    /// Returns the frame with the evacuated zones.
    pub fn evacuated(state: &State) -> Frame {
        let (progress, zones) = (state.config_progress, state.evacuations.zones().clone());
        Frame::Evacuated { up_to: progress.up_to, newest: progress.newest, zones }
    }

    /// Returns the frame with the position up to which the list was read.
    pub fn progress(state: &State) -> Frame {
        let progress = state.list_progress;
        Frame::Progress { up_to: progress.up_to, newest: progress.newest }
    }

    /// Returns the frame with applied changes.
    pub fn changes(state: &State, changes: &[Change]) -> Frame {
        let progress = state.list_progress;
        let event = |change: &Change| match change {
            Change::Put(entry) => Event::Put(entry.clone()),
            Change::Drop { upstream, .. } => Event::Gone(upstream.id.clone()),
        };
        let events = changes.iter().map(event).collect();
        Frame::Changes { up_to: progress.up_to, newest: progress.newest, events }
    }

    /// Returns true if the frame lacks a change that this node has already seen.
    pub(super) fn is_stale(&self, state: &State) -> bool {
        match self {
            Frame::Config { up_to, .. }
            | Frame::ConfigWithTeams { up_to, .. }
            | Frame::Evacuated { up_to, .. } => *up_to < state.config_progress.newest,
            Frame::List { up_to, .. } => *up_to < state.list_progress.newest,
            Frame::MayBeLate => true,
            Frame::Ages { .. }
            | Frame::Progress { .. }
            | Frame::Changes { .. }
            | Frame::Referral { .. } => false,
        }
    }
}

/// Decodes the upstreams of a [`Frame::List`].
///
/// # Errors
///
/// [`io::ErrorKind::InvalidData`] if they cannot be decoded.
pub fn decode_entries(encoded: &[u8]) -> io::Result<Vec<Entry>> {
    postcard::from_bytes(encoded).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}

/// Encodes a message behind its length prefix.
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
    receive_rest(stream, &length).await
}

/// Receives the remainder of a message whose encoded `length` was received already.
pub(super) async fn receive_rest<T, R>(stream: &mut R, length: &[u8]) -> io::Result<T>
where
    T: DeserializeOwned,
    R: AsyncReadRentExt,
{
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let (read, body) = stream.read_exact(vec![0; length]).await;
    read?;
    postcard::from_bytes(&body).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}
