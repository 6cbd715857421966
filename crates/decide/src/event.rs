//! The events that a driver passes to the core, and the actions that the core returns.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use smallvec::SmallVec;

use crate::{RateShare, SpeedSums, StreamReport};

new_key_type! {
    /// Identifies an endpoint within one core; the driver allocates it.
    pub struct EndpointKey;
}

/// Milliseconds: a point in time since the driver's start, or a duration.
pub type Millis = f64;

/// A tier's rank; 0 is the most urgent.
pub type Rank = u8;

/// Identifies a request; the driver allocates it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Identifies an organisation; the driver allocates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrgId(pub u64);

/// Identifies a part of a prompt by the hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptPart(pub u32);

/// Identifies a group of requests, such as a route, whose answers have similar lengths; the
/// driver allocates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindId(pub u32);

/// Hashes of a prompt's blocks; each hash also covers all earlier blocks.
pub type PrefixBlocks = SmallVec<[u64; 8]>;

/// The properties of a request that the core schedules by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Rank of the request's tier.
    pub rank: Rank,
    /// Organisation that sent the request.
    pub org: OrgId,
    /// Fair-share weight of the organisation within the tier; 0 counts as 1.
    pub weight: u32,
    /// Group of requests for which the core learns an average answer length.
    pub kind: KindId,
    /// Prompt length in tokens; 0 for a service that isn't a model.
    pub prompt_tokens: u32,
    /// Expected answer length in tokens, used until the core has learned the average
    /// answer length of the requests with the same `kind`.
    pub answer_tokens: u32,
    /// Whether `answer_tokens` was given for this very request; it then overrides the average
    /// answer length of the requests with the same `kind`.
    pub has_length_hint: bool,
    /// Latency goal of a streamed answer, if the route has one.
    pub goal: Option<LatencyGoal>,
    /// Hashes of the prompt's blocks, for the prediction of cached prefixes.
    pub prefix: PrefixBlocks,
    /// Time at which the caller stops waiting for the complete answer.
    pub deadline: Millis,
    /// Whether the driver will send [`Event::FirstToken`] for the request.
    pub reports_first_token: bool,
    /// Endpoints at which earlier dispatches failed. A retry avoids them if it can, and takes
    /// from the retry budget.
    pub failed_at: FailedAt,
}

impl Descriptor {
    /// Returns the time at which the caller leaves if no token has arrived.
    pub(crate) fn caller_leaves_at(&self) -> Millis {
        self.goal.map_or(self.deadline, |goal| goal.caller_leaves_at.min(self.deadline))
    }
}

/// Times that a streamed answer has to meet to be useful to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyGoal {
    /// Time by which the first token is due.
    pub first_token_by: Millis,
    /// Longest acceptable gap between two parts of the answer, in milliseconds.
    pub max_gap_ms: Millis,
    /// Time at which the caller leaves if nothing has arrived.
    pub caller_leaves_at: Millis,
}

impl LatencyGoal {
    /// The longest gap target of an interactive stream, in milliseconds.
    const MAX_INTERACTIVE_GAP_MS: Millis = 400.0;

    /// Returns whether the caller follows the answer as it is written, so that each gap is noticed;
    /// see [interactive streams](../../../docs/uneven-load.md).
    pub fn is_interactive(&self) -> bool {
        self.max_gap_ms > 0.0 && self.max_gap_ms <= Self::MAX_INTERACTIVE_GAP_MS
    }
}

/// Endpoints at which a request has failed.
pub type FailedAt = SmallVec<[EndpointKey; 2]>;

/// The configured properties of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// Requests that the endpoint can serve at once.
    pub slots: u32,
    /// Size of the prefix cache in blocks; 0 if the endpoint has none.
    pub cache_blocks: u32,
    /// Whether the endpoint is in another availability zone than the scheduler.
    pub is_in_other_zone: bool,
}

/// A load report of an endpoint, which may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests at the endpoint, from all senders.
    pub requests: u32,
    /// Age of the report on arrival, in milliseconds.
    pub age_ms: Millis,
}

/// The load that one or more schedulers put on an endpoint, by their own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests in flight at the endpoint.
    pub requests: u32,
    /// Prompt tokens of these requests whose prefill isn't finished.
    pub pending_prefill_tokens: u32,
}

/// Speed estimates of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Part of the time to first token that doesn't depend on the prompt, in milliseconds.
    pub base_ms: Millis,
    /// Prefill time for one prompt token, in milliseconds.
    pub prefill_ms_per_token: Millis,
    /// Decode time for one answer token, in milliseconds.
    pub decode_ms_per_token: Millis,
}

impl Default for Speed {
    /// Returns the estimates used before anything is learned.
    fn default() -> Self {
        Self { base_ms: 20.0, prefill_ms_per_token: 0.2, decode_ms_per_token: 25.0 }
    }
}

/// The result of a dispatched request, as far as it concerns the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The complete answer arrived.
    Complete {
        /// Length of the answer in tokens.
        answer_tokens: u32,
    },
    /// The endpoint failed.
    Failed,
    /// The endpoint didn't run the request or its connection went silent; this doesn't count
    /// as a failure of the endpoint.
    Lost,
    /// The caller left.
    Cancelled,
}

/// Numbers of waiting requests by tier.
pub type WaitingCounts = SmallVec<[(Rank, u32); 4]>;

/// An input of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    Offer(Ticket, Descriptor),
    /// A request is already at an endpoint, dispatched by another scheduler.
    Adopt(Ticket, EndpointKey, Descriptor),
    /// The caller of a waiting request left.
    Withdraw(Ticket),
    /// The first token of a dispatched request arrived.
    FirstToken(Ticket),
    /// A dispatched request ended.
    End(Ticket, Ending),
    /// An endpoint may receive requests from now on, or its properties changed.
    EndpointJoined(EndpointKey, EndpointSpec),
    /// An endpoint must not receive new requests.
    EndpointLeaving(EndpointKey),
    /// An endpoint is gone, with all requests in flight there.
    EndpointGone(EndpointKey),
    /// An endpoint reported its load.
    LoadReported(EndpointKey, LoadReport),
    /// An endpoint wants no request of this scheduler until then.
    PauseRequested(EndpointKey, Millis),
    /// The part of an endpoint's rate limit that this scheduler may use changed; `None` if the
    /// endpoint has no limit.
    RateShared(EndpointKey, Option<RateShare>),
    /// The summed load of all other schedulers at an endpoint changed.
    PeerLoadUpdated(EndpointKey, EndpointLoad),
    /// The set of schedulers that share the pool, or the age of their loads, changed.
    PeersUpdated {
        /// Share of the pool's room, 0 to 1, up to which this scheduler uses any free slot;
        /// beyond that, it leaves some free slots to the others.
        pool_share: f64,
        /// Mean age of the loads received from the others, in milliseconds.
        mean_load_age_ms: Millis,
        /// Requests that wait at the others, by tier in ascending rank.
        waiting: WaitingCounts,
    },
    /// An endpoint cached blocks; these events may be late or missing.
    CacheStored(EndpointKey, PrefixBlocks),
    /// An endpoint evicted cached blocks; these events may be late or missing.
    CacheEvicted(EndpointKey, PrefixBlocks),
    /// The number of requests that may still be spilled to other availability zones changed.
    NeighbourRoomUpdated(u32),
    /// Time has passed; the driver sends it periodically.
    Tick,
    /// A stream will end; sent before its [`Event::End`].
    StreamReported(Ticket, StreamReport),
    /// The summed samples of all other schedulers of the zone at an endpoint changed.
    PeerSpeedUpdated(EndpointKey, SpeedSums),
}

/// The reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The pool is overloaded by more urgent or earlier requests.
    Load,
    /// The answer can no longer arrive in time.
    Late,
    /// No endpoint is available.
    NoEndpoint,
    /// The pool's retry budget is exhausted.
    RetryBudget,
}

/// The inputs of a decision, shown by `baobabvanectl explain`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Why {
    /// Time that the request had waited, in milliseconds.
    pub waited_ms: Millis,
    /// Requests that were waiting in the same tier.
    pub waiting_in_tier: u32,
    /// Requests that were waiting in less urgent tiers.
    pub waiting_below: u32,
    /// Estimated wait of a new request in the tier, in milliseconds.
    pub tier_wait_ms: Millis,
    /// Requests in flight at the pool's endpoints.
    pub in_flight: u32,
    /// Requests that this scheduler may have in flight at all endpoints together, including
    /// those already in flight.
    pub room: u32,
    /// Time until an endpoint lets requests through again, in milliseconds, if the request was
    /// refused because none does at present; otherwise 0.
    #[serde(default)]
    pub endpoint_wait_ms: Millis,
}

/// The endpoint chosen for a request, with the estimates for it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The endpoint to send the request to.
    pub endpoint: EndpointKey,
    /// Estimated time to first token, in milliseconds.
    pub first_token_ms: Millis,
    /// Prompt tokens expected to be in the endpoint's cache.
    pub cached_tokens: u32,
}

/// An output of the core, which the driver has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the endpoint now.
    Dispatch(Ticket, Choice, Why),
    /// Tell the caller that the request was refused and didn't run.
    Refuse(Ticket, Refusal, Why),
    /// Offer the request to another availability zone.
    Spill(Ticket, Why),
}
