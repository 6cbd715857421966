//! The state that an instance received from the store or from peers, shared by its tasks.
//!
//! It holds the configuration and how current it is, the version of the endpoint list, and
//! the fleet's key. Versions only increase, so an older configuration never replaces a newer one,
//! also after the store has come back from an older copy ([`LogPosition`]).

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
    configuration::Configuration,
    directory::EndpointList,
    position::LogPosition,
    rollouts::{OrderState, RolloutMessage},
    routing::RouteTable,
    scheduler::SchedulerMessage,
};

/// The versions of an instance's configuration and endpoint list; larger is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Versions {
    /// The version of the configuration; 0 before the first one.
    pub(crate) configuration: u64,
    /// The position up to which the discovery topic of the store was read.
    pub(crate) endpoints: LogPosition,
    /// The position after the newest order of a rollout; the default if rollouts are disabled.
    pub(crate) orders: LogPosition,
}

impl Versions {
    /// Returns whether any of the versions is newer than in `other`.
    pub(crate) fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration
            || self.endpoints > other.endpoints
            || self.orders > other.orders
    }
}

/// The shared state; interior mutability lets all tasks of the thread update it.
pub(crate) struct Knowledge {
    configuration: RefCell<Rc<Configuration>>,
    route_table: RefCell<Rc<RouteTable>>,
    /// When the configuration was last confirmed to be the newest, by the store or by a peer.
    pub(crate) configuration_confirmed_at: Cell<Option<Instant>>,
    pub(crate) store_reads: StoreReads,
    pub(crate) endpoints_version: Cell<LogPosition>,
    has_endpoints: Cell<bool>,
    /// Endpoint entries may expire in discovery when the store is unreachable for this long,
    /// because endpoints cannot renew them.
    pub(crate) endpoint_expiry: Duration,
    key: RefCell<Option<SharedKey>>,
    /// The number of instances that reach the store and come before this one in the order of
    /// watchers; those with the lowest ranks are the watchers, which poll the store.
    pub(crate) watcher_rank: Cell<u32>,
    /// The number of live instances, including this one.
    pub(crate) live_instances: Cell<u32>,
    /// Since when a live peer has had a newer configuration than this instance.
    pub(crate) behind_since: Cell<Option<Instant>>,
    scheduler: Mailbox<SchedulerMessage>,
    orders_version: Cell<LogPosition>,
    /// Since when an instance that has just started waits to learn which orders have ended.
    statuses_awaited_since: Cell<Option<Instant>>,
}

/// How long an instance that has just started waits for the statuses of orders. Without them it
/// sends requests to the old version, which it may do while an order is open.
const MAX_STATUS_WAIT: Duration = Duration::from_secs(2);

/// The times at which this instance last read each topic from the store, as opposed to receiving
/// data from peers. Other instances rely on a watcher for all topics, and a successful read of
/// one topic says nothing about the other.
#[derive(Debug, Default)]
pub(crate) struct StoreReads {
    pub(crate) configuration: Cell<Option<Instant>>,
    pub(crate) endpoints: Cell<Option<Instant>>,
}

impl StoreReads {
    /// Clears both times because the store cannot be reached.
    pub(crate) fn clear(&self) {
        self.configuration.set(None);
        self.endpoints.set(None);
    }
}

impl Knowledge {
    pub(crate) fn new(scheduler: Mailbox<SchedulerMessage>, endpoint_expiry: Duration) -> Self {
        Self {
            configuration: RefCell::default(),
            route_table: RefCell::default(),
            configuration_confirmed_at: Cell::new(None),
            store_reads: StoreReads::default(),
            endpoints_version: Cell::default(),
            endpoint_expiry,
            has_endpoints: Cell::new(false),
            key: RefCell::new(None),
            watcher_rank: Cell::new(0),
            live_instances: Cell::new(1),
            behind_since: Cell::new(None),
            scheduler,
            orders_version: Cell::default(),
            statuses_awaited_since: Cell::new(None),
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

    pub(crate) fn set_watcher_rank_and_live_instances(
        &self,
        watcher_rank: u32,
        live_instances: u32,
    ) {
        self.watcher_rank.set(watcher_rank);
        self.live_instances.set(live_instances);
    }

    /// Records that `version`, the configuration of a peer, was confirmed to be the newest at a
    /// time `age` ago; ignored unless it is the version in force.
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
            orders: self.orders_version.get(),
        }
    }

    /// Returns whether a configuration, an endpoint list and the statuses of orders have been
    /// received, which is the condition for serving requests.
    pub(crate) fn is_complete(&self) -> bool {
        let awaited_since = self.statuses_awaited_since.get();
        let awaits_statuses = awaited_since.is_some_and(|at| at.elapsed() < MAX_STATUS_WAIT);
        self.route_table.borrow().version > 0 && self.has_endpoints.get() && !awaits_statuses
    }

    /// Records that orders were found in the store whose ends are not known. At the start of the
    /// instance, no request is served until they are.
    pub(crate) fn await_statuses(&self) {
        if self.route_table.borrow().version == 0 {
            self.statuses_awaited_since.set(Some(Instant::now()));
        }
    }

    /// Records that the statuses of orders are known.
    pub(crate) fn statuses_known(&self) {
        self.statuses_awaited_since.set(None);
    }

    /// Returns whether the configuration was confirmed to be the newest within the last `age`.
    pub(crate) fn is_confirmed_within(&self, age: Duration) -> bool {
        self.configuration_confirmed_at.get().is_some_and(|at| at.elapsed() <= age)
    }

    /// Returns the time since the configuration was confirmed to be the newest, in milliseconds.
    pub(crate) fn configuration_confirmed_age_ms(&self) -> Option<u64> {
        self.configuration_confirmed_at.get().map(age_ms)
    }

    /// Returns the time since this instance itself read both topics of the store, in
    /// milliseconds; the older of the two reads counts.
    pub(crate) fn store_read_age_ms(&self) -> Option<u64> {
        let StoreReads { configuration, endpoints } = &self.store_reads;
        configuration.get().zip(endpoints.get()).map(|(a, b)| age_ms(a.min(b)))
    }

    /// Applies a configuration if it is newer than the one in force.
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
        self.scheduler.send(SchedulerMessage::Configure(configuration));
    }

    pub(crate) fn replace_endpoints(&self, endpoints: EndpointList, version: LogPosition) {
        self.advance_endpoints_version(version);
        self.has_endpoints.set(true);
        self.scheduler.send(SchedulerMessage::ReplaceEndpoints(endpoints));
    }

    /// Records up to where the discovery topic was read; an earlier position is ignored.
    pub(crate) fn advance_endpoints_version(&self, version: LogPosition) {
        let before = self.endpoints_version.get();
        if version <= before {
            return;
        }
        self.endpoints_version.set(version);
        if version.era > before.era && self.has_endpoints.get() {
            log::warn!("event=discovery_restored position={version} before={before}");
            self.scheduler.send(SchedulerMessage::DiscoveryRestored);
        }
    }

    /// Replaces the orders of rollouts, unless the known ones are newer.
    pub(crate) fn replace_orders(&self, orders: Vec<OrderState>, version: LogPosition) {
        let before = self.orders_version.get();
        if version < before {
            return;
        }
        self.orders_version.set(version);
        let is_restored = version.era > before.era;
        self.send_rollout(RolloutMessage::ReplaceOrders(orders, is_restored));
    }

    /// Applies a record with an order, or without one if it was removed, unless it is known. The
    /// position is the one after the record.
    pub(crate) fn apply_order(&self, message: RolloutMessage, version: LogPosition) {
        if version > self.orders_version.get() {
            self.orders_version.set(version);
            self.send_rollout(message);
        }
    }

    fn send_rollout(&self, message: RolloutMessage) {
        self.scheduler.send(SchedulerMessage::Rollout(message));
    }

    /// Applies the parts of a peer's snapshot that are newer.
    ///
    /// The orders go before the configuration: requests are served from then on, and must not
    /// reach a version that is still to be ordered.
    pub(crate) fn apply_peer_snapshot(&self, snapshot: Snapshot) {
        if let Some(orders) = snapshot.orders
            && snapshot.versions.orders > self.orders_version.get()
        {
            self.replace_orders(orders, snapshot.versions.orders);
        }
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

/// The state that an instance sends to a peer that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) versions: Versions,
    /// The configuration; `None` if the receiver's is not older, or if the sender is busy with
    /// sending it to others.
    pub(crate) configuration: Option<Configuration>,
    /// The endpoint list; `None` if the receiver's is not older, or if the sender's scheduler did
    /// not return it.
    pub(crate) endpoints: Option<EndpointList>,
    /// The orders of rollouts; `None` if the receiver's are not older, or if the sender's scheduler
    /// did not return them.
    pub(crate) orders: Option<Vec<OrderState>>,
}

fn age_ms(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}
