//! Tracks the load and the quota use that the other instances report in their heartbeats.

use baobabvane_decide::{EndpointLoad, Event};
use rustc_hash::FxHashMap;

use super::placement::{QuotaCharge, id_hash};
use crate::{
    configuration::Organisation,
    peer::{ASSUMED_FLEET_SHARE, ASSUMED_FLEET_SIZE, PeerId, PeerState},
    quota::QuotaBucket,
};

/// The age after which a peer's reported load is discarded, in milliseconds; most of the
/// requests it covers have ended by then.
const PEER_LOAD_MAX_AGE_MS: f64 = 1_000.0;

/// How long after a change an organisation's total of admitted units is included in heartbeats,
/// in milliseconds. In a fleet of a hundred instances, every peer receives several heartbeats in
/// this time.
const ADMITTED_REPORT_MS: f64 = 5_000.0;

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    last_heartbeat_ms: f64,
    loads: Vec<(u32, EndpointLoad)>,
    admitted_totals: FxHashMap<u32, f64>,
}

/// The organisations' quota buckets, the state from each peer's latest heartbeat, and the
/// numbers of live and known instances.
#[derive(Debug)]
pub(super) struct FleetState {
    buckets: FxHashMap<u32, QuotaBucket>,
    peers: FxHashMap<PeerId, Peer>,
    live_share: f64,
    known_instances: u32,
    live_instances: u32,
    have_loads_changed: bool,
}

impl Default for FleetState {
    /// Returns the state to assume until the numbers of instances are first received.
    fn default() -> Self {
        Self {
            buckets: FxHashMap::default(),
            peers: FxHashMap::default(),
            live_share: ASSUMED_FLEET_SHARE,
            known_instances: ASSUMED_FLEET_SIZE,
            live_instances: 1,
            have_loads_changed: false,
        }
    }
}

impl FleetState {
    /// Applies the organisations' quotas; existing buckets keep their level.
    pub(super) fn configure(&mut self, organisations: &[Organisation], now: f64) {
        let mut kept = FxHashMap::default();
        for org in organisations {
            let Some(quota) = org.quota else { continue };
            let hash = id_hash(&org.name);
            let mut bucket =
                self.buckets.remove(&hash).unwrap_or_else(|| QuotaBucket::new(quota, now));
            bucket.set_quota(quota, now);
            bucket.set_live_share(self.live_share, now);
            kept.insert(hash, bucket);
        }
        self.buckets = kept;
    }

    /// Charges the organisation's quota, or returns the delay before a retry in milliseconds.
    /// Organisations without a quota are always admitted.
    pub(super) fn admit(&mut self, charge: &QuotaCharge, now: f64) -> Result<(), f64> {
        let age_ms = self.mean_age_ms(now);
        match self.buckets.get_mut(&id_hash(&charge.organisation.name)) {
            Some(bucket) => bucket.admit(charge.units, now, age_ms),
            None => Ok(()),
        }
    }

    /// Returns the mean age of the peers' latest heartbeats in milliseconds, ignoring those
    /// older than [`PEER_LOAD_MAX_AGE_MS`].
    fn mean_age_ms(&self, now: f64) -> f64 {
        let ages = self.peers.values().map(|p| (now - p.last_heartbeat_ms).max(0.0));
        let recent = ages.filter(|age| *age < PEER_LOAD_MAX_AGE_MS);
        let (sum, count) = recent.fold((0.0, 0.0), |(sum, count), age| (sum + age, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    pub(super) fn refund_quota(&mut self, charge: &QuotaCharge) {
        if let Some(bucket) = self.buckets.get_mut(&id_hash(&charge.organisation.name)) {
            bucket.refund(charge.units);
        }
    }

    /// Stores a peer's heartbeat and charges what the peer admitted since its previous one.
    pub(super) fn record_heartbeat(&mut self, state: PeerState, now: f64) {
        let previous =
            self.peers.remove(&state.peer).filter(|p| p.incarnation == state.incarnation);
        let mut admitted_totals = previous.map(|p| p.admitted_totals).unwrap_or_default();
        for (org, total) in state.local.admitted {
            // The first total from a peer can include hours of past use, so it is not charged.
            let Some(before) = admitted_totals.insert(org, total) else { continue };
            if let Some(bucket) = self.buckets.get_mut(&org) {
                bucket.charge_remote_use(total - before, now);
            }
        }
        let peer = Peer {
            incarnation: state.incarnation,
            last_heartbeat_ms: now,
            loads: state.local.loads,
            admitted_totals,
        };
        self.peers.insert(state.peer, peer);
        self.have_loads_changed = true;
    }

    pub(super) fn set_instance_counts(&mut self, live: u32, known: u32, now: f64) {
        self.known_instances = known.max(1);
        self.live_instances = live.max(1);
        self.live_share = f64::from(live.max(1)) / f64::from(self.known_instances);
        for bucket in self.buckets.values_mut() {
            bucket.set_live_share(self.live_share, now);
        }
    }

    /// Returns the event that tells a core this instance's share of the pool's capacity, which
    /// the live instances divide equally, and the mean age of the peers' latest heartbeats.
    pub(super) fn peers_updated_event(&self, now: f64) -> Event {
        Event::PeersUpdated {
            pool_share: 1.0 / f64::from(self.live_instances),
            mean_load_age_ms: self.mean_age_ms(now),
        }
    }

    /// Returns the number of instances that may be running, including this one.
    pub(super) fn known_instances(&self) -> u32 {
        self.known_instances
    }

    /// Returns the sum of the peers' loads for each endpoint, or `None` if no load changed
    /// since the last call.
    pub(super) fn take_changed_loads(&mut self, now: f64) -> Option<FxHashMap<u32, EndpointLoad>> {
        let before = self.peers.len();
        // A peer's admitted totals are kept when its load is discarded. Without them, what it
        // admitted until its next heartbeat would not be charged.
        self.peers.retain(|_, p| {
            now - p.last_heartbeat_ms < PEER_LOAD_MAX_AGE_MS || !p.admitted_totals.is_empty()
        });
        for peer in self.peers.values_mut() {
            if now - peer.last_heartbeat_ms >= PEER_LOAD_MAX_AGE_MS && !peer.loads.is_empty() {
                peer.loads.clear();
                self.have_loads_changed = true;
            }
        }
        if !std::mem::take(&mut self.have_loads_changed) && before == self.peers.len() {
            return None;
        }
        let mut sums: FxHashMap<u32, EndpointLoad> = FxHashMap::default();
        for (endpoint, load) in self.peers.values().flat_map(|p| &p.loads) {
            let sum = sums.entry(*endpoint).or_default();
            sum.requests += load.requests;
            sum.pending_prefill_tokens += load.pending_prefill_tokens;
        }
        Some(sums)
    }

    /// Returns the total that this instance admitted for each organisation whose total changed
    /// recently. Peers have already received the totals of the other organisations.
    pub(super) fn recently_admitted(&self, now: f64) -> Vec<(u32, f64)> {
        let recent =
            self.buckets.iter().filter(|(_, b)| b.has_changed_within(ADMITTED_REPORT_MS, now));
        recent.map(|(org, b)| (*org, b.admitted_total())).collect()
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

    fn fleet_with_two_instances(organisations: &[Organisation]) -> FleetState {
        let mut fleet = FleetState::default();
        fleet.configure(organisations, 0.0);
        fleet.set_instance_counts(2, 2, 0.0);
        fleet
    }

    fn organisation_with_quota() -> Organisation {
        let quota = Quota { unit: QuotaUnit::Requests, per_s: 0.0, burst: 100.0 };
        Organisation { quota: Some(quota), ..organisation("growers", "k1") }
    }

    fn heartbeat(admitted: &[(u32, f64)]) -> PeerState {
        let local = LocalState { loads: vec![], admitted: admitted.to_vec() };
        PeerState { peer: ([127, 0, 0, 1], 7600).into(), incarnation: 1, local }
    }

    #[test]
    fn only_recently_changed_totals_are_reported_and_none_is_charged_twice() {
        let rate = Quota { unit: QuotaUnit::Requests, per_s: 10.0, burst: 10.0 };
        let org = Organisation { quota: Some(rate), ..organisation_with_quota() };
        let mut fleet = fleet_with_two_instances(&[org.clone(), organisation("menders", "k2")]);
        let charge = QuotaCharge { organisation: Rc::new(org), units: 4.0 };
        assert!(fleet.admit(&charge, 1_000.0).is_ok());
        let hash = id_hash("growers");
        assert_eq!(fleet.recently_admitted(1_000.0), [(hash, 4.0)]);
        assert_eq!(fleet.recently_admitted(7_000.0), []);
        // The first total is not charged; a later increase is charged exactly once.
        fleet.record_heartbeat(heartbeat(&[(hash, 1_000_000.0)]), 7_000.0);
        fleet.record_heartbeat(heartbeat(&[(hash, 1_000_010.0)]), 7_000.0);
        assert!(fleet.admit(&charge, 7_010.0).is_err());
        fleet.record_heartbeat(heartbeat(&[]), 7_100.0);
        fleet.record_heartbeat(heartbeat(&[(hash, 1_000_010.0)]), 8_000.0);
        assert!(fleet.admit(&charge, 8_500.0).is_ok());
    }
}
