//! The entry instance: stands between callers and endpoints.
//!
//! A request travels through these modules:
//! - `caller` reads it from the caller's connection, checks it and answers it;
//! - `request` is its life cycle, whose stage decides the verdict of a failure;
//! - `tasks` own what is shared: the scheduler the decision cores, the claimant
//!   the ledger, the configurator the replica;
//! - `link` sends it to the endpoint that was granted.
//!
//! - `peer` asks the schedulers of other instances, and lets them ask ours.
//!
//! `operator` serves the operators' API, `settings` holds what is set at start,
//! and [`Daemon`] joins all of them. See [the design](../../../docs/DESIGN.md).

mod caller;
mod clock;
mod daemon;
mod embedded;
mod journal;
mod link;
mod operator;
mod peer;
mod prompt;
mod request;
mod settings;
mod tasks;
mod telemetry;
mod view;

pub use baobabvane_tasks::StopHandle;
pub use daemon::{Daemon, Serving, Starting};
pub use embedded::Embedded;
pub use settings::{Operator, Peer, Settings, SettingsError};
pub use telemetry::{LogGuard, install_logger, install_metrics};
