//! The peers that read the platform through this node.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;

use local_sync::mpsc::unbounded;
use place::Entry;
use smol_str::SmolStr;

use super::frame::{encode, Frame};
use super::newcomers::Newcomers;
use crate::state::State;

/// Frames that wait for one subscriber; one that takes them more slowly is dropped and asks anew.
const FRAMES_WAITING: usize = 64;

/// Peers that are told of changes.
#[derive(Default)]
pub struct Subscribers {
    queues: RefCell<Vec<Rc<Queue>>>,
    /// The upstreams, encoded, until something changes about them.
    entries: RefCell<Option<Vec<u8>>>,
    /// Peers that have asked for more than this node has read.
    asking: Cell<usize>,
    newcomers: RefCell<Newcomers>,
}

/// Counts a peer among those that ask for more than this node has read, while it lives.
pub(super) struct Asking<'a>(&'a Cell<usize>);

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The frames on their way to one subscriber.
pub(super) struct Frames {
    frames: unbounded::Rx<Rc<Vec<u8>>>,
    waiting: Rc<Cell<usize>>,
}

impl Frames {
    /// Returns the next frame, encoded; `None` once the subscriber is let go.
    pub(super) async fn next(&mut self) -> Option<Rc<Vec<u8>>> {
        let frame = self.frames.recv().await?;
        self.waiting.set(self.waiting.get() - 1);
        Some(frame)
    }
}

/// Encoded frames on their way to one subscriber.
pub(super) struct Queue {
    frames: unbounded::Tx<Rc<Vec<u8>>>,
    waiting: Rc<Cell<usize>>,
}

impl Queue {
    /// Adds a frame; false when the subscriber is gone or too slow.
    pub(super) fn push(&self, frame: Rc<Vec<u8>>) -> bool {
        self.waiting.set(self.waiting.get() + 1);
        self.waiting.get() <= FRAMES_WAITING && self.frames.send(frame).is_ok()
    }
}

impl Subscribers {
    /// Returns the frame of the whole list.
    ///
    /// At 3,000 upstreams it is 0.3 MB. Encoded anew for each of a hundred nodes that turn to the
    /// same reader at once, it would keep a fifth of a core busy for a second; the reader would be
    /// taken for dead.
    pub(super) fn list(&self, state: &State) -> Frame {
        let encoded = || {
            let entries: Vec<&Entry> = state.roster.entries().collect();
            postcard::to_stdvec(&entries).expect("entries encode")
        };
        let entries = self.entries.borrow_mut().get_or_insert_with(encoded).clone();
        // How far the list was read moves on also while the upstreams stay the same.
        let seen = state.list_progress;
        Frame::List { up_to: seen.up_to, newest: seen.newest, entries }
    }

    /// Forgets the encoded list: it has changed.
    pub fn list_changed(&self) {
        self.entries.borrow_mut().take();
    }

    /// Tells all subscribers; those that are too slow are dropped.
    pub fn tell(&self, frame: &Frame) {
        let mut queues = self.queues.borrow_mut();
        if queues.is_empty() {
            return;
        }
        let bytes = Rc::new(encode(frame));
        queues.retain(|queue| queue.push(bytes.clone()));
    }

    /// Adds a subscriber; returns where its frames go in, until it is let go, and where they come out.
    pub(super) fn add(&self) -> (Weak<Queue>, Frames) {
        let (queue, frames) = unbounded::channel();
        let waiting = Rc::new(Cell::new(0));
        let queue = Rc::new(Queue { frames: queue, waiting: waiting.clone() });
        let weak = Rc::downgrade(&queue);
        self.queues.borrow_mut().push(queue);
        (weak, Frames { frames, waiting })
    }

    /// Counts a peer as asking while what this returns lives.
    pub(super) fn asking(&self) -> Asking<'_> {
        self.asking.set(self.asking.get() + 1);
        Asking(&self.asking)
    }

    /// Returns whom the newcomer at `addr` should ask instead of this node.
    pub(super) fn refer(
        &self,
        addr: SocketAddr,
        zone: &SmolStr,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.newcomers.borrow_mut().refer(addr, zone, now)
    }

    /// Returns how many nodes read through this one.
    pub fn count(&self) -> usize {
        self.queues.borrow().len()
    }

    /// Returns true when nobody reads through this node.
    pub fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Returns true when peers read through this node, or ask for more than it has read.
    pub fn are_waiting(&self) -> bool {
        !self.is_empty() || self.asking.get() > 0
    }

    /// Lets all subscribers go; they turn to another reader. `may_be_late` tells that this one
    /// noticed late that it hears no more: they then read the platform themselves at once.
    pub fn drop_all(&self, may_be_late: bool) {
        if may_be_late {
            self.tell(&Frame::MayBeLate);
        }
        self.queues.borrow_mut().clear();
    }
}
