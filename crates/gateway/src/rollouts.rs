//! Keeps the orders to move pools to other versions, and tells the scheduler which endpoints and
//! which decision core a request may use.
//!
//! `baobabvane_rollout` decides for one order; this module keeps the order of each pool and the
//! versions that pools have had. Without settings for rollouts, all endpoints of a pool are in one
//! core. See [rollouts](../../../docs/design/rollouts.md).

use std::rc::Rc;

use baobabvane_decide::EndpointKey;
use baobabvane_rollout::{
    Cohort, Millis, Order, Phase, PoolView, Report, Reporter, Response, Rollout, Settings, Status,
};
use local_sync::oneshot;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::{
    configuration::DiscoveredEndpoint,
    peer::PeerState,
    scheduler::{id_hash, peer_hash},
};

/// The interval at which the versions are compared and endpoints are assigned, in milliseconds.
const ADVANCE_INTERVAL_MS: Millis = 100.0;
/// How long the end of an order is reported, in milliseconds. Every instance of the largest fleets
/// gets a heartbeat in it.
const END_REPORTED_MS: Millis = 10_000.0;
/// One report in this many has the counted responses, which are most of its size.
const COUNTED_REPORT_RATIO: f64 = 0.25;

/// Numbers the decision cores of a pool; each order begins another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Generation(u32);

/// An order as an instance sends it to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrderState {
    order: Order,
    age_ms: Millis,
    phase: Phase,
    is_confirmed: bool,
}

impl OrderState {
    /// Returns the state of an order that the store has; `was_seen_written` tells whether this
    /// instance followed the store when the order was written.
    pub(crate) fn from_store(order: Order, was_seen_written: bool) -> Self {
        Self { order, age_ms: 0.0, phase: Phase::Canary, is_confirmed: was_seen_written }
    }
}

/// The status of an order in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service that the order moves.
    pub service: String,
    /// The version to which the order moves it.
    pub to: String,
    /// The offset of the order's record; `None` if the status does not tell.
    pub order_offset: Option<u64>,
    /// The status.
    pub status: Status,
}

impl RolloutStatus {
    fn is_of(&self, order: &Order) -> bool {
        self.service == order.service
            && self.to == order.to
            && self.order_offset.is_none_or(|offset| offset == order.offset)
    }
}

/// A message to the scheduler about rollouts.
pub(crate) enum RolloutMessage {
    /// Enables rollouts.
    Configure(Settings),
    /// Adds an order, which replaces the one of its service.
    Order(OrderState),
    /// Removes the order of a service.
    RemoveOrder(String),
    /// Replaces all orders; `true` if the store came back from an older copy.
    ReplaceOrders(Vec<OrderState>, bool),
    /// Asks for all orders.
    ListOrders(oneshot::Sender<Vec<OrderState>>),
    /// Tells whether this instance is the controller.
    SetController(bool),
    /// Asks whether the statuses in the store have to be read.
    NeedsStatuses(oneshot::Sender<bool>),
    /// Reports the statuses that the store has, and asks for those that this instance has to write.
    StatusesRead(Vec<RolloutStatus>, oneshot::Sender<Vec<RolloutStatus>>),
    /// Reports that a status was written.
    StatusWritten(RolloutStatus),
}

/// Where the endpoints of a pool belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Assignment {
    /// The endpoint is in this core.
    Join(Generation),
    /// The endpoint stays where it is; if it is in no core, it receives no requests.
    Keep,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) generation: Generation,
    /// The core that takes the request if this one has no room for it at once.
    pub(crate) fallback: Option<Generation>,
}

/// The versions of one pool.
#[derive(Debug, Default)]
struct PoolVersions {
    /// The versions whose endpoints are in the base core.
    accepted: Vec<String>,
    /// The versions of orders that were reverted or replaced.
    refused: FxHashSet<String>,
    /// When endpoints of versions without an order are accepted.
    held_until: FxHashMap<String, Millis>,
    /// The core of the accepted versions, and the one of the ordered version.
    base: Generation,
    next: Generation,
    rollout: Option<Rollout>,
    /// The ids of the new endpoints that the canary uses.
    canary: FxHashSet<String>,
    /// What was last logged: the phase and whether the version is bad.
    logged: (Option<Phase>, bool),
    ended_at: Option<Millis>,
}

/// The orders and versions of all pools.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    settings: Option<Settings>,
    pools: FxHashMap<Rc<str>, PoolVersions>,
    is_controller: bool,
    advanced_at: Millis,
}

impl Rollouts {
    pub(crate) fn configure(&mut self, settings: Settings) {
        self.settings = Some(settings);
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.settings.is_some()
    }

    pub(crate) fn set_controller(&mut self, is_controller: bool) {
        self.is_controller = is_controller;
        // An order that has ended is no longer advanced, but its status may be lost with the store.
        for rollout in self.pools.values_mut().filter_map(|pool| pool.rollout.as_mut()) {
            rollout.set_controller(is_controller);
        }
    }

    /// Begins to follow an order, or adds what a peer knows of it.
    pub(crate) fn order(&mut self, state: OrderState, now: Millis) {
        let Some(settings) = self.settings else { return };
        let OrderState { order, age_ms, phase, is_confirmed } = state;
        let pool = self.pools.entry(Rc::from(order.service.as_str())).or_default();
        let is_known = pool.rollout.as_ref().is_some_and(|r| r.order().key() == order.key());
        if !is_known {
            pool.drop_order();
            log::info!(
                "event=rollout_ordered pool={} to={:?} duration_ms={} offset={} age_ms={age_ms:.0} \
                 is_confirmed={is_confirmed}",
                order.service,
                order.to,
                order.duration_ms,
                order.offset
            );
            pool.begin(Rollout::new(order, settings, age_ms, is_confirmed, now));
        }
        if let Some(rollout) = &mut pool.rollout {
            rollout.adopt_phase(phase, now);
        }
        pool.apply_phase(now, settings);
    }

    /// Drops the order of a service, which the store no longer has.
    pub(crate) fn remove_order(&mut self, service: &str) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        if pool.rollout.is_some() {
            log::info!("event=rollout_removed pool={service}");
        }
        pool.drop_order();
    }

    pub(crate) fn replace_orders(
        &mut self,
        orders: Vec<OrderState>,
        is_restored: bool,
        now: Millis,
    ) {
        let missing: Vec<Rc<str>> = self
            .pools
            .iter()
            .filter(|(name, pool)| {
                pool.rollout.is_some() && orders.iter().all(|state| *state.order.service != ***name)
            })
            .map(|(name, _)| Rc::clone(name))
            .collect();
        for service in missing {
            self.remove_order(&service);
        }
        if is_restored {
            for pool in self.pools.values_mut() {
                pool.rollout.iter_mut().for_each(Rollout::forget_stored);
            }
        }
        for state in orders {
            self.order(state, now);
        }
    }

    pub(crate) fn orders(&self, now: Millis) -> Vec<OrderState> {
        let rollouts = self.pools.values().filter_map(|pool| pool.rollout.as_ref());
        let state = |rollout: &Rollout| OrderState {
            order: rollout.order().clone(),
            age_ms: rollout.age_ms(now),
            phase: rollout.phase(),
            is_confirmed: !rollout.needs_status(),
        };
        rollouts.map(state).collect()
    }

    /// Returns whether the store has to be read for statuses.
    pub(crate) fn needs_statuses(&self, now: Millis) -> bool {
        let mut rollouts = self.pools.values().filter_map(|pool| pool.rollout.as_ref());
        rollouts.any(|rollout| rollout.needs_status() || rollout.due_status(now).is_some())
    }

    /// Records the statuses that the store has, and returns those that this instance has to write.
    pub(crate) fn record_statuses(
        &mut self,
        statuses: &[RolloutStatus],
        now: Millis,
    ) -> Vec<RolloutStatus> {
        let Some(settings) = self.settings else { return Vec::new() };
        let mut due = Vec::new();
        for pool in self.pools.values_mut() {
            let Some(rollout) = &mut pool.rollout else { continue };
            let order = rollout.order().clone();
            let stored = statuses.iter().rev().find(|status| status.is_of(&order));
            rollout.record_stored(stored.map(|stored| stored.status), now);
            if let Some(status) = rollout.due_status(now)
                && !matches!(
                    stored.map(|stored| stored.status),
                    Some(Status::Completed | Status::Reverted)
                )
            {
                due.push(RolloutStatus {
                    service: order.service,
                    to: order.to,
                    order_offset: Some(order.offset),
                    status,
                });
            }
            pool.apply_phase(now, settings);
        }
        due
    }

    pub(crate) fn record_written(&mut self, written: &RolloutStatus, now: Millis) {
        let Some(settings) = self.settings else { return };
        let Some(pool) = self.pools.get_mut(written.service.as_str()) else { return };
        if let Some(rollout) = &mut pool.rollout
            && written.is_of(rollout.order())
        {
            rollout.record_stored(Some(written.status), now);
            pool.apply_phase(now, settings);
        }
    }

    /// Records the heartbeat of another instance; returns whether it changes where requests go.
    pub(crate) fn hear(&mut self, state: &PeerState, now: Millis) -> bool {
        let Some(settings) = self.settings else { return false };
        let mut has_changed = false;
        let reporter = Reporter { instance: peer_hash(state.peer), incarnation: state.incarnation };
        for pool in self.pools.values_mut() {
            let Some(rollout) = &mut pool.rollout else { continue };
            let key = rollout.order().key();
            let report = state.local.rollouts.iter().find(|report| report.order == key);
            rollout.hear(reporter, state.zone, report, now);
            // At once: a request that arrives next must not go to an old endpoint that stops.
            has_changed |= pool.apply_phase(now, settings);
        }
        has_changed
    }

    /// Returns the reports for a heartbeat.
    pub(crate) fn reports(&self, now: Millis) -> Vec<Report> {
        let is_reported =
            |pool: &&PoolVersions| pool.ended_at.is_none_or(|at| now - at < END_REPORTED_MS);
        let pools = self.pools.values().filter(is_reported);
        let rollouts = pools.filter_map(|pool| pool.rollout.as_ref());
        rollouts.map(|r| r.report(rand::random_bool(COUNTED_REPORT_RATIO), now)).collect()
    }

    /// Returns where a request goes; `is_repeated` if it was already sent to an endpoint.
    pub(crate) fn target(&self, pool: &str, is_repeated: bool) -> Target {
        let Some(pool) = self.pools.get(pool) else { return Target::default() };
        let base = Target { generation: pool.base, fallback: None };
        let Some(rollout) = pool.rollout.as_ref().filter(|r| !r.phase().is_final()) else {
            return base;
        };
        match rollout.choose(is_repeated) {
            Cohort::Old => base,
            Cohort::New => Target {
                generation: pool.next,
                fallback: (!rollout.is_promoted()).then_some(pool.base),
            },
        }
    }

    /// Returns the version that a core serves, while an order is open.
    fn cohort(&self, pool: &str, generation: Generation) -> Option<Cohort> {
        let pool = self.pools.get(pool)?;
        if pool.rollout.as_ref()?.phase().is_final() {
            return None;
        }
        match generation {
            generation if generation == pool.next => Some(Cohort::New),
            generation if generation == pool.base => Some(Cohort::Old),
            _ => None,
        }
    }

    fn rollout(&mut self, pool: &str) -> Option<&mut Rollout> {
        self.pools.get_mut(pool)?.rollout.as_mut()
    }

    /// Records that a request was granted an endpoint; returns whether an order is open for which
    /// the request counts.
    pub(crate) fn record_grant(&mut self, pool: &str, generation: Generation) -> bool {
        let Some(cohort) = self.cohort(pool, generation) else { return false };
        self.rollout(pool).map(|rollout| rollout.record_grant(cohort)).is_some()
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn record_sent(&mut self, pool: &str) {
        if let Some(rollout) = self.rollout(pool) {
            rollout.record_sent();
        }
    }

    pub(crate) fn record_response(
        &mut self,
        pool: &str,
        generation: Generation,
        route: u32,
        response: &Response,
    ) {
        let Some(cohort) = self.cohort(pool, generation) else { return };
        if let Some(rollout) = self.rollout(pool) {
            rollout.record_response(route, cohort, response);
        }
    }

    /// Returns the pools whose endpoints have to be looked at now.
    pub(crate) fn pools_to_advance(&mut self, now: Millis) -> Vec<Rc<str>> {
        if self.settings.is_none() || now - self.advanced_at < ADVANCE_INTERVAL_MS {
            return Vec::new();
        }
        self.advanced_at = now;
        let is_active = |pool: &PoolVersions| {
            let is_open = pool.rollout.as_ref().is_some_and(|r| !r.phase().is_final());
            let has_just_ended = pool.ended_at.is_some_and(|at| now - at < END_REPORTED_MS);
            is_open || has_just_ended || !pool.held_until.is_empty()
        };
        let active = self.pools.iter().filter(|(_, pool)| is_active(pool));
        active.map(|(name, _)| Rc::clone(name)).collect()
    }

    /// Compares the versions of a pool, and logs what has changed.
    pub(crate) fn advance(
        &mut self,
        name: &str,
        endpoints: &[(EndpointKey, &DiscoveredEndpoint)],
        old_in_flight: u32,
        now: Millis,
    ) {
        let Some(settings) = self.settings else { return };
        let Some(pool) = self.pools.get_mut(name) else { return };
        if let Some(rollout) = &mut pool.rollout {
            let to = &rollout.order().to;
            let open = endpoints.iter().map(|(_, e)| e).filter(|e| !e.is_draining);
            let mut view = PoolView {
                old_in_flight,
                is_controller: self.is_controller,
                ..PoolView::default()
            };
            for endpoint in open {
                if endpoint.version == *to {
                    view.new_slots = view.new_slots.saturating_add(endpoint.slots);
                } else if pool.accepted.contains(&endpoint.version) {
                    view.old_slots = view.old_slots.saturating_add(endpoint.slots);
                }
            }
            rollout.advance(view, now);
        }
        pool.apply_phase(now, settings);
    }

    /// Returns whether a core has the endpoints of a canary.
    pub(crate) fn is_canary(&self, pool: &str, generation: Generation) -> bool {
        self.pools.get(pool).is_some_and(|pool| {
            let phase = pool.rollout.as_ref().map(Rollout::phase);
            phase == Some(Phase::Canary) && generation == pool.next && pool.next != pool.base
        })
    }

    /// Returns the core of the accepted versions of a pool.
    pub(crate) fn base(&self, pool: &str) -> Generation {
        self.pools.get(pool).map(|pool| pool.base).unwrap_or_default()
    }

    /// Returns the core in which requests of a pool wait for an endpoint.
    pub(crate) fn waiting_core(&self, pool: &str) -> Generation {
        let Some(pool) = self.pools.get(pool) else { return Generation::default() };
        match pool.rollout.as_ref().is_some_and(Rollout::is_promoted) {
            true => pool.next,
            false => pool.base,
        }
    }

    /// Returns where each endpoint of a pool belongs.
    pub(crate) fn assign(
        &mut self,
        name: &Rc<str>,
        endpoints: &[(EndpointKey, &DiscoveredEndpoint)],
        now: Millis,
    ) -> Vec<(EndpointKey, Assignment)> {
        let Some(settings) = self.settings else {
            let base = Assignment::Join(Generation::default());
            return endpoints.iter().map(|(key, _)| (*key, base)).collect();
        };
        let pool = self.pools.entry(Rc::clone(name)).or_default();
        pool.accept_first(endpoints);
        pool.select_canary(endpoints);
        pool.held_until.retain(|version, _| endpoints.iter().any(|(_, e)| e.version == *version));
        let assign = |(key, endpoint): &(EndpointKey, &DiscoveredEndpoint)| {
            (*key, pool.assignment(name, endpoint, settings, now))
        };
        endpoints.iter().map(assign).collect()
    }
}

impl PoolVersions {
    fn begin(&mut self, rollout: Rollout) {
        let to = rollout.order().to.clone();
        self.refused.remove(&to);
        self.held_until.remove(&to);
        self.canary.clear();
        self.ended_at = None;
        self.logged = (None, false);
        // If the pool already has the version, its endpoints stay in their core.
        let has_version = self.accepted.contains(&to);
        let last = self.base.max(self.next);
        self.next = if has_version { self.base } else { Generation(last.0 + 1) };
        self.accepted.retain(|version| *version != to);
        self.rollout = Some(rollout);
    }

    /// Ends an order that is replaced or gone. Its version stays out unless the order is completed.
    fn drop_order(&mut self) {
        let Some(rollout) = self.rollout.take() else { return };
        let to = rollout.order().to.clone();
        if rollout.phase() != Phase::Completed && !self.accepted.contains(&to) {
            match self.next == self.base {
                true => self.accepted.push(to),
                false => drop(self.refused.insert(to)),
            }
        }
        self.ended_at = None;
    }

    /// Logs a change of the order, and makes the new version the pool's own once it is completed.
    /// Returns whether the phase or the verdict has changed.
    fn apply_phase(&mut self, now: Millis, settings: Settings) -> bool {
        let Some(rollout) = &self.rollout else { return false };
        let logged = (Some(rollout.phase()), rollout.is_bad());
        if std::mem::replace(&mut self.logged, logged) == logged {
            return false;
        }
        let order = rollout.order();
        let (old, new) = (rollout.total(Cohort::Old), rollout.total(Cohort::New));
        log::info!(
            "event=rollout pool={} to={:?} offset={} phase={} is_bad={} age_ms={:.0} old={} \
             old_failed={} old_slow={} new={} new_failed={} new_slow={} finding={:?}",
            order.service,
            order.to,
            order.offset,
            rollout.phase().as_str(),
            rollout.is_bad(),
            rollout.age_ms(now),
            old.responses,
            old.failures,
            old.slow,
            new.responses,
            new.failures,
            new.slow,
            rollout.finding(),
        );
        metrics::counter!("baobabvane_gateway_rollout_phases_total",
            "phase" => if rollout.is_bad() { "bad" } else { rollout.phase().as_str() })
        .increment(1);
        if !rollout.phase().is_final() || self.ended_at.is_some() {
            return true;
        }
        self.ended_at = Some(now);
        let to = order.to.clone();
        match rollout.phase() {
            Phase::Completed => {
                // Endpoints of the versions before stop now; one that does not is accepted later.
                for version in std::mem::take(&mut self.accepted) {
                    self.held_until.insert(version, now + settings.rollback_deadline_ms);
                }
                self.accepted.push(to);
                self.base = self.next;
            }
            _ if self.base == self.next => self.accepted.push(to),
            _ => drop(self.refused.insert(to)),
        }
        true
    }

    /// Takes the version of the endpoint that started first as the pool's own, if it has none. An
    /// instance that starts in the middle of a rollout sees both versions at once.
    fn accept_first(&mut self, endpoints: &[(EndpointKey, &DiscoveredEndpoint)]) {
        let is_completed =
            self.rollout.as_ref().is_some_and(|rollout| rollout.phase() == Phase::Completed);
        if !self.accepted.is_empty() || is_completed {
            return;
        }
        let to = self.rollout.as_ref().map(|rollout| rollout.order().to.as_str());
        let others = endpoints.iter().map(|(_, endpoint)| endpoint).filter(|endpoint| {
            Some(endpoint.version.as_str()) != to && !self.refused.contains(&endpoint.version)
        });
        let first = others.min_by_key(|endpoint| (endpoint.started_ms, &endpoint.version));
        if let Some(first) = first {
            self.accepted.push(first.version.clone());
        }
    }

    /// Selects the new endpoints that the canary uses: so few that each is about as busy as an old
    /// one. All instances select the same; an endpoint that is selected stays.
    fn select_canary(&mut self, endpoints: &[(EndpointKey, &DiscoveredEndpoint)]) {
        let Some(rollout) = self.rollout.as_ref().filter(|r| r.phase() == Phase::Canary) else {
            return;
        };
        let open = || endpoints.iter().map(|(_, endpoint)| endpoint).filter(|e| !e.is_draining);
        let mut new: Vec<_> = open().filter(|e| e.version == rollout.order().to).collect();
        new.sort_by_key(|endpoint| (id_hash(&endpoint.id), &endpoint.id));
        let old_slots: f64 = open()
            .filter(|endpoint| self.accepted.contains(&endpoint.version))
            .map(|endpoint| f64::from(endpoint.slots))
            .sum();
        let new_slots: f64 = new.iter().map(|endpoint| f64::from(endpoint.slots.max(1))).sum();
        let mean_slots = new_slots / new.len().max(1) as f64;
        let wanted = (rollout.canary_share() * old_slots / mean_slots).round().max(1.0) as usize;
        let listed = new.iter().filter(|endpoint| self.canary.contains(&endpoint.id)).count();
        let unused = new.into_iter().filter(|endpoint| !self.canary.contains(&endpoint.id));
        let added: Vec<String> =
            unused.take(wanted.saturating_sub(listed)).map(|e| e.id.clone()).collect();
        self.canary.extend(added);
    }

    fn assignment(
        &mut self,
        name: &str,
        endpoint: &DiscoveredEndpoint,
        settings: Settings,
        now: Millis,
    ) -> Assignment {
        let version = &endpoint.version;
        if let Some(rollout) = self.rollout.as_ref().filter(|r| r.order().to == *version) {
            let is_used = match rollout.phase() {
                Phase::Canary => {
                    self.canary.contains(&endpoint.id)
                        || self.accepted.is_empty()
                        || self.base == self.next
                }
                Phase::Promoting => !rollout.is_bad(),
                Phase::Completed => true,
                Phase::Reverted => self.base == self.next,
            };
            return if is_used { Assignment::Join(self.next) } else { Assignment::Keep };
        }
        if self.accepted.contains(version) {
            return Assignment::Join(self.base);
        }
        if self.refused.contains(version) {
            return Assignment::Keep;
        }
        let until = *self.held_until.entry(version.clone()).or_insert_with(|| {
            let ms = settings.rollback_deadline_ms;
            log::info!("event=version_held pool={name} version={version:?} ms={ms:.0}");
            now + ms
        });
        if now < until {
            return Assignment::Keep;
        }
        log::warn!("event=version_without_order pool={name} version={version:?}");
        self.held_until.remove(version);
        self.accepted.push(version.clone());
        Assignment::Join(self.base)
    }
}

#[cfg(test)]
mod tests {
    use slotmap::SlotMap;

    use super::*;

    const SETTINGS: Settings = Settings {
        exposure_fraction: 0.1,
        exposure_tolerance: 50.0,
        rollback_deadline_ms: 5_000.0,
    };
    const BASE: Generation = Generation(0);
    const NEXT: Generation = Generation(1);

    /// The endpoints of the pool `desk`.
    #[derive(Default)]
    struct Pool {
        keys: SlotMap<EndpointKey, DiscoveredEndpoint>,
        rollouts: Rollouts,
    }

    impl Pool {
        fn new(old: u32, new: u32) -> Self {
            let mut pool = Self::default();
            pool.rollouts.configure(SETTINGS);
            pool.add("v1", old, 1);
            pool.add("v2", new, 2);
            pool
        }

        fn add(&mut self, version: &str, count: u32, started_ms: u64) {
            for number in 0..count {
                self.keys.insert(DiscoveredEndpoint {
                    id: format!("{version}-{number}"),
                    pool: "desk".to_owned(),
                    address: ([127, 0, 0, 1], 9_000).into(),
                    zone: "tanta".to_owned(),
                    slots: 4,
                    is_draining: false,
                    started_ms,
                    revision: None,
                    version: version.to_owned(),
                    cold_remaining_ms: 0,
                });
            }
        }

        /// Returns how many endpoints of a version are assigned to each core.
        fn assigned(&mut self, version: &str, now: Millis) -> Vec<(Generation, usize)> {
            let endpoints: Vec<_> = self.keys.iter().collect();
            let mut counts: Vec<(Generation, usize)> = Vec::new();
            for (key, assignment) in self.rollouts.assign(&Rc::from("desk"), &endpoints, now) {
                let Assignment::Join(generation) = assignment else { continue };
                if self.keys[key].version != version {
                    continue;
                }
                match counts.iter_mut().find(|(known, _)| *known == generation) {
                    Some((_, count)) => *count += 1,
                    None => counts.push((generation, 1)),
                }
            }
            counts
        }

        fn advance(&mut self, now: Millis) {
            let endpoints: Vec<_> = self.keys.iter().collect();
            self.rollouts.advance("desk", &endpoints, 0, now);
        }

        fn finish(&mut self, to: &str, offset: u64, status: Status, now: Millis) {
            let status = RolloutStatus {
                service: "desk".to_owned(),
                to: to.to_owned(),
                order_offset: Some(offset),
                status,
            };
            self.rollouts.record_statuses(&[status], now);
        }
    }

    fn order(to: &str, offset: u64) -> OrderState {
        let (service, to) = ("desk".to_owned(), to.to_owned());
        OrderState::from_store(Order { service, to, duration_ms: 12_000, offset }, true)
    }

    /// Guards against deployments without rollouts whose endpoints are told apart by version.
    #[test]
    fn without_settings_versions_are_ignored() {
        let mut pool = Pool::new(4, 4);
        pool.rollouts = Rollouts::default();
        pool.rollouts.order(order("v2", 3), 0.0);
        assert_eq!(pool.assigned("v1", 0.0), [(BASE, 4)]);
        assert_eq!(pool.assigned("v2", 0.0), [(BASE, 4)]);
        assert_eq!(pool.rollouts.reports(0.0), []);
        assert_eq!(pool.rollouts.pools_to_advance(1_000.0), []);
    }

    /// Guards against requests to a version whose order is still on its way, also at an instance that
    /// starts when both versions are listed.
    #[test]
    fn a_version_without_an_order_is_held_and_then_accepted() {
        let mut pool = Pool::new(2, 2);
        assert_eq!(pool.assigned("v1", 0.0), [(BASE, 2)]);
        assert_eq!(pool.assigned("v2", 0.0), []);
        assert_eq!(pool.assigned("v2", 4_900.0), []);
        assert_eq!(pool.assigned("v2", 5_000.0), [(BASE, 2)]);
    }

    #[test]
    fn a_canary_uses_few_endpoints_and_a_completed_version_all() {
        let mut pool = Pool::new(40, 40);
        pool.rollouts.order(order("v2", 3), 0.0);
        assert_eq!(pool.assigned("v1", 0.0), [(BASE, 40)]);
        assert_eq!(pool.assigned("v2", 0.0), [(NEXT, 4)]);
        pool.finish("v2", 3, Status::Completed, 100.0);
        assert_eq!(pool.assigned("v2", 100.0), [(NEXT, 40)]);
        // The old endpoints stay in their core, to which nothing goes.
        assert_eq!(pool.assigned("v1", 100.0), []);
        assert_eq!(pool.rollouts.target("desk", true).generation, NEXT);
        assert_eq!(pool.rollouts.waiting_core("desk"), NEXT);
    }

    /// Guards against a reverted or replaced version that is accepted as one without an order.
    #[test]
    fn reverted_and_replaced_versions_stay_out() {
        let mut pool = Pool::new(4, 4);
        pool.rollouts.order(order("v2", 3), 0.0);
        pool.assigned("v2", 0.0);
        pool.finish("v2", 3, Status::Reverted, 100.0);
        pool.rollouts.order(order("v3", 5), 200.0);
        pool.add("v3", 4, 3);
        assert_eq!(pool.assigned("v2", 60_000.0), []);
        assert_eq!(pool.assigned("v3", 60_000.0), [(Generation(2), 1)]);
        pool.rollouts.order(order("v4", 6), 60_000.0);
        assert_eq!(pool.assigned("v3", 90_000.0), []);
        // Another order may name a version again.
        pool.rollouts.order(order("v2", 7), 90_000.0);
        assert_eq!(pool.assigned("v2", 90_000.0).len(), 1);
        assert_eq!(pool.assigned("v1", 90_000.0), [(BASE, 4)]);
    }

    /// Guards against requests that go to old endpoints after their end was heard from a peer.
    #[test]
    fn a_phase_that_is_heard_applies_at_once() {
        let mut pool = Pool::new(4, 4);
        pool.rollouts.order(order("v2", 3), 0.0);
        pool.advance(0.0);
        let mut other = Pool::new(4, 4);
        other.rollouts.order(order("v2", 3), 0.0);
        other.advance(0.0);
        other.finish("v2", 3, Status::Completed, 0.0);
        let local =
            crate::peer::LocalState { rollouts: other.rollouts.reports(0.0), ..Default::default() };
        let state = PeerState {
            peer: ([127, 0, 0, 1], 7_600).into(),
            zone: 1,
            incarnation: 1,
            store_read_age_ms: None,
            local,
        };
        assert!(pool.rollouts.hear(&state, 10.0));
        assert_eq!(pool.rollouts.target("desk", false).generation, NEXT);
        assert!(!pool.rollouts.hear(&state, 20.0));
    }

    /// Guards against a status that is lost with a store that came back from an older copy.
    #[test]
    fn a_status_that_a_restored_store_lacks_is_due_again() {
        let mut pool = Pool::new(4, 4);
        pool.rollouts.set_controller(true);
        pool.rollouts.order(order("v2", 3), 0.0);
        pool.advance(0.0);
        pool.finish("v2", 3, Status::Reverted, 10.0);
        assert!(!pool.rollouts.needs_statuses(20.0));
        // A peer that knows the end tells nothing of what the store has now.
        let ended = OrderState { phase: Phase::Reverted, ..order("v2", 3) };
        pool.rollouts.replace_orders(vec![ended], true, 30.0);
        assert!(pool.rollouts.needs_statuses(40.0));
        let due = pool.rollouts.record_statuses(&[], 40.0);
        assert_eq!(due.len(), 1);
        assert_eq!((due[0].status, due[0].order_offset), (Status::Reverted, Some(3)));
        pool.rollouts.record_written(&due[0], 50.0);
        assert!(!pool.rollouts.needs_statuses(60.0));
    }

    /// Guards against the status of an earlier order to the same version that ends a later one.
    #[test]
    fn a_status_belongs_to_one_order() {
        let mut pool = Pool::new(4, 4);
        pool.rollouts.order(order("v2", 9), 0.0);
        pool.finish("v2", 3, Status::Reverted, 10.0);
        assert_eq!(pool.assigned("v2", 10.0), [(NEXT, 1)]);
        pool.finish("v2", 9, Status::Reverted, 20.0);
        assert_eq!(pool.rollouts.target("desk", false).generation, BASE);
    }
}
