//! Memory for bodies that are received in full.
//!
//! The load pattern: an upstream sends bytes without end, or very long bodies, in response to many
//! calls at once. Each body is limited, but together they take all the memory of the process, and the
//! calls of all callers end with it. So the bodies of a process share a budget. How long one may get
//! depends on what is left of the budget: the more bodies there are, the sooner the longest are given
//! up, and a short one always fits beside them.

mod memory;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

use memory::Memory;

/// Maximum length of a body, as a ratio of what is left of the budget.
const MAX_RATIO_OF_REST: usize = 2;

/// The memory that all bodies of one kind may take together. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    max_bytes: usize,
    /// Atomic since a body may be dropped on another thread; a process decides on one.
    used_bytes: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// Creates a budget of `max_bytes`. One body alone may take two thirds of it.
    pub fn new(max_bytes: usize) -> BufferBudget {
        BufferBudget { max_bytes, used_bytes: Arc::default() }
    }

    /// Creates a budget that is never used up.
    pub fn unlimited() -> BufferBudget {
        BufferBudget::new(usize::MAX)
    }

    /// Returns the number of bytes that bodies take.
    pub fn used(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Starts a body without bytes.
    pub(crate) fn buffer(&self) -> Buffer {
        let share = Share { budget: self.clone(), bytes: 0 };
        Buffer { memory: Memory::new(), share }
    }

    /// Returns true if a body that takes `held` bytes may take `more` of them.
    fn admits(&self, held: usize, more: usize) -> bool {
        let rest = self.max_bytes.checked_sub(self.used().saturating_add(more));
        rest.is_some_and(|rest| held + more <= rest.saturating_mul(MAX_RATIO_OF_REST))
    }
}

/// What one body takes of a budget, until it is dropped.
#[derive(Debug)]
struct Share {
    budget: BufferBudget,
    bytes: usize,
}

impl Share {
    fn grow(&mut self, more: usize) -> bool {
        let is_admitted = self.budget.admits(self.bytes, more);
        if is_admitted {
            self.budget.used_bytes.fetch_add(more, Ordering::Relaxed);
            self.bytes += more;
        }
        is_admitted
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body that is being received.
pub(crate) struct Buffer {
    memory: Memory,
    share: Share,
}

impl Buffer {
    pub(crate) fn len(&self) -> usize {
        self.share.bytes
    }

    /// Appends `piece`; returns false if the budget does not allow it, or there is no memory.
    pub(crate) fn append(&mut self, piece: &[u8]) -> bool {
        self.share.grow(piece.len()) && self.memory.append(piece).is_ok()
    }

    /// Returns the whole body, which counts against the budget until its last clone is dropped.
    pub(crate) fn freeze(self) -> Bytes {
        match self.len() {
            0 => Bytes::new(),
            _ => Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        self.memory.as_ref()
    }
}

#[cfg(test)]
mod tests;
