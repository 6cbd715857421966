//! What every client of the log can do.

use std::time::Duration;

use thiserror::Error;

use crate::{Batch, HttpLog, MemoryLog};

/// A stream of the log; offsets count within a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stream {
    /// Changes of the configuration and what became of them.
    Config,
    /// How far instances have applied the configuration.
    Progress,
    /// Claims and outcomes of non-idempotent requests.
    Claims,
}

impl Stream {
    /// Returns the stream's name at the service.
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
    /// The record is not in the log and will not get there.
    #[error("not appended: {0}")]
    NotAppended(String),
    /// The record may be in the log now or soon.
    #[error("append unsettled: {0}")]
    Indeterminate(String),
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("log cannot be read: {0}")]
pub struct ReadError(pub String);

/// A client of the log service; clones share it.
#[derive(Clone, Debug)]
pub enum LogClient {
    /// Inside this process, for trying out.
    Memory(MemoryLog),
    /// The platform's service.
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

    /// Reads records from an offset on; waits up to `wait` for the first.
    ///
    /// A batch whose `oldest` is after `from` tells that records are gone.
    pub async fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        match self {
            Self::Memory(log) => Ok(log.read(stream, from, wait).await),
            Self::Http(log) => log.read(stream, from, wait).await,
        }
    }
}
