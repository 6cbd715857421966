//! What the scheduler knows of the other instances: their load and their use.

use baobabvane_decide::Elsewhere;
use rustc_hash::FxHashMap;

use super::order::{Usage, id_hash};
use crate::{
    configuration::Organisation,
    peer::{PeerId, PeerState, UNJOINED, UNJOINED_SHARE},
    quota::Bucket,
};

/// A peer's word on its load is dropped after this time, in milliseconds; by then
/// most of what it had in flight is done.
const LOAD_MAX_AGE_MS: f64 = 1_000.0;

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    heard_at_ms: f64,
    loads: Vec<(u32, Elsewhere)>,
    admitted: FxHashMap<u32, f64>,
}

/// Quotas and the other instances' states.
#[derive(Debug)]
pub(super) struct Fleet {
    buckets: FxHashMap<u32, Bucket>,
    peers: FxHashMap<PeerId, Peer>,
    share: f64,
    known: u32,
    are_loads_changed: bool,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            buckets: FxHashMap::default(),
            peers: FxHashMap::default(),
            share: UNJOINED_SHARE,
            known: UNJOINED,
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
        let admitted: FxHashMap<u32, f64> = state.local.admitted.into_iter().collect();
        let known = self.peers.get(&state.peer).filter(|p| p.incarnation == state.incarnation);
        if let Some(known) = known {
            for (org, total) in &admitted {
                let before = known.admitted.get(org).copied().unwrap_or_default();
                if let Some(bucket) = self.buckets.get_mut(org) {
                    bucket.used_elsewhere(total - before, now);
                }
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
        self.share = f64::from(heard.max(1)) / f64::from(self.known);
        for bucket in self.buckets.values_mut() {
            bucket.set_share(self.share, now);
        }
    }

    /// Returns how many instances the fleet may have.
    pub(super) fn instances(&self) -> u32 {
        self.known
    }

    /// Adds up the other instances' loads when any has changed.
    pub(super) fn changed_loads(&mut self, now: f64) -> Option<FxHashMap<u32, Elsewhere>> {
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
        let mut sums: FxHashMap<u32, Elsewhere> = FxHashMap::default();
        for (endpoint, load) in self.peers.values().flat_map(|p| &p.loads) {
            let sum = sums.entry(*endpoint).or_default();
            sum.requests += load.requests;
            sum.unread_tokens += load.unread_tokens;
        }
        Some(sums)
    }

    /// Returns what this instance ever admitted, by organisation.
    pub(super) fn admitted(&self) -> Vec<(u32, f64)> {
        self.buckets.iter().map(|(org, b)| (*org, b.admitted())).collect()
    }
}
