//! The scheduling core: chooses when and where each request runs, and which one is refused.
//!
//! The core does no I/O, reads no clock and draws random numbers only from the seed
//! in [`Policy`], so the same events always give the same actions. A driver passes in
//! [`Event`]s through [`Core::handle`] and executes the [`Action`]s of
//! [`Core::next_action`]. The daemons, the scripted scenarios and the decision bench (the
//! example `decisions`) drive the same code. One core serves one pool, the endpoints that
//! serve one model or service; some of them may be in other availability zones.
//!
//! The room of an endpoint is the number of requests that this scheduler may have in flight
//! there at once. Its free room is the part that is not in use.
//!
//! Modules:
//! - `queue` holds waiting requests by tier, organisation and deadline;
//! - `shed` selects the waiting request to refuse or spill under overload;
//! - `ready` orders the endpoints with free room, best first;
//! - `choose` picks an endpoint by the estimates of `endpoint` and `prefix`, among
//!   those that `long_work` allows for the request;
//! - `limit`, `breaker` and `budget` protect endpoints that are overloaded or failing;
//! - `quarantine` finds prompts that crash endpoints;
//! - `self_report` keeps what endpoints say of themselves in answers, and `rate_share` divides
//!   their rate limits among the instances;
//! - `capacity` learns the speed of endpoints from the samples of several schedulers, by which
//!   interactive streams are placed;
//! - `learn` holds the moving averages behind the estimates.
//!
//! See [decisions](../../../docs/decisions.md) for the design alternatives.

mod breaker;
mod budget;
mod capacity;
mod choose;
mod core;
mod endpoint;
mod event;
mod learn;
mod limit;
mod long_work;
mod policy;
mod prefix;
mod quarantine;
mod queue;
mod rate_share;
mod ready;
mod self_report;
mod shed;

pub use crate::{
    capacity::{EndpointSpeed, PeerSpeeds, Prediction, SpeedSums, StreamCheck, StreamReport},
    core::{Core, Counts},
    event::{
        Action, Choice, Descriptor, Ending, EndpointKey, EndpointLoad, EndpointSpec, Event,
        FailedAt, KindId, LatencyGoal, LoadReport, Millis, OrgId, PrefixBlocks, PromptPart, Rank,
        Refusal, Speed, Ticket, WaitingCounts, Why,
    },
    policy::{Placement, Policy, TierPolicy},
    quarantine::{
        Block, CrashReport, Evidence, LASTING_ANSWER_MS, PartRecord, ProcessId, Quarantine, Reach,
        ReportedCrash,
    },
    rate_share::{RateShare, Sender, Senders},
    self_report::{RateLimitReport, SelfReport, SelfReportChanges, SelfReports},
};
