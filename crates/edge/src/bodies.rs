//! Memory for request bodies.

use std::cell::Cell;
use std::rc::Rc;

use crate::Capacity;

/// Share of a node's memory that bodies may take. Buffers of their connections and what the allocator
/// keeps may take as much again; the rest of a node grows with the fleet.
const MAX_MEMORY_RATIO: f64 = 0.125;

/// Share of the budget that whole bodies may take. The rest is left to the first parts of others: a
/// few callers who announce long bodies and send them slowly must not keep short requests out.
const MAX_WHOLE_RATIO: f64 = 0.75;

/// Budget of the memory for the bodies of all requests of a node.
///
/// The load pattern: callers send large bodies over slow links, many at once. An upstream that is
/// chosen before a body is there is another one's by the time it is, or holds a slot for it
/// meanwhile. So the node takes in whole bodies first, as many as fit into its memory. A body that
/// does not fit is streamed, and refused if there is no memory even for its first part: a node that
/// runs out of memory loses the requests of all its callers.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    /// `None` if the node's memory is not known: then only first parts are held, in any number.
    max_bytes: Option<usize>,
    used_bytes: Rc<Cell<usize>>,
    peak_bytes: Rc<Cell<usize>>,
}

impl BodyBudget {
    /// Creates the budget of a node.
    pub fn new(capacity: Option<Capacity>) -> BodyBudget {
        let max_bytes =
            capacity.map(|capacity| (capacity.memory_bytes * MAX_MEMORY_RATIO) as usize);
        BodyBudget { max_bytes, used_bytes: Rc::default(), peak_bytes: Rc::default() }
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used_bytes.get()
    }

    /// Returns the most bytes that were reserved at once.
    pub fn peak(&self) -> usize {
        self.peak_bytes.get()
    }

    /// Reserves `most` bytes, or `least` if there are not as many for a whole body. Returns `None` if
    /// there are less than `least`.
    pub fn reserve(&self, least: usize, most: usize) -> Option<Reservation> {
        let bytes = match self.max_bytes {
            None => least,
            Some(max_bytes) if self.used() + most <= max_whole(max_bytes) => most,
            Some(max_bytes) if self.used() + least <= max_bytes => least,
            Some(_) => return None,
        };
        self.add(bytes);
        Some(Reservation { budget: self.clone(), bytes })
    }

    fn add(&self, bytes: usize) {
        self.used_bytes.set(self.used() + bytes);
        self.peak_bytes.set(self.peak().max(self.used()));
    }
}

fn max_whole(max_bytes: usize) -> usize {
    (max_bytes as f64 * MAX_WHOLE_RATIO) as usize
}

/// Memory reserved for one body, until this guard is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns true if a body of `bytes` fits, after reserving more if that is possible.
    pub fn covers(&mut self, bytes: usize) -> bool {
        let Some(max_bytes) = self.budget.max_bytes else { return bytes <= self.bytes };
        let missing = bytes.saturating_sub(self.bytes);
        let fits = self.budget.used() + missing <= max_whole(max_bytes);
        if fits && missing > 0 {
            self.budget.add(missing);
            self.bytes = bytes;
        }
        fits || missing == 0
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
