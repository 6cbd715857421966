//! The words of the product: resources, records of the log, verdicts.
//!
//! Start with [`Verdict`], which every answer carries, then [`Catalog`], the
//! configuration that every instance derives from the same [`Entry`] records.
//! Nothing here opens a socket or reads a clock.

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

/// Hashes an API key, so that the configuration never holds the key itself.
pub fn hash_api_key(key: impl AsRef<[u8]>) -> String {
    blake3::hash(key.as_ref()).to_hex().to_string()
}
