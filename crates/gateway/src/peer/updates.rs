//! Tells which of an instance's state is an update that other availability zones should get at once.
//!
//! An item of state is an update if no peer has told it. An instance that was told does not repeat it
//! as an update: its normal heartbeats pass it on, and otherwise a whole fleet would send updates
//! for each change.

use std::hash::{Hash, Hasher};

use baobabvane_decide::{CrashReport, RateLimitReport};
use rustc_hash::{FxHashSet, FxHasher};

use super::{LocalState, heartbeat::Freshness};
use crate::knowledge::Versions;

/// The number of heartbeats that carry an update to more peers. With 8 peers each, at least one
/// reaches each zone of the largest fleets if one datagram in ten is lost.
const UPDATE_ROUNDS: u32 = 5;
/// The number of items after which the older half is forgotten, a multiple of what reports of
/// crashes and of rate limits name in rotation.
const MAX_ITEMS: usize = 4_096;

/// The items that this instance knows, and for how long the latest of its own is an update.
#[derive(Debug, Default)]
pub(super) struct Updates {
    versions: Versions,
    reaches_store: bool,
    /// The hashes of the items seen lately, and of those before.
    items: [FxHashSet<u64>; 2],
    rounds_left: u32,
}

impl Updates {
    /// Records the state that a peer told.
    pub(super) fn record_told(&mut self, versions: Versions, local: &LocalState) {
        self.advance_versions(versions);
        for item in items(local) {
            self.insert(item);
        }
    }

    /// Records the state that the next heartbeat reports, and returns whether it is to be sent as
    /// an update.
    pub(super) fn next_round(&mut self, freshness: &Freshness, local: &LocalState) -> bool {
        let reaches_store = freshness.store_read_age_ms.is_some();
        let mut is_update = self.advance_versions(freshness.versions);
        is_update |= std::mem::replace(&mut self.reaches_store, reaches_store) != reaches_store;
        for item in items(local) {
            is_update |= self.insert(item);
        }
        if is_update {
            self.rounds_left = UPDATE_ROUNDS;
        }
        let is_sent = self.rounds_left > 0;
        self.rounds_left = self.rounds_left.saturating_sub(1);
        is_sent
    }

    /// Returns whether either version is newer than those known before.
    fn advance_versions(&mut self, versions: Versions) -> bool {
        let is_newer = versions.is_ahead_of(self.versions);
        self.versions = Versions {
            configuration: self.versions.configuration.max(versions.configuration),
            endpoints: self.versions.endpoints.max(versions.endpoints),
            orders: self.versions.orders.max(versions.orders),
        };
        is_newer
    }

    /// Returns whether the item was not known.
    fn insert(&mut self, item: u64) -> bool {
        let is_new = !self.items.iter().any(|items| items.contains(&item));
        if self.items[0].len() >= MAX_ITEMS / 2 {
            self.items.swap(0, 1);
            self.items[0].clear();
        }
        self.items[0].insert(item);
        is_new
    }
}

/// Returns a hash of each item of the state that is an update when it is new. Ages are left out, as
/// they differ in each heartbeat.
fn items(local: &LocalState) -> impl Iterator<Item = u64> + '_ {
    let CrashReport { evidence, working } = &local.crash_report;
    let crashes = evidence.iter().flat_map(|evidence| {
        evidence.crashes.iter().map(|crash| hash((0, evidence.part, crash.process)))
    });
    let answered = evidence.iter().filter(|evidence| evidence.lasting_age_ms.is_some());
    let answered = answered.map(|evidence| hash((1, evidence.part)));
    let working = working.iter().map(|(process, _)| hash((2, *process)));
    let limits = local.rate_limits.iter().map(|limit| {
        let RateLimitReport { endpoint, per_s, generation } = *limit;
        hash((3, endpoint, per_s.map(f32::to_bits), generation))
    });
    let rollouts =
        local.rollouts.iter().map(|report| hash((4, report.order, report.phase, report.is_bad)));
    crashes.chain(answered).chain(working).chain(limits).chain(rollouts)
}

fn hash(item: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    item.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use baobabvane_decide::ProcessId;

    use super::*;

    fn limit(generation: u32) -> LocalState {
        let report = RateLimitReport { endpoint: ProcessId(1), per_s: Some(4.0), generation };
        LocalState { rate_limits: vec![report], ..LocalState::default() }
    }

    fn freshness(configuration: u64, store_read_age_ms: Option<u64>) -> Freshness {
        let versions = Versions { configuration, ..Versions::default() };
        Freshness { versions, store_read_age_ms, ..Freshness::default() }
    }

    /// Guards against a fleet in which each instance sends as an update what it was told.
    #[test]
    fn only_what_no_peer_has_told_is_an_update() {
        let (mut told, mut origin) = (Updates::default(), Updates::default());
        told.record_told(freshness(3, None).versions, &limit(1));
        assert!(!told.next_round(&freshness(3, None), &limit(1)));
        let rounds = (0..9).filter(|_| origin.next_round(&freshness(3, None), &limit(1))).count();
        assert_eq!(rounds, UPDATE_ROUNDS as usize);
        assert!(origin.next_round(&freshness(3, None), &limit(2)));
        assert!(told.next_round(&freshness(4, None), &limit(1)));
    }

    #[test]
    fn loss_and_gain_of_the_store_are_updates_and_its_reads_are_not() {
        let mut updates = Updates::default();
        let mut is_update = |age| {
            let is_update = updates.next_round(&freshness(0, age), &LocalState::default());
            updates.rounds_left = 0;
            is_update
        };
        let ages = [None, Some(400), Some(500), Some(0), None, None];
        assert_eq!(ages.map(&mut is_update), [false, true, false, false, true, false]);
    }
}
