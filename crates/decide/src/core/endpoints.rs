//! Changes of the pool's endpoints, and the periodic update of their state.

use super::{Core, REFIT_INTERVAL_MS};
use crate::{
    endpoint::Endpoint,
    event::{EndpointKey, EndpointSpec, Millis, Refusal},
};

/// Interval at which the allowance beyond the scheduler's share is redrawn. It equals the
/// heartbeat interval of the gateway, in which schedulers learn of each other's load.
const ALLOWANCE_INTERVAL_MS: Millis = 100.0;
/// Upper bound on the extra requests at an endpoint, as a ratio of its in-flight limit. A
/// freed slot stays empty until other schedulers learn of it, so extra requests are sent in
/// the ratio of that delay to the duration of a request.
const MAX_OVERCOMMIT_RATIO: f64 = 0.5;
/// Requests stay queued if a breaker will allow a probe within this time, and are refused
/// otherwise.
const MAX_OPEN_WAIT_MS: Millis = 1_000.0;

impl Core {
    /// Returns whether an endpoint may receive requests, even if it is full, now or within
    /// [`MAX_OPEN_WAIT_MS`].
    ///
    /// If all endpoints have failed repeatedly, the request is refused at once instead of
    /// waiting until its deadline.
    pub(super) fn may_serve_soon(&self) -> bool {
        let soon = self.now + MAX_OPEN_WAIT_MS;
        self.endpoints.values().any(|e| e.opens_at().is_some_and(|at| at <= soon))
    }

    /// Returns the time until an endpoint lets requests through, in milliseconds; 0 if one does, or
    /// if none is known that will.
    pub(super) fn endpoint_wait(&self) -> Millis {
        let opens_at = self.endpoints.values().filter_map(Endpoint::opens_at);
        let wait = opens_at.reduce(f64::min).map_or(0.0, |at| at - self.now);
        wait.max(0.0)
    }

    pub(super) fn endpoint_joined(&mut self, key: EndpointKey, spec: &EndpointSpec) {
        self.prefixes.set_capacity(key, spec.cache_blocks);
        match self.endpoints.get_mut(key) {
            Some(endpoint) => endpoint.update_spec(spec),
            None => {
                let endpoint =
                    Endpoint::new(spec, self.policy.adaptive_limit, self.now, self.mean_speed());
                self.endpoints.insert(key, endpoint);
                self.long_work.allow(key);
            }
        }
        self.refresh(key);
    }

    pub(super) fn endpoint_leaving(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_leaving = true;
        }
        self.refresh(key);
        self.refuse_all_without_endpoint();
    }

    pub(super) fn endpoint_gone(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
        self.refresh(key);
        self.prefixes.remove_endpoint(key);
        self.refuse_all_without_endpoint();
    }

    /// Refuses all waiting requests, least urgent first, if no endpoint will serve them soon.
    pub(super) fn refuse_all_without_endpoint(&mut self) {
        if self.may_serve_soon() {
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
        let highest_floor = self.policy.tiers.iter().map(|t| t.floor).fold(0.0, f64::max);
        self.long_work.review(self.now, &self.endpoints, highest_floor);
        for request in self.in_flight.values_mut() {
            if let Some(endpoint) = self.endpoints.get_mut(request.endpoint) {
                endpoint.assume_prefilled(self.now, &mut request.sent);
            }
        }
        if self.has_interactive && self.now - self.refitted_at >= REFIT_INTERVAL_MS {
            self.refitted_at = self.now;
            let samples = self.endpoints.values_mut().map(|endpoint| &mut endpoint.samples);
            self.capacity.refit(samples, self.now);
        }
        let redraws_allowance = self.now - self.allowance_redrawn_at >= ALLOWANCE_INTERVAL_MS;
        if redraws_allowance {
            self.allowance_redrawn_at = self.now;
        }
        let overcommit_ratio =
            (self.mean_load_age_ms / self.request_duration_ms.get()).min(MAX_OVERCOMMIT_RATIO);
        let request_duration_ms = self.request_duration_ms.get();
        for (key, endpoint) in &mut self.endpoints {
            if redraws_allowance {
                endpoint.set_request_duration(request_duration_ms);
                endpoint.set_overcommit_ratio(overcommit_ratio);
                endpoint.redraw_allowance(self.now, self.pool_share, self.random.unit());
            }
            if self.policy.breaker && endpoint.is_silent(self.now) {
                endpoint.breaker.open(self.now);
                endpoint.reset_silence(self.now);
            }
            self.ready.refresh(key, endpoint, self.now);
        }
    }

    /// Updates the endpoint's room and its place in the order of endpoints with free room.
    pub(super) fn refresh(&mut self, key: EndpointKey) {
        match self.endpoints.get(key) {
            Some(endpoint) => self.ready.refresh(key, endpoint, self.now),
            None => self.ready.remove(key),
        }
    }
}

#[cfg(test)]
mod tests {
    use slotmap::SlotMap;

    use crate::{
        Action, Core, Descriptor, Ending, EndpointKey, EndpointSpec, Event, KindId, OrgId, Policy,
        Refusal, Ticket,
    };

    fn offer(core: &mut Core, now: f64, ticket: u64) -> Option<Action> {
        let req = Descriptor {
            rank: 0,
            org: OrgId(1),
            weight: 1,
            kind: KindId(1),
            prompt_tokens: 10,
            answer_tokens: 1,
            has_length_hint: false,
            goal: None,
            prefix: Default::default(),
            deadline: now + 60_000.0,
            reports_first_token: true,
            failed_at: Default::default(),
        };
        core.handle(now, Event::Offer(Ticket(ticket), req));
        core.next_action()
    }

    #[test]
    fn requests_are_refused_at_once_if_no_breaker_allows_a_probe_soon() {
        let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let mut core = Core::new(Policy::default());
        let spec = EndpointSpec { slots: 4, cache_blocks: 0, is_in_other_zone: false };
        core.handle(0.0, Event::EndpointJoined(arena.insert(()), spec));
        for ticket in 0..3 {
            assert!(matches!(offer(&mut core, 0.0, ticket), Some(Action::Dispatch(..))));
            core.handle(0.0, Event::End(Ticket(ticket), Ending::Failed));
        }
        // The breaker first opens for one second, which a request may wait for.
        assert_eq!(offer(&mut core, 100.0, 10), None);
        core.handle(1_100.0, Event::Tick);
        assert!(matches!(core.next_action(), Some(Action::Dispatch(Ticket(10), ..))));
        core.handle(1_100.0, Event::End(Ticket(10), Ending::Failed));
        let refused = offer(&mut core, 1_200.0, 11);
        assert!(matches!(refused, Some(Action::Refuse(_, Refusal::NoEndpoint, _))), "{refused:?}");
    }
}
