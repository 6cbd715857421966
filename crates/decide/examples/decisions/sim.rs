//! Discrete-event simulation of decision cores, one per pool, with fake engines in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
};

use baobabvane_decide::{
    Action, Core, Descriptor, Ending, EndpointKey, EndpointSpec, Event, FailedAt, LoadReport,
    Millis, Policy, PrefixBlocks, Refusal, Ticket,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    engine::{Engine, Sequence, StepResult},
    scenario::{Arrival, BLOCK_TOKENS, Fault, Scenario},
};

const TICK_MS: Millis = 50.0;
const REPORT_EVERY_MS: Millis = 1_000.0;
const CACHE_EVENT_LAG_MS: Millis = 2_000.0;
/// Share of cache events that are lost on the way to the core.
const CACHE_EVENT_LOSS_SHARE: f64 = 0.2;
const MAX_ATTEMPTS: u32 = 3;
/// Requests that the neighbour zone can accept, in the scenario that has one.
const NEIGHBOUR_ROOM: u32 = 4;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestEnd {
    Answered { answered_ms: Millis },
    Refused(Refusal),
    Spilled,
    TimedOut,
    Failed,
}

/// Outcome and measurements of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestResult {
    pub(crate) end: Option<RequestEnd>,
    pub(crate) first_token_ms: Option<Millis>,
    pub(crate) prefilled_tokens: u32,
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) requests: Vec<RequestResult>,
    /// Requests refused for load while less urgent ones were waiting, and requests queued at the
    /// same time as a more urgent one was refused for load.
    pub(crate) tier_inversions: u64,
    /// Requests refused as too late while less urgent ones were waiting.
    pub(crate) late_above_waiting: u64,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival(usize),
    Deadline(usize),
    StepDone(usize, Box<StepResult>),
    ReportReceived(usize, u32),
    ReportDue(usize),
    CacheStored(usize, PrefixBlocks),
    CacheDropped(usize, PrefixBlocks),
    Fault(Fault),
    Tick,
}

struct ScheduledEvent {
    at: Millis,
    insertion_order: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.insertion_order.cmp(&other.insertion_order))
    }
}

/// A request that has not ended; `engine` is set once it is dispatched.
#[derive(Clone, Copy, Debug)]
struct ActiveRequest {
    ticket: Ticket,
    engine: Option<usize>,
    attempts: u32,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    now: Millis,
    event_count: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    cores: Vec<Core>,
    engines: Vec<Engine>,
    keys: Vec<EndpointKey>,
    engine_by_key: HashMap<EndpointKey, usize>,
    active: HashMap<usize, ActiveRequest>,
    request_by_ticket: HashMap<Ticket, usize>,
    ticket_count: u64,
    rng: SmallRng,
    result: RunResult,
    /// Endpoints at which each request has failed so far.
    failed_at: HashMap<usize, FailedAt>,
    /// Pools and ranks with requests refused for load at the current time, to count inversions.
    shed_now: HashSet<(usize, u8)>,
    has_neighbour: bool,
}

/// Simulates a scenario under a policy until no event is left.
pub(crate) fn run(scenario: &Scenario, policy: &Policy, seed: u64) -> RunResult {
    let mut sim = Sim::new(scenario, policy, seed);
    while let Some(Reverse(next)) = sim.events.pop() {
        if next.at > sim.now {
            sim.shed_now.clear();
        }
        sim.now = next.at;
        sim.process(next.event);
    }
    sim.result
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, policy: &Policy, seed: u64) -> Self {
        let policy = Policy {
            tiers: scenario.tiers.clone(),
            block_tokens: BLOCK_TOKENS,
            seed,
            ..policy.clone()
        };
        let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let mut sim = Self {
            scenario,
            now: 0.0,
            event_count: 0,
            events: BinaryHeap::new(),
            cores: (0..scenario.pool_count).map(|_| Core::new(policy.clone())).collect(),
            engines: Vec::new(),
            keys: Vec::new(),
            engine_by_key: HashMap::new(),
            active: HashMap::new(),
            request_by_ticket: HashMap::new(),
            ticket_count: 0,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            result: RunResult::default(),
            failed_at: HashMap::new(),
            shed_now: HashSet::new(),
            has_neighbour: scenario.name == "neighbour",
        };
        sim.result.requests = vec![RequestResult::default(); scenario.arrivals.len()];
        for (n, (pool, spec)) in scenario.engines.iter().enumerate() {
            let key = arena.insert(());
            sim.keys.push(key);
            sim.engine_by_key.insert(key, n);
            sim.engines.push(Engine::new(*spec, BLOCK_TOKENS));
            let spec = EndpointSpec {
                slots: spec.max_batch as u32,
                cache_blocks: spec.cache_blocks as u32,
                is_in_other_zone: false,
            };
            sim.cores[*pool].handle(0.0, Event::EndpointJoined(key, spec));
            sim.schedule(REPORT_EVERY_MS, SimEvent::ReportDue(n));
        }
        for (n, arrival) in scenario.arrivals.iter().enumerate() {
            sim.schedule(arrival.at, SimEvent::Arrival(n));
        }
        for (at, fault) in &scenario.faults {
            sim.schedule(*at, SimEvent::Fault(*fault));
        }
        sim.schedule(TICK_MS, SimEvent::Tick);
        sim
    }

    fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.event_count += 1;
        self.events.push(Reverse(ScheduledEvent { at, insertion_order: self.event_count, event }));
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(n) => self.arrive(n),
            SimEvent::Deadline(n) => self.on_deadline(n),
            SimEvent::StepDone(engine, result) => self.step_done(engine, *result),
            SimEvent::ReportDue(engine) => self.schedule_report(engine),
            SimEvent::ReportReceived(engine, requests) => {
                let report = LoadReport { requests, age_ms: self.scenario.report_lag_ms };
                self.send(self.pool_of(engine), Event::LoadReported(self.keys[engine], report));
            }
            SimEvent::CacheStored(engine, blocks) => {
                self.send(self.pool_of(engine), Event::CacheStored(self.keys[engine], blocks));
            }
            SimEvent::CacheDropped(engine, blocks) => {
                self.send(self.pool_of(engine), Event::CacheEvicted(self.keys[engine], blocks));
            }
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::Tick => self.tick(),
        }
    }

    fn pool_of(&self, engine: usize) -> usize {
        self.scenario.engines[engine].0
    }

    fn arrival(&self, n: usize) -> &'a Arrival {
        &self.scenario.arrivals[n]
    }

    fn arrive(&mut self, n: usize) {
        let arrival = self.arrival(n);
        self.schedule(arrival.at + arrival.kind.deadline_ms, SimEvent::Deadline(n));
        self.offer(n, 0);
    }

    fn offer(&mut self, n: usize, attempts: u32) {
        let arrival = self.arrival(n);
        self.ticket_count += 1;
        let ticket = Ticket(self.ticket_count);
        self.request_by_ticket.insert(ticket, n);
        self.active.insert(n, ActiveRequest { ticket, engine: None, attempts });
        let req = Descriptor {
            rank: arrival.kind.rank,
            org: arrival.org,
            weight: 1,
            kind: arrival.kind.id,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.kind.answer_tokens,
            has_length_hint: false,
            goal: None,
            prefix: arrival.prefix.clone(),
            deadline: arrival.at + arrival.kind.deadline_ms,
            reports_first_token: true,
            failed_at: self.failed_at.get(&n).cloned().unwrap_or_default(),
        };
        if self.has_neighbour {
            self.send(arrival.pool, Event::NeighbourRoomUpdated(NEIGHBOUR_ROOM));
        }
        self.send(arrival.pool, Event::Offer(ticket, req));
        let waits = self.cores[arrival.pool].is_waiting(ticket);
        if waits && self.shed_now.iter().any(|(p, r)| *p == arrival.pool && *r < arrival.kind.rank)
        {
            self.result.tier_inversions += 1;
        }
    }

    /// Hands an event to a pool's core and performs the actions that it decides on.
    fn send(&mut self, pool: usize, event: Event) {
        self.cores[pool].handle(self.now, event);
        while let Some(action) = self.cores[pool].next_action() {
            self.perform(pool, action);
        }
    }

    fn perform(&mut self, pool: usize, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, _) => {
                let n = self.request_by_ticket[&ticket];
                self.dispatch(n, self.engine_by_key[&choice.endpoint]);
            }
            Action::Refuse(ticket, refusal, why) => {
                let n = self.request_by_ticket[&ticket];
                let rank = self.arrival(n).kind.rank;
                let is_above_waiting = why.waiting_below > 0;
                match refusal {
                    Refusal::Load => {
                        self.result.tier_inversions += u64::from(is_above_waiting);
                        self.shed_now.insert((pool, rank));
                    }
                    Refusal::Late => self.result.late_above_waiting += u64::from(is_above_waiting),
                    _ => {}
                }
                self.finish(n, RequestEnd::Refused(refusal));
            }
            Action::Spill(ticket, _) => {
                let n = self.request_by_ticket[&ticket];
                self.finish(n, RequestEnd::Spilled);
            }
        }
    }

    fn finish(&mut self, n: usize, end: RequestEnd) {
        if let Some(request) = self.active.remove(&n) {
            self.request_by_ticket.remove(&request.ticket);
        }
        self.result.requests[n].end.get_or_insert(end);
    }

    fn dispatch(&mut self, n: usize, engine: usize) {
        if let Some(request) = self.active.get_mut(&n) {
            request.engine = Some(engine);
        }
        if !self.engines[engine].is_alive {
            return self.fail(n);
        }
        let arrival = self.arrival(n);
        self.engines[engine].push(Sequence {
            id: n,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens,
            prefix: arrival.prefix.clone(),
        });
        self.run_engine(engine);
    }

    /// Handles a request that its engine lost; offers it again while attempts are left.
    fn fail(&mut self, n: usize) {
        let Some(request) = self.active.get(&n).copied() else { return };
        let pool = self.arrival(n).pool;
        self.failed_at.entry(n).or_default().extend(request.engine.map(|e| self.keys[e]));
        self.send(pool, Event::End(request.ticket, Ending::Failed));
        if request.attempts + 1 < MAX_ATTEMPTS {
            self.request_by_ticket.remove(&request.ticket);
            self.offer(n, request.attempts + 1);
        } else {
            self.finish(n, RequestEnd::Failed);
        }
    }

    fn run_engine(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        if let Some((ms, result)) = self.engines[engine].begin_step() {
            self.engines[engine].is_stepping = true;
            self.schedule(self.now + ms, SimEvent::StepDone(engine, Box::new(result)));
        }
    }

    fn step_done(&mut self, engine: usize, result: StepResult) {
        self.engines[engine].is_stepping = false;
        if !self.engines[engine].is_alive {
            return;
        }
        let pool = self.pool_of(engine);
        for (n, tokens) in &result.prefilled {
            self.result.requests[*n].prefilled_tokens += tokens;
        }
        for n in result.first_tokens {
            let Some(request) = self.active.get(&n).copied() else { continue };
            let first_token_ms = self.now - self.arrival(n).at;
            self.result.requests[n].first_token_ms.get_or_insert(first_token_ms);
            self.send(pool, Event::FirstToken(request.ticket));
        }
        for n in result.finished {
            let Some(request) = self.active.get(&n).copied() else { continue };
            let answer_tokens = self.arrival(n).answer_tokens;
            self.send(pool, Event::End(request.ticket, Ending::Complete { answer_tokens }));
            self.finish(n, RequestEnd::Answered { answered_ms: self.now - self.arrival(n).at });
        }
        self.send_cache_events(engine, result.stored, result.dropped);
        self.run_engine(engine);
    }

    fn send_cache_events(&mut self, engine: usize, stored: Vec<PrefixBlocks>, dropped: Vec<u64>) {
        let at = self.now + CACHE_EVENT_LAG_MS;
        for blocks in stored {
            if !blocks.is_empty() && self.rng.random_range(0.0..1.0) > CACHE_EVENT_LOSS_SHARE {
                self.schedule(at, SimEvent::CacheStored(engine, blocks));
            }
        }
        if !dropped.is_empty() && self.rng.random_range(0.0..1.0) > CACHE_EVENT_LOSS_SHARE {
            self.schedule(at, SimEvent::CacheDropped(engine, dropped.into_iter().collect()));
        }
    }

    /// Cancels a request whose deadline has passed and that has not ended yet.
    fn on_deadline(&mut self, n: usize) {
        let Some(request) = self.active.get(&n).copied() else { return };
        let pool = self.arrival(n).pool;
        match request.engine {
            Some(engine) => {
                self.engines[engine].cancel(n);
                self.send(pool, Event::End(request.ticket, Ending::Cancelled));
            }
            None => self.send(pool, Event::Withdraw(request.ticket)),
        }
        self.finish(n, RequestEnd::TimedOut);
    }

    fn schedule_report(&mut self, engine: usize) {
        let load = self.engines[engine].request_count();
        self.schedule(
            self.now + self.scenario.report_lag_ms,
            SimEvent::ReportReceived(engine, load),
        );
        if self.now < self.scenario.end_ms {
            self.schedule(self.now + REPORT_EVERY_MS, SimEvent::ReportDue(engine));
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::SlowDown(engine, slowdown) => self.engines[engine].slowdown = slowdown,
            Fault::Crash(engine) => {
                for n in self.engines[engine].crash() {
                    self.fail(n);
                }
            }
            Fault::Recover(engine) => self.engines[engine].is_alive = true,
        }
    }

    fn tick(&mut self) {
        for pool in 0..self.cores.len() {
            self.send(pool, Event::Tick);
        }
        if self.now < self.scenario.end_ms || !self.active.is_empty() {
            self.schedule(self.now + TICK_MS, SimEvent::Tick);
        }
    }
}
