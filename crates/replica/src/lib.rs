//! The configuration in force at this instance, its audit trail, and how far
//! other instances are.
//!
//! [`Replica`] applies the records of the log's configuration stream in their
//! order; it only moves forward. See [configuration](../../../docs/configuration.md).

mod audit;
mod replica;

pub use audit::{AuditEntry, AuditTrail};
pub use replica::{Applied, Replica};
