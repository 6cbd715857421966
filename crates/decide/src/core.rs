//! Processes events, keeps the state of the pool and queues the resulting actions.

mod endpoints;
mod flight;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use self::flight::InFlightRequest;
use crate::{
    budget::RetryBudget,
    capacity::{PoolCapacity, SpeedSums},
    choose::{Chooser, RandomSource},
    endpoint::Endpoint,
    event::{
        Action, Descriptor, EndpointKey, EndpointLoad, Event, KindId, Millis, Rank, Refusal, Speed,
        Ticket, WaitingCounts, Why,
    },
    learn::{Average, Rate},
    long_work::LongWorkLimit,
    policy::{Placement, Policy, TierPolicy},
    prefix::PrefixIndex,
    queue::{OrderedF64, Queue, Waiting},
    ready::ReadyEndpoints,
    shed::{MAX_WAITING, PoolState, Shedder},
};

/// Requests that an engine is assumed to decode in one batch, sharing the time of a decode step.
const DECODE_BATCH_REQUESTS: f64 = 8.0;
/// Answers are often shorter than the average: a request counts as late only if even this
/// share of the expected answer couldn't be decoded in time.
const SHORT_ANSWER_SHARE: f64 = 0.5;
const CAPACITY_WINDOW_MS: Millis = 2_000.0;
/// Window over which a tier's share of the dispatched work is compared with its floor.
const TIER_SHARE_WINDOW_MS: Millis = 5_000.0;
/// The duration up to which a request counts as short, as a multiple of the mean age of the other
/// schedulers' loads.
const SHORT_WORK_LOAD_AGES: f64 = 4.0;
/// Initial estimate of the time that a request spends at an endpoint.
const DEFAULT_REQUEST_DURATION_MS: Millis = 1_000.0;
/// The capacity of a pool is estimated to be at least this share of what its slots complete
/// when all are in use; a little used pool dispatches less than its capacity.
const IDLE_CAPACITY_SHARE: f64 = 0.5;
/// Interval at which the curves of all endpoints are fitted anew; they follow their own samples at
/// once.
const REFIT_INTERVAL_MS: Millis = 100.0;

/// A snapshot of the core for metrics and status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests waiting in the queue.
    pub waiting: u32,
    /// Requests in flight at endpoints.
    pub in_flight: u32,
    /// Requests that this scheduler may have in flight at all endpoints together, including
    /// those already in flight.
    pub room: u32,
    /// Endpoints whose circuit breaker is open.
    pub open_breakers: u32,
}

/// The scheduler of one pool; see the [crate documentation](crate).
#[derive(Debug)]
pub struct Core {
    policy: Policy,
    now: Millis,
    endpoints: SecondaryMap<EndpointKey, Endpoint>,
    prefixes: PrefixIndex,
    long_work: LongWorkLimit,
    ready: ReadyEndpoints,
    queue: Queue,
    in_flight: FxHashMap<Ticket, InFlightRequest>,
    shedder: Shedder,
    budget: RetryBudget,
    random: RandomSource,
    answer_lengths: FxHashMap<KindId, Average>,
    base_ms: Average,
    prefill_ms_per_token: Average,
    decode_ms_per_token: Average,
    /// Average ratio of a request's estimated engine time to the time for which it occupies a
    /// slot.
    cost_per_slot_ms: Average,
    /// Estimated engine time of dispatched requests, in milliseconds.
    dispatched_cost: Rate,
    dispatched_cost_by_tier: Vec<Rate>,
    /// Requests that may still be spilled to other availability zones.
    neighbour_room: u32,
    /// Share of the pool's room, 0 to 1, up to which this scheduler uses any free slot.
    pool_share: f64,
    mean_load_age_ms: Millis,
    /// Requests that wait at the schedulers that share the pool.
    peers_waiting: WaitingCounts,
    /// Time at which the endpoints' allowances beyond the share were last redrawn.
    allowance_redrawn_at: Millis,
    request_duration_ms: Average,
    actions: VecDeque<Action>,
    capacity: PoolCapacity,
    has_interactive: bool,
    refitted_at: Millis,
}

impl Core {
    /// Creates a core without endpoints.
    pub fn new(policy: Policy) -> Self {
        Self {
            now: 0.0,
            endpoints: SecondaryMap::new(),
            prefixes: PrefixIndex::new(policy.max_prefix_blocks),
            long_work: LongWorkLimit::new(policy.room_for_short),
            ready: ReadyEndpoints::default(),
            queue: Queue::new(policy.fair_share),
            in_flight: FxHashMap::default(),
            shedder: Shedder::default(),
            budget: RetryBudget::new(),
            random: RandomSource::new(policy.seed),
            answer_lengths: FxHashMap::default(),
            base_ms: Average::new(Speed::default().base_ms, 0.05),
            prefill_ms_per_token: Average::new(Speed::default().prefill_ms_per_token, 0.05),
            decode_ms_per_token: Average::new(Speed::default().decode_ms_per_token, 0.05),
            cost_per_slot_ms: Average::new(1.0, 0.02),
            dispatched_cost: Rate::new(CAPACITY_WINDOW_MS),
            dispatched_cost_by_tier: Vec::new(),
            neighbour_room: 0,
            pool_share: 1.0,
            mean_load_age_ms: 0.0,
            peers_waiting: WaitingCounts::new(),
            allowance_redrawn_at: 0.0,
            request_duration_ms: Average::new(DEFAULT_REQUEST_DURATION_MS, 0.02),
            actions: VecDeque::new(),
            capacity: PoolCapacity::default(),
            has_interactive: false,
            refitted_at: f64::NEG_INFINITY,
            policy,
        }
    }

    /// Replaces the tier settings, indexed by rank, after a change of the configuration.
    pub fn set_tiers(&mut self, tiers: Vec<TierPolicy>) {
        self.policy.tiers = tiers;
    }

    /// Sets whether a request is shed only if an estimate shows that it would be late.
    pub fn set_shed_only_late(&mut self, shed_only_late: bool) {
        self.policy.shed_only_late = shed_only_late;
    }

    /// Processes an event, then dispatches or sheds waiting requests.
    ///
    /// Time doesn't go back: a `now` before that of an earlier call is replaced by that one.
    pub fn handle(&mut self, now: Millis, event: Event) {
        self.now = now.max(self.now);
        match event {
            Event::Offer(ticket, req) => self.offer(ticket, req),
            Event::Adopt(ticket, key, req) => self.adopt(ticket, key, req),
            Event::Withdraw(ticket) => drop(self.queue.remove(ticket)),
            Event::FirstToken(ticket) => self.first_token(ticket),
            Event::End(ticket, ending) => self.end(ticket, ending),
            Event::EndpointJoined(key, spec) => self.endpoint_joined(key, &spec),
            Event::EndpointLeaving(key) => self.endpoint_leaving(key),
            Event::EndpointGone(key) => self.endpoint_gone(key),
            Event::LoadReported(key, report) => {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.apply_report(self.now, report);
                }
                self.refresh(key);
            }
            Event::PauseRequested(key, until) => {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.pause(until);
                }
                self.refresh(key);
                self.refuse_all_without_endpoint();
            }
            Event::RateShared(key, share) => {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.set_rate_share(self.now, share);
                }
                self.refresh(key);
            }
            Event::PeerLoadUpdated(key, peer_load) => {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.set_peer_load(peer_load);
                }
                self.refresh(key);
            }
            Event::CacheStored(key, blocks) => self.prefixes.store(key, &blocks),
            Event::CacheEvicted(key, blocks) => self.prefixes.remove_blocks(key, &blocks),
            Event::PeersUpdated { pool_share, mean_load_age_ms, waiting } => {
                self.pool_share = pool_share;
                self.mean_load_age_ms = mean_load_age_ms;
                self.peers_waiting = waiting;
            }
            Event::NeighbourRoomUpdated(room) => self.neighbour_room = room,
            Event::Tick => self.tick(),
            Event::StreamReported(ticket, report) => self.stream_reported(ticket, &report),
            Event::PeerSpeedUpdated(key, sums) => {
                self.has_interactive = true;
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.samples.set_peers(sums, self.now);
                }
            }
        }
        self.process_queue();
    }

    /// Removes and returns the next action; the driver calls this until it returns `None`.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns whether the request is still in the queue.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.queue.get(ticket).is_some()
    }

    /// Returns the mean speed of the pool's endpoints.
    pub fn mean_speed(&self) -> Speed {
        Speed {
            base_ms: self.base_ms.get(),
            prefill_ms_per_token: self.prefill_ms_per_token.get(),
            decode_ms_per_token: self.decode_ms_per_token.get(),
        }
    }

    /// Returns this scheduler's load at each endpoint with requests in flight.
    pub fn endpoint_loads(&self) -> impl Iterator<Item = (EndpointKey, EndpointLoad)> {
        let busy = self.endpoints.iter().filter(|(_, e)| e.in_flight() > 0);
        busy.map(|(key, e)| (key, e.load()))
    }

    /// Returns the numbers of waiting requests by tier, most urgent first.
    pub fn waiting_by_tier(&self) -> WaitingCounts {
        self.queue.ranks().map(|rank| (rank, self.queue.tier_len(rank))).collect()
    }

    /// Returns a snapshot for metrics and status.
    pub fn counts(&self) -> Counts {
        let open = self.endpoints.values().filter(|e| e.breaker.is_open()).count();
        Counts {
            waiting: self.queue.len() as u32,
            in_flight: self.in_flight.len() as u32,
            room: self.total_room(),
            open_breakers: open as u32,
        }
    }

    /// Returns this scheduler's own samples at endpoints that have unreported ones, at most `max`,
    /// those with the oldest sample first; they count as reported then.
    pub fn take_endpoint_speeds(&mut self, max: usize) -> Vec<(EndpointKey, SpeedSums)> {
        let unreported = self.endpoints.iter().filter_map(|(key, endpoint)| {
            Some((OrderedF64(endpoint.samples.unreported_since()?), key))
        });
        let mut keys: Vec<_> = unreported.collect();
        keys.sort_unstable();
        let now = self.now;
        let keys = keys.into_iter().take(max);
        keys.map(|(_, key)| (key, self.endpoints[key].samples.take_report(now))).collect()
    }

    fn offer(&mut self, ticket: Ticket, req: Descriptor) {
        let rank = req.rank;
        self.has_interactive |= self.is_placed_by_capacity(&req);
        self.shedder.record_patience(rank, req.caller_leaves_at() - self.now);
        let waiting = self.with_estimates(req);
        if !self.may_serve_soon() {
            return self.refuse(ticket, rank, self.now, Refusal::NoEndpoint);
        }
        if !self.policy.queueing {
            return self.place_without_queue(ticket, waiting);
        }
        if !waiting.descriptor.failed_at.is_empty() && !self.budget.spend() {
            return self.refuse(ticket, rank, self.now, Refusal::RetryBudget);
        }
        if self.policy.drop_late && waiting.latest_start < self.now {
            return self.refuse(ticket, rank, self.now, Refusal::Late);
        }
        let lowest = self.queue.len_below(rank) == 0;
        let is_blocked = self.policy.shedding && lowest && {
            self.shedder.blocks_admission(rank, self.now) && self.may_shed(&waiting)
        };
        if is_blocked {
            self.shedder.record_shed(rank, self.now);
            return self.spill_or_refuse(ticket, rank, self.now);
        }
        self.queue.push(ticket, waiting);
    }

    /// Creates the queue entry of a request, with its estimated cost and latest start.
    fn with_estimates(&self, req: Descriptor) -> Waiting {
        let answer = self.answer_tokens(&req);
        let prefill = f64::from(req.prompt_tokens) * self.prefill_ms_per_token.get();
        let base = self.base_ms.get();
        let decode = answer * self.decode_ms_per_token.get();
        let cost = base + prefill + decode / DECODE_BATCH_REQUESTS;
        // A cached prefix may save nearly all of the prefill.
        let uncached_prefill = if req.prefix.is_empty() { prefill } else { 0.0 };
        let by_estimates = match req.goal {
            Some(goal) => {
                let (first_token, complete) = self.minimum_times(&req, answer);
                (req.deadline - complete).min(goal.caller_leaves_at - first_token)
            }
            None => req.deadline - (base + uncached_prefill + decode * SHORT_ANSWER_SHARE),
        };
        let latest_start = match self.prefill_ms_per_token.is_learned() {
            true => by_estimates,
            // Before anything is learned, the defaults aren't reliable enough to refuse a request.
            false => req.caller_leaves_at(),
        };
        Waiting { descriptor: req, since: self.now, cost, latest_start, missed_goal: false }
    }

    /// Estimates the minimum times to the first token and to the complete answer, each at
    /// the endpoint that is fastest for it.
    fn minimum_times(&self, req: &Descriptor, answer: f64) -> (Millis, Millis) {
        let endpoints = self.endpoints.values().filter(|e| !e.is_leaving);
        let is_interactive = self.is_placed_by_capacity(req);
        endpoints.fold((f64::INFINITY, f64::INFINITY), |(first_token, complete), e| {
            if let Some(curve) = e.samples.curve().filter(|_| is_interactive) {
                let prefill = match req.prefix.is_empty() {
                    true => f64::from(req.prompt_tokens) * curve.prefill_ms_per_token,
                    false => 0.0,
                };
                let decode = answer * curve.decode_ms(1.0) * SHORT_ANSWER_SHARE;
                return (first_token.min(prefill), complete.min(prefill + decode));
            }
            let uncached_prefill = match req.prefix.is_empty() {
                true => f64::from(req.prompt_tokens) * e.prefill_ms_per_token(),
                false => 0.0,
            };
            let first = e.base_ms() + uncached_prefill;
            let decode = answer * e.idle_decode_ms_per_token() * SHORT_ANSWER_SHARE;
            (first_token.min(first), complete.min(first + decode))
        })
    }

    /// Returns whether the request is an interactive stream, which is placed by the learned capacity
    /// of the endpoints.
    fn is_placed_by_capacity(&self, req: &Descriptor) -> bool {
        self.policy.endpoint_capacity && req.goal.is_some_and(|goal| goal.is_interactive())
    }

    fn answer_tokens(&self, req: &Descriptor) -> f64 {
        match self.answer_lengths.get(&req.kind) {
            _ if req.has_length_hint => f64::from(req.answer_tokens),
            Some(learned) if learned.is_learned() => learned.get(),
            _ => f64::from(req.answer_tokens),
        }
    }

    fn process_queue(&mut self) {
        if !self.policy.queueing {
            return;
        }
        self.drop_late();
        self.queue.demote_missed_goals(self.now);
        while self.queue.len() > 0 && self.dispatch_one() {}
        self.shed();
    }

    fn drop_late(&mut self) {
        if !self.policy.drop_late {
            return;
        }
        while let Some(ticket) = self.queue.first_late(self.now) {
            let Some(waiting) = self.queue.remove(ticket) else { return };
            self.refuse(ticket, waiting.descriptor.rank, waiting.since, Refusal::Late);
        }
    }

    /// Dispatches the next request in order; returns false if none can be dispatched.
    fn dispatch_one(&mut self) -> bool {
        let free = self.total_room().saturating_sub(self.in_flight.len() as u32);
        if free == 0 {
            return false;
        }
        let order = self.dispatch_order();
        order.into_iter().any(|rank| {
            let leaves_slot = free <= self.slots_left_to_peers(rank) && !self.is_below_floor(rank);
            self.dispatch_from_tier(rank, leaves_slot)
        })
    }

    /// Returns whether a request ends so soon that a slot left free for another scheduler would
    /// stay empty for about as long.
    fn is_short(&self, req: &Descriptor, answer: f64) -> bool {
        let prefill = f64::from(req.prompt_tokens) * self.prefill_ms_per_token.get();
        let duration = self.base_ms.get() + prefill + answer * self.decode_ms_per_token.get();
        duration <= SHORT_WORK_LOAD_AGES * self.mean_load_age_ms
    }

    /// Returns the number of free slots that a request of the tier leaves to more urgent ones, which
    /// wait at other schedulers.
    ///
    /// Without this, under overload a scheduler would reuse each slot that it frees for its own
    /// less urgent requests, while more urgent ones wait at a scheduler with few slots.
    fn slots_left_to_peers(&self, rank: Rank) -> u32 {
        let more_urgent = self.peers_waiting.iter().filter(|(waiting, _)| *waiting < rank);
        more_urgent.map(|(_, count)| count).sum()
    }

    /// Returns the tiers in dispatch order: those below their floor first, then all by rank.
    fn dispatch_order(&self) -> SmallVec<[Rank; 16]> {
        let mut dispatch_order = SmallVec::new();
        let ranks: SmallVec<[Rank; 8]> = self.queue.ranks().collect();
        if self.policy.floors {
            let below_floor = ranks.iter().skip(1).filter(|r| self.is_below_floor(**r));
            dispatch_order.extend(below_floor.copied());
        }
        dispatch_order.extend(ranks);
        dispatch_order
    }

    /// Returns whether the tier's share of recently dispatched work is below its floor.
    fn is_below_floor(&self, rank: Rank) -> bool {
        let all = self.dispatched_cost_by_tier.iter().map(|r| r.total(self.now)).sum::<f64>();
        let own =
            self.dispatched_cost_by_tier.get(usize::from(rank)).map_or(0.0, |r| r.total(self.now));
        own < all * self.policy.floor(rank)
    }

    /// Dispatches a request of the tier; with `only_short`, one that is short.
    fn dispatch_from_tier(&mut self, rank: Rank, only_short: bool) -> bool {
        let heads = self.queue.heads(rank);
        heads.into_iter().any(|ticket| self.dispatch_ticket(ticket, only_short))
    }

    fn dispatch_ticket(&mut self, ticket: Ticket, only_short: bool) -> bool {
        let Some(waiting) = self.queue.get(ticket) else { return false };
        let answer = self.answer_tokens(&waiting.descriptor);
        if only_short && !self.is_short(&waiting.descriptor, answer) {
            return false;
        }
        let Some(chosen) = self.chooser().choose(&waiting.descriptor, answer) else { return false };
        let Some(waiting) = self.queue.dispatch(ticket) else { return false };
        self.send(ticket, waiting, chosen);
        true
    }

    fn place_without_queue(&mut self, ticket: Ticket, waiting: Waiting) {
        let mut random = std::mem::replace(&mut self.random, RandomSource::new(0));
        let chosen = self.chooser().baseline(&waiting.descriptor, &mut random);
        self.random = random;
        match chosen {
            Some(chosen) => self.send(ticket, waiting, chosen),
            None => self.refuse(ticket, waiting.descriptor.rank, self.now, Refusal::NoEndpoint),
        }
    }

    fn chooser(&self) -> Chooser<'_> {
        Chooser {
            policy: &self.policy,
            endpoints: &self.endpoints,
            prefixes: &self.prefixes,
            long_work: &self.long_work,
            ready: &self.ready,
            now: self.now,
            pool_prefill_ms_per_token: self.prefill_ms_per_token.get(),
            has_reached_share: self.has_reached_share(),
            capacity: &self.capacity,
        }
    }

    /// Returns whether this scheduler has its share of the pool in flight. Other schedulers
    /// may be about to use any slot that it takes beyond the share.
    fn has_reached_share(&self) -> bool {
        let own = f64::from(self.ready.shared_limit()) * self.pool_share;
        self.in_flight.len() as f64 + 1.0 > own.max(1.0)
    }

    fn shed(&mut self) {
        if !self.policy.shedding {
            return;
        }
        let mut shedder = std::mem::take(&mut self.shedder);
        while let Some(ticket) = self.next_victim(&mut shedder) {
            let Some(waiting) = self.queue.remove(ticket) else { break };
            shedder.record_shed(waiting.descriptor.rank, self.now);
            self.spill_or_refuse(ticket, waiting.descriptor.rank, waiting.since);
        }
        self.shedder = shedder;
    }

    fn next_victim(&self, shedder: &mut Shedder) -> Option<Ticket> {
        if self.queue.len() == 0 {
            return None;
        }
        let ticket = self.with_pool(|pool| shedder.next_victim(pool))?;
        let waiting = self.queue.get(ticket)?;
        (self.queue.len() > MAX_WAITING || self.may_shed(waiting)).then_some(ticket)
    }

    /// Returns whether a request may be shed: always, or with [`Policy::shed_only_late`] only if its
    /// first token would be late.
    ///
    /// After a tier was shed, less urgent requests are blocked for a moment, even if all that waited
    /// have left and slots are free.
    fn may_shed(&self, waiting: &Waiting) -> bool {
        if !self.policy.shed_only_late {
            return true;
        }
        let is_idle = self.queue.len() == 0 && self.total_room() > self.in_flight.len() as u32;
        if is_idle {
            return false;
        }
        let req = &waiting.descriptor;
        let wait = self.with_pool(|pool| Shedder::estimated_wait(pool, req.rank));
        let (first_token, _) = self.minimum_times(req, self.answer_tokens(req));
        let latest_start = match req.goal {
            Some(goal) => goal.first_token_by - first_token,
            None => waiting.latest_start,
        };
        self.now + wait > latest_start
    }

    fn with_pool<T>(&self, f: impl FnOnce(&PoolState<'_>) -> T) -> T {
        let tier_floor = |rank| self.policy.floor(rank);
        f(&PoolState {
            queue: &self.queue,
            capacity: self.capacity(),
            tier_floor: &tier_floor,
            now: self.now,
        })
    }

    /// Estimates how many milliseconds of engine time the pool completes in a millisecond.
    fn capacity(&self) -> f64 {
        let by_slots =
            f64::from(self.total_room()) * self.cost_per_slot_ms.get() * IDLE_CAPACITY_SHARE;
        self.dispatched_cost.per_ms(self.now).max(by_slots)
    }

    /// Spills a request to another availability zone if that has free room, or refuses it.
    fn spill_or_refuse(&mut self, ticket: Ticket, rank: Rank, since: Millis) {
        if self.neighbour_room == 0 {
            return self.refuse(ticket, rank, since, Refusal::Load);
        }
        self.neighbour_room -= 1;
        let why = self.why(rank, since);
        self.actions.push_back(Action::Spill(ticket, why));
    }

    fn refuse(&mut self, ticket: Ticket, rank: Rank, since: Millis, refusal: Refusal) {
        let mut why = self.why(rank, since);
        if refusal == Refusal::NoEndpoint {
            why.endpoint_wait_ms = self.endpoint_wait();
        }
        self.actions.push_back(Action::Refuse(ticket, refusal, why));
    }

    fn why(&self, rank: Rank, since: Millis) -> Why {
        Why {
            waited_ms: self.now - since,
            waiting_in_tier: self.queue.tier_len(rank),
            waiting_below: self.queue.len_below(rank),
            tier_wait_ms: self.with_pool(|pool| Shedder::estimated_wait(pool, rank)),
            in_flight: self.in_flight.len() as u32,
            room: self.total_room(),
            endpoint_wait_ms: 0.0,
        }
    }

    fn total_room(&self) -> u32 {
        self.ready.room()
    }

    fn tier_rate(&mut self, rank: Rank) -> &mut Rate {
        let index = usize::from(rank);
        while self.dispatched_cost_by_tier.len() <= index {
            self.dispatched_cost_by_tier.push(Rate::new(TIER_SHARE_WINDOW_MS));
        }
        &mut self.dispatched_cost_by_tier[index]
    }
}

impl Policy {
    /// Returns the settings of a bench baseline, which has no queue and only chooses endpoints.
    pub fn baseline(placement: Placement) -> Self {
        Self { placement, queueing: false, ..Self::default() }
    }
}
