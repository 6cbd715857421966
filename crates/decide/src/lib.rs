//! The decision core: which request goes where, when, and which one yields.
//!
//! The core has no socket, no clock and no randomness: [`Event`]s go in, and
//! [`Action`]s come out of [`Core::next_action`]. The daemon, the scripted
//! scenarios and the decision bench drive the same code. One core serves one
//! pool, the endpoints of an availability zone that serve one model or service.
//!
//! The parts, in the order in which a request meets them:
//! - `queue` holds what waits, by tier, organisation and deadline;
//! - `shed` decides which waiting request yields under overload;
//! - `ready` keeps the endpoints with room in order, best first;
//! - `choose` picks the endpoint, by the estimates of `endpoint` and `prefix`,
//!   among those where `room` lets it;
//! - `limit`, `breaker` and `budget` protect endpoints from too much work;
//! - `learn` keeps the averages that the estimates rest on.
//!
//! See [decisions](../../../docs/decisions.md) for what was weighed.

mod breaker;
mod budget;
mod choose;
mod core;
mod endpoint;
mod event;
mod learn;
mod limit;
mod policy;
mod prefix;
mod queue;
mod ready;
mod room;
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
