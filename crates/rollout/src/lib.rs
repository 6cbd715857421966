//! Decides how the requests of a service move to a new version of its endpoints.
//!
//! A [`Rollout`] follows one order of the operators at one instance. It does no I/O and reads no
//! clock: the driver passes in the time, the instance's own requests and the [`Report`]s of other
//! instances, and asks where a request may go and which status is due in the store.
//!
//! - `order` defines the order, its settings and its states;
//! - `evidence` counts responses and compares the versions;
//! - `rollout` keeps the share of the new version, and promotes or reverts it.
//!
//! See [rollouts](../../../docs/design/rollouts.md).

mod evidence;
mod order;
mod rollout;

pub use crate::{
    evidence::{Assessment, Finding, Response, RouteEvidence, Tally},
    order::{Cohort, Millis, Order, OrderKey, Phase, Settings, Status},
    rollout::{PoolView, Report, Reporter, Rollout},
};
