//! The settings of a core: tier floors for operators, and switches for the decision bench
//! (the example `decisions`).

use serde::{Deserialize, Serialize};

use crate::event::{Millis, Rank};

/// The rule for the choice of an endpoint; all but `Estimate` are baselines of the bench.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Endpoint with the best score by estimated times and predicted cached prefix.
    #[default]
    Estimate,
    /// Endpoint with the fewest requests in flight from this scheduler.
    LeastOutstanding,
    /// Less loaded of two random endpoints, by their last load reports.
    TwoChoices,
    /// Each endpoint in turn.
    RoundRobin,
    /// Endpoint with the highest rendezvous weight for the prompt's first block.
    Owner,
}

/// The capacity guaranteed to a tier while more urgent tiers are overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TierPolicy {
    /// Share of the pool's dispatched work, 0 to 1; the default is 0.05.
    pub floor: f64,
}

impl Default for TierPolicy {
    fn default() -> Self {
        Self { floor: 0.05 }
    }
}

/// Settings of a core. The daemons start from the defaults and override a few of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Rule for the choice of an endpoint.
    pub placement: Placement,
    /// Tier settings by rank; ranks beyond the end have the default.
    pub tiers: Vec<TierPolicy>,
    /// Whether requests wait in the core; otherwise each goes to an endpoint at once.
    pub queueing: bool,
    /// Whether organisations share a tier fairly; otherwise all count as one organisation.
    pub fair_share: bool,
    /// Whether a tier below its floor is served before more urgent ones.
    pub floors: bool,
    /// Whether some endpoints are reserved for short requests.
    pub room_for_short: bool,
    /// Whether in-flight limits adapt to latency, up to the configured slots; otherwise they
    /// equal the slots.
    pub adaptive_limit: bool,
    /// Whether failures and silence open the circuit breaker of an endpoint.
    pub breaker: bool,
    /// Whether the choice takes predicted cached prefixes into account.
    pub prefix_aware: bool,
    /// Whether the choice takes into account which cached blocks would be evicted.
    pub spare_hot_blocks: bool,
    /// Whether requests that can't be answered in time are refused.
    pub drop_late: bool,
    /// Whether requests are refused or spilled under overload.
    pub shedding: bool,
    /// Whether endpoints that are expected to answer too late are skipped.
    pub deadline_aware: bool,
    /// Estimated prefill and decode time above which a request counts as long, in milliseconds.
    pub long_service_ms: Millis,
    /// Estimated prefill time above which a prompt counts as long, in milliseconds.
    pub long_prefill_ms: Millis,
    /// Additional weight of prefill time in the score of an endpoint, in which the time to
    /// first token and the decode time have the weight 1.
    pub prefill_price: f64,
    /// Tokens in one block of a prompt.
    pub block_tokens: u32,
    /// Blocks that are predicted in the prefix caches of all endpoints together, at most; they share
    /// this equally if their caches are larger.
    pub max_prefix_blocks: usize,
    /// Seed of the random generator; the schedulers of a pool need different seeds, so that
    /// they don't choose alike.
    pub seed: u64,
    /// Whether a request is shed only if an estimate shows that it would be late for its caller.
    pub shed_only_late: bool,
    /// Whether interactive streams are placed by the learned capacity of the endpoints.
    pub endpoint_capacity: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            placement: Placement::Estimate,
            tiers: Vec::new(),
            queueing: true,
            fair_share: true,
            floors: true,
            room_for_short: true,
            adaptive_limit: true,
            breaker: true,
            prefix_aware: true,
            spare_hot_blocks: true,
            drop_late: true,
            shedding: true,
            deadline_aware: true,
            long_service_ms: 5_000.0,
            long_prefill_ms: 400.0,
            prefill_price: 8.0,
            block_tokens: 256,
            max_prefix_blocks: 1 << 20,
            seed: 1,
            shed_only_late: false,
            endpoint_capacity: true,
        }
    }
}

impl Policy {
    pub(crate) fn floor(&self, rank: Rank) -> f64 {
        self.tiers.get(usize::from(rank)).copied().unwrap_or_default().floor
    }
}
