//! The waiting requests: by tier, then by organisation in fair shares, then by deadline.
//!
//! Organisations share a tier by start-time fair queueing. Each organisation has a
//! virtual start time that grows by the cost of its requests divided by its weight, and
//! the smallest is served first. An organisation that was idle restarts at the tier's
//! virtual time, so that it gains no share while idle.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::event::{Descriptor, Millis, OrgId, Rank, Ticket};

/// A float with a total order, for sort keys; these are never NaN.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OrderedF64(pub(crate) f64);

impl Eq for OrderedF64 {}

impl Ord for OrderedF64 {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedF64 {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) descriptor: Descriptor,
    pub(crate) since: Millis,
    /// Estimated engine time in milliseconds.
    pub(crate) cost: f64,
    /// Time after which the answer can no longer arrive in time.
    pub(crate) latest_start: Millis,
    /// Whether the time for the first token in its latency goal has passed.
    pub(crate) missed_goal: bool,
}

impl Waiting {
    fn sub_tier(&self) -> SubTier {
        SubTier { rank: self.descriptor.rank, missed_goal: self.missed_goal }
    }
}

/// One of the two sub-tiers of a tier; requests that missed their goal queue behind all others
/// of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubTier {
    rank: Rank,
    missed_goal: bool,
}

impl SubTier {
    /// Returns both sub-tiers of a tier in dispatch order.
    fn all_of(rank: Rank) -> [Self; 2] {
        [false, true].map(|missed_goal| Self { rank, missed_goal })
    }
}

#[derive(Debug, Default)]
struct OrgQueue {
    by_deadline: BTreeSet<(OrderedF64, Ticket)>,
    virtual_start: f64,
    cost: f64,
    weight: f64,
}

impl OrgQueue {
    /// Returns the virtual time at which the last waiting request would finish.
    fn virtual_finish(&self) -> f64 {
        self.virtual_start + self.cost / self.weight
    }
}

#[derive(Debug, Default)]
struct SubQueue {
    orgs: FxHashMap<OrgId, OrgQueue>,
    by_virtual_start: BTreeSet<(OrderedF64, OrgId)>,
    by_virtual_finish: BTreeSet<(OrderedF64, OrgId)>,
    virtual_time: f64,
    cost: f64,
    len: u32,
}

/// The waiting requests of a pool.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: FxHashMap<Ticket, Waiting>,
    sub_queues: BTreeMap<SubTier, SubQueue>,
    by_goal: BTreeSet<(OrderedF64, Ticket)>,
    by_latest_start: BTreeSet<(OrderedF64, Ticket)>,
    fair_share: bool,
}

/// Requests of a tier that are tried for a dispatch.
const MAX_HEADS: usize = 8;
/// Number of organisations in a tier above which idle ones are removed.
const FORGET_IDLE_ORGS_ABOVE: usize = 4096;

impl Queue {
    pub(crate) fn new(fair_share: bool) -> Self {
        Self { fair_share, ..Self::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        self.waiting.get(&ticket)
    }

    /// Returns the tiers with waiting requests, most urgent first.
    pub(crate) fn ranks(&self) -> impl DoubleEndedIterator<Item = Rank> {
        let non_empty = self.sub_queues.iter().filter(|(_, queue)| queue.len > 0);
        let mut ranks: SmallVec<[Rank; 8]> = non_empty.map(|(sub_tier, _)| sub_tier.rank).collect();
        ranks.dedup();
        ranks.into_iter()
    }

    pub(crate) fn tier_len(&self, rank: Rank) -> u32 {
        self.sub_queues_of(rank).map(|queue| queue.len).sum()
    }

    pub(crate) fn tier_cost(&self, rank: Rank) -> f64 {
        self.sub_queues_of(rank).map(|queue| queue.cost).sum()
    }

    /// Returns the cost of all waiting requests in this tier and in more urgent ones.
    pub(crate) fn cost_up_to(&self, rank: Rank) -> f64 {
        self.sub_queues
            .range(..=SubTier { rank, missed_goal: true })
            .map(|(_, queue)| queue.cost)
            .sum()
    }

    pub(crate) fn len_below(&self, rank: Rank) -> u32 {
        let last = SubTier { rank, missed_goal: true };
        self.sub_queues
            .iter()
            .filter(|(sub_tier, _)| **sub_tier > last)
            .map(|(_, queue)| queue.len)
            .sum()
    }

    fn sub_queues_of(&self, rank: Rank) -> impl Iterator<Item = &SubQueue> {
        SubTier::all_of(rank).into_iter().filter_map(|sub_tier| self.sub_queues.get(&sub_tier))
    }

    /// Moves requests that have missed their goal behind the others of their tier.
    pub(crate) fn demote_missed_goals(&mut self, now: Millis) {
        while let Some((goal, ticket)) = self.by_goal.first().copied() {
            if goal.0 > now {
                return;
            }
            let Some(mut waiting) = self.remove(ticket) else { return };
            waiting.missed_goal = true;
            self.push(ticket, waiting);
        }
    }

    pub(crate) fn push(&mut self, ticket: Ticket, waiting: Waiting) {
        let d = &waiting.descriptor;
        let org = self.fair_share_org(d.org);
        self.by_latest_start.insert((OrderedF64(waiting.latest_start), ticket));
        if let Some(goal) = d.goal.filter(|_| !waiting.missed_goal) {
            self.by_goal.insert((OrderedF64(goal.first_token_by), ticket));
        }
        let sub_queue = self.sub_queues.entry(waiting.sub_tier()).or_default();
        sub_queue.push(org, f64::from(d.weight.max(1)), d.deadline, ticket, waiting.cost);
        self.waiting.insert(ticket, waiting);
    }

    /// Returns the next requests of a tier in dispatch order.
    ///
    /// There are several, so that a request that waits for a particular endpoint doesn't
    /// block those behind it.
    pub(crate) fn heads(&self, rank: Rank) -> SmallVec<[Ticket; MAX_HEADS]> {
        let heads = |sub_queue: &SubQueue| -> SmallVec<[Ticket; MAX_HEADS]> {
            let first_of = |(_, org): &(OrderedF64, OrgId)| {
                sub_queue.orgs[org].by_deadline.iter().take(MAX_HEADS)
            };
            let tickets =
                sub_queue.by_virtual_start.iter().flat_map(first_of).map(|(_, ticket)| *ticket);
            tickets.take(MAX_HEADS).collect()
        };
        self.sub_queues_of(rank).flat_map(heads).take(MAX_HEADS).collect()
    }

    /// Removes a request for its dispatch and charges its cost to the organisation.
    pub(crate) fn dispatch(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.remove(ticket)?;
        let org = self.fair_share_org(waiting.descriptor.org);
        if let Some(sub_queue) = self.sub_queues.get_mut(&waiting.sub_tier()) {
            sub_queue.charge(org, f64::from(waiting.descriptor.weight.max(1)), waiting.cost);
        }
        Some(waiting)
    }

    /// Corrects an organisation's charge by `difference` once the actual cost is known.
    pub(crate) fn correct_charge(&mut self, rank: Rank, org: OrgId, weight: u32, difference: f64) {
        let org = self.fair_share_org(org);
        if let Some(sub_queue) = self.sub_queues.get_mut(&SubTier { rank, missed_goal: false }) {
            sub_queue.correct_charge(org, f64::from(weight.max(1)), difference);
        }
    }

    /// Removes a request without charging its organisation.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let d = &waiting.descriptor;
        let org = self.fair_share_org(d.org);
        self.by_latest_start.remove(&(OrderedF64(waiting.latest_start), ticket));
        if let Some(goal) = d.goal {
            self.by_goal.remove(&(OrderedF64(goal.first_token_by), ticket));
        }
        if let Some(sub_queue) = self.sub_queues.get_mut(&waiting.sub_tier()) {
            sub_queue.remove(org, d.deadline, ticket, waiting.cost);
        }
        Some(waiting)
    }

    /// Returns a request that can no longer be answered in time, if there is one.
    pub(crate) fn first_late(&self, now: Millis) -> Option<Ticket> {
        let (latest, ticket) = self.by_latest_start.first()?;
        (latest.0 < now).then_some(*ticket)
    }

    /// Returns the request of a tier to shed first: the one with the latest deadline of the
    /// organisation that is furthest over its share.
    pub(crate) fn victim(&self, rank: Rank) -> Option<Ticket> {
        // Requests that have missed their goal are shed first, as they are worth less.
        let sub_queue = self.sub_queues_of(rank).filter(|queue| queue.len > 0).last()?;
        let (_, org) = sub_queue.by_virtual_finish.last()?;
        sub_queue.orgs[org].by_deadline.last().map(|(_, ticket)| *ticket)
    }

    fn fair_share_org(&self, org: OrgId) -> OrgId {
        if self.fair_share { org } else { OrgId(0) }
    }
}

impl SubQueue {
    fn push(&mut self, id: OrgId, weight: f64, deadline: Millis, ticket: Ticket, cost: f64) {
        let virtual_time = self.virtual_time;
        self.update(id, |org| {
            if org.by_deadline.is_empty() {
                org.virtual_start = org.virtual_start.max(virtual_time);
            }
            org.weight = weight;
            org.cost += cost;
            org.by_deadline.insert((OrderedF64(deadline), ticket));
        });
        self.cost += cost;
        self.len += 1;
    }

    fn remove(&mut self, id: OrgId, deadline: Millis, ticket: Ticket, cost: f64) {
        self.update(id, |org| {
            org.by_deadline.remove(&(OrderedF64(deadline), ticket));
            org.cost = if org.by_deadline.is_empty() { 0.0 } else { org.cost - cost };
        });
        self.len -= 1;
        self.cost = if self.len == 0 { 0.0 } else { self.cost - cost };
        self.forget_idle();
    }

    fn charge(&mut self, id: OrgId, weight: f64, cost: f64) {
        let mut virtual_start = 0.0;
        self.update(id, |org| {
            virtual_start = org.virtual_start;
            org.weight = weight;
            org.virtual_start += cost / weight;
        });
        self.virtual_time = self.virtual_time.max(virtual_start);
    }

    fn correct_charge(&mut self, id: OrgId, weight: f64, difference: f64) {
        let virtual_time = self.virtual_time;
        self.update(id, |org| {
            // A refund doesn't move the start below the virtual time, since the organisation would
            // accumulate share that way.
            org.virtual_start =
                (org.virtual_start + difference / weight).max(virtual_time.min(org.virtual_start));
        });
    }

    /// Changes an organisation's queue and updates its position in both orders.
    fn update(&mut self, id: OrgId, change: impl FnOnce(&mut OrgQueue)) {
        let org =
            self.orgs.entry(id).or_insert_with(|| OrgQueue { weight: 1.0, ..OrgQueue::default() });
        if !org.by_deadline.is_empty() {
            self.by_virtual_start.remove(&(OrderedF64(org.virtual_start), id));
            self.by_virtual_finish.remove(&(OrderedF64(org.virtual_finish()), id));
        }
        change(org);
        if !org.by_deadline.is_empty() {
            self.by_virtual_start.insert((OrderedF64(org.virtual_start), id));
            self.by_virtual_finish.insert((OrderedF64(org.virtual_finish()), id));
        }
    }

    fn forget_idle(&mut self) {
        if self.orgs.len() <= FORGET_IDLE_ORGS_ABOVE
            || self.orgs.len() < 2 * self.by_virtual_start.len()
        {
            return;
        }
        let virtual_time = self.virtual_time;
        let before = self.orgs.len();
        self.orgs.retain(|_, org| !org.by_deadline.is_empty() || org.virtual_start > virtual_time);
        if self.orgs.len() == before {
            // All idle ones are ahead of the virtual time. They stay, since removing one would
            // cancel the part of its charge that is ahead.
            self.orgs.shrink_to_fit();
        }
    }
}

#[cfg(test)]
mod tests {
    use smallvec::smallvec;

    use super::*;
    use crate::event::KindId;

    fn push(queue: &mut Queue, ticket: u64, org: u64, cost: f64) {
        let descriptor = Descriptor {
            rank: 0,
            org: OrgId(org),
            weight: 1,
            kind: KindId(0),
            prompt_tokens: 0,
            answer_tokens: 1,
            has_length_hint: false,
            goal: None,
            prefix: smallvec![],
            deadline: 1000.0,
            reports_first_token: true,
            failed_at: smallvec![],
        };
        let waiting =
            Waiting { descriptor, since: 0.0, cost, latest_start: 500.0, missed_goal: false };
        queue.push(Ticket(ticket), waiting);
    }

    #[test]
    fn a_small_organisation_is_served_before_the_backlog_of_a_large_one() {
        let mut queue = Queue::new(true);
        (0..10).for_each(|t| push(&mut queue, t, 1, 10.0));
        (0..3).for_each(|_| drop(queue.dispatch(queue.heads(0)[0])));
        push(&mut queue, 100, 2, 10.0);
        let served: Vec<_> =
            (0..2).map(|_| queue.dispatch(queue.heads(0)[0]).unwrap().descriptor.org.0).collect();
        assert!(served.contains(&2), "{served:?}");
    }

    #[test]
    fn requests_that_missed_their_goal_queue_behind_the_others() {
        let mut queue = Queue::new(true);
        for (ticket, first_token_by) in [(1, 100.0), (2, 900.0)] {
            let goal = Some(crate::event::LatencyGoal {
                first_token_by,
                max_gap_ms: 500.0,
                caller_leaves_at: 2_000.0,
            });
            push(&mut queue, ticket, 1, 10.0);
            let mut waiting = queue.remove(Ticket(ticket)).unwrap();
            waiting.descriptor.goal = goal;
            queue.push(Ticket(ticket), waiting);
        }
        assert_eq!(queue.heads(0)[..], [Ticket(1), Ticket(2)]);
        queue.demote_missed_goals(500.0);
        assert_eq!(queue.heads(0)[..], [Ticket(2), Ticket(1)]);
        assert_eq!(queue.victim(0), Some(Ticket(1)));
        assert_eq!((queue.len(), queue.tier_len(0)), (2, 2));
    }

    #[test]
    fn the_organisation_furthest_over_its_share_is_shed_first() {
        let mut queue = Queue::new(true);
        (0..10).for_each(|t| push(&mut queue, t, 1, 10.0));
        push(&mut queue, 100, 2, 20.0);
        let victim = queue.victim(0).unwrap();
        assert_eq!(queue.get(victim).unwrap().descriptor.org, OrgId(1));
    }
}
