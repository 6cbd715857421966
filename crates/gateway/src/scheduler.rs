//! The task that decides where requests go.
//!
//! It owns one decision core for each pool, the endpoints that discovery lists,
//! the organisations' quotas and the retry budgets. Connections of callers ask it
//! by message and are answered with a [`Grant`] or a [`Refused`].

mod fleet;
mod order;

use std::{rc::Rc, time::Duration};

use baobabvane_decide::{
    Action, Core, Ending, EndpointKey, EndpointLoad, EndpointSpec, Event, LoadReport, Policy,
    Ticket, Why,
};
use baobabvane_tasks::Mailbox;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::Instant;
use rustc_hash::FxHashMap;

use self::fleet::Fleet;
pub(crate) use self::order::{Grant, Order, Refused, Usage, id_hash};
use crate::{
    configuration::{Configuration, Engine, Sighting},
    directory::{Change, Directory, EndpointList},
    peer::{LocalState, PeerState},
    retry::{RetryBudget, RetryWindow},
};

/// How often the cores look at the time.
const TICK: Duration = Duration::from_millis(25);
/// Tokens in one block of a prefix; shared parts of prompts are rounded to it.
pub(crate) const BLOCK_TOKENS: u32 = 256;
/// A plain service has no prefix cache.
const NO_CACHE: u32 = 0;

/// What the task is told.
pub(crate) enum ToScheduler {
    /// A configuration is in force.
    Configure(Rc<Configuration>),
    /// The fleet's budget of repeats changed.
    Budget(RetryBudget),
    /// Discovery lists an endpoint.
    Seen(Sighting),
    /// Discovery does not list an endpoint any more.
    Gone(String),
    /// Discovery lists these endpoints and no others.
    Listed(EndpointList),
    /// Discovery cannot be asked.
    SourceLost,
    /// Discovery answered.
    SourceAnswers,
    /// A request asks for an endpoint.
    Offer(Box<Order>, oneshot::Sender<Result<Grant, Refused>>),
    /// The caller of a request that waits has gone away.
    Withdraw(Ticket),
    /// The first piece of an answer came.
    FirstPiece(Ticket),
    /// An endpoint said how many requests it holds.
    Load(EndpointKey, u32),
    /// A dispatched request ended.
    End(Ticket, Ending),
    /// The address of an endpoint answers for another one.
    Misdirected(EndpointKey),
    /// Another instance said what it has in flight and what it admitted.
    Peer(PeerState),
    /// How many instances are heard, and how many there are, this one included.
    Heard {
        /// Instances whose heartbeats arrive.
        heard: u32,
        /// All instances that may be alive.
        known: u32,
    },
    /// Asks for what the other instances should know.
    Local(oneshot::Sender<LocalState>),
    /// Asks for all endpoints.
    Endpoints(oneshot::Sender<EndpointList>),
}

struct PoolState {
    core: Core,
    retries: RetryWindow,
}

struct Asked {
    pool: Rc<str>,
    usage: Option<Usage>,
    reply: Option<oneshot::Sender<Result<Grant, Refused>>>,
}

struct Scheduler {
    start: Instant,
    policy: Policy,
    configuration: Rc<Configuration>,
    budget: RetryBudget,
    directory: Directory,
    pools: FxHashMap<Rc<str>, PoolState>,
    asked: FxHashMap<Ticket, Asked>,
    fleet: Fleet,
    /// The availability zone that this instance is in.
    zone: String,
}

/// Starts the task, for an instance in an availability zone.
pub(crate) fn spawn(policy: Policy, zone: &str) -> Mailbox<ToScheduler> {
    let (mailbox, rx) = Mailbox::new();
    let scheduler = Scheduler {
        start: Instant::now(),
        // Instances that draw alike would take the same places.
        policy: Policy { block_tokens: BLOCK_TOKENS, seed: rand::random(), ..policy },
        configuration: Rc::default(),
        budget: RetryBudget::default(),
        directory: Directory::default(),
        pools: FxHashMap::default(),
        asked: FxHashMap::default(),
        fleet: Fleet::default(),
        zone: zone.to_owned(),
    };
    monoio::spawn(scheduler.run(rx));
    mailbox
}

impl Scheduler {
    async fn run(mut self, mut rx: unbounded::Rx<ToScheduler>) {
        let mut next_tick = Instant::now() + TICK;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match monoio::time::timeout(wait, rx.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => {}
            }
            if Instant::now() >= next_tick {
                self.tick();
                next_tick = Instant::now() + TICK;
            }
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    fn take(&mut self, message: ToScheduler) {
        let now = self.now();
        match message {
            ToScheduler::Configure(configuration) => {
                self.fleet.configure(&configuration.organisations, now);
                self.configuration = configuration;
            }
            ToScheduler::Budget(budget) => self.budget = budget,
            ToScheduler::Seen(sighting) => {
                let changes = self.directory.seen(sighting);
                self.follow(changes);
            }
            ToScheduler::Gone(id) => {
                let change = self.directory.gone(&id, now);
                self.follow(change);
            }
            ToScheduler::Listed(list) => {
                let changes = self.directory.listed(list, now);
                self.follow(changes);
            }
            ToScheduler::SourceLost => self.directory.source_lost(),
            ToScheduler::SourceAnswers => self.directory.source_answers(now),
            ToScheduler::Offer(order, reply) => self.offer(*order, reply),
            ToScheduler::Withdraw(ticket) => self.withdraw(ticket),
            ToScheduler::FirstPiece(ticket) => self.tell(ticket, Event::FirstToken(ticket)),
            ToScheduler::Load(key, requests) => {
                let report = LoadReport { requests, age_ms: 0.0 };
                self.tell_endpoint(key, Event::LoadReported(key, report));
            }
            ToScheduler::End(ticket, ending) => {
                self.tell(ticket, Event::End(ticket, ending));
                self.asked.remove(&ticket);
            }
            ToScheduler::Misdirected(key) => {
                let change = self.directory.misdirected(key);
                self.follow(change);
            }
            ToScheduler::Peer(state) => self.fleet.heard_from(state, now),
            ToScheduler::Heard { heard, known } => self.fleet.set_heard(heard, known, now),
            ToScheduler::Local(reply) => {
                let _ = reply.send(self.local_state());
            }
            ToScheduler::Endpoints(reply) => {
                let _ = reply.send(self.directory.list(now));
            }
        }
    }

    fn offer(&mut self, order: Order, reply: oneshot::Sender<Result<Grant, Refused>>) {
        let now = self.now();
        if let Err(refused) = self.admit(&order, now) {
            let _ = reply.send(Err(refused));
            return;
        }
        let Order { ticket, pool, descriptor, usage, .. } = order;
        self.asked.insert(ticket, Asked { pool: Rc::clone(&pool), usage, reply: Some(reply) });
        let mut descriptor = descriptor;
        // The caller counts from the offer, the core from its own start.
        descriptor.deadline += now;
        if let Some(goal) = &mut descriptor.goal {
            goal.first_token_by += now;
            goal.caller_leaves_at += now;
        }
        self.handle(&pool, Event::Offer(ticket, descriptor));
    }

    /// Charges the quota and the retry budget.
    fn admit(&mut self, order: &Order, now: f64) -> Result<(), Refused> {
        let instances = self.fleet.instances();
        let budget = self.budget;
        let pool = self.pool(&order.pool);
        if order.is_repeat {
            let allowed = pool.retries.repeat(&budget, instances, now);
            return if allowed { Ok(()) } else { Err(Refused::RetryBudget) };
        }
        pool.retries.request(&budget, now);
        let Some(usage) = &order.usage else { return Ok(()) };
        self.fleet.admit(usage, now).map_err(|retry_after_ms| Refused::Quota { retry_after_ms })
    }

    fn withdraw(&mut self, ticket: Ticket) {
        let Some(asked) = self.asked.remove(&ticket) else { return };
        self.give_back(&asked);
        // The grant may be on its way to a caller that has just left.
        let event = match asked.reply {
            Some(_) => Event::Withdraw(ticket),
            None => Event::End(ticket, Ending::Cancelled),
        };
        self.handle(&asked.pool, event);
    }

    fn give_back(&mut self, asked: &Asked) {
        if let Some(usage) = &asked.usage {
            self.fleet.give_back(usage);
        }
    }

    fn tell(&mut self, ticket: Ticket, event: Event) {
        let Some(asked) = self.asked.get(&ticket) else { return };
        let pool = Rc::clone(&asked.pool);
        self.handle(&pool, event);
    }

    fn tell_endpoint(&mut self, key: EndpointKey, event: Event) {
        let Some(sighting) = self.directory.get(key) else { return };
        let pool = Rc::from(sighting.pool.as_str());
        self.handle(&pool, event);
    }

    fn pool(&mut self, name: &Rc<str>) -> &mut PoolState {
        let policy = &self.policy;
        self.pools.entry(Rc::clone(name)).or_insert_with(|| PoolState {
            core: Core::new(policy.clone()),
            retries: RetryWindow::default(),
        })
    }

    fn handle(&mut self, pool: &Rc<str>, event: Event) {
        let now = self.now();
        let core = &mut self.pool(pool).core;
        core.handle(now, event);
        self.act(pool);
    }

    /// Carries out what a core decided.
    fn act(&mut self, pool: &Rc<str>) {
        while let Some(action) = self.pool(pool).core.next_action() {
            match action {
                Action::Dispatch(ticket, choice, why) => {
                    let granted = self.directory.get(choice.endpoint).map(|sighting| Grant {
                        endpoint: choice.endpoint,
                        id: sighting.id.clone(),
                        address: sighting.address,
                        expected_ms: choice.first_token_ms,
                        cached_tokens: choice.cached_tokens,
                        why,
                    });
                    self.grant(ticket, granted, pool);
                }
                Action::Refuse(ticket, refusal, why) => {
                    self.refuse(ticket, Refused::Core { refusal, why });
                }
                Action::Spill(ticket, why) => self.refuse(ticket, Refused::overload(why)),
            }
        }
    }

    fn grant(&mut self, ticket: Ticket, grant: Option<Grant>, pool: &Rc<str>) {
        let reply = self.asked.get_mut(&ticket).and_then(|a| a.reply.take());
        let is_taken = match (reply, grant) {
            (Some(reply), Some(grant)) => reply.send(Ok(grant)).is_ok(),
            _ => false,
        };
        if is_taken {
            return;
        }
        if let Some(asked) = self.asked.remove(&ticket) {
            self.give_back(&asked);
        }
        self.handle(pool, Event::End(ticket, Ending::Cancelled));
    }

    fn refuse(&mut self, ticket: Ticket, refused: Refused) {
        let Some(mut asked) = self.asked.remove(&ticket) else { return };
        self.give_back(&asked);
        if let Some(reply) = asked.reply.take() {
            let _ = reply.send(Err(refused));
        }
    }

    fn follow(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            match change {
                Change::Joined(key) => {
                    let Some(sighting) = self.directory.get(key).cloned() else { continue };
                    log::info!(
                        "event=endpoint_joined endpoint={} pool={} address={} zone={} slots={}",
                        sighting.id,
                        sighting.pool,
                        sighting.address,
                        sighting.zone,
                        sighting.slots
                    );
                    let pool = Rc::from(sighting.pool.as_str());
                    let spec = self.spec(&sighting);
                    self.handle(&pool, Event::EndpointJoined(key, spec));
                }
                Change::Leaving(key) => {
                    let Some(sighting) = self.directory.get(key) else { continue };
                    log::info!("event=endpoint_leaving endpoint={}", sighting.id);
                    self.tell_endpoint(key, Event::EndpointLeaving(key));
                }
                Change::Gone(key, sighting) => {
                    log::info!("event=endpoint_gone endpoint={}", sighting.id);
                    let pool = Rc::from(sighting.pool.as_str());
                    self.handle(&pool, Event::EndpointGone(key));
                }
            }
        }
    }

    fn spec(&self, sighting: &Sighting) -> EndpointSpec {
        let engine = self.engine(&sighting.pool);
        let cache_blocks =
            engine.map_or(NO_CACHE, |e| (e.cache_tokens / u64::from(BLOCK_TOKENS)) as u32);
        let is_in_other_zone = sighting.zone != self.zone;
        EndpointSpec { slots: sighting.slots.max(1), cache_blocks, is_in_other_zone }
    }

    fn engine(&self, pool: &str) -> Option<Engine> {
        self.configuration.pools.iter().find(|p| p.name == pool)?.engine
    }

    fn tick(&mut self) {
        let now = self.now();
        let changes = self.directory.settle(now);
        self.follow(changes);
        self.share_loads(now);
        let others = self.fleet.others(now);
        let pools: Vec<Rc<str>> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.handle(&pool, others.clone());
            self.handle(&pool, Event::Tick);
        }
    }

    /// Tells the cores what other instances have at the endpoints.
    fn share_loads(&mut self, now: f64) {
        let Some(loads) = self.fleet.changed_loads(now) else { return };
        let keys: Vec<(EndpointKey, EndpointLoad)> = self
            .directory
            .iter()
            .map(|(key, s)| (key, loads.get(&order::id_hash(&s.id)).copied().unwrap_or_default()))
            .collect();
        for (key, elsewhere) in keys {
            self.tell_endpoint(key, Event::PeerLoadUpdated(key, elsewhere));
        }
    }

    fn local_state(&self) -> LocalState {
        let loads =
            self.pools.values().flat_map(|p| p.core.endpoint_loads()).filter_map(|(key, load)| {
                Some((order::id_hash(&self.directory.get(key)?.id), load))
            });
        LocalState { loads: loads.collect(), admitted: self.fleet.admitted(self.now()) }
    }
}

impl Refused {
    fn overload(why: Why) -> Self {
        Self::Core { refusal: baobabvane_decide::Refusal::Load, why }
    }
}
