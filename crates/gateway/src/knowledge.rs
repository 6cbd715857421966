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
    scheduler::SchedulerMessage,
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
    pub(crate) confirmed_at: Cell<Option<Instant>>,
    /// When this instance itself last read each topic of the store.
    pub(crate) reached: Reached,
    pub(crate) endpoints_version: Cell<u64>,
    has_endpoints: Cell<bool>,
    /// Entries of endpoints lapse when the store is away for this long.
    pub(crate) lapse: Duration,
    key: RefCell<Option<SharedKey>>,
    /// How many of the instances that reach the store come before this one.
    pub(crate) rank: Cell<u32>,
    /// Instances that are heard, this one included.
    pub(crate) heard: Cell<u32>,
    scheduler: Mailbox<SchedulerMessage>,
}

/// When each topic of the store was last read. The other instances rely on one that reads
/// all of them; to have reached the store for one says nothing of the other.
#[derive(Debug, Default)]
pub(crate) struct Reached {
    pub(crate) configuration: Cell<Option<Instant>>,
    pub(crate) endpoints: Cell<Option<Instant>>,
}

impl Reached {
    /// Forgets both, as the store cannot be reached.
    pub(crate) fn lose(&self) {
        self.configuration.set(None);
        self.endpoints.set(None);
    }
}

impl Knowledge {
    pub(crate) fn new(scheduler: Mailbox<SchedulerMessage>, lapse: Duration) -> Self {
        Self {
            configuration: RefCell::default(),
            table: RefCell::default(),
            confirmed_at: Cell::new(None),
            reached: Reached::default(),
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

    /// Returns how long ago this instance itself reached the store for all that it has to
    /// know, in milliseconds.
    pub(crate) fn reached_age_ms(&self) -> Option<u64> {
        let Reached { configuration, endpoints } = &self.reached;
        configuration.get().zip(endpoints.get()).map(|(a, b)| age_ms(a.min(b)))
    }

    /// Takes over a configuration unless it is older than the one in force.
    pub(crate) fn configure(&self, configuration: Configuration, source: &str) {
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
        self.scheduler.send(SchedulerMessage::Configure(configuration));
    }

    pub(crate) fn list(&self, endpoints: EndpointList, version: u64) {
        self.has_endpoints.set(true);
        self.read_up_to(version);
        self.scheduler.send(SchedulerMessage::ReplaceEndpoints(endpoints));
    }

    pub(crate) fn read_up_to(&self, read: u64) {
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
