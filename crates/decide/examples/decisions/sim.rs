//! Drives the cores against the engines in virtual time.

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
    scenario::{Arrival, BLOCK_TOKENS, Fault, Plan},
};

const TICK_MS: Millis = 50.0;
const REPORT_EVERY_MS: Millis = 1_000.0;
const CACHE_EVENT_LAG_MS: Millis = 2_000.0;
/// Share of cache events that never come.
const CACHE_EVENT_LOSS: f64 = 0.2;
const MAX_ATTEMPTS: u32 = 3;
/// Room of the neighbour zone in the scenario that has one.
const NEIGHBOUR_ROOM: u32 = 4;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Answered { whole_ms: Millis },
    Refused(Refusal),
    Spilled,
    TimedOut,
    Failed,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fate {
    pub(crate) end: Option<End>,
    pub(crate) first_token_ms: Option<Millis>,
    pub(crate) prefilled: u32,
}

/// What a run brought.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) fates: Vec<Fate>,
    pub(crate) inversions: u64,
    /// Requests that became too late while less urgent ones waited.
    pub(crate) late_above_waiting: u64,
}

#[derive(Clone, Debug)]
enum What {
    Arrive(usize),
    Deadline(usize),
    StepDone(usize, Box<StepResult>),
    Report(usize, u32),
    ReportTime(usize),
    Stored(usize, PrefixBlocks),
    Dropped(usize, PrefixBlocks),
    Fault(Fault),
    Tick,
}

struct Scheduled {
    at: Millis,
    order: u64,
    what: What,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
struct Place {
    ticket: Ticket,
    engine: Option<usize>,
    attempts: u32,
}

struct Sim<'a> {
    plan: &'a Plan,
    now: Millis,
    order: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    cores: Vec<Core>,
    engines: Vec<Engine>,
    keys: Vec<EndpointKey>,
    by_key: HashMap<EndpointKey, usize>,
    places: HashMap<usize, Place>,
    requests: HashMap<Ticket, usize>,
    tickets: u64,
    rng: SmallRng,
    outcome: Outcome,
    failed_at: HashMap<usize, FailedAt>,
    /// Less urgent ranks refused at this instant, for the count of inversions.
    shed_now: HashSet<(usize, u8)>,
    neighbour: bool,
}

/// Runs a scenario under a policy.
pub(crate) fn run(plan: &Plan, policy: &Policy, seed: u64) -> Outcome {
    let mut sim = Sim::new(plan, policy, seed);
    while let Some(Reverse(next)) = sim.events.pop() {
        if next.at > sim.now {
            sim.shed_now.clear();
        }
        sim.now = next.at;
        sim.step(next.what);
    }
    sim.outcome
}

impl<'a> Sim<'a> {
    fn new(plan: &'a Plan, policy: &Policy, seed: u64) -> Self {
        let policy = Policy {
            tiers: plan.tiers.clone(),
            block_tokens: BLOCK_TOKENS,
            seed,
            ..policy.clone()
        };
        let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let mut sim = Self {
            plan,
            now: 0.0,
            order: 0,
            events: BinaryHeap::new(),
            cores: (0..plan.pools).map(|_| Core::new(policy.clone())).collect(),
            engines: Vec::new(),
            keys: Vec::new(),
            by_key: HashMap::new(),
            places: HashMap::new(),
            requests: HashMap::new(),
            tickets: 0,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            outcome: Outcome::default(),
            failed_at: HashMap::new(),
            shed_now: HashSet::new(),
            neighbour: plan.name == "neighbour",
        };
        sim.outcome.fates = vec![Fate::default(); plan.arrivals.len()];
        for (n, (pool, spec)) in plan.engines.iter().enumerate() {
            let key = arena.insert(());
            sim.keys.push(key);
            sim.by_key.insert(key, n);
            sim.engines.push(Engine::new(*spec, BLOCK_TOKENS));
            let spec = EndpointSpec {
                slots: spec.batch as u32,
                cache_blocks: spec.cache_blocks as u32,
                is_in_other_zone: false,
            };
            sim.cores[*pool].handle(0.0, Event::EndpointJoined(key, spec));
            sim.at(REPORT_EVERY_MS, What::ReportTime(n));
        }
        for (n, arrival) in plan.arrivals.iter().enumerate() {
            sim.at(arrival.at, What::Arrive(n));
        }
        for (at, fault) in &plan.faults {
            sim.at(*at, What::Fault(*fault));
        }
        sim.at(TICK_MS, What::Tick);
        sim
    }

    fn at(&mut self, at: Millis, what: What) {
        self.order += 1;
        self.events.push(Reverse(Scheduled { at, order: self.order, what }));
    }

    fn step(&mut self, what: What) {
        match what {
            What::Arrive(n) => self.arrive(n),
            What::Deadline(n) => self.deadline(n),
            What::StepDone(engine, result) => self.step_done(engine, *result),
            What::ReportTime(engine) => self.report(engine),
            What::Report(engine, requests) => {
                let report = LoadReport { requests, age_ms: self.plan.report_lag_ms };
                self.tell(self.pool_of(engine), Event::LoadReported(self.keys[engine], report));
            }
            What::Stored(engine, blocks) => {
                self.tell(self.pool_of(engine), Event::CacheStored(self.keys[engine], blocks));
            }
            What::Dropped(engine, blocks) => {
                self.tell(self.pool_of(engine), Event::CacheDropped(self.keys[engine], blocks));
            }
            What::Fault(fault) => self.fault(fault),
            What::Tick => self.tick(),
        }
    }

    fn pool_of(&self, engine: usize) -> usize {
        self.plan.engines[engine].0
    }

    fn arrival(&self, n: usize) -> &'a Arrival {
        &self.plan.arrivals[n]
    }

    fn arrive(&mut self, n: usize) {
        let arrival = self.arrival(n);
        self.at(arrival.at + arrival.kind.deadline_ms, What::Deadline(n));
        self.offer(n, 0);
    }

    fn offer(&mut self, n: usize, attempts: u32) {
        let arrival = self.arrival(n);
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.requests.insert(ticket, n);
        self.places.insert(n, Place { ticket, engine: None, attempts });
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
        if self.neighbour {
            self.tell(arrival.pool, Event::NeighbourRoomUpdated(NEIGHBOUR_ROOM));
        }
        self.tell(arrival.pool, Event::Offer(ticket, req));
        let waits = self.cores[arrival.pool].is_waiting(ticket);
        if waits && self.shed_now.iter().any(|(p, r)| *p == arrival.pool && *r < arrival.kind.rank)
        {
            self.outcome.inversions += 1;
        }
    }

    fn tell(&mut self, pool: usize, event: Event) {
        self.cores[pool].handle(self.now, event);
        while let Some(action) = self.cores[pool].next_action() {
            self.perform(pool, action);
        }
    }

    fn perform(&mut self, pool: usize, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, _) => {
                let n = self.requests[&ticket];
                self.dispatch(n, self.by_key[&choice.endpoint]);
            }
            Action::Refuse(ticket, refusal, why) => {
                let n = self.requests[&ticket];
                let rank = self.arrival(n).kind.rank;
                let above_waiting = why.waiting_below > 0;
                match refusal {
                    Refusal::Load => {
                        self.outcome.inversions += u64::from(above_waiting);
                        self.shed_now.insert((pool, rank));
                    }
                    Refusal::Late => self.outcome.late_above_waiting += u64::from(above_waiting),
                    _ => {}
                }
                self.end(n, End::Refused(refusal));
            }
            Action::Spill(ticket, _) => {
                let n = self.requests[&ticket];
                self.end(n, End::Spilled);
            }
        }
    }

    fn end(&mut self, n: usize, end: End) {
        if let Some(place) = self.places.remove(&n) {
            self.requests.remove(&place.ticket);
        }
        self.outcome.fates[n].end.get_or_insert(end);
    }

    fn dispatch(&mut self, n: usize, engine: usize) {
        if let Some(place) = self.places.get_mut(&n) {
            place.engine = Some(engine);
        }
        if !self.engines[engine].alive {
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

    fn fail(&mut self, n: usize) {
        let Some(place) = self.places.get(&n).copied() else { return };
        let pool = self.arrival(n).pool;
        self.failed_at.entry(n).or_default().extend(place.engine.map(|e| self.keys[e]));
        self.tell(pool, Event::End(place.ticket, Ending::Failed));
        if place.attempts + 1 < MAX_ATTEMPTS {
            self.requests.remove(&place.ticket);
            self.offer(n, place.attempts + 1);
        } else {
            self.end(n, End::Failed);
        }
    }

    fn run_engine(&mut self, engine: usize) {
        if self.engines[engine].stepping {
            return;
        }
        if let Some((ms, result)) = self.engines[engine].begin_step() {
            self.engines[engine].stepping = true;
            self.at(self.now + ms, What::StepDone(engine, Box::new(result)));
        }
    }

    fn step_done(&mut self, engine: usize, result: StepResult) {
        self.engines[engine].stepping = false;
        if !self.engines[engine].alive {
            return;
        }
        let pool = self.pool_of(engine);
        for (n, tokens) in &result.prefilled {
            self.outcome.fates[*n].prefilled += tokens;
        }
        for n in result.first_tokens {
            let Some(place) = self.places.get(&n).copied() else { continue };
            let first = self.now - self.arrival(n).at;
            self.outcome.fates[n].first_token_ms.get_or_insert(first);
            self.tell(pool, Event::FirstToken(place.ticket));
        }
        for n in result.finished {
            let Some(place) = self.places.get(&n).copied() else { continue };
            let answer_tokens = self.arrival(n).answer_tokens;
            self.tell(pool, Event::End(place.ticket, Ending::Complete { answer_tokens }));
            self.end(n, End::Answered { whole_ms: self.now - self.arrival(n).at });
        }
        self.send_cache_events(engine, result.stored, result.dropped);
        self.run_engine(engine);
    }

    fn send_cache_events(&mut self, engine: usize, stored: Vec<PrefixBlocks>, dropped: Vec<u64>) {
        let at = self.now + CACHE_EVENT_LAG_MS;
        for blocks in stored {
            if !blocks.is_empty() && self.rng.random_range(0.0..1.0) > CACHE_EVENT_LOSS {
                self.at(at, What::Stored(engine, blocks));
            }
        }
        if !dropped.is_empty() && self.rng.random_range(0.0..1.0) > CACHE_EVENT_LOSS {
            self.at(at, What::Dropped(engine, dropped.into_iter().collect()));
        }
    }

    /// The caller stops waiting; what is left of the work is cancelled.
    fn deadline(&mut self, n: usize) {
        let Some(place) = self.places.get(&n).copied() else { return };
        let pool = self.arrival(n).pool;
        match place.engine {
            Some(engine) => {
                self.engines[engine].cancel(n);
                self.tell(pool, Event::End(place.ticket, Ending::Cancelled));
            }
            None => self.tell(pool, Event::Withdraw(place.ticket)),
        }
        self.end(n, End::TimedOut);
    }

    fn report(&mut self, engine: usize) {
        let load = self.engines[engine].load();
        self.at(self.now + self.plan.report_lag_ms, What::Report(engine, load));
        if self.now < self.plan.end_ms {
            self.at(self.now + REPORT_EVERY_MS, What::ReportTime(engine));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(engine, factor) => self.engines[engine].factor = factor,
            Fault::Die(engine) => {
                for n in self.engines[engine].die() {
                    self.fail(n);
                }
            }
            Fault::Return(engine) => self.engines[engine].alive = true,
        }
    }

    fn tick(&mut self) {
        for pool in 0..self.cores.len() {
            self.tell(pool, Event::Tick);
        }
        if self.now < self.plan.end_ms || !self.places.is_empty() {
            self.at(self.now + TICK_MS, What::Tick);
        }
    }
}
