//! The scheduling core: chooses when and where each request runs, and which one is refused.
//!
//! The core does no I/O, reads no clock and draws random numbers only from the seed
//! in [`Policy`], so the same events always give the same actions. A driver passes in
//! [`Event`]s through [`Core::handle`] and executes the [`Action`]s of
//! [`Core::next_action`]. The daemon, the scripted scenarios and the decision bench
//! drive the same code. One core serves one pool, the endpoints of an availability
//! zone that serve one model or service.
//!
//! Modules, in the order in which a request passes through them:
//! - `queue` holds waiting requests by tier, organisation and deadline;
//! - `shed` selects the waiting request to refuse under overload;
//! - `ready` orders the endpoints with room, best first;
//! - `choose` picks an endpoint by the estimates of `endpoint` and `prefix`, among
//!   those that `long_work` allows for the request;
//! - `limit`, `breaker` and `budget` protect endpoints from overload;
//! - `learn` holds the moving averages behind the estimates.
//!
//! See [decisions](../../../docs/decisions.md) for the design alternatives.

mod breaker;
mod budget;
mod choose;
mod core;
mod endpoint;
mod event;
mod learn;
mod limit;
mod long_work;
mod policy;
mod prefix;
mod queue;
mod ready;
mod shed;

pub use crate::{
    core::{Core, Counts},
    event::{
        Action, Choice, Descriptor, Ending, EndpointKey, EndpointLoad, EndpointSpec, Event,
        FailedAt, KindId, LatencyGoal, LoadReport, Millis, OrgId, PrefixBlocks, Rank, Refusal,
        Speed, Ticket, Why,
    },
    policy::{Placement, Policy, TierPolicy},
};
