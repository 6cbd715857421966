//! What the scheduler knows of the other instances: their load and their use.

use baobabvane_decide::{EndpointLoad, Event};
use rustc_hash::FxHashMap;

use super::order::{Usage, id_hash};
use crate::{
    configuration::Organisation,
    peer::{ASSUMED_FLEET_SHARE, ASSUMED_FLEET_SIZE, PeerId, PeerState},
    quota::Bucket,
};

/// A peer's word on its load is dropped after this time, in milliseconds; by then
/// most of what it had in flight is done.
const LOAD_MAX_AGE_MS: f64 = 1_000.0;

/// How long a total is told again after it changed, in milliseconds: some rounds of
/// heartbeats in a fleet of a hundred instances.
const TOLD_MS: f64 = 5_000.0;

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    heard_at_ms: f64,
    loads: Vec<(u32, EndpointLoad)>,
    admitted: FxHashMap<u32, f64>,
}

/// Quotas and the other instances' states.
#[derive(Debug)]
pub(super) struct Fleet {
    buckets: FxHashMap<u32, Bucket>,
    peers: FxHashMap<PeerId, Peer>,
    share: f64,
    known: u32,
    heard: u32,
    are_loads_changed: bool,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            buckets: FxHashMap::default(),
            peers: FxHashMap::default(),
            share: ASSUMED_FLEET_SHARE,
            known: ASSUMED_FLEET_SIZE,
            heard: 1,
            are_loads_changed: false,
        }
    }
}

impl Fleet {
    /// Puts the organisations' quotas in force; levels of known ones are kept.
    pub(super) fn configure(&mut self, organisations: &[Organisation], now: f64) {
        let mut kept = FxHashMap::default();
        for org in organisations {
            let Some(quota) = org.quota else { continue };
            let hash = id_hash(&org.name);
            let mut bucket = self.buckets.remove(&hash).unwrap_or_else(|| Bucket::new(quota, now));
            bucket.set_quota(quota, now);
            bucket.set_share(self.share, now);
            kept.insert(hash, bucket);
        }
        self.buckets = kept;
    }

    pub(super) fn admit(&mut self, usage: &Usage, now: f64) -> Result<(), f64> {
        let age_ms = self.mean_age_ms(now);
        match self.buckets.get_mut(&id_hash(&usage.organisation.name)) {
            Some(bucket) => bucket.admit(usage.units, now, age_ms),
            None => Ok(()),
        }
    }

    /// Returns how old the other instances' words are on average.
    fn mean_age_ms(&self, now: f64) -> f64 {
        let ages = self.peers.values().map(|p| (now - p.heard_at_ms).max(0.0));
        let heard = ages.filter(|age| *age < LOAD_MAX_AGE_MS);
        let (sum, count) = heard.fold((0.0, 0.0), |(sum, count), age| (sum + age, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    pub(super) fn give_back(&mut self, usage: &Usage) {
        if let Some(bucket) = self.buckets.get_mut(&id_hash(&usage.organisation.name)) {
            bucket.give_back(usage.units);
        }
    }

    /// Takes in a heartbeat; what the sender admitted since its last one is charged.
    pub(super) fn heard_from(&mut self, state: PeerState, now: f64) {
        let known = self.peers.remove(&state.peer).filter(|p| p.incarnation == state.incarnation);
        let mut admitted = known.map(|p| p.admitted).unwrap_or_default();
        for (org, total) in state.local.admitted {
            // The first total that is heard can hold the use of hours; it is not charged.
            let Some(before) = admitted.insert(org, total) else { continue };
            if let Some(bucket) = self.buckets.get_mut(&org) {
                bucket.used_elsewhere(total - before, now);
            }
        }
        let peer = Peer {
            incarnation: state.incarnation,
            heard_at_ms: now,
            loads: state.local.loads,
            admitted,
        };
        self.peers.insert(state.peer, peer);
        self.are_loads_changed = true;
    }

    pub(super) fn set_heard(&mut self, heard: u32, known: u32, now: f64) {
        self.known = known.max(1);
        self.heard = heard.max(1);
        self.share = f64::from(heard.max(1)) / f64::from(self.known);
        for bucket in self.buckets.values_mut() {
            bucket.set_share(self.share, now);
        }
    }

    /// Returns what the cores need to know of the other instances.
    pub(super) fn others(&self, now: f64) -> Event {
        Event::PeersUpdated {
            pool_share: 1.0 / f64::from(self.heard),
            mean_load_age_ms: self.mean_age_ms(now),
        }
    }

    /// Returns how many instances the fleet may have.
    pub(super) fn instances(&self) -> u32 {
        self.known
    }

    /// Adds up the other instances' loads when any has changed.
    pub(super) fn changed_loads(&mut self, now: f64) -> Option<FxHashMap<u32, EndpointLoad>> {
        let before = self.peers.len();
        self.peers.retain(|_, p| now - p.heard_at_ms < LOAD_MAX_AGE_MS || !p.admitted.is_empty());
        for peer in self.peers.values_mut() {
            if now - peer.heard_at_ms >= LOAD_MAX_AGE_MS && !peer.loads.is_empty() {
                peer.loads.clear();
                self.are_loads_changed = true;
            }
        }
        if !std::mem::take(&mut self.are_loads_changed) && before == self.peers.len() {
            return None;
        }
        let mut sums: FxHashMap<u32, EndpointLoad> = FxHashMap::default();
        for (endpoint, load) in self.peers.values().flat_map(|p| &p.loads) {
            let sum = sums.entry(*endpoint).or_default();
            sum.requests += load.requests;
            sum.unread_tokens += load.unread_tokens;
        }
        Some(sums)
    }

    /// Returns what this instance ever admitted, by organisation, of those whose total
    /// changed lately; the others' totals are known everywhere.
    pub(super) fn admitted(&self, now: f64) -> Vec<(u32, f64)> {
        let fresh = self.buckets.iter().filter(|(_, b)| b.is_fresh(TOLD_MS, now));
        fresh.map(|(org, b)| (*org, b.admitted())).collect()
    }
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use super::*;
    use crate::{
        configuration::{Quota, QuotaUnit},
        peer::LocalState,
        testing::organisation,
    };

    fn fleet(organisations: &[Organisation]) -> Fleet {
        let mut fleet = Fleet::default();
        fleet.configure(organisations, 0.0);
        fleet.set_heard(2, 2, 0.0);
        fleet
    }

    fn growers() -> Organisation {
        let quota = Quota { unit: QuotaUnit::Requests, per_s: 0.0, burst: 100.0 };
        Organisation { quota: Some(quota), ..organisation("growers", "k1") }
    }

    fn heard(admitted: &[(u32, f64)]) -> PeerState {
        let local = LocalState { loads: vec![], admitted: admitted.to_vec() };
        PeerState { peer: ([127, 0, 0, 1], 7600).into(), incarnation: 1, local }
    }

    #[test]
    fn only_totals_that_changed_lately_are_told_and_none_is_charged_twice() {
        let rate = Quota { unit: QuotaUnit::Requests, per_s: 10.0, burst: 10.0 };
        let org = Organisation { quota: Some(rate), ..growers() };
        let mut fleet = fleet(&[org.clone(), organisation("menders", "k2")]);
        let usage = Usage { organisation: Rc::new(org), units: 4.0 };
        assert!(fleet.admit(&usage, 1_000.0).is_ok());
        let hash = id_hash("growers");
        assert_eq!(fleet.admitted(1_000.0), [(hash, 4.0)]);
        assert_eq!(fleet.admitted(7_000.0), []);
        // The use of hours before is not charged, what comes on top is, and that once.
        fleet.heard_from(heard(&[(hash, 1_000_000.0)]), 7_000.0);
        fleet.heard_from(heard(&[(hash, 1_000_010.0)]), 7_000.0);
        assert!(fleet.admit(&usage, 7_010.0).is_err());
        fleet.heard_from(heard(&[]), 7_100.0);
        fleet.heard_from(heard(&[(hash, 1_000_010.0)]), 8_000.0);
        assert!(fleet.admit(&usage, 8_500.0).is_ok());
    }
}
