//! Detects failed instances by gossiped heartbeat counters.
//!
//! Each instance has a counter that only it increments. A datagram carries the sender's
//! counter and a sample of the counters that it knows, most of them from its own zone. An
//! instance of which no newer counter arrives within the failure timeout is considered failed.
//! A restarted instance counts from zero again; its larger incarnation makes its heartbeats
//! newer. The heartbeat interval grows with the number of instances in the zone, which bounds
//! the traffic of each instance.

use std::{collections::HashMap, net::SocketAddr};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    packet::{Heartbeat, MessageError, Packet, SharedKey},
    roster::Roster,
};

/// The heartbeat interval in a zone of up to [`INSTANCES_PER_MIN_INTERVAL`] instances.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 250;
/// The heartbeat interval is [`MIN_HEARTBEAT_INTERVAL_MS`] for each group of up to this many
/// instances in the zone.
const INSTANCES_PER_MIN_INTERVAL: usize = 4;
/// The number of instances of the sender's zone to which a datagram is sent in each heartbeat
/// interval.
const SAME_ZONE_FAN_OUT: usize = 2;
/// In one heartbeat interval out of this many, a datagram is also sent to an instance of
/// another zone; in each interval if the sender is alone in its zone.
const INTERVALS_PER_CROSS_ZONE_SEND: u64 = 2;
/// The maximum number of heartbeats of other instances of the sender's zone in a datagram.
const MAX_SAME_ZONE_HEARTBEATS: usize = 24;
/// The maximum number of heartbeats of instances of other zones in a datagram.
const MAX_OTHER_ZONE_HEARTBEATS: usize = 6;
/// An instance is considered failed when no newer heartbeat of it has arrived for this many
/// heartbeat intervals of the observer; for an instance of another zone, the timeout is
/// [`INTERVALS_PER_CROSS_ZONE_SEND`] times as long.
const FAILURE_TIMEOUT_INTERVALS: u64 = 16;

/// An instance of the fleet, as configured in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name, unique within the fleet.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The address on which it receives messages of other instances.
    pub address: SocketAddr,
}

/// A live instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name, unique within the fleet.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The address on which it receives messages of other instances.
    pub address: SocketAddr,
    /// Whether it has announced that it is stopping. It stays a member until its
    /// heartbeats cease, but schedules no pool.
    pub is_leaving: bool,
}

/// A datagram that the caller has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The address of the receiving instance.
    pub to: SocketAddr,
    /// The encoded and authenticated content.
    pub bytes: Vec<u8>,
}

/// Counts of datagrams by result, since the membership was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams to be sent, as returned by [`Membership::tick`].
    pub sent: u64,
    /// Bytes of the datagrams in `sent`.
    pub sent_bytes: u64,
    /// Datagrams that were accepted.
    pub accepted: u64,
    /// Bytes of all datagrams that arrived, including those that were dropped.
    pub received_bytes: u64,
    /// Datagrams dropped because their authentication tag does not match the shared key.
    pub forged: u64,
    /// Datagrams of configured instances that were dropped because each heartbeat in them is no
    /// newer than the stored one.
    pub replayed: u64,
    /// Datagrams dropped because they cannot be decoded or have an unsupported version.
    pub malformed: u64,
}

#[derive(Clone, Debug)]
struct KnownPeer {
    peer: Peer,
    heartbeat: Heartbeat,
    /// The time at which its newest heartbeat arrived; `None` before the first one.
    newest_heartbeat_at_ms: Option<u64>,
}

/// One instance's view of the fleet.
///
/// Times are in milliseconds of any monotonic clock; every call has to use the same one.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Peer,
    own_heartbeat: Heartbeat,
    others: HashMap<u64, KnownPeer>,
    key: SharedKey,
    rng: SmallRng,
    interval_ms: u64,
    next_heartbeat_at_ms: u64,
    counts: DatagramCounts,
}

impl Membership {
    /// Creates a membership in which none of `peers` is live yet.
    ///
    /// `incarnation` must be larger than that of earlier processes of the same name; the
    /// start time is suitable. `seed` determines the random choice of receivers and of
    /// the heartbeats in a datagram.
    pub fn new(
        own: Peer,
        peers: impl IntoIterator<Item = Peer>,
        incarnation: u64,
        key: SharedKey,
        seed: u64,
    ) -> Self {
        let heartbeat = |name: &str, incarnation| Heartbeat {
            name_hash: hash_name(name),
            incarnation,
            counter: 0,
            is_leaving: false,
        };
        let known = |peer: Peer| {
            let heartbeat = heartbeat(&peer.name, 0);
            (heartbeat.name_hash, KnownPeer { peer, heartbeat, newest_heartbeat_at_ms: None })
        };
        let others: HashMap<u64, KnownPeer> = peers.into_iter().map(known).collect();
        let zone_size = others.values().filter(|k| k.peer.zone == own.zone).count() + 1;
        Self {
            own_heartbeat: heartbeat(&own.name, incarnation),
            own,
            others,
            interval_ms: MIN_HEARTBEAT_INTERVAL_MS
                * zone_size.div_ceil(INSTANCES_PER_MIN_INTERVAL) as u64,
            key,
            rng: SmallRng::seed_from_u64(seed),
            next_heartbeat_at_ms: 0,
            counts: DatagramCounts::default(),
        }
    }

    /// Returns the time between two heartbeats, in milliseconds.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        self.interval_ms
    }

    /// Returns the counts of sent, received and dropped datagrams.
    pub fn counts(&self) -> DatagramCounts {
        self.counts
    }

    /// Marks this instance as stopping in all further heartbeats; the next one is due at once.
    pub fn leave(&mut self) {
        self.own_heartbeat.is_leaving = true;
        self.next_heartbeat_at_ms = 0;
    }

    /// Returns the datagrams that are due at `now_ms`, or none before the interval has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Datagram> {
        if now_ms < self.next_heartbeat_at_ms {
            return Vec::new();
        }
        self.next_heartbeat_at_ms = now_ms + self.interval_ms;
        self.own_heartbeat.counter += 1;
        let bytes = self.build_packet(now_ms).encode(&self.key);
        let targets = self.draw_targets();
        self.counts.sent += targets.len() as u64;
        self.counts.sent_bytes += (targets.len() * bytes.len()) as u64;
        targets.into_iter().map(|to| Datagram { to, bytes: bytes.clone() }).collect()
    }

    /// Processes a received datagram and updates the counts.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram was dropped.
    pub fn receive(&mut self, now_ms: u64, bytes: &[u8]) -> Result<(), MessageError> {
        self.counts.received_bytes += bytes.len() as u64;
        let result =
            Packet::decode(bytes, &self.key).and_then(|packet| self.apply_packet(now_ms, &packet));
        match result {
            Ok(()) => self.counts.accepted += 1,
            Err(MessageError::Forged) => self.counts.forged += 1,
            Err(MessageError::Replayed) => self.counts.replayed += 1,
            Err(_) => self.counts.malformed += 1,
        }
        result
    }

    /// Returns the live instances in order of name, including this one.
    pub fn roster(&self, now_ms: u64) -> Roster {
        let member = |peer: &Peer, is_leaving| Member {
            name: peer.name.clone(),
            zone: peer.zone.clone(),
            address: peer.address,
            is_leaving,
        };
        let own = member(&self.own, self.own_heartbeat.is_leaving);
        let live = self.others.values().filter(|k| self.is_live(k, now_ms));
        let mut members: Vec<Member> =
            live.map(|k| member(&k.peer, k.heartbeat.is_leaving)).collect();
        members.push(own);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Roster::new(members)
    }

    fn is_live(&self, known: &KnownPeer, now_ms: u64) -> bool {
        // Heartbeats from other zones arrive less often.
        let interval_factor =
            if known.peer.zone == self.own.zone { 1 } else { INTERVALS_PER_CROSS_ZONE_SEND };
        let failure_timeout_ms = FAILURE_TIMEOUT_INTERVALS * interval_factor * self.interval_ms;
        known
            .newest_heartbeat_at_ms
            .is_some_and(|at| now_ms.saturating_sub(at) < failure_timeout_ms)
    }

    fn build_packet(&mut self, now_ms: u64) -> Packet {
        let mut same_zone: Vec<Heartbeat> = Vec::new();
        let mut other_zones: Vec<Heartbeat> = Vec::new();
        for known in self.others.values().filter(|k| self.is_live(k, now_ms)) {
            let group =
                if known.peer.zone == self.own.zone { &mut same_zone } else { &mut other_zones };
            group.push(known.heartbeat);
        }
        // Sorting makes the sample depend on the seed only, not on the order of the hash map.
        same_zone.sort_by_key(|heartbeat| heartbeat.name_hash);
        other_zones.sort_by_key(|heartbeat| heartbeat.name_hash);
        let mut heartbeats = vec![self.own_heartbeat];
        heartbeats.extend(same_zone.sample(&mut self.rng, MAX_SAME_ZONE_HEARTBEATS));
        heartbeats.extend(other_zones.sample(&mut self.rng, MAX_OTHER_ZONE_HEARTBEATS));
        Packet { heartbeats }
    }

    fn draw_targets(&mut self) -> Vec<SocketAddr> {
        let mut same_zone: Vec<&Peer> = Vec::new();
        let mut other_zones: Vec<&Peer> = Vec::new();
        for known in self.others.values() {
            let group =
                if known.peer.zone == self.own.zone { &mut same_zone } else { &mut other_zones };
            group.push(&known.peer);
        }
        same_zone.sort_by(|a, b| a.name.cmp(&b.name));
        other_zones.sort_by(|a, b| a.name.cmp(&b.name));
        let mut targets: Vec<SocketAddr> =
            same_zone.sample(&mut self.rng, SAME_ZONE_FAN_OUT).map(|p| p.address).collect();
        let sends_cross_zone =
            self.own_heartbeat.counter.is_multiple_of(INTERVALS_PER_CROSS_ZONE_SEND)
                || same_zone.is_empty();
        if sends_cross_zone && !other_zones.is_empty() {
            targets.push(other_zones[self.rng.random_range(0..other_zones.len())].address);
        }
        targets
    }

    fn apply_packet(&mut self, now_ms: u64, packet: &Packet) -> Result<(), MessageError> {
        let sender = packet.heartbeats.first().ok_or(MessageError::Malformed)?;
        let newer_count = packet
            .heartbeats
            .iter()
            .filter(|heartbeat| self.apply_heartbeat(now_ms, heartbeat))
            .count();
        let is_known_sender = self.others.contains_key(&sender.name_hash);
        if newer_count == 0 && is_known_sender { Err(MessageError::Replayed) } else { Ok(()) }
    }

    /// Stores a heartbeat if it is newer than the stored one; returns whether it was.
    fn apply_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> bool {
        let Some(known) = self.others.get_mut(&heartbeat.name_hash) else { return false };
        let is_newer = (heartbeat.incarnation, heartbeat.counter)
            > (known.heartbeat.incarnation, known.heartbeat.counter);
        if is_newer {
            known.heartbeat = *heartbeat;
            known.newest_heartbeat_at_ms = Some(now_ms);
        }
        is_newer
    }
}

fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let first = hash.as_bytes().first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*first)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Instances whose datagrams are delivered in memory.
    struct Fleet {
        members: Vec<Membership>,
        addresses: Vec<SocketAddr>,
        now_ms: u64,
    }

    impl Fleet {
        fn new(zones: &[usize]) -> Self {
            let peers: Vec<Peer> = zones
                .iter()
                .enumerate()
                .map(|(n, zone)| Peer {
                    name: format!("entry-{n}"),
                    zone: format!("zone-{zone}"),
                    address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 1)),
                })
                .collect();
            let make = |n: usize| {
                let others = peers.iter().enumerate().filter(|(m, _)| *m != n);
                let others: Vec<Peer> = others.map(|(_, p)| p.clone()).collect();
                Membership::new(peers[n].clone(), others, 1, SharedKey::new("k"), n as u64)
            };
            Self {
                members: (0..peers.len()).map(make).collect(),
                addresses: peers.iter().map(|p| p.address).collect(),
                now_ms: 0,
            }
        }

        /// Advances time by `ms`; `delivers(from, to)` decides which datagrams arrive.
        fn run(&mut self, ms: u64, delivers: impl Fn(usize, usize) -> bool) {
            let end = self.now_ms + ms;
            while self.now_ms < end {
                self.now_ms += 50;
                for from in 0..self.members.len() {
                    for datagram in self.members[from].tick(self.now_ms) {
                        let to = self.addresses.iter().position(|a| *a == datagram.to).unwrap();
                        if delivers(from, to) {
                            let _ = self.members[to].receive(self.now_ms, &datagram.bytes);
                        }
                    }
                }
            }
        }

        fn live_count(&self, n: usize) -> usize {
            self.members[n].roster(self.now_ms).members().count()
        }
    }

    #[test]
    fn failed_instance_is_removed_and_returns_when_heard() {
        let mut fleet = Fleet::new(&[0, 0, 0, 1, 1, 1]);
        fleet.run(5_000, |_, _| true);
        assert!((0..6).all(|n| fleet.live_count(n) == 6));
        fleet.run(20_000, |from, to| from != 4 && to != 4);
        assert!((0..6).filter(|n| *n != 4).all(|n| fleet.live_count(n) == 5));
        fleet.run(5_000, |_, _| true);
        assert!((0..6).all(|n| fleet.live_count(n) == 6));
    }

    #[test]
    fn partitioned_zones_each_keep_their_own_members() {
        let mut fleet = Fleet::new(&[0, 0, 0, 1, 1, 1]);
        fleet.run(5_000, |_, _| true);
        fleet.run(20_000, |from, to| (from < 3) == (to < 3));
        assert!((0..6).all(|n| fleet.live_count(n) == 3));
    }

    #[test]
    fn one_way_link_does_not_split_a_zone() {
        let mut fleet = Fleet::new(&[0, 0, 0, 0]);
        fleet.run(20_000, |from, to| !(from == 0 && to == 1));
        assert!(
            (0..4).all(|n| fleet.live_count(n) == 4),
            "heartbeats are relayed by other instances"
        );
    }

    #[test]
    fn forged_replayed_and_malformed_datagrams_are_dropped_and_counted() {
        let mut fleet = Fleet::new(&[0, 0]);
        let datagram = fleet.members[0].tick(1).remove(0);
        let to = &mut fleet.members[1];
        assert_eq!(to.receive(1, &datagram.bytes), Ok(()));
        assert_eq!(to.receive(2, &datagram.bytes), Err(MessageError::Replayed));
        let mut forged = datagram.bytes.clone();
        forged[3] ^= 1;
        assert_eq!(to.receive(3, &forged), Err(MessageError::Forged));
        assert_eq!(to.receive(4, b"xy"), Err(MessageError::Malformed));
        let counts = to.counts();
        assert_eq!((counts.forged, counts.replayed, counts.malformed), (1, 1, 1));
    }

    #[test]
    fn restarted_instance_is_accepted_with_a_lower_counter() {
        let mut fleet = Fleet::new(&[0, 0]);
        fleet.run(10_000, |_, _| true);
        let own = fleet.members[0].own.clone();
        let other = fleet.members[1].own.clone();
        fleet.members[0] = Membership::new(own, [other], 2, SharedKey::new("k"), 9);
        fleet.run(1_000, |_, _| true);
        assert_eq!(fleet.members[1].others.values().next().unwrap().heartbeat.incarnation, 2);
    }

    /// The design size is 350 instances in 7 availability zones.
    #[test]
    fn design_size_traffic_is_bounded_and_each_zone_knows_all_its_members() {
        const MAX_BYTES_PER_SECOND: u64 = 7_000;
        const RUN_MS: u64 = 40_000;
        let zones: Vec<usize> = (0..350).map(|n| n % 7).collect();
        let mut fleet = Fleet::new(&zones);
        fleet.run(RUN_MS, |_, _| true);
        let counts = fleet.members[0].counts();
        let bytes = (counts.sent_bytes + counts.received_bytes) * 1_000 / RUN_MS;
        println!("{bytes} bytes per second, {} live instances", fleet.live_count(0));
        assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes per second");
        for (member, zone) in fleet.members.iter().zip(&zones) {
            let roster = member.roster(fleet.now_ms);
            let of = |z: usize| roster.members().filter(|m| m.zone == format!("zone-{z}")).count();
            assert_eq!(of(*zone), 50, "each instance knows all live instances of its zone");
            assert!((0..7).all(|z| of(z) > 0), "each instance knows a live instance of every zone");
        }
    }
}
