//! The order of what the store says.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a log of the store, up to which it was read.
///
/// A store may come back from an older copy. Offsets then go back and are given out again, so they
/// order records only within one era; see [restores of the
/// store](../../../docs/platform.md#restores).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// How many times the store came back from an older copy; compared first.
    pub era: u64,
    /// The offset of the next record.
    pub offset: u64,
}

impl LogPosition {
    /// Returns the position after `records` more records.
    pub fn advanced_by(self, records: usize) -> Self {
        Self { offset: self.offset + records as u64, ..self }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
