//! What the instances write to the platform's log.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    Catalog, Verdict,
    resource::{ResourceName, Spec},
};

/// One entry of the log; a log record holds a batch of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// An operator's change of the configuration.
    Change(Change),
    /// An instance asks to be the one that dispatches a key.
    Claim(Claim),
    /// The winner of a claim tells how the request ended.
    Outcome(Outcome),
    /// An instance has applied the configuration up to an offset.
    InForce(InForce),
    /// A decision that no operator made, for the audit trail.
    Event(Event),
    /// The whole configuration, appended again before its records are dropped.
    Snapshot(Snapshot),
}

/// A change of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Tells the change from others while its append is unsettled.
    pub id: Uuid,
    /// The operator, as the token's name tells.
    pub who: String,
    /// When the change was proposed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The resource.
    pub name: ResourceName,
    /// The version that must be in force; 0 means that it must not exist.
    pub expected_version: Option<u64>,
    /// What to do.
    pub operation: Operation,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Create or replace.
    Put(Spec),
    /// Remove.
    Delete,
}

/// One process of an instance, from its start to its end.
///
/// A new one is drawn at each start, so that no process can take itself for
/// the winner of a claim that an earlier one wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub Uuid);

/// A key of a non-idempotent request, unique within its organisation and kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The organisation that sent the request.
    pub organisation: String,
    /// The kind of work.
    pub kind: String,
    /// The caller's idempotency key, which carries its time of issue.
    pub key: Uuid,
}

/// Asks to be the only one that dispatches a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub key: RequestKey,
    /// Who claims.
    pub incarnation: Incarnation,
    /// Tells the claims of one incarnation apart.
    pub attempt: u64,
    /// A hash of method, path and body.
    pub body_hash: u64,
}

/// How a claimed request ended.
///
/// `NotRun` releases the key: its writer never dispatches under the claim
/// afterwards, so the next claim in the log's order may win.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The request.
    pub key: RequestKey,
    /// Who had won the claim.
    pub incarnation: Incarnation,
    /// Which of its claims.
    pub attempt: u64,
    /// Whether it ran.
    pub verdict: Verdict,
    /// The answer, where it was whole and small enough to keep.
    pub answer: Option<Answer>,
}

/// A whole answer of an endpoint; only answers in text are kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The media type.
    pub content_type: String,
    /// The body.
    pub body: String,
}

/// An instance's word that it has applied the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The instance's name.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// The offset up to which all changes are in force.
    pub offset: u64,
}

/// A decision that no operator made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The instance that saw or decided it.
    pub instance: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What happened, such as `breaker_opened`.
    pub what: String,
    /// The thing that it happened to.
    pub subject: String,
}

/// The whole configuration up to an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset up to which the changes are contained.
    pub as_of: u64,
    /// The configuration.
    pub catalog: Catalog,
}
