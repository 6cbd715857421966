//! Which instances there are and which of them are heard, without socket or clock.

use std::collections::BTreeMap;

use super::{
    ASSUMED_FLEET_SIZE, LocalState, PeerId,
    beat::{Freshness, Heartbeat},
};
use crate::knowledge::Versions;

/// A heartbeat goes to so many peers of the own availability zone, which share its
/// endpoints, and to so many others; in larger fleets they take turns.
const SAME_ZONE_FAN_OUT: usize = 24;
const OTHER_ZONE_FAN_OUT: usize = 8;
/// A peer from which nothing came for this many of its turns is not heard.
const MAX_MISSED_HEARTBEATS: u64 = 8;
/// The time between two heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// A peer that was not heard for this long is taken to be gone for good; it has to
/// be longer than any pause or cut after which a process goes on.
const PEER_EXPIRY_MS: u64 = 30_000;
/// Peers that are named in one heartbeat.
const MAX_NAMED_PEERS: usize = 4;

/// What a heartbeat brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// It is the newest of its sender.
    New,
    /// It is our own, or older than one that was received before.
    Stale,
}

#[derive(Debug)]
struct Peer {
    /// The largest incarnation and counter; `None` until it is heard.
    latest_heartbeat: Option<(u64, u64)>,
    /// Whether it is in our availability zone.
    is_same_zone: bool,
    /// When it was heard, or first named, in milliseconds.
    last_seen_at_ms: u64,
    versions: Versions,
    /// When it reached the store, in milliseconds of our time.
    store_read_at_ms: Option<u64>,
}

/// The instances that are known.
#[derive(Debug)]
pub(super) struct Roster {
    own: PeerId,
    zone: u32,
    incarnation: u64,
    counter: u64,
    is_leaving: bool,
    /// Whether all registered instances are known.
    knows_all_registered: bool,
    /// An instance that heard from the store within this time is taken to reach it.
    max_store_read_age_ms: u64,
    peers: BTreeMap<PeerId, Peer>,
    round: usize,
}

impl Roster {
    pub(super) fn new(
        own: PeerId,
        zone: u32,
        incarnation: u64,
        max_store_read_age_ms: u64,
    ) -> Self {
        Self {
            own,
            zone,
            incarnation,
            counter: 0,
            is_leaving: false,
            knows_all_registered: false,
            max_store_read_age_ms,
            peers: BTreeMap::new(),
            round: 0,
        }
    }

    /// Notes instances that may be there.
    pub(super) fn add_peers(&mut self, peers: &[PeerId], now_ms: u64) {
        for peer in peers.iter().filter(|p| **p != self.own) {
            let peer_state = Peer {
                latest_heartbeat: None,
                is_same_zone: false,
                last_seen_at_ms: now_ms,
                versions: Versions::default(),
                store_read_at_ms: None,
            };
            self.peers.entry(*peer).or_insert(peer_state);
        }
    }

    /// Notes all instances that ever registered.
    pub(super) fn add_registered_peers(&mut self, peers: &[PeerId], now_ms: u64) {
        self.add_peers(peers, now_ms);
        self.knows_all_registered = true;
    }

    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
    }

    pub(super) fn receive(&mut self, heartbeat: &Heartbeat, now_ms: u64) -> Received {
        if heartbeat.from == self.own {
            return Received::Stale;
        }
        self.add_peers(&heartbeat.heard_peers, now_ms);
        self.add_peers(&[heartbeat.from], now_ms);
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else { return Received::Stale };
        let is_same_incarnation =
            peer.latest_heartbeat.is_some_and(|(i, _)| i == heartbeat.incarnation);
        if is_same_incarnation && peer.latest_heartbeat.is_some_and(|(_, c)| heartbeat.counter <= c)
        {
            return Received::Stale;
        }
        peer.latest_heartbeat = Some((heartbeat.incarnation, heartbeat.counter));
        peer.last_seen_at_ms = now_ms;
        peer.is_same_zone = heartbeat.zone == self.zone;
        peer.versions = heartbeat.freshness.versions;
        peer.store_read_at_ms =
            heartbeat.freshness.store_read_age_ms.map(|age| now_ms.saturating_sub(age));
        if heartbeat.is_leaving {
            self.peers.remove(&heartbeat.from);
        }
        Received::New
    }

    /// Returns the next heartbeat and those to whom it goes.
    pub(super) fn next_heartbeat(
        &mut self,
        local: LocalState,
        freshness: Freshness,
        now_ms: u64,
    ) -> (Heartbeat, Vec<PeerId>) {
        self.peers.retain(|_, p| now_ms.saturating_sub(p.last_seen_at_ms) < PEER_EXPIRY_MS);
        self.counter += 1;
        let heard =
            self.peers.iter().filter(|(_, p)| p.latest_heartbeat.is_some()).map(|(id, _)| *id);
        let offset = self.counter as usize % self.peers.len().max(1);
        let heartbeat = Heartbeat {
            from: self.own,
            zone: self.zone,
            incarnation: self.incarnation,
            counter: self.counter,
            is_leaving: self.is_leaving,
            freshness,
            local,
            heard_peers: heard.skip(offset).take(MAX_NAMED_PEERS).collect(),
        };
        (heartbeat, self.next_targets())
    }

    fn next_targets(&mut self) -> Vec<PeerId> {
        let round = self.round;
        self.round = round.wrapping_add(1);
        let rotate_peers = |is_same_zone: bool, max_count: usize| {
            let all: Vec<PeerId> = self
                .peers
                .iter()
                .filter(|(_, p)| p.is_same_zone == is_same_zone)
                .map(|(id, _)| *id)
                .collect();
            let count = all.len().min(max_count);
            (0..count).map(|i| all[(round * count + i) % all.len()]).collect::<Vec<PeerId>>()
        };
        let mut to = rotate_peers(true, SAME_ZONE_FAN_OUT);
        to.extend(rotate_peers(false, OTHER_ZONE_FAN_OUT));
        to
    }

    /// Returns how many instances are heard and how many there may be, this one included.
    ///
    /// Instances that are named and not heard yet may be there, and use quotas.
    pub(super) fn counts(&self, now_ms: u64) -> (u32, u32) {
        let live = self.peers.values().filter(|p| self.is_live(p, now_ms)).count();
        let known = self.peers.len() as u32 + 1;
        let known = if self.knows_all_registered { known } else { known.max(ASSUMED_FLEET_SIZE) };
        (live as u32 + 1, known)
    }

    /// Returns how many peers that are heard and reach the store come before this
    /// instance; all instances that hear the same agree on the order.
    pub(super) fn watcher_rank(&self, now_ms: u64) -> u32 {
        let reaches_store = |p: &Peer| {
            p.store_read_at_ms
                .is_some_and(|at| now_ms.saturating_sub(at) < self.max_store_read_age_ms)
        };
        let before = self.peers.range(..self.own).map(|(_, p)| p);
        before.filter(|p| self.is_live(p, now_ms) && reaches_store(p)).count() as u32
    }

    /// Returns a peer that knows something newer, chosen by `draw` out of 0 to 1.
    pub(super) fn random_peer_ahead_of(
        &self,
        own: Versions,
        now_ms: u64,
        draw: f64,
    ) -> Option<PeerId> {
        let live = self.peers.iter().filter(|(_, p)| self.is_live(p, now_ms));
        let ahead: Vec<PeerId> =
            live.filter(|(_, p)| p.versions.is_ahead_of(own)).map(|(id, _)| *id).collect();
        ahead.get((draw * ahead.len() as f64) as usize).copied()
    }

    fn is_live(&self, peer: &Peer, now_ms: u64) -> bool {
        let rounds = self.peers.len().div_ceil(OTHER_ZONE_FAN_OUT).max(1) as u64;
        peer.latest_heartbeat.is_some()
            && now_ms.saturating_sub(peer.last_seen_at_ms)
                < MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_MS * rounds
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(port: u16) -> PeerId {
        ([127, 0, 0, 1], port).into()
    }

    fn roster(port: u16) -> Roster {
        Roster::new(id(port), u32::from(port % 2), u64::from(port), 1_500)
    }

    fn heartbeat(from: &mut Roster, configuration: u64) -> Heartbeat {
        let versions = Versions { configuration, ..Versions::default() };
        let freshness = Freshness { versions, store_read_age_ms: Some(0), ..Freshness::default() };
        from.next_heartbeat(LocalState::default(), freshness, 0).0
    }

    #[test]
    fn unknown_sender_becomes_a_peer_and_names_others() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        let from_a = heartbeat(&mut a, 0);
        b.receive(&from_a, 0);
        let from_b = heartbeat(&mut b, 0);
        c.receive(&from_b, 0);
        assert_eq!(c.counts(0), (2, ASSUMED_FLEET_SIZE));
        c.add_registered_peers(&[id(1), id(2), id(3)], 0);
        // The first one may be there, and was not heard.
        assert_eq!(c.counts(0), (2, 3));
        let (_, to) = c.next_heartbeat(LocalState::default(), Freshness::default(), 0);
        assert_eq!(to, [id(1), id(2)]);
    }

    #[test]
    fn stale_and_repeated_heartbeats_are_ignored() {
        let (mut a, mut b) = (roster(1), roster(2));
        let (first, second) = (heartbeat(&mut a, 0), heartbeat(&mut a, 0));
        assert_eq!(b.receive(&second, 0), Received::New);
        assert_eq!(b.receive(&first, 0), Received::Stale);
        assert_eq!(b.receive(&second, 0), Received::Stale);
        let mut restarted = Roster::new(id(1), 1, 99, 1_500);
        assert_eq!(b.receive(&heartbeat(&mut restarted, 0), 0), Received::New);
    }

    #[test]
    fn silent_peer_counts_until_it_expires_and_a_leaving_one_does_not() {
        let (mut a, mut b) = (roster(1), roster(2));
        b.add_registered_peers(&[], 0);
        b.receive(&heartbeat(&mut a, 0), 0);
        assert_eq!(b.counts(500), (2, 2));
        assert_eq!(b.counts(2_000), (1, 2));
        a.leave();
        b.receive(&heartbeat(&mut a, 0), 2_000);
        assert_eq!(b.counts(2_000), (1, 1));
    }

    #[test]
    fn watcher_rank_counts_only_peers_that_reach_the_store() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        let from_b = b.next_heartbeat(LocalState::default(), Freshness::default(), 0).0;
        c.receive(&heartbeat(&mut a, 0), 0);
        c.receive(&from_b, 0);
        assert_eq!((a.watcher_rank(0), c.watcher_rank(0)), (0, 1));
        // A peer that lost the store says so, and one that is silent is not waited for.
        let lost = a.next_heartbeat(LocalState::default(), Freshness::default(), 0).0;
        c.receive(&lost, 0);
        assert_eq!(c.watcher_rank(0), 0);
        c.receive(&heartbeat(&mut a, 0), 0);
        assert_eq!((c.watcher_rank(700), c.watcher_rank(1_600)), (1, 0));
    }

    #[test]
    fn peer_with_a_newer_configuration_is_ahead() {
        let (mut a, mut b) = (roster(1), roster(2));
        b.receive(&heartbeat(&mut a, 5), 0);
        let own = |configuration| Versions { configuration, ..Versions::default() };
        assert_eq!(b.random_peer_ahead_of(own(4), 0, 0.9), Some(id(1)));
        assert_eq!(b.random_peer_ahead_of(own(5), 0, 0.9), None);
    }
}
