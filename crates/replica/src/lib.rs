//! This instance's copy of the configuration, its audit trail, and the offset up to
//! which each instance has applied the configuration.
//!
//! [`Replica`] applies the records of the log's configuration stream in order and
//! never goes back to an earlier offset. See [configuration](../../../docs/configuration.md).

mod audit;
mod replica;

pub use audit::{AuditEntry, AuditTrail};
pub use replica::{Applied, Replica};
