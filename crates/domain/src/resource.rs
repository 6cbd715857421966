//! The resources that operators define; see [configure](../../../guide/configure.md).
//!
//! Specs are JSON, and unknown fields are rejected.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The type of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceType {
    /// A priority level; see [`Tier`].
    Tier,
    /// A class of requests; see [`Kind`].
    Kind,
    /// A customer; see [`Organisation`].
    Organisation,
    /// A backend server; see [`Endpoint`].
    Endpoint,
}

impl ResourceType {
    /// All types, ordered so that a type refers only to types before it.
    pub const ALL: [Self; 4] = [Self::Tier, Self::Kind, Self::Organisation, Self::Endpoint];

    /// Returns the singular name, as used in files and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tier => "tier",
            Self::Kind => "kind",
            Self::Organisation => "organisation",
            Self::Endpoint => "endpoint",
        }
    }

    /// Parses a singular or plural name; returns `None` if the type is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|t| text.strip_suffix('s').unwrap_or(text) == t.as_str())
    }
}

impl fmt::Display for ResourceType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Identifies a resource by type and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceName {
    /// Type of the resource.
    #[serde(rename = "type")]
    pub type_: ResourceType,
    /// Name of the resource, unique within the type.
    pub name: String,
}

impl fmt::Display for ResourceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.type_, self.name)
    }
}

/// A priority level; requests of a lower rank are more urgent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Rank from 0, the most urgent, to 15; unique among tiers.
    pub rank: u8,
    /// Minimum share of a pool's work for this tier while more urgent tiers are overloaded,
    /// in percent from 0 to 90; 5 by default.
    #[serde(default = "default_floor_percent")]
    pub floor_percent: u32,
}

/// The protocol of an endpoint, which also determines how request cost is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// An OpenAI-compatible model server; cost is measured in tokens.
    Model,
    /// A plain HTTP service; all requests have the same cost.
    Plain,
}

/// The handling of requests that need a claim while the log is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogDownPolicy {
    /// Rejects the request immediately with verdict "not run" and a retry delay.
    #[default]
    Refuse,
    /// Accepts only requests whose idempotency key was issued by this incarnation of the
    /// instance.
    Issued,
}

/// A class of requests with the same pool, priority and deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the tier.
    pub tier: String,
    /// Name of the pool: the model or service that serves these requests.
    pub pool: String,
    /// Protocol of the pool's endpoints.
    pub protocol: Protocol,
    /// Whether a request can safely be executed more than once.
    pub idempotent: bool,
    /// Deadline of a request, in milliseconds from 1 to 86,400,000 (one day); 30,000 by default.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Initial estimate of the tokens in a response, used until responses have been observed;
    /// from 1 to 10,000,000, 128 by default.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens: u32,
    /// Handling of non-idempotent requests while the log is unavailable.
    #[serde(default)]
    pub log_down: LogDownPolicy,
}

/// A customer that sends requests and authenticates with API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Hashes of the API keys, as returned by [`crate::hash_api_key`].
    pub key_hashes: Vec<String>,
    /// Weight of the organisation relative to others within a tier; from 1 to 10,000,
    /// 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A backend server that executes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// IP address and port of the server.
    pub address: std::net::SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: String,
    /// Name of the pool: the model or service that the endpoint serves.
    pub pool: String,
    /// Protocol of the endpoint.
    pub protocol: Protocol,
    /// Maximum number of concurrent requests; from 1 to 4,096, 16 by default.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Capacity of the prefix cache, in prompt tokens; 0, the default, means no prefix cache.
    #[serde(default)]
    pub cache_tokens: u32,
    /// Whether the endpoint is draining and receives no new requests; false by default.
    #[serde(default)]
    pub leaving: bool,
}

fn default_floor_percent() -> u32 {
    5
}

fn default_weight() -> u32 {
    1
}

fn default_deadline_ms() -> u32 {
    30_000
}

fn default_answer_tokens() -> u32 {
    128
}

fn default_slots() -> u32 {
    16
}

/// The desired state of a resource, as specified by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum Spec {
    /// Spec of a tier.
    Tier(Tier),
    /// Spec of a kind.
    Kind(Kind),
    /// Spec of an organisation.
    Organisation(Organisation),
    /// Spec of an endpoint.
    Endpoint(Endpoint),
}

impl Spec {
    /// Returns the type of the resource that the spec describes.
    pub fn resource_type(&self) -> ResourceType {
        match self {
            Self::Tier(_) => ResourceType::Tier,
            Self::Kind(_) => ResourceType::Kind,
            Self::Organisation(_) => ResourceType::Organisation,
            Self::Endpoint(_) => ResourceType::Endpoint,
        }
    }

    /// Parses the spec of a resource of the given type.
    ///
    /// An organisation's `api_keys` are replaced by their hashes, so that the
    /// keys themselves are never stored.
    ///
    /// # Errors
    ///
    /// When the JSON does not match the type; the message names the invalid field.
    pub fn from_json(type_: ResourceType, value: serde_json::Value) -> Result<Self, String> {
        fn parse<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, String> {
            serde_json::from_value(value).map_err(|e| e.to_string())
        }
        Ok(match type_ {
            ResourceType::Tier => Self::Tier(parse(value)?),
            ResourceType::Kind => Self::Kind(parse(value)?),
            ResourceType::Organisation => Self::Organisation(parse(hash_api_keys(value)?)?),
            ResourceType::Endpoint => Self::Endpoint(parse(value)?),
        })
    }
}

fn hash_api_keys(mut value: serde_json::Value) -> Result<serde_json::Value, String> {
    let Some(fields) = value.as_object_mut() else { return Ok(value) };
    let Some(keys) = fields.remove("api_keys") else { return Ok(value) };
    let keys: Vec<String> = serde_json::from_value(keys).map_err(|e| format!("api_keys: {e}"))?;
    let hashes = keys.into_iter().map(|key| crate::hash_api_key(key).into());
    let key_hashes =
        fields.entry("key_hashes").or_insert_with(|| serde_json::Value::Array(Vec::new()));
    match key_hashes.as_array_mut() {
        Some(key_hashes) => key_hashes.extend(hashes),
        None => return Err("key_hashes: expected an array".to_owned()),
    }
    Ok(value)
}

/// A resource with its current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Name of the resource, unique within the type.
    pub name: String,
    /// The log offset of the last accepted change.
    pub version: u64,
    /// The state that the operator specified.
    pub spec: Spec,
}
