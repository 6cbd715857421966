//! Limits long requests to a share of the endpoints, so that short requests stay fast.
//!
//! An engine that prefills a long prompt or decodes many answers in one batch slows
//! down all of its requests. Long requests are therefore packed onto a share of the
//! endpoints. The share shrinks while short requests nearly miss their deadlines, and
//! grows while long requests need more; it never falls below the highest tier floor. See
//! [room for short work](../../../docs/decisions.md#room-for-short-work).

use std::cell::Cell;

use slotmap::SecondaryMap;

use crate::{
    endpoint::Endpoint,
    event::{EndpointKey, Millis},
};

/// Interval at which the allowed share is adjusted.
const REVIEW_INTERVAL_MS: Millis = 1_000.0;
/// The allowed share shrinks if more than this share of short requests ended near its deadline.
const MAX_NEAR_DEADLINE_SHARE: f64 = 0.01;
const SHRINK_FACTOR: f64 = 0.75;
/// Share of the endpoints that a review adds if long requests need more.
const GROWTH_STEP: f64 = 0.02;
/// Share of the endpoints allowed at the start.
const DEFAULT_ALLOWED_SHARE: f64 = 0.35;
/// Fraction of the distance to the default by which the allowed share returns in a review that
/// neither shrinks nor grows it.
const RETURN_RATE: f64 = 0.05;
/// Largest share of the endpoints that may prefill long prompts at once.
const MAX_LONG_PREFILL_SHARE: f64 = 0.75;

/// The set of endpoints that may take long requests.
#[derive(Debug)]
pub(crate) struct LongWorkLimit {
    is_enabled: bool,
    /// Share of the endpoints that may take long requests, 0 to 1.
    allowed_share: f64,
    allowed: SecondaryMap<EndpointKey, ()>,
    may_start_long_prefill: bool,
    reviewed_at: Millis,
    short_requests: u32,
    near_deadline_requests: u32,
    /// Whether a long request was kept off an endpoint since the last review.
    needs_more_endpoints: Cell<bool>,
}

impl LongWorkLimit {
    pub(crate) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            allowed_share: DEFAULT_ALLOWED_SHARE,
            allowed: SecondaryMap::new(),
            may_start_long_prefill: true,
            reviewed_at: 0.0,
            short_requests: 0,
            near_deadline_requests: 0,
            needs_more_endpoints: Cell::new(false),
        }
    }

    /// Allows long requests at a new endpoint until the next review.
    pub(crate) fn allow(&mut self, key: EndpointKey) {
        self.allowed.insert(key, ());
    }

    /// Records a short request that ended, and whether it ended near its deadline.
    pub(crate) fn record_short_request(&mut self, is_near_deadline: bool) {
        self.short_requests += 1;
        self.near_deadline_requests += u32::from(is_near_deadline);
    }

    /// Returns whether an endpoint may take a request.
    pub(crate) fn allows(
        &self,
        endpoint: &Endpoint,
        key: EndpointKey,
        is_long_prefill: bool,
        is_long: bool,
    ) -> bool {
        if !self.is_enabled {
            return true;
        }
        if is_long_prefill && (endpoint.has_long_prefill() || !self.may_start_long_prefill) {
            return false;
        }
        if is_long && !self.allowed.contains_key(key) {
            self.needs_more_endpoints.set(true);
            return false;
        }
        true
    }

    /// Updates whether another endpoint may begin to prefill a long prompt.
    pub(crate) fn update_prefill_limit(&mut self, endpoints: &SecondaryMap<EndpointKey, Endpoint>) {
        let prefilling = endpoints.values().filter(|e| e.has_long_prefill()).count();
        let max_prefilling = (endpoints.len() as f64 * MAX_LONG_PREFILL_SHARE).max(1.0);
        self.may_start_long_prefill = (prefilling as f64) < max_prefilling;
    }

    /// Adjusts the allowed share once per interval; `floor` is its minimum, 0 to 1.
    pub(crate) fn review(
        &mut self,
        now: Millis,
        endpoints: &SecondaryMap<EndpointKey, Endpoint>,
        floor: f64,
    ) {
        if now - self.reviewed_at < REVIEW_INTERVAL_MS {
            return;
        }
        self.reviewed_at = now;
        let is_short_work_slow = f64::from(self.near_deadline_requests)
            > MAX_NEAR_DEADLINE_SHARE * f64::from(self.short_requests);
        if is_short_work_slow {
            self.allowed_share *= SHRINK_FACTOR;
        } else if self.needs_more_endpoints.replace(false) {
            self.allowed_share += GROWTH_STEP;
        } else {
            self.allowed_share += (DEFAULT_ALLOWED_SHARE - self.allowed_share) * RETURN_RATE;
        }
        self.allowed_share = self.allowed_share.clamp(floor.min(1.0), 1.0);
        self.short_requests = 0;
        self.near_deadline_requests = 0;
        self.allow_slowest(endpoints);
    }

    /// Allows long requests at the slowest endpoints; of equally slow ones, those that already
    /// have long requests come first.
    fn allow_slowest(&mut self, endpoints: &SecondaryMap<EndpointKey, Endpoint>) {
        let usable = endpoints.iter().filter(|(_, e)| !e.is_leaving);
        let mut order: Vec<(bool, f64, EndpointKey)> =
            usable.map(|(key, e)| (e.has_long_request(), e.prefill_ms_per_token(), key)).collect();
        order.sort_by(|a, b| b.1.total_cmp(&a.1).then(b.0.cmp(&a.0)));
        let count = (order.len() as f64 * self.allowed_share).ceil().max(1.0) as usize;
        self.allowed = order.into_iter().take(count).map(|(_, _, key)| (key, ())).collect();
    }
}
