//! The domain types of the scheduler: resources, log entries, verdicts and problem documents.
//!
//! Start with [`Verdict`], which every problem document carries, then [`Catalog`],
//! the configuration that every instance derives from the same log entries ([`Entry`]).
//! This crate performs no I/O and reads no clock.

mod catalog;
mod problem;
mod record;
mod resource;
mod verdict;

pub use catalog::{Catalog, ChangeError};
pub use problem::{PROBLEM_MEDIA_TYPE, Problem};
pub use record::{
    Answer, Change, Claim, Entry, Event, InForce, Incarnation, Operation, Outcome, RequestKey,
    Snapshot,
};
pub use resource::{
    Endpoint, Kind, LogDownPolicy, Organisation, Protocol, Resource, ResourceName, ResourceType,
    Spec, Tier,
};
pub use uuid::Uuid;
pub use verdict::Verdict;

/// Returns the BLAKE3 hash of an API key as 64 hexadecimal digits.
///
/// The configuration stores the hash, so that it never contains the key itself.
pub fn hash_api_key(key: impl AsRef<[u8]>) -> String {
    blake3::hash(key.as_ref()).to_hex().to_string()
}
