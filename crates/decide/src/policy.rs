//! What operators and the bench may set.

use serde::{Deserialize, Serialize};

use crate::event::{Millis, Rank};

/// How an endpoint is chosen; all but `Estimate` are baselines of the bench.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Least estimated time, with the expected cached prefix.
    #[default]
    Estimate,
    /// Least requests of our own in flight.
    LeastOutstanding,
    /// The less loaded of two random endpoints, by their last reports.
    TwoChoices,
    /// One after the other.
    RoundRobin,
    /// Each prefix has one endpoint by rendezvous weight.
    Owner,
}

/// What a tier keeps while a more urgent one floods.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TierPolicy {
    /// Share of the pool's dispatched work, 0 to 1.
    pub floor: f64,
}

impl Default for TierPolicy {
    fn default() -> Self {
        Self { floor: 0.05 }
    }
}

/// Switches and constants of the core; the defaults are what the daemon runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How an endpoint is chosen.
    pub placement: Placement,
    /// By rank; missing ranks have the default.
    pub tiers: Vec<TierPolicy>,
    /// Whether work waits in the core; without, it goes to an endpoint at once.
    pub queueing: bool,
    /// Whether organisations share a tier fairly; without, first come first served.
    pub fair_share: bool,
    /// Whether less urgent tiers keep their floor.
    pub floors: bool,
    /// Whether long work is kept off some endpoints.
    pub room_for_short: bool,
    /// Whether in-flight limits adapt.
    pub adaptive_limit: bool,
    /// Whether the breaker opens.
    pub breaker: bool,
    /// Whether cached prefixes count in the choice.
    pub prefix_aware: bool,
    /// Whether a choice counts what the endpoint's cache would have to drop.
    pub spare_hot_blocks: bool,
    /// Whether requests that cannot meet their deadline are refused.
    pub drop_late: bool,
    /// Whether overload sheds.
    pub shedding: bool,
    /// Whether endpoints that would answer too late are passed over.
    pub deadline_aware: bool,
    /// A request that takes longer than this on an endpoint is long, in milliseconds.
    pub long_service_ms: Millis,
    /// A prompt that takes longer than this to read is long, in milliseconds.
    pub long_prefill_ms: Millis,
    /// How many milliseconds of wait a millisecond of repeated prefill is worth.
    pub prefill_price: f64,
    /// Tokens in one block of a prefix.
    pub block_tokens: u32,
    /// Seed of what is drawn at random; each scheduler of a pool needs its own.
    pub seed: u64,
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
            seed: 1,
        }
    }
}

impl Policy {
    /// Returns the floor of a tier, as a share of dispatched work.
    pub(crate) fn floor(&self, rank: Rank) -> f64 {
        self.tiers.get(usize::from(rank)).copied().unwrap_or_default().floor
    }
}
