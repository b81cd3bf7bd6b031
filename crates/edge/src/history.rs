//! Places in the platform's history.
//!
//! The platform counts changes by versions. It may come back from an older copy of itself: versions go
//! back then and are given out again, for other changes. It says so by an era that rises each time. A
//! place is therefore an era and a version in it; compared by versions alone, what was changed since
//! would seem to be known, and nobody would ever ask for it.

/// How often the platform has come back from an older copy.
pub type Era = u16;

/// Place in the platform's history, in order: the era, then the version within it. Both are in one number,
/// which nodes tell each other as it is.
pub type Cursor = u64;

/// Bits of a [`Cursor`] that hold the version: at ten thousand changes a second they last for nine
/// hundred years.
const VERSION_BITS: u32 = 48;

/// Returns the place of a version in an era.
pub fn cursor(era: Era, version: u64) -> Cursor {
    (u64::from(era) << VERSION_BITS) | (version & (Cursor::MAX >> Era::BITS))
}

/// Returns the era of a place.
pub fn era(cursor: Cursor) -> Era {
    (cursor >> VERSION_BITS) as Era
}

/// Returns the version of a place.
pub fn version(cursor: Cursor) -> u64 {
    cursor & (Cursor::MAX >> Era::BITS)
}

#[cfg(test)]
mod tests;
