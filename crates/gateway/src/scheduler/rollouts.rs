//! Applies rollouts to the cores: endpoints move between them, requests are offered to one or the
//! other, and responses are counted as evidence.

use std::{rc::Rc, time::Duration};

use baobabvane_decide::{Ending, EndpointKey, Event, Ticket};
use baobabvane_rollout::Response;

use super::{CoreKey, Scheduler};
use crate::{
    configuration::DiscoveredEndpoint,
    rollouts::{Assignment, RolloutMessage},
};

/// The time for which a request that its caller gave up counts as a response that took so long, in
/// milliseconds; shorter ones tell nothing of the endpoint.
const MIN_ABANDONED_MS: f64 = 500.0;

impl Scheduler {
    pub(super) fn handle_rollout_message(&mut self, message: RolloutMessage, now: f64) {
        match message {
            RolloutMessage::Configure(settings) => self.rollouts.configure(settings),
            RolloutMessage::Order(state) => {
                self.rollouts.order(state, now);
                self.assign_all();
            }
            RolloutMessage::RemoveOrder(service) => {
                self.rollouts.remove_order(&service);
                self.assign_all();
            }
            RolloutMessage::ReplaceOrders(orders, is_restored) => {
                self.rollouts.replace_orders(orders, is_restored, now);
                self.assign_all();
            }
            RolloutMessage::ListOrders(reply) => {
                let _ = reply.send(self.rollouts.orders(now));
            }
            RolloutMessage::SetController(is_controller) => {
                self.rollouts.set_controller(is_controller);
            }
            RolloutMessage::NeedsStatuses(reply) => {
                let _ = reply.send(self.rollouts.needs_statuses(now));
            }
            RolloutMessage::StatusesRead(statuses, reply) => {
                let _ = reply.send(self.rollouts.record_statuses(&statuses, now));
                self.assign_all();
            }
            RolloutMessage::StatusWritten(status) => {
                self.rollouts.record_written(&status, now);
                self.assign_all();
            }
        }
    }

    /// Records for how long an endpoint remains slow. Later entries do not make it longer, as they
    /// may be old when they arrive from a peer.
    pub(super) fn record_cold(&mut self, key: EndpointKey, remaining_ms: u64) {
        if remaining_ms > 0 {
            let until = self.now() + remaining_ms as f64;
            let known = self.cold_until.entry(key).or_insert(until);
            *known = known.min(until);
        }
    }

    /// Assigns the endpoints of all pools that have these new or changed ones.
    pub(super) fn assign_joined(&mut self, joined: Vec<EndpointKey>) {
        let mut pools: Vec<Rc<str>> = Vec::new();
        for key in joined {
            // The core of an endpoint that has one takes over what changed in its entry.
            if let Some(core) = self.endpoint_cores.get(&key).cloned() {
                self.join_core(key, core);
            }
            if let Some(endpoint) = self.directory.get(key)
                && pools.iter().all(|pool| **pool != *endpoint.pool)
            {
                pools.push(Rc::from(endpoint.pool.as_str()));
            }
        }
        for pool in pools {
            self.assign_endpoints(&pool);
        }
    }

    pub(super) fn assign_all(&mut self) {
        let joined = self.directory.iter().map(|(key, _)| key).collect::<Vec<_>>();
        let mut pools: Vec<Rc<str>> = Vec::new();
        for key in joined {
            if let Some(endpoint) = self.directory.get(key)
                && pools.iter().all(|pool| **pool != *endpoint.pool)
            {
                pools.push(Rc::from(endpoint.pool.as_str()));
            }
        }
        for pool in pools {
            self.assign_endpoints(&pool);
            self.redirect_waiting(&pool);
        }
    }

    /// Moves the endpoints of a pool to the cores where they belong.
    fn assign_endpoints(&mut self, pool: &Rc<str>) {
        let now = self.now();
        let endpoints: Vec<(EndpointKey, &DiscoveredEndpoint)> =
            self.directory.iter().filter(|(_, endpoint)| *endpoint.pool == **pool).collect();
        let assignments = self.rollouts.assign(pool, &endpoints, now);
        for (key, assignment) in assignments {
            let Assignment::Join(generation) = assignment else { continue };
            let core = CoreKey { pool: Rc::clone(pool), generation };
            let is_draining = self.directory.get(key).is_some_and(|e| e.is_draining);
            if self.endpoint_cores.get(&key) != Some(&core) && !is_draining {
                self.join_core(key, core);
            }
        }
    }

    /// Compares versions, moves endpoints and waiting requests, and drops the cores that are empty.
    pub(super) fn advance_rollouts(&mut self, now: f64) {
        for pool in self.rollouts.pools_to_advance(now) {
            let base = CoreKey { pool: Rc::clone(&pool), generation: self.rollouts.base(&pool) };
            let counts = self.cores.get(&base).map(|core| core.counts()).unwrap_or_default();
            let endpoints: Vec<(EndpointKey, &DiscoveredEndpoint)> =
                self.directory.iter().filter(|(_, e)| *e.pool == *pool).collect();
            self.rollouts.advance(&pool, &endpoints, counts.in_flight + counts.waiting, now);
            self.assign_endpoints(&pool);
            self.redirect_waiting(&pool);
            self.drop_empty_cores(&pool);
        }
    }

    fn drop_empty_cores(&mut self, pool: &Rc<str>) {
        let waiting = self.rollouts.waiting_core(pool);
        let base = self.rollouts.base(pool);
        let endpoint_cores = &self.endpoint_cores;
        self.cores.retain(|key, core| {
            let is_used = key.pool != *pool
                || key.generation == waiting
                || key.generation == base
                || endpoint_cores.values().any(|used| used == key);
            let counts = core.counts();
            is_used || counts.in_flight + counts.waiting > 0
        });
    }

    /// Offers the requests that wait in another core to the one where requests wait now.
    fn redirect_waiting(&mut self, pool: &Rc<str>) {
        let generation = self.rollouts.waiting_core(pool);
        let to = CoreKey { pool: Rc::clone(pool), generation };
        let elsewhere: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.reply.is_some()
                    && request.core.pool == *pool
                    && request.core.generation != generation
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in elsewhere {
            let Some(request) = self.requests.get_mut(&ticket) else { continue };
            let Some(progress) = &request.rollout else { continue };
            let descriptor = progress.descriptor.clone();
            let from = std::mem::replace(&mut request.core, to.clone());
            self.notify_pool(&from, Event::Withdraw(ticket));
            self.notify_pool(&to, Event::Offer(ticket, descriptor));
        }
    }

    pub(super) fn is_waiting(&self, core: &CoreKey, ticket: Ticket) -> bool {
        self.cores.get(core).is_some_and(|core| core.is_waiting(ticket))
    }

    pub(super) fn has_fallback(&self, ticket: Ticket) -> bool {
        let request = self.requests.get(&ticket);
        let progress = request.and_then(|request| request.rollout.as_ref());
        progress.is_some_and(|progress| progress.fallback.is_some())
    }

    /// Offers a request to the old version, because the new one has no room for it.
    pub(super) fn fall_back(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(progress) = &mut request.rollout else { return };
        let Some(generation) = progress.fallback.take() else { return };
        let descriptor = progress.descriptor.clone();
        request.core.generation = generation;
        let core = request.core.clone();
        self.notify_pool(&core, Event::Offer(ticket, descriptor));
    }

    /// Counts a grant; returns whether the request counts for an open order.
    pub(super) fn count_grant(&mut self, ticket: Ticket, endpoint: EndpointKey) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        let Some(progress) = &mut request.rollout else { return false };
        let is_counted = self.rollouts.record_grant(&request.core.pool, request.core.generation);
        progress.endpoint = is_counted.then_some(endpoint);
        is_counted
    }

    pub(super) fn record_sent(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(progress) = &mut request.rollout else { return };
        if progress.endpoint.is_some() && !std::mem::replace(&mut progress.is_sent, true) {
            self.rollouts.record_sent(&request.core.pool);
        }
    }

    pub(super) fn record_first_event(&mut self, ticket: Ticket, now: f64) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let sent_at = request.sent.map(|(_, at)| at);
        if let (Some(progress), Some(sent_at)) = (&mut request.rollout, sent_at) {
            progress.first_ms = Some(now - sent_at);
        }
    }

    pub(super) fn record_gap(&mut self, ticket: Ticket, gap: Duration) {
        let progress = self.requests.get_mut(&ticket).and_then(|r| r.rollout.as_mut());
        if let Some(progress) = progress {
            progress.gap_ms = Some(gap.as_secs_f64() * 1_000.0);
        }
    }

    /// Counts the response to a request that was sent while an order was open.
    pub(super) fn record_rollout_response(&mut self, ticket: Ticket, ending: Ending, now: f64) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(progress) = request.rollout.as_ref().filter(|p| p.is_sent) else { return };
        let Some((endpoint, (_, sent_at))) = progress.endpoint.zip(request.sent) else { return };
        let elapsed_ms = now - sent_at;
        let first_ms = match ending {
            Ending::Lost => return,
            // Its caller may have left because nothing arrived.
            Ending::Cancelled => match progress.first_ms {
                None if elapsed_ms >= MIN_ABANDONED_MS => Some(elapsed_ms),
                _ => return,
            },
            Ending::Complete { .. } | Ending::Failed => progress.first_ms,
        };
        let is_cold = self.cold_until.get(&endpoint).is_some_and(|until| sent_at < *until);
        let response = Response {
            has_failed: ending == Ending::Failed,
            first_ms,
            gap_ms: progress.gap_ms,
            is_cold,
        };
        let route = progress.descriptor.kind.0;
        let core = &request.core;
        self.rollouts.record_response(&core.pool, core.generation, route, &response);
    }
}
