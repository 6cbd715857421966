//! The entries that instances append to the platform's log.
//!
//! Entries are stored as JSON, so the names of their fields and variants are stable.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    Catalog, Verdict,
    resource::{ResourceName, Spec},
};

/// One log entry; a log record contains a batch of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// An operator changes the configuration.
    Change(Change),
    /// An instance claims the exclusive right to dispatch the request with a given key.
    Claim(Claim),
    /// The instance that won a claim records the outcome of the request.
    Outcome(Outcome),
    /// An instance has applied the configuration up to an offset.
    InForce(InForce),
    /// An instance records an observation or an automatic decision for the audit trail.
    Event(Event),
    /// The whole configuration, appended at intervals so that it can still be read from the
    /// log after the log has discarded earlier changes.
    Snapshot(Snapshot),
}

/// A change to one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifies the change in the log, so that the instance that appended it learns the
    /// result when it reads the entry, even if it is unknown whether the append succeeded.
    pub id: Uuid,
    /// The operator's name, which is the name of the token that was used.
    pub who: String,
    /// Time at which the change was proposed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The resource to change.
    pub name: ResourceName,
    /// The required current version: 0 means that the resource must not exist,
    /// and `None` accepts any version.
    pub expected_version: Option<u64>,
    /// Whether to put or delete the resource.
    pub operation: Operation,
}

/// The operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates or replaces the resource.
    Put(Spec),
    /// Deletes the resource.
    Delete,
}

/// Identifies one run of an instance's process.
///
/// A random value is generated at each start, so that a restarted process does
/// not mistake a claim of its predecessor for its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub Uuid);

/// Identifies a non-idempotent request by organisation, kind and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Name of the organisation that sent the request.
    pub organisation: String,
    /// Name of the kind.
    pub kind: String,
    /// The idempotency key, unique within the organisation and kind: a UUID that contains
    /// its creation time, created by the caller (version 7) or by an instance (version 8).
    pub key: Uuid,
}

/// A claim to the exclusive right to dispatch the request with a given key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key of the request to dispatch.
    pub key: RequestKey,
    /// The process that makes the claim.
    pub incarnation: Incarnation,
    /// Sequence number of the claim among all claims of the incarnation.
    pub attempt: u64,
    /// Hash of the request's method, path and body.
    pub body_hash: u64,
}

/// The outcome of a claimed request.
///
/// A `NotRun` verdict releases the key: the writer of the outcome never
/// dispatches under this claim again, and the first claim of the key that follows
/// the outcome in the log wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The key of the claimed request.
    pub key: RequestKey,
    /// The process that won the claim.
    pub incarnation: Incarnation,
    /// The `attempt` of the winning claim.
    pub attempt: u64,
    /// Whether an endpoint may have executed the request.
    pub verdict: Verdict,
    /// The response, if it was received completely and is small enough to store.
    pub answer: Option<Answer>,
}

/// A complete response from an endpoint; only text responses are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The response body.
    pub body: String,
}

/// Records how much of the configuration an instance has applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// The log offset up to which the instance has applied all changes.
    pub offset: u64,
}

/// An observation or an automatic decision of an instance, recorded for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Name of the instance that observed the event or made the decision.
    pub instance: String,
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The type of event, such as `breaker_opened`.
    pub what: String,
    /// Name of the object that the event concerns.
    pub subject: String,
}

/// The whole configuration as of a log offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The log offset up to which changes are included.
    pub as_of: u64,
    /// The configuration at that offset.
    pub catalog: Catalog,
}
