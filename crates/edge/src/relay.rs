//! Relays the platform's state from node to node.
//!
//! A node connects to a peer over TCP, on the address where that peer receives membership
//! datagrams, and gets frames: the configuration and the list of upstreams as the peer has them,
//! then each change as the peer applies it. The peer has already decided which upstreams are kept
//! through an outage. Frames are encoded with postcard behind a length prefix of four bytes.
//!
//! The same address takes offers of requests ([`offer`]), and questions for the configuration alone
//! ([`catch_up`]).

mod catch_up;
mod frame;
mod new_nodes;
mod offer;
mod serve;
mod subscribe;
mod subscribers;

use std::time::Duration;

pub(crate) use self::catch_up::catch_up;
pub use self::catch_up::CatchUps;
pub use self::frame::{decode_entries, Frame};
pub(crate) use self::offer::{offer, OfferReply};
pub use self::offer::{AcceptedOffer, Offer};
pub use self::serve::{serve, watch_path};
pub use self::subscribe::run;
pub use self::subscribers::Subscribers;

/// Time allowed until the first frame.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which a node checks how it should read the platform.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a peer that has not read everything yet checks whether it has.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(20);
