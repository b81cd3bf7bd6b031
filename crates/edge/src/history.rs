//! Positions in the platform's history.
//!
//! The platform numbers its changes with versions. It may be restored from an older copy of
//! itself: versions go back then, and are assigned again to other changes. It announces this with
//! an era that increases each time. A position is therefore an era and a version in it. With
//! versions alone, changes made since the restore would seem to be known, and no node would ever
//! request them.

/// How often the platform has been rolled back to an older copy.
pub type Era = u16;

/// Position in the platform's history, ordered by era and then by version. Both are packed into
/// one number, which nodes exchange as it is.
pub type Cursor = u64;

/// Bits of a [`Cursor`] for the version: at ten thousand changes a second they last for nine
/// hundred years.
const VERSION_BITS: u32 = 48;

/// Returns the position of a version in an era.
pub fn cursor(era: Era, version: u64) -> Cursor {
    (u64::from(era) << VERSION_BITS) | (version & (Cursor::MAX >> Era::BITS))
}

/// Returns the era of a position.
pub fn era(cursor: Cursor) -> Era {
    (cursor >> VERSION_BITS) as Era
}

/// Returns the version of a position.
pub fn version(cursor: Cursor) -> u64 {
    cursor & (Cursor::MAX >> Era::BITS)
}

#[cfg(test)]
mod tests;
