//! The memory of one body.
//!
//! The bytes of a long body are in a mapping of their own: the operating system gets its pages back when
//! the body is dropped or moves to a longer mapping. On the heap, bodies that grow at the same time would
//! leave their former memory in gaps that are too short for any of them, and that the process keeps.

use std::io;

use memmap2::{Advice, MmapMut};

/// Maximum number of bytes on the heap.
const MAX_HEAP_BYTES: usize = 64 * 1024;

/// Ratio of the length of a mapping to that of the memory before it. Pages without bytes take no memory.
const GROWTH_RATIO: usize = 4;

/// Bytes that are appended one after the other.
pub(super) enum Memory {
    /// Up to [`MAX_HEAP_BYTES`].
    Heap(Vec<u8>),
    /// A mapping, and how many bytes are in it.
    Mapped(MmapMut, usize),
}

impl Memory {
    pub(super) fn new() -> Memory {
        Memory::Heap(Vec::new())
    }

    /// Appends `piece`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it maps no more memory; the bytes are then as before.
    pub(super) fn append(&mut self, piece: &[u8]) -> io::Result<()> {
        let length = self.as_ref().len() + piece.len();
        match self {
            Memory::Heap(bytes) if length <= MAX_HEAP_BYTES => bytes.extend_from_slice(piece),
            Memory::Mapped(pages, end) if length <= pages.len() => {
                pages[*end..length].copy_from_slice(piece);
                *end = length;
            }
            Memory::Heap(_) | Memory::Mapped(..) => *self = self.moved_with(piece)?,
        }
        Ok(())
    }

    /// Returns a longer mapping with the same bytes and `piece`.
    fn moved_with(&self, piece: &[u8]) -> io::Result<Memory> {
        let bytes = self.as_ref();
        let length = bytes.len() + piece.len();
        let max_before = match self {
            Memory::Heap(_) => MAX_HEAP_BYTES,
            Memory::Mapped(pages, _) => pages.len(),
        };
        let mut pages = MmapMut::map_anon(length.max(max_before * GROWTH_RATIO))?;
        // One huge page would take the memory of hundreds of pages that hold no bytes. This fails only
        // where the operating system has none.
        let _ = pages.advise(Advice::NoHugePage);
        pages[..bytes.len()].copy_from_slice(bytes);
        pages[bytes.len()..length].copy_from_slice(piece);
        Ok(Memory::Mapped(pages, length))
    }
}

impl AsRef<[u8]> for Memory {
    fn as_ref(&self) -> &[u8] {
        match self {
            Memory::Heap(bytes) => bytes,
            Memory::Mapped(pages, length) => &pages[..*length],
        }
    }
}
