//! Endpoints that come, leave and go, and what time does to them.

use super::Core;
use crate::{
    endpoint::Endpoint,
    event::{EndpointKey, EndpointSpec, Refusal},
};

impl Core {
    pub(super) fn joined(&mut self, key: EndpointKey, spec: &EndpointSpec) {
        self.prefixes.set_capacity(key, spec.cache_blocks);
        match self.endpoints.get_mut(key) {
            Some(endpoint) => endpoint.update(spec),
            None => {
                let endpoint = Endpoint::new(spec, self.policy.adaptive_limit, self.now);
                self.endpoints.insert(key, endpoint);
                self.room.allow(key);
            }
        }
        self.refresh(key);
    }

    pub(super) fn leaving(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.leaving = true;
        }
        self.refresh(key);
        self.refuse_all_without_endpoint();
    }

    pub(super) fn gone(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
        self.refresh(key);
        self.prefixes.forget(key);
        self.refuse_all_without_endpoint();
    }

    /// Refuses what waits once no endpoint can serve it, least urgent first.
    fn refuse_all_without_endpoint(&mut self) {
        if self.endpoints.values().any(|e| !e.leaving) {
            return;
        }
        loop {
            let Some(rank) = self.queue.ranks().next_back() else { return };
            let Some(ticket) = self.queue.victim(rank) else { return };
            let Some(waiting) = self.queue.remove(ticket) else { return };
            self.refuse(ticket, rank, waiting.since, Refusal::NoEndpoint);
        }
    }

    pub(super) fn tick(&mut self) {
        let floor = self.policy.tiers.iter().map(|t| t.floor).fold(0.0, f64::max);
        self.room.review(self.now, &self.endpoints, floor);
        for flight in self.flights.values_mut() {
            if let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) {
                endpoint.presume_read(self.now, &mut flight.sent);
            }
        }
        for (key, endpoint) in &mut self.endpoints {
            if self.policy.breaker && endpoint.is_silent(self.now) {
                endpoint.breaker.open(self.now);
                endpoint.hear(self.now);
            }
            self.ready.refresh(key, endpoint, self.now);
        }
    }

    /// Brings an endpoint's place among those with room up to date.
    pub(super) fn refresh(&mut self, key: EndpointKey) {
        match self.endpoints.get(key) {
            Some(endpoint) => self.ready.refresh(key, endpoint, self.now),
            None => self.ready.remove(key),
        }
    }
}
