//! The peers that read the platform through this node.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;

use local_sync::mpsc::unbounded;
use place::Entry;
use smol_str::SmolStr;

use super::frame::{encode, Frame};
use super::new_nodes::NewNodes;
use crate::state::State;

/// Maximum number of frames queued for a subscriber. A slower one is dropped and connects again.
const MAX_QUEUED_FRAMES: usize = 64;

/// Peers that receive this node's state and its changes.
#[derive(Default)]
pub struct Subscribers {
    senders: RefCell<Vec<Rc<FrameSender>>>,
    /// The encoded list of upstreams; `None` after a change.
    entries: RefCell<Option<Vec<u8>>>,
    /// Number of peers that wait for state that this node has not read yet.
    pending: Cell<usize>,
    new_nodes: RefCell<NewNodes>,
}

/// Guard that counts a peer as pending until it is dropped.
pub(super) struct Pending<'a>(&'a Cell<usize>);

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Receives the frames that are queued for one subscriber.
pub(super) struct FrameReceiver {
    frames: unbounded::Rx<Rc<Vec<u8>>>,
    queued: Rc<Cell<usize>>,
}

impl FrameReceiver {
    /// Returns the next encoded frame; `None` once the subscriber is dropped.
    pub(super) async fn next(&mut self) -> Option<Rc<Vec<u8>>> {
        let frame = self.frames.recv().await?;
        self.queued.set(self.queued.get() - 1);
        Some(frame)
    }
}

/// Queues encoded frames for one subscriber.
pub(super) struct FrameSender {
    frames: unbounded::Tx<Rc<Vec<u8>>>,
    queued: Rc<Cell<usize>>,
}

impl FrameSender {
    /// Queues a frame; returns false if the subscriber is gone or too slow.
    pub(super) fn push(&self, frame: Rc<Vec<u8>>) -> bool {
        self.queued.set(self.queued.get() + 1);
        self.queued.get() <= MAX_QUEUED_FRAMES && self.frames.send(frame).is_ok()
    }
}

impl Subscribers {
    /// Returns the frame with the complete list of upstreams.
    ///
    /// At 3,000 upstreams it takes 0.3 MB. If it were encoded for each of a hundred nodes that
    /// connect to the same reader at once, it would keep a fifth of a core busy for a second, and
    /// peers would consider the reader dead.
    pub(super) fn list_frame(&self, state: &State) -> Frame {
        let encoded = || {
            let entries: Vec<&Entry> = state.roster.entries().collect();
            postcard::to_stdvec(&entries).expect("entries encode")
        };
        let entries = self.entries.borrow_mut().get_or_insert_with(encoded).clone();
        // The position advances even while the upstreams stay the same.
        let progress = state.list_progress;
        Frame::List { up_to: progress.up_to, newest: progress.newest, entries }
    }

    /// Discards the encoded list after a change of upstreams.
    pub fn invalidate_list(&self) {
        self.entries.borrow_mut().take();
    }

    /// Sends a frame to all subscribers; drops those that are too slow.
    pub fn broadcast(&self, frame: &Frame) {
        let mut senders = self.senders.borrow_mut();
        if senders.is_empty() {
            return;
        }
        let bytes = Rc::new(encode(frame));
        senders.retain(|sender| sender.push(bytes.clone()));
    }

    /// Adds a subscriber; returns both ends of its queue. The sender is gone once the subscriber
    /// is dropped.
    pub(super) fn add(&self) -> (Weak<FrameSender>, FrameReceiver) {
        let (sender, frames) = unbounded::channel();
        let queued = Rc::new(Cell::new(0));
        let sender = Rc::new(FrameSender { frames: sender, queued: queued.clone() });
        let weak = Rc::downgrade(&sender);
        self.senders.borrow_mut().push(sender);
        (weak, FrameReceiver { frames, queued })
    }

    /// Counts a peer as pending until the returned guard is dropped.
    pub(super) fn count_pending(&self) -> Pending<'_> {
        self.pending.set(self.pending.get() + 1);
        Pending(&self.pending)
    }

    /// Returns the node that the new node at `addr` is referred to, if it is not served here.
    pub(super) fn refer(
        &self,
        addr: SocketAddr,
        zone: &SmolStr,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.new_nodes.borrow_mut().refer(addr, zone, now)
    }

    /// Returns the number of nodes that read through this one.
    pub fn count(&self) -> usize {
        self.senders.borrow().len()
    }

    /// Returns true if no node reads through this one.
    pub fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Returns true if peers read through this node, or wait for state that it has not read yet.
    pub fn is_in_use(&self) -> bool {
        !self.is_empty() || self.pending.get() > 0
    }

    /// Drops all subscribers; they connect to another reader. With `may_be_late`, this node
    /// noticed late that it receives no changes, and they read the platform themselves at once.
    pub fn drop_all(&self, may_be_late: bool) {
        if may_be_late {
            self.broadcast(&Frame::MayBeLate);
        }
        self.senders.borrow_mut().clear();
    }
}
