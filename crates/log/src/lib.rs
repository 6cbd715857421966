//! The platform's append-only log service, as its clients see it.
//!
//! [`LogClient`] appends and reads; it is either an [`MemoryLog`] inside this
//! process, which keeps nothing beyond it, or an [`HttpLog`]. An append whose
//! answer is lost may have taken effect: [`AppendError`] says which, and only
//! reading settles it. See [the log](../../../docs/log.md).

mod client;
mod http_log;
mod memory;
mod protocol;

pub use client::{AppendError, LogClient, ReadError, Stream};
pub use http_log::HttpLog;
pub use memory::MemoryLog;
pub use protocol::{Appended, Batch, LogRecord};
