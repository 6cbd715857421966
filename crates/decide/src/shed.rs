//! Which waiting request yields under overload, in the strictest order.
//!
//! A tier is overloaded when its requests would wait longer than their callers.
//! Before any of them is refused, nothing less urgent may be waiting: what is
//! less urgent is refused first, but for what its floor will dispatch within a
//! moment, and nothing less urgent is admitted meanwhile. See
//! [shedding](../../../docs/decisions.md#shedding).

use crate::{
    event::{Millis, Rank, Ticket},
    learn::Average,
    queue::Queue,
};

/// A tier sheds when its wait is over this share of its callers' patience.
const HIGH_WATER_SHARE: f64 = 0.5;
/// It sheds down to this share.
const LOW_WATER_SHARE: f64 = 0.35;
/// Less urgent work that its floor dispatches in this time is let through.
const FLOOR_WINDOW_MS: Millis = 500.0;
/// Less urgent work that was not dispatched in this time is refused after all.
const FLOOR_DRAIN_MS: Millis = 1_000.0;
/// Nothing less urgent is admitted for this long after a tier was shed.
const ADMISSION_HOLD_MS: Millis = 2.0;
/// No more requests wait in one pool, whatever the estimates say.
const MAX_WAITING: usize = 20_000;

/// What the shedder is told of the pool.
pub(crate) struct PoolState<'a> {
    pub(crate) queue: &'a Queue,
    /// Estimated engine time that the pool works off in a millisecond.
    pub(crate) capacity: f64,
    pub(crate) floor: &'a dyn Fn(Rank) -> f64,
    pub(crate) now: Millis,
}

/// An overload that is being dealt with.
#[derive(Clone, Copy, Debug)]
struct Overload {
    rank: Rank,
    since: Millis,
}

/// Decides who yields.
#[derive(Debug, Default)]
pub(crate) struct Shedder {
    patience: Vec<Average>,
    overload: Option<Overload>,
    /// The tier that was shed last.
    last_shed: Option<Overload>,
}

impl Shedder {
    /// Learns how long the callers of a tier wait.
    pub(crate) fn record_patience(&mut self, rank: Rank, patience: Millis) {
        let index = usize::from(rank);
        while self.patience.len() <= index {
            self.patience.push(Average::new(patience, 0.02));
        }
        self.patience[index].add(patience);
    }

    /// Says whether offers of a tier are refused until more urgent work has been shed.
    pub(crate) fn blocks_admission(&self, rank: Rank, now: Millis) -> bool {
        let overloaded = self.overload.is_some_and(|e| rank > e.rank);
        let shed =
            self.last_shed.is_some_and(|e| rank > e.rank && now - e.since <= ADMISSION_HOLD_MS);
        overloaded || shed
    }

    /// Notes that a request of the tier was refused for load.
    pub(crate) fn record_shed(&mut self, rank: Rank, now: Millis) {
        match self.last_shed {
            Some(e) if e.rank < rank && now - e.since <= ADMISSION_HOLD_MS => {}
            _ => self.last_shed = Some(Overload { rank, since: now }),
        }
    }

    /// Returns the next request that has to yield.
    pub(crate) fn next_victim(&mut self, pool: &PoolState<'_>) -> Option<Ticket> {
        let Some(rank) = self.overloaded_tier(pool) else {
            self.overload = None;
            return None;
        };
        let overload = match self.overload {
            Some(e) if e.rank == rank => e,
            _ => Overload { rank, since: pool.now },
        };
        self.overload = Some(overload);
        let drain_time_is_over = pool.now - overload.since > FLOOR_DRAIN_MS;
        // Only the least urgent tier that waits may yield, whoever is overloaded.
        let lowest = pool.queue.ranks().next_back()?;
        let yields = lowest == rank || drain_time_is_over || self.is_over_floor(pool, lowest);
        if yields { pool.queue.victim(lowest) } else { None }
    }

    /// Estimates how long a new request of the tier would wait.
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
            Some(e) if e.rank == rank => LOW_WATER_SHARE,
            _ => HIGH_WATER_SHARE,
        }
    }

    fn is_over_floor(&self, pool: &PoolState<'_>, rank: Rank) -> bool {
        let allowed = (pool.floor)(rank) * pool.capacity * FLOOR_WINDOW_MS;
        pool.queue.tier_len(rank) > 1 && pool.queue.tier_cost(rank) > allowed
    }

    fn patience_of(&self, rank: Rank) -> Millis {
        self.patience.get(usize::from(rank)).map_or(f64::INFINITY, Average::get)
    }
}
