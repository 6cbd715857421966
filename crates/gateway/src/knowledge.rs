//! What an instance knows from the platform, and the port through which it learns it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use baobabvane_members::SharedKey;
use monoio::time::{Instant, sleep};
use serde::{Deserialize, Serialize};

use crate::{
    configuration::{Configuration, Sighting},
    directory::EndpointList,
    message::Mailbox,
    peer::ToPeers,
    retry::RetryBudget,
    routing::RouteTable,
    scheduler::ToScheduler,
};

/// How new an instance's knowledge is; larger is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Versions {
    /// The version of the configuration.
    pub(crate) configuration: u64,
    /// How far the list of endpoints was read.
    pub(crate) endpoints: u64,
}

impl Versions {
    /// Says whether any part is newer.
    pub(crate) fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration || self.endpoints > other.endpoints
    }
}

/// What all tasks of an instance read.
pub(crate) struct Knowledge {
    configuration: RefCell<Rc<Configuration>>,
    table: RefCell<Rc<RouteTable>>,
    /// When the source of the configuration last said that it is the newest.
    confirmed_at: Cell<Option<Instant>>,
    /// When this instance itself last reached the store.
    reached_at: Cell<Option<Instant>>,
    endpoints_version: Cell<u64>,
    has_endpoints: Cell<bool>,
    /// Entries of endpoints lapse when the store is away for this long.
    lapse: Duration,
    key: RefCell<Option<SharedKey>>,
    /// How many of the instances that reach the store come before this one.
    rank: Cell<u32>,
    /// Instances that are heard, this one included.
    heard: Cell<u32>,
    scheduler: Mailbox<ToScheduler>,
}

/// The part of a bound that a wait for news may take; the rest is for the way to
/// the other instances.
const WAIT_SHARE: f64 = 0.5;
/// Waits are drawn from this part of the longest one on, so that instances do not
/// ask all at the same time.
const MIN_WAIT_SHARE: f64 = 0.5;
/// Instances that ask within the bound; the others learn from them. Two, so that
/// news are not late when one of them fails.
const WATCHERS: u32 = 2;
/// How often an instance that does not ask looks whether it has to.
const LISTEN: Duration = Duration::from_millis(50);
/// Instances that have to ask after all do not all begin at once; this fits between
/// heartbeats that tell that one of them has.
const TAKE_OVER: Duration = Duration::from_millis(200);
/// The word of others counts for this many bounds.
const TRUSTED_BOUNDS: u32 = 2;
/// In a fleet of this size, an instance whose call failed waits as long as if it were
/// alone; in larger ones longer, so that the store is not asked more often.
const ASKING_TOGETHER: f64 = 8.0;

impl Knowledge {
    pub(crate) fn new(scheduler: Mailbox<ToScheduler>, lapse: Duration) -> Self {
        Self {
            configuration: RefCell::default(),
            table: RefCell::default(),
            confirmed_at: Cell::new(None),
            reached_at: Cell::new(None),
            endpoints_version: Cell::new(0),
            lapse,
            has_endpoints: Cell::new(false),
            key: RefCell::new(None),
            rank: Cell::new(0),
            heard: Cell::new(1),
            scheduler,
        }
    }

    pub(crate) fn table(&self) -> Rc<RouteTable> {
        Rc::clone(&self.table.borrow())
    }

    pub(crate) fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(&self.configuration.borrow())
    }

    pub(crate) fn key(&self) -> Option<SharedKey> {
        self.key.borrow().clone()
    }

    pub(crate) fn set_key(&self, key: SharedKey) {
        *self.key.borrow_mut() = Some(key);
    }

    pub(crate) fn set_rank(&self, rank: u32, heard: u32) {
        self.rank.set(rank);
        self.heard.set(heard);
    }

    /// Takes a peer's word that the configuration in force was the newest so long ago.
    pub(crate) fn confirmed_by_peer(&self, version: u64, age: Duration) {
        if version != self.table.borrow().version {
            return;
        }
        let at = Instant::now().checked_sub(age);
        if at > self.confirmed_at.get() {
            self.confirmed_at.set(at);
        }
    }

    pub(crate) fn versions(&self) -> Versions {
        Versions {
            configuration: self.table.borrow().version,
            endpoints: self.endpoints_version.get(),
        }
    }

    /// Says whether requests can be served: a configuration and endpoints are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.borrow().version > 0 && self.has_endpoints.get()
    }

    /// Says whether the configuration was the newest one so long ago at most.
    pub(crate) fn is_confirmed_within(&self, age: Duration) -> bool {
        self.confirmed_at.get().is_some_and(|at| at.elapsed() <= age)
    }

    /// Returns how long ago the configuration was known to be the newest, in milliseconds.
    pub(crate) fn confirmed_age_ms(&self) -> Option<u64> {
        self.confirmed_at.get().map(age_ms)
    }

    /// Returns how long ago this instance itself reached the store, in milliseconds.
    pub(crate) fn reached_age_ms(&self) -> Option<u64> {
        self.reached_at.get().map(age_ms)
    }

    /// Takes over a configuration unless it is older than the one in force.
    fn configure(&self, configuration: Configuration, source: &str) {
        let current = self.table.borrow().version;
        if configuration.version <= current {
            if configuration.version < current {
                log::info!(
                    "event=configuration_ignored version={} in_force={current} source={source}",
                    configuration.version
                );
            }
            return;
        }
        log::info!(
            "event=configured version={} before={current} source={source} routes={} organisations={}",
            configuration.version,
            configuration.routes.len(),
            configuration.organisations.len()
        );
        *self.table.borrow_mut() = Rc::new(RouteTable::new(&configuration));
        let configuration = Rc::new(configuration);
        *self.configuration.borrow_mut() = Rc::clone(&configuration);
        self.scheduler.send(ToScheduler::Configure(configuration));
    }

    fn list(&self, endpoints: EndpointList, version: u64) {
        self.has_endpoints.set(true);
        self.endpoints_version.set(self.endpoints_version.get().max(version));
        self.scheduler.send(ToScheduler::Listed(endpoints));
    }

    fn read_up_to(&self, read: u64) {
        self.endpoints_version.set(self.endpoints_version.get().max(read));
    }

    /// Takes over what a peer knows where it is newer.
    pub(crate) fn take_from_peer(&self, snapshot: Snapshot) {
        if let Some(configuration) = snapshot.configuration {
            self.configure(configuration, "peer");
        }
        if let Some(endpoints) = snapshot.endpoints
            && snapshot.versions.endpoints > self.endpoints_version.get()
        {
            self.list(endpoints, snapshot.versions.endpoints);
        }
    }
}

/// What an instance tells another one that knows less.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) versions: Versions,
    /// The configuration, where the other's is older.
    pub(crate) configuration: Option<Configuration>,
    /// All endpoints, where the other's list is older.
    pub(crate) endpoints: Option<EndpointList>,
}

fn age_ms(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}

/// The port through which an adapter tells an instance what the platform says.
///
/// Nothing here waits; what is told is in force for the next request.
#[derive(Clone)]
pub struct Feed {
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<ToScheduler>,
    pub(crate) peers: Mailbox<ToPeers>,
}

impl Feed {
    /// The operators put a configuration in force.
    pub fn configured(&self, configuration: Configuration) {
        self.knowledge.configure(configuration, "store");
    }

    /// The source of the configuration has nothing newer than what it said before.
    pub fn configuration_confirmed(&self) {
        let now = Some(Instant::now());
        self.knowledge.confirmed_at.set(now);
        self.knowledge.reached_at.set(now);
    }

    /// This instance does not reach the store any more; others are told at once, so that
    /// they ask in its place.
    pub fn store_lost(&self) {
        self.knowledge.reached_at.set(None);
    }

    /// Discovery lists an endpoint, or its entry changed.
    pub fn endpoint_seen(&self, sighting: Sighting) {
        self.scheduler.send(ToScheduler::Seen(sighting));
    }

    /// Discovery does not list an endpoint any more.
    pub fn endpoint_gone(&self, id: &str) {
        self.scheduler.send(ToScheduler::Gone(id.to_owned()));
    }

    /// Discovery lists these endpoints and no others; `version` is how far it was read.
    pub fn endpoints_listed(&self, endpoints: Vec<Sighting>, version: u64) {
        self.knowledge.list(EndpointList { endpoints, held: Vec::new() }, version);
    }

    /// Discovery was read so far.
    pub fn endpoints_read(&self, version: u64) {
        self.knowledge.read_up_to(version);
    }

    /// How far discovery was read, by this instance or by the peer that it learned from.
    pub fn endpoints_version(&self) -> u64 {
        self.knowledge.endpoints_version.get()
    }

    /// Discovery cannot be asked; what is known stays in force.
    ///
    /// Entries can have lapsed only when no instance reached the store for long enough.
    pub fn discovery_lost(&self) {
        if !self.knowledge.is_confirmed_within(self.knowledge.lapse) {
            self.scheduler.send(ToScheduler::SourceLost);
        }
    }

    /// Discovery answered.
    pub fn discovery_answers(&self) {
        self.scheduler.send(ToScheduler::SourceAnswers);
    }

    /// Draws how long a read of the store may wait for news, so that the fleet learns
    /// of them within `bound`.
    ///
    /// A store may not wake a read that waits, and a connection may fall silent.
    pub fn wait_for_news(&self, bound: Duration) -> Duration {
        bound.mul_f64(WAIT_SHARE * rand::random_range(MIN_WAIT_SHARE..1.0))
    }

    /// Resolves when this instance has to ask the store.
    ///
    /// A few instances that reach it watch it; the others learn from them, as long as
    /// these say within some bounds that they have the newest.
    pub async fn has_to_ask(&self, bound: Duration) {
        if self.must_ask(bound) {
            return;
        }
        loop {
            sleep(LISTEN).await;
            if self.must_ask(bound) {
                sleep(TAKE_OVER.mul_f64(rand::random())).await;
                if self.must_ask(bound) {
                    return;
                }
            }
        }
    }

    /// Draws how long to wait after a call that failed, by the pause of an instance
    /// that is alone.
    pub fn pause_after_failure(&self, alone: Duration) -> Duration {
        let together = f64::from(self.knowledge.heard.get()) / ASKING_TOGETHER;
        alone.mul_f64(together.max(1.0) * rand::random_range(0.5..1.5))
    }

    fn must_ask(&self, bound: Duration) -> bool {
        let is_watcher = self.knowledge.rank.get() < WATCHERS;
        is_watcher || !self.knowledge.is_confirmed_within(bound * TRUSTED_BOUNDS)
    }

    /// Other instances may be at these addresses.
    pub fn peers_known(&self, peers: Vec<SocketAddr>) {
        self.peers.send(ToPeers::Known(peers));
    }

    /// These are all instances that ever registered.
    pub fn peers_registered(&self, peers: Vec<SocketAddr>) {
        self.peers.send(ToPeers::Registered(peers));
    }

    /// The secret that all instances of the fleet share.
    pub fn fleet_secret(&self, secret: &str) {
        self.peers.send(ToPeers::Key(SharedKey::new(secret)));
    }

    /// The fleet's budget of repeats for each pool.
    pub fn retry_budget(&self, budget: RetryBudget) {
        self.scheduler.send(ToScheduler::Budget(budget));
    }
}
