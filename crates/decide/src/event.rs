//! What the core is told and what it answers.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use smallvec::SmallVec;

new_key_type! {
    /// Names an endpoint inside one core.
    pub struct EndpointKey;
}

/// Milliseconds since the driver's start; the core compares and subtracts them.
pub type Millis = f64;

/// A tier's rank; 0 is the most urgent.
pub type Rank = u8;

/// Names a request; drawn by the driver and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Names an organisation, from the driver's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrgId(pub u64);

/// Names a kind of work, from the driver's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindId(pub u32);

/// Hashes of a prompt's blocks; each covers all blocks before it.
pub type PrefixBlocks = SmallVec<[u64; 8]>;

/// All that the core knows of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Descriptor {
    /// The tier's rank.
    pub rank: Rank,
    /// Who sent it.
    pub org: OrgId,
    /// The organisation's share against the others'.
    pub weight: u32,
    /// What kind of work it is; the core learns answer lengths by it.
    pub kind: KindId,
    /// Length of the prompt, in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Expected length of the answer, in tokens, until the kind's is learned.
    pub answer_tokens: u32,
    /// Whether the expected length is about this request, and better than the kind's.
    pub has_length_hint: bool,
    /// When the answer has to begin to be worth most, where that is known.
    pub goal: Option<LatencyGoal>,
    /// Hashes of the prompt's blocks.
    pub prefix: PrefixBlocks,
    /// When the caller stops waiting for the answer's end.
    pub deadline: Millis,
    /// Whether the driver will tell when the answer begins.
    pub reports_first_token: bool,
    /// Where earlier dispatches failed; a repeat goes elsewhere and has a budget.
    pub failed_at: FailedAt,
}

impl Descriptor {
    /// Returns when the caller leaves if no token has come.
    pub(crate) fn caller_leaves_at(&self) -> Millis {
        self.goal.map_or(self.deadline, |goal| goal.caller_leaves_at.min(self.deadline))
    }
}

/// What makes an answer timely.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyGoal {
    /// When the first token has to come.
    pub first_token_by: Millis,
    /// The longest pause between pieces of the answer.
    pub max_gap_ms: Millis,
    /// When the caller leaves if nothing has come.
    pub caller_leaves_at: Millis,
}

/// Endpoints at which a request has failed.
pub type FailedAt = SmallVec<[EndpointKey; 2]>;

/// What an endpoint is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// The most requests that it is sent at once.
    pub slots: u32,
    /// How many blocks its prefix cache holds; 0 when it has none.
    pub cache_blocks: u32,
    /// Whether it is in another availability zone.
    pub is_in_other_zone: bool,
}

/// An endpoint's word on its load; it lags.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the endpoint, from all senders.
    pub requests: u32,
    /// How old the report was when it came.
    pub age_ms: Millis,
}

/// What other schedulers have at an endpoint, as they say themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Their requests in flight.
    pub requests: u32,
    /// Prompt tokens of these that are not read yet.
    pub unread_tokens: u32,
}

/// How fast an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Time to the first token that does not depend on the prompt.
    pub base_ms: Millis,
    /// Time to read a token of the prompt.
    pub prefill_ms_per_token: Millis,
    /// Time to write a token of the answer.
    pub decode_ms_per_token: Millis,
}

impl Default for Speed {
    /// Returns what is taken for granted before anything is learned.
    fn default() -> Self {
        Self { base_ms: 20.0, prefill_ms_per_token: 0.2, decode_ms_per_token: 25.0 }
    }
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The whole answer came; its length in tokens.
    Complete {
        /// Length of the answer.
        answer_tokens: u32,
    },
    /// The endpoint failed.
    Failed,
    /// The connection went silent, which does not speak against the endpoint.
    Lost,
    /// The caller went away.
    Cancelled,
}

/// What the driver tells the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request came in.
    Offer(Ticket, Descriptor),
    /// A request is already at an endpoint, sent there by another scheduler.
    Adopt(Ticket, EndpointKey, Descriptor),
    /// The caller of a waiting request went away.
    Withdraw(Ticket),
    /// The first token of a dispatched request came.
    FirstToken(Ticket),
    /// A dispatched request ended.
    End(Ticket, Ending),
    /// An endpoint may receive work, or its spec changed.
    EndpointJoined(EndpointKey, EndpointSpec),
    /// An endpoint must receive no new work.
    EndpointLeaving(EndpointKey),
    /// An endpoint is gone, with all that it worked on.
    EndpointGone(EndpointKey),
    /// An endpoint reported its load.
    LoadReported(EndpointKey, LoadReport),
    /// Other schedulers said what they have at an endpoint.
    PeerLoadUpdated(EndpointKey, EndpointLoad),
    /// There are other schedulers.
    PeersUpdated {
        /// The part of the pool that this scheduler may take for its own, 0 to 1.
        pool_share: f64,
        /// How old what the others said of their loads is on average.
        mean_load_age_ms: Millis,
    },
    /// An endpoint's cache now holds blocks; late and with gaps.
    CacheStored(EndpointKey, PrefixBlocks),
    /// An endpoint's cache dropped blocks; late and with gaps.
    CacheDropped(EndpointKey, PrefixBlocks),
    /// Another availability zone can take this many requests.
    NeighbourRoomUpdated(u32),
    /// Time has passed.
    Tick,
}

/// Why a request is not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// More urgent or earlier work takes all there is.
    Load,
    /// The answer cannot come before the deadline any more.
    Late,
    /// No endpoint may receive work.
    NoEndpoint,
    /// The pool's retries are spent.
    RetryBudget,
}

/// The inputs of a decision, for `baobabvanectl explain`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Why {
    /// How long the request had waited.
    pub waited_ms: Millis,
    /// Requests that waited in the same tier.
    pub waiting_in_tier: u32,
    /// Requests that waited in less urgent tiers.
    pub waiting_below: u32,
    /// Estimated wait of the tier.
    pub tier_wait_ms: Millis,
    /// Requests in flight at the pool's endpoints.
    pub in_flight: u32,
    /// Requests that the endpoints may have in flight now.
    pub room: u32,
}

/// The endpoint that was chosen, with its estimate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Estimated time to the first token.
    pub first_token_ms: Millis,
    /// Prompt tokens that its cache is expected to hold.
    pub cached_tokens: u32,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the endpoint now.
    Dispatch(Ticket, Choice, Why),
    /// Tell the caller that the request did not run.
    Refuse(Ticket, Refusal, Why),
    /// Offer the request to another availability zone.
    Spill(Ticket, Why),
}
