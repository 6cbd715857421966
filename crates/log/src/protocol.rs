//! The messages of the log service.

use serde::{Deserialize, Serialize};

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream; the first is 1.
    pub offset: u64,
    /// When the service took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was appended.
    pub data: String,
}

/// Records that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// In the order of their offsets.
    pub records: Vec<LogRecord>,
    /// Where to read on.
    pub next: u64,
    /// The oldest offset that the service still keeps.
    pub oldest: u64,
    /// The offset that the next append will get.
    pub end: u64,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's place in the stream.
    pub offset: u64,
}
