//! Which instances there are and which of them are heard, without socket or clock.

use std::collections::BTreeMap;

use super::{
    LocalState, PeerId, UNJOINED,
    beat::{Beat, News},
};
use crate::knowledge::Versions;

/// A heartbeat goes to so many peers of the own availability zone, which share its
/// endpoints, and to so many others; in larger fleets they take turns.
const NEAR_FAN_OUT: usize = 24;
const FAR_FAN_OUT: usize = 8;
/// A peer from which nothing came for this many of its turns is not heard.
const MISSED_BEATS: u64 = 8;
/// The time between two heartbeats, in milliseconds.
const BEAT_MS: u64 = 100;
/// A peer that was not heard for this long is taken to be gone for good; it has to
/// be longer than any pause or cut after which a process goes on.
const FORGET_MS: u64 = 30_000;
/// Peers that are named in one heartbeat.
const NAMED: usize = 4;

/// What a heartbeat brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// It is the newest of its sender.
    New,
    /// It is our own, or older than one that was received before.
    Old,
}

#[derive(Debug)]
struct Peer {
    /// The largest incarnation and counter; `None` until it is heard.
    last: Option<(u64, u64)>,
    /// Whether it is in our availability zone.
    is_near: bool,
    /// When it was heard, or first named, in milliseconds.
    at_ms: u64,
    versions: Versions,
    /// When it reached the store, in milliseconds of our time.
    reached_at_ms: Option<u64>,
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
    has_joined: bool,
    /// An instance that heard from the store within this time is taken to reach it.
    reaches_ms: u64,
    peers: BTreeMap<PeerId, Peer>,
    turn: usize,
}

impl Roster {
    pub(super) fn new(own: PeerId, zone: u32, incarnation: u64, reaches_ms: u64) -> Self {
        Self {
            own,
            zone,
            incarnation,
            counter: 0,
            is_leaving: false,
            has_joined: false,
            reaches_ms,
            peers: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Notes instances that may be there.
    pub(super) fn learn(&mut self, peers: &[PeerId], now_ms: u64) {
        for peer in peers.iter().filter(|p| **p != self.own) {
            let unheard = Peer {
                last: None,
                is_near: false,
                at_ms: now_ms,
                versions: Versions::default(),
                reached_at_ms: None,
            };
            self.peers.entry(*peer).or_insert(unheard);
        }
    }

    /// Notes all instances that ever registered.
    pub(super) fn join(&mut self, peers: &[PeerId], now_ms: u64) {
        self.learn(peers, now_ms);
        self.has_joined = true;
    }

    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
    }

    pub(super) fn receive(&mut self, beat: &Beat, now_ms: u64) -> Received {
        if beat.from == self.own {
            return Received::Old;
        }
        self.learn(&beat.hears, now_ms);
        self.learn(&[beat.from], now_ms);
        let Some(peer) = self.peers.get_mut(&beat.from) else { return Received::Old };
        let is_same_start = peer.last.is_some_and(|(i, _)| i == beat.incarnation);
        if is_same_start && peer.last.is_some_and(|(_, c)| beat.counter <= c) {
            return Received::Old;
        }
        peer.last = Some((beat.incarnation, beat.counter));
        peer.at_ms = now_ms;
        peer.is_near = beat.zone == self.zone;
        peer.versions = beat.news.versions;
        peer.reached_at_ms = beat.news.reached_age_ms.map(|age| now_ms.saturating_sub(age));
        if beat.is_leaving {
            self.peers.remove(&beat.from);
        }
        Received::New
    }

    /// Returns the next heartbeat and those to whom it goes.
    pub(super) fn next_beat(
        &mut self,
        local: LocalState,
        news: News,
        now_ms: u64,
    ) -> (Beat, Vec<PeerId>) {
        self.peers.retain(|_, p| now_ms.saturating_sub(p.at_ms) < FORGET_MS);
        self.counter += 1;
        let heard = self.peers.iter().filter(|(_, p)| p.last.is_some()).map(|(id, _)| *id);
        let skipped = self.counter as usize % self.peers.len().max(1);
        let beat = Beat {
            from: self.own,
            zone: self.zone,
            incarnation: self.incarnation,
            counter: self.counter,
            is_leaving: self.is_leaving,
            news,
            local,
            hears: heard.skip(skipped).take(NAMED).collect(),
        };
        (beat, self.next_receivers())
    }

    fn next_receivers(&mut self) -> Vec<PeerId> {
        let turn = self.turn;
        self.turn = turn.wrapping_add(1);
        let some_of = |is_near: bool, most: usize| {
            let all: Vec<PeerId> = self
                .peers
                .iter()
                .filter(|(_, p)| p.is_near == is_near)
                .map(|(id, _)| *id)
                .collect();
            let count = all.len().min(most);
            (0..count).map(|i| all[(turn * count + i) % all.len()]).collect::<Vec<PeerId>>()
        };
        let mut to = some_of(true, NEAR_FAN_OUT);
        to.extend(some_of(false, FAR_FAN_OUT));
        to
    }

    /// Returns how many instances are heard and how many there may be, this one included.
    ///
    /// Instances that are named and not heard yet may be there, and use quotas.
    pub(super) fn counts(&self, now_ms: u64) -> (u32, u32) {
        let heard = self.peers.values().filter(|p| self.is_heard(p, now_ms)).count();
        let known = self.peers.len() as u32 + 1;
        let known = if self.has_joined { known } else { known.max(UNJOINED) };
        (heard as u32 + 1, known)
    }

    /// Returns how many peers that are heard and reach the store come before this
    /// instance; all instances that hear the same agree on the order.
    pub(super) fn rank(&self, now_ms: u64) -> u32 {
        let reaches = |p: &Peer| {
            p.reached_at_ms.is_some_and(|at| now_ms.saturating_sub(at) < self.reaches_ms)
        };
        let before = self.peers.range(..self.own).map(|(_, p)| p);
        before.filter(|p| self.is_heard(p, now_ms) && reaches(p)).count() as u32
    }

    /// Returns a peer that knows something newer, chosen by `draw` out of 0 to 1.
    pub(super) fn ahead_of(&self, own: Versions, now_ms: u64, draw: f64) -> Option<PeerId> {
        let heard = self.peers.iter().filter(|(_, p)| self.is_heard(p, now_ms));
        let ahead: Vec<PeerId> =
            heard.filter(|(_, p)| p.versions.is_ahead_of(own)).map(|(id, _)| *id).collect();
        ahead.get((draw * ahead.len() as f64) as usize).copied()
    }

    fn is_heard(&self, peer: &Peer, now_ms: u64) -> bool {
        let turns = self.peers.len().div_ceil(FAR_FAN_OUT).max(1) as u64;
        peer.last.is_some() && now_ms.saturating_sub(peer.at_ms) < MISSED_BEATS * BEAT_MS * turns
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

    fn beat(from: &mut Roster, configuration: u64) -> Beat {
        let versions = Versions { configuration, ..Versions::default() };
        let news = News { versions, reached_age_ms: Some(0), ..News::default() };
        from.next_beat(LocalState::default(), news, 0).0
    }

    #[test]
    fn a_sender_that_was_not_known_is_a_peer_and_names_others() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        let from_a = beat(&mut a, 0);
        b.receive(&from_a, 0);
        let from_b = beat(&mut b, 0);
        c.receive(&from_b, 0);
        assert_eq!(c.counts(0), (2, UNJOINED));
        c.join(&[id(1), id(2), id(3)], 0);
        // The first one may be there, and was not heard.
        assert_eq!(c.counts(0), (2, 3));
        let (_, to) = c.next_beat(LocalState::default(), News::default(), 0);
        assert_eq!(to, [id(1), id(2)]);
    }

    #[test]
    fn old_and_repeated_beats_bring_nothing() {
        let (mut a, mut b) = (roster(1), roster(2));
        let (first, second) = (beat(&mut a, 0), beat(&mut a, 0));
        assert_eq!(b.receive(&second, 0), Received::New);
        assert_eq!(b.receive(&first, 0), Received::Old);
        assert_eq!(b.receive(&second, 0), Received::Old);
        let mut restarted = Roster::new(id(1), 1, 99, 1_500);
        assert_eq!(b.receive(&beat(&mut restarted, 0), 0), Received::New);
    }

    #[test]
    fn a_silent_peer_counts_until_it_is_forgotten_and_a_leaving_one_does_not() {
        let (mut a, mut b) = (roster(1), roster(2));
        b.join(&[], 0);
        b.receive(&beat(&mut a, 0), 0);
        assert_eq!(b.counts(500), (2, 2));
        assert_eq!(b.counts(2_000), (1, 2));
        a.leave();
        b.receive(&beat(&mut a, 0), 2_000);
        assert_eq!(b.counts(2_000), (1, 1));
    }

    #[test]
    fn only_instances_that_reach_the_store_come_before_others() {
        let (mut a, mut b, mut c) = (roster(1), roster(2), roster(3));
        let from_b = b.next_beat(LocalState::default(), News::default(), 0).0;
        c.receive(&beat(&mut a, 0), 0);
        c.receive(&from_b, 0);
        assert_eq!((a.rank(0), c.rank(0)), (0, 1));
        // A peer that lost the store says so, and one that is silent is not waited for.
        let lost = a.next_beat(LocalState::default(), News::default(), 0).0;
        c.receive(&lost, 0);
        assert_eq!(c.rank(0), 0);
        c.receive(&beat(&mut a, 0), 0);
        assert_eq!((c.rank(700), c.rank(1_600)), (1, 0));
    }

    #[test]
    fn a_peer_with_a_newer_configuration_is_ahead() {
        let (mut a, mut b) = (roster(1), roster(2));
        b.receive(&beat(&mut a, 5), 0);
        let own = |configuration| Versions { configuration, ..Versions::default() };
        assert_eq!(b.ahead_of(own(4), 0, 0.9), Some(id(1)));
        assert_eq!(b.ahead_of(own(5), 0, 0.9), None);
    }
}
