//! Defines the configuration that operators set: routes, pools, organisations and limits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The longest pause target of an interactive stream, in milliseconds; longer pauses are noticed as a
/// stall (the Doherty threshold).
const MAX_INTERACTIVE_GAP_MS: u64 = 400;

/// The most tokens that an engine is taken to have memory for; several times that of any known one.
pub const MAX_ENGINE_TOKENS: u32 = 1 << 22;

/// The rank of the least urgent tier; larger ones are clamped, so that two ranks fit into one `u8`.
pub const MAX_RANK: u8 = 15;

/// One complete version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// A larger version is newer; consecutive versions may differ by more than 1.
    pub version: u64,
    /// The accepted requests and the pools that serve them.
    pub routes: Vec<Route>,
    /// The groups of endpoints that routes refer to.
    pub pools: Vec<Pool>,
    /// The size and time limits on callers' requests.
    pub limits: CallerLimits,
    /// The organisations that may send requests; an empty list disables API key checks.
    pub organisations: Vec<Organisation>,
}

/// A rule that matches requests by host and path and sets how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route in log lines.
    pub name: String,
    /// The host of the request, compared without regard to case. If it includes a port, only
    /// requests with that port match; otherwise the port of the request is ignored.
    pub host: String,
    /// The prefix of the request path; the longest matching prefix of a host is used.
    pub path_prefix: String,
    /// Whether a request that may have run can be retried.
    pub semantics: Semantics,
    /// The deadline for the complete answer, in milliseconds after the request arrived.
    pub timeout_ms: u64,
    /// The target latency of the answer, or of a stream's first event, in milliseconds.
    pub target_ms: u64,
    /// The longest acceptable gap between two events of a streamed answer, in milliseconds.
    pub max_gap_ms: u64,
    /// How long callers of a stream wait without an event before they disconnect, in
    /// milliseconds; the scheduler refuses requests whose first event it expects later.
    pub max_silence_ms: u64,
    /// The rank of the priority tier; 0 is the most urgent.
    pub rank: u8,
    /// The maximum number of times that one request is sent to an endpoint.
    pub max_attempts: u32,
    /// Whether requests without a known API key are accepted.
    pub is_public: bool,
    /// Whether another endpoint may continue a broken stream after its last event.
    pub is_resumable: bool,
    /// The pools that share the requests, by weight.
    pub targets: Vec<Target>,
}

/// A pool that serves a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the pool.
    pub pool: String,
    /// The weight relative to the route's other targets, of any size or fraction; 0 sends no
    /// requests.
    pub weight: f64,
}

/// Whether a request that may have run can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events; the request runs at most once unless the route is
    /// resumable.
    Stream,
}

impl Route {
    /// Returns whether a request that may have run can be sent to another endpoint.
    pub fn may_retry(&self) -> bool {
        match self.semantics {
            Semantics::Idempotent => true,
            Semantics::NonIdempotent => false,
            Semantics::Stream => self.is_resumable,
        }
    }

    /// Returns whether callers follow the answer as it is written, so that each pause is noticed; see
    /// [interactive streams](../../../docs/uneven-load.md).
    pub fn is_interactive(&self) -> bool {
        let has_strict_gap = (1..=MAX_INTERACTIVE_GAP_MS).contains(&self.max_gap_ms);
        self.semantics == Semantics::Stream && has_strict_gap
    }
}

impl Configuration {
    /// Returns the properties of a pool's endpoints if they are model engines.
    pub(crate) fn engine(&self, pool: &str) -> Option<Engine> {
        let engine = self.pools.iter().find(|p| p.name == pool)?.engine?;
        Some(Engine { cache_tokens: engine.cache_tokens.min(MAX_ENGINE_TOKENS), ..engine })
    }

    /// Returns whether one of the routes is [interactive](Route::is_interactive).
    pub fn is_interactive(&self) -> bool {
        self.routes.iter().any(Route::is_interactive)
    }
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The name that routes and endpoints refer to.
    pub name: String,
    /// The properties of the endpoints if they are model engines; `None` for plain services.
    pub engine: Option<Engine>,
}

/// The properties that all model engines of a pool share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The capacity of an engine's KV cache, which also serves as its prefix cache, in tokens of
    /// prompts and answers; at most [`MAX_ENGINE_TOKENS`].
    pub cache_tokens: u32,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// The size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes; 16 KiB by default.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes; 4 MiB by default.
    pub body_bytes: usize,
    /// The time limit for receiving a request head, in milliseconds; 3 s by default.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle between requests, in milliseconds; 15 s by default.
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

/// A customer that sends requests and is subject to a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name that is forwarded to endpoints.
    pub name: String,
    /// The API keys that authenticate the organisation's callers.
    pub api_keys: Vec<String>,
    /// The rank of the organisation's priority tier. It takes precedence over the route's rank,
    /// which then only orders requests within the tier.
    pub rank: Option<u8>,
    /// The limit on the organisation's use across the fleet; `None` means no limit.
    pub quota: Option<Quota>,
}

/// A rate limit for one organisation across all instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// The unit that is counted.
    pub unit: QuotaUnit,
    /// The sustained rate, in units per second.
    pub per_s: f64,
    /// The maximum burst, in units.
    pub burst: f64,
}

/// The unit that a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// Each token of the prompt and of the longest possible answer counts as one unit.
    Tokens {
        /// The number of units for a request that states neither its prompt tokens nor its
        /// maximum answer tokens.
        default: u32,
    },
}

/// An endpoint as service discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// The identifier under which discovery lists the endpoint.
    pub id: String,
    /// The name of the pool that the endpoint belongs to.
    pub pool: String,
    /// The address that accepts requests.
    pub address: SocketAddr,
    /// The availability zone of the endpoint.
    pub zone: String,
    /// The number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint finishes its requests and accepts no new ones.
    pub is_draining: bool,
    /// The start time of the endpoint's process, in milliseconds since the Unix epoch; 0 if
    /// unknown. A different start time under the same id means another process.
    pub started_ms: u64,
    /// Increases with each entry that the process writes; `None` if unknown.
    pub revision: Option<u64>,
    /// The version of the service that the endpoint runs; empty if unknown.
    pub version: String,
    /// The time for which the endpoint stays slow after its start, in milliseconds, as of its entry.
    pub cold_remaining_ms: u64,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::route;

    /// Guards against rules for interactive streams that take effect in other deployments.
    #[test]
    fn only_streams_with_a_strict_gap_are_interactive() {
        let stream = |max_gap_ms| Route {
            semantics: Semantics::Stream,
            max_gap_ms,
            ..route("answers", "desk.example", "/answers/")
        };
        assert!(stream(300).is_interactive() && stream(400).is_interactive());
        assert!(!stream(500).is_interactive() && !stream(0).is_interactive());
        let plain = Route { semantics: Semantics::Idempotent, ..stream(300) };
        assert!(!plain.is_interactive());
        let configuration = |routes| Configuration { routes, ..Configuration::default() };
        assert!(configuration(vec![plain.clone(), stream(300)]).is_interactive());
        assert!(!configuration(vec![plain, stream(500)]).is_interactive());
    }
}
