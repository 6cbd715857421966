//! The entry instance: schedules requests of callers and forwards them to endpoints.
//!
//! A request passes through these modules:
//! - `caller` reads it from the caller's connection, validates it and writes the response;
//! - `request` tracks its stage, which determines the verdict if it fails: whether the request may
//!   have run;
//! - `tasks` holds the tasks that own shared state: the scheduler owns a decision core for each
//!   pool, which queues, places or refuses requests; the claimant owns the claims of idempotency
//!   keys and the configurator this instance's copy of the configuration;
//! - `link` sends it to the endpoint that the scheduler granted.
//!
//! `peer` sends scheduling requests to other instances and accepts theirs, `operator` serves the
//! operators' API, `settings` holds the settings read at start, and [`Daemon`] starts and stops all
//! of them. See [the design](../../../docs/DESIGN.md).

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
