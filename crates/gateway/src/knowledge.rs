//! What an instance knows from the platform: configuration, how new it is, and the key.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use baobabvane_members::SharedKey;
use baobabvane_tasks::Mailbox;
use monoio::time::Instant;
use serde::{Deserialize, Serialize};

use crate::{
    configuration::Configuration, directory::EndpointList, routing::RouteTable,
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
    route_table: RefCell<Rc<RouteTable>>,
    /// When the source of the configuration last said that it is the newest.
    pub(crate) configuration_confirmed_at: Cell<Option<Instant>>,
    /// When this instance itself last read each topic of the store.
    pub(crate) store_reads: StoreReads,
    pub(crate) endpoints_version: Cell<u64>,
    has_endpoints: Cell<bool>,
    /// Entries of endpoints lapse when the store is away for this long.
    pub(crate) endpoint_expiry: Duration,
    key: RefCell<Option<SharedKey>>,
    /// How many of the instances that reach the store come before this one.
    pub(crate) watcher_rank: Cell<u32>,
    /// Instances that are heard, this one included.
    pub(crate) live_instances: Cell<u32>,
    scheduler: Mailbox<ToScheduler>,
}

/// When each topic of the store was last read. The other instances rely on one that reads
/// all of them; to have reached the store for one says nothing of the other.
#[derive(Debug, Default)]
pub(crate) struct StoreReads {
    pub(crate) configuration: Cell<Option<Instant>>,
    pub(crate) endpoints: Cell<Option<Instant>>,
}

impl StoreReads {
    /// Forgets both, as the store cannot be reached.
    pub(crate) fn clear(&self) {
        self.configuration.set(None);
        self.endpoints.set(None);
    }
}

impl Knowledge {
    pub(crate) fn new(scheduler: Mailbox<ToScheduler>, endpoint_expiry: Duration) -> Self {
        Self {
            configuration: RefCell::default(),
            route_table: RefCell::default(),
            configuration_confirmed_at: Cell::new(None),
            store_reads: StoreReads::default(),
            endpoints_version: Cell::new(0),
            endpoint_expiry,
            has_endpoints: Cell::new(false),
            key: RefCell::new(None),
            watcher_rank: Cell::new(0),
            live_instances: Cell::new(1),
            scheduler,
        }
    }

    pub(crate) fn route_table(&self) -> Rc<RouteTable> {
        Rc::clone(&self.route_table.borrow())
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

    pub(crate) fn set_watcher_rank(&self, watcher_rank: u32, live_instances: u32) {
        self.watcher_rank.set(watcher_rank);
        self.live_instances.set(live_instances);
    }

    /// Takes a peer's word that the configuration in force was the newest so long ago.
    pub(crate) fn confirm_configuration_from_peer(&self, version: u64, age: Duration) {
        if version != self.route_table.borrow().version {
            return;
        }
        let at = Instant::now().checked_sub(age);
        if at > self.configuration_confirmed_at.get() {
            self.configuration_confirmed_at.set(at);
        }
    }

    pub(crate) fn versions(&self) -> Versions {
        Versions {
            configuration: self.route_table.borrow().version,
            endpoints: self.endpoints_version.get(),
        }
    }

    /// Says whether requests can be served: a configuration and endpoints are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.route_table.borrow().version > 0 && self.has_endpoints.get()
    }

    /// Says whether the configuration was the newest one so long ago at most.
    pub(crate) fn is_confirmed_within(&self, age: Duration) -> bool {
        self.configuration_confirmed_at.get().is_some_and(|at| at.elapsed() <= age)
    }

    /// Returns how long ago the configuration was known to be the newest, in milliseconds.
    pub(crate) fn configuration_confirmed_age_ms(&self) -> Option<u64> {
        self.configuration_confirmed_at.get().map(age_ms)
    }

    /// Returns how long ago this instance itself reached the store for all that it has to
    /// know, in milliseconds.
    pub(crate) fn store_read_age_ms(&self) -> Option<u64> {
        let StoreReads { configuration, endpoints } = &self.store_reads;
        configuration.get().zip(endpoints.get()).map(|(a, b)| age_ms(a.min(b)))
    }

    /// Takes over a configuration unless it is older than the one in force.
    pub(crate) fn apply_configuration(&self, configuration: Configuration, source: &str) {
        let current = self.route_table.borrow().version;
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
        *self.route_table.borrow_mut() = Rc::new(RouteTable::new(&configuration));
        let configuration = Rc::new(configuration);
        *self.configuration.borrow_mut() = Rc::clone(&configuration);
        self.scheduler.send(ToScheduler::Configure(configuration));
    }

    pub(crate) fn replace_endpoints(&self, endpoints: EndpointList, version: u64) {
        self.has_endpoints.set(true);
        self.advance_endpoints_version(version);
        self.scheduler.send(ToScheduler::Listed(endpoints));
    }

    pub(crate) fn advance_endpoints_version(&self, read: u64) {
        self.endpoints_version.set(self.endpoints_version.get().max(read));
    }

    /// Takes over what a peer knows where it is newer.
    pub(crate) fn apply_peer_snapshot(&self, snapshot: Snapshot) {
        if let Some(configuration) = snapshot.configuration {
            self.apply_configuration(configuration, "peer");
        }
        if let Some(endpoints) = snapshot.endpoints
            && snapshot.versions.endpoints > self.endpoints_version.get()
        {
            self.replace_endpoints(endpoints, snapshot.versions.endpoints);
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
