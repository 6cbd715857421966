//! Client of the platform's append-only log service.
//!
//! [`LogClient`] appends and reads records. It is either a [`MemoryLog`], whose
//! records are in this process's memory and are lost when it ends, or an
//! [`HttpLog`]. An append whose response is lost may have taken effect:
//! [`AppendError`] distinguishes such appends from those that certainly did not, and
//! only a read shows whether the record is there. See [the log](../../../docs/log.md).

mod client;
mod http_log;
mod memory;
mod protocol;

pub use client::{AppendError, LogClient, ReadError, Stream};
pub use http_log::HttpLog;
pub use memory::MemoryLog;
pub use protocol::{Appended, Batch, LogRecord};
