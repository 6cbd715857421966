//! Tracks the instances of the fleet and which of them are live.
//!
//! It opens no socket and reads no clock. Unless a peer announces that it is leaving, it stays
//! known for [`PEER_EXPIRY_MS`] after its last heartbeat, since it may still use quotas.

use std::collections::BTreeMap;

use baobabvane_decide::{Sender, Senders};

use super::{
    ASSUMED_FLEET_SIZE, LocalState, PeerId,
    heartbeat::{Freshness, Heartbeat, StoreReader},
    updates::Updates,
};
use crate::{knowledge::Versions, scheduler::peer_hash};

/// The number of peers in the sender's availability zone that receive each heartbeat; they
/// prefer the same endpoints as the sender. Peers are selected in rotation.
const SAME_ZONE_FAN_OUT: usize = 24;
/// The number of peers in other availability zones that receive each heartbeat, in rotation.
/// Peers whose zone is not known yet are counted among them.
const OTHER_ZONE_FAN_OUT: usize = 8;
/// The number of peers in other availability zones that receive each heartbeat of an interactive
/// configuration without an update, unless more are needed for [`MAX_TURN_ROUNDS`].
const MIN_OTHER_ZONE_FAN_OUT: usize = 2;
/// The number of heartbeats in which each peer of another zone gets one, in fleets whose size allows
/// it with [`OTHER_ZONE_FAN_OUT`]. Fleets of 295 have had turns of 3 s, and all guarantees hold in
/// them.
const MAX_TURN_ROUNDS: usize = 30;
/// One of this many heartbeats to other zones has evidence of crashes and rate limits; updates always
/// have them. An instance hears each other zone 6 to 13 times a second.
const EVIDENCE_ROUNDS: u64 = 4;
/// The number of heartbeats in which an instance that leaves tells all peers, since no other
/// instance passes it on. With 3, one of 295 did not hear it within 0.5 s when one datagram in ten was
/// lost.
const LEAVING_ROUNDS: u32 = 5;
/// Another zone is no longer live when none of its instances was heard for this many turns. Turns
/// are longer than computed if the processor is busy.
const MAX_SILENT_ZONE_TURNS: u64 = 2;
/// A peer is no longer live when it has missed this many of its turns to send to this instance.
const MAX_MISSED_HEARTBEATS: u64 = 8;
/// The time between two heartbeats of an instance.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// A peer without a heartbeat for this long is removed. It has to be longer than any process
/// pause or network partition after which the peer resumes.
const PEER_EXPIRY_MS: u64 = 30_000;
/// The maximum number of entries in [`Heartbeat::heard_peers`].
const MAX_HEARD_PEERS: usize = 4;
/// The maximum number of entries in [`Heartbeat::store_readers`]; one more than the number of
/// watchers, so that the next one to take over is known, too.
const MAX_STORE_READERS: usize = 3;

/// Whether a received heartbeat is newer than the previous ones of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// The heartbeat is the newest one of its sender.
    New,
    /// The heartbeat is this instance's own, or no newer than the latest one of
    /// the same incarnation.
    Stale,
}

#[derive(Debug)]
struct Peer {
    /// The incarnation and counter of the newest heartbeat; `None` before the first one.
    latest_heartbeat: Option<(u64, u64)>,
    /// The incarnation before the one of the newest heartbeat; its heartbeats may arrive late.
    earlier_incarnation: Option<u64>,
    /// The hash of its availability zone; `None` before the first heartbeat.
    zone: Option<u32>,
    /// The requests per second that callers lately sent to it.
    demand_per_s: f32,
    /// The time of the newest heartbeat; before the first one, the time at which the peer was
    /// added.
    last_seen_at_ms: u64,
    /// The incarnation and counter of the newest heartbeat that this instance or one that told it
    /// has received.
    heard: Option<(u64, u64)>,
    /// The incarnation before the one in `heard`; late reports of it do not count.
    heard_before: Option<u64>,
    /// The time at which `heard` last changed. What is told again does not count, so that reports
    /// which instances pass on to each other do not outlive the peer.
    heard_at_ms: u64,
    /// The number of the last heartbeat that was sent to its present incarnation as to a peer of
    /// another zone; 0 if none was.
    told_round: u64,
    versions: Versions,
    /// The time of its last read of the store, converted to this instance's clock.
    store_read_at_ms: Option<u64>,
    /// The time at which the peer itself reported that it does not reach the store. Reads before
    /// it that other instances report no longer count.
    store_lost_at_ms: Option<u64>,
}

/// Up to when a peer counts as one that reaches the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReaderLimits {
    /// The age of its last read of the store, in milliseconds.
    pub(super) max_read_age_ms: u64,
    /// The time without a sign of life from it, in milliseconds. It is shorter, as an instance that
    /// is gone tells nobody that it no longer reads.
    pub(super) max_silence_ms: u64,
}

impl Peer {
    /// Records a heartbeat of the peer that this instance has received.
    fn hear(&mut self, heartbeat: (u64, u64), now_ms: u64) {
        if let Some((heard, _)) = self.heard.filter(|(heard, _)| *heard != heartbeat.0) {
            self.heard_before = Some(heard);
        }
        self.heard = Some(heartbeat);
        self.heard_at_ms = now_ms;
    }

    /// Records a heartbeat of the peer that another instance has received; returns whether it is
    /// newer than those before.
    fn hear_report(&mut self, heartbeat: (u64, u64), now_ms: u64) -> bool {
        let (incarnation, counter) = heartbeat;
        let is_newer = match self.heard {
            Some((heard, last)) if heard == incarnation => counter > last,
            _ => self.heard_before != Some(incarnation),
        };
        if is_newer {
            self.hear(heartbeat, now_ms);
        }
        is_newer
    }
}

/// The peers that are known, and the next heartbeat to send.
#[derive(Debug)]
pub(super) struct Roster {
    own: PeerId,
    zone: u32,
    incarnation: u64,
    counter: u64,
    is_leaving: bool,
    /// The requests per second that callers sent to this instance, as of its last heartbeat.
    demand_per_s: f32,
    /// Whether the list of registered instances has been received.
    knows_all_registered: bool,
    limits: ReaderLimits,
    peers: BTreeMap<PeerId, Peer>,
    /// The number of heartbeats sent, which selects the receivers of the next one.
    round: usize,
    /// Whether the configuration is interactive, so that less is sent to other zones.
    is_interactive: bool,
    updates: Updates,
    /// The number of heartbeats that still tell all peers that this instance leaves.
    leaving_rounds_left: u32,
}

/// The peers that receive a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Receivers {
    /// Those that get the full heartbeat.
    pub(super) full: Vec<PeerId>,
    /// Those that get the compact heartbeat, ordered by zone.
    pub(super) compact: Vec<CompactReceiver>,
    /// Whether the compact heartbeat contains evidence of crashes and rate limits.
    pub(super) has_evidence: bool,
}

#[cfg(test)]
impl Receivers {
    pub(super) fn all(&self) -> impl Iterator<Item = PeerId> {
        self.full.iter().copied().chain(self.compact.iter().map(|receiver| receiver.peer))
    }
}

/// A peer that receives a compact heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CompactReceiver {
    /// The hash of the name of its zone.
    pub(super) zone: u32,
    pub(super) peer: PeerId,
}

impl Roster {
    pub(super) fn new(own: PeerId, zone: u32, incarnation: u64, limits: ReaderLimits) -> Self {
        Self {
            own,
            zone,
            incarnation,
            counter: 0,
            is_leaving: false,
            demand_per_s: 0.0,
            knows_all_registered: false,
            limits,
            peers: BTreeMap::new(),
            // A random start, as otherwise all instances of a fleet would send to the same peers
            // at the same time, and each would hear nothing in between.
            round: incarnation as u32 as usize,
            is_interactive: false,
            updates: Updates::default(),
            leaving_rounds_left: 0,
        }
    }

    /// Sets whether the configuration is interactive.
    pub(super) fn set_interactive(&mut self, is_interactive: bool) {
        self.is_interactive = is_interactive;
    }

    pub(super) fn is_in_own_zone(&self, peer: PeerId) -> bool {
        self.peers.get(&peer).is_some_and(|p| p.zone == Some(self.zone))
    }

    /// Adds addresses of possible peers; those that are known already are unchanged.
    pub(super) fn add_peers(&mut self, peers: &[PeerId], now_ms: u64) {
        for peer in peers.iter().filter(|p| **p != self.own) {
            let peer_state = Peer {
                latest_heartbeat: None,
                earlier_incarnation: None,
                zone: None,
                demand_per_s: 0.0,
                last_seen_at_ms: now_ms,
                heard: None,
                heard_before: None,
                heard_at_ms: now_ms,
                told_round: 0,
                versions: Versions::default(),
                store_read_at_ms: None,
                store_lost_at_ms: None,
            };
            self.peers.entry(*peer).or_insert(peer_state);
        }
    }

    /// Adds the peers that ever registered in the store; from now on the known instances are
    /// counted as they are, without the minimum [`ASSUMED_FLEET_SIZE`].
    pub(super) fn add_registered_peers(&mut self, peers: &[PeerId], now_ms: u64) {
        self.add_peers(peers, now_ms);
        self.knows_all_registered = true;
    }

    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
        self.leaving_rounds_left = LEAVING_ROUNDS;
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
        if peer.earlier_incarnation == Some(heartbeat.incarnation) {
            return Received::Stale;
        }
        if !is_same_incarnation {
            peer.earlier_incarnation = peer.latest_heartbeat.map(|(incarnation, _)| incarnation);
            peer.told_round = 0;
        }
        peer.latest_heartbeat = Some((heartbeat.incarnation, heartbeat.counter));
        peer.last_seen_at_ms = now_ms;
        peer.hear((heartbeat.incarnation, heartbeat.counter), now_ms);
        peer.zone = Some(heartbeat.zone);
        peer.demand_per_s = heartbeat.local.demand_per_s;
        peer.versions = heartbeat.freshness.versions;
        peer.store_read_at_ms =
            heartbeat.freshness.store_read_age_ms.map(|age| now_ms.saturating_sub(age));
        if peer.store_read_at_ms.is_none() {
            peer.store_lost_at_ms = Some(now_ms);
        }
        self.updates.record_told(heartbeat.freshness.versions, &heartbeat.local);
        self.record_store_readers(&heartbeat.store_readers, now_ms);
        if heartbeat.is_leaving {
            self.peers.remove(&heartbeat.from);
        }
        Received::New
    }

    /// Records the store reads that another instance reports of its peers.
    fn record_store_readers(&mut self, readers: &[StoreReader], now_ms: u64) {
        for reader in readers {
            self.add_peers(&[reader.peer], now_ms);
            let read_at_ms = now_ms.saturating_sub(reader.read_age_ms);
            let Some(peer) = self.peers.get_mut(&reader.peer) else { continue };
            if !peer.hear_report(reader.heartbeat, now_ms) {
                continue;
            }
            peer.zone = peer.zone.or(Some(reader.zone));
            if peer.store_lost_at_ms.is_none_or(|lost| read_at_ms > lost) {
                peer.store_read_at_ms = peer.store_read_at_ms.max(Some(read_at_ms));
            }
        }
    }

    /// Returns the first instances, in the order of watchers, that reach the store, this one
    /// included.
    fn store_readers(&self, own_read_age_ms: Option<u64>, now_ms: u64) -> Vec<StoreReader> {
        let own = own_read_age_ms.map(|read_age_ms| StoreReader {
            peer: self.own,
            zone: self.zone,
            heartbeat: (self.incarnation, self.counter),
            read_age_ms,
        });
        let reaching = self.peers.iter().filter(|(_, p)| self.reaches_store(p, now_ms));
        let peers = reaching.filter_map(|(id, p)| {
            let read_age_ms = now_ms.saturating_sub(p.store_read_at_ms?);
            Some(StoreReader { peer: *id, zone: p.zone?, heartbeat: p.heard?, read_age_ms })
        });
        let mut readers: Vec<StoreReader> = peers.chain(own).collect();
        sort_as_watchers(&mut readers, |reader| (reader.peer, Some(reader.zone)));
        readers.truncate(MAX_STORE_READERS);
        readers
    }

    /// Returns the next heartbeat and its receivers, and removes expired peers.
    pub(super) fn next_heartbeat(
        &mut self,
        local: LocalState,
        freshness: Freshness,
        now_ms: u64,
    ) -> (Heartbeat, Receivers) {
        self.peers.retain(|_, p| now_ms.saturating_sub(p.last_seen_at_ms) < PEER_EXPIRY_MS);
        self.counter += 1;
        self.demand_per_s = local.demand_per_s;
        let is_update = self.updates.next_round(&freshness, &local);
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
            heard_peers: heard.skip(offset).take(MAX_HEARD_PEERS).collect(),
            store_readers: self.store_readers(freshness.store_read_age_ms, now_ms),
        };
        (heartbeat, self.next_receivers(is_update))
    }

    fn next_receivers(&mut self, is_update: bool) -> Receivers {
        let round = self.round;
        self.round = (round + 1) % (u32::MAX as usize);
        let rotate_peers = |is_selected: &dyn Fn(&Peer) -> bool, max_count: usize| {
            let all: Vec<PeerId> =
                self.peers.iter().filter(|(_, p)| is_selected(p)).map(|(id, _)| *id).collect();
            let count = all.len().min(max_count);
            (0..count).map(|i| all[(round * count + i) % all.len()]).collect::<Vec<PeerId>>()
        };
        let is_in_own_zone = |p: &Peer| p.zone == Some(self.zone);
        let mut full = rotate_peers(&is_in_own_zone, SAME_ZONE_FAN_OUT);
        if !self.is_interactive {
            full.extend(rotate_peers(&|p| !is_in_own_zone(p), OTHER_ZONE_FAN_OUT));
            return Receivers { full, ..Receivers::default() };
        }
        full.extend(rotate_peers(&|p| p.zone.is_none(), OTHER_ZONE_FAN_OUT));
        let others = self.peers.values().filter(|p| p.zone.is_some_and(|zone| zone != self.zone));
        let untold = others.clone().filter(|p| p.told_round == 0).count();
        let others = others.count();
        // What begins to run hears the others as soon as with full heartbeats.
        let mut fan_out = match is_update {
            true => OTHER_ZONE_FAN_OUT,
            false => calm_fan_out(others).max(untold.min(OTHER_ZONE_FAN_OUT)),
        };
        if self.leaving_rounds_left > 0 {
            self.leaving_rounds_left -= 1;
            full =
                self.peers.iter().filter(|(_, p)| is_in_own_zone(p)).map(|(id, _)| *id).collect();
            fan_out = others;
        }
        let has_evidence = is_update || is_evidence_turn(self.counter);
        Receivers { full, compact: self.least_recently_told(fan_out), has_evidence }
    }

    /// Returns the peers of other zones that were told least recently, and records that they are told
    /// with this heartbeat.
    ///
    /// Of peers that were told equally long ago, zones alternate in proportion to their size, so that
    /// an update reaches each of them. Within a zone, the order is another one at each instance, so
    /// that instances do not tell the same peer at the same time.
    fn least_recently_told(&mut self, count: usize) -> Vec<CompactReceiver> {
        let mut zones: BTreeMap<u32, Vec<(u32, PeerId)>> = BTreeMap::new();
        for (id, peer) in &self.peers {
            if let Some(zone) = peer.zone.filter(|zone| *zone != self.zone) {
                // An odd factor keeps the hashes of different peers different.
                let order = peer_hash(*id).wrapping_mul(peer_hash(self.own) | 1);
                zones.entry(zone).or_default().push((order, *id));
            }
        }
        let mut order = Vec::new();
        for (zone, mut peers) in zones {
            peers.sort_unstable();
            let place = |i: usize| (((2 * i + 1) as u64) << 32) / peers.len() as u64;
            for (i, (_, peer)) in peers.iter().enumerate() {
                let told_round = self.peers[peer].told_round;
                order.push((told_round, place(i), CompactReceiver { zone, peer: *peer }));
            }
        }
        order.sort_unstable();
        let mut receivers: Vec<CompactReceiver> =
            order.into_iter().take(count).map(|(_, _, receiver)| receiver).collect();
        for receiver in &receivers {
            if let Some(peer) = self.peers.get_mut(&receiver.peer) {
                peer.told_round = self.counter;
            }
        }
        receivers.sort_unstable();
        receivers
    }

    /// Returns the numbers of live and of known instances, including this one.
    ///
    /// Peers that have not sent a heartbeat yet count as known, since they may already be using
    /// quotas.
    pub(super) fn counts(&self, now_ms: u64) -> (u32, u32) {
        let live = self.live_peers(now_ms).count();
        let known = self.peers.len() as u32 + 1;
        let known = if self.knows_all_registered { known } else { known.max(ASSUMED_FLEET_SIZE) };
        (live as u32 + 1, known)
    }

    /// Returns the live instances, among which the rate limits of endpoints are divided.
    pub(super) fn senders(&self, now_ms: u64) -> Senders {
        let sender = |id: &PeerId, zone, demand_per_s: f32| Sender {
            id: peer_hash(*id),
            zone,
            demand_per_s: demand_per_s.into(),
        };
        let live = self.live_peers(now_ms);
        let others = live.filter_map(|(id, p)| Some(sender(id, p.zone?, p.demand_per_s)));
        let (live, known) = self.counts(now_ms);
        let own = sender(&self.own, self.zone, self.demand_per_s);
        Senders::new(own, others.collect(), f64::from(live) / f64::from(known))
    }

    /// Returns the number of instances that reach the store and come before this one in the order
    /// of watchers. All instances with the same view agree on the order.
    pub(super) fn watcher_rank(&self, now_ms: u64) -> u32 {
        let reaching = self.peers.iter().filter(|(_, p)| self.reaches_store(p, now_ms));
        let mut order: Vec<(PeerId, Option<u32>)> = reaching.map(|(id, p)| (*id, p.zone)).collect();
        order.push((self.own, Some(self.zone)));
        sort_as_watchers(&mut order, |instance| *instance);
        order.iter().take_while(|(id, _)| *id != self.own).count() as u32
    }

    /// Returns the peers that count as watchers.
    #[cfg(test)]
    pub(super) fn watchers(&self, now_ms: u64) -> Vec<PeerId> {
        self.store_readers(None, now_ms).iter().take(2).map(|reader| reader.peer).collect()
    }

    fn reaches_store(&self, peer: &Peer, now_ms: u64) -> bool {
        let has_read = peer
            .store_read_at_ms
            .is_some_and(|at| now_ms.saturating_sub(at) < self.limits.max_read_age_ms);
        let is_heard = peer.heard.is_some()
            && now_ms.saturating_sub(peer.heard_at_ms) < self.limits.max_silence_ms;
        has_read && is_heard
    }

    /// Returns whether a live peer has a newer configuration.
    pub(super) fn has_newer_configuration(&self, own: Versions, now_ms: u64) -> bool {
        let mut live = self.live_peers(now_ms);
        live.any(|(_, p)| p.versions.configuration > own.configuration)
    }

    /// Returns a live peer that has a newer version, selected by `draw` in `0.0..1.0`.
    pub(super) fn random_peer_ahead_of(
        &self,
        own: Versions,
        now_ms: u64,
        draw: f64,
    ) -> Option<PeerId> {
        let ahead = self.live_peers(now_ms).filter(|(_, p)| p.versions.is_ahead_of(own));
        let (mut ahead, mut elsewhere): (Vec<_>, Vec<_>) = ahead
            .map(|(id, p)| (*id, p.zone == Some(self.zone)))
            .partition(|(_, is_near)| *is_near);
        // One of another zone stays among them, in case those of this zone do not answer.
        if self.is_interactive && !ahead.is_empty() {
            elsewhere.truncate(1);
        }
        ahead.append(&mut elsewhere);
        ahead.get((draw * ahead.len() as f64) as usize).map(|(id, _)| *id)
    }

    /// Returns the peers that are live.
    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = (&PeerId, &Peer)> {
        let silent_zones = self.silent_zones(now_ms);
        // Upper bounds: the sender's rotation is the longest if all its peers are in other zones.
        let limit_ms = MAX_MISSED_HEARTBEATS * self.turn_ms(false);
        let other_limit_ms = MAX_MISSED_HEARTBEATS * self.turn_ms(self.is_interactive);
        self.peers.iter().filter(move |(_, p)| {
            let is_in_own_zone = p.zone == Some(self.zone);
            let limit_ms = if is_in_own_zone { limit_ms } else { other_limit_ms };
            p.latest_heartbeat.is_some()
                && now_ms.saturating_sub(p.last_seen_at_ms) < limit_ms
                && p.zone.is_none_or(|zone| !silent_zones.contains(&zone))
        })
    }

    /// Returns the time in which an instance sends to each of its peers, in milliseconds.
    fn turn_ms(&self, is_interactive: bool) -> u64 {
        let peers = self.peers.len();
        let rounds = peers.div_ceil(OTHER_ZONE_FAN_OUT).max(1);
        let calm_rounds = peers.div_ceil(MIN_OTHER_ZONE_FAN_OUT).min(MAX_TURN_ROUNDS);
        let rounds = if is_interactive { rounds.max(calm_rounds) } else { rounds };
        HEARTBEAT_INTERVAL_MS * rounds as u64
    }

    /// Returns the other zones none of whose instances is heard any more. With long turns, the limit
    /// of each single peer would notice only late that a whole zone is cut off.
    fn silent_zones(&self, now_ms: u64) -> Vec<u32> {
        if !self.is_interactive {
            return Vec::new();
        }
        let turn_ms = self.turn_ms(true);
        let mut zones: BTreeMap<u32, (u64, u64)> = BTreeMap::new();
        let heard = self.peers.values().filter(|p| p.latest_heartbeat.is_some());
        for (zone, peer) in heard.filter_map(|p| Some((p.zone?, p))) {
            let (count, last_seen_at_ms) = zones.entry(zone).or_default();
            *count += 1;
            *last_seen_at_ms = peer.last_seen_at_ms.max(*last_seen_at_ms);
        }
        zones.remove(&self.zone);
        let is_silent = |(count, last_seen_at_ms): &(u64, u64)| {
            // The instances of the zone send this many heartbeats in a turn.
            let limit_ms =
                (turn_ms * MAX_MISSED_HEARTBEATS / count).max(turn_ms * MAX_SILENT_ZONE_TURNS);
            now_ms.saturating_sub(*last_seen_at_ms) >= limit_ms
        };
        zones.into_iter().filter(|(_, zone)| is_silent(zone)).map(|(zone, _)| zone).collect()
    }
}

/// Returns whether a heartbeat without an update has evidence of crashes and rate limits for other zones.
///
/// Multiples of the golden ratio have no period, but gaps of at most a few heartbeats. With a period,
/// the same part of what is reported in rotation could have its turn each time.
fn is_evidence_turn(counter: u64) -> bool {
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    counter.wrapping_mul(GOLDEN_RATIO) < u64::MAX / EVIDENCE_ROUNDS
}

/// Returns the number of peers of other zones that get a heartbeat without an update.
fn calm_fan_out(others: usize) -> usize {
    others.div_ceil(MAX_TURN_ROUNDS).clamp(MIN_OTHER_ZONE_FAN_OUT, OTHER_ZONE_FAN_OUT)
}

/// Sorts instances into the order in which they read the store for the fleet: by address, but the
/// second is of another availability zone than the first, so that no cut of a zone takes both away.
fn sort_as_watchers<T>(instances: &mut [T], key: impl Fn(&T) -> (PeerId, Option<u32>)) {
    instances.sort_by_key(|instance| key(instance).0);
    let zones: Vec<Option<u32>> = instances.iter().map(|instance| key(instance).1).collect();
    let is_elsewhere = |zone: &Option<u32>| zone.is_some() && *zone != zones[0];
    if let Some(second) = zones.iter().position(is_elsewhere) {
        instances[1..=second].rotate_right(1);
    }
}

#[cfg(test)]
mod tests {
    use baobabvane_decide::ProcessId;

    use super::*;

    fn id(port: u16) -> PeerId {
        ([127, 0, 0, 1], port).into()
    }

    const LIMITS: ReaderLimits = ReaderLimits { max_read_age_ms: 1_500, max_silence_ms: 1_000 };

    fn roster(port: u16) -> Roster {
        Roster::new(id(port), u32::from(port % 2), u64::from(port), LIMITS)
    }

    fn heartbeat(from: &mut Roster, configuration: u64) -> Heartbeat {
        let versions = Versions { configuration, ..Versions::default() };
        let freshness = Freshness { versions, store_read_age_ms: Some(0), ..Freshness::default() };
        from.next_heartbeat(LocalState::default(), freshness, 0).0
    }

    #[test]
    fn unknown_sender_becomes_a_peer_and_reports_the_peers_that_it_heard() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        let from_a = heartbeat(&mut a, 0);
        b.receive(&from_a, 0);
        let from_b = heartbeat(&mut b, 0);
        c.receive(&from_b, 0);
        assert_eq!(c.counts(0), (2, ASSUMED_FLEET_SIZE));
        c.add_registered_peers(&[id(1), id(2), id(3)], 0);
        // The first instance is known, but no heartbeat of it has been received.
        assert_eq!(c.counts(0), (2, 3));
        let (_, to) = c.next_heartbeat(LocalState::default(), Freshness::default(), 0);
        assert_eq!(to.full, [id(1), id(2)]);
    }

    #[test]
    fn stale_and_repeated_heartbeats_are_ignored() {
        let (mut a, mut b) = (roster(1), roster(2));
        let (first, second) = (heartbeat(&mut a, 0), heartbeat(&mut a, 0));
        assert_eq!(b.receive(&second, 0), Received::New);
        assert_eq!(b.receive(&first, 0), Received::Stale);
        assert_eq!(b.receive(&second, 0), Received::Stale);
        let mut restarted = Roster::new(id(1), 1, 99, LIMITS);
        assert_eq!(b.receive(&heartbeat(&mut restarted, 0), 0), Received::New);
    }

    #[test]
    fn late_heartbeat_of_an_earlier_process_changes_nothing() {
        let (mut a, mut b) = (roster(1), roster(2));
        b.add_registered_peers(&[], 0);
        b.receive(&heartbeat(&mut a, 0), 0);
        a.leave();
        let leaving = heartbeat(&mut a, 0);
        let mut restarted = Roster::new(id(1), 1, 99, LIMITS);
        assert_eq!(b.receive(&heartbeat(&mut restarted, 0), 100), Received::New);
        assert_eq!(b.receive(&leaving, 200), Received::Stale);
        assert_eq!(b.counts(200), (2, 2));
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
        // Neither a peer that reports no store read nor a silent peer counts.
        let lost = a.next_heartbeat(LocalState::default(), Freshness::default(), 0).0;
        c.receive(&lost, 0);
        assert_eq!(c.watcher_rank(0), 0);
        c.receive(&heartbeat(&mut a, 0), 0);
        assert_eq!((c.watcher_rank(700), c.watcher_rank(1_600)), (1, 0));
    }

    #[test]
    fn store_reads_are_relayed_until_the_reader_reports_a_loss() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        b.receive(&heartbeat(&mut a, 0), 0);
        // The third instance has heard nothing of the first one but the second one's report.
        c.receive(&heartbeat(&mut b, 0), 100);
        assert_eq!(c.watcher_rank(100), 2);
        assert_eq!((c.watcher_rank(1_050), c.watcher_rank(1_150)), (2, 0));
        let freshness = Freshness { store_read_age_ms: Some(0), ..Freshness::default() };
        let before_loss = b.next_heartbeat(LocalState::default(), freshness, 150).0;
        let lost = a.next_heartbeat(LocalState::default(), Freshness::default(), 0).0;
        c.receive(&lost, 200);
        c.receive(&before_loss, 250);
        assert_eq!(c.watcher_rank(250), 1, "a read before the loss counts again");
    }

    /// Guards against reports of a reader that is gone and that others renew by passing them on.
    #[test]
    fn a_report_that_is_passed_on_late_does_not_renew_a_reader() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        b.receive(&heartbeat(&mut a, 0), 0);
        let freshness = Freshness { store_read_age_ms: Some(0), ..Freshness::default() };
        for now_ms in (0..2_000).step_by(100) {
            // Each datagram is on its way or in a queue for 100 ms.
            let from_b = b.next_heartbeat(LocalState::default(), freshness, now_ms).0;
            let from_c = c.next_heartbeat(LocalState::default(), freshness, now_ms).0;
            b.receive(&from_c, now_ms + 100);
            c.receive(&from_b, now_ms + 100);
        }
        let readers = |roster: &Roster| roster.store_readers(None, 1_700);
        assert!(readers(&b).iter().chain(&readers(&c)).all(|reader| reader.peer != id(1)));
    }

    #[test]
    fn the_second_watcher_is_in_another_zone_than_the_first() {
        let mut rosters = [1, 3, 4, 5].map(roster);
        let heartbeats = rosters.each_mut().map(|r| heartbeat(r, 0));
        for roster in &mut rosters {
            for from in &heartbeats {
                roster.receive(from, 0);
            }
        }
        assert_eq!(rosters.each_ref().map(|r| r.watcher_rank(0)), [0, 2, 1, 3]);
    }

    /// A fleet whose instances exchange heartbeats, and of which the watchers read the store.
    struct FleetOfRosters {
        rosters: Vec<Roster>,
        limits: ReaderLimits,
        read_interval_ms: u64,
        now_ms: u64,
    }

    impl FleetOfRosters {
        fn new(
            (instances, zones): (u16, u16),
            is_interactive: bool,
            limits: ReaderLimits,
            read_interval_ms: u64,
        ) -> Self {
            let all: Vec<PeerId> = (1..=instances).map(id).collect();
            let rosters = (1..=instances).map(|i| {
                let mut roster = Roster::new(id(i), u32::from(i % zones), i.into(), limits);
                roster.add_registered_peers(&all, 0);
                roster.set_interactive(is_interactive);
                roster
            });
            let rosters = rosters.collect();
            Self { rosters, limits, read_interval_ms, now_ms: 0 }
        }

        /// Sends the heartbeats of one interval, but for those to or from instances that are cut off.
        fn play_round(&mut self, readers: &[usize], is_cut_off: impl Fn(usize) -> bool) {
            let now = self.now_ms;
            for i in 0..self.rosters.len() {
                let age = if readers.contains(&i) { now % self.read_interval_ms } else { now };
                let freshness = Freshness {
                    store_read_age_ms: Some(age).filter(|age| *age < self.limits.max_read_age_ms),
                    ..Freshness::default()
                };
                let (heartbeat, to) =
                    self.rosters[i].next_heartbeat(LocalState::default(), freshness, now);
                for peer in to.all().map(|peer| usize::from(peer.port()) - 1) {
                    if !is_cut_off(i) && !is_cut_off(peer) {
                        self.rosters[peer].receive(&heartbeat, now);
                    }
                }
            }
            self.now_ms += HEARTBEAT_INTERVAL_MS;
        }

        /// Returns the instances that consider themselves watchers.
        fn watchers(&self) -> Vec<usize> {
            let ranks = self.rosters.iter().map(|r| r.watcher_rank(self.now_ms));
            ranks.enumerate().filter(|(_, rank)| *rank < 2).map(|(i, _)| i).collect()
        }
    }

    #[test]
    fn two_instances_of_a_large_fleet_poll_the_store() {
        let limits = ReaderLimits { max_read_age_ms: 3_000, max_silence_ms: 1_000 };
        for is_interactive in [false, true] {
            let mut fleet = FleetOfRosters::new((300, 6), is_interactive, limits, 1_500);
            for _ in 0..60 {
                fleet.play_round(&[0, 1], |_| false);
                if fleet.now_ms > 4_000 {
                    assert_eq!(fleet.watchers(), [0, 1], "{} ms", fleet.now_ms);
                }
            }
        }
    }

    /// Guards against a fleet that learns of no change for most of the bound, because it waits for
    /// watchers that are cut off to miss their next read.
    #[test]
    fn other_instances_take_over_soon_after_the_watchers_are_cut_off() {
        let sizes = [(8, 4), (68, 4), (300, 6)].into_iter();
        for (size, is_interactive) in sizes.flat_map(|size| [(size, false), (size, true)]) {
            let (instances, zones) = size;
            // The propagation bound is 3 s.
            let limits = ReaderLimits { max_read_age_ms: 2_250, max_silence_ms: 750 };
            let mut fleet = FleetOfRosters::new(size, is_interactive, limits, 1_000);
            while fleet.now_ms < 4_000 {
                fleet.play_round(&[0, 1], |_| false);
            }
            // Both watchers and all of the zone of the first one.
            let is_cut_off = |i: usize| i < 2 || (i + 1) % usize::from(zones) == 1;
            while fleet.watchers().into_iter().all(is_cut_off) {
                fleet.play_round(&[0, 1], is_cut_off);
                assert!(fleet.now_ms <= 4_000 + 1_200, "{instances} instances");
            }
        }
    }

    /// Guards against limits or evidence that are reported in rotation and never to other zones.
    #[test]
    fn each_part_of_rotating_evidence_has_its_turn() {
        let turns: Vec<u64> = (1..=400).filter(|counter| is_evidence_turn(*counter)).collect();
        assert!((95..=105).contains(&turns.len()), "{}", turns.len());
        assert!(turns.windows(2).all(|pair| pair[1] - pair[0] <= 8));
        for parts in 1..=16 {
            let told = (0..parts).filter(|part| turns.iter().any(|turn| turn % parts == *part));
            assert_eq!(told.count() as u64, parts);
        }
    }

    #[test]
    fn peer_with_a_newer_configuration_is_ahead() {
        let (mut a, mut b) = (roster(1), roster(2));
        b.receive(&heartbeat(&mut a, 5), 0);
        let own = |configuration| Versions { configuration, ..Versions::default() };
        assert_eq!(b.random_peer_ahead_of(own(4), 0, 0.9), Some(id(1)));
        assert_eq!(b.random_peer_ahead_of(own(5), 0, 0.9), None);
    }

    #[test]
    fn rate_limits_are_divided_among_the_live_instances() {
        let (mut a, mut b) = (roster(1), roster(2));
        for roster in [&mut a, &mut b] {
            roster.add_registered_peers(&[], 0);
        }
        let (from_a, from_b) = (heartbeat(&mut a, 0), heartbeat(&mut b, 0));
        a.receive(&from_b, 0);
        b.receive(&from_a, 0);
        let part =
            |roster: &Roster, now_ms| roster.senders(now_ms).share(ProcessId(1), 0, 4.0).per_s;
        assert_eq!(part(&a, 500) + part(&b, 500), 4.0);
        // A peer that falls silent may still send its part.
        assert_eq!(part(&b, 2_000), 2.0);
    }
}
