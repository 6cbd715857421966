//! The core itself: takes events, keeps the pool's state, hands out actions.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::{
    budget::RetryBudget,
    choose::{Chooser, Draw, Placed},
    endpoint::{Endpoint, SendOrder, Sent, is_tight},
    event::{
        Action, Descriptor, Ending, EndpointKey, EndpointSpec, Event, KindId, Millis, OrgId, Rank,
        Refusal, Ticket, Why,
    },
    learn::{Average, Rate},
    policy::{Placement, Policy, TierPolicy},
    prefix::PrefixIndex,
    queue::{Queue, Waiting},
    ready::Ready,
    room::Room,
    shed::{Pool, Shedder},
};

/// Requests that an engine writes side by side share the time of a decode step.
const DECODE_BATCH: f64 = 8.0;
/// Answers are often shorter than the average; a request is late only when even
/// this share of the expected answer could not be written in time.
const SHORT_ANSWER: f64 = 0.5;
const CAPACITY_WINDOW_MS: Millis = 2_000.0;
const FLOOR_WINDOW_MS: Millis = 5_000.0;
/// What little use of the pool says of its capacity under load.
const IDLE_CAPACITY_SHARE: f64 = 0.5;
/// Numbers for metrics and status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests at endpoints.
    pub in_flight: u32,
    /// Requests that endpoints may have in flight now.
    pub room: u32,
    /// Endpoints whose breaker is open.
    pub open_breakers: u32,
}

/// A dispatched request.
#[derive(Clone, Debug)]
struct Flight {
    endpoint: EndpointKey,
    rank: Rank,
    org: OrgId,
    weight: u32,
    kind: KindId,
    prompt_tokens: u32,
    cost: f64,
    /// The first block of the prompt, until it is read.
    reading: Option<u64>,
    sent: Sent,
}

/// Decides for one pool; see the crate's documentation.
#[derive(Debug)]
pub struct Core {
    policy: Policy,
    now: Millis,
    endpoints: SecondaryMap<EndpointKey, Endpoint>,
    prefixes: PrefixIndex,
    room: Room,
    ready: Ready,
    queue: Queue,
    flights: FxHashMap<Ticket, Flight>,
    shedder: Shedder,
    budget: RetryBudget,
    draw: Draw,
    answers: FxHashMap<KindId, Average>,
    base_ms: Average,
    prefill_ms: Average,
    decode_ms: Average,
    cost_per_slot_ms: Average,
    dispatched: Rate,
    dispatched_by_tier: Vec<Rate>,
    neighbour_room: u32,
    actions: VecDeque<Action>,
}

impl Core {
    /// Makes a core without endpoints.
    pub fn new(policy: Policy) -> Self {
        Self {
            now: 0.0,
            endpoints: SecondaryMap::new(),
            prefixes: PrefixIndex::default(),
            room: Room::new(policy.room_for_short),
            ready: Ready::default(),
            queue: Queue::new(policy.fair_share),
            flights: FxHashMap::default(),
            shedder: Shedder::default(),
            budget: RetryBudget::new(),
            draw: Draw::new(policy.seed),
            answers: FxHashMap::default(),
            base_ms: Average::new(20.0, 0.05),
            prefill_ms: Average::new(0.2, 0.05),
            decode_ms: Average::new(25.0, 0.05),
            cost_per_slot_ms: Average::new(1.0, 0.02),
            dispatched: Rate::new(CAPACITY_WINDOW_MS),
            dispatched_by_tier: Vec::new(),
            neighbour_room: 0,
            actions: VecDeque::new(),
            policy,
        }
    }

    /// Sets what the tiers keep, by rank, after a change of the configuration.
    pub fn set_tiers(&mut self, tiers: Vec<TierPolicy>) {
        self.policy.tiers = tiers;
    }

    /// Takes an event; time may not run backwards.
    pub fn handle(&mut self, now: Millis, event: Event) {
        self.now = now.max(self.now);
        match event {
            Event::Offer(ticket, req) => self.offer(ticket, req),
            Event::Adopt(ticket, key, req) => self.adopt(ticket, key, req),
            Event::Withdraw(ticket) => drop(self.queue.remove(ticket)),
            Event::FirstToken(ticket) => self.first_token(ticket),
            Event::End(ticket, ending) => self.end(ticket, ending),
            Event::EndpointJoined(key, spec) => self.joined(key, &spec),
            Event::EndpointLeaving(key) => self.leaving(key),
            Event::EndpointGone(key) => self.gone(key),
            Event::Reported(key, report) => {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.report(self.now, report);
                }
                self.refresh(key);
            }
            Event::CacheStored(key, blocks) => self.prefixes.store(key, &blocks),
            Event::CacheDropped(key, blocks) => self.prefixes.drop_blocks(key, &blocks),
            Event::NeighbourRoom(room) => self.neighbour_room = room,
            Event::Tick => self.tick(),
        }
        self.pump();
    }

    /// Returns the next thing that the driver has to do.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Says whether the request still waits.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.queue.get(ticket).is_some()
    }

    /// Says whether the endpoint's breaker keeps work from it.
    pub fn is_open(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|e| e.breaker.is_open())
    }

    /// Returns how many requests of a tier wait, and how many of less urgent ones.
    pub fn waiting(&self, rank: Rank) -> (u32, u32) {
        (self.queue.tier_len(rank), self.queue.len_below(rank))
    }

    /// Returns numbers for metrics and status.
    pub fn counts(&self) -> Counts {
        let open = self.endpoints.values().filter(|e| e.breaker.is_open()).count();
        Counts {
            waiting: self.queue.len() as u32,
            in_flight: self.flights.len() as u32,
            room: self.slots(),
            open_breakers: open as u32,
        }
    }

    fn offer(&mut self, ticket: Ticket, req: Descriptor) {
        let rank = req.rank;
        self.shedder.offered(rank, req.deadline - self.now);
        let waiting = self.estimate(req);
        if !self.endpoints.values().any(|e| !e.leaving) {
            return self.refuse(ticket, rank, self.now, Refusal::NoEndpoint);
        }
        if !self.policy.queueing {
            return self.place_at_once(ticket, waiting);
        }
        if !waiting.descriptor.failed_at.is_empty() && !self.budget.spend() {
            return self.refuse(ticket, rank, self.now, Refusal::RetryBudget);
        }
        if self.policy.drop_late && waiting.latest_start < self.now {
            return self.refuse(ticket, rank, self.now, Refusal::Late);
        }
        let lowest = self.queue.len_below(rank) == 0;
        if self.policy.shedding && lowest && self.shedder.bars(rank, self.now) {
            self.shedder.was_shed(rank, self.now);
            return self.yield_load(ticket, rank, self.now);
        }
        self.queue.push(ticket, waiting);
    }

    fn estimate(&self, req: Descriptor) -> Waiting {
        let answer = self.answer_tokens(&req);
        let prefill = f64::from(req.prompt_tokens) * self.prefill_ms.get();
        let base = self.base_ms.get();
        let write = answer * self.decode_ms.get();
        let cost = base + prefill + write / DECODE_BATCH;
        // A cached prefix may save nearly all of the reading.
        let read = if req.prefix.is_empty() { prefill } else { 0.0 };
        let latest_start = req.deadline - base - read - write * SHORT_ANSWER;
        Waiting { descriptor: req, since: self.now, cost, latest_start }
    }

    fn answer_tokens(&self, req: &Descriptor) -> f64 {
        match self.answers.get(&req.kind) {
            Some(learned) if learned.is_learned() => learned.get(),
            _ => f64::from(req.answer_tokens),
        }
    }

    fn pump(&mut self) {
        if !self.policy.queueing {
            return;
        }
        self.drop_late();
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

    /// Dispatches the request whose turn it is; false when none can go.
    fn dispatch_one(&mut self) -> bool {
        let in_flight = self.flights.len() as u32;
        if self.slots() <= in_flight {
            return false;
        }
        self.turns().into_iter().any(|rank| self.dispatch_from(rank))
    }

    /// Lists the tiers in the order of their turns, those below their floor first.
    fn turns(&self) -> SmallVec<[Rank; 16]> {
        let mut turns = SmallVec::new();
        let ranks: SmallVec<[Rank; 8]> = self.queue.ranks().collect();
        if self.policy.floors {
            let starved = ranks.iter().skip(1).filter(|r| self.is_starved(**r));
            turns.extend(starved.copied());
        }
        turns.extend(ranks);
        turns
    }

    /// Says whether a tier got less than its floor while more urgent work waits.
    fn is_starved(&self, rank: Rank) -> bool {
        let all = self.dispatched_by_tier.iter().map(|r| r.total(self.now)).sum::<f64>();
        let own = self.dispatched_by_tier.get(usize::from(rank)).map_or(0.0, |r| r.total(self.now));
        own < all * self.policy.floor(rank)
    }

    fn dispatch_from(&mut self, rank: Rank) -> bool {
        self.queue.heads(rank).into_iter().any(|ticket| self.dispatch_ticket(ticket))
    }

    fn dispatch_ticket(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.queue.get(ticket) else { return false };
        let answer = self.answer_tokens(&waiting.descriptor);
        let Some(placed) = self.chooser().choose(&waiting.descriptor, answer) else { return false };
        let Some(waiting) = self.queue.dispatch(ticket) else { return false };
        self.send(ticket, waiting, placed);
        true
    }

    fn place_at_once(&mut self, ticket: Ticket, waiting: Waiting) {
        let mut draw = std::mem::replace(&mut self.draw, Draw::new(0));
        let placed = self.chooser().baseline(&waiting.descriptor, &mut draw);
        self.draw = draw;
        match placed {
            Some(placed) => self.send(ticket, waiting, placed),
            None => self.refuse(ticket, waiting.descriptor.rank, self.now, Refusal::NoEndpoint),
        }
    }

    fn chooser(&self) -> Chooser<'_> {
        Chooser {
            policy: &self.policy,
            endpoints: &self.endpoints,
            prefixes: &self.prefixes,
            room: &self.room,
            ready: &self.ready,
            now: self.now,
        }
    }

    fn send(&mut self, ticket: Ticket, waiting: Waiting, placed: Placed) {
        let why = self.why(waiting.descriptor.rank, waiting.since);
        let Waiting { descriptor: req, cost, .. } = waiting;
        let key = placed.choice.endpoint;
        let order = SendOrder {
            unread_tokens: placed.unread_tokens,
            long_prefill: placed.long_prefill,
            is_long: placed.is_long,
            streamed: req.streamed,
            deadline: req.deadline,
        };
        let sent = self.endpoints[key].send(self.now, &order);
        self.refresh(key);
        if placed.long_prefill {
            self.room.count(&self.endpoints);
        }
        self.prefixes.store(key, &req.prefix);
        let reading = req.prefix.first().copied().filter(|_| req.streamed);
        if let Some(block) = reading {
            self.prefixes.begin_reading(key, block);
        }
        let now = self.now;
        self.dispatched.add(now, cost);
        self.tier_rate(req.rank).add(now, cost);
        if req.failed_at.is_empty() {
            self.budget.earn();
        }
        let flight = Flight {
            endpoint: key,
            rank: req.rank,
            org: req.org,
            weight: req.weight,
            kind: req.kind,
            prompt_tokens: req.prompt_tokens,
            cost,
            reading,
            sent,
        };
        self.flights.insert(ticket, flight);
        self.actions.push_back(Action::Dispatch(ticket, placed.choice, why));
    }

    /// Counts a request that another scheduler sent; its prompt is taken to be read.
    fn adopt(&mut self, ticket: Ticket, key: EndpointKey, req: Descriptor) {
        let Waiting { descriptor: req, cost, .. } = self.estimate(req);
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        let order = SendOrder {
            unread_tokens: 0,
            long_prefill: false,
            is_long: false,
            streamed: false,
            deadline: req.deadline,
        };
        let sent = endpoint.send(self.now, &order);
        self.refresh(key);
        let flight = Flight {
            endpoint: key,
            rank: req.rank,
            org: req.org,
            weight: req.weight,
            kind: req.kind,
            prompt_tokens: req.prompt_tokens,
            cost,
            reading: None,
            sent,
        };
        self.flights.insert(ticket, flight);
    }

    fn shed(&mut self) {
        if !self.policy.shedding {
            return;
        }
        let mut shedder = std::mem::take(&mut self.shedder);
        while let Some(ticket) = self.next_victim(&mut shedder) {
            let Some(waiting) = self.queue.remove(ticket) else { break };
            shedder.was_shed(waiting.descriptor.rank, self.now);
            self.yield_load(ticket, waiting.descriptor.rank, waiting.since);
        }
        self.shedder = shedder;
    }

    fn next_victim(&self, shedder: &mut Shedder) -> Option<Ticket> {
        if self.queue.len() == 0 {
            return None;
        }
        self.with_pool(|pool| shedder.next(pool))
    }

    fn with_pool<T>(&self, f: impl FnOnce(&Pool<'_>) -> T) -> T {
        let floor = |rank| self.policy.floor(rank);
        f(&Pool { queue: &self.queue, capacity: self.capacity(), floor: &floor, now: self.now })
    }

    /// Estimates the engine time that the pool works off in a millisecond.
    fn capacity(&self) -> f64 {
        let by_slots = f64::from(self.slots()) * self.cost_per_slot_ms.get() * IDLE_CAPACITY_SHARE;
        self.dispatched.per_ms(self.now).max(by_slots)
    }

    /// Hands a request to a neighbour that has room, or refuses it for load.
    fn yield_load(&mut self, ticket: Ticket, rank: Rank, since: Millis) {
        if self.neighbour_room == 0 {
            return self.refuse(ticket, rank, since, Refusal::Load);
        }
        self.neighbour_room -= 1;
        let why = self.why(rank, since);
        self.actions.push_back(Action::Spill(ticket, why));
    }

    fn refuse(&mut self, ticket: Ticket, rank: Rank, since: Millis, refusal: Refusal) {
        let why = self.why(rank, since);
        self.actions.push_back(Action::Refuse(ticket, refusal, why));
    }

    fn why(&self, rank: Rank, since: Millis) -> Why {
        Why {
            waited_ms: self.now - since,
            waiting_in_tier: self.queue.tier_len(rank),
            waiting_below: self.queue.len_below(rank),
            tier_wait_ms: self.with_pool(|pool| Shedder::wait(pool, rank)),
            in_flight: self.flights.len() as u32,
            room: self.slots(),
        }
    }

    fn slots(&self) -> u32 {
        self.ready.room()
    }

    /// Brings an endpoint's place among those with room up to date.
    fn refresh(&mut self, key: EndpointKey) {
        match self.endpoints.get(key) {
            Some(endpoint) => self.ready.refresh(key, endpoint, self.now),
            None => self.ready.remove(key),
        }
    }

    fn first_token(&mut self, ticket: Ticket) {
        let Some(flight) = self.flights.get_mut(&ticket) else { return };
        let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) else { return };
        endpoint.first_token(self.now, &mut flight.sent);
        if let Some(block) = flight.reading.take() {
            self.prefixes.end_reading(flight.endpoint, block);
        }
        self.base_ms.add(endpoint.base_ms());
        self.prefill_ms.add(endpoint.prefill_ms());
        let (key, long_prefill) = (flight.endpoint, flight.sent.long_prefill);
        if long_prefill {
            self.room.count(&self.endpoints);
        }
        self.refresh(key);
    }

    fn end(&mut self, ticket: Ticket, ending: Ending) {
        let Some(mut flight) = self.flights.remove(&ticket) else { return };
        let now = self.now;
        if let Some(block) = flight.reading.take() {
            self.prefixes.end_reading(flight.endpoint, block);
        }
        if !flight.sent.is_long {
            self.room.short_ended(is_tight(now, &flight.sent));
        }
        let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) else { return };
        match ending {
            Ending::Whole { answer_tokens } => {
                endpoint.finish(self.now, &mut flight.sent, answer_tokens);
                self.decode_ms.add(endpoint.decode_ms());
                self.learn_whole(&flight, answer_tokens);
            }
            Ending::Failed => {
                endpoint.release(&mut flight.sent);
                if self.policy.breaker {
                    endpoint.breaker.failed(self.now);
                }
            }
            Ending::Lost | Ending::Cancelled => {
                endpoint.release(&mut flight.sent);
                endpoint.breaker.probe_ended();
            }
        }
        if flight.sent.long_prefill {
            self.room.count(&self.endpoints);
        }
        self.refresh(flight.endpoint);
    }

    fn learn_whole(&mut self, flight: &Flight, answer_tokens: u32) {
        let tokens = f64::from(answer_tokens);
        self.answers.entry(flight.kind).or_insert_with(|| Average::new(tokens, 0.05)).add(tokens);
        let read = f64::from(flight.prompt_tokens) * self.prefill_ms.get();
        let cost = self.base_ms.get() + read + tokens * self.decode_ms.get() / DECODE_BATCH;
        let duration = (self.now - flight.sent.at).max(1.0);
        self.cost_per_slot_ms.add(cost / duration);
        self.queue.correct(flight.rank, flight.org, flight.weight, cost - flight.cost);
    }

    fn joined(&mut self, key: EndpointKey, spec: &EndpointSpec) {
        self.prefixes.set_capacity(key, spec.cache_blocks);
        match self.endpoints.get_mut(key) {
            Some(endpoint) => endpoint.update(spec),
            None => {
                let endpoint = Endpoint::new(spec, self.policy.adaptive_limit, self.now);
                self.endpoints.insert(key, endpoint);
                self.room.allow(key);
            }
        }
        self.refresh(key);
    }

    fn leaving(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.leaving = true;
        }
        self.refresh(key);
        self.refuse_all_without_endpoint();
    }

    fn gone(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
        self.refresh(key);
        self.prefixes.forget(key);
        self.refuse_all_without_endpoint();
    }

    /// Refuses what waits once no endpoint can serve it, least urgent first.
    fn refuse_all_without_endpoint(&mut self) {
        if self.endpoints.values().any(|e| !e.leaving) {
            return;
        }
        loop {
            let Some(rank) = self.queue.ranks().next_back() else { return };
            let Some(ticket) = self.queue.victim(rank) else { return };
            let Some(waiting) = self.queue.remove(ticket) else { return };
            self.refuse(ticket, rank, waiting.since, Refusal::NoEndpoint);
        }
    }

    fn tick(&mut self) {
        let floor = self.policy.tiers.iter().map(|t| t.floor).fold(0.0, f64::max);
        self.room.review(self.now, &self.endpoints, floor);
        for flight in self.flights.values_mut() {
            if let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) {
                endpoint.presume_read(self.now, &mut flight.sent);
            }
        }
        for (key, endpoint) in &mut self.endpoints {
            if self.policy.breaker && endpoint.is_silent(self.now) {
                endpoint.breaker.open(self.now);
                endpoint.hear(self.now);
            }
            self.ready.refresh(key, endpoint, self.now);
        }
    }

    fn tier_rate(&mut self, rank: Rank) -> &mut Rate {
        let index = usize::from(rank);
        while self.dispatched_by_tier.len() <= index {
            self.dispatched_by_tier.push(Rate::new(FLOOR_WINDOW_MS));
        }
        &mut self.dispatched_by_tier[index]
    }
}

impl Policy {
    /// Returns a baseline of the bench: no queue, only a choice of endpoint.
    pub fn baseline(placement: Placement) -> Self {
        Self { placement, queueing: false, ..Self::default() }
    }
}
