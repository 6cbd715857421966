//! What operators put in force: routes, pools, organisations and limits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A version of all that operators configure; a larger version is newer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Which requests are accepted and where they go.
    pub routes: Vec<Route>,
    /// The groups of endpoints that routes name.
    pub pools: Vec<Pool>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Who may send requests; without any, no key is asked for.
    pub organisations: Vec<Organisation>,
}

/// Requests of one kind of work, told by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path starts with this; the longest prefix of a host wins.
    pub path_prefix: String,
    /// What may be repeated.
    pub semantics: Semantics,
    /// The longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time to the answer, or to its first event, that callers should see, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between events that is still on time, in milliseconds.
    pub max_gap_ms: u64,
    /// Callers of a stream leave when nothing came for this long, in milliseconds.
    pub max_silence_ms: u64,
    /// The tier's rank; 0 is the most urgent.
    pub rank: u8,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub is_public: bool,
    /// Whether a stream may go on at another endpoint after its last event.
    pub is_resumable: bool,
    /// Where requests go, by weight.
    pub targets: Vec<Target>,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The pool's name.
    pub pool: String,
    /// The share against the other targets' weights.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events; runs at most once unless it is resumable.
    Stream,
}

impl Route {
    /// Says whether a request that may have run may be sent again.
    pub fn may_retry(&self) -> bool {
        match self.semantics {
            Semantics::Idempotent => true,
            Semantics::NonIdempotent => false,
            Semantics::Stream => self.is_resumable,
        }
    }
}

/// Endpoints that serve the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// What the endpoints are, when they are model engines.
    pub engine: Option<Engine>,
}

/// What all model engines of a pool have in common.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Tokens of prompts and answers that an engine's memory holds.
    pub cache_tokens: u64,
    /// Tokens that one event of a stream stands for.
    pub tokens_per_event: u32,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may be silent between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Who sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name that endpoints are told.
    pub name: String,
    /// The keys that callers prove themselves with.
    pub api_keys: Vec<String>,
    /// Overrides the rank of the route.
    pub rank: Option<u8>,
    /// What the organisation may use over the whole fleet.
    pub quota: Option<Quota>,
}

/// A limit on an organisation's use over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request is one unit.
    Requests,
    /// Tokens of the prompt and the longest answer.
    Tokens {
        /// What a request that states no tokens counts.
        default: u32,
    },
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Names one start of the endpoint.
    pub id: String,
    /// The pool that it serves.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// When it started, in milliseconds since the Unix epoch; 0 when it does not say.
    pub started_ms: u64,
}
