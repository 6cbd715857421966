//! The task that owns the decision cores.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use baobabvane_decide::{
    Action, Choice, Core, Counts, Descriptor, Ending, EndpointKey, EndpointSpec, Event, Policy,
    Refusal, Ticket, TierPolicy, Why,
};
use baobabvane_domain::{Catalog, Endpoint};
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::timeout;
use serde::Serialize;
use slotmap::SlotMap;

use crate::{clock::CoreClock, link::Link, message::Mailbox, view::View};

/// How often the cores are told that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// Tokens in one block of a prefix, as prompts are cut.
pub(crate) const BLOCK_TOKENS: u32 = 256;

/// What the scheduler is told.
pub(crate) enum ToScheduler {
    Offer(Offer),
    Withdraw(Ticket),
    FirstToken(Ticket),
    End(Ticket, Ending),
    Configure(Rc<View>),
    Status(oneshot::Sender<Vec<PoolStatus>>),
}

/// A request that asks for an endpoint.
pub(crate) struct Offer {
    pub(crate) ticket: Ticket,
    pub(crate) pool: String,
    pub(crate) descriptor: Descriptor,
    /// How long the caller waits from now on.
    pub(crate) patience: Duration,
    pub(crate) reply: oneshot::Sender<Answer>,
}

/// What the scheduler answers to an offer.
pub(crate) enum Answer {
    Granted(Grant),
    Refused(Refusal, Why),
}

/// An endpoint as the caller's side sees it.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) link: Link,
}

/// The right to send one request to one endpoint.
///
/// The slot is given back when the grant ends or is dropped.
pub(crate) struct Grant {
    pub(crate) target: Rc<Target>,
    pub(crate) choice: Choice,
    pub(crate) why: Why,
    ticket: Ticket,
    mailbox: Mailbox<ToScheduler>,
    ended: bool,
}

impl Grant {
    /// Tells that the endpoint has begun to answer.
    pub(crate) fn first_token(&self) {
        self.mailbox.send(ToScheduler::FirstToken(self.ticket));
    }

    /// Tells how the request ended.
    pub(crate) fn end(mut self, ending: Ending) {
        self.ended = true;
        self.mailbox.send(ToScheduler::End(self.ticket, ending));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.ended {
            self.mailbox.send(ToScheduler::End(self.ticket, Ending::Cancelled));
        }
    }
}

/// A pool's numbers, for the operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PoolStatus {
    pub(crate) zone: String,
    pub(crate) pool: String,
    pub(crate) endpoints: usize,
    pub(crate) counts: Counts,
}

/// Withdraws an offer when it is dropped before its answer came.
struct Offered<'a> {
    ticket: Ticket,
    mailbox: &'a Mailbox<ToScheduler>,
    answered: bool,
}

impl Drop for Offered<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.mailbox.send(ToScheduler::Withdraw(self.ticket));
        }
    }
}

/// Asks for an endpoint and waits; dropping the future withdraws the request.
///
/// Returns `None` when the scheduler has ended.
pub(crate) async fn ask(
    mailbox: &Mailbox<ToScheduler>,
    ticket: Ticket,
    pool: String,
    descriptor: Descriptor,
    patience: Duration,
) -> Option<Answer> {
    let mut offered = Offered { ticket, mailbox, answered: false };
    let offer = |reply| ToScheduler::Offer(Offer { ticket, pool, descriptor, patience, reply });
    let answer = mailbox.ask(offer).await;
    offered.answered = true;
    answer
}

/// Names a pool: the endpoints of a zone that serve one model or service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PoolKey {
    pool: String,
    zone: String,
}

struct Known {
    spec: Endpoint,
    pool: PoolKey,
    target: Rc<Target>,
}

/// A request in a core, waiting or at an endpoint.
struct Held {
    pool: PoolKey,
    waiting: Option<(Descriptor, oneshot::Sender<Answer>)>,
}

/// The state of the task.
struct Scheduler {
    zone: String,
    connect_timeout: Duration,
    clock: CoreClock,
    mailbox: Mailbox<ToScheduler>,
    tiers: Vec<TierPolicy>,
    cores: BTreeMap<PoolKey, Core>,
    endpoints: SlotMap<EndpointKey, Known>,
    by_name: HashMap<String, EndpointKey>,
    held: HashMap<Ticket, Held>,
}

/// Starts the task.
pub(crate) fn spawn(zone: String, connect_timeout: Duration) -> Mailbox<ToScheduler> {
    let (mailbox, rx) = Mailbox::new();
    let scheduler = Scheduler {
        zone,
        connect_timeout,
        clock: CoreClock::start(),
        mailbox: mailbox.clone(),
        tiers: Vec::new(),
        cores: BTreeMap::new(),
        endpoints: SlotMap::with_key(),
        by_name: HashMap::new(),
        held: HashMap::new(),
    };
    monoio::spawn(scheduler.run(rx));
    mailbox
}

impl Scheduler {
    async fn run(mut self, mut rx: unbounded::Rx<ToScheduler>) {
        loop {
            match timeout(TICK, rx.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => self.tick(),
            }
        }
    }

    fn take(&mut self, message: ToScheduler) {
        match message {
            ToScheduler::Offer(offer) => self.offer(offer),
            ToScheduler::Withdraw(ticket) => {
                if let Some(held) = self.held.remove(&ticket) {
                    self.handle(&held.pool, Event::Withdraw(ticket));
                }
            }
            ToScheduler::FirstToken(ticket) => {
                if let Some(held) = self.held.get(&ticket) {
                    let pool = held.pool.clone();
                    self.handle(&pool, Event::FirstToken(ticket));
                }
            }
            ToScheduler::End(ticket, ending) => {
                if let Some(held) = self.held.remove(&ticket) {
                    self.handle(&held.pool, Event::End(ticket, ending));
                }
            }
            ToScheduler::Configure(view) => self.configure(&view.catalog),
            ToScheduler::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn offer(&mut self, offer: Offer) {
        let mut descriptor = offer.descriptor;
        descriptor.deadline = self.clock.now() + offer.patience.as_secs_f64() * 1000.0;
        let pool = self.home_of(offer.pool);
        let held = Held { pool: pool.clone(), waiting: Some((descriptor.clone(), offer.reply)) };
        self.held.insert(offer.ticket, held);
        self.core(&pool);
        let room = self.room_elsewhere(&pool).map_or(0, |(_, room)| room);
        self.handle(&pool, Event::NeighbourRoom(room));
        self.handle(&pool, Event::Offer(offer.ticket, descriptor));
    }

    /// Returns the pool of this zone, or of another one when this zone has none.
    fn home_of(&self, pool: String) -> PoolKey {
        let home = PoolKey { pool, zone: self.zone.clone() };
        if self.has_endpoint(&home) {
            return home;
        }
        self.room_elsewhere(&home).map_or(home, |(key, _)| key)
    }

    fn has_endpoint(&self, pool: &PoolKey) -> bool {
        self.endpoints.values().any(|e| e.pool == *pool && !e.spec.leaving)
    }

    /// Returns the pool of another zone that can take the most requests.
    fn room_elsewhere(&self, pool: &PoolKey) -> Option<(PoolKey, u32)> {
        let others = self.cores.iter().filter(|(k, _)| k.pool == pool.pool && k.zone != pool.zone);
        let rooms = others.filter(|(key, _)| self.has_endpoint(key)).map(|(key, core)| {
            let counts = core.counts();
            (key.clone(), counts.room.saturating_sub(counts.in_flight + counts.waiting))
        });
        rooms.max_by_key(|(_, room)| *room)
    }

    fn core(&mut self, pool: &PoolKey) -> &mut Core {
        let tiers = &self.tiers;
        self.cores.entry(pool.clone()).or_insert_with(|| {
            Core::new(Policy {
                tiers: tiers.clone(),
                block_tokens: BLOCK_TOKENS,
                ..Policy::default()
            })
        })
    }

    fn handle(&mut self, pool: &PoolKey, event: Event) {
        let now = self.clock.now();
        let Some(core) = self.cores.get_mut(pool) else { return };
        core.handle(now, event);
        while let Some(action) = self.cores.get_mut(pool).and_then(Core::next_action) {
            self.perform(pool, action);
        }
    }

    fn perform(&mut self, pool: &PoolKey, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, why) => self.grant(ticket, choice, why),
            Action::Refuse(ticket, refusal, why) => {
                let Some(held) = self.held.remove(&ticket) else { return };
                if let Some((_, reply)) = held.waiting {
                    let _ = reply.send(Answer::Refused(refusal, why));
                }
            }
            Action::Spill(ticket, why) => self.spill(pool, ticket, why),
        }
    }

    fn grant(&mut self, ticket: Ticket, choice: Choice, why: Why) {
        let Some(held) = self.held.get_mut(&ticket) else { return };
        let Some((_, reply)) = held.waiting.take() else { return };
        let Some(known) = self.endpoints.get(choice.endpoint) else { return };
        let target = Rc::clone(&known.target);
        let mailbox = self.mailbox.clone();
        // A caller that went away drops the grant, which gives the slot back.
        let grant = Grant { target, choice, why, ticket, mailbox, ended: false };
        let _ = reply.send(Answer::Granted(grant));
    }

    fn spill(&mut self, from: &PoolKey, ticket: Ticket, why: Why) {
        let to = self.room_elsewhere(from);
        let Some(held) = self.held.get_mut(&ticket) else { return };
        let Some((descriptor, reply)) = held.waiting.take() else { return };
        match to {
            Some((to, room)) if room > 0 => {
                held.waiting = Some((descriptor.clone(), reply));
                held.pool = to.clone();
                self.handle(&to, Event::Offer(ticket, descriptor));
            }
            _ => {
                self.held.remove(&ticket);
                let _ = reply.send(Answer::Refused(Refusal::Load, why));
            }
        }
    }

    fn configure(&mut self, catalog: &Catalog) {
        self.set_tiers(catalog);
        self.remove_gone(catalog);
        for (name, spec) in catalog.endpoints() {
            self.place(name, spec);
        }
    }

    fn set_tiers(&mut self, catalog: &Catalog) {
        let ranks = catalog.tiers().map(|(_, t)| usize::from(t.rank) + 1).max().unwrap_or(0);
        let mut tiers = vec![TierPolicy::default(); ranks];
        for (_, tier) in catalog.tiers() {
            tiers[usize::from(tier.rank)].floor = f64::from(tier.floor_percent) / 100.0;
        }
        for core in self.cores.values_mut() {
            core.set_tiers(tiers.clone());
        }
        self.tiers = tiers;
    }

    fn remove_gone(&mut self, catalog: &Catalog) {
        let same = |name: &str, known: &Endpoint| {
            catalog.endpoints().any(|(n, e)| {
                n == name
                    && e.address == known.address
                    && e.pool == known.pool
                    && e.zone == known.zone
            })
        };
        let gone: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, known)| !same(&known.target.name, &known.spec))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            let Some(known) = self.endpoints.remove(key) else { continue };
            self.by_name.remove(&known.target.name);
            self.handle(&known.pool, Event::EndpointGone(key));
            log::info!("event=endpoint_gone endpoint={}", known.target.name);
        }
    }

    fn place(&mut self, name: &str, spec: &Endpoint) {
        let pool = PoolKey { pool: spec.pool.clone(), zone: spec.zone.clone() };
        self.core(&pool);
        let key = match self.by_name.get(name) {
            Some(key) => *key,
            None => self.add(name, spec, &pool),
        };
        let Some(known) = self.endpoints.get_mut(key) else { return };
        let left = spec.leaving && !known.spec.leaving;
        known.spec = spec.clone();
        if left {
            log::info!("event=endpoint_leaving endpoint={name}");
        }
        let core_spec =
            EndpointSpec { slots: spec.slots, cache_blocks: spec.cache_tokens / BLOCK_TOKENS };
        self.handle(&pool, Event::EndpointJoined(key, core_spec));
        if spec.leaving {
            self.handle(&pool, Event::EndpointLeaving(key));
        }
    }

    fn add(&mut self, name: &str, spec: &Endpoint, pool: &PoolKey) -> EndpointKey {
        let link = Link::spawn(spec.address, self.connect_timeout);
        let target = Rc::new(Target { name: name.to_owned(), link });
        let known = Known { spec: spec.clone(), pool: pool.clone(), target };
        let key = self.endpoints.insert(known);
        self.by_name.insert(name.to_owned(), key);
        log::info!("event=endpoint_joined endpoint={name} pool={} zone={}", pool.pool, pool.zone);
        key
    }

    fn tick(&mut self) {
        let pools: Vec<PoolKey> = self.cores.keys().cloned().collect();
        for pool in pools {
            self.handle(&pool, Event::Tick);
        }
    }

    fn status(&self) -> Vec<PoolStatus> {
        let status = |(key, core): (&PoolKey, &Core)| PoolStatus {
            zone: key.zone.clone(),
            pool: key.pool.clone(),
            endpoints: self.endpoints.values().filter(|e| e.pool == *key).count(),
            counts: core.counts(),
        };
        self.cores.iter().map(status).collect()
    }
}
