//! Selects the waiting request to refuse or spill under overload, strictly from the least
//! urgent tier.
//!
//! A tier is overloaded if the estimated wait takes too much of its callers' patience.
//! Its own requests are refused only when nothing less urgent is waiting. Less urgent
//! requests are refused first, except for those that their floor will dispatch shortly,
//! and none are admitted meanwhile. See
//! [shedding](../../../docs/decisions.md#shedding).

use crate::{
    event::{Millis, Rank, Ticket},
    learn::Average,
    queue::Queue,
};

/// Shedding for a tier starts when its wait exceeds this share of its callers' patience.
const HIGH_WATER_SHARE: f64 = 0.5;
/// Shedding stops when the wait has fallen to this share.
const LOW_WATER_SHARE: f64 = 0.35;
/// Less urgent requests are spared until [`FLOOR_DRAIN_MS`] if the floor of their tier can
/// dispatch them in this time.
const FLOOR_LOOKAHEAD_MS: Millis = 500.0;
/// Time from the start of an overload after which less urgent requests are shed even if the
/// floor of their tier would dispatch them.
const FLOOR_DRAIN_MS: Millis = 1_000.0;
/// Time after a tier was shed during which nothing less urgent is admitted.
const ADMISSION_HOLD_MS: Millis = 2.0;
/// Waiting requests of a pool above which the least urgent tier is shed, whatever the estimates.
pub(crate) const MAX_WAITING: usize = 20_000;

/// The state of the pool that shedding depends on.
pub(crate) struct PoolState<'a> {
    pub(crate) queue: &'a Queue,
    /// Estimated milliseconds of engine time that the pool completes in a millisecond.
    pub(crate) capacity: f64,
    /// Returns the share of the dispatched work, 0 to 1, that is guaranteed to a tier.
    pub(crate) tier_floor: &'a dyn Fn(Rank) -> f64,
    pub(crate) now: Millis,
}

/// A tier that is overloaded or was shed, and since when.
#[derive(Clone, Copy, Debug)]
struct TierSince {
    rank: Rank,
    since: Millis,
}

/// Decides which waiting request is shed, which means refused or spilled, under overload.
#[derive(Debug, Default)]
pub(crate) struct Shedder {
    patience: Vec<Average>,
    overload: Option<TierSince>,
    /// The tier that was shed last; a less urgent one doesn't replace it within
    /// [`ADMISSION_HOLD_MS`].
    last_shed: Option<TierSince>,
}

impl Shedder {
    /// Updates the mean time that the callers of a tier are ready to wait, in milliseconds.
    pub(crate) fn record_patience(&mut self, rank: Rank, patience: Millis) {
        let index = usize::from(rank);
        while self.patience.len() <= index {
            self.patience.push(Average::new(patience, 0.02));
        }
        self.patience[index].add(patience);
    }

    /// Returns whether new requests of a tier are refused because a more urgent one is
    /// overloaded or was just shed.
    pub(crate) fn blocks_admission(&self, rank: Rank, now: Millis) -> bool {
        let overloaded = self.overload.is_some_and(|tier| rank > tier.rank);
        let shed = self
            .last_shed
            .is_some_and(|tier| rank > tier.rank && now - tier.since <= ADMISSION_HOLD_MS);
        overloaded || shed
    }

    /// Records that a request of the tier was shed.
    pub(crate) fn record_shed(&mut self, rank: Rank, now: Millis) {
        match self.last_shed {
            Some(last) if last.rank < rank && now - last.since <= ADMISSION_HOLD_MS => {}
            _ => self.last_shed = Some(TierSince { rank, since: now }),
        }
    }

    /// Returns the next request to shed, if the pool is overloaded.
    pub(crate) fn next_victim(&mut self, pool: &PoolState<'_>) -> Option<Ticket> {
        let Some(rank) = self.overloaded_tier(pool) else {
            self.overload = None;
            return None;
        };
        let overload = match self.overload {
            Some(tier) if tier.rank == rank => tier,
            _ => TierSince { rank, since: pool.now },
        };
        self.overload = Some(overload);
        let drain_time_is_over = pool.now - overload.since > FLOOR_DRAIN_MS;
        // Only the least urgent waiting tier may be shed, whichever tier is overloaded.
        let lowest = pool.queue.ranks().next_back()?;
        let may_shed = lowest == rank || drain_time_is_over || self.is_over_floor(pool, lowest);
        if may_shed { pool.queue.victim(lowest) } else { None }
    }

    /// Estimates how long a new request of the tier would wait, in milliseconds.
    pub(crate) fn estimated_wait(pool: &PoolState<'_>, rank: Rank) -> Millis {
        if pool.capacity <= 0.0 {
            return 0.0;
        }
        pool.queue.cost_up_to(rank) / pool.capacity
    }

    fn overloaded_tier(&self, pool: &PoolState<'_>) -> Option<Rank> {
        let over = pool.queue.ranks().find(|&rank| {
            let limit = self.shed_threshold(rank) * self.patience_of(rank);
            Self::estimated_wait(pool, rank) > limit
        });
        match over {
            None if pool.queue.len() > MAX_WAITING => pool.queue.ranks().next_back(),
            over => over,
        }
    }

    fn shed_threshold(&self, rank: Rank) -> f64 {
        match self.overload {
            Some(tier) if tier.rank == rank => LOW_WATER_SHARE,
            _ => HIGH_WATER_SHARE,
        }
    }

    fn is_over_floor(&self, pool: &PoolState<'_>, rank: Rank) -> bool {
        let allowed = (pool.tier_floor)(rank) * pool.capacity * FLOOR_LOOKAHEAD_MS;
        pool.queue.tier_len(rank) > 1 && pool.queue.tier_cost(rank) > allowed
    }

    fn patience_of(&self, rank: Rank) -> Millis {
        self.patience.get(usize::from(rank)).map_or(f64::INFINITY, Average::get)
    }
}
