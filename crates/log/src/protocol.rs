//! The JSON messages of the log service. Field names are part of its protocol.

use serde::{Deserialize, Serialize};

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's offset in the stream; the first record has offset 1.
    pub offset: u64,
    /// When the log stored the record, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record's content, as it was appended.
    pub data: String,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The records, by ascending offset.
    pub records: Vec<LogRecord>,
    /// The offset of the next record to read.
    pub next: u64,
    /// The oldest offset that the service still holds.
    pub oldest: u64,
    /// The offset of the next record to be appended.
    pub end: u64,
}

/// The response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset in the stream.
    pub offset: u64,
}
