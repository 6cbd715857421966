//! The resources that operators create; see [configure](../../../guide/configure.md).

use std::fmt;

use serde::{Deserialize, Serialize};

/// The type of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceType {
    /// A level of urgency.
    Tier,
    /// A kind of work.
    Kind,
    /// A customer.
    Organisation,
    /// A back end.
    Endpoint,
}

impl ResourceType {
    /// All types, in the order in which they may refer to each other.
    pub const ALL: [Self; 4] = [Self::Tier, Self::Kind, Self::Organisation, Self::Endpoint];

    /// Returns the name used in files and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tier => "tier",
            Self::Kind => "kind",
            Self::Organisation => "organisation",
            Self::Endpoint => "endpoint",
        }
    }

    /// Parses a singular or plural name.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|t| text.strip_suffix('s').unwrap_or(text) == t.as_str())
    }
}

impl fmt::Display for ResourceType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Names one resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceName {
    /// Its type.
    #[serde(rename = "type")]
    pub type_: ResourceType,
    /// Its name, unique within the type.
    pub name: String,
}

impl fmt::Display for ResourceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.type_, self.name)
    }
}

/// A level of urgency; a lower rank is more urgent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// 0 is the most urgent; at most 15.
    pub rank: u8,
    /// The part of a pool's work that the tier keeps while more urgent ones flood, in percent.
    #[serde(default = "default_floor_percent")]
    pub floor_percent: u32,
}

/// What an endpoint speaks and how its work is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// An OpenAI-compatible model engine; cost is measured in tokens.
    Model,
    /// A plain HTTP service; each call costs the same.
    Plain,
}

/// What to do with a request that needs a claim while the log is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogDownPolicy {
    /// Answer "not run" at once, with a time to repeat.
    #[default]
    Refuse,
    /// Accept keys that this incarnation of the instance issued itself.
    Issued,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The tier's name.
    pub tier: String,
    /// The model or service that serves the kind.
    pub pool: String,
    /// What the pool's endpoints speak.
    pub protocol: Protocol,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// How long the caller waits, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// How many tokens an answer has before any was seen.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens: u32,
    /// What happens to non-idempotent requests while the log is down.
    #[serde(default)]
    pub log_down: LogDownPolicy,
}

/// A customer who sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Hashes of the API keys, as [`crate::hash_api_key`] makes them.
    pub key_hashes: Vec<String>,
    /// The organisation's share of a tier against the others'.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// The availability zone that the endpoint is in.
    pub zone: String,
    /// The model or service that it serves.
    pub pool: String,
    /// What it speaks.
    pub protocol: Protocol,
    /// The most requests that are sent to it at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// How many tokens of prompts its prefix cache holds; 0 when it has none.
    #[serde(default)]
    pub cache_tokens: u32,
    /// A leaving endpoint receives no new work.
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

/// What an operator asks a resource to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum Spec {
    /// See [`Tier`].
    Tier(Tier),
    /// See [`Kind`].
    Kind(Kind),
    /// See [`Organisation`].
    Organisation(Organisation),
    /// See [`Endpoint`].
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

    /// Parses the spec of a known type, naming the offending key in the error.
    ///
    /// An organisation's `api_keys` are replaced by their hashes, so that the
    /// keys themselves are never kept.
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

/// A resource with the version that its last accepted change gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Unique within the type.
    pub name: String,
    /// The log offset of the last accepted change.
    pub version: u64,
    /// What the operator asked for.
    pub spec: Spec,
}
