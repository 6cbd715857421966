//! The gateway: takes callers' requests by route to endpoints that discovery lists.
//!
//! A request travels through these modules:
//! - `caller` reads it, checks it against the configuration (`routing`), asks the
//!   scheduler for an endpoint, sends it there and passes the answer on;
//! - `scheduler` owns a decision core for each pool, the endpoints (`directory`),
//!   the organisations' quotas (`quota`) and the retry budgets (`retry`);
//! - `links` keeps connections to endpoints, `events` cuts streams into events.
//!
//! What the instance knows comes in through [`Feed`], which an adapter of the
//! platform holds, and from other instances (`peer`). [`Gateway`] joins all of it.
//! See [running on the platform](../../../docs/platform.md).

mod caller;
mod configuration;
mod context;
mod daemon;
mod directory;
mod events;
mod feed;
mod headers;
mod knowledge;
mod links;
mod peer;
mod prompt;
mod quota;
mod ready;
mod retry;
mod routing;
mod scheduler;
#[cfg(test)]
mod testing;

pub use configuration::{
    CallerLimits, Configuration, DiscoveredEndpoint, Engine, Organisation, Pool, Quota, QuotaUnit,
    Route, Semantics, Target,
};
pub use daemon::{Bound, Gateway, GatewaySettings, Serving};
pub use feed::Feed;
pub use headers::HeaderNames;
pub use ready::RenderMetrics;
pub use retry::RetryBudget;
