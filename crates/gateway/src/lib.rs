//! The gateway routes callers' requests to the endpoints that service discovery lists.
//!
//! These modules process a request:
//! - `caller` reads the request, checks it against the configuration (`routing`), asks
//!   the scheduler for an endpoint, forwards the request and relays the answer.
//! - `scheduler` owns a decision core for each pool, which queues or refuses requests and
//!   chooses their endpoints (`baobabvane_decide::Core`). It also owns the endpoints
//!   (`directory`), the organisations' quotas (`quota`) and the retry budgets (`retry`).
//! - `rollouts` keeps the orders to move pools to other versions, which `baobabvane_rollout` decides.
//! - `links` pools connections to endpoints, and `events` splits streams into events.
//!
//! A platform adapter supplies configuration and endpoints through [`Feed`]; other
//! instances supply them through `peer`. `knowledge` holds the latest configuration and how
//! current it is. [`Gateway`] starts and stops an instance, and `drain` says what a stop owes each
//! request.
//! See [running on the platform](../../../docs/platform.md).

mod caller;
mod configuration;
mod context;
mod daemon;
mod directory;
mod drain;
mod events;
mod feed;
mod headers;
mod knowledge;
mod links;
mod peer;
mod position;
mod prompt;
mod quota;
mod ready;
mod retry;
mod rollouts;
mod routing;
mod scheduler;
#[cfg(test)]
mod testing;

pub use baobabvane_rollout::{
    Order as RolloutOrder, Settings as RolloutSettings, Status as RolloutState,
};
pub use configuration::{
    CallerLimits, Configuration, DiscoveredEndpoint, Engine, MAX_ENGINE_TOKENS, MAX_RANK,
    Organisation, Pool, Quota, QuotaUnit, Route, Semantics, Target,
};
pub use daemon::{Bound, Gateway, GatewaySettings, Serving};
pub use feed::Feed;
pub use headers::HeaderNames;
pub use position::LogPosition;
pub use quota::QuotaTolerance;
pub use ready::RenderMetrics;
pub use retry::RetryBudget;
pub use rollouts::RolloutStatus;
pub use scheduler::BlockedPart;
