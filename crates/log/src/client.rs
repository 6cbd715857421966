//! The interface that all clients of the log share. The error of an append tells
//! whether the record may be in the log.

use std::time::Duration;

use thiserror::Error;

use crate::{Batch, HttpLog, MemoryLog};

/// A stream of the log; each stream has its own offsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stream {
    /// Configuration changes, snapshots of the configuration and audit events.
    Config,
    /// The offset up to which each instance has applied the configuration.
    Progress,
    /// Claims and outcomes of non-idempotent requests.
    Claims,
}

impl Stream {
    /// Returns the name of the stream in the service's URLs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Progress => "progress",
            Self::Claims => "claims",
        }
    }
}

/// Why an append failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The record is not in the log and will not be added; the append may be retried.
    #[error("not appended: {0}")]
    NotAppended(String),
    /// The record may be in the log already or may still be added.
    #[error("append result unknown: {0}")]
    Indeterminate(String),
}

/// Why a read failed; contains the cause.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("log cannot be read: {0}")]
pub struct ReadError(pub String);

/// A client of the log service; clones share its records or connections.
#[derive(Clone, Debug)]
pub enum LogClient {
    /// Keeps the records in this process, for trials without the platform.
    Memory(MemoryLog),
    /// Uses the platform's service over HTTP.
    Http(HttpLog),
}

impl LogClient {
    /// Appends a record and returns its offset.
    pub async fn append(&self, stream: Stream, data: String) -> Result<u64, AppendError> {
        match self {
            Self::Memory(log) => Ok(log.append(stream, data)),
            Self::Http(log) => log.append(stream, data).await,
        }
    }

    /// Reads records from the offset `from` on and waits up to `max_wait` for the first.
    ///
    /// If the batch's `oldest` is greater than `from`, the log has dropped records
    /// that were not read.
    pub async fn read(
        &self,
        stream: Stream,
        from: u64,
        max_wait: Duration,
    ) -> Result<Batch, ReadError> {
        match self {
            Self::Memory(log) => Ok(log.read(stream, from, max_wait).await),
            Self::Http(log) => log.read(stream, from, max_wait).await,
        }
    }
}
